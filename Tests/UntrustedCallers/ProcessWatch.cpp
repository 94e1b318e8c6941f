#include "ProcessWatch.h"

#include <boost/filesystem.hpp>
#include <sys/resource.h>

#include <fstream>
#include <iterator>
#include <stdexcept>
#include <string>

namespace Godwitfork
{

namespace
{
constexpr Duration steadyTime = std::chrono::seconds(2);
} // namespace

std::size_t peakResidentBytes(int processId)
{
    std::ifstream file("/proc/" + std::to_string(processId) + "/status");
    const std::string name = "VmHWM:";
    for (std::string line; std::getline(file, line);) {
        if (line.starts_with(name)) {
            return std::stoul(line.substr(name.size())) * 1024;
        }
    }
    return 0;
}

int openDescriptors(int processId)
{
    boost::system::error_code error;
    const boost::filesystem::directory_iterator folder("/proc/" + std::to_string(processId) + "/fd", error);
    return static_cast<int>(std::distance(folder, boost::filesystem::directory_iterator()));
}

ResidentWatch::ResidentWatch(int processId) : processId(processId), changedAt(monotonicNow())
{
}

bool ResidentWatch::isSteady()
{
    const std::size_t now = peakResidentBytes(this->processId);
    if (now != this->peak) {
        this->peak = now;
        this->changedAt = monotonicNow();
    }
    return monotonicNow() - this->changedAt >= steadyTime;
}

DescriptorLimit::DescriptorLimit(int descriptors)
{
    rlimit limit {};
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0) {
        throw std::runtime_error("the limit of descriptors is not known");
    }
    this->previous = limit.rlim_cur;
    limit.rlim_cur = static_cast<rlim_t>(descriptors);
    ::setrlimit(RLIMIT_NOFILE, &limit);
}

DescriptorLimit::~DescriptorLimit()
{
    rlimit limit {};
    ::getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = this->previous;
    ::setrlimit(RLIMIT_NOFILE, &limit);
}

} // namespace Godwitfork
