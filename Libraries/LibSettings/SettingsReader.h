#pragma once

#include "LibCore/Finding.h"
#include "LibCore/Time.h"

#include <memory>
#include <string>
#include <vector>

namespace Godwitfork
{

/// Reads the YAML settings of a process. Each problem is recorded as a finding and the default value is returned, so that all
/// problems are reported together.
class SettingsReader
{
public:
    /// Parses the text. `file` is the file name that the findings report.
    SettingsReader(std::string file, const std::string &text);
    ~SettingsReader();
    SettingsReader(const SettingsReader &) = delete;
    SettingsReader &operator=(const SettingsReader &) = delete;

    std::string requiredText(const std::string &key);
    std::string text(const std::string &key, const std::string &fallback);
    std::vector<std::string> texts(const std::string &key);
    long integer(const std::string &key, long fallback, long minimum, long maximum);
    /// Reads a duration in milliseconds; the default and the bounds are in milliseconds, too, and the key ends in `_ms`.
    Duration milliseconds(const std::string &key, long fallback, long minimum, long maximum);
    void addFinding(const std::string &key, const std::string &message);

    /// Returns all findings, including one for each key in the file that was never read.
    Findings finish();

private:
    struct State;
    std::unique_ptr<State> state;
};

/// Returns the content of a file; throws std::system_error if it cannot be opened.
std::string readFile(const std::string &path);

} // namespace Godwitfork
