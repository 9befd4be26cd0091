// SPDX-License-Identifier: Apache-2.0
// Reads and watches what operators ask for, and asks peers for the configuration where that is not
// enough.
#include "cell/config_watch.h"

#include "valveshelf/events.h"

#include <boost/asio.hpp>

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
// A peer that watches the store holds its answer so long for a newer version. A process that is cut
// off from it finds out by then and asks the next one.
constexpr Milliseconds HeldByPeer{2000};
// Between a peer that did not answer, or knows no version yet, and the next one.
constexpr Milliseconds NextPeerPause{50};
// A process that hears from peers reads the store itself after so many that do not answer.
constexpr int PeersUntilStore = 3;
} // namespace

ConfigWatch::ConfigWatch(Executor Where, Clock Time, KeyValueStore Store,
                         const CellSettings &Settings, OperatorKeys Keys, Decoder Decode,
                         ConfigLinks Links)
    : Where(Where), Time(std::move(Time)), Store(std::move(Store)), Settings(Settings),
      Keys(std::move(Keys)), Decode(std::move(Decode)), Links(std::move(Links)) {
  CallersKeys.Seed = (uint64_t{std::random_device()()} << 32) | std::random_device()();
}

void ConfigWatch::start() {
  spawnLater(Where, watchLoop());
  spawnLater(Where, doubtLoop());
  spawnLater(Where, hearerLoop());
}

void ConfigWatch::takeConfiguration(const KeyValue &Item) {
  if (Item.Key == Keys.Configuration && Item.Revision != 0)
    takeBytes(Item.Value, "store");
}

void ConfigWatch::takeZone(const KeyChange &Change) {
  if (!Change.Item.Key.starts_with(Keys.Evacuations) || Change.Item.Revision < Evacuated.Revision)
    return;
  EvacuatedZones Now{Evacuated.Names, Change.Item.Revision};
  const std::string Zone = Change.Item.Key.substr(Keys.Evacuations.size());
  if (Change.Gone)
    Now.Names.erase(Zone);
  else
    Now.Names.insert(Zone);
  takeZones(std::move(Now));
}

void ConfigWatch::takeZones(EvacuatedZones Now) {
  if (Now.Revision < Evacuated.Revision)
    return; // answers may overtake each other
  const EvacuatedZones Before = std::exchange(Evacuated, std::move(Now));
  const std::string Revision = std::to_string(Evacuated.Revision);
  for (const std::string &Zone : Evacuated.Names)
    if (!Before.Names.count(Zone))
      logEvent(events::EvacuationBegun, {{"zone", Zone}, {"revision", Revision}});
  for (const std::string &Zone : Before.Names)
    if (!Evacuated.Names.count(Zone))
      logEvent(events::EvacuationOver, {{"zone", Zone}, {"revision", Revision}});
  if (Evacuated.Names != Before.Names)
    Links.ZonesChanged();
}

void ConfigWatch::takeBytes(const std::string &Read, const std::string &From) {
  Result<CellConfiguration> Decoded = Decode(Read);
  if (!ok(Decoded)) {
    logEvent(events::ConfigRefused, {{"why", "\"" + error(Decoded).Detail + "\""}});
    return;
  }
  if (value(Decoded).Version <= version())
    return;
  CallersKeys = indexKeys(std::make_shared<const CellConfiguration>(std::move(value(Decoded))),
                          CallersKeys.Seed);
  Bytes = Read;
  for (SteadyTimer *Held : Waiting)
    Held->cancel();
  logEvent(From == "store" ? events::ConfigInForce : events::ConfigFromPeer,
           {{"version", std::to_string(version())}, {"from", From}});
  Links.Changed();
}

bool ConfigWatch::isDoubtful() const {
  return WatchFails || Time.Now() - Confirmed > Settings.Timing.WatchTime + WatchSlack;
}

void ConfigWatch::peerHas(const Endpoint &Peer, uint64_t Version) {
  HeardPeer = Time.Now();
  if (Version > version() && !Asking)
    spawnLater(Where, askOnce(this, Peer));
}

bool ConfigWatch::isTooOld() const {
  const std::optional<Milliseconds> Most = Settings.Timing.KeysWithoutWord;
  return Most && Time.Now() - Confirmed > *Most;
}

Awaitable<PeerConfiguration> ConfigWatch::tell(uint64_t Have, Milliseconds Wait) {
  if (version() <= Have && Wait.count() > 0) {
    SteadyTimer Held(Where, std::min(Wait, HeldByPeer));
    Waiting.insert(&Held);
    co_await Held.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
    Waiting.erase(&Held);
  }
  PeerConfiguration Known;
  Known.Version = version();
  if (version() > Have)
    Known.Newer = Bytes;
  Known.ConfirmedAge = std::chrono::duration_cast<Milliseconds>(Time.Now() - Confirmed);
  co_return Known;
}

