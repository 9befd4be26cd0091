// SPDX-License-Identifier: Apache-2.0
// The monotonic clock and wall-clock time. Scheduling decisions take the time as an argument; only
// the code that drives them reads a clock.
#pragma once

#include <chrono>
#include <cstdint>

namespace valveshelf {

/// Monotonic clock of leases, promises and deadlines. Unlike CLOCK_MONOTONIC it includes the time
/// for which the machine was suspended: leases expire during a suspension, and a process that
/// resumes must not act on one that has.
struct Steady {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<Steady>;
  static time_point now() noexcept;
};
using TimePoint = Steady::time_point;
using Milliseconds = std::chrono::milliseconds;

/// The processor time that this process has used.
Steady::duration processorTime() noexcept;

/// Wall-clock time, for records that people read. May be set back: no safety decision may use it.
using WallTime = std::chrono::sys_time<Milliseconds>;

inline WallTime wallNow() {
  return std::chrono::time_point_cast<Milliseconds>(std::chrono::system_clock::now());
}

} // namespace valveshelf
