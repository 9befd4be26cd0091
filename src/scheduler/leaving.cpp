// SPDX-License-Identifier: Apache-2.0
// Moves runs away from workers that drain, have left the platform's list, or are in an availability
// zone under evacuation, if there is room elsewhere.
#include "scheduler/copies.h"

#include <algorithm>

namespace valveshelf::sched {
namespace {
// Workers announce at least two seconds ahead that they leave.
constexpr Milliseconds DrainCheckInterval{100};
// A worker that answers but has been unlisted for this time is treated as leaving. Entries that
// expired during an outage of the store return within two seconds of its end.
constexpr Milliseconds UnlistedGraceTime{2500};

// A long-running task serves once it reports this progress.
constexpr int ServingPercent = 100;

// Number of tasks of a long-running step that are not serving.
uint32_t countNotServing(const StepState &Step) {
  uint32_t NotServing = 0;
  for (uint32_t I = 0; I < Step.Tasks.size(); ++I) {
    const Attempt *Entry = attemptOf(Step, I);
    const bool Serves =
        Entry && Entry->Phase == AttemptPhase::Running && Entry->Percent >= ServingPercent;
    NotServing += Serves ? 0 : 1;
  }
  return NotServing;
}

// True if the run would be lost with its worker and can be moved.
bool shouldMove(const PlacementPass &In, const StepState &Step, const Worker &On,
                const RunKey &Run) {
  const Attempt &Entry = On.Attempts.at(Run);
  const StepSpec &Spec = *Step.Spec;
  if (Entry.Phase != AttemptPhase::Running || Spec.Gang)
    return false;
  if (Spec.LongRunning)
    return Spec.MaxUnavailable == 0 || countNotServing(Step) < Spec.MaxUnavailable;
  if (!Spec.Checkpointable && !Entry.IsCopy && !Step.Tasks[Run.Task.Index].Copy.On)
    return false;
  const Milliseconds Left = Entry.Expected * (100 - Entry.Percent) / 100;
  // An evacuated zone has no announced end: move only runs that would take longer to end than to
  // move.
  return On.Info.Draining || !On.InEvacuatedZone ? In.Now + Left > On.LeavesAt
                                                 : Left > In.Cell.Limits.PreemptionMargin;
}

// True if a worker with room, and a valid ticket if it needs one, is ready to take the run.
// Requests missing advice and tickets.
bool hasPlaceElsewhere(PlacementPass &In, const Job &Of, StepState &Step, const TaskState &Task) {
  const Worker *To = selectWorker(In, Of, Step, Task);
  if (!To)
    requestAdviceOnUnknown(In, Of, Step); // a takeover loses the advice for running steps
  else if (hasTicket(In, Of, Step, *To))
    return true;
  else
    requestAdvice(In, Of, Step, {To->Info.Id});
  return false;
}

bool isLeaving(const PlacementPass &In, const Worker &On) {
  const bool Missing = !On.Listed && In.Now - On.UnlistedAt > UnlistedGraceTime;
  return On.HasReported && On.IsResponsive && (On.Info.Draining || On.InEvacuatedZone || Missing);
}

void moveIfNeeded(PlacementPass &In, Worker &On, const RunKey &Run) {
  StepState *Step = findStep(In.Cell, Run.Task.Step);
  if (!Step || Run.Task.Index >= Step->Tasks.size() || !shouldMove(In, *Step, On, Run))
    return;
  const Job &Of = In.Cell.Jobs.at(Step->Key.Job);
  const TaskState &Task = Step->Tasks[Run.Task.Index];
  if (Of.Phase == JobPhase::Live &&
      (Task.Copy.On ? continuesElsewhere(*Step, Run) : hasPlaceElsewhere(In, Of, *Step, Task)))
    stopAttempt(In.Cell, On, Run,
                On.InEvacuatedZone ? "its availability zone is being evacuated"
                                   : "its worker leaves",
                In.Now, In.Out);
}
} // namespace

// Stops a run on a leaving worker as soon as there is room elsewhere. Otherwise a long-running
// task would be down until the worker's lease expires, and a takeover would hold back all earlier
// work of the service for as long.
void migrateFromLeavingWorkers(PlacementPass &In) {
  if (In.Now < In.Cell.NextLeaveScan)
    return;
  In.Cell.NextLeaveScan = In.Now + DrainCheckInterval;
  for (auto &[Id, On] : In.Cell.Workers) {
    if (!isLeaving(In, On))
      continue;
    std::vector<RunKey> Runs; // a stop may remove entries of the map
    Runs.reserve(On.Attempts.size());
    for (const auto &[Run, Entry] : On.Attempts)
      Runs.push_back(Run);
    for (const RunKey &Run : Runs)
      moveIfNeeded(In, On, Run);
  }
}

} // namespace valveshelf::sched
