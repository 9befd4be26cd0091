// SPDX-License-Identifier: Apache-2.0
// What a scheduler says to workers: calls that they hold and answer with what they hold, looks,
// orders to start and to stop.
#include "cell/scheduler_runner.h"

#include "valveshelf/events.h"

#include <boost/asio.hpp>

#include <algorithm>

namespace valveshelf {
namespace asio = boost::asio;
using namespace sched;

namespace {
constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);
// A worker whose ends wait to be saved answers at once, so it is asked again after a pause, by
// which a further end is seen late. It grows with the workers that wait, which bounds the looks a
// second.
constexpr Milliseconds LeastUnsavedPause{120};
constexpr Milliseconds MostUnsavedPause{400};
constexpr std::chrono::microseconds PauseForUnsaved{2500};
// While calls get lost, a worker whose answer is held is looked at this often. Without it the ends
// on a worker whose held call was lost are seen only when that call is given up.
constexpr Milliseconds LookAgain{300};
// Such looks in one tick; keeps a small box with hundreds of workers from being busy with them.
constexpr size_t MostLooksATick = 20;
} // namespace

// By then a lease that is given to a worker now is over. What its clock and ours may have drifted
// apart, during the lease and since the clock was read, counts.
TimePoint SchedulerRunner::leaseEnd(Steady::duration ClockAge) const {
  const std::chrono::duration<double, std::milli> Lease = Tools.Settings.Timing.WorkerLease;
  const auto Drift = (Lease + ClockAge) * (2 * Cell.Limits.ClockDrift);
  return Tools.Time.Now() + std::chrono::duration_cast<Steady::duration>(Lease + Drift) +
         Cell.Limits.LeaseMargin;
}

Steady::duration SchedulerRunner::clockAge(const std::string &Id) const {
  const auto Found = Clocks.find(Id);
  return Found == Clocks.end() ? Steady::duration(0) : Tools.Time.Now() - Found->second.At;
}

Milliseconds SchedulerRunner::workerTime(const std::string &Id) const {
  const auto Found = Clocks.find(Id);
  if (Found == Clocks.end())
    return Milliseconds(0);
  const auto Since = Tools.Time.Now() - Found->second.At;
  return Found->second.Worker + std::chrono::duration_cast<Milliseconds>(Since);
}

void SchedulerRunner::holdAll() {
  for (const auto &[Id, On] : Cell.Workers) {
    if (!On.Wanted)
      continue;
    if (Held.insert(Id).second)
      spawnLater(Tools.Where, holdLoop(shared_from_this(), Id));
    else if (!On.Heard)
      wakeHold(Id); // it was let go of and has come back; its loop may still rest
  }
}

// A held call that was lost says little of the worker, which is then asked again at once; it counts
// as silent when a call that was to be answered at once gets no answer.
void SchedulerRunner::holdFailed(const std::string &Id, const Error &Why, bool IsHeld) {
  const bool Answered = Cell.Workers.at(Id).Answers;
  if (Answered)
    noteLoss(Losses, Id, Tools.Time.Now());
  if (IsHeld)
    return;
  if (Answered)
    logEvent(events::WorkerSilent, {{"worker", Id}, {"why", "\"" + Why.Detail + "\""}});
  workerSilent(Cell, Id);
}

