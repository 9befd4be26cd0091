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
// Transactions in flight at a time; a slow store still has to take in the ends of a busy cell.
constexpr int MaxSaving = 12;
// Bytes of one transaction; keeps a call short on a small link.
constexpr size_t MaxSaveBytes = 64 * 1024;
// The list of workers in use, and what can be forgotten, is looked through this often.
constexpr Milliseconds RecordsEvery{100};
} // namespace

// Every write holds only as long as this process is the scheduler.
Transaction SchedulerRunner::guarded() const {
  Transaction What;
  What.Conditions.push_back({std::string(LeaderKey), Mine.LeaderRevision});
  return What;
}

// Adds what the job needs saved; false if there is nothing (any more) or no room for it.
bool SchedulerRunner::addToTransaction(JobId Id, Transaction &What, std::vector<SaveEntry> &Batch) {
  const auto Found = Cell.Jobs.find(Id);
  if (Found == Cell.Jobs.end())
    return false;
  Job &Of = Found->second;
  const SaveEntry Entry{Id, Of.NeedsSave, Of.Phase != JobPhase::Live};
  Transaction Rows;
  // The job's own key guards both kinds: progress that the store writes late finds an ended job.
  Rows.Conditions.push_back({jobKey(Id), Of.Revision});
  if (Entry.Ends) {
    Rows.Puts.push_back({jobKey(Id), encodeEndedJob(*Of.Spec, Of.Phase, Tools.Time.Wall()), 0, 0});
    if (Of.ProgressRevision != 0 || Of.ProgressSent)
      Rows.Removes.push_back(progressKey(Id));
    if (Of.CancelWanted)
      Rows.Removes.push_back(cancelKey(Id));
  } else {
    Of.ProgressSent = true;
    Rows.Conditions.push_back({progressKey(Id), Of.ProgressRevision});
    Rows.Puts.push_back({progressKey(Id), encodeProgress(Of), 0, 0});
  }
  if (What.rows() + Rows.rows() > MaxTransactionRows)
    return false;
  What.append(std::move(Rows));
  Batch.push_back(Entry);
  return true;
}

// A batch of jobs to save: those that have ended first, since callers wait for them.
std::vector<SchedulerRunner::SaveEntry> SchedulerRunner::nextBatch(Transaction &What) {
  std::vector<SaveEntry> Batch;
  size_t Bytes = 0;
  for (const bool Ended : {true, false})
    for (const auto &[Number, Id] : Cell.Saves) {
      if (What.rows() >= MaxTransactionRows || Bytes > MaxSaveBytes)
        return Batch;
      const auto Of = Cell.Jobs.find(Id);
      const bool Matches =
          Of == Cell.Jobs.end() ? !Ended : Ended == (Of->second.Phase != JobPhase::Live);
      // An end does not wait for progress that is being written: in a slow store it would be shown
      // an answer later than it could be.
      if (!Matches || SavingNow.count({Id, Ended}) || !addToTransaction(Id, What, Batch))
        continue;
      SavingNow.insert({Id, Ended});
      Bytes += What.Puts.back().Value.size();
    }
  return Batch;
}

// Counts a job that has ended against its objective. What its caller cancelled counts for nothing.
void SchedulerRunner::countEnd(const Job &Of) {
  Tools.Metrics.count(metrics::Ends, std::to_string(static_cast<int>(Of.Phase)));
  logEvent(events::JobEnded, {{"job", jobIdText(Of.Spec->Id)},
                              {"phase", std::to_string(static_cast<int>(Of.Phase))}});
  if (Of.Phase == JobPhase::Cancelled)
    return;
  const bool InTime = Tools.Time.Now() <= Of.Objective;
  const BurnOutcome What = Of.Phase == JobPhase::Failed ? BurnOutcome::Failed
                           : InTime                     ? BurnOutcome::Met
                                                        : BurnOutcome::Late;
  noteEnd(Tools.Burn, Of.Spec->Queue, What, Tools.Time.Wall());
}

void SchedulerRunner::saved(const std::vector<SaveEntry> &Batch, uint64_t Revision) {
  for (const SaveEntry &Entry : Batch) {
    SavingNow.erase({Entry.Id, Entry.Ends});
    const auto Found = Cell.Jobs.find(Entry.Id);
    if (Found == Cell.Jobs.end())
      continue;
    if (Entry.Ends)
      countEnd(Found->second);
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
    SavingNow.erase({Entry.Id, Entry.Ends});
    const auto Found = Cell.Jobs.find(Entry.Id);
    if (Found == Cell.Jobs.end())
      continue;
    // A key that is not listed does not exist (any more). An end asks nothing of the progress.
    if (!Entry.Ends)
      Found->second.ProgressRevision = Revisions[progressKey(Entry.Id)];
    Found->second.Revision = Revisions[jobKey(Entry.Id)];
  }
}

