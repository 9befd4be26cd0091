// SPDX-License-Identifier: Apache-2.0
// Where tasks could run: the box list, and what peers last told about their shards' room.
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

/// What a shard last told of its room.
struct ShardLoad {
  Resources Free;
  Resources LargestFree;
  uint32_t Workers = 0;
  uint32_t Queued = 0;
  uint64_t Epoch = 0;
  TimePoint ReceivedAt{};
  std::map<std::string, Resources> Use; ///< By "partner/team" and "partner".
};

/// Safe from any thread.
class ShardDirectory {
public:
  explicit ShardDirectory(uint32_t Shards);

  void setBoxes(BoxList Boxes);
  std::shared_ptr<const BoxList> boxes() const;
  /// Takes in a summary unless a newer epoch was heard.
  void applySummary(const wire::ShardSummary &Summary, TimePoint Now);
  std::map<uint32_t, ShardLoad> loads() const;

  /// What \p Key, a team or partner, has booked on all shards but \p ExceptShard, as last heard.
  Resources usedElsewhere(const std::string &Key, uint32_t ExceptShard) const;

  /// The workers of one shard.
  BoxList workersOf(uint32_t Shard) const;
  /// The shards with a box that could ever hold a task of \p Spec; empty: impossible.
  std::vector<uint32_t> capableShards(const JobSpec &Spec) const;
  /// Why no box could hold it, with counts; for the answer to an impossible job.
  std::string explainImpossible(const JobSpec &Spec) const;
  /// True if another shard than \p ExceptShard told of room for one more task.
  bool hasRoomElsewhere(const JobSpec &Spec, uint32_t ExceptShard, TimePoint Now) const;
  /// Shares \p Count tasks out: to shards with room first, by \p Pack the fullest or emptiest
  /// of them; what finds no room goes to the capable shard with the shortest queue. Room given
  /// out is taken off until the shard tells anew.
  std::vector<std::pair<uint32_t, uint32_t>> chooseShards(const JobSpec &Spec, uint32_t Count,
                                                          bool Pack, TimePoint Now);

private:
  bool canHold(const BoxInfo &Box, const JobSpec &Spec, const Selector &Wanted) const;

  const uint32_t Shards;
  mutable std::mutex Mutex;
  // All below is guarded by Mutex.
  std::shared_ptr<const BoxList> Boxes;
  std::map<uint32_t, BoxList> Workers;
  std::map<uint32_t, ShardLoad> Loads;
  mutable std::map<std::string, std::vector<uint32_t>> CapableCache;
};

} // namespace valveshelf
