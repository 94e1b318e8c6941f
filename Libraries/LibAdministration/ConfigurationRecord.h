#pragma once

#include "LibConfiguration/Configuration.h"
#include "LibObjectStore/ObjectStoreClient.h"

#include <compare>
#include <cstdint>
#include <string>

namespace Godwitfork
{

/// Describes the request that stored a configuration. Kept in the same object as the configuration, so that both change
/// together.
struct ApplyMetadata {
    /// Idempotency key, unique for each apply. Identifies a write whose response was lost.
    std::string token;
    /// Revision that this one replaces; 0 for the first.
    ObjectVersion basedOn = 0;
    /// First digits of the hash of the operator's key.
    std::string operatorId;
    /// Time of the apply in microseconds since 1970.
    std::int64_t appliedAt = 0;
    std::string comment;

    auto operator<=>(const ApplyMetadata &) const = default;
};

/// One stored revision. Its number is the version that the store gave the object `configuration/current` at the write.
struct ConfigurationRecord {
    ObjectVersion revision = 0;
    ApplyMetadata metadata;
    Configuration configuration;

    auto operator<=>(const ConfigurationRecord &) const = default;
};

/// Value of `configuration/current`. Readers that need only the configuration ignore the member `apply`.
std::string toStoredValue(const ApplyMetadata &metadata, const Configuration &configuration);
/// Value of a history entry. It contains the revision, because the archived object has a version of its own.
std::string toHistoryValue(const ConfigurationRecord &record);
/// Parses a current value or a history entry. A value without a revision takes the object's version.
ErrorOr<ConfigurationRecord> recordFromObject(const StoredObject &object);

/// Name of a history entry; names sort by revision.
std::string historyName(ObjectVersion revision);

} // namespace Godwitfork
