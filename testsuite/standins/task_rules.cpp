// SPDX-License-Identifier: Apache-2.0
// Judges the start of a run by the rules of its step.
#include "standins/task_rules.h"

namespace valveshelf::standins {

void noteFailure(TaskHistory &Task, const TaskRules &Rules, uint32_t Run, TimePoint Now) {
  if (Rules.Lasting)
    return;
  Task.FailedRuns.insert(Run);
  if (Rules.MaxAttempts > 0 && Task.FailedRuns.size() >= Rules.MaxAttempts && !Task.LastAttemptAt)
    Task.LastAttemptAt = Now;
}

std::vector<uint32_t> noteDone(TaskHistory &Task, const TaskRules &Rules, uint32_t Run,
                               TimePoint LapsedAt, TimePoint Now) {
  std::vector<uint32_t> TooLate;
  if (Rules.Lasting)
    return TooLate;
  const auto EndedAt = Task.DoneRuns.find(Run);
  if (!Rules.Speculative && !Task.DoneNotedAt && EndedAt != Task.DoneRuns.end() &&
      LapsedAt < EndedAt->second)
    for (const auto &[Other, StartedAt] : Task.StartedRuns)
      if (Other != Run && StartedAt > EndedAt->second)
        TooLate.push_back(Other);
  if (!Task.DoneNotedAt)
    Task.DoneNotedAt = Now;
  return TooLate;
}

std::vector<std::string_view> violationsOfStart(const TaskRules &Rules, const TaskHistory &Task,
                                                const OtherRuns &Others, TimePoint Now) {
  std::vector<std::string_view> Broken;
  const auto IsOver = [&](const std::optional<TimePoint> &Since) {
    return Since && (!Rules.Speculative || Now - *Since > SpeculativeStartGrace);
  };
  if (!Rules.Speculative && Others.OnOtherWorkers > 0)
    Broken.push_back("task in two places");
  if (!Rules.Speculative && Others.OnThisWorker > 0)
    Broken.push_back("task twice on a worker");
  if (Rules.Speculative && Others.OnThisWorker + Others.OnOtherWorkers > 1)
    Broken.push_back("speculative task in three places");
  if (IsOver(Task.DoneNotedAt))
    Broken.push_back("started after its end was let go");
  if (IsOver(Task.CompletedShownAt))
    Broken.push_back("started after its job was shown as completed");
  if (IsOver(Task.LastAttemptAt))
    Broken.push_back("started after its last attempt had failed");
  return Broken;
}

} // namespace valveshelf::standins
