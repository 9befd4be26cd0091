// SPDX-License-Identifier: Apache-2.0
// Group commit, resolution of writes with unknown outcome, witnessed entries and sealing.
#include "valveshelf/journal.h"

#include "valveshelf/events.h"

#include <boost/asio.hpp>
#include <google/protobuf/util/json_util.h>

#include <algorithm>

namespace valveshelf {
namespace asio = boost::asio;
namespace {
constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);
// Poll interval of the run loop when nothing wakes it.
constexpr Milliseconds IdleWait{500};

std::string encode(const wire::JournalEntry &Entry) {
  std::string Json;
  google::protobuf::util::JsonPrintOptions Options;
  Options.preserve_proto_field_names = true;
  (void)google::protobuf::util::MessageToJsonString(Entry, &Json, Options);
  return Json;
}

bool decode(const std::string &Json, wire::JournalEntry &Entry) {
  google::protobuf::util::JsonParseOptions Options;
  Options.ignore_unknown_fields = true;
  return google::protobuf::util::JsonStringToMessage(Json, &Entry, Options).ok();
}

std::string keyOf(const std::string &Log, uint64_t Slot) {
  std::string Number = std::to_string(Slot);
  Number.insert(0, 4 - std::min<size_t>(4, Number.size()), '0');
  return "log/" + Log + "/" + Number;
}
} // namespace

void WriteBudget::setRate(double PerSecond, double NewBurst) {
  std::lock_guard Lock(Mutex);
  Rate = PerSecond;
  Burst = NewBurst;
}

std::optional<Milliseconds> WriteBudget::take(TimePoint Now) {
  std::lock_guard Lock(Mutex);
  if (Last != TimePoint{})
    Tokens = std::min(Burst, Tokens + Rate * std::chrono::duration<double>(Now - Last).count());
  Last = Now;
  if (Tokens >= 1.0) {
    Tokens -= 1.0;
    return std::nullopt;
  }
  return std::chrono::ceil<Milliseconds>(std::chrono::duration<double>((1.0 - Tokens) / Rate));
}

Journal::Journal(Executor Where, std::string LogId, StoreOps Store, Clock Time,
                 JournalLimits Limits, WriteBudget &Budget, WitnessFunction Witness)
    : Where(Where), Log(std::move(LogId)), Store(std::move(Store)), Time(std::move(Time)),
      Limits(Limits), Budget(Budget), Witness(std::move(Witness)), Wake(asio::make_strand(Where)),
      SlotVersions(Limits.RingSlots, 0) {}

void Journal::push(Pending Item) {
  DurableCallback Refused;
  {
    std::lock_guard Lock(Mutex);
    if (IsFenced)
      Refused = std::move(Item.Callback);
    else
      Queue.push_back(std::move(Item));
  }
  if (Refused)
    return invokeCallbacks({Refused}, Durability::Lost);
  asio::post(Wake.get_executor(), [this] { Wake.cancel(); });
}

void Journal::append(std::vector<wire::Record> Records, DurableCallback WhenDurable) {
  push({std::move(Records), std::move(WhenDurable)});
}

void Journal::setGuardians(std::vector<wire::Guardian> Guardians, DurableCallback WhenDurable) {
  Pending Item{{}, std::move(WhenDurable)};
  Item.Guardians = std::move(Guardians);
  push(std::move(Item));
}

void Journal::beginSnapshot() {
  Pending Item;
  Item.SnapshotBegin = true;
  {
    std::lock_guard Lock(Mutex);
    SnapshotOpen = true;
  }
  push(std::move(Item));
}

void Journal::endSnapshot() {
  Pending Item;
  Item.SnapshotEnd = true;
  push(std::move(Item));
}

void Journal::appendSeal(DurableCallback WhenDurable) {
  Pending Item{{}, std::move(WhenDurable)};
  Item.Seal = true;
  push(std::move(Item));
}

