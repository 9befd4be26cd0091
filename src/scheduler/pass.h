// SPDX-License-Identifier: Apache-2.0
// One pass of placement, shared by its parts: rooms, advice, gangs and work that moves. Only the
// files of this folder include it.
#pragma once

#include "valveshelf/cell_state.h"

namespace valveshelf::sched {

/// One pass of placement over the queue.
struct PlacementPass {
  CellState &Cell;
  TimePoint Now;
  Effects &Out;
  std::set<std::string> UnreportedServices; ///< Services with a worker of the scheduler before that
                                            ///< was not heard yet,
  std::set<std::string>
      ReportPendingServices;        ///< and with one that has neither answered nor failed to.
  bool KeepsUrgentReserve = false;  ///< Room for urgent tasks is scarce in the cell.
  std::optional<Resources> MaxFree; ///< In each dimension, the most that any worker had free; read
                                    ///< by the first that asks (mostFree).
};

// Organisations (organisations.cpp).

/// Why a step waits whose organisation has as much running as it may.
inline constexpr const char *WaitsForQuota = "its organisation's quota";
/// The least that can start of the step at a time: one task, or a whole gang.
Resources minCharge(const StepSpec &Step);
/// Notes what organisations may have running on workers that were not heard yet.
void chargeUnreported(PlacementPass &Pass);

// Free capacity (rooms.cpp).

/// True if little of the cell's free room is left to urgent tasks.
bool isUrgentCapacityScarce(CellState &Cell);
/// In each dimension, the most that any worker had free, and no question under way claimed, when
/// the pass first asked.
const Resources &maxFree(PlacementPass &Pass);
bool hasLabel(const WorkerInfo &Info, const std::string &Label);
/// True if the worker is there and fit for the step.
bool isEligible(const PlacementPass &Pass, const Worker &W, const Job &J, const StepState &Step);
/// The same, and nothing begins there that has to begin apart.
bool isUsable(const PlacementPass &Pass, const Worker &W, const Job &J, const StepState &Step);
/// What one task of the step takes of a worker.
Resources needOf(const StepState &Step);
/// What the step may still take of the worker.
Resources freeCapacityFor(const PlacementPass &Pass, const Worker &W, const Job &J,
                          const StepState &Step);
uint32_t countTasksOn(const StepState &Step, const Worker &W);
/// True if the worker holds as many tasks of the step as it may.
bool isAtTaskLimit(const StepState &Step, const Worker &W);
/// True if the step can meet its objective though others have to be stopped first.
bool benefitsFromPreemption(const PlacementPass &Pass, const Job &J, const StepState &Step);
/// What stopping work less urgent than \p Priority would free.
Resources preemptibleResources(const PlacementPass &Pass, const Worker &W, int Priority);
/// Stops the work that loses least until what is planned on the worker has its room.
void preemptFor(PlacementPass &Pass, Worker &W, int Priority);
/// The best worker with free room for the task; null: none.
Worker *selectWorker(PlacementPass &Pass, const Job &J, StepState &Step, const TaskState &Task);
/// A worker where stopping less urgent work makes room; null: none.
Worker *selectWorkerToPreempt(PlacementPass &Pass, const Job &J, StepState &Step,
                              const TaskState &Task);
/// True if the task has just failed on the worker and goes elsewhere for a while.
bool hasRecentlyFailedOn(const PlacementPass &Pass, const TaskState &Task, const Worker &W);

// Advice (advice.cpp).

/// True if the step needs no ticket there or has one that is valid for \p Time from now.
bool hasTicket(const PlacementPass &Pass, const Job &J, const StepState &Step, const Worker &W,
               Milliseconds Time = Milliseconds(0));
/// From asking about so many workers until the answers can be used, when no lane is waited for.
Milliseconds adviceLatency(const PlacementPass &Pass, const Job &J, const StepState &Step,
                           size_t Workers);
/// True if a question of the step would be asked at once.
bool canRequestAdvice(const PlacementPass &Pass, const Job &J, const StepState &Step);
/// True if the step may be planned on the worker: it has a ticket, or one can be asked for now.
bool canPlan(const PlacementPass &Pass, const Job &J, const StepState &Step, const Worker &W);
/// Asks about the workers, unless the step's last question is still under way.
void requestAdvice(PlacementPass &Pass, const Job &J, StepState &Step,
                   std::vector<std::string> Workers);
/// Asks about workers of which nothing is known yet, those with the most room first.
void requestAdviceOnUnknown(PlacementPass &Pass, const Job &J, StepState &Step);
/// Keeps tickets valid for a step that waits for room.
void renewTickets(PlacementPass &Pass, const Job &J, StepState &Step);
/// A step found no place among the workers known to be good for it.
void widenSearch(PlacementPass &Pass, const Job &J, StepState &Step);
/// True if the step is worth a question now.
bool shouldRequestAdvice(const PlacementPass &Pass, const Job &J, const StepState &Step);

/// Calls \p Visit with each worker on which advice lets the step run.
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

/// Why a step waits whose task may have crashed a worker.
inline constexpr const char *WaitsForCrashSave = "what crashed under it is being saved";

bool isPlaceable(const PlacementPass &Pass, const Job &J, const StepState &Step, uint32_t Index);
uint32_t nextRun(const CellState &Cell, const StepState &Step, uint32_t Index);
/// Orders the start of a task that is planned on the worker.
void orderStart(PlacementPass &Pass, const Job &J, StepState &Step, uint32_t Index, Worker &W,
                Attempt &A);
/// Plans or launches a gang; false if it found no room.
bool placeGang(PlacementPass &Pass, const Job &J, StepState &Step);

// Workers that leave (leaving.cpp).

/// Stops work that a leaving worker would take with it, where there is a place for it elsewhere.
void migrateFromLeavingWorkers(PlacementPass &Pass);

} // namespace valveshelf::sched
