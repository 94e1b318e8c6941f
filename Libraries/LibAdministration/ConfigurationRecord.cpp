#include "LibAdministration/ConfigurationRecord.h"

#include <nlohmann/json.hpp>

namespace Godwitfork
{

namespace
{
/// Decimal digits of the largest 64-bit number; padding to them makes names sort by revision.
constexpr std::size_t revisionDigits = 20;

nlohmann::json storedJson(const ApplyMetadata &metadata, const Configuration &configuration)
{
    nlohmann::json json = nlohmann::json::parse(toJson(configuration));
    json["apply"] = {{"token", metadata.token},
                     {"based_on", metadata.basedOn},
                     {"operator", metadata.operatorId},
                     {"applied_at", metadata.appliedAt},
                     {"comment", metadata.comment}};
    return json;
}

ApplyMetadata metadataFromJson(const nlohmann::json &json)
{
    ApplyMetadata metadata;
    metadata.token = json.value("token", "");
    metadata.basedOn = json.value("based_on", ObjectVersion {0});
    metadata.operatorId = json.value("operator", "");
    metadata.appliedAt = json.value("applied_at", std::int64_t {0});
    metadata.comment = json.value("comment", "");
    return metadata;
}
} // namespace

std::string toStoredValue(const ApplyMetadata &metadata, const Configuration &configuration)
{
    return storedJson(metadata, configuration).dump();
}

std::string toHistoryValue(const ConfigurationRecord &record)
{
    nlohmann::json json = storedJson(record.metadata, record.configuration);
    json["revision"] = record.revision;
    return json.dump();
}

ErrorOr<ConfigurationRecord> recordFromObject(const StoredObject &object)
{
    ConfigurationRecord record;
    record.configuration = TRY(configurationFromJson(object.value));
    try {
        const nlohmann::json json = nlohmann::json::parse(object.value);
        record.revision = json.value("revision", object.version);
        // A configuration that was written without the administration API has no metadata.
        record.metadata = metadataFromJson(json.value("apply", nlohmann::json::object()));
    } catch (const nlohmann::json::exception &error) {
        return Error {"invalid_configuration", error.what()};
    }
    return record;
}

std::string historyName(ObjectVersion revision)
{
    const std::string digits = std::to_string(revision);
    return "configuration/history/" + std::string(revisionDigits - digits.size(), '0') + digits;
}

} // namespace Godwitfork
