// SPDX-License-Identifier: Apache-2.0
// `TaskState::StartupCrashes` and the fields that belong to it. Each change requests a save and a
// log line. crashes.h decides when a silent or lost worker is counted. Private to src/scheduler.
#pragma once

#include "valveshelf/cell_state.h"

namespace valveshelf::sched {

/// The name of a worker's life in crash counts. A worker that starts again under its id is another
/// one: that it answers does not take back a crash of its earlier life.
inline std::string lifeName(const Worker &On) { return lifeName(On.Info.Id, On.Life.Born); }
/// Null if there is no such task.
TaskState *findTask(CellState &Cell, const TaskKey &Key);
/// Number of counted workers whose crash is not confirmed.
uint32_t unconfirmedCrashes(const TaskState &Task);
/// Of these, the workers that left the start order unanswered.
uint32_t unansweredOrders(const TaskState &Task);
/// True if the worker is counted by name: as a suspect, or as vanished.
bool countsCrashOf(const TaskState &Task, const Worker &On);
/// Adds the task to the cell's index of counted workers that may be alive.
void indexSuspectWorker(CellState &Cell, const TaskKey &Key, const std::string &Worker,
                        TimePoint Now);
/// Removes the tasks of a job that is being forgotten from that index.
void removeJobFromSuspectIndex(CellState &Cell, const Job &Of);

/// What is known of a run in startup whose worker has fallen silent.
enum class StartupEvidence {
  Unanswered, ///< The start order was not answered: the worker may have been dead already.
  Accepted,   ///< The run was there, and may have ended since.
  Certain,    ///< The run was in startup as the silence began.
};
/// The worker may have crashed during the startup of the task.
void suspectCrash(CellState &Cell, const TaskKey &Key, const Worker &On, StartupEvidence Known,
                  TimePoint Now, Effects &Out);
/// An earlier scheduler may have started the task on one of the workers, which have ended, without
/// a durable record. Suspects one that the task does not count yet; does nothing if there is none.
void suspectUnrecordedStart(CellState &Cell, const TaskKey &Key,
                            const std::set<std::string> &EndedLives, TimePoint Now, Effects &Out);
/// The worker crashed during the startup of the task; it may have been a suspect before.
void confirmCrash(CellState &Cell, const TaskKey &Key, const std::string &Life, WorkerEnd How,
                  TimePoint Now, Effects &Out);
/// The worker has not crashed. Does nothing if it is not counted by name.
void retractCrash(CellState &Cell, const TaskKey &Key, const std::string &Worker, Effects &Out);
/// The task has survived its startup.
void clearCrashCount(CellState &Cell, const TaskKey &Key, Effects &Out);

inline constexpr const char *WaitsForCrashSave = "the crash count of a task is being saved";
/// True if starts of the task do not wait for the record of their worker. A scheduler that takes
/// over and does not find such a task takes any worker that has ended for that of its last start.
bool mayStartUnrecorded(const TaskState &Task);
/// True if the task must not be started because a scheduler that takes over would miss its crashes:
/// its count, or the record of its starts, is not durable yet. A single suspicion delays the task
/// only if the worker has ended: a cut link must not delay work that had just started behind it.
bool awaitsCrashCountSave(const CellState &Cell, const TaskState &Task);
/// Records that the task is about to be started on the worker if it has a count or may have crashed
/// a worker. `awaitsCrashCountSave` tells whether the start waits for the record.
void notePendingStart(CellState &Cell, const TaskKey &Key, const Worker &On, Effects &Out);
/// Requests a report from the worker for a watched start, unless one was requested a moment ago.
void requestReport(Worker &On, TimePoint Now, Effects &Out);
/// Records the pending start of a planned run. Null if it may be ordered now, else the reason:
/// a record is not durable yet, or the start is watched and its worker, which may have crashed
/// unnoticed, has not answered a moment ago. An order to a dead worker would count as a crash.
const char *whyNotStartNow(CellState &Cell, const RunKey &Run, Worker &On, TimePoint Now,
                           Effects &Out);
/// Clears the record: the run was never sent, or ended otherwise than with its worker. If it were
/// kept, each takeover would count a crash.
void clearPendingStart(CellState &Cell, const TaskKey &Key, Effects &Out);
/// The start order was certainly not carried out: retracts the worker and clears the pending start.
void noteNeverStarted(CellState &Cell, const TaskKey &Key, const Worker &On, Effects &Out);
/// The inherited start counts: saves the count, which the store holds only as a pending start.
void keepInheritedStart(CellState &Cell, const TaskKey &Key,
                        const std::set<std::string> &EndedLives, Effects &Out);
/// A run that an earlier scheduler started was reported: it did not crash its worker.
void retractInheritedStart(CellState &Cell, const TaskKey &Key, Effects &Out);

} // namespace valveshelf::sched
