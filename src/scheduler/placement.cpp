// SPDX-License-Identifier: Apache-2.0
// Where waiting tasks go: free room first, then room made by stopping work that can wait and saves
// its progress; gangs whole or not at all; advice asked when it is needed.
#include "valveshelf/cell_state.h"

#include <algorithm>

namespace valveshelf::sched {
namespace {
// After so many steps of one priority in a row that found no place, the pass leaves the rest of
// that priority for the next one; keeps a pass short when much waits.
constexpr int MaxMissesInARow = 40;
// Most workers named in one question for advice. (The platform's limit.)
constexpr size_t MaxNamed = 100;
// Workers named for a step of single tasks. Seven of ten are good for quick checks, and not all of
// those that had room have it still when the answer comes.
constexpr size_t NamedAtLeast = 8;
constexpr size_t NamedPerTask = 6;
// Room kept for an urgent task, over the mean size; three of four then fit. (Sizes spread by 0.45.)
constexpr double UrgentSpread = 1.3;
// Weight of the newest urgent task in their usual size.
constexpr int64_t UrgentMemory = 64;
// Tickets of waiting steps are renewed where asking takes longer than this; a shorter wait for them
// costs less than the question.
constexpr Milliseconds LeastRenewal{100};
// They are asked for so long before they are needed, beyond the time of the question.
constexpr Milliseconds RenewalSlack{200};
// Part of the lanes that renewals may take: a third, so that first questions find one free.
constexpr uint32_t RenewalLanesOf = 3;
// A question that got no answer is asked again after this time.
constexpr Milliseconds AskAgain{50};
// A step that could not be planned in time waits so long before the next try.
constexpr Milliseconds PlanAgain{100};
// Work on workers that leave is looked for this often; they announce it two seconds before or more.
constexpr Milliseconds LeaveLookEvery{100};
// Some leave without a word: a worker that answers and is missing in the list for so long is taken
// to leave. Entries that lapsed with the store's outage are back within two seconds of its end.
constexpr Milliseconds MissingTime{2500};

// One pass of placement over the queue.
struct Pass {
  CellState &Cell;
  TimePoint Now;
  Effects &Out;
  std::set<std::string> Awaited; ///< Services with a worker of the scheduler before that was not
                                 ///< heard yet,
  std::set<std::string> Asked;   ///< and with one that has neither answered nor failed to.
};

Pass beginPass(CellState &Cell, TimePoint Now, Effects &Out) {
  Pass In{Cell, Now, Out, {}, {}};
  for (const auto &[Id, Service] : Cell.Unheard) {
    In.Awaited.insert(Service);
    const auto Found = Cell.Workers.find(Id);
    if (Found != Cell.Workers.end() && Found->second.Answers && !Found->second.Heard)
      In.Asked.insert(Service);
  }
  return In;
}

bool hasLabel(const WorkerInfo &Info, const std::string &Label) {
  return Label.empty() ||
         std::find(Info.Labels.begin(), Info.Labels.end(), Label) != Info.Labels.end();
}

bool isUsable(const Pass &In, const Worker &On, const Job &Of, const StepState &Step) {
  return On.Heard && On.Saved && On.Listed && On.Answers && !On.Full && !On.Info.Draining &&
         On.SetAsideUntil <= In.Now && On.Info.Service == Of.Spec->Service &&
         hasLabel(On.Info, Step.Spec->RequiredLabel);
}

// What is kept free on the worker for urgent tasks: room for one of the usual size.
Resources urgentReserve(const Pass &In, const Worker &On) {
  const SchedulerLimits &Limits = In.Cell.Limits;
  const Resources &Whole = On.Info.Capacity;
  const auto Part = [&](int64_t Capacity, int64_t Usual) {
    const auto Least = static_cast<int64_t>(static_cast<double>(Capacity) * Limits.UrgentShare);
    const auto Most = static_cast<int64_t>(static_cast<double>(Capacity) * Limits.MostUrgentShare);
    const auto Wanted = static_cast<int64_t>(static_cast<double>(Usual) * UrgentSpread);
    return std::clamp(Wanted, Least, Most);
  };
  return {Part(Whole.MilliCores, In.Cell.UrgentNeed.MilliCores),
          Part(Whole.MemoryMb, In.Cell.UrgentNeed.MemoryMb), 0};
}

Resources needOf(const StepState &Step) {
  Resources Need = Step.Spec->Need;
  if (Step.Spec->Fills)
    Need.MilliCores = 0;
  return Need;
}

// What the step may still take. Work that can wait leaves some room for work that can't, but for
// gangs, whose members are too large for what is left between them, and tasks that need it all.
Resources roomFor(const Pass &In, const Worker &On, const Job &Of, const StepState &Step) {
  const Resources Room = On.Info.Capacity - On.Booked - On.Planned;
  if (Of.Spec->Priority == 0 || Step.Spec->Gang)
    return Room;
  const Resources Reserve = urgentReserve(In, On);
  return fits(needOf(Step), On.Info.Capacity - Reserve) ? Room - Reserve : Room;
}

bool hasTicket(const Pass &In, const Job &Of, const StepState &Step, const Worker &On) {
  if (!Of.Spec->Advice)
    return true;
  const AdviceState::Permit *Known = permitOn(Step, On);
  return Known && Known->ValidUntil > In.Now;
}

// Calls \p Visit with each worker on which advice lets the step run.
template <class Visitor>
void eachAdvised(Pass &In, const Job &Of, const StepState &Step, Visitor Visit) {
  if (!Of.Spec->Advice) {
    for (auto &[Id, On] : In.Cell.Workers)
      Visit(On);
    return;
  }
  for (const AdviceState::Permit &Known : Step.Advice.Good)
    if (Worker *On = In.Cell.Slots[Known.Slot])
      Visit(*On);
}

uint32_t heldOf(const StepState &Step, const Worker &On) {
  return static_cast<uint32_t>(std::count_if(
      Step.Tasks.begin(), Step.Tasks.end(), [&](const TaskState &Task) { return Task.At == &On; }));
}

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

// True if the step can meet its objective though others have to be stopped first.
bool gainsByStopping(const Pass &In, const Job &Of, const StepState &Step) {
  return Step.Spec->Lasting ||
         In.Now + In.Cell.Limits.StopTime + Step.Spec->Estimate < Of.Objective;
}

Resources yieldable(const Pass &In, const Worker &On, int Priority) {
  Resources Sum;
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

void ask(Pass &In, const Job &Of, StepState &Step, std::vector<std::string> Workers) {
  if (Step.Advice.Asking || Workers.empty() || Step.Advice.NotBefore > In.Now)
    return;
  if (Workers.size() > MaxNamed)
    Workers.resize(MaxNamed);
  Step.Advice.Asking = true;
  const auto Time = Of.Spec->Advice->Decide + Of.Spec->Advice->EachWorker * Workers.size();
  In.Out.Asks.push_back({Step.Key, Of.Spec->Priority, std::move(Workers),
                         std::chrono::duration_cast<Milliseconds>(Time)});
}

// How many workers a question names: a gang needs many at a time; for others a few for each task
// are enough, and a short question is answered sooner.
size_t namedFor(const StepState &Step) {
  if (Step.Spec->Gang)
    return MaxNamed;
  return std::min<size_t>(MaxNamed, NamedAtLeast + NamedPerTask * Step.Spec->Count);
}

// Wishes for more workers, if one of those that are not ready yet could take the step.
void noteStarved(Pass &In, const Job &Of, const StepState &Step) {
  if (In.Cell.Starved)
    return;
  const Resources Need = needOf(Step);
  In.Cell.Starved =
      std::any_of(In.Cell.Workers.begin(), In.Cell.Workers.end(), [&](const auto &Entry) {
        const Worker &On = Entry.second;
        return !On.Wanted && On.Listed && !On.Info.Draining &&
               On.Info.Service == Of.Spec->Service && fits(Need, On.Info.Capacity) &&
               hasLabel(On.Info, Step.Spec->RequiredLabel);
      });
}

// Asks about workers of which nothing is known yet, those with the most room first.
void askUnknown(Pass &In, const Job &Of, StepState &Step) {
  if (!Of.Spec->Advice || Step.Advice.Asking || Step.Advice.NotBefore > In.Now)
    return;
  std::vector<std::pair<int64_t, const Worker *>> Unknown;
  for (const Worker *On : In.Cell.Slots)
    if (On && !isAnswered(Step, *On) && isUsable(In, *On, Of, Step) &&
        fits(needOf(Step), On->Info.Capacity))
      Unknown.emplace_back(-roomFor(In, *On, Of, Step).MilliCores, On);
  if (Unknown.empty())
    noteStarved(In, Of, Step);
  const size_t Count = std::min(Unknown.size(), namedFor(Step));
  const auto BySlot = [](const auto &A, const auto &B) {
    return std::pair(A.first, A.second->Slot) < std::pair(B.first, B.second->Slot);
  };
  std::partial_sort(Unknown.begin(), Unknown.begin() + static_cast<ptrdiff_t>(Count), Unknown.end(),
                    BySlot);
  std::vector<std::string> Names;
  Names.reserve(Count);
  for (size_t I = 0; I < Count; ++I)
    Names.push_back(Unknown[I].second->Info.Id);
  ask(In, Of, Step, std::move(Names));
}

// Keeps tickets valid for a step that waits for room. Otherwise the room that it gets stands empty
// until they have been asked for again: 0.5 s before each run of 3.6 s on accelerators.
void renewTickets(Pass &In, const Job &Of, StepState &Step) {
  if (!Of.Spec->Advice || Step.Advice.Asking || Step.Queued->Late ||
      In.Cell.Renewing.size() >= In.Cell.AdviceLanes / RenewalLanesOf)
    return;
  std::vector<std::pair<int64_t, const AdviceState::Permit *>> Usable;
  for (const AdviceState::Permit &Known : Step.Advice.Good)
    if (const Worker *On = In.Cell.Slots[Known.Slot]; On && isUsable(In, *On, Of, Step))
      Usable.emplace_back(-roomFor(In, *On, Of, Step).MilliCores, &Known);
  std::sort(Usable.begin(), Usable.end());
  Usable.resize(std::min(Usable.size(), namedFor(Step)));
  const std::chrono::duration<double, std::milli> Time =
      Of.Spec->Advice->Decide + Of.Spec->Advice->EachWorker * Usable.size();
  const auto Needed = std::chrono::duration_cast<Milliseconds>(Time) + RenewalSlack;
  const bool Expires = std::any_of(Usable.begin(), Usable.end(), [&](const auto &Entry) {
    return Entry.second->ValidUntil < In.Now + Needed;
  });
  if (!Expires || Time < LeastRenewal)
    return;
  std::vector<std::string> Names;
  for (const auto &[Room, Known] : Usable)
    Names.push_back(In.Cell.Slots[Known->Slot]->Info.Id);
  ask(In, Of, Step, std::move(Names));
  if (Step.Advice.Asking)
    In.Cell.Renewing.insert(Step.Key);
}

// A step found no place among the workers known to be good for it.
void lookFurther(Pass &In, const Job &Of, StepState &Step) {
  if (Of.Spec->Advice)
    askUnknown(In, Of, Step);
  else
    noteStarved(In, Of, Step);
}

const std::string &checkpointOf(const StepState &Step, uint32_t Index) {
  return Step.Tasks[Step.Spec->Gang ? 0 : Index].Checkpoint;
}

void start(Pass &In, const Job &Of, StepState &Step, uint32_t Index, Worker &On, Attempt &What) {
  const RunKey Run{{Step.Key, Index}, Step.Tasks[Index].Run};
  setPhase(In.Cell, On, Run, AttemptPhase::Starting, In.Now);
  What.Sends = 1;
  const AdviceState::Permit *Known = permitOn(Step, On);
  In.Out.Starts.push_back(
      {On.Info.Id, Run, Of.Spec, checkpointOf(Step, Index), Known ? Known->Ticket : std::string()});
}

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

uint32_t nextRun(const CellState &Cell, const StepState &Step, uint32_t Index) {
  return std::max(Cell.FirstRun, Step.Tasks[Index].Run + 1);
}

bool isPlaceable(const Pass &In, const Job &Of, const TaskState &Task) {
  const std::string &Service = Of.Spec->Service;
  const bool MayRun = (Task.MayRunElsewhere && In.Awaited.count(Service) > 0) ||
                      (Task.MayRunMeanwhile && In.Asked.count(Service) > 0);
  return !Task.Done && !Task.At && !MayRun && Task.NotBefore <= In.Now;
}

// Just after a takeover most steps turn out to be running. To ask for advice on all of them before
// the workers have answered would hold up those that need it (a gang's question: 1.6 s for 0.6 s).
bool mayAsk(const Pass &In, const Job &Of, const StepState &Step) {
  return In.Asked.count(Of.Spec->Service) == 0 ||
         std::any_of(Step.Tasks.begin(), Step.Tasks.end(),
                     [](const TaskState &Task) { return !Task.At && !Task.MayRunElsewhere; });
}

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
  const bool Far = !Step.Spec->NearRack.empty() && On.Info.Rack != Step.Spec->NearRack;
  Value.Penalty += Far ? 2 : 0;
  Value.Penalty += Task.FailedOn == &On ? 1 : 0;
  // Urgent work is spread; work that can wait is packed, which leaves large gaps for gangs.
  const int64_t Left = roomFor(In, On, Of, Step).MilliCores;
  Value.Left = Of.Spec->Priority == 0 ? -Left : Left;
  return Value;
}

bool holdsLimit(const StepState &Step, const Worker &On) {
  return Step.Spec->MostPerWorker > 0 && heldOf(Step, On) >= Step.Spec->MostPerWorker;
}

Worker *findRoom(Pass &In, const Job &Of, StepState &Step, const TaskState &Task) {
  Worker *Best = nullptr;
  Score BestScore;
  const Resources Need = needOf(Step);
  eachAdvised(In, Of, Step, [&](Worker &On) {
    if (!fits(Need, roomFor(In, On, Of, Step)) || !isUsable(In, On, Of, Step) ||
        holdsLimit(Step, On))
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
Worker *findYielding(Pass &In, const Job &Of, StepState &Step) {
  Worker *Best = nullptr;
  int64_t BestRoom = 0;
  const Resources Need = needOf(Step);
  const int Priority = Of.Spec->Priority;
  eachAdvised(In, Of, Step, [&](Worker &On) {
    if (!isUsable(In, On, Of, Step) || holdsLimit(Step, On))
      return;
    const Resources Room = roomFor(In, On, Of, Step) + yieldable(In, On, Priority);
    if (fits(Need, Room) && (!Best || Room.MilliCores > BestRoom)) {
      Best = &On;
      BestRoom = Room.MilliCores;
    }
  });
  return Best;
}

// Starts what is planned and has its room and its ticket.
void launchSingles(Pass &In, const Job &Of, StepState &Step) {
  if (Step.Planned == 0)
    return;
  std::vector<std::string> NoTicket;
  for (uint32_t I = 0; I < Step.Tasks.size(); ++I) {
    Worker *On = Step.Tasks[I].At;
    if (!On)
      continue;
    const RunKey Run{{Step.Key, I}, Step.Tasks[I].Run};
    Attempt &What = On->Attempts.at(Run);
    if (What.Phase != AttemptPhase::Planned)
      continue;
    if (!isUsable(In, *On, Of, Step) || In.Now - What.Since > In.Cell.Limits.PlanTime)
      unbook(In.Cell, *On, Run);
    else if (!hasTicket(In, Of, Step, *On))
      NoTicket.push_back(On->Info.Id);
    else if (fits(What.Need, On->Info.Capacity - On->Booked))
      start(In, Of, Step, I, *On, What);
  }
  std::sort(NoTicket.begin(), NoTicket.end());
  NoTicket.erase(std::unique(NoTicket.begin(), NoTicket.end()), NoTicket.end());
  ask(In, Of, Step, std::move(NoTicket));
}

void noteUrgentNeed(CellState &Cell, const Resources &Need) {
  Resources &Usual = Cell.UrgentNeed;
  Usual.MilliCores += (Need.MilliCores - Usual.MilliCores) / UrgentMemory;
  Usual.MemoryMb += (Need.MemoryMb - Usual.MemoryMb) / UrgentMemory;
}

bool placeSingles(Pass &In, const Job &Of, StepState &Step) {
  bool Missed = false;
  for (uint32_t I = 0; I < Step.Tasks.size() && !Missed; ++I) {
    TaskState &Task = Step.Tasks[I];
    if (!isPlaceable(In, Of, Task))
      continue;
    Worker *On = findRoom(In, Of, Step, Task);
    const bool Yields = !On && !Step.Queued->Late && gainsByStopping(In, Of, Step);
    if (Yields)
      On = findYielding(In, Of, Step);
    if (!On) {
      Missed = true;
      continue;
    }
    book(Step, I, *On, nextRun(In.Cell, Step, I), AttemptPhase::Planned, Of, In.Now);
    if (Of.Spec->Priority == 0)
      noteUrgentNeed(In.Cell, needOf(Step));
    if (Yields)
      makeRoom(In, *On, Of.Spec->Priority);
  }
  launchSingles(In, Of, Step);
  if (Missed)
    lookFurther(In, Of, Step);
  Step.Waits = Missed ? "no advised worker has room" : "";
  return !Missed;
}

// Tasks of a gang that a worker could take.
struct GangSeat {
  Worker *On = nullptr;
  int64_t Free = 0;  ///< In the room that is free,
  int64_t Seats = 0; ///< and when less urgent work is stopped.
};

std::vector<GangSeat> gangSeats(Pass &In, const Job &Of, const StepState &Step, bool Yields) {
  std::vector<GangSeat> Found;
  int64_t Most = Step.Spec->Count;
  if (Step.Spec->MostPerWorker > 0)
    Most = std::min<int64_t>(Most, Step.Spec->MostPerWorker);
  const Resources Need = needOf(Step);
  eachAdvised(In, Of, Step, [&](Worker &On) {
    if (!isUsable(In, On, Of, Step))
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
  if (const auto Near = Racks.find(Step.Spec->NearRack);
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
      book(Step, Next++, *Seat.On, Run, AttemptPhase::Planned, Of, In.Now);
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
      unbook(In.Cell, *On, {{Step.Key, I}, Step.Tasks[I].Run});
  for (TaskState &Task : Step.Tasks)
    Task.NotBefore = In.Now + PlanAgain;
}

// Starts a planned gang once each member has its room and its ticket.
bool launchGang(Pass &In, const Job &Of, StepState &Step) {
  std::set<Worker *> Used;
  for (const TaskState &Task : Step.Tasks)
    Used.insert(Task.At);
  std::vector<std::string> NoTicket;
  bool HasRoom = true;
  for (Worker *On : Used) {
    if (!isUsable(In, *On, Of, Step)) {
      dropPlan(In, Step);
      return false;
    }
    if (!hasTicket(In, Of, Step, *On))
      NoTicket.push_back(On->Info.Id);
    Resources Needed;
    for (uint32_t I = 0; I < heldOf(Step, *On); ++I)
      Needed += needOf(Step);
    HasRoom = HasRoom && fits(Needed, On->Info.Capacity - On->Booked);
  }
  const bool Ready = HasRoom && NoTicket.empty();
  if (!Ready) {
    Step.Waits = HasRoom ? "tickets are asked for" : "room is being made";
    ask(In, Of, Step, std::move(NoTicket));
    if (In.Now - Step.PlannedAt > In.Cell.Limits.PlanTime)
      dropPlan(In, Step);
    return false;
  }
  for (uint32_t I = 0; I < Step.Tasks.size(); ++I) {
    Worker &On = *Step.Tasks[I].At;
    start(In, Of, Step, I, On, On.Attempts.at({{Step.Key, I}, Step.GangRun}));
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
      unbook(In.Cell, *On, Run);
  }
}

bool placeGang(Pass &In, const Job &Of, StepState &Step) {
  if (isPlanned(Step))
    return launchGang(In, Of, Step);
  if (Step.Booked > 0)
    dropPartialPlan(In, Step);
  if (Step.Booked > 0 || !std::all_of(Step.Tasks.begin(), Step.Tasks.end(),
                                      [&](const TaskState &T) { return isPlaceable(In, Of, T); }))
    return false;
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

uint32_t notAtWork(const StepState &Step) {
  return static_cast<uint32_t>(
      std::count_if(Step.Tasks.begin(), Step.Tasks.end(), [&](const TaskState &Task) {
        if (!Task.At)
          return true;
        const auto Found = Task.At->Attempts.find(
            {{Step.Key, static_cast<uint32_t>(&Task - Step.Tasks.data())}, Task.Run});
        return Found == Task.At->Attempts.end() || Found->second.Phase != AttemptPhase::Running;
      }));
}

// True if the run would be lost with its worker and can go on elsewhere.
bool shouldMove(const Pass &In, const StepState &Step, const Worker &On, const Attempt &What) {
  const StepSpec &Spec = *Step.Spec;
  if (What.Phase != AttemptPhase::Running || Spec.Gang)
    return false;
  if (Spec.Lasting)
    return Spec.MayMiss == 0 || notAtWork(Step) < Spec.MayMiss;
  const Milliseconds Left = What.Estimate * (100 - What.Percent) / 100;
  return Spec.Checkpoints && In.Now + Left > On.LeavesAt;
}

// A place for a run that is to be moved, ready to be taken. Advice and tickets that are missing are
// asked for.
bool hasPlaceElsewhere(Pass &In, const Job &Of, StepState &Step, const TaskState &Task) {
  const Worker *To = findRoom(In, Of, Step, Task);
  if (!To)
    askUnknown(In, Of, Step); // after a takeover nothing is known of steps that run
  else if (hasTicket(In, Of, Step, *To))
    return true;
  else
    ask(In, Of, Step, {To->Info.Id});
  return false;
}

bool isLeaving(const Pass &In, const Worker &On) {
  const bool Missing = !On.Listed && In.Now - On.UnlistedAt > MissingTime;
  return On.Heard && On.Answers && (On.Info.Draining || Missing);
}

void moveIfNeeded(Pass &In, Worker &On, const RunKey &Run) {
  StepState *Step = findStep(In.Cell, Run.Task.Step);
  if (!Step || Run.Task.Index >= Step->Tasks.size() ||
      !shouldMove(In, *Step, On, On.Attempts.at(Run)))
    return;
  const Job &Of = In.Cell.Jobs.at(Step->Key.Job);
  if (Of.Phase == JobPhase::Live && hasPlaceElsewhere(In, Of, *Step, Step->Tasks[Run.Task.Index]))
    stopAttempt(In.Cell, On, Run, "its worker leaves", In.Now, In.Out);
}

// Work that a leaving worker would take with it is stopped as soon as there is a place for it.
// Otherwise a lasting task is away until the worker's lease is over (5 s), and a takeover meanwhile
// holds all old work of the service back for as long.
void moveFromLeaving(Pass &In) {
  if (In.Now < In.Cell.NextLeaveLook)
    return;
  In.Cell.NextLeaveLook = In.Now + LeaveLookEvery;
  for (auto &[Id, On] : In.Cell.Workers) {
    if (!isLeaving(In, On))
      continue;
    std::vector<RunKey> Runs;
    for (const auto &[Run, What] : On.Attempts)
      Runs.push_back(Run);
    for (const RunKey &Run : Runs)
      moveIfNeeded(In, On, Run);
  }
}

// True if the step has a task that still has to be placed or launched.
bool hasWork(const StepState &Step) {
  return Step.Planned > 0 || std::any_of(Step.Tasks.begin(), Step.Tasks.end(),
                                         [](const TaskState &T) { return !T.Done && !T.At; });
}

bool isBefore(const AdviceState::Permit &Known, uint32_t Slot) { return Known.Slot < Slot; }

// Keeps the newest permit of each worker.
void permit(AdviceState &Known, AdviceState::Permit New) {
  const auto At = std::lower_bound(Known.Good.begin(), Known.Good.end(), New.Slot, isBefore);
  if (At != Known.Good.end() && At->Slot == New.Slot)
    *At = std::move(New);
  else
    Known.Good.insert(At, std::move(New));
}
} // namespace

const AdviceState::Permit *permitOn(const StepState &Step, const Worker &On) {
  const auto &Good = Step.Advice.Good;
  const auto At = std::lower_bound(Good.begin(), Good.end(), On.Slot, isBefore);
  return At != Good.end() && At->Slot == On.Slot ? &*At : nullptr;
}

AdviceState::Permit *permitOn(StepState &Step, const Worker &On) {
  return const_cast<AdviceState::Permit *>(permitOn(std::as_const(Step), On));
}

bool isAnswered(const StepState &Step, const Worker &On) {
  return On.Slot < Step.Advice.Answered.size() && Step.Advice.Answered[On.Slot];
}

void adviceAnswered(CellState &Cell, const StepKey &Key, const std::vector<std::string> &Named,
                    const std::vector<std::pair<std::string, std::string>> &Good,
                    Milliseconds Valid, TimePoint Now) {
  Cell.Renewing.erase(Key);
  StepState *Step = findStep(Cell, Key);
  if (!Step)
    return;
  AdviceState &Known = Step->Advice;
  Known.Asking = false;
  Known.Answered.resize(Cell.Slots.size());
  for (const std::string &Id : Named)
    if (const auto On = Cell.Workers.find(Id); On != Cell.Workers.end())
      Known.Answered[On->second.Slot] = true;
  for (const auto &[Id, Ticket] : Good)
    if (const auto On = Cell.Workers.find(Id); On != Cell.Workers.end())
      permit(Known, {On->second.Slot, Ticket, Now + Valid - Cell.Limits.TicketMargin});
  queueStep(Cell, Cell.Jobs.at(Key.Job), *Step, Now);
}

void adviceFailed(CellState &Cell, const StepKey &Key, TimePoint Now) {
  Cell.Renewing.erase(Key);
  StepState *Step = findStep(Cell, Key);
  if (!Step)
    return;
  Step->Advice.Asking = false;
  Step->Advice.NotBefore = Now + AskAgain;
}

void place(CellState &Cell, TimePoint Now, Effects &Out) {
  if (!Cell.Loaded)
    return;
  Pass In = beginPass(Cell, Now, Out);
  int Misses = 0;
  std::pair<bool, int> Group{false, 0};
  bool Skipping = false;
  const std::vector<QueuePlace> Order(Cell.Queue.begin(), Cell.Queue.end());
  for (const QueuePlace &Entry : Order) {
    if (std::pair(Entry.Late, Entry.Priority) != Group) {
      Group = {Entry.Late, Entry.Priority};
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
    if (Of.Spec->Advice && Step->Advice.Answered.empty()) {
      if (mayAsk(In, Of, *Step))
        askUnknown(In, Of, *Step);
      continue;
    }
    const size_t Before = Out.Starts.size();
    const bool Placed = Step->Spec->Gang ? placeGang(In, Of, *Step) : placeSingles(In, Of, *Step);
    notePlaced(In, Of, *Step, Before);
    if (!Placed && Step->Queued)
      renewTickets(In, Of, *Step);
    Misses = Placed ? 0 : Misses + 1;
    Skipping = Misses >= MaxMissesInARow;
  }
  moveFromLeaving(In);
}

} // namespace valveshelf::sched
