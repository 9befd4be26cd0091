// SPDX-License-Identifier: Apache-2.0
// The process around the scheduler's decisions: loading, watching, workers and orders.
#include "cell/scheduler_runner.h"

#include "valveshelf/events.h"
#include "valveshelf/steady_timer.h"

#include <boost/asio.hpp>

#include <algorithm>

namespace valveshelf {
namespace asio = boost::asio;
using namespace sched;

namespace {
constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);
// After a failed call, before the next one.
constexpr Milliseconds RetryPause{150};
// Time outs are looked for this often.
constexpr Milliseconds TickEvery{50};
// Events that come together are placed together. A pass that took long, because much waits, is
// followed by a pause of so many times its length, which leaves the processor to orders and ends.
constexpr Milliseconds PlaceDelay{2};
constexpr int PauseForPass = 4;
// A worker whose ends wait to be saved answers at once, so it is asked again after a pause. With
// one of 400 ms an end was seen up to so much late where the store takes 0.4 s an answer. The pause
// grows with the workers that wait, to 400 looks a second at most.
constexpr Milliseconds LeastUnsavedPause{120};
constexpr Milliseconds MostUnsavedPause{400};
constexpr std::chrono::microseconds PauseForUnsaved{2500};
// An idle worker is asked this often, which keeps its clock known well enough.
constexpr Milliseconds IdleHold{30000};
// Between two watches of what callers handed in. An announcement that is lost costs this time.
constexpr Milliseconds IntakeGather{250};
// Between two watches of the platform's list of workers, which changes with each of their
// check-ins: 48 workers cost 26 calls a second fewer, a quarter of all. A worker that begins to
// leave is known so much later; it runs on for seconds.
constexpr Milliseconds WorkerGather{250};
// A watch may be answered and silent while entries change (seen for 11 s while a store gave up its
// history). After so many answers with nothing in them the list is read: a capacity that has shrunk
// is to be known within a worker's time out and one check-in, 4.5 s.
constexpr int MostEmptyWatches = 2;
// While calls get lost, a worker whose answer is held is looked at this often. Without it the ends
// on a worker whose held call was lost are seen 2.2 s late: of jobs of 0.6 s handed in while one
// call in twenty was lost, 43 of 57 were late.
constexpr Milliseconds LookAgain{300};
// Such looks in one tick; keeps a small box with hundreds of workers from being busy with them.
constexpr size_t MostLooksATick = 20;
// Run numbers of one term; no task starts so often in one.
constexpr uint32_t RunsPerTerm = 1000;

std::string idOf(const std::string &Key, const std::string &Prefix) {
  return Key.substr(Prefix.size());
}
} // namespace

SchedulerRunner::SchedulerRunner(const SchedulerTools &Tools, Claim Mine,
                                 std::function<void()> OnEnd)
    : Tools(Tools), Mine(Mine), OnEnd(std::move(OnEnd)),
      Lanes(Tools.Where, Tools.Time, Tools.Ask,
            [this](const Effects::Ask &Question, const Result<Advice> &Answer,
                   const std::string &Lane, Steady::duration Took) {
              this->Tools.Metrics.observe(metrics::AdviceSeconds, Took);
              logEvent(
                  events::AdviceGiven,
                  {{"step", toString(Question.Step)},
                   {"through", Lane},
                   {"asked", std::to_string(Question.Workers.size())},
                   {"good", ok(Answer) ? std::to_string(value(Answer).Good.size())
                                       : "\"" + error(Answer).Detail + "\""},
                   {"ms", std::to_string(std::chrono::duration_cast<Milliseconds>(Took).count())}});
              if (ok(Answer))
                adviceAnswered(Cell, Question.Step, Question.Workers, value(Answer).Good,
                               value(Answer).Valid, this->Tools.Time.Now());
              else
                adviceFailed(Cell, Question.Step, this->Tools.Time.Now());
              placeSoon();
            }),
      SaveWake(Tools.Where, TimePoint::max()), PlaceTimer(Tools.Where) {
  Cell.Limits = Tools.Settings.Scheduler;
  Cell.Fence = Mine.Term;
  Cell.FirstRun = static_cast<uint32_t>((Mine.Term - 1) * RunsPerTerm + 1);
  Cell.Wall = Tools.Time.Wall();
  Cell.WallAt = Tools.Time.Now();
  Pace.Least = Pace.Timeout = Tools.Settings.Timing.WorkerTimeout;
  Pace.Most = std::max(Pace.Most, Pace.Least);
}

