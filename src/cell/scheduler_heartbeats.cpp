// SPDX-License-Identifier: Apache-2.0
// The scheduler's calls to workers: heartbeats, which renew leases and return reports, and orders
// to start and stop runs.
#include "cell/scheduler_runner.h"

#include "valveshelf/events.h"

#include <boost/asio.hpp>

#include <algorithm>
#include <utility>

namespace valveshelf {
namespace asio = boost::asio;
using namespace sched;

namespace {
constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);
// A worker with unsaved ended runs answers a long poll at once. Its next heartbeat is delayed
// instead, by a time that grows with the number of such workers and so bounds the heartbeats per
// second.
constexpr Milliseconds MinUnsavedDelay{120};
constexpr Milliseconds MaxUnsavedDelay{400};
constexpr std::chrono::microseconds UnsavedDelayPerWorker{2500};
} // namespace

// By the worker's clock, the end of the longest lease that may be given now; empty: none may be, or
// the clock has to be read again first. An order or heartbeat that is late carries the end as it
// was decided. The worker's clock may be behind the estimate, and the lease ends in time all the
// same.
std::optional<Milliseconds> SchedulerRunner::leaseUntil(const std::string &Id) const {
  const Milliseconds Lease =
      permittedLease(Evidence, Deps.Settings.Timing.WorkerLease, Deps.Time.Now());
  const Milliseconds Certain = Lease - driftDuring(clockAge(Id), Cell.Limits.ClockDrift);
  if (Lease == Milliseconds(0) || Certain < Lease / 2)
    return std::nullopt;
  return workerTime(Id) + Certain;
}

// The longest lease is on its way to the worker.
void SchedulerRunner::noteLeased(const std::string &Id) {
  const Milliseconds Lease =
      permittedLease(Evidence, Deps.Settings.Timing.WorkerLease, Deps.Time.Now());
  workerLeased(Cell, Id, latestLeaseEnd(Deps.Time.Now(), Lease, Cell.Limits));
}

Steady::duration SchedulerRunner::clockAge(const std::string &Id) const {
  const auto Found = HeartbeatStates.find(Id);
  return Found == HeartbeatStates.end() ? Steady::duration(0)
                                        : Deps.Time.Now() - Found->second.ReadAt;
}

Milliseconds SchedulerRunner::workerTime(const std::string &Id) const {
  const auto Found = HeartbeatStates.find(Id);
  if (Found == HeartbeatStates.end())
    return Milliseconds(0);
  const auto Since = Deps.Time.Now() - Found->second.ReadAt;
  return Found->second.WorkerClock + std::chrono::duration_cast<Milliseconds>(Since);
}

// Answers to calls that were meant for an earlier life of the worker tell nothing about this one.
bool SchedulerRunner::isForCurrentLife(const std::string &Id, uint64_t Fence) const {
  return compareToken(Cell, Id, Fence) != TokenState::OtherLife;
}

// False if the call was refused for the token of a later one of this scheduler.
bool SchedulerRunner::isRefusedForNewerScheduler(const std::string &Id, uint64_t Fence,
                                                 const Error &Why) const {
  return Why.Kind == ErrorKind::NotOwner && compareToken(Cell, Id, Fence) == TokenState::Current;
}

void SchedulerRunner::startHeartbeats() {
  for (const auto &[Id, On] : Cell.Workers) {
    if (!On.IsSelected)
      continue;
    if (HeartbeatLoops.insert(Id).second) {
      spawnLater(Deps.Where, heartbeatLoop(shared_from_this(), Id));
    } else if (!On.HasReported) {
      // Removed and listed again while its loop is waiting. It may be a new life, to which the
      // clock of the one that was removed does not apply.
      HeartbeatStates.erase(Id);
      wakeHeartbeatLoop(Id);
    }
  }
}

// A lost long poll does not make a worker silent; the loop sends an immediate heartbeat next, and
// the worker is marked silent if that fails as well. Nor does a heartbeat that was lost before one
// that was answered.
void SchedulerRunner::heartbeatFailed(const std::string &Id, const Error &Why, bool MayBeHealthy) {
  const bool Answered = Cell.Workers.at(Id).IsResponsive;
  if (Answered)
    noteLoss(Losses, Id, Deps.Time.Now());
  if (MayBeHealthy)
    return;
  if (Answered)
    logEvent(events::WorkerSilent, {{"worker", Id}, {"why", "\"" + Why.Detail + "\""}});
  workerSilent(Cell, Id, Deps.Time.Now());
}

