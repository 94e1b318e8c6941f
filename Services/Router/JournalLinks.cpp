#include "JournalLinks.h"

#include "LibCore/Log.h"
#include "LibLedger/RecordCodec.h"

#include <nlohmann/json.hpp>

#include <variant>

namespace Godwitfork
{

namespace
{
void logDropped(const std::string &sender, const std::string &reason)
{
    logEvent(LogLevel::Warning, "journal.message_dropped", {{"peer", sender}, {"reason", reason}});
}

/// Hands a message to `receive` if it could be decoded and its owner is `expectedOwner`; only an owner may extend or drop its
/// journal.
template<typename Message, typename Receive>
void handOver(const std::string &sender, const ErrorOr<Message> &message, const std::string &expectedOwner, Receive receive)
{
    if (!message) {
        logDropped(sender, message.error().message);
        return;
    }
    const Message &decoded = message.assume_value();
    if (!expectedOwner.empty() && decoded.owner != expectedOwner) {
        logDropped(sender, "the journal belongs to " + decoded.owner);
        return;
    }
    receive(decoded);
}
} // namespace

void connectJournal(LedgerService &ledger, PeerNetwork &network)
{
    JournalTransport transport;
    transport.append = [&network](const std::string &keeper, const JournalAppend &message) {
        network.send(keeper, JournalAppendMessage {encodeAppend(message)});
    };
    transport.drop = [&network](const std::string &keeper, const JournalDrop &message) { network.send(keeper, JournalDropMessage {encodeDrop(message)}); };
    transport.acknowledge = [&network](const std::string &owner, const JournalAck &message) { network.send(owner, JournalAckMessage {encodeAck(message)}); };
    ledger.setTransport(std::move(transport));
}

bool handleJournalMessage(LedgerService &ledger, const std::string &sender, const PeerMessage &message)
{
    if (const auto *append = std::get_if<JournalAppendMessage>(&message)) {
        handOver(sender, decodeAppend(append->body), sender, [&ledger](const JournalAppend &decoded) { ledger.receiveAppend(decoded); });
        return true;
    }
    if (const auto *drop = std::get_if<JournalDropMessage>(&message)) {
        handOver(sender, decodeDrop(drop->body), sender, [&ledger](const JournalDrop &decoded) { ledger.receiveDrop(decoded); });
        return true;
    }
    if (const auto *ack = std::get_if<JournalAckMessage>(&message)) {
        handOver(sender, decodeAck(ack->body), "", [&ledger, &sender](const JournalAck &decoded) { ledger.receiveAck(sender, decoded); });
        return true;
    }
    return false;
}

} // namespace Godwitfork