void SchedulerRunner::start() { spawnLater(Tools.Where, run(shared_from_this())); }

void SchedulerRunner::stop() {
  Stopped = true;
  for (const MetricKind *Kind : {&metrics::Jobs, &metrics::Waiting, &metrics::Workers})
    Tools.Metrics.set(*Kind, 0);
  Lanes.stop();
  SaveWake.cancel();
  PlaceTimer.cancel();
  for (const auto &[Id, Wake] : HoldWakes)
    Wake->cancel();
}

void SchedulerRunner::end(const char *Why) {
  if (Stopped)
    return;
  logEvent(events::TermEnded,
           {{"term", std::to_string(Mine.Term)}, {"why", "\"" + std::string(Why) + "\""}});
  stop();
  OnEnd();
}

void SchedulerRunner::setMembers(const std::set<std::string> &Names) {
  Cell.AdviceLanes = static_cast<uint32_t>(Names.size());
  Lanes.setLanes(Names);
}

void SchedulerRunner::setConfiguration(const CellConfiguration &Config) {
  configured(Cell, Config);
  placeSoon();
}

// Loading.

Awaitable<void> SchedulerRunner::run(Self Me) {
  while (!Me->Stopped) {
    Result<Done> Loaded = co_await Me->load();
    if (ok(Loaded))
      co_return;
    co_await sleepFor(RetryPause);
  }
}

void SchedulerRunner::loadJobs(const KeyRange &Intake, const KeyRange &Runs) {
  const TimePoint Now = Tools.Time.Now();
  for (const KeyValue &Item : Intake.Items)
    if (Item.Key.starts_with(JobPrefix))
      takeIntake(Item, false);
  for (const KeyValue &Item : Runs.Items) {
    const auto Id = jobOfKey(Item.Key, ProgressPrefix);
    const auto Found = Id ? Cell.Jobs.find(*Id) : Cell.Jobs.end();
    if (Found == Cell.Jobs.end())
      continue;
    Found->second.ProgressRevision = Item.Revision;
    Result<SavedSteps> Saved = decodeProgress(*Id, Item.Value);
    if (!ok(Saved)) {
      logEvent(events::RecordUnreadable, {{"key", Item.Key}});
      continue;
    }
    for (const auto &[Step, Tasks] : value(Saved))
      restoreStep(Cell, Step, Tasks);
  }
  Effects Out;
  finishLoading(Cell, Now, Out);
  for (const KeyValue &Item : Intake.Items)
    if (const auto Id = jobOfKey(Item.Key, CancelPrefix))
      cancelJob(Cell, *Id, Now, Out);
  apply(Out);
}

void SchedulerRunner::loadWorkers(const KeyRange &Listed, const KeyRange &Runs) {
  for (const KeyValue &Item : Listed.Items)
    takeWorker(Item, false);
  for (const KeyValue &Item : Runs.Items) {
    if (!Item.Key.starts_with(WorkerRecordPrefix))
      continue;
    const std::string Id = idOf(Item.Key, std::string(WorkerRecordPrefix));
    Result<WorkerInfo> Info = decodeWorkerRecord(Id, Item.Value);
    if (!ok(Info)) {
      logEvent(events::RecordUnreadable,
               {{"key", Item.Key}}); // it stays: somebody else may read it
      continue;
    }
    Records[Id] = Item.Revision;
    workerMayHoldRuns(Cell, value(Info), leaseEnd(IdleHold));
  }
}

