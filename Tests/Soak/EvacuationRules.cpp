#include "EvacuationRules.h"

#include <algorithm>
#include <iterator>
#include <map>

namespace Godwitfork
{

std::vector<Arrival> findLateArrivals(const std::vector<Arrival> &arrivals,
                                      const std::vector<EvacuationTimes> &evacuations,
                                      const std::vector<RequestRecord> &records,
                                      const std::vector<Disruption> &disruptions,
                                      const EvacuationBounds &bounds)
{
    std::map<std::string, int> instances;
    for (const RequestRecord &record : records) {
        instances[record.id] = record.instance;
    }
    const auto isLate = [&](const Arrival &arrival) {
        return std::any_of(evacuations.begin(), evacuations.end(), [&](const EvacuationTimes &evacuation) {
            return evacuation.failureDomain == arrival.failureDomain && arrival.at > evacuation.begin + bounds.limit
                && (!evacuation.end || arrival.at < *evacuation.end);
        });
    };
    const auto isDisturbed = [&](const Arrival &arrival) {
        const auto instance = instances.find(arrival.request);
        return instance != instances.end() && std::any_of(disruptions.begin(), disruptions.end(), [&](const Disruption &disruption) {
                   return disruption.instance == instance->second && disruption.from <= arrival.at && disruption.until >= arrival.at - bounds.contact;
               });
    };
    std::vector<Arrival> late;
    std::copy_if(arrivals.begin(), arrivals.end(), std::back_inserter(late), [&](const Arrival &arrival) { return isLate(arrival) && !isDisturbed(arrival); });
    return late;
}

} // namespace Godwitfork
