#include "YamlReader.h"

namespace Godwitfork
{

namespace
{
constexpr double microsecondsInSecond = 1e6;
}

YamlReader::YamlReader(std::string file, const YAML::Node &node, std::string path, Findings &findings)
    : file(std::move(file)), node(node), path(std::move(path)), findings(&findings)
{
    if (this->node.IsDefined() && !this->node.IsMap()) {
        this->addFinding("", "must be a map");
    }
}

YAML::Node YamlReader::take(const std::string &key)
{
    this->known.insert(key);
    if (!this->node.IsDefined() || !this->node.IsMap()) {
        return YAML::Node(YAML::NodeType::Undefined);
    }
    return this->node[key];
}

std::string YamlReader::pathOf(const std::string &key) const
{
    return this->path.empty() || key.empty() ? this->path + key : this->path + "." + key;
}

void YamlReader::addFinding(const std::string &key, const std::string &message)
{
    YAML::Mark mark = this->node.IsDefined() ? this->node.Mark() : YAML::Mark::null_mark();
    if (this->node.IsDefined() && this->node.IsMap() && !key.empty() && this->node[key]) {
        mark = this->node[key].Mark();
    }
    this->findings->add({this->file, mark.line + 1, mark.column + 1, this->pathOf(key), message});
}

bool YamlReader::has(const std::string &key)
{
    return this->take(key).IsDefined();
}

std::string YamlReader::text(const std::string &key, const char *fallback)
{
    const YAML::Node value = this->take(key);
    if (!value && fallback != nullptr) {
        return fallback;
    }
    if (!value || !value.IsScalar()) {
        this->addFinding(key, value ? "must be a text" : "missing key");
        return {};
    }
    return value.Scalar();
}

double YamlReader::number(const std::string &key, double fallback, double minimum, double maximum)
{
    const YAML::Node value = this->take(key);
    if (!value) {
        return fallback;
    }
    double number = 0;
    const bool valid = value.IsScalar() && YAML::convert<double>::decode(value, number);
    // Written so that a NaN is out of range.
    if (!valid || !(number >= minimum && number <= maximum)) {
        this->addFinding(key, "must be a number from " + std::to_string(minimum) + " to " + std::to_string(maximum));
        return fallback;
    }
    return number;
}

int YamlReader::integer(const std::string &key, int fallback, int minimum, int maximum)
{
    const YAML::Node value = this->take(key);
    int number = fallback;
    if (value && (!value.IsScalar() || !YAML::convert<int>::decode(value, number) || number < minimum || number > maximum)) {
        this->addFinding(key, "must be a whole number from " + std::to_string(minimum) + " to " + std::to_string(maximum));
        return fallback;
    }
    return number;
}

Duration YamlReader::seconds(const std::string &key, double fallback, double maximum)
{
    return Duration(static_cast<Duration::rep>(this->number(key, fallback, 0, maximum) * microsecondsInSecond));
}

HttpAddress YamlReader::parseAddress(const std::string &key, const YAML::Node &node)
{
    HttpAddress address = node.IsScalar() ? parseHttpAddress(node.Scalar()) : HttpAddress();
    if (address.port == 0) {
        this->addFinding(key, "must be an IP address and a port");
    }
    return address;
}

HttpAddress YamlReader::address(const std::string &key)
{
    const YAML::Node value = this->take(key);
    if (!value) {
        this->addFinding(key, "missing key");
        return {};
    }
    return this->parseAddress(key, value);
}

std::vector<HttpAddress> YamlReader::addresses(const std::string &key)
{
    std::vector<HttpAddress> list;
    const YAML::Node value = this->take(key);
    if (!value || !value.IsSequence()) {
        this->addFinding(key, value ? "must be a list of addresses" : "missing key");
        return list;
    }
    for (const YAML::Node &entry : value) {
        list.push_back(this->parseAddress(key, entry));
    }
    return list;
}

std::vector<std::string> YamlReader::texts(const std::string &key)
{
    std::vector<std::string> list;
    const YAML::Node value = this->take(key);
    if (!value || !value.IsSequence()) {
        this->addFinding(key, value ? "must be a list of texts" : "missing key");
        return list;
    }
    for (const YAML::Node &entry : value) {
        if (entry.IsScalar()) {
            list.push_back(entry.Scalar());
        } else {
            this->addFinding(key, "must be a list of texts");
        }
    }
    return list;
}

YamlReader YamlReader::map(const std::string &key)
{
    return {this->file, this->take(key), this->pathOf(key), *this->findings};
}

std::vector<YamlReader> YamlReader::maps(const std::string &key)
{
    std::vector<YamlReader> list;
    const YAML::Node value = this->take(key);
    if (!value) {
        return list;
    }
    if (!value.IsSequence()) {
        this->addFinding(key, "must be a list of maps");
        return list;
    }
    for (std::size_t i = 0; i < value.size(); ++i) {
        list.emplace_back(this->file, value[i], this->pathOf(key) + "[" + std::to_string(i) + "]", *this->findings);
    }
    return list;
}

YAML::Node YamlReader::raw(const std::string &key)
{
    return this->take(key);
}

void YamlReader::finish()
{
    if (!this->node.IsDefined() || !this->node.IsMap()) {
        return;
    }
    for (const auto &entry : this->node) {
        const std::string key = entry.first.Scalar();
        if (!this->known.contains(key)) {
            this->addFinding(key, "unknown key");
        }
    }
}

} // namespace Godwitfork
