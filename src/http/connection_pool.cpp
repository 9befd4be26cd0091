// SPDX-License-Identifier: Apache-2.0
// Idle connections by endpoint and age, and the calls that wait for a connection.
#include "http/connection_pool.h"

#include "valveshelf/events.h"

#include <algorithm>

namespace valveshelf {
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {
constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);
// Per endpoint without a limit.
constexpr size_t MaxIdlePerEndpoint = 16;
// A connection that has been idle for longer is checked for a close by the server before its reuse.
constexpr Milliseconds MaxUncheckedIdleTime{20};
// A call opens one more than the usual number of connections if none is released in this time, in
// which an order is usually answered.
constexpr Milliseconds ReleaseWait{20};
// A waiting call that is woken later than this says that the process is late.
constexpr Milliseconds LateWake{10};
// Between the checks for connections that have been idle for too long.
constexpr Milliseconds SweepInterval{250};

bool isLimited(const Connection &Conn) { return Conn.Limits.MaxConnections > 0; }
} // namespace

ConnectionPool::ConnectionPool(Executor Exec, HttpClientLimits Limits, TrafficMeter *Meter)
    : Exec(Exec), Limits(Limits), Meter(Meter), SweepTimer(Exec) {}

Awaitable<Result<ConnectionPtr>> ConnectionPool::take(Endpoint To, CallOptions How,
                                                      TimePoint Deadline) {
  const Executor Caller = co_await asio::this_coro::executor;
  const EndpointLimits &Bounds = How.Limits;
  TimePoint ReleasedBy = std::min(Deadline, Steady::now() + ReleaseWait);
  while (true) {
    Closing Dead;
    WaiterPtr Own;
    {
      std::lock_guard Lock(Mutex);
      EndpointState &Of = Endpoints[To];
      if (!How.FreshConnection && !needsSpare(Of, How) && !provesSpare(Of, How))
        if (ConnectionPtr Conn = takeIdle(Of, Dead))
          co_return Conn;
      if (Bounds.MaxConnections > 0) {
        const TimePoint Now = Steady::now();
        const bool MayOpen = mayOpen(Of.Budget, Bounds.MaxConnections, Now);
        // One more is opened early once, so that the usual ones may be idle; see maxIdle.
        const bool IsProven = Of.Budget.Proven > Bounds.UsualConnections;
        const bool IsUsual = Of.Budget.Open < Bounds.UsualConnections + (IsProven ? 0 : 1);
        if (MayOpen && (IsUsual || Now >= ReleasedBy)) {
          noteOpened(Of.Budget);
        } else {
          Own = std::make_shared<Waiter>(Caller, MayOpen ? ReleasedBy : Deadline);
          Of.Waiters.push_back(Own);
        }
      }
    }
    if (!Own) {
      Result<ConnectionPtr> New = co_await connect(To, How);
      co_return New;
    }
    co_await Own->Wake.async_wait(AsTuple);
    // While this process is late, responses that release a connection may wait to be read.
    while (const auto Later = waitAfterLateWake(*Own, ReleasedBy, Deadline)) {
      ReleasedBy = *Later;
      Own->Wake.expires_at(ReleasedBy);
      co_await Own->Wake.async_wait(AsTuple);
    }
    std::lock_guard Lock(Mutex);
    if (Own->Given)
      co_return Own->Given;
    std::erase(Endpoints[To].Waiters, Own);
    if (Steady::now() >= Deadline)
      co_return Error{ErrorKind::UpstreamUnavailable,
                      "all connections to " + toString(To) + " are in use"};
  }
}

// Until when to go on waiting if the wait was to end at \p Due and ended late; empty: no longer.
std::optional<TimePoint> ConnectionPool::waitAfterLateWake(const Waiter &Own, TimePoint Due,
                                                           TimePoint Deadline) {
  const TimePoint Now = Steady::now();
  std::lock_guard Lock(Mutex);
  if (Own.Given || Own.IsWoken || Now - Due < LateWake ||
      Now + (Now - Due) + ReleaseWait > Deadline)
    return std::nullopt;
  return Now + (Now - Due) + ReleaseWait;
}

// Requires Mutex. True if the call may keep the only connection for long, and it is not known yet
// whether others can be opened for the calls that come meanwhile.
bool ConnectionPool::needsSpare(const EndpointState &Of, const CallOptions &How) {
  const TimePoint Now = Steady::now();
  return How.IsLongPoll && How.Limits.MaxConnections > 0 && Of.Budget.Open == 1 &&
         valveshelf::mayHaveToShare(Of.Budget, Now) && !isUsedUp(Of.Budget, Now);
}

