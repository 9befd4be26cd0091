// SPDX-License-Identifier: Apache-2.0
// Learns run times from reported ends, and applies the model to steps, attempts and workers.
#include "scheduler/run_times.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace valveshelf::sched {
namespace {
// Workers are uneven once 1 / UnevenDivisor of them are slow, until fewer than 1 / UnevenEndDivisor
// are.
constexpr size_t UnevenDivisor = 10;
constexpr size_t UnevenEndDivisor = 20;
// The median of fewer ended tasks is not used.
constexpr size_t MinSiblings = 3;
// The deviations of a step's workers are learned when the step ends, or from this many tasks. The
// first tasks to end are those on fast workers: compared only with each other, all would be
// ordinary.
constexpr size_t MaxUnlearnedTasks = 256;
// A gang whose members started further apart than this has waited for the last one.
constexpr Milliseconds MaxGangStartDelay{100};
// A failure of a long-running task counts against its worker again after this time.
constexpr Milliseconds IndependentFailureTime{60000};
// The last 1/LastTasksDivisor of a step's tasks decide when the step ends.
constexpr uint32_t LastTasksDivisor = 8;

float logTime(Steady::duration Time) {
  const std::chrono::duration<double, std::milli> Millis = Time;
  return static_cast<float>(std::log(std::max(Millis.count(), 1.0)));
}

// The key of the worker in the model.
const std::string &speedKey(const Worker &On) {
  return On.Info.Machine.empty() ? On.Info.Id : On.Info.Machine;
}

// Logarithms of the times that the ended tasks would have taken on an ordinary worker.
std::vector<double> ordinaryTimes(const StepState &Step) {
  std::vector<double> Times;
  Times.reserve(Step.Timing.Ended.size());
  for (const StepTiming::EndedTask &Task : Step.Timing.Ended)
    Times.push_back(Task.LogTime - Task.Deviation);
  return Times;
}

void setBand(Worker &On, SpeedBand Band, double Deviation, Effects &Out) {
  if ((On.Speed == SpeedBand::Slow) != (Band == SpeedBand::Slow))
    Out.SpeedChanges.push_back({On.Info.Id, On.Info.Machine, Band, std::exp(-Deviation)});
  On.Speed = Band;
}

void updateBand(CellState &Cell, Worker &On, TimePoint Now, Effects &Out) {
  const auto Found = Cell.RunTimes.Workers.find(speedKey(On));
  if (Found == Cell.RunTimes.Workers.end())
    return setBand(On, SpeedBand::Ordinary, 0, Out);
  Found->second.Band = bandOf(Found->second, Now);
  setBand(On, Found->second.Band, deviationOf(Found->second, Now), Out);
}

void learnSpeedOf(CellState &Cell, uint32_t Slot, double Deviation, TimePoint Now, Effects &Out) {
  Worker *On = Cell.Slots[Slot];
  if (!On)
    return;
  learnWorker(Cell.RunTimes, speedKey(*On), Deviation, Now);
  updateBand(Cell, *On, Now, Out);
}

// Learns the speeds of the workers of a step from how much longer than the others their tasks took.
// Small steps are compared with the expectation of their queue.
void learnSpeeds(CellState &Cell, const Job &J, StepState &Step, TimePoint Now, Effects &Out) {
  const std::vector<double> Times = ordinaryTimes(Step);
  const std::vector<StepTiming::EndedTask> Ended = std::exchange(Step.Timing.Ended, {});
  if (!Times.empty())
    Step.Timing.Observed = Milliseconds(std::llround(std::exp(medianOf(Times))));
  const std::optional<double> Expected =
      Ended.size() > MinSiblings
          ? medianOf(Times)
          : comparableLog(Cell.RunTimes, J.Spec->Queue, Step.Spec->Estimate, Now);
  if (!Expected)
    return;
  for (const StepTiming::EndedTask &Task : Ended)
    learnSpeedOf(Cell, Task.Slot, Task.LogTime - *Expected, Now, Out);
}

// The members of a gang end together: the first end teaches the queue, once. Their workers are not
// compared, since the slowest one sets the pace of all.
void learnGang(CellState &Cell, const Job &J, const StepState &Step, uint32_t Run, TimePoint Now) {
  TimePoint First = TimePoint::max();
  TimePoint Last{};
  for (uint32_t I = 0; I < Step.Tasks.size(); ++I) {
    const Attempt *Member = Step.Tasks[I].Run == Run ? attemptOf(Step, I) : nullptr;
    if (!Member || !Member->IsTimed)
      return;
    First = std::min(First, Member->StartedAt);
    Last = std::max(Last, Member->StartedAt);
  }
  if (Last - First > MaxGangStartDelay)
    return;
  learnQueue(Cell.RunTimes,
             {J.Spec->Queue, Step.Spec->Estimate,
              std::chrono::duration_cast<Milliseconds>(Now - Last), 0, 1},
             Now);
}
} // namespace

