// SPDX-License-Identifier: Apache-2.0
// Watches the list of members and publishes the roster.
#include "cell/member_list.h"

#include "valveshelf/events.h"

namespace valveshelf {
using namespace sched;

namespace {
// After a failed call.
constexpr Milliseconds RetryDelay{150};
// Between two watches, to batch the registrations of a starting fleet.
constexpr Milliseconds BatchDelay{250};
// Between two updates of the roster, each of which is sent to every process.
constexpr Milliseconds PublishInterval{500};

void addMembers(std::map<std::string, Member> &To, const Roster &From) {
  for (const Member &One : From.Members)
    To[One.Name] = One;
}
} // namespace

MemberList::MemberList(Executor Where, KeyValueStore Store, const CellSettings &Settings,
                       uint64_t LeaderRevision, Milliseconds PublishDelay, Callbacks Owner)
    : Where(Where), Store(std::move(Store)), Settings(Settings), LeaderRevision(LeaderRevision),
      PublishDelay(PublishDelay), Owner(std::move(Owner)) {}

void MemberList::start() {
  spawnLater(Where, watchLoop(shared_from_this()));
  spawnLater(Where, publishLoop(shared_from_this()));
}

void MemberList::applyChange(const KeyValue &Item, bool Gone) {
  const std::string Name = Item.Key.substr(MemberPrefix.size());
  Members.erase(Name);
  if (Gone)
    return;
  Result<Member> Read = decodeMember(Item.Value);
  if (ok(Read))
    Members[Name] = value(Read);
  else
    logEvent(events::RecordUnreadable, {{"key", Item.Key}});
}

Awaitable<Result<Done>> MemberList::readAll() {
  Result<KeyRange> Read = co_await Store.Range(std::string(MemberPrefix), false);
  if (!ok(Read))
    co_return error(Read);
  Members.clear();
  for (const KeyValue &Item : value(Read).Items)
    applyChange(Item, false);
  Revision = value(Read).Revision;
  co_return Done{};
}

Awaitable<void> MemberList::watchLoop(Self Me) {
  while (!Me->Stopped) {
    if (Me->Revision == 0) {
      Result<Done> Read = co_await Me->readAll();
      if (Me->Stopped)
        co_return;
      if (ok(Read))
        Me->Owner.Changed();
      else
        co_await sleepFor(RetryDelay);
      continue;
    }
    Result<KeyChanges> Read = co_await Me->Store.Watch(std::string(MemberPrefix), Me->Revision,
                                                       Me->Settings.Timing.WatchTime);
    if (Me->Stopped)
      co_return;
    if (!ok(Read)) {
      if (error(Read).Kind == ErrorKind::NotFound)
        Me->Revision = 0;
      else
        co_await sleepFor(RetryDelay);
      continue;
    }
    for (const KeyChange &Change : value(Read).Changes)
      Me->applyChange(Change.Item, Change.IsRemoved);
    Me->Revision = std::max(Me->Revision, value(Read).Revision);
    if (value(Read).Changes.empty())
      continue;
    Me->Owner.Changed();
    if (!mayBeTruncated(value(Read)))
      co_await sleepFor(BatchDelay);
  }
}

Awaitable<void> MemberList::publishLoop(Self Me) {
  co_await sleepFor(Me->PublishDelay);
  while (!Me->Stopped) {
    const bool Known = Me->Revision != 0 && !Me->Members.empty();
    if (auto Next = Known ? nextRoster(Me->Owner.CurrentRoster(), Me->Members) : std::nullopt) {
      Transaction Write;
      Write.Conditions.push_back({std::string(LeaderKey), Me->LeaderRevision});
      Write.Puts.push_back({std::string(RosterKey), encodeRoster(*Next), 0, 0});
      const auto Before = Me->PossiblyWritten;
      addMembers(Me->PossiblyWritten, *Next);
      // A failed write is repeated in the next round; the watch delivers the result.
      Result<TransactionResult> Written = co_await Me->Store.Commit(std::move(Write));
      if (ok(Written) && value(Written).Applied && !Me->IsWriteUncertain) {
        Me->PossiblyWritten.clear();
        addMembers(Me->PossiblyWritten, *Next);
      } else if (!ok(Written) && error(Written).Kind == ErrorKind::StoreUnavailable) {
        Me->PossiblyWritten = Before; // nothing was written
      } else if (!ok(Written)) {
        Me->IsWriteUncertain = true;
      }
    }
    co_await sleepFor(PublishInterval);
  }
}

} // namespace valveshelf