// Requires Mutex. True if one connection more, opened once, allows the usual ones to be idle
// between calls; see maxIdle. Without it, one of them would be closed and opened again for most
// calls.
bool ConnectionPool::provesSpare(const EndpointState &Of, const CallOptions &How) {
  const size_t Usual = How.Limits.UsualConnections;
  return !How.IsLongPoll && How.Limits.MaxConnections > Usual && Of.Budget.Open == Usual &&
         Of.Budget.Confirmed == Usual && Of.Budget.Proven == Usual &&
         !isUsedUp(Of.Budget, Steady::now());
}

Awaitable<Result<ConnectionPtr>> ConnectionPool::connect(Endpoint To, CallOptions How) {
  std::function<void(const Connection &)> Closed;
  if (How.Limits.MaxConnections > 0)
    Closed = [Pool = weak_from_this()](const Connection &Conn) {
      if (const auto Here = Pool.lock())
        Here->limitedClosed(Conn);
    };
  const Executor Where = Limits.OneThread ? Exec : Executor(asio::make_strand(Exec));
  ConnectionPtr NewConn;
  boost::system::error_code Bad;
  tcp::endpoint Target;
  {
    const MessageSection Work(Meter, MessageWork::Connect);
    NewConn = std::make_shared<Connection>(Where, To, How.Limits, std::move(Closed));
    Target = tcp::endpoint(asio::ip::make_address(To.Host, Bad), To.Port);
    NewConn->Stream.expires_after(How.Timeout);
    NewConn->Stream.socket().open(Target.protocol(), Bad);
  }
  auto [Failure] = co_await NewConn->Stream.async_connect(Target, AsTuple);
  if (Failure) {
    const bool Refused = Failure == asio::error::connection_refused;
    co_return Error{ErrorKind::UpstreamUnavailable,
                    (Refused ? "connection refused by " : "no connection to ") + toString(To)};
  }
  const MessageSection Work(Meter, MessageWork::Connect);
  NewConn->Stream.expires_never();
  NewConn->Stream.socket().set_option(tcp::no_delay(true));
  NewConn->Stream.socket().non_blocking(true, Bad);
  co_return NewConn;
}

// Requires Mutex. The connection that was in use last, empty if there is none.
ConnectionPtr ConnectionPool::takeIdle(EndpointState &Of, Closing &Dead) {
  while (!Of.Idle.empty()) {
    ConnectionPtr Last = *Of.Idle.back();
    closeIdle(Of, Of.Idle.size() - 1, Dead);
    const auto IdleFor = Steady::now() - Last->IdleSince;
    if (IdleFor < MaxUncheckedIdleTime ||
        (IdleFor < Last->Limits.MaxIdleTime && Last->isOpenAndQuiet())) {
      Dead.pop_back();
      return Last;
    }
  }
  return nullptr;
}

// Requires Mutex. Moves the connection from the idle ones to \p Dead.
void ConnectionPool::closeIdle(EndpointState &Of, size_t Place, Closing &Dead) {
  const IdleList::iterator Entry = Of.Idle[Place];
  LimitedIdle -= isLimited(**Entry) ? 1 : 0;
  Dead.push_back(std::move(*Entry));
  IdleByAge.erase(Entry);
  Of.Idle.erase(Of.Idle.begin() + static_cast<std::ptrdiff_t>(Place));
}

// Requires Mutex. The first connection of each endpoint is the one idle longest.
void ConnectionPool::closeIdleLongest(Closing &Dead) {
  const Endpoint To = IdleByAge.front()->To;
  closeIdle(Endpoints.at(To), 0, Dead);
  eraseIfUnused(To);
}

// Requires Mutex. What is known of a limit is kept for the next connection.
void ConnectionPool::eraseIfUnused(const Endpoint &To) {
  const auto Found = Endpoints.find(To);
  if (Found == Endpoints.end())
    return;
  const EndpointState &Of = Found->second;
  if (Of.Idle.empty() && Of.Waiters.empty() && Of.Budget.Open == 0 &&
      !isUsedUp(Of.Budget, Steady::now()))
    Endpoints.erase(Found);
}

void ConnectionPool::release(ConnectionPtr Conn) {
  Closing Dead;
  std::lock_guard Lock(Mutex);
  EndpointState &Of = Endpoints[Conn->To];
  if (!Of.Waiters.empty()) {
    const WaiterPtr Next = std::move(Of.Waiters.front());
    Of.Waiters.pop_front();
    Next->Given = std::move(Conn);
    return wake(Next);
  }
  const bool HasLimit = isLimited(*Conn);
  if (!HasLimit && Of.Idle.size() >= MaxIdlePerEndpoint)
    closeIdle(Of, 0, Dead);
  Conn->IdleSince = Steady::now();
  LimitedIdle += HasLimit ? 1 : 0;
  const Endpoint To = Conn->To;
  Of.Idle.push_back(IdleByAge.insert(IdleByAge.end(), std::move(Conn)));
  if (HasLimit && Of.Idle.size() > maxIdle(Of.Budget, Steady::now()))
    asio::post(Exec, [Pool = weak_from_this(), To] {
      if (const auto Here = Pool.lock())
        Here->trimIdle(To);
    });
  else if (HasLimit)
    armSweep();
  if (IdleByAge.size() > Limits.MaxIdle)
    closeIdleLongest(Dead);
}

