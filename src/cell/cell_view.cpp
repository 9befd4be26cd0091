// SPDX-License-Identifier: Apache-2.0
// The watch on members and leader, and the lease of this process's own entry.
#include "cell/cell_view.h"

#include "valveshelf/events.h"

#include <random>

namespace valveshelf {
using namespace sched;

namespace {
// After a failed call, before the next one.
constexpr Milliseconds RetryPause{150};
// A member's own entry is not urgent. When hundreds start at once the store can't take all entries
// in, and a claim has to come through between them: the pause doubles up to this one.
constexpr Milliseconds MostEnterPause{2400};
// Between two watches, for each member: when a fleet of hundreds starts, each process would be told
// of each other one by itself, and the store would have to answer the square of them.
constexpr Milliseconds GatherForMember{2};
// Renewals in one life of a lease; two may be lost.
constexpr int RenewalsPerLife = 3;
} // namespace

CellView::CellView(Executor Where, KeyValueStore Store, const CellSettings &Settings,
                   std::function<void()> Changed)
    : Where(Where), Store(std::move(Store)), Settings(Settings), Changed(std::move(Changed)) {}

void CellView::start() {
  spawnLater(Where, watchLoop());
  spawnLater(Where, memberLoop());
}

void CellView::take(const KeyValue &Item, bool Gone) {
  if (Item.Key == LeaderKey) {
    Picture.Leader.reset();
    Picture.LeaderRevision = Gone ? 0 : Item.Revision;
    Result<Leader> Read = Gone ? Result<Leader>(Error{}) : decodeLeader(Item.Value);
    if (ok(Read))
      Picture.Leader = value(Read);
    return;
  }
  if (!Item.Key.starts_with(MemberPrefix))
    return;
  const std::string Name = Item.Key.substr(MemberPrefix.size());
  Picture.Members.erase(Name);
  if (Gone)
    return;
  Result<Member> Read = decodeMember(Item.Value);
  if (ok(Read))
    Picture.Members[Name] = value(Read);
  else
    logEvent(events::RecordUnreadable, {{"key", Item.Key}});
}

Awaitable<Result<Done>> CellView::readAll() {
  Result<KeyRange> Read = co_await Store.Range(std::string(ViewPrefix), false);
  if (!ok(Read))
    co_return error(Read);
  Picture = {};
  for (const KeyValue &Item : value(Read).Items)
    take(Item, false);
  Picture.Known = true;
  Revision = value(Read).Revision;
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
    Result<KeyChanges> Read =
        co_await Store.Watch(std::string(ViewPrefix), Revision, Settings.Timing.WatchTime);
    if (!ok(Read)) {
      if (error(Read).Kind == ErrorKind::NotFound)
        Revision = 0;
      else
        co_await sleepFor(RetryPause);
      continue;
    }
    for (const KeyChange &Change : value(Read).Changes)
      take(Change.Item, Change.Gone);
    Revision = std::max(Revision, value(Read).Revision);
    if (value(Read).Changes.empty())
      continue;
    Changed();
    co_await sleepFor(GatherForMember * Picture.Members.size());
  }
}

Awaitable<Result<Done>> CellView::enter() {
  Result<uint64_t> Granted = co_await Store.GrantLease(Settings.Timing.MemberLease);
  if (!ok(Granted))
    co_return error(Granted);
  Transaction Put;
  const Member Self{Settings.Member, Settings.Peers, Settings.Zone, Settings.Power};
  Put.Puts.push_back({memberKey(Settings.Member), encodeMember(Self), 0, value(Granted)});
  Result<TransactionResult> Written = co_await Store.Commit(std::move(Put));
  if (!ok(Written))
    co_return error(Written);
  Lease = value(Granted);
  co_return Done{};
}

Awaitable<void> CellView::memberLoop() {
  std::minstd_rand Random(static_cast<unsigned>(std::hash<std::string>()(Settings.Member)));
  Milliseconds Pause = RetryPause;
  while (!Stopped) {
    Result<Done> Kept = Done{};
    if (Lease == 0)
      Kept = co_await enter();
    else
      Kept = co_await Store.KeepLease(Lease);
    if (ok(Kept)) {
      Pause = RetryPause;
      co_await sleepFor(Settings.Timing.MemberLease / RenewalsPerLife);
      continue;
    }
    if (error(Kept).Kind == ErrorKind::NotFound)
      Lease = 0;
    // A renewal has to come in time; an entry that is refused waits, each process its own time.
    std::uniform_int_distribution<int64_t> Spread(Pause.count() / 2, Pause.count() * 3 / 2);
    co_await sleepFor(Milliseconds(Spread(Random)));
    Pause = Lease == 0 ? std::min(Pause * 2, MostEnterPause) : RetryPause;
  }
}

Awaitable<void> CellView::leave() {
  Stopped = true;
  if (Lease != 0)
    co_await Store.EndLease(Lease);
}

} // namespace valveshelf
