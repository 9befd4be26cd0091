// SPDX-License-Identifier: Apache-2.0
// Adaptive timeouts, detection of an unresponsive store, and relaying through peers.
#include "valveshelf/store_router.h"

#include "valveshelf/events.h"

#include <algorithm>

namespace valveshelf {
namespace {
// Timeout of a call that is not a long poll, as a multiple of the average latency and within two
// bounds. A longer one delays the retry after a lost response, a shorter one repeats calls
// needlessly.
constexpr double TimeoutPerLatency = 6;
constexpr Milliseconds MinTimeout{120};
constexpr Milliseconds MaxTimeout{1000};
// Weight of the newest sample in the average latency.
constexpr double LatencySmoothing = 0.2;
// Added to the long-poll time; also the timeout for large responses.
constexpr Milliseconds LongPollSlack{1000};
// The store is unresponsive when a call has been pending, or calls have failed without any answer,
// for this long.
constexpr Milliseconds UnresponsiveAfter{450};
// Calls are relayed through peers after this many failures in a row. Meanwhile probes try the store
// directly, so that no caller's request has to.
constexpr int FailuresForRelay = 2;
// The interval grows with the number of peers, to bound the call rate of a large cell. Probes may
// overlap: one without an answer delays none after it, and a store that is back is found at once.
constexpr Milliseconds MinProbeInterval{100};
constexpr Milliseconds MaxProbeInterval{300};
constexpr Milliseconds ProbeIntervalPerPeer{10};
constexpr Milliseconds ProbeTimeout{400};
// For one call. If the store is down for all peers, more attempts would only cost time.
constexpr size_t MaxPeersTried = 3;
// Relayed calls fail immediately for this time after all peers tried were rejected too. Otherwise
// each call that the store rejects for its rate would become several.
constexpr Milliseconds RelayBackoff{250};
// After a failed call, the store still counts as directly reachable if it has answered within this
// time. Without a failed call the last answer may be older: a process of a large fleet makes few
// calls.
constexpr Milliseconds DirectAnswerFreshness{2500};
// Callers have a few seconds: one that is told to wait longer does not come back.
constexpr std::chrono::seconds MinRetryAfter{1};
constexpr std::chrono::seconds MaxRetryAfter{5};
constexpr int HttpTooManyRequests = 429;
constexpr int HttpServiceUnavailable = 503;
} // namespace

StoreRouter::StoreRouter(Executor Where, Clock Time, HttpRequest Probe, DirectCall SendDirect,
                         RelayCall SendViaPeer, std::function<std::vector<Endpoint>()> Peers,
                         std::function<void(Steady::duration)> ObserveLatency,
                         std::function<void()> BecameReachable)
    : Where(Where), Time(std::move(Time)), StartedAt(this->Time.Now()),
      ProbeRequest(std::move(Probe)), SendDirect(std::move(SendDirect)),
      SendViaPeer(std::move(SendViaPeer)), Peers(std::move(Peers)),
      ObserveLatency(std::move(ObserveLatency)), BecameReachable(std::move(BecameReachable)) {}

Milliseconds StoreRouter::timeoutFor(const StoreCall &Call) const {
  if (Call.Wait.count() > 0 || Call.IsLarge)
    return Call.Wait + LongPollSlack;
  const Milliseconds Wanted(static_cast<int64_t>(AverageLatencyMs * TimeoutPerLatency));
  return std::clamp(Wanted, MinTimeout, MaxTimeout);
}

void StoreRouter::recordLatency(bool Answered, Milliseconds Latency, Milliseconds Timeout) {
  // A call that timed out counts as twice its timeout, since its latency is unknown.
  const double Sample = static_cast<double>(Answered ? Latency.count() : 2 * Timeout.count());
  AverageLatencyMs += LatencySmoothing * (Sample - AverageLatencyMs);
}

bool StoreRouter::isUnresponsive() const {
  const TimePoint Now = Time.Now();
  const bool Fails = ConsecutiveFailures > 1 && Now - LastAnswer > UnresponsiveAfter;
  return Fails || (!PendingCalls.empty() && Now - PendingCalls.begin()->first > UnresponsiveAfter);
}

Steady::duration StoreRouter::failingFor() const {
  return FirstFailure > LastAnswer ? Time.Now() - FirstFailure : Steady::duration(0);
}

void StoreRouter::recordFailure() {
  if (FirstFailure <= LastAnswer)
    FirstFailure = Time.Now();
}

std::chrono::seconds StoreRouter::retryAfter() const {
  const TimePoint Since = std::max(LastAnswer, StartedAt);
  const auto Outage = std::chrono::round<std::chrono::seconds>(Time.Now() - Since);
  return std::clamp(Outage, MinRetryAfter, MaxRetryAfter);
}

bool StoreRouter::isRejected(const Result<HttpResponse> &Answer) const {
  if (!ok(Answer))
    return true;
  return value(Answer).Status == HttpServiceUnavailable ||
         value(Answer).Status == HttpTooManyRequests;
}

Awaitable<Result<HttpResponse>> StoreRouter::callViaPeer(const StoreCall &Call,
                                                         Milliseconds Timeout) {
  const std::vector<Endpoint> Candidates = Peers();
  Result<HttpResponse> Answer =
      Error{ErrorKind::UpstreamUnavailable, "no peer can reach the store"};
  if (Time.Now() < RelayBackoffUntil)
    co_return Answer;
  for (size_t Tried = 0; Tried < std::min(Candidates.size(), MaxPeersTried); ++Tried) {
    const Endpoint &Peer = Candidates[NextPeer % Candidates.size()];
    Answer = co_await SendViaPeer(Peer, Call.Request, Timeout);
    if (ok(Answer)) {
      LastAnswer = Time.Now();
      co_return Answer;
    }
    ++NextPeer;
    if (error(Answer).Kind == ErrorKind::UpstreamCut)
      co_return Answer; // it may have been executed
  }
  RelayBackoffUntil = Time.Now() + RelayBackoff;
  recordFailure();
  co_return Answer;
}

bool StoreRouter::usesPeers() const { return ConsecutiveFailures >= FailuresForRelay; }

bool StoreRouter::isDirectlyReachable() const {
  const bool Fails =
      ConsecutiveFailures > 0 && Time.Now() - LastDirectAnswer > DirectAnswerFreshness;
  return !usesPeers() && LastDirectAnswer != TimePoint{} && !Fails;
}

// Calls the store directly and records the outcome.
Awaitable<Result<HttpResponse>> StoreRouter::callDirect(const StoreCall &Call,
                                                        Milliseconds Timeout) {
  const TimePoint SentAt = Time.Now();
  const bool IsPlain = Call.Wait.count() == 0;
  const auto Pending = IsPlain ? PendingCalls.emplace(SentAt, 0) : PendingCalls.end();
  Result<HttpResponse> Answer = co_await SendDirect(Call.Request, Timeout);
  const TimePoint Now = Time.Now();
  if (IsPlain) {
    PendingCalls.erase(Pending);
    ObserveLatency(Now - SentAt);
  }
  if (IsPlain && !Call.IsLarge)
    recordLatency(ok(Answer), std::chrono::duration_cast<Milliseconds>(Now - SentAt), Timeout);
  if (!isRejected(Answer)) {
    const bool WasRelaying = usesPeers();
    if (WasRelaying)
      logEvent(events::StoreUp, {{"failures", std::to_string(ConsecutiveFailures)}});
    ConsecutiveFailures = 0;
    LastDirectAnswer = LastAnswer = Now;
    if (WasRelaying)
      BecameReachable();
    co_return Answer;
  }
  recordFailure();
  if (++ConsecutiveFailures == FailuresForRelay)
    logEvent(events::StoreDown,
             {{"why", ok(Answer) ? "status " + std::to_string(value(Answer).Status)
                                 : "\"" + error(Answer).Detail + "\""}});
  co_return Answer;
}

Awaitable<void> StoreRouter::probeOnce() {
  StoreCall Call;
  Call.Request = ProbeRequest;
  Call.IsLarge = true; // keeps the probe out of the average latency
  co_await callDirect(Call, ProbeTimeout);
}

Awaitable<void> StoreRouter::probeLoop() {
  Probing = true;
  while (usesPeers()) {
    const Milliseconds Wanted = ProbeIntervalPerPeer * Peers().size();
    co_await sleepFor(std::clamp(Wanted, MinProbeInterval, MaxProbeInterval));
    if (usesPeers())
      spawnLater(Where, probeOnce());
  }
  Probing = false;
}

Awaitable<Result<HttpResponse>> StoreRouter::call(StoreCall Call) {
  const Milliseconds Timeout = timeoutFor(Call);
  if (usesPeers()) {
    Result<HttpResponse> Relayed = co_await callViaPeer(Call, Timeout);
    co_return Relayed;
  }
  Result<HttpResponse> Answer = co_await callDirect(Call, Timeout);
  if (!usesPeers())
    co_return Answer;
  if (!Probing)
    spawnLater(Where, probeLoop());
  // A rejected call was certainly not executed, so that a peer may try it.
  const bool Refused = ok(Answer) || error(Answer).Kind == ErrorKind::UpstreamUnavailable;
  if (!Refused)
    co_return Answer;
  Result<HttpResponse> Relayed = co_await callViaPeer(Call, Timeout);
  if (!ok(Relayed) && error(Relayed).Kind == ErrorKind::UpstreamUnavailable)
    co_return Answer;
  co_return Relayed;
}

Awaitable<Result<HttpResponse>> StoreRouter::callForPeer(HttpRequest Request,
                                                         Milliseconds Timeout) {
  if (!isDirectlyReachable())
    co_return Error{ErrorKind::UpstreamUnavailable,
                    "the store is not directly reachable from this process"};
  Result<HttpResponse> Answer = co_await SendDirect(std::move(Request), Timeout);
  if (ok(Answer) && isRejected(Answer))
    co_return Error{ErrorKind::UpstreamUnavailable,
                    "the store rejects calls from this process as well"};
  co_return Answer;
}

} // namespace valveshelf
