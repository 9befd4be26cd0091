// SPDX-License-Identifier: Apache-2.0
// Fencing: ensures that a failed owner can no longer act before its shards are taken over.
#pragma once

#include "valveshelf/journal.h"
#include "valveshelf/peer_link.h"

#include <string>

namespace valveshelf {

/// Dependencies and settings of a claimant.
struct FenceTools {
  StoreOps Store;
  PeerOps Peers;
  std::string Claimant; ///< Journal of the claiming process.
  Endpoint Address;     ///< Address at which the claimant serves as a guardian.
  /// Answers a refuse request when the claimant itself is the guardian.
  std::function<wire::RefuseReply(const wire::RefuseRequest &)> RefuseLocally;
  /// True if the process of a journal is proven gone: nothing listens at its address any more.
  /// Neither lease expiry nor a guardian's refusal is required then.
  std::function<bool(const std::string &LogId)> ProvenGone = [](const std::string &) {
    return false;
  };
  Milliseconds Promise{1500};
  Milliseconds Margin{300};
  uint32_t RingSlots = JournalLimits{}.RingSlots;
};

/// Seals the journal \p LogId so that its owner can no longer act. Steps, in this order: read the
/// journal; check that the lease has expired; get one guardian to refuse, or prove it gone, and
/// wait until its last promise expires; collect the witnessed entries that guardians hold for the
/// owner; seal the slot that was empty in the first step. Returns Conflict if the owner is alive or
/// another claimant was faster, or if no guardian answers and one may be alive.
Awaitable<Result<Done>> fenceJournal(FenceTools Tools, std::string LogId);

} // namespace valveshelf
