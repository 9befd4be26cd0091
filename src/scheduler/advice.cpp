// SPDX-License-Identifier: Apache-2.0
// Advice: which workers to ask about, when, and what the answers mean.
#include "scheduler/pass.h"

#include <algorithm>
#include <cmath>

namespace valveshelf::sched {
namespace {
// Most workers named in one question for advice. (The platform's limit.)
constexpr size_t MaxNamed = 100;
// Workers named for a step of single tasks. Seven of ten are good for quick checks, and not all of
// those that had room have it still when the answer comes.
constexpr size_t NamedAtLeast = 8;
constexpr size_t NamedPerTask = 6;
// Tickets of waiting steps are renewed where asking takes longer than this; a shorter wait for them
// costs less than the question.
constexpr Milliseconds LeastRenewal{100};
// They are asked for so long before they are needed, beyond the time of the question.
constexpr Milliseconds RenewalSlack{200};
// Part of the lanes that renewals may take: a third, so that first questions find one free.
constexpr uint32_t RenewalLanesOf = 3;
// A question that got no answer is asked again after this time.
constexpr Milliseconds AskAgain{50};
// A gang asks about as many workers as should have seats for so many times its members. One worker
// in four that is good is a draw: with 150 members the sum is off by a tenth.
constexpr double SeatMargin = 1.3;
// Part of the workers that are taken to be good before any answer is known, and the weight of a
// whole question of a hundred in the average.
constexpr double FirstGoodShare = 0.3;
constexpr double QuestionWeight = 0.2;
constexpr double LeastGoodShare = 0.02;
// Workers are named beyond those needed as long as they make a question longer by no more than
// this.
constexpr double CheapPart = 0.25;
// Part of the lanes that one step's questions may take at a time; two such gangs leave half.
constexpr uint32_t StepLanesOf = 4;
// Questions that may be out, as parts of the lanes: of steps that can wait, and of those that are
// late. The rest stays with the steps, where the order of the queue holds and where it is decided
// when it is asked which workers have room. Two thirds of the lanes take long questions.
constexpr double WaitingShare = 1.2;
constexpr double LateShare = 1.0;
// While half of the lanes are free a gang's questions name half as many, so that it has its answers
// sooner.
constexpr size_t NamedWhenCalm = 50;

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
        return !On.Wanted && takesWork(On) && On.Info.Service == Of.Spec->Service &&
               fits(Need, On.Info.Capacity) && hasLabel(On.Info, Step.Spec->RequiredLabel);
      });
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

bool hasTicket(const Pass &In, const Job &Of, const StepState &Step, const Worker &On,
               Milliseconds Time) {
  if (!Of.Spec->Advice)
    return true;
  const AdviceState::Permit *Known = permitOn(Step, On);
  return Known && Known->ValidUntil > In.Now + Time;
}

namespace {
// True while half of the lanes are free. Several questions at a time for a gang cost more lanes'
// time than one after the other; when all are in use, that time is what everybody waits for.
bool hasFreeLanes(const CellState &Cell) { return Cell.QuestionsOut * 2 < Cell.AdviceLanes; }

// Most workers that one question of the step names.
size_t mostNamed(const CellState &Cell, const StepState &Step) {
  return Step.Spec->Gang && hasFreeLanes(Cell) ? NamedWhenCalm : MaxNamed;
}

// Most questions of one step at a time.
size_t mostQuestions(const CellState &Cell) {
  return hasFreeLanes(Cell) ? std::max<uint32_t>(1, Cell.AdviceLanes / StepLanesOf) : 1;
}

// Workers named in each of the questions about so many.
size_t namedInEach(const CellState &Cell, const StepState &Step, size_t Workers) {
  const size_t Most = mostNamed(Cell, Step);
  const size_t Wanted = (Workers + Most - 1) / Most;
  const size_t Questions = std::clamp<size_t>(Wanted, 1, mostQuestions(Cell));
  return std::min(MaxNamed, (Workers + Questions - 1) / Questions);
}

// Late, or beyond its organisation's share.
bool isQueuedLate(const StepState &Step) {
  return Step.Queued && (Step.Queued->Late || Step.Queued->Excess);
}

// Urgent steps always may. Otherwise a backlog of late work on a full fleet has all lanes stand in
// line for questions whose answers are of no use any more, and new work waits behind them for
// longer than a ticket holds.
bool maySpendLane(const CellState &Cell, const Job &Of, const StepState &Step) {
  const double Share = isQueuedLate(Step) ? LateShare : WaitingShare;
  const auto Most = static_cast<uint32_t>(std::ceil(Share * Cell.AdviceLanes));
  return Of.Spec->Priority == 0 || Cell.AdviceLanes == 0 || Cell.QuestionsOut < Most;
}

} // namespace

