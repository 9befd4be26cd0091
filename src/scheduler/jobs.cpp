// SPDX-License-Identifier: Apache-2.0
// The life of a job: rounds, steps and tasks, from acceptance to its saved end.
#include "scheduler/crashes.h"

#include <algorithm>

namespace valveshelf::sched {
namespace {

// The longest chain of declared work through the steps.
Milliseconds longestChain(const JobSpec &Spec) {
  std::vector<Milliseconds> Through(Spec.Steps.size());
  Milliseconds Longest{0};
  for (size_t I = 0; I < Spec.Steps.size(); ++I) {
    Milliseconds Before{0};
    for (const uint32_t Earlier : Spec.Steps[I].DependsOn)
      Before = std::max(Before, Through[Earlier]);
    Through[I] = Before + Spec.Steps[I].Estimate;
    Longest = std::max(Longest, Through[I]);
  }
  return Longest;
}

// By then the job, or a round that is due at \p Due, has to be complete.
TimePoint objectiveOf(const CellState &Cell, const JobSpec &Spec, WallTime Due) {
  const auto Chain =
      std::chrono::duration_cast<Milliseconds>(longestChain(Spec) * Spec.CriticalPathFactor);
  return Cell.WallAt + (Due - Cell.Wall) + Chain + Spec.ObjectiveSlack;
}

bool isRunnable(const RoundState &Round, const StepState &Step) {
  return std::all_of(Step.Spec->DependsOn.begin(), Step.Spec->DependsOn.end(),
                     [&](uint32_t Earlier) { return Round.Steps[Earlier].Open == 0; });
}

RoundState &makeRound(CellState &Cell, Job &Of, uint32_t Number, TimePoint Now) {
  RoundState &Round = Of.Rounds[Number];
  Round.Number = Number;
  const auto &Specs = Of.Spec->Steps;
  Round.Steps.resize(Specs.size());
  for (uint32_t I = 0; I < Specs.size(); ++I) {
    StepState &Step = Round.Steps[I];
    Step.Key = {Of.Spec->Id, Number, I};
    Step.Spec = &Specs[I];
    Step.Tasks.resize(Specs[I].Count);
    Step.Open = Specs[I].Count;
  }
  for (StepState &Step : Round.Steps)
    queueStep(Cell, Of, Step, Now);
  return Round;
}

// The members of a gang end together; those that are not listed as ended yet need no order.
void expectEnds(StepState &Step, uint32_t Run, TimePoint Now) {
  for (uint32_t I = 0; I < Step.Tasks.size(); ++I)
    if (Attempt *What = attemptOf(Step, I); What && Step.Tasks[I].Run == Run)
      What->EndsSince = Now;
}

void stopAll(CellState &Cell, Job &Of, const char *Why, TimePoint Now, Effects &Out) {
  for (auto &[Number, Round] : Of.Rounds)
    for (StepState &Step : Round.Steps) {
      if (Step.Queued)
        Cell.Queue.erase(*Step.Queued);
      Step.Queued.reset();
      for (uint32_t I = 0; I < Step.Tasks.size(); ++I) {
        const Attempt *What = attemptOf(Step, I);
        if (What && What->EndsSince == TimePoint{})
          stopAttempt(Cell, *Step.Tasks[I].At, {{Step.Key, I}, Step.Tasks[I].Run}, Why, Now, Out);
      }
    }
}

// Stops what other runs of a task that is done may still be there.
void stopLeftOver(CellState &Cell, StepState &Step, const RunKey &Ended, TimePoint Now,
                  Effects &Out) {
  const TaskState &Task = Step.Tasks[Ended.Task.Index];
  if (Task.At && Task.Run != Ended.Run)
    stopAttempt(Cell, *Task.At, {Ended.Task, Task.Run}, "an earlier run is done", Now, Out);
}

void stepDone(CellState &Cell, Job &Of, RoundState &Round, TimePoint Now, Effects &Out) {
  for (StepState &Next : Round.Steps)
    queueStep(Cell, Of, Next, Now);
  const bool AllDone = std::all_of(Round.Steps.begin(), Round.Steps.end(),
                                   [](const StepState &Step) { return Step.Open == 0; });
  if (!AllDone || Round.Done)
    return;
  Round.Done = true;
  ++Of.RoundsDone;
  if (Of.RoundsDone >= std::max<uint32_t>(Of.Spec->Repetitions, 1))
    endJob(Cell, Of, JobPhase::Completed, "the job is complete", Now, Out);
}

void taskDone(CellState &Cell, Job &Of, StepState &Step, const RunKey &Run, TimePoint Now,
              Effects &Out) {
  const bool WasOpen = Step.Open > 0;
  if (Step.Spec->Gang) {
    for (TaskState &Task : Step.Tasks)
      Task.Done = true;
    Step.Open = 0;
    expectEnds(Step, Run.Run, Now);
  } else if (!Step.Tasks[Run.Task.Index].Done) {
    Step.Tasks[Run.Task.Index].Done = true;
    --Step.Open;
  }
  stopLeftOver(Cell, Step, Run, Now, Out);
  needSave(Cell, Of, Out);
  if (WasOpen && Step.Open == 0)
    stepDone(Cell, Of, Of.Rounds.at(Run.Task.Step.Round), Now, Out);
}

void taskFailed(CellState &Cell, Job &Of, StepState &Step, const RunKey &Run, Worker *On,
                TimePoint Now, Effects &Out) {
  TaskState &Task = Step.Tasks[Run.Task.Index];
  std::set<uint32_t> &Failures = Step.Spec->Gang ? Step.GangFailures : Task.FailedRuns;
  Failures.insert(Run.Run);
  Task.FailedOn = On;
  Task.FailedAt = Now;
  Out.Failures.push_back(
      {Run, On ? On->Info.Id : std::string(), Failures.size(), Of.Spec->MaxAttempts});
  needSave(Cell, Of, Out);
  if (!Step.Spec->LongRunning && Failures.size() >= static_cast<size_t>(Of.Spec->MaxAttempts))
    endJob(Cell, Of, JobPhase::Failed, "a task failed as often as allowed", Now, Out);
}

void keepCheckpoint(StepState &Step, uint32_t Index, const std::string &Checkpoint) {
  if (!Checkpoint.empty())
    Step.Tasks[Step.Spec->Gang ? 0 : Index].Checkpoint = Checkpoint;
}
} // namespace

void endJob(CellState &Cell, Job &Of, JobPhase Phase, const char *Why, TimePoint Now,
            Effects &Out) {
  if (Of.Phase != JobPhase::Live)
    return;
  Of.Phase = Phase;
  stopAll(Cell, Of, Why, Now, Out);
  needSave(Cell, Of, Out);
}

Attempt *attemptOf(const StepState &Step, uint32_t Index) {
  const TaskState &Task = Step.Tasks[Index];
  if (!Task.At)
    return nullptr;
  const auto Found = Task.At->Attempts.find({{Step.Key, Index}, Task.Run});
  return Found == Task.At->Attempts.end() ? nullptr : &Found->second;
}

StepState *findStep(CellState &Cell, const StepKey &Key) {
  const auto Of = Cell.Jobs.find(Key.Job);
  if (Of == Cell.Jobs.end())
    return nullptr;
  const auto Round = Of->second.Rounds.find(Key.Round);
  if (Round == Of->second.Rounds.end() || Key.Step >= Round->second.Steps.size())
    return nullptr;
  return &Round->second.Steps[Key.Step];
}

bool isLate(const Job &Of, const StepState &Step, TimePoint Now) {
  return !Step.Spec->LongRunning && Now + Step.Spec->Estimate / 2 > Of.Objective;
}

void queueStep(CellState &Cell, Job &Of, StepState &Step, TimePoint Now) {
  if (Step.Queued)
    Cell.Queue.erase(*Step.Queued);
  Step.Queued.reset();
  const RoundState &Round = Of.Rounds.at(Step.Key.Round);
  if (Of.Phase != JobPhase::Live || Step.Open == 0 || !isRunnable(Round, Step))
    return;
  if (Step.RunnableSince == TimePoint{})
    Step.RunnableSince = Now;
  // A step whose work would end after the objective earns little; it goes behind the others.
  Step.Queued =
      QueuePlace{Of.IsExcess, isLate(Of, Step, Now), Of.Spec->Priority, Of.Objective, Step.Key};
  Cell.Queue.insert(*Step.Queued);
}

void addJob(CellState &Cell, JobSpecPtr Spec, uint64_t Revision, bool Fresh, TimePoint Now) {
  const JobId Id = Spec->Id;
  if (Cell.Jobs.count(Id) || Cell.Ended.count(Id))
    return;
  Job &Of = Cell.Jobs[Id];
  Of.Spec = Spec;
  Of.Owner = organisationNamed(Cell, Spec->Organisation);
  if (Of.Owner && Fresh)
    Of.IsExcess = !takeShare(*Of.Owner, Spec->AcceptedAt);
  Of.Revision = Revision;
  Of.Objective = objectiveOf(Cell, *Spec, Spec->Repetitions ? Spec->FirstDue : Spec->AcceptedAt);
  if (Spec->Repetitions > 0)
    return; // its rounds are made when they are due
  RoundState &Round = makeRound(Cell, Of, 0, Now);
  for (StepState &Step : Round.Steps)
    for (TaskState &Task : Step.Tasks)
      (Fresh ? Task.MayRunMeanwhile : Task.MayRunElsewhere) = !Fresh || !Cell.Unheard.empty();
}

void restoreStep(CellState &Cell, const StepKey &Key, const std::vector<SavedTask> &Tasks) {
  const auto Found = Cell.Jobs.find(Key.Job);
  if (Found == Cell.Jobs.end())
    return;
  Job &Of = Found->second;
  Of.Begun = true;
  if (!Of.Rounds.count(Key.Round)) {
    RoundState &Round = makeRound(Cell, Of, Key.Round, Cell.WallAt);
    for (StepState &Step : Round.Steps)
      for (TaskState &Task : Step.Tasks)
        Task.MayRunElsewhere = true;
  }
  StepState *Step = findStep(Cell, Key);
  if (!Step)
    return;
  for (const SavedTask &Saved : Tasks) {
    if (Saved.Index >= Step->Tasks.size())
      continue;
    TaskState &Task = Step->Tasks[Saved.Index];
    if (Saved.Done && !Task.Done) {
      Task.Done = true;
      --Step->Open;
    }
    Task.Checkpoint = Saved.Checkpoint;
    Task.Crashes = Saved.Crashes;
    Task.Doubted = Saved.Doubted;
    Task.Vanished = Saved.Vanished;
    Task.Inherited = Saved.TrialOn;
    if (!Saved.TrialOn.empty()) {
      ++Task.Crashes;
      Task.Doubted.push_back(Saved.TrialOn);
    }
    for (const auto *Workers : {&Task.Doubted, &Task.Vanished})
      for (const std::string &Worker : *Workers)
        noteDoubted(Cell, {Key, Saved.Index}, Worker, Cell.WallAt);
    Task.Losses = Saved.Losses;
    (Step->Spec->Gang ? Step->GangFailures : Task.FailedRuns)
        .insert(Saved.FailedRuns.begin(), Saved.FailedRuns.end());
  }
}

// What lies within its organisation's share, in the order in which it was handed in.
static void shareOut(CellState &Cell) {
  std::vector<Job *> ByTime;
  for (auto &[Id, Of] : Cell.Jobs)
    if (Of.Owner)
      ByTime.push_back(&Of);
  std::sort(ByTime.begin(), ByTime.end(), [](const Job *A, const Job *B) {
    return std::pair(A->Spec->AcceptedAt, A->Spec->Id) <
           std::pair(B->Spec->AcceptedAt, B->Spec->Id);
  });
  for (Job *Of : ByTime)
    Of->IsExcess = !takeShare(*Of->Owner, Of->Spec->AcceptedAt);
}

void finishLoading(CellState &Cell, TimePoint Now, Effects &Out) {
  Cell.Loaded = true;
  shareOut(Cell);
  for (auto &[Id, Of] : Cell.Jobs) {
    for (auto &[Number, Round] : Of.Rounds) {
      Round.Done = std::all_of(Round.Steps.begin(), Round.Steps.end(),
                               [](const StepState &Step) { return Step.Open == 0; });
      Of.RoundsDone += Round.Done ? 1 : 0;
      for (StepState &Step : Round.Steps)
        queueStep(Cell, Of, Step, Now);
    }
    if (Of.Phase == JobPhase::Live && Of.RoundsDone >= std::max<uint32_t>(Of.Spec->Repetitions, 1))
      endJob(Cell, Of, JobPhase::Completed, "the job is complete", Now, Out);
  }
  giveUpInherited(Cell, Now, Out);
}

void cancelJob(CellState &Cell, JobId Id, TimePoint Now, Effects &Out) {
  const auto Found = Cell.Jobs.find(Id);
  if (Found == Cell.Jobs.end()) {
    if (!Cell.Ended.count(Id))
      Cell.EarlyCancels.insert(Id);
    return;
  }
  Found->second.CancelWanted = true;
  endJob(Cell, Found->second, JobPhase::Cancelled, "the job was cancelled", Now, Out);
}

void cancelIfAsked(CellState &Cell, JobId Id, TimePoint Now, Effects &Out) {
  if (Cell.EarlyCancels.erase(Id) > 0)
    cancelJob(Cell, Id, Now, Out);
}

void needSave(CellState &Cell, Job &Of, Effects &Out) {
  Of.NeedsSave = ++Cell.LastSave;
  Cell.Saves.emplace(Of.NeedsSave, Of.Spec->Id);
  Out.Save = true;
}

namespace {
// Lets workers forget the ends whose saves are durable; returns those that have no other.
std::vector<std::string> releaseEnds(CellState &Cell) {
  std::vector<std::string> Clear;
  std::erase_if(Cell.WithUnsaved, [&](uint32_t Slot) {
    Worker *On = Cell.Slots[Slot];
    if (!On)
      return true;
    while (!On->Unsaved.empty() && !Cell.Saves.count(On->Unsaved.front().second)) {
      On->ForgetThrough = On->Unsaved.front().first;
      On->Unsaved.pop_front();
    }
    if (On->Unsaved.empty())
      Clear.push_back(On->Info.Id);
    return On->Unsaved.empty();
  });
  return Clear;
}

// The job and its progress are as the store has them.
void noteSaved(CellState &Cell, Job &Of, uint64_t Number, uint64_t Revision,
               uint64_t ProgressRevision, WallTime Now) {
  Of.Revision = Revision;
  Of.ProgressRevision = ProgressRevision;
  if (Of.NeedsSave > Number)
    return;
  Of.NeedsSave = 0;
  if (Of.Phase == JobPhase::Live)
    return;
  const JobId Id = Of.Spec->Id;
  Cell.Ended[Id] = {Of.Phase, Revision, Now, Of.Spec->Organisation};
  Cell.Forgettable.emplace_back(Now, Id);
  dropDoubts(Cell, Of);
  Cell.Jobs.erase(Id);
}
} // namespace

std::vector<std::string> jobSaved(CellState &Cell, JobId Id, uint64_t Number, uint64_t Revision,
                                  uint64_t ProgressRevision, WallTime Now) {
  std::erase_if(Cell.Saves,
                [&](const auto &Save) { return Save.second == Id && Save.first <= Number; });
  if (const auto Found = Cell.Jobs.find(Id); Found != Cell.Jobs.end())
    noteSaved(Cell, Found->second, Number, Revision, ProgressRevision, Now);
  return releaseEnds(Cell);
}

std::string_view shownState(const CellState &Cell, JobId Id) {
  if (const auto Ended = Cell.Ended.find(Id); Ended != Cell.Ended.end())
    switch (Ended->second.Phase) {
    case JobPhase::Completed:
      return "completed";
    case JobPhase::Failed:
      return "failed";
    case JobPhase::Cancelled:
      return "cancelled";
    case JobPhase::Live:
      break;
    }
  const auto Found = Cell.Jobs.find(Id);
  if (Found == Cell.Jobs.end())
    return {};
  return Found->second.Begun ? "running" : "queued";
}

std::string ownerOf(const CellState &Cell, JobId Id) {
  if (const auto Ended = Cell.Ended.find(Id); Ended != Cell.Ended.end())
    return Ended->second.Organisation;
  const auto Found = Cell.Jobs.find(Id);
  return Found == Cell.Jobs.end() ? std::string() : Found->second.Spec->Organisation;
}

uint32_t waitingJobs(const CellState &Cell, const std::string &Queue) {
  return static_cast<uint32_t>(
      std::count_if(Cell.Jobs.begin(), Cell.Jobs.end(), [&](const auto &Entry) {
        const Job &Of = Entry.second;
        return Of.Spec->Queue == Queue && !Of.Begun && Of.Phase == JobPhase::Live;
      }));
}

void runEnded(CellState &Cell, const RunKey &Run, RunOutcome How, const std::string &Checkpoint,
              Worker *On, TimePoint Now, Effects &Out) {
  StepState *Step = findStep(Cell, Run.Task.Step);
  if (!Step || Run.Task.Index >= Step->Tasks.size())
    return;
  Job &Of = Cell.Jobs.at(Run.Task.Step.Job);
  Of.Begun = true;
  if (Of.Phase != JobPhase::Live)
    return;
  if (How == RunOutcome::Done)
    return taskDone(Cell, Of, *Step, Run, Now, Out);
  if (Step->Tasks[Run.Task.Index].Done)
    return;
  keepCheckpoint(*Step, Run.Task.Index, Checkpoint);
  if (How == RunOutcome::Failed)
    taskFailed(Cell, Of, *Step, Run, On, Now, Out);
  else if (!Checkpoint.empty())
    needSave(Cell, Of, Out); // a successor goes on from the checkpoint
  queueStep(Cell, Of, *Step, Now);
}

// Makes the rounds that are due.
static void startDueRounds(CellState &Cell, Job &Of, TimePoint Now) {
  const JobSpec &Spec = *Of.Spec;
  while (Of.Phase == JobPhase::Live && Of.NextRound < Spec.Repetitions) {
    const WallTime Due = Spec.FirstDue + Spec.Interval * Of.NextRound;
    if (Cell.Wall < Due)
      return;
    Of.Objective = objectiveOf(Cell, Spec, Due);
    if (!Of.Rounds.count(Of.NextRound))
      makeRound(Cell, Of, Of.NextRound, Now);
    ++Of.NextRound;
  }
}

void tickJobs(CellState &Cell, TimePoint Now) {
  for (auto &[Id, Of] : Cell.Jobs)
    if (Of.Spec->Repetitions > 0)
      startDueRounds(Cell, Of, Now);
}

} // namespace valveshelf::sched
