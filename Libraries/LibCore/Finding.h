#pragma once

#include <compare>
#include <string>
#include <vector>

namespace Godwitfork
{

/// A problem in an input file and its position. Lines and columns are counted from 1; 0 means that the position is unknown.
struct Finding {
    std::string file;
    int line = 0;
    int column = 0;
    /// Path of the affected key in the file; empty if the problem concerns no single key.
    std::string path;
    std::string message;

    auto operator<=>(const Finding &) const = default;
};

/// Collects all problems of an input, so that they are reported together.
class Findings
{
public:
    void add(Finding finding);
    void append(const Findings &other);
    bool isEmpty() const;
    const std::vector<Finding> &entries() const;
    /// Formats one line per finding: `file:line:column: path: message`.
    std::string toText() const;

    bool operator==(const Findings &) const = default;

private:
    std::vector<Finding> list;
};

} // namespace Godwitfork
