// SPDX-License-Identifier: Apache-2.0
// Claims and hands over shards, takes snapshots, and erases sealed journals that are unused.
#include "valveshelf/ownership.h"

#include "valveshelf/events.h"
#include "valveshelf/fence.h"

#include <boost/asio.hpp>
#include <google/protobuf/util/json_util.h>
#include <tbb/parallel_for_each.h>

#include <algorithm>

namespace valveshelf {
namespace asio = boost::asio;
namespace {
constexpr uint32_t RingSlots = JournalLimits{}.RingSlots;
constexpr Milliseconds PollInterval{500};
// Delay before the candidate of the next rank may claim.
constexpr Milliseconds ClaimDelayPerRank{1500};
// A shard moves only after another member was its preferred owner for this long.
constexpr Milliseconds RebalanceDelay{2000};
constexpr Milliseconds SealedJournalRetention{60000};
constexpr size_t MaxHandoverBytes = 900 * 1024;

std::string encodeRecords(const std::vector<wire::Record> &Records) {
  wire::JournalEntry Entry;
  for (const wire::Record &Record : Records)
    *Entry.add_record() = Record;
  std::string Json;
  (void)google::protobuf::util::MessageToJsonString(Entry, &Json);
  return Json;
}

Result<std::vector<wire::Record>> decodeRecords(const std::string &Json) {
  wire::JournalEntry Entry;
  if (!google::protobuf::util::JsonStringToMessage(Json, &Entry).ok())
    return Error{ErrorKind::Internal, "cannot parse the state of a handed-over shard"};
  return std::vector<wire::Record>(Entry.record().begin(), Entry.record().end());
}
} // namespace

Ownership::Ownership(ShardTools Tools, MemberInfo Self, PromiseKeeper &Promises)
    : Tools(std::move(Tools)), Self(std::move(Self)), Promises(Promises),
      Wake(asio::make_strand(this->Tools.Where)) {}

std::shared_ptr<ShardRunner> Ownership::find(uint32_t Shard) const {
  std::lock_guard Lock(Mutex);
  const auto Found = Runners.find(Shard);
  return Found == Runners.end() ? nullptr : Found->second;
}

std::vector<std::shared_ptr<ShardRunner>> Ownership::all() const {
  std::lock_guard Lock(Mutex);
  std::vector<std::shared_ptr<ShardRunner>> Found;
  for (const auto &[Shard, Runner] : Runners)
    Found.push_back(Runner);
  return Found;
}

void Ownership::wake() {
  asio::post(Wake.get_executor(), [this] { Wake.cancel(); });
}

void Ownership::stop() {
  Stopped = true;
  for (const auto &Runner : all())
    Runner->stop();
  wake();
}

bool Ownership::isMine(const OwnerRecord &Record) const {
  return Record.Log == Self.Log && !Record.Released;
}

Awaitable<void> Ownership::run() {
  while (!Stopped) {
    if (!Leaving)
      co_await reconcile();
    if (Tools.Log.snapshotDue())
      co_await snapshot();
    Wake.expires_after(PollInterval);
    co_await Wake.async_wait(asio::as_tuple(asio::use_awaitable));
  }
}

// Compares ownership with the cell view once: claims shards that this process should own and
// releases shards that another member should own.
Awaitable<void> Ownership::reconcile() {
  const CellViewPtr View = Tools.Watch.view();
  const TimePoint Now = Tools.Time.Now();
  for (uint32_t Shard = 0; Shard < Tools.Shards && !Stopped && !Leaving; ++Shard) {
    const auto Found = View->Owners.find(Shard);
    const bool Known = Found != View->Owners.end();
    if (Known && isMine(Found->second)) {
      const MemberInfo *Preferred = preferredOwner(*View, Shard);
      const std::shared_ptr<ShardRunner> Runner = find(Shard);
      const bool Misplaced = Runner && Preferred && Preferred->Log != Self.Log;
      TimePoint Since = Now;
      {
        std::lock_guard Lock(Mutex);
        if (Misplaced)
          Since = MisplacedSince.emplace(Shard, Now).first->second;
        else
          MisplacedSince.erase(Shard);
      }
      if (Misplaced && Now - Since >= RebalanceDelay)
        co_await release(Runner, Preferred->Log);
      continue;
    }
    const bool Owned = Known && !Found->second.Released && View->Members.count(Found->second.Log);
    if (Owned) {
      std::lock_guard Lock(Mutex);
      OwnerlessSince.erase(Shard);
      continue;
    }
    TimePoint Since = Now;
    {
      std::lock_guard Lock(Mutex);
      Since = OwnerlessSince.emplace(Shard, Now).first->second;
    }
    // Candidates of higher rank may claim if those before them have not done so.
    const auto Rank = static_cast<size_t>((Now - Since) / ClaimDelayPerRank);
    bool Candidate = Known && Found->second.Released && Found->second.Successor == Self.Log;
    for (size_t R = 0; R <= Rank && !Candidate; ++R) {
      const MemberInfo *Choice = preferredOwner(*View, Shard, R);
      Candidate = Choice && Choice->Log == Self.Log;
      if (!Choice)
        break;
    }
    if (!Candidate)
      continue;
    OwnerRecord Old;
    if (Known)
      Old = Found->second;
    Old.Shard = Shard;
    co_await claim(Shard, Old);
  }
  co_await collectGarbage();
}

Awaitable<void> Ownership::claim(uint32_t Shard, OwnerRecord Old) {
  if (!Tools.Shared.mayActAt(Tools.Time.Now()) || !Tools.Log.storeUp())
    co_return;
  if (Old.Log.empty())
    co_return co_await claimUnowned(Shard);
  if (Old.Released)
    co_return co_await claimReleased(Shard, Old);
  if (!co_await fence(Old.Log))
    co_return;
  Result<JournalView> View = co_await readJournal(Tools.Store, Old.Log, RingSlots);
  if (!ok(View) || !value(View).Sealed)
    co_return;
  // The owner record may have changed while the journal was being sealed.
  Result<StoreItem> Current = co_await Tools.Store.Get(ownerKey(Shard));
  if (!ok(Current) || value(Current).Version != Old.Version)
    co_return;
  co_await takeOver(Old, recordsOf(value(View), Shard), false);
}

Awaitable<void> Ownership::claimUnowned(uint32_t Shard) {
  OwnerRecord None;
  None.Shard = Shard;
  std::vector<wire::Record> NoRecords;
  co_await takeOver(None, std::move(NoRecords), true);
}

Awaitable<void> Ownership::claimReleased(uint32_t Shard, OwnerRecord Old) {
  Result<StoreItem> State = co_await Tools.Store.Get(handoverKey(Shard));
  if (!ok(State) || value(State).Version == 0)
    co_return;
  Result<std::vector<wire::Record>> Records = decodeRecords(value(State).Value);
  if (!ok(Records))
    co_return;
  // The previous owner had no start request in flight when it released the shard.
  co_await takeOver(Old, std::move(value(Records)), true);
}

// Fences the process of journal \p LogId. Returns true once the journal is sealed.
Awaitable<bool> Ownership::fence(std::string LogId) {
  FenceTools Fence;
  Fence.Store = Tools.Store;
  Fence.Peers = Tools.Peers;
  Fence.Claimant = Self.Log;
  Fence.Address = Self.Peers;
  Fence.RefuseLocally = [this](const wire::RefuseRequest &Request) {
    return Promises.onRefuseAsked(Request);
  };
  Fence.ProvenGone = [this](const std::string &Log) { return Tools.Watch.provenGone(Log); };
  Fence.Promise = Tools.Times.Promise;
  Fence.Margin = Tools.Times.Margin;
  Result<Done> Sealed = co_await fenceJournal(std::move(Fence), LogId);
  if (!ok(Sealed))
    co_return false;
  bool First = false;
  {
    std::lock_guard Lock(Mutex);
    First = SealedSince.emplace(LogId, Tools.Time.Now()).second;
  }
  if (First)
    logEvent(events::JournalSealed, {{"log", LogId}, {"by", Self.Log}});
  co_return true;
}

Awaitable<Result<uint64_t>> Ownership::writeOwner(OwnerRecord Record, uint64_t Expect) {
  const std::string Text = encodeOwner(Record);
  const std::string Key = ownerKey(Record.Shard);
  Result<uint64_t> Put = co_await Tools.Store.Put(Key, Text, Expect, 0);
  while (!ok(Put) && error(Put).Kind == ErrorKind::OutcomeUnknown && !Stopped) {
    Result<StoreItem> Got = co_await Tools.Store.Get(Key);
    if (ok(Got) && value(Got).Value == Text)
      Put = value(Got).Version;
    else if (ok(Got) && value(Got).Version == Expect)
      Put = co_await Tools.Store.Put(Key, Text, Expect, 0);
    else if (ok(Got))
      Put = Error{ErrorKind::Conflict, "another process changed " + Key};
    else
      co_await sleepFor(PollInterval);
  }
  if (ok(Put))
    Tools.Watch.applyLocalWrite({Key, Text, value(Put)});
  co_return Put;
}

// Writes the shard's state to this process's journal, then the owner record that claims it.
Awaitable<void> Ownership::takeOver(OwnerRecord Old, std::vector<wire::Record> Records,
                                    bool PredecessorGone) {
  auto Runner = std::make_shared<ShardRunner>(Old.Shard, Old.Epoch + 1, Tools);
  Runner->load(Records, Old.Log, Old.Peers, PredecessorGone);
  Runner->appendSnapshot({});
  if (co_await Tools.Log.barrier() != Durability::Stored)
    co_return;
  OwnerRecord Mine;
  Mine.Shard = Old.Shard;
  Mine.Log = Self.Log;
  Mine.Member = Self.Name;
  Mine.Peers = Self.Peers;
  Mine.Epoch = Old.Epoch + 1;
  {
    // Registered before the owner record is written, so that a concurrent snapshot includes it.
    std::lock_guard Lock(Mutex);
    Runners[Old.Shard] = Runner;
  }
  Result<uint64_t> Put = co_await writeOwner(Mine, Old.Version);
  if (!ok(Put)) {
    logEvent(events::ClaimLost, {{"shard", std::to_string(Old.Shard)}});
    std::lock_guard Lock(Mutex);
    Runners.erase(Old.Shard);
    co_return;
  }
  ++Claims;
  Runner->start();
  {
    std::lock_guard Lock(Mutex);
    OwnerlessSince.erase(Old.Shard);
  }
  logEvent(events::ShardClaimed, {{"shard", std::to_string(Old.Shard)},
                                  {"epoch", std::to_string(Mine.Epoch)},
                                  {"from", Old.Log.empty() ? "nobody" : Old.Log}});
}

// Hands one shard over: drains it, writes its state to the store and marks it released.
Awaitable<bool> Ownership::release(std::shared_ptr<ShardRunner> Runner, std::string Successor) {
  if (!Tools.Log.storeUp())
    co_return false;
  const uint32_t Shard = Runner->shard();
  const std::string State = encodeRecords(co_await Runner->drain());
  if (State.size() > MaxHandoverBytes) {
    Runner->resume();
    co_return false;
  }
  Result<StoreItem> Old = co_await Tools.Store.Get(handoverKey(Shard));
  Result<uint64_t> Kept = Error{ErrorKind::StoreUnavailable, ""};
  if (ok(Old))
    Kept = co_await Tools.Store.Put(handoverKey(Shard), State, value(Old).Version, 0);
  const CellViewPtr View = Tools.Watch.view();
  const auto Found = View->Owners.find(Shard);
  if (!ok(Kept) || Found == View->Owners.end() || !isMine(Found->second)) {
    Runner->resume();
    co_return false;
  }
  OwnerRecord Record = Found->second;
  Record.Released = true;
  Record.Successor = std::move(Successor);
  // No start request may be sent once another process can read the release.
  Runner->stop();
  Result<uint64_t> Put = co_await writeOwner(Record, Found->second.Version);
  {
    std::lock_guard Lock(Mutex);
    Runners.erase(Shard);
    MisplacedSince.erase(Shard);
  }
  logEvent(events::ShardReleased, {{"shard", std::to_string(Shard)}, {"to", Record.Successor}});
  co_return ok(Put);
}

Awaitable<size_t> Ownership::releaseAll() {
  Leaving = true;
  size_t Left = 0;
  for (const auto &Runner : all()) {
    const CellViewPtr View = Tools.Watch.view();
    const MemberInfo *Next = preferredOwner(*View, Runner->shard());
    bool Released = false;
    if (Next && Next->Log != Self.Log)
      Released = co_await release(Runner, Next->Log);
    Left += Released ? 0 : 1;
  }
  co_return Left;
}

int Ownership::startsInFlight() const {
  int Sum = 0;
  for (const auto &Runner : all())
    Sum += Runner->startsInFlight();
  return Sum;
}

Awaitable<void> Ownership::eraseJournal() {
  Tools.Log.appendSeal({});
  co_await Tools.Log.barrier();
  Result<StoreItems> Slots = co_await Tools.Store.List("log/" + Self.Log + "/");
  if (!ok(Slots))
    co_return;
  for (const StoreItem &Slot : value(Slots).Items)
    co_await Tools.Store.Erase(Slot.Key, Slot.Version);
}

Awaitable<void> Ownership::snapshot() {
  Tools.Log.beginSnapshot();
  // Shards are serialized in parallel, each under its own lock: all may be many megabytes.
  const std::vector<std::shared_ptr<ShardRunner>> Runners = all();
  tbb::parallel_for_each(
      Runners, [](const std::shared_ptr<ShardRunner> &Runner) { Runner->appendSnapshot({}); });
  Tools.Log.endSnapshot();
  co_await Tools.Log.barrier();
}

// Erases journals sealed by this process that no owner record has named for the retention period.
Awaitable<void> Ownership::collectGarbage() {
  const CellViewPtr View = Tools.Watch.view();
  const TimePoint Now = Tools.Time.Now();
  std::vector<std::string> Unused;
  {
    std::lock_guard Lock(Mutex);
    for (auto &Sealed : SealedSince) {
      const bool Named =
          std::any_of(View->Owners.begin(), View->Owners.end(),
                      [&](const auto &Entry) { return Entry.second.Log == Sealed.first; });
      if (Named)
        Sealed.second = Now;
      else if (Now - Sealed.second >= SealedJournalRetention)
        Unused.push_back(Sealed.first);
    }
  }
  for (const std::string &Log : Unused) {
    Result<StoreItems> Slots = co_await Tools.Store.List("log/" + Log + "/");
    if (!ok(Slots))
      co_return;
    for (const StoreItem &Slot : value(Slots).Items)
      co_await Tools.Store.Erase(Slot.Key, Slot.Version);
    std::lock_guard Lock(Mutex);
    SealedSince.erase(Log);
  }
}

} // namespace valveshelf
