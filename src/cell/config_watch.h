// SPDX-License-Identifier: Apache-2.0
// What operators ask for, as the store has it: the configuration, also as a peer has it where the
// store can't be heard, and the availability zones that are to be left empty. A version once seen
// is never left for an older one.
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

/// What a peer knows of the configuration.
struct PeerConfiguration {
  std::string NewerBytes;       ///< As the store has it; empty: the peer has none newer.
  uint64_t Version = 0;         ///< That the peer has.
  Milliseconds ConfirmedAge{0}; ///< Since the store last told it that there is none newer.
};

/// How a process hears of configurations from others, and whom it tells.
struct ConfigWatchCallbacks {
  /// Asks a peer for what it has beyond \p Have; the peer may hold its answer for \p Wait.
  std::function<Awaitable<Result<PeerConfiguration>>(Endpoint Peer, uint64_t Have,
                                                     Milliseconds Wait)>
      FetchFromPeer;
  std::function<std::vector<Endpoint>()> Peers; ///< The scheduler's first, if it is another one.
  std::function<bool()> IsScheduler;            ///< Whether this process does.
  /// Whether this process watches the store itself. In a large cell few do, and the others hear of
  /// a configuration from them: some hundred kilobytes to each of a thousand boxes would fill the
  /// store's link for a second with each change.
  std::function<bool()> WatchesStore;
  std::function<std::vector<Endpoint>()>
      Watchers;                       ///< Peers that do, this process's first choice first.
  std::function<void()> Changed;      ///< Another version is in force here.
  std::function<void()> ZonesChanged; ///< Other zones are to be left empty, or none.
};

/// Lives on one strand; all calls come from there.
class ConfigWatch {
public:
  using Decoder = std::function<Result<sched::CellConfiguration>(std::string_view Bytes)>;
  /// \p Decode reads the configuration.
  ConfigWatch(Executor Where, Clock Time, KeyValueStore Store, const CellSettings &Settings,
              OperatorKeys Keys, Decoder Decode, ConfigWatchCallbacks Callbacks);
  void start();
  void stop() { Stopped = true; }
  /// Null until the first version was read.
  sched::ConfigurationPtr current() const { return CallerKeyIndex.Config; }
  /// The keys of the current version.
  const KeyIndex &callerKeys() const { return CallerKeyIndex; }
  /// 0: none yet.
  uint64_t version() const { return CallerKeyIndex.Config ? CallerKeyIndex.Config->Version : 0; }
  /// The zones to be left empty, as last read.
  const sched::EvacuatedZones &evacuated() const { return Evacuated; }
  /// What a peer that has version \p Have is told: at once if this process has a newer one,
  /// otherwise when it has or after \p Wait.
  Awaitable<PeerConfiguration> answerPeer(uint64_t Have, Milliseconds Wait);
  /// True if neither the store nor a peer that hears it has confirmed the version in force for so
  /// long that callers' keys must not be relied on any more, where the settings ask for that.
  bool hasStaleKeys() const;
  /// A peer has said which version it has; a newer one is asked for there.
  void notePeerVersion(const Endpoint &Peer, uint64_t Version);

private:
  Awaitable<void> watchLoop();
  Awaitable<void> recheckLoop();
  Awaitable<void> peerPollLoop();
  Awaitable<bool> fetchFromPeer(Endpoint Peer, Milliseconds Wait);
  static Awaitable<void> fetchOnce(ConfigWatch *Me, Endpoint Peer);
  Awaitable<Result<uint64_t>> readAll();
  /// True if the store has not confirmed the version in force within the time of a watch.
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
  KeyIndex CallerKeyIndex; ///< Of the version in force; its configuration is null before the first.
  sched::EvacuatedZones Evacuated;
  std::string EncodedConfiguration; ///< That version as it was read.
  uint64_t Revision = 0;            ///< The watch goes on from here; 0: everything has to be read.
  TimePoint ConfirmedAt{};    ///< When the store last had nothing newer, told here or to a peer.
  TimePoint LastPeerReport{}; ///< When a peer last said which version it has.
  size_t NextPeer = 0;
  std::set<SteadyTimer *> HeldReplies; ///< Answers to peers that are held.
  bool FetchInProgress = false;        ///< A peer is being asked.
  bool LastWatchFailed = false;        ///< The last one had no answer that says anything.
  bool Stopped = false;
};

} // namespace valveshelf
