// SPDX-License-Identifier: Apache-2.0
// Makes callers' submissions and cancellations durable; submissions are batched into transactions.
//
// A refusal says that the job never runs, although another process may still be writing an earlier
// submission of the same id. While admission control is on, each refusal therefore writes a mark,
// on condition that the job does not exist, and each submission is written on condition that no
// mark has been written since the call came. docs/design/admission.md has the reasons.
#pragma once

#include "valveshelf/cell_records.h"
#include "valveshelf/cell_settings.h"
#include "valveshelf/coroutines.h"
#include "valveshelf/key_value_store.h"
#include "valveshelf/steady_timer.h"

#include <deque>
#include <functional>
#include <memory>
#include <set>
#include <unordered_map>

namespace valveshelf {

/// Jobs and cancellations that have just become durable.
struct IntakeUpdate {
  std::vector<std::string> Jobs; ///< Encoded job records.
  uint64_t Revision = 0;         ///< Of the transaction that wrote the jobs.
  std::vector<sched::JobId> Cancelled;
};

/// What a submission is bound to while jobs may be refused as not run.
struct SubmitBounds {
  /// A store revision that this process had seen when the call came. The job is not written if it
  /// has been marked as refused after that revision.
  uint64_t SeenRevision = 0;
  TimePoint Deadline{}; ///< The submission returns by then.
};

/// Not thread-safe: all calls come from its strand.
class Intake {
public:
  /// Revokes a job that does not exist: `Revocations::revoke`.
  using Revoke = std::function<Awaitable<Result<Done>>(sched::JobId Id, std::string Organisation,
                                                       TimePoint Until)>;
  /// \p IsStoreSilent: true while the store does not answer, so that writes have no known outcome.
  Intake(Executor Where, KeyValueStore Store, Clock Time, const CellSettings &Settings,
         std::function<bool()> IsStoreSilent, std::function<void(IntakeUpdate)> Announce,
         Revoke RevokeJob);

  /// Returns once the job is durable. StoreUnavailable: it is not and will not become durable.
  /// OutcomeUnknown: it may be or become durable. Forbidden: a job of another organisation has the
  /// same id. Overloaded, only with \p Bounds: the job has been marked as refused since the call
  /// came; it is not and will not become durable.
  Awaitable<Result<Done>> submit(sched::JobSpec Spec, std::optional<SubmitBounds> Bounds = {});
  /// Returns once the cancellation is durable. NotFound: the job does not exist, and no submission
  /// of it that is still under way will run. AlreadyEnded: it has completed or failed. Forbidden:
  /// it belongs to another organisation. OutcomeUnknown: none of these is certain yet.
  Awaitable<Result<Done>> cancel(sched::JobId Id, std::string Organisation);
  /// True if this process submits the job, or did recently: its write may still be carried out.
  bool hasSubmitted(sched::JobId Id) const { return Submissions.count(Id) > 0; }
  /// Marks the job as refused. True: no submission whose call came before is or will be accepted.
  /// False if in doubt, and at the latest at \p Until: the job must not be refused. The calls in
  /// flight are bounded by a constant; beyond it there is doubt.
  Awaitable<bool> markRefused(sched::JobId Id, TimePoint Until);
  /// The highest store revision in the answers to this process's writes; 0: there was none.
  uint64_t seenRevision() const { return SeenRevision; }
  /// The time that writes of submissions have recently taken; zero if there was none lately.
  Milliseconds recentWriteTime() const;

private:
  struct Pending {
    sched::JobId Id = 0;
    std::string Organisation;
    std::string Bytes;
    TimePoint Deadline{};
    std::optional<SubmitBounds> Bounds;
    uint64_t MarkRevision = 0; ///< Of the mark that the next write expects; 0: none.
    /// The last write failed and told the revisions that the next one expects.
    bool AreConditionsRead = false;
    bool IsInFlight = false;
    bool MayBeWritten = false; ///< The outcome of an earlier write is unknown.
    std::optional<Result<Done>> Outcome;
    SteadyTimer Wake;
    explicit Pending(Executor Where) : Wake(Where, TimePoint::max()) {}
  };
  using PendingPtr = std::shared_ptr<Pending>;
  /// A mark in flight.
  struct PendingMark {
    std::optional<bool> IsWritten;
    SteadyTimer Wake;
    PendingMark(Executor Where, Steady::duration Wait) : Wake(Where, Wait) {}
  };

  static size_t rowsOf(const Pending &One);
  void dispatch();
  Awaitable<void> write(std::vector<PendingPtr> Batch);
  void complete(const PendingPtr &Which, Result<Done> What);
  void giveUp(const PendingPtr &Which);
  /// True if a write of another attempt of the same id may still be carried out.
  bool hasOtherAttempt(const Pending &One) const;
  /// After a write whose conditions did not hold, for a job that does not exist.
  void retryUnlessRefused(const PendingPtr &Which, uint64_t MarkRevision);
  Awaitable<void> writeMark(sched::JobId Id, std::shared_ptr<PendingMark> Mark);
  /// The lease of new marks; 0: the store does not grant one.
  Awaitable<uint64_t> markLease();
  Awaitable<void> grantMarkLease();
  void noteAnswer(const Result<TransactionResult> &Answer);
  void retryOrGiveUp(const std::vector<PendingPtr> &Batch, const Error &Why);
  void forgetOldSubmissions();

  const Executor Where;
  const KeyValueStore Store;
  const Clock Time;
  const CellSettings &Settings;
  const std::function<bool()> IsStoreSilent;
  const std::function<void(IntakeUpdate)> Announce;
  const Revoke RevokeJob;
  std::deque<PendingPtr> Waiting; ///< Those with `AreConditionsRead` first.
  int WritesInFlight = 0;
  int MarksInFlight = 0;
  uint64_t SeenRevision = 0;
  uint64_t MarkLease = 0; ///< 0: none.
  TimePoint MarkLeaseGrantedAt{};
  bool IsGrantingMarkLease = false;
  SteadyTimer MarkLeaseGranted; ///< Cancelled at the end of a grant.
  /// Jobs that this process has submitted: how many calls of `submit` are in progress, and when the
  /// last ended. Bounded by `SubmissionMemory` and by the calls in progress.
  struct Submission {
    int InProgress = 0;
    TimePoint At{};
  };
  std::unordered_map<sched::JobId, Submission> Submissions;
  std::deque<std::pair<TimePoint, sched::JobId>> SubmissionOrder; ///< By time of the end.
  std::multiset<TimePoint> WriteStarts;                           ///< Of writes in flight.
  Milliseconds LastWriteTime{0};
  TimePoint LastWriteEnd{};
};

} // namespace valveshelf
