// SPDX-License-Identifier: Apache-2.0
// State of speculative copies: second runs of tasks whose first run is slow. Decided in
// scheduler/copies.h; docs/design/copies.md describes them.
#pragma once

#include "valveshelf/workload.h"

#include <map>
#include <optional>
#include <set>

namespace valveshelf::sched {

struct Worker;

/// The copy of a task. A member of `TaskState`.
/// Invariant: while On is set, the task has another attempt (`TaskState::AssignedWorker`), and
/// `Worker::Attempts` of On holds the run with `Attempt::IsCopy`.
struct TaskCopy {
  Worker *On = nullptr;      ///< Null: the task has no copy.
  uint32_t Run = 0;          ///< Run number of the copy, or of the last one.
  TimePoint NotBefore{};     ///< No copy is started before, after one that ended without effect.
  int CheckpointPercent = 0; ///< Progress at which the task's checkpoint was saved; 0: unknown.
};

/// Progress from which the speed of a run is measured.
struct ProgressBase {
  int Percent = 0;
  TimePoint At{};
};

/// A copy whose run may still be there. Kept when the copy becomes the only run of its task.
struct CopyRecord {
  uint32_t SlowRun = 0; ///< The run that was copied.
  std::string Service;
  Resources Need; ///< Booked on its worker.
  TimePoint StartedAt{};
  TimePoint PredictedEnd{}; ///< Of the slow run; zero: unknown.
  TimePoint CopyEnd{};      ///< Predicted when the copy was started; zero: unknown.
  bool HasLost = false;     ///< The slow run has completed the task.
};

/// Copies of the cell. A member of `CellState`.
struct CopyState {
  /// Steps that may have copies and had an attempt; those that are over are removed by the
  /// decision. Empty while the feature is off.
  std::set<StepKey> Steps;
  std::map<RunKey, CopyRecord> Records; ///< By run of the copy.
  TimePoint NextDecision{};
  std::optional<StepKey> Cursor; ///< Where the next decision continues in Steps.
};

/// How a copy ended.
enum class CopyWinner {
  None, ///< It was stopped, failed or was lost before the task was done.
  Copy,
  Slow, ///< The run that was copied completed the task first.
};
std::string_view toString(CopyWinner Winner);

} // namespace valveshelf::sched
