// SPDX-License-Identifier: Apache-2.0
// Decides which of two statements about a worker is of the newer life.
#include "valveshelf/worker_life.h"

#include <algorithm>

namespace valveshelf::sched {

namespace {
bool isStated(WallTime Born) { return Born != WallTime{}; }
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

void noteLife(WorkerLife &Known, const LifeStatement &Stated, TimePoint Now) {
  if (compareLives(Known, Stated) == LifeOrder::Newer)
    Known = {Stated.Born, Now};
  if (Known.LearnedAt == TimePoint{})
    Known.LearnedAt = Now;
  if (isStated(Stated.Born))
    Known.Born = Stated.Born;
  if (Stated.Clock && *Stated.Clock >= Known.Clock) {
    Known.Clock = *Stated.Clock;
    Known.ClockReadAt = Now;
  }
}

std::string lifeName(const std::string &Id, WallTime Born) {
  return isStated(Born) ? lifeNamePrefix(Id) + std::to_string(Born.time_since_epoch().count()) : Id;
}

std::string lifeNamePrefix(const std::string &Id) { return Id + "@"; }

} // namespace valveshelf::sched
