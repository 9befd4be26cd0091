// SPDX-License-Identifier: Apache-2.0
// Gangs: planned whole, their room and tickets gathered, and started in one pass.
#include "scheduler/crashes.h"
#include "scheduler/pass.h"

#include <algorithm>

namespace valveshelf::sched {
namespace {
// A step that could not be planned in time waits so long before the next try.
constexpr Milliseconds PlanAgain{100};

// Tasks of a gang that a worker could take.
struct GangSeat {
  Worker *On = nullptr;
  int64_t Free = 0;  ///< In the room that is free,
  int64_t Seats = 0; ///< and when less urgent work is stopped.
};

std::vector<GangSeat> gangSeats(Pass &In, const Job &Of, const StepState &Step, bool Yields) {
  std::vector<GangSeat> Found;
  int64_t Most = Step.Spec->Count;
  if (Step.Spec->MaxPerWorker > 0)
    Most = std::min<int64_t>(Most, Step.Spec->MaxPerWorker);
  const Resources Need = needOf(Step);
  std::set<const Worker *> Avoided;
  for (const TaskState &Task : Step.Tasks)
    if (Task.FailedOn && hasJustFailedOn(In, Task, *Task.FailedOn))
      Avoided.insert(Task.FailedOn);
  eachAdvised(In, Of, Step, [&](Worker &On) {
    if (!isUsable(In, On, Of, Step) || Avoided.count(&On) || !canPlan(In, Of, Step, On))
      return;
    const Resources Room = roomFor(In, On, Of, Step);
    GangSeat Seat{&On, timesFits(Need, Room, Most), 0};
    Seat.Seats = Seat.Free;
    if (Yields)
      Seat.Seats = timesFits(Need, Room + yieldable(In, On, Of.Spec->Priority), Most);
    if (Seat.Seats > 0)
      Found.push_back(Seat);
  });
  return Found;
}

int64_t sumSeats(const std::vector<GangSeat> &Seats) {
  int64_t Sum = 0;
  for (const GangSeat &Seat : Seats)
    Sum += Seat.Seats;
  return Sum;
}

// Seats within one rack if the gang wants that and one rack is enough.
std::vector<GangSeat> inOneRack(const StepState &Step, const std::vector<GangSeat> &Seats) {
  std::map<std::string, std::vector<GangSeat>> Racks;
  for (const GangSeat &Seat : Seats)
    Racks[Seat.On->Info.Rack].push_back(Seat);
  if (const auto Near = Racks.find(Step.Spec->PreferredRack);
      Near != Racks.end() && sumSeats(Near->second) >= Step.Spec->Count)
    return Near->second;
  if (Step.Spec->SameRack)
    for (auto &[Rack, Inside] : Racks)
      if (sumSeats(Inside) >= Step.Spec->Count)
        return Inside;
  return Seats;
}

void planGang(Pass &In, const Job &Of, StepState &Step, std::vector<GangSeat> Seats, bool Yields) {
  // Free seats first, then those that cost least: few workers with many seats each.
  std::sort(Seats.begin(), Seats.end(), [](const GangSeat &A, const GangSeat &B) {
    return std::pair(A.Free, A.Seats) > std::pair(B.Free, B.Seats);
  });
  uint32_t Run = std::max(In.Cell.FirstRun, Step.GangRun + 1);
  for (uint32_t I = 0; I < Step.Tasks.size(); ++I)
    Run = std::max(Run, nextRun(In.Cell, Step, I));
  Step.GangRun = Run;
  Step.PlannedAt = In.Now;
  uint32_t Next = 0;
  std::vector<Worker *> Used;
  for (const GangSeat &Seat : Seats) {
    for (int64_t I = 0; I < Seat.Seats && Next < Step.Tasks.size(); ++I)
      book(In.Cell, Step, Next++, *Seat.On, Run, AttemptPhase::Planned, Of, In.Now);
    Used.push_back(Seat.On);
    if (Next == Step.Tasks.size())
      break;
  }
  if (Yields)
    for (Worker *On : Used)
      makeRoom(In, *On, Of.Spec->Priority);
}

void dropPlan(Pass &In, StepState &Step) {
  for (uint32_t I = 0; I < Step.Tasks.size(); ++I)
    if (Worker *On = Step.Tasks[I].At)
      dropPlanned(In.Cell, *On, {{Step.Key, I}, Step.Tasks[I].Run}, In.Out);
  for (TaskState &Task : Step.Tasks)
    Task.NotBefore = In.Now + PlanAgain;
}

// True if each member may be started now, which is noted of all.
bool mayLaunchAll(Pass &In, const StepState &Step) {
  bool All = true;
  for (uint32_t I = 0; I < Step.Tasks.size(); ++I)
    All = mayLaunch(In.Cell, {Step.Key, I}, *Step.Tasks[I].At, In.Out) && All;
  return All;
}

// Starts a planned gang once each member has its room and its ticket.
bool launchGang(Pass &In, const Job &Of, StepState &Step) {
  std::set<Worker *> Used;
  for (const TaskState &Task : Step.Tasks)
    Used.insert(Task.At);
  // Tickets that would run out while others are asked for are asked for with them; otherwise those
  // of a gang on many workers are never all valid together.
  const Milliseconds AskTime = askTime(In, Of, Step, Used.size());
  std::vector<std::string> NoTicket;
  bool HasTickets = true;
  bool HasRoom = true;
  for (Worker *On : Used) {
    if (!isUsable(In, *On, Of, Step)) {
      dropPlan(In, Step);
      return false;
    }
    HasTickets = HasTickets && hasTicket(In, Of, Step, *On);
    if (!hasTicket(In, Of, Step, *On, AskTime))
      NoTicket.push_back(On->Info.Id);
    Resources Needed;
    for (uint32_t I = 0; I < heldOf(Step, *On); ++I)
      Needed += needOf(Step);
    HasRoom = HasRoom && fits(Needed, On->Info.Capacity - On->Booked);
  }
  const bool Ready = HasRoom && HasTickets && mayLaunchAll(In, Step);
  if (!Ready) {
    Step.Waits = !HasRoom      ? "room is being made"
                 : !HasTickets ? "tickets are asked for"
                               : WaitsForCrashSave;
    askAdvice(In, Of, Step, std::move(NoTicket));
    if (In.Now - Step.PlannedAt > In.Cell.Limits.PlanTime)
      dropPlan(In, Step);
    return false;
  }
  for (uint32_t I = 0; I < Step.Tasks.size(); ++I) {
    Worker &On = *Step.Tasks[I].At;
    orderStart(In, Of, Step, I, On, On.Attempts.at({{Step.Key, I}, Step.GangRun}));
  }
  Step.Waits.clear();
  return true;
}

bool isPlanned(const StepState &Step) {
  const TaskState &First = Step.Tasks.front();
  if (!First.At || Step.Booked < Step.Tasks.size())
    return false;
  const auto Found = First.At->Attempts.find({{Step.Key, 0}, First.Run});
  return Found != First.At->Attempts.end() && Found->second.Phase == AttemptPhase::Planned;
}

// Members whose room is only held go when others of the plan have lost theirs with their worker.
void dropPartialPlan(Pass &In, StepState &Step) {
  for (uint32_t I = 0; I < Step.Tasks.size(); ++I) {
    Worker *On = Step.Tasks[I].At;
    const RunKey Run{{Step.Key, I}, Step.Tasks[I].Run};
    if (On && On->Attempts.at(Run).Phase == AttemptPhase::Planned)
      dropPlanned(In.Cell, *On, Run, In.Out);
  }
}
} // namespace

bool placeGang(Pass &In, const Job &Of, StepState &Step) {
  if (isPlanned(Step))
    return launchGang(In, Of, Step);
  if (Step.Booked > 0)
    dropPartialPlan(In, Step);
  uint32_t Placeable = 0;
  for (uint32_t I = 0; I < Step.Tasks.size(); ++I)
    Placeable += isPlaceable(In, Of, Step, I) ? 1 : 0;
  if (Step.Booked > 0 || Placeable < Step.Tasks.size())
    return false;
  if (!isWithinQuota(In.Cell, Of.Owner, leastCharge(*Step.Spec))) {
    Step.Waits = WaitsForQuota;
    return false;
  }
  bool Yields = false;
  std::vector<GangSeat> Seats = gangSeats(In, Of, Step, false);
  if (sumSeats(Seats) < Step.Spec->Count && !Step.Queued->Late && gainsByStopping(In, Of, Step)) {
    Yields = true;
    Seats = gangSeats(In, Of, Step, true);
  }
  if (sumSeats(Seats) < Step.Spec->Count) {
    Step.Waits = "the advised workers have no room for the whole gang";
    lookFurther(In, Of, Step);
    return false;
  }
  planGang(In, Of, Step, inOneRack(Step, Seats), Yields);
  launchGang(In, Of, Step);
  return true;
}

} // namespace valveshelf::sched
