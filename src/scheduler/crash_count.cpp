// SPDX-License-Identifier: Apache-2.0
// Crash counts of tasks, and the index of the workers that they name.
#include "scheduler/crash_count.h"

#include <algorithm>
#include <utility>

namespace valveshelf::sched {
namespace {
// A worker whose last report was requested so recently is taken to be alive.
constexpr Milliseconds MaxReportAge{100};
// After this time any report that was requested since the start was held back is recent enough:
// over a slow link none may be younger than MaxReportAge when it arrives.
constexpr Milliseconds MaxReportWait{1000};
// An unanswered request is repeated after this time.
constexpr Milliseconds ReportRetryDelay{50};

bool names(const std::vector<std::string> &Workers, const std::string &Worker) {
  return std::find(Workers.begin(), Workers.end(), Worker) != Workers.end();
}

void removeFromSuspectIndex(CellState &Cell, const TaskKey &Key, const std::string &Worker) {
  const auto Found = Cell.SuspectWorkers.find(Worker);
  if (Found == Cell.SuspectWorkers.end())
    return;
  Found->second.Tasks.erase(Key);
  if (Found->second.Tasks.empty())
    Cell.SuspectWorkers.erase(Found);
}

// True if both names may be of the same life: one that does not state `Born` may be any of its
// worker.
bool maySameLife(const std::string &A, const std::string &B) {
  return A == B || A.starts_with(lifeNamePrefix(B)) || B.starts_with(lifeNamePrefix(A));
}

// False if the life may go on behind a cut link.
bool hasEnded(const CellState &Cell, const std::string &Life) {
  const auto Found = Cell.SuspectWorkers.find(Life);
  return Found != Cell.SuspectWorkers.end() && Found->second.HasEnded;
}

void addSuspect(CellState &Cell, TaskState &Task, const TaskKey &Key, const std::string &Life,
                TimePoint Now) {
  ++Task.StartupCrashes;
  Task.SuspectWorkers.push_back(Life);
  indexSuspectWorker(Cell, Key, Life, Now);
}

// Applies \p Change to a task that is not done, in a live job. \p Change returns the reason for the
// log, or an empty string if it changed nothing.
template <class Changer>
void changeCount(CellState &Cell, const TaskKey &Key, const std::string &Worker, Effects &Out,
                 Changer Change) {
  TaskState *Task = findTask(Cell, Key);
  Job *Of = Task ? &Cell.Jobs.at(Key.Step.Job) : nullptr;
  if (!Of || Task->Done || Of->Phase != JobPhase::Live)
    return;
  const std::string_view Why = Change(*Task);
  if (Why.empty())
    return;
  if (Task->PendingStartWorker == Worker || Task->StartupCrashes == 0)
    Task->PendingStartWorker.clear();
  if (Task->InheritedStartWorker == Worker)
    Task->InheritedStartWorker.clear();
  requestSave(Cell, *Of, Out);
  Task->CrashCountSave = Of->PendingSave;
  Out.CrashCountChanges.push_back(
      {Key, Worker, Why, Task->StartupCrashes, unconfirmedCrashes(*Task), unansweredOrders(*Task)});
}

// True if a single worker is suspected and none is known to have crashed.
bool hasSingleSuspicion(const TaskState &Task) {
  return Task.StartupCrashes == 1 && unconfirmedCrashes(Task) == 1;
}

} // namespace

TaskState *findTask(CellState &Cell, const TaskKey &Key) {
  StepState *Step = findStep(Cell, Key.Step);
  return Step && Key.Index < Step->Tasks.size() ? &Step->Tasks[Key.Index] : nullptr;
}

uint32_t unconfirmedCrashes(const TaskState &Task) {
  return static_cast<uint32_t>(Task.SuspectWorkers.size());
}

uint32_t unansweredOrders(const TaskState &Task) {
  return static_cast<uint32_t>(std::count_if(
      Task.SuspectWorkers.begin(), Task.SuspectWorkers.end(), [&](const auto &Worker) {
        return !names(Task.WitnessedSuspects, Worker) && !names(Task.AcceptedSuspects, Worker);
      }));
}

bool countsCrashOf(const TaskState &Task, const Worker &On) {
  const std::string Life = lifeName(On);
  return names(Task.SuspectWorkers, Life) || names(Task.VanishedWorkers, Life);
}

void indexSuspectWorker(CellState &Cell, const TaskKey &Key, const std::string &Worker,
                        TimePoint Now) {
  SuspectWorker &Suspect = Cell.SuspectWorkers[Worker];
  Suspect.LastSuspectedAt = std::max(Suspect.LastSuspectedAt, Now);
  Suspect.Tasks.insert(Key);
}

void suspectCrash(CellState &Cell, const TaskKey &Key, const Worker &On, StartupEvidence Known,
                  TimePoint Now, Effects &Out) {
  const std::string Id = lifeName(On);
  changeCount(Cell, Key, Id, Out, [&](TaskState &Task) {
    addSuspect(Cell, Task, Key, Id, Now);
    if (Known == StartupEvidence::Certain)
      Task.WitnessedSuspects.push_back(Id);
    else if (Known == StartupEvidence::Accepted)
      Task.AcceptedSuspects.push_back(Id);
    return "silent";
  });
}

void suspectUnrecordedStart(CellState &Cell, const TaskKey &Key,
                            const std::set<std::string> &EndedLives, TimePoint Now, Effects &Out) {
  const auto Before = std::exchange(findTask(Cell, Key)->UnrecordedStartAfter, std::nullopt);
  const auto Life =
      std::find_if(EndedLives.begin(), EndedLives.end(), [&](const std::string &Ended) {
        return Before && !maySameLife(*Before, Ended);
      });
  if (Life == EndedLives.end())
    return;
  changeCount(Cell, Key, *Life, Out, [&](TaskState &Task) {
    addSuspect(Cell, Task, Key, *Life, Now);
    Cell.SuspectWorkers.at(*Life).HasEnded = true;
    return "unrecorded";
  });
}

void confirmCrash(CellState &Cell, const TaskKey &Key, const std::string &Life, WorkerEnd How,
                  TimePoint Now, Effects &Out) {
  changeCount(Cell, Key, Life, Out, [&](TaskState &Task) {
    if (std::erase(Task.SuspectWorkers, Life) == 0)
      ++Task.StartupCrashes;
    std::erase(Task.WitnessedSuspects, Life);
    std::erase(Task.AcceptedSuspects, Life);
    if (How == WorkerEnd::Replaced) {
      removeFromSuspectIndex(Cell, Key, Life);
      return "crashed";
    }
    Task.VanishedWorkers.push_back(Life);
    indexSuspectWorker(Cell, Key, Life, Now);
    return "vanished";
  });
}

void retractCrash(CellState &Cell, const TaskKey &Key, const std::string &Worker, Effects &Out) {
  changeCount(Cell, Key, Worker, Out, [&](TaskState &Task) -> std::string_view {
    if (std::erase(Task.SuspectWorkers, Worker) + std::erase(Task.VanishedWorkers, Worker) == 0)
      return {};
    std::erase(Task.WitnessedSuspects, Worker);
    std::erase(Task.AcceptedSuspects, Worker);
    --Task.StartupCrashes;
    removeFromSuspectIndex(Cell, Key, Worker);
    return "heard";
  });
}

void clearCrashCount(CellState &Cell, const TaskKey &Key, Effects &Out) {
  const TaskState *Task = findTask(Cell, Key);
  if (!Task || Task->StartupCrashes == 0)
    return;
  changeCount(Cell, Key, "", Out, [&](TaskState &Counted) {
    for (const std::string &Worker : std::exchange(Counted.SuspectWorkers, {}))
      removeFromSuspectIndex(Cell, Key, Worker);
    for (const std::string &Worker : std::exchange(Counted.VanishedWorkers, {}))
      removeFromSuspectIndex(Cell, Key, Worker);
    Counted.WitnessedSuspects.clear();
    Counted.AcceptedSuspects.clear();
    Counted.StartupCrashes = 0;
    Counted.InheritedStartWorker.clear();
    return "stands";
  });
}

void removeJobFromSuspectIndex(CellState &Cell, const Job &Of) {
  for (const auto &[Number, Round] : Of.Rounds)
    for (const StepState &Step : Round.Steps)
      for (uint32_t I = 0; I < Step.Tasks.size(); ++I)
        for (const auto *Workers : {&Step.Tasks[I].SuspectWorkers, &Step.Tasks[I].VanishedWorkers})
          for (const std::string &Worker : *Workers)
            removeFromSuspectIndex(Cell, {Step.Key, I}, Worker);
}

void notePendingStart(CellState &Cell, const TaskKey &Key, const Worker &On, Effects &Out) {
  TaskState *Task = findTask(Cell, Key);
  Task->InheritedStartWorker.clear();
  const bool IsRecorded = Task->StartupCrashes > 0 || Task->MayHaveCrashedWorker;
  if (!IsRecorded || Task->PendingStartWorker == lifeName(On))
    return;
  const bool WaitsForRecord = !mayStartUnrecorded(*Task);
  Task->PendingStartWorker = lifeName(On);
  Task->HasRecordedStarts = Task->HasRecordedStarts || Task->MayHaveCrashedWorker;
  Job &Of = Cell.Jobs.at(Key.Step.Job);
  requestSave(Cell, Of, Out);
  if (WaitsForRecord)
    Task->CrashCountSave = Of.PendingSave;
}

void clearPendingStart(CellState &Cell, const TaskKey &Key, Effects &Out) {
  TaskState *Task = findTask(Cell, Key);
  if (!Task || Task->PendingStartWorker.empty())
    return;
  Task->PendingStartWorker.clear();
  if (Job &Of = Cell.Jobs.at(Key.Step.Job); Of.Phase == JobPhase::Live)
    requestSave(Cell, Of, Out);
}

void noteNeverStarted(CellState &Cell, const TaskKey &Key, const Worker &On, Effects &Out) {
  retractCrash(Cell, Key, lifeName(On), Out);
  clearPendingStart(Cell, Key, Out);
}

void requestReport(Worker &On, TimePoint Now, Effects &Out) {
  if (Now - On.ReportRequestedAt < ReportRetryDelay)
    return;
  On.ReportRequestedAt = Now;
  Out.ReportRequests.push_back(On.Info.Id);
}

// True if the worker was alive a moment ago; otherwise requests a report.
static bool isKnownAlive(Worker &On, Attempt &Entry, TimePoint Now, Effects &Out) {
  if (Now - On.ReportAskedAt <= MaxReportAge)
    return true;
  if (Entry.ReportAwaitedSince == TimePoint{})
    Entry.ReportAwaitedSince = Now;
  if (Now - Entry.ReportAwaitedSince >= MaxReportWait &&
      On.ReportAskedAt >= Entry.ReportAwaitedSince)
    return true;
  requestReport(On, Now, Out);
  return false;
}

const char *whyNotStartNow(CellState &Cell, const RunKey &Run, Worker &On, TimePoint Now,
                           Effects &Out) {
  notePendingStart(Cell, Run.Task, On, Out);
  const TaskState &Task = *findTask(Cell, Run.Task);
  if (awaitsCrashCountSave(Cell, Task))
    return WaitsForCrashSave;
  Attempt &Entry = On.Attempts.at(Run);
  // A task that had just started on a worker that was cut off is restarted at once. A gang, which
  // has to be planned anew anyway, is not.
  const bool IsRestartedAtOnce =
      !findStep(Cell, Run.Task.Step)->Spec->Gang && hasSingleSuspicion(Task);
  if (Entry.IsWatchedStart && !IsRestartedAtOnce && !isKnownAlive(On, Entry, Now, Out))
    return "a worker is asked for a report before the start";
  return nullptr;
}

bool mayStartUnrecorded(const TaskState &Task) {
  return Task.StartupCrashes == 0 ? Task.HasRecordedStarts : hasSingleSuspicion(Task);
}

bool awaitsCrashCountSave(const CellState &Cell, const TaskState &Task) {
  if (Task.CrashCountSave == 0 || !Cell.PendingSaves.count(Task.CrashCountSave))
    return false;
  if (Task.StartupCrashes == 0)
    return Task.MayHaveRunOnDeadWorker;
  return !hasSingleSuspicion(Task) || hasEnded(Cell, Task.SuspectWorkers.front());
}

void keepInheritedStart(CellState &Cell, const TaskKey &Key,
                        const std::set<std::string> &EndedLives, Effects &Out) {
  TaskState &Task = *findTask(Cell, Key);
  const std::string Life = std::exchange(Task.InheritedStartWorker, {});
  if (std::any_of(EndedLives.begin(), EndedLives.end(),
                  [&](const std::string &Ended) { return maySameLife(Ended, Life); }))
    Cell.SuspectWorkers[Life].HasEnded = true;
  Job &Of = Cell.Jobs.at(Key.Step.Job);
  if (Of.Phase != JobPhase::Live)
    return;
  requestSave(Cell, Of, Out);
  Task.CrashCountSave = Of.PendingSave;
}

void retractInheritedStart(CellState &Cell, const TaskKey &Key, Effects &Out) {
  TaskState *Task = findTask(Cell, Key);
  if (!Task)
    return;
  Task->UnrecordedStartAfter.reset();
  if (!Task->InheritedStartWorker.empty())
    retractCrash(Cell, Key, std::string(Task->InheritedStartWorker), Out);
}

} // namespace valveshelf::sched
