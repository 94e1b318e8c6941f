#include "LibLedger/RecordCodec.h"

#include <nlohmann/json.hpp>

#include <type_traits>
#include <utility>

namespace Godwitfork
{

using Json = nlohmann::json;

namespace
{
constexpr int formatVersion = 1;

Json toJson(const ModelStep &step)
{
    return {{"model", step.model},
            {"version", step.version},
            {"endpoint", step.endpoint},
            {"prompt_tokens", step.promptTokens},
            {"completion_tokens", step.completionTokens},
            {"cost", step.cost}};
}

ModelStep stepFromJson(const Json &value)
{
    ModelStep step;
    value.at("model").get_to(step.model);
    value.at("version").get_to(step.version);
    value.at("endpoint").get_to(step.endpoint);
    value.at("prompt_tokens").get_to(step.promptTokens);
    value.at("completion_tokens").get_to(step.completionTokens);
    value.at("cost").get_to(step.cost);
    return step;
}

ErrorOr<BillingRecord> readRecord(const Json &value)
{
    BillingRecordBuilder builder;
    builder.requestId(value.at("request_id").get<std::string>());
    builder.account(value.at("account").get<std::string>());
    builder.site(value.at("site").get<std::string>());
    builder.outcome(TRY(outcomeFromName(value.at("outcome").get<std::string>())));
    builder.amount(value.at("amount").get<Microunits>());
    builder.houseCost(value.at("house_cost").get<Microunits>());
    builder.admitted(WallTime(Duration(value.at("admitted").get<std::int64_t>())));
    for (const Json &step : value.at("steps")) {
        builder.step(stepFromJson(step));
    }
    return builder.build();
}

Json toJson(const JournalEntry &entry)
{
    if (entry.record) {
        return {{"sequence", entry.sequence}, {"record", Godwitfork::toJson(*entry.record)}};
    }
    return {{"sequence", entry.sequence}, {"request_id", entry.open.requestId}, {"account", entry.open.account}, {"site", entry.open.site}};
}

ErrorOr<JournalEntry> readEntry(const Json &value)
{
    const auto sequence = value.at("sequence").get<std::uint64_t>();
    if (value.contains("record")) {
        return recordEntry(sequence, TRY(readRecord(value.at("record"))));
    }
    return openEntry(sequence, {value.at("request_id").get<std::string>(), value.at("account").get<std::string>(), value.at("site").get<std::string>()});
}

Json header(const char *type, const std::string &owner, std::uint64_t term)
{
    return {{"type", type}, {"version", formatVersion}, {"owner", owner}, {"term", term}};
}

/// Calls `read` and converts a JSON exception, which malformed input causes, into an error with `code`.
template<typename Read>
std::invoke_result_t<Read> convertJsonException(const char *code, Read read)
{
    try {
        return read();
    } catch (const Json::exception &failure) {
        return Error {code, failure.what()};
    }
}

void requireType(const Json &value, const char *type)
{
    if (value.at("type").get<std::string>() != type || value.at("version").get<int>() != formatVersion) {
        throw Json::other_error::create(501, "journal message has an unexpected type or format version", &value);
    }
}

Json releaseFlag(ReplicaRelease release)
{
    return release == ReplicaRelease::Release;
}

ReplicaRelease releaseFromJson(const Json &value)
{
    return value.at("release").get<bool>() ? ReplicaRelease::Release : ReplicaRelease::Keep;
}
} // namespace

Json toJson(const BillingRecord &record)
{
    Json steps = Json::array();
    for (const ModelStep &step : record.steps()) {
        steps.push_back(toJson(step));
    }
    return {{"request_id", record.requestId()},
            {"account", record.account()},
            {"site", record.site()},
            {"outcome", outcomeName(record.outcome())},
            {"amount", record.amount()},
            {"house_cost", record.houseCost()},
            {"admitted", record.admitted().time_since_epoch().count()},
            {"steps", std::move(steps)}};
}

ErrorOr<BillingRecord> recordFromJson(const Json &value)
{
    return convertJsonException("malformed_record", [&value] { return readRecord(value); });
}

std::string encodeBatch(const std::vector<std::shared_ptr<const BillingRecord>> &records)
{
    Json list = Json::array();
    for (const auto &record : records) {
        list.push_back(toJson(*record));
    }
    const Json body = {{"version", formatVersion}, {"records", std::move(list)}};
    return body.dump(-1, ' ', false, Json::error_handler_t::replace);
}

ErrorOr<std::vector<BillingRecord>> decodeBatch(std::string_view body)
{
    return convertJsonException("malformed_record", [body]() -> ErrorOr<std::vector<BillingRecord>> {
        std::vector<BillingRecord> records;
        const Json parsed = Json::parse(body);
        for (const Json &value : parsed.at("records")) {
            records.push_back(TRY(readRecord(value)));
        }
        return records;
    });
}

std::vector<std::uint8_t> encodeAppend(const JournalAppend &message)
{
    Json value = header("JournalAppend", message.owner, message.term);
    value["previous_sequence"] = message.previousSequence;
    value["sequence"] = message.sequence;
    value["complete"] = message.complete;
    Json &entries = value["entries"] = Json::array();
    for (const JournalEntry &entry : message.entries) {
        entries.push_back(toJson(entry));
    }
    return Json::to_cbor(value);
}

ErrorOr<JournalAppend> decodeAppend(const std::vector<std::uint8_t> &bytes)
{
    return convertJsonException("malformed_message", [&bytes]() -> ErrorOr<JournalAppend> {
        const Json value = Json::from_cbor(bytes);
        requireType(value, "JournalAppend");
        JournalAppend message;
        value.at("owner").get_to(message.owner);
        value.at("term").get_to(message.term);
        value.at("previous_sequence").get_to(message.previousSequence);
        value.at("sequence").get_to(message.sequence);
        value.at("complete").get_to(message.complete);
        for (const Json &entry : value.at("entries")) {
            message.entries.push_back(TRY(readEntry(entry)));
        }
        return message;
    });
}

std::vector<std::uint8_t> encodeAck(const JournalAck &message)
{
    Json value = header("JournalAck", message.owner, message.term);
    value["sequence"] = message.sequence;
    value["release"] = releaseFlag(message.release);
    return Json::to_cbor(value);
}

ErrorOr<JournalAck> decodeAck(const std::vector<std::uint8_t> &bytes)
{
    return convertJsonException("malformed_message", [&bytes]() -> ErrorOr<JournalAck> {
        const Json value = Json::from_cbor(bytes);
        requireType(value, "JournalAck");
        return JournalAck {value.at("owner"), value.at("term"), value.at("sequence"), releaseFromJson(value)};
    });
}

std::vector<std::uint8_t> encodeDrop(const JournalDrop &message)
{
    Json value = header("JournalDrop", message.owner, message.term);
    value["through_sequence"] = message.throughSequence;
    value["release"] = releaseFlag(message.release);
    return Json::to_cbor(value);
}

ErrorOr<JournalDrop> decodeDrop(const std::vector<std::uint8_t> &bytes)
{
    return convertJsonException("malformed_message", [&bytes]() -> ErrorOr<JournalDrop> {
        const Json value = Json::from_cbor(bytes);
        requireType(value, "JournalDrop");
        return JournalDrop {value.at("owner"), value.at("term"), value.at("through_sequence"), releaseFromJson(value)};
    });
}

std::size_t encodedSize(const BillingRecord &record)
{
    return toJson(record).dump(-1, ' ', false, Json::error_handler_t::replace).size();
}

} // namespace Godwitfork
