// SPDX-License-Identifier: Apache-2.0
// Lifecycle of jobs with their rounds, steps and tasks, from acceptance to the saved end.
#include "scheduler/copies.h"
#include "scheduler/crashes.h"
#include "scheduler/forecast.h"
#include "scheduler/job_services.h"
#include "scheduler/overload.h"
#include "scheduler/run_times.h"

#include <algorithm>
#include <utility>

namespace valveshelf::sched {
namespace {

// The part of the span from submission to objective that a chain of this length accounts for.
Milliseconds spanOfChain(const JobSpec &Spec, Milliseconds Chain) {
  return std::chrono::duration_cast<Milliseconds>(Chain * Spec.CriticalPathFactor);
}

// The largest sum of expected run times along a chain of dependent steps.
Milliseconds criticalPathLength(const CellState &Cell, const JobSpec &Spec) {
  std::vector<Milliseconds> FinishTimes(Spec.Steps.size());
  Milliseconds CriticalPath{0};
  for (size_t I = 0; I < Spec.Steps.size(); ++I) {
    Milliseconds LatestInput{0};
    for (const uint32_t Earlier : Spec.Steps[I].DependsOn)
      LatestInput = std::max(LatestInput, FinishTimes[Earlier]);
    FinishTimes[I] = LatestInput + expectedRunTime(Cell, Spec, Spec.Steps[I]);
    CriticalPath = std::max(CriticalPath, FinishTimes[I]);
  }
  return CriticalPath;
}

// Sets when the job, accepted or with a round due at \p Due, has to be complete.
void setObjective(const CellState &Cell, Job &J, WallTime Due) {
  const JobSpec &Spec = *J.Spec;
  J.ObjectiveChain = criticalPathLength(Cell, Spec);
  J.Objective =
      Cell.WallAt + (Due - Cell.Wall) + spanOfChain(Spec, J.ObjectiveChain) + Spec.ObjectiveSlack;
}

// A round that was saved or reported may be due later by this process's clock.
bool isDue(const Job &J, const RoundState &Round) {
  return J.Spec->Repetitions == 0 || Round.Number < J.NextRound;
}

// True if steps that depend on it may begin. The tasks of a long-running step go on, but each has
// ended done once.
bool hasEndedDone(const StepState &Step) {
  return Step.OpenTasks == 0 ||
         (Step.Spec->LongRunning &&
          std::all_of(Step.Tasks.begin(), Step.Tasks.end(),
                      [](const TaskState &Task) { return Task.HasEndedDone; }));
}

bool isRunnable(const RoundState &Round, const StepState &Step) {
  return std::all_of(Step.Spec->DependsOn.begin(), Step.Spec->DependsOn.end(),
                     [&](uint32_t Earlier) { return hasEndedDone(Round.Steps[Earlier]); });
}

// Whether a task may have been started, or may still be, by an earlier scheduler. Rounds that are
// made during the term may be due earlier by the clock of the scheduler before.
void markPossibleEarlierStart(const CellState &Cell, const Job &J, TaskState &Task) {
  const bool HasUnreported = !Cell.UnreportedWorkers.empty();
  if (J.IsInherited)
    Task.MayRunOnUnreportedWorker = !Cell.Loaded || HasUnreported;
  else
    Task.MayBeStartedByPredecessor = HasUnreported;
}

RoundState &makeRound(CellState &Cell, Job &J, uint32_t Number, TimePoint Now) {
  RoundState &Round = J.Rounds[Number];
  Round.Number = Number;
  const auto &Specs = J.Spec->Steps;
  Round.Steps.resize(Specs.size());
  for (uint32_t I = 0; I < Specs.size(); ++I) {
    StepState &Step = Round.Steps[I];
    Step.Key = {J.Spec->Id, Number, I};
    Step.Spec = &Specs[I];
    Step.Tasks.resize(Specs[I].Count);
    Step.OpenTasks = Specs[I].Count;
    for (TaskState &Task : Step.Tasks)
      markPossibleEarlierStart(Cell, J, Task);
    updateExpectedRunTime(Cell, J, Step);
  }
  for (StepState &Step : Round.Steps)
    queueStep(Cell, J, Step, Now);
  return Round;
}

// The members of a gang end together, so the others need no stop order.
void expectEnds(StepState &Step, uint32_t Run, TimePoint Now) {
  for (uint32_t I = 0; I < Step.Tasks.size(); ++I)
    if (Attempt *A = attemptOf(Step, I); A && Step.Tasks[I].Run == Run)
      A->EndExpectedSince = Now;
}

// Call before the task's other run is stopped, whose removal would make the copy its attempt.
void stopCopy(CellState &Cell, StepState &Step, uint32_t Index, const char *Why, TimePoint Now,
              Effects &Out) {
  if (const TaskCopy &Copy = Step.Tasks[Index].Copy; Copy.On)
    stopAttempt(Cell, *Copy.On, {{Step.Key, Index}, Copy.Run}, Why, Now, Out);
}

void stopAll(CellState &Cell, Job &J, const char *Why, TimePoint Now, Effects &Out) {
  for (auto &[Number, Round] : J.Rounds)
    for (StepState &Step : Round.Steps) {
      if (Step.Queued)
        Cell.Queue.erase(*Step.Queued);
      Step.Queued.reset();
      for (uint32_t I = 0; I < Step.Tasks.size(); ++I) {
        stopCopy(Cell, Step, I, Why, Now, Out);
        const Attempt *A = attemptOf(Step, I);
        if (A && A->EndExpectedSince == TimePoint{})
          stopAttempt(Cell, *Step.Tasks[I].AssignedWorker, {{Step.Key, I}, Step.Tasks[I].Run}, Why,
                      Now, Out);
      }
    }
}

// Stops the other runs of a task that a run has completed.
void stopSupersededRun(CellState &Cell, StepState &Step, const RunKey &Ended, TimePoint Now,
                       Effects &Out) {
  const TaskState &Task = Step.Tasks[Ended.Task.Index];
  stopCopy(Cell, Step, Ended.Task.Index, "another run has completed the task", Now, Out);
  if (Task.AssignedWorker && Task.Run != Ended.Run)
    stopAttempt(Cell, *Task.AssignedWorker, {Ended.Task, Task.Run},
                Task.Run > Ended.Run ? "an earlier run has completed the task"
                                     : "its copy has completed the task",
                Now, Out);
}

void stepDone(CellState &Cell, Job &J, RoundState &Round, TimePoint Now, Effects &Out) {
  for (StepState &Next : Round.Steps)
    queueStep(Cell, J, Next, Now);
  const bool AllDone = std::all_of(Round.Steps.begin(), Round.Steps.end(),
                                   [](const StepState &Step) { return Step.OpenTasks == 0; });
  if (!AllDone || Round.Done)
    return;
  Round.Done = true;
  ++J.RoundsDone;
  if (J.RoundsDone >= std::max<uint32_t>(J.Spec->Repetitions, 1))
    endJob(Cell, J, JobPhase::Completed, "the job is complete", Now, Out);
}

void taskDone(CellState &Cell, Job &J, StepState &Step, const RunKey &Run, TimePoint Now,
              Effects &Out) {
  const bool WasOpen = Step.OpenTasks > 0;
  if (Step.Spec->Gang) {
    for (TaskState &Task : Step.Tasks)
      Task.Done = true;
    Step.OpenTasks = 0;
    expectEnds(Step, Run.Run, Now);
  } else if (!Step.Tasks[Run.Task.Index].Done) {
    Step.Tasks[Run.Task.Index].Done = true;
    --Step.OpenTasks;
  }
  noteCopyLost(Cell, Run);
  stopSupersededRun(Cell, Step, Run, Now, Out);
  requestSave(Cell, J, Out);
  if (WasOpen && Step.OpenTasks == 0)
    stepDone(Cell, J, J.Rounds.at(Run.Task.Step.Round), Now, Out);
}

void taskFailed(CellState &Cell, Job &J, StepState &Step, const RunKey &Run, Worker *W,
                TimePoint Now, Effects &Out) {
  TaskState &Task = Step.Tasks[Run.Task.Index];
  std::set<uint32_t> &Failures = Step.Spec->Gang ? Step.GangFailures : Task.FailedRuns;
  Failures.insert(Run.Run);
  Task.FailedOn = W;
  Task.FailedAt = Now;
  Out.Failures.push_back(
      {Run, W ? W->Info.Id : std::string(), Failures.size(), J.Spec->MaxAttempts});
  requestSave(Cell, J, Out);
  if (Failures.size() >= static_cast<size_t>(J.Spec->MaxAttempts))
    endJob(Cell, J, JobPhase::Failed, "a task has used up its attempts", Now, Out);
}

// While the other of two runs goes on, the checkpoint that is known may be further on.
void keepCheckpoint(StepState &Step, uint32_t Index, const std::string &Checkpoint) {
  const TaskState &Task = Step.Tasks[Index];
  const bool GoesOn = Task.AssignedWorker && mayHaveCopies(*Step.Spec);
  if (!Checkpoint.empty() && (!GoesOn || Task.Checkpoint.empty()))
    Step.Tasks[Step.Spec->Gang ? 0 : Index].Checkpoint = Checkpoint;
}

void lastingTaskEndedDone(CellState &Cell, Job &J, StepState &Step, const RunKey &Run,
                          TimePoint Now, Effects &Out) {
  const bool HadEnded = hasEndedDone(Step);
  const bool IsFirst = !Step.Tasks[Run.Task.Index].HasEndedDone;
  if (Run.Run >= Step.Tasks[Run.Task.Index].Run)
    Step.Tasks[Step.Spec->Gang ? 0 : Run.Task.Index].Checkpoint.clear(); // the next run begins anew
  if (Step.Spec->Gang) {
    for (TaskState &Task : Step.Tasks)
      Task.HasEndedDone = true;
    expectEnds(Step, Run.Run, Now);
  } else {
    Step.Tasks[Run.Task.Index].HasEndedDone = true;
  }
  if (IsFirst)
    requestSave(Cell, J, Out);
  if (!HadEnded && hasEndedDone(Step))
    for (StepState &Next : J.Rounds.at(Run.Task.Step.Round).Steps)
      queueStep(Cell, J, Next, Now);
}

// The task is started again, however its run has ended. Most ends need no save: a later scheduler
// has higher run numbers unless the task has used up those of the term.
void lastingRunEnded(CellState &Cell, Job &J, StepState &Step, const RunKey &Run, RunOutcome How,
                     const std::string &Checkpoint, Worker *W, TimePoint Now, Effects &Out) {
  TaskState &Task = Step.Tasks[Run.Task.Index];
  Task.LastEndedRun = std::max(Task.LastEndedRun, Run.Run);
  if (How == RunOutcome::Done)
    lastingTaskEndedDone(Cell, J, Step, Run, Now, Out);
  else
    keepCheckpoint(Step, Run.Task.Index, Checkpoint);
  if (How == RunOutcome::Failed) {
    Task.FailedOn = W;
    Task.FailedAt = Now;
  }
  if ((How != RunOutcome::Done && !Checkpoint.empty()) ||
      Task.LastEndedRun >= Cell.FirstRun + RunsPerTerm - 1)
    requestSave(Cell, J, Out);
  queueStep(Cell, J, Step, Now);
}
} // namespace

void endJob(CellState &Cell, Job &J, JobPhase Phase, const char *Why, TimePoint Now, Effects &Out) {
  if (J.Phase != JobPhase::Live)
    return;
  J.Phase = Phase;
  Cell.Forecasts.AtAcceptance.erase(J.Spec->Id);
  stopAll(Cell, J, Why, Now, Out);
  requestSave(Cell, J, Out);
}

bool hasFailedBefore(const StepState &Step, uint32_t Index) {
  const auto HasFailed = [](const TaskState &Task) {
    return !Task.FailedRuns.empty() || Task.FailedAt != TimePoint{};
  };
  return !Step.GangFailures.empty() || HasFailed(Step.Tasks[Index]) ||
         (Step.Spec->Gang && std::any_of(Step.Tasks.begin(), Step.Tasks.end(), HasFailed));
}

Attempt *attemptOf(const StepState &Step, uint32_t Index) {
  const TaskState &Task = Step.Tasks[Index];
  if (!Task.AssignedWorker)
    return nullptr;
  const auto Found = Task.AssignedWorker->Attempts.find({{Step.Key, Index}, Task.Run});
  return Found == Task.AssignedWorker->Attempts.end() ? nullptr : &Found->second;
}

StepState *findStep(CellState &Cell, const StepKey &Key) {
  const auto Found = Cell.Jobs.find(Key.Job);
  if (Found == Cell.Jobs.end())
    return nullptr;
  const auto Round = Found->second.Rounds.find(Key.Round);
  if (Round == Found->second.Rounds.end() || Key.Step >= Round->second.Steps.size())
    return nullptr;
  return &Round->second.Steps[Key.Step];
}

bool isLate(const Job &J, const StepState &Step, TimePoint Now) {
  if (Step.Spec->LongRunning)
    return false;
  if (Step.LatestStart != TimePoint{})
    return Now > Step.LatestStart;
  return Now + Step.Timing.Expected / 2 > J.Objective;
}

void resetObjectives(CellState &Cell) {
  for (auto &[Id, J] : Cell.Jobs) {
    const Milliseconds Was = std::exchange(J.ObjectiveChain, criticalPathLength(Cell, *J.Spec));
    if (J.ObjectiveChain == Was)
      continue;
    J.Objective += spanOfChain(*J.Spec, J.ObjectiveChain) - spanOfChain(*J.Spec, Was);
    for (auto &[Number, Round] : J.Rounds)
      for (StepState &Step : Round.Steps)
        if (Step.Queued)
          queueStep(Cell, J, Step, Cell.WallAt);
  }
}

void queueStep(CellState &Cell, Job &J, StepState &Step, TimePoint Now) {
  const OverloadMarks Marks = marksOf(Step);
  if (Step.Queued)
    Cell.Queue.erase(*Step.Queued);
  Step.Queued.reset();
  const RoundState &Round = J.Rounds.at(Step.Key.Round);
  if (J.Phase != JobPhase::Live || Step.OpenTasks == 0 || !isDue(J, Round) ||
      !isRunnable(Round, Step))
    return;
  if (Step.RunnableSince == TimePoint{})
    Step.RunnableSince = Now;
  Step.Queued = makeQueueKey(Cell, J, Step, Marks, Now);
  Cell.Queue.insert(*Step.Queued);
}

void addJob(CellState &Cell, JobSpecPtr Spec, uint64_t Revision, bool Fresh, TimePoint Now) {
  const JobId Id = Spec->Id;
  if (Cell.Jobs.count(Id) || Cell.EndedJobs.count(Id))
    return;
  Job &J = Cell.Jobs[Id];
  J.Spec = Spec;
  J.Services.Current = Spec->Service;
  J.Services.Version = Spec->ConfigVersion;
  J.Services.Used = {{Spec->Service}};
  if (Cell.Loaded)
    updateServices(Cell, J, Now);
  J.IsInherited = !Fresh || Cell.PredecessorMayStart;
  J.Owner = findOrAddOrganisation(Cell, Spec->Organisation);
  if (J.Owner && Fresh)
    J.IsOverShare = !consumeShare(*J.Owner, Spec->AcceptedAt);
  J.Revision = Revision;
  setObjective(Cell, J, Spec->Repetitions ? Spec->FirstDue : Spec->AcceptedAt);
  if (Spec->Repetitions > 0)
    return; // rounds are made when they are due or a worker reports one
  makeRound(Cell, J, 0, Now);
  if (Fresh)
    noteAccepted(Cell, J, Now);
}

// Records of earlier versions name all failed runs, and tasks as done that are to run again.
static void restoreLastingTask(TaskState &Task, const SavedTask &Saved) {
  Task.HasEndedDone = Saved.HasEndedDone || Saved.Done;
  Task.LastEndedRun = Saved.LastEndedRun;
  for (const uint32_t Run : Saved.FailedRuns)
    Task.LastEndedRun = std::max(Task.LastEndedRun, Run);
}

void restoreStep(CellState &Cell, const StepKey &Key, const std::vector<SavedTask> &Tasks) {
  const auto Found = Cell.Jobs.find(Key.Job);
  if (Found == Cell.Jobs.end())
    return;
  Job &J = Found->second;
  J.Begun = true;
  if (!J.Rounds.count(Key.Round))
    makeRound(Cell, J, Key.Round, Cell.WallAt);
  StepState *Step = findStep(Cell, Key);
  if (!Step)
    return;
  for (const SavedTask &Saved : Tasks) {
    if (Saved.Index >= Step->Tasks.size())
      continue;
    TaskState &Task = Step->Tasks[Saved.Index];
    if (Step->Spec->LongRunning) {
      restoreLastingTask(Task, Saved);
    } else {
      if (Saved.Done && !Task.Done) {
        Task.Done = true;
        --Step->OpenTasks;
      }
      (Step->Spec->Gang ? Step->GangFailures : Task.FailedRuns)
          .insert(Saved.FailedRuns.begin(), Saved.FailedRuns.end());
    }
    Task.Checkpoint = Saved.Checkpoint;
    Task.StartupCrashes = Saved.StartupCrashes;
    Task.SuspectWorkers = Saved.SuspectWorkers;
    Task.WitnessedSuspects = Saved.WitnessedSuspects;
    Task.AcceptedSuspects = Saved.AcceptedSuspects;
    Task.VanishedWorkers = Saved.VanishedWorkers;
    Task.HasRecordedStarts = Task.MayHaveCrashedWorker = Saved.HasRecordedStarts;
    if (mayStartUnrecorded(Task))
      Task.UnrecordedStartAfter = Task.StartupCrashes > 0 ? Task.SuspectWorkers.front() : "";
    // A worker is counted once, also if it had been suspected before the start was recorded.
    const bool IsCounted = std::find(Saved.SuspectWorkers.begin(), Saved.SuspectWorkers.end(),
                                     Saved.PendingStartWorker) != Saved.SuspectWorkers.end();
    if (!Saved.PendingStartWorker.empty() && !IsCounted) {
      Task.InheritedStartWorker = Saved.PendingStartWorker;
      ++Task.StartupCrashes;
      Task.SuspectWorkers.push_back(Saved.PendingStartWorker);
    }
    for (const auto *Workers : {&Task.SuspectWorkers, &Task.VanishedWorkers})
      for (const std::string &Worker : *Workers)
        indexSuspectWorker(Cell, {Key, Saved.Index}, Worker, Cell.WallAt);
    Task.WeightedCrashes = Saved.WeightedCrashes;
  }
}

// Decides anew which jobs are within their organisation's share, in the order of acceptance.
static void assignShares(CellState &Cell) {
  std::vector<Job *> ByTime;
  for (auto &[Id, J] : Cell.Jobs)
    if (J.Owner)
      ByTime.push_back(&J);
  std::sort(ByTime.begin(), ByTime.end(), [](const Job *A, const Job *B) {
    return std::pair(A->Spec->AcceptedAt, A->Spec->Id) <
           std::pair(B->Spec->AcceptedAt, B->Spec->Id);
  });
  for (Job *J : ByTime)
    J->IsOverShare = !consumeShare(*J->Owner, J->Spec->AcceptedAt);
}

static WallTime dueTime(const JobSpec &Spec, uint32_t Round) {
  return Spec.FirstDue + Spec.Interval * Round;
}

// Makes the rounds that are due, and queues those that were made before they were.
static void startDueRounds(CellState &Cell, Job &J, TimePoint Now) {
  const JobSpec &Spec = *J.Spec;
  while (J.Phase == JobPhase::Live && J.NextRound < Spec.Repetitions) {
    const WallTime Due = dueTime(Spec, J.NextRound);
    if (Cell.Wall < Due)
      return;
    setObjective(Cell, J, Due);
    const uint32_t Number = J.NextRound++;
    const auto Made = J.Rounds.find(Number);
    if (Made == J.Rounds.end()) {
      makeRound(Cell, J, Number, Now);
      continue;
    }
    for (StepState &Step : Made->second.Steps)
      queueStep(Cell, J, Step, Now);
  }
}

// Makes the rounds that were due by the clock of the scheduler before if it was ahead. Until all
// workers have reported, the runs that they may hold are charged to the job's organisation.
static void makePossiblyBegunRounds(CellState &Cell, Job &J, TimePoint Now) {
  if (!J.IsInherited || Cell.UnreportedWorkers.empty())
    return;
  const WallTime LastDue = Cell.Wall + Cell.Limits.MaxClockDifference;
  for (uint32_t Number = J.NextRound;
       Number < J.Spec->Repetitions && dueTime(*J.Spec, Number) <= LastDue; ++Number)
    if (!J.Rounds.count(Number))
      makeRound(Cell, J, Number, Now);
}

void ensureReportedRound(CellState &Cell, const StepKey &Key, TimePoint Now) {
  const auto Found = Cell.Jobs.find(Key.Job);
  if (Found == Cell.Jobs.end())
    return;
  Job &J = Found->second;
  if (Key.Round < J.Spec->Repetitions && !J.Rounds.count(Key.Round))
    makeRound(Cell, J, Key.Round, Now);
}

void predecessorEnded(CellState &Cell) { Cell.PredecessorMayStart = false; }

void finishLoading(CellState &Cell, TimePoint Now, Effects &Out) {
  Cell.Forecasts.LoadedAt = Now;
  assignShares(Cell);
  for (auto &[Id, J] : Cell.Jobs) {
    updateServices(Cell, J, Now);
    // An earlier version drops the services of a record that it rewrites, and a run may be where
    // the present configuration sends the job.
    if (!J.Services.IsRestored)
      J.Services.Inherited = J.Services.Used.size();
    startDueRounds(Cell, J, Now); // before workers report runs of them
    makePossiblyBegunRounds(Cell, J, Now);
    for (auto &[Number, Round] : J.Rounds) {
      Round.Done = std::all_of(Round.Steps.begin(), Round.Steps.end(),
                               [](const StepState &Step) { return Step.OpenTasks == 0; });
      J.RoundsDone += Round.Done ? 1 : 0;
      for (StepState &Step : Round.Steps)
        queueStep(Cell, J, Step, Now);
    }
    if (J.Phase == JobPhase::Live && J.RoundsDone >= std::max<uint32_t>(J.Spec->Repetitions, 1))
      endJob(Cell, J, JobPhase::Completed, "the job is complete", Now, Out);
  }
  Cell.Loaded = true;
  giveUpRestoredTasks(Cell, Now, Out);
}

void cancelJob(CellState &Cell, JobId Id, TimePoint Now, Effects &Out) {
  const auto Found = Cell.Jobs.find(Id);
  if (Found == Cell.Jobs.end()) {
    if (!Cell.EndedJobs.count(Id))
      Cell.PendingCancels.insert(Id);
    return;
  }
  Found->second.CancelRequested = true;
  endJob(Cell, Found->second, JobPhase::Cancelled, "the job was cancelled", Now, Out);
}

void applyPendingCancel(CellState &Cell, JobId Id, TimePoint Now, Effects &Out) {
  if (Cell.PendingCancels.erase(Id) > 0)
    cancelJob(Cell, Id, Now, Out);
}

void addSave(CellState &Cell, Job &J) {
  J.PendingSave = ++Cell.LastSave;
  Cell.PendingSaves.emplace(J.PendingSave, J.Spec->Id);
}

void requestSave(CellState &Cell, Job &J, Effects &Out) {
  addSave(Cell, J);
  Out.SaveRequested = true;
}

namespace {
// Lets workers forget ends whose saves are durable. Returns the workers with no unsaved end left.
std::vector<std::string> releaseEnds(CellState &Cell) {
  std::vector<std::string> Clear;
  std::erase_if(Cell.SlotsWithUnsavedEnds, [&](uint32_t Slot) {
    Worker *W = Cell.Slots[Slot];
    if (!W)
      return true;
    while (!W->UnsavedEnds.empty() && !Cell.PendingSaves.count(W->UnsavedEnds.front().second)) {
      W->ForgetThrough = W->UnsavedEnds.front().first;
      W->UnsavedEnds.pop_front();
    }
    if (W->UnsavedEnds.empty())
      Clear.push_back(W->Info.Id);
    return W->UnsavedEnds.empty();
  });
  return Clear;
}

// Records that saves up to \p Number are durable, and forgets the job if it has ended.
void noteSaved(CellState &Cell, Job &J, uint64_t Number, uint64_t Revision,
               uint64_t ProgressRevision, WallTime Now) {
  J.Revision = Revision;
  J.ProgressRevision = ProgressRevision;
  if (J.PendingSave > Number)
    return;
  J.PendingSave = 0;
  if (J.Phase == JobPhase::Live)
    return;
  const JobId Id = J.Spec->Id;
  Cell.EndedJobs[Id] = {J.Phase, Revision, Now, J.Spec->Organisation};
  Cell.EndedByAge.emplace_back(Now, Id);
  removeJobFromSuspectIndex(Cell, J);
  Cell.Jobs.erase(Id);
}
} // namespace

std::vector<std::string> jobSaved(CellState &Cell, JobId Id, uint64_t Number, uint64_t Revision,
                                  uint64_t ProgressRevision, WallTime Now) {
  std::erase_if(Cell.PendingSaves,
                [&](const auto &Save) { return Save.second == Id && Save.first <= Number; });
  if (const auto Found = Cell.Jobs.find(Id); Found != Cell.Jobs.end())
    noteSaved(Cell, Found->second, Number, Revision, ProgressRevision, Now);
  return releaseEnds(Cell);
}

std::string_view publicJobState(const CellState &Cell, JobId Id) {
  if (const auto Ended = Cell.EndedJobs.find(Id); Ended != Cell.EndedJobs.end())
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

std::string organisationOfJob(const CellState &Cell, JobId Id) {
  if (const auto Ended = Cell.EndedJobs.find(Id); Ended != Cell.EndedJobs.end())
    return Ended->second.Organisation;
  const auto Found = Cell.Jobs.find(Id);
  return Found == Cell.Jobs.end() ? std::string() : Found->second.Spec->Organisation;
}

uint32_t waitingJobs(const CellState &Cell, const std::string &Queue) {
  return static_cast<uint32_t>(
      std::count_if(Cell.Jobs.begin(), Cell.Jobs.end(), [&](const auto &Entry) {
        const Job &J = Entry.second;
        return J.Spec->Queue == Queue && !J.Begun && J.Phase == JobPhase::Live;
      }));
}

void runEnded(CellState &Cell, const RunKey &Run, RunOutcome How, const std::string &Checkpoint,
              Worker *W, TimePoint Now, Effects &Out) {
  noteCopyEnded(Cell, Run, How, Now, Out);
  StepState *Step = findStep(Cell, Run.Task.Step);
  if (!Step || Run.Task.Index >= Step->Tasks.size())
    return;
  Job &J = Cell.Jobs.at(Run.Task.Step.Job);
  J.Begun = true;
  if (J.Phase != JobPhase::Live)
    return;
  if (Step->Spec->LongRunning)
    return lastingRunEnded(Cell, J, *Step, Run, How, Checkpoint, W, Now, Out);
  if (How == RunOutcome::Done)
    return taskDone(Cell, J, *Step, Run, Now, Out);
  if (Step->Tasks[Run.Task.Index].Done)
    return;
  keepCheckpoint(*Step, Run.Task.Index, Checkpoint);
  if (How == RunOutcome::Failed)
    taskFailed(Cell, J, *Step, Run, W, Now, Out);
  else if (!Checkpoint.empty())
    requestSave(Cell, J, Out); // a later scheduler resumes from the checkpoint
  queueStep(Cell, J, *Step, Now);
}

void tickJobs(CellState &Cell, TimePoint Now) {
  for (auto &[Id, J] : Cell.Jobs)
    if (J.Spec->Repetitions > 0)
      startDueRounds(Cell, J, Now);
}

} // namespace valveshelf::sched
