// SPDX-License-Identifier: Apache-2.0
// How calls reach the platform's store: straight, or through a peer while the store turns this box
// away. Knows how fast the store answers just now and whether it has fallen silent.
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

/// One call to the store.
struct StoreCall {
  HttpRequest Request;
  Milliseconds Wait{0}; ///< The store may hold the answer so long.
  bool IsLarge = false; ///< The answer may be large.
};

/// Carries a call to the store. UpstreamUnavailable: surely not sent. UpstreamCut: sent, and the
/// answer is lost.
using StoreTransport = std::function<Awaitable<Result<HttpResponse>>(StoreCall Call)>;

/// Lives on one strand; all calls come from there.
class StoreRouter {
public:
  using DirectCall =
      std::function<Awaitable<Result<HttpResponse>>(HttpRequest Request, Milliseconds Timeout)>;
  using RelayCall = std::function<Awaitable<Result<HttpResponse>>(
      Endpoint Peer, HttpRequest Request, Milliseconds Timeout)>;

  /// \p Peers lists the processes that could pass a call on. \p Probe is a harmless read that
  /// tells whether the store serves this box. Both transports outlive the path.
  StoreRouter(Executor Where, Clock Time, HttpRequest Probe, DirectCall SendDirect,
              RelayCall SendViaPeer, std::function<std::vector<Endpoint>()> Peers,
              std::function<void(Steady::duration)> ObserveLatency);

  Awaitable<Result<HttpResponse>> call(StoreCall Call);
  /// A call for a peer: straight only, and only if the store answers this process.
  Awaitable<Result<HttpResponse>> callForPeer(HttpRequest Request, Milliseconds Timeout);
  /// True while calls are out and none has been answered for longer than the store ever takes;
  /// what is written now would have no certain outcome.
  bool isUnresponsive() const;
  /// True if the store serves this process straight, as far as is known.
  bool isDirectlyReachable() const;
  /// When a caller that was refused for want of the store should come again: after as long as the
  /// store has been away, since an outage of unknown length has about half of it left; 1 to 5 s.
  /// For a process that no store has answered yet it has been away since the process started.
  std::chrono::seconds retryAfter() const;
  /// When the store last answered, on either way.
  TimePoint lastAnswer() const { return LastAnswer; }
  /// For how long calls have failed and none was answered, on either way. A process that has had
  /// nothing to call for is not failing.
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
  const std::function<void(Steady::duration)>
      ObserveLatency;           ///< Told how long each plain call took.
  double AverageLatencyMs = 20; ///< Moving average of the time of an answer.
  int ConsecutiveFailures = 0;  ///< Of straight calls.
  TimePoint LastDirectAnswer{};
  TimePoint LastAnswer{};
  TimePoint FirstFailure{}; ///< Of those after the last answer; before it: none.
  bool Probing = false;     ///< While peers are used: the store is tried straight.
  std::multimap<TimePoint, int>
      PendingCalls; ///< Plain calls that wait for an answer, by their start.
  size_t NextPeer = 0;
  TimePoint RelayBackoffUntil{}; ///< No peer was served either; calls fail at once until then.
};

} // namespace valveshelf
