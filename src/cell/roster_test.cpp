// SPDX-License-Identifier: Apache-2.0
// Selection and publication of the roster, and the load on the store in fleets of any size.
#include "cell/member_list.h"

#include "cell/cell_view.h"
#include "fakes/fake_key_value_store.h"

#include <boost/asio.hpp>
#include <gtest/gtest.h>

namespace valveshelf {
namespace {
using namespace sched;
using namespace std::chrono_literals;

Member memberOf(const std::string &Name, const std::string &Zone = "z", double Power = 0.25) {
  return {Name, {"10.0.0.1", 7}, Zone, Power};
}

std::map<std::string, Member> fleetOf(int Count, int Zones = 3) {
  std::map<std::string, Member> All;
  for (int I = 0; I < Count; ++I) {
    const std::string Name = "box-" + std::to_string(I);
    All[Name] = memberOf(Name, "z" + std::to_string(I % Zones), I % 10 == 0 ? 1.0 : 0.12);
  }
  return All;
}

std::set<std::string> namesOf(const Roster &Of) {
  std::set<std::string> Names;
  for (const Member &One : Of.Members)
    Names.insert(One.Name);
  return Names;
}

TEST(Roster, ListsEveryMemberOfSmallCell) {
  const auto All = fleetOf(7);
  const auto Next = nextRoster({}, All);
  ASSERT_TRUE(Next);
  EXPECT_EQ(Next->Members.size(), 7u);
  EXPECT_EQ(Next->Processes, 7u);
  EXPECT_FALSE(nextRoster(*Next, All)) << "nothing has changed";
}

TEST(Roster, ListsStrongestMembersOfEachZone) {
  const auto Next = nextRoster({}, fleetOf(1000, 5));
  ASSERT_TRUE(Next);
  EXPECT_EQ(Next->Members.size(), RosterSize);
  std::map<std::string, int> Zones;
  for (const Member &One : Next->Members)
    ++Zones[One.Zone];
  EXPECT_EQ(Zones.size(), 5u) << "members of every zone must be listed";
  EXPECT_EQ(Next->Members.front().Power, 1.0);
}

// Each change of the roster is sent to every process.
TEST(Roster, StaysUnchangedWhileUnlistedMembersComeAndGo) {
  auto All = fleetOf(1000);
  const auto Current = nextRoster({}, All);
  ASSERT_TRUE(Current);
  const std::set<std::string> Listed = namesOf(*Current);
  int Gone = 0;
  for (auto At = All.begin(); At != All.end() && Gone < 150;) {
    const bool Leaves = !Listed.count(At->first);
    Gone += Leaves ? 1 : 0;
    At = Leaves ? All.erase(At) : std::next(At);
  }
  All["a-newcomer"] = memberOf("a-newcomer", "z0", 1.0);
  EXPECT_FALSE(nextRoster(*Current, All));
}

TEST(Roster, ReplacesLostMemberAndSurvivesMassExpiry) {
  auto All = fleetOf(1000);
  const auto Current = nextRoster({}, All);
  ASSERT_TRUE(Current);
  const std::string Lost = Current->Members.front().Name;
  All.erase(Lost);
  const auto Next = nextRoster(*Current, All);
  ASSERT_TRUE(Next);
  EXPECT_EQ(namesOf(*Next).count(Lost), 0u);
  // All registrations but two have expired in an outage of the store; no member may be dropped for
  // that.
  std::map<std::string, Member> Two;
  for (const Member &One : {Next->Members[0], Next->Members[1]})
    Two[One.Name] = One;
  const auto After = nextRoster(*Next, Two);
  ASSERT_TRUE(After);
  EXPECT_EQ(namesOf(*After), namesOf(*Next));
}

TEST(Roster, ClaimDelayOrdersListedMembersBeforeOthers) {
  std::map<std::string, Member> Known;
  for (const Member &One : {memberOf("a", "z", 0.5), memberOf("b", "z", 1.0), memberOf("c")})
    Known[One.Name] = One;
  EXPECT_EQ(claimDelay(Known, Known.at("b")), 0ms);
  EXPECT_EQ(claimDelay(Known, Known.at("a")), 30ms);
  EXPECT_EQ(claimDelay(Known, Known.at("c")), 60ms);
  EXPECT_GE(claimDelay(Known, memberOf("x", "z", 4.0)), 90ms);
  // Without a roster, strong processes claim before weak ones.
  for (int I = 0; I < 100; ++I) {
    const std::string Name = "box-" + std::to_string(I);
    EXPECT_LT(claimDelay({}, memberOf(Name, "z", 1.0)),
              claimDelay({}, memberOf("weak", "z", 0.12)));
  }
}

TEST(Roster, SharedIntervalBoundsCallRateOfFleet) {
  EXPECT_EQ(sharedInterval(30, 1500ms), 1500ms);
  EXPECT_EQ(sharedInterval(0, 1500ms), 1500ms);
  for (const size_t Boxes : {100U, 300U, 585U, 750U}) {
    const auto Pace = std::chrono::duration<double>(sharedInterval(Boxes, 1500ms)).count();
    EXPECT_LE(static_cast<double>(Boxes) / Pace, 67.0) << Boxes;
  }
  EXPECT_EQ(sharedInterval(100000, 1500ms), 15s);
}

TEST(Roster, LargeFleetHasFewWatchersWithBalancedLoad) {
  const auto Small = nextRoster({}, fleetOf(40));
  for (const auto &[Name, One] : fleetOf(40))
    EXPECT_TRUE(watchesStore(*Small, Name));
  EXPECT_TRUE(watchesStore({}, "box-1")) << "no roster has been published";
  auto All = fleetOf(1000);
  uint16_t Port = 1000;
  for (auto &[Name, One] : All)
    One.Peers.Port = ++Port;
  const auto Large = nextRoster({}, All);
  size_t Hear = 0;
  std::map<uint16_t, int> FirstOf;
  for (auto &[Name, One] : All) {
    Hear += watchesStore(*Large, Name) ? 1 : 0;
    const auto Watchers = watchersFor(*Large, Name);
    EXPECT_EQ(Watchers.size(), RosterSize - (watchesStore(*Large, Name) ? 1 : 0));
    ++FirstOf[Watchers.front().Port];
  }
  EXPECT_EQ(Hear, RosterSize);
  EXPECT_GE(FirstOf.size(), RosterSize - 1);
  for (const auto &[First, Count] : FirstOf)
    EXPECT_LE(Count, 100) << "at most 2.5 times the fair share";
}

// Watch calls and received bytes of a process that is not the scheduler, while a fleet starts.
struct WatchTraffic {
  size_t Bytes = 0;
  int Calls = 0;
};

WatchTraffic watchFleetStart(int Boxes) {
  boost::asio::io_context Io;
  fakes::FakeKeyValueStore Store(Io);
  CellSettings Settings;
  Settings.Member = "box-0";
  WatchTraffic Traffic;
  KeyValueStore Ops = Store.ops();
  Ops.Watch = [&, Inner = Ops.Watch](std::string Prefix, uint64_t After,
                                     Milliseconds Wait) -> Awaitable<Result<KeyChanges>> {
    ++Traffic.Calls;
    Result<KeyChanges> Read = co_await Inner(Prefix, After, Wait);
    for (const KeyChange &Change : value(Read).Changes)
      Traffic.Bytes += Change.Item.Key.size() + Change.Item.Value.size();
    co_return Read;
  };
  CellView View(Io.get_executor(), Ops, Settings, [] {});
  View.start();
  Io.run_for(20ms);
  const auto All = fleetOf(Boxes);
  Roster Current;
  std::map<std::string, Member> Joined;
  int Count = 0;
  for (const auto &[Name, One] : All) { // the others register; the roster follows at intervals
    Store.put(memberKey(Name), encodeMember(One), 0);
    Joined[Name] = One;
    if (++Count % (Boxes / 5) != 0)
      continue;
    if (const auto Next = nextRoster(Current, Joined)) {
      Current = *Next;
      Store.put(std::string(RosterKey), encodeRoster(Current), 0);
    }
    Io.run_for(10ms);
  }
  Io.run_for(3s);
  View.stop();
  Io.run_for(20ms);
  return Traffic;
}

TEST(Roster, WatchTrafficOfNonSchedulerIsIndependentOfFleetSize) {
  const WatchTraffic Small = watchFleetStart(30);
  const WatchTraffic Large = watchFleetStart(1000);
  EXPECT_LE(Large.Bytes, Small.Bytes * 2) << Small.Bytes;
  EXPECT_LE(Large.Calls, Small.Calls);
}

// A scheduler that has been replaced must not overwrite the roster of its successor.
TEST(Roster, IsPublishedOnlyByCurrentScheduler) {
  boost::asio::io_context Io;
  fakes::FakeKeyValueStore Store(Io);
  CellSettings Settings;
  Store.put(std::string(LeaderKey), "me", 0);
  constexpr uint64_t Leader = 2;
  for (const auto &[Name, One] : fleetOf(40))
    Store.put(memberKey(Name), encodeMember(One), 0);
  Roster Current;
  MemberList::Callbacks ListCallbacks{[] {}, [&]() -> const Roster & { return Current; }};
  auto List = std::make_shared<MemberList>(Io.get_executor(), Store.ops(), Settings, Leader,
                                           Milliseconds(0), ListCallbacks);
  List->start();
  Io.run_for(700ms);
  EXPECT_EQ(List->members().size(), 40u);
  Result<Roster> Read = decodeRoster(Store.value(std::string(RosterKey)));
  ASSERT_TRUE(ok(Read));
  EXPECT_EQ(value(Read).Members.size(), RosterSize);
  EXPECT_EQ(value(Read).Processes, 40u);
  Store.put(std::string(LeaderKey), "another", 0); // a new leader: this scheduler has been replaced
  Store.remove(std::string(RosterKey));
  Io.run_for(700ms);
  EXPECT_EQ(Store.value(std::string(RosterKey)), "");
  List->stop();
  Io.run_for(2s);
}

// Guards against a claimant that is in the roster of a scheduler whose own predecessor may still go
// on and has never heard of it: that one's roster stays until it can't.
TEST(MemberList, PublishesNoRosterBeforeThePredecessorHasEnded) {
  boost::asio::io_context Io;
  fakes::FakeKeyValueStore Store(Io);
  CellSettings Settings;
  Store.put(std::string(LeaderKey), "me", 0);
  Store.put(memberKey("a"), encodeMember({"a", {"127.0.0.1", 1}, "z", 1}), 0);
  Roster Current;
  MemberList::Callbacks ListCallbacks{[] {}, [&]() -> const Roster & { return Current; }};
  auto List = std::make_shared<MemberList>(Io.get_executor(), Store.ops(), Settings, 2,
                                           Milliseconds(400), ListCallbacks);
  List->start();
  Io.run_for(300ms);
  EXPECT_EQ(List->members().size(), 1u);
  EXPECT_TRUE(Store.value(std::string(RosterKey)).empty());
  EXPECT_TRUE(List->possiblyWritten().empty());
  Io.run_for(600ms);
  EXPECT_FALSE(Store.value(std::string(RosterKey)).empty());
  EXPECT_EQ(List->possiblyWritten().size(), 1u);
  List->stop();
  Io.run_for(2s);
}

// A write of the roster that got no answer may still be applied: its members are kept.
TEST(MemberList, KeepsTheMembersOfARosterThatMayHaveBeenWritten) {
  boost::asio::io_context Io;
  fakes::FakeKeyValueStore Store(Io);
  CellSettings Settings;
  Settings.Timing.WatchTime = 50ms;
  Store.put(std::string(LeaderKey), "me", 0);
  for (const char *Name : {"a", "b"})
    Store.put(memberKey(Name), encodeMember({Name, {"127.0.0.1", 1}, "z", 1}), 0);
  Roster Current;
  MemberList::Callbacks ListCallbacks{[] {}, [&]() -> const Roster & { return Current; }};
  auto List = std::make_shared<MemberList>(Io.get_executor(), Store.ops(), Settings, 2,
                                           Milliseconds(0), ListCallbacks);
  Store.LoseAnswers = 1;
  List->start();
  Io.run_for(700ms);
  Store.remove(memberKey("b"));
  Io.run_for(1500ms);
  EXPECT_EQ(List->members().size(), 1u);
  EXPECT_EQ(List->possiblyWritten().size(), 2u);
  List->stop();
  Io.run_for(2s);
}

} // namespace
} // namespace valveshelf
