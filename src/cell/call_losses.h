// SPDX-License-Identifier: Apache-2.0
// Detects from unanswered calls whether calls to workers are being lost.
#pragma once

#include "valveshelf/clock.h"

#include <map>
#include <string>

namespace valveshelf {

/// Recent unanswered calls to workers that had answered before. Not thread-safe.
struct CallLosses {
  std::map<std::string, TimePoint> Last; ///< Time of the last loss, by worker.
};

/// Records that \p Worker, which had answered its previous call, did not answer one.
void noteLoss(CallLosses &Losses, const std::string &Worker, TimePoint Now);

/// True if several workers recently left a call unanswered, which indicates lost calls rather than
/// one failed worker. Removes old entries.
bool areCallsBeingLost(CallLosses &Losses, TimePoint Now);

} // namespace valveshelf
