// SPDX-License-Identifier: Apache-2.0
// The configuration watch while the store is unreachable, or answers watches without delivering
// changes.
#include "cell/config_watch.h"

#include "fakes/fake_key_value_store.h"

#include <boost/asio.hpp>
#include <gtest/gtest.h>

namespace valveshelf {
namespace {
using namespace sched;
using namespace std::chrono_literals;

// A stored configuration is its version in decimal; organisation "north" has the key "k" followed
// by it.
Result<CellConfiguration> decode(std::string_view Bytes) {
  if (Bytes == "bad")
    return Error{ErrorKind::BadRequest, "bad"};
  CellConfiguration Config;
  Config.Version = std::stoull(std::string(Bytes));
  Config.Organisations = {{"north", {"k" + std::string(Bytes)}, 1, {}}};
  return Config;
}

struct Bench {
  boost::asio::io_context Io;
  fakes::FakeKeyValueStore Store{Io};
  CellSettings Settings;
  bool WatchDeliversNothing = false; ///< Watches are answered without any change.
  bool IsScheduler = false;
  bool WatchesStore = true;
  PeerConfiguration PeerHas;
  bool PeerAnswers = true;
  int PeersAsked = 0;
  int Changes = 0;
  int ZoneChanges = 0;
  std::unique_ptr<ConfigWatch> Config;

