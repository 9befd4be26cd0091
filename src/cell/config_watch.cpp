// SPDX-License-Identifier: Apache-2.0
// Reads and watches the operators' configuration.
#include "cell/config_watch.h"

#include "valveshelf/events.h"

namespace valveshelf {
using namespace sched;

namespace {
// After a failed call, before the next one.
constexpr Milliseconds RetryPause{150};
} // namespace

ConfigWatch::ConfigWatch(Executor Where, KeyValueStore Store, const CellSettings &Settings,
                         std::string Key, Decoder Decode)
    : Where(Where), Store(std::move(Store)), Settings(Settings), Key(std::move(Key)),
      Decode(std::move(Decode)) {}

void ConfigWatch::start() { spawnLater(Where, watchLoop()); }

void ConfigWatch::take(const KeyValue &Item) {
  if (Item.Key != Key || Item.Revision == 0)
    return;
  Result<CellConfiguration> Read = Decode(Item.Value);
  if (!ok(Read)) {
    logEvent(events::ConfigRefused, {{"why", "\"" + error(Read).Detail + "\""}});
    return;
  }
  if (Current && value(Read).Version <= Current->Version)
    return;
  Current = std::make_shared<const CellConfiguration>(std::move(value(Read)));
  logEvent(events::ConfigInForce, {{"version", std::to_string(Current->Version)},
                                   {"revision", std::to_string(Item.Revision)}});
}

Awaitable<Result<Done>> ConfigWatch::readAll() {
  Result<KeyRange> Read = co_await Store.Range(Key, false);
  if (!ok(Read))
    co_return error(Read);
  for (const KeyValue &Item : value(Read).Items)
    take(Item);
  Revision = value(Read).Revision;
  co_return Done{};
}

Awaitable<void> ConfigWatch::watchLoop() {
  while (!Stopped) {
    if (Revision == 0) {
      Result<Done> Read = co_await readAll();
      if (!ok(Read))
        co_await sleepFor(RetryPause);
      continue;
    }
    Result<KeyChanges> Read = co_await Store.Watch(Key, Revision, Settings.Timing.WatchTime);
    if (!ok(Read)) {
      if (error(Read).Kind == ErrorKind::NotFound)
        Revision = 0;
      else
        co_await sleepFor(RetryPause);
      continue;
    }
    for (const KeyChange &Change : value(Read).Changes)
      if (!Change.Gone)
        take(Change.Item);
    Revision = std::max(Revision, value(Read).Revision);
  }
}

} // namespace valveshelf
