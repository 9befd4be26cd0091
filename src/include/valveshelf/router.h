// SPDX-License-Identifier: Apache-2.0
// Routes callers' requests to upstreams: matches the route, acquires a slot, retries, and streams
// the response back.
#pragma once

#include "valveshelf/config_keeper.h"
#include "valveshelf/http.h"
#include "valveshelf/membership.h"
#include "valveshelf/shard_directory.h"
#include "valveshelf/slot_table.h"

#include <atomic>
#include <memory>
#include <string>

namespace valveshelf {

/// Counters for metrics.
struct RouterStats {
  std::atomic<uint64_t> Served{0}, Refused{0}, Retried{0}, Truncated{0};
};

/// Dependencies of the router. All outlive it.
struct RouterTools {
  Executor Where;
  Clock Time;
  HttpClient &Client;
  ShardDirectory &Directory;
  ConfigSource Config;
  std::function<CellViewPtr()> View;
  std::function<bool()> MayAct; ///< True while this process may use its slots.
  std::string Member;
};

/// Thread-safe.
class Router {
public:
  explicit Router(RouterTools Tools);
  /// Serves one request under `/svc/`.
  Awaitable<void> serve(HttpExchange &Exchange);
  const RouterStats &stats() const { return Stats; }
  /// Applies changes of boxes, members and configuration. Called several times a second.
  void refresh();
  /// Notes that this process has joined the cell and has a share of the slots from now on.
  void onJoined();
  /// True once that share can be used, so that this process can serve requests.
  bool ready();

private:
  struct Target {
    RouteConfig Route;
    ServiceConfig Service;
  };
  struct RequestState;
  /// Why a request gets no slot, and when the caller may retry.
  struct SlotRefusal {
    Error Why;
    std::chrono::seconds RetryAfter{};
  };
  /// A member whose lease has expired. It may continue for a while on its peers' promises.
  struct DepartedMember {
    std::string Log;
    TimePoint Since{};
  };
  std::vector<std::string> slotHolders(const CellView &View, TimePoint Now);
  Result<Target> match(const HttpExchange &Exchange) const;
  bool knowsInstances(const std::string &Service);
  std::optional<SlotRefusal> refusal(const Target &To, TimePoint Deadline, TimePoint Now) const;
  Awaitable<std::variant<SlotGrant, SlotRefusal>> acquire(const Target &To, TimePoint Deadline,
                                                          const std::string &Avoid);
  Awaitable<bool> tryInstance(HttpExchange &Exchange, const SlotGrant &Slot, TimePoint Deadline,
                              RequestState &State);

  const RouterTools Tools;
  RouterStats Stats;
  std::mutex Mutex;
  SlotTable Slots;                                       ///< Guarded by Mutex.
  std::map<std::string, DepartedMember> DepartedMembers; ///< By name. Guarded by Mutex.
  std::map<std::string, std::string> LastMembers; ///< Journal ids by member name. Guarded by Mutex.
};

} // namespace valveshelf