bool canAsk(const Pass &In, const Job &Of, const StepState &Step) {
  return Step.Advice.Asking == 0 && Step.Advice.NotBefore <= In.Now &&
         maySpendLane(In.Cell, Of, Step);
}

// Room that is planned without a ticket is held until one has come. Where no question could be
// asked it stood empty for the whole time of a plan.
bool canPlan(const Pass &In, const Job &Of, const StepState &Step, const Worker &On) {
  return hasTicket(In, Of, Step, On) || canAsk(In, Of, Step);
}

namespace {
Milliseconds questionTime(const AdvicePolicy &Policy, size_t Workers) {
  return std::chrono::duration_cast<Milliseconds>(Policy.BaseLatency +
                                                  Policy.LatencyPerWorker * Workers);
}
} // namespace

// With what it takes until the answers are used.
Milliseconds askTime(const Pass &In, const Job &Of, const StepState &Step, size_t Workers) {
  if (!Of.Spec->Advice)
    return Milliseconds(0);
  return questionTime(*Of.Spec->Advice, namedInEach(In.Cell, Step, Workers)) + RenewalSlack;
}

// What does not fit one question goes into several at the same time. A large gang needs hundreds of
// workers asked about; with one question after the other the tickets of the first answers run out
// before the last has come.
void askAdvice(Pass &In, const Job &Of, StepState &Step, std::vector<std::string> Workers) {
  if (Workers.empty() || !canAsk(In, Of, Step))
    return;
  const size_t Each = namedInEach(In.Cell, Step, Workers.size());
  const size_t Most = mostQuestions(In.Cell) * Each;
  for (size_t I = 0; I < std::min(Most, Workers.size()); I += Each) {
    const auto First = Workers.begin() + static_cast<ptrdiff_t>(I);
    const size_t Count = std::min(Each, Workers.size() - I);
    In.Out.Asks.push_back({Step.Key,
                           isQueuedLate(Step),
                           Of.Spec->Priority,
                           {First, First + static_cast<ptrdiff_t>(Count)},
                           questionTime(*Of.Spec->Advice, Count)});
    ++Step.Advice.Asking;
    ++In.Cell.QuestionsOut;
  }
}

