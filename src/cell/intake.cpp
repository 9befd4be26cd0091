// SPDX-License-Identifier: Apache-2.0
// Group commit of submissions; writes the marks of cancellations and refusals.
#include "cell/intake.h"

#include <boost/asio.hpp>

#include <algorithm>
#include <map>

namespace valveshelf {
using namespace sched;

namespace {
// Transactions in flight; allows for a slow store.
constexpr int MaxWritesInFlight = 4;
// Per transaction; bounds the time of a call over a slow link.
constexpr size_t MaxBatchBytes = 64 * 1024;
// Delay before a write with an unknown outcome is retried.
constexpr Milliseconds RetryPause{40};
// A write without an answer has been carried out or dropped by then.
constexpr Milliseconds SubmissionMemory{10000};
// Bounds what refusals cost the store.
constexpr int MaxMarksInFlight = 16;
// Marks outlive every write that may still be carried out. One lease serves the marks of the first
// half of its time.
constexpr Milliseconds MarkLifetime{60000};
constexpr Milliseconds MarkLeaseUse = MarkLifetime / 2;
static_assert(MarkLifetime - MarkLeaseUse > 2 * SubmissionMemory);
// A write that ended longer ago does not count as recent.
constexpr Milliseconds WriteTimeFreshness{1000};
const Error WrongOrganisation{ErrorKind::Forbidden,
                              "a job with this id belongs to another organisation"};
const Error RefusedElsewhere{ErrorKind::Overloaded,
                             "the service is overloaded: another submission of the same id was "
                             "refused meanwhile; the job was not accepted"};
const Error OutOfTime{ErrorKind::OutcomeUnknown,
                      "the store did not confirm the job before the submission deadline"};
} // namespace

Intake::Intake(Executor Where, KeyValueStore Store, Clock Time, const CellSettings &Settings,
               std::function<bool()> IsStoreSilent, std::function<void(IntakeUpdate)> Announce,
               Revoke RevokeJob)
    : Where(Where), Store(std::move(Store)), Time(std::move(Time)), Settings(Settings),
      IsStoreSilent(std::move(IsStoreSilent)), Announce(std::move(Announce)),
      RevokeJob(std::move(RevokeJob)), MarkLeaseGranted(Where, TimePoint::max()) {}

Awaitable<Result<Done>> Intake::submit(JobSpec Spec, std::optional<SubmitBounds> Bounds) {
  // Nothing was written, so the caller can safely submit the job elsewhere.
  if (IsStoreSilent())
    co_return Error{ErrorKind::StoreUnavailable,
                    "the store does not answer; the job was not accepted"};
  forgetOldSubmissions();
  const JobId Id = Spec.Id;
  ++Submissions[Id].InProgress;
  auto Submission = std::make_shared<Pending>(Where);
  Submission->Id = Id;
  Submission->Organisation = Spec.Organisation;
  Submission->Bytes = encodeJob(Spec);
  Submission->Deadline = Time.Now() + Settings.Timing.SubmitTimeout;
  Submission->Bounds = Bounds;
  if (Bounds) {
    Submission->Deadline = Bounds->Deadline;
    Submission->Wake.expires_after(Bounds->Deadline - Time.Now());
  }
  Waiting.push_back(Submission);
  dispatch();
  while (!Submission->Outcome) {
    co_await Submission->Wake.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
    if (Bounds && !Submission->Outcome)
      giveUp(Submission);
  }
  --Submissions[Id].InProgress;
  Submissions[Id].At = Time.Now();
  SubmissionOrder.emplace_back(Time.Now(), Id);
  co_return *Submission->Outcome;
}

void Intake::forgetOldSubmissions() {
  const TimePoint Limit = Time.Now() - SubmissionMemory;
  for (; !SubmissionOrder.empty() && SubmissionOrder.front().first < Limit;
       SubmissionOrder.pop_front()) {
    const auto Found = Submissions.find(SubmissionOrder.front().second);
    if (Found != Submissions.end() && Found->second.InProgress == 0 && Found->second.At < Limit)
      Submissions.erase(Found);
  }
}

Awaitable<bool> Intake::markRefused(JobId Id, TimePoint Until) {
  forgetOldSubmissions();
  const auto Left = Until - Time.Now();
  if (hasSubmitted(Id) || MarksInFlight >= MaxMarksInFlight || IsStoreSilent() ||
      Left <= Steady::duration(0))
    co_return false;
  ++MarksInFlight;
  auto Mark = std::make_shared<PendingMark>(Where, Left);
  spawnLater(Where, writeMark(Id, Mark));
  co_await Mark->Wake.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
  // The job may have been submitted here while the mark was written.
  co_return Mark->IsWritten.value_or(false) && !hasSubmitted(Id);
}

Awaitable<void> Intake::writeMark(JobId Id, std::shared_ptr<PendingMark> Mark) {
  const uint64_t Lease = co_await markLease();
  bool IsWritten = false;
  if (Lease != 0) {
    Transaction Refusal;
    Refusal.Conditions.push_back({jobKey(Id), 0});
    Refusal.Puts.push_back({refusalKey(Id), "1", 0, Lease});
    const Result<TransactionResult> Written = co_await Store.Commit(std::move(Refusal));
    noteAnswer(Written);
    if (!ok(Written) && error(Written).Kind == ErrorKind::NotFound)
      MarkLease = 0; // the lease has ended
    IsWritten = ok(Written) && value(Written).Applied;
  }
  --MarksInFlight;
  Mark->IsWritten = IsWritten;
  Mark->Wake.cancel();
}

Awaitable<uint64_t> Intake::markLease() {
  if (MarkLease == 0 || Time.Now() - MarkLeaseGrantedAt > MarkLeaseUse) {
    if (!std::exchange(IsGrantingMarkLease, true))
      spawnLater(Where, grantMarkLease());
    co_await MarkLeaseGranted.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
  }
  co_return MarkLease;
}

Awaitable<void> Intake::grantMarkLease() {
  const TimePoint AskedAt = Time.Now();
  const Result<uint64_t> Granted = co_await Store.GrantLease(MarkLifetime);
  MarkLease = ok(Granted) ? value(Granted) : 0;
  MarkLeaseGrantedAt = AskedAt;
  IsGrantingMarkLease = false;
  MarkLeaseGranted.cancel();
}

void Intake::noteAnswer(const Result<TransactionResult> &Answer) {
  if (!ok(Answer))
    return;
  SeenRevision = std::max(SeenRevision, value(Answer).Revision);
  for (const KeyValue &Item : value(Answer).CurrentItems)
    SeenRevision = std::max(SeenRevision, Item.Revision);
}

Milliseconds Intake::recentWriteTime() const {
  const TimePoint Now = Time.Now();
  Milliseconds Longest = Now - LastWriteEnd <= WriteTimeFreshness ? LastWriteTime : Milliseconds(0);
  if (!WriteStarts.empty())
    Longest =
        std::max(Longest, std::chrono::duration_cast<Milliseconds>(Now - *WriteStarts.begin()));
  return Longest;
}

void Intake::dispatch() {
  while (WritesInFlight < MaxWritesInFlight && !Waiting.empty()) {
    std::vector<PendingPtr> Batch;
    size_t Bytes = 0;
    size_t Rows = 0;
    while (!Waiting.empty() && Bytes < MaxBatchBytes) {
      const PendingPtr Next = Waiting.front();
      // After the process was suspended, its mark may have expired.
      if (Next->Bounds && Time.Now() >= Next->Deadline) {
        giveUp(Next);
        continue;
      }
      // The first write of a returned job fails all of its transaction.
      if (!Batch.empty() && Next->AreConditionsRead != Batch.front()->AreConditionsRead)
        break;
      Rows += rowsOf(*Next);
      if (Rows > MaxTransactionRows)
        break;
      Bytes += Next->Bytes.size();
      Next->IsInFlight = true;
      Batch.push_back(Next);
      Waiting.pop_front();
    }
    if (Batch.empty())
      break;
    ++WritesInFlight;
    spawnLater(Where, write(std::move(Batch)));
  }
}

size_t Intake::rowsOf(const Pending &One) {
  const size_t MarkRows = (One.Bounds ? 1 : 0) + (One.MarkRevision != 0 ? 1 : 0);
  return 2 + MarkRows; // a condition and a put
}

void Intake::complete(const PendingPtr &Which, Result<Done> What) {
  if (Which->Outcome)
    return; // it was given up while a write was in flight
  Which->Outcome = std::move(What);
  Which->Wake.cancel();
}

void Intake::giveUp(const PendingPtr &Which) {
  std::erase(Waiting, Which);
  if (Which->IsInFlight || Which->MayBeWritten || hasOtherAttempt(*Which))
    complete(Which, OutOfTime);
  else
    complete(Which, Error{ErrorKind::StoreUnavailable,
                          "the store is too slow for the submission deadline; the job was not "
                          "accepted"});
}

bool Intake::hasOtherAttempt(const Pending &One) const {
  const auto Found = Submissions.find(One.Id);
  return Found != Submissions.end() &&
         (Found->second.InProgress > 1 ||
          (Found->second.At != TimePoint{} && Time.Now() - Found->second.At <= SubmissionMemory));
}

void Intake::retryUnlessRefused(const PendingPtr &Which, uint64_t MarkRevision) {
  if (Which->Bounds && MarkRevision > Which->Bounds->SeenRevision) {
    complete(Which, RefusedElsewhere);
    return;
  }
  Which->MarkRevision = Which->Bounds ? MarkRevision : 0;
  Which->AreConditionsRead = true;
  if (!Which->Outcome)
    Waiting.insert(std::ranges::find(Waiting, false,
                                     [](const PendingPtr &One) { return One->AreConditionsRead; }),
                   Which);
}

void Intake::retryOrGiveUp(const std::vector<PendingPtr> &Batch, const Error &Why) {
  const bool Unknown = Why.Kind == ErrorKind::OutcomeUnknown;
  for (const PendingPtr &Which : Batch) {
    Which->MayBeWritten = Which->MayBeWritten || Unknown;
    Which->AreConditionsRead = false;
    if (Which->Outcome)
      continue;
    if (Which->MayBeWritten && Time.Now() < Which->Deadline)
      Waiting.push_back(Which);
    else if (Which->MayBeWritten)
      complete(Which, OutOfTime);
    else
      complete(Which, Error{ErrorKind::StoreUnavailable, Why.Detail});
  }
}

Awaitable<void> Intake::write(std::vector<PendingPtr> Batch) {
  Transaction Create;
  for (const PendingPtr &Which : Batch) {
    Create.Conditions.push_back({jobKey(Which->Id), 0});
    Create.Puts.push_back({jobKey(Which->Id), Which->Bytes, 0, 0});
    if (Which->Bounds)
      Create.Conditions.push_back({refusalKey(Which->Id), Which->MarkRevision});
    if (Which->MarkRevision != 0)
      Create.Removes.push_back(refusalKey(Which->Id));
  }
  const auto Started = WriteStarts.insert(Time.Now());
  Result<TransactionResult> Written = co_await Store.Commit(std::move(Create));
  LastWriteEnd = Time.Now();
  LastWriteTime = std::chrono::duration_cast<Milliseconds>(LastWriteEnd - *Started);
  WriteStarts.erase(Started);
  noteAnswer(Written);
  if (!ok(Written) && error(Written).Kind == ErrorKind::OutcomeUnknown)
    co_await sleepFor(RetryPause);
  for (const PendingPtr &Which : Batch)
    Which->IsInFlight = false;
  if (!ok(Written)) {
    retryOrGiveUp(Batch, error(Written));
  } else if (value(Written).Applied) {
    IntakeUpdate Update;
    Update.Revision = value(Written).Revision;
    for (const PendingPtr &Which : Batch) {
      complete(Which, Done{});
      Update.Jobs.push_back(std::move(Which->Bytes));
    }
    Announce(std::move(Update));
  } else {
    // Jobs that already exist were submitted before; the others are retried.
    std::map<std::string, KeyValue> CurrentItems;
    for (KeyValue &Item : value(Written).CurrentItems)
      CurrentItems[Item.Key] = Item;
    for (const PendingPtr &Which : Batch) {
      const KeyValue &Existing = CurrentItems[jobKey(Which->Id)];
      const uint64_t Revision = Existing.Revision;
      if (Revision == 0) {
        retryUnlessRefused(Which, CurrentItems[refusalKey(Which->Id)].Revision);
        continue;
      }
      if (Result<StoredJob> Stored = decodeJob(Existing.Value);
          ok(Stored) && !mayAccess(Which->Organisation, value(Stored).Spec.Organisation)) {
        complete(Which, WrongOrganisation);
        continue;
      }
      complete(Which, Done{});
      // Written by this process, but the answer was lost and the job was not announced.
      if (Which->MayBeWritten)
        Announce({{std::move(Which->Bytes)}, Revision, {}});
    }
  }
  --WritesInFlight;
  dispatch();
}

Awaitable<Result<Done>> Intake::cancel(JobId Id, std::string Organisation) {
  const TimePoint Deadline = Time.Now() + Settings.Timing.SubmitTimeout;
  bool MayBeWritten = false;
  bool IsRevoked = false;
  Error Last;
  while (Time.Now() < Deadline) {
    Result<KeyValue> Read = co_await Store.Get(jobKey(Id));
    const bool IsAbsent = ok(Read) && value(Read).Revision == 0;
    if (IsAbsent && IsRevoked)
      co_return Error{ErrorKind::NotFound, "the job does not exist and will not run"};
    if (IsAbsent) {
      Result<Done> Revoked = co_await RevokeJob(Id, Organisation, Deadline);
      if (!ok(Revoked))
        co_return error(Revoked);
      IsRevoked = true; // it may have been written before that
      continue;
    }
    if (ok(Read)) {
      Result<StoredJob> Stored = decodeJob(value(Read).Value);
      if (!ok(Stored))
        co_return error(Stored);
      if (!mayAccess(Organisation, value(Stored).Spec.Organisation))
        co_return WrongOrganisation;
      if (value(Stored).Phase == JobPhase::Cancelled)
        co_return Done{};
      if (value(Stored).Phase != JobPhase::Live)
        co_return Error{ErrorKind::AlreadyEnded, "the job has already ended"};
      Transaction Mark;
      Mark.Conditions.push_back({jobKey(Id), value(Read).Revision});
      Mark.Puts.push_back({cancelKey(Id), "1", 0, 0});
      Result<TransactionResult> Written = co_await Store.Commit(std::move(Mark));
      if (ok(Written) && value(Written).Applied) {
        Announce({{}, 0, {Id}});
        co_return Done{};
      }
      if (ok(Written))
        continue; // the job was modified meanwhile; read it again
      MayBeWritten = MayBeWritten || error(Written).Kind == ErrorKind::OutcomeUnknown;
      Last = error(Written);
    } else {
      Last = error(Read);
      MayBeWritten = MayBeWritten || IsRevoked;
    }
    if (!MayBeWritten)
      break;
    co_await sleepFor(RetryPause);
  }
  co_return Error{MayBeWritten ? ErrorKind::OutcomeUnknown : ErrorKind::StoreUnavailable,
                  Last.Detail};
}

} // namespace valveshelf
