// SPDX-License-Identifier: Apache-2.0
// Limits the rate of the restarts of a long-running task.
#include "scheduler/restarts.h"

#include <algorithm>

namespace valveshelf::sched {
TimePoint payForRestart(RestartState &Restarts, TimePoint Began) {
  Restarts.PaidUntil = std::max(Restarts.PaidUntil, Began) + RestartInterval;
  return Restarts.PaidUntil - RestartInterval * RestartBurst;
}

RestartState &restartsOf(StepState &Step, uint32_t Index) {
  return Step.Tasks[Step.Spec->Gang ? 0 : Index].Restarts;
}

void paceRestart(CellState &Cell, const Worker &On, const EndedRun &End, TimePoint Now,
                 Effects &Out) {
  StepState *Step = findStep(Cell, End.Run.Task.Step);
  const bool EndedByItself = End.Outcome == RunOutcome::Done || End.Outcome == RunOutcome::Failed;
  if (!Step || !Step->Spec->LongRunning || End.Run.Task.Index >= Step->Tasks.size() ||
      !EndedByItself)
    return;
  RestartState &Restarts = restartsOf(*Step, End.Run.Task.Index);
  if (End.Run.Run <= Restarts.PacedRun)
    return; // another member of the gang has ended before
  Restarts.PacedRun = End.Run.Run;
  // Of a run that an earlier scheduler started and this one has not seen, no more is known.
  TimePoint Began = Now;
  if (const auto Found = On.Attempts.find(End.Run); Found != On.Attempts.end())
    Began =
        Found->second.StartedAt == TimePoint{} ? Found->second.PhaseSince : Found->second.StartedAt;
  TaskState &Task = Step->Tasks[Step->Spec->Gang ? 0 : End.Run.Task.Index];
  Task.NotBefore = std::max(Task.NotBefore, payForRestart(Restarts, Began));
  const auto Millis = [](Steady::duration Time) {
    return std::max(Milliseconds(0), std::chrono::duration_cast<Milliseconds>(Time));
  };
  Out.LastingRunEnds.push_back(
      {End.Run, On.Info.Id, End.Outcome, Millis(Now - Began), Millis(Task.NotBefore - Now)});
}

} // namespace valveshelf::sched
