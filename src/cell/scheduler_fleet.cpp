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
constexpr Milliseconds WorkerGather{250};
// A watch may be answered and silent while entries change, as long as a store gives up its history.
// After so many answers with nothing in them the list is read: a capacity that has shrunk is to be
// known within a worker's time out and one check-in.
constexpr int MostEmptyWatches = 2;
} // namespace

void SchedulerRunner::takeWorker(const KeyValue &Item, bool Gone) {
  const TimePoint Now = Tools.Time.Now();
  const std::string Id = lastPart(Item.Key, Tools.WorkerPrefix);
  if (Gone) {
    workerUnlisted(Cell, Id, Now);
    return wakeHold(Id); // what it holds is asked at once: it may be gone
  }
  Result<WorkerInfo> Read = Tools.DecodeWorker(Id, Item.Value);
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
  const TimePoint SentAt = Tools.Time.Now();
  Result<KeyRange> Read = co_await Tools.Store.Range(Tools.WorkerPrefix, false);
  if (!ok(Read))
    co_return error(Read);
  if (Stopped || value(Read).Revision < WorkersRevision)
    co_return Done{}; // changes that came meanwhile are newer
  std::set<std::string> Seen;
  for (const KeyValue &Item : value(Read).Items) {
    Seen.insert(lastPart(Item.Key, Tools.WorkerPrefix));
    takeWorker(Item, false);
  }
  for (const auto &[Id, On] : Cell.Workers)
    if (!Seen.count(Id)) {
      workerUnlisted(Cell, Id, Tools.Time.Now());
      wakeHold(Id);
    }
  WorkersRevision = value(Read).Revision;
  noteListAnswer(WorkersAge, SentAt, Milliseconds(0));
  holdAll();
  placeSoon();
  co_return Done{};
}

// Takes in what has changed by an answer to a call that was made at \p SentAt and could be held for
// \p Wait. Answers may overtake each other; what is known already is passed over.
void SchedulerRunner::takeWorkerChanges(const KeyChanges &Read, TimePoint SentAt,
                                        Milliseconds Wait) {
  for (const KeyChange &Change : Read.Changes)
    if (Change.Item.Revision > WorkersRevision)
      takeWorker(Change.Item, Change.Gone);
  WorkersRevision = std::max(WorkersRevision, Read.Revision);
  if (!mayHaveMore(Read))
    noteListAnswer(WorkersAge, SentAt, Read.Changes.empty() ? Wait : Milliseconds(0));
  holdAll();
  placeSoon();
}

Awaitable<void> SchedulerRunner::watchWorkers(Self Me) {
  int Empty = 0; // answers in a row in which nothing was
  while (!Me->Stopped) {
    const TimePoint SentAt = Me->Tools.Time.Now();
    const Milliseconds Wait = Me->Tools.Settings.Timing.WatchTime;
    Result<KeyChanges> Read =
        co_await Me->Tools.Store.Watch(Me->Tools.WorkerPrefix, Me->WorkersRevision, Wait);
    if (Me->Stopped)
      co_return;
    if (ok(Read)) {
      Empty = value(Read).Changes.empty() ? Empty + 1 : 0;
      Me->takeWorkerChanges(value(Read), SentAt, Wait);
      // Not while there is more. Each worker's check-in is a change: those of some thousands a
      // second outran one answer each pause, and leaving workers were heard of more and more late.
      if (!value(Read).Changes.empty() && !mayHaveMore(value(Read)))
        co_await sleepFor(WorkerGather);
    } else if (error(Read).Kind != ErrorKind::NotFound) {
      // The next watch goes on from where this one would have. To read a long list again just then
      // would add to the load under which the answer was lost.
      co_await sleepFor(RetryPause);
      continue;
    }
    if (ok(Read) && Empty < MostEmptyWatches)
      continue;
    Empty = 0;
    if (!ok(co_await Me->rereadWorkers()))
      co_await sleepFor(RetryPause);
  }
}

Awaitable<void> SchedulerRunner::lookAtList(Self Me) {
  const TimePoint SentAt = Me->Tools.Time.Now();
  Result<KeyChanges> Read =
      co_await Me->Tools.Store.Watch(Me->Tools.WorkerPrefix, Me->WorkersRevision, Milliseconds(0));
  if (!Me->Stopped && ok(Read)) // a history that is gone is the watch's to find out
    Me->takeWorkerChanges(value(Read), SentAt, Milliseconds(0));
}

void SchedulerRunner::lookAtListIfOld() {
  const TimePoint Now = Tools.Time.Now();
  Tools.Metrics.set(metrics::WorkerListAge,
                    std::chrono::duration<double>(Now - WorkersAge.AsOf).count());
  if (wantsListLook(WorkersAge, Tools.Settings.Timing.WatchTime, Now))
    spawnLater(Tools.Where, lookAtList(shared_from_this()));
}

// Notes the change in the log as well.
bool SchedulerRunner::isFleetBehind() {
  if (!Cell.Loaded)
    return false;
  const TimePoint Now = Tools.Time.Now();
  const bool Behind = isListBehind(WorkersAge, Tools.StoreAnswers(), Now);
  if (Behind != WorkersAge.IsBehind) {
    const auto Age = std::chrono::duration_cast<Milliseconds>(Now - WorkersAge.AsOf);
    logEvent(
        Behind ? events::FleetBehind : events::FleetKnown,
        {{"age_ms", std::to_string(Age.count())}, {"revision", std::to_string(WorkersRevision)}});
  }
  WorkersAge.IsBehind = Behind;
  return Behind;
}

} // namespace valveshelf
