// SPDX-License-Identifier: Apache-2.0
// The bar for taking a silent scheduler for gone, which rises with each change.
#include "cell/suspicion.h"

#include <algorithm>

namespace valveshelf {
namespace {
// A process that does not take a connection by then is dead or cut off; connecting takes 2 ms.
constexpr Milliseconds FirstProbeTime{150};
constexpr int ProbeGrowth = 3;
// Changes older than this say nothing of the links now; twice the longest that a store stays away.
constexpr Milliseconds ChangesCount{20000};
} // namespace

void noteTerm(TermHistory &Seen, uint64_t Term, TimePoint Now) {
  if (Term <= Seen.Newest)
    return;
  if (Seen.Newest != 0)
    Seen.Changes.push_back(Now);
  Seen.Newest = Term;
  while (!Seen.Changes.empty() && Now - Seen.Changes.front() > ChangesCount)
    Seen.Changes.pop_front();
}

Milliseconds probeTime(const TermHistory &Seen, Milliseconds Lease, TimePoint Now) {
  Milliseconds Time = FirstProbeTime;
  for (const TimePoint At : Seen.Changes)
    if (Now - At <= ChangesCount && Time < Lease)
      Time *= ProbeGrowth;
  return std::min(Time, Lease);
}

} // namespace valveshelf
