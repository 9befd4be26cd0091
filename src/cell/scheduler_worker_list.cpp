// SPDX-License-Identifier: Apache-2.0
// Keeps the scheduler's copy of the platform's list of workers current and detects when it is
// stale.
#include "cell/scheduler_runner.h"

#include "valveshelf/events.h"

namespace valveshelf {
using namespace sched;

namespace {
// Pause between two watches of the list of workers, which changes with every check-in; limits the
// number of calls. Delays the detection of draining workers by as much.
constexpr Milliseconds WorkerWatchPause{250};
// After this many consecutive empty watch answers the list is read in full, because a store that is
// discarding history may return empty answers although entries have changed.
constexpr int MaxEmptyWatches = 2;
} // namespace

void SchedulerRunner::applyWorkerItem(const KeyValue &Item, bool IsRemoved) {
  const TimePoint Now = Deps.Time.Now();
  const std::string Id = keySuffix(Item.Key, Deps.WorkerPrefix);
  if (IsRemoved) {
    workerUnlisted(Cell, Id, Now);
    return wakeHeartbeatLoop(Id); // send a heartbeat at once: the worker may have failed
  }
  Result<WorkerInfo> Read = Deps.DecodeWorker(Id, Item.Value);
  if (!ok(Read)) {
    // Another writer may have overwritten the worker's entry; its content can't be trusted.
    logEvent(events::RecordUnreadable, {{"key", Item.Key}, {"why", error(Read).Detail}});
    return workerUnlisted(Cell, Id, Now);
  }
  const auto Known = Cell.Workers.find(Id);
  const bool WasLeaving = Known != Cell.Workers.end() && Known->second.Info.Draining;
  if (value(Read).Draining && !WasLeaving)
    logEvent(events::WorkerLeaving,
             {{"worker", Id},
              {"time_left_ms", std::to_string(value(Read).DrainTimeLeft.count())},
              {"revision", std::to_string(Item.Revision)}});
  if (workerListed(Cell, value(Read), Now) == LifeOrder::Newer)
    HeartbeatStates.erase(Id);
}

Awaitable<Result<Done>> SchedulerRunner::rereadWorkers() {
  const TimePoint SentAt = Deps.Time.Now();
  Result<KeyRange> Read = co_await Deps.Store.Range(Deps.WorkerPrefix, false);
  if (!ok(Read))
    co_return error(Read);
  if (Stopped || value(Read).Revision < WorkerListRevision)
    co_return Done{}; // the watch has delivered newer changes meanwhile
  const LoopSection Work(Loop, LoopWork::List);
  std::set<std::string> Seen;
  for (const KeyValue &Item : value(Read).Items) {
    Seen.insert(keySuffix(Item.Key, Deps.WorkerPrefix));
    applyWorkerItem(Item, false);
  }
  for (const auto &[Id, On] : Cell.Workers)
    if (!Seen.count(Id)) {
      workerUnlisted(Cell, Id, Deps.Time.Now());
      wakeHeartbeatLoop(Id);
    }
  WorkerListRevision = value(Read).Revision;
  noteListAnswer(WorkerListAge, SentAt, Milliseconds(0));
  startHeartbeats();
  schedulePlacement();
  co_return Done{};
}

// Applies the answer to a watch that was sent at \p SentAt with a longest wait of \p Wait. Answers
// may arrive out of order; changes that are already known are ignored.
void SchedulerRunner::applyWorkerChanges(const KeyChanges &Read, TimePoint SentAt,
                                         Milliseconds Wait) {
  const LoopSection Work(Loop, LoopWork::List);
  for (const KeyChange &Change : Read.Changes)
    if (Change.Item.Revision > WorkerListRevision)
      applyWorkerItem(Change.Item, Change.IsRemoved);
  WorkerListRevision = std::max(WorkerListRevision, Read.Revision);
  if (!mayBeTruncated(Read))
    noteListAnswer(WorkerListAge, SentAt, Read.Changes.empty() ? Wait : Milliseconds(0));
  startHeartbeats();
  schedulePlacement();
}

Awaitable<void> SchedulerRunner::watchWorkers(SelfPtr Self) {
  int Empty = 0; // consecutive empty answers
  while (!Self->Stopped) {
    const TimePoint SentAt = Self->Deps.Time.Now();
    const Milliseconds Wait = Self->Deps.Settings.Timing.WatchTime;
    Result<KeyChanges> Read =
        co_await Self->Deps.Store.Watch(Self->Deps.WorkerPrefix, Self->WorkerListRevision, Wait);
    if (Self->Stopped)
      co_return;
    if (ok(Read)) {
      Empty = value(Read).Changes.empty() ? Empty + 1 : 0;
      Self->applyWorkerChanges(value(Read), SentAt, Wait);
      // No pause after a truncated answer: with thousands of check-ins a second, one answer per
      // pause would fall behind and draining workers would be detected ever later.
      if (!value(Read).Changes.empty() && !mayBeTruncated(value(Read)))
        co_await sleepFor(WorkerWatchPause);
    } else if (error(Read).Kind != ErrorKind::NotFound) {
      // Watch again from the same revision; reading the whole list would add to the load under
      // which the answer was lost.
      co_await sleepFor(RetryPause);
      continue;
    }
    const bool IsBehind = ok(Read) && mayBeTruncated(value(Read)) &&
                          isWatchBehind(Self->WorkerListAge, Self->Deps.Time.Now());
    if (ok(Read) && Empty < MaxEmptyWatches && !IsBehind)
      continue;
    Empty = 0;
    if (!ok(co_await Self->rereadWorkers()))
      co_await sleepFor(RetryPause);
  }
}

Awaitable<void> SchedulerRunner::refreshWorkerList(SelfPtr Self) {
  const TimePoint SentAt = Self->Deps.Time.Now();
  Result<KeyChanges> Read = co_await Self->Deps.Store.Watch(
      Self->Deps.WorkerPrefix, Self->WorkerListRevision, Milliseconds(0));
  if (!Self->Stopped && ok(Read)) // watchWorkers() handles compacted history
    Self->applyWorkerChanges(value(Read), SentAt, Milliseconds(0));
}

void SchedulerRunner::refreshWorkerListIfOld() {
  const TimePoint Now = Deps.Time.Now();
  Deps.Metrics.set(metrics::WorkerListAge,
                   std::chrono::duration<double>(Now - WorkerListAge.CompleteUntil).count());
  if (needsListRefresh(WorkerListAge, Deps.Settings.Timing.WatchTime, Now))
    spawnLater(Deps.Where, refreshWorkerList(shared_from_this()));
}

// Also logs when the state changes.
bool SchedulerRunner::isWorkerListStale() {
  if (!Cell.Loaded)
    return false;
  const TimePoint Now = Deps.Time.Now();
  const bool Stale = isListStale(WorkerListAge, Deps.IsStoreResponsive(), Now);
  if (Stale != WorkerListAge.IsStale) {
    const auto Age = std::chrono::duration_cast<Milliseconds>(Now - WorkerListAge.CompleteUntil);
    logEvent(Stale ? events::FleetBehind : events::FleetKnown,
             {{"age_ms", std::to_string(Age.count())},
              {"revision", std::to_string(WorkerListRevision)}});
  }
  WorkerListAge.IsStale = Stale;
  return Stale;
}

} // namespace valveshelf
