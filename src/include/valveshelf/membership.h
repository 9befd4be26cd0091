// SPDX-License-Identifier: Apache-2.0
// Cell membership and shard owners: the view of the store's `cell/` keys, this process's lease and
// member record, and the promises exchanged with guardians.
#pragma once

#include "valveshelf/authority.h"
#include "valveshelf/journal.h"
#include "valveshelf/peer_link.h"
#include "valveshelf/platform.h"
#include "valveshelf/settings.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace valveshelf {

/// Member record of an entry process in the store.
struct MemberInfo {
  std::string Name;
  std::string Log; ///< Identifies the incarnation and names its journal.
  std::string Partner;
  std::string Zone;
  Endpoint Callers, Operators, Peers;
  bool Leaving = false;
};

/// Owner record of a shard in the store.
struct OwnerRecord {
  uint32_t Shard = 0;
  std::string Log;
  std::string Member;
  Endpoint Peers;
  uint64_t Epoch = 0;    ///< Incremented with every change of owner.
  bool Released = false; ///< The state is in `handover/<shard>`; nobody owns the shard.
  std::string Successor; ///< Journal of the member a released shard is meant for.
  uint64_t Version = 0;  ///< Version of the store's key.
};

std::string encodeMember(const MemberInfo &Value);
std::string encodeOwner(const OwnerRecord &Value);
Result<MemberInfo> decodeMember(const std::string &Text);
Result<OwnerRecord> decodeOwner(const std::string &Text);

/// Store keys.
std::string memberKey(const std::string &Name);
std::string ownerKey(uint32_t Shard);
std::string handoverKey(uint32_t Shard);
inline constexpr std::string_view ConfigKey = "cell/config";
inline constexpr std::string_view ShardsKey = "cell/shards";

/// Last known content of the store's `cell/` keys.
struct CellView {
  std::map<std::string, MemberInfo> Members; ///< By journal.
  std::map<uint32_t, OwnerRecord> Owners;
  std::map<std::string, uint64_t> MemberVersions; ///< Version of each member's key, by name.
  std::string ConfigText;
  uint64_t ConfigStoreVersion = 0;
  std::string ShardsText;
  uint64_t Revision = 0;
};
using CellViewPtr = std::shared_ptr<const CellView>;

/// Returns the member that should own \p Shard, by rendezvous hashing over the names of members
/// that are not leaving. Rank 0 is the first choice. Null if there are too few members.
const MemberInfo *preferredOwner(const CellView &View, uint32_t Shard, size_t Rank = 0);

/// Keeps a CellView current with a long-polling watch. Safe from any thread.
class CellWatch {
public:
  CellWatch(StoreOps Store, Clock Time);
  /// Reads all `cell/` keys once.
  Awaitable<Result<Done>> load();
  /// Applies changes from the watch; does not return.
  Awaitable<void> run();
  CellViewPtr view() const;
  /// \p Changed is called after each change. Set before `run`.
  void onChange(std::function<void()> Changed);
  /// Records that nothing listens at the address of incarnation \p Log any more, so its process is
  /// gone. Removes it from the view permanently; an incarnation never returns.
  void markGone(const std::string &Log);
  bool provenGone(const std::string &Log) const;
  /// Applies this process's own write without waiting for the watch.
  void applyLocalWrite(const StoreItem &Item);

private:
  void apply(const StoreItems &Items, bool FullListing);

  const StoreOps Store;
  const Clock Time;
  std::function<void()> Changed;
  mutable std::mutex Mutex;
  CellViewPtr Current;                    ///< Guarded by Mutex; the view itself is immutable.
  std::set<std::string> GoneIncarnations; ///< Incarnations proven gone. Guarded by Mutex.
};

/// This process's authority as an owner and its promises as a guardian, under one lock.
struct SharedAuthority {
  std::mutex Mutex;
  Authority Own;                                                    ///< Guarded by Mutex.
  GuardianState GivenPromises;                                      ///< Guarded by Mutex.
  std::map<std::string, std::vector<wire::JournalEntry>> Witnessed; ///< By owner. Guarded by Mutex.

  bool mayActAt(TimePoint Now) {
    std::lock_guard Lock(Mutex);
    return mayAct(Own, Now);
  }
};

/// Acquires and renews this process's lease, and keeps its member record attached to it.
class LeaseKeeper {
public:
  LeaseKeeper(StoreOps Store, Clock Time, valveshelf::Timing Times, double WritesPerSecond,
              MemberInfo Self, SharedAuthority &Shared, Journal &Log, CellWatch &Watch);
  /// Retries until the lease is granted and the member record written. Returns Conflict if a
  /// process at another address uses the name, NotOwner if the journal is sealed, Stopping after
  /// `stop`.
  Awaitable<Result<Done>> join();
  Awaitable<void> run();
  /// Marks the member record as leaving.
  Awaitable<void> announceLeaving();
  /// Stops renewal and revokes the lease.
  Awaitable<void> leave();
  void stop();
  /// TTL of a lease in a cell of \p Members members.
  Milliseconds leaseTtl(size_t Members) const;

private:
  Awaitable<Result<Done>> acquire();
  Awaitable<Result<uint64_t>> writeRecord();

  const StoreOps Store;
  const Clock Time;
  const valveshelf::Timing Times;
  const double WritesPerSecond;
  MemberInfo Self;
  SharedAuthority &Shared;
  Journal &Log;
  CellWatch &Watch;
  uint64_t Lease = 0;
  uint64_t RecordVersion = 0;
  std::atomic<bool> Stopped{false};
};

/// Renews the promises this process has from its guardians, and serves as guardian for others.
class PromiseKeeper {
public:
  PromiseKeeper(PeerOps Peers, Clock Time, valveshelf::Timing Times, MemberInfo Self,
                SharedAuthority &Shared, CellWatch &Watch);
  /// Sets the journal, which can't be a constructor argument since it uses this object as witness.
  void attach(Journal &Log);
  Awaitable<void> run();
  void stop();
  /// Sends \p Entries to every guardian; true if all hold them and renewed their promise.
  Awaitable<bool> witness(std::vector<wire::JournalEntry> Entries);

  wire::PromiseReply onPromiseAsked(const wire::PromiseRequest &Request);
  wire::RefuseReply onRefuseAsked(const wire::RefuseRequest &Request);

private:
  Awaitable<bool> renewAll(std::vector<wire::JournalEntry> Entries);
  void updateGuardians();

  const PeerOps Peers;
  const Clock Time;
  const valveshelf::Timing Times;
  const MemberInfo Self;
  SharedAuthority &Shared;
  CellWatch &Watch;
  Journal *Log = nullptr;
  const TimePoint StartedAt;
  std::mutex Mutex;
  std::map<std::string, Endpoint> Addresses;  ///< Recorded and pending. Guarded by Mutex.
  std::vector<std::string> RecordedGuardians; ///< Last stored set. Guarded by Mutex.
  bool GuardianUpdatePending = false;         ///< Guarded by Mutex.
  std::atomic<bool> Stopped{false};
};

} // namespace valveshelf
