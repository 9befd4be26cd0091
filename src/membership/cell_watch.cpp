// SPDX-License-Identifier: Apache-2.0
// Keeps the cell view current with a long-polling store watch.
#include "valveshelf/membership.h"

#include <boost/asio.hpp>

namespace valveshelf {
namespace {
constexpr Milliseconds WatchWait{10000};
constexpr Milliseconds RetryPause{200};

uint32_t shardOfKey(const std::string &Key) {
  return static_cast<uint32_t>(std::strtoul(Key.c_str() + Key.rfind('/') + 1, nullptr, 10));
}

void applyMember(CellView &View, const StoreItem &Item) {
  const std::string Name = Item.Key.substr(Item.Key.rfind('/') + 1);
  std::erase_if(View.Members, [&](const auto &Entry) { return Entry.second.Name == Name; });
  View.MemberVersions[Name] = Item.Version;
  if (Item.Version == 0)
    return;
  Result<MemberInfo> Member = decodeMember(Item.Value);
  if (ok(Member))
    View.Members[value(Member).Log] = value(Member);
}

void applyOwner(CellView &View, const StoreItem &Item) {
  if (Item.Version == 0) {
    View.Owners.erase(shardOfKey(Item.Key));
    return;
  }
  Result<OwnerRecord> Owner = decodeOwner(Item.Value);
  if (!ok(Owner))
    return;
  OwnerRecord &Known = View.Owners[value(Owner).Shard];
  // A local write that was already applied may be newer than this item.
  if (Item.Version < Known.Version)
    return;
  Known = value(Owner);
  Known.Version = Item.Version;
}

void applyItem(CellView &View, const StoreItem &Item) {
  if (Item.Key.starts_with("cell/member/"))
    return applyMember(View, Item);
  if (Item.Key.starts_with("cell/own/"))
    return applyOwner(View, Item);
  if (Item.Key == ConfigKey && Item.Version > View.ConfigStoreVersion) {
    View.ConfigText = Item.Value;
    View.ConfigStoreVersion = Item.Version;
  }
  if (Item.Key == ShardsKey)
    View.ShardsText = Item.Value;
}
} // namespace

CellWatch::CellWatch(StoreOps Store, Clock Time)
    : Store(std::move(Store)), Time(std::move(Time)), Current(std::make_shared<CellView>()) {}

CellViewPtr CellWatch::view() const {
  std::lock_guard Lock(Mutex);
  return Current;
}

void CellWatch::onChange(std::function<void()> Function) { Changed = std::move(Function); }

void CellWatch::apply(const StoreItems &Items, bool FullListing) {
  {
    std::lock_guard Lock(Mutex);
    auto Next = std::make_shared<CellView>(*Current);
    if (FullListing) {
      Next->Members.clear();
      Next->Owners.clear();
    }
    for (const StoreItem &Item : Items.Items)
      applyItem(*Next, Item);
    for (const std::string &Log : GoneIncarnations)
      Next->Members.erase(Log);
    Next->Revision = std::max(Next->Revision, Items.Revision);
    Current = std::move(Next);
  }
  if (Changed && (FullListing || !Items.Items.empty()))
    Changed();
}

void CellWatch::markGone(const std::string &Log) {
  {
    std::lock_guard Lock(Mutex);
    if (!Current->Members.count(Log) || !GoneIncarnations.insert(Log).second)
      return;
  }
  apply({}, false);
  if (Changed)
    Changed();
}

bool CellWatch::provenGone(const std::string &Log) const {
  std::lock_guard Lock(Mutex);
  return GoneIncarnations.count(Log) > 0;
}

void CellWatch::applyLocalWrite(const StoreItem &Item) { apply({0, {Item}}, false); }

Awaitable<Result<Done>> CellWatch::load() {
  Result<StoreItems> Listed = co_await Store.List("cell/");
  if (!ok(Listed))
    co_return error(Listed);
  apply(value(Listed), true);
  co_return Done{};
}

Awaitable<void> CellWatch::run() {
  while (true) {
    const uint64_t After = view()->Revision;
    Result<StoreItems> Changes = co_await Store.Watch("cell/", After, WatchWait);
    if (ok(Changes)) {
      // A lower revision means that the store restarted or lost history: read all keys again.
      if (value(Changes).Revision < After)
        co_await load();
      else
        apply(value(Changes), false);
      continue;
    }
    co_await sleepFor(RetryPause);
    co_await load();
  }
}

} // namespace valveshelf
