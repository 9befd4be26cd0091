// SPDX-License-Identifier: Apache-2.0
// Shard ownership of this process: takeover after another owner fails, handover to joining
// members and at planned shutdown, and the snapshots that keep the journal short.
#pragma once

#include "valveshelf/shard_runner.h"
#include "valveshelf/steady_timer.h"

#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>

namespace valveshelf {

/// Claims, releases and snapshots the shards of this process. Safe from any thread.
class Ownership {
public:
  /// \p Tools is passed to each shard runner. \p Promises answers requests to this process as a
  /// guardian and must outlive this object.
  Ownership(ShardTools Tools, MemberInfo Self, PromiseKeeper &Promises);

  /// The runner of an owned shard, or null.
  std::shared_ptr<ShardRunner> find(uint32_t Shard) const;
  std::vector<std::shared_ptr<ShardRunner>> all() const;

  /// Claims shards, hands them over and takes snapshots until `stop`.
  Awaitable<void> run();
  /// Makes `run` compare ownership with the cell view without waiting for the poll interval.
  void wake();
  /// Hands every shard to its next owner. Returns the number that could not be handed over.
  Awaitable<size_t> releaseAll();
  /// Stops `run` and all runners immediately, without handing over; used after fencing.
  void stop();
  /// Number of start requests sent and not yet answered, over all current runners.
  int startsInFlight() const;
  /// Seals this process's own journal and erases it. Call only after `releaseAll` returned 0.
  Awaitable<void> eraseJournal();
  /// Number of shards this process has claimed.
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
  std::map<uint32_t, TimePoint> OwnerlessSince; ///< Shards whose owner is not a member.
  std::map<uint32_t, TimePoint> MisplacedSince; ///< Own shards another member should own.
  std::map<std::string, TimePoint> SealedSince; ///< Journals sealed here and not yet erased: when
                                                ///< an owner record last named them.
};

} // namespace valveshelf
