// SPDX-License-Identifier: Apache-2.0
// Lost workers, and the tasks that may have crashed them. Private to src/scheduler.
//
// A task that crashes its worker takes all other runs there with it, so that one crash does not
// tell which task is at fault. These rules tell them apart:
//  - A crash is counted in `TaskState::StartupCrashes` only for runs that were in startup. A run
//    that survives its startup clears the count of its task.
//  - A task with a count is started in isolation, on a worker where no other run is in startup,
//    except those of its gang. The worker is asked for a report just before the start, and often
//    while the run is in startup: otherwise an order that met a dead worker, or a run that had
//    ended, would count as a crash.
//  - What is known of a run whose worker fell silent is kept with the suspicion: the order was not
//    answered, the start was accepted, or the run was certainly there (`StartupEvidence`). Workers
//    that have just died leave orders unanswered, so that these add nothing to a single crash.
//  - A worker that falls silent is suspected at once, so that the suspicion is saved if this
//    scheduler ends. It is confirmed, by this or a later scheduler, when another incarnation
//    answers in the worker's place and the run was certainly in startup as the silence began. It is
//    retracted when the worker had announced that it leaves, or answers again at any time.
//  - A first crash that the previous scheduler did not notice can't be counted. The next start of a
//    task that may have been on a worker that is lost at a takeover is recorded before it is
//    ordered, so that the next crash is.
//  - A start after a single suspicion does not wait for its record. If the task is not found after
//    a takeover, it may have been on any worker that has ended: one of them is suspected.
// `SchedulerLimits` says after how many crashes a task is given up with its job.
#pragma once

#include "scheduler/crash_count.h"

namespace valveshelf::sched {

/// True if the task must be started on a worker where no run is in startup but those of its gang.
bool needsIsolatedStart(const TaskState &Task);
/// True if the same holds for a member of the gang.
bool hasIsolatedMembers(const StepState &Step);
/// True if no run on the worker is in startup but \p Run and, if it is of a gang, the other
/// members.
bool hasNoOtherStartups(const Worker &On, const RunKey *Run = nullptr, bool IsGang = false);
/// When a worker made a report. WorkerClock was read by the worker between AskedAt and ReadAt.
struct ReportTimes {
  TimePoint AskedAt{};
  TimePoint ReadAt{}; ///< May be much later than the report if this process was suspended.
  Milliseconds WorkerClock{0};
};

/// The worker's report lists the run as active. Ends its startup once it has run long enough.
void noteRunListed(CellState &Cell, Worker &On, const RunKey &Run, Attempt &Entry,
                   const ReportTimes &When, Effects &Out);
/// The worker's report lists the end of a run.
void noteEndListed(CellState &Cell, const EndedRun &End, Effects &Out);
/// Suspects a crash for each run that was in startup on a worker that fell silent.
void countSilence(CellState &Cell, Worker &On, TimePoint Now, Effects &Out);
/// The worker answered, or had announced that it leaves: it had not crashed by \p AsOf. Retracts
/// what was counted for it until then.
void retractSuspicions(CellState &Cell, Worker &On, TimePoint AsOf, Effects &Out);
/// Ends all attempts on the worker. Unless only its lease expired, gives up tasks that have crashed
/// too many workers.
void dropAttempts(CellState &Cell, Worker &On, WorkerEnd How, TimePoint Now, Effects &Out);
/// Gives up restored tasks whose saved counts have reached the limits.
void giveUpRestoredTasks(CellState &Cell, TimePoint Now, Effects &Out);
/// Notes that the worker was lost if it may hold runs of an earlier scheduler and has not reported.
void noteLostBeforeReport(CellState &Cell, const Worker &On, WorkerEnd How);
/// All workers of the service are known. For jobs that can't be on one of another service without a
/// report: starts of an earlier scheduler that no worker reported are counted like orders without
/// an answer, and tasks that may have been on a lost worker are marked.
void settleEarlierStarts(CellState &Cell, const std::string &Service,
                         const std::set<std::string> &StillUnreported, TimePoint Now, Effects &Out);
/// Delays the restart of tasks that a silent worker may have completed.
void delayPossiblyDoneTasks(CellState &Cell, const Worker &On, TimePoint Now);
/// Confirms crashes of earlier lives of the worker that were witnessed, and applies the limits to
/// all tasks that are counted for these lives.
void confirmCrashesOfEarlierLives(CellState &Cell, const Worker &On, TimePoint Now, Effects &Out);
/// Requests a report from a worker with watched starts whose last report is not recent.
void requestReportsOfStarts(Worker &On, TimePoint Now, Effects &Out);

} // namespace valveshelf::sched
