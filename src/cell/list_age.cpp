// SPDX-License-Identifier: Apache-2.0
// Staleness checks of the list of workers.
#include "cell/list_age.h"

#include <algorithm>

namespace valveshelf {
namespace {
// Added to the longest wait of a watch: network delay and the pause between two watches.
constexpr Milliseconds RefreshSlack{500};
constexpr Milliseconds RefreshPause{250};
// Bounds how often the whole list is read. All workers check in within little more than this.
constexpr Milliseconds MaxCatchUpTime{1000};
// Bounds how long runs may still be started on a worker after it began to drain.
constexpr Milliseconds MaxAge{3000};
} // namespace

void noteListAnswer(ListAge &Age, TimePoint SentAt, Milliseconds HeldFor) {
  Age.CompleteUntil = std::max(Age.CompleteUntil, SentAt + HeldFor);
}

bool needsListRefresh(ListAge &Age, Milliseconds WatchTime, TimePoint Now) {
  if (Now - Age.CompleteUntil < WatchTime + RefreshSlack || Now < Age.NextRefresh)
    return false;
  Age.NextRefresh = Now + RefreshPause;
  return true;
}

bool isWatchBehind(const ListAge &Age, TimePoint Now) {
  return Now - Age.CompleteUntil > MaxCatchUpTime;
}

bool isListStale(const ListAge &Age, bool IsStoreResponsive, TimePoint Now) {
  return IsStoreResponsive && Now - Age.CompleteUntil > MaxAge;
}

} // namespace valveshelf
