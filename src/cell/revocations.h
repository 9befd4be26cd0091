// SPDX-License-Identifier: Apache-2.0
// Revokes jobs that do not exist, so that a cancellation can be answered with "not run".
//
// The absence of a job proves nothing while a write of it may still be carried out. A revocation is
// recorded in the store under a prefix that every scheduler loads and watches, and is handed to the
// present scheduler: whichever process schedules when the job appears ends it before a task of it
// starts. docs/design/not-run.md has the proof.
#pragma once

#include "valveshelf/cell_records.h"
#include "valveshelf/cell_settings.h"
#include "valveshelf/coroutines.h"
#include "valveshelf/key_value_store.h"
#include "valveshelf/steady_timer.h"

#include <deque>
#include <functional>
#include <memory>
#include <vector>

namespace valveshelf {

/// Hands revocations to the present scheduler. Returns its term once it holds all of them and no
/// scheduler before it can start anything; 0: it doesn't, there is none, or it did not answer.
using HoldRevocations =
    std::function<Awaitable<uint64_t>(std::vector<sched::Revocation> Revocations)>;

/// Records revocations, several in one write. Not thread-safe: all calls come from its strand.
class Revocations {
public:
  /// \p Hold may be called several times for the same revocations.
  Revocations(Executor Where, KeyValueStore Store, Clock Time, const CellSettings &Settings,
              HoldRevocations Hold);

  /// Returns once no scheduler starts a job with this id, which the organisation may access, that
  /// is written from now on and for `SchedulerLimits::EndedJobRetention`. OutcomeUnknown: in doubt
  /// until \p Until. NotCarriedOut: too many are asked for, and nothing was recorded.
  Awaitable<Result<Done>> revoke(sched::JobId Id, std::string Organisation, TimePoint Until);

private:
  struct Pending {
    sched::Revocation What;
    TimePoint Until{};
    std::optional<Result<Done>> Outcome;
    SteadyTimer Wake;
    Pending(Executor Where, TimePoint Until) : Until(Until), Wake(Where, Until) {}
  };
  using PendingPtr = std::shared_ptr<Pending>;

  bool takeToken();
  Awaitable<void> recordBatch();
  Awaitable<bool> record(const std::string &Key, const std::string &Bytes, TimePoint Until);
  Awaitable<bool> hold(const std::vector<sched::Revocation> &Batch, TimePoint Until);

  const Executor Where;
  const KeyValueStore Store;
  const Clock Time;
  const CellSettings &Settings;
  const HoldRevocations Hold;
  std::deque<PendingPtr> Waiting;
  bool IsGathering = false; ///< A batch is about to be taken from `Waiting`.
  int BatchesInFlight = 0;
  TimePoint NextBatchAt{};
  double Tokens;        ///< Revocations that may be asked for at once,
  TimePoint TokensAt{}; ///< at this time.
  uint64_t LastBatch = 0;
};

} // namespace valveshelf