Awaitable<Result<Done>> SchedulerRunner::load() {
  const TimePoint Begun = Tools.Time.Now();
  Result<KeyRange> Listed = co_await Tools.Store.Range(Tools.WorkerPrefix, false);
  if (!ok(Listed))
    co_return error(Listed);
  Result<KeyRange> Runs = co_await Tools.Store.Range(std::string(RunPrefix), false);
  if (!ok(Runs))
    co_return error(Runs);
  Result<KeyRange> Intake = co_await Tools.Store.Range(std::string(IntakePrefix), false);
  if (!ok(Intake))
    co_return error(Intake);
  if (Stopped)
    co_return Done{};
  loadWorkers(value(Listed), value(Runs));
  loadJobs(value(Intake), value(Runs));
  const Self Me = shared_from_this();
  spawnLater(Tools.Where, watchIntake(Me, value(Intake).Revision));
  spawnLater(Tools.Where, watchWorkers(Me, value(Listed).Revision));
  spawnLater(Tools.Where, saveLoop(Me));
  spawnLater(Tools.Where, rosterLoop(Me));
  spawnLater(Tools.Where, tickLoop(Me));
  holdAll();
  placeSoon();
  const auto Took = std::chrono::duration_cast<Milliseconds>(Tools.Time.Now() - Begun);
  Tools.Metrics.count(metrics::Terms);
  logEvent(events::TermBegun, {{"term", std::to_string(Mine.Term)},
                               {"jobs", std::to_string(Cell.Jobs.size())},
                               {"workers", std::to_string(Cell.Workers.size())},
                               {"unheard", std::to_string(Cell.Unheard.size())},
                               {"load_ms", std::to_string(Took.count())}});
  co_return Done{};
}

void SchedulerRunner::takeIntake(const KeyValue &Item, bool Fresh) {
  const TimePoint Now = Tools.Time.Now();
  Effects Out;
  if (const auto Cancelled = jobOfKey(Item.Key, CancelPrefix)) {
    if (Cell.Ended.count(*Cancelled))
      OldCancels.insert(*Cancelled);
    cancelJob(Cell, *Cancelled, Now, Out);
    apply(Out);
    return;
  }
  const auto Id = jobOfKey(Item.Key, JobPrefix);
  if (!Id)
    return;
  Result<StoredJob> Stored = decodeJob(Item.Value);
  if (!ok(Stored)) {
    logEvent(events::RecordUnreadable, {{"key", Item.Key}});
    return;
  }
  StoredJob &Read = value(Stored);
  if (Read.Phase != JobPhase::Live) {
    if (Cell.Jobs.count(*Id) || Cell.Ended.count(*Id))
      return; // our own writing
    Cell.Ended[*Id] = {Read.Phase, Item.Revision, Read.EndedAt, Read.Spec.Organisation};
    Cell.Forgettable.emplace_back(Read.EndedAt, *Id);
    return;
  }
  Read.Spec.Id = *Id;
  if (!Cell.Jobs.count(*Id) && !Cell.Ended.count(*Id))
    logEvent(events::JobTaken, {{"job", jobIdText(*Id)},
                                {"steps", std::to_string(Read.Spec.Steps.size())},
                                {"queue", Read.Spec.Queue},
                                {"revision", std::to_string(Item.Revision)},
                                {"new", Fresh ? "yes" : "no"}});
  addJob(Cell, std::make_shared<const JobSpec>(std::move(Read.Spec)), Item.Revision,
         Fresh && Item.Revision > Mine.LeaderRevision, Now);
  cancelIfAsked(Cell, *Id, Now, Out);
  apply(Out);
}

