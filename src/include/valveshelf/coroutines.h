// SPDX-License-Identifier: Apache-2.0
// Injectable clocks, and helpers to run background coroutines.
#pragma once

#include "valveshelf/clock.h"
#include "valveshelf/http.h"

#include <functional>

namespace valveshelf {

/// Time sources, injected so that tests can replace them.
struct Clock {
  std::function<TimePoint()> Now = [] { return Steady::now(); };
  std::function<WallTime()> Wall = [] { return wallNow(); };
  std::function<Steady::duration()> Processor = [] { return processorTime(); };
};

/// Posts \p Task to \p Where; it never starts inside this call, so the caller may hold a lock that
/// the task takes. Aborts the process if the task ends by an exception.
void spawnLater(Executor Where, Awaitable<void> Task);

/// Suspends the calling coroutine for \p Time.
Awaitable<void> sleepFor(Milliseconds Time);

} // namespace valveshelf
