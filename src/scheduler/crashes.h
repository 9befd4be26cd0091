// SPDX-License-Identifier: Apache-2.0
// Workers that are lost under their runs, and the tasks that may be to blame. Only the files of
// this folder include it.
//
// A task may crash each worker that begins it. What runs beside it goes down as well, so that a
// loss alone proves nothing against a task. Three things tell them apart:
//  - only runs that were beginning are counted, in `TaskState::Crashes`; one that has stood its
//    beginning counts as sound again;
//  - a task that is counted begins apart from others, on a worker where nothing else is beginning;
//  - a silence is counted at once, so that a scheduler that ends meanwhile has saved it, and taken
//    back when the worker answers, lapses or had announced that it leaves.
// A task that was counted three times in a row is given up with its job.
#pragma once

#include "valveshelf/cell_state.h"

namespace valveshelf::sched {

/// True if the task is to begin on a worker where nothing else is beginning. Members of a gang
/// begin together with the others all the same.
bool beginsApart(const StepState &Step, const TaskState &Task);
/// True if nothing but \p Run is beginning on the worker.
bool isQuiet(const Worker &On, const RunKey *Run = nullptr);
/// True if a crash of the task was counted and is not durable yet: it must not begin again before,
/// or a scheduler that takes over would count anew.
bool waitsForCrashSave(const CellState &Cell, const TaskState &Task);

/// The worker lists the run.
void noteBeginning(CellState &Cell, Worker &On, const RunKey &Run, Attempt &What, TimePoint Now,
                   Effects &Out);
/// The worker lists the end of a run.
void noteListedEnd(CellState &Cell, const EndedRun &End);
/// Counts the silence of a worker against what was beginning there.
void blameBeginners(CellState &Cell, Worker &On, Effects &Out);
/// The worker was heard: what its silence was counted for is taken back.
void takeBackBlame(CellState &Cell, Worker &On, Effects &Out);
/// Ends all attempts on the worker; tasks that crash their workers are given up.
void dropAttempts(CellState &Cell, Worker &On, LifeEnd How, TimePoint Now, Effects &Out);
/// Gives up what earlier schedulers saw crash its workers as often as is allowed.
void giveUpInherited(CellState &Cell, TimePoint Now, Effects &Out);
/// Work that a silent worker may have done waits a little before it is started elsewhere.
void holdBackWhatMayBeDone(CellState &Cell, const Worker &On, TimePoint Now);
/// Keeps what began last on a worker that is gone, until another life shows up in its place.
void keepVanished(CellState &Cell, const Worker &On, TimePoint Now);
/// A life of a worker is listed.
void noteLifeAt(CellState &Cell, const WorkerInfo &Info);
/// Counts the crashes of vanished workers that were replaced, and forgets old ones.
void tickVanished(CellState &Cell, TimePoint Now, Effects &Out);
/// Asks what has become of runs on trial.
void lookAtTrials(const CellState &Cell, const Worker &On, TimePoint Now, Effects &Out);

} // namespace valveshelf::sched