Awaitable<SchedulerRunner::HeartbeatOutcome> SchedulerRunner::sendHeartbeat(std::string Id,
                                                                            Milliseconds Wait) {
  auto Found = Cell.Workers.find(Id);
  if (Found == Cell.Workers.end())
    co_return HeartbeatOutcome::Ended;
  HeartbeatRequest Order;
  Order.To = {Id, Found->second.Info.Address};
  Order.Fence = fencingToken(Cell, Found->second);
  Order.ForgetThrough = beginAcknowledgement(Found->second);
  Order.Wait = Wait;
  Order.Timeout = Deps.Settings.Timing.HeartbeatTimeout;
  // The lease of an unresponsive worker is not renewed: a renewal that may or may not arrive would
  // postpone indefinitely the time at which its runs are known to have ended.
  if (HeartbeatStates.count(Id) && Found->second.IsResponsive)
    Order.LeaseUntil = leaseUntil(Id);
  if (Order.LeaseUntil)
    noteLeased(Id);
  const uint64_t Forgotten = Order.ForgetThrough;
  const uint64_t Fence = Order.Fence;
  const TimePoint SentAt = Deps.Time.Now();
  const bool IsLongPoll = Wait.count() > 0;
  if (IsLongPoll)
    LongPolls[Id] = SentAt;
  Result<WorkerReport> Report = co_await Deps.Workers.Heartbeat(std::move(Order));
  if (IsLongPoll)
    LongPolls.erase(Id);
  if (Stopped)
    co_return HeartbeatOutcome::Ended;
  Found = Cell.Workers.find(Id); // may have been removed meanwhile
  if (Found == Cell.Workers.end())
    co_return HeartbeatOutcome::Ended;
  const LoopSection Work(Loop, LoopWork::Reports);
  const TimePoint Now = Deps.Time.Now();
  Effects Out;
  bool IsOvertaken = false;
  if (ok(Report)) {
    const LifeOrder Life = workerReported(Cell, Id, value(Report), SentAt, Now, Out);
    if (Life == LifeOrder::Newer)
      HeartbeatStates.erase(Id);
    if (Life == LifeOrder::Same) {
      HeartbeatState &State = HeartbeatStates[Id];
      State.WorkerClock = value(Report).WorkerClock;
      State.ReadAt = Now;
      State.AnsweredSentAt = std::max(State.AnsweredSentAt, SentAt);
      // Of two calls the first has no answer, and may be carried out by a later life.
      if (!value(Report).WasRepeated)
        endsForgotten(Cell, Id, Fence, Forgotten);
    }
  } else if (!isForCurrentLife(Id, Fence)) {
    co_return HeartbeatOutcome::NoAnswer;
  } else if (error(Report).Kind == ErrorKind::NotOwner) {
    Out.Deposed = isRefusedForNewerScheduler(Id, Fence, error(Report));
    // Refused for the token of a later start: the worker answers, and need not be asked at once.
    IsOvertaken = compareToken(Cell, Id, Fence) == TokenState::Superseded;
  } else if (error(Report).Kind == ErrorKind::NotFound) {
    logEvent(events::WorkerReplaced, {{"worker", Id}});
    workerEnded(Cell, Id, Now, Out);
  } else {
    const auto State = HeartbeatStates.find(Id);
    const bool HasAnsweredLater =
        State != HeartbeatStates.end() && State->second.AnsweredSentAt > SentAt;
    heartbeatFailed(Id, error(Report), IsLongPoll || HasAnsweredLater);
  }
  executeEffects(Out);
  schedulePlacement();
  if (Stopped || !Cell.Workers.count(Id))
    co_return HeartbeatOutcome::Ended;
  co_return ok(Report) || IsOvertaken ? HeartbeatOutcome::Answered : HeartbeatOutcome::NoAnswer;
}

