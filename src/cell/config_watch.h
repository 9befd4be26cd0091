// SPDX-License-Identifier: Apache-2.0
// Watches what operators write to the store: the configuration, which is also fetched from peers
// when the store is unreachable, and the availability zones to evacuate. A configuration is never
// replaced by an older version.
#pragma once

#include "cell/caller_keys.h"
#include "valveshelf/cell_link.h"
#include "valveshelf/cell_settings.h"
#include "valveshelf/coroutines.h"
#include "valveshelf/key_value_store.h"
#include "valveshelf/steady_timer.h"
#include "valveshelf/workload.h"

#include <functional>
#include <set>
#include <string>
#include <vector>

namespace valveshelf {

/// A peer's reply to a request for its configuration.
struct PeerConfiguration {
  std::string NewerBytes; ///< Encoded as in the store; empty if the peer has no newer version.
  uint64_t Version = 0;   ///< Version that the peer has.
  Milliseconds ConfirmedAge{0}; ///< Time since the store last confirmed that version as the newest.
};

/// Access to peers and to the state of this process, and notifications of changes.
struct ConfigWatchCallbacks {
  /// Asks a peer for a version newer than \p Have. The peer may delay its reply by \p Wait.
  std::function<Awaitable<Result<PeerConfiguration>>(Endpoint Peer, uint64_t Have,
                                                     Milliseconds Wait)>
      FetchFromPeer;
  std::function<std::vector<Endpoint>()> Peers; ///< The scheduler first, unless it is this process.
  std::function<bool()> IsScheduler;            ///< Whether this process is the scheduler.
  /// Whether this process watches the store itself. In a large cell only a few do, and the others
  /// poll these; otherwise each change would saturate the store's link.
  std::function<bool()> WatchesStore;
  std::function<std::vector<Endpoint>()> Watchers; ///< Those that do, by preference.
  std::function<void()> Changed;      ///< Called when a new version has come into force.
  std::function<void()> ZonesChanged; ///< Called when the set of zones to evacuate has changed.
};

/// All calls must come from one strand.
class ConfigWatch {
public:
  using Decoder = std::function<Result<sched::CellConfiguration>(std::string_view Bytes)>;
  /// \p Decode decodes the stored configuration.
  ConfigWatch(Executor Where, Clock Time, KeyValueStore Store, const CellSettings &Settings,
              OperatorKeys Keys, Decoder Decode, ConfigWatchCallbacks Callbacks);
  void start();
  void stop() { Stopped = true; }
  /// Null until a version has been read.
  sched::ConfigurationPtr current() const { return CallerKeyIndex.Config; }
  /// The keys of the current version.
  const KeyIndex &callerKeys() const { return CallerKeyIndex; }
  /// 0 until a version has been read.
  uint64_t version() const { return CallerKeyIndex.Config ? CallerKeyIndex.Config->Version : 0; }
  /// The zones to evacuate, as last read.
  const sched::EvacuatedZones &evacuated() const { return Evacuated; }
  /// Replies to a peer that has version \p Have: at once if this process has a newer one, otherwise
  /// as soon as it has one or after \p Wait.
  Awaitable<PeerConfiguration> answerPeer(uint64_t Have, Milliseconds Wait);
  /// Returns once a version has been read, after \p Wait, or when `releaseWaiters` is called.
  Awaitable<void> waitForFirst(Milliseconds Wait);
  /// Ends all calls of `waitForFirst` in progress.
  void releaseWaiters();
  /// True if callers' keys must be refused because neither the store nor a peer has confirmed the
  /// version in force within `UnconfirmedKeysTime`. Always false if that is not set.
  bool hasStaleKeys() const;
  /// Must be called when a peer has reported its version; fetches it if it is newer.
  void notePeerVersion(const Endpoint &Peer, uint64_t Version);

private:
  Awaitable<void> watchLoop();
  Awaitable<void> recheckLoop();
  Awaitable<void> peerPollLoop();
  Awaitable<bool> fetchFromPeer(Endpoint Peer, Milliseconds Wait);
  static Awaitable<void> fetchOnce(ConfigWatch *Me, Endpoint Peer);
  Awaitable<Result<uint64_t>> readAll();
  /// True if the last watch failed, or the store has not confirmed the version in force within the
  /// time of a watch.
  bool isUnconfirmed() const;
  void applyConfiguration(const KeyValue &Item);
  void applyZoneChange(const KeyChange &Change);
  void applyZones(sched::EvacuatedZones Now);
  void applyEncoded(const std::string &Encoded, const std::string &Source);

  const Executor Where;
  const Clock Time;
  const KeyValueStore Store;
  const CellSettings &Settings;
  const OperatorKeys Keys;
  const Decoder Decode;
  const ConfigWatchCallbacks Callbacks;
  KeyIndex CallerKeyIndex; ///< Of the version in force; its configuration is null until one has
                           ///< been read.
  sched::EvacuatedZones Evacuated;
  std::string EncodedConfiguration; ///< The version in force as it was read.
  uint64_t Revision = 0;            ///< The watch resumes from here; 0: everything must be read.
  TimePoint ConfirmedAt{}; ///< When the store last confirmed the version in force, to this process
                           ///< or to a peer.
  TimePoint LastPeerReport{}; ///< When a peer last reported its version.
  size_t NextPeer = 0;
  std::set<SteadyTimer *> HeldReplies;  ///< Replies to peers that wait for a newer version.
  std::set<SteadyTimer *> FirstWaiters; ///< Calls of `waitForFirst` in progress.
  bool FetchInProgress = false;
  bool LastWatchFailed = false;
  bool Stopped = false;
};

} // namespace valveshelf
