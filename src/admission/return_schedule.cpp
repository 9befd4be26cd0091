// SPDX-License-Identifier: Apache-2.0
// Counts promised returns by second.
#include "admission/return_schedule.h"

#include <algorithm>
#include <cmath>

namespace valveshelf::admission {
namespace {
using std::chrono::seconds;

int64_t secondOf(TimePoint At) {
  return std::chrono::floor<seconds>(At.time_since_epoch()).count();
}

void forgetPast(ReturnSchedule &Schedule, TimePoint Now) {
  const int64_t Current = secondOf(Now);
  const int64_t Passed = Current - Schedule.FirstSecond;
  if (Passed <= 0)
    return;
  auto &Counts = Schedule.Counts;
  const auto Shift = std::min<int64_t>(Passed, static_cast<int64_t>(Counts.size()));
  std::move(Counts.begin() + Shift, Counts.end(), Counts.begin());
  std::fill(Counts.end() - Shift, Counts.end(), 0);
  Schedule.FirstSecond = Current;
}

// Distributes a fractional rate over the seconds: the sum over any span is the rate times the
// span, rounded.
uint32_t partOf(int64_t Second, const ReturnBounds &Bounds) {
  const auto Through = [&](int64_t To) {
    return std::floor(Bounds.PerSecond * static_cast<double>(To) + Bounds.Phase);
  };
  return static_cast<uint32_t>(std::max(0.0, Through(Second + 1) - Through(Second)));
}
} // namespace

PromisedReturn promiseReturn(ReturnSchedule &Schedule, const ReturnBounds &Bounds, TimePoint Now) {
  forgetPast(Schedule, Now);
  const seconds Horizon = std::clamp(Bounds.Horizon, seconds(1), MaxReturnHorizon);
  TimePoint Earliest = Now + Bounds.Earliest;
  // A return beyond this job's horizon, promised to a job with a longer one, does not bind it.
  if (Schedule.Last <= Now + Horizon)
    Earliest = std::max(Earliest, Schedule.Last);
  seconds After = std::max(seconds(1), std::chrono::ceil<seconds>(Earliest - Now));
  for (; After <= Horizon; ++After) {
    const int64_t Second = secondOf(Now + After);
    uint32_t &Count = Schedule.Counts.at(static_cast<size_t>(Second - Schedule.FirstSecond));
    if (Count >= partOf(Second, Bounds))
      continue;
    ++Count;
    Schedule.Last = std::max(Schedule.Last, Now + After);
    return {After, Now + After, true};
  }
  ++Schedule.BeyondPart;
  Schedule.Last = std::max(Schedule.Last, Now + Horizon);
  return {Horizon, Now + Horizon, false};
}

uint32_t promisedIn(const ReturnSchedule &Schedule, seconds Ahead, TimePoint Now) {
  const int64_t Slot = secondOf(Now) + Ahead.count() - Schedule.FirstSecond;
  return Slot >= 0 && Slot < static_cast<int64_t>(Schedule.Counts.size())
             ? Schedule.Counts[static_cast<size_t>(Slot)]
             : 0;
}

} // namespace valveshelf::admission
