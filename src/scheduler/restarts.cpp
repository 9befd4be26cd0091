// SPDX-License-Identifier: Apache-2.0
// Exponential backoff between the starts of a long-running task whose runs are short.
#include "scheduler/restarts.h"

#include <algorithm>

namespace valveshelf::sched {
namespace {
// After the first short run, which tells little: the next worker may be a better one.
constexpr Milliseconds MinRestartInterval{100};
} // namespace

Milliseconds restartInterval(uint32_t ShortRuns) {
  if (ShortRuns == 0)
    return Milliseconds(0);
  Milliseconds Interval = MinRestartInterval;
  for (uint32_t I = 1; I < ShortRuns && Interval < MaxRestartInterval; ++I)
    Interval *= 2;
  return std::min(Interval, MaxRestartInterval);
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
  // A run of an earlier scheduler that ended before this one knew it counts as short.
  TimePoint Began = Now;
  if (const auto Found = On.Attempts.find(End.Run); Found != On.Attempts.end())
    Began =
        Found->second.StartedAt == TimePoint{} ? Found->second.PhaseSince : Found->second.StartedAt;
  Restarts.ShortRuns = Now - Began < MaxRestartInterval ? Restarts.ShortRuns + 1 : 0;
  TaskState &Task = Step->Tasks[Step->Spec->Gang ? 0 : End.Run.Task.Index];
  Task.NotBefore = std::max(Task.NotBefore, Began + restartInterval(Restarts.ShortRuns));
  const auto Millis = [](Steady::duration Time) {
    return std::max(Milliseconds(0), std::chrono::duration_cast<Milliseconds>(Time));
  };
  Out.LastingRunEnds.push_back({End.Run, On.Info.Id, End.Outcome, Millis(Now - Began),
                                Restarts.ShortRuns, Millis(Task.NotBefore - Now)});
}

} // namespace valveshelf::sched
