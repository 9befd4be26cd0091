// SPDX-License-Identifier: Apache-2.0
// Makes what callers hand in durable: submissions, many to a transaction, and cancellations.
#pragma once

#include "valveshelf/cell_records.h"
#include "valveshelf/cell_settings.h"
#include "valveshelf/coroutines.h"
#include "valveshelf/key_value_store.h"
#include "valveshelf/steady_timer.h"

#include <deque>
#include <functional>
#include <memory>

namespace valveshelf {

/// Told of what has just become durable.
struct IntakeUpdate {
  std::vector<std::string> Jobs; ///< Their records.
  uint64_t Revision = 0;         ///< Of the jobs' keys.
  std::vector<sched::JobId> Cancelled;
};

/// True if a caller of organisation \p Caller may see and change work of \p Owner. Work that was
/// accepted without a key is anybody's.
bool mayAccess(const std::string &Caller, const std::string &Owner);

/// Lives on one strand; all calls come from there.
class Intake {
public:
  /// \p IsStoreSilent: the store does not answer; what is written now has no certain outcome.
  Intake(Executor Where, KeyValueStore Store, Clock Time, const CellSettings &Settings,
         std::function<bool()> IsStoreSilent, std::function<void(IntakeUpdate)> Announce);

  /// Returns once the job is durable. StoreUnavailable: it surely is not and never will be.
  /// OutcomeUnknown: it may be, or may still become so. Forbidden: another organisation's job has
  /// the id.
  Awaitable<Result<Done>> submit(sched::JobSpec Spec);
  /// Returns once the mark is durable. NotFound: there is no such job, or it has ended otherwise.
  /// Forbidden: it is not \p Organisation's.
  Awaitable<Result<Done>> cancel(sched::JobId Id, std::string Organisation);

private:
  struct Pending {
    sched::JobId Id = 0;
    std::string Organisation;
    std::string Bytes;
    TimePoint Deadline{};
    bool MayBeWritten = false; ///< A write of it got no answer.
    std::optional<Result<Done>> Outcome;
    SteadyTimer Wake;
    explicit Pending(Executor Where) : Wake(Where, TimePoint::max()) {}
  };
  using PendingPtr = std::shared_ptr<Pending>;

  void dispatch();
  Awaitable<void> write(std::vector<PendingPtr> Batch);
  void complete(const PendingPtr &Which, Result<Done> What);
  void retryOrGiveUp(const std::vector<PendingPtr> &Batch, const Error &Why);

  const Executor Where;
  const KeyValueStore Store;
  const Clock Time;
  const CellSettings &Settings;
  const std::function<bool()> IsStoreSilent;
  const std::function<void(IntakeUpdate)> Announce;
  std::deque<PendingPtr> Waiting;
  int WritesInFlight = 0; ///< Transactions in flight.
};

} // namespace valveshelf