namespace {
// Adapts a durability callback to an awaitable.
template <class Append> Awaitable<Durability> waitFor(Append Start, bool WitnessedIsEnough) {
  return asio::async_initiate<const asio::use_awaitable_t<> &, void(Durability)>(
      [Start, WitnessedIsEnough](auto Handler) {
        auto Kept = std::make_shared<decltype(Handler)>(std::move(Handler));
        auto Called = std::make_shared<std::atomic<bool>>(false);
        Start([Kept, Called, WitnessedIsEnough](Durability Value) {
          if (Value == Durability::Witnessed && !WitnessedIsEnough)
            return;
          if (!Called->exchange(true))
            (*Kept)(Value);
        });
      },
      asio::use_awaitable);
}
} // namespace

Awaitable<Durability> Journal::barrier() {
  co_return co_await waitFor([this](DurableCallback Callback) { append({}, std::move(Callback)); },
                             false);
}

Awaitable<Durability> Journal::witnessedBarrier() {
  co_return co_await waitFor([this](DurableCallback Callback) { append({}, std::move(Callback)); },
                             true);
}

bool Journal::snapshotDue() const {
  std::lock_guard Lock(Mutex);
  return !SnapshotOpen && !DownSince && StoredBelow - SnapshotStart >= Limits.SnapshotEvery;
}

void Journal::stop() {
  {
    std::lock_guard Lock(Mutex);
    Stopping = true;
  }
  asio::post(Wake.get_executor(), [this] { Wake.cancel(); });
}

std::string Journal::slotKey(uint64_t Sequence) const {
  return keyOf(Log, Sequence % Limits.RingSlots);
}

// Moves pending items into \p New until it is full. A snapshot begins with a new entry.
void Journal::fill(Unstored &New) {
  while (!Queue.empty() && New.Bytes < Limits.MaxEntryBytes && !New.Entry.seal()) {
    Pending &Item = Queue.front();
    if (Item.SnapshotBegin && New.Entry.record_size() > 0)
      return;
    if (Item.SnapshotBegin) {
      New.Entry.set_snapshot_begin(true);
      // Older ring slots are overwritten, so each snapshot repeats the current guardians.
      Item.Guardians = CurrentGuardians;
    }
    if (Item.SnapshotEnd)
      New.Entry.set_snapshot_end(true);
    if (Item.Guardians) {
      CurrentGuardians = *Item.Guardians;
      New.Entry.set_sets_guardians(true);
      New.Entry.clear_guardian();
      for (const wire::Guardian &Guardian : CurrentGuardians)
        *New.Entry.add_guardian() = Guardian;
    }
    New.Entry.set_seal(Item.Seal);
    for (wire::Record &Record : Item.Records) {
      New.Bytes += Record.ByteSizeLong();
      *New.Entry.add_record() = std::move(Record);
    }
    if (Item.Callback)
      New.Callbacks.push_back(std::move(Item.Callback));
    Queue.pop_front();
  }
}

// Moves pending records into one new entry. Returns false if there is nothing to move or no room.
// While the store answers, only one entry exists at a time, so that the next one contains all
// records appended during the write.
bool Journal::buildEntry() {
  std::lock_guard Lock(Mutex);
  if (Queue.empty() || IsFenced || UnstoredBytes > Limits.MaxUnstoredBytes)
    return false;
  if (!UnstoredEntries.empty() && !DownSince)
    return false;
  Unstored New;
  New.Entry.set_log(Log);
  New.Entry.set_writer(Log);
  New.Entry.set_first_record(NextRecord);
  fill(New);
  NextRecord += New.Entry.record_size();
  UnstoredBytes += New.Bytes;
  UnstoredEntries.push_back(std::move(New));
  return true;
}

