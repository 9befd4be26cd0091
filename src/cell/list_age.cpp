// SPDX-License-Identifier: Apache-2.0
// The age of the list of workers, and what follows from it.
#include "cell/list_age.h"

#include <algorithm>

namespace valveshelf {
namespace {
// Beyond the longest hold of a watch: its way back, and the pause in which changes are gathered.
constexpr Milliseconds LookSlack{500};
constexpr Milliseconds LookAgain{250};
// Operators allow starts on a worker for three seconds or more after it has said that it leaves.
constexpr Milliseconds LongestAge{3000};
} // namespace

void noteListAnswer(ListAge &Age, TimePoint SentAt, Milliseconds HeldFor) {
  Age.AsOf = std::max(Age.AsOf, SentAt + HeldFor);
}

bool wantsListLook(ListAge &Age, Milliseconds WatchTime, TimePoint Now) {
  if (Now - Age.AsOf < WatchTime + LookSlack || Now < Age.LookAt)
    return false;
  Age.LookAt = Now + LookAgain;
  return true;
}

bool isListBehind(const ListAge &Age, bool IsStoreResponsive, TimePoint Now) {
  return IsStoreResponsive && Now - Age.AsOf > LongestAge;
}

} // namespace valveshelf
