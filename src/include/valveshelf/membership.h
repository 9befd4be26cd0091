// SPDX-License-Identifier: Apache-2.0
// Who is in the cell and who owns what: the view of the store's `cell/` keys, this process's
// lease and record, and the promises it gets and gives.
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

/// An entry process as its record in the store describes it.
struct MemberInfo {
  std::string Name;
  std::string Log; ///< Incarnation and name of its journal.
  std::string Partner;
  std::string Zone;
  Endpoint Callers, Operators, Peers;
  bool Leaving = false;
};

/// Who owns a shard.
struct OwnerRecord {
  uint32_t Shard = 0;
  std::string Log;
  std::string Member;
  Endpoint Peers;
  uint64_t Epoch = 0;    ///< Grows by one with every change of owner.
  bool Released = false; ///< The state is in `handover/<shard>`; nobody owns the shard.
  std::string Successor; ///< Whom a released shard is meant for.
  uint64_t Version = 0;  ///< Of the store's value.
};

std::string encodeMember(const MemberInfo &Value);
std::string encodeOwner(const OwnerRecord &Value);
Result<MemberInfo> decodeMember(const std::string &Text);
Result<OwnerRecord> decodeOwner(const std::string &Text);

/// Keys of the store.
std::string memberKey(const std::string &Name);
std::string ownerKey(uint32_t Shard);
std::string handoverKey(uint32_t Shard);
inline constexpr std::string_view ConfigKey = "cell/config";
inline constexpr std::string_view ShardsKey = "cell/shards";

/// What the store's `cell/` keys said last.
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

/// The member that should own \p Shard: rendezvous hashing over the names of members that are
/// not leaving. Rank 0 is the first choice. Null if there are fewer members.
const MemberInfo *preferredOwner(const CellView &View, uint32_t Shard, size_t Rank = 0);

/// Keeps a CellView current with one waiting watch. Safe from any thread.
class CellWatch {
public:
  CellWatch(StoreOps Store, Clock Time);
  /// Reads everything once.
  Awaitable<Result<Done>> load();
  /// Watches for ever.
  Awaitable<void> run();
  CellViewPtr view() const;
  /// \p Changed is called after each change. Set before `run`.
  void onChange(std::function<void()> Changed);
  /// Nothing listens at the address of incarnation \p Log any more, so its process is gone. It is
  /// left out of the view from now on; incarnations never come back.
  void markGone(const std::string &Log);
  bool provenGone(const std::string &Log) const;
  /// Takes in what this process itself wrote, without waiting for the watch.
  void applyLocalWrite(const StoreItem &Item);

private:
  void apply(const StoreItems &Items, bool FullListing);

  const StoreOps Store;
  const Clock Time;
  std::function<void()> Changed;
  mutable std::mutex Mutex;
  CellViewPtr Current;                    ///< Guarded by Mutex; what it points to never changes.
  std::set<std::string> GoneIncarnations; ///< Incarnations proven gone. Guarded by Mutex.
};

/// The authority and the promises given, under one lock.
struct SharedAuthority {
  std::mutex Mutex;
  Authority Own;                                                    ///< Guarded by Mutex.
  GuardianState GivenPromises;                                      ///< Guarded by Mutex.
  std::map<std::string, std::vector<wire::JournalEntry>> Witnessed; ///< By ward. Guarded by Mutex.

  bool mayActAt(TimePoint Now) {
    std::lock_guard Lock(Mutex);
    return mayAct(Own, Now);
  }
};

/// Takes out and renews this process's lease, and keeps its record under it.
class LeaseKeeper {
public:
  LeaseKeeper(StoreOps Store, Clock Time, valveshelf::Timing Times, double WritesPerSecond,
              MemberInfo Self, SharedAuthority &Shared, Journal &Log, CellWatch &Watch);
  /// Waits until the store granted a lease and took the record. Conflict: the name is taken by a
  /// living process at another address.
  Awaitable<Result<Done>> join();
  Awaitable<void> run();
  /// Marks the record as leaving.
  Awaitable<void> announceLeaving();
  /// Gives the lease back.
  Awaitable<void> leave();
  void stop();
  /// The life of a lease in a cell of that many members.
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

/// Gets this process's promises renewed and answers those who ask it for theirs.
class PromiseKeeper {
public:
  PromiseKeeper(PeerOps Peers, Clock Time, valveshelf::Timing Times, MemberInfo Self,
                SharedAuthority &Shared, CellWatch &Watch);
  /// The journal can't be known at construction, since it needs this object as its witness.
  void attach(Journal &Log);
  Awaitable<void> run();
  void stop();
  /// Hands \p Entries to every guardian; true if all have them and promise.
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
  std::map<std::string, Endpoint> Addresses;  ///< Of all recorded guardians. Guarded by Mutex.
  std::vector<std::string> RecordedGuardians; ///< The set last durable. Guarded by Mutex.
  bool GuardianUpdatePending = false;         ///< Guarded by Mutex.
  std::atomic<bool> Stopped{false};
};

} // namespace valveshelf
