#pragma once

#include "LibCore/Time.h"

#include <cstddef>

namespace Godwitfork
{

/// Whether the programs are built with a sanitizer, whose own memory exceeds that of the process.
#ifdef GODWITFORK_SANITIZED
constexpr bool isSanitized = true;
#else
constexpr bool isSanitized = false;
#endif

/// Largest resident size of a process since its start, in bytes.
std::size_t peakResidentBytes(int processId);
/// Open descriptors of a process.
int openDescriptors(int processId);

/// Tells when the largest resident size of a process has stopped growing: bytes that a client has sent may wait in the system for a while.
class ResidentWatch
{
public:
    explicit ResidentWatch(int processId);
    /// Whether the size has not changed for two seconds.
    bool isSteady();

private:
    int processId;
    std::size_t peak = 0;
    MonotonicTime changedAt;
};

/// Lowers the limit of open descriptors of the processes that this one starts until the end of the scope.
class DescriptorLimit
{
public:
    explicit DescriptorLimit(int descriptors);
    ~DescriptorLimit();
    DescriptorLimit(const DescriptorLimit &) = delete;
    DescriptorLimit &operator=(const DescriptorLimit &) = delete;

private:
    std::size_t previous = 0;
};

} // namespace Godwitfork