Awaitable<SchedulerRunner::HeartbeatOutcome> SchedulerRunner::holdOnce(std::string Id,
                                                                       Milliseconds Wait) {
  auto Found = Cell.Workers.find(Id);
  if (Found == Cell.Workers.end())
    co_return HeartbeatOutcome::Over;
  HeartbeatRequest Order;
  Order.To = {Id, Found->second.Info.Address};
  Order.Fence = Mine.Term;
  Order.ForgetThrough = Found->second.ForgetThrough;
  Order.Wait = Wait;
  Order.Timeout = Tools.Settings.Timing.HoldTimeout;
  // A worker that does not answer is only asked: an extension that may or may not arrive would put
  // off for ever the time at which its runs are surely over.
  if (Clocks.count(Id) && Found->second.Answers) {
    Order.LeaseUntil = workerTime(Id) + Tools.Settings.Timing.WorkerLease;
    workerLeased(Cell, Id, leaseEnd(clockAge(Id)));
  }
  const uint64_t Forgotten = Order.ForgetThrough;
  const TimePoint AskedAt = Tools.Time.Now();
  const bool IsHeld = Wait.count() > 0;
  if (IsHeld)
    HoldsOut[Id] = AskedAt;
  Result<WorkerReport> Report = co_await Tools.Workers.Heartbeat(std::move(Order));
  if (IsHeld)
    HoldsOut.erase(Id);
  if (Stopped)
    co_return HeartbeatOutcome::Over;
  Found = Cell.Workers.find(Id); // it may have been let go of meanwhile
  if (Found == Cell.Workers.end())
    co_return HeartbeatOutcome::Over;
  const TimePoint Now = Tools.Time.Now();
  Effects Out;
  if (ok(Report)) {
    ClockReading &Clock = Clocks[Id];
    // Answers on two connections may overtake each other; an older one says nothing new.
    if (value(Report).WorkerClock >= Clock.Worker) {
      Clock.Worker = value(Report).WorkerClock;
      Clock.At = Now;
      workerReported(Cell, Id, value(Report), AskedAt, Now, Out);
      Clock.ForgottenThrough = std::max(Clock.ForgottenThrough, Forgotten);
    }
  } else if (error(Report).Kind == ErrorKind::NotOwner) {
    Out.Deposed = true;
  } else if (error(Report).Kind == ErrorKind::NotFound) {
    logEvent(events::WorkerReplaced, {{"worker", Id}});
    workerOver(Cell, Id, Now, Out);
  } else {
    holdFailed(Id, error(Report), IsHeld);
  }
  apply(Out);
  placeSoon();
  if (Stopped || !Cell.Workers.count(Id))
    co_return HeartbeatOutcome::Over;
  co_return ok(Report) ? HeartbeatOutcome::Answered : HeartbeatOutcome::NoAnswer;
}

// Waits until the worker's ends are saved or something is started there, or for \p Most.
Awaitable<void> SchedulerRunner::untilWoken(Self Me, std::string Id, Milliseconds Most) {
  SteadyTimer Wake(Me->Tools.Where, Most);
  Me->HoldWakes[Id] = &Wake;
  co_await Wake.async_wait(AsTuple);
  Me->HoldWakes.erase(Id);
}

Milliseconds SchedulerRunner::unsavedPause() const {
  const auto Wanted = PauseForUnsaved * Cell.WithUnsaved.size();
  return std::clamp(std::chrono::duration_cast<Milliseconds>(Wanted), LeastUnsavedPause,
                    MostUnsavedPause);
}

void SchedulerRunner::wakeHold(const std::string &Id) {
  if (const auto Found = HoldWakes.find(Id); Found != HoldWakes.end())
    Found->second->cancel();
}

// True if nothing is to be told to or heard from the worker before something is started there.
bool SchedulerRunner::restsAt(const Worker &On) const {
  const auto Known = Clocks.find(On.Info.Id);
  return Known != Clocks.end() && On.Heard && isIdle(On) &&
         Known->second.ForgottenThrough >= On.LastEnd &&
         Tools.Time.Now() - Known->second.BusyAt > Tools.Settings.Timing.HoldWait;
}

Awaitable<void> SchedulerRunner::holdLoop(Self Me, std::string Id) {
  HeartbeatOutcome Last = HeartbeatOutcome::Answered;
  while (!Me->Stopped) {
    auto Found = Me->Cell.Workers.find(Id);
    if (Found != Me->Cell.Workers.end() && !Found->second.Unsaved.empty()) {
      // Asked for again when those known are saved; without the store, now and then.
      co_await untilWoken(Me, Id, Me->unsavedPause());
      Found = Me->Cell.Workers.find(Id);
    }
    if (Found != Me->Cell.Workers.end() && Me->restsAt(Found->second)) {
      co_await untilWoken(Me, Id, IdleHold);
      Found = Me->Cell.Workers.find(Id);
    }
    if (Found == Me->Cell.Workers.end() || Me->Stopped)
      break;
    const auto Clock = Me->Clocks.find(Id);
    const bool First = Clock == Me->Clocks.end();
    if (!First && !isIdle(Found->second))
      Clock->second.BusyAt = Me->Tools.Time.Now();
    const bool Waits = !First && Last == HeartbeatOutcome::Answered &&
                       Found->second.Unsaved.empty() && !Me->restsAt(Found->second);
    const Milliseconds Wait = Waits ? Me->Tools.Settings.Timing.HoldWait : Milliseconds(0);
    Last = co_await Me->holdOnce(Id, Wait);
    if (Last == HeartbeatOutcome::Over)
      break;
    const Worker &After = Me->Cell.Workers.at(Id);
    if (!After.Answers) {
      if (!After.Listed && After.Attempts.empty() && Me->Tools.Time.Now() > After.LeaseEnd)
        break;
      co_await sleepFor(RetryPause);
    }
  }
  Me->Held.erase(Id);
  Me->Clocks.erase(Id);
}

