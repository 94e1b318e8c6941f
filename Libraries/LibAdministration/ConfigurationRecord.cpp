#include "LibAdministration/ConfigurationRecord.h"

#include <nlohmann/json.hpp>

namespace Godwitfork
{

namespace
{
/// Decimal digits of the largest 64-bit number.
constexpr std::size_t revisionDigits = 20;

nlohmann::json storedJson(const ApplyNote &note, const Configuration &configuration)
{
    nlohmann::json json = nlohmann::json::parse(toJson(configuration));
    json["apply"] = {
        {"token", note.token}, {"based_on", note.basedOn}, {"operator", note.operatorId}, {"applied_at", note.appliedAt}, {"comment", note.comment}};
    return json;
}

ApplyNote noteFromJson(const nlohmann::json &json)
{
    ApplyNote note;
    note.token = json.value("token", "");
    note.basedOn = json.value("based_on", ObjectVersion {0});
    note.operatorId = json.value("operator", "");
    note.appliedAt = json.value("applied_at", std::int64_t {0});
    note.comment = json.value("comment", "");
    return note;
}
} // namespace

std::string toStoredValue(const ApplyNote &note, const Configuration &configuration)
{
    return storedJson(note, configuration).dump();
}

std::string toHistoryValue(const ConfigurationRecord &record)
{
    nlohmann::json json = storedJson(record.note, record.configuration);
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
        // A configuration that was written without the administration API has no note.
        record.note = noteFromJson(json.value("apply", nlohmann::json::object()));
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
