// SPDX-License-Identifier: Apache-2.0
// Counts lost workers against the tasks that may have crashed them, and gives up such tasks.
#include "scheduler/crashes.h"
#include "scheduler/job_services.h"
#include "scheduler/unbooked.h"

#include <algorithm>
#include <utility>

namespace valveshelf::sched {

namespace {
// A run may be done once this fraction of its estimate has passed; estimates are off by up to half.
constexpr double MinDoneFraction = 0.5;
// A task that may be done is not started elsewhere for this time after the lease expired: by then a
// cut link is usually restored, and a dead worker is off the platform's list.
constexpr Milliseconds PossiblyDoneDelay{3000};
// A run's end is reported within this time: calls are held open and answered at once, except while
// ends wait to be saved.
constexpr Milliseconds EndReportDelay{250};
// No run completes sooner. A task that crashes its worker does so sooner, and the closed connection
// shows it.
constexpr Milliseconds MinRunTime{40};
// Age of the last report at which a worker with watched starts is asked again.
constexpr Milliseconds WatchInterval{50};
// Weights of a crash in `TaskState::WeightedCrashes`. The only run on the worker weighs more, as no
// other task can be at fault.
constexpr uint32_t SharedCrashWeight = 1;
constexpr uint32_t SoleRunCrashWeight = 2;

// True if the run was sent and has not survived its startup yet.
bool isInStartup(const Attempt &Entry) {
  return Entry.Phase != AttemptPhase::Planned && !Entry.SurvivedStartup;
}

// True if the worker had announced that it leaves, or had still answered after it left the list:
// its end was planned.
bool wasLeaving(const Worker &On) {
  return On.Info.Draining || (!On.Listed && On.ReportAskedAt > On.UnlistedAt);
}

// True if the startup crashes of the task can't be those of a sound task that met workers which
// died for other reasons.
bool crashesAtStartup(const SchedulerLimits &Limits, TaskState Task) {
  // A silent worker that still holds the task may be cut off: it counts when its end is known.
  if (Task.AssignedWorker) {
    const std::string Life = lifeName(*Task.AssignedWorker);
    Task.StartupCrashes -= static_cast<uint32_t>(std::erase(Task.SuspectWorkers, Life));
  }
  const uint32_t Inherited = Task.InheritedStartWorker.empty() ? 0 : 1;
  const uint32_t Crashes = Task.StartupCrashes - Inherited;
  const uint32_t Confirmed = Task.StartupCrashes - unconfirmedCrashes(Task);
  const uint32_t Unanswered = unansweredOrders(Task) - Inherited;
  const uint32_t Accepted = Crashes - Unanswered;
  // A task that crashes workers before they answer does so each time.
  const bool IsSeenTwice = Confirmed >= 1 && Accepted >= 2;
  return Accepted >= Limits.MaxStartupCrashes ||
         (Crashes >= Limits.MaxStartupCrashes && Confirmed >= Limits.MinConfirmedCrashes) ||
         (Crashes >= Limits.MaxUnconfirmedCrashes && (Accepted == 0 || IsSeenTwice)) ||
         Task.StartupCrashes >= Limits.MaxCountedCrashes;
}

bool crashesWorkers(const SchedulerLimits &Limits, const TaskState &Task, bool IsLasting) {
  return crashesAtStartup(Limits, Task) ||
         (!IsLasting && Task.WeightedCrashes >= Limits.MaxWeightedCrashes);
}

// Fails the job of a task that has crashed too many workers. Otherwise the task would crash one
// worker after the other, and all runs there.
void giveUpIfCrashing(CellState &Cell, const TaskKey &Key, TimePoint Now, Effects &Out) {
  const TaskState *Task = findTask(Cell, Key);
  Job *Of = Task ? &Cell.Jobs.at(Key.Step.Job) : nullptr;
  if (!Of || Task->Done || Of->Phase != JobPhase::Live ||
      !crashesWorkers(Cell.Limits, *Task, findStep(Cell, Key.Step)->Spec->LongRunning))
    return;
  Out.TasksGivenUp.push_back({Key, Task->StartupCrashes, unconfirmedCrashes(*Task),
                              unansweredOrders(*Task), Task->WeightedCrashes});
  endJob(Cell, *Of, JobPhase::Failed, "a task of it crashes its workers", Now, Out);
}

void noteLostRun(CellState &Cell, const Worker &On, const RunKey &Run, WorkerEnd How,
                 Effects &Out) {
  const Attempt &Entry = On.Attempts.at(Run);
  const TaskState *Task = findTask(Cell, Run.Task);
  if (Entry.Phase == AttemptPhase::Planned || !Task)
    return;
  const TimePoint Began = Entry.StartedAt == TimePoint{} ? Entry.PhaseSince : Entry.StartedAt;
  const auto Ran = std::chrono::duration_cast<Milliseconds>(On.ReportAskedAt - Began);
  Out.LostRuns.push_back({Run, On.Info.Id, How, std::max(Ran, Milliseconds(0)),
                          Task->StartupCrashes, unconfirmedCrashes(*Task), unansweredOrders(*Task),
                          Task->WeightedCrashes});
}

// True if the run may have completed by \p Then if its worker has been silent since it started.
bool mayBeDone(const Attempt &Entry, TimePoint Then) {
  return Entry.StartedAt != TimePoint{} &&
         Then - Entry.StartedAt >= Entry.Estimate * MinDoneFraction;
}

// True if the run was on the worker when the worker was lost: it was seen there, and so recently
// that it can't have ended since.
bool wasRunningAtLoss(const Worker &On, const Attempt &Entry, TimePoint Now) {
  const TimePoint SilentAt = On.SilentSince >= Entry.ConfirmedAt ? On.SilentSince : Now;
  const auto Least = std::max<std::chrono::duration<double, std::milli>>(
      Entry.Estimate * MinDoneFraction, EndReportDelay);
  return Entry.ConfirmedAt != TimePoint{} && SilentAt - Entry.ConfirmedAt < Least;
}

// True if the worker accepted the start and was lost before the run can have ended: the silence was
// noticed before any run completes, or the start was watched and none of the reports that were
// requested after it was answered.
bool wasLostAtStart(const Worker &On, const Attempt &Entry, TimePoint Now) {
  if (Entry.AcceptedAt == TimePoint{})
    return false;
  const TimePoint SilentAt = On.SilentSince >= Entry.AcceptedAt ? On.SilentSince : Now;
  return SilentAt - Entry.AcceptedAt < MinRunTime ||
         (Entry.IsWatchedStart && On.ReportAskedAt - Entry.AcceptedAt < MinRunTime);
}

// True if the run is over by \p Then unless its worker was lost before: its stop was confirmed, and
// no stop takes longer.
bool isStopOver(const SchedulerLimits &Limits, const Attempt &Entry, TimePoint Then) {
  return Entry.StopAcked && Then - Entry.StopAckedAt > Limits.StopTime;
}

// Of a run that is in startup as far as is known.
StartupEvidence evidenceOf(const SchedulerLimits &Limits, const Worker &On, const Attempt &Entry,
                           TimePoint Now) {
  if (wasLostAtStart(On, Entry, Now))
    return StartupEvidence::Certain;
  if (isStopOver(Limits, Entry, On.SilentSince >= Entry.StopAckedAt ? On.SilentSince : Now))
    return StartupEvidence::Unanswered;
  const bool IsKnown =
      std::max({Entry.StartedAt, Entry.AcceptedAt, Entry.ConfirmedAt}) != TimePoint{};
  return IsKnown ? StartupEvidence::Accepted : StartupEvidence::Unanswered;
}

// Counts the crash of a worker against a run. \p Alone: it was the only one there.
void countCrash(CellState &Cell, const Worker &On, const RunKey &Run, WorkerEnd How, bool Alone,
                TimePoint Now, Effects &Out) {
  const Attempt &Entry = On.Attempts.at(Run);
  TaskState *Task = findTask(Cell, Run.Task);
  if (!Task || Entry.Phase == AttemptPhase::Planned)
    return;
  // Saved with the next save of the job.
  if (How == WorkerEnd::Replaced && wasRunningAtLoss(On, Entry, Now))
    Task->WeightedCrashes += Alone ? SoleRunCrashWeight : SharedCrashWeight;
  if (!isInStartup(Entry))
    return;
  const StartupEvidence Known = evidenceOf(Cell.Limits, On, Entry, Now);
  if (Known == StartupEvidence::Certain)
    confirmCrash(Cell, Run.Task, lifeName(On), How, Now, Out);
  else if (!countsCrashOf(*Task, On))
    suspectCrash(Cell, Run.Task, On, Known, Now, Out);
}

// A worker's life, by name, is over: confirms its crashes that were witnessed, by this or an
// earlier scheduler, and applies the limits to all tasks that are counted for it.
void settleSuspicions(CellState &Cell, const std::string &Life, WorkerEnd How, TimePoint Now,
                      Effects &Out) {
  const auto Found = Cell.SuspectWorkers.find(Life);
  if (Found == Cell.SuspectWorkers.end())
    return;
  Found->second.HasEnded = Found->second.HasEnded || How == WorkerEnd::Replaced;
  for (const TaskKey &Key : std::set(Found->second.Tasks)) {
    const std::vector<std::string> &Witnessed = findTask(Cell, Key)->WitnessedSuspects;
    if (std::find(Witnessed.begin(), Witnessed.end(), Life) != Witnessed.end())
      confirmCrash(Cell, Key, Life, How, Now, Out);
    giveUpIfCrashing(Cell, Key, Now, Out);
  }
}

std::vector<TaskKey> countedTasks(const CellState &Cell) {
  std::vector<TaskKey> Counted;
  for (const auto &[Id, Of] : Cell.Jobs)
    for (const auto &[Number, Round] : Of.Rounds)
      for (const StepState &Step : Round.Steps)
        for (uint32_t I = 0; I < Step.Tasks.size(); ++I)
          if (Step.Tasks[I].StartupCrashes > 0)
            Counted.push_back({Step.Key, I});
  return Counted;
}

// Counts a start of an earlier scheduler that no worker reported, if there may have been one.
void settleEarlierStart(CellState &Cell, const TaskKey &Key,
                        const std::set<std::string> &EndedLives, TimePoint Now, Effects &Out) {
  const TaskState &Task = *findTask(Cell, Key);
  if (!Task.InheritedStartWorker.empty())
    keepInheritedStart(Cell, Key, EndedLives, Out);
  else if (Task.UnrecordedStartAfter && !Task.AssignedWorker)
    suspectUnrecordedStart(Cell, Key, EndedLives, Now, Out);
  else
    return;
  giveUpIfCrashing(Cell, Key, Now, Out);
}
} // namespace

std::string_view toString(WorkerEnd How) {
  switch (How) {
  case WorkerEnd::Replaced:
    return "replaced";
  case WorkerEnd::Unlisted:
    return "gone";
  case WorkerEnd::LeaseExpired:
    return "lapsed";
  }
  return "";
}

bool needsIsolatedStart(const TaskState &Task) { return Task.StartupCrashes > 0; }

bool hasIsolatedMembers(const StepState &Step) {
  return Step.Spec->Gang && std::any_of(Step.Tasks.begin(), Step.Tasks.end(), needsIsolatedStart);
}

bool hasNoOtherStartups(const Worker &On, const RunKey *Run, bool IsGang) {
  const auto IsExempt = [&](const RunKey &Other) {
    return Run && (Other == *Run ||
                   (IsGang && Other.Task.Step == Run->Task.Step && Other.Run == Run->Run));
  };
  return std::all_of(On.Attempts.begin(), On.Attempts.end(), [&](const auto &Entry) {
    return !isInStartup(Entry.second) || Entry.second.IsPastStartupTime || IsExempt(Entry.first);
  });
}

void noteRunListed(CellState &Cell, Worker &On, const RunKey &Run, Attempt &Entry,
                   const ReportTimes &When, Effects &Out) {
  Entry.ConfirmedAt = std::max(Entry.ConfirmedAt, When.AskedAt);
  const StepState *Step = findStep(Cell, Run.Task.Step);
  if (!Step || Entry.SurvivedStartup || Entry.Phase != AttemptPhase::Running)
    return;
  if (!Entry.FirstListed)
    Entry.FirstListed = When.WorkerClock;
  if (When.AskedAt - Entry.StartedAt < Cell.Limits.StartupTime &&
      When.WorkerClock - *Entry.FirstListed < Cell.Limits.StartupTime)
    return;
  Entry.IsPastStartupTime = true;
  On.IsolatedStarts -= Entry.IsIsolatedStart ? 1 : 0;
  Entry.IsIsolatedStart = false;
  // Members of a gang start their work when all of them are there.
  if (Step->Spec->Gang && Entry.Percent == 0)
    return;
  Entry.SurvivedStartup = true;
  On.WatchedStarts -= Entry.IsWatchedStart ? 1 : 0;
  Entry.IsWatchedStart = false;
  TaskState &Task = *findTask(Cell, Run.Task);
  Task.HasRecordedStarts = Task.MayHaveRunOnDeadWorker = false;
  clearCrashCount(Cell, Run.Task, Out);
  if (std::exchange(Task.MayHaveCrashedWorker, false))
    clearPendingStart(Cell, Run.Task, Out);
}

void noteEndListed(CellState &Cell, const EndedRun &End, Effects &Out) {
  retractInheritedStart(Cell, End.Run.Task, Out);
  TaskState *Task = findTask(Cell, End.Run.Task);
  if (Task && Task->Run == End.Run.Run)
    clearPendingStart(Cell, End.Run.Task, Out);
  if (Task && (End.Outcome == RunOutcome::Done || End.Outcome == RunOutcome::Failed))
    Task->WeightedCrashes = 0;
}

void countSilence(CellState &Cell, Worker &On, TimePoint Now, Effects &Out) {
  if (!On.HasUncountedSilence)
    return;
  On.HasUncountedSilence = false;
  if (On.SilentSince == TimePoint{})
    On.SilentSince = On.SilenceNoticedAt;
  for (auto &[Run, Entry] : On.Attempts) {
    const TaskState *Task = findTask(Cell, Run.Task);
    if (Task && isInStartup(Entry) && !countsCrashOf(*Task, On))
      suspectCrash(Cell, Run.Task, On, evidenceOf(Cell.Limits, On, Entry, Now), Now, Out);
  }
}

void retractSuspicions(CellState &Cell, Worker &On, TimePoint AsOf, Effects &Out) {
  if (AsOf < On.SilentSince)
    return;
  On.HasUncountedSilence = false;
  On.SilentSince = {};
  const std::string Life = lifeName(On);
  const auto Found = Cell.SuspectWorkers.find(Life);
  if (Found == Cell.SuspectWorkers.end() || AsOf < Found->second.LastSuspectedAt)
    return;
  for (const TaskKey &Key : std::set(Found->second.Tasks))
    retractCrash(Cell, Key, Life, Out);
}

void dropAttempts(CellState &Cell, Worker &On, WorkerEnd How, TimePoint Now, Effects &Out) {
  const bool Crashed = How != WorkerEnd::LeaseExpired && !wasLeaving(On);
  if (wasLeaving(On))
    retractSuspicions(Cell, On, Now, Out);
  std::vector<RunKey> Lost;
  for (const auto &[Run, Entry] : On.Attempts)
    Lost.push_back(Run);
  for (const RunKey &Run : Lost) {
    if (On.Attempts.at(Run).Phase == AttemptPhase::Planned)
      clearPendingStart(Cell, Run.Task, Out);
    if (Crashed)
      countCrash(Cell, On, Run, How, Lost.size() == 1, Now, Out);
    noteLostRun(Cell, On, Run, How, Out);
    noteUnbooked(Cell, On, Run, toString(How), Now, Out);
    const bool MayHaveRun = On.Attempts.at(Run).Phase != AttemptPhase::Planned;
    unbook(Cell, On, Run);
    if (StepState *Step = findStep(Cell, Run.Task.Step);
        Step && Run.Task.Index < Step->Tasks.size() && MayHaveRun && How != WorkerEnd::LeaseExpired)
      Step->Tasks[Run.Task.Index].LostAt = Now;
    runEnded(Cell, Run, RunOutcome::LeaseExpired, "", &On, Now, Out);
  }
  if (How == WorkerEnd::LeaseExpired)
    return; // it is still listed: more likely a cut link than a crash
  if (Crashed)
    settleSuspicions(Cell, lifeName(On), How, Now, Out);
  for (const RunKey &Run : Lost)
    giveUpIfCrashing(Cell, Run.Task, Now, Out);
}

// A silent worker that is still listed is probably alive and reports its ends once it can be
// reached. Restarting such a task at once would do its work twice.
void delayPossiblyDoneTasks(CellState &Cell, const Worker &On, TimePoint Now) {
  if (!On.Listed)
    return;
  for (const auto &[Run, Entry] : On.Attempts) {
    StepState *Step = findStep(Cell, Run.Task.Step);
    if (Step && Run.Task.Index < Step->Tasks.size() && !Step->Spec->LongRunning &&
        mayBeDone(Entry, Now))
      Step->Tasks[Run.Task.Index].NotBefore = Now + PossiblyDoneDelay;
  }
}

// If each scheduler ends before the last suspicion is settled, none of them would otherwise apply
// the limits.
void giveUpRestoredTasks(CellState &Cell, TimePoint Now, Effects &Out) {
  for (const TaskKey &Key : countedTasks(Cell))
    giveUpIfCrashing(Cell, Key, Now, Out);
}

void noteLostBeforeReport(CellState &Cell, const Worker &On, WorkerEnd How) {
  const auto Found = Cell.UnreportedWorkers.find(On.Info.Id);
  if (Found == Cell.UnreportedWorkers.end())
    return;
  TakeoverLosses &Lost = Cell.LostUnreportedWorkers[Found->second];
  if (How == WorkerEnd::LeaseExpired || wasLeaving(On))
    return;
  Lost.EndedLives.insert(lifeName(On));
  Lost.HasReplaced = Lost.HasReplaced || How == WorkerEnd::Replaced;
}

// What was lost of the services whose workers may have held runs of the job; empty: nothing.
static std::optional<TakeoverLosses> lossesOf(const CellState &Cell, const Job &Of) {
  std::optional<TakeoverLosses> Sum;
  for (size_t I = 0; I < Of.Services.Inherited; ++I) {
    const auto Found = Cell.LostUnreportedWorkers.find(Of.Services.Used[I].Name);
    if (Found == Cell.LostUnreportedWorkers.end())
      continue;
    if (!Sum)
      Sum.emplace();
    Sum->EndedLives.insert(Found->second.EndedLives.begin(), Found->second.EndedLives.end());
    Sum->HasReplaced = Sum->HasReplaced || Found->second.HasReplaced;
  }
  return Sum;
}

void settleEarlierStarts(CellState &Cell, const std::string &Service,
                         const std::set<std::string> &StillUnreported, TimePoint Now,
                         Effects &Out) {
  const std::set<std::string> Known{Service};
  std::vector<std::pair<TaskKey, std::set<std::string>>> Started; // with the lives that have ended
  for (auto &[Id, Of] : Cell.Jobs) {
    if (!mayBeOnWorkersOf(Of, Known) || mayBeOnWorkersOf(Of, StillUnreported))
      continue;
    const std::optional<TakeoverLosses> Lost = lossesOf(Cell, Of);
    for (auto &[Number, Round] : Of.Rounds)
      for (StepState &Step : Round.Steps)
        for (uint32_t I = 0; I < Step.Tasks.size(); ++I) {
          TaskState &Task = Step.Tasks[I];
          if (Lost && Task.MayRunOnUnreportedWorker && !Task.Done && !Task.AssignedWorker) {
            Task.MayHaveCrashedWorker = true;
            Task.MayHaveRunOnDeadWorker = Lost->HasReplaced;
          }
          if (!Task.InheritedStartWorker.empty() || Task.UnrecordedStartAfter)
            Started.emplace_back(TaskKey{Step.Key, I},
                                 Lost ? Lost->EndedLives : std::set<std::string>());
        }
  }
  for (const auto &[Key, EndedLives] : Started)
    settleEarlierStart(Cell, Key, EndedLives, Now, Out);
}

void confirmCrashesOfEarlierLives(CellState &Cell, const Worker &On, TimePoint Now, Effects &Out) {
  const std::string Prefix = lifeNamePrefix(On.Info.Id);
  const std::string Present = lifeName(On);
  std::vector<std::string> Earlier;
  for (auto At = Cell.SuspectWorkers.lower_bound(Prefix);
       At != Cell.SuspectWorkers.end() && At->first.starts_with(Prefix); ++At)
    if (At->first != Present)
      Earlier.push_back(At->first);
  for (const std::string &Life : Earlier)
    settleSuspicions(Cell, Life, WorkerEnd::Replaced, Now, Out);
}

void requestReportsOfStarts(Worker &On, TimePoint Now, Effects &Out) {
  if (On.WatchedStarts == 0 || Now - On.ReportAskedAt < WatchInterval)
    return;
  if (std::any_of(On.Attempts.begin(), On.Attempts.end(), [](const auto &Entry) {
        return Entry.second.IsWatchedStart && isInStartup(Entry.second);
      }))
    requestReport(On, Now, Out);
}

} // namespace valveshelf::sched