// Merges the next entry into \p Front if one entry can hold both.
bool Journal::mergeNext(Unstored &Front) {
  if (UnstoredEntries.empty() || Front.Bytes >= Limits.MaxEntryBytes || Front.Entry.seal())
    return false;
  Unstored &Next = UnstoredEntries.front();
  if (Next.Entry.snapshot_begin())
    return false;
  Front.Entry.mutable_record()->MergeFrom(Next.Entry.record());
  Front.Entry.set_snapshot_end(Front.Entry.snapshot_end() || Next.Entry.snapshot_end());
  Front.Entry.set_seal(Next.Entry.seal());
  if (Next.Entry.sets_guardians()) {
    Front.Entry.set_sets_guardians(true);
    *Front.Entry.mutable_guardian() = Next.Entry.guardian();
  }
  std::move(Next.Callbacks.begin(), Next.Callbacks.end(), std::back_inserter(Front.Callbacks));
  Front.Bytes += Next.Bytes;
  UnstoredEntries.pop_front();
  return true;
}

// Finalizes the oldest entry before its first write to the store: merges the entries built during
// an outage into it and assigns its sequence.
void Journal::prepareFront() {
  if (UnstoredEntries.front().Attempted)
    return;
  // Moved out of the deque because mergeNext removes elements, which would invalidate a reference
  // to the front and lose the merged records and their callbacks.
  Unstored Front = std::move(UnstoredEntries.front());
  UnstoredEntries.pop_front();
  while (mergeNext(Front)) {
  }
  Front.Attempted = true;
  Front.Entry.set_sequence(StoredBelow);
  if (Front.Entry.snapshot_begin())
    OpenSnapshotStart = StoredBelow;
  if (Front.Entry.snapshot_end()) {
    SnapshotStart = OpenSnapshotStart;
    SnapshotOpen = false;
  }
  Front.Entry.set_snapshot_start(SnapshotStart);
  UnstoredEntries.push_front(std::move(Front));
}

void Journal::invokeCallbacks(std::vector<DurableCallback> Callbacks, Durability Value) {
  for (DurableCallback &Callback : Callbacks)
    asio::post(Where, [Callback = std::move(Callback), Value] { Callback(Value); });
}

void Journal::onStored(uint64_t Version) {
  std::vector<DurableCallback> Callbacks;
  {
    std::lock_guard Lock(Mutex);
    Unstored &Front = UnstoredEntries.front();
    SlotVersions[Front.Entry.sequence() % Limits.RingSlots] = Version;
    StoredBelow = Front.Entry.sequence() + 1;
    StoredRecordsBelow = Front.Entry.first_record() + Front.Entry.record_size();
    UnstoredBytes -= Front.Bytes;
    Callbacks = std::move(Front.Callbacks);
    UnstoredEntries.pop_front();
    ++WriteCount;
  }
  reportStoreStatus(true);
  invokeCallbacks(std::move(Callbacks), Durability::Stored);
}

void Journal::onFenced() {
  std::vector<DurableCallback> Callbacks;
  {
    std::lock_guard Lock(Mutex);
    IsFenced = true;
    for (Unstored &Entry : UnstoredEntries)
      std::move(Entry.Callbacks.begin(), Entry.Callbacks.end(), std::back_inserter(Callbacks));
    for (Pending &Item : Queue)
      if (Item.Callback)
        Callbacks.push_back(std::move(Item.Callback));
    UnstoredEntries.clear();
    Queue.clear();
  }
  invokeCallbacks(std::move(Callbacks), Durability::Lost);
}

void Journal::reportStoreStatus(bool Answers) {
  std::lock_guard Lock(Mutex);
  if (Answers) {
    if (DownSince && Time.Now() - *DownSince >= Limits.DownAfter)
      logEvent(events::StoreUp);
    DownSince.reset();
  } else if (!DownSince) {
    DownSince = Time.Now();
  }
}

bool Journal::storeUp() const {
  std::lock_guard Lock(Mutex);
  return !DownSince || Time.Now() - *DownSince < Limits.DownAfter;
}

Milliseconds Journal::storeDownFor() const {
  std::lock_guard Lock(Mutex);
  return DownSince ? std::chrono::duration_cast<Milliseconds>(Time.Now() - *DownSince)
                   : Milliseconds(0);
}

bool Journal::fenced() const {
  std::lock_guard Lock(Mutex);
  return IsFenced;
}

uint64_t Journal::storedRecords() const {
  std::lock_guard Lock(Mutex);
  return StoredRecordsBelow;
}

