// SPDX-License-Identifier: Apache-2.0
// Which task a lost worker is counted against, and when a task is given up for it.
#include "scheduler/crashes.h"

#include <algorithm>
#include <utility>

namespace valveshelf::sched {

namespace {
// A run that its worker's lease has ended may have been done if so much of its estimate has passed;
// estimates are off by half.
constexpr double LeastDonePart = 0.5;
// What may be done is not started elsewhere for this time after the lease: cut links come back
// within it, and a worker that is gone is off the platform's list by then.
constexpr Milliseconds DoneWait{3000};
// A worker's calls are held, so that an end is heard of at once; while ends wait to be saved, after
// this pause.
constexpr Milliseconds EndHeardTime{250};
// No run is over sooner, while a task that crashes its worker does it at once and is noticed then,
// where connections end.
constexpr Milliseconds ShortestRun{40};
// What a crash counts in `TaskState::Losses`: who else than the only run there should be to blame.
constexpr uint32_t LossBesideOthers = 1;
constexpr uint32_t LossAlone = 2;

// True if the run may have crashed its worker by beginning.
bool isBeginning(const Attempt &What) {
  return What.Phase != AttemptPhase::Planned && !What.Stands;
}

// A worker that said that it leaves, or that served on after it had left the list, ended as
// planned.
bool wasLeaving(const Worker &On) {
  return On.Info.Draining || (!On.Listed && On.ReportedAt > On.UnlistedAt);
}

bool crashesWorkers(const SchedulerLimits &Limits, const TaskState &Task, bool Lasts) {
  const uint32_t Seen = Task.Crashes - (Task.Inherited.empty() ? 0 : 1);
  const bool IsSure =
      Seen >= Limits.MaxCrashes && Task.Crashes - doubtsOf(Task) >= Limits.SureCrashes;
  const bool Starts = Seen >= Limits.MaxDoubtful || Task.Crashes >= Limits.MaxInherited;
  return IsSure || Starts || (!Lasts && Task.Losses >= Limits.MaxLosses);
}

// Without this a task that crashes its workers takes one after the other, and all that runs there,
// until its caller goes away.
void giveUpIfDue(CellState &Cell, const TaskKey &Key, TimePoint Now, Effects &Out) {
  const TaskState *Task = findTask(Cell, Key);
  Job *Of = Task ? &Cell.Jobs.at(Key.Step.Job) : nullptr;
  if (!Of || Task->Done || Of->Phase != JobPhase::Live ||
      !crashesWorkers(Cell.Limits, *Task, findStep(Cell, Key.Step)->Spec->LongRunning))
    return;
  Out.TasksGivenUp.push_back({Key, Task->Crashes, doubtsOf(*Task), Task->Losses});
  endJob(Cell, *Of, JobPhase::Failed, "a task of it crashes its workers", Now, Out);
}

void noteLoss(CellState &Cell, const Worker &On, const RunKey &Run, LifeEnd How, Effects &Out) {
  const Attempt &What = On.Attempts.at(Run);
  const TaskState *Task = findTask(Cell, Run.Task);
  if (What.Phase == AttemptPhase::Planned || !Task)
    return;
  const TimePoint Began = What.StartedAt == TimePoint{} ? What.Since : What.StartedAt;
  const auto Ran = std::chrono::duration_cast<Milliseconds>(On.ReportedAt - Began);
  Out.Losses.push_back({Run, On.Info.Id, How, std::max(Ran, Milliseconds(0)), Task->Crashes,
                        doubtsOf(*Task), Task->Losses});
}

// True if the run, of which nothing was heard since, may have been done by then.
bool mayBeDone(const Attempt &What, TimePoint Then) {
  return What.StartedAt != TimePoint{} && Then - What.StartedAt >= What.Estimate * LeastDonePart;
}

// True if the run was there when its worker went. An order without an answer may have come too
// late, and what was seen long before may have been over.
bool wasThere(const Worker &On, const Attempt &What, TimePoint Now) {
  const TimePoint SilentAt = On.SilentSince >= What.SeenAt ? On.SilentSince : Now;
  const auto Least = std::max<std::chrono::duration<double, std::milli>>(
      What.Estimate * LeastDonePart, EndHeardTime);
  return What.SeenAt != TimePoint{} && SilentAt - What.SeenAt < Least;
}

// True if it was there and can't have been over when its worker fell silent: an end just before
// that is heard of by nobody. Estimates are off by half.
bool wasBeginning(const Worker &On, const Attempt &What, TimePoint Now) {
  const TimePoint SilentAt = On.SilentSince >= What.SeenAt ? On.SilentSince : Now;
  const auto Least = std::max<std::chrono::duration<double, std::milli>>(
      What.Estimate * LeastDonePart, ShortestRun);
  return wasThere(On, What, Now) && SilentAt - What.StartedAt < Least;
}

// The worker has crashed under the run, which was the only one there or not.
void countLoss(CellState &Cell, const Worker &On, const RunKey &Run, LifeEnd How, bool Alone,
               TimePoint Now, Effects &Out) {
  const Attempt &What = On.Attempts.at(Run);
  TaskState *Task = findTask(Cell, Run.Task);
  if (!Task || What.Phase == AttemptPhase::Planned)
    return;
  if (How == LifeEnd::Replaced && wasThere(On, What, Now)) // kept with the next save of its job
    Task->Losses += Alone ? LossAlone : LossBesideOthers;
  if (isBeginning(What) && wasBeginning(On, What, Now))
    confirm(Cell, Run.Task, On, How, Now, Out);
  else if (isBeginning(What) && !counts(*Task, On))
    doubt(Cell, Run.Task, On, Now, Out);
}
} // namespace

std::string_view toString(LifeEnd How) {
  switch (How) {
  case LifeEnd::Replaced:
    return "replaced";
  case LifeEnd::Gone:
    return "gone";
  case LifeEnd::Lapsed:
    return "lapsed";
  }
  return "";
}

bool beginsApart(const StepState &Step, const TaskState &Task) {
  return Task.Crashes > 0 && !Step.Spec->Gang;
}

bool isQuiet(const Worker &On, const RunKey *Run) {
  return std::all_of(On.Attempts.begin(), On.Attempts.end(), [&](const auto &Entry) {
    return !isBeginning(Entry.second) || (Run && Entry.first == *Run);
  });
}

void noteBeginning(CellState &Cell, Worker &On, const RunKey &Run, Attempt &What,
                   const ReportTimes &When, Effects &Out) {
  What.SeenAt = std::max(What.SeenAt, When.AskedAt);
  const StepState *Step = findStep(Cell, Run.Task.Step);
  if (!Step || What.Stands || What.Phase != AttemptPhase::Running)
    return;
  if (!What.FirstListed)
    What.FirstListed = When.WorkerClock;
  if (When.AskedAt - What.StartedAt < Cell.Limits.BeginTime &&
      When.WorkerClock - *What.FirstListed < Cell.Limits.BeginTime)
    return;
  // Members of a gang begin their work when the last of them has come.
  if (Step->Spec->Gang && What.Percent == 0)
    return;
  What.Stands = true;
  On.Trials -= What.OnTrial ? 1 : 0;
  What.OnTrial = false;
  clearCount(Cell, Run.Task, Out);
}

void noteListedEnd(CellState &Cell, const EndedRun &End, Effects &Out) {
  settleInherited(Cell, End.Run.Task, Out);
  TaskState *Task = findTask(Cell, End.Run.Task);
  if (Task && Task->Run == End.Run.Run)
    settleTrial(Cell, End.Run.Task, Out);
  if (Task && (End.Outcome == RunOutcome::Done || End.Outcome == RunOutcome::Failed))
    Task->Losses = 0;
}

void blameBeginners(CellState &Cell, Worker &On, TimePoint Now, Effects &Out) {
  if (!On.FellSilent)
    return;
  On.FellSilent = false;
  if (On.SilentSince == TimePoint{})
    On.SilentSince = Now;
  for (auto &[Run, What] : On.Attempts) {
    const TaskState *Task = findTask(Cell, Run.Task);
    if (Task && isBeginning(What) && !counts(*Task, On))
      doubt(Cell, Run.Task, On, Now, Out);
  }
}

void takeBackBlame(CellState &Cell, Worker &On, TimePoint AsOf, Effects &Out) {
  if (AsOf < On.SilentSince)
    return;
  On.FellSilent = false;
  On.SilentSince = {};
  const auto Found = Cell.Doubted.find(On.Info.Id);
  if (Found == Cell.Doubted.end() || AsOf < Found->second.Since)
    return;
  for (const TaskKey &Key : std::set(Found->second.Tasks))
    takeBack(Cell, Key, On.Info.Id, Out);
}

void dropAttempts(CellState &Cell, Worker &On, LifeEnd How, TimePoint Now, Effects &Out) {
  const bool Crashed = How != LifeEnd::Lapsed && !wasLeaving(On);
  if (wasLeaving(On))
    takeBackBlame(Cell, On, Now, Out);
  std::vector<RunKey> Lost;
  for (const auto &[Run, What] : On.Attempts)
    Lost.push_back(Run);
  for (const RunKey &Run : Lost) {
    if (On.Attempts.at(Run).Phase == AttemptPhase::Planned)
      settleTrial(Cell, Run.Task, Out);
    if (Crashed)
      countLoss(Cell, On, Run, How, Lost.size() == 1, Now, Out);
    noteLoss(Cell, On, Run, How, Out);
    unbook(Cell, On, Run);
    runEnded(Cell, Run, RunOutcome::LeaseExpired, "", &On, Now, Out);
  }
  if (How == LifeEnd::Lapsed)
    return; // it is listed: its link is cut rather
  for (const RunKey &Run : Lost)
    giveUpIfDue(Cell, Run.Task, Now, Out);
}

// A silent worker that the platform still lists is alive, and lists its ends when it can be reached
// again. Work that may be among them waits a little before it is started elsewhere; behind a full
// link it would be done twice.
void holdBackWhatMayBeDone(CellState &Cell, const Worker &On, TimePoint Now) {
  if (!On.Listed)
    return;
  for (const auto &[Run, What] : On.Attempts) {
    StepState *Step = findStep(Cell, Run.Task.Step);
    if (Step && Run.Task.Index < Step->Tasks.size() && mayBeDone(What, Now))
      Step->Tasks[Run.Task.Index].NotBefore = Now + DoneWait;
  }
}

// Where each scheduler ends before it knows what became of the silent worker, none would ever see
// the last crash.
void giveUpInherited(CellState &Cell, TimePoint Now, Effects &Out) {
  std::vector<TaskKey> Counted;
  for (const auto &[Id, Of] : Cell.Jobs)
    for (const auto &[Number, Round] : Of.Rounds)
      for (const StepState &Step : Round.Steps)
        for (uint32_t I = 0; I < Step.Tasks.size(); ++I)
          if (Step.Tasks[I].Crashes > 0)
            Counted.push_back({Step.Key, I});
  for (const TaskKey &Key : Counted)
    giveUpIfDue(Cell, Key, Now, Out);
}

void lookAtTrials(const CellState &Cell, const Worker &On, TimePoint Now, Effects &Out) {
  if (On.Trials > 0 && Now - On.ReportedAt >= Cell.Limits.BeginTime)
    Out.Looks.push_back(On.Info.Id);
}

} // namespace valveshelf::sched