bool usesRunTimes(const CellState &Cell) {
  return Cell.InForce.LearnRunTimes && (!Cell.InForce.NeedsUnevenWorkers || Cell.RunTimes.IsUneven);
}

RunTime expectedRunTime(const CellState &Cell, const Job &J, const StepState &Step) {
  if (!usesRunTimes(Cell) || Step.Spec->LongRunning)
    return {Step.Spec->Estimate, 0};
  return learnedRunTime(Cell, J, Step);
}

RunTime learnedRunTime(const CellState &Cell, const Job &J, const StepState &Step) {
  if (Step.Timing.Ended.size() >= MinSiblings) {
    std::vector<double> Times = ordinaryTimes(Step);
    const double Middle = medianOf(Times);
    for (double &Time : Times)
      Time = std::abs(Time - Middle);
    // For a normal distribution the standard deviation is this multiple of the median deviation.
    return {Milliseconds(std::llround(std::exp(Middle))), 1.4826 * medianOf(std::move(Times))};
  }
  return expectedOfQueue(Cell.RunTimes, J.Spec->Queue, Step.Spec->Estimate, Cell.WallAt).first;
}

Milliseconds expectedRunTime(const CellState &Cell, const JobSpec &Spec, const StepSpec &Step) {
  if (!usesRunTimes(Cell) || Step.LongRunning)
    return Step.Estimate;
  return expectedOfQueue(Cell.RunTimes, Spec.Queue, Step.Estimate, Cell.WallAt).first.Expected;
}

double learnedSpeed(const CellState &Cell, const Worker &On) {
  return std::exp(-deviationOf(Cell.RunTimes, speedKey(On), Cell.WallAt));
}

void updateExpectedRunTime(const CellState &Cell, const Job &J, StepState &Step) {
  Step.Timing.Expected = expectedRunTime(Cell, J, Step).Expected;
  Step.Timing.Source = RunTimeSource::Estimate;
  if (!usesRunTimes(Cell) || Step.Spec->LongRunning)
    return;
  Step.Timing.Source =
      Step.Timing.Ended.size() >= MinSiblings
          ? RunTimeSource::Siblings
          : expectedOfQueue(Cell.RunTimes, J.Spec->Queue, Step.Spec->Estimate, Cell.WallAt).second;
}

Milliseconds expectedRunTimeOn(const CellState &Cell, const StepState &Step, const Worker &On) {
  if (!usesRunTimes(Cell) || On.Speed == SpeedBand::Ordinary)
    return Step.Timing.Expected;
  return std::chrono::duration_cast<Milliseconds>(Step.Timing.Expected / learnedSpeed(Cell, On));
}

