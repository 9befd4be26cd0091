// SPDX-License-Identifier: Apache-2.0
// How long an order to a worker waits for its answer, as a pure function of how orders fared.
#pragma once

#include "valveshelf/clock.h"

namespace valveshelf {

/// It answers the load of this box's own link standing full: then the answers of many workers are
/// late together, and each order that is given up adds a stop, a look and another start to the
/// link. Where few orders get no answer the fault is with their workers, and waiting longer for
/// them would only put off the next try.
/// Invariant: Least <= Timeout <= Most.
struct AdaptiveTimeout {
  Milliseconds Min{150};  ///< The timeout of a calm link.
  Milliseconds Max{1000}; ///< Of the slowest; a quick check's whole time is about twice as long.
  Milliseconds Current = Min;
  int Calls = 0;       ///< In the window under way,
  int Unanswered = 0;  ///< and those of them that got no answer.
  int CalmWindows = 0; ///< In a row, before it.
};

/// Notes what became of an order. At the end of a window of orders the time doubles if more than
/// one in eight got no answer; it halves after a number of windows without that. Otherwise a link
/// that stands full is filled further with orders that are given up too early and sent again.
void noteCall(AdaptiveTimeout &CallTimeout, bool Answered);

} // namespace valveshelf
