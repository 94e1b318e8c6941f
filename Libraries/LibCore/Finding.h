#pragma once

#include <compare>
#include <string>
#include <vector>

namespace Godwitfork
{

/// One problem in a piece of input, with its place. Lines and columns count from 1; 0 means that the place is unknown.
struct Finding {
    std::string file;
    int line = 0;
    int column = 0;
    std::string path;
    std::string message;

    auto operator<=>(const Finding &) const = default;
};

/// Collects every problem of an input, so that they are reported together.
class Findings
{
public:
    void add(Finding finding);
    void append(const Findings &other);
    bool isEmpty() const;
    const std::vector<Finding> &entries() const;
    /// One line for each finding: `file:line:column: path: message`.
    std::string toText() const;

    bool operator==(const Findings &) const = default;

private:
    std::vector<Finding> list;
};

} // namespace Godwitfork
