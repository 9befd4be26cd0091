// SPDX-License-Identifier: Apache-2.0
// Decides which of two statements about a worker is of the newer life.
#include "valveshelf/worker_life.h"

#include <algorithm>

namespace valveshelf::sched {

namespace {
bool isStated(WallTime Born) { return Born != WallTime{}; }
// Of readings in whole milliseconds.
constexpr Milliseconds ClockRounding{2};
} // namespace

LifeOrder compareLives(const WorkerLife &Known, const LifeStatement &Stated) {
  if (isStated(Known.Born) && isStated(Stated.Born) && Known.Born != Stated.Born) {
    const bool AskedLater = Stated.AskedAt && *Stated.AskedAt > Known.LearnedAt;
    return AskedLater || Stated.Born > Known.Born ? LifeOrder::Newer : LifeOrder::Older;
  }
  if (!Stated.Clock || *Stated.Clock >= Known.Clock)
    return LifeOrder::Same;
  const bool AskedLater = Stated.AskedAt && *Stated.AskedAt > Known.ClockReadAt;
  return AskedLater ? LifeOrder::Newer : LifeOrder::Older;
}

bool contradictsClock(const WorkerLife &Known, Milliseconds Clock, TimePoint AskedAt,
                      TimePoint AnsweredAt, double Drift) {
  if (Known.ClockReadAt == TimePoint{} || AskedAt < Known.ClockReadAt)
    return false;
  using FloatMilliseconds = std::chrono::duration<double, std::milli>;
  const FloatMilliseconds Passed = Clock - Known.Clock;
  // The rates of two clocks, this one and the worker's, can differ by twice the error.
  const FloatMilliseconds Least = (AskedAt - Known.ClockReadAt) * (1 - 2 * Drift);
  const FloatMilliseconds Most = (AnsweredAt - Known.ClockAskedAt) * (1 + 2 * Drift);
  return Passed < Least - ClockRounding || Passed > Most + ClockRounding;
}

void noteLife(WorkerLife &Known, const LifeStatement &Stated, TimePoint Now) {
  if (compareLives(Known, Stated) == LifeOrder::Newer)
    Known = {Stated.Born, Now};
  // Answers that state no start may have been of an earlier life.
  const bool IsFirstStart = isStated(Stated.Born) && !isStated(Known.Born);
  if (Known.LearnedAt == TimePoint{} || IsFirstStart)
    Known.LearnedAt = Now;
  if (isStated(Stated.Born))
    Known.Born = Stated.Born;
  if (Stated.Clock && *Stated.Clock >= Known.Clock) {
    Known.Clock = *Stated.Clock;
    Known.ClockReadAt = Now;
    Known.ClockAskedAt = Stated.AskedAt.value_or(Known.LearnedAt);
  }
}

std::string lifeName(const std::string &Id, WallTime Born) {
  return isStated(Born) ? lifeNamePrefix(Id) + std::to_string(Born.time_since_epoch().count()) : Id;
}

std::string lifeNamePrefix(const std::string &Id) { return Id + "@"; }

} // namespace valveshelf::sched
