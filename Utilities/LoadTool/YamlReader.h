#pragma once

#include "LibCore/Finding.h"
#include "LibCore/Time.h"
#include "LibHttp/HttpMessage.h"

#include <yaml-cpp/yaml.h>

#include <set>
#include <string>
#include <vector>

namespace Godwitfork
{

/// Strict reader of one YAML map: each problem becomes a finding with its place, and so does every key that was not read.
class YamlReader
{
public:
    YamlReader(std::string file, const YAML::Node &node, std::string path, Findings &findings);

    bool has(const std::string &key);
    /// Fails with a finding if the key is missing and `fallback` is null.
    std::string text(const std::string &key, const char *fallback);
    double number(const std::string &key, double fallback, double minimum, double maximum);
    int integer(const std::string &key, int fallback, int minimum, int maximum);
    /// The value is in seconds.
    Duration seconds(const std::string &key, double fallback, double maximum);
    HttpAddress address(const std::string &key);
    std::vector<HttpAddress> addresses(const std::string &key);
    std::vector<std::string> texts(const std::string &key);
    /// A nested map; empty if the key is missing.
    YamlReader map(const std::string &key);
    /// A list of maps; empty if the key is missing.
    std::vector<YamlReader> maps(const std::string &key);
    /// The unread value of a key.
    YAML::Node raw(const std::string &key);
    /// Reports the keys that were not read.
    void finish();
    void addFinding(const std::string &key, const std::string &message);

private:
    YAML::Node take(const std::string &key);
    std::string pathOf(const std::string &key) const;
    HttpAddress parseAddress(const std::string &key, const YAML::Node &node);

    std::string file;
    YAML::Node node;
    std::string path;
    Findings *findings;
    std::set<std::string> known;
};

} // namespace Godwitfork
