// SPDX-License-Identifier: Apache-2.0
// Saves the scheduler's state in the store: ended tasks and jobs, and the workers in use.
#include "cell/scheduler_runner.h"

#include "valveshelf/events.h"

#include <boost/asio.hpp>

namespace valveshelf {
namespace asio = boost::asio;
using namespace sched;

namespace {
constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);
// Transactions in flight; allows a slow store to keep up with a busy cell.
constexpr int MaxSavesInFlight = 12;
// The most rows that one job takes. A transaction with less room is full: looking for a smaller job
// would encode every job that waits.
constexpr size_t MaxRowsPerJob = 4;
// Per transaction; bounds the time of a call over a slow link.
constexpr size_t MaxSaveBytes = 64 * 1024;
// Interval of the check for worker records to write and obsolete keys to remove.
constexpr Milliseconds RecordsInterval{100};
// Interval between snapshots of learned run times; a takeover loses what was learned since.
constexpr Milliseconds RunTimesInterval{10000};
} // namespace

// A transaction that applies only while this process is the scheduler.
Transaction SchedulerRunner::fencedTransaction() const {
  Transaction What;
  What.Conditions.push_back({std::string(LeaderKey), OwnClaim.LeaderRevision});
  return What;
}

// Adds the job's unsaved state. False if the job no longer exists.
bool SchedulerRunner::addToTransaction(JobId Id, Transaction &What, std::vector<SaveEntry> &Batch) {
  const auto Found = Cell.Jobs.find(Id);
  if (Found == Cell.Jobs.end())
    return false;
  Job &Of = Found->second;
  const SaveEntry Entry{Id, Of.PendingSave, Of.Phase != JobPhase::Live};
  Transaction Rows;
  // Both kinds are conditional on the job's key, so that progress which the store applies late
  // can't follow the job's end.
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
  What.append(std::move(Rows));
  Batch.push_back(Entry);
  return true;
}

// The next jobs to save; ended jobs first, since callers wait for their result.
std::vector<SchedulerRunner::SaveEntry> SchedulerRunner::nextBatch(Transaction &What) {
  const LoopSection Work(Loop, LoopWork::Saves);
  std::vector<SaveEntry> Batch;
  size_t Bytes = 0;
  for (const bool Ended : {true, false})
    for (const auto &[Number, Id] : Cell.PendingSaves) {
      if (What.rows() + MaxRowsPerJob > MaxTransactionRows || Bytes > MaxSaveBytes)
        return Batch;
      const auto Of = Cell.Jobs.find(Id);
      const bool Matches =
          Of == Cell.Jobs.end() ? !Ended : Ended == (Of->second.Phase != JobPhase::Live);
      // An end does not wait for a progress save in flight, which a slow store would delay.
      if (!Matches || JobsBeingSaved.count({Id, Ended}) || !addToTransaction(Id, What, Batch))
        continue;
      JobsBeingSaved.insert({Id, Ended});
      Bytes += What.Puts.back().Value.size();
    }
  return Batch;
}

// Counts an ended job against its objective; cancelled jobs are excluded.
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
  const LoopSection Work(Loop, LoopWork::Saves);
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

// The conditions failed, for example because an earlier write was applied late: adopts the current
// revisions.
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
    // A key that is not listed does not exist. Saving an end does not depend on the progress key.
    if (!Entry.Ends)
      Found->second.ProgressRevision = Revisions[progressKey(Entry.Id)];
    Found->second.Revision = Revisions[jobKey(Entry.Id)];
  }
}