namespace {
/// A worker that may be asked about.
struct Candidate {
  int64_t Seats = 0; ///< Tasks of the step for which it has room that nobody else has asked for.
  int64_t Room = 0;  ///< Its free room.
  Worker *On = nullptr;
};

int64_t mostSeats(const StepState &Step) {
  const int64_t Count = Step.Spec->Count;
  return Step.Spec->MaxPerWorker > 0 ? std::min<int64_t>(Count, Step.Spec->MaxPerWorker) : Count;
}

// In the room that is free.
int64_t freeSeatsOn(const Pass &In, const Job &Of, const StepState &Step, const Worker &On) {
  return timesFits(needOf(Step), roomFor(In, On, Of, Step) - On.Claimed, mostSeats(Step));
}

// With what a gang may have stopped for it.
int64_t seatsOn(const Pass &In, const Job &Of, const StepState &Step, const Worker &On) {
  if (!Step.Spec->Gang || isQueuedLate(Step) || !gainsByStopping(In, Of, Step))
    return freeSeatsOn(In, Of, Step, On);
  const Resources Room = roomFor(In, On, Of, Step) - On.Claimed;
  return timesFits(needOf(Step), Room + yieldable(In, On, Of.Spec->Priority), mostSeats(Step));
}

double goodShare(const CellState &Cell, const Job &Of) {
  const auto Known = Cell.GoodShares.find(Of.Spec->Queue);
  return Known == Cell.GoodShares.end() ? FirstGoodShare : Known->second;
}

// Seats that the step still lacks beside those on workers that are known to be good for it.
double missingSeats(const Pass &In, const Job &Of, const StepState &Step) {
  double Missing = 0;
  for (uint32_t I = 0; I < Step.Tasks.size(); ++I)
    Missing += isPlaceable(In, Of, Step, I) ? SeatMargin : 0;
  if (!Step.Spec->Gang)
    return std::max(Missing, SeatMargin); // one that is to move has none
  for (const AdviceState::Permit &Good : Step.Advice.Good)
    if (const Worker *On = In.Cell.Slots[Good.Slot]; On && isUsable(In, *On, Of, Step))
      Missing -= static_cast<double>(seatsOn(In, Of, Step, *On));
  return Missing;
}

// Workers that cost a question little beside the time that it takes anyway.
size_t cheapToName(const AdvicePolicy &Policy) {
  if (Policy.LatencyPerWorker.count() <= 0)
    return MaxNamed;
  const double Cheap = Policy.BaseLatency.count() * CheapPart / Policy.LatencyPerWorker.count();
  return std::clamp<size_t>(static_cast<size_t>(Cheap), NamedAtLeast, MaxNamed);
}

// How many of the candidates to ask about: so many that the good ones among them should have seats
// for what the step lacks; none if hardly any has room, unless lanes stand idle.
size_t askedAbout(const Pass &In, const Job &Of, const StepState &Step,
                  std::vector<Candidate> &Sorted) {
  const size_t Most = std::min(Sorted.size(), MaxNamed * mostQuestions(In.Cell));
  if (Of.Spec->Priority == 0)
    return std::min(Most, namedFor(Step));
  const double Share = goodShare(In.Cell, Of);
  double Missing = missingSeats(In, Of, Step);
  size_t Count = 0;
  double Found = 0;
  for (; Count < Most && Found < Missing; ++Count) {
    Candidate &Next = Sorted[Count];
    Next.Seats = seatsOn(In, Of, Step, *Next.On);
    if (Next.Seats == 0)
      break;
    Found += static_cast<double>(Next.Seats) * Share;
  }
  // A gang that waits for room learns meanwhile on which workers it may use it.
  if (Step.Spec->Gang && Found < Missing)
    return Most;
  if (Count == 0 && !hasFreeLanes(In.Cell))
    return 0;
  return std::clamp(Count, std::min(cheapToName(*Of.Spec->Advice), Most), Most);
}

// What the question is likely to take of the workers' room is left to it by questions after it.
void claim(Pass &In, const Job &Of, const StepState &Step, const std::vector<Candidate> &Named) {
  const double Share = goodShare(In.Cell, Of);
  auto &Claims = In.Cell.Claims[Step.Key];
  for (const Candidate &One : Named) {
    const auto Part = [&](int64_t Need) {
      return static_cast<int64_t>(static_cast<double>(Need * One.Seats) * Share);
    };
    const Resources Need = needOf(Step);
    const Resources Taken{Part(Need.MilliCores), Part(Need.MemoryMb), Part(Need.Accelerators)};
    One.On->Claimed += Taken;
    Claims.emplace_back(One.On->Slot, Taken);
  }
}

void releaseClaims(CellState &Cell, const StepKey &Key) {
  const auto Found = Cell.Claims.find(Key);
  if (Found == Cell.Claims.end())
    return;
  for (const auto &[Slot, Taken] : Found->second)
    if (Worker *On = Cell.Slots[Slot])
      On->Claimed -= Taken;
  Cell.Claims.erase(Found);
}

// A gang needs all its tickets at the same time: those of workers that are known to be good are
// renewed together with questions about others.
void addExpiring(const Pass &In, const Job &Of, const StepState &Step,
                 std::vector<std::string> &Names) {
  const Milliseconds Time = askTime(In, Of, Step, Names.size());
  for (const AdviceState::Permit &Good : Step.Advice.Good) {
    const Worker *On = In.Cell.Slots[Good.Slot];
    if (On && Good.ValidUntil < In.Now + Time && isUsable(In, *On, Of, Step) &&
        seatsOn(In, Of, Step, *On) > 0)
      Names.push_back(On->Info.Id);
  }
}
} // namespace

