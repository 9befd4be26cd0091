// SPDX-License-Identifier: Apache-2.0
// The rules on the runs of one task: how many may exist at once, and from when on none may start.
#pragma once

#include "valveshelf/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

namespace valveshelf::standins {

/// Starts of a speculative task that were already under way are tolerated for so long after the
/// task is over.
inline constexpr Milliseconds SpeculativeStartGrace{1000};

/// What the submitted step says about the runs of its tasks.
struct TaskRules {
  bool Speculative = false;
  uint32_t MaxAttempts = 0; ///< 0: unknown, and not judged.
  bool Lasting = false;     ///< Started again however its runs end: no end forbids a start.
};

/// What is known of a task when one of its runs starts.
struct TaskHistory {
  std::optional<TimePoint> DoneNotedAt;      ///< A worker was told to forget an end `done`.
  std::optional<TimePoint> CompletedShownAt; ///< Its job was shown as completed.
  std::set<uint32_t> FailedRuns;             ///< Whose ends workers were told to forget.
  std::optional<TimePoint> LastAttemptAt;    ///< When the last of MaxAttempts was noted.
  std::map<uint32_t, TimePoint> DoneRuns;    ///< The runs that ended `done`, and when.
  std::map<uint32_t, TimePoint> StartedRuns; ///< When each run started last.
};

/// Notes that the end `failed` of a run may be forgotten.
void noteFailure(TaskHistory &Task, const TaskRules &Rules, uint32_t Run, TimePoint Now);

/// Notes that the end `done` of a run may be forgotten. Returns the runs that started between that
/// end and now, which it forbids: none if the worker's lease lapsed since the end, last at
/// \p LapsedAt.
std::vector<uint32_t> noteDone(TaskHistory &Task, const TaskRules &Rules, uint32_t Run,
                               TimePoint LapsedAt, TimePoint Now);

/// Other runs of a task at the start of one.
struct OtherRuns {
  uint32_t OnThisWorker = 0;
  uint32_t OnOtherWorkers = 0;
};

/// The rules that a start breaks, in words.
std::vector<std::string_view> violationsOfStart(const TaskRules &Rules, const TaskHistory &Task,
                                                const OtherRuns &Others, TimePoint Now);

} // namespace valveshelf::standins
