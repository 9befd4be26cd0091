// SPDX-License-Identifier: Apache-2.0
// What tells a scheduler that no other process has taken over, and what it may do by that.
//
// A successor waits for `WorkerLease`, from after its claim, until it takes the work of a worker
// that it can't reach for lost. So no lease that its predecessor gives may last longer than that
// from the last moment at which there was certainly no successor. Such a moment is
//  - when a renewal of the claim's lease was sent that the store has answered: a successor claims
//    after that lease has ended;
//  - when all members of the roster were asked, and each has answered that it knows no newer term
//  and
//    does not schedule: a member that takes over loads its state after its answer. A claimant that
//    is not in the stored roster first tells one of its members, which no longer answers so, or
//    else waits for `MaxOutage` in addition.
#pragma once

#include "valveshelf/cell_records.h"
#include "valveshelf/clock.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace valveshelf {

/// A scheduler starts nothing unless its leadership was confirmed within this time. It is shorter
/// than the lease of a claim: once that has lapsed, nothing is started on the strength of a
/// renewal. A successor takes jobs that were accepted until then for possibly started.
inline constexpr Milliseconds MaxStartEvidenceAge{1400};

/// The clock of an idle worker is read at least this often. A lease is given by the last reading,
/// and is shorter by what the two clocks may have drifted apart since.
inline constexpr Milliseconds MaxClockReadingAge{30000};

/// Invariant: RenewedAt <= ConfirmedAt, both in the past.
struct LeadershipEvidence {
  TimePoint RenewedAt{};   ///< When the last renewal that the store has answered was sent.
  TimePoint ConfirmedAt{}; ///< When there was last certainly no successor.
};

/// The store has answered a renewal, or the claim itself, that was sent at \p SentAt.
void noteRenewed(LeadershipEvidence &Known, TimePoint SentAt);
/// All peers have confirmed the term after they were asked at \p AskedAt. Counts for at most
/// \p MaxOutage after the last renewal.
void noteConfirmedByPeers(LeadershipEvidence &Known, TimePoint AskedAt, Milliseconds MaxOutage);
/// The longest lease that may be given to a worker at \p Now; 0: none.
Milliseconds permittedLease(const LeadershipEvidence &Known, Milliseconds WorkerLease,
                            TimePoint Now);
/// How far two clocks may have drifted apart in \p Time, each at a rate that is wrong by at most \p
/// ClockDrift.
Milliseconds driftDuring(Steady::duration Time, double ClockDrift);
/// The latest end, by the clock that reads \p From, of a lease of \p Longest that is given by then.
TimePoint latestLeaseEnd(TimePoint From, Milliseconds Longest,
                         const sched::SchedulerLimits &Limits);
/// The same of a lease of an earlier scheduler, by the clock of a successor. \p Left: what the
/// scheduler before noted of a worker as it ended its term, with its own allowance for drift and
/// before \p From; empty: nothing.
TimePoint inheritedLeaseEnd(TimePoint From, Milliseconds Longest, std::optional<Milliseconds> Left,
                            const sched::SchedulerLimits &Limits);
/// Whether runs may be started.
bool mayStartRuns(const LeadershipEvidence &Known, TimePoint Now);

/// The members that have to confirm a term while the store can't: those of the roster as read from
/// the store, and those of all rosters that this term may have written in its place. Empty if the
/// roster that was read has no other member: then nobody can confirm it.
std::map<std::string, sched::Member>
membersToAsk(const sched::Roster &Read, const std::map<std::string, sched::Member> &PossiblyWritten,
             const std::string &Self);

} // namespace valveshelf
