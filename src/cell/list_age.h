// SPDX-License-Identifier: Apache-2.0
// Age of the scheduler's copy of the platform's list of workers. Detects that the watch has fallen
// behind, because of many changes or late or lost answers; a stale list may show draining workers
// as ready, and they would be given work.
#pragma once

#include "valveshelf/clock.h"

namespace valveshelf {

/// State of the staleness checks. Not thread-safe.
struct ListAge {
  TimePoint CompleteUntil{}; ///< All changes before this time are known.
  TimePoint NextRefresh{};   ///< Earliest time of the next refresh besides the watch.
  bool IsStale = false;
};

/// Records a complete answer to a watch or read that was sent at \p SentAt. Pass the watch's wait
/// time as \p HeldFor if it ended without changes, which proves that there were none until then;
/// otherwise 0. Don't call for answers that may be truncated.
void noteListAnswer(ListAge &Age, TimePoint SentAt, Milliseconds HeldFor);
/// True if a refresh is due: the watch has been silent for longer than its longest wait, and no
/// refresh was requested recently. Schedules the next refresh, in case this one's answer is lost.
bool needsListRefresh(ListAge &Age, Milliseconds WatchTime, TimePoint Now);
/// True if answers that may be truncated no longer keep the list current: it is read as a whole
/// then, which takes about as long as the changes since, and is current whatever this process's
/// lag.
bool isWatchBehind(const ListAge &Age, TimePoint Now);
/// True if the list is too old to start runs by it. While the store is down (\p IsStoreResponsive
/// is false) the known list remains in use.
bool isListStale(const ListAge &Age, bool IsStoreResponsive, TimePoint Now);

} // namespace valveshelf