// Waits until the worker's ended runs are saved or a run is started there, for at most \p Most.
Awaitable<void> SchedulerRunner::waitForWake(SelfPtr Self, std::string Id, Milliseconds Most) {
  SteadyTimer Wake(Self->Deps.Where, Most);
  Self->WakeTimers[Id] = &Wake;
  co_await Wake.async_wait(AsTuple);
  Self->WakeTimers.erase(Id);
}

Milliseconds SchedulerRunner::unsavedHeartbeatDelay() const {
  const auto Wanted = UnsavedDelayPerWorker * Cell.SlotsWithUnsavedEnds.size();
  return std::clamp(std::chrono::duration_cast<Milliseconds>(Wanted), MinUnsavedDelay,
                    MaxUnsavedDelay);
}

void SchedulerRunner::wakeHeartbeatLoop(const std::string &Id) {
  if (const auto Found = WakeTimers.find(Id); Found != WakeTimers.end())
    Found->second->cancel();
}

// True if the worker is idle and everything is acknowledged, so that long polls can be suspended
// until a run is started there.
bool SchedulerRunner::canSuspendHeartbeats(const Worker &On) const {
  const auto Known = HeartbeatStates.find(On.Info.Id);
  return Known != HeartbeatStates.end() && On.HasReported && isIdle(On) &&
         On.ForgottenThrough >= On.LastEndNumber &&
         Deps.Time.Now() - Known->second.LastBusyAt > Deps.Settings.Timing.HeartbeatWait;
}

Awaitable<void> SchedulerRunner::heartbeatLoop(SelfPtr Self, std::string Id) {
  HeartbeatOutcome Last = HeartbeatOutcome::Answered;
  while (!Self->Stopped) {
    auto Found = Self->Cell.Workers.find(Id);
    if (Found != Self->Cell.Workers.end() &&
        (!Found->second.UnsavedEnds.empty() || Found->second.AwaitsJobs)) {
      // Wakes when the known ends are saved; the delay applies while the store is unavailable.
      co_await waitForWake(Self, Id, Self->unsavedHeartbeatDelay());
      Found = Self->Cell.Workers.find(Id);
    }
    if (Found != Self->Cell.Workers.end() && Self->canSuspendHeartbeats(Found->second)) {
      co_await waitForWake(Self, Id, IdleHeartbeatInterval);
      Found = Self->Cell.Workers.find(Id);
    }
    if (Found == Self->Cell.Workers.end() || Self->Stopped)
      break;
    const auto State = Self->HeartbeatStates.find(Id);
    const bool First = State == Self->HeartbeatStates.end();
    if (!First && !isIdle(Found->second))
      State->second.LastBusyAt = Self->Deps.Time.Now();
    const bool Waits = !First && Last == HeartbeatOutcome::Answered &&
                       Found->second.UnsavedEnds.empty() && !Found->second.AwaitsJobs &&
                       !Self->canSuspendHeartbeats(Found->second);
    const Milliseconds Wait = Waits ? Self->Deps.Settings.Timing.HeartbeatWait : Milliseconds(0);
    Last = co_await Self->sendHeartbeat(Id, Wait);
    if (Last == HeartbeatOutcome::Ended)
      break;
    const Worker &After = Self->Cell.Workers.at(Id);
    if (!After.IsResponsive) {
      if (!After.Listed && After.Attempts.empty() && Self->Deps.Time.Now() > After.LeaseEnd)
        break;
      co_await sleepFor(RetryPause);
    }
  }
  Self->HeartbeatLoops.erase(Id);
  Self->HeartbeatStates.erase(Id);
}

Awaitable<void> SchedulerRunner::sendHeartbeatNow(SelfPtr Self, std::string Id) {
  if (!Self->Stopped)
    co_await Self->sendHeartbeat(Id, Milliseconds(0));
}

// True if a run of the worker has taken longer than expected.
static bool isEndOverdue(const Worker &On, TimePoint Now) {
  return std::any_of(On.Attempts.begin(), On.Attempts.end(), [&](const auto &Entry) {
    const Attempt &Run = Entry.second;
    return Run.Phase == AttemptPhase::Running && Run.Expected.count() > 0 &&
           Now - Run.StartedAt > Run.Expected;
  });
}

