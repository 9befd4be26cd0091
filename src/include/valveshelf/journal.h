// SPDX-License-Identifier: Apache-2.0
// A process's journal in the platform's store: group commit, fencing by seal, and the way on
// through a store outage with guardians as witnesses.
//
// The journal is a ring of keys `log/<log>/<slot>`, written only by compare-and-swap on the
// slot's version. Whoever seals it writes the next slot first, so that the owner's next write
// fails: from then on nothing can be made durable by the owner.
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

/// How safe appended records are.
enum class Durability {
  Witnessed, ///< Every guardian holds them in memory; the store does not answer.
  Stored,    ///< The store has them.
  Lost,      ///< The journal was sealed first; they do not count.
};

/// Called once with Stored or Lost, and before that at most once with Witnessed.
using DurableCallback = std::function<void(Durability)>;

/// Hands entries that the store has not taken to all guardians; true if every one has them.
using WitnessFunction = std::function<Awaitable<bool>(std::vector<wire::JournalEntry> Unstored)>;

struct JournalLimits {
  uint32_t RingSlots = 64;
  uint32_t SnapshotEvery = 24;       ///< Entries after which a snapshot is due.
  size_t MaxEntryBytes = 300 * 1024; ///< Of records; the JSON form is about twice that.
  size_t MaxUnstoredBytes = 8 * 1024 * 1024;
  Milliseconds RetryPause{100};
  Milliseconds DownAfter{500}; ///< Failures for so long mean that the store is down.
};

/// A rate of writes, shared by everything in the process that writes. Safe from any thread.
class WriteBudget {
public:
  WriteBudget(double PerSecond, double Burst) : Rate(PerSecond), Burst(Burst), Tokens(Burst) {}
  void setRate(double PerSecond, double NewBurst);
  /// Takes a token if there is one; else returns how long until there is.
  std::optional<Milliseconds> take(TimePoint Now);

private:
  std::mutex Mutex;
  double Rate;
  double Burst;
  double Tokens;
  TimePoint Last{};
};

/// The writing side. Safe from any thread; callbacks run on the executor.
class Journal {
public:
  Journal(Executor Where, std::string LogId, StoreOps Store, Clock Time, JournalLimits Limits,
          WriteBudget &Budget, WitnessFunction Witness);

  const std::string &logId() const { return Log; }

  /// Queues records; their order is the order of the calls. Never blocks.
  void append(std::vector<wire::Record> Records, DurableCallback WhenDurable);
  /// Waits until everything appended before is Stored or Lost.
  Awaitable<Durability> barrier();
  /// As `barrier`, but Witnessed is enough.
  Awaitable<Durability> witnessedBarrier();
  /// Records a new set of guardians.
  void setGuardians(std::vector<wire::Guardian> Guardians, DurableCallback WhenDurable);
  /// The records appended between the two calls rebuild all owned shards.
  void beginSnapshot();
  void endSnapshot();
  bool snapshotDue() const;
  /// Writes what is pending until `stop`. Run once.
  Awaitable<void> run();
  /// Ends `run` after the entry that is being written.
  void stop();
  /// Writes the seal after everything appended so far; the planned end of the journal.
  void appendSeal(DurableCallback WhenDurable);

  bool storeUp() const;
  /// How long the store has not answered; zero while it does.
  Milliseconds storeDownFor() const;
  bool fenced() const;
  /// Number below which every record is stored.
  uint64_t storedRecords() const;
  uint64_t writes() const;
  /// Another part of the process found that the store answers, or not.
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
    bool Attempted = false; ///< Sent to the store at least once: its content is final.
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
  std::vector<uint64_t> SlotVersions;   ///< Version last written, by slot; 0: never.
  uint64_t NextRecord = 0;              ///< Number of the next record to be put in an entry.
  uint64_t StoredBelow = 0;             ///< Sequence of the next entry to be stored.
  uint64_t StoredRecordsBelow = 0;
  uint64_t SnapshotStart = 0; ///< First entry of the newest complete snapshot.
  uint64_t OpenSnapshotStart = 0;
  bool SnapshotOpen = false; ///< Begun and its end not yet in an entry.
  std::vector<wire::Guardian> CurrentGuardians;
  size_t UnstoredBytes = 0;
  std::optional<TimePoint> DownSince;
  bool IsFenced = false;
  bool Stopping = false;
  uint64_t WriteCount = 0;
};

/// A journal as a successor reads it.
struct JournalView {
  std::vector<wire::JournalEntry> Entries; ///< From the newest complete snapshot, in order.
  bool Sealed = false;
  uint64_t NextSequence = 0;
  uint64_t NextRecord = 0;
  uint64_t NextSlotVersion = 0; ///< Of the slot that the next entry goes to.
  std::vector<wire::Guardian> Guardians;
};

/// Reads the journal \p LogId. NotFound if there is none.
Awaitable<Result<JournalView>> readJournal(const StoreOps &Store, std::string LogId,
                                           uint32_t RingSlots);

/// Seals the journal behind the entry that \p View ends with, keeping the witnessed entries that
/// the owner could not store. Conflict: the owner or another claimant wrote first.
Awaitable<Result<Done>> sealJournal(const StoreOps &Store, std::string LogId, std::string Claimant,
                                    JournalView View, std::vector<wire::JournalEntry> Witnessed,
                                    uint32_t RingSlots);

/// The records of \p Shard in the view, to be replayed from an empty shard.
std::vector<wire::Record> recordsOf(const JournalView &View, uint32_t Shard);

} // namespace valveshelf
