// SPDX-License-Identifier: Apache-2.0
// The service of a job after its queue was sent to another one. Private to src/scheduler.
//
// Two questions have answers of their own. Where may its tasks be started next: on workers of the
// service that the newest known configuration names for its queue. Where may a run of it be: on
// workers of each service on which some scheduler may have started it. The second is needed at a
// takeover, when a run on a worker that can't be reached must not be started again elsewhere. It is
// therefore durable before the first start on a new service, so that only the workers of those
// services, and not of all that the cell has, hold the job back.
#pragma once

#include "valveshelf/cell_state.h"

namespace valveshelf::sched {

/// `StepState::WaitReason` of a step whose job has moved to a service that is not durable yet.
inline constexpr const char *WaitsForServiceSave = "the new service of its queue is being saved";

/// Moves the job to the service of its queue. Keeps its service if that was named by a newer
/// configuration than the one that is known here, or if its queue is not in the configuration.
void updateServices(CellState &Cell, Job &J, TimePoint Now);
/// Takes over the services of the queues, and moves the jobs of those that have changed.
void applyQueueServices(CellState &Cell, const CellConfiguration &Config);
/// True if a start of the job on a worker of its present service may be ordered.
bool isServiceSaved(const CellState &Cell, const Job &J);
/// True if an earlier scheduler may have started the job on a worker of one of these services.
bool mayBeOnWorkersOf(const Job &J, const std::set<std::string> &Services);
/// Adds a save of the job. The caller sees to it that it is requested.
void addSave(CellState &Cell, Job &J);

/// Calls \p Visit with each service on whose workers tasks of the step are booked, and how many.
/// May name a service several times.
template <class Visitor>
void forEachServiceInUse(const Job &J, const StepState &Step, Visitor Visit) {
  if (Step.BookedTasks == 0)
    return;
  if (J.Services.Used.size() == 1)
    return Visit(J.Services.Current, Step.BookedTasks);
  for (const TaskState &Task : Step.Tasks)
    if (Task.AssignedWorker)
      Visit(Task.AssignedWorker->Info.Service, 1U);
}

} // namespace valveshelf::sched
