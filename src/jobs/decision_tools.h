// SPDX-License-Identifier: Apache-2.0
// Helpers for building journal records, shared by the decisions of home and running shards.
#pragma once

#include "valveshelf/events.h"
#include "valveshelf/shard_decisions.h"

namespace valveshelf {

inline wire::TaskKey wireKey(const TaskKey &Key) {
  wire::TaskKey Wire;
  Wire.set_job(Key.Job);
  Wire.set_index(Key.Index);
  return Wire;
}

/// Builds records, applies each to the state, and collects them in a decision.
class Recorder {
public:
  Recorder(ShardState &State, Decision &Out, TimePoint Now) : State(State), Out(Out), Now(Now) {}

  /// Applies \p NewRecord and adds it to the decision.
  void add(wire::Record NewRecord) {
    NewRecord.set_shard(State.Id);
    applyRecord(State, NewRecord, Now);
    Out.Records.push_back(std::move(NewRecord));
  }

  /// Records that a start did not take effect, and queues the task again.
  void startVoid(const AssignedTask &Task, const std::string &Why, bool CountsAsTry) {
    wire::Record NewRecord;
    *NewRecord.mutable_start_void()->mutable_key() = wireKey(Task.Key);
    NewRecord.mutable_start_void()->set_attempt(Task.Attempt);
    NewRecord.mutable_start_void()->set_why(Why);
    NewRecord.mutable_start_void()->set_counts_as_try(CountsAsTry);
    Out.Notices.push_back({&events::TaskRequeued, toString(Task.Key), Why});
    add(std::move(NewRecord));
  }

  /// Records the end of a task; \p Outcome None returns it to its home shard.
  void taskEnded(const AssignedTask &Task, TaskOutcome Outcome, const std::string &Detail,
                 WallTime When) {
    wire::Record NewRecord;
    wire::PartEnded &Ended = *NewRecord.mutable_part_ended();
    *Ended.mutable_key() = wireKey(Task.Key);
    Ended.set_outcome(static_cast<int>(Outcome));
    Ended.set_detail(Detail);
    Ended.set_ended_ms(When.time_since_epoch().count());
    if (Outcome == TaskOutcome::Unknown)
      Out.Notices.push_back({&events::TaskUnknown, toString(Task.Key), Detail});
    add(std::move(NewRecord));
  }

private:
  ShardState &State;
  Decision &Out;
  const TimePoint Now;
};

} // namespace valveshelf
