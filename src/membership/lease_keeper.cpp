// SPDX-License-Identifier: Apache-2.0
// Acquires and renews this process's store lease and the member record attached to it.
#include "valveshelf/events.h"
#include "valveshelf/membership.h"

#include <boost/asio.hpp>

#include <algorithm>

namespace valveshelf {
namespace {
constexpr Milliseconds RetryPause{200};
// Fraction of the store's write rate that the renewals of all members may use.
constexpr double RenewalShare = 0.25;
constexpr int RenewalsPerTtl = 3;
} // namespace

LeaseKeeper::LeaseKeeper(StoreOps Store, Clock Time, valveshelf::Timing Times,
                         double WritesPerSecond, MemberInfo Self, SharedAuthority &Shared,
                         Journal &Log, CellWatch &Watch)
    : Store(std::move(Store)), Time(std::move(Time)), Times(Times),
      WritesPerSecond(WritesPerSecond), Self(std::move(Self)), Shared(Shared), Log(Log),
      Watch(Watch) {}

Milliseconds LeaseKeeper::leaseTtl(size_t Members) const {
  const double Seconds =
      static_cast<double>(Members * RenewalsPerTtl) / (RenewalShare * WritesPerSecond);
  const Milliseconds Needed(static_cast<int64_t>(Seconds * 1000));
  return std::max(Times.Lease, Needed);
}

Awaitable<Result<uint64_t>> LeaseKeeper::writeRecord() {
  const std::string Text = encodeMember(Self);
  Result<uint64_t> Put = co_await Store.Put(memberKey(Self.Name), Text, RecordVersion, Lease);
  if (!ok(Put) && error(Put).Kind == ErrorKind::OutcomeUnknown) {
    Result<StoreItem> Got = co_await Store.Get(memberKey(Self.Name));
    if (ok(Got) && value(Got).Value == Text)
      co_return value(Got).Version;
  }
  co_return Put;
}

Awaitable<Result<Done>> LeaseKeeper::acquire() {
  const Milliseconds Ttl = leaseTtl(Watch.view()->Members.size() + 1);
  const TimePoint SentAt = Time.Now();
  Result<uint64_t> Granted = co_await Store.GrantLease(Ttl);
  if (!ok(Granted))
    co_return error(Granted);
  Lease = value(Granted);
  Result<StoreItem> Existing = co_await Store.Get(memberKey(Self.Name));
  if (!ok(Existing))
    co_return error(Existing);
  RecordVersion = value(Existing).Version;
  if (RecordVersion != 0) {
    const Result<MemberInfo> Other = decodeMember(value(Existing).Value);
    if (ok(Other) && value(Other).Peers != Self.Peers)
      co_return Error{ErrorKind::Conflict,
                      "member name " + Self.Name + " is in use at " + toString(value(Other).Peers)};
  }
  Result<uint64_t> Put = co_await writeRecord();
  if (!ok(Put))
    co_return error(Put);
  RecordVersion = value(Put);
  Watch.applyLocalWrite({memberKey(Self.Name), encodeMember(Self), RecordVersion});
  // A claimant may have read the journal while there was no lease. Its seal fails once this entry
  // is stored; only then may the new lease grant authority.
  const Durability Resumed = co_await Log.barrier();
  if (Resumed != Durability::Stored)
    co_return Error{ErrorKind::NotOwner, "the journal of this process is sealed"};
  std::lock_guard Lock(Shared.Mutex);
  onLeaseRenewed(Shared.Own, SentAt, Ttl, Times.Margin);
  co_return Done{};
}

Awaitable<Result<Done>> LeaseKeeper::join() {
  while (!Stopped) {
    Result<Done> Acquired = co_await acquire();
    if (ok(Acquired)) {
      logEvent(events::LeaseGranted, {{"log", Self.Log}});
      co_return Done{};
    }
    const ErrorKind Kind = error(Acquired).Kind;
    if (Kind == ErrorKind::Conflict || Kind == ErrorKind::NotOwner)
      co_return error(Acquired);
    co_await sleepFor(RetryPause);
  }
  co_return Error{ErrorKind::Stopping, "stopped before joining the cell"};
}

Awaitable<void> LeaseKeeper::run() {
  while (!Stopped && !Log.fenced()) {
    const Milliseconds Ttl = leaseTtl(Watch.view()->Members.size());
    const TimePoint SentAt = Time.Now();
    Result<Done> Renewed = co_await Store.RenewLease(Lease);
    if (Stopped)
      co_return;
    Log.reportStoreStatus(ok(Renewed) || error(Renewed).Kind == ErrorKind::NotFound);
    if (ok(Renewed)) {
      std::lock_guard Lock(Shared.Mutex);
      onLeaseRenewed(Shared.Own, SentAt, Ttl, Times.Margin);
    } else if (error(Renewed).Kind == ErrorKind::NotFound) {
      logEvent(events::LeaseLost, {{"log", Self.Log}});
      {
        std::lock_guard Lock(Shared.Mutex);
        onLeaseLost(Shared.Own);
      }
      if (ok(co_await acquire()))
        logEvent(events::LeaseGranted, {{"log", Self.Log}});
    }
    const bool Failed = !ok(Renewed) && error(Renewed).Kind != ErrorKind::NotFound;
    co_await sleepFor(Failed ? RetryPause : Ttl / RenewalsPerTtl);
  }
}

Awaitable<void> LeaseKeeper::announceLeaving() {
  Self.Leaving = true;
  Result<uint64_t> Put = co_await writeRecord();
  if (!ok(Put))
    co_return;
  RecordVersion = value(Put);
  Watch.applyLocalWrite({memberKey(Self.Name), encodeMember(Self), RecordVersion});
}

Awaitable<void> LeaseKeeper::leave() {
  Stopped = true;
  co_await Store.RevokeLease(Lease);
}

void LeaseKeeper::stop() { Stopped = true; }

} // namespace valveshelf
