// SPDX-License-Identifier: Apache-2.0
// How much of the capacity for advice requests each service uses. Soft state of the scheduler:
// it counts outstanding requests only, so it is empty after a takeover.
#pragma once

#include "valveshelf/workload.h"

#include <map>
#include <string>

namespace valveshelf::sched {

/// The outstanding requests of one step.
struct StepAdviceUse {
  std::string Service;
  bool IsQueuedLast = false; ///< The step is late or beyond its organisation's share.
  uint32_t Requests = 0;
  Milliseconds LaneTime{0}; ///< Of all of them.
};

/// The outstanding requests of one service, measured in lane time (`laneTime`).
struct ServiceAdviceUse {
  Milliseconds PreferredLaneTime{0};     ///< Of steps that are in time and within a share,
  Milliseconds DeprioritizedLaneTime{0}; ///< and of the others.
  /// A step could have asked but was over the limit, in the last full scan or since.
  bool HasWaiting = false;
  bool HasWaitingSinceScan = false; ///< The same since the last full scan began.
};

/// Kept while `Features::ShareAdvice` is in force.
/// Invariant: the lane times of a service are the sums over its steps.
struct AdviceUse {
  std::map<std::string, ServiceAdviceUse> Services;
  std::map<StepKey, StepAdviceUse> Steps; ///< Those with outstanding requests.
};

} // namespace valveshelf::sched
