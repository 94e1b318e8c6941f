#include "LibSettings/SettingsReader.h"

#include <yaml-cpp/yaml.h>

#include <cerrno>
#include <fstream>
#include <set>
#include <sstream>
#include <system_error>

namespace Godwitfork
{

struct SettingsReader::State {
    std::string file;
    YAML::Node root;
    std::set<std::string> requestedKeys;
    Findings findings;

    YAML::Node lookUp(const std::string &key)
    {
        this->requestedKeys.insert(key);
        if (!this->root.IsMap()) {
            return YAML::Node(YAML::NodeType::Undefined);
        }
        return this->root[key];
    }

    void add(const YAML::Mark &mark, const std::string &key, const std::string &message)
    {
        this->findings.add({this->file, mark.line + 1, mark.column + 1, key, message});
    }
};

SettingsReader::SettingsReader(std::string file, const std::string &text) : state(std::make_unique<State>())
{
    this->state->file = std::move(file);
    try {
        this->state->root = YAML::Load(text);
    } catch (const YAML::Exception &error) {
        this->state->add(error.mark, "", error.msg);
        return;
    }
    if (!this->state->root.IsMap()) {
        this->state->add(this->state->root.Mark(), "", "the settings must be a map of keys to values");
    }
}

SettingsReader::~SettingsReader() = default;

std::string SettingsReader::requiredText(const std::string &key)
{
    const YAML::Node node = this->state->lookUp(key);
    if (!node) {
        this->addFinding(key, "missing key");
        return {};
    }
    return this->text(key, {});
}

std::string SettingsReader::text(const std::string &key, const std::string &fallback)
{
    const YAML::Node node = this->state->lookUp(key);
    if (!node) {
        return fallback;
    }
    if (!node.IsScalar()) {
        this->addFinding(key, "must be a string");
        return fallback;
    }
    return node.Scalar();
}

std::vector<std::string> SettingsReader::texts(const std::string &key)
{
    const YAML::Node node = this->state->lookUp(key);
    std::vector<std::string> values;
    if (!node) {
        return values;
    }
    if (!node.IsSequence()) {
        this->addFinding(key, "must be a list of strings");
        return values;
    }
    for (const YAML::Node &entry : node) {
        if (!entry.IsScalar()) {
            this->state->add(entry.Mark(), key, "must be a list of strings");
            continue;
        }
        values.push_back(entry.Scalar());
    }
    return values;
}

long SettingsReader::integer(const std::string &key, long fallback, long minimum, long maximum)
{
    const YAML::Node node = this->state->lookUp(key);
    if (!node) {
        return fallback;
    }
    long value = 0;
    if (!node.IsScalar() || !YAML::convert<long>::decode(node, value)) {
        this->addFinding(key, "must be an integer");
        return fallback;
    }
    if (value < minimum || value > maximum) {
        this->addFinding(key, "must be from " + std::to_string(minimum) + " to " + std::to_string(maximum));
        return fallback;
    }
    return value;
}

Duration SettingsReader::milliseconds(const std::string &key, long fallback, long minimum, long maximum)
{
    return std::chrono::milliseconds(this->integer(key, fallback, minimum, maximum));
}

void SettingsReader::addFinding(const std::string &key, const std::string &message)
{
    const YAML::Node node = this->state->lookUp(key);
    this->state->add(node ? node.Mark() : YAML::Mark::null_mark(), key, message);
}

Findings SettingsReader::finish()
{
    if (this->state->root.IsMap()) {
        for (const auto &entry : this->state->root) {
            const std::string key = entry.first.Scalar();
            if (!this->state->requestedKeys.contains(key)) {
                this->state->add(entry.first.Mark(), key, "unknown key");
            }
        }
    }
    return this->state->findings;
}

std::string readFile(const std::string &path)
{
    std::ifstream stream(path, std::ios::binary);
    if (!stream) {
        throw std::system_error(errno, std::generic_category(), "cannot open " + path);
    }
    std::stringstream content;
    content << stream.rdbuf();
    return content.str();
}

} // namespace Godwitfork
