// SPDX-License-Identifier: Apache-2.0
// Which waiting jobs of an overloaded service are left out so that the most jobs are on time, and
// how that changes the placement queue. Private to this directory.
#pragma once

#include "valveshelf/cell_state.h"

#include <array>
#include <span>
#include <utility>
#include <vector>

namespace valveshelf::sched {

/// Cores, accelerators and memory in GB, or these times seconds.
using ResourceAmounts = std::array<double, 3>;

/// A step that waits for steps before it.
struct OverloadStage {
  Milliseconds Chain{0}; ///< Of the step and those that follow it.
  ResourceAmounts Work{};
};

/// The waiting work of one round of a job.
struct OverloadEntry {
  bool IsOverShare = false;
  int Priority = 0;
  TimePoint Objective{};
  TimePoint UsefulUntil{};          ///< A result is of no use after this time.
  Milliseconds Chain{0};            ///< Of the steps that wait and those that follow them.
  ResourceAmounts Work{};           ///< Of the tasks that wait and the steps to come.
  std::vector<OverloadStage> Later; ///< The steps to come.
  ResourceAmounts Need{};           ///< Resources of the tasks that wait.
  ResourceAmounts ReadyWork{};      ///< Part of Work: of the tasks that wait.
  bool IsLongRunning = false;       ///< Holds Need until its job is cancelled. Never late.
  bool IsLate = false;              ///< Queued behind the entries that are on time already.
  bool HasBegun = false;            ///< Work of the job is done, which leaving it out would waste.
  bool IsQueued = true;             ///< False: its next steps wait for running ones.
  bool WasLeftOut = false;          ///< By the previous selection.
};

/// What a service can do.
struct OverloadCapacity {
  ResourceAmounts Total{};    ///< Not held by long-running steps.
  ResourceAmounts Free{};     ///< Of it: not in use.
  ResourceAmounts Released{}; ///< Given back per second.
  /// Used by runs that may be preempted, by the priority of their attempts.
  std::vector<std::pair<int, ResourceAmounts>> Preemptible;
  bool WasOverloaded = false;
};

struct OverloadSelection {
  bool IsOverloaded = false;
  std::vector<bool> LeftOut; ///< By index of the entry; all false unless IsOverloaded.
  /// Of the late and left-out entries, those that are not useful or left out so that more of the
  /// others stay useful.
  std::vector<bool> LateLeftOut;
};

/// Amount of work that can have been started after \p Time if each task takes \p TaskSeconds:
/// tasks of the free resources at once, then tasks of what is released. The release of resources
/// grows as shorter tasks replace the running ones, up to all of \p Total in use.
double workStartedBy(double Total, double Free, double Released, double TaskSeconds,
                     Milliseconds Time);

/// Selects the entries of one service that are on time, class by class, with the fewest left out
/// in each class (Moore and Hodgson, 1968; exact for one kind of resource and entries of one step),
/// then in the same way those of the others that stay useful. Entries that have begun are left out
/// last. Pure, O(n log n).
OverloadSelection selectInTime(std::span<const OverloadEntry> Entries,
                               const OverloadCapacity &Capacity, TimePoint Now);

/// What the last selection said of a step.
struct OverloadMarks {
  bool LeftOut = false;
  bool LateLeftOut = false;
};
OverloadMarks marksOf(const StepState &Step);
/// The key of a step that is queued now. Sets `StepState::LatestStart`.
QueueKey makeQueueKey(const CellState &Cell, const Job &J, StepState &Step,
                      const OverloadMarks &Marks, TimePoint Now);
/// Repeats the selection for all services if it is due, and updates the queue.
void updateOverloadOrder(CellState &Cell, TimePoint Now, Effects &Out);
/// Restores the order without overload.
void clearOverloadOrder(CellState &Cell);

} // namespace valveshelf::sched
