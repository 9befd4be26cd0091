// SPDX-License-Identifier: Apache-2.0
// Which shards this process owns: claims after deaths, hand-overs to joiners and in planned
// stops, and the snapshots that keep the journal short.
#pragma once

#include "valveshelf/shard_runner.h"
#include "valveshelf/steady_timer.h"

#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>

namespace valveshelf {

/// Safe from any thread.
class Ownership {
public:
  /// \p Tools is what each shard runner gets. \p Promises answers for this process as a guardian.
  Ownership(ShardTools Tools, MemberInfo Self, PromiseKeeper &Promises);

  /// The runner of an owned shard, or null.
  std::shared_ptr<ShardRunner> find(uint32_t Shard) const;
  std::vector<std::shared_ptr<ShardRunner>> all() const;

  /// Claims, hands over and snapshots until `stop`.
  Awaitable<void> run();
  /// Looks at the view again soon.
  void wake();
  /// Hands every shard to its next owner. Returns how many could not be handed over.
  Awaitable<size_t> releaseAll();
  /// Ends everything at once; after a fence.
  void stop();
  /// Starts that were handed to the network and not answered, over all runners ever had.
  int startsInFlight() const;
  /// Seals this process's own journal and erases it; after `releaseAll` left nothing.
  Awaitable<void> eraseJournal();
  /// How many shards were claimed and released here.
  uint64_t claims() const { return Claims; }

private:
  Awaitable<void> reconcile();
  Awaitable<void> claim(uint32_t Shard, OwnerRecord Old);
  Awaitable<void> claimUnowned(uint32_t Shard);
  Awaitable<void> claimReleased(uint32_t Shard, OwnerRecord Old);
  Awaitable<bool> fence(std::string LogId);
  Awaitable<void> takeOver(OwnerRecord Old, std::vector<wire::Record> Records,
                           bool PredecessorGone);
  Awaitable<Result<uint64_t>> writeOwner(OwnerRecord Record, uint64_t Expect);
  Awaitable<bool> release(std::shared_ptr<ShardRunner> Runner, std::string Successor);
  Awaitable<void> snapshot();
  Awaitable<void> collectGarbage();
  bool isMine(const OwnerRecord &Record) const;

  const ShardTools Tools;
  const MemberInfo Self;
  PromiseKeeper &Promises;
  SteadyTimer Wake;
  std::atomic<bool> Stopped{false};
  std::atomic<bool> Leaving{false};
  std::atomic<uint64_t> Claims{0};
  mutable std::mutex Mutex;
  // All below is guarded by Mutex.
  std::map<uint32_t, std::shared_ptr<ShardRunner>> Runners;
  std::map<uint32_t, TimePoint> OwnerlessSince; ///< Of shards whose owner is not a member.
  std::map<uint32_t, TimePoint> MisplacedSince; ///< Of own shards that another should own.
  std::map<std::string, TimePoint> SealedSince; ///< Journals sealed here and not yet erased: when
                                                ///< an owner record named them last.
};

} // namespace valveshelf
