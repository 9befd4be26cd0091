// SPDX-License-Identifier: Apache-2.0
// Watches whose start revision was compacted by the store must read the current state again and
// notice removed keys.
#include "cell/cell_view.h"
#include "cell/config_watch.h"
#include "cell/member_list.h"

#include "fakes/fake_key_value_store.h"

#include <boost/asio.hpp>
#include <gtest/gtest.h>

namespace valveshelf {
namespace {
using namespace sched;
using namespace std::chrono_literals;

struct Watched {
  boost::asio::io_context Io;
  fakes::FakeKeyValueStore Store{Io};
  CellSettings Settings;
  Watched() {
    Settings.Member = "a";
    Settings.Timing.WatchTime = 50ms;
  }
  void play(Milliseconds Time) {
    Io.restart();
    Io.run_for(Time);
  }
  // Makes changes that no watch delivers and whose history is compacted.
  template <class Change> void changeUnobserved(Change Make) {
    Store.Down = true;
    play(100ms);
    Make();
    Store.ForgottenWatches = 1;
    Store.Down = false;
    play(600ms);
  }
};

TEST(CompactedHistory, CellViewReadsStateAgain) {
  Watched Given;
  Given.Store.put(std::string(LeaderKey), encodeLeader({"b", {"127.0.0.1", 2}, 3}), 0);
  CellView View(Given.Io.get_executor(), Given.Store.ops(), Given.Settings, [] {});
  View.start();
  Given.play(30ms);
  ASSERT_EQ(View.snapshot().Leader->Term, 3u);
  Given.changeUnobserved([&] { Given.Store.remove(std::string(LeaderKey)); });
  EXPECT_FALSE(View.snapshot().Leader);
  View.stop();
  Given.play(2s);
}

// Guards against taking the mark of a refusal that came before a call for one that came after it.
TEST(CompactedHistory, TheRevisionSeenByCellViewDoesNotFallBack) {
  Watched Given;
  Given.Store.put(std::string(LeaderKey), encodeLeader({"b", {"127.0.0.1", 2}, 3}), 0);
  KeyValueStore Ops = Given.Store.ops();
  bool IsUnreadable = false;
  Ops.Range = [&IsUnreadable, Inner = Ops.Range](std::string Prefix,
                                                 bool Stale) -> Awaitable<Result<KeyRange>> {
    if (IsUnreadable)
      co_return Error{ErrorKind::StoreUnavailable, "down"};
    co_return co_await Inner(std::move(Prefix), Stale);
  };
  CellView View(Given.Io.get_executor(), Ops, Given.Settings, [] {});
  View.start();
  Given.play(30ms);
  const uint64_t Seen = View.revision();
  ASSERT_GT(Seen, 0u);
  IsUnreadable = true;
  Given.Store.ForgottenWatches = 1;
  Given.play(200ms);
  EXPECT_EQ(Given.Store.ForgottenWatches, 0);
  EXPECT_GE(View.revision(), Seen) << "before the state is read again";
  IsUnreadable = false;
  Given.Store.remove(std::string(LeaderKey));
  Given.play(300ms);
  EXPECT_GT(View.revision(), Seen);
  EXPECT_FALSE(View.snapshot().Leader);
  View.stop();
  Given.play(2s);
}

TEST(CompactedHistory, MemberListReadsStateAgain) {
  Watched Given;
  for (const char *Name : {"a", "b"})
    Given.Store.put(memberKey(Name), encodeMember({Name, {"127.0.0.1", 2}, "z", 1}), 0);
  Roster Standing;
  auto List = std::make_shared<MemberList>(
      Given.Io.get_executor(), Given.Store.ops(), Given.Settings, 0, Milliseconds(0),
      MemberList::Callbacks{[] {}, [&]() -> const Roster & { return Standing; }});
  List->start();
  Given.play(30ms);
  ASSERT_EQ(List->members().size(), 2u);
  Given.changeUnobserved([&] { Given.Store.remove(memberKey("b")); });
  EXPECT_EQ(List->members().size(), 1u);
  List->stop();
  Given.play(1s);
}

TEST(CompactedHistory, ConfigWatchReadsStateAgain) {
  Watched Given;
  Given.Store.put("op/evacuate/z1", "{}", 0);
  ConfigWatchCallbacks Callbacks;
  Callbacks.FetchFromPeer = [](Endpoint, uint64_t,
                               Milliseconds) -> Awaitable<Result<PeerConfiguration>> {
    co_return Error{ErrorKind::UpstreamCut, "silent"};
  };
  Callbacks.Peers = [] { return std::vector<Endpoint>(); };
  Callbacks.IsScheduler = [] { return false; };
  Callbacks.WatchesStore = [] { return true; };
  Callbacks.Watchers = Callbacks.Peers;
  Callbacks.Changed = Callbacks.ZonesChanged = [] {};
  ConfigWatch Watch(
      Given.Io.get_executor(), Clock{}, Given.Store.ops(), Given.Settings,
      {"op/", "op/config", "op/evacuate/"},
      [](std::string_view) -> Result<CellConfiguration> { return CellConfiguration{}; }, Callbacks);
  Watch.start();
  Given.play(30ms);
  ASSERT_EQ(Watch.evacuated().Names.size(), 1u);
  Given.changeUnobserved([&] { Given.Store.remove("op/evacuate/z1"); });
  EXPECT_TRUE(Watch.evacuated().Names.empty());
  Watch.stop();
  Given.play(1s);
}

} // namespace
} // namespace valveshelf
