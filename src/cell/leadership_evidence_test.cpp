// SPDX-License-Identifier: Apache-2.0
// Guards against leases and starts that outlive what a successor waits for.
#include "cell/leadership_evidence.h"

#include <gtest/gtest.h>

namespace valveshelf {
namespace {
using namespace sched;
using namespace std::chrono_literals;

constexpr TimePoint Begun = TimePoint{} + 1000s;
constexpr Milliseconds Lease{5000};
constexpr Milliseconds MaxOutage{20000};

LeadershipEvidence renewedAt(TimePoint SentAt) {
  LeadershipEvidence Known;
  noteRenewed(Known, SentAt);
  return Known;
}

TEST(LeadershipEvidence, ALeaseEndsWithTheLastRenewalThatWasSent) {
  const LeadershipEvidence Known = renewedAt(Begun);
  EXPECT_EQ(permittedLease(Known, Lease, Begun), Lease);
  EXPECT_EQ(permittedLease(Known, Lease, Begun + 1200ms), Lease - 1200ms);
  EXPECT_EQ(permittedLease(Known, Lease, Begun + 1200ms + 1us), Lease - 1201ms) << "rounded down";
  EXPECT_EQ(permittedLease(Known, Lease, Begun + Lease), 0ms);
  EXPECT_EQ(permittedLease(Known, Lease, Begun + 1h), 0ms);
}

TEST(LeadershipEvidence, AnAnswerThatWasOvertakenTakesNothingBack) {
  LeadershipEvidence Known = renewedAt(Begun + 1s);
  noteRenewed(Known, Begun);
  EXPECT_EQ(Known.ConfirmedAt, Begun + 1s);
}

TEST(LeadershipEvidence, PeersConfirmForTheLongestOutageOnly) {
  LeadershipEvidence Known = renewedAt(Begun);
  noteConfirmedByPeers(Known, Begun + 14s, MaxOutage);
  EXPECT_EQ(permittedLease(Known, Lease, Begun + 14s), Lease);
  EXPECT_TRUE(mayStartRuns(Known, Begun + 15s));
  noteConfirmedByPeers(Known, Begun + 30s, MaxOutage);
  EXPECT_EQ(Known.ConfirmedAt, Begun + MaxOutage);
  EXPECT_EQ(permittedLease(Known, Lease, Begun + 30s), 0ms);
  noteRenewed(Known, Begun + 31s);
  EXPECT_EQ(permittedLease(Known, Lease, Begun + 31s), Lease);
}

TEST(LeadershipEvidence, StartsNeedARecentConfirmation) {
  const LeadershipEvidence Known = renewedAt(Begun);
  EXPECT_TRUE(mayStartRuns(Known, Begun + MaxStartEvidenceAge));
  EXPECT_FALSE(mayStartRuns(Known, Begun + MaxStartEvidenceAge + 1ms));
}

Member member(const std::string &Name) { return {Name, {"127.0.0.1", 1}, "z", 1}; }

TEST(LeadershipEvidence, AllMembersOfAnyPossibleRosterAreAsked) {
  Roster Read;
  Read.Members = {member("a"), member("b")};
  const auto Asked = membersToAsk(Read, {{"a", member("a")}, {"c", member("c")}}, "a");
  ASSERT_EQ(Asked.size(), 2U);
  EXPECT_EQ(Asked.count("b") + Asked.count("c"), 2U);
}

TEST(LeadershipEvidence, NobodyConfirmsWithoutAPeerInTheRosterThatWasRead) {
  Roster Alone;
  Alone.Members = {member("a")};
  EXPECT_TRUE(membersToAsk(Alone, {{"c", member("c")}}, "a").empty());
  EXPECT_TRUE(membersToAsk({}, {{"c", member("c")}}, "a").empty());
}

// Guards against a wait that is begun again, and against one that is shorter than the leases.
TEST(LeadershipEvidence, ASuccessorWaitsForTheRestOfALeaseAndNeverForMore) {
  SchedulerLimits Limits;
  Limits.ClockDrift = 0.02;
  Limits.LeaseMargin = 300ms;
  EXPECT_EQ(inheritedLeaseEnd(Begun, Lease, std::nullopt, Limits), Begun + 5500ms);
  EXPECT_EQ(inheritedLeaseEnd(Begun, Lease, 0ms, Limits), Begun);
  EXPECT_EQ(inheritedLeaseEnd(Begun, Lease, 1000ms, Limits), Begun + 1040ms);
  EXPECT_EQ(inheritedLeaseEnd(Begun, Lease, 60s, Limits), Begun + 5500ms);
}

} // namespace
} // namespace valveshelf
