// SPDX-License-Identifier: Apache-2.0
// Detects from unanswered calls whether calls to workers are being lost, and selects the workers
// that are then asked again.
#pragma once

#include "valveshelf/clock.h"

#include <map>
#include <string>
#include <vector>

namespace valveshelf {

/// Recent unanswered calls to workers that had answered before. Not thread-safe.
struct CallLosses {
  std::map<std::string, TimePoint> Last; ///< Time of the last loss, by worker.
};

/// Records that \p Worker, which had answered its previous call, did not answer one.
void noteLoss(CallLosses &Losses, const std::string &Worker, TimePoint Now);

/// True if several of \p Workers workers recently left a call unanswered, which indicates lost
/// calls rather than failed workers. Removes old entries.
bool areCallsBeingLost(CallLosses &Losses, size_t Workers, TimePoint Now);

/// A busy worker with an outstanding long poll.
struct PolledWorker {
  std::string Id;
  TimePoint AskedAt{};       ///< When the long poll, or the last immediate heartbeat, was sent.
  bool IsEndOverdue = false; ///< One of its runs has taken longer than expected.
};

/// The workers that get an immediate heartbeat while calls are being lost: a lost long poll would
/// hide the ends of their runs until it times out. Their number is bounded, since a small box may
/// have hundreds of busy workers; half of it is for workers with an overdue end, as far as there
/// are others. Of each kind, those that were asked the longest time ago come first.
std::vector<std::string> selectRechecks(std::vector<PolledWorker> Polled, TimePoint Now);

} // namespace valveshelf
