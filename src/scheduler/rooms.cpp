// SPDX-License-Identifier: Apache-2.0
// What workers have free for a step, and what could be stopped to make room for it.
#include "scheduler/crashes.h"
#include "scheduler/pass.h"

#include <algorithm>

namespace valveshelf::sched {
namespace {
// Room kept for an urgent task, over the mean size; three of four then fit.
constexpr double UrgentSpread = 1.3;
// Urgent tasks for which there is always room to be: two steps of the usual width.
constexpr int64_t LeastUrgentSeats = 8;
// Above what a far rack and an earlier failure add up to: on a worker where others are beginning a
// task that begins apart has to wait for them.
constexpr int NotQuietPenalty = 4;
// Below a far rack, which is slower than a worker that has just begun its life is for a while.
constexpr int SlowPenalty = 1;
} // namespace

bool hasLabel(const WorkerInfo &Info, const std::string &Label) {
  return Label.empty() ||
         std::find(Info.Labels.begin(), Info.Labels.end(), Label) != Info.Labels.end();
}

bool isSound(const Pass &In, const Worker &On, const Job &Of, const StepState &Step) {
  return On.Heard && On.Saved && takesWork(On) && On.Answers && !On.Full &&
         On.SetAsideUntil <= In.Now && On.Info.Service == Of.Spec->Service &&
         hasLabel(On.Info, Step.Spec->RequiredLabel);
}

bool isUsable(const Pass &In, const Worker &On, const Job &Of, const StepState &Step) {
  return On.Trials == 0 && isSound(In, On, Of, Step);
}

namespace {
// The usual size of an urgent task, and somewhat more.
Resources usualUrgentNeed(const CellState &Cell) {
  const auto Larger = [](int64_t Usual) {
    return static_cast<int64_t>(static_cast<double>(Usual) * UrgentSpread);
  };
  return {Larger(Cell.UrgentNeed.MilliCores), Larger(Cell.UrgentNeed.MemoryMb), 0};
}
} // namespace

// Room kept on each worker for one urgent task is a fifth of a cell of small workers, and work that
// can wait would stand before it while hundreds of urgent tasks could be started. It is kept only
// while the cell as a whole has little of it.
bool isUrgentRoomScarce(CellState &Cell) {
  const auto Wanted =
      static_cast<int64_t>(Cell.Limits.UrgentSpare * Cell.UrgentAttempts) + LeastUrgentSeats;
  const Resources Need = usualUrgentNeed(Cell);
  if (Need == Resources{})
    return true; // nothing is known of urgent tasks yet
  int64_t Seats = 0;
  // From where there was room last time: in a cell with some room a look at few workers is enough,
  // however large the fleet.
  const size_t Count = Cell.Slots.size();
  const size_t First = Count == 0 ? 0 : Cell.SeatsFrom % Count;
  for (size_t I = 0; I < Count; ++I) {
    const size_t Slot = (First + I) % Count;
    const Worker *On = Cell.Slots[Slot];
    if (!On || !On->Heard || !On->Answers || !takesWork(*On))
      continue;
    const int64_t Here = timesFits(Need, On->Info.Capacity - On->Booked - On->Planned, Wanted);
    if (Here > 0 && Seats == 0)
      Cell.SeatsFrom = Slot;
    Seats += Here;
    if (Seats >= Wanted)
      return false;
  }
  return true;
}

const Resources &mostFree(Pass &In) {
  if (In.MostFree)
    return *In.MostFree;
  In.MostFree.emplace();
  for (const Worker *On : In.Cell.Slots)
    if (On && On->Heard && !On->Evacuated)
      *In.MostFree =
          largest(*In.MostFree, On->Info.Capacity - On->Booked - On->Planned - On->Claimed);
  return *In.MostFree;
}

namespace {
// What is kept free on the worker for urgent tasks: room for one of the usual size.
Resources urgentReserve(const Pass &In, const Worker &On) {
  const SchedulerLimits &Limits = In.Cell.Limits;
  const Resources &Whole = On.Info.Capacity;
  const auto Part = [&](int64_t Capacity, int64_t Wanted) {
    const auto Least = static_cast<int64_t>(static_cast<double>(Capacity) * Limits.UrgentShare);
    const auto Most = static_cast<int64_t>(static_cast<double>(Capacity) * Limits.MostUrgentShare);
    return std::clamp(Wanted, Least, Most);
  };
  const Resources Usual = usualUrgentNeed(In.Cell);
  return {Part(Whole.MilliCores, Usual.MilliCores), Part(Whole.MemoryMb, Usual.MemoryMb), 0};
}
} // namespace

Resources needOf(const StepState &Step) {
  Resources Need = Step.Spec->Need;
  if (Step.Spec->BestEffort)
    Need.MilliCores = 0;
  return Need;
}

// What the step may still take. Work that can wait leaves some room for work that can't, but for
// gangs, whose members are too large for what is left between them, and tasks that need it all.
Resources roomFor(const Pass &In, const Worker &On, const Job &Of, const StepState &Step) {
  const Resources Room = On.Info.Capacity - On.Booked - On.Planned;
  if (Of.Spec->Priority == 0 || Step.Spec->Gang || !In.KeepsUrgentRoom)
    return Room;
  const Resources Reserve = urgentReserve(In, On);
  return fits(needOf(Step), On.Info.Capacity - Reserve) ? Room - Reserve : Room;
}

uint32_t heldOf(const StepState &Step, const Worker &On) {
  return static_cast<uint32_t>(std::count_if(
      Step.Tasks.begin(), Step.Tasks.end(), [&](const TaskState &Task) { return Task.At == &On; }));
}

bool holdsLimit(const StepState &Step, const Worker &On) {
  return Step.Spec->MaxPerWorker > 0 && heldOf(Step, On) >= Step.Spec->MaxPerWorker;
}

// True if the task has just failed on the worker. Where few advised workers have room it would go
// back at once and use up its attempts on a worker that fails everything.
bool hasJustFailedOn(const Pass &In, const TaskState &Task, const Worker &On) {
  return Task.FailedOn == &On && In.Now - Task.FailedAt < In.Cell.Limits.NotBackTime;
}

namespace {
// What could be stopped on the worker in favour of more urgent work: what is late already, or can
// still meet its objective when it goes on elsewhere.
bool canYield(const Pass &In, const Attempt &What, int Priority) {
  if (What.Phase != AttemptPhase::Running || !What.MayBeStopped || What.Priority <= Priority)
    return false;
  const SchedulerLimits &Limits = In.Cell.Limits;
  const Milliseconds Left = What.Estimate * (100 - What.Percent) / 100;
  return In.Now > What.Objective ||
         In.Now + Limits.StopTime + Left + Limits.YieldMargin < What.Objective;
}
} // namespace

// True if the step can meet its objective though others have to be stopped first.
bool gainsByStopping(const Pass &In, const Job &Of, const StepState &Step) {
  if (Of.IsExcess)
    return false; // it gets the room that nobody within a share needs
  return Step.Spec->LongRunning ||
         In.Now + In.Cell.Limits.StopTime + Step.Spec->Estimate < Of.Objective;
}

Resources yieldable(const Pass &In, const Worker &On, int Priority) {
  Resources Sum;
  if (On.Stoppable == Resources{})
    return Sum;
  for (const auto &[Run, What] : On.Attempts)
    if (canYield(In, What, Priority))
      Sum += What.Need;
  return Sum;
}

// Stops the work that loses least until \p Missing would be free.
void makeRoom(Pass &In, Worker &On, int Priority) {
  Resources Over = On.Booked + On.Planned - On.Info.Capacity;
  std::vector<std::pair<TimePoint, RunKey>> Candidates;
  for (const auto &[Run, What] : On.Attempts) {
    if (What.Phase == AttemptPhase::Stopping)
      Over -= What.Need; // is being freed already
    else if (canYield(In, What, Priority))
      Candidates.emplace_back(What.StartedAt, Run);
  }
  std::sort(Candidates.begin(), Candidates.end());
  while (!Candidates.empty() &&
         (Over.MilliCores > 0 || Over.MemoryMb > 0 || Over.Accelerators > 0)) {
    const RunKey Run = Candidates.back().second; // the newest has the least to save
    Candidates.pop_back();
    Over -= On.Attempts.at(Run).Need;
    On.Attempts.at(Run).StopsPlan = true;
    stopAttempt(In.Cell, On, Run, "its room is needed by more urgent work", In.Now, In.Out);
  }
}

namespace {
// Smaller is better.
struct Score {
  int Penalty = 0;
  int64_t Left = 0;
  friend bool operator<(const Score &A, const Score &B) {
    return std::tie(A.Penalty, A.Left) < std::tie(B.Penalty, B.Left);
  }
};

Score scoreOf(const Pass &In, const Job &Of, const StepState &Step, const TaskState &Task,
              const Worker &On) {
  Score Value;
  const bool Far = !Step.Spec->PreferredRack.empty() && On.Info.Rack != Step.Spec->PreferredRack;
  Value.Penalty += Far ? 2 : 0;
  Value.Penalty += Task.FailedOn == &On ? 1 : 0;
  // A caller waits for the slowest task: a worker that is still slow is taken when no other is.
  Value.Penalty += On.SlowUntil > In.Now ? SlowPenalty : 0;
  // What may crash its worker goes where it can begin at once and takes least with it.
  const bool Apart = beginsApart(Step, Task);
  Value.Penalty += Apart && !isQuiet(On) ? NotQuietPenalty : 0;
  // Urgent work is spread; work that can wait is packed, which leaves large gaps for gangs.
  const int64_t Left = roomFor(In, On, Of, Step).MilliCores;
  Value.Left = Of.Spec->Priority == 0 || Apart ? -Left : Left;
  return Value;
}
} // namespace

Worker *findRoom(Pass &In, const Job &Of, StepState &Step, const TaskState &Task) {
  Worker *Best = nullptr;
  Score BestScore;
  const Resources Need = needOf(Step);
  const bool Apart = beginsApart(Step, Task);
  eachAdvised(In, Of, Step, [&](Worker &On) {
    if (Apart && On.Planned != Resources{})
      return;
    if (!fits(Need, roomFor(In, On, Of, Step)) || !isUsable(In, On, Of, Step) ||
        holdsLimit(Step, On) || hasJustFailedOn(In, Task, On) || !canPlan(In, Of, Step, On))
      return;
    const Score Value = scoreOf(In, Of, Step, Task, On);
    if (!Best || Value < BestScore) {
      Best = &On;
      BestScore = Value;
    }
  });
  return Best;
}

// A worker where stopping less urgent work makes room; the one with most of it.
Worker *findYielding(Pass &In, const Job &Of, StepState &Step, const TaskState &Task) {
  Worker *Best = nullptr;
  int64_t BestRoom = 0;
  const Resources Need = needOf(Step);
  const int Priority = Of.Spec->Priority;
  eachAdvised(In, Of, Step, [&](Worker &On) {
    const Resources Free = roomFor(In, On, Of, Step);
    const Resources Most = Free + On.Stoppable;
    // Most workers are passed over by this bound alone, without a look at each run there.
    if (!fits(Need, Most) || (Best && Most.MilliCores <= BestRoom))
      return;
    if (!isUsable(In, On, Of, Step) || holdsLimit(Step, On) || hasJustFailedOn(In, Task, On) ||
        !canPlan(In, Of, Step, On))
      return;
    const Resources Room = Free + yieldable(In, On, Priority);
    if (fits(Need, Room) && (!Best || Room.MilliCores > BestRoom)) {
      Best = &On;
      BestRoom = Room.MilliCores;
    }
  });
  return Best;
}

} // namespace valveshelf::sched
