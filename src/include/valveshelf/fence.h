// SPDX-License-Identifier: Apache-2.0
// Making sure that a lost owner can act no more, before anyone takes its shards.
#pragma once

#include "valveshelf/journal.h"
#include "valveshelf/peer_link.h"

#include <string>

namespace valveshelf {

/// What a claimant works with.
struct FenceTools {
  StoreOps Store;
  PeerOps Peers;
  std::string Claimant; ///< Its own journal.
  Endpoint Address;     ///< Where it answers as a guardian itself.
  std::function<wire::RefuseReply(const wire::RefuseRequest &)> RefuseLocally;
  /// True if the process of a journal is proven gone: nothing listens at its address any more.
  /// It had neither to lapse nor to be refused then.
  std::function<bool(const std::string &LogId)> ProvenGone = [](const std::string &) {
    return false;
  };
  Milliseconds Promise{1500};
  Milliseconds Margin{300};
  uint32_t RingSlots = JournalLimits{}.RingSlots;
};

/// Seals the journal \p LogId so that its owner can act no more. In this order: the journal is
/// read, the lease is seen to be gone, one guardian refuses or is proven gone and its last
/// promise is waited out, what guardians hold for the owner is gathered, and the slot that was
/// empty at the first step is sealed. Conflict: the owner lives, or somebody else was faster.
Awaitable<Result<Done>> fenceJournal(FenceTools Tools, std::string LogId);

} // namespace valveshelf
