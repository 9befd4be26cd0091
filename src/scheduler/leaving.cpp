// SPDX-License-Identifier: Apache-2.0
// Work on workers that leave, or whose availability zone is emptied, goes on elsewhere if there is
// a place for it.
#include "scheduler/pass.h"

#include <algorithm>

namespace valveshelf::sched {
namespace {
// Work on workers that leave is looked for this often; they announce it two seconds before or more.
constexpr Milliseconds DrainCheckInterval{100};
// Some leave without a word: a worker that answers and is missing in the list for so long is taken
// to leave. Entries that lapsed with the store's outage are back within two seconds of its end.
constexpr Milliseconds UnlistedGraceTime{2500};

// A lasting task that was started is at work from when it says so.
constexpr int ServingPercent = 100;

// Tasks of a lasting step that do not serve just now.
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

// True if the run would be lost with its worker and can go on elsewhere.
bool shouldMove(const PlacementPass &In, const StepState &Step, const Worker &On,
                const Attempt &Entry) {
  const StepSpec &Spec = *Step.Spec;
  if (Entry.Phase != AttemptPhase::Running || Spec.Gang)
    return false;
  if (Spec.LongRunning)
    return Spec.MaxUnavailable == 0 || countNotServing(Step) < Spec.MaxUnavailable;
  if (!Spec.Checkpointable)
    return false;
  const Milliseconds Left = Entry.Estimate * (100 - Entry.Percent) / 100;
  // Nobody says when a zone that is emptied goes: what would take longer to move than to end stays.
  return On.Info.Draining || !On.InEvacuatedZone ? In.Now + Left > On.LeavesAt
                                                 : Left > In.Cell.Limits.PreemptionMargin;
}

// A place for a run that is to be moved, ready to be taken. Advice and tickets that are missing are
// asked for.
bool hasPlaceElsewhere(PlacementPass &In, const Job &Of, StepState &Step, const TaskState &Task) {
  const Worker *To = selectWorker(In, Of, Step, Task);
  if (!To)
    requestAdviceOnUnknown(In, Of, Step); // after a takeover nothing is known of steps that run
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
  if (!Step || Run.Task.Index >= Step->Tasks.size() ||
      !shouldMove(In, *Step, On, On.Attempts.at(Run)))
    return;
  const Job &Of = In.Cell.Jobs.at(Step->Key.Job);
  if (Of.Phase == JobPhase::Live && hasPlaceElsewhere(In, Of, *Step, Step->Tasks[Run.Task.Index]))
    stopAttempt(In.Cell, On, Run,
                On.InEvacuatedZone ? "its availability zone is emptied" : "its worker leaves",
                In.Now, In.Out);
}
} // namespace

// Work that a leaving worker would take with it is stopped as soon as there is a place for it.
// Otherwise a lasting task is away until the worker's lease is over (5 s), and a takeover meanwhile
// holds all old work of the service back for as long.
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
