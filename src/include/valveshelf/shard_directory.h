// SPDX-License-Identifier: Apache-2.0
// The box list and the last reported load of every shard, from which the shards for tasks are
// chosen.
#pragma once

#include "valveshelf/box.h"
#include "valveshelf/clock.h"
#include "valveshelf/job.h"

#include "peer.pb.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace valveshelf {

/// Load last reported by a shard.
struct ShardLoad {
  Resources Free;
  Resources LargestFree; ///< Of the worker with the most free capacity.
  uint32_t Workers = 0;
  uint32_t Queued = 0;
  uint64_t Epoch = 0;
  TimePoint ReceivedAt{};
  std::map<std::string, Resources> Use; ///< Booked capacity by "partner/team" and "partner".
};

/// Thread-safe.
class ShardDirectory {
public:
  explicit ShardDirectory(uint32_t Shards);

  void setBoxes(BoxList Boxes);
  std::shared_ptr<const BoxList> boxes() const;
  /// Updates the load of a shard, unless a report of a newer epoch has been received.
  void applySummary(const wire::ShardSummary &Summary, TimePoint Now);
  std::map<uint32_t, ShardLoad> loads() const;

  /// Returns the capacity that \p Key, a team or partner, has booked on all shards except
  /// \p ExceptShard, as last reported.
  Resources usedElsewhere(const std::string &Key, uint32_t ExceptShard) const;

  /// Returns the workers of one shard.
  BoxList workersOf(uint32_t Shard) const;
  /// Returns the shards with a box whose total capacity and labels suit a task of \p Spec.
  std::vector<uint32_t> capableShards(const JobSpec &Spec) const;
  /// Explains, with counts, why no box could hold a task of \p Spec; for error messages.
  std::string explainImpossible(const JobSpec &Spec) const;
  /// True if a shard other than \p ExceptShard has reported an empty queue and capacity for a task
  /// of \p Spec.
  bool hasRoomElsewhere(const JobSpec &Spec, uint32_t ExceptShard, TimePoint Now) const;
  /// Distributes \p Count tasks over shards: first to those with free capacity, fullest first if
  /// \p Pack is true and emptiest first otherwise; the rest to the capable shards with the shortest
  /// queues. The assigned capacity counts as used until the shard's next report.
  std::vector<std::pair<uint32_t, uint32_t>> chooseShards(const JobSpec &Spec, uint32_t Count,
                                                          bool Pack, TimePoint Now);

private:
  bool canHold(const BoxInfo &Box, const JobSpec &Spec, const Selector &Wanted) const;

  const uint32_t Shards;
  mutable std::mutex Mutex;
  // The members below are guarded by Mutex.
  std::shared_ptr<const BoxList> Boxes;
  std::map<uint32_t, BoxList> Workers;
  std::map<uint32_t, ShardLoad> Loads;
  mutable std::map<std::string, std::vector<uint32_t>> CapableCache;
};

} // namespace valveshelf
