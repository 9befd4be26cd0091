// SPDX-License-Identifier: Apache-2.0
// Failure detection of the scheduler: the probe timeout, as a function of recent leader changes.
#pragma once

#include "valveshelf/clock.h"

#include <cstdint>
#include <deque>

namespace valveshelf {

/// The leader changes that this process has observed. Not thread-safe.
struct TermHistory {
  uint64_t NewestTerm = 0;
  std::deque<TimePoint> Changes; ///< Oldest first; the first term observed is not a change.
};

/// Records that the scheduler of \p Term was observed at \p Now.
void noteTerm(TermHistory &History, uint64_t Term, TimePoint Now);

/// How long a probe of the scheduler waits for an answer: triples with each change in the last 20
/// s, up to \p Lease, after which the claim of a failed scheduler expires anyway. Without the
/// growth, schedulers behind a saturated link would depose each other repeatedly, since each
/// takeover adds calls to every worker.
Milliseconds probeTimeout(const TermHistory &History, Milliseconds Lease, TimePoint Now);

} // namespace valveshelf
