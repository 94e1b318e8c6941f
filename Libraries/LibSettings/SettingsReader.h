#pragma once

#include "LibCore/Finding.h"
#include "LibCore/Time.h"

#include <memory>
#include <string>
#include <vector>

namespace Godwitfork
{

/// Reads the YAML settings of a process. Every mistake becomes a finding, and reading goes on with the default, so that all
/// mistakes are reported together.
class SettingsReader
{
public:
    /// Parses the text; `file` names it in findings.
    SettingsReader(std::string file, const std::string &text);
    ~SettingsReader();
    SettingsReader(const SettingsReader &) = delete;
    SettingsReader &operator=(const SettingsReader &) = delete;

    std::string requiredText(const std::string &key);
    std::string text(const std::string &key, const std::string &fallback);
    std::vector<std::string> texts(const std::string &key);
    long integer(const std::string &key, long fallback, long minimum, long maximum);
    /// The key's name ends in its unit, `_ms`; the bounds are in milliseconds.
    Duration milliseconds(const std::string &key, long fallback, long minimum, long maximum);
    void addFinding(const std::string &key, const std::string &message);

    /// All findings, among them one for every key that no read asked for.
    Findings finish();

private:
    struct State;
    std::unique_ptr<State> state;
};

/// Content of a file; fails by throwing std::system_error.
std::string readFile(const std::string &path);

} // namespace Godwitfork
