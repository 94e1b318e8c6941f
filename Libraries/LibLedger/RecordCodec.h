#pragma once

#include "LibLedger/JournalEntry.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Godwitfork
{

/// Encodes a billing record as it is written in batch objects and journal messages.
nlohmann::json toJson(const BillingRecord &record);
/// Fails with `malformed_record` if a field is missing or has the wrong type, and with `invalid_record` if the outcome is
/// unknown or BillingRecordBuilder::build fails.
ErrorOr<BillingRecord> recordFromJson(const nlohmann::json &value);

/// Encodes the body of a batch object as JSON, so that accounting tools can read it without this project's code.
std::string encodeBatch(const std::vector<std::shared_ptr<const BillingRecord>> &records);
/// Fails as `recordFromJson` does, and with `malformed_record` if the body is not valid JSON.
ErrorOr<std::vector<BillingRecord>> decodeBatch(std::string_view body);

/// Codec for journal messages between peers, as CBOR. The `decode` functions fail with `malformed_message` if the bytes
/// are not such a message, and with `invalid_record` if a record in it is invalid.
std::vector<std::uint8_t> encodeAppend(const JournalAppend &message);
ErrorOr<JournalAppend> decodeAppend(const std::vector<std::uint8_t> &bytes);
std::vector<std::uint8_t> encodeAck(const JournalAck &message);
ErrorOr<JournalAck> decodeAck(const std::vector<std::uint8_t> &bytes);
std::vector<std::uint8_t> encodeDrop(const JournalDrop &message);
ErrorOr<JournalDrop> decodeDrop(const std::vector<std::uint8_t> &bytes);

/// Returns the size of the record in a batch object, in bytes.
std::size_t encodedSize(const BillingRecord &record);

} // namespace Godwitfork
