#include "LibCore/Finding.h"

#include <utility>

namespace Godwitfork
{

void Findings::add(Finding finding)
{
    this->list.push_back(std::move(finding));
}

void Findings::append(const Findings &other)
{
    this->list.insert(this->list.end(), other.list.begin(), other.list.end());
}

bool Findings::isEmpty() const
{
    return this->list.empty();
}

const std::vector<Finding> &Findings::entries() const
{
    return this->list;
}

std::string Findings::toText() const
{
    std::string text;
    for (const Finding &finding : this->list) {
        text += finding.file + ":" + std::to_string(finding.line) + ":" + std::to_string(finding.column) + ": ";
        if (!finding.path.empty()) {
            text += finding.path + ": ";
        }
        text += finding.message + "\n";
    }
    return text;
}

} // namespace Godwitfork