void SchedulerRunner::announceJob(const std::string &Bytes, uint64_t Revision) {
  if (Stopped || !Cell.Loaded)
    return;
  Result<StoredJob> Stored = decodeJob(Bytes);
  if (!ok(Stored)) {
    logEvent(events::RecordUnreadable, {{"key", "announced"}});
    return;
  }
  takeIntake({jobKey(value(Stored).Spec.Id), Bytes, Revision, 0}, true);
  placeSoon();
}

void SchedulerRunner::announceCancel(JobId Id) {
  if (Stopped || !Cell.Loaded)
    return;
  takeIntake({cancelKey(Id), "", 0, 0}, true);
  placeSoon();
}

Awaitable<Result<uint64_t>> SchedulerRunner::rereadIntake() {
  Result<KeyRange> Read = co_await Tools.Store.Range(std::string(IntakePrefix), false);
  if (!ok(Read))
    co_return error(Read);
  for (const KeyValue &Item : value(Read).Items)
    takeIntake(Item, true);
  placeSoon();
  co_return value(Read).Revision;
}

Awaitable<void> SchedulerRunner::watchIntake(Self Me, uint64_t From) {
  while (!Me->Stopped) {
    Result<KeyChanges> Read = co_await Me->Tools.Store.Watch(std::string(IntakePrefix), From,
                                                             Me->Tools.Settings.Timing.WatchTime);
    if (Me->Stopped)
      co_return;
    if (ok(Read)) {
      for (const KeyChange &Change : value(Read).Changes)
        if (!Change.Gone)
          Me->takeIntake(Change.Item, true);
      From = std::max(From, value(Read).Revision);
      Me->placeSoon();
      // Jobs are announced as well; news is gathered so that a busy hour costs few calls.
      if (!value(Read).Changes.empty())
        co_await sleepFor(IntakeGather);
      continue;
    }
    // What a cut watch may have missed is read; the history may be gone as well.
    Result<uint64_t> Again = co_await Me->rereadIntake();
    if (ok(Again))
      From = value(Again);
    else
      co_await sleepFor(RetryPause);
  }
}

void SchedulerRunner::takeWorker(const KeyValue &Item, bool Gone) {
  const TimePoint Now = Tools.Time.Now();
  const std::string Id = idOf(Item.Key, Tools.WorkerPrefix);
  if (Gone) {
    workerUnlisted(Cell, Id, Now);
    return wakeHold(Id); // what it holds is asked at once: it may be gone
  }
  Result<WorkerInfo> Read = Tools.DecodeWorker(Id, Item.Value);
  if (!ok(Read)) {
    // Somebody else may have written it, also over a worker's own: what it says is no worker's
    // word.
    logEvent(events::RecordUnreadable, {{"key", Item.Key}, {"why", error(Read).Detail}});
    return workerUnlisted(Cell, Id, Now);
  }
  workerListed(Cell, value(Read), Now);
}

Awaitable<Result<uint64_t>> SchedulerRunner::rereadWorkers() {
  Result<KeyRange> Read = co_await Tools.Store.Range(Tools.WorkerPrefix, false);
  if (!ok(Read))
    co_return error(Read);
  std::set<std::string> Seen;
  for (const KeyValue &Item : value(Read).Items) {
    Seen.insert(idOf(Item.Key, Tools.WorkerPrefix));
    takeWorker(Item, false);
  }
  for (const auto &[Id, On] : Cell.Workers)
    if (!Seen.count(Id)) {
      workerUnlisted(Cell, Id, Tools.Time.Now());
      wakeHold(Id);
    }
  holdAll();
  placeSoon();
  co_return value(Read).Revision;
}

