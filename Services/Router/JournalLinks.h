#pragma once

#include "LedgerService.h"
#include "LibPeer/PeerNetwork.h"

#include <string>

namespace Godwitfork
{

/// Lets the ledger send its journal over the peer links. The network must outlive the ledger's use.
void connectJournal(LedgerService &ledger, PeerNetwork &network);

/// Hands a journal message of an authenticated peer to the ledger, on the control thread. False if the message is of
/// another kind; malformed messages and messages that name another sender's journal are logged and dropped.
bool handleJournalMessage(LedgerService &ledger, const std::string &sender, const PeerMessage &message);

} // namespace Godwitfork
