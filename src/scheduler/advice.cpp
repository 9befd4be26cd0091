// SPDX-License-Identifier: Apache-2.0
// Advice: which workers to ask about, when, and what the answers mean.
#include "scheduler/pass.h"

#include <algorithm>
#include <cmath>

namespace valveshelf::sched {
namespace {
// Most workers named in one question for advice. (The platform's limit.)
constexpr size_t MaxWorkersPerRequest = 100;
// Workers named for a step of single tasks. Seven of ten are good for quick checks, and not all of
// those that had room have it still when the answer comes.
constexpr size_t MinWorkersPerRequest = 8;
constexpr size_t WorkersPerTask = 6;
// Tickets of waiting steps are renewed where asking takes longer than this; a shorter wait for them
// costs less than the question.
constexpr Milliseconds MinRenewalTime{100};
// They are asked for so long before they are needed, beyond the time of the question.
constexpr Milliseconds RenewalMargin{200};
// Part of the lanes that renewals may take: a third, so that first questions find one free.
constexpr uint32_t RenewalShareDivisor = 3;
// A question that got no answer is asked again after this time.
constexpr Milliseconds AdviceRetryPause{50};
// A gang asks about as many workers as should have seats for so many times its members. One worker
// in four that is good is a draw: with 150 members the sum is off by a tenth.
constexpr double TaskCapacityMargin = 1.3;
// Part of the workers that are taken to be good before any answer is known, and the weight of a
// whole question of a hundred in the average.
constexpr double InitialApprovalRate = 0.3;
constexpr double ApprovalRateWeight = 0.2;
constexpr double MinApprovalRate = 0.02;
// Workers are named beyond those needed as long as they make a question longer by no more than
// this.
constexpr double MaxExtraTimeRatio = 0.25;
// Part of the lanes that one step's questions may take at a time; two such gangs leave half.
constexpr uint32_t StepShareDivisor = 4;
// Questions that may be out, as parts of the lanes: of steps that can wait, and of those that are
// late. The rest stays with the steps, where the order of the queue holds and where it is decided
// when it is asked which workers have room. Two thirds of the lanes take long questions.
constexpr double WaitingRequestRatio = 1.2;
constexpr double LateRequestRatio = 1.0;
// While half of the lanes are free a gang's questions name half as many, so that it has its answers
// sooner.
constexpr size_t GangWorkersPerRequest = 50;

// How many workers a question names: a gang needs many at a time; for others a few for each task
// are enough, and a short question is answered sooner.
size_t workersPerRequest(const StepState &Step) {
  if (Step.Spec->Gang)
    return MaxWorkersPerRequest;
  return std::min<size_t>(MaxWorkersPerRequest,
                          MinWorkersPerRequest + WorkersPerTask * Step.Spec->Count);
}

// Wishes for more workers, if one of those that are not ready yet could take the step.
void noteWorkerShortage(PlacementPass &Pass, const Job &J, const StepState &Step) {
  if (Pass.Cell.WorkerShortage)
    return;
  const Resources Need = needOf(Step);
  Pass.Cell.WorkerShortage =
      std::any_of(Pass.Cell.Workers.begin(), Pass.Cell.Workers.end(), [&](const auto &Entry) {
        const Worker &W = Entry.second;
        return !W.IsSelected && takesWork(W) && W.Info.Service == J.Spec->Service &&
               fits(Need, W.Info.Capacity) && hasLabel(W.Info, Step.Spec->RequiredLabel);
      });
}

bool isSlotBefore(const AdviceState::Permit &Known, uint32_t Slot) { return Known.Slot < Slot; }

// Keeps the newest permit of each worker.
void addPermit(AdviceState &Known, AdviceState::Permit New) {
  const auto At =
      std::lower_bound(Known.Permits.begin(), Known.Permits.end(), New.Slot, isSlotBefore);
  if (At != Known.Permits.end() && At->Slot == New.Slot)
    *At = std::move(New);
  else
    Known.Permits.insert(At, std::move(New));
}
} // namespace

bool hasTicket(const PlacementPass &Pass, const Job &J, const StepState &Step, const Worker &W,
               Milliseconds Time) {
  if (!J.Spec->Advice)
    return true;
  const AdviceState::Permit *Permit = findPermit(Step, W);
  return Permit && Permit->ValidUntil > Pass.Now + Time;
}

namespace {
// True while half of the lanes are free. Several questions at a time for a gang cost more lanes'
// time than one after the other; when all are in use, that time is what everybody waits for.
bool hasSpareConcurrency(const CellState &Cell) {
  return Cell.OutstandingAdviceRequests * 2 < Cell.AdviceConcurrency;
}

// Most workers that one question of the step names.
size_t maxWorkersPerRequest(const CellState &Cell, const StepState &Step) {
  return Step.Spec->Gang && hasSpareConcurrency(Cell) ? GangWorkersPerRequest
                                                      : MaxWorkersPerRequest;
}

// Most questions of one step at a time.
size_t maxParallelRequests(const CellState &Cell) {
  return hasSpareConcurrency(Cell)
             ? std::max<uint32_t>(1, Cell.AdviceConcurrency / StepShareDivisor)
             : 1;
}

// Workers named in each of the questions about so many.
size_t splitRequestSize(const CellState &Cell, const StepState &Step, size_t Workers) {
  const size_t Limit = maxWorkersPerRequest(Cell, Step);
  const size_t Needed = (Workers + Limit - 1) / Limit;
  const size_t Requests = std::clamp<size_t>(Needed, 1, maxParallelRequests(Cell));
  return std::min(MaxWorkersPerRequest, (Workers + Requests - 1) / Requests);
}

// Late, or beyond its organisation's share.
bool isQueuedLast(const StepState &Step) {
  return Step.Queued && (Step.Queued->Late || Step.Queued->IsOverShare);
}

// Urgent steps always may. Otherwise a backlog of late work on a full fleet has all lanes stand in
// line for questions whose answers are of no use any more, and new work waits behind them for
// longer than a ticket holds.
bool hasRequestBudget(const CellState &Cell, const Job &J, const StepState &Step) {
  const double Rate = isQueuedLast(Step) ? LateRequestRatio : WaitingRequestRatio;
  const auto Limit = static_cast<uint32_t>(std::ceil(Rate * Cell.AdviceConcurrency));
  return J.Spec->Priority == 0 || Cell.AdviceConcurrency == 0 ||
         Cell.OutstandingAdviceRequests < Limit;
}

} // namespace

bool canRequestAdvice(const PlacementPass &Pass, const Job &J, const StepState &Step) {
  return Step.Advice.OutstandingRequests == 0 && Step.Advice.NotBefore <= Pass.Now &&
         hasRequestBudget(Pass.Cell, J, Step);
}

// Room that is planned without a ticket is held until one has come. Where no question could be
// asked it stood empty for the whole time of a plan.
bool canPlan(const PlacementPass &Pass, const Job &J, const StepState &Step, const Worker &W) {
  return hasTicket(Pass, J, Step, W) || canRequestAdvice(Pass, J, Step);
}

namespace {
Milliseconds requestTime(const AdvicePolicy &Policy, size_t Workers) {
  return std::chrono::duration_cast<Milliseconds>(Policy.BaseLatency +
                                                  Policy.LatencyPerWorker * Workers);
}
} // namespace

// With what it takes until the answers are used.
Milliseconds adviceLatency(const PlacementPass &Pass, const Job &J, const StepState &Step,
                           size_t Workers) {
  if (!J.Spec->Advice)
    return Milliseconds(0);
  return requestTime(*J.Spec->Advice, splitRequestSize(Pass.Cell, Step, Workers)) + RenewalMargin;
}

// What does not fit one question goes into several at the same time. A large gang needs hundreds of
// workers asked about; with one question after the other the tickets of the first answers run out
// before the last has come.
void requestAdvice(PlacementPass &Pass, const Job &J, StepState &Step,
                   std::vector<std::string> Workers) {
  if (Workers.empty() || !canRequestAdvice(Pass, J, Step))
    return;
  const size_t PerRequest = splitRequestSize(Pass.Cell, Step, Workers.size());
  const size_t Limit = maxParallelRequests(Pass.Cell) * PerRequest;
  for (size_t I = 0; I < std::min(Limit, Workers.size()); I += PerRequest) {
    const auto First = Workers.begin() + static_cast<ptrdiff_t>(I);
    const size_t Count = std::min(PerRequest, Workers.size() - I);
    Pass.Out.AdviceRequests.push_back({Step.Key,
                                       isQueuedLast(Step),
                                       J.Spec->Priority,
                                       {First, First + static_cast<ptrdiff_t>(Count)},
                                       requestTime(*J.Spec->Advice, Count)});
    ++Step.Advice.OutstandingRequests;
    ++Pass.Cell.OutstandingAdviceRequests;
  }
}

namespace {
/// A worker that may be asked about.
struct Candidate {
  int64_t TaskCapacity =
      0;            ///< Tasks of the step for which it has room that nobody else has asked for.
  int64_t Room = 0; ///< Its free room.
  Worker *W = nullptr;
};

int64_t maxTasksPerWorker(const StepState &Step) {
  const int64_t Count = Step.Spec->Count;
  return Step.Spec->MaxPerWorker > 0 ? std::min<int64_t>(Count, Step.Spec->MaxPerWorker) : Count;
}

// In the room that is free.
int64_t freeTaskCapacity(const PlacementPass &Pass, const Job &J, const StepState &Step,
                         const Worker &W) {
  return countFitting(needOf(Step), freeCapacityFor(Pass, W, J, Step) - W.Claimed,
                      maxTasksPerWorker(Step));
}

// With what a gang may have stopped for it.
int64_t taskCapacity(const PlacementPass &Pass, const Job &J, const StepState &Step,
                     const Worker &W) {
  if (!Step.Spec->Gang || isQueuedLast(Step) || !benefitsFromPreemption(Pass, J, Step))
    return freeTaskCapacity(Pass, J, Step, W);
  const Resources Room = freeCapacityFor(Pass, W, J, Step) - W.Claimed;
  return countFitting(needOf(Step), Room + preemptibleResources(Pass, W, J.Spec->Priority),
                      maxTasksPerWorker(Step));
}

double approvalRate(const CellState &Cell, const Job &J) {
  const auto Known = Cell.ApprovalRates.find(J.Spec->Queue);
  return Known == Cell.ApprovalRates.end() ? InitialApprovalRate : Known->second;
}

// Seats that the step still lacks beside those on workers that are known to be good for it.
double missingTaskCapacity(const PlacementPass &Pass, const Job &J, const StepState &Step) {
  double Missing = 0;
  for (uint32_t I = 0; I < Step.Tasks.size(); ++I)
    Missing += isPlaceable(Pass, J, Step, I) ? TaskCapacityMargin : 0;
  if (!Step.Spec->Gang)
    return std::max(Missing, TaskCapacityMargin); // one that is to move has none
  for (const AdviceState::Permit &Permit : Step.Advice.Permits)
    if (const Worker *W = Pass.Cell.Slots[Permit.Slot]; W && isUsable(Pass, *W, J, Step))
      Missing -= static_cast<double>(taskCapacity(Pass, J, Step, *W));
  return Missing;
}

// Workers that cost a question little beside the time that it takes anyway.
size_t cheapRequestSize(const AdvicePolicy &Policy) {
  if (Policy.LatencyPerWorker.count() <= 0)
    return MaxWorkersPerRequest;
  const double Affordable =
      Policy.BaseLatency.count() * MaxExtraTimeRatio / Policy.LatencyPerWorker.count();
  return std::clamp<size_t>(static_cast<size_t>(Affordable), MinWorkersPerRequest,
                            MaxWorkersPerRequest);
}

// How many of the candidates to ask about: so many that the good ones among them should have seats
// for what the step lacks; none if hardly any has room, unless lanes stand idle.
size_t countWorkersToName(const PlacementPass &Pass, const Job &J, const StepState &Step,
                          std::vector<Candidate> &Sorted) {
  const size_t Limit =
      std::min(Sorted.size(), MaxWorkersPerRequest * maxParallelRequests(Pass.Cell));
  if (J.Spec->Priority == 0)
    return std::min(Limit, workersPerRequest(Step));
  const double Rate = approvalRate(Pass.Cell, J);
  double Missing = missingTaskCapacity(Pass, J, Step);
  size_t Count = 0;
  double Found = 0;
  for (; Count < Limit && Found < Missing; ++Count) {
    Candidate &Next = Sorted[Count];
    Next.TaskCapacity = taskCapacity(Pass, J, Step, *Next.W);
    if (Next.TaskCapacity == 0)
      break;
    Found += static_cast<double>(Next.TaskCapacity) * Rate;
  }
  // A gang that waits for room learns meanwhile on which workers it may use it.
  if (Step.Spec->Gang && Found < Missing)
    return Limit;
  if (Count == 0 && !hasSpareConcurrency(Pass.Cell))
    return 0;
  return std::clamp(Count, std::min(cheapRequestSize(*J.Spec->Advice), Limit), Limit);
}

// What the question is likely to take of the workers' room is left to it by questions after it.
void addClaims(PlacementPass &Pass, const Job &J, const StepState &Step,
               const std::vector<Candidate> &Workers) {
  const double Rate = approvalRate(Pass.Cell, J);
  auto &Claims = Pass.Cell.AdviceClaims[Step.Key];
  for (const Candidate &Entry : Workers) {
    const auto Scaled = [&](int64_t Need) {
      return static_cast<int64_t>(static_cast<double>(Need * Entry.TaskCapacity) * Rate);
    };
    const Resources Need = needOf(Step);
    const Resources Claimed{Scaled(Need.MilliCores), Scaled(Need.MemoryMb),
                            Scaled(Need.Accelerators)};
    Entry.W->Claimed += Claimed;
    Claims.emplace_back(Entry.W->Slot, Claimed);
  }
}

void releaseClaims(CellState &Cell, const StepKey &Key) {
  const auto Found = Cell.AdviceClaims.find(Key);
  if (Found == Cell.AdviceClaims.end())
    return;
  for (const auto &[Slot, Claimed] : Found->second)
    if (Worker *W = Cell.Slots[Slot])
      W->Claimed -= Claimed;
  Cell.AdviceClaims.erase(Found);
}

// A gang needs all its tickets at the same time: those of workers that are known to be good are
// renewed together with questions about others.
void addExpiringPermits(const PlacementPass &Pass, const Job &J, const StepState &Step,
                        std::vector<std::string> &Names) {
  const Milliseconds Time = adviceLatency(Pass, J, Step, Names.size());
  for (const AdviceState::Permit &Permit : Step.Advice.Permits) {
    const Worker *W = Pass.Cell.Slots[Permit.Slot];
    if (W && Permit.ValidUntil < Pass.Now + Time && isUsable(Pass, *W, J, Step) &&
        taskCapacity(Pass, J, Step, *W) > 0)
      Names.push_back(W->Info.Id);
  }
}
} // namespace

// Asks about workers of which nothing is known yet, those with the most room first.
void requestAdviceOnUnknown(PlacementPass &Pass, const Job &J, StepState &Step) {
  if (!J.Spec->Advice || !canRequestAdvice(Pass, J, Step))
    return;
  // In a full cell most steps that wait come no further, which keeps a pass short.
  const bool IsSingle = !Step.Spec->Gang && J.Spec->Priority > 0;
  if (IsSingle && !hasSpareConcurrency(Pass.Cell) && !fits(needOf(Step), maxFree(Pass)))
    return;
  std::vector<Candidate> Unknown;
  for (Worker *W : Pass.Cell.Slots)
    if (W && !hasAdviceOn(Step, *W) && isUsable(Pass, *W, J, Step) &&
        fits(needOf(Step), W->Info.Capacity))
      Unknown.push_back(
          {freeTaskCapacity(Pass, J, Step, *W), freeCapacityFor(Pass, *W, J, Step).MilliCores, W});
  if (Unknown.empty())
    noteWorkerShortage(Pass, J, Step);
  const size_t Sorted =
      std::min(Unknown.size(), MaxWorkersPerRequest * maxParallelRequests(Pass.Cell));
  std::partial_sort(Unknown.begin(), Unknown.begin() + static_cast<ptrdiff_t>(Sorted),
                    Unknown.end(), [](const Candidate &A, const Candidate &B) {
                      return std::tuple(-A.TaskCapacity, -A.Room, A.W->Slot) <
                             std::tuple(-B.TaskCapacity, -B.Room, B.W->Slot);
                    });
  Unknown.resize(countWorkersToName(Pass, J, Step, Unknown));
  if (Unknown.empty())
    return;
  std::vector<std::string> Names;
  Names.reserve(Unknown.size());
  for (const Candidate &Entry : Unknown)
    Names.push_back(Entry.W->Info.Id);
  if (Step.Spec->Gang)
    addExpiringPermits(Pass, J, Step, Names);
  requestAdvice(Pass, J, Step, std::move(Names));
  addClaims(Pass, J, Step, Unknown);
}

// Keeps tickets valid for a step that waits for room. Otherwise the room that it gets stands empty
// until they have been asked for again. Only while half of the lanes are free: in a full cell a
// renewal takes the lane of a question that starts work now.
void renewTickets(PlacementPass &Pass, const Job &J, StepState &Step) {
  if (!J.Spec->Advice || Step.Advice.OutstandingRequests > 0 || Step.Queued->Late ||
      !isWithinQuota(Pass.Cell, J.Owner, minCharge(*Step.Spec)) ||
      !hasSpareConcurrency(Pass.Cell) ||
      Pass.Cell.RenewingTickets.size() >= Pass.Cell.AdviceConcurrency / RenewalShareDivisor)
    return;
  std::vector<std::pair<int64_t, const AdviceState::Permit *>> Usable;
  for (const AdviceState::Permit &Permit : Step.Advice.Permits)
    if (const Worker *W = Pass.Cell.Slots[Permit.Slot]; W && isUsable(Pass, *W, J, Step))
      Usable.emplace_back(-freeCapacityFor(Pass, *W, J, Step).MilliCores, &Permit);
  std::sort(Usable.begin(), Usable.end());
  Usable.resize(std::min(Usable.size(), workersPerRequest(Step)));
  const std::chrono::duration<double, std::milli> Time =
      J.Spec->Advice->BaseLatency + J.Spec->Advice->LatencyPerWorker * Usable.size();
  const auto Needed = std::chrono::duration_cast<Milliseconds>(Time) + RenewalMargin;
  const bool Expires = std::any_of(Usable.begin(), Usable.end(), [&](const auto &Entry) {
    return Entry.second->ValidUntil < Pass.Now + Needed;
  });
  if (!Expires || Time < MinRenewalTime)
    return;
  std::vector<std::string> Names;
  Names.reserve(Usable.size());
  for (const auto &[Room, Permit] : Usable)
    Names.push_back(Pass.Cell.Slots[Permit->Slot]->Info.Id);
  requestAdvice(Pass, J, Step, std::move(Names));
  if (Step.Advice.OutstandingRequests > 0)
    Pass.Cell.RenewingTickets.insert(Step.Key);
}

// A step found no place among the workers known to be good for it.
void widenSearch(PlacementPass &Pass, const Job &J, StepState &Step) {
  if (J.Spec->Advice)
    requestAdviceOnUnknown(Pass, J, Step);
  else
    noteWorkerShortage(Pass, J, Step);
}

// Just after a takeover most steps turn out to be running. To ask for advice on all of them before
// the workers have answered would hold up those that need it.
bool shouldRequestAdvice(const PlacementPass &Pass, const Job &J, const StepState &Step) {
  return Pass.ReportPendingServices.count(J.Spec->Service) == 0 ||
         std::any_of(Step.Tasks.begin(), Step.Tasks.end(), [](const TaskState &Task) {
           return !Task.AssignedWorker && !Task.MayRunOnUnreportedWorker;
         });
}

const AdviceState::Permit *findPermit(const StepState &Step, const Worker &W) {
  const auto &Permits = Step.Advice.Permits;
  const auto At = std::lower_bound(Permits.begin(), Permits.end(), W.Slot, isSlotBefore);
  return At != Permits.end() && At->Slot == W.Slot ? &*At : nullptr;
}

AdviceState::Permit *findPermit(StepState &Step, const Worker &W) {
  return const_cast<AdviceState::Permit *>(findPermit(std::as_const(Step), W));
}

bool hasAdviceOn(const StepState &Step, const Worker &W) {
  return W.Slot < Step.Advice.AnsweredSlots.size() && Step.Advice.AnsweredSlots[W.Slot];
}

namespace {
// A question of the step is over.
void finishRequest(CellState &Cell, const StepKey &Key, StepState *Step) {
  Cell.RenewingTickets.erase(Key);
  Cell.OutstandingAdviceRequests -= Cell.OutstandingAdviceRequests > 0 ? 1 : 0;
  if (Step && Step->Advice.OutstandingRequests > 0)
    --Step->Advice.OutstandingRequests;
  if (!Step || Step->Advice.OutstandingRequests == 0)
    releaseClaims(Cell, Key);
}

// Learns from the answer how many of the workers are good, for the questions after it.
void updateApprovalRate(CellState &Cell, const std::string &Queue, size_t Fresh, size_t Permitted) {
  if (Fresh == 0)
    return;
  const double Seen = static_cast<double>(Permitted) / static_cast<double>(Fresh);
  const double Weight =
      ApprovalRateWeight *
      std::min(1.0, static_cast<double>(Fresh) / static_cast<double>(MaxWorkersPerRequest));
  const auto [Known, New] = Cell.ApprovalRates.try_emplace(Queue, Seen);
  Known->second = std::max(MinApprovalRate, Known->second + Weight * (Seen - Known->second));
}
} // namespace

void adviceAnswered(CellState &Cell, const StepKey &Key, const std::vector<std::string> &Workers,
                    const std::vector<std::pair<std::string, std::string>> &Permitted,
                    Milliseconds Valid, TimePoint Now) {
  StepState *Step = findStep(Cell, Key);
  finishRequest(Cell, Key, Step);
  if (!Step)
    return;
  Job &J = Cell.Jobs.at(Key.Job);
  AdviceState &Known = Step->Advice;
  Known.AnsweredSlots.resize(Cell.Slots.size());
  size_t Fresh = 0;
  size_t FreshGood = 0;
  for (const std::string &Id : Workers)
    if (const auto W = Cell.Workers.find(Id); W != Cell.Workers.end()) {
      Fresh += Known.AnsweredSlots[W->second.Slot] ? 0 : 1;
      Known.AnsweredSlots[W->second.Slot] = true;
    }
  for (const auto &[Id, Ticket] : Permitted)
    if (const auto W = Cell.Workers.find(Id); W != Cell.Workers.end()) {
      FreshGood += findPermit(std::as_const(*Step), W->second) ? 0 : 1;
      addPermit(Known, {W->second.Slot, Ticket, Now + Valid - Cell.Limits.TicketMargin});
    }
  updateApprovalRate(Cell, J.Spec->Queue, Fresh, FreshGood);
  Known.HasNewAnswer = true;
  queueStep(Cell, J, *Step, Now);
}

void adviceFailed(CellState &Cell, const StepKey &Key, TimePoint Now) {
  StepState *Step = findStep(Cell, Key);
  finishRequest(Cell, Key, Step);
  if (Step)
    Step->Advice.NotBefore = Now + AdviceRetryPause;
}

} // namespace valveshelf::sched
