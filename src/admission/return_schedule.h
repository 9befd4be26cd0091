// SPDX-License-Identifier: Apache-2.0
// When refused callers are told to return. Callers that are all told the same time come back as one
// burst, which is refused again; the returns are therefore spread over the seconds in which the
// class can start jobs, in the order of refusal.
#pragma once

#include "valveshelf/clock.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace valveshelf::admission {

/// No caller is told to wait for longer: most give up before.
inline constexpr std::chrono::seconds MaxReturnHorizon{30};

/// The promised returns of one class. Plain data; the functions below change it.
/// Invariant: Counts holds the seconds from FirstSecond on; earlier ones have passed.
struct ReturnSchedule {
  /// A return promised at the end of the current second lies one slot beyond the horizon.
  static constexpr size_t Slots = static_cast<size_t>(MaxReturnHorizon.count()) + 2;
  int64_t FirstSecond = 0; ///< On the steady clock.
  std::array<uint32_t, Slots> Counts{};
  TimePoint Last{};        ///< The latest return promised.
  uint64_t BeyondPart = 0; ///< Returns at the horizon because all seconds before were taken.
};

/// What bounds a return.
struct ReturnBounds {
  double PerSecond = 0;           ///< This process's part of the jobs that the class starts.
  double Phase = 0;               ///< 0 to 1, different in each process: where fractions of
                                  ///< PerSecond add up to one.
  Milliseconds Earliest{0};       ///< Until the job would be admitted.
  std::chrono::seconds Horizon{}; ///< At most `MaxReturnHorizon`.
};

struct PromisedReturn {
  std::chrono::seconds After{1}; ///< Whole seconds, at least 1.
  TimePoint At{};
  bool IsCounted = false; ///< False: all seconds up to the horizon are taken.
};

/// Promises a return in the first second that is not taken, no earlier than those promised before
/// unless these lie beyond this job's horizon. If all are taken the caller is told the horizon.
PromisedReturn promiseReturn(ReturnSchedule &Schedule, const ReturnBounds &Bounds, TimePoint Now);
/// Number of returns promised for \p Ahead whole seconds after the current one.
uint32_t promisedIn(const ReturnSchedule &Schedule, std::chrono::seconds Ahead, TimePoint Now);

} // namespace valveshelf::admission
