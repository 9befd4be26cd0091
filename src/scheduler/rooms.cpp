// SPDX-License-Identifier: Apache-2.0
// Free and preemptible capacity of workers, the reserve for urgent tasks, and the choice of the
// best worker for a task.
#include "scheduler/crashes.h"
#include "scheduler/pass.h"
#include "scheduler/run_times.h"

#include <algorithm>

namespace valveshelf::sched {
namespace {
// Ratio of the size reserved for an urgent task to the mean size; three of four tasks fit it.
constexpr double UrgentSizeMargin = 1.3;
// Number of further urgent tasks for which the cell should always have capacity: two steps of the
// usual width.
constexpr int64_t MinUrgentTasks = 8;
// Larger than the penalties of a distant rack and an earlier failure together: a task that has to
// start alone would wait until the other runs on the worker have started.
constexpr int BusyStartupPenalty = 4;
// Smaller than the penalty of a distant rack, which slows a task down more.
constexpr int SlowWorkerPenalty = 1;
} // namespace

bool hasLabel(const WorkerInfo &Info, const std::string &Label) {
  return Label.empty() ||
         std::find(Info.Labels.begin(), Info.Labels.end(), Label) != Info.Labels.end();
}

bool isEligible(const PlacementPass &Pass, const Worker &W, const Job &J, const StepState &Step) {
  return W.HasReported && W.IsRecorded && takesWork(W) && W.IsResponsive && !W.HasUnsizedRun &&
         W.QuarantinedUntil <= Pass.Now && W.Info.Service == J.Services.Current &&
         hasLabel(W.Info, Step.Spec->RequiredLabel);
}

bool isUsable(const PlacementPass &Pass, const Worker &W, const Job &J, const StepState &Step) {
  return W.IsolatedStarts == 0 && isEligible(Pass, W, J, Step);
}

namespace {
// The mean need of urgent tasks with a margin.
Resources typicalUrgentNeed(const CellState &Cell) {
  const auto WithMargin = [](int64_t Mean) {
    return static_cast<int64_t>(static_cast<double>(Mean) * UrgentSizeMargin);
  };
  return {WithMargin(Cell.MeanUrgentNeed.MilliCores), WithMargin(Cell.MeanUrgentNeed.MemoryMb), 0};
}
} // namespace

// A reserve on each worker can take a large part of a cell of small workers, so it is kept only
// while the cell as a whole has little capacity for urgent tasks. Otherwise other work would wait
// although many urgent tasks could still be started.
bool isUrgentCapacityScarce(CellState &Cell) {
  const auto Required =
      static_cast<int64_t>(Cell.Limits.UrgentHeadroom * Cell.UrgentAttempts) + MinUrgentTasks;
  const Resources Need = typicalUrgentNeed(Cell);
  if (Need == Resources{})
    return true; // no urgent task was placed yet
  int64_t Fitting = 0;
  // Starts at the worker that had capacity last time, so that few workers are visited in a large
  // cell that has some.
  const size_t Count = Cell.Slots.size();
  const size_t First = Count == 0 ? 0 : Cell.UrgentScanStart % Count;
  for (size_t I = 0; I < Count; ++I) {
    const size_t Slot = (First + I) % Count;
    const Worker *W = Cell.Slots[Slot];
    if (!W || !W->HasReported || !W->IsResponsive || !takesWork(*W))
      continue;
    const int64_t FittingHere =
        countFitting(Need, W->Info.Capacity - W->Booked - W->Planned, Required);
    if (FittingHere > 0 && Fitting == 0)
      Cell.UrgentScanStart = Slot;
    Fitting += FittingHere;
    if (Fitting >= Required)
      return false;
  }
  return true;
}

const Resources &maxFree(PlacementPass &Pass) {
  if (Pass.MaxFree)
    return *Pass.MaxFree;
  Pass.MaxFree.emplace();
  for (const Worker *W : Pass.Cell.Slots)
    if (W && W->HasReported && !W->InEvacuatedZone)
      *Pass.MaxFree =
          componentMax(*Pass.MaxFree, W->Info.Capacity - W->Booked - W->Planned - W->Claimed);
  return *Pass.MaxFree;
}

namespace {
// The capacity of the worker that is reserved for urgent tasks: enough for a typical one.
Resources urgentReserve(const PlacementPass &Pass, const Worker &W) {
  const SchedulerLimits &Limits = Pass.Cell.Limits;
  const Resources &Total = W.Info.Capacity;
  const auto Reserve = [&](int64_t Capacity, int64_t Required) {
    const auto Min = static_cast<int64_t>(static_cast<double>(Capacity) * Limits.MinUrgentReserve);
    const auto Max = static_cast<int64_t>(static_cast<double>(Capacity) * Limits.MaxUrgentReserve);
    return std::clamp(Required, Min, Max);
  };
  const Resources Usual = typicalUrgentNeed(Pass.Cell);
  return {Reserve(Total.MilliCores, Usual.MilliCores), Reserve(Total.MemoryMb, Usual.MemoryMb), 0};
}
} // namespace

Resources needOf(const StepState &Step) {
  Resources Need = Step.Spec->Need;
  if (Step.Spec->BestEffort)
    Need.MilliCores = 0;
  return Need;
}

// Steps that are not urgent leave the reserve free. Gangs, whose members are large, and tasks that
// fit a worker only without the reserve may use it.
Resources freeCapacityFor(const PlacementPass &Pass, const Worker &W, const Job &J,
                          const StepState &Step) {
  const Resources Room = W.Info.Capacity - W.Booked - W.Planned;
  if (J.Spec->Priority == 0 || Step.Spec->Gang || !Pass.KeepsUrgentReserve)
    return Room;
  const Resources Reserve = urgentReserve(Pass, W);
  return fits(needOf(Step), W.Info.Capacity - Reserve) ? Room - Reserve : Room;
}

uint32_t countTasksOn(const StepState &Step, const Worker &W) {
  return static_cast<uint32_t>(
      std::count_if(Step.Tasks.begin(), Step.Tasks.end(), [&](const TaskState &Task) {
        return Task.AssignedWorker == &W || Task.Copy.On == &W;
      }));
}

// Counts every run that the worker may hold, also one that its task does not need and that is being
// stopped.
bool isAtTaskLimit(const StepState &Step, const Worker &W) {
  const uint32_t Limit = Step.Spec->MaxPerWorker;
  uint32_t Count = 0;
  for (auto At = W.Attempts.lower_bound({{Step.Key, 0}, 0});
       Count < Limit && At != W.Attempts.end() && At->first.Task.Step == Step.Key; ++At)
    ++Count;
  return Limit > 0 && Count >= Limit;
}

// Without this a task that few workers can take would return to a failing worker at once and use up
// its attempts there.
bool hasRecentlyFailedOn(const PlacementPass &Pass, const TaskState &Task, const Worker &W) {
  return Task.FailedOn == &W && Pass.Now - Task.FailedAt < Pass.Cell.Limits.FailureAvoidanceTime;
}

namespace {
// True if the attempt may be stopped for work of \p Priority: it is less urgent, and it is a copy,
// late already, or can still meet its objective after continuing on another worker.
bool canPreempt(const PlacementPass &Pass, const Attempt &A, int Priority) {
  if (A.Phase != AttemptPhase::Running || !A.IsPreemptible || A.Priority <= Priority)
    return false;
  const SchedulerLimits &Limits = Pass.Cell.Limits;
  const Milliseconds Remaining = A.Expected * (100 - A.Percent) / 100;
  return A.IsCopy || Pass.Now > A.Objective ||
         Pass.Now + Limits.StopTime + Remaining + Limits.PreemptionMargin < A.Objective;
}
} // namespace

bool benefitsFromPreemption(const PlacementPass &Pass, const Job &J, const StepState &Step) {
  if (J.IsOverShare)
    return false; // it uses only capacity that no job within a share needs
  return Step.Spec->LongRunning ||
         Pass.Now + Pass.Cell.Limits.StopTime + Step.Timing.Expected < J.Objective;
}

Resources preemptibleResources(const PlacementPass &Pass, const Worker &W, int Priority) {
  Resources Sum;
  if (W.Preemptible == Resources{})
    return Sum;
  for (const auto &[Run, A] : W.Attempts)
    if (canPreempt(Pass, A, Priority))
      Sum += A.Need;
  return Sum;
}

void preemptFor(PlacementPass &Pass, Worker &W, int Priority) {
  Resources Deficit = W.Booked + W.Planned - W.Info.Capacity;
  std::vector<std::tuple<bool, TimePoint, RunKey>> Candidates;
  for (const auto &[Run, A] : W.Attempts) {
    if (A.Phase == AttemptPhase::Stopping)
      Deficit -= A.Need; // is being freed
    else if (canPreempt(Pass, A, Priority))
      Candidates.emplace_back(A.IsCopy, A.StartedAt, Run);
  }
  std::sort(Candidates.begin(), Candidates.end());
  while (!Candidates.empty() &&
         (Deficit.MilliCores > 0 || Deficit.MemoryMb > 0 || Deficit.Accelerators > 0)) {
    const RunKey Run = std::get<RunKey>(Candidates.back()); // the newest loses the least work
    Candidates.pop_back();
    Deficit -= W.Attempts.at(Run).Need;
    W.Attempts.at(Run).IsPreempted = true;
    stopAttempt(Pass.Cell, W, Run, "its room is needed by more urgent work", Pass.Now, Pass.Out);
  }
}

namespace {
// Rates a worker for a task; the smallest score is the best.
struct Score {
  int Penalty = 0;
  SpeedBand Speed = SpeedBand::Ordinary;
  int64_t Remaining = 0;
  friend bool operator<(const Score &A, const Score &B) {
    return std::tie(A.Penalty, A.Speed, A.Remaining) < std::tie(B.Penalty, B.Speed, B.Remaining);
  }
};

Score scoreOf(const PlacementPass &Pass, const Job &J, const StepState &Step, const TaskState &Task,
              const Worker &W, bool PrefersFast) {
  Score Value;
  const bool Far = !Step.Spec->PreferredRack.empty() && W.Info.Rack != Step.Spec->PreferredRack;
  Value.Penalty += Far ? 2 : 0;
  Value.Penalty += Task.FailedOn == &W ? 1 : 0;
  // The slowest task decides when a job ends: workers that are still warming up come last.
  Value.Penalty += W.SlowUntil > Pass.Now ? SlowWorkerPenalty : 0;
  // A task that may crash its worker goes where it can start alone and affects the fewest runs.
  const bool Isolated = needsIsolatedStart(Task);
  Value.Penalty += Isolated && !hasNoOtherStartups(W) ? BusyStartupPenalty : 0;
  if (PrefersFast)
    Value.Speed = W.Speed;
  // Urgent work is spread; other work is packed, which leaves large free blocks for gangs.
  const int64_t Remaining = freeCapacityFor(Pass, W, J, Step).MilliCores;
  Value.Remaining = J.Spec->Priority == 0 || Isolated ? -Remaining : Remaining;
  return Value;
}
} // namespace

Worker *selectWorker(PlacementPass &Pass, const Job &J, StepState &Step, const TaskState &Task) {
  Worker *Best = nullptr;
  Score BestScore;
  const Resources Need = needOf(Step);
  const bool Isolated = needsIsolatedStart(Task);
  const bool PrefersFast = !Isolated && prefersFastWorker(Pass.Cell, J, Step);
  forEachAdvisedWorker(Pass, J, Step, [&](Worker &W) {
    if (Isolated && W.Planned != Resources{})
      return;
    if (!fits(Need, freeCapacityFor(Pass, W, J, Step)) || !isUsable(Pass, W, J, Step) ||
        isAtTaskLimit(Step, W) || hasRecentlyFailedOn(Pass, Task, W) || !canPlan(Pass, J, Step, W))
      return;
    const Score Value = scoreOf(Pass, J, Step, Task, W, PrefersFast);
    if (!Best || Value < BestScore) {
      Best = &W;
      BestScore = Value;
    }
  });
  return Best;
}

Worker *selectWorkerToPreempt(PlacementPass &Pass, const Job &J, StepState &Step,
                              const TaskState &Task) {
  Worker *Best = nullptr;
  int64_t BestRoom = 0;
  const Resources Need = needOf(Step);
  const int Priority = J.Spec->Priority;
  forEachAdvisedWorker(Pass, J, Step, [&](Worker &W) {
    const Resources Free = freeCapacityFor(Pass, W, J, Step);
    const Resources Max = Free + W.Preemptible;
    // This bound skips most workers without visiting their attempts.
    if (!fits(Need, Max) || (Best && Max.MilliCores <= BestRoom))
      return;
    if (!isUsable(Pass, W, J, Step) || isAtTaskLimit(Step, W) ||
        hasRecentlyFailedOn(Pass, Task, W) || !canPlan(Pass, J, Step, W))
      return;
    const Resources Room = Free + preemptibleResources(Pass, W, Priority);
    if (fits(Need, Room) && (!Best || Room.MilliCores > BestRoom)) {
      Best = &W;
      BestRoom = Room.MilliCores;
    }
  });
  return Best;
}

} // namespace valveshelf::sched
