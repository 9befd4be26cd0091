// SPDX-License-Identifier: Apache-2.0
// The probe timeout grows with each recent leader change.
#include "cell/suspicion.h"

#include <algorithm>

namespace valveshelf {
namespace {
// For accepting a connection, when there was no recent change. A process that takes longer is dead
// or cut off: connecting takes some 2 ms.
constexpr Milliseconds BaseProbeTimeout{150};
constexpr int ProbeTimeoutGrowth = 3;
// Older changes are ignored: they tell nothing about the links now. Twice the longest outage of the
// store.
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
