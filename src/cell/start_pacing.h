// SPDX-License-Identifier: Apache-2.0
// How many starts the scheduler has in progress at a time. Each one costs its event loop several
// turns, for the order, its answer and the report of the end; beyond what the process can do they
// only delay each other and everything else. The limit follows the lag of the loop, and the steps
// beyond it stay in the queue, in their order, where they cost nothing.
//
// Pure functions of state, event and time.
#pragma once

#include "valveshelf/clock.h"

#include <cstdint>
#include <map>
#include <optional>

namespace valveshelf {

/// Bounds of `StartPacing::Window`. The least leaves enough for passes that are some 50 ms apart,
/// so that a lag that has other causes does not hold starts back.
inline constexpr size_t MinStartWindow = 96;
inline constexpr size_t MaxStartWindow = 1024;

/// Not thread-safe.
struct StartPacing {
  size_t Window = 256; ///< The most starts in progress.
  /// When they were ordered, by number. Invariant: numbers and times ascend together.
  std::map<uint64_t, TimePoint> InProgress;
  uint64_t LastNumber = 0;
  Steady::duration Lag{0}; ///< Of the event loop, at the last update.
  bool IsBinding = false;  ///< Since the last update, starts had to wait for others.
  uint64_t Answered = 0;   ///< Since the last update.
  TimePoint UpdatedAt{};
  std::optional<TimePoint> LateSince; ///< The loop has been late at each update since.
  uint64_t AnsweredLate = 0;          ///< Since LateSince.
  TimePoint BoundAt{};                ///< When an update last found that starts had to wait.
  double PerSecond = 0; ///< Starts while they have to wait; a moving average. 0: not known.
};

/// Notes a start that is ordered. Returns its number.
uint64_t noteOrdered(StartPacing &Of, TimePoint Now);
/// A start is no longer in progress. \p IsAnswered: its worker has answered.
void noteFinished(StartPacing &Of, uint64_t Number, bool IsAnswered);
/// How many more starts may be ordered now. Those that have been in progress for long wait for
/// their workers and don't count.
size_t startsAllowed(const StartPacing &Of, TimePoint Now);
/// Starts were left in the queue because no more may be ordered.
inline void noteBound(StartPacing &Of) { Of.IsBinding = true; }
/// Adapts the window. Call about every 50 ms with the lag of the event loop since the last call.
/// \p HasWaiting: steps wait in the queue. If the loop is late all the time, they wait for this
/// process also where they wait for advice.
void updatePacing(StartPacing &Of, Steady::duration Lag, bool HasWaiting, TimePoint Now);
/// The starts a second that this process can do, if more have been asked of it within the last
/// second.
std::optional<double> startRate(const StartPacing &Of, TimePoint Now);

} // namespace valveshelf