void noteRunDone(CellState &Cell, Worker &On, const RunKey &Run, bool WasResponsive, TimePoint Now,
                 Effects &Out) {
  StepState *Step = Cell.InForce.LearnRunTimes ? findStep(Cell, Run.Task.Step) : nullptr;
  const auto Found = On.Attempts.find(Run);
  if (!Step || Run.Task.Index >= Step->Tasks.size() || Step->Tasks[Run.Task.Index].Done ||
      Step->Spec->LongRunning || Found == On.Attempts.end())
    return;
  const Job &J = Cell.Jobs.at(Run.Task.Step.Job);
  const Attempt &Entry = Found->second;
  const bool IsTimed = Entry.IsTimed && WasResponsive && On.SlowUntil <= Entry.StartedAt;
  if (Step->Spec->Gang) {
    if (IsTimed)
      learnGang(Cell, J, *Step, Run.Run, Now);
    return;
  }
  if (IsTimed) {
    const Steady::duration Time = Now - Entry.StartedAt;
    const double Deviation = deviationOf(Cell.RunTimes, speedKey(On), Now);
    learnQueue(Cell.RunTimes,
               {J.Spec->Queue, Step->Spec->Estimate, std::chrono::duration_cast<Milliseconds>(Time),
                Deviation, Step->Spec->Count},
               Now);
    Step->Timing.Ended.push_back({On.Slot, logTime(Time), static_cast<float>(Deviation)});
    updateExpectedRunTime(Cell, J, *Step);
  }
  if (Step->OpenTasks <= 1 || Step->Timing.Ended.size() >= MaxUnlearnedTasks)
    learnSpeeds(Cell, J, *Step, Now, Out);
}

void refreshRunTimes(CellState &Cell, TimePoint Now, Effects &Out) {
  if (!Cell.InForce.LearnRunTimes || Now < Cell.RunTimes.NextRefresh)
    return;
  Cell.RunTimes.NextRefresh = Now + RunTimeRefreshInterval;
  forgetOld(Cell.RunTimes, Now);
  Cell.RunTimes.SlowWorkers = 0;
  for (auto &[Id, On] : Cell.Workers) {
    updateBand(Cell, On, Now, Out);
    Cell.RunTimes.SlowWorkers += On.Speed == SpeedBand::Slow ? 1 : 0;
  }
  const size_t Divisor = Cell.RunTimes.IsUneven ? UnevenEndDivisor : UnevenDivisor;
  Cell.RunTimes.IsUneven =
      Cell.RunTimes.SlowWorkers > 0 && Cell.RunTimes.SlowWorkers * Divisor >= Cell.Workers.size();
  for (const QueueKey &Entry : Cell.Queue)
    if (StepState *Step = findStep(Cell, Entry.Step))
      updateExpectedRunTime(Cell, Cell.Jobs.at(Entry.Step.Job), *Step);
}

void forgetRunTimes(CellState &Cell) {
  Cell.RunTimes = {};
  for (auto &[Id, On] : Cell.Workers) {
    On.Speed = SpeedBand::Ordinary;
    for (auto &[Run, Entry] : On.Attempts)
      Entry.Expected = Entry.Estimate;
  }
  for (auto &[Id, J] : Cell.Jobs)
    for (auto &[Number, Round] : J.Rounds)
      for (StepState &Step : Round.Steps)
        Step.Timing = {Step.Spec->Estimate, RunTimeSource::Estimate, {}, Milliseconds(0)};
  resetObjectives(Cell);
}

bool isEvidenceAgainstWorker(CellState &Cell, const RunKey &Run, TimePoint Now) {
  const StepState *Step = Cell.InForce.LearnRunTimes ? findStep(Cell, Run.Task.Step) : nullptr;
  if (!Step || Run.Task.Index >= Step->Tasks.size())
    return true;
  const TaskState &Task = Step->Tasks[Run.Task.Index];
  return !hasFailedBefore(*Step, Run.Task.Index) ||
         (Step->Spec->LongRunning && Now - Task.FailedAt > IndependentFailureTime);
}

// Urgent tasks have the least time to spare. The last tasks of a wide step start after the others
// and decide when it ends. In a nearly full service this only orders the workers that have room: a
// task never waits for a faster one.
bool prefersFastWorker(const CellState &Cell, const Job &J, const StepState &Step) {
  if (!usesRunTimes(Cell))
    return false;
  const uint32_t ToPlace = Step.OpenTasks - std::min(Step.OpenTasks, Step.BookedTasks);
  return J.Spec->Priority == 0 || ToPlace <= Step.Spec->Count / LastTasksDivisor;
}

} // namespace valveshelf::sched
