#include "LibConfiguration/Document.h"

#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <sstream>
#include <utility>

namespace Godwitfork
{

namespace
{
constexpr std::string_view removalTag = "!remove";

/// Limit of a file's size, because yaml-cpp keeps every token in memory. The files of both deployments are below 64 KiB.
constexpr std::size_t maxDocumentBytes = 1024 * 1024;

/// Builds the tree from yaml-cpp's events. `YAML::Node` is unsuitable, because it hides duplicate keys and follows aliases,
/// which may be cyclic.
class TreeBuilder : public YAML::EventHandler
{
public:
    TreeBuilder(const std::string &file, Findings &findings) : file(file), findings(findings)
    {
    }

    void OnDocumentStart(const YAML::Mark &) override
    {
    }

    void OnDocumentEnd() override
    {
    }

    void OnNull(const YAML::Mark &mark, YAML::anchor_t anchor) override
    {
        this->reportAnchor(mark, anchor);
        this->addValue(this->makeNode(mark, DocumentKind::Null));
    }

    void OnAlias(const YAML::Mark &mark, YAML::anchor_t) override
    {
        this->report(mark, "aliases are not supported");
        this->addValue(this->makeNode(mark, DocumentKind::Null));
    }

    void OnScalar(const YAML::Mark &mark, const std::string &tag, YAML::anchor_t anchor, const std::string &value) override
    {
        this->reportAnchor(mark, anchor);
        if (tag == removalTag) {
            if (!value.empty()) {
                this->report(mark, "'!remove' takes no value");
            }
            this->addValue(this->makeNode(mark, DocumentKind::Removal));
            return;
        }
        this->reportUnknownTag(mark, tag);
        DocumentNode node = this->makeNode(mark, DocumentKind::Text);
        node.text = value;
        this->addValue(std::move(node));
    }

    void OnSequenceStart(const YAML::Mark &mark, const std::string &tag, YAML::anchor_t anchor, YAML::EmitterStyle::value) override
    {
        this->open(mark, tag, anchor, DocumentKind::List);
    }

    void OnSequenceEnd() override
    {
        this->close();
    }

    void OnMapStart(const YAML::Mark &mark, const std::string &tag, YAML::anchor_t anchor, YAML::EmitterStyle::value) override
    {
        this->open(mark, tag, anchor, DocumentKind::Map);
    }

    void OnMapEnd() override
    {
        this->close();
    }

    DocumentNode takeRoot()
    {
        return std::move(this->root);
    }

private:
    struct Level {
        DocumentNode node;
        bool hasKey = false;
        DocumentNode key;
    };

    DocumentNode makeNode(const YAML::Mark &mark, DocumentKind kind) const
    {
        DocumentNode node;
        node.location = {this->file, mark.line + 1, mark.column + 1};
        node.kind = kind;
        return node;
    }

    std::string currentPath() const
    {
        std::string path;
        for (const Level &level : this->levels) {
            if (level.hasKey) {
                path = joinPath(path, level.key.text);
            }
        }
        return path;
    }

    void report(const YAML::Mark &mark, std::string message)
    {
        this->findings.add({this->file, mark.line + 1, mark.column + 1, this->currentPath(), std::move(message)});
    }

    void reportAnchor(const YAML::Mark &mark, YAML::anchor_t anchor)
    {
        if (anchor != 0) {
            this->report(mark, "anchors are not supported");
        }
    }

    void reportUnknownTag(const YAML::Mark &mark, const std::string &tag)
    {
        // yaml-cpp passes "?" for a plain value and "!" for a quoted one.
        if (!tag.empty() && tag != "?" && tag != "!") {
            this->report(mark, "unknown tag '" + tag + "'");
        }
    }

    void open(const YAML::Mark &mark, const std::string &tag, YAML::anchor_t anchor, DocumentKind kind)
    {
        this->reportAnchor(mark, anchor);
        this->reportUnknownTag(mark, tag);
        this->levels.push_back({this->makeNode(mark, kind), false, {}});
    }

    void close()
    {
        DocumentNode node = std::move(this->levels.back().node);
        this->levels.pop_back();
        this->addValue(std::move(node));
    }

    void addValue(DocumentNode node)
    {
        if (this->levels.empty()) {
            this->root = std::move(node);
            return;
        }
        Level &level = this->levels.back();
        if (level.node.kind == DocumentKind::List) {
            DocumentLocation location = node.location;
            level.node.entries.push_back({"", std::move(location), std::move(node)});
            return;
        }
        if (!level.hasKey) {
            this->takeKey(level, std::move(node));
            return;
        }
        level.hasKey = false;
        if (level.key.text.empty()) {
            return;
        }
        if (level.node.find(level.key.text) != nullptr) {
            this->findings.add({this->file,
                                level.key.location.line,
                                level.key.location.column,
                                joinPath(this->currentPath(), level.key.text),
                                "duplicate name '" + level.key.text + "'"});
            return;
        }
        level.node.entries.push_back({level.key.text, level.key.location, std::move(node)});
    }

    void takeKey(Level &level, DocumentNode key)
    {
        if (key.kind != DocumentKind::Text || key.text.empty()) {
            this->findings.add({this->file, key.location.line, key.location.column, this->currentPath(), "a key must be text"});
            key.text.clear();
        }
        level.key = std::move(key);
        level.hasKey = true;
    }

    const std::string &file;
    Findings &findings;
    std::vector<Level> levels;
    DocumentNode root;
};
} // namespace

const DocumentNode *DocumentNode::find(std::string_view key) const
{
    const auto entry = std::find_if(this->entries.begin(), this->entries.end(), [&](const DocumentEntry &candidate) { return candidate.key == key; });
    return entry == this->entries.end() ? nullptr : &entry->value;
}

bool haveSameContent(const DocumentNode &left, const DocumentNode &right)
{
    if (left.kind != right.kind || left.text != right.text || left.entries.size() != right.entries.size()) {
        return false;
    }
    const bool isMap = left.kind == DocumentKind::Map;
    for (std::size_t i = 0; i < left.entries.size(); ++i) {
        const DocumentNode *other = isMap ? right.find(left.entries[i].key) : &right.entries[i].value;
        if (other == nullptr || !haveSameContent(left.entries[i].value, *other)) {
            return false;
        }
    }
    return true;
}

std::string joinPath(std::string_view path, std::string_view key)
{
    std::string joined(path);
    if (!joined.empty()) {
        joined += '.';
    }
    joined += key;
    return joined;
}

std::optional<DocumentNode> parseDocument(const std::string &file, const std::string &text, Findings &findings)
{
    if (text.size() > maxDocumentBytes) {
        findings.add({file, 1, 1, "", "the file is larger than 1 MiB"});
        return std::nullopt;
    }
    TreeBuilder builder(file, findings);
    try {
        std::istringstream stream(text);
        YAML::Parser parser(stream);
        if (!parser.HandleNextDocument(builder)) {
            findings.add({file, 1, 1, "", "the file is empty"});
            return std::nullopt;
        }
        if (parser) {
            findings.add({file, 1, 1, "", "the file contains more than one document"});
        }
    } catch (const YAML::Exception &error) {
        findings.add({file, error.mark.line + 1, error.mark.column + 1, "", "not valid YAML: " + error.msg});
        return std::nullopt;
    }
    return builder.takeRoot();
}

} // namespace Godwitfork
