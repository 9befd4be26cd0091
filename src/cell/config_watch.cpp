// SPDX-License-Identifier: Apache-2.0
// Reads and watches the operators' configuration, and asks peers where that is not enough.
#include "cell/config_watch.h"

#include "valveshelf/events.h"

#include <random>

namespace valveshelf {
using namespace sched;

namespace {
// After a failed call, before the next one.
constexpr Milliseconds RetryPause{150};
// The store's and the peers' word is looked at this often. An operator's change has to hold on
// every process within some seconds, so half a second here leaves room for an answer that is lost.
constexpr Milliseconds DoubtEvery{500};
// A watch is answered within its wait; one that is not for so much longer is doubted.
constexpr Milliseconds WatchSlack{300};
// A watch may be answered and yet be silent about changes, while a store sorts its history out.
// The scheduler therefore reads the key, and the others hear its version with its questions for
// advice; a process that heard none for so long asks.
constexpr Milliseconds PeerSilence{2000};
constexpr Milliseconds PeerSilenceInDoubt{400};
} // namespace

ConfigWatch::ConfigWatch(Executor Where, Clock Time, KeyValueStore Store,
                         const CellSettings &Settings, std::string Key, Decoder Decode,
                         ConfigLinks Links)
    : Where(Where), Time(std::move(Time)), Store(std::move(Store)), Settings(Settings),
      Key(std::move(Key)), Decode(std::move(Decode)), Links(std::move(Links)) {
  Keys.Seed = (uint64_t{std::random_device()()} << 32) | std::random_device()();
}

void ConfigWatch::start() {
  spawnLater(Where, watchLoop());
  spawnLater(Where, doubtLoop());
}

void ConfigWatch::take(const KeyValue &Item) {
  if (Item.Key == Key && Item.Revision != 0)
    takeBytes(Item.Value, "store");
}

void ConfigWatch::takeBytes(const std::string &Read, const std::string &From) {
  Result<CellConfiguration> Decoded = Decode(Read);
  if (!ok(Decoded)) {
    logEvent(events::ConfigRefused, {{"why", "\"" + error(Decoded).Detail + "\""}});
    return;
  }
  if (value(Decoded).Version <= version())
    return;
  Keys = indexKeys(std::make_shared<const CellConfiguration>(std::move(value(Decoded))), Keys.Seed);
  Bytes = Read;
  logEvent(From == "store" ? events::ConfigInForce : events::ConfigFromPeer,
           {{"version", std::to_string(version())}, {"from", From}});
  Links.Changed();
}

bool ConfigWatch::isDoubtful() const {
  return Time.Now() - Confirmed > Settings.Timing.WatchTime + WatchSlack;
}

void ConfigWatch::peerHas(const Endpoint &Peer, uint64_t Version) {
  HeardPeer = Time.Now();
  if (Version > version() && !Asking)
    spawnLater(Where, askPeer(Peer));
}

bool ConfigWatch::isTooOld() const {
  const std::optional<Milliseconds> Most = Settings.Timing.KeysWithoutWord;
  return Most && Time.Now() - Confirmed > *Most;
}

PeerConfiguration ConfigWatch::tell(uint64_t Have) const {
  PeerConfiguration Known;
  Known.Version = version();
  if (version() > Have)
    Known.Newer = Bytes;
  Known.ConfirmedAge = std::chrono::duration_cast<Milliseconds>(Time.Now() - Confirmed);
  return Known;
}

Awaitable<void> ConfigWatch::askPeer(Endpoint Peer) {
  Asking = true;
  const TimePoint AskedAt = Time.Now();
  Result<PeerConfiguration> Answer = co_await Links.AskPeer(Peer, version());
  Asking = false;
  if (!ok(Answer) || Stopped) {
    ++NextPeer;
    co_return;
  }
  HeardPeer = Time.Now();
  const PeerConfiguration &Known = value(Answer);
  if (!Known.Newer.empty())
    takeBytes(Known.Newer, toString(Peer));
  if (Known.Version == version())
    Confirmed = std::max(Confirmed, AskedAt - Known.ConfirmedAge);
  else if (isDoubtful())
    ++NextPeer; // it knows less than this process
}

// What a watch that is silent, cut or turned away does not bring.
Awaitable<void> ConfigWatch::doubtLoop() {
  while (!Stopped) {
    co_await sleepFor(DoubtEvery);
    if (Links.Schedules())
      co_await readOnce();
    const Milliseconds Patience = isDoubtful() ? PeerSilenceInDoubt : PeerSilence;
    const std::vector<Endpoint> Peers = Links.Peers();
    if (!Asking && !Peers.empty() && Time.Now() - HeardPeer > Patience)
      co_await askPeer(Peers[NextPeer % Peers.size()]);
  }
}

Awaitable<void> ConfigWatch::readOnce() {
  Result<KeyValue> Read = co_await Store.Get(Key);
  if (!ok(Read))
    co_return;
  Confirmed = Time.Now();
  take(value(Read));
}

Awaitable<Result<Done>> ConfigWatch::readAll() {
  Result<KeyRange> Read = co_await Store.Range(Key, false);
  if (!ok(Read))
    co_return error(Read);
  Confirmed = Time.Now();
  for (const KeyValue &Item : value(Read).Items)
    take(Item);
  Revision = value(Read).Revision;
  co_return Done{};
}

Awaitable<void> ConfigWatch::watchLoop() {
  while (!Stopped) {
    if (Revision == 0) {
      Result<Done> Read = co_await readAll();
      if (!ok(Read))
        co_await sleepFor(RetryPause);
      continue;
    }
    Result<KeyChanges> Read = co_await Store.Watch(Key, Revision, Settings.Timing.WatchTime);
    if (!ok(Read)) {
      if (error(Read).Kind == ErrorKind::NotFound)
        Revision = 0;
      else
        co_await sleepFor(RetryPause);
      continue;
    }
    Confirmed = Time.Now();
    for (const KeyChange &Change : value(Read).Changes)
      if (!Change.Gone)
        take(Change.Item);
    Revision = std::max(Revision, value(Read).Revision);
  }
}

} // namespace valveshelf
