// SPDX-License-Identifier: Apache-2.0
// The way of a request from caller to upstream and back: route, slot, retries, whole answers.
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

/// What the router works with. Everything outlives it.
struct RouterTools {
  Executor Where;
  Clock Time;
  HttpClient &Client;
  ShardDirectory &Directory;
  ConfigSource Config;
  std::function<CellViewPtr()> View;
  std::function<bool()> MayAct; ///< Whether this process may use its share of the slots.
  std::string Member;
};

/// Safe from any thread.
class Router {
public:
  explicit Router(RouterTools Tools);
  /// Serves one request under `/svc/`.
  Awaitable<void> serve(HttpExchange &Exchange);
  const RouterStats &stats() const { return Stats; }
  /// Takes in changes of boxes, members and configuration. Called every fraction of a second.
  void refresh();
  /// This process has joined the cell and takes its share of the slots from now on.
  void onJoined();
  /// True once that share can be used, so that requests are welcome.
  bool ready();

private:
  struct Target {
    RouteConfig Route;
    ServiceConfig Service;
  };
  struct RequestState;
  /// Why a request gets no slot, and when asking again is of use.
  struct SlotRefusal {
    Error Why;
    std::chrono::seconds RetryAfter{};
  };
  /// A member whose lease is gone. It may go on by its peers' promises for a while.
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
  SlotTable Slots; ///< Guarded by Mutex.
  std::map<std::string, DepartedMember>
      DepartedMembers; ///< Members that left the view, by name. Guarded by Mutex.
  std::map<std::string, std::string>
      LastMembers; ///< Members by name, with their journals. Guarded by Mutex.
};

} // namespace valveshelf
