// SPDX-License-Identifier: Apache-2.0
// Reads and watches the operators' keys, and fetches the configuration from peers when the store
// doesn't deliver it.
#include "cell/config_watch.h"

#include "valveshelf/events.h"

#include <boost/asio.hpp>

#include <random>

namespace valveshelf {
using namespace sched;

namespace {
// After a failed call.
constexpr Milliseconds RetryDelay{150};
// How often this process checks for changes that its watch has not delivered. A change must be in
// force on every process within seconds, even if a reply is lost.
constexpr Milliseconds RecheckInterval{500};
// Added to the time of a watch before the version counts as unconfirmed.
constexpr Milliseconds WatchSlack{300};
// A watch may be answered without delivering changes, for instance while a store recovers its
// history. The scheduler therefore reads the key itself, and the others learn its version from its
// requests for advice; a process that has had no report of a version for this long asks a peer.
constexpr Milliseconds MaxPeerReportAge{2000};
constexpr Milliseconds MaxPeerReportAgeUnconfirmed{400};
// Longest time for which a reply to a peer is held until there is a newer version. A process that
// has lost its peer notices by then and polls the next one.
constexpr Milliseconds MaxPeerHold{2000};
// Before the next poll, if the last one failed or no version is known yet.
constexpr Milliseconds NextPeerDelay{50};
// A process that polls peers reads the store itself after this many failures in a row.
constexpr int PeerFailuresBeforeStoreRead = 3;
} // namespace

ConfigWatch::ConfigWatch(Executor Where, Clock Time, KeyValueStore Store,
                         const CellSettings &Settings, OperatorKeys Keys, Decoder Decode,
                         ConfigWatchCallbacks Callbacks)
    : Where(Where), Time(std::move(Time)), Store(std::move(Store)), Settings(Settings),
      Keys(std::move(Keys)), Decode(std::move(Decode)), Callbacks(std::move(Callbacks)) {
  CallerKeyIndex.Seed = (uint64_t{std::random_device()()} << 32) | std::random_device()();
}

void ConfigWatch::start() {
  spawnLater(Where, watchLoop());
  spawnLater(Where, recheckLoop());
  spawnLater(Where, peerPollLoop());
}

void ConfigWatch::applyConfiguration(const KeyValue &Item) {
  if (Item.Key == Keys.ConfigurationKey && Item.Revision != 0)
    applyEncoded(Item.Value, "store");
}

void ConfigWatch::applyZoneChange(const KeyChange &Change) {
  if (!Change.Item.Key.starts_with(Keys.EvacuationPrefix) ||
      Change.Item.Revision < Evacuated.Revision)
    return;
  EvacuatedZones Now{Evacuated.Names, Change.Item.Revision};
  const std::string Zone = Change.Item.Key.substr(Keys.EvacuationPrefix.size());
  if (Change.IsRemoved)
    Now.Names.erase(Zone);
  else
    Now.Names.insert(Zone);
  applyZones(std::move(Now));
}

void ConfigWatch::applyZones(EvacuatedZones Now) {
  if (Now.Revision < Evacuated.Revision)
    return; // replies may arrive out of order
  const EvacuatedZones Before = std::exchange(Evacuated, std::move(Now));
  const std::string Revision = std::to_string(Evacuated.Revision);
  for (const std::string &Zone : Evacuated.Names)
    if (!Before.Names.count(Zone))
      logEvent(events::EvacuationBegun, {{"zone", Zone}, {"revision", Revision}});
  for (const std::string &Zone : Before.Names)
    if (!Evacuated.Names.count(Zone))
      logEvent(events::EvacuationOver, {{"zone", Zone}, {"revision", Revision}});
  if (Evacuated.Names != Before.Names)
    Callbacks.ZonesChanged();
}

void ConfigWatch::applyEncoded(const std::string &Encoded, const std::string &Source) {
  Result<CellConfiguration> Decoded = Decode(Encoded);
  if (!ok(Decoded)) {
    logEvent(events::ConfigRefused, {{"why", "\"" + error(Decoded).Detail + "\""}});
    return;
  }
  if (value(Decoded).Version <= version())
    return;
  CallerKeyIndex = makeKeyIndex(
      std::make_shared<const CellConfiguration>(std::move(value(Decoded))), CallerKeyIndex.Seed);
  EncodedConfiguration = Encoded;
  for (SteadyTimer *Held : HeldReplies)
    Held->cancel();
  releaseWaiters();
  logEvent(Source == "store" ? events::ConfigInForce : events::ConfigFromPeer,
           {{"version", std::to_string(version())}, {"from", Source}});
  Callbacks.Changed();
}

bool ConfigWatch::isUnconfirmed() const {
  return LastWatchFailed || Time.Now() - ConfirmedAt > Settings.Timing.WatchTime + WatchSlack;
}

void ConfigWatch::notePeerVersion(const Endpoint &Peer, uint64_t Version) {
  LastPeerReport = Time.Now();
  if (Version > version() && !FetchInProgress)
    spawnLater(Where, fetchOnce(this, Peer));
}

bool ConfigWatch::hasStaleKeys() const {
  const std::optional<Milliseconds> MaxAge = Settings.Timing.UnconfirmedKeysTime;
  return MaxAge && Time.Now() - ConfirmedAt > *MaxAge;
}

Awaitable<PeerConfiguration> ConfigWatch::answerPeer(uint64_t Have, Milliseconds Wait) {
  if (version() <= Have && Wait.count() > 0) {
    SteadyTimer Held(Where, std::min(Wait, MaxPeerHold));
    HeldReplies.insert(&Held);
    co_await Held.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
    HeldReplies.erase(&Held);
  }
  PeerConfiguration Known;
  Known.Version = version();
  if (version() > Have)
    Known.NewerBytes = EncodedConfiguration;
  Known.ConfirmedAge = std::chrono::duration_cast<Milliseconds>(Time.Now() - ConfirmedAt);
  co_return Known;
}

Awaitable<void> ConfigWatch::waitForFirst(Milliseconds Wait) {
  if (current())
    co_return;
  SteadyTimer Timer(Where, Wait);
  FirstWaiters.insert(&Timer);
  co_await Timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
  FirstWaiters.erase(&Timer);
}

void ConfigWatch::releaseWaiters() {
  for (SteadyTimer *Waiting : FirstWaiters)
    Waiting->cancel();
}

// True if the peer answered.
Awaitable<bool> ConfigWatch::fetchFromPeer(Endpoint Peer, Milliseconds Wait) {
  FetchInProgress = true;
  const TimePoint AskedAt = Time.Now();
  Result<PeerConfiguration> Answer = co_await Callbacks.FetchFromPeer(Peer, version(), Wait);
  FetchInProgress = false;
  if (!ok(Answer) || Stopped) {
    ++NextPeer;
    co_return false;
  }
  LastPeerReport = Time.Now();
  const PeerConfiguration &Known = value(Answer);
  // A reply without a newer version was held for the whole wait.
  const TimePoint ReportedAt = Known.NewerBytes.empty() ? AskedAt + Wait : AskedAt;
  if (!Known.NewerBytes.empty())
    applyEncoded(Known.NewerBytes, toString(Peer));
  if (Known.Version == version())
    ConfirmedAt = std::max(ConfirmedAt, ReportedAt - Known.ConfirmedAge);
  else if (isUnconfirmed())
    ++NextPeer; // the peer is behind this process
  co_return true;
}

Awaitable<void> ConfigWatch::fetchOnce(ConfigWatch *Me, Endpoint Peer) {
  co_await Me->fetchFromPeer(std::move(Peer), Milliseconds(0));
}

// Polls peers that watch the store, in a process that doesn't.
Awaitable<void> ConfigWatch::peerPollLoop() {
  int FailedPeers = 0;   // in a row
  bool Answered = false; // the next peer to poll answered the last poll
  while (!Stopped) {
    const std::vector<Endpoint> Watchers = Callbacks.Watchers();
    if (Callbacks.WatchesStore() || Watchers.empty() || FetchInProgress) {
      co_await sleepFor(RetryDelay);
      continue;
    }
    // A peer that may be down is polled without a wait: several in a row would delay a change too
    // long.
    const bool MayHold = Answered && version() != 0;
    Answered = co_await fetchFromPeer(Watchers[NextPeer % Watchers.size()],
                                      MayHold ? MaxPeerHold : Milliseconds(0));
    FailedPeers = Answered ? 0 : FailedPeers + 1;
    if (FailedPeers >= PeerFailuresBeforeStoreRead) {
      co_await readAll();
      FailedPeers = 0;
    }
    if (!Answered || version() == 0)
      co_await sleepFor(NextPeerDelay);
  }
}

// Catches changes that a silent, failing or rejected watch doesn't deliver.
Awaitable<void> ConfigWatch::recheckLoop() {
  while (!Stopped) {
    co_await sleepFor(RecheckInterval);
    if (Callbacks.IsScheduler())
      co_await readAll();
    if (!Callbacks.WatchesStore())
      continue;
    const Milliseconds MaxAge = isUnconfirmed() ? MaxPeerReportAgeUnconfirmed : MaxPeerReportAge;
    const std::vector<Endpoint> Peers = Callbacks.Peers();
    if (!FetchInProgress && !Peers.empty() && Time.Now() - LastPeerReport > MaxAge)
      co_await fetchFromPeer(Peers[NextPeer % Peers.size()], Milliseconds(0));
  }
}

// Returns the store's revision.
Awaitable<Result<uint64_t>> ConfigWatch::readAll() {
  Result<KeyRange> Read = co_await Store.Range(Keys.Prefix, false);
  if (!ok(Read))
    co_return error(Read);
  ConfirmedAt = Time.Now();
  EvacuatedZones Zones{{}, value(Read).Revision};
  for (const KeyValue &Item : value(Read).Items) {
    applyConfiguration(Item);
    if (Item.Key.starts_with(Keys.EvacuationPrefix))
      Zones.Names.insert(Item.Key.substr(Keys.EvacuationPrefix.size()));
  }
  applyZones(std::move(Zones));
  co_return value(Read).Revision;
}

Awaitable<void> ConfigWatch::watchLoop() {
  while (!Stopped) {
    if (!Callbacks.WatchesStore()) {
      Revision = 0; // changes in the meantime are read when the watch resumes
      co_await sleepFor(RetryDelay);
      continue;
    }
    if (Revision == 0) {
      Result<uint64_t> Read = co_await readAll();
      if (ok(Read))
        Revision = value(Read);
      else
        co_await sleepFor(RetryDelay);
      continue;
    }
    Result<KeyChanges> Read =
        co_await Store.Watch(Keys.Prefix, Revision, Settings.Timing.WatchTime);
    LastWatchFailed = !ok(Read);
    if (!ok(Read)) {
      if (error(Read).Kind == ErrorKind::NotFound)
        Revision = 0;
      else
        co_await sleepFor(RetryDelay);
      continue;
    }
    ConfirmedAt = Time.Now();
    for (const KeyChange &Change : value(Read).Changes) {
      if (!Change.IsRemoved)
        applyConfiguration(Change.Item);
      applyZoneChange(Change);
    }
    Revision = std::max(Revision, value(Read).Revision);
  }
}

} // namespace valveshelf
