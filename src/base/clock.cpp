// SPDX-License-Identifier: Apache-2.0
// The monotonic clock of leases and deadlines, on Linux.
#include "valveshelf/clock.h"

#include <ctime>

namespace valveshelf {

Steady::time_point Steady::now() noexcept {
  timespec Read{};
  clock_gettime(CLOCK_BOOTTIME, &Read); // can't fail: the kernel supports this clock
  return time_point(std::chrono::seconds(Read.tv_sec) + std::chrono::nanoseconds(Read.tv_nsec));
}

Steady::duration processorTime() noexcept {
  timespec Read{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &Read);
  return std::chrono::seconds(Read.tv_sec) + std::chrono::nanoseconds(Read.tv_nsec);
}

} // namespace valveshelf
