// SPDX-License-Identifier: Apache-2.0
// What all processes know of each other, and what that costs in a fleet of any size.
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

TEST(Roster, ASmallCellStandsOnItWhole) {
  const auto All = fleetOf(7);
  const auto Next = nextRoster({}, All);
  ASSERT_TRUE(Next);
  EXPECT_EQ(Next->Members.size(), 7u);
  EXPECT_EQ(Next->Processes, 7u);
  EXPECT_FALSE(nextRoster(*Next, All)) << "nothing has changed";
}

TEST(Roster, TakesTheStrongestOfEachZone) {
  const auto Next = nextRoster({}, fleetOf(1000, 5));
  ASSERT_TRUE(Next);
  EXPECT_EQ(Next->Members.size(), RosterSize);
  std::map<std::string, int> Zones;
  for (const Member &One : Next->Members)
    ++Zones[One.Zone];
  EXPECT_EQ(Zones.size(), 5u) << "the loss of a zone leaves the others";
  EXPECT_EQ(Next->Members.front().Power, 1.0);
}

// Each change of the roster goes to every process.
TEST(Roster, RestsWhileOthersComeAndGo) {
  auto All = fleetOf(1000);
  const auto Standing = nextRoster({}, All);
  ASSERT_TRUE(Standing);
  const std::set<std::string> Listed = namesOf(*Standing);
  int Gone = 0;
  for (auto At = All.begin(); At != All.end() && Gone < 150;) {
    const bool Leaves = !Listed.count(At->first);
    Gone += Leaves ? 1 : 0;
    At = Leaves ? All.erase(At) : std::next(At);
  }
  All["a-newcomer"] = memberOf("a-newcomer", "z0", 1.0);
  EXPECT_FALSE(nextRoster(*Standing, All));
}

TEST(Roster, ReplacesWhoHasVanishedAndKeepsWhoMayBeBack) {
  auto All = fleetOf(1000);
  const auto Standing = nextRoster({}, All);
  ASSERT_TRUE(Standing);
  const std::string Lost = Standing->Members.front().Name;
  All.erase(Lost);
  const auto Next = nextRoster(*Standing, All);
  ASSERT_TRUE(Next);
  EXPECT_EQ(namesOf(*Next).count(Lost), 0u);
  // All entries but two have lapsed with an outage of the store; nobody is forgotten for that.
  std::map<std::string, Member> Two;
  for (const Member &One : {Next->Members[0], Next->Members[1]})
    Two[One.Name] = One;
  const auto After = nextRoster(*Next, Two);
  ASSERT_TRUE(After);
  EXPECT_EQ(namesOf(*After), namesOf(*Next));
}

TEST(Roster, ClaimsComeOneAfterTheOtherAndOutsidersBehind) {
  std::map<std::string, Member> Known;
  for (const Member &One : {memberOf("a", "z", 0.5), memberOf("b", "z", 1.0), memberOf("c")})
    Known[One.Name] = One;
  EXPECT_EQ(claimTurn(Known, Known.at("b")), 0ms);
  EXPECT_EQ(claimTurn(Known, Known.at("a")), 30ms);
  EXPECT_EQ(claimTurn(Known, Known.at("c")), 60ms);
  EXPECT_GE(claimTurn(Known, memberOf("x", "z", 4.0)), 90ms);
  // Nobody has counted yet: the strong claim before the weak.
  for (int I = 0; I < 100; ++I) {
    const std::string Name = "box-" + std::to_string(I);
    EXPECT_LT(claimTurn({}, memberOf(Name, "z", 1.0)), claimTurn({}, memberOf("weak", "z", 0.12)));
  }
}

TEST(Roster, AFleetOfAnySizeMakesTheSameNumberOfCalls) {
  EXPECT_EQ(sharedPace(30, 1500ms), 1500ms);
  EXPECT_EQ(sharedPace(0, 1500ms), 1500ms);
  for (const size_t Boxes : {100U, 300U, 585U, 750U}) {
    const auto Pace = std::chrono::duration<double>(sharedPace(Boxes, 1500ms)).count();
    EXPECT_LE(static_cast<double>(Boxes) / Pace, 67.0) << Boxes;
  }
  EXPECT_EQ(sharedPace(100000, 1500ms), 15s);
}