Awaitable<void> SchedulerRunner::save(SelfPtr Self, Transaction What,
                                      std::vector<SaveEntry> Written) {
  const TimePoint Begun = Self->Deps.Time.Now();
  Result<TransactionResult> Answer = co_await Self->Deps.Store.Commit(std::move(What));
  --Self->SavesInFlight;
  Self->Deps.Metrics.observe(metrics::StageSeconds, Self->Deps.Time.Now() - Begun, "save");
  if (Self->Stopped)
    co_return;
  if (ok(Answer) && value(Answer).Applied) {
    Self->saveCommitted(Written, value(Answer).Revision);
  } else if (ok(Answer)) {
    if (Self->hasOtherLeader(value(Answer).CurrentItems))
      co_return Self->endTerm("the leader key in the store belongs to another scheduler");
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

// For a write whose conditions failed: true if the leader key was removed or rewritten.
bool SchedulerRunner::hasOtherLeader(const std::vector<KeyValue> &CurrentItems) const {
  return std::none_of(CurrentItems.begin(), CurrentItems.end(), [&](const KeyValue &Item) {
    return Item.Key == LeaderKey && Item.Revision == OwnClaim.LeaderRevision;
  });
}

// The records of these workers are durable; runs may now be started on them.
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

// Adopts the stored records after a conflict: an earlier write whose answer was lost was applied.
void SchedulerRunner::reconcileWorkerRecords(const std::vector<std::string> &Asked,
                                             const std::vector<KeyValue> &CurrentItems) {
  workerRecordsRemoved(Asked);
  for (const KeyValue &Item : CurrentItems)
    for (const std::string &Id : Asked)
      if (Item.Key == workerKey(Id) && Item.Revision != 0)
        WorkerRecords[Id] = Item.Revision;
}

// Writes a record of each worker before its first use, and removes obsolete records, cancellation
// marks and ended jobs.
Awaitable<void> SchedulerRunner::recordsLoop(SelfPtr Self) {
  while (!Self->Stopped) {
    Transaction What = Self->fencedTransaction();
    std::vector<std::string> Noted;
    for (const auto &[Id, On] : Self->Cell.Workers)
      if (On.IsSelected && !On.IsRecorded && What.rows() < MaxTransactionRows) {
        What.Puts.push_back({workerKey(Id), encodeWorkerRecord(On.Info), 0, 0});
        Noted.push_back(Id);
      }
    // Conditional on the record's revision: a removal that the store applies late must not remove
    // the record of a worker that is in use again.
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
    // The time is counted from when this term read the record: the store may have been away.
    auto &Revoked = Self->RevocationRecords;
    const TimePoint ReadBefore = Self->Deps.Time.Now() - Self->Cell.Limits.EndedJobRetention;
    size_t RevokedRows = 0;
    for (; RevokedRows < Revoked.size() && Revoked[RevokedRows].first < ReadBefore &&
           What.rows() < MaxTransactionRows;
         ++RevokedRows)
      What.Removes.push_back(Revoked[RevokedRows].second);
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
      co_return Self->endTerm("the leader key in the store belongs to another scheduler");
    if (!value(Answer).Applied) {
      Self->reconcileWorkerRecords(Left, value(Answer).CurrentItems);
      co_await sleepFor(RetryPause);
      continue;
    }
    Self->workerRecordsWritten(Noted, value(Answer).Revision);
    Self->workerRecordsRemoved(Left);
    Revoked.erase(Revoked.begin(), Revoked.begin() + static_cast<std::ptrdiff_t>(RevokedRows));
    for (const std::string &Key : Removed)
      std::erase_if(Self->StaleCancels, [&](JobId Id) { return cancelKey(Id) == Key; });
    Self->schedulePlacement();
  }
}

// Writes a snapshot of learned run times if they have changed. A failed write is left to the next
// interval: losing the snapshot does no harm.
Awaitable<void> SchedulerRunner::saveRunTimes(SelfPtr Self) {
  const uint64_t Changes = Self->Cell.RunTimes.Changes;
  Transaction What = Self->fencedTransaction();
  What.Puts.push_back(
      {std::string(RunTimesKey), encodeRunTimes(Self->Cell.RunTimes, Self->Deps.Time.Now()), 0, 0});
  Result<TransactionResult> Answer = co_await Self->Deps.Store.Commit(std::move(What));
  if (Self->Stopped || !ok(Answer))
    co_return;
  if (value(Answer).Applied)
    Self->SavedRunTimes = Changes;
  else if (Self->hasOtherLeader(value(Answer).CurrentItems))
    Self->endTerm("the leader key in the store belongs to another scheduler");
}

void SchedulerRunner::saveRunTimesIfDue() {
  const TimePoint Now = Deps.Time.Now();
  if (Now < NextRunTimesSave)
    return;
  const bool IsFirst = NextRunTimesSave == TimePoint{};
  NextRunTimesSave = Now + RunTimesInterval;
  if (!IsFirst && Cell.RunTimes.Changes != SavedRunTimes)
    spawnLater(Deps.Where, saveRunTimes(shared_from_this()));
}

} // namespace valveshelf
