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

nlohmann::json toJson(const BillingRecord &record);
/// Fails with `malformed_record` if a field is missing or has the wrong type, or `invalid_record` as the builder does.
ErrorOr<BillingRecord> recordFromJson(const nlohmann::json &value);

/// Body of a batch object: JSON, so that finance tools can read it without the project's code.
std::string encodeBatch(const std::vector<std::shared_ptr<const BillingRecord>> &records);
ErrorOr<std::vector<BillingRecord>> decodeBatch(std::string_view body);

/// Peer messages as CBOR. `decode` functions fail with `malformed_message`.
std::vector<std::uint8_t> encodeAppend(const JournalAppend &message);
ErrorOr<JournalAppend> decodeAppend(const std::vector<std::uint8_t> &bytes);
std::vector<std::uint8_t> encodeAck(const JournalAck &message);
ErrorOr<JournalAck> decodeAck(const std::vector<std::uint8_t> &bytes);
std::vector<std::uint8_t> encodeDrop(const JournalDrop &message);
ErrorOr<JournalDrop> decodeDrop(const std::vector<std::uint8_t> &bytes);

/// Size in a batch object, in bytes.
std::size_t encodedSize(const BillingRecord &record);

} // namespace Godwitfork
