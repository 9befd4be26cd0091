// SPDX-License-Identifier: Apache-2.0
// Bounds on leases and starts by the last confirmation of leadership.
#include "cell/leadership_evidence.h"

#include <algorithm>

namespace valveshelf {
using namespace sched;

void noteRenewed(LeadershipEvidence &Known, TimePoint SentAt) {
  Known.RenewedAt = std::max(Known.RenewedAt, SentAt);
  Known.ConfirmedAt = std::max(Known.ConfirmedAt, SentAt);
}

void noteConfirmedByPeers(LeadershipEvidence &Known, TimePoint AskedAt, Milliseconds MaxOutage) {
  const TimePoint Latest = Known.RenewedAt + MaxOutage;
  Known.ConfirmedAt = std::max(Known.ConfirmedAt, std::min(AskedAt, Latest));
}

Milliseconds permittedLease(const LeadershipEvidence &Known, Milliseconds WorkerLease,
                            TimePoint Now) {
  const auto Age = std::chrono::ceil<Milliseconds>(Now - Known.ConfirmedAt);
  return std::clamp(WorkerLease - Age, Milliseconds(0), WorkerLease);
}

bool mayStartRuns(const LeadershipEvidence &Known, TimePoint Now) {
  return Now - Known.ConfirmedAt <= MaxStartEvidenceAge;
}

std::map<std::string, Member> membersToAsk(const Roster &Read,
                                           const std::map<std::string, Member> &PossiblyWritten,
                                           const std::string &Self) {
  std::map<std::string, Member> Asked;
  for (const Member &One : Read.Members)
    if (One.Name != Self)
      Asked[One.Name] = One;
  if (Asked.empty())
    return Asked;
  for (const auto &[Name, One] : PossiblyWritten)
    if (Name != Self)
      Asked[Name] = One;
  return Asked;
}

} // namespace valveshelf
