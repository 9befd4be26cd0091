// SPDX-License-Identifier: Apache-2.0
// Time outs that follow the store's pace, silence, and the way through peers.
#include "valveshelf/store_path.h"

#include "valveshelf/events.h"

#include <algorithm>

namespace valveshelf {
namespace {
// A plain call is given up after this many typical times, within the two bounds. An answer that is
// lost costs this time; one that is late costs a call made twice.
constexpr double TypicalTimes = 6;
constexpr Milliseconds LeastTimeout{120};
constexpr Milliseconds MostTimeout{1000};
// Weight of the newest answer in the typical time.
constexpr double NewestWeight = 0.2;
// Beyond the wait of a call that the store holds, and for large answers.
constexpr Milliseconds PatientTimeout{1000};
// The store is silent if a call has been out so long and nothing was answered since.
constexpr Milliseconds Silence{450};
// After so many failures in a row calls go through peers. Meanwhile a read of the process's own
// tries the store straight at this interval, so that no caller's work hangs on the attempt.
constexpr int FailuresForRelay = 2;
// Probes overlap, so that one which gets no answer holds up none after it and a store that is back
// is found at once. Hundreds of boxes probe less often, which keeps their calls below the store's
// rate.
constexpr Milliseconds LeastProbePause{100};
constexpr Milliseconds MostProbePause{300};
constexpr Milliseconds ProbePauseForPeer{10};
constexpr Milliseconds ProbeTimeout{400};
// Peers tried for one call; if the store is down for all, more would only cost time.
constexpr size_t MostPeersTried = 3;
// When none of them is served either, calls fail at once for this time. Each of hundreds of boxes
// would otherwise turn a call that the store refuses for its rate into four.
constexpr Milliseconds DetourPause{250};
// After a call that failed the store still serves this process if it has answered it within this
// time. Without any it does: a process of a large fleet has little to call for.
constexpr Milliseconds FreshEnough{2500};
// Callers' budgets are a few seconds: one that is told a longer time does not come again.
constexpr std::chrono::seconds LeastRetryAfter{1};
constexpr std::chrono::seconds MostRetryAfter{5};
constexpr int HttpTooMany = 429;
constexpr int HttpUnavailable = 503;
} // namespace

StorePath::StorePath(Executor Where, Clock Time, HttpRequest Probe, Direct Straight, Relay Through,
                     std::function<std::vector<Endpoint>()> Peers,
                     std::function<void(Steady::duration)> Observe)
    : Where(Where), Time(std::move(Time)), StartedAt(this->Time.Now()),
      ProbeRequest(std::move(Probe)), Straight(std::move(Straight)), Through(std::move(Through)),
      Peers(std::move(Peers)), Observe(std::move(Observe)) {}

Milliseconds StorePath::timeoutFor(const StoreCall &Call) const {
  if (Call.Wait.count() > 0 || Call.IsLarge)
    return Call.Wait + PatientTimeout;
  const Milliseconds Wanted(static_cast<int64_t>(TypicalMs * TypicalTimes));
  return std::clamp(Wanted, LeastTimeout, MostTimeout);
}

void StorePath::note(bool Answered, Milliseconds Took, Milliseconds Limit) {
  // A call that was given up took at least twice its limit, as far as anybody knows.
  const double Sample = static_cast<double>(Answered ? Took.count() : 2 * Limit.count());
  TypicalMs += NewestWeight * (Sample - TypicalMs);
}

bool StorePath::isSilent() const {
  const TimePoint Now = Time.Now();
  const bool Fails = FailuresInARow > 1 && Now - LastAnswer > Silence;
  return Fails || (!Out.empty() && Now - Out.begin()->first > Silence);
}

Steady::duration StorePath::failingFor() const {
  return FirstFailure > LastAnswer ? Time.Now() - FirstFailure : Steady::duration(0);
}

void StorePath::noteFailure() {
  if (FirstFailure <= LastAnswer)
    FirstFailure = Time.Now();
}

std::chrono::seconds StorePath::retryAfter() const {
  const TimePoint Since = std::max(LastAnswer, StartedAt);
  const auto Away = std::chrono::round<std::chrono::seconds>(Time.Now() - Since);
  return std::clamp(Away, LeastRetryAfter, MostRetryAfter);
}

bool StorePath::isTurnedAway(const Result<HttpResponse> &Answer) const {
  if (!ok(Answer))
    return true;
  return value(Answer).Status == HttpUnavailable || value(Answer).Status == HttpTooMany;
}

Awaitable<Result<HttpResponse>> StorePath::callThroughPeer(const StoreCall &Call,
                                                           Milliseconds Timeout) {
  const std::vector<Endpoint> Known = Peers();
  Result<HttpResponse> Answer =
      Error{ErrorKind::UpstreamUnavailable, "no peer reaches the store either"};
  if (Time.Now() < NoDetourUntil)
    co_return Answer;
  for (size_t Tried = 0; Tried < std::min(Known.size(), MostPeersTried); ++Tried) {
    const Endpoint &Peer = Known[NextPeer % Known.size()];
    Answer = co_await Through(Peer, Call.Request, Timeout);
    if (ok(Answer)) {
      LastAnswer = Time.Now();
      co_return Answer;
    }
    ++NextPeer;
    if (error(Answer).Kind == ErrorKind::UpstreamCut)
      co_return Answer; // it may have been carried out
  }
  NoDetourUntil = Time.Now() + DetourPause;
  noteFailure();
  co_return Answer;
}

bool StorePath::usesPeers() const { return FailuresInARow >= FailuresForRelay; }

bool StorePath::isStraight() const {
  const bool Fails = FailuresInARow > 0 && Time.Now() - LastDirectAnswer > FreshEnough;
  return !usesPeers() && LastDirectAnswer != TimePoint{} && !Fails;
}

// Calls straight and notes what that says of the store.
Awaitable<Result<HttpResponse>> StorePath::callStraight(const StoreCall &Call,
                                                        Milliseconds Timeout) {
  const TimePoint Begun = Time.Now();
  const bool IsPlain = Call.Wait.count() == 0;
  const auto Mark = IsPlain ? Out.emplace(Begun, 0) : Out.end();
  Result<HttpResponse> Answer = co_await Straight(Call.Request, Timeout);
  const TimePoint Now = Time.Now();
  if (IsPlain) {
    Out.erase(Mark);
    Observe(Now - Begun);
  }
  if (IsPlain && !Call.IsLarge)
    note(ok(Answer), std::chrono::duration_cast<Milliseconds>(Now - Begun), Timeout);
  if (!isTurnedAway(Answer)) {
    if (usesPeers())
      logEvent(events::StoreUp, {{"failures", std::to_string(FailuresInARow)}});
    FailuresInARow = 0;
    LastDirectAnswer = LastAnswer = Now;
    co_return Answer;
  }
  noteFailure();
  if (++FailuresInARow == FailuresForRelay)
    logEvent(events::StoreDown,
             {{"why", ok(Answer) ? "status " + std::to_string(value(Answer).Status)
                                 : "\"" + error(Answer).Detail + "\""}});
  co_return Answer;
}

Awaitable<void> StorePath::probeOnce() {
  StoreCall Call;
  Call.Request = ProbeRequest;
  Call.IsLarge = true; // says nothing of the typical time
  co_await callStraight(Call, ProbeTimeout);
}

Awaitable<void> StorePath::probe() {
  Probing = true;
  while (usesPeers()) {
    const Milliseconds Wanted = ProbePauseForPeer * Peers().size();
    co_await sleepFor(std::clamp(Wanted, LeastProbePause, MostProbePause));
    if (usesPeers())
      spawnLater(Where, probeOnce());
  }
  Probing = false;
}

Awaitable<Result<HttpResponse>> StorePath::call(StoreCall Call) {
  const Milliseconds Timeout = timeoutFor(Call);
  if (usesPeers()) {
    Result<HttpResponse> Relayed = co_await callThroughPeer(Call, Timeout);
    co_return Relayed;
  }
  Result<HttpResponse> Answer = co_await callStraight(Call, Timeout);
  if (!usesPeers())
    co_return Answer;
  if (!Probing)
    spawnLater(Where, probe());
  // What was refused surely was not done; a peer may be served.
  const bool Refused = ok(Answer) || error(Answer).Kind == ErrorKind::UpstreamUnavailable;
  if (!Refused)
    co_return Answer;
  Result<HttpResponse> Relayed = co_await callThroughPeer(Call, Timeout);
  if (!ok(Relayed) && error(Relayed).Kind == ErrorKind::UpstreamUnavailable)
    co_return Answer;
  co_return Relayed;
}

Awaitable<Result<HttpResponse>> StorePath::callForPeer(HttpRequest Request, Milliseconds Timeout) {
  if (!isStraight())
    co_return Error{ErrorKind::UpstreamUnavailable, "the store does not answer here either"};
  Result<HttpResponse> Answer = co_await Straight(std::move(Request), Timeout);
  if (ok(Answer) && isTurnedAway(Answer))
    co_return Error{ErrorKind::UpstreamUnavailable, "the store refuses here as well"};
  co_return Answer;
}

} // namespace valveshelf
