// SPDX-License-Identifier: Apache-2.0
// Leader election against an in-memory store: unique leaders, takeover from a failed scheduler, and
// handover to a better one.
#include "cell/leadership.h"

#include "fakes/fake_key_value_store.h"

#include <boost/asio.hpp>
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <optional>

namespace valveshelf {
namespace {
using namespace sched;
using namespace std::chrono_literals;

struct Bench {
  boost::asio::io_context Io;
  fakes::FakeKeyValueStore Store{Io};
  CellSettings Settings;
  CellMetrics Metrics;
  TrafficMeter Traffic{Clock{}};
  BurnBook Burn;
  std::unique_ptr<CellView> View;
  std::unique_ptr<Leadership> Lead;
  bool PeerListens = true;
  size_t ProbesRefused = 0; ///< So many probes are refused first, unless the peer listens.
  std::vector<Milliseconds> ProbeTimes;
  bool PeerCouldSchedule = true;
  bool IsStoreDirectlyReachable = true;
  /// By port: what peers answer about a term. Others don't answer.
  std::map<uint16_t, TermAnswer> Terms;
  std::vector<std::pair<uint16_t, bool>> AskedTerms; ///< By port, and whether it was claimed.
  Roster Published;                                  ///< Lists the members that a test adds.
  std::vector<std::pair<Endpoint, uint64_t>>
      Asked; ///< Peers asked whether they can schedule, with the failed term.

  explicit Bench(const std::string &Name) {
    Settings.Member = Name;
    Settings.Zone = "z";
    Settings.Peers = {"127.0.0.1", 1};
    Settings.Timing.WatchTime = 50ms;
    Settings.Timing.LeaderLease = 400ms;
    View = std::make_unique<CellView>(Io.get_executor(), Store.ops(), Settings,
                                      [this] { Lead->viewChanged(); });
    SchedulerDependencies Tools{
        Io.get_executor(),
        Clock{},
        Settings,
        Store.ops(),
        silentWorkers(),
        {},
        "servers/",
        "op/evacuate/",
        [](std::string_view, std::string_view) -> Result<WorkerInfo> { return Error{}; },
        Metrics,
        Burn,
        [] { return true; },
        Traffic};
    LeadershipCallbacks Callbacks;
    Callbacks.Probe = [this](Endpoint, Milliseconds Time) -> Awaitable<ProbeResult> {
      ProbeTimes.push_back(Time);
      if (PeerListens)
        co_return ProbeResult::Listening;
      co_return ProbeTimes.size() <= ProbesRefused ? ProbeResult::Refused : ProbeResult::NoAnswer;
    };
    Callbacks.CanSchedule = [this](Endpoint To, uint64_t FailedTerm) -> Awaitable<bool> {
      Asked.emplace_back(To, FailedTerm);
      co_return PeerCouldSchedule;
    };
    Callbacks.AskTerm = [this](Endpoint To, uint64_t,
                               bool IsClaimed) -> Awaitable<std::optional<TermAnswer>> {
      AskedTerms.emplace_back(To.Port, IsClaimed);
      const auto Found = Terms.find(To.Port);
      co_return Found == Terms.end() ? std::nullopt : std::optional(Found->second);
    };
    Callbacks.IsStoreDirectlyReachable = [this] { return IsStoreDirectlyReachable; };
    Lead = std::make_unique<Leadership>(Tools, *View, Callbacks);
  }

