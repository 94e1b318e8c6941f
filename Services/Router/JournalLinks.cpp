#include "JournalLinks.h"

#include "LibCore/Log.h"
#include "LibLedger/RecordCodec.h"

#include <nlohmann/json.hpp>

#include <variant>

namespace Godwitfork
{

namespace
{
void logDroppedMessage(const std::string &sender, const std::string &reason)
{
    logEvent(LogLevel::Warning, "journal.message_dropped", {{"peer", sender}, {"reason", reason}});
}

/// Passes a decoded message to `receive` if its owner is `expectedOwner`, because only the owner may extend or drop its
/// journal. An empty `expectedOwner` accepts any owner.
template<typename Message, typename Receive>
void deliverMessage(const std::string &sender, const ErrorOr<Message> &message, const std::string &expectedOwner, Receive receive)
{
    if (!message) {
        logDroppedMessage(sender, message.error().message);
        return;
    }
    const Message &decoded = message.assume_value();
    if (!expectedOwner.empty() && decoded.owner != expectedOwner) {
        logDroppedMessage(sender, "the message modifies the journal of another owner, " + decoded.owner);
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
        deliverMessage(sender, decodeAppend(append->body), sender, [&ledger](const JournalAppend &decoded) { ledger.receiveAppend(decoded); });
        return true;
    }
    if (const auto *drop = std::get_if<JournalDropMessage>(&message)) {
        deliverMessage(sender, decodeDrop(drop->body), sender, [&ledger](const JournalDrop &decoded) { ledger.receiveDrop(decoded); });
        return true;
    }
    if (const auto *ack = std::get_if<JournalAckMessage>(&message)) {
        deliverMessage(sender, decodeAck(ack->body), "", [&ledger, &sender](const JournalAck &decoded) { ledger.receiveAck(sender, decoded); });
        return true;
    }
    return false;
}

} // namespace Godwitfork
