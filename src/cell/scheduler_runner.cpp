// SPDX-License-Identifier: Apache-2.0
// The process around the scheduler's decisions: loading, watching, workers and orders.
#include "cell/scheduler_runner.h"

#include "valveshelf/events.h"
#include "valveshelf/steady_timer.h"

#include <boost/asio.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>

#include <algorithm>

namespace valveshelf {
namespace asio = boost::asio;
using namespace sched;

namespace {
constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);
// Time outs are looked for this often.
constexpr Milliseconds TickEvery{50};
// Events that come together are placed together. A pass that took long, because much waits, is
// followed by a pause of so many times its length, which leaves the processor to orders and ends.
constexpr Milliseconds PlaceDelay{2};
constexpr int PauseForPass = 4;
// Between two watches of what callers handed in. An announcement that is lost costs this time.
constexpr Milliseconds IntakeGather{250};
// Run numbers of one term; no task starts so often in one.
constexpr uint32_t RunsPerTerm = 1000;

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
  for (const MetricDescriptor *Kind : {&metrics::Jobs, &metrics::Waiting, &metrics::Workers,
                                       &metrics::ZonesEvacuated, &metrics::WorkerListAge})
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

void SchedulerRunner::setEvacuated(EvacuatedZones Zones) {
  if (!evacuate(Cell, std::move(Zones)))
    return;
  Tools.Metrics.set(metrics::ZonesEvacuated, static_cast<double>(Cell.Evacuated.Names.size()));
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
    const std::string Id = lastPart(Item.Key, WorkerRecordPrefix);
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
  // All at a time: nothing is started before the last of them, and a slow store takes a quarter of
  // a second for each. Nobody else writes runs any more, since those writes ask for this claim. The
  // zones are read in each term, as what this process heard last may be older than the claim.
  using namespace asio::experimental::awaitable_operators;
  const auto [Listed, Runs, Intake, Evacuated] =
      co_await (Tools.Store.Range(Tools.WorkerPrefix, false) &&
                Tools.Store.Range(std::string(RunPrefix), false) &&
                Tools.Store.Range(std::string(IntakePrefix), false) &&
                Tools.Store.Range(Tools.EvacuationPrefix, false));
  for (const Result<KeyRange> *Read : {&Listed, &Runs, &Intake, &Evacuated})
    if (!ok(*Read))
      co_return error(*Read);
  if (Stopped)
    co_return Done{};
  EvacuatedZones Zones{{}, value(Evacuated).Revision};
  for (const KeyValue &Item : value(Evacuated).Items)
    Zones.Names.insert(lastPart(Item.Key, Tools.EvacuationPrefix));
  setEvacuated(std::move(Zones));
  loadWorkers(value(Listed), value(Runs));
  loadJobs(value(Intake), value(Runs));
  const Self Me = shared_from_this();
  spawnLater(Tools.Where, watchIntake(Me, value(Intake).Revision));
  WorkersRevision = value(Listed).Revision;
  noteListAnswer(WorkersAge, Begun, Milliseconds(0));
  spawnLater(Tools.Where, watchWorkers(Me));
  spawnLater(Tools.Where, saveLoop(Me));
  spawnLater(Tools.Where, recordsLoop(Me));
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
      if (!value(Read).Changes.empty() && !mayHaveMore(value(Read)))
        co_await sleepFor(IntakeGather);
      continue;
    }
    if (error(Read).Kind != ErrorKind::NotFound) {
      co_await sleepFor(RetryPause);
      continue; // the next one goes on from where this one would have
    }
    Result<uint64_t> Again = co_await Me->rereadIntake();
    if (ok(Again))
      From = value(Again);
    else
      co_await sleepFor(RetryPause);
  }
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
                               {"doubts", std::to_string(What.Doubts)},
                               {"losses", std::to_string(What.Losses)}});
  }
  for (const Effects::CrashCount &What : Out.CrashCounts)
    logEvent(events::CrashCounted, {{"task", toString(What.Task)},
                                    {"worker", What.Worker},
                                    {"why", std::string(What.Why)},
                                    {"crashes", std::to_string(What.Crashes)},
                                    {"doubts", std::to_string(What.Doubts)}});
  for (const Effects::GivenUp &What : Out.TasksGivenUp) {
    Tools.Metrics.count(metrics::TasksGivenUp);
    logEvent(events::TaskGivenUp, {{"task", toString(What.Task)},
                                   {"crashes", std::to_string(What.Crashes)},
                                   {"doubts", std::to_string(What.Doubts)},
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
  if (isFleetBehind())
    return;
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
    Me->lookAtListIfOld();
    Me->placeSoon();
  }
}

} // namespace valveshelf
