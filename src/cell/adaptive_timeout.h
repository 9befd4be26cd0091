// SPDX-License-Identifier: Apache-2.0
// The adaptive timeout for calls to workers that start or stop runs, as a function of the answers,
// and the time after which an unanswered start is repeated while calls are being lost.
#pragma once

#include "valveshelf/clock.h"

#include <cstdint>
#include <deque>

namespace valveshelf {

enum class CallResult {
  Answered,
  EarlyTimeout, ///< No answer within a timeout shorter than `AdaptiveTimeout::Current`.
  Timeout,
};

/// Grows while this box's network link is saturated: then many answers are late, and each call that
/// times out adds a stop, a heartbeat and another start to the link. A few unanswered calls are the
/// fault of their workers and do not change it. Not thread-safe.
/// Invariant: Min <= Current <= Max.
struct AdaptiveTimeout {
  /// Consecutive calls in the order in which they were sent. In the order of their results, the
  /// unanswered calls of a large burst would form a window of their own.
  struct Window {
    int Finished = 0;      ///< Calls with a result.
    int Timeouts = 0;      ///< Of these calls.
    int EarlyTimeouts = 0; ///< Of these calls.
  };
  Milliseconds Min{150};  ///< While the link is not saturated.
  Milliseconds Max{1000}; ///< Upper limit on a saturated link.
  Milliseconds Current = Min;
  uint64_t Sent = 0;          ///< Number of calls so far.
  uint64_t FirstWindow = 0;   ///< Number of the first of `Windows`.
  std::deque<Window> Windows; ///< Those with a call that has no result yet, or is still to be sent.
  int CalmWindows = 0;        ///< Consecutive earlier windows with few unanswered calls.
  bool WasSlow = false;       ///< The last window had many.
  int WindowsWithoutEarly = 0; ///< Windows to come in which no order is repeated early.
  /// Moving averages over the answered calls: their duration, and its distance from the average.
  std::chrono::duration<double, std::milli> MeanDuration{0};
  std::chrono::duration<double, std::milli> MeanDeviation{0};
};

/// Records that a call is sent. Returns its number, for `noteResult`.
uint64_t noteSent(AdaptiveTimeout &CallTimeout);
/// Records the result of a call, once. When all calls of a window have one, the timeout doubles if
/// more than one in five was unanswered, or more than one in eight here and in the window before.
/// It halves after a number of consecutive windows with fewer. After a window with as many early
/// timeouts, orders are not repeated early for some windows.
void noteResult(AdaptiveTimeout &CallTimeout, uint64_t Call, CallResult Result);
/// Records how long an answer of a worker took.
void noteDuration(AdaptiveTimeout &CallTimeout, Steady::duration Duration);
/// The timeout of the first order of a start. While workers lose calls (\p CallsAreLost) and the
/// link is not saturated, the order is repeated as soon as its answer is overdue by the duration of
/// the others: a job that waits for one of its starts for `Min` is late if it has little time.
/// Repeating an order is safe. The repeat has `Current` as its timeout, since the run is stopped
/// after it.
Milliseconds startTimeout(const AdaptiveTimeout &CallTimeout, bool CallsAreLost);

} // namespace valveshelf
