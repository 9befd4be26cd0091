// SPDX-License-Identifier: Apache-2.0
// A process's journal in the platform's store: group commit, fencing by seal, and replication to
// guardians ("witnesses") during a store outage.
//
// The journal is a ring of keys `log/<log>/<slot>`, written only by compare-and-swap on the slot's
// version. A claimant seals it by writing the next slot, so that the owner's next write fails and
// the owner can make nothing durable any more.
#pragma once

#include "valveshelf/platform.h"
#include "valveshelf/steady_timer.h"

#include "journal.pb.h"

#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace valveshelf {

/// Durability of appended records.
enum class Durability {
  Witnessed, ///< Every guardian holds them in memory; the store does not answer.
  Stored,    ///< Written to the store.
  Lost,      ///< The journal was sealed first; the records are discarded.
};

/// Called once with Stored or Lost, and before that at most once with Witnessed.
using DurableCallback = std::function<void(Durability)>;

/// Sends entries that are not in the store to all guardians; true if every guardian holds them.
using WitnessFunction = std::function<Awaitable<bool>(std::vector<wire::JournalEntry> Unstored)>;

struct JournalLimits {
  uint32_t RingSlots = 64;
  uint32_t SnapshotEvery = 24;       ///< Entries after which a snapshot is due.
  size_t MaxEntryBytes = 300 * 1024; ///< Size of the records; JSON is about twice as large.
  size_t MaxUnstoredBytes = 8 * 1024 * 1024;
  Milliseconds RetryPause{100};
  Milliseconds DownAfter{500}; ///< The store counts as down after failing this long.
};

/// Token bucket that limits the rate of the journal's store writes. Safe from any thread.
class WriteBudget {
public:
  WriteBudget(double PerSecond, double Burst) : Rate(PerSecond), Burst(Burst), Tokens(Burst) {}
  void setRate(double PerSecond, double NewBurst);
  /// Takes a token, or returns the time until one is available.
  std::optional<Milliseconds> take(TimePoint Now);

private:
  std::mutex Mutex;
  double Rate;
  double Burst;
  double Tokens;
  TimePoint Last{};
};

/// Writer of a journal. Safe from any thread; callbacks run on the executor.
class Journal {
public:
  Journal(Executor Where, std::string LogId, StoreOps Store, Clock Time, JournalLimits Limits,
          WriteBudget &Budget, WitnessFunction Witness);

  const std::string &logId() const { return Log; }

  /// Queues records in the order of the calls. Never blocks.
  void append(std::vector<wire::Record> Records, DurableCallback WhenDurable);
  /// Waits until all records appended earlier are Stored or Lost.
  Awaitable<Durability> barrier();
  /// Like `barrier`, but also returns once they are Witnessed.
  Awaitable<Durability> witnessedBarrier();
  /// Records a new set of guardians.
  void setGuardians(std::vector<wire::Guardian> Guardians, DurableCallback WhenDurable);
  /// Bracket a snapshot: the records appended in between must rebuild all owned shards.
  void beginSnapshot();
  void endSnapshot();
  bool snapshotDue() const;
  /// Writes pending records until `stop` or until fenced. Call once.
  Awaitable<void> run();
  /// Makes `run` return once all pending records are stored.
  void stop();
  /// Seals the journal after all records appended so far, at planned shutdown.
  void appendSeal(DurableCallback WhenDurable);

  bool storeUp() const;
  /// Duration of the current store outage; zero if the store answers.
  Milliseconds storeDownFor() const;
  bool fenced() const;
  /// All records numbered below this are stored.
  uint64_t storedRecords() const;
  uint64_t writes() const;
  /// Reports whether the store answered a request of another part of the process.
  void reportStoreStatus(bool Answers);

private:
  struct Pending {
    std::vector<wire::Record> Records;
    DurableCallback Callback;
    bool SnapshotBegin = false;
    bool SnapshotEnd = false;
    bool Seal = false;
    std::optional<std::vector<wire::Guardian>> Guardians;
  };
  struct Unstored {
    wire::JournalEntry Entry;
    std::vector<DurableCallback> Callbacks;
    size_t Bytes = 0;
    bool Witnessed = false;
    bool Attempted = false; ///< Sent to the store at least once; the content is final.
  };

  void push(Pending Item);
  bool buildEntry();
  void fill(Unstored &New);
  bool mergeNext(Unstored &Front);
  void prepareFront();
  Awaitable<bool> writeFront();
  Awaitable<bool> resolveUnknownOutcome(const std::string &Key, const wire::JournalEntry &Entry,
                                        uint64_t Expect);
  Awaitable<void> witnessAll();
  void onStored(uint64_t Version);
  void onFenced();
  bool isMine(const wire::JournalEntry &Found, const wire::JournalEntry &Entry) const;
  void invokeCallbacks(std::vector<DurableCallback> Callbacks, Durability Value);
  std::string slotKey(uint64_t Sequence) const;

  const Executor Where;
  const std::string Log;
  const StoreOps Store;
  const Clock Time;
  const JournalLimits Limits;
  WriteBudget &Budget;
  const WitnessFunction Witness;
  SteadyTimer Wake;

  mutable std::mutex Mutex;
  // All below is guarded by Mutex.
  std::deque<Pending> Queue;
  std::deque<Unstored> UnstoredEntries; ///< Built entries, oldest first. Only the first is ever
                                        ///< sent to the store; it gets its sequence then.
  std::vector<uint64_t> SlotVersions;   ///< Version last written, by slot; 0 if never written.
  uint64_t NextRecord = 0;              ///< Number of the next record to be added to an entry.
  uint64_t StoredBelow = 0;             ///< Sequence of the next entry to be stored.
  uint64_t StoredRecordsBelow = 0;
  uint64_t SnapshotStart = 0; ///< First entry of the newest complete snapshot.
  uint64_t OpenSnapshotStart = 0;
  bool SnapshotOpen = false; ///< Begun, and its end is not yet in a prepared entry.
  std::vector<wire::Guardian> CurrentGuardians;
  size_t UnstoredBytes = 0;
  std::optional<TimePoint> DownSince;
  bool IsFenced = false;
  bool Stopping = false;
  uint64_t WriteCount = 0;
};

/// Content of a journal as read by a successor.
struct JournalView {
  std::vector<wire::JournalEntry> Entries; ///< From the newest complete snapshot, in order.
  bool Sealed = false;
  uint64_t NextSequence = 0;
  uint64_t NextRecord = 0;
  uint64_t NextSlotVersion = 0; ///< Version of the slot for the next entry.
  std::vector<wire::Guardian> Guardians;
};

/// Reads the journal \p LogId. Returns NotFound if it does not exist.
Awaitable<Result<JournalView>> readJournal(const StoreOps &Store, std::string LogId,
                                           uint32_t RingSlots);

/// Seals the journal after the last entry of \p View. The seal includes the \p Witnessed records
/// that the owner could not store. Returns Conflict if the owner or another claimant wrote first.
Awaitable<Result<Done>> sealJournal(const StoreOps &Store, std::string LogId, std::string Claimant,
                                    JournalView View, std::vector<wire::JournalEntry> Witnessed,
                                    uint32_t RingSlots);

/// Records of \p Shard in \p View, to be replayed on an empty shard.
std::vector<wire::Record> recordsOf(const JournalView &View, uint32_t Shard);

} // namespace valveshelf
