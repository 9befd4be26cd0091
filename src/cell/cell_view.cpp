// SPDX-License-Identifier: Apache-2.0
// Watch on the leader and the roster, and the lease of this process's member key.
#include "cell/cell_view.h"

#include "cell/roster.h"
#include "valveshelf/events.h"

#include <random>

namespace valveshelf {
using namespace sched;

namespace {
// Delay before a failed call is repeated.
constexpr Milliseconds RetryPause{150};
// Limit of the exponential backoff for registering as a member. Registering is not urgent, and the
// store can't take in the entries of hundreds of processes that start at once; leadership claims
// have to get through between them.
constexpr Milliseconds MaxRegisterPause{2400};
// Shortest time between two requested refreshes.
constexpr Milliseconds RefreshPause{300};
// Renewals per time to live of a lease; two may be lost.
constexpr int RenewalsPerTtl = 3;
} // namespace

CellView::CellView(Executor Where, KeyValueStore Store, const CellSettings &Settings,
                   std::function<void()> Changed)
    : Where(Where), Store(std::move(Store)), Settings(Settings), Changed(std::move(Changed)) {}

void CellView::start() {
  spawnLater(Where, watchLoop());
  spawnLater(Where, memberLoop());
}

void CellView::applyItem(const KeyValue &Item, bool IsRemoved) {
  if (Item.Key == LeaderKey) {
    Snapshot.Leader.reset();
    Snapshot.LeaderRevision = IsRemoved ? 0 : Item.Revision;
    Snapshot.LeaderLease = IsRemoved ? 0 : Item.Lease;
    Result<Leader> Read = IsRemoved ? Result<Leader>(Error{}) : decodeLeader(Item.Value);
    if (ok(Read))
      Snapshot.Leader = value(Read);
    return;
  }
  if (Item.Key == RosterKey)
    applyRoster(Item, IsRemoved);
}

void CellView::applyRoster(const KeyValue &Item, bool IsRemoved) {
  Result<Roster> Read = IsRemoved ? Result<Roster>(Roster{}) : decodeRoster(Item.Value);
  if (!ok(Read)) {
    logEvent(events::RecordUnreadable, {{"key", Item.Key}});
    return;
  }
  Snapshot.Roster = value(Read);
  updateMembers();
}

void CellView::updateMembers() {
  Snapshot.Members = AllMembers;
  for (const Member &One : Snapshot.Roster.Members)
    if (AllMembers.empty())
      Snapshot.Members[One.Name] = One;
}

void CellView::setAllMembers(std::map<std::string, Member> All) {
  AllMembers = std::move(All);
  updateMembers();
  Changed();
}

Milliseconds CellView::watchTime() const {
  return sharedInterval(Snapshot.Roster.Processes, Settings.Timing.WatchTime);
}

Milliseconds CellView::memberLease() const {
  return sharedInterval(Snapshot.Roster.Processes, Settings.Timing.MemberLease);
}

void CellView::refreshSoon() {
  if (!IsRefreshing && !Stopped)
    spawnLater(Where, refresh());
}

Awaitable<void> CellView::refresh() {
  IsRefreshing = true;
  co_await readAll();
  co_await sleepFor(RefreshPause);
  IsRefreshing = false;
}

Awaitable<Result<Done>> CellView::readAll() {
  Result<KeyRange> Read = co_await Store.Range(std::string(ViewPrefix), false);
  if (!ok(Read))
    co_return error(Read);
  if (value(Read).Revision < Revision)
    co_return Done{}; // the watch has delivered newer changes meanwhile
  Snapshot = {};
  updateMembers();
  for (const KeyValue &Item : value(Read).Items)
    applyItem(Item, false);
  Snapshot.IsLoaded = true;
  Revision = value(Read).Revision;
  SeenRevision = std::max(SeenRevision, Revision);
  Changed();
  co_return Done{};
}

Awaitable<void> CellView::watchLoop() {
  while (!Stopped) {
    if (Revision == 0) {
      Result<Done> Read = co_await readAll();
      if (!ok(Read))
        co_await sleepFor(RetryPause);
      continue;
    }
    Result<KeyChanges> Read = co_await Store.Watch(std::string(ViewPrefix), Revision, watchTime());
    if (!ok(Read)) {
      if (error(Read).Kind == ErrorKind::NotFound)
        Revision = 0;
      else
        co_await sleepFor(RetryPause);
      continue;
    }
    for (const KeyChange &Change : value(Read).Changes)
      if (Change.Item.Revision > Revision) // else a refresh has already delivered it
        applyItem(Change.Item, Change.IsRemoved);
    Revision = std::max(Revision, value(Read).Revision);
    SeenRevision = std::max(SeenRevision, Revision);
    if (value(Read).Changes.empty())
      continue;
    Changed();
  }
}

Awaitable<Result<Done>> CellView::registerMember() {
  const Milliseconds Ttl = memberLease();
  Result<uint64_t> Granted = co_await Store.GrantLease(Ttl);
  if (!ok(Granted))
    co_return error(Granted);
  Transaction Put;
  const Member Self{Settings.Member, Settings.Peers, Settings.Zone, Settings.Power};
  Put.Puts.push_back({memberKey(Settings.Member), encodeMember(Self), 0, value(Granted)});
  Result<TransactionResult> Written = co_await Store.Commit(std::move(Put));
  if (!ok(Written))
    co_return error(Written);
  Lease = value(Granted);
  LeaseTtl = Ttl;
  co_return Done{};
}

Awaitable<void> CellView::memberLoop() {
  std::minstd_rand Random(static_cast<unsigned>(std::hash<std::string>()(Settings.Member)));
  Milliseconds Pause = RetryPause;
  while (!Stopped) {
    Result<Done> Kept = Done{};
    // A longer lease has to be granted anew; the old one expires without removing the key.
    if (Lease == 0 || memberLease() > LeaseTtl + LeaseTtl / 2)
      Kept = co_await registerMember();
    else
      Kept = co_await Store.RenewLease(Lease);
    if (ok(Kept)) {
      Pause = RetryPause;
      co_await sleepFor(LeaseTtl / RenewalsPerTtl);
      continue;
    }
    if (error(Kept).Kind == ErrorKind::NotFound)
      Lease = 0;
    // Renewals are retried quickly; registrations back off with jitter.
    std::uniform_int_distribution<int64_t> Spread(Pause.count() / 2, Pause.count() * 3 / 2);
    co_await sleepFor(Milliseconds(Spread(Random)));
    Pause = Lease == 0 ? std::min(Pause * 2, MaxRegisterPause) : RetryPause;
  }
}

Awaitable<void> CellView::leave() {
  Stopped = true;
  if (Lease != 0)
    co_await Store.RevokeLease(Lease);
}

} // namespace valveshelf
