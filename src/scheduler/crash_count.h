// SPDX-License-Identifier: Apache-2.0
// How many workers in a row may have crashed as a task began: `TaskState::StartupCrashes` and what
// belongs to it, each change with its save and its line for the log. What a silence or a loss means
// for the count is decided in crashes.h. Only the files of this folder include it.
#pragma once

#include "valveshelf/cell_state.h"

namespace valveshelf::sched {

/// Null: there is no such task.
TaskState *findTask(CellState &Cell, const TaskKey &Key);
/// How many of the workers counted may not have crashed under the task.
uint32_t unconfirmedCrashes(const TaskState &Task);
/// True if the count names the worker: its crash is in doubt, or it has vanished.
bool countsCrashOf(const TaskState &Task, const Worker &On);
/// Notes in the cell's index that the count of the task names the worker.
void indexSuspectWorker(CellState &Cell, const TaskKey &Key, const std::string &Worker,
                        TimePoint Now);
/// The job is forgotten, and its tasks leave the index.
void removeJobFromSuspectIndex(CellState &Cell, const Job &Of);

/// The worker may have crashed as the task began.
void suspectCrash(CellState &Cell, const TaskKey &Key, const Worker &On, TimePoint Now,
                  Effects &Out);
/// It has, which was in doubt or not counted before.
void confirmCrash(CellState &Cell, const TaskKey &Key, const Worker &On, WorkerEnd How,
                  TimePoint Now, Effects &Out);
/// It has not.
void retractCrash(CellState &Cell, const TaskKey &Key, const std::string &Worker, Effects &Out);
/// The task has stood its beginning.
void clearCrashCount(CellState &Cell, const TaskKey &Key, Effects &Out);

/// True if a crash of the task was counted and is not durable yet: it must not begin again before,
/// or a scheduler that takes over would count anew. A single silence holds nothing back.
bool awaitsCrashCountSave(const CellState &Cell, const TaskState &Task);
/// The task is about to be started there; if it was counted, that is saved first. Otherwise a
/// scheduler that takes over before the crash is seen would not count it.
void notePendingStart(CellState &Cell, const TaskKey &Key, const Worker &On, Effects &Out);
/// True if the task may be started there now, which is noted.
bool mayStartNow(CellState &Cell, const TaskKey &Key, const Worker &On, Effects &Out);
/// The start noted last has not crashed its worker, since the run was never sent or has ended
/// otherwise. Left standing, the note would count once at each takeover.
void clearPendingStart(CellState &Cell, const TaskKey &Key, Effects &Out);
/// An order was surely not carried out: neither its worker's silence nor its crash is the task's.
void noteNeverStarted(CellState &Cell, const TaskKey &Key, const Worker &On, Effects &Out);
/// A run of the task that an earlier scheduler had started is heard of: it did not crash its
/// worker.
void retractInheritedStart(CellState &Cell, const TaskKey &Key, Effects &Out);

} // namespace valveshelf::sched
