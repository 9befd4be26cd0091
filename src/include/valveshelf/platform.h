// SPDX-License-Identifier: Apache-2.0
// What the platform gives, each behind one narrow struct of operations, so that another
// platform (or a fake in a test) takes its place without touching a decision.
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

/// A value of the store and the version that a compare-and-swap names.
struct StoreItem {
  std::string Key;
  std::string Value;
  uint64_t Version = 0; ///< 0: there is no such key.
};

/// Items, and the revision of the store at which they were read.
struct StoreItems {
  uint64_t Revision = 0;
  std::vector<StoreItem> Items;
};

/// The platform's key-value service. Errors are Conflict (the version was another),
/// StoreUnavailable (surely nothing happened) and OutcomeUnknown (the write may have been made).
struct StoreOps {
  std::function<Awaitable<Result<StoreItem>>(std::string Key)> Get;
  /// Writes if the key's version is \p ExpectedVersion (0: the key must not exist). \p Lease 0 for
  /// none. Returns the new version.
  std::function<Awaitable<Result<uint64_t>>(std::string Key, std::string Value,
                                            uint64_t ExpectedVersion, uint64_t Lease)>
      Put;
  std::function<Awaitable<Result<Done>>(std::string Key, uint64_t ExpectedVersion)> Erase;
  std::function<Awaitable<Result<StoreItems>>(std::string Prefix)> List;
  /// Waits until something under \p Prefix changed after revision \p After, or for \p Wait.
  /// Erased keys come with version 0.
  std::function<Awaitable<Result<StoreItems>>(std::string Prefix, uint64_t After,
                                              Milliseconds Wait)>
      Watch;
  std::function<Awaitable<Result<uint64_t>>(Milliseconds Ttl)> GrantLease;
  /// NotFound: the lease has lapsed.
  std::function<Awaitable<Result<Done>>(uint64_t Lease)> RenewLease;
  std::function<Awaitable<Result<Done>>(uint64_t Lease)> RevokeLease;
};

/// The store over HTTP. \p Client outlives the result.
StoreOps httpStore(HttpClient &Client, Endpoint Address, Milliseconds Timeout);

/// The platform's lagging list of boxes.
struct BoxListOps {
  std::function<Awaitable<Result<BoxList>>()> Fetch;
};
BoxListOps httpBoxList(HttpClient &Client, Endpoint Address, Milliseconds Timeout);

/// One call to a worker that renews leases, lets ended tasks be forgotten, and waits for news.
struct WorkerSync {
  Milliseconds Wait{0};
  Milliseconds RenewFor{0};       ///< Zero renews nothing.
  std::vector<std::string> Renew; ///< Ids of tasks whose leases are renewed.
  std::vector<std::string> Forget;
  uint64_t After = 0; ///< Version of the last list; a newer one is answered without waiting.
};

/// A worker. None of the calls is safe to repeat but `Sync` and `Stop`.
struct WorkerOps {
  std::function<Awaitable<StartAnswer>(Endpoint Address, std::string TaskId, SpecPtr Spec,
                                       Milliseconds Lease)>
      Start;
  std::function<Awaitable<Result<WorkerReport>>(Endpoint Address, WorkerSync Sync)> Sync;
  std::function<Awaitable<Result<Done>>(Endpoint Address, std::string TaskId)> Stop;
  std::function<Awaitable<Result<Done>>(Endpoint Address, std::string TaskId)> Throttle;
};
WorkerOps httpWorkers(HttpClient &Client, Milliseconds Timeout);

/// Everything that a process gets from the platform.
struct Platform {
  StoreOps Store;
  BoxListOps Boxes;
  WorkerOps Workers;
};

} // namespace valveshelf
