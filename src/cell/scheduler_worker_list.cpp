// SPDX-License-Identifier: Apache-2.0
// What a scheduler knows of the platform's list of workers, and how old that is.
#include "cell/scheduler_runner.h"

#include "valveshelf/events.h"

namespace valveshelf {
using namespace sched;

namespace {
// Between two watches of the platform's list of workers, which changes with each of their
// check-ins; otherwise each of them would cost a call. A worker that begins to leave is known so
// much later; it runs on for seconds.
constexpr Milliseconds WorkerWatchPause{250};
// A watch may be answered and silent while entries change, as long as a store gives up its history.
// After so many answers with nothing in them the list is read: a capacity that has shrunk is to be
// known within a worker's time out and one check-in.
constexpr int MaxEmptyWatches = 2;
} // namespace

void SchedulerRunner::applyWorkerItem(const KeyValue &Item, bool IsRemoved) {
  const TimePoint Now = Deps.Time.Now();
  const std::string Id = keySuffix(Item.Key, Deps.WorkerPrefix);
  if (IsRemoved) {
    workerUnlisted(Cell, Id, Now);
    return wakeHeartbeatLoop(Id); // what it holds is asked at once: it may be gone
  }
  Result<WorkerInfo> Read = Deps.DecodeWorker(Id, Item.Value);
  if (!ok(Read)) {
    // Somebody else may have written it, also over a worker's own: what it says is no worker's
    // word.
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
  workerListed(Cell, value(Read), Now);
}

Awaitable<Result<Done>> SchedulerRunner::rereadWorkers() {
  const TimePoint SentAt = Deps.Time.Now();
  Result<KeyRange> Read = co_await Deps.Store.Range(Deps.WorkerPrefix, false);
  if (!ok(Read))
    co_return error(Read);
  if (Stopped || value(Read).Revision < WorkerListRevision)
    co_return Done{}; // changes that came meanwhile are newer
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

// Takes in what has changed by an answer to a call that was made at \p SentAt and could be held for
// \p Wait. Answers may overtake each other; what is known already is passed over.
void SchedulerRunner::applyWorkerChanges(const KeyChanges &Read, TimePoint SentAt,
                                         Milliseconds Wait) {
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
  int Empty = 0; // answers in a row in which nothing was
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
      // Not while there is more. Each worker's check-in is a change: those of some thousands a
      // second outran one answer each pause, and leaving workers were heard of more and more late.
      if (!value(Read).Changes.empty() && !mayBeTruncated(value(Read)))
        co_await sleepFor(WorkerWatchPause);
    } else if (error(Read).Kind != ErrorKind::NotFound) {
      // The next watch goes on from where this one would have. To read a long list again just then
      // would add to the load under which the answer was lost.
      co_await sleepFor(RetryPause);
      continue;
    }
    if (ok(Read) && Empty < MaxEmptyWatches)
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
  if (!Self->Stopped && ok(Read)) // a history that is gone is the watch's to find out
    Self->applyWorkerChanges(value(Read), SentAt, Milliseconds(0));
}

void SchedulerRunner::refreshWorkerListIfOld() {
  const TimePoint Now = Deps.Time.Now();
  Deps.Metrics.set(metrics::WorkerListAge,
                   std::chrono::duration<double>(Now - WorkerListAge.CompleteUntil).count());
  if (needsListRefresh(WorkerListAge, Deps.Settings.Timing.WatchTime, Now))
    spawnLater(Deps.Where, refreshWorkerList(shared_from_this()));
}

// Notes the change in the log as well.
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