// True if the peer answered.
Awaitable<bool> ConfigWatch::askPeer(Endpoint Peer, Milliseconds Wait) {
  Asking = true;
  const TimePoint AskedAt = Time.Now();
  Result<PeerConfiguration> Answer = co_await Links.AskPeer(Peer, version(), Wait);
  Asking = false;
  if (!ok(Answer) || Stopped) {
    ++NextPeer;
    co_return false;
  }
  HeardPeer = Time.Now();
  const PeerConfiguration &Known = value(Answer);
  // An answer without a newer version was held to its end.
  const TimePoint SaidAfter = Known.Newer.empty() ? AskedAt + Wait : AskedAt;
  if (!Known.Newer.empty())
    takeBytes(Known.Newer, toString(Peer));
  if (Known.Version == version())
    Confirmed = std::max(Confirmed, SaidAfter - Known.ConfirmedAge);
  else if (isDoubtful())
    ++NextPeer; // it knows less than this process
  co_return true;
}

Awaitable<void> ConfigWatch::askOnce(ConfigWatch *Me, Endpoint Peer) {
  co_await Me->askPeer(std::move(Peer), Milliseconds(0));
}

// What a process of a large cell hears from those that watch the store.
Awaitable<void> ConfigWatch::hearerLoop() {
  int Silent = 0;        // peers in a row
  bool Answered = false; // the peer that is next has answered just now
  while (!Stopped) {
    const std::vector<Endpoint> Hearers = Links.Hearers();
    if (Links.HearsStore() || Hearers.empty() || Asking) {
      co_await sleepFor(RetryPause);
      continue;
    }
    // A peer that may be gone is not waited for: several in a row would hide a change for too long.
    const bool Holds = Answered && version() != 0;
    Answered =
        co_await askPeer(Hearers[NextPeer % Hearers.size()], Holds ? HeldByPeer : Milliseconds(0));
    Silent = Answered ? 0 : Silent + 1;
    if (Silent >= PeersUntilStore) {
      co_await readAll();
      Silent = 0;
    }
    if (!Answered || version() == 0)
      co_await sleepFor(NextPeerPause);
  }
}

// What a watch that is silent, cut or turned away does not bring.
Awaitable<void> ConfigWatch::doubtLoop() {
  while (!Stopped) {
    co_await sleepFor(DoubtEvery);
    if (Links.Schedules())
      co_await readAll();
    if (!Links.HearsStore())
      continue;
    const Milliseconds Patience = isDoubtful() ? PeerSilenceInDoubt : PeerSilence;
    const std::vector<Endpoint> Peers = Links.Peers();
    if (!Asking && !Peers.empty() && Time.Now() - HeardPeer > Patience)
      co_await askPeer(Peers[NextPeer % Peers.size()], Milliseconds(0));
  }
}

// Returns the store's revision.
Awaitable<Result<uint64_t>> ConfigWatch::readAll() {
  Result<KeyRange> Read = co_await Store.Range(Keys.Prefix, false);
  if (!ok(Read))
    co_return error(Read);
  Confirmed = Time.Now();
  EvacuatedZones Zones{{}, value(Read).Revision};
  for (const KeyValue &Item : value(Read).Items) {
    takeConfiguration(Item);
    if (Item.Key.starts_with(Keys.Evacuations))
      Zones.Names.insert(Item.Key.substr(Keys.Evacuations.size()));
  }
  takeZones(std::move(Zones));
  co_return value(Read).Revision;
}

Awaitable<void> ConfigWatch::watchLoop() {
  while (!Stopped) {
    if (!Links.HearsStore()) {
      Revision = 0; // what changes meanwhile is read when it watches again
      co_await sleepFor(RetryPause);
      continue;
    }
    if (Revision == 0) {
      Result<uint64_t> Read = co_await readAll();
      if (ok(Read))
        Revision = value(Read);
      else
        co_await sleepFor(RetryPause);
      continue;
    }
    Result<KeyChanges> Read =
        co_await Store.Watch(Keys.Prefix, Revision, Settings.Timing.WatchTime);
    WatchFails = !ok(Read);
    if (!ok(Read)) {
      if (error(Read).Kind == ErrorKind::NotFound)
        Revision = 0;
      else
        co_await sleepFor(RetryPause);
      continue;
    }
    Confirmed = Time.Now();
    for (const KeyChange &Change : value(Read).Changes) {
      if (!Change.Gone)
        takeConfiguration(Change.Item);
      takeZone(Change);
    }
    Revision = std::max(Revision, value(Read).Revision);
  }
}

} // namespace valveshelf
