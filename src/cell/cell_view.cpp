// SPDX-License-Identifier: Apache-2.0
// The watch on members and leader, and the lease of this process's own entry.
#include "cell/cell_view.h"

#include "cell/roster.h"
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
// Between two readings of a picture that is doubted.
constexpr Milliseconds DoubtPause{300};
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
  if (Item.Key == RosterKey)
    takeRoster(Item, Gone);
}

void CellView::takeRoster(const KeyValue &Item, bool Gone) {
  Result<Roster> Read = Gone ? Result<Roster>(Roster{}) : decodeRoster(Item.Value);
  if (!ok(Read)) {
    logEvent(events::RecordUnreadable, {{"key", Item.Key}});
    return;
  }
  Picture.Roster = value(Read);
  joinMembers();
}

void CellView::joinMembers() {
  Picture.Members = AllMembers;
  for (const Member &One : Picture.Roster.Members)
    if (AllMembers.empty())
      Picture.Members[One.Name] = One;
}

void CellView::setAllMembers(std::map<std::string, Member> All) {
  AllMembers = std::move(All);
  joinMembers();
  Changed();
}

Milliseconds CellView::watchTime() const {
  return sharedInterval(Picture.Roster.Processes, Settings.Timing.WatchTime);
}

Milliseconds CellView::memberLease() const {
  return sharedInterval(Picture.Roster.Processes, Settings.Timing.MemberLease);
}

void CellView::doubt() {
  if (!Rereads && !Stopped)
    spawnLater(Where, readAgain());
}

Awaitable<void> CellView::readAgain() {
  Rereads = true;
  co_await readAll();
  co_await sleepFor(DoubtPause);
  Rereads = false;
}

Awaitable<Result<Done>> CellView::readAll() {
  Result<KeyRange> Read = co_await Store.Range(std::string(ViewPrefix), false);
  if (!ok(Read))
    co_return error(Read);
  if (value(Read).Revision < Revision)
    co_return Done{}; // the watch has brought newer news meanwhile
  Picture = {};
  joinMembers();
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
    Result<KeyChanges> Read = co_await Store.Watch(std::string(ViewPrefix), Revision, watchTime());
    if (!ok(Read)) {
      if (error(Read).Kind == ErrorKind::NotFound)
        Revision = 0;
      else
        co_await sleepFor(RetryPause);
      continue;
    }
    for (const KeyChange &Change : value(Read).Changes)
      if (Change.Item.Revision > Revision) // a reading may have overtaken the watch
        take(Change.Item, Change.Gone);
    Revision = std::max(Revision, value(Read).Revision);
    if (value(Read).Changes.empty())
      continue;
    Changed();
  }
}

Awaitable<Result<Done>> CellView::enter() {
  const Milliseconds Life = memberLease();
  Result<uint64_t> Granted = co_await Store.GrantLease(Life);
  if (!ok(Granted))
    co_return error(Granted);
  Transaction Put;
  const Member Self{Settings.Member, Settings.Peers, Settings.Zone, Settings.Power};
  Put.Puts.push_back({memberKey(Settings.Member), encodeMember(Self), 0, value(Granted)});
  Result<TransactionResult> Written = co_await Store.Commit(std::move(Put));
  if (!ok(Written))
    co_return error(Written);
  Lease = value(Granted);
  LeaseLife = Life;
  co_return Done{};
}

Awaitable<void> CellView::memberLoop() {
  std::minstd_rand Random(static_cast<unsigned>(std::hash<std::string>()(Settings.Member)));
  Milliseconds Pause = RetryPause;
  while (!Stopped) {
    Result<Done> Kept = Done{};
    // A lease of another length is a new one; the old one lapses without its key.
    if (Lease == 0 || memberLease() > LeaseLife + LeaseLife / 2)
      Kept = co_await enter();
    else
      Kept = co_await Store.KeepLease(Lease);
    if (ok(Kept)) {
      Pause = RetryPause;
      co_await sleepFor(LeaseLife / RenewalsPerLife);
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
