// SPDX-License-Identifier: Apache-2.0
// What a scheduler keeps in the store: ends of tasks and jobs, and the workers it uses.
#include "cell/scheduler_runner.h"

#include "valveshelf/events.h"

#include <boost/asio.hpp>

namespace valveshelf {
namespace asio = boost::asio;
using namespace sched;

namespace {
constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);
// Transactions in flight at a time; with fewer, a slow store would hold ends up in line.
constexpr int MaxSaving = 4;
// Most rows that one job adds.
constexpr size_t RowsPerJob = 5;
// After a failed call, before the next one.
constexpr Milliseconds RetryPause{150};
// The list of workers in use, and what can be forgotten, is looked through this often.
constexpr Milliseconds RosterEvery{100};
} // namespace

// Every write holds only as long as this process is the scheduler.
Transaction SchedulerRunner::guarded() const {
  Transaction What;
  What.Conditions.push_back({std::string(LeaderKey), Mine.LeaderRevision});
  return What;
}

bool SchedulerRunner::addToTransaction(JobId Id, Transaction &What, std::vector<SaveEntry> &Batch) {
  const auto Found = Cell.Jobs.find(Id);
  if (Found == Cell.Jobs.end())
    return false;
  const Job &Of = Found->second;
  SaveEntry Entry{Id, Of.NeedsSave, Of.Phase != JobPhase::Live, false};
  if (Of.ProgressRevision != 0 || !Entry.Ends)
    What.Conditions.push_back({progressKey(Id), Of.ProgressRevision});
  if (Entry.Ends) {
    What.Conditions.push_back({jobKey(Id), Of.Revision});
    What.Puts.push_back({jobKey(Id), encodeEndedJob(*Of.Spec, Of.Phase, Tools.Time.Wall()), 0, 0});
    if (Of.ProgressRevision != 0)
      What.Removes.push_back(progressKey(Id));
    if (Of.CancelWanted)
      What.Removes.push_back(cancelKey(Id));
  } else {
    What.Puts.push_back({progressKey(Id), encodeProgress(Of), 0, 0});
  }
  Batch.push_back(Entry);
  return true;
}

void SchedulerRunner::saved(const std::vector<SaveEntry> &Batch, uint64_t Revision) {
  for (const SaveEntry &Entry : Batch) {
    SavingNow.erase(Entry.Id);
    const auto Found = Cell.Jobs.find(Entry.Id);
    if (Found == Cell.Jobs.end())
      continue;
    if (Entry.Ends)
      Tools.Metrics.count(metrics::Ends, std::to_string(static_cast<int>(Found->second.Phase)));
    if (Entry.Ends)
      logEvent(events::JobEnded,
               {{"job", jobIdText(Entry.Id)},
                {"phase", std::to_string(static_cast<int>(Found->second.Phase))}});
    const uint64_t JobRevision = Entry.Ends ? Revision : Found->second.Revision;
    for (const std::string &Worker : jobSaved(Cell, Entry.Id, Entry.Number, JobRevision,
                                              Entry.Ends ? 0 : Revision, Tools.Time.Wall()))
      wakeHold(Worker);
  }
}

// An earlier write of ours may have come through late: take the revisions as they stand.
void SchedulerRunner::notSaved(const std::vector<SaveEntry> &Batch,
                               const std::vector<KeyValue> &Standing) {
  std::map<std::string, uint64_t> Revisions;
  for (const KeyValue &Item : Standing)
    Revisions[Item.Key] = Item.Revision;
  for (const SaveEntry &Entry : Batch) {
    SavingNow.erase(Entry.Id);
    const auto Found = Cell.Jobs.find(Entry.Id);
    if (Found == Cell.Jobs.end())
      continue;
    // A key that is not listed does not exist (any more).
    Found->second.ProgressRevision = Revisions[progressKey(Entry.Id)];
    if (Entry.Ends)
      Found->second.Revision = Revisions[jobKey(Entry.Id)];
  }
}