  static WorkerLink silentWorkers() {
    WorkerLink Link;
    Link.Heartbeat = [](HeartbeatRequest) -> Awaitable<Result<WorkerReport>> {
      co_return Error{ErrorKind::UpstreamUnavailable, "no answer"};
    };
    return Link;
  }
  // Runs until \p Holds returns true, for a few seconds at most.
  bool runUntil(const std::function<bool()> &Holds) {
    const TimePoint Limit = Steady::now() + 5s;
    while (!Holds() && Steady::now() < Limit)
      Io.run_for(5ms);
    return Holds();
  }
  void addMember(const std::string &Name, double Power, uint16_t Port = 9) {
    const Member One{Name, {"127.0.0.1", Port}, "z", Power};
    Store.put(memberKey(Name), encodeMember(One), 0);
    Published.Members.push_back(One);
    Store.put(std::string(RosterKey), encodeRoster(Published), 0);
  }
  std::string leaderName() {
    Result<Leader> Read = decodeLeader(Store.value(std::string(LeaderKey)));
    return ok(Read) ? value(Read).Name : "";
  }
};

TEST(Leadership, ClaimsUnclaimedCell) {
  Bench Given("a");
  Given.View->start();
  Given.Lead->start();
  EXPECT_TRUE(Given.runUntil([&] { return Given.Lead->scheduler() != nullptr; }));
  EXPECT_EQ(Given.leaderName(), "a");
  EXPECT_EQ(Given.Store.value(std::string(TermKey)), "1 0 bounded");
}

TEST(Leadership, DoesNotOverwriteConcurrentClaim) {
  Bench Given("b");
  bool Raced = false;
  // Another process claims between this one's decision and its transaction, and the watch reports
  // it.
  int Grants = 0;
  Given.Store.BeforeGrant = [&]() -> Awaitable<void> {
    // The first lease is for the member key, the second for the claim.
    if (++Grants != 2)
      co_return;
    Raced = true;
    Given.Store.put(std::string(LeaderKey), encodeLeader({"a", {"127.0.0.1", 2}, 1}), 0);
    while (Given.View->snapshot().LeaderRevision == 0)
      co_await sleepFor(2ms);
  };
  Given.Lead->start();
  Given.View->start();
  ASSERT_TRUE(Given.runUntil([&] { return Raced && Given.leaderName() == "a"; }));
  Given.Io.run_for(300ms);
  EXPECT_EQ(Given.leaderName(), "a");
  EXPECT_EQ(Given.Lead->scheduler(), nullptr);
}

TEST(Leadership, ReplacesSchedulerThatDoesNotListen) {
  Bench Given("b");
  Given.Store.put(std::string(LeaderKey), encodeLeader({"a", {"127.0.0.1", 2}, 3}), 0);
  Given.Store.put(std::string(TermKey), "3", 0);
  Given.View->start();
  Given.Lead->start();
  ASSERT_TRUE(Given.runUntil([&] { return Given.View->snapshot().Leader.has_value(); }));
  spawnLater(Given.Io.get_executor(), Given.Lead->probeLeader());
  Given.Io.run_for(100ms);
  EXPECT_EQ(Given.leaderName(), "a"); // it still listens
  Given.PeerListens = false;
  spawnLater(Given.Io.get_executor(), Given.Lead->probeLeader());
  EXPECT_TRUE(Given.runUntil([&] { return Given.Lead->scheduler() != nullptr; }));
  EXPECT_EQ(Given.leaderName(), "b");
  EXPECT_EQ(Given.Store.value(std::string(TermKey)), "4");
}

// Otherwise two schedulers behind saturated links would depose each other forever.
TEST(Leadership, ProbesLongerAfterRecentTakeover) {
  Bench Given("b");
  Given.Settings.Timing.LeaderLease = 1500ms;
  const auto Lead = [&](uint64_t Term) {
    Given.Store.put(std::string(LeaderKey), encodeLeader({"a", {"127.0.0.1", 2}, Term}), 0);
  };
  Lead(3);
  Given.View->start();
  Given.Lead->start();
  ASSERT_TRUE(Given.runUntil([&] { return !Given.ProbeTimes.empty(); }));
  Lead(4);
  ASSERT_TRUE(Given.runUntil([&] { return Given.View->snapshot().Leader->Term == 4; }));
  spawnLater(Given.Io.get_executor(), Given.Lead->probeLeader());
  ASSERT_TRUE(Given.runUntil([&] { return Given.ProbeTimes.size() > 1; }));
  EXPECT_EQ(Given.ProbeTimes.front(), 150ms);
  EXPECT_EQ(Given.ProbeTimes.back(), 450ms);
}

TEST(Leadership, NotifiesStrongerMembersOfFailedScheduler) {
  Bench Given("weak");
  Given.Settings.Power = 0.1;
  Given.Store.put(std::string(LeaderKey), encodeLeader({"a", {"127.0.0.1", 2}, 3}), 0);
  Given.Store.put(std::string(TermKey), "3", 0);
  Given.addMember("a", 0.5);
  Given.addMember("strong", 0.5);
  Given.addMember("equal", 0.1);
  Given.View->start();
  Given.Lead->start();
  ASSERT_TRUE(Given.runUntil([&] { return Given.View->snapshot().Leader.has_value(); }));
  Given.PeerListens = false;
  spawnLater(Given.Io.get_executor(), Given.Lead->probeLeader());
  ASSERT_TRUE(Given.runUntil([&] { return !Given.Asked.empty(); }));
  EXPECT_EQ(Given.Asked, (std::vector{std::pair(Endpoint{"127.0.0.1", 9}, uint64_t{3})}));
}

TEST(Leadership, TakesOverWhenNotifiedOfFailedScheduler) {
  Bench Given("strong");
  Given.Store.put(std::string(LeaderKey), encodeLeader({"a", {"127.0.0.1", 2}, 3}), 0);
  Given.Store.put(std::string(TermKey), "3", 0);
  Given.View->start();
  Given.Lead->start();
  ASSERT_TRUE(Given.runUntil([&] { return Given.View->snapshot().Leader.has_value(); }));
  Given.Io.run_for(20ms);
  Given.PeerListens = false;
  EXPECT_TRUE(Given.Lead->canSchedule(3));
  EXPECT_TRUE(Given.runUntil([&] { return Given.leaderName() == "strong"; }));
}

TEST(Leadership, ProbesSchedulerAtStart) {
  Bench Given("b");
  Given.Store.put(std::string(LeaderKey), encodeLeader({"a", {"127.0.0.1", 2}, 3}), 0);
  Given.Store.put(std::string(TermKey), "3", 0);
  Given.PeerListens = false;
  Given.View->start();
  Given.Lead->start();
  EXPECT_TRUE(Given.runUntil([&] { return Given.leaderName() == "b"; }));
}

TEST(Leadership, HandsOverToMuchStrongerProcess) {
  Bench Given("weak");
  Given.Settings.Power = 0.1;
  Given.View->start();
  Given.Lead->start();
  ASSERT_TRUE(Given.runUntil([&] { return Given.Lead->scheduler() != nullptr; }));
  Given.addMember("strong", 0.5);
  EXPECT_TRUE(Given.runUntil([&] { return Given.leaderName() == ""; }));
}

TEST(Leadership, KeepsTermIfNoOtherProcessCanSchedule) {
  Bench Given("weak");
  Given.Settings.Power = 0.1;
  Given.PeerCouldSchedule = false;
  Given.View->start();
  Given.Lead->start();
  ASSERT_TRUE(Given.runUntil([&] { return Given.Lead->scheduler() != nullptr; }));
  Given.addMember("strong", 0.5);
  ASSERT_TRUE(Given.runUntil([&] { return !Given.Asked.empty(); }));
  Given.Io.run_for(300ms);
  EXPECT_EQ(Given.leaderName(), "weak");
}

// Guards against a cell without a scheduler for the length of an outage: no successor can claim.
TEST(Leadership, HandsOverOnlyWhileTheStoreAnswers) {
  Bench Given("weak");
  Given.Settings.Power = 0.1;
  Given.View->start();
  Given.Lead->start();
  ASSERT_TRUE(Given.runUntil([&] { return Given.Lead->scheduler() != nullptr; }));
  Given.addMember("strong", 0.5);
  Given.Io.run_for(1500ms);
  Given.Store.Down = true;
  Given.Io.run_for(1500ms);
  EXPECT_TRUE(Given.Asked.empty());
  EXPECT_NE(Given.Lead->scheduler(), nullptr);
  Given.Store.Down = false;
  EXPECT_TRUE(Given.runUntil([&] { return Given.leaderName() == ""; }));
}

// Guards against a handover that leaves the key in place, which only this process then claims.
TEST(Leadership, HandsOverOnlyWhenItMayEndItsLease) {
  Bench Given("weak");
  Given.Settings.Power = 0.1;
  Given.Store.put(std::string(TermKey), "3", 0);
  Given.addMember("strong", 0.5); // does not answer whether it has confirmed term 3
  Given.View->start();
  Given.Lead->start();
  ASSERT_TRUE(Given.runUntil([&] { return Given.Lead->scheduler() != nullptr; }));
  ASSERT_TRUE(Given.Lead->scheduler()->mayPredecessorStart());
  Given.Io.run_for(3000ms);
  EXPECT_EQ(Given.Store.value(std::string(TermKey)), "4");
  EXPECT_NE(Given.Lead->scheduler(), nullptr);
}

TEST(Leadership, HandsOverWhenStoreIsNotDirectlyReachable) {
  Bench Given("a");
  Given.View->start();
  Given.Lead->start();
  ASSERT_TRUE(Given.runUntil([&] { return Given.Lead->scheduler() != nullptr; }));
  Given.addMember("equal", Given.Settings.Power);
  Given.Io.run_for(2500ms);
  EXPECT_EQ(Given.leaderName(), "a");
  Given.IsStoreDirectlyReachable = false;
  EXPECT_TRUE(Given.runUntil([&] { return Given.leaderName() == ""; }));
}

TEST(Leadership, KeepsTermAfterStoreOutageForAll) {
  Bench Given("a");
  Given.View->start();
  Given.Lead->start();
  ASSERT_TRUE(Given.runUntil([&] { return Given.Lead->scheduler() != nullptr; }));
  Given.addMember("equal", Given.Settings.Power);
  Given.Io.run_for(2200ms);
  Given.IsStoreDirectlyReachable = false;
  Given.Store.Down = true;
  Given.Io.run_for(1300ms);
  Given.Store.Down = false; // first reached through a peer
  Given.Io.run_for(500ms);
  EXPECT_EQ(Given.leaderName(), "a");
}

// A scheduler of the peers "b" and "c", which have as much power.
struct SchedulerWithPeers : Bench {
  SchedulerWithPeers() : Bench("a") {
    Settings.Power = 0.5;
    addMember("a", 0.5, 1);
    addMember("b", 0.5, 11);
    addMember("c", 0.5, 12);
    Terms[11] = {"b", true};
    Terms[12] = {"c", true};
    View->start();
    Lead->start();
    EXPECT_TRUE(runUntil([&] { return Lead->scheduler() != nullptr; }));
    Io.run_for(300ms);
  }
  // How long ago its leadership was confirmed, after an outage of the store for 1.5 s.
  Steady::duration ageAfterOutage() {
    Store.Down = true;
    Io.run_for(1500ms);
    return Steady::now() - Lead->scheduler()->leadershipConfirmedAt();
  }
};

// Guards against work that is lost in an outage of the store that all processes share.
TEST(Leadership, AllPeersConfirmAnotherWhileTheStoreIsDown) {
  SchedulerWithPeers Given;
  EXPECT_LT(Given.ageAfterOutage(), 1100ms);
}

// Guards against leases given by a scheduler that is cut off, while a member that it can't ask has
// taken over.
TEST(Leadership, APeerThatDoesNotAnswerConfirmsNothing) {
  SchedulerWithPeers Given;
  Given.Terms.erase(12);
  EXPECT_GE(Given.ageAfterOutage(), 1400ms);
}

TEST(Leadership, APeerThatKnowsANewerTermConfirmsNothing) {
  SchedulerWithPeers Given;
  Given.Terms[12].IsNewest = false;
  EXPECT_GE(Given.ageAfterOutage(), 1400ms);
}

// A new machine may have the address of one that was removed.
TEST(Leadership, AnotherMemberAtAPeersAddressConfirmsNothing) {
  SchedulerWithPeers Given;
  Given.Terms[12].Member = "d";
  EXPECT_GE(Given.ageAfterOutage(), 1400ms);
}

TEST(Leadership, AProcessWithoutPeersIsNotConfirmed) {
  Bench Given("a");
  Given.View->start();
  Given.Lead->start();
  ASSERT_TRUE(Given.runUntil([&] { return Given.Lead->scheduler() != nullptr; }));
  Given.Store.Down = true;
  Given.Io.run_for(1500ms);
  EXPECT_GE(Steady::now() - Given.Lead->scheduler()->leadershipConfirmedAt(), 1400ms);
}

TEST(Leadership, ConfirmsOnlyTheTermThatItKnowsAsTheNewest) {
  Bench Given("b");
  EXPECT_FALSE(Given.Lead->answerTerm(3, false).IsNewest) << "it has read nothing yet";
  Given.Store.put(std::string(LeaderKey), encodeLeader({"a", {"127.0.0.1", 2}, 3}), 0);
  Given.Store.put(std::string(TermKey), "3", 0);
  Given.View->start();
  Given.Lead->start();
  ASSERT_TRUE(Given.runUntil([&] { return Given.View->snapshot().Leader.has_value(); }));
  EXPECT_TRUE(Given.Lead->answerTerm(3, false).IsNewest);
  EXPECT_EQ(Given.Lead->answerTerm(3, false).Member, "b");
  EXPECT_FALSE(Given.Lead->answerTerm(2, false).IsNewest);
  Given.Lead->answerTerm(4, true);
  EXPECT_FALSE(Given.Lead->answerTerm(3, false).IsNewest) << "a newer one was claimed";
}

TEST(Leadership, EndsItsTermWhenANewerOneWasClaimed) {
  Bench Given("a");
  Given.View->start();
  Given.Lead->start();
  ASSERT_TRUE(Given.runUntil([&] { return Given.Lead->scheduler() != nullptr; }));
  EXPECT_FALSE(Given.Lead->answerTerm(1, false).IsNewest) << "it schedules itself";
  Given.Store.Down = true;
  Given.Lead->answerTerm(2, true);
  EXPECT_TRUE(Given.runUntil([&] { return Given.Lead->scheduler() == nullptr; }));
}

// Guards against renewals that the store answers to a scheduler which has been replaced: they would
// confirm it.
TEST(Leadership, EndsTheLeaseOfAFailedSchedulerBeforeItLoads) {
  Bench Given("b");
  const KeyValueStore Ops = Given.Store.ops();
  uint64_t Lease = 0;
  spawnLater(Given.Io.get_executor(), [](KeyValueStore Ops, uint64_t &Lease) -> Awaitable<void> {
    Lease = value(co_await Ops.GrantLease(1500ms));
  }(Ops, Lease));
  ASSERT_TRUE(Given.runUntil([&] { return Lease != 0; }));
  Given.Io.restart(); // it stopped when nothing was left to do
  Given.Store.put(std::string(LeaderKey), encodeLeader({"a", {"127.0.0.1", 2}, 3}), Lease);
  Given.Store.put(std::string(TermKey), "3", 0);
  Given.PeerListens = false;
  Given.View->start();
  Given.Lead->start();
  ASSERT_TRUE(Given.runUntil([&] { return Given.Lead->scheduler() != nullptr; }));
  bool IsRenewed = true;
  bool HasAnswer = false;
  spawnLater(
      Given.Io.get_executor(),
      [](KeyValueStore Ops, uint64_t Lease, bool &IsRenewed, bool &HasAnswer) -> Awaitable<void> {
        IsRenewed = ok(co_await Ops.RenewLease(Lease));
        HasAnswer = true;
      }(Ops, Lease, IsRenewed, HasAnswer));
  ASSERT_TRUE(Given.runUntil([&] { return HasAnswer; }));
  EXPECT_FALSE(IsRenewed);
}

// A claimant that the scheduler before has never heard of tells a process that it relies on.
TEST(Leadership, TellsTheRosterOfAClaimUnlessItIsAMember) {
  for (const bool IsMember : {false, true}) {
    Bench Given("new");
    Given.addMember("a", 0.5, 11);
    if (IsMember)
      Given.addMember("new", 0.5, 1);
    Given.View->start();
    Given.Lead->start();
    ASSERT_TRUE(Given.runUntil([&] { return Given.Lead->scheduler() != nullptr; }));
    const bool IsTold = std::find(Given.AskedTerms.begin(), Given.AskedTerms.end(),
                                  std::pair(uint16_t{11}, true)) != Given.AskedTerms.end();
    EXPECT_EQ(IsTold, !IsMember);
  }
}

// Guards against renewals that are answered after a claimant has overwritten the key and was lost:
// the next one ends the lease that the term key names.
TEST(Leadership, EndsTheLeaseThatAnEarlierClaimHasOverwritten) {
  Bench Given("b");
  const KeyValueStore Ops = Given.Store.ops();
  uint64_t Lease = 0;
  spawnLater(Given.Io.get_executor(), [](KeyValueStore Ops, uint64_t &Lease) -> Awaitable<void> {
    Lease = value(co_await Ops.GrantLease(1500ms));
  }(Ops, Lease));
  ASSERT_TRUE(Given.runUntil([&] { return Lease != 0; }));
  Given.Io.restart(); // it stopped when nothing was left to do
  Given.Store.put(std::string(TermKey), "3 " + std::to_string(Lease), 0);
  Given.View->start();
  Given.Lead->start();
  ASSERT_TRUE(Given.runUntil([&] { return Given.Lead->scheduler() != nullptr; }));
  EXPECT_EQ(Given.Store.value(std::string(TermKey)), "4");
  EXPECT_TRUE(Given.Lead->scheduler()->mayPredecessorStart());
  bool IsRenewed = true;
  bool HasAnswer = false;
  spawnLater(
      Given.Io.get_executor(),
      [](KeyValueStore Ops, uint64_t Lease, bool &IsRenewed, bool &HasAnswer) -> Awaitable<void> {
        IsRenewed = ok(co_await Ops.RenewLease(Lease));
        HasAnswer = true;
      }(Ops, Lease, IsRenewed, HasAnswer));
  ASSERT_TRUE(Given.runUntil([&] { return HasAnswer; }));
  EXPECT_FALSE(IsRenewed);
}

// Guards against new jobs that wait, for workers that can't be reached, for a scheduler that has
// certainly ended.
TEST(Leadership, ASchedulerWhoseClaimHasLapsedStartsNothingMore) {
  for (const bool HasLapsed : {true, false}) {
    Bench Given("b");
    Given.Store.put(std::string(TermKey), "3", 0);
    if (!HasLapsed)
      Given.Store.put(std::string(LeaderKey), encodeLeader({"a", {"127.0.0.1", 2}, 3}), 0);
    Given.PeerListens = false;
    Given.View->start();
    Given.Lead->start();
    ASSERT_TRUE(Given.runUntil([&] { return Given.Lead->scheduler() != nullptr; }));
    EXPECT_EQ(Given.Lead->scheduler()->mayPredecessorStart(), !HasLapsed);
  }
}

// After a loss of power of all boxes the scheduler's box claims again. Guards against new jobs that
// wait for its earlier process, which has certainly ended.
TEST(Leadership, AnEarlierProcessOfThisBoxStartsNothingMore) {
  const Endpoint OwnPeers{"127.0.0.1", 1};
  const Endpoint OtherPeers{"127.0.0.2", 1};
  struct Case {
    const char *What;
    std::string Term;
    Leader Before;
    bool MayStart;
  };
  for (const Case &One : {Case{"settled", "3 0 settled", {"b", OwnPeers, 3}, false},
                          Case{"others may go on", "3 57", {"b", OwnPeers, 3}, true},
                          Case{"not settled", "3", {"b", OwnPeers, 3}, true},
                          Case{"another address", "3 0 settled", {"b", OtherPeers, 3}, true},
                          Case{"another box", "3 0 settled", {"a", OwnPeers, 3}, true}}) {
    Bench Given("b");
    ASSERT_EQ(Given.Settings.Peers, OwnPeers);
    Given.Store.put(std::string(TermKey), One.Term, 0);
    Given.Store.put(std::string(LeaderKey), encodeLeader(One.Before), 0);
    Given.PeerListens = false;
    Given.View->start();
    Given.Lead->start();
    ASSERT_TRUE(Given.runUntil([&] { return Given.Lead->scheduler() != nullptr; })) << One.What;
    EXPECT_EQ(Given.Lead->scheduler()->mayPredecessorStart(), One.MayStart) << One.What;
  }
}

// Guards against new jobs that wait for a scheduler whose process has ended: nothing listens at its
// address. One that is cut off does not answer, and may go on.
TEST(Leadership, AProcessThatRefusesConnectionsStartsNothingMore) {
  struct Case {
    std::string Term;
    size_t ProbesRefused;
    bool MayStart;
  };
  for (const Case &One : {Case{"3 0 settled", 2, false}, Case{"3 0 settled", 1, true},
                          Case{"3 0 settled", 0, true}, Case{"3", 2, true}}) {
    Bench Given("b");
    Given.Store.put(std::string(TermKey), One.Term, 0);
    Given.Store.put(std::string(LeaderKey), encodeLeader({"a", {"127.0.0.1", 2}, 3}), 0);
    Given.PeerListens = false;
    Given.ProbesRefused = One.ProbesRefused;
    Given.View->start();
    Given.Lead->start();
    ASSERT_TRUE(Given.runUntil([&] { return Given.Lead->scheduler() != nullptr; }));
    EXPECT_EQ(Given.Lead->scheduler()->mayPredecessorStart(), One.MayStart)
        << One.Term << ", refused " << One.ProbesRefused;
  }
}

// A process that the scheduler before has never heard of may have let it go on.
TEST(Leadership, AnEarlierProcessOutsideTheRosterMayHaveBeenConfirmed) {
  Bench Given("b");
  Given.addMember("a", 0.5, 11);
  Given.Store.put(std::string(TermKey), "3 0 settled", 0);
  Given.Store.put(std::string(LeaderKey), encodeLeader({"b", Given.Settings.Peers, 3}), 0);
  Given.View->start();
  Given.Lead->start();
  ASSERT_TRUE(Given.runUntil([&] { return Given.Lead->scheduler() != nullptr; }));
  EXPECT_TRUE(Given.Lead->scheduler()->mayPredecessorStart());
}

// A successor may rely on it only once the schedulers before this one have certainly ended.
TEST(Leadership, NotesThatEarlierSchedulersHaveEnded) {
  Bench Given("b");
  Given.Store.put(std::string(TermKey), "3", 0);
  Given.Store.put(std::string(LeaderKey), encodeLeader({"a", {"127.0.0.1", 2}, 3}), 0);
  Given.PeerListens = false;
  Given.View->start();
  Given.Lead->start();
  ASSERT_TRUE(Given.runUntil([&] { return Given.Lead->scheduler() != nullptr; }));
  EXPECT_EQ(Given.Store.value(std::string(TermKey)), "4");
  ASSERT_TRUE(Given.runUntil(
      [&] { return Given.Store.value(std::string(TermKey)) == "4 0 settled bounded"; }));
  EXPECT_FALSE(Given.Lead->scheduler()->mayPredecessorStart());
}

// Guards against a successor that waits too short a time for leases that a scheduler of an earlier
// version has given: they may last longer by the drift of the worker's clock.
TEST(Leadership, NotesThatLeasesAreBoundedOnceThoseOfAnEarlierVersionHaveEnded) {
  Bench Given("b");
  Given.Store.put(std::string(TermKey), "3 0 settled", 0);
  Given.Store.put(std::string(LeaderKey), encodeLeader({"b", Given.Settings.Peers, 3}), 0);
  Given.View->start();
  Given.Lead->start();
  ASSERT_TRUE(Given.runUntil([&] { return Given.Lead->scheduler() != nullptr; }));
  Given.Io.run_for(1000ms);
  EXPECT_EQ(Given.Store.value(std::string(TermKey)), "4");
  EXPECT_TRUE(Given.runUntil(
      [&] { return Given.Store.value(std::string(TermKey)) == "4 0 settled bounded"; }));
}

TEST(Leadership, LeasesStayBoundedFromTermToTerm) {
  Bench Given("b");
  Given.Store.put(std::string(TermKey), "3 0 settled bounded", 0);
  Given.Store.put(std::string(LeaderKey), encodeLeader({"b", Given.Settings.Peers, 3}), 0);
  Given.View->start();
  Given.Lead->start();
  ASSERT_TRUE(Given.runUntil([&] { return Given.Lead->scheduler() != nullptr; }));
  EXPECT_EQ(Given.Store.value(std::string(TermKey)), "4 0 bounded");
}

// Guards against a wait for a lost worker that each scheduler begins anew: how long its runs may go
// on is passed on with the term, in a hand-over and in a planned stop.
TEST(Leadership, TellsTheNextSchedulerHowLongToWaitForAWorkerThatCannotBeReached) {
  for (const bool IsPlannedStop : {false, true}) {
    Bench Given("weak");
    Given.Settings.Power = 0.1;
    Given.Store.put(
        workerKey("lost"),
        encodeWorkerRecord({.Id = "lost", .Service = "pool", .Address = {"127.0.0.1", 9}}), 0);
    Given.View->start();
    Given.Lead->start();
    ASSERT_TRUE(Given.runUntil([&] { return Given.Lead->scheduler() != nullptr; }));
    Given.Io.run_for(500ms);
    if (IsPlannedStop)
      spawnLater(Given.Io.get_executor(), Given.Lead->leave());
    else
      Given.addMember("strong", 0.5);
    ASSERT_TRUE(Given.runUntil([&] { return Given.leaderName() == ""; }));
    const Result<LeaseEnds> Noted = decodeLeaseEnds(Given.Store.value(std::string(LeaseEndsKey)));
    ASSERT_TRUE(ok(Noted));
    EXPECT_EQ(value(Noted).Term, 1U);
    ASSERT_EQ(value(Noted).Left.count("lost"), 1U);
    EXPECT_LE(value(Noted).Left.at("lost"), 5000ms) << "500 ms of at most 5,500 have passed";
    EXPECT_GE(value(Noted).Left.at("lost"), 1000ms);
  }
}

} // namespace
} // namespace valveshelf
