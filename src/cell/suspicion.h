// SPDX-License-Identifier: Apache-2.0
// How long a scheduler has to be silent before it is taken for gone. A pure function of what this
// process has seen of recent terms.
#pragma once

#include "valveshelf/clock.h"

#include <cstdint>
#include <deque>

namespace valveshelf {

/// The changes of the scheduler that this process has seen.
struct TermHistory {
  uint64_t NewestTerm = 0;
  std::deque<TimePoint> Changes; ///< Oldest first; the first term seen is none.
};

/// Notes that the scheduler of \p Term was read of at \p Now.
void noteTerm(TermHistory &History, uint64_t Term, TimePoint Now);

/// How long a probe waits for an answer. It answers the load of a link that stands full: a
/// scheduler behind it is slow to take connections, and each takeover adds questions to every
/// worker, so that with one time for all probes schedulers would depose each other for ever. The
/// time triples with each change seen in the last 20 s, up to \p Lease, by when the claim lapses by
/// itself if its holder is gone.
Milliseconds probeTimeout(const TermHistory &History, Milliseconds Lease, TimePoint Now);

} // namespace valveshelf
