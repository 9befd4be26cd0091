// SPDX-License-Identifier: Apache-2.0
// The age of the list of workers, and what follows from it.
#include "cell/list_age.h"

#include <algorithm>

namespace valveshelf {
namespace {
// Beyond the longest hold of a watch: its way back, and the pause in which changes are gathered.
constexpr Milliseconds RefreshSlack{500};
constexpr Milliseconds RefreshPause{250};
// Operators allow starts on a worker for three seconds or more after it has said that it leaves.
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

bool isListStale(const ListAge &Age, bool IsStoreResponsive, TimePoint Now) {
  return IsStoreResponsive && Now - Age.CompleteUntil > MaxAge;
}

} // namespace valveshelf
