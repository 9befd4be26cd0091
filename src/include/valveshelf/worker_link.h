// SPDX-License-Identifier: Apache-2.0
// What the scheduler's process says to workers and to the advice service.
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

/// One life of a worker; another life at the same address refuses what is meant for this one.
struct WorkerAddress {
  std::string Id;
  Endpoint Address;
};

/// An order to start a run. Safe to send again: a run that is there already is left alone.
struct StartRun {
  WorkerAddress To;
  sched::RunKey Run;
  sched::JobSpecPtr Job;
  Milliseconds LeaseUntil{0}; ///< The lease of the whole worker, on its own clock.
  uint64_t Fence = 0;
  std::string Checkpoint;
  std::string Ticket;
  Milliseconds Timeout{0}; ///< For the answer.
};

/// An order to stop a run. After it, that run and earlier ones of the task can't start there.
struct StopRun {
  WorkerAddress To;
  sched::RunKey Run;
  uint64_t Fence = 0;
  Milliseconds Timeout{0}; ///< For the answer.
};

/// Extends the worker's lease, lets ends be forgotten and asks what it holds.
struct HeartbeatRequest {
  WorkerAddress To;
  uint64_t Fence = 0;
  uint64_t ForgetThrough = 0;
  std::optional<Milliseconds> LeaseUntil;
  Milliseconds Wait{0};
  Milliseconds Timeout{0}; ///< Beyond the wait.
};

/// Errors of `Stop` and `Heartbeat`: NotOwner (a newer scheduler has spoken to the worker),
/// NotFound (another life answered), UpstreamUnavailable (surely not sent), UpstreamCut (may have
/// been carried out, or may be later).
struct WorkerLink {
  std::function<Awaitable<sched::StartResult>(StartRun)> Start;
  std::function<Awaitable<Result<Done>>(StopRun)> Stop;
  std::function<Awaitable<Result<sched::WorkerReport>>(HeartbeatRequest)> Heartbeat;
};

/// Workers that may run a step, each with its ticket.
struct Advice {
  std::vector<std::pair<std::string, std::string>> Eligible; ///< Worker and ticket.
  Milliseconds Valid{0};
};

/// Asks which of \p Workers may run \p Step. The service takes one call of each calling box at a
/// time. Overloaded: too many calls of this box wait there.
struct AdviceLink {
  std::function<Awaitable<Result<Advice>>(sched::StepKey Step, std::vector<std::string> Workers,
                                          Milliseconds Timeout)>
      Ask;
};

} // namespace valveshelf
