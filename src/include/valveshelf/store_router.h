// SPDX-License-Identifier: Apache-2.0
// Routes calls to the platform's store: directly, or through a peer while the store rejects this
// box. Tracks the latency of the store and whether it responds.
#pragma once

#include "valveshelf/coroutines.h"
#include "valveshelf/endpoint.h"
#include "valveshelf/errors.h"
#include "valveshelf/http.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace valveshelf {

struct StoreCall {
  HttpRequest Request;
  Milliseconds Wait{0}; ///< Long-poll time: the store may delay its response by this much.
  bool IsLarge = false; ///< The response may be large.
};

/// Sends a call to the store. Errors: UpstreamUnavailable if it was certainly not sent, UpstreamCut
/// if it was sent and the response was lost.
using StoreTransport = std::function<Awaitable<Result<HttpResponse>>(StoreCall Call)>;

/// All calls must come from one strand.
class StoreRouter {
public:
  using DirectCall =
      std::function<Awaitable<Result<HttpResponse>>(HttpRequest Request, Milliseconds Timeout)>;
  using RelayCall = std::function<Awaitable<Result<HttpResponse>>(
      Endpoint Peer, HttpRequest Request, Milliseconds Timeout)>;

  /// \p Peers lists the processes that can relay a call. \p Probe is a read-only request that shows
  /// whether the store serves this box. \p ObserveLatency receives the duration of each call that
  /// is not a long poll. \p BecameReachable is called when the store serves this box again after
  /// calls were relayed. What the functions refer to must outlive the router.
  StoreRouter(Executor Where, Clock Time, HttpRequest Probe, DirectCall SendDirect,
              RelayCall SendViaPeer, std::function<std::vector<Endpoint>()> Peers,
              std::function<void(Steady::duration)> ObserveLatency,
              std::function<void()> BecameReachable);

  Awaitable<Result<HttpResponse>> call(StoreCall Call);
  /// Sends a call for a peer. It is never relayed further: fails with UpstreamUnavailable unless
  /// the store is directly reachable.
  Awaitable<Result<HttpResponse>> callForPeer(HttpRequest Request, Milliseconds Timeout);
  /// True while calls are pending or failing and none has been answered for longer than the store
  /// ever takes. A write sent now would have an unknown outcome.
  bool isUnresponsive() const;
  /// True if, as far as is known, the store serves this process without a relay.
  bool isDirectlyReachable() const;
  /// Retry-After for callers that are refused because the store is unavailable: the duration of the
  /// outage so far, as an estimate of what remains, within 1 to 5 s. Before the first answer the
  /// outage counts from the start of the process.
  std::chrono::seconds retryAfter() const;
  /// When the store last answered, directly or through a peer.
  TimePoint lastAnswer() const { return LastAnswer; }
  /// Time since the first failure after the last answer, direct or relayed; 0 if there was none. An
  /// idle process is not failing.
  Steady::duration failingFor() const;

private:
  void recordFailure();
  Milliseconds timeoutFor(const StoreCall &Call) const;
  void recordLatency(bool Answered, Milliseconds Latency, Milliseconds Timeout);
  bool isRejected(const Result<HttpResponse> &Answer) const;
  Awaitable<Result<HttpResponse>> callViaPeer(const StoreCall &Call, Milliseconds Timeout);
  Awaitable<Result<HttpResponse>> callDirect(const StoreCall &Call, Milliseconds Timeout);
  bool usesPeers() const;
  Awaitable<void> probeLoop();
  Awaitable<void> probeOnce();

  const Executor Where;
  const Clock Time;
  const TimePoint StartedAt;
  const HttpRequest ProbeRequest;
  const DirectCall SendDirect;
  const RelayCall SendViaPeer;
  const std::function<std::vector<Endpoint>()> Peers;
  const std::function<void(Steady::duration)> ObserveLatency;
  const std::function<void()> BecameReachable;
  double AverageLatencyMs = 20; ///< Exponential moving average.
  int ConsecutiveFailures = 0;  ///< Of direct calls.
  TimePoint LastDirectAnswer{};
  TimePoint LastAnswer{};
  TimePoint FirstFailure{}; ///< The first since LastAnswer; not later than that: none.
  bool Probing = false;     ///< `probeLoop` is running.
  std::multimap<TimePoint, int> PendingCalls; ///< By start time; no long polls.
  size_t NextPeer = 0;
  TimePoint RelayBackoffUntil{}; ///< No peer reaches the store; relayed calls fail immediately
                                 ///< until then.
};

} // namespace valveshelf
