#pragma once

#include "LibConfiguration/Configuration.h"
#include "LibObjectStore/ObjectStoreClient.h"

#include <compare>
#include <cstdint>
#include <string>

namespace Godwitfork
{

/// How a configuration came into the store. It is stored beside the configuration in one object, so that both change
/// together.
struct ApplyNote {
    /// Unique for each apply; recognises a write whose answer was lost.
    std::string token;
    /// Revision that this one replaced; 0 for the first.
    ObjectVersion basedOn = 0;
    /// First digits of the operator key's hash.
    std::string operatorId;
    /// Microseconds since 1970.
    std::int64_t appliedAt = 0;
    std::string comment;

    auto operator<=>(const ApplyNote &) const = default;
};

/// One stored revision. The revision is the store's version of the object `configuration/current` when it was written.
struct ConfigurationRecord {
    ObjectVersion revision = 0;
    ApplyNote note;
    Configuration configuration;

    auto operator<=>(const ConfigurationRecord &) const = default;
};

/// Value of `configuration/current`. Readers that look for the configuration alone skip the member `apply`.
std::string toStoredValue(const ApplyNote &note, const Configuration &configuration);
/// Value of a history entry, which also states the revision, because an archived object has a version of its own.
std::string toHistoryValue(const ConfigurationRecord &record);
/// Reads either of the two; without a stated revision it is the object's version.
ErrorOr<ConfigurationRecord> recordFromObject(const StoredObject &object);

/// Name of a history entry; names sort by revision.
std::string historyName(ObjectVersion revision);

} // namespace Godwitfork
