// SPDX-License-Identifier: Apache-2.0
// The connections of a client: idle ones are reused, and to an endpoint with a limit no more are
// opened than it allows; further calls wait in turn for one that is in use.
#pragma once

#include "http/connection.h"
#include "http/connection_budget.h"
#include "valveshelf/steady_timer.h"
#include "valveshelf/traffic.h"

#include <deque>
#include <list>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <vector>

namespace valveshelf {

/// Thread safe. Held by a shared pointer, since its timer and its connections refer to it.
class ConnectionPool : public std::enable_shared_from_this<ConnectionPool> {
public:
  /// \p Meter: as for `HttpClient`.
  ConnectionPool(Executor Exec, HttpClientLimits Limits, TrafficMeter *Meter);

  /// A connection to \p To for one call: an idle one, a new one, or the first one that another call
  /// releases. UpstreamUnavailable: none was established by \p Deadline.
  Awaitable<Result<ConnectionPtr>> take(Endpoint To, CallOptions How, TimePoint Deadline);

  /// Makes a connection that is between calls available to others.
  void release(ConnectionPtr Conn);

  /// \p Conn has answered its first call.
  void confirmed(Connection &Conn);

  /// \p Conn was reset in its first call before any response. Returns true if the call can be sent
  /// again over another connection that is open.
  bool refused(const Connection &Conn);

  /// Closes the connections to an endpoint that have been idle since before the given time. Called
  /// after a timeout on a reused connection: after a network fault the others may be dead as well
  /// without a reset, and each would cost one more call its timeout.
  void closeIdleBefore(const Endpoint &To, TimePoint Before);

  /// True if calls to an endpoint with a limit may have to share one connection.
  bool mayHaveToShare(const Endpoint &To) const;

private:
  struct EndpointHash {
    size_t operator()(const Endpoint &Value) const {
      return std::hash<std::string>()(Value.Host) ^ (size_t{Value.Port} << 1);
    }
  };
  /// A call that waits for a connection. All members but Given belong to the call's executor.
  struct Waiter {
    Waiter(Executor Exec, TimePoint Until) : Exec(Exec), Wake(Exec, Until) {}
    const Executor Exec;
    SteadyTimer Wake;
    ConnectionPtr Given;  ///< Guarded by the pool's mutex.
    bool IsWoken = false; ///< Was given a connection or may open one. Guarded by it as well.
  };
  using WaiterPtr = std::shared_ptr<Waiter>;
  using IdleList = std::list<ConnectionPtr>;
  struct EndpointState {
    std::vector<IdleList::iterator> Idle; ///< Into IdleByAge, oldest first.
    ConnectionBudget Budget;              ///< Counts only connections with a limit.
    std::deque<WaiterPtr> Waiters;        ///< In the order of their calls.
  };
  /// Connections that are closed once the mutex is released: closing one takes the mutex.
  using Closing = std::vector<ConnectionPtr>;

  std::optional<TimePoint> waitAfterLateWake(const Waiter &Own, TimePoint Due, TimePoint Deadline);
  static bool needsSpare(const EndpointState &Of, const CallOptions &How);
  static bool provesSpare(const EndpointState &Of, const CallOptions &How);
  Awaitable<Result<ConnectionPtr>> connect(Endpoint To, CallOptions How);
  ConnectionPtr takeIdle(EndpointState &Of, Closing &Dead);
  void closeIdle(EndpointState &Of, size_t Place, Closing &Dead);
  void closeIdleLongest(Closing &Dead);
  void trimIdle(const Endpoint &To);
  void eraseIfUnused(const Endpoint &To);
  void limitedClosed(const Connection &Conn);
  void armSweep();
  void sweep();
  static void wake(const WaiterPtr &Who);

  const Executor Exec;
  const HttpClientLimits Limits;
  TrafficMeter *const Meter; ///< May be null.
  mutable std::mutex Mutex;
  IdleList IdleByAge; ///< All idle connections, oldest first. Guarded by Mutex.
  std::unordered_map<Endpoint, EndpointState, EndpointHash> Endpoints; ///< Guarded by Mutex.
  size_t LimitedIdle = 0;    ///< Connections with a limit in IdleByAge. Guarded by Mutex.
  bool IsSweepArmed = false; ///< Guarded by Mutex.
  SteadyTimer SweepTimer;    ///< Guarded by Mutex.
};

} // namespace valveshelf
