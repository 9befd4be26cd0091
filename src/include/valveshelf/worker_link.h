// SPDX-License-Identifier: Apache-2.0
// Requests that the scheduler sends to workers and to the advice service.
#pragma once

#include "valveshelf/errors.h"
#include "valveshelf/http.h"
#include "valveshelf/workload.h"

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace valveshelf {

/// One instance of a worker process. A later instance at the same address has another id and
/// refuses requests that are meant for this one.
struct WorkerAddress {
  std::string Id;
  Endpoint Address;
};

/// Starts a run. Idempotent: a run that the worker already has is left unchanged.
struct StartRun {
  WorkerAddress To;
  sched::RunKey Run;
  sched::JobSpecPtr Job;
  Milliseconds LeaseUntil{0}; ///< End of the worker's lease, on its own clock.
  uint64_t Fence = 0;
  std::string Checkpoint;
  std::string Ticket;
  Milliseconds Timeout{0}; ///< For the answer.
};

/// Stops a run. Afterwards neither it nor an earlier run of the same task can start on the worker.
struct StopRun {
  WorkerAddress To;
  sched::RunKey Run;
  uint64_t Fence = 0;
  Milliseconds Timeout{0}; ///< For the answer.
};

/// Renews the worker's lease, acknowledges ended runs and requests a report of the worker's runs.
struct HeartbeatRequest {
  WorkerAddress To;
  uint64_t Fence = 0;
  uint64_t ForgetThrough = 0;             ///< The worker may forget ended runs up to this number.
  std::optional<Milliseconds> LeaseUntil; ///< End of the lease (worker's clock); empty: unchanged.
  Milliseconds Wait{0};    ///< Long poll: the worker answers when a run ends, or after this time.
  Milliseconds Timeout{0}; ///< For the answer, in addition to Wait.
};

struct StartAnswer {
  sched::StartResult Result = sched::StartResult::Unknown; ///< As the worker stated it.
  std::optional<Milliseconds> WorkerClock; ///< The worker's steady clock; empty: not stated.
  /// The order was sent before, over another connection that was reset: that one may have been
  /// carried out.
  bool WasRepeated = false;
};

/// Errors of `Stop` and `Heartbeat`: NotOwner (the worker has seen a newer fencing token), NotFound
/// (another instance answered), UpstreamUnavailable (not sent), UpstreamCut (outcome unknown: it
/// may have been carried out, or may still be).
struct WorkerLink {
  std::function<Awaitable<StartAnswer>(StartRun)> Start;
  std::function<Awaitable<Result<Done>>(StopRun)> Stop;
  std::function<Awaitable<Result<sched::WorkerReport>>(HeartbeatRequest)> Heartbeat;
};

/// The advice service's answer: the workers that may run a step.
struct Advice {
  std::vector<std::pair<std::string, std::string>> Eligible; ///< Worker id and ticket.
  Milliseconds Valid{0};                                     ///< How long the tickets are valid.
};

/// Asks which of \p Workers may run \p Step. The service processes one call per calling box at a
/// time. Overloaded: too many calls of this box are queued there.
struct AdviceLink {
  std::function<Awaitable<Result<Advice>>(sched::StepKey Step, std::vector<std::string> Workers,
                                          Milliseconds Timeout)>
      Ask;
};

} // namespace valveshelf
