#pragma once

#include "LedgerService.h"
#include "LibPeer/PeerNetwork.h"

#include <string>

namespace Godwitfork
{

/// Makes the ledger send its journal messages over the peer links. The network must outlive the last use of the ledger.
void connectJournal(LedgerService &ledger, PeerNetwork &network);

/// Passes a journal message of an authenticated peer to the ledger, on the control thread. Returns false for messages of any
/// other kind. Malformed messages, and messages that modify the journal of an owner other than the sender, are logged and
/// dropped.
bool handleJournalMessage(LedgerService &ledger, const std::string &sender, const PeerMessage &message);

} // namespace Godwitfork
