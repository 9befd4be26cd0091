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
constexpr int MaxSavesInFlight = 12;
// Bytes of one transaction; keeps a call short on a small link.
constexpr size_t MaxSaveBytes = 64 * 1024;
// The list of workers in use, and what can be forgotten, is looked through this often.
constexpr Milliseconds RecordsInterval{100};
} // namespace

// Every write holds only as long as this process is the scheduler.
Transaction SchedulerRunner::fencedTransaction() const {
  Transaction What;
  What.Conditions.push_back({std::string(LeaderKey), OwnClaim.LeaderRevision});
  return What;
}

// Adds what the job needs saved; false if there is nothing (any more) or no room for it.
bool SchedulerRunner::addToTransaction(JobId Id, Transaction &What, std::vector<SaveEntry> &Batch) {
  const auto Found = Cell.Jobs.find(Id);
  if (Found == Cell.Jobs.end())
    return false;
  Job &Of = Found->second;
  const SaveEntry Entry{Id, Of.PendingSave, Of.Phase != JobPhase::Live};
  Transaction Rows;
  // The job's own key guards both kinds: progress that the store writes late finds an ended job.
  Rows.Conditions.push_back({jobKey(Id), Of.Revision});
  if (Entry.Ends) {
    Rows.Puts.push_back({jobKey(Id), encodeEndedJob(*Of.Spec, Of.Phase, Deps.Time.Wall()), 0, 0});
    if (Of.ProgressRevision != 0 || Of.ProgressSent)
      Rows.Removes.push_back(progressKey(Id));
    if (Of.CancelRequested)
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
    for (const auto &[Number, Id] : Cell.PendingSaves) {
      if (What.rows() >= MaxTransactionRows || Bytes > MaxSaveBytes)
        return Batch;
      const auto Of = Cell.Jobs.find(Id);
      const bool Matches =
          Of == Cell.Jobs.end() ? !Ended : Ended == (Of->second.Phase != JobPhase::Live);
      // An end does not wait for progress that is being written: in a slow store it would be shown
      // an answer later than it could be.
      if (!Matches || JobsBeingSaved.count({Id, Ended}) || !addToTransaction(Id, What, Batch))
        continue;
      JobsBeingSaved.insert({Id, Ended});
      Bytes += What.Puts.back().Value.size();
    }
  return Batch;
}

// Counts a job that has ended against its objective. What its caller cancelled counts for nothing.
void SchedulerRunner::countEnd(const Job &Of) {
  Deps.Metrics.count(metrics::Ends, std::to_string(static_cast<int>(Of.Phase)));
  logEvent(events::JobEnded, {{"job", jobIdText(Of.Spec->Id)},
                              {"phase", std::to_string(static_cast<int>(Of.Phase))}});
  if (Of.Phase == JobPhase::Cancelled)
    return;
  const bool InTime = Deps.Time.Now() <= Of.Objective;
  const BurnOutcome What = Of.Phase == JobPhase::Failed ? BurnOutcome::Failed
                           : InTime                     ? BurnOutcome::Met
                                                        : BurnOutcome::Late;
  noteEnd(Deps.Burn, Of.Spec->Queue, What, Deps.Time.Wall());
}

void SchedulerRunner::saveCommitted(const std::vector<SaveEntry> &Batch, uint64_t Revision) {
  for (const SaveEntry &Entry : Batch) {
    JobsBeingSaved.erase({Entry.Id, Entry.Ends});
    const auto Found = Cell.Jobs.find(Entry.Id);
    if (Found == Cell.Jobs.end())
      continue;
    if (Entry.Ends)
      countEnd(Found->second);
    const uint64_t JobRevision = Entry.Ends ? Revision : Found->second.Revision;
    for (const std::string &Worker : jobSaved(Cell, Entry.Id, Entry.Number, JobRevision,
                                              Entry.Ends ? 0 : Revision, Deps.Time.Wall()))
      wakeHeartbeatLoop(Worker);
  }
}

// An earlier write of ours may have come through late: take the revisions as they stand.
void SchedulerRunner::saveRejected(const std::vector<SaveEntry> &Batch,
                                   const std::vector<KeyValue> &CurrentItems) {
  std::map<std::string, uint64_t> Revisions;
  for (const KeyValue &Item : CurrentItems)
    Revisions[Item.Key] = Item.Revision;
  for (const SaveEntry &Entry : Batch) {
    JobsBeingSaved.erase({Entry.Id, Entry.Ends});
    const auto Found = Cell.Jobs.find(Entry.Id);
    if (Found == Cell.Jobs.end())
      continue;
    // A key that is not listed does not exist (any more). An end asks nothing of the progress.
    if (!Entry.Ends)
      Found->second.ProgressRevision = Revisions[progressKey(Entry.Id)];
    Found->second.Revision = Revisions[jobKey(Entry.Id)];
  }
}

Awaitable<void> SchedulerRunner::save(SelfPtr Self, Transaction What,
                                      std::vector<SaveEntry> Written) {
  Result<TransactionResult> Answer = co_await Self->Deps.Store.Commit(std::move(What));
  --Self->SavesInFlight;
  if (Self->Stopped)
    co_return;
  if (ok(Answer) && value(Answer).Applied) {
    Self->saveCommitted(Written, value(Answer).Revision);
  } else if (ok(Answer)) {
    if (Self->hasOtherLeader(value(Answer).CurrentItems))
      co_return Self->endTerm("the store has another scheduler");
    Self->saveRejected(Written, value(Answer).CurrentItems);
  } else {
    co_await sleepFor(RetryPause);
    for (const SaveEntry &Entry : Written)
      Self->JobsBeingSaved.erase({Entry.Id, Entry.Ends});
  }
  Self->SaveTimer.cancel();
}

Awaitable<void> SchedulerRunner::saveLoop(SelfPtr Self) {
  while (!Self->Stopped) {
    Transaction What = Self->fencedTransaction();
    std::vector<SaveEntry> Batch;
    if (Self->SavesInFlight < MaxSavesInFlight)
      Batch = Self->nextBatch(What);
    if (Batch.empty()) {
      Self->SaveTimer.expires_at(TimePoint::max());
      co_await Self->SaveTimer.async_wait(AsTuple);
      if (!Self->Stopped)
        co_await sleepFor(Self->Deps.Settings.Timing.SaveDelay);
      continue;
    }
    ++Self->SavesInFlight;
    spawnLater(Self->Deps.Where, save(Self, std::move(What), std::move(Batch)));
  }
}

Awaitable<void> SchedulerRunner::flush(Milliseconds Time) {
  const TimePoint Limit = Deps.Time.Now() + Time;
  while (!Stopped && (!Cell.PendingSaves.empty() || SavesInFlight > 0) && Deps.Time.Now() < Limit)
    co_await sleepFor(Deps.Settings.Timing.SaveDelay / 2);
}

// After a write whose conditions do not hold: the leader's key is another's, or gone.
bool SchedulerRunner::hasOtherLeader(const std::vector<KeyValue> &CurrentItems) const {
  return std::none_of(CurrentItems.begin(), CurrentItems.end(), [&](const KeyValue &Item) {
    return Item.Key == LeaderKey && Item.Revision == OwnClaim.LeaderRevision;
  });
}

// The workers of the list may be used from now on.
void SchedulerRunner::workerRecordsWritten(const std::vector<std::string> &Noted,
                                           uint64_t Revision) {
  for (const std::string &Id : Noted) {
    WorkerRecords[Id] = Revision;
    if (const auto Found = Cell.Workers.find(Id); Found != Cell.Workers.end())
      Found->second.IsRecorded = true;
  }
}

void SchedulerRunner::workerRecordsRemoved(const std::vector<std::string> &Removed) {
  for (const std::string &Id : Removed)
    WorkerRecords.erase(Id);
}

// An earlier removal or note was carried out though its answer was lost.
void SchedulerRunner::reconcileWorkerRecords(const std::vector<std::string> &Asked,
                                             const std::vector<KeyValue> &CurrentItems) {
  workerRecordsRemoved(Asked);
  for (const KeyValue &Item : CurrentItems)
    for (const std::string &Id : Asked)
      if (Item.Key == workerKey(Id) && Item.Revision != 0)
        WorkerRecords[Id] = Item.Revision;
}

// Notes workers before their first use, and removes what is no longer needed.
Awaitable<void> SchedulerRunner::recordsLoop(SelfPtr Self) {
  while (!Self->Stopped) {
    Transaction What = Self->fencedTransaction();
    std::vector<std::string> Noted;
    for (const auto &[Id, On] : Self->Cell.Workers)
      if (On.IsSelected && !On.IsRecorded && What.rows() < MaxTransactionRows) {
        What.Puts.push_back({workerKey(Id), encodeWorkerRecord(On.Info), 0, 0});
        Noted.push_back(Id);
      }
    // On the condition that the record is the one that was noted: a removal that the store carries
    // out late must not take the record of a worker that has come back and is in use again.
    std::vector<std::string> Left;
    for (const auto &[Id, Revision] : Self->WorkerRecords)
      if (!Self->Cell.Workers.count(Id) && What.rows() + 2 <= MaxTransactionRows) {
        What.Conditions.push_back({workerKey(Id), Revision});
        What.Removes.push_back(workerKey(Id));
        Left.push_back(Id);
      }
    for (const JobId Id : Self->StaleCancels)
      if (What.rows() < MaxTransactionRows)
        What.Removes.push_back(cancelKey(Id));
    auto &Old = Self->Cell.EndedByAge;
    const WallTime Before = Self->Deps.Time.Wall() - Self->Cell.Limits.EndedJobRetention;
    while (!Old.empty() && Old.front().first < Before && What.rows() < MaxTransactionRows) {
      Self->Cell.EndedJobs.erase(Old.front().second);
      What.Removes.push_back(jobKey(Old.front().second));
      Old.pop_front();
    }
    if (What.rows() <= 1) {
      co_await sleepFor(RecordsInterval);
      continue;
    }
    const std::vector<std::string> Removed = What.Removes;
    Result<TransactionResult> Answer = co_await Self->Deps.Store.Commit(std::move(What));
    if (Self->Stopped)
      co_return;
    if (!ok(Answer)) {
      co_await sleepFor(RetryPause);
      continue;
    }
    if (!value(Answer).Applied && Self->hasOtherLeader(value(Answer).CurrentItems))
      co_return Self->endTerm("the store has another scheduler");
    if (!value(Answer).Applied) {
      Self->reconcileWorkerRecords(Left, value(Answer).CurrentItems);
      co_await sleepFor(RetryPause);
      continue;
    }
    Self->workerRecordsWritten(Noted, value(Answer).Revision);
    Self->workerRecordsRemoved(Left);
    for (const std::string &Key : Removed)
      std::erase_if(Self->StaleCancels, [&](JobId Id) { return cancelKey(Id) == Key; });
    Self->schedulePlacement();
  }
}

} // namespace valveshelf
