// SPDX-License-Identifier: Apache-2.0
// The clock of leases on Linux.
#include "valveshelf/clock.h"

#include <ctime>

namespace valveshelf {

Steady::time_point Steady::now() noexcept {
  timespec Read{};
  clock_gettime(CLOCK_BOOTTIME, &Read); // it can't fail for a clock that the kernel has
  return time_point(std::chrono::seconds(Read.tv_sec) + std::chrono::nanoseconds(Read.tv_nsec));
}

} // namespace valveshelf
