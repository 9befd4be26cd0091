// SPDX-License-Identifier: Apache-2.0
// Where waiting tasks go: free room first, then room made by stopping work that can wait and saves
// its progress; the order of the queue.
#include "scheduler/crashes.h"
#include "scheduler/pass.h"

#include <algorithm>

namespace valveshelf::sched {
namespace {
// After so many steps of one priority in a row that found no place, the pass leaves the rest of
// that priority for the next one; keeps a pass short when much waits.
constexpr int MaxMissesInARow = 40;
// Steps that can wait are looked at this often while one of them finds no place, gangs every second
// time; their work takes seconds. All are looked at in the same passes, so that room which has come
// free meanwhile goes by the order of the queue and not to whichever is looked at next.
constexpr Milliseconds LookEvery{40};
// Weight of the newest urgent task in their usual size.
constexpr int64_t UrgentMemory = 64;

Pass beginPass(CellState &Cell, TimePoint Now, Effects &Out) {
  Pass In{Cell, Now, Out, {}, {}, false, {}};
  for (const auto &[Id, Service] : Cell.Unheard) {
    In.Awaited.insert(Service);
    const auto Found = Cell.Workers.find(Id);
    if (Found != Cell.Workers.end() && Found->second.IsResponsive && !Found->second.HasReported)
      In.Asked.insert(Service);
  }
  In.KeepsUrgentRoom = isUrgentRoomScarce(Cell);
  chargeUnheard(In);
  return In;
}

const std::string &checkpointOf(const StepState &Step, uint32_t Index) {
  return Step.Tasks[Step.Spec->Gang ? 0 : Index].Checkpoint;
}
} // namespace

void orderStart(Pass &In, const Job &Of, StepState &Step, uint32_t Index, Worker &On,
                Attempt &What) {
  const RunKey Run{{Step.Key, Index}, Step.Tasks[Index].Run};
  setPhase(In.Cell, On, Run, AttemptPhase::Starting, In.Now);
  What.Sends = 1;
  const AdviceState::Permit *Known = permitOn(Step, On);
  In.Out.Starts.push_back(
      {On.Info.Id, Run, Of.Spec, checkpointOf(Step, Index), Known ? Known->Ticket : std::string()});
}

namespace {
// Notes for the log what was ordered for the step since \p Before starts.
void notePlaced(Pass &In, const Job &Of, StepState &Step, size_t Before) {
  if (In.Out.Starts.size() == Before)
    return;
  std::set<std::string> Workers;
  for (size_t I = Before; I < In.Out.Starts.size(); ++I)
    Workers.insert(In.Out.Starts[I].Worker);
  In.Out.Placements.push_back({Step.Key, static_cast<uint32_t>(In.Out.Starts.size() - Before),
                               static_cast<uint32_t>(Workers.size()), Step.RunnableSince,
                               Of.Objective, !Step.Ordered});
  Step.Ordered = true;
}
} // namespace

uint32_t nextRun(const CellState &Cell, const StepState &Step, uint32_t Index) {
  return std::max(Cell.FirstRun, Step.Tasks[Index].Run + 1);
}

// A scheduler that was replaced may have started a job that this one hears of only later; its runs
// are being stopped by then.
static bool hasStray(const CellState &Cell, const TaskKey &Task) {
  const auto At = Cell.Strays.lower_bound({Task, 0});
  return At != Cell.Strays.end() && At->Task == Task;
}

bool isPlaceable(const Pass &In, const Job &Of, const StepState &Step, uint32_t Index) {
  const TaskState &Task = Step.Tasks[Index];
  const std::string &Service = Of.Spec->Service;
  const bool MayRun = (Task.MayRunOnUnreportedWorker && In.Awaited.count(Service) > 0) ||
                      (Task.MayBeStartedByPredecessor && In.Asked.count(Service) > 0);
  return !Task.Done && !Task.AssignedWorker && !MayRun && Task.NotBefore <= In.Now &&
         !awaitsCrashCountSave(In.Cell, Task) && !hasStray(In.Cell, {Step.Key, Index});
}

namespace {
// Starts what is planned and has its room and its ticket.
void launchSingles(Pass &In, const Job &Of, StepState &Step) {
  if (Step.Planned == 0)
    return;
  std::vector<std::string> NoTicket;
  for (uint32_t I = 0; I < Step.Tasks.size(); ++I) {
    Worker *On = Step.Tasks[I].AssignedWorker;
    if (!On)
      continue;
    const RunKey Run{{Step.Key, I}, Step.Tasks[I].Run};
    Attempt &What = On->Attempts.at(Run);
    if (What.Phase != AttemptPhase::Planned)
      continue;
    const bool Usable = What.OnTrial ? isSound(In, *On, Of, Step) : isUsable(In, *On, Of, Step);
    if (!Usable || In.Now - What.Since > In.Cell.Limits.PlanTime)
      dropPlanned(In.Cell, *On, Run, In.Out);
    else if (!hasTicket(In, Of, Step, *On))
      NoTicket.push_back(On->Info.Id);
    else if (fits(What.Need, On->Info.Capacity - On->Booked) &&
             (!What.OnTrial ||
              (hasNoOtherStartups(*On, &Run) && mayStartNow(In.Cell, Run.Task, *On, In.Out))))
      orderStart(In, Of, Step, I, *On, What);
  }
  std::sort(NoTicket.begin(), NoTicket.end());
  NoTicket.erase(std::unique(NoTicket.begin(), NoTicket.end()), NoTicket.end());
  askAdvice(In, Of, Step, std::move(NoTicket));
}

void noteUrgentNeed(CellState &Cell, const Resources &Need) {
  Resources &Usual = Cell.UrgentNeed;
  Usual.MilliCores += (Need.MilliCores - Usual.MilliCores) / UrgentMemory;
  Usual.MemoryMb += (Need.MemoryMb - Usual.MemoryMb) / UrgentMemory;
}

bool placeSingles(Pass &In, const Job &Of, StepState &Step) {
  bool Missed = false;
  bool OverQuota = false;
  bool WaitsForSave = false;
  for (uint32_t I = 0; I < Step.Tasks.size() && !Missed; ++I) {
    TaskState &Task = Step.Tasks[I];
    WaitsForSave = WaitsForSave || awaitsCrashCountSave(In.Cell, Task);
    if (!isPlaceable(In, Of, Step, I))
      continue;
    OverQuota = !isWithinQuota(In.Cell, Of.Owner, Step.Spec->Need);
    if (OverQuota) {
      Missed = true;
      continue;
    }
    Worker *On = findRoom(In, Of, Step, Task);
    const bool Yields = !On && !needsIsolatedStart(Step, Task) && !Step.Queued->Late &&
                        gainsByStopping(In, Of, Step);
    if (Yields)
      On = findYielding(In, Of, Step, Task);
    if (!On) {
      Missed = true;
      continue;
    }
    book(In.Cell, Step, I, *On, nextRun(In.Cell, Step, I), AttemptPhase::Planned, Of, In.Now);

    if (Of.Spec->Priority == 0)
      noteUrgentNeed(In.Cell, needOf(Step));
    if (Yields)
      makeRoom(In, *On, Of.Spec->Priority);
  }
  launchSingles(In, Of, Step);
  if (Missed && !OverQuota)
    lookFurther(In, Of, Step);
  Step.Waits = OverQuota      ? WaitsForQuota
               : Missed       ? "no advised worker has room"
               : WaitsForSave ? WaitsForCrashSave
                              : "";
  return !Missed;
}

// Begins a common look at all steps that wait, if one is due.
bool beginCommonLook(Pass &In) {
  if (In.Now < In.Cell.NextCommonLook)
    return false;
  In.Cell.NextCommonLook = In.Now + LookEvery;
  In.Cell.FirstMissed.reset();
  ++In.Cell.CommonLooks;
  return true;
}

void noteMissed(CellState &Cell, const QueuePlace &Entry) {
  if (!Cell.FirstMissed || Entry < *Cell.FirstMissed)
    Cell.FirstMissed = Entry;
}

// The first question of a step, unless nothing of it could start anyway.
void askFirst(Pass &In, const Job &Of, StepState &Step) {
  const bool MayStart = isWithinQuota(In.Cell, Of.Owner, leastCharge(*Step.Spec));
  Step.Waits = MayStart ? "" : WaitsForQuota;
  if (MayStart && mayAsk(In, Of, Step))
    askUnknown(In, Of, Step);
}

// True if the step is left to the next common look: a step before it waits for room.
bool leavesItsTurn(const Pass &In, const QueuePlace &Entry, const StepState &Step, bool IsCommon) {
  if (Entry.Priority == 0 || Step.Planned > 0 || Step.Advice.IsFresh)
    return false;
  if (IsCommon)
    return Step.Spec->Gang && Step.HasMissed && In.Cell.CommonLooks % 2 != 0;
  return In.Cell.FirstMissed && !(Entry < *In.Cell.FirstMissed);
}

// True if the step has a task that still has to be placed or launched.
bool hasWork(const StepState &Step) {
  return Step.Planned > 0 ||
         std::any_of(Step.Tasks.begin(), Step.Tasks.end(),
                     [](const TaskState &T) { return !T.Done && !T.AssignedWorker; });
}
} // namespace

void place(CellState &Cell, TimePoint Now, Effects &Out) {
  if (!Cell.Loaded)
    return;
  Pass In = beginPass(Cell, Now, Out);
  const bool IsCommon = beginCommonLook(In);
  int Misses = 0;
  std::tuple<bool, bool, int> Group{false, false, 0};
  bool Skipping = false;
  const std::vector<QueuePlace> Order(Cell.Queue.begin(), Cell.Queue.end());
  for (const QueuePlace &Entry : Order) {
    if (std::tuple(Entry.Excess, Entry.Late, Entry.Priority) != Group) {
      Group = {Entry.Excess, Entry.Late, Entry.Priority};
      Misses = 0;
      Skipping = false;
    }
    if (Skipping)
      continue;
    StepState *Step = findStep(Cell, Entry.Step);
    if (!Step || !Step->Queued)
      continue;
    Job &Of = Cell.Jobs.at(Entry.Step.Job);
    if (!hasWork(*Step)) {
      Cell.Queue.erase(*Step->Queued);
      Step->Queued.reset();
      continue;
    }
    if (!Entry.Late && isLate(Of, *Step, Now))
      queueStep(Cell, Of, *Step, Now); // behind those that can still meet theirs
    if (leavesItsTurn(In, Entry, *Step, IsCommon))
      continue;
    if (Of.Spec->Advice && Step->Advice.Answered.empty()) {
      askFirst(In, Of, *Step);
      Step->HasMissed = Step->Advice.Asking == 0;
      if (Step->HasMissed)
        noteMissed(Cell, Entry);
      continue;
    }
    Step->Advice.IsFresh = false;
    const size_t Before = Out.Starts.size();
    const bool Placed = Step->Spec->Gang ? placeGang(In, Of, *Step) : placeSingles(In, Of, *Step);
    notePlaced(In, Of, *Step, Before);
    Step->HasMissed = !Placed;
    if (!Placed && Step->Queued) {
      renewTickets(In, Of, *Step);
      noteMissed(Cell, Entry);
    }
    Misses = Placed ? 0 : Misses + 1;
    Skipping = Misses >= MaxMissesInARow;
  }
  moveFromLeaving(In);
}

} // namespace valveshelf::sched