TEST(Roster, InALargeFleetFewHearTheStoreAndTheOthersShareThem) {
  const auto Small = nextRoster({}, fleetOf(40));
  for (const auto &[Name, One] : fleetOf(40))
    EXPECT_TRUE(hearsStore(*Small, Name));
  EXPECT_TRUE(hearsStore({}, "box-1")) << "nobody has counted yet";
  auto All = fleetOf(1000);
  uint16_t Port = 1000;
  for (auto &[Name, One] : All)
    One.Peers.Port = ++Port;
  const auto Large = nextRoster({}, All);
  size_t Hear = 0;
  std::map<uint16_t, int> FirstOf;
  for (auto &[Name, One] : All) {
    Hear += hearsStore(*Large, Name) ? 1 : 0;
    const auto Hearers = hearersFor(*Large, Name);
    EXPECT_EQ(Hearers.size(), RosterSize - (hearsStore(*Large, Name) ? 1 : 0));
    ++FirstOf[Hearers.front().Port];
  }
  EXPECT_EQ(Hear, RosterSize);
  EXPECT_GE(FirstOf.size(), RosterSize - 1);
  for (const auto &[First, Count] : FirstOf)
    EXPECT_LE(Count, 100) << "twice and a half a fair share";
}

// What one process that does not schedule calls and is sent in some seconds of a fleet that starts.
struct Idle {
  size_t Bytes = 0;
  int Calls = 0;
};

Idle playStart(int Boxes) {
  boost::asio::io_context Io;
  fakes::FakeKeyValueStore Store(Io);
  CellSettings Settings;
  Settings.Member = "box-0";
  Idle Seen;
  KeyValueStore Ops = Store.ops();
  Ops.Watch = [&, Inner = Ops.Watch](std::string Prefix, uint64_t After,
                                     Milliseconds Wait) -> Awaitable<Result<KeyChanges>> {
    ++Seen.Calls;
    Result<KeyChanges> Read = co_await Inner(Prefix, After, Wait);
    for (const KeyChange &Change : value(Read).Changes)
      Seen.Bytes += Change.Item.Key.size() + Change.Item.Value.size();
    co_return Read;
  };
  CellView View(Io.get_executor(), Ops, Settings, [] {});
  View.start();
  Io.run_for(20ms);
  const auto All = fleetOf(Boxes);
  Roster Standing;
  std::map<std::string, Member> Come;
  int Count = 0;
  for (const auto &[Name, One] : All) { // the others come, and the scheduler publishes now and then
    Store.put(memberKey(Name), encodeMember(One), 0);
    Come[Name] = One;
    if (++Count % (Boxes / 5) != 0)
      continue;
    if (const auto Next = nextRoster(Standing, Come)) {
      Standing = *Next;
      Store.put(std::string(RosterKey), encodeRoster(Standing), 0);
    }
    Io.run_for(10ms);
  }
  Io.run_for(3s);
  View.stop();
  Io.run_for(20ms);
  return Seen;
}

TEST(Roster, AProcessThatDoesNotScheduleIsToldTheSameInAFleetOfAnySize) {
  const Idle Small = playStart(30);
  const Idle Large = playStart(1000);
  EXPECT_LE(Large.Bytes, Small.Bytes * 2) << Small.Bytes;
  EXPECT_LE(Large.Calls, Small.Calls);
}

// The scheduler knows all, and tells the others.
TEST(Roster, IsPublishedByTheSchedulerOnly) {
  boost::asio::io_context Io;
  fakes::FakeKeyValueStore Store(Io);
  CellSettings Settings;
  Store.put(std::string(LeaderKey), "me", 0);
  constexpr uint64_t Leader = 2;
  for (const auto &[Name, One] : fleetOf(40))
    Store.put(memberKey(Name), encodeMember(One), 0);
  Roster Standing;
  MemberList::Links Around{[] {}, [&]() -> const Roster & { return Standing; }};
  auto List =
      std::make_shared<MemberList>(Io.get_executor(), Store.ops(), Settings, Leader, Around);
  List->start();
  Io.run_for(700ms);
  EXPECT_EQ(List->members().size(), 40u);
  Result<Roster> Read = decodeRoster(Store.value(std::string(RosterKey)));
  ASSERT_TRUE(ok(Read));
  EXPECT_EQ(value(Read).Members.size(), RosterSize);
  EXPECT_EQ(value(Read).Processes, 40u);
  Store.put(std::string(LeaderKey), "another", 0); // this one has been replaced
  Store.remove(std::string(RosterKey));
  Io.run_for(700ms);
  EXPECT_EQ(Store.value(std::string(RosterKey)), "");
  List->stop();
  Io.run_for(2s);
}

} // namespace
} // namespace valveshelf
