// SPDX-License-Identifier: Apache-2.0
// Which task a lost worker is counted against, and when a task is given up for it.
#include "scheduler/crashes.h"

#include <algorithm>

namespace valveshelf::sched {
namespace {
// A run that its worker's lease has ended may have been done if so much of its estimate has passed;
// estimates are off by half.
constexpr double LeastDonePart = 0.5;
// What may be done is not started elsewhere for this time after the lease: cut links come back
// within it, and a worker that is gone is off the platform's list by then.
constexpr Milliseconds DoneWait{3000};
// What a crash counts in `TaskState::Losses`: who else than the only run there should be to blame.
constexpr uint32_t LossBesideOthers = 1;
constexpr uint32_t LossAlone = 2;

TaskState *findTask(CellState &Cell, const TaskKey &Key) {
  StepState *Step = findStep(Cell, Key.Step);
  return Step && Key.Index < Step->Tasks.size() ? &Step->Tasks[Key.Index] : nullptr;
}

// True if the run may have crashed its worker by beginning.
bool isBeginning(const Attempt &What) {
  return What.Phase != AttemptPhase::Planned && !What.Stands;
}

// A worker that said that it leaves, or that served on after it had left the list, ended as
// planned.
bool wasLeaving(const Worker &On) {
  return On.Info.Draining || (!On.Listed && On.ReportedAt > On.UnlistedAt);
}

void setCrashes(CellState &Cell, const TaskKey &Key, uint32_t Crashes, Effects &Out) {
  TaskState *Task = findTask(Cell, Key);
  Job &Of = Cell.Jobs.at(Key.Step.Job);
  if (Task->Crashes == Crashes || Of.Phase != JobPhase::Live)
    return;
  Task->Crashes = Crashes;
  needSave(Cell, Of, Out);
  Task->CrashSave = Of.NeedsSave;
}

// False if the task is done or gone.
bool countCrash(CellState &Cell, const TaskKey &Key, Effects &Out) {
  const TaskState *Task = findTask(Cell, Key);
  if (!Task || Task->Done)
    return false;
  setCrashes(Cell, Key, Task->Crashes + 1, Out);
  return true;
}

void takeBack(CellState &Cell, const TaskKey &Key, Effects &Out) {
  const TaskState *Task = findTask(Cell, Key);
  if (Task && Task->Crashes > 0)
    setCrashes(Cell, Key, Task->Crashes - 1, Out);
}

void giveUp(CellState &Cell, const TaskKey &Key, TimePoint Now, Effects &Out) {
  const TaskState &Task = *findTask(Cell, Key);
  Out.TasksGivenUp.push_back({Key, Task.Crashes, Task.Losses});
  endJob(Cell, Cell.Jobs.at(Key.Step.Job), JobPhase::Failed, "a task of it crashes its workers",
         Now, Out);
}

// Without this a task that crashes its workers took one each 3.3 s, and all that ran there, until
// its caller went away (a cell of 48 workers with four such tasks lost 253 workers in 110 s).
void giveUpIfDue(CellState &Cell, const TaskKey &Key, TimePoint Now, Effects &Out) {
  const TaskState *Task = findTask(Cell, Key);
  if (!Task || Task->Done)
    return;
  const bool Lasts = findStep(Cell, Key.Step)->Spec->Lasting;
  const bool LostOften = !Lasts && Task->Losses >= Cell.Limits.MaxLosses;
  const bool IsLive = Cell.Jobs.at(Key.Step.Job).Phase == JobPhase::Live;
  if (IsLive && (Task->Crashes >= Cell.Limits.MaxCrashes || LostOften))
    giveUp(Cell, Key, Now, Out);
}

void noteLoss(CellState &Cell, const Worker &On, const RunKey &Run, LifeEnd How, Effects &Out) {
  const Attempt &What = On.Attempts.at(Run);
  const TaskState *Task = findTask(Cell, Run.Task);
  if (What.Phase == AttemptPhase::Planned || !Task)
    return;
  const TimePoint Began = What.StartedAt == TimePoint{} ? What.Since : What.StartedAt;
  const auto Ran = std::chrono::duration_cast<Milliseconds>(On.ReportedAt - Began);
  Out.Losses.push_back(
      {Run, On.Info.Id, How, std::max(Ran, Milliseconds(0)), Task->Crashes, Task->Losses});
}

// The worker has crashed under the run, which was the only one there or not.
void countLoss(CellState &Cell, const RunKey &Run, const Attempt &What, bool Alone, Effects &Out) {
  TaskState *Task = findTask(Cell, Run.Task);
  if (!Task || What.Phase == AttemptPhase::Planned)
    return;
  Task->Losses += Alone ? LossAlone : LossBesideOthers; // kept with the next save of its job
  if (isBeginning(What) && !What.Blamed)
    countCrash(Cell, Run.Task, Out);
}

// It is not known that the worker has crashed.
void doubtLoss(CellState &Cell, Worker &On, const RunKey &Run, const Attempt &What, Effects &Out) {
  if (!What.Blamed)
    return;
  takeBack(Cell, Run.Task, Out);
  if (!wasLeaving(On))
    On.LostUnder.push_back(Run.Task);
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

bool waitsForCrashSave(const CellState &Cell, const TaskState &Task) {
  return Task.Crashes > 0 && Cell.Saves.count(Task.CrashSave) > 0;
}

void noteBeginning(CellState &Cell, Worker &On, const RunKey &Run, Attempt &What, TimePoint Now,
                   Effects &Out) {
  const StepState *Step = findStep(Cell, Run.Task.Step);
  if (!Step || What.Stands || What.Phase != AttemptPhase::Running ||
      Now - What.StartedAt < Cell.Limits.BeginTime)
    return;
  // Members of a gang begin their work when the last of them has come.
  if (Step->Spec->Gang && What.Percent == 0)
    return;
  What.Stands = true;
  On.Trials -= What.OnTrial ? 1 : 0;
  What.OnTrial = false;
  if (findTask(Cell, Run.Task))
    setCrashes(Cell, Run.Task, 0, Out);
}

void noteListedEnd(CellState &Cell, const EndedRun &End) {
  TaskState *Task = findTask(Cell, End.Run.Task);
  if (Task && (End.How == RunEnd::Done || End.How == RunEnd::Failed))
    Task->Losses = 0;
}

void blameBeginners(CellState &Cell, Worker &On, Effects &Out) {
  if (!On.FellSilent)
    return;
  On.FellSilent = false;
  for (auto &[Run, What] : On.Attempts)
    if (isBeginning(What) && !What.Blamed)
      What.Blamed = countCrash(Cell, Run.Task, Out);
}

void takeBackBlame(CellState &Cell, Worker &On, Effects &Out) {
  On.FellSilent = false;
  On.LostUnder.clear();
  for (auto &[Run, What] : On.Attempts) {
    if (What.Blamed)
      takeBack(Cell, Run.Task, Out);
    What.Blamed = false;
  }
}

void dropAttempts(CellState &Cell, Worker &On, LifeEnd How, TimePoint Now, Effects &Out) {
  const bool Crashed = How == LifeEnd::Replaced && !wasLeaving(On);
  std::vector<RunKey> Lost;
  for (const auto &[Run, What] : On.Attempts)
    Lost.push_back(Run);
  for (const RunKey &Run : Lost) {
    const Attempt &What = On.Attempts.at(Run);
    if (Crashed)
      countLoss(Cell, Run, What, Lost.size() == 1, Out);
    else
      doubtLoss(Cell, On, Run, What, Out);
    noteLoss(Cell, On, Run, How, Out);
    unbook(Cell, On, Run);
    runEnded(Cell, Run, RunEnd::Lapsed, "", &On, Now, Out);
  }
  if (!Crashed)
    return;
  for (const TaskKey &Earlier : On.LostUnder)
    if (countCrash(Cell, Earlier, Out))
      giveUpIfDue(Cell, Earlier, Now, Out);
  for (const RunKey &Run : Lost)
    giveUpIfDue(Cell, Run.Task, Now, Out);
}

// True if the run, which its worker's lease has ended, may have been done before.
static bool mayBeDone(const Attempt &What, TimePoint Now) {
  return What.StartedAt != TimePoint{} && Now - What.StartedAt >= What.Estimate * LeastDonePart;
}

// A silent worker that the platform still lists is alive, and lists its ends when it can be reached
// again. Work that may be among them waits a little before it is started elsewhere; on full links
// it was done twice (up to 15 of 4,400 runs, cell of 120 workers behind links of 2 Mbit/s).
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
  std::vector<TaskKey> Due;
  for (const auto &[Id, Of] : Cell.Jobs)
    for (const auto &[Number, Round] : Of.Rounds)
      for (const StepState &Step : Round.Steps)
        for (uint32_t I = 0; I < Step.Tasks.size(); ++I)
          if (!Step.Tasks[I].Done && Step.Tasks[I].Crashes >= Cell.Limits.MaxInheritedCrashes)
            Due.push_back({Step.Key, I});
  for (const TaskKey &Key : Due)
    giveUp(Cell, Key, Now, Out);
}

void keepVanished(CellState &Cell, const Worker &On, TimePoint Now) {
  if (!On.LostUnder.empty())
    Cell.Vanished[toString(On.Info.Address)] = {On.Info.Id, On.LostUnder, Now, false};
}

void noteLifeAt(CellState &Cell, const WorkerInfo &Info) {
  const auto Found = Cell.Vanished.find(toString(Info.Address));
  if (Found == Cell.Vanished.end())
    return;
  if (Found->second.Id == Info.Id)
    Cell.Vanished.erase(Found); // it was cut off and is back
  else
    Found->second.IsReplaced = true;
}

void tickVanished(CellState &Cell, TimePoint Now, Effects &Out) {
  std::erase_if(Cell.Vanished, [&](const auto &Entry) {
    const VanishedWorker &Was = Entry.second;
    if (!Was.IsReplaced)
      return Now - Was.At > Cell.Limits.VanishedKept;
    for (const TaskKey &Key : Was.Tasks)
      if (countCrash(Cell, Key, Out))
        giveUpIfDue(Cell, Key, Now, Out);
    return true;
  });
}

void lookAtTrials(const CellState &Cell, const Worker &On, TimePoint Now, Effects &Out) {
  if (On.Trials > 0 && Now - On.ReportedAt >= Cell.Limits.BeginTime)
    Out.Looks.push_back(On.Info.Id);
}

} // namespace valveshelf::sched
