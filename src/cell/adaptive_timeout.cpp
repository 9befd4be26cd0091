// SPDX-License-Identifier: Apache-2.0
// Doubles and halves the timeout when all calls of a window have a result.
#include "cell/adaptive_timeout.h"

#include <algorithm>

namespace valveshelf {
namespace {
constexpr uint64_t WindowCalls = 32;
// More than one unanswered call in this many indicates a saturated link rather than failed workers.
constexpr int MaxLossDivisor = 8;
// More than one in this many is beyond chance in one window. With fewer, the window before has to
// be slow too: of calls that are lost independently, one window in some dozens is.
constexpr int CertainLossDivisor = 5;
// Windows with few unanswered calls before the timeout halves; spans more than one burst of calls,
// since a timeout that fell between two bursts would saturate the link again.
constexpr int CalmWindowsToHalve = 16;

// Windows without early repeats after one with many early timeouts.
constexpr int EarlyPauseWindows = 4 * CalmWindowsToHalve;
// Weights of the newest duration, as for the retransmission timeout of TCP (RFC 6298).
constexpr double DurationWeight = 1.0 / 8;
constexpr double DeviationWeight = 1.0 / 4;
constexpr double DeviationsToWait = 4;
// The shortest time before a start is repeated; covers pauses of a busy worker.
constexpr Milliseconds MinStartTimeout{50};

void closeWindow(AdaptiveTimeout &CallTimeout, const AdaptiveTimeout::Window &Closed) {
  const bool Slow = Closed.Timeouts * MaxLossDivisor > Closed.Finished;
  const bool Certain = Closed.Timeouts * CertainLossDivisor > Closed.Finished;
  const bool Grows = Slow && (Certain || CallTimeout.WasSlow);
  CallTimeout.WasSlow = Slow;
  // Answers that are slow, not lost: repeating their orders would saturate the link.
  if (Closed.EarlyTimeouts * CertainLossDivisor > Closed.Finished)
    CallTimeout.WindowsWithoutEarly = EarlyPauseWindows;
  else if (CallTimeout.WindowsWithoutEarly > 0)
    --CallTimeout.WindowsWithoutEarly;
  CallTimeout.CalmWindows = Slow ? 0 : CallTimeout.CalmWindows + 1;
  if (Grows)
    CallTimeout.Current = std::min(CallTimeout.Current * 2, CallTimeout.Max);
  else if (!Slow && CallTimeout.CalmWindows % CalmWindowsToHalve == 0)
    CallTimeout.Current = std::max(CallTimeout.Current / 2, CallTimeout.Min);
}
} // namespace

uint64_t noteSent(AdaptiveTimeout &CallTimeout) {
  const uint64_t Call = CallTimeout.Sent++;
  if (Call / WindowCalls - CallTimeout.FirstWindow == CallTimeout.Windows.size())
    CallTimeout.Windows.emplace_back();
  return Call;
}

void noteResult(AdaptiveTimeout &CallTimeout, uint64_t Call, CallResult Result) {
  AdaptiveTimeout::Window &Of = CallTimeout.Windows[Call / WindowCalls - CallTimeout.FirstWindow];
  ++Of.Finished;
  Of.Timeouts += Result == CallResult::Timeout ? 1 : 0;
  Of.EarlyTimeouts += Result == CallResult::EarlyTimeout ? 1 : 0;
  while (!CallTimeout.Windows.empty() &&
         CallTimeout.Windows.front().Finished == static_cast<int>(WindowCalls)) {
    closeWindow(CallTimeout, CallTimeout.Windows.front());
    CallTimeout.Windows.pop_front();
    ++CallTimeout.FirstWindow;
  }
}

void noteDuration(AdaptiveTimeout &CallTimeout, Steady::duration Duration) {
  const std::chrono::duration<double, std::milli> Seen = Duration;
  const auto Distance = std::chrono::abs(Seen - CallTimeout.MeanDuration);
  CallTimeout.MeanDeviation += DeviationWeight * (Distance - CallTimeout.MeanDeviation);
  CallTimeout.MeanDuration += DurationWeight * (Seen - CallTimeout.MeanDuration);
}

Milliseconds startTimeout(const AdaptiveTimeout &CallTimeout, bool CallsAreLost) {
  if (!CallsAreLost || CallTimeout.Current > CallTimeout.Min || CallTimeout.WindowsWithoutEarly > 0)
    return CallTimeout.Current;
  const auto Overdue = std::chrono::ceil<Milliseconds>(
      CallTimeout.MeanDuration + DeviationsToWait * CallTimeout.MeanDeviation);
  return std::min(CallTimeout.Min, std::max(MinStartTimeout, Overdue));
}

} // namespace valveshelf