uint64_t Journal::writes() const {
  std::lock_guard Lock(Mutex);
  return WriteCount;
}

bool Journal::isMine(const wire::JournalEntry &Found, const wire::JournalEntry &Entry) const {
  return Found.log() == Log && Found.writer() == Log && Found.sequence() == Entry.sequence();
}

// Determines the result of a write with unknown outcome. Returns true if the entry is stored or the
// journal is fenced, with the state updated accordingly; false if the entry was not written.
Awaitable<bool> Journal::resolveUnknownOutcome(const std::string &Key,
                                               const wire::JournalEntry &Entry, uint64_t Expect) {
  while (true) {
    Result<StoreItem> Got = co_await Store.Get(Key);
    if (!ok(Got)) {
      reportStoreStatus(false);
      co_await witnessAll();
      co_await sleepFor(Limits.RetryPause);
      if (fenced())
        co_return true;
      continue;
    }
    reportStoreStatus(true);
    if (value(Got).Version == Expect)
      co_return false;
    wire::JournalEntry Found;
    if (decode(value(Got).Value, Found) && isMine(Found, Entry))
      onStored(value(Got).Version);
    else
      onFenced();
    co_return true;
  }
}

// Tries once to store the oldest entry. Returns false if the write must be retried.
Awaitable<bool> Journal::writeFront() {
  wire::JournalEntry Entry;
  uint64_t Expect = 0;
  {
    std::lock_guard Lock(Mutex);
    prepareFront();
    Entry = UnstoredEntries.front().Entry;
    Expect = SlotVersions[Entry.sequence() % Limits.RingSlots];
  }
  const std::string Key = slotKey(Entry.sequence());
  Result<uint64_t> Put = co_await Store.Put(Key, encode(Entry), Expect, 0);
  if (ok(Put)) {
    onStored(value(Put));
    co_return true;
  }
  if (error(Put).Kind == ErrorKind::StoreUnavailable) {
    reportStoreStatus(false);
    co_return false;
  }
  if (error(Put).Kind == ErrorKind::OutcomeUnknown)
    reportStoreStatus(false);
  co_return co_await resolveUnknownOutcome(Key, Entry, Expect);
}

// While the store is down, sends new entries to the guardians instead.
Awaitable<void> Journal::witnessAll() {
  if (storeUp())
    co_return;
  while (buildEntry()) {
  }
  std::vector<wire::JournalEntry> Entries;
  {
    std::lock_guard Lock(Mutex);
    for (const Unstored &Entry : UnstoredEntries)
      if (!Entry.Witnessed)
        Entries.push_back(Entry.Entry);
  }
  if (Entries.empty())
    co_return;
  const uint64_t Last = Entries.back().first_record();
  const bool Held = co_await Witness(std::move(Entries));
  if (!Held)
    co_return;
  std::vector<DurableCallback> Callbacks;
  {
    std::lock_guard Lock(Mutex);
    for (Unstored &Entry : UnstoredEntries) {
      if (Entry.Witnessed || Entry.Entry.first_record() > Last)
        continue;
      Entry.Witnessed = true;
      Callbacks.insert(Callbacks.end(), Entry.Callbacks.begin(), Entry.Callbacks.end());
    }
  }
  invokeCallbacks(std::move(Callbacks), Durability::Witnessed);
}

Awaitable<void> Journal::run() {
  bool WasDown = false;
  while (!fenced()) {
    bool HaveEntry = false;
    {
      std::lock_guard Lock(Mutex);
      HaveEntry = !UnstoredEntries.empty();
      if (Stopping && !HaveEntry && Queue.empty())
        co_return;
    }
    if (!HaveEntry && !buildEntry()) {
      Wake.expires_after(IdleWait);
      co_await Wake.async_wait(AsTuple);
      continue;
    }
    if (const auto Pause = Budget.take(Time.Now())) {
      co_await sleepFor(*Pause);
      continue;
    }
    if (co_await writeFront())
      continue;
    if (!storeUp() && !WasDown)
      logEvent(events::StoreDown, {{"log", Log}});
    WasDown = !storeUp();
    co_await witnessAll();
    co_await sleepFor(Limits.RetryPause);
  }
}