// Called when calls begin to be lost, and when they no longer are.
void SchedulerRunner::logCallLosses() const {
  if (!WereCallsLost)
    return logEvent(events::CallsAnswered, {});
  logEvent(events::CallsLost,
           {{"workers", std::to_string(Losses.Last.size())},
            {"start_timeout_ms", std::to_string(startTimeout(CallTimeout, true).count())}});
}

// Sends heartbeats to busy workers whose long poll may have been lost.
void SchedulerRunner::recheckBusyWorkers() {
  const TimePoint Now = Deps.Time.Now();
  const bool AreLost = areCallsBeingLost(Losses, Cell.Workers.size(), Now);
  if (AreLost != std::exchange(WereCallsLost, AreLost))
    logCallLosses();
  if (!AreLost || isLate())
    return;
  std::vector<PolledWorker> Busy;
  for (const auto &[Id, AskedAt] : LongPolls) {
    const auto Found = Cell.Workers.find(Id);
    if (Found != Cell.Workers.end() && !Found->second.Attempts.empty())
      Busy.push_back({Id, AskedAt, isEndOverdue(Found->second, Now)});
  }
  for (const std::string &Id : selectRechecks(std::move(Busy), Now)) {
    LongPolls[Id] = Now;
    spawnLater(Deps.Where, sendHeartbeatNow(shared_from_this(), Id));
  }
}

namespace {
/// Ends a start that is in progress with its destruction.
struct StartInProgress {
  StartPacing &Pacing;
  const uint64_t Number;
  bool IsAnswered = false;
  ~StartInProgress() { noteFinished(Pacing, Number, IsAnswered); }
};
} // namespace

