// SPDX-License-Identifier: Apache-2.0
// Distributes advice requests over the members of the cell. The advice service processes one call
// per box at a time, so each member is a separate lane. The next request is one of the service that
// occupies the fewest lanes, so that each service with queued requests gets an equal part of them
// however long its calls take. Within a service, first questions of steps that are in time go
// first: a step can't start before its first answer, while one that asks again may start meanwhile.
#pragma once

#include "valveshelf/cell_state.h"
#include "valveshelf/coroutines.h"
#include "valveshelf/steady_timer.h"
#include "valveshelf/worker_link.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>

namespace valveshelf {

/// Priority queues of advice requests, one per service, and the lanes that serve them. Not
/// thread-safe: all calls come from its strand. Call `stop` before destroying it; requests in
/// flight may outlive it then.
class AdviceLanes {
public:
  /// Sends a request through the member \p Lane.
  using AskThrough = std::function<Awaitable<Result<Advice>>(std::string Lane, sched::StepKey Step,
                                                             std::vector<std::string> Workers,
                                                             Milliseconds Timeout)>;
  /// Called once per request, unless stopped. \p Took: time since the request was added.
  using Answered = std::function<void(const sched::Effects::AdviceRequest &, const Result<Advice> &,
                                      const std::string &Lane, Steady::duration Took)>;

  AdviceLanes(Executor Where, Clock Time, AskThrough Ask, Answered OnAnswer);
  /// Sets the members that requests may be sent through.
  void setLanes(const std::set<std::string> &Names);
  void add(sched::Effects::AdviceRequest Request);
  /// Drops queued requests; no answers are reported afterwards.
  void stop();

private:
  struct Lane {
    bool Busy = false;
    TimePoint BackoffUntil{};
    int ConsecutiveFailures = 0;
    bool LastSucceeded = false;
  };
  struct QueueKey {
    bool Late = false;
    bool IsFollowUp = false;
    int Priority = 0;
    bool HasNotBegun = false;
    uint64_t Number = 0;
    friend bool operator<(const QueueKey &A, const QueueKey &B) {
      return std::tie(A.Late, A.IsFollowUp, A.Priority, A.HasNotBegun, A.Number) <
             std::tie(B.Late, B.IsFollowUp, B.Priority, B.HasNotBegun, B.Number);
    }
  };
  struct PendingRequest {
    sched::Effects::AdviceRequest Request;
    TimePoint AddedAt{};
    int Tries = 0;
  };

  using Requests = std::map<QueueKey, PendingRequest>;

  /// The lane for the next request.
  struct LaneChoice {
    std::map<std::string, Lane>::iterator Free; ///< The end of `Lanes`: there is none.
    /// When the first backoff of an idle lane ends; the largest time: none has one.
    TimePoint BackoffEnd = TimePoint::max();
  };

  void enqueue(PendingRequest What);
  /// The request to send next, in the queue of its service; empty if none may be sent.
  std::optional<std::pair<std::map<std::string, Requests>::iterator, Requests::iterator>> next();
  void dispatch();
  void dispatchAt(TimePoint When);
  LaneChoice chooseLane();
  bool isLong(const sched::Effects::AdviceRequest &Request) const;
  size_t maxLongInFlight() const;
  Awaitable<void> ask(std::string Name, PendingRequest What);
  void logRetry(const PendingRequest &What, const std::string &Name, const Error &Why) const;

  const Executor Where;
  const Clock Time;
  const AskThrough Ask;
  const Answered OnAnswer;
  std::map<std::string, Lane> Lanes;
  /// By `AdviceRequest::Service`. Invariant: no queue is empty.
  std::map<std::string, Requests> Queues;
  std::map<std::string, size_t> InFlight; ///< By service; none is zero.
  uint64_t NextNumber = 0;
  size_t LongInFlight = 0;
  bool Stopped = false;
  /// Invariant: while requests are queued and the only idle lanes are in backoff, the timer runs
  /// until `DispatchesAt`, the first end of a backoff. Nothing else would send the requests if all
  /// lanes had failed.
  SteadyTimer BackoffTimer;
  TimePoint DispatchesAt = TimePoint::max(); ///< The largest time: the timer does not run.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace valveshelf