Awaitable<Result<JournalView>> readJournal(const StoreOps &Store, std::string LogId,
                                           uint32_t RingSlots) {
  Result<StoreItems> Listed = co_await Store.List("log/" + LogId + "/");
  if (!ok(Listed))
    co_return error(Listed);
  std::map<uint64_t, wire::JournalEntry> BySequence;
  std::map<std::string, uint64_t> Versions;
  for (const StoreItem &Item : value(Listed).Items) {
    wire::JournalEntry Entry;
    if (!decode(Item.Value, Entry))
      co_return Error{ErrorKind::Internal, "journal entry " + Item.Key + " cannot be parsed"};
    Versions[Item.Key] = Item.Version;
    BySequence[Entry.sequence()] = std::move(Entry);
  }
  if (BySequence.empty())
    co_return Error{ErrorKind::NotFound, "no entries found for journal " + LogId};
  const wire::JournalEntry &Last = BySequence.rbegin()->second;
  JournalView View;
  View.NextSequence = Last.sequence() + 1;
  View.NextRecord = Last.first_record() + Last.record_size();
  View.Sealed = Last.seal();
  View.NextSlotVersion = Versions[keyOf(LogId, View.NextSequence % RingSlots)];
  for (auto &[Sequence, Entry] : BySequence) {
    if (Entry.sets_guardians())
      View.Guardians = {Entry.guardian().begin(), Entry.guardian().end()};
    if (Sequence >= Last.snapshot_start())
      View.Entries.push_back(Entry);
  }
  co_return View;
}

Awaitable<Result<Done>> sealJournal(const StoreOps &Store, std::string LogId, std::string Claimant,
                                    JournalView View, std::vector<wire::JournalEntry> Witnessed,
                                    uint32_t RingSlots) {
  wire::JournalEntry Seal;
  Seal.set_log(LogId);
  Seal.set_sequence(View.NextSequence);
  Seal.set_writer(Claimant);
  Seal.set_seal(true);
  if (!View.Entries.empty())
    Seal.set_snapshot_start(View.Entries.back().snapshot_start());
  std::sort(Witnessed.begin(), Witnessed.end(),
            [](const auto &A, const auto &B) { return A.first_record() < B.first_record(); });
  Seal.set_first_record(View.NextRecord);
  uint64_t Next = View.NextRecord;
  for (const wire::JournalEntry &Entry : Witnessed) {
    // Skips records that were stored after the guardian received them.
    for (int I = 0; I < Entry.record_size(); ++I)
      if (Entry.first_record() + I == Next) {
        *Seal.add_record() = Entry.record(I);
        ++Next;
      }
  }
  const std::string Key = keyOf(LogId, View.NextSequence % RingSlots);
  Result<uint64_t> Put = co_await Store.Put(Key, encode(Seal), View.NextSlotVersion, 0);
  if (ok(Put))
    co_return Done{};
  if (error(Put).Kind != ErrorKind::OutcomeUnknown)
    co_return error(Put);
  // The outcome is unknown: read the slot to see whether the seal was written.
  Result<StoreItem> Got = co_await Store.Get(Key);
  if (!ok(Got))
    co_return error(Got);
  wire::JournalEntry Found;
  if (decode(value(Got).Value, Found) && Found.seal() && Found.writer() == Claimant &&
      Found.sequence() == Seal.sequence())
    co_return Done{};
  co_return Error{ErrorKind::Conflict,
                  "another process wrote to journal " + LogId + " before it was sealed"};
}

std::vector<wire::Record> recordsOf(const JournalView &View, uint32_t Shard) {
  std::vector<wire::Record> Records;
  for (const wire::JournalEntry &Entry : View.Entries)
    for (const wire::Record &Record : Entry.record())
      if (Record.shard() == Shard)
        Records.push_back(Record);
  return Records;
}

} // namespace valveshelf
