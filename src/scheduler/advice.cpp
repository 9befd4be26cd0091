// SPDX-License-Identifier: Apache-2.0
// Requests to the advice service: which workers they name, when they are sent, and the permits and
// tickets that the answers give.
//
// An urgent queue that is offered twice what its full workers can do asks two or three times per
// step and fills the lanes, so that new steps wait for their first answer until they are late.
// Questions other than the first of a step in time are therefore limited, and while lanes are short
// urgent steps ask only about workers that can help them, as many as they need.
#include "scheduler/advice_budget.h"
#include "scheduler/job_services.h"
#include "scheduler/pass.h"

#include <algorithm>
#include <cmath>

namespace valveshelf::sched {
namespace {
// The platform's limit of workers named in one request.
constexpr size_t MaxWorkersPerRequest = 100;
// Workers named for a step of single tasks. About three in ten are not permitted, and others have
// lost their free capacity by the time the answer comes.
constexpr size_t MinWorkersPerRequest = 8;
constexpr size_t WorkersPerTask = 6;
// Tickets of waiting steps are renewed only if a request takes longer than this; otherwise
// requesting them when needed is cheaper.
constexpr Milliseconds MinRenewalTime{100};
// Added to the duration of a request to get the time at which its answer can be used.
constexpr Milliseconds RenewalMargin{200};
// Renewals may use 1 / RenewalShareDivisor of the advice concurrency, so that first requests are
// not delayed by them.
constexpr uint32_t RenewalShareDivisor = 3;
// Pause after a failed request.
constexpr Milliseconds AdviceRetryPause{50};
// Ratio of the task capacity that a request should find to the tasks to place, since the number of
// workers that turn out to be permitted varies: by a tenth for a gang of 150 members if one worker
// in four is permitted.
constexpr double TaskCapacityMargin = 1.3;
// Fraction of permitted workers assumed before the first answer, weight of a request of
// MaxWorkersPerRequest workers in the moving average, and the smallest fraction assumed.
constexpr double InitialApprovalRate = 0.3;
constexpr double ApprovalRateWeight = 0.2;
constexpr double MinApprovalRate = 0.02;
// Capacity of the permitted workers for which an urgent step waits, as a ratio of its tasks. Steps
// that wait for the same workers take turns, so that one needs a choice.
constexpr double WaitingCapacityRatio = 4;
// Further workers are named as long as they lengthen a request by no more than this ratio.
constexpr double MaxExtraTimeRatio = 0.25;
// Requests of one step may use 1 / StepShareDivisor of the advice concurrency, so that two gangs
// leave half of it to others.
constexpr uint32_t StepShareDivisor = 4;
// Limits of outstanding requests, as ratios of the advice concurrency: for steps that are not
// urgent, and for late ones. Further requests are not queued: they are made later, in the order of
// the queue and with the free capacity at that time.
constexpr double WaitingRequestRatio = 1.2;
constexpr double LateRequestRatio = 1.0;
// Workers named in one request of a gang while concurrency is spare; shorter requests are answered
// sooner.
constexpr size_t GangWorkersPerRequest = 50;

// Number of workers to name for an urgent step or a ticket renewal, before they are split over
// parallel requests. A gang needs many at the same time; for single tasks a few per task suffice,
// and a short request is answered sooner.
size_t workersPerRequest(const StepState &Step) {
  if (Step.Spec->Gang)
    return MaxWorkersPerRequest;
  return std::min<size_t>(MaxWorkersPerRequest,
                          MinWorkersPerRequest + WorkersPerTask * Step.Spec->Count);
}

// Requests more workers if one that is not in use yet could take a task of the step.
void noteWorkerShortage(PlacementPass &Pass, const Job &J, const StepState &Step) {
  if (Pass.Cell.WorkerShortage)
    return;
  const Resources Need = needOf(Step);
  Pass.Cell.WorkerShortage =
      std::any_of(Pass.Cell.Workers.begin(), Pass.Cell.Workers.end(), [&](const auto &Entry) {
        const Worker &W = Entry.second;
        return !W.IsSelected && takesWork(W) && W.Info.Service == J.Services.Current &&
               fits(Need, W.Info.Capacity) && hasLabel(W.Info, Step.Spec->RequiredLabel);
      });
}

bool isSlotBefore(const AdviceState::Permit &Known, uint32_t Slot) { return Known.Slot < Slot; }

// Adds a permit, or replaces the worker's older one.
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

bool sharesAdvice(const CellState &Cell) {
  return Cell.InForce.ShareAdvice && Cell.Services.size() > 1;
}

namespace {
// Lanes from which spare ones may be used: all while half of the advice concurrency is unused, or
// else the guaranteed part of the job's service while half of that is unused. Only then is a gang's
// request split into parallel ones, which take more service time in total.
uint32_t lanesWithSpare(const CellState &Cell, const Job &J) {
  if (Cell.OutstandingAdviceRequests * 2 < Cell.AdviceConcurrency)
    return Cell.AdviceConcurrency;
  return sharesAdvice(Cell) ? spareLanes(Cell.Advice, J.Services.Current, Cell.AdviceConcurrency)
                            : 0;
}

bool hasSpareConcurrency(const CellState &Cell, const Job &J) {
  return lanesWithSpare(Cell, J) > 0;
}

// True if lanes are shared and known to be in use for the most part. Urgent steps then ask only
// what they need, so that new steps get their first answer while they can be in time.
bool areLanesShort(const CellState &Cell, const Job &J) {
  return sharesAdvice(Cell) && Cell.AdviceConcurrency > 0 && !hasSpareConcurrency(Cell, J);
}

size_t maxWorkersPerRequest(const CellState &Cell, const Job &J, const StepState &Step) {
  return Step.Spec->Gang && hasSpareConcurrency(Cell, J) ? GangWorkersPerRequest
                                                         : MaxWorkersPerRequest;
}

// The largest number of parallel requests of one step.
size_t maxParallelRequests(const CellState &Cell, const Job &J) {
  return std::max<uint32_t>(1, lanesWithSpare(Cell, J) / StepShareDivisor);
}

// Workers named in each request if \p Workers are split over parallel requests.
size_t splitRequestSize(const CellState &Cell, const Job &J, const StepState &Step,
                        size_t Workers) {
  const size_t Limit = maxWorkersPerRequest(Cell, J, Step);
  const size_t Needed = (Workers + Limit - 1) / Limit;
  const size_t Requests = std::clamp<size_t>(Needed, 1, maxParallelRequests(Cell, J));
  return std::min(MaxWorkersPerRequest, (Workers + Requests - 1) / Requests);
}

// True if the step is late, left out under overload, or beyond its organisation's share.
bool isQueuedLast(const StepState &Step) {
  return Step.Queued && (Step.Queued->isDeprioritized() || Step.Queued->IsOverShare);
}

// True if the step can be in time and has no answer yet, so that only an answer lets it start.
bool isFirstQuestion(const StepState &Step) {
  return !isQueuedLast(Step) && Step.Advice.AnsweredSlots.empty();
}

// Limit of outstanding requests as a ratio of the advice concurrency; empty for first questions of
// urgent steps, and for all of these unless lanes are shared. Without a limit, urgent steps that
// wait for capacity fill the request queue, where a new step waits for longer than its objective
// allows.
std::optional<double> maxLaneRatio(const CellState &Cell, const Job &J, const StepState &Step) {
  if (J.Spec->Priority == 0 && !sharesAdvice(Cell))
    return std::nullopt;
  if (isQueuedLast(Step))
    return LateRequestRatio;
  if (J.Spec->Priority == 0 && isFirstQuestion(Step))
    return std::nullopt;
  return WaitingRequestRatio;
}

bool hasRequestBudget(const CellState &Cell, const Job &J, const StepState &Step) {
  const std::optional<double> Ratio = maxLaneRatio(Cell, J, Step);
  if (Cell.AdviceConcurrency == 0)
    return true;
  if (sharesAdvice(Cell))
    return mayAsk(Cell.Advice, {J.Services.Current, isQueuedLast(Step), Ratio},
                  Cell.AdviceConcurrency);
  return !Ratio || Cell.OutstandingAdviceRequests <
                       static_cast<uint32_t>(std::ceil(*Ratio * Cell.AdviceConcurrency));
}

// True if only the budget can keep the step from asking.
bool isReadyToAsk(const PlacementPass &Pass, const StepState &Step) {
  return Step.Advice.OutstandingRequests == 0 && Step.Advice.NotBefore <= Pass.Now;
}

// As `hasRequestBudget`, for a step that would ask now: notes that it waits if it may not.
bool checkBudget(PlacementPass &Pass, const Job &J, const StepState &Step) {
  const bool HasBudget = hasRequestBudget(Pass.Cell, J, Step);
  if (!HasBudget && Pass.SharesAdvice)
    noteWaiting(Pass.Cell.Advice, J.Services.Current);
  return HasBudget;
}
} // namespace

bool canRequestAdvice(const PlacementPass &Pass, const Job &J, const StepState &Step) {
  return isReadyToAsk(Pass, Step) && hasRequestBudget(Pass.Cell, J, Step);
}

// Capacity planned without a ticket stays reserved until the ticket arrives. If none can be
// requested it would be unused until the plan times out.
bool canPlan(const PlacementPass &Pass, const Job &J, const StepState &Step, const Worker &W) {
  return hasTicket(Pass, J, Step, W) || canRequestAdvice(Pass, J, Step);
}

namespace {
Milliseconds requestTime(const AdvicePolicy &Policy, size_t Workers) {
  return std::chrono::duration_cast<Milliseconds>(Policy.BaseLatency +
                                                  Policy.LatencyPerWorker * Workers);
}
} // namespace

Milliseconds adviceLatency(const PlacementPass &Pass, const Job &J, const StepState &Step,
                           size_t Workers) {
  if (!J.Spec->Advice)
    return Milliseconds(0);
  return requestTime(*J.Spec->Advice, splitRequestSize(Pass.Cell, J, Step, Workers)) +
         RenewalMargin;
}

// Requests beyond the size limit are sent in parallel. A large gang needs hundreds of workers; with
// sequential requests the tickets of the first answer would expire before the last answer.
void requestAdvice(PlacementPass &Pass, const Job &J, StepState &Step,
                   std::vector<std::string> Workers) {
  if (Workers.empty() || !isReadyToAsk(Pass, Step) || !checkBudget(Pass, J, Step))
    return;
  const std::string Service = Pass.SharesAdvice ? J.Services.Current : std::string();
  const size_t PerRequest = splitRequestSize(Pass.Cell, J, Step, Workers.size());
  const size_t Limit = maxParallelRequests(Pass.Cell, J) * PerRequest;
  for (size_t I = 0; I < std::min(Limit, Workers.size()); I += PerRequest) {
    const auto First = Workers.begin() + static_cast<ptrdiff_t>(I);
    const size_t Count = std::min(PerRequest, Workers.size() - I);
    const Milliseconds Time = requestTime(*J.Spec->Advice, Count);
    Pass.Out.AdviceRequests.push_back({Step.Key,
                                       isQueuedLast(Step),
                                       J.Spec->Priority,
                                       {First, First + static_cast<ptrdiff_t>(Count)},
                                       Time,
                                       Service,
                                       Step.Queued && Step.Queued->HasNotBegun,
                                       Pass.SharesAdvice && isFirstQuestion(Step)});
    if (Pass.SharesAdvice)
      noteRequested(Pass.Cell.Advice, Step.Key, Service, isQueuedLast(Step), Time);
    ++Step.Advice.OutstandingRequests;
    ++Pass.Cell.OutstandingAdviceRequests;
  }
}

namespace {
/// A worker that a request may name.
struct Candidate {
  int64_t TaskCapacity = 0; ///< Tasks of the step that fit its free, unclaimed capacity.
  int64_t Room = 0;         ///< Its free capacity in thousandths of a core.
  size_t Place = 0;         ///< Among equal ones, the smallest is named first.
  Worker *W = nullptr;
};

int64_t maxTasksPerWorker(const StepState &Step) {
  const int64_t Count = Step.Spec->Count;
  return Step.Spec->MaxPerWorker > 0 ? std::min<int64_t>(Count, Step.Spec->MaxPerWorker) : Count;
}

// Tasks of the step that fit the worker's free, unclaimed capacity.
int64_t freeTaskCapacity(const PlacementPass &Pass, const Job &J, const StepState &Step,
                         const Worker &W) {
  return countFitting(needOf(Step), freeCapacityFor(Pass, W, J, Step) - W.Claimed,
                      maxTasksPerWorker(Step));
}

// The same, including what a gang may free by preemption.
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

// The task capacity that the step still needs in addition to that of its permitted workers.
double missingTaskCapacity(const PlacementPass &Pass, const Job &J, const StepState &Step) {
  double Missing = 0;
  for (uint32_t I = 0; I < Step.Tasks.size(); ++I)
    Missing += isPlaceable(Pass, J, Step, I) ? TaskCapacityMargin : 0;
  if (!Step.Spec->Gang)
    return std::max(Missing, TaskCapacityMargin); // a run to be moved is not placeable
  for (const AdviceState::Permit &Permit : Step.Advice.Permits)
    if (const Worker *W = Pass.Cell.Slots[Permit.Slot]; W && isUsable(Pass, *W, J, Step))
      Missing -= static_cast<double>(taskCapacity(Pass, J, Step, *W));
  return Missing;
}

// Number of workers that lengthen a request by at most MaxExtraTimeRatio.
size_t cheapRequestSize(const AdvicePolicy &Policy) {
  if (Policy.LatencyPerWorker.count() <= 0)
    return MaxWorkersPerRequest;
  const double Affordable =
      Policy.BaseLatency.count() * MaxExtraTimeRatio / Policy.LatencyPerWorker.count();
  return std::clamp<size_t>(static_cast<size_t>(Affordable), MinWorkersPerRequest,
                            MaxWorkersPerRequest);
}

// The slot from which a step that waits for capacity names workers. It differs between steps: if
// all waited for the same workers they would delay each other.
size_t firstSlotToWaitFor(const PlacementPass &Pass, const StepState &Step) {
  constexpr uint64_t Multiplier = 0x9E3779B97F4A7C15; // of Fibonacci hashing
  constexpr int UnmixedBits = 32;
  const uint64_t Mixed = (Step.Key.Job + Step.Key.Step) * Multiplier;
  return (Mixed >> UnmixedBits) % std::max<size_t>(1, Pass.Cell.Slots.size());
}

// The workers that a request of the step may name. An urgent step that no worker has room for while
// concurrency is not spare gets as many as one request can name, without visiting the others.
std::vector<Candidate> collectCandidates(PlacementPass &Pass, const Job &J, const StepState &Step) {
  const std::vector<Worker *> &Slots = Pass.Cell.Slots;
  const bool Spreads = J.Spec->Priority == 0 && !Step.Spec->Gang && areLanesShort(Pass.Cell, J);
  const bool Waits = Spreads && !fits(needOf(Step), maxFree(Pass));
  const size_t Start = Spreads ? firstSlotToWaitFor(Pass, Step) : 0;
  std::vector<Candidate> Unknown;
  for (size_t I = 0; I < Slots.size(); ++I) {
    Worker *W = Slots[Start + I < Slots.size() ? Start + I : Start + I - Slots.size()];
    if (!W || hasAdviceOn(Step, *W) || !isUsable(Pass, *W, J, Step) ||
        !fits(needOf(Step), W->Info.Capacity))
      continue;
    const int64_t Tasks = Waits ? 0 : freeTaskCapacity(Pass, J, Step, *W);
    const int64_t Room = Spreads && Tasks == 0 ? 0 : freeCapacityFor(Pass, *W, J, Step).MilliCores;
    Unknown.push_back({Tasks, Room, I, W});
    if (Waits && Unknown.size() == MaxWorkersPerRequest)
      break;
  }
  return Unknown;
}

// Tasks of the step that all its permitted workers could hold if they were empty.
int64_t permittedTaskCapacity(const PlacementPass &Pass, const Job &J, const StepState &Step) {
  int64_t Sum = 0;
  for (const AdviceState::Permit &Permit : Step.Advice.Permits)
    if (const Worker *W = Pass.Cell.Slots[Permit.Slot]; W && isEligible(Pass, *W, J, Step))
      Sum += countFitting(needOf(Step), W->Info.Capacity, maxTasksPerWorker(Step));
  return Sum;
}

// True if the step's permitted workers could never hold its open tasks.
bool hasTooFewPermits(const PlacementPass &Pass, const Job &J, const StepState &Step) {
  return permittedTaskCapacity(Pass, J, Step) < static_cast<int64_t>(Step.OpenTasks);
}

// Number of workers to name for an urgent step that has to wait for capacity: so many that the
// permitted ones among them are expected to hold its tasks `WaitingCapacityRatio` times.
size_t countWorkersToWaitFor(const PlacementPass &Pass, const Job &J, const StepState &Step,
                             const std::vector<Candidate> &Sorted, size_t Limit) {
  const double Rate = approvalRate(Pass.Cell, J);
  const double Needed = WaitingCapacityRatio * Step.OpenTasks;
  double Found = 0;
  size_t Count = 0;
  for (; Count < Limit && Found < Needed; ++Count)
    Found += Rate * static_cast<double>(countFitting(needOf(Step), Sorted[Count].W->Info.Capacity,
                                                     maxTasksPerWorker(Step)));
  return std::clamp(Count, std::min(cheapRequestSize(*J.Spec->Advice), Limit), Limit);
}

// Number of candidates to name: enough that the permitted ones among them are expected to provide
// the missing task capacity. 0 if none has capacity and concurrency is not spare.
size_t countWorkersToName(const PlacementPass &Pass, const Job &J, const StepState &Step,
                          std::vector<Candidate> &Sorted) {
  const size_t Limit =
      std::min(Sorted.size(), MaxWorkersPerRequest * maxParallelRequests(Pass.Cell, J));
  if (J.Spec->Priority == 0 && !areLanesShort(Pass.Cell, J))
    return std::min(Limit, workersPerRequest(Step));
  // Such a step asks once about the workers that it waits for.
  if (J.Spec->Priority == 0 && !Step.Spec->Gang && hasTooFewPermits(Pass, J, Step))
    return std::min(countWorkersToWaitFor(Pass, J, Step, Sorted, Limit), workersPerRequest(Step));
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
  // A gang that lacks capacity collects permits while it waits.
  if (Step.Spec->Gang && Found < Missing)
    return Limit;
  if (Count == 0 && !hasSpareConcurrency(Pass.Cell, J))
    return 0;
  return std::clamp(Count, std::min(cheapRequestSize(*J.Spec->Advice), Limit), Limit);
}

// Claims the resources that the step is expected to use on the named workers, so that later
// requests name other ones.
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

// A gang needs valid tickets for all its workers at the same time, so a request for further workers
// also renews the tickets that would expire before its answer.
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

ServicePass &serviceOf(PlacementPass &Pass, const Job &J) {
  const auto [At, New] = Pass.Services.try_emplace(J.Services.Current);
  if (New) {
    const auto Load = Pass.Cell.Loads.find(J.Services.Current);
    At->second.Load = Load == Pass.Cell.Loads.end() ? nullptr : &Load->second;
  }
  return At->second;
}

namespace {
// The most that a step needs at once: one task, or a whole gang.
Resources minNeed(const StepState &Step) {
  return Step.Spec->Gang ? needOf(Step) * Step.Spec->Count : needOf(Step);
}

// Requests more workers at most once per service and pass, which bounds the length of the pass.
void noteServiceShortage(PlacementPass &Pass, const Job &J, const StepState &Step) {
  ServicePass &Of = serviceOf(Pass, J);
  if (!Of.HasNotedShortage)
    noteWorkerShortage(Pass, J, Step);
  Of.HasNotedShortage = true;
}
} // namespace

// A step that may preempt counts everything preemptible as free: what of it is less urgent is known
// by worker only.
void beginStep(PlacementPass &Pass, const Job &J, const StepState &Step) {
  Pass.CanGetCapacity = true;
  if (!Pass.SharesAdvice)
    return;
  const ServicePass &Of = serviceOf(Pass, J);
  if (!Of.Load)
    return;
  Resources Ahead = Of.Ahead + minNeed(Step);
  if (!isQueuedLast(Step) && benefitsFromPreemption(Pass, J, Step))
    Ahead -= Of.Load->Preemptible;
  const AdvicePolicy *Policy = J.Spec->Advice ? &*J.Spec->Advice : nullptr;
  Pass.CanGetCapacity = isFreeInTime(
      *Of.Load, Ahead, Policy ? Policy->TicketLifetime : Pass.Cell.Limits.PlanTimeout,
      Policy ? requestTime(*Policy, workersPerRequest(Step)) : Milliseconds(0), Pass.Now);
}

namespace {
// True if capacity is free for the step but no worker takes it: none has the label, is permitted or
// has enough in one piece.
bool isUnplaceable(const PlacementPass &Pass, const ServicePass &Of, const Job &J,
                   const StepState &Step) {
  const bool IsAnswered = !J.Spec->Advice || !Step.Advice.AnsweredSlots.empty();
  return IsAnswered && Step.LastPlacementFailed && Step.Advice.OutstandingRequests == 0 &&
         Step.PlannedTasks == 0 && Of.Load && fits(minNeed(Step), Of.Load->Free) &&
         isWithinQuota(Pass.Cell, J.Owner, minCharge(*Step.Spec));
}
} // namespace

// A step that can't get capacity in time or finds no worker is not counted: it does not take any
// from the steps behind it. Nor are tasks beyond their organisation's maximum.
void endStep(PlacementPass &Pass, const Job &J, const StepState &Step) {
  if (!Pass.SharesAdvice || !Pass.CanGetCapacity || Step.OpenTasks <= Step.BookedTasks ||
      isUnplaceable(Pass, serviceOf(Pass, J), J, Step))
    return;
  uint32_t Tasks = Step.OpenTasks - Step.BookedTasks;
  if (mayBeOnWorkersOf(J, Pass.UnreportedServices)) // others may turn out to be running
    for (uint32_t I = Tasks = 0; I < Step.Tasks.size(); ++I)
      Tasks += isPlaceable(Pass, J, Step, I) ? 1 : 0;
  if (J.Owner && J.Owner->Maximum != Resources{}) {
    Resources &Before = Pass.AheadOfOwner[J.Owner];
    Tasks =
        countWithinMaximum(Step.Spec->Need, Tasks, Step.Spec->Gang,
                           J.Owner->Usage + J.Owner->UnreportedUsage + Before, J.Owner->Maximum);
    Before += Step.Spec->Need * Tasks;
  }
  // Tasks that no permitted worker can hold take nothing from the steps behind.
  if (J.Spec->Advice && !Step.Advice.AnsweredSlots.empty()) {
    const int64_t Holdable = permittedTaskCapacity(Pass, J, Step);
    const bool IsPartOfGang = Step.Spec->Gang && Holdable < Tasks;
    Tasks = IsPartOfGang ? 0 : static_cast<uint32_t>(std::min<int64_t>(Tasks, Holdable));
  }
  serviceOf(Pass, J).Ahead += needOf(Step) * Tasks;
}

void requestAdviceOnUnknown(PlacementPass &Pass, const Job &J, StepState &Step) {
  if (!J.Spec->Advice || !isReadyToAsk(Pass, Step))
    return;
  if (!Pass.CanGetCapacity)
    return noteServiceShortage(Pass, J, Step);
  if (!checkBudget(Pass, J, Step))
    return;
  // Most waiting steps of a full cell stop here, which keeps the pass short. Workers without
  // unclaimed capacity are as full as the permitted ones that the step waits for.
  const bool StopsIfFull =
      J.Spec->Priority > 0 ? !hasSpareConcurrency(Pass.Cell, J) : areLanesShort(Pass.Cell, J);
  if (!Step.Spec->Gang && StopsIfFull && !fits(needOf(Step), maxFree(Pass)) &&
      (J.Spec->Priority > 0 || !hasTooFewPermits(Pass, J, Step)))
    return;
  std::vector<Candidate> Unknown = collectCandidates(Pass, J, Step);
  if (Unknown.empty())
    noteWorkerShortage(Pass, J, Step);
  const size_t Sorted =
      std::min(Unknown.size(), MaxWorkersPerRequest * maxParallelRequests(Pass.Cell, J));
  std::partial_sort(Unknown.begin(), Unknown.begin() + static_cast<ptrdiff_t>(Sorted),
                    Unknown.end(), [](const Candidate &A, const Candidate &B) {
                      return std::tuple(-A.TaskCapacity, -A.Room, A.Place) <
                             std::tuple(-B.TaskCapacity, -B.Room, B.Place);
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

namespace {
// While advice is shared, each active service has an equal part of the renewals.
bool hasRenewalBudget(const CellState &Cell, const Job &J) {
  const uint32_t Limit = Cell.AdviceConcurrency / RenewalShareDivisor;
  if (!sharesAdvice(Cell))
    return Cell.RenewingTickets.size() < Limit;
  const auto Own = std::count_if(
      Cell.RenewingTickets.begin(), Cell.RenewingTickets.end(), [&](const StepKey &Key) {
        const auto Use = Cell.Advice.Steps.find(Key);
        return Use != Cell.Advice.Steps.end() && Use->second.Service == J.Services.Current;
      });
  const auto Part =
      std::max<uint32_t>(1, Limit / countActiveServices(Cell.Advice, J.Services.Current));
  return Limit > 0 && static_cast<uint32_t>(Own) < Part;
}
} // namespace

// Without valid tickets, capacity that becomes free would be unused until they have been requested
// again. Only while concurrency is spare: otherwise renewals delay requests that let work start
// now.
void renewTickets(PlacementPass &Pass, const Job &J, StepState &Step) {
  if (!J.Spec->Advice || Step.Advice.OutstandingRequests > 0 || Step.Queued->isDeprioritized() ||
      !Pass.CanGetCapacity || !isWithinQuota(Pass.Cell, J.Owner, minCharge(*Step.Spec)) ||
      !hasSpareConcurrency(Pass.Cell, J) || !hasRenewalBudget(Pass.Cell, J))
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

void widenSearch(PlacementPass &Pass, const Job &J, StepState &Step) {
  if (J.Spec->Advice)
    requestAdviceOnUnknown(Pass, J, Step);
  else
    noteWorkerShortage(Pass, J, Step);
}

// After a takeover most steps turn out to be running already. Requests for all of them before the
// workers have reported would delay the steps that need advice.
bool shouldRequestAdvice(const PlacementPass &Pass, const Job &J, const StepState &Step) {
  return !mayBeOnWorkersOf(J, Pass.ReportPendingServices) ||
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
// Ends an outstanding request of the step, answered or failed.
void finishRequest(CellState &Cell, const StepKey &Key, StepState *Step) {
  Cell.RenewingTickets.erase(Key);
  noteRequestEnded(Cell.Advice, Key);
  Cell.OutstandingAdviceRequests -= Cell.OutstandingAdviceRequests > 0 ? 1 : 0;
  if (Step && Step->Advice.OutstandingRequests > 0)
    --Step->Advice.OutstandingRequests;
  if (!Step || Step->Advice.OutstandingRequests == 0)
    releaseClaims(Cell, Key);
}

// Updates the moving average from an answer in which \p Permitted of \p Fresh workers are
// permitted.
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
