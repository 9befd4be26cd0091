// SPDX-License-Identifier: Apache-2.0
// Doubles and halves the timeout at the end of each window.
#include "cell/adaptive_timeout.h"

#include <algorithm>

namespace valveshelf {
namespace {
constexpr int WindowCalls = 32;
// More than one unanswered call in this many indicates a saturated link rather than failed workers.
constexpr int MaxLossDivisor = 8;
// Windows with few unanswered calls before the timeout halves; spans more than one burst of calls,
// since a timeout that fell between two bursts would saturate the link again.
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