Awaitable<void> SchedulerRunner::save(Self Me, std::vector<SaveEntry> Batch) {
  Transaction What = Me->guarded();
  std::vector<SaveEntry> Written;
  for (const SaveEntry &Entry : Batch)
    if (!Me->addToTransaction(Entry.Id, What, Written))
      Me->SavingNow.erase(Entry.Id);
  Result<TransactionResult> Answer = co_await Me->Tools.Store.Commit(std::move(What));
  --Me->SavesInFlight;
  if (Me->Stopped)
    co_return;
  if (ok(Answer) && value(Answer).Applied) {
    Me->saved(Written, value(Answer).Revision);
  } else if (ok(Answer)) {
    for (const KeyValue &Item : value(Answer).Standing)
      if (Item.Key == LeaderKey && Item.Revision != Me->Mine.LeaderRevision)
        co_return Me->end("the store has another scheduler");
    Me->notSaved(Written, value(Answer).Standing);
  } else {
    co_await sleepFor(RetryPause);
    for (const SaveEntry &Entry : Written)
      Me->SavingNow.erase(Entry.Id);
  }
  Me->SaveWake.cancel();
}

Awaitable<void> SchedulerRunner::saveLoop(Self Me) {
  while (!Me->Stopped) {
    std::vector<SaveEntry> Batch;
    for (const auto &[Number, Id] : Me->Cell.Saves) {
      if ((Batch.size() + 1) * RowsPerJob >= MaxTransactionRows)
        break;
      if (Me->SavesInFlight < MaxSaving && Me->SavingNow.insert(Id).second)
        Batch.push_back({Id, Number, false, false});
    }
    if (Batch.empty()) {
      Me->SaveWake.expires_at(TimePoint::max());
      co_await Me->SaveWake.async_wait(AsTuple);
      if (!Me->Stopped)
        co_await sleepFor(Me->Tools.Settings.Timing.Gather);
      continue;
    }
    ++Me->SavesInFlight;
    spawnLater(Me->Tools.Where, save(Me, std::move(Batch)));
  }
}

Awaitable<void> SchedulerRunner::flush(Milliseconds Time) {
  const TimePoint Limit = Tools.Time.Now() + Time;
  while (!Stopped && (!Cell.Saves.empty() || SavesInFlight > 0) && Tools.Time.Now() < Limit)
    co_await sleepFor(Tools.Settings.Timing.Gather / 2);
}

// Notes workers before their first use, and removes what is no longer needed.
Awaitable<void> SchedulerRunner::rosterLoop(Self Me) {
  while (!Me->Stopped) {
    Transaction What = Me->guarded();
    std::vector<std::string> Noted;
    for (const auto &[Id, On] : Me->Cell.Workers)
      if (!On.Saved && What.rows() < MaxTransactionRows) {
        What.Puts.push_back({workerKey(Id), encodeWorkerRecord(On.Info), 0, 0});
        Noted.push_back(Id);
      }
    for (const std::string &Id : Me->OldRecords)
      if (What.rows() < MaxTransactionRows)
        What.Removes.push_back(workerKey(Id));
    for (const JobId Id : Me->OldCancels)
      if (What.rows() < MaxTransactionRows)
        What.Removes.push_back(cancelKey(Id));
    auto &Old = Me->Cell.Forgettable;
    const WallTime Before = Me->Tools.Time.Wall() - Me->Cell.Limits.StateKept;
    while (!Old.empty() && Old.front().first < Before && What.rows() < MaxTransactionRows) {
      Me->Cell.Ended.erase(Old.front().second);
      What.Removes.push_back(jobKey(Old.front().second));
      Old.pop_front();
    }
    if (What.rows() <= 1) {
      co_await sleepFor(RosterEvery);
      continue;
    }
    const std::vector<std::string> Removed = What.Removes;
    Result<TransactionResult> Answer = co_await Me->Tools.Store.Commit(std::move(What));
    if (Me->Stopped)
      co_return;
    if (!ok(Answer)) {
      co_await sleepFor(RetryPause);
      continue;
    }
    if (!value(Answer).Applied)
      co_return Me->end("the store has another scheduler");
    for (const std::string &Id : Noted)
      if (const auto Found = Me->Cell.Workers.find(Id); Found != Me->Cell.Workers.end())
        Found->second.Saved = true;
    for (const std::string &Key : Removed) {
      std::erase_if(Me->OldRecords, [&](const std::string &Id) { return workerKey(Id) == Key; });
      std::erase_if(Me->OldCancels, [&](JobId Id) { return cancelKey(Id) == Key; });
    }
    Me->placeSoon();
  }
}

} // namespace valveshelf