Awaitable<void> SchedulerRunner::save(Self Me, Transaction What, std::vector<SaveEntry> Written) {
  Result<TransactionResult> Answer = co_await Me->Tools.Store.Commit(std::move(What));
  --Me->SavesInFlight;
  if (Me->Stopped)
    co_return;
  if (ok(Answer) && value(Answer).Applied) {
    Me->saved(Written, value(Answer).Revision);
  } else if (ok(Answer)) {
    if (Me->hasOtherLeader(value(Answer).Standing))
      co_return Me->end("the store has another scheduler");
    Me->notSaved(Written, value(Answer).Standing);
  } else {
    co_await sleepFor(RetryPause);
    for (const SaveEntry &Entry : Written)
      Me->SavingNow.erase({Entry.Id, Entry.Ends});
  }
  Me->SaveWake.cancel();
}

Awaitable<void> SchedulerRunner::saveLoop(Self Me) {
  while (!Me->Stopped) {
    Transaction What = Me->guarded();
    std::vector<SaveEntry> Batch;
    if (Me->SavesInFlight < MaxSaving)
      Batch = Me->nextBatch(What);
    if (Batch.empty()) {
      Me->SaveWake.expires_at(TimePoint::max());
      co_await Me->SaveWake.async_wait(AsTuple);
      if (!Me->Stopped)
        co_await sleepFor(Me->Tools.Settings.Timing.SaveDelay);
      continue;
    }
    ++Me->SavesInFlight;
    spawnLater(Me->Tools.Where, save(Me, std::move(What), std::move(Batch)));
  }
}

Awaitable<void> SchedulerRunner::flush(Milliseconds Time) {
  const TimePoint Limit = Tools.Time.Now() + Time;
  while (!Stopped && (!Cell.Saves.empty() || SavesInFlight > 0) && Tools.Time.Now() < Limit)
    co_await sleepFor(Tools.Settings.Timing.SaveDelay / 2);
}

// After a write whose conditions do not hold: the leader's key is another's, or gone.
bool SchedulerRunner::hasOtherLeader(const std::vector<KeyValue> &Standing) const {
  return std::none_of(Standing.begin(), Standing.end(), [&](const KeyValue &Item) {
    return Item.Key == LeaderKey && Item.Revision == Mine.LeaderRevision;
  });
}

// The workers of the list may be used from now on.
void SchedulerRunner::noteRecords(const std::vector<std::string> &Noted, uint64_t Revision) {
  for (const std::string &Id : Noted) {
    Records[Id] = Revision;
    if (const auto Found = Cell.Workers.find(Id); Found != Cell.Workers.end())
      Found->second.Saved = true;
  }
}

void SchedulerRunner::dropRecords(const std::vector<std::string> &Removed) {
  for (const std::string &Id : Removed)
    Records.erase(Id);
}

// An earlier removal or note was carried out though its answer was lost.
void SchedulerRunner::rereadRecords(const std::vector<std::string> &Asked,
                                    const std::vector<KeyValue> &Standing) {
  dropRecords(Asked);
  for (const KeyValue &Item : Standing)
    for (const std::string &Id : Asked)
      if (Item.Key == workerKey(Id) && Item.Revision != 0)
        Records[Id] = Item.Revision;
}

// Notes workers before their first use, and removes what is no longer needed.
Awaitable<void> SchedulerRunner::recordsLoop(Self Me) {
  while (!Me->Stopped) {
    Transaction What = Me->guarded();
    std::vector<std::string> Noted;
    for (const auto &[Id, On] : Me->Cell.Workers)
      if (On.Wanted && !On.Saved && What.rows() < MaxTransactionRows) {
        What.Puts.push_back({workerKey(Id), encodeWorkerRecord(On.Info), 0, 0});
        Noted.push_back(Id);
      }
    // On the condition that the record is the one that was noted: a removal that the store carries
    // out late must not take the record of a worker that has come back and is in use again.
    std::vector<std::string> Left;
    for (const auto &[Id, Revision] : Me->Records)
      if (!Me->Cell.Workers.count(Id) && What.rows() + 2 <= MaxTransactionRows) {
        What.Conditions.push_back({workerKey(Id), Revision});
        What.Removes.push_back(workerKey(Id));
        Left.push_back(Id);
      }
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
      co_await sleepFor(RecordsEvery);
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
    if (!value(Answer).Applied && Me->hasOtherLeader(value(Answer).Standing))
      co_return Me->end("the store has another scheduler");
    if (!value(Answer).Applied) {
      Me->rereadRecords(Left, value(Answer).Standing);
      co_await sleepFor(RetryPause);
      continue;
    }
    Me->noteRecords(Noted, value(Answer).Revision);
    Me->dropRecords(Left);
    for (const std::string &Key : Removed)
      std::erase_if(Me->OldCancels, [&](JobId Id) { return cancelKey(Id) == Key; });
    Me->placeSoon();
  }
}

} // namespace valveshelf
