// SPDX-License-Identifier: Apache-2.0
// Makes what callers hand in durable: submissions, many to a transaction, and cancellations.
#pragma once

#include "valveshelf/cell_records.h"
#include "valveshelf/cell_settings.h"
#include "valveshelf/key_value_store.h"
#include "valveshelf/coroutines.h"

#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <memory>

namespace valveshelf {

/// Lives on one strand; all calls come from there.
class Intake {
public:
  Intake(Executor Where, KeyValueStore Store, Clock Time, const CellSettings &Settings);

  /// Returns once the job is durable. StoreUnavailable: it surely is not and never will be.
  /// OutcomeUnknown: it may be, or may still become so.
  Awaitable<Result<Done>> submit(sched::JobSpec Spec);
  /// Returns once the mark is durable. NotFound: there is no such job, or it has ended otherwise.
  Awaitable<Result<Done>> cancel(sched::JobId Id);

private:
  struct Pending {
    sched::JobId Id = 0;
    std::string Bytes;
    TimePoint Deadline{};
    bool MayBeWritten = false; ///< A write of it got no answer.
    std::optional<Result<Done>> Decided;
    boost::asio::steady_timer Wake;
    explicit Pending(Executor Where) : Wake(Where, TimePoint::max()) {}
  };
  using PendingPtr = std::shared_ptr<Pending>;

  void dispatch();
  Awaitable<void> write(std::vector<PendingPtr> Batch);
  void decide(const PendingPtr &Which, Result<Done> What);
  void retryOrGiveUp(const std::vector<PendingPtr> &Batch, const Error &Why);

  const Executor Where;
  const KeyValueStore Store;
  const Clock Time;
  const CellSettings &Settings;
  std::deque<PendingPtr> Waiting;
  int Writing = 0; ///< Transactions in flight.
};

} // namespace valveshelf
