// SPDX-License-Identifier: Apache-2.0
// The placement pass over the queue: single tasks are placed on workers with free capacity, or else
// where preemption of less urgent, checkpointing runs frees enough.
#include "scheduler/advice_budget.h"
#include "scheduler/copies.h"
#include "scheduler/crashes.h"
#include "scheduler/forecast.h"
#include "scheduler/job_services.h"
#include "scheduler/pass.h"

#include <algorithm>

namespace valveshelf::sched {
namespace {
// After this many consecutive unplaced steps of one priority the pass skips the rest of it, which
// bounds the length of a pass while the queue is long.
constexpr int MaxConsecutiveMisses = 40;
// While a step waits for capacity, steps behind it that are not urgent are tried only in full scans
// at this interval, gangs in every second one. Trying all of them in the same pass lets the order
// of the queue decide who gets the capacity freed in between. The tasks of such steps run for
// seconds, so that the interval adds little to their wait.
constexpr Milliseconds FullScanInterval{40};
// One of so many passes goes first to steps that have waited for long.
constexpr uint64_t StarvationPasses = 4;
// The newest urgent task has a weight of 1 / UrgentMeanWeight in the mean.
constexpr int64_t UrgentMeanWeight = 64;

PlacementPass beginPass(CellState &Cell, TimePoint Now, Effects &Out) {
  PlacementPass Pass{Cell, Now, Out, {}, {}, false, {}};
  Pass.UnreportedServices = unreportedServices(Cell);
  for (const auto &[Id, Service] : Cell.UnreportedWorkers) {
    const auto Found = Cell.Workers.find(Id);
    if (Found != Cell.Workers.end() && Found->second.IsResponsive && !Found->second.HasReported)
      Pass.ReportPendingServices.insert(Service);
  }
  Pass.KeepsUrgentReserve = isUrgentCapacityScarce(Cell);
  Pass.SharesAdvice = sharesAdvice(Cell);
  chargeUnreported(Pass);
  return Pass;
}

const std::string &checkpointOf(const StepState &Step, uint32_t Index) {
  return Step.Tasks[Step.Spec->Gang ? 0 : Index].Checkpoint;
}
} // namespace

bool isOutOfStarts(const PlacementPass &Pass) { return Pass.Cell.StartsLeft == 0; }

void orderStart(PlacementPass &Pass, const Job &J, StepState &Step, uint32_t Index, Worker &W,
                Attempt &A) {
  const RunKey Run{{Step.Key, Index}, Step.Tasks[Index].Run};
  setPhase(Pass.Cell, W, Run, AttemptPhase::Starting, Pass.Now);
  A.Sends = 1;
  if (std::optional<size_t> &Left = Pass.Cell.StartsLeft; Left && *Left > 0)
    --*Left;
  const AdviceState::Permit *Permit = findPermit(Step, W);
  Pass.Out.Starts.push_back(
      {W.Info.Id, Run, J.Spec, checkpointOf(Step, Index), Permit ? Permit->Ticket : std::string()});
}

namespace {
// Logs the starts that were ordered for the step after the first \p Before ones of the pass.
void notePlaced(PlacementPass &Pass, const Job &J, StepState &Step, size_t Before) {
  if (Pass.Out.Starts.size() == Before)
    return;
  std::set<std::string> Workers;
  for (size_t I = Before; I < Pass.Out.Starts.size(); ++I)
    Workers.insert(Pass.Out.Starts[I].Worker);
  Pass.Out.Placements.push_back({Step.Key, static_cast<uint32_t>(Pass.Out.Starts.size() - Before),
                                 static_cast<uint32_t>(Workers.size()), Step.RunnableSince,
                                 J.Objective, !Step.HasStartOrders});
  Step.HasStartOrders = true;
}
} // namespace

uint32_t nextRun(const CellState &Cell, const StepState &Step, uint32_t Index) {
  const TaskState &Task = Step.Tasks[Index];
  return std::max(Cell.FirstRun, std::max({Task.Run, Task.Copy.Run, Task.LastEndedRun}) + 1);
}

// A previous scheduler may have started a job that this one learned of only after a worker reported
// the run. That run is being stopped; the task waits for its end.
bool hasOrphanedRun(const CellState &Cell, const TaskKey &Task) {
  const auto At = Cell.OrphanedRuns.lower_bound({Task, 0});
  return At != Cell.OrphanedRuns.end() && At->Task == Task;
}

// True if a newer scheduler may have learned of the end of a run that was lost with a dead worker.
static bool awaitsConfirmation(const CellState &Cell, const TaskState &Task) {
  if (!Cell.ConfirmedAt)
    return false;
  return Task.LostAt > *Cell.ConfirmedAt ||
         (Task.MayRunOnUnreportedWorker && Cell.LostUnreportedAt > *Cell.ConfirmedAt);
}

bool isPlaceable(const PlacementPass &Pass, const Job &J, const StepState &Step, uint32_t Index) {
  const TaskState &Task = Step.Tasks[Index];
  const bool MayRun =
      (Task.MayRunOnUnreportedWorker && mayBeOnWorkersOf(J, Pass.UnreportedServices)) ||
      (Task.MayBeStartedByPredecessor && mayBeOnWorkersOf(J, Pass.ReportPendingServices));
  return !Task.Done && !Task.AssignedWorker && !MayRun && Task.NotBefore <= Pass.Now &&
         !awaitsCrashCountSave(Pass.Cell, Task) && !awaitsConfirmation(Pass.Cell, Task) &&
         !hasOrphanedRun(Pass.Cell, {Step.Key, Index});
}

namespace {
// Starts planned attempts that have their resources and their ticket.
void launchSingles(PlacementPass &Pass, const Job &J, StepState &Step) {
  if (Step.PlannedTasks == 0)
    return;
  std::vector<std::string> NoTicket;
  for (uint32_t I = 0; I < Step.Tasks.size() && !isOutOfStarts(Pass); ++I) {
    Worker *W = Step.Tasks[I].AssignedWorker;
    if (!W)
      continue;
    const RunKey Run{{Step.Key, I}, Step.Tasks[I].Run};
    Attempt &A = W->Attempts.at(Run);
    if (A.Phase != AttemptPhase::Planned)
      continue;
    const bool Usable =
        A.IsIsolatedStart ? isEligible(Pass, *W, J, Step) : isUsable(Pass, *W, J, Step);
    if (!Usable || Pass.Now - A.PhaseSince > Pass.Cell.Limits.PlanTimeout)
      dropPlanned(Pass.Cell, *W, Run, Pass.Out);
    else if (!hasTicket(Pass, J, Step, *W))
      NoTicket.push_back(W->Info.Id);
    else if (fits(A.Need, W->Info.Capacity - W->Booked) &&
             (!A.IsIsolatedStart || hasNoOtherStartups(*W, &Run)) &&
             !whyNotStartNow(Pass.Cell, Run, *W, Pass.Now, Pass.Out))
      orderStart(Pass, J, Step, I, *W, A);
  }
  std::sort(NoTicket.begin(), NoTicket.end());
  NoTicket.erase(std::unique(NoTicket.begin(), NoTicket.end()), NoTicket.end());
  requestAdvice(Pass, J, Step, std::move(NoTicket));
}

void updateMeanUrgentNeed(CellState &Cell, const Resources &Need) {
  Resources &Usual = Cell.MeanUrgentNeed;
  Usual.MilliCores += (Need.MilliCores - Usual.MilliCores) / UrgentMeanWeight;
  Usual.MemoryMb += (Need.MemoryMb - Usual.MemoryMb) / UrgentMeanWeight;
}

bool placeSingles(PlacementPass &Pass, const Job &J, StepState &Step) {
  bool Missed = false;
  bool OverQuota = false;
  bool WaitsForSave = false;
  const std::optional<size_t> Most = Pass.Cell.StartsLeft;
  size_t Booked = 0;
  for (uint32_t I = 0; I < Step.Tasks.size() && !Missed; ++I) {
    TaskState &Task = Step.Tasks[I];
    WaitsForSave = WaitsForSave || awaitsCrashCountSave(Pass.Cell, Task);
    if (!isPlaceable(Pass, J, Step, I))
      continue;
    if (Most && Booked >= *Most) {
      Pass.Cell.WasCutShort = true;
      break;
    }
    OverQuota = !isWithinQuota(Pass.Cell, J.Owner, Step.Spec->Need);
    if (OverQuota) {
      Missed = true;
      continue;
    }
    Worker *W = selectWorker(Pass, J, Step, Task);
    const bool Preempts = !W && !needsIsolatedStart(Task) && !Step.Queued->isDeprioritized() &&
                          benefitsFromPreemption(Pass, J, Step);
    if (Preempts)
      W = selectWorkerToPreempt(Pass, J, Step, Task);
    if (!W) {
      Missed = true;
      continue;
    }
    book(Pass.Cell, Step, I, *W, nextRun(Pass.Cell, Step, I), AttemptPhase::Planned, J, Pass.Now);
    ++Booked;
    if (J.Spec->Priority == 0)
      updateMeanUrgentNeed(Pass.Cell, needOf(Step));
    if (Preempts)
      preemptFor(Pass, *W, J.Spec->Priority);
  }
  launchSingles(Pass, J, Step);
  if (Missed && !OverQuota)
    widenSearch(Pass, J, Step);
  Step.WaitReason = OverQuota      ? WaitsForQuota
                    : Missed       ? "no advised worker has room"
                    : WaitsForSave ? WaitsForCrashSave
                                   : "";
  return !Missed;
}

// Returns true if this pass is a full scan.
bool beginFullScan(PlacementPass &Pass) {
  if (Pass.Now < Pass.Cell.NextFullScan)
    return false;
  Pass.Cell.NextFullScan = Pass.Now + FullScanInterval;
  Pass.Cell.FirstUnplaced.reset();
  Pass.Cell.FirstUnplacedOfService.clear();
  beginScan(Pass.Cell.Advice);
  ++Pass.Cell.FullScans;
  return true;
}

// While advice is shared, a waiting step defers only steps of its own service.
void noteUnplaced(PlacementPass &Pass, const Job &J, const QueueKey &Entry) {
  CellState &Cell = Pass.Cell;
  if (Pass.SharesAdvice) {
    const auto [First, New] = Cell.FirstUnplacedOfService.try_emplace(J.Services.Current, Entry);
    if (Entry < First->second)
      First->second = Entry;
  } else if (!Cell.FirstUnplaced || Entry < *Cell.FirstUnplaced)
    Cell.FirstUnplaced = Entry;
}

// True if a step of the queue before \p Entry, or itself, waits for capacity.
bool isBehindUnplaced(const PlacementPass &Pass, const Job &J, const QueueKey &Entry) {
  const CellState &Cell = Pass.Cell;
  if (!Pass.SharesAdvice)
    return Cell.FirstUnplaced && !(Entry < *Cell.FirstUnplaced);
  const auto First = Cell.FirstUnplacedOfService.find(J.Services.Current);
  return First != Cell.FirstUnplacedOfService.end() && !(Entry < First->second);
}

// Begins a new count where another group begins.
void enterGroup(MissCount &Missed, const QueueKey &Entry) {
  if (Entry.group() != Missed.Group)
    Missed = {Entry.group()};
}

void noteTried(MissCount &Missed, bool Placed) { Missed.Misses = Placed ? 0 : Missed.Misses + 1; }

// True if the rest of the group is skipped. While advice is shared, a service is skipped after its
// part of the misses if other services have missed as well, so that the pass does not get longer.
bool isSkipped(const MissCount &OfCell, const MissCount &OfService, size_t Services) {
  const bool ReachedShare = OfService.Misses * static_cast<int>(Services) >= MaxConsecutiveMisses;
  return OfService.Misses >= MaxConsecutiveMisses ||
         (ReachedShare && OfCell.Misses > OfService.Misses);
}

// Sends the first advice request of a step unless its organisation's quota prevents any start.
void requestFirstAdvice(PlacementPass &Pass, const Job &J, StepState &Step) {
  const bool MayStart = isWithinQuota(Pass.Cell, J.Owner, minCharge(*Step.Spec));
  Step.WaitReason = MayStart ? "" : WaitsForQuota;
  if (MayStart && shouldRequestAdvice(Pass, J, Step))
    requestAdviceOnUnknown(Pass, J, Step);
}

// True if the step is left to a later full scan: a step before it waits for capacity, or it is an
// unplaced gang and this full scan skips those.
bool isDeferred(const PlacementPass &Pass, const Job &J, const QueueKey &Entry,
                const StepState &Step, bool IsFullScan) {
  if (Entry.Priority == 0 || Step.PlannedTasks > 0 || Step.Advice.HasNewAnswer)
    return false;
  if (IsFullScan)
    return Step.Spec->Gang && Step.LastPlacementFailed && Pass.Cell.FullScans % 2 != 0;
  return isBehindUnplaced(Pass, J, Entry);
}

// The order in which the pass tries the steps of the queue. While the process can't order all
// starts at once, those that have waited for long go first in some passes: accepted work must not
// starve behind more urgent work that goes on coming.
std::vector<QueueKey> orderOfPass(CellState &Cell, TimePoint Now) {
  std::vector<QueueKey> Order(Cell.Queue.begin(), Cell.Queue.end());
  if (!std::exchange(Cell.WasCutShort, false) || ++Cell.ShortPasses % StarvationPasses != 0)
    return Order;
  const auto Since = [&](const QueueKey &Entry) {
    const StepState *Step = findStep(Cell, Entry.Step);
    return Step ? Step->RunnableSince : Now;
  };
  const auto Aged = std::stable_partition(Order.begin(), Order.end(), [&](const QueueKey &Entry) {
    return Now - Since(Entry) > StarvationBound;
  });
  std::stable_sort(Order.begin(), Aged,
                   [&](const QueueKey &A, const QueueKey &B) { return Since(A) < Since(B); });
  return Order;
}

bool hasUnstartedTasks(const StepState &Step) {
  return Step.PlannedTasks > 0 ||
         std::any_of(Step.Tasks.begin(), Step.Tasks.end(),
                     [](const TaskState &T) { return !T.Done && !T.AssignedWorker; });
}
} // namespace

void place(CellState &Cell, TimePoint Now, Effects &Out) {
  if (!Cell.Loaded)
    return;
  if (std::exchange(Cell.HasUnrequestedSaves, false))
    Out.SaveRequested = true;
  PlacementPass Pass = beginPass(Cell, Now, Out);
  const bool IsFullScan = beginFullScan(Pass);
  MissCount OfCell;
  for (const QueueKey &Entry : orderOfPass(Cell, Now)) {
    if (isOutOfStarts(Pass)) {
      Cell.WasCutShort = true;
      break;
    }
    enterGroup(OfCell, Entry);
    if (!Pass.SharesAdvice && isSkipped(OfCell, OfCell, 1))
      continue;
    StepState *Step = findStep(Cell, Entry.Step);
    if (!Step || !Step->Queued)
      continue;
    Job &J = Cell.Jobs.at(Entry.Step.Job);
    MissCount *OfService = Pass.SharesAdvice ? &serviceOf(Pass, J).Missed : nullptr;
    if (OfService) {
      enterGroup(*OfService, Entry);
      if (isSkipped(OfCell, *OfService, Cell.Services.size()))
        continue;
    }
    if (!hasUnstartedTasks(*Step)) {
      Cell.Queue.erase(*Step->Queued);
      Step->Queued.reset();
      continue;
    }
    if (!Entry.Late && isLate(J, *Step, Now))
      queueStep(Cell, J, *Step, Now); // moves it behind the steps that are in time
    if (isDeferred(Pass, J, Entry, *Step, IsFullScan))
      continue;
    if (!isServiceSaved(Cell, J)) {
      Step->WaitReason = WaitsForServiceSave;
      continue;
    }
    beginStep(Pass, J, *Step);
    if (J.Spec->Advice && Step->Advice.AnsweredSlots.empty()) {
      requestFirstAdvice(Pass, J, *Step);
      Step->LastPlacementFailed = Step->Advice.OutstandingRequests == 0;
      if (Step->LastPlacementFailed)
        noteUnplaced(Pass, J, Entry);
      endStep(Pass, J, *Step);
      continue;
    }
    Step->Advice.HasNewAnswer = false;
    const size_t Before = Out.Starts.size();
    const bool Placed = Step->Spec->Gang ? placeGang(Pass, J, *Step) : placeSingles(Pass, J, *Step);
    notePlaced(Pass, J, *Step, Before);
    Step->LastPlacementFailed = !Placed;
    if (!Placed && Step->Queued) {
      renewTickets(Pass, J, *Step);
      noteUnplaced(Pass, J, Entry);
    }
    endStep(Pass, J, *Step);
    noteTried(OfCell, Placed);
    if (OfService)
      noteTried(*OfService, Placed);
  }
  Pass.CanGetCapacity = true;
  migrateFromLeavingWorkers(Pass);
  if (!isOutOfStarts(Pass))
    startCopies(Pass);
}

} // namespace valveshelf::sched
