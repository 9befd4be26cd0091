// SPDX-License-Identifier: Apache-2.0
// Whether calls to workers get lost just now, from what was left without an answer.
#pragma once

#include "valveshelf/clock.h"

#include <map>
#include <string>

namespace valveshelf {

/// When workers that had answered until then last left a call without an answer. Not thread-safe.
struct CallLosses {
  std::map<std::string, TimePoint> Last; ///< By worker.
};

/// \p Worker, which answered the call before, has not answered one.
void noteLoss(CallLosses &Losses, const std::string &Worker, TimePoint Now);

/// True if several workers lately left a call without an answer: then it is calls that get lost,
/// rather than one worker that is gone. Forgets what is old.
bool areCallsBeingLost(CallLosses &Losses, TimePoint Now);

} // namespace valveshelf
