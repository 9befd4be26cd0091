// SPDX-License-Identifier: Apache-2.0
// The platform's services, each as a struct of operations, so that another platform or a fake in a
// test can replace them.
#pragma once

#include "valveshelf/box.h"
#include "valveshelf/clock.h"
#include "valveshelf/coroutines.h"
#include "valveshelf/errors.h"
#include "valveshelf/http.h"
#include "valveshelf/shard_decisions.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace valveshelf {

/// A stored value and its version, for compare-and-swap.
struct StoreItem {
  std::string Key;
  std::string Value;
  uint64_t Version = 0; ///< 0: the key does not exist.
};

/// Items and the store revision at which they were read.
struct StoreItems {
  uint64_t Revision = 0;
  std::vector<StoreItem> Items;
};

/// The platform's key-value service. Errors: Conflict (the version differs), StoreUnavailable
/// (nothing was written), OutcomeUnknown (the write may have been applied).
struct StoreOps {
  std::function<Awaitable<Result<StoreItem>>(std::string Key)> Get;
  /// Writes if the key's version is \p ExpectedVersion (0: the key must not exist). \p Lease 0: no
  /// lease. Returns the new version.
  std::function<Awaitable<Result<uint64_t>>(std::string Key, std::string Value,
                                            uint64_t ExpectedVersion, uint64_t Lease)>
      Put;
  std::function<Awaitable<Result<Done>>(std::string Key, uint64_t ExpectedVersion)> Erase;
  std::function<Awaitable<Result<StoreItems>>(std::string Prefix)> List;
  /// Waits for a change under \p Prefix after revision \p After, for at most \p Wait. Erased keys
  /// have version 0.
  std::function<Awaitable<Result<StoreItems>>(std::string Prefix, uint64_t After,
                                              Milliseconds Wait)>
      Watch;
  std::function<Awaitable<Result<uint64_t>>(Milliseconds Ttl)> GrantLease;
  /// NotFound: the lease has expired.
  std::function<Awaitable<Result<Done>>(uint64_t Lease)> RenewLease;
  std::function<Awaitable<Result<Done>>(uint64_t Lease)> RevokeLease;
};

/// The store over HTTP. \p Client must outlive the result.
StoreOps httpStore(HttpClient &Client, Endpoint Address, Milliseconds Timeout);

/// The platform's list of boxes, which lags behind the actual state.
struct BoxListOps {
  std::function<Awaitable<Result<BoxList>>()> Fetch;
};
BoxListOps httpBoxList(HttpClient &Client, Endpoint Address, Milliseconds Timeout);

/// Renews task leases, acknowledges ended tasks and long-polls for the worker's task list.
struct WorkerSync {
  Milliseconds Wait{0};            ///< Longest time the worker may delay its answer.
  Milliseconds RenewFor{0};        ///< 0: renews nothing.
  std::vector<std::string> Renew;  ///< Ids of the tasks whose leases are renewed.
  std::vector<std::string> Forget; ///< Ids of ended tasks that the worker may forget.
  uint64_t After = 0; ///< Version of the last list seen; a newer one is returned at once.
};

/// Operations of a worker. Only `Sync` and `Stop` are idempotent.
struct WorkerOps {
  std::function<Awaitable<StartAnswer>(Endpoint Address, std::string TaskId, SpecPtr Spec,
                                       Milliseconds Lease)>
      Start;
  std::function<Awaitable<Result<WorkerReport>>(Endpoint Address, WorkerSync Sync)> Sync;
  std::function<Awaitable<Result<Done>>(Endpoint Address, std::string TaskId)> Stop;
  std::function<Awaitable<Result<Done>>(Endpoint Address, std::string TaskId)> Throttle;
};
WorkerOps httpWorkers(HttpClient &Client, Milliseconds Timeout);

/// All platform services that a process uses.
struct Platform {
  StoreOps Store;
  BoxListOps Boxes;
  WorkerOps Workers;
};

} // namespace valveshelf
