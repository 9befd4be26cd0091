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

Milliseconds driftDuring(Steady::duration Time, double ClockDrift) {
  const std::chrono::duration<double, std::milli> Total = Time;
  return std::chrono::ceil<Milliseconds>(Total * (2 * ClockDrift));
}

TimePoint latestLeaseEnd(TimePoint From, Milliseconds Longest, const SchedulerLimits &Limits) {
  return From + Longest + driftDuring(Longest, Limits.ClockDrift) + Limits.LeaseMargin;
}

TimePoint inheritedLeaseEnd(TimePoint From, Milliseconds Longest, std::optional<Milliseconds> Left,
                            const SchedulerLimits &Limits) {
  const TimePoint Latest = latestLeaseEnd(From, Longest, Limits);
  return Left ? std::min(Latest, From + *Left + driftDuring(*Left, Limits.ClockDrift)) : Latest;
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
