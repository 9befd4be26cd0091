// SPDX-License-Identifier: Apache-2.0
// Lane selection. Long requests never occupy all lanes.
#include "cell/advice_lanes.h"

#include "valveshelf/events.h"

#include <algorithm>
#include <utility>

namespace valveshelf {
using namespace sched;

namespace {
// Requests that are expected to take longer count as long.
constexpr Milliseconds LongRequestThreshold{150};
// Lanes reserved for short requests.
constexpr size_t ShortRequestLanes = 2;
// Initial backoff of a failed lane, where the request may still be in progress. Doubles with each
// consecutive failure.
constexpr Milliseconds LaneBackoff{700};
constexpr int MaxBackoffDoublings = 2;
// Part of a request's timeout.
constexpr Milliseconds TimeoutSlack{400};
constexpr int MaxTries = 3;
} // namespace

AdviceLanes::AdviceLanes(Executor Where, Clock Time, AskThrough Ask, Answered OnAnswer)
    : Where(Where), Time(std::move(Time)), Ask(std::move(Ask)), OnAnswer(std::move(OnAnswer)),
      BackoffTimer(Where) {}

void AdviceLanes::setLanes(const std::set<std::string> &Names) {
  std::erase_if(Lanes, [&](const auto &L) { return !L.second.Busy && !Names.count(L.first); });
  for (const std::string &Name : Names)
    Lanes.try_emplace(Name);
  dispatch();
}

void AdviceLanes::add(Effects::AdviceRequest Request) {
  enqueue({std::move(Request), Time.Now(), 0});
  dispatch();
}

void AdviceLanes::enqueue(PendingRequest What) {
  const QueueKey Place{What.Request.IsLate, !What.Request.IsFirst, What.Request.Priority,
                       What.Request.HasNotBegun, ++NextNumber};
  Requests &Queue = Queues[What.Request.Service];
  Queue.emplace(Place, std::move(What));
}

void AdviceLanes::stop() {
  Stopped = true;
  *Alive = false;
  BackoffTimer.cancel();
  Queues.clear();
}

bool AdviceLanes::isLong(const Effects::AdviceRequest &Request) const {
  return Request.ExpectedTime > LongRequestThreshold;
}

size_t AdviceLanes::maxLongInFlight() const {
  return Lanes.size() > ShortRequestLanes ? Lanes.size() - ShortRequestLanes : 1;
}

// Prefers lanes whose last request succeeded, so that with few requests in a large cell unreachable
// members are not tried over and over.
AdviceLanes::LaneChoice AdviceLanes::chooseLane() {
  const TimePoint Now = Time.Now();
  LaneChoice Best{Lanes.end()};
  for (auto At = Lanes.begin(); At != Lanes.end(); ++At) {
    const Lane &Of = At->second;
    if (Of.Busy)
      continue;
    if (Of.BackoffUntil > Now) {
      Best.BackoffEnd = std::min(Best.BackoffEnd, Of.BackoffUntil);
      continue;
    }
    if (Of.LastSucceeded)
      return {At};
    if (Best.Free == Lanes.end() || Of.ConsecutiveFailures < Best.Free->second.ConsecutiveFailures)
      Best.Free = At;
  }
  return Best;
}

std::optional<std::pair<std::map<std::string, AdviceLanes::Requests>::iterator,
                        AdviceLanes::Requests::iterator>>
AdviceLanes::next() {
  const bool AllowsLong = LongInFlight < maxLongInFlight();
  std::optional<std::pair<std::map<std::string, Requests>::iterator, Requests::iterator>> Best;
  std::pair<size_t, QueueKey> BestRank;
  for (auto Of = Queues.begin(); Of != Queues.end(); ++Of) {
    const auto First = std::find_if(Of->second.begin(), Of->second.end(), [&](const auto &Entry) {
      return AllowsLong || !isLong(Entry.second.Request);
    });
    if (First == Of->second.end())
      continue;
    const auto Used = InFlight.find(Of->first);
    const std::pair Rank(Used == InFlight.end() ? size_t(0) : Used->second, First->first);
    if (!Best || Rank < BestRank) {
      Best = {Of, First};
      BestRank = Rank;
    }
  }
  return Best;
}

// Replaces an earlier call; the largest time ends it.
void AdviceLanes::dispatchAt(TimePoint When) {
  if (When == DispatchesAt)
    return;
  DispatchesAt = When;
  if (When == TimePoint::max()) {
    BackoffTimer.cancel();
    return;
  }
  BackoffTimer.expires_after(When - Time.Now());
  BackoffTimer.async_wait([this, StillAlive = Alive, When](boost::system::error_code Cancelled) {
    if (Cancelled || !*StillAlive || DispatchesAt != When)
      return;
    DispatchesAt = TimePoint::max();
    dispatch();
  });
}

void AdviceLanes::dispatch() {
  while (!Stopped) {
    if (Queues.empty())
      return dispatchAt(TimePoint::max());
    const auto [Free, BackoffEnd] = chooseLane();
    if (Free == Lanes.end())
      return dispatchAt(BackoffEnd);
    const auto Next = next();
    if (!Next)
      return;
    const auto &[Queue, Request] = *Next;
    LongInFlight += isLong(Request->second.Request) ? 1 : 0;
    ++InFlight[Queue->first];
    Free->second.Busy = true;
    spawnLater(Where, ask(Free->first, std::move(Request->second)));
    Queue->second.erase(Request);
    if (Queue->second.empty())
      Queues.erase(Queue);
  }
}

void AdviceLanes::logRetry(const PendingRequest &What, const std::string &Name,
                           const Error &Why) const {
  const auto Backoff = Lanes.at(Name).BackoffUntil - Time.Now();
  logEvent(events::AdviceRetried,
           {{"step", toString(What.Request.Step)},
            {"through", Name},
            {"tries", std::to_string(What.Tries)},
            {"why", "\"" + Why.Detail + "\""},
            {"backoff_ms", std::to_string(std::chrono::ceil<Milliseconds>(Backoff).count())}});
}

Awaitable<void> AdviceLanes::ask(std::string Name, PendingRequest What) {
  const auto StillAlive = Alive;
  const Milliseconds Timeout = What.Request.ExpectedTime * 3 / 2 + TimeoutSlack;
  Result<Advice> Answer = co_await Ask(Name, What.Request.Step, What.Request.Workers, Timeout);
  if (!*StillAlive)
    co_return;
  LongInFlight -= isLong(What.Request) ? 1 : 0;
  if (const auto Used = InFlight.find(What.Request.Service); --Used->second == 0)
    InFlight.erase(Used);
  Lane &Used = Lanes[Name];
  Used.Busy = false;
  Used.LastSucceeded = ok(Answer);
  if (ok(Answer))
    Used.ConsecutiveFailures = 0;
  else
    Used.BackoffUntil =
        Time.Now() + LaneBackoff * (1 << std::min(Used.ConsecutiveFailures++, MaxBackoffDoublings));
  if (!ok(Answer) && ++What.Tries < MaxTries && Lanes.size() > 1) {
    logRetry(What, Name, error(Answer));
    enqueue(std::move(What));
  } else
    OnAnswer(What.Request, Answer, Name, Time.Now() - What.AddedAt);
  dispatch();
}

} // namespace valveshelf
