// SPDX-License-Identifier: Apache-2.0
// The two clocks of valveshelf. Decisions take the time as an argument; only the processes
// around them read a clock.
#pragma once

#include <chrono>
#include <cstdint>

namespace valveshelf {

/// The clock of leases, promises and deadlines. It never jumps.
using Steady = std::chrono::steady_clock;
using TimePoint = Steady::time_point;
using Milliseconds = std::chrono::milliseconds;

/// Wall-clock time for records that people read. Never used for a decision about safety.
using WallTime = std::chrono::sys_time<Milliseconds>;

inline WallTime wallNow() {
  return std::chrono::time_point_cast<Milliseconds>(std::chrono::system_clock::now());
}

} // namespace valveshelf