Awaitable<void> SchedulerRunner::watchWorkers(Self Me, uint64_t From) {
  int Empty = 0; // answers in a row in which nothing was
  while (!Me->Stopped) {
    Result<KeyChanges> Read = co_await Me->Tools.Store.Watch(Me->Tools.WorkerPrefix, From,
                                                             Me->Tools.Settings.Timing.WatchTime);
    if (Me->Stopped)
      co_return;
    Empty = ok(Read) && value(Read).Changes.empty() ? Empty + 1 : 0;
    if (ok(Read) && Empty < MostEmptyWatches) {
      for (const KeyChange &Change : value(Read).Changes)
        Me->takeWorker(Change.Item, Change.Gone);
      From = std::max(From, value(Read).Revision);
      Me->holdAll();
      Me->placeSoon();
      if (!value(Read).Changes.empty())
        co_await sleepFor(WorkerGather);
      continue;
    }
    Empty = 0;
    Result<uint64_t> Again = co_await Me->rereadWorkers();
    if (ok(Again))
      From = value(Again);
    else
      co_await sleepFor(RetryPause);
  }
}

// Workers.

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

Awaitable<SchedulerRunner::HoldEnd> SchedulerRunner::holdOnce(std::string Id, Milliseconds Wait) {
  auto Found = Cell.Workers.find(Id);
  if (Found == Cell.Workers.end())
    co_return HoldEnd::Over;
  HoldWorker Order;
  Order.To = {Id, Found->second.Info.Address};
  Order.Fence = Mine.Term;
  Order.ForgetThrough = Found->second.ForgetThrough;
  Order.Wait = Wait;
  Order.Timeout = Tools.Settings.Timing.HoldTimeout;
  // A worker that does not answer is only asked: an extension that may or may not arrive would put
  // off for ever the time at which its runs are surely over.
  if (Clocks.count(Id) && Found->second.Answers) {
    Order.Until = workerTime(Id) + Tools.Settings.Timing.WorkerLease;
    workerLeased(Cell, Id, leaseEnd(clockAge(Id)));
  }
  const uint64_t Forgotten = Order.ForgetThrough;
  const TimePoint AskedAt = Tools.Time.Now();
  const bool IsHeld = Wait.count() > 0;
  if (IsHeld)
    HoldsOut[Id] = AskedAt;
  Result<WorkerReport> Report = co_await Tools.Workers.Hold(std::move(Order));
  if (IsHeld)
    HoldsOut.erase(Id);
  if (Stopped)
    co_return HoldEnd::Over;
  Found = Cell.Workers.find(Id); // it may have been let go of meanwhile
  if (Found == Cell.Workers.end())
    co_return HoldEnd::Over;
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
    co_return HoldEnd::Over;
  co_return ok(Report) ? HoldEnd::Answered : HoldEnd::NoAnswer;
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
  HoldEnd Last = HoldEnd::Answered;
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
    const bool Waits = !First && Last == HoldEnd::Answered && Found->second.Unsaved.empty() &&
                       !Me->restsAt(Found->second);
    const Milliseconds Wait = Waits ? Me->Tools.Settings.Timing.HoldWait : Milliseconds(0);
    Last = co_await Me->holdOnce(Id, Wait);
    if (Last == HoldEnd::Over)
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
  Start.Until = Me->workerTime(Order.Worker) + Me->Tools.Settings.Timing.WorkerLease;
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

// Decisions.

bool SchedulerRunner::stoodStill() const {
  return LastTick != TimePoint{} && Tools.Time.Now() - LastTick > Tools.Settings.Timing.LeaderLease;
}

void SchedulerRunner::apply(Effects &Out) {
  if (Stopped)
    return;
  if (stoodStill())
    return end("this process stood still");
  if (Out.Deposed)
    return end("a worker has heard a newer scheduler");
  report(Out);
  const Self Me = shared_from_this();
  for (Effects::Start &Order : Out.Starts)
    spawnLater(Tools.Where, sendStart(Me, std::move(Order)));
  for (Effects::Stop &Order : Out.Stops)
    spawnLater(Tools.Where, sendStop(Me, std::move(Order)));
  for (Effects::Ask &Question : Out.Asks)
    Lanes.add(std::move(Question));
  for (const std::string &Id : Out.Looks)
    spawnLater(Tools.Where, look(Me, Id));
  if (Out.Save)
    SaveWake.cancel();
  if (Out.Wants)
    holdAll();
  Out = {};
}

// The decisions that touch jobs, for the log and the figures.
void SchedulerRunner::report(const Effects &Out) {
  const TimePoint Now = Tools.Time.Now();
  const auto Millis = [](Steady::duration Time) {
    return std::to_string(std::chrono::duration_cast<Milliseconds>(Time).count());
  };
  for (const Effects::Placed &What : Out.Placements) {
    if (What.First)
      Tools.Metrics.observe(metrics::FirstStartSeconds, Now - What.RunnableSince);
    logEvent(events::StepPlaced, {{"step", toString(What.Step)},
                                  {"tasks", std::to_string(What.Tasks)},
                                  {"workers", std::to_string(What.Workers)},
                                  {"waited_ms", Millis(Now - What.RunnableSince)},
                                  {"objective_in_ms", Millis(What.Objective - Now)}});
  }
  for (const Effects::Failure &What : Out.Failures)
    logEvent(events::TaskFailed, {{"task", toString(What.Run.Task)},
                                  {"run", std::to_string(What.Run.Run)},
                                  {"worker", What.Worker},
                                  {"failures", std::to_string(What.Failures)},
                                  {"allowed", std::to_string(What.MaxAttempts)}});
  for (const Effects::Loss &What : Out.Losses) {
    Tools.Metrics.count(metrics::RunsLost, std::string(toString(What.How)));
    logEvent(events::RunLost, {{"task", toString(What.Run.Task)},
                               {"run", std::to_string(What.Run.Run)},
                               {"worker", What.Worker},
                               {"how", std::string(toString(What.How))},
                               {"ran_ms", std::to_string(What.Ran.count())},
                               {"crashes", std::to_string(What.Crashes)},
                               {"losses", std::to_string(What.Losses)}});
  }
  for (const Effects::GivenUp &What : Out.TasksGivenUp) {
    Tools.Metrics.count(metrics::TasksGivenUp);
    logEvent(events::TaskGivenUp, {{"task", toString(What.Task)},
                                   {"crashes", std::to_string(What.Crashes)},
                                   {"losses", std::to_string(What.Losses)}});
  }
}

void SchedulerRunner::placeSoon() {
  if (PlaceWaits || Stopped)
    return;
  PlaceWaits = true;
  PlaceTimer.expires_after(std::max<Steady::duration>(PlaceDelay, LastPass * PauseForPass));
  PlaceTimer.async_wait([Me = shared_from_this()](boost::system::error_code) {
    Me->PlaceWaits = false;
    if (Me->Stopped)
      return;
    Me->placeNow();
  });
}

void SchedulerRunner::placeNow() {
  const TimePoint Begun = Tools.Time.Now();
  Effects Out;
  place(Cell, Begun, Out);
  LastPass = Tools.Time.Now() - Begun;
  Tools.Metrics.observe(metrics::PlaceSeconds, LastPass);
  apply(Out);
}

Awaitable<void> SchedulerRunner::tickLoop(Self Me) {
  while (!Me->Stopped) {
    co_await sleepFor(TickEvery);
    if (Me->Stopped)
      co_return;
    if (Me->stoodStill())
      co_return Me->end("this process stood still");
    Me->LastTick = Me->Tools.Time.Now();
    Me->Tools.Metrics.set(metrics::Jobs, static_cast<double>(Me->Cell.Jobs.size()));
    Me->Tools.Metrics.set(metrics::Waiting, static_cast<double>(Me->Cell.Queue.size()));
    Me->Tools.Metrics.set(metrics::Workers, static_cast<double>(Me->Cell.Workers.size()));
    Effects Out;
    tick(Me->Cell, Me->Tools.Time.Now(), Me->Tools.Time.Wall(), Out);
    Me->apply(Out);
    Me->lookWhereAnswersMayBeLost();
    Me->placeSoon();
  }
}

} // namespace valveshelf
