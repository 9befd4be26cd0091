// SPDX-License-Identifier: Apache-2.0
// Clocks as a dependency, and background coroutines.
#pragma once

#include "valveshelf/clock.h"
#include "valveshelf/http.h"

#include <functional>

namespace valveshelf {

/// The two clocks, injected wherever time is read.
struct Clock {
  std::function<TimePoint()> Now = [] { return Steady::now(); };
  std::function<WallTime()> Wall = [] { return wallNow(); };
};

/// Runs \p Task on \p Where, never before this call returns, so that a lock held now is free.
void spawnLater(Executor Where, Awaitable<void> Task);

/// Waits for \p Time on the current executor.
Awaitable<void> sleepFor(Milliseconds Time);

} // namespace valveshelf
