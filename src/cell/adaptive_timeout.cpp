// SPDX-License-Identifier: Apache-2.0
// Doubles and halves the time that an order waits.
#include "cell/adaptive_timeout.h"

#include <algorithm>

namespace valveshelf {
namespace {
// Calls in a window: 20 ms of a busy scheduler's, some 200 ms of a small one's.
constexpr int WindowCalls = 32;
// Workers that leave orders unanswered are one in twenty on the users' worst days.
constexpr int MaxLossDivisor = 8;
// Waves of orders come some 0.3 s apart; a time that falls between two of them makes the next one
// fill the link again. So many windows are 0.3 s of 1,700 orders a second.
constexpr int CalmWindowsToHalve = 16;
} // namespace

void noteCall(AdaptiveTimeout &CallTimeout, bool Answered) {
  ++CallTimeout.Calls;
  CallTimeout.Unanswered += Answered ? 0 : 1;
  if (CallTimeout.Calls < WindowCalls)
    return;
  const bool Slow = CallTimeout.Unanswered * MaxLossDivisor > CallTimeout.Calls;
  CallTimeout.CalmWindows = Slow ? 0 : CallTimeout.CalmWindows + 1;
  if (Slow)
    CallTimeout.Current = std::min(CallTimeout.Current * 2, CallTimeout.Max);
  else if (CallTimeout.CalmWindows % CalmWindowsToHalve == 0)
    CallTimeout.Current = std::max(CallTimeout.Current / 2, CallTimeout.Min);
  CallTimeout.Calls = CallTimeout.Unanswered = 0;
}

} // namespace valveshelf