// Asks about workers of which nothing is known yet, those with the most room first.
void askUnknown(Pass &In, const Job &Of, StepState &Step) {
  if (!Of.Spec->Advice || !canAsk(In, Of, Step))
    return;
  // In a full cell most steps that wait come no further, which keeps a pass short.
  const bool IsSingle = !Step.Spec->Gang && Of.Spec->Priority > 0;
  if (IsSingle && !hasFreeLanes(In.Cell) && !fits(needOf(Step), mostFree(In)))
    return;
  std::vector<Candidate> Unknown;
  for (Worker *On : In.Cell.Slots)
    if (On && !isAnswered(Step, *On) && isUsable(In, *On, Of, Step) &&
        fits(needOf(Step), On->Info.Capacity))
      Unknown.push_back(
          {freeSeatsOn(In, Of, Step, *On), roomFor(In, *On, Of, Step).MilliCores, On});
  if (Unknown.empty())
    noteStarved(In, Of, Step);
  const size_t Sorted = std::min(Unknown.size(), MaxNamed * mostQuestions(In.Cell));
  std::partial_sort(Unknown.begin(), Unknown.begin() + static_cast<ptrdiff_t>(Sorted),
                    Unknown.end(), [](const Candidate &A, const Candidate &B) {
                      return std::tuple(-A.Seats, -A.Room, A.On->Slot) <
                             std::tuple(-B.Seats, -B.Room, B.On->Slot);
                    });
  Unknown.resize(askedAbout(In, Of, Step, Unknown));
  if (Unknown.empty())
    return;
  std::vector<std::string> Names;
  Names.reserve(Unknown.size());
  for (const Candidate &One : Unknown)
    Names.push_back(One.On->Info.Id);
  if (Step.Spec->Gang)
    addExpiring(In, Of, Step, Names);
  askAdvice(In, Of, Step, std::move(Names));
  claim(In, Of, Step, Unknown);
}

// Keeps tickets valid for a step that waits for room. Otherwise the room that it gets stands empty
// until they have been asked for again. Only while half of the lanes are free: in a full cell a
// renewal takes the lane of a question that starts work now.
void renewTickets(Pass &In, const Job &Of, StepState &Step) {
  if (!Of.Spec->Advice || Step.Advice.Asking > 0 || Step.Queued->Late ||
      !isWithinQuota(In.Cell, Of.Owner, leastCharge(*Step.Spec)) || !hasFreeLanes(In.Cell) ||
      In.Cell.Renewing.size() >= In.Cell.AdviceLanes / RenewalLanesOf)
    return;
  std::vector<std::pair<int64_t, const AdviceState::Permit *>> Usable;
  for (const AdviceState::Permit &Known : Step.Advice.Good)
    if (const Worker *On = In.Cell.Slots[Known.Slot]; On && isUsable(In, *On, Of, Step))
      Usable.emplace_back(-roomFor(In, *On, Of, Step).MilliCores, &Known);
  std::sort(Usable.begin(), Usable.end());
  Usable.resize(std::min(Usable.size(), namedFor(Step)));
  const std::chrono::duration<double, std::milli> Time =
      Of.Spec->Advice->BaseLatency + Of.Spec->Advice->LatencyPerWorker * Usable.size();
  const auto Needed = std::chrono::duration_cast<Milliseconds>(Time) + RenewalSlack;
  const bool Expires = std::any_of(Usable.begin(), Usable.end(), [&](const auto &Entry) {
    return Entry.second->ValidUntil < In.Now + Needed;
  });
  if (!Expires || Time < LeastRenewal)
    return;
  std::vector<std::string> Names;
  Names.reserve(Usable.size());
  for (const auto &[Room, Known] : Usable)
    Names.push_back(In.Cell.Slots[Known->Slot]->Info.Id);
  askAdvice(In, Of, Step, std::move(Names));
  if (Step.Advice.Asking > 0)
    In.Cell.Renewing.insert(Step.Key);
}

