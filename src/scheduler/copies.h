// SPDX-License-Identifier: Apache-2.0
// Speculative copies of slow runs: which running tasks get a second run on another worker, and what
// happens when one of the two runs ends. Private to src/scheduler.
#pragma once

#include "scheduler/pass.h"

namespace valveshelf::sched {

/// True if tasks of the step may have copies while the feature is in force.
bool mayHaveCopies(const StepSpec &Step);
/// The attempt of the task's copy; null if it has none.
Attempt *copyOf(const StepState &Step, uint32_t Index);

/// What is known of a run whose end is to be predicted.
struct RunProgress {
  TimePoint StartedAt{};
  RunTime Expected;                 ///< On its worker.
  std::optional<ProgressBase> From; ///< Empty: its progress can't be used.
  int Percent = 0;                  ///< The last reported progress,
  TimePoint PercentAt{};            ///< when it was read first,
  TimePoint ReportAskedAt{};        ///< and when the last report that showed it was requested.
};
/// When the run is predicted to end; empty if it is not known to be slow. Pure.
std::optional<TimePoint> predictEnd(const RunProgress &Run, TimePoint Now);

/// Times that decide whether a copy is worthwhile.
struct CopyTimes {
  TimePoint SlowEnd{};       ///< Predicted end of the run,
  TimePoint CopyEnd{};       ///< and of a copy started now.
  Milliseconds Expected{0};  ///< Of a run on an ordinary worker.
  Milliseconds Following{0}; ///< The longest chain of the steps that follow.
  TimePoint Objective{};     ///< Of the job.
  TimePoint UsefulUntil{};   ///< A result after this is of no use.
};
/// True if the copy ends clearly earlier, the objective is at risk, and the copy's end is useful.
/// Pure.
bool isWorthwhile(const CopyTimes &Times);

/// Starts copies of slow runs. Call after the placement pass; decides at most once per
/// `CopyDecisionInterval`.
void startCopies(PlacementPass &Pass);
inline constexpr Milliseconds CopyDecisionInterval{100};

/// Notes that a step has an attempt, for the index of steps that may have copies.
void indexStep(CellState &Cell, const StepState &Step);
/// Rebuilds the index when the feature is switched on, clears it when it is switched off. Copies
/// that run go on.
void resetCopyIndex(CellState &Cell);
/// Makes a copy of the task and books its resources.
Attempt &bookCopy(CellState &Cell, StepState &Step, uint32_t Index, Worker &On, uint32_t Run,
                  AttemptPhase Phase, const Job &Of, TimePoint Now);
/// True if a run that this scheduler did not start is taken over as the copy of the task.
bool canAdoptCopy(const Job &Of, const StepState &Step, const TaskState &Task, const Worker &On);
void adoptCopy(CellState &Cell, StepState &Step, Worker &On, const RunKey &Run, TimePoint Now);
/// The attempt of the task has been removed: its copy, if there is one, becomes the attempt.
/// Returns false if there is none.
bool promoteCopy(CellState &Cell, StepState &Step, uint32_t Index);
/// The run is over, or was never started. Does nothing if it was no copy. Call after `unbook`.
void noteCopyEnded(CellState &Cell, const RunKey &Run, RunOutcome How, TimePoint Now, Effects &Out);
/// The run has completed its task, whose copy, if there is one, has lost.
void noteCopyLost(CellState &Cell, const RunKey &Done);
/// True if a run of a task with a copy may be stopped because the other run goes on.
bool continuesElsewhere(const StepState &Step, const RunKey &Run);

} // namespace valveshelf::sched