// Called after the release of a connection, which may have been taken again for the next call.
void ConnectionPool::trimIdle(const Endpoint &To) {
  Closing Dead;
  std::lock_guard Lock(Mutex);
  const auto Found = Endpoints.find(To);
  if (Found == Endpoints.end())
    return;
  EndpointState &Of = Found->second;
  while (Of.Idle.size() > maxIdle(Of.Budget, Steady::now()))
    closeIdle(Of, 0, Dead);
  if (LimitedIdle > 0)
    armSweep();
}

void ConnectionPool::confirmed(Connection &Conn) {
  Conn.IsConfirmed = true;
  if (!isLimited(Conn))
    return;
  std::lock_guard Lock(Mutex);
  noteConfirmed(Endpoints[Conn.To].Budget);
}

bool ConnectionPool::refused(const Connection &Conn) {
  if (!isLimited(Conn))
    return false;
  bool HasOthers = false;
  ConnectionBudget Known;
  {
    std::lock_guard Lock(Mutex);
    ConnectionBudget &Budget = Endpoints[Conn.To].Budget;
    HasOthers = noteRefused(Budget, Steady::now());
    Known = Budget;
  }
  logEvent(events::ConnectionRefused, {{"endpoint", toString(Conn.To)},
                                       {"others", std::to_string(Known.Open - 1)},
                                       {"retry_ms", std::to_string(Known.RetryDelay.count())}});
  return HasOthers;
}

void ConnectionPool::limitedClosed(const Connection &Conn) {
  std::lock_guard Lock(Mutex);
  EndpointState &Of = Endpoints[Conn.To];
  noteClosed(Of.Budget, Conn.IsConfirmed);
  if (!Of.Waiters.empty() && mayOpen(Of.Budget, Conn.Limits.MaxConnections, Steady::now()))
    wake(Of.Waiters.front());
  eraseIfUnused(Conn.To);
}

void ConnectionPool::closeIdleBefore(const Endpoint &To, TimePoint Before) {
  Closing Dead;
  std::lock_guard Lock(Mutex);
  const auto Found = Endpoints.find(To);
  if (Found == Endpoints.end())
    return;
  EndpointState &Of = Found->second;
  while (!Of.Idle.empty() && (*Of.Idle.front())->IdleSince < Before)
    closeIdle(Of, 0, Dead);
  eraseIfUnused(To);
}

bool ConnectionPool::mayHaveToShare(const Endpoint &To) const {
  std::lock_guard Lock(Mutex);
  const auto Found = Endpoints.find(To);
  return Found == Endpoints.end() ||
         valveshelf::mayHaveToShare(Found->second.Budget, Steady::now());
}

// Requires Mutex. Not armed while no connection needs it: a pending timer would keep the executor
// running.
void ConnectionPool::armSweep() {
  if (std::exchange(IsSweepArmed, true))
    return;
  SweepTimer.expires_after(SweepInterval);
  SweepTimer.async_wait([Pool = weak_from_this()](boost::system::error_code) {
    if (const auto Here = Pool.lock())
      Here->sweep();
  });
}

// Closes connections with a limit that have been idle for too long, so that a server keeps few of
// them if this process is lost.
void ConnectionPool::sweep() {
  Closing Dead;
  std::lock_guard Lock(Mutex);
  IsSweepArmed = false;
  const TimePoint Now = Steady::now();
  for (auto At = IdleByAge.begin(); At != IdleByAge.end() && LimitedIdle > 0;) {
    const Connection &Conn = **At++;
    if (!isLimited(Conn))
      continue;
    if (Now - Conn.IdleSince < Conn.Limits.MaxIdleTime)
      break;
    closeIdle(Endpoints.at(Conn.To), 0, Dead);
  }
  if (LimitedIdle > 0)
    armSweep();
}

// Requires Mutex. The waiter takes the connection that it was given, or tries to open one.
void ConnectionPool::wake(const WaiterPtr &Who) {
  Who->IsWoken = true;
  asio::post(Who->Exec, [Who] { Who->Wake.expires_at(TimePoint::min()); });
}

} // namespace valveshelf
