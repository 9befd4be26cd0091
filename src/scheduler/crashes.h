// SPDX-License-Identifier: Apache-2.0
// Workers that are lost under their runs, and the tasks that may be to blame. Only the files of
// this folder include it.
//
// A task may crash each worker that begins it. What runs beside it goes down as well, so that a
// loss alone proves nothing against a task. Three things tell them apart:
//  - only runs that were beginning are counted, in `TaskState::StartupCrashes`; one that has stood
//  its
//    beginning counts as sound again;
//  - a task that is counted begins apart from others, on a worker where nothing else is beginning;
//  - a silence is counted at once as a doubt, so that a scheduler that ends meanwhile has saved it.
//    It is sure when another life answers in the worker's place, and taken back when the worker had
//    announced that it leaves or is heard again, however late and by whichever scheduler: the
//    doubt names the worker.
// A task that was counted three times in a row, twice for sure, is given up with its job; without
// that at the fourth, and one under which five workers crashed later as well.
#pragma once

#include "scheduler/crash_count.h"

namespace valveshelf::sched {

/// True if the task is to begin on a worker where nothing else is beginning. Members of a gang
/// begin together with the others all the same.
bool needsIsolatedStart(const StepState &Step, const TaskState &Task);
/// True if nothing but \p Run is beginning on the worker.
bool hasNoOtherStartups(const Worker &On, const RunKey *Run = nullptr);
/// When a worker made a report: at the time of its own clock, which lies between the others.
struct ReportTimes {
  TimePoint AskedAt{};
  TimePoint ReadAt{}; ///< Much later, if this process stood still meanwhile.
  Milliseconds WorkerClock{0};
};

/// The worker lists the run.
void noteRunListed(CellState &Cell, Worker &On, const RunKey &Run, Attempt &Entry,
                   const ReportTimes &When, Effects &Out);
/// The worker lists the end of a run.
void noteEndListed(CellState &Cell, const EndedRun &End, Effects &Out);
/// Counts the silence of a worker against what was beginning there.
void countSilence(CellState &Cell, Worker &On, TimePoint Now, Effects &Out);
/// The worker was heard, or had announced that it leaves: it has not crashed by \p AsOf, and what
/// was counted for it until then is taken back.
void retractSuspicions(CellState &Cell, Worker &On, TimePoint AsOf, Effects &Out);
/// Ends all attempts on the worker; tasks that crash their workers are given up.
void dropAttempts(CellState &Cell, Worker &On, WorkerEnd How, TimePoint Now, Effects &Out);
/// Gives up what earlier schedulers saw crash its workers as often as is allowed.
void giveUpRestoredTasks(CellState &Cell, TimePoint Now, Effects &Out);
/// Work that a silent worker may have done waits a little before it is started elsewhere.
void delayPossiblyDoneTasks(CellState &Cell, const Worker &On, TimePoint Now);
/// Asks what has become of runs on trial.
void pollIsolatedStarts(const CellState &Cell, const Worker &On, TimePoint Now, Effects &Out);

} // namespace valveshelf::sched
