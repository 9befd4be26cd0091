// SPDX-License-Identifier: Apache-2.0
// Learning of run times from the ends that workers report, and what the scheduler derives from the
// model. Private to src/scheduler.
#pragma once

#include "valveshelf/cell_state.h"

namespace valveshelf::sched {

/// True if decisions use the learned times: the feature is in force and, if it needs that, the
/// workers are seen to be uneven.
bool usesRunTimes(const CellState &Cell);
/// Recomputes `StepState::Timing` from the model.
void updateExpectedRunTime(const CellState &Cell, const Job &J, StepState &Step);
/// The run time expected for a task of the step from what was learned, also while `usesRunTimes` is
/// false; the caller's estimate while too little is known.
Milliseconds learnedRunTime(const CellState &Cell, const Job &J, const StepState &Step);
/// The run time expected for a task of the step on the worker.
Milliseconds expectedRunTimeOn(const CellState &Cell, const StepState &Step, const Worker &On);
/// The worker reports that the run is done. Call before the run is unbooked and its task is done.
/// \p WasResponsive: the worker had answered the call before, so that the report is not delayed.
void noteRunDone(CellState &Cell, Worker &On, const RunKey &Run, bool WasResponsive, TimePoint Now,
                 Effects &Out);
/// At most once per `RunTimeRefreshInterval`: updates the speed bands of all workers and the
/// expected run times of queued steps.
void refreshRunTimes(CellState &Cell, TimePoint Now, Effects &Out);
inline constexpr Milliseconds RunTimeRefreshInterval{1000};
/// Removes all that was learned.
void forgetRunTimes(CellState &Cell);
/// Derives the objectives of all jobs again, and updates the queue.
void resetObjectives(CellState &Cell);
/// False if the failure is no evidence against the worker: the task has failed before, and a task
/// that fails everywhere is no evidence against the workers that it was tried on.
bool isEvidenceAgainstWorker(CellState &Cell, const RunKey &Run, TimePoint Now);
/// True if faster workers are preferred for the next task of the step.
bool prefersFastWorker(const CellState &Cell, const Job &J, const StepState &Step);

} // namespace valveshelf::sched