  void start() {
    Settings.Timing.WatchTime = 100ms;
    KeyValueStore Ops = Store.ops();
    Ops.Watch = [this, Inner = Ops.Watch](std::string Prefix, uint64_t After,
                                          Milliseconds Wait) -> Awaitable<Result<KeyChanges>> {
      if (!WatchDeliversNothing)
        co_return co_await Inner(Prefix, After, Wait);
      co_await sleepFor(Wait);
      co_return KeyChanges{{}, After};
    };
    ConfigWatchCallbacks Callbacks;
    Callbacks.FetchFromPeer = [this](Endpoint, uint64_t Have,
                                     Milliseconds Wait) -> Awaitable<Result<PeerConfiguration>> {
      ++PeersAsked;
      const TimePoint Until = Steady::now() + Wait;
      while (PeerAnswers && PeerHas.Version <= Have && Steady::now() < Until)
        co_await sleepFor(5ms);
      if (!PeerAnswers)
        co_return Error{ErrorKind::UpstreamCut, "silent"};
      co_return PeerHas;
    };
    Callbacks.Peers = [] { return std::vector<Endpoint>{{"127.0.0.1", 7}}; };
    Callbacks.IsScheduler = [this] { return IsScheduler; };
    Callbacks.WatchesStore = [this] { return WatchesStore; };
    Callbacks.Watchers = Callbacks.Peers;
    Callbacks.Changed = [this] { ++Changes; };
    Callbacks.ZonesChanged = [this] { ++ZoneChanges; };
    Config = std::make_unique<ConfigWatch>(Io.get_executor(), Clock{}, Ops, Settings,
                                           OperatorKeys{"op/", "op/config", "op/evacuate/"}, decode,
                                           Callbacks);
    Config->start();
  }
  void runFor(Milliseconds Time) {
    Io.restart();
    Io.run_for(Time);
  }
  ~Bench() {
    Config->stop();
    Io.restart();
    Io.run_for(700ms);
  }
};

TEST(ConfigWatch, AppliesNewerVersionOfPeerAtOnce) {
  Bench Given;
  Given.Store.put("op/config", "3", 0);
  Given.start();
  Given.runFor(50ms);
  ASSERT_EQ(Given.Config->version(), 3u);
  Given.Store.Down = true;
  Given.PeerHas = {"5", 5, 0ms};
  Given.Config->notePeerVersion({"127.0.0.1", 7}, 5);
  Given.runFor(20ms);
  EXPECT_EQ(Given.Config->version(), 5u);
  EXPECT_EQ(findKeyOwner(Given.Config->callerKeys(), "k3"), nullptr) << "the key was removed";
  EXPECT_NE(findKeyOwner(Given.Config->callerKeys(), "k5"), nullptr);
  EXPECT_EQ(Given.Changes, 2);
  Given.Store.Down = false; // it still has the older version
  Given.runFor(400ms);
  EXPECT_EQ(Given.Config->version(), 5u) << "must not return to an older version";
}

TEST(ConfigWatch, AsksPeerWhenStoreAndSchedulerAreSilent) {
  Bench Given;
  Given.Store.put("op/config", "3", 0);
  Given.start();
  Given.runFor(50ms);
  Given.Store.Down = true;
  Given.PeerHas = {"4", 4, 0ms};
  Given.runFor(1600ms);
  EXPECT_EQ(Given.Config->version(), 4u);
}

TEST(ConfigWatch, SchedulerReadsStoreWhenWatchDeliversNothing) {
  Bench Given;
  Given.Store.put("op/config", "3", 0);
  Given.IsScheduler = true;
  Given.start();
  Given.runFor(50ms);
  Given.WatchDeliversNothing = true;
  Given.PeerAnswers = false;
  Given.Store.put("op/config", "4", 0);
  Given.runFor(800ms);
  EXPECT_EQ(Given.Config->version(), 4u);
}

TEST(ConfigWatch, KeepsVersionInForceWhenNewOneIsInvalid) {
  Bench Given;
  Given.Store.put("op/config", "3", 0);
  Given.start();
  Given.runFor(50ms);
  Given.Store.put("op/config", "bad", 0);
  Given.runFor(50ms);
  EXPECT_EQ(Given.Config->version(), 3u);
}

TEST(ConfigWatch, UnconfirmedKeysExpireOnlyIfConfigured) {
  for (const bool Strict : {false, true}) {
    Bench Given;
    if (Strict)
      Given.Settings.Timing.UnconfirmedKeysTime = 600ms;
    Given.Store.put("op/config", "3", 0);
    Given.start();
    Given.runFor(200ms);
    EXPECT_FALSE(Given.Config->hasStaleKeys());
    Given.Store.Down = true;
    Given.PeerHas = {"", 3, 0ms}; // a peer that reaches the store confirms
    Given.runFor(1500ms);
    EXPECT_FALSE(Given.Config->hasStaleKeys());
    Given.PeerAnswers = false;
    Given.runFor(1500ms);
    EXPECT_EQ(Given.Config->hasStaleKeys(), Strict);
  }
}

TEST(ConfigWatch, TracksEvacuatedZonesUntilWithdrawn) {
  Bench Given;
  Given.Store.put("op/config", "3", 0);
  Given.Store.put("op/evacuate/north-a", "{}", 0);
  Given.start();
  Given.runFor(20ms);
  EXPECT_EQ(Given.Config->evacuated().Names, std::set<std::string>{"north-a"});
  Given.Store.put("op/evacuate/north-b", "not JSON", 0);
  Given.runFor(20ms);
  EXPECT_EQ(Given.Config->evacuated().Names, (std::set<std::string>{"north-a", "north-b"}));
  Given.Store.remove("op/evacuate/north-a");
  Given.runFor(20ms);
  EXPECT_EQ(Given.Config->evacuated().Names, std::set<std::string>{"north-b"});
  EXPECT_EQ(Given.ZoneChanges, 3);
  EXPECT_EQ(Given.Changes, 1) << "the configuration is the same";
}

// A watch that delivers nothing must not delay an evacuation.
TEST(ConfigWatch, SchedulerSeesEvacuationWhenWatchDeliversNothing) {
  Bench Given;
  Given.IsScheduler = true;
  Given.start();
  Given.runFor(20ms);
  Given.WatchDeliversNothing = true;
  Given.runFor(150ms); // the pending watch has ended
  Given.Store.put("op/evacuate/north-a", "{}", 0);
  Given.runFor(700ms);
  EXPECT_EQ(Given.Config->evacuated().Names, std::set<std::string>{"north-a"});
  Given.Store.remove("op/evacuate/north-a");
  Given.runFor(700ms);
  EXPECT_TRUE(Given.Config->evacuated().Names.empty());
}

// In a large fleet only a few processes watch the store, and the others poll these.
TEST(ConfigWatch, NonWatcherGetsVersionFromPeerAtOnce) {
  Bench Given;
  Given.WatchesStore = false;
  Given.Store.put("op/config", "9", 0); // it does not watch this
  Given.PeerHas = {"3", 3, 0ms};
  Given.start();
  Given.runFor(300ms);
  EXPECT_EQ(Given.Config->version(), 3u);
  Given.PeerHas = {"4", 4, 0ms};
  Given.runFor(100ms);
  EXPECT_EQ(Given.Config->version(), 4u) << "the peer holds its reply until there is one";
  const int Asked = Given.PeersAsked;
  Given.runFor(2500ms);
  EXPECT_LE(Given.PeersAsked - Asked, 3) << "about one poll every two seconds";
}

TEST(ConfigWatch, NonWatcherReadsStoreWhenPeersDoNotAnswer) {
  Bench Given;
  Given.WatchesStore = false;
  Given.PeerAnswers = false;
  Given.Store.put("op/config", "9", 0);
  Given.start();
  Given.runFor(1s);
  EXPECT_EQ(Given.Config->version(), 9u);
}

TEST(ConfigWatch, HoldsReplyToPeerUntilNewerVersion) {
  Bench Given;
  Given.Store.put("op/config", "3", 0);
  Given.start();
  Given.runFor(50ms);
  std::optional<PeerConfiguration> Told;
  boost::asio::co_spawn(Given.Io, Given.Config->answerPeer(3, 2s),
                        [&](std::exception_ptr, PeerConfiguration What) { Told = What; });
  Given.runFor(100ms);
  EXPECT_FALSE(Told);
  Given.Store.put("op/config", "4", 0);
  Given.runFor(50ms);
  ASSERT_TRUE(Told);
  EXPECT_EQ(Told->NewerBytes, "4");
}

} // namespace
} // namespace valveshelf