Awaitable<void> SchedulerRunner::look(Self Me, std::string Id) {
  if (!Me->Stopped)
    co_await Me->holdOnce(Id, Milliseconds(0));
}

// Looks at workers with runs whose held call may have been lost.
void SchedulerRunner::lookWhereAnswersMayBeLost() {
  const TimePoint Now = Tools.Time.Now();
  if (!callsGetLost(Losses, Now))
    return;
  size_t Looks = 0;
  for (auto &[Id, Since] : HoldsOut) {
    const auto Found = Cell.Workers.find(Id);
    const bool Works = Found != Cell.Workers.end() && !Found->second.Attempts.empty();
    if (!Works || Now - Since < LookAgain)
      continue;
    Since = Now;
    spawnLater(Tools.Where, look(shared_from_this(), Id));
    if (++Looks == MostLooksATick)
      return;
  }
}

Awaitable<void> SchedulerRunner::sendStart(Self Me, Effects::Start Order) {
  const auto Found = Me->Cell.Workers.find(Order.Worker);
  if (Found == Me->Cell.Workers.end() || Me->Stopped || Me->stoodStill())
    co_return;
  StartRun Start;
  Start.To = {Order.Worker, Found->second.Info.Address};
  Start.Run = Order.Run;
  Start.Job = Order.Job;
  Start.LeaseUntil = Me->workerTime(Order.Worker) + Me->Tools.Settings.Timing.WorkerLease;
  Start.Fence = Me->Mine.Term;
  Start.Checkpoint = std::move(Order.Checkpoint);
  Start.Ticket = std::move(Order.Ticket);
  Start.Timeout = Me->Pace.Timeout;
  workerLeased(Me->Cell, Order.Worker, Me->leaseEnd(Me->clockAge(Order.Worker)));
  Me->wakeHold(Order.Worker);
  const TimePoint SentAt = Me->Tools.Time.Now();
  const StartResult What = co_await Me->Tools.Workers.Start(std::move(Start));
  Me->Tools.Metrics.observe(metrics::StartSeconds, Me->Tools.Time.Now() - SentAt);
  Me->Tools.Metrics.count(metrics::Starts, std::to_string(static_cast<int>(What)));
  if (Me->Stopped)
    co_return;
  noteOrder(Me->Pace, What != StartResult::Unknown);
  if (What != StartResult::Started)
    logEvent(events::StartNotConfirmed, {{"task", toString(Order.Run.Task)},
                                         {"run", std::to_string(Order.Run.Run)},
                                         {"worker", Order.Worker},
                                         {"result", std::to_string(static_cast<int>(What))}});
  if (What == StartResult::Unknown)
    noteLoss(Me->Losses, Order.Worker, Me->Tools.Time.Now());
  Effects Out;
  startAnswered(Me->Cell, Order.Worker, Order.Run, What, Me->Tools.Time.Now(), Out);
  Me->apply(Out);
  if (What != StartResult::Started)
    Me->placeSoon();
}

Awaitable<void> SchedulerRunner::sendStop(Self Me, Effects::Stop Order) {
  const auto Found = Me->Cell.Workers.find(Order.Worker);
  if (Found == Me->Cell.Workers.end() || Me->Stopped)
    co_return;
  logEvent(events::RunStopped, {{"task", toString(Order.Run.Task)},
                                {"run", std::to_string(Order.Run.Run)},
                                {"worker", Order.Worker},
                                {"why", "\"" + Order.Why + "\""}});
  StopRun Stop{
      {Order.Worker, Found->second.Info.Address}, Order.Run, Me->Mine.Term, Me->Pace.Timeout};
  Result<Done> Answer = co_await Me->Tools.Workers.Stop(std::move(Stop));
  if (Me->Stopped)
    co_return;
  Effects Out;
  if (ok(Answer))
    stopAnswered(Me->Cell, Order.Worker, Order.Run, true, Me->Tools.Time.Now(), Out);
  else if (error(Answer).Kind == ErrorKind::NotOwner)
    Out.Deposed = true;
  else if (error(Answer).Kind == ErrorKind::NotFound)
    workerOver(Me->Cell, Order.Worker, Me->Tools.Time.Now(), Out);
  else
    stopAnswered(Me->Cell, Order.Worker, Order.Run, false, Me->Tools.Time.Now(), Out);
  Me->apply(Out);
}

} // namespace valveshelf
