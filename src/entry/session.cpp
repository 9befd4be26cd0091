// SPDX-License-Identifier: Apache-2.0
// Construction and lifecycle of one incarnation of an entry process.
#include "valveshelf/session.h"

#include "valveshelf/events.h"

#include <boost/asio.hpp>

#include <algorithm>

namespace valveshelf {
namespace {
constexpr Milliseconds FenceCheckInterval{500};
// Fraction of the store write budget available to journals. The rest is reserved for leases, claims
// and configuration.
constexpr double JournalShare = 0.6;
constexpr double BurstSeconds = 2.0;

MemberInfo memberOf(const EntrySettings &Settings, std::string LogId) {
  MemberInfo Self;
  Self.Name = Settings.Member;
  Self.Log = std::move(LogId);
  Self.Partner = Settings.Partner;
  Self.Zone = Settings.Zone;
  Self.Callers = Settings.Callers;
  Self.Operators = Settings.Operators;
  Self.Peers = Settings.Peers;
  return Self;
}

DecisionLimits limitsOf(const Timing &Times) {
  DecisionLimits Limits;
  Limits.TaskLease = Times.TaskLease;
  Limits.SettleTime = Times.WorkerTimeout + Times.Margin;
  Limits.LeaseMargin = Times.Margin * 2;
  return Limits;
}
} // namespace

Session::Session(SessionTools Tools, std::string LogId)
    : Tools(std::move(Tools)), Self(memberOf(this->Tools.Settings, std::move(LogId))),
      Budget(this->Tools.Settings.WritesPerSecond, this->Tools.Settings.WritesPerSecond),
      Promises(this->Tools.Peers, this->Tools.Time, this->Tools.Settings.Timing, Self, Shared,
               this->Tools.Watch),
      Log(this->Tools.Where, Self.Log, this->Tools.Store, this->Tools.Time, JournalLimits{}, Budget,
          [this](std::vector<wire::JournalEntry> Entries) {
            return Promises.witness(std::move(Entries));
          }),
      Lease(this->Tools.Store, this->Tools.Time, this->Tools.Settings.Timing,
            this->Tools.Settings.WritesPerSecond, Self, Shared, Log, this->Tools.Watch),
      Owned(ShardTools{this->Tools.Where, this->Tools.Time, this->Tools.Settings.Timing,
                       limitsOf(this->Tools.Settings.Timing), this->Tools.Settings.Shards, Self.Log,
                       this->Tools.Workers, this->Tools.Store, this->Tools.Peers, Log, Shared,
                       this->Tools.Watch, this->Tools.Directory, this->Tools.Config},
            Self, Promises) {
  Promises.attach(Log);
}

Awaitable<Result<Done>> Session::join() {
  updateWriteRate();
  spawnLater(Tools.Where, Log.run());
  Result<Done> Joined = co_await Lease.join();
  if (!ok(Joined)) {
    Log.stop();
    co_return Joined;
  }
  spawnLater(Tools.Where, Lease.run());
  spawnLater(Tools.Where, Promises.run());
  spawnLater(Tools.Where, Owned.run());
  spawnLater(Tools.Where, watchLoop());
  co_return Done{};
}

// Splits the journals' share of the store write budget evenly among the members.
void Session::updateWriteRate() {
  const EntrySettings &Settings = Tools.Settings;
  const size_t Members = std::max<size_t>(1, Tools.Watch.view()->Members.size());
  const double Rate =
      Settings.WritesPerSecond * Settings.WriteShare * JournalShare / static_cast<double>(Members);
  Budget.setRate(Rate, std::max(1.0, Rate * BurstSeconds));
}

Awaitable<void> Session::watchLoop() {
  while (!Abandoned) {
    updateWriteRate();
    if (Log.fenced()) {
      logEvent(events::Fenced, {{"log", Self.Log}});
      abandon();
    }
    co_await sleepFor(FenceCheckInterval);
  }
}

bool Session::hasEnded() const { return Abandoned; }

void Session::abandon() {
  {
    std::lock_guard Lock(Shared.Mutex);
    Shared.Own.Fenced = true;
  }
  Owned.stop();
  Promises.stop();
  Lease.stop();
  Log.stop();
  Abandoned = true;
}

bool Session::mayAct() { return Shared.mayActAt(Tools.Time.Now()); }

bool Session::hasStoppedSending() const { return Abandoned && Owned.startsInFlight() == 0; }

Awaitable<size_t> Session::leave() {
  co_await Lease.announceLeaving();
  const size_t Left = co_await Owned.releaseAll();
  const bool Clean = Left == 0;
  if (Clean && Log.storeUp())
    co_await Owned.eraseJournal();
  Promises.stop();
  if (Log.storeUp())
    co_await Lease.leave();
  abandon();
  co_return Left;
}

} // namespace valveshelf
