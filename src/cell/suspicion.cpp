// SPDX-License-Identifier: Apache-2.0
// The bar for taking a silent scheduler for gone, which rises with each change.
#include "cell/suspicion.h"

#include <algorithm>

namespace valveshelf {
namespace {
// A process that does not take a connection by then is dead or cut off; connecting takes 2 ms.
constexpr Milliseconds BaseProbeTimeout{150};
constexpr int ProbeTimeoutGrowth = 3;
// Changes older than this say nothing of the links now; twice the longest that a store stays away.
constexpr Milliseconds ChangeWindow{20000};
} // namespace

void noteTerm(TermHistory &History, uint64_t Term, TimePoint Now) {
  if (Term <= History.NewestTerm)
    return;
  if (History.NewestTerm != 0)
    History.Changes.push_back(Now);
  History.NewestTerm = Term;
  while (!History.Changes.empty() && Now - History.Changes.front() > ChangeWindow)
    History.Changes.pop_front();
}

Milliseconds probeTimeout(const TermHistory &History, Milliseconds Lease, TimePoint Now) {
  Milliseconds Time = BaseProbeTimeout;
  for (const TimePoint At : History.Changes)
    if (Now - At <= ChangeWindow && Time < Lease)
      Time *= ProbeTimeoutGrowth;
  return std::min(Time, Lease);
}

} // namespace valveshelf
