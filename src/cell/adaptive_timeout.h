// SPDX-License-Identifier: Apache-2.0
// The adaptive timeout for calls to workers that start or stop runs, as a function of the answers.
#pragma once

#include "valveshelf/clock.h"

namespace valveshelf {

/// Grows while this box's network link is saturated: then many answers are late, and each call that
/// times out adds a stop, a heartbeat and another start to the link. A few unanswered calls are the
/// fault of their workers and do not change it. Not thread-safe.
/// Invariant: Min <= Current <= Max.
struct AdaptiveTimeout {
  Milliseconds Min{150};  ///< While the link is not saturated.
  Milliseconds Max{1000}; ///< Upper limit on a saturated link.
  Milliseconds Current = Min;
  int Calls = 0;       ///< In the current window.
  int Unanswered = 0;  ///< Of these calls.
  int CalmWindows = 0; ///< Consecutive earlier windows with few unanswered calls.
};

/// Records the result of a call. At the end of a window of calls the timeout doubles if more than
/// one in eight was unanswered; it halves after a number of consecutive windows without that.
void noteCall(AdaptiveTimeout &CallTimeout, bool Answered);

} // namespace valveshelf
