// SPDX-License-Identifier: Apache-2.0
// Batches revocations, writes them, and has the present scheduler hold them.
#include "cell/revocations.h"

#include "valveshelf/events.h"

#include <boost/asio.hpp>

#include <algorithm>

namespace valveshelf {
using namespace sched;

namespace {
// Bounds what cancellations of jobs that never existed cost the store and the scheduler.
constexpr double RevocationsPerSecond = 20;
constexpr double MaxBurst = 500;
constexpr size_t MaxBatch = 500;
constexpr int MaxBatchesInFlight = 4;
constexpr Milliseconds BatchInterval{50};
// Before a write with an unknown outcome or a scheduler that did not answer is tried again.
constexpr Milliseconds RetryPause{40};
const Error InDoubt{ErrorKind::OutcomeUnknown,
                    "the job does not exist, but it could not be ruled out in time that an earlier "
                    "submission is still carried out"};
const Error TooMany{ErrorKind::NotCarriedOut,
                    "too many cancellations of jobs that do not exist; this one was not recorded"};
} // namespace

Revocations::Revocations(Executor Where, KeyValueStore Store, Clock Time,
                         const CellSettings &Settings, HoldRevocations Hold)
    : Where(Where), Store(std::move(Store)), Time(std::move(Time)), Settings(Settings),
      Hold(std::move(Hold)), Tokens(MaxBurst) {}

bool Revocations::takeToken() {
  const TimePoint Now = Time.Now();
  const std::chrono::duration<double> Passed = Now - std::exchange(TokensAt, Now);
  Tokens = std::min(MaxBurst, Tokens + Passed.count() * RevocationsPerSecond);
  if (Tokens < 1)
    return false;
  Tokens -= 1;
  return true;
}

Awaitable<Result<Done>> Revocations::revoke(JobId Id, std::string Organisation, TimePoint Until) {
  if (!takeToken())
    co_return TooMany;
  auto Asked = std::make_shared<Pending>(Where, Until);
  Asked->What = {Id, std::move(Organisation)};
  Waiting.push_back(Asked);
  if (!std::exchange(IsGathering, true))
    spawnLater(Where, recordBatch());
  co_await Asked->Wake.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
  std::erase(Waiting, Asked);
  const Result<Done> Outcome = Asked->Outcome.value_or(InDoubt);
  logEvent(events::JobRevoked, {{"job", jobIdText(Id)}, {"proven", ok(Outcome) ? "yes" : "no"}});
  co_return Outcome;
}

Awaitable<void> Revocations::recordBatch() {
  if (const TimePoint Now = Time.Now(); NextBatchAt > Now)
    co_await sleepFor(std::chrono::ceil<Milliseconds>(NextBatchAt - Now));
  while (BatchesInFlight >= MaxBatchesInFlight)
    co_await sleepFor(RetryPause);
  std::vector<PendingPtr> Batch;
  std::vector<Revocation> Revoked;
  TimePoint Until{};
  for (; !Waiting.empty() && Batch.size() < MaxBatch; Waiting.pop_front()) {
    Batch.push_back(Waiting.front());
    Revoked.push_back(Batch.back()->What);
    Until = std::max(Until, Batch.back()->Until);
  }
  NextBatchAt = Time.Now() + BatchInterval;
  IsGathering = !Waiting.empty();
  if (IsGathering)
    spawnLater(Where, recordBatch());
  if (Batch.empty())
    co_return;
  ++BatchesInFlight;
  // The time keeps the keys of an earlier life of this process apart.
  const std::string Key =
      revocationKey(Settings.Member, Time.Wall().time_since_epoch().count(), ++LastBatch);
  const bool IsHeld =
      co_await record(Key, encodeRevocations(Revoked), Until) && co_await hold(Revoked, Until);
  --BatchesInFlight;
  if (!IsHeld)
    co_return; // the callers give up on their own
  for (const PendingPtr &One : Batch) {
    One->Outcome = Done{};
    One->Wake.cancel();
  }
}

// True once the record is durable.
Awaitable<bool> Revocations::record(const std::string &Key, const std::string &Bytes,
                                    TimePoint Until) {
  while (Time.Now() < Until) {
    Transaction Write;
    Write.Puts.push_back({Key, Bytes, 0, 0});
    const Result<TransactionResult> Written = co_await Store.Commit(std::move(Write));
    if (ok(Written))
      co_return value(Written).Applied;
    co_await sleepFor(RetryPause);
  }
  co_return false;
}

// True once the present scheduler holds the revocations and was the newest one after that: those
// that follow read the record.
Awaitable<bool> Revocations::hold(const std::vector<Revocation> &Batch, TimePoint Until) {
  while (Time.Now() < Until) {
    if (const uint64_t Term = co_await Hold(Batch); Term != 0) {
      const Result<KeyValue> Newest = co_await Store.Get(std::string(LeaderKey));
      if (ok(Newest) && value(Newest).Revision != 0)
        if (const Result<Leader> Read = decodeLeader(value(Newest).Value);
            ok(Read) && value(Read).Term == Term)
          co_return true;
    }
    co_await sleepFor(RetryPause);
  }
  co_return false;
}

} // namespace valveshelf