Awaitable<void> SchedulerRunner::sendStart(SelfPtr Self, Effects::Start Order, uint64_t Number) {
  StartInProgress Progress{Self->Pacing, Number};
  const auto Found = Self->Cell.Workers.find(Order.Worker);
  if (Found == Self->Cell.Workers.end() || Self->Stopped || Self->wasSuspended())
    co_return;
  // The worker may have started again since the order was decided.
  const auto Entry = Found->second.Attempts.find(Order.Run);
  if (Entry == Found->second.Attempts.end())
    co_return;
  const std::optional<Milliseconds> LeaseUntil = Self->leaseUntil(Order.Worker);
  if (!LeaseUntil || !mayStartRuns(Self->Evidence, Self->Deps.Time.Now())) {
    Effects Out;
    startWithheld(Self->Cell, Order.Worker, Order.Run, Self->Deps.Time.Now(), Out);
    if (!LeaseUntil)
      Out.ReportRequests.push_back(Order.Worker);
    co_return Self->executeEffects(Out);
  }
  StartRun Start;
  Start.To = {Order.Worker, Found->second.Info.Address};
  Start.Run = Order.Run;
  Start.Job = Order.Job;
  Start.LeaseUntil = *LeaseUntil;
  Start.Fence = raiseTokenForStart(Self->Cell, Found->second);
  Start.Checkpoint = std::move(Order.Checkpoint);
  Start.Ticket = std::move(Order.Ticket);
  // Only the first order has a short timeout: after the second one the run is stopped.
  const int Sends = Entry->second.Sends;
  const bool IsRepeat = Sends > 1;
  const bool Lost =
      areCallsBeingLost(Self->Losses, Self->Cell.Workers.size(), Self->Deps.Time.Now());
  Start.Timeout = startTimeout(Self->CallTimeout, Lost && !IsRepeat && !Self->isLate());
  const bool IsEarly = Start.Timeout < Self->CallTimeout.Current;
  startSent(Self->Cell, Order.Worker, Order.Run, Start.Fence);
  Self->noteLeased(Order.Worker);
  Self->wakeHeartbeatLoop(Order.Worker);
  const TimePoint SentAt = Self->Deps.Time.Now();
  const uint64_t Fence = Start.Fence;
  const uint64_t Call = noteSent(Self->CallTimeout);
  const StartAnswer Answer = co_await Self->Deps.Workers.Start(std::move(Start));
  const StartResult What = Answer.Result;
  const Steady::duration Took = Self->Deps.Time.Now() - SentAt;
  Self->Deps.Metrics.observe(metrics::StartSeconds, Took);
  Self->Deps.Metrics.observe(metrics::StageSeconds, Took, "start");
  Self->Deps.Metrics.count(metrics::Starts, std::to_string(static_cast<int>(What)));
  if (Self->Stopped)
    co_return;
  const LoopSection Work(Self->Loop, LoopWork::Orders);
  const bool Answered = What != StartResult::Unknown;
  Progress.IsAnswered = Answered;
  ++Self->Loop.Starts;
  Self->Loop.UnansweredStarts += Answered ? 0 : 1;
  noteResult(Self->CallTimeout, Call,
             Answered  ? CallResult::Answered
             : IsEarly ? CallResult::EarlyTimeout
                       : CallResult::Timeout);
  if (Answered && What != StartResult::NotSent)
    noteDuration(Self->CallTimeout, Took);
  if (What != StartResult::Started)
    logEvent(events::StartNotConfirmed, {{"task", toString(Order.Run.Task)},
                                         {"run", std::to_string(Order.Run.Run)},
                                         {"worker", Order.Worker},
                                         {"result", std::string(toString(What))},
                                         {"sends", std::to_string(Sends)},
                                         {"repeated", Answer.WasRepeated ? "yes" : "no"},
                                         {"token", std::to_string(Fence)}});
  // An answer that only came after an early timeout is no loss.
  if (!Answered && !IsEarly)
    noteLoss(Self->Losses, Order.Worker, Self->Deps.Time.Now());
  if (!Self->isForCurrentLife(Order.Worker, Fence))
    co_return;
  Effects Out;
  const TimePoint Now = Self->Deps.Time.Now();
  if (Answer.WorkerClock && orderAnswered(Self->Cell, Order.Worker, *Answer.WorkerClock, SentAt,
                                          Now, Out) == LifeOrder::Newer)
    Self->HeartbeatStates.erase(Order.Worker);
  else {
    if (Answer.WasRepeated)
      startRepeated(Self->Cell, Order.Worker, Order.Run);
    startAnswered(Self->Cell, Order.Worker, Order.Run,
                  resultOfStart(What, compareToken(Self->Cell, Order.Worker, Fence)), Now, Out);
  }
  Self->executeEffects(Out);
  if (What != StartResult::Started || Self->Cell.WasCutShort)
    Self->schedulePlacement();
}

Awaitable<void> SchedulerRunner::sendStop(SelfPtr Self, Effects::Stop Order) {
  const auto Found = Self->Cell.Workers.find(Order.Worker);
  if (Found == Self->Cell.Workers.end() || Self->Stopped)
    co_return;
  logEvent(events::RunStopped, {{"task", toString(Order.Run.Task)},
                                {"run", std::to_string(Order.Run.Run)},
                                {"worker", Order.Worker},
                                {"why", "\"" + Order.Why + "\""}});
  const uint64_t Fence = fencingToken(Self->Cell, Found->second);
  StopRun Stop{
      {Order.Worker, Found->second.Info.Address}, Order.Run, Fence, Self->CallTimeout.Current};
  Result<Done> Answer = co_await Self->Deps.Workers.Stop(std::move(Stop));
  if (Self->Stopped || !Self->isForCurrentLife(Order.Worker, Fence))
    co_return;
  const LoopSection Work(Self->Loop, LoopWork::Orders);
  Effects Out;
  if (ok(Answer))
    stopAnswered(Self->Cell, Order.Worker, Order.Run, true, Self->Deps.Time.Now(), Out);
  else if (error(Answer).Kind == ErrorKind::NotOwner)
    Out.Deposed = Self->isRefusedForNewerScheduler(Order.Worker, Fence, error(Answer));
  else if (error(Answer).Kind == ErrorKind::NotFound)
    workerEnded(Self->Cell, Order.Worker, Self->Deps.Time.Now(), Out);
  else
    stopAnswered(Self->Cell, Order.Worker, Order.Run, false, Self->Deps.Time.Now(), Out);
  Self->executeEffects(Out);
}

} // namespace valveshelf