// A step found no place among the workers known to be good for it.
void lookFurther(Pass &In, const Job &Of, StepState &Step) {
  if (Of.Spec->Advice)
    askUnknown(In, Of, Step);
  else
    noteStarved(In, Of, Step);
}

// Just after a takeover most steps turn out to be running. To ask for advice on all of them before
// the workers have answered would hold up those that need it.
bool mayAsk(const Pass &In, const Job &Of, const StepState &Step) {
  return In.Asked.count(Of.Spec->Service) == 0 ||
         std::any_of(Step.Tasks.begin(), Step.Tasks.end(),
                     [](const TaskState &Task) { return !Task.At && !Task.MayRunElsewhere; });
}

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

namespace {
// A question of the step is over.
void questionOver(CellState &Cell, const StepKey &Key, StepState *Step) {
  Cell.Renewing.erase(Key);
  Cell.QuestionsOut -= Cell.QuestionsOut > 0 ? 1 : 0;
  if (Step && Step->Advice.Asking > 0)
    --Step->Advice.Asking;
  if (!Step || Step->Advice.Asking == 0)
    releaseClaims(Cell, Key);
}

// Learns from the answer how many of the workers are good, for the questions after it.
void noteGoodShare(CellState &Cell, const std::string &Queue, size_t Fresh, size_t Good) {
  if (Fresh == 0)
    return;
  const double Seen = static_cast<double>(Good) / static_cast<double>(Fresh);
  const double Weight =
      QuestionWeight * std::min(1.0, static_cast<double>(Fresh) / static_cast<double>(MaxNamed));
  const auto [Known, New] = Cell.GoodShares.try_emplace(Queue, Seen);
  Known->second = std::max(LeastGoodShare, Known->second + Weight * (Seen - Known->second));
}
} // namespace

void adviceAnswered(CellState &Cell, const StepKey &Key, const std::vector<std::string> &Named,
                    const std::vector<std::pair<std::string, std::string>> &Good,
                    Milliseconds Valid, TimePoint Now) {
  StepState *Step = findStep(Cell, Key);
  questionOver(Cell, Key, Step);
  if (!Step)
    return;
  Job &Of = Cell.Jobs.at(Key.Job);
  AdviceState &Known = Step->Advice;
  Known.Answered.resize(Cell.Slots.size());
  size_t Fresh = 0;
  size_t FreshGood = 0;
  for (const std::string &Id : Named)
    if (const auto On = Cell.Workers.find(Id); On != Cell.Workers.end()) {
      Fresh += Known.Answered[On->second.Slot] ? 0 : 1;
      Known.Answered[On->second.Slot] = true;
    }
  for (const auto &[Id, Ticket] : Good)
    if (const auto On = Cell.Workers.find(Id); On != Cell.Workers.end()) {
      FreshGood += permitOn(std::as_const(*Step), On->second) ? 0 : 1;
      permit(Known, {On->second.Slot, Ticket, Now + Valid - Cell.Limits.TicketMargin});
    }
  noteGoodShare(Cell, Of.Spec->Queue, Fresh, FreshGood);
  Known.IsFresh = true;
  queueStep(Cell, Of, *Step, Now);
}

void adviceFailed(CellState &Cell, const StepKey &Key, TimePoint Now) {
  StepState *Step = findStep(Cell, Key);
  questionOver(Cell, Key, Step);
  if (Step)
    Step->Advice.NotBefore = Now + AskAgain;
}

} // namespace valveshelf::sched
