// SPDX-License-Identifier: Apache-2.0
// What the steps of the queue wait for, as operators see it.
#include "scheduler/crash_count.h"
#include "scheduler/job_services.h"
#include "scheduler/pass.h"

namespace valveshelf::sched {

static WaitCause causeOf(const StepState &Step) {
  if (Step.Advice.OutstandingRequests > 0)
    return WaitCause::Advice;
  if (Step.WaitReason == WaitsForQuota)
    return WaitCause::Quota;
  if (Step.WaitReason == WaitsForCrashSave || Step.WaitReason == WaitsForServiceSave)
    return WaitCause::Save;
  return Step.LastPlacementFailed ? WaitCause::Capacity : WaitCause::Turn;
}

std::array<uint32_t, WaitCauseNames.size()> countWaitingSteps(const CellState &Cell) {
  std::array<uint32_t, WaitCauseNames.size()> Counts{};
  for (const auto &[Id, Of] : Cell.Jobs)
    for (const auto &[Number, Round] : Of.Rounds)
      for (const StepState &Step : Round.Steps)
        if (Step.Queued)
          ++Counts[static_cast<size_t>(causeOf(Step))];
  return Counts;
}

} // namespace valveshelf::sched
