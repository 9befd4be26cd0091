// SPDX-License-Identifier: Apache-2.0
// The two clocks of valveshelf. Decisions take the time as an argument; only the processes
// around them read a clock.
#pragma once

#include <chrono>
#include <cstdint>

namespace valveshelf {

/// The clock of leases, promises and deadlines. It never goes back, and it counts the time for
/// which the machine was suspended: to everybody else that time has passed, and leases have run out
/// in it. The system's monotonic clock stands still meanwhile, so that a process that wakes up
/// would go on under a claim that is over.
struct Steady {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<Steady>;
  static time_point now() noexcept;
};
using TimePoint = Steady::time_point;
using Milliseconds = std::chrono::milliseconds;

/// Wall-clock time for records that people read. Never used for a decision about safety.
using WallTime = std::chrono::sys_time<Milliseconds>;

inline WallTime wallNow() {
  return std::chrono::time_point_cast<Milliseconds>(std::chrono::system_clock::now());
}

} // namespace valveshelf
