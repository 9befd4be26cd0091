// SPDX-License-Identifier: Apache-2.0
// State and functions of one placement pass, shared by placement, advice, gangs, organisations and
// the moving of work off leaving workers. Private to this directory.
#pragma once

#include "valveshelf/cell_state.h"

namespace valveshelf::sched {

/// Counts consecutive unplaced steps of one group of the queue.
struct MissCount {
  QueueKey::GroupKey Group = QueueKey{}.group();
  int Misses = 0;
};

/// The steps of one service in a placement pass. Used while advice is shared.
struct ServicePass {
  const ServiceLoad *Load = nullptr; ///< Null: unknown.
  MissCount Missed;
  Resources Ahead; ///< Needed by the steps tried before, as far as they can get capacity.
  bool HasNotedShortage = false;
};

/// One placement pass over the queue.
struct PlacementPass {
  CellState &Cell;
  TimePoint Now;
  Effects &Out;
  std::set<std::string> UnreportedServices;    ///< Services with an unreported worker of an earlier
                                               ///< scheduler,
  std::set<std::string> ReportPendingServices; ///< and those with one whose first call is neither
                                               ///< answered nor failed.
  bool KeepsUrgentReserve = false;             ///< Capacity for urgent tasks is scarce in the cell.
  std::optional<Resources> MaxFree;            ///< Cached result of `maxFree`.
  bool SharesAdvice = false; ///< Capacity for advice requests is shared between services.
  std::map<std::string, ServicePass> Services{}; ///< While advice is shared.
  /// By organisation: what its steps in `ServicePass::Ahead` need.
  std::map<const OrganisationState *, Resources> AheadOfOwner{};
  /// The step being tried can get capacity while a ticket that it asks for now is valid, as far as
  /// is known.
  bool CanGetCapacity = true;
};

// Organisations (organisations.cpp).

/// `StepState::WaitReason` of a step whose organisation has no quota left.
inline constexpr const char *WaitsForQuota = "its organisation's quota";
/// The quota that the smallest start of the step takes: one task, or a whole gang.
Resources minCharge(const StepSpec &Step);
/// Computes `OrganisationState::UnreportedUsage`.
void chargeUnreported(PlacementPass &Pass);

// Free capacity (rooms.cpp).

/// True if the cell has little free capacity for further urgent tasks.
bool isUrgentCapacityScarce(CellState &Cell);
/// In each dimension, the most that any worker had free and unclaimed by advice requests when the
/// pass first asked.
const Resources &maxFree(PlacementPass &Pass);
bool hasLabel(const WorkerInfo &Info, const std::string &Label);
/// True if the worker is reachable, takes work and meets the step's constraints other than size.
bool isEligible(const PlacementPass &Pass, const Worker &W, const Job &J, const StepState &Step);
/// True if the worker is eligible and no isolated start is in progress there.
bool isUsable(const PlacementPass &Pass, const Worker &W, const Job &J, const StepState &Step);
/// The resources that one task of the step takes on a worker.
Resources needOf(const StepState &Step);
/// The resources of the worker that the step may still take.
Resources freeCapacityFor(const PlacementPass &Pass, const Worker &W, const Job &J,
                          const StepState &Step);
uint32_t countTasksOn(const StepState &Step, const Worker &W);
/// True if the worker holds as many tasks of the step as `StepSpec::MaxPerWorker` allows.
bool isAtTaskLimit(const StepState &Step, const Worker &W);
/// True if the step can still meet its objective after waiting for other runs to be stopped.
bool benefitsFromPreemption(const PlacementPass &Pass, const Job &J, const StepState &Step);
/// The resources that preempting runs less urgent than \p Priority would free.
Resources preemptibleResources(const PlacementPass &Pass, const Worker &W, int Priority);
/// Preempts runs less urgent than \p Priority, copies first and then the newest first, until
/// everything planned on the worker fits.
void preemptFor(PlacementPass &Pass, Worker &W, int Priority);
/// The best worker with free capacity for the task; null if there is none.
Worker *selectWorker(PlacementPass &Pass, const Job &J, StepState &Step, const TaskState &Task);
/// The worker with the most capacity after preemption if the task fits there; null if there is
/// none.
Worker *selectWorkerToPreempt(PlacementPass &Pass, const Job &J, StepState &Step,
                              const TaskState &Task);
/// True if the task failed on the worker within `SchedulerLimits::FailureAvoidanceTime`.
bool hasRecentlyFailedOn(const PlacementPass &Pass, const TaskState &Task, const Worker &W);

// Advice (advice.cpp).

/// True if the step needs no ticket there or has one that stays valid for \p Time.
bool hasTicket(const PlacementPass &Pass, const Job &J, const StepState &Step, const Worker &W,
               Milliseconds Time = Milliseconds(0));
/// Time from a request about \p Workers workers until its answer can be used, without queueing.
Milliseconds adviceLatency(const PlacementPass &Pass, const Job &J, const StepState &Step,
                           size_t Workers);
/// True if capacity for advice requests is shared between services.
bool sharesAdvice(const CellState &Cell);
/// The service of the job. Call only while advice is shared.
ServicePass &serviceOf(PlacementPass &Pass, const Job &J);
/// Sets `PlacementPass::CanGetCapacity` for the step that is tried next.
void beginStep(PlacementPass &Pass, const Job &J, const StepState &Step);
/// Adds what the step still needs after it was tried to `ServicePass::Ahead`.
void endStep(PlacementPass &Pass, const Job &J, const StepState &Step);
/// True if `requestAdvice` would send a request of the step now.
bool canRequestAdvice(const PlacementPass &Pass, const Job &J, const StepState &Step);
/// True if the step may be planned on the worker: it has a ticket or can request one now.
bool canPlan(const PlacementPass &Pass, const Job &J, const StepState &Step, const Worker &W);
/// Requests advice on the workers if the step may do so now, in one or more requests.
void requestAdvice(PlacementPass &Pass, const Job &J, StepState &Step,
                   std::vector<std::string> Workers);
/// Requests advice on workers without an answer yet, those with the most free capacity first.
void requestAdviceOnUnknown(PlacementPass &Pass, const Job &J, StepState &Step);
/// Renews the tickets of a step that waits for capacity.
void renewTickets(PlacementPass &Pass, const Job &J, StepState &Step);
/// Looks for further workers for a step that fits none of the advised ones.
void widenSearch(PlacementPass &Pass, const Job &J, StepState &Step);
/// False while every task of the step may turn out to run on a worker whose first report is
/// pending.
bool shouldRequestAdvice(const PlacementPass &Pass, const Job &J, const StepState &Step);

/// Calls \p Visit with each worker on which the step may run by advice.
template <class Visitor>
void forEachAdvisedWorker(PlacementPass &Pass, const Job &J, const StepState &Step, Visitor Visit) {
  if (!J.Spec->Advice) {
    for (auto &[Id, W] : Pass.Cell.Workers)
      Visit(W);
    return;
  }
  for (const AdviceState::Permit &Permit : Step.Advice.Permits)
    if (Worker *W = Pass.Cell.Slots[Permit.Slot])
      Visit(*W);
}

// Single tasks and gangs (placement.cpp, gangs.cpp).

/// `StepState::WaitReason` of a step with a task whose crash count is being saved.

/// True if the task needs an attempt and can't be running anywhere.
bool isPlaceable(const PlacementPass &Pass, const Job &J, const StepState &Step, uint32_t Index);
/// True if a worker runs the task without its job having been known; it is being stopped there.
bool hasOrphanedRun(const CellState &Cell, const TaskKey &Task);
uint32_t nextRun(const CellState &Cell, const StepState &Step, uint32_t Index);
/// True if the pass may order no further start.
bool isOutOfStarts(const PlacementPass &Pass);
/// Orders the start of a task that is planned on the worker.
void orderStart(PlacementPass &Pass, const Job &J, StepState &Step, uint32_t Index, Worker &W,
                Attempt &A);
/// Plans a gang, or launches one that is planned. Returns false if it did neither.
bool placeGang(PlacementPass &Pass, const Job &J, StepState &Step);

// Leaving workers (leaving.cpp).

/// Stops runs on leaving workers that can continue on another worker now.
void migrateFromLeavingWorkers(PlacementPass &Pass);

} // namespace valveshelf::sched
