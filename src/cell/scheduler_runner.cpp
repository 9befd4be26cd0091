// SPDX-License-Identifier: Apache-2.0
// Loading a term's state, watching submitted jobs, and performing the scheduler's effects.
#include "cell/scheduler_runner.h"

#include "valveshelf/events.h"
#include "valveshelf/steady_timer.h"

#include <boost/asio.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>

#include <algorithm>
#include <cmath>

namespace valveshelf {
namespace asio = boost::asio;
using namespace sched;

namespace {
constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);
constexpr Milliseconds TickInterval{50};
// With this lag, the answer to a call may have waited to be read for most of its timeout.
constexpr Milliseconds LateTick{20};
// Placement is delayed so that simultaneous events share a pass, and by this multiple of the last
// pass's duration, which leaves the processor free for worker calls.
constexpr Milliseconds PlacementDelay{2};
constexpr int PlacementPauseFactor = 4;
// Pause between two watches of submitted jobs; bounds the delay of a job whose announcement was
// lost.
constexpr Milliseconds IntakeWatchPause{250};
} // namespace

SchedulerRunner::SchedulerRunner(const SchedulerDependencies &Deps, Claim OwnClaim,
                                 std::function<void()> OnEnd)
    : Deps(Deps), OwnClaim(OwnClaim), OnEnd(std::move(OnEnd)),
      Lanes(Deps.Where, Deps.Time, Deps.AskAdvice,
            [this](const Effects::AdviceRequest &Request, const Result<Advice> &Answer,
                   const std::string &Lane, Steady::duration Took) {
              this->Deps.Metrics.observe(metrics::AdviceSeconds, Took);
              if (Request.IsFirst)
                this->Deps.Metrics.observe(metrics::StageSeconds, Took, "advice");
              logEvent(
                  events::AdviceGiven,
                  {{"step", toString(Request.Step)},
                   {"through", Lane},
                   {"asked", std::to_string(Request.Workers.size())},
                   {"good", ok(Answer) ? std::to_string(value(Answer).Eligible.size())
                                       : "\"" + error(Answer).Detail + "\""},
                   {"ms", std::to_string(std::chrono::duration_cast<Milliseconds>(Took).count())}});
              const LoopSection Work(Loop, LoopWork::Advice);
              if (ok(Answer))
                adviceAnswered(Cell, Request.Step, Request.Workers, value(Answer).Eligible,
                               value(Answer).Valid, this->Deps.Time.Now());
              else
                adviceFailed(Cell, Request.Step, this->Deps.Time.Now());
              schedulePlacement();
            }),
      SaveTimer(Deps.Where, TimePoint::max()), PlacementTimer(Deps.Where) {
  Cell.Limits = Deps.Settings.Scheduler;
  noteRenewed(Evidence, OwnClaim.SentAt);
  Cell.PredecessorMayStart = OwnClaim.Term > 1;
  Cell.Fence = OwnClaim.Term;
  Cell.FirstRun = static_cast<uint32_t>((OwnClaim.Term - 1) * RunsPerTerm + 1);
  Cell.Wall = Deps.Time.Wall();
  Cell.WallAt = Deps.Time.Now();
  CallTimeout.Min = CallTimeout.Current = Deps.Settings.Timing.WorkerTimeout;
  CallTimeout.Max = std::max(CallTimeout.Max, CallTimeout.Min);
}

void SchedulerRunner::start() { spawnLater(Deps.Where, loadWithRetries(shared_from_this())); }

void SchedulerRunner::stop() {
  Stopped = true;
  for (const MetricDescriptor *Kind :
       {&metrics::Jobs, &metrics::Waiting, &metrics::LeftOut, &metrics::Workers,
        &metrics::WorkersSlow, &metrics::ZonesEvacuated, &metrics::WorkerListAge,
        &metrics::LoopLag})
    Deps.Metrics.set(*Kind, 0);
  for (const std::string_view Cause : WaitCauseNames)
    Deps.Metrics.set(metrics::WaitingByCause, 0, std::string(Cause));
  Lanes.stop();
  SaveTimer.cancel();
  PlacementTimer.cancel();
  for (const auto &[Id, Wake] : WakeTimers)
    Wake->cancel();
}

void SchedulerRunner::endTerm(const char *Why) {
  if (Stopped)
    return;
  logEvent(events::TermEnded,
           {{"term", std::to_string(OwnClaim.Term)}, {"why", "\"" + std::string(Why) + "\""}});
  stop();
  OnEnd();
}

void SchedulerRunner::leadershipRenewed(TimePoint SentAt) { noteRenewed(Evidence, SentAt); }

void SchedulerRunner::leadershipConfirmedByPeers(TimePoint AskedAt) {
  noteConfirmedByPeers(Evidence, AskedAt, Deps.Settings.Timing.MaxOutage);
}

void SchedulerRunner::setMembers(const std::set<std::string> &Names) {
  Cell.AdviceConcurrency = static_cast<uint32_t>(Names.size());
  Lanes.setLanes(Names);
}

void SchedulerRunner::setConfiguration(const CellConfiguration &Config) {
  applyConfiguration(Cell, Config);
  applyFeatures(Cell, resolveFeatures(Deps.Settings.Features, Config));
  schedulePlacement();
}

void SchedulerRunner::setEvacuatedZones(EvacuatedZones Zones) {
  if (!evacuate(Cell, std::move(Zones)))
    return;
  Deps.Metrics.set(metrics::ZonesEvacuated, static_cast<double>(Cell.Evacuated.Names.size()));
  schedulePlacement();
}

// Loading.

Awaitable<void> SchedulerRunner::loadWithRetries(SelfPtr Self) {
  while (!Self->Stopped) {
    Result<Done> Loaded = co_await Self->load();
    if (ok(Loaded))
      co_return;
    co_await sleepFor(RetryPause);
  }
}

void SchedulerRunner::loadJobs(const KeyRange &Intake, const KeyRange &Runs) {
  const TimePoint Now = Deps.Time.Now();
  for (const KeyValue &Item : Intake.Items)
    if (Item.Key.starts_with(JobPrefix))
      applyIntakeItem(Item, false);
  for (const KeyValue &Item : Runs.Items) {
    const auto Id = jobIdFromKey(Item.Key, ProgressPrefix);
    const auto Found = Id ? Cell.Jobs.find(*Id) : Cell.Jobs.end();
    if (Found == Cell.Jobs.end())
      continue;
    Found->second.ProgressRevision = Item.Revision;
    const Result<SavedProgress> Saved = decodeProgress(*Id, Item.Value);
    if (!ok(Saved)) {
      logEvent(events::RecordUnreadable, {{"key", Item.Key}});
      continue;
    }
    restoreServices(Cell, *Id, value(Saved).Services);
    for (const auto &[Step, Tasks] : value(Saved).Steps)
      restoreStep(Cell, Step, Tasks);
  }
  Effects Out;
  finishLoading(Cell, Now, Out);
  for (const KeyValue &Item : Intake.Items)
    if (const auto Id = jobIdFromKey(Item.Key, CancelPrefix))
      cancelJob(Cell, *Id, Now, Out);
  for (const KeyValue &Item : Intake.Items)
    if (Item.Key.starts_with(RevocationPrefix))
      applyRevocations(Item, Out);
  executeEffects(Out);
}

void SchedulerRunner::applyRevocations(const KeyValue &Item, Effects &Out) {
  const Result<std::vector<Revocation>> Read = decodeRevocations(Item.Value);
  if (!ok(Read)) {
    logEvent(events::RecordUnreadable, {{"key", Item.Key}});
    return;
  }
  const TimePoint Now = Deps.Time.Now();
  RevocationRecords.emplace_back(Now, Item.Key);
  for (const Revocation &One : value(Read))
    revokeJob(Cell, One, Now, Out);
}

uint64_t SchedulerRunner::holdRevocations(const std::vector<Revocation> &Revocations) {
  if (Stopped || !Cell.Loaded || wasSuspended())
    return 0;
  Effects Out;
  bool HoldsAll = true;
  for (const Revocation &One : Revocations)
    HoldsAll = revokeJob(Cell, One, Deps.Time.Now(), Out) && HoldsAll;
  executeEffects(Out);
  return HoldsAll && !Stopped && !Cell.PredecessorMayStart ? OwnClaim.Term : 0;
}

// What the scheduler before has told of workers that it could not reach. What earlier ones told is
// not used: leases may have been given since.
std::map<std::string, Milliseconds> SchedulerRunner::leasesLeft(const KeyRange &Runs) const {
  const auto Item = std::find_if(Runs.Items.begin(), Runs.Items.end(),
                                 [](const KeyValue &Of) { return Of.Key == LeaseEndsKey; });
  if (Item == Runs.Items.end())
    return {};
  Result<LeaseEnds> Read = decodeLeaseEnds(Item->Value);
  if (!ok(Read)) {
    logEvent(events::RecordUnreadable, {{"key", Item->Key}});
    return {};
  }
  if (value(Read).Term + 1 != OwnClaim.Term)
    return {};
  return std::move(value(Read).Left);
}

std::optional<Transaction> SchedulerRunner::leaseEndsNote() const {
  if (!Cell.Loaded)
    return std::nullopt;
  const TimePoint Now = Deps.Time.Now();
  LeaseEnds Note{OwnClaim.Term, {}};
  for (const auto &[Id, Revision] : WorkerRecords) {
    const std::optional<TimePoint> End = endOfUnreachableRuns(Cell, Id);
    if (End && Note.Left.size() < MaxLeaseEnds)
      Note.Left[Id] = std::max(Milliseconds(0), std::chrono::ceil<Milliseconds>(*End - Now));
  }
  if (Note.Left.empty())
    return std::nullopt;
  Transaction What = fencedTransaction();
  What.Puts.push_back({std::string(LeaseEndsKey), encodeLeaseEnds(Note), 0, 0});
  return What;
}

// The longest time until the runs of a worker that has not reported have certainly ended.
Milliseconds SchedulerRunner::longestWait() const {
  TimePoint Latest = Deps.Time.Now();
  for (const auto &[Id, Service] : Cell.UnreportedWorkers)
    if (const auto Found = Cell.Workers.find(Id); Found != Cell.Workers.end())
      Latest = std::max(Latest, Found->second.LeaseEnd);
  return std::chrono::duration_cast<Milliseconds>(Latest - Deps.Time.Now());
}

void SchedulerRunner::loadWorkers(const KeyRange &Listed, const KeyRange &Runs) {
  const std::map<std::string, Milliseconds> Left = leasesLeft(Runs);
  const TimePoint From = OwnClaim.NoLeasesSince.value_or(Deps.Time.Now());
  Milliseconds Longest = Deps.Settings.Timing.WorkerLease + OwnClaim.PredecessorOutage;
  if (!OwnClaim.AreEarlierLeasesBounded)
    Longest += driftDuring(MaxClockReadingAge, Cell.Limits.ClockDrift);
  for (const KeyValue &Item : Listed.Items)
    applyWorkerItem(Item, false);
  for (const KeyValue &Item : Runs.Items) {
    if (!Item.Key.starts_with(WorkerRecordPrefix))
      continue;
    const std::string Id = keySuffix(Item.Key, WorkerRecordPrefix);
    Result<WorkerInfo> Info = decodeWorkerRecord(Id, Item.Value);
    if (!ok(Info)) {
      logEvent(events::RecordUnreadable,
               {{"key", Item.Key}}); // kept: another version may be able to read it
      continue;
    }
    WorkerRecords[Id] = Item.Revision;
    const auto Noted = Left.find(Id);
    workerMayHoldRuns(
        Cell, value(Info),
        inheritedLeaseEnd(From, Longest,
                          Noted == Left.end() ? std::nullopt : std::optional(Noted->second),
                          Cell.Limits));
  }
}

// Without a readable snapshot, the scheduler learns anew.
void SchedulerRunner::loadRunTimes(const KeyRange &Runs) {
  const auto Item = std::find_if(Runs.Items.begin(), Runs.Items.end(),
                                 [](const KeyValue &Of) { return Of.Key == RunTimesKey; });
  const bool IsOff = Cell.HasConfiguration && !Cell.InForce.LearnRunTimes;
  if (IsOff || Item == Runs.Items.end())
    return;
  Result<RunTimeModel> Read = decodeRunTimes(Item->Value, Deps.Time.Now());
  if (ok(Read))
    Cell.RunTimes = std::move(value(Read));
  else
    logEvent(events::RecordUnreadable, {{"key", Item->Key}});
}

Awaitable<Result<Done>> SchedulerRunner::load() {
  const TimePoint Begun = Deps.Time.Now();
  // Read in parallel, since no task starts before all reads have completed. Run records can't
  // change meanwhile: writing them is conditional on this claim. Zones are read again because those
  // known to this process may be older than the claim.
  using namespace asio::experimental::awaitable_operators;
  const auto [Listed, Runs, Intake, Evacuated] =
      co_await (Deps.Store.Range(Deps.WorkerPrefix, false) &&
                Deps.Store.Range(std::string(RunPrefix), false) &&
                Deps.Store.Range(std::string(IntakePrefix), false) &&
                Deps.Store.Range(Deps.EvacuationPrefix, false));
  for (const Result<KeyRange> *Read : {&Listed, &Runs, &Intake, &Evacuated})
    if (!ok(*Read))
      co_return error(*Read);
  if (Stopped)
    co_return Done{};
  EvacuatedZones Zones{{}, value(Evacuated).Revision};
  for (const KeyValue &Item : value(Evacuated).Items)
    Zones.Names.insert(keySuffix(Item.Key, Deps.EvacuationPrefix));
  setEvacuatedZones(std::move(Zones));
  PredecessorStartsUntil = predecessorStartsUntil(Deps.Time.Now());
  loadRunTimes(value(Runs));
  loadWorkers(value(Listed), value(Runs));
  loadJobs(value(Intake), value(Runs));
  noteIntakeKnown(Begun);
  const SelfPtr Self = shared_from_this();
  spawnLater(Deps.Where, watchIntake(Self, value(Intake).Revision));
  WorkerListRevision = value(Listed).Revision;
  noteListAnswer(WorkerListAge, Begun, Milliseconds(0));
  spawnLater(Deps.Where, watchWorkers(Self));
  spawnLater(Deps.Where, saveLoop(Self));
  spawnLater(Deps.Where, recordsLoop(Self));
  spawnLater(Deps.Where, tickLoop(Self));
  startHeartbeats();
  schedulePlacement();
  const auto Took = std::chrono::duration_cast<Milliseconds>(Deps.Time.Now() - Begun);
  Deps.Metrics.count(metrics::Terms);
  logEvent(events::TermBegun, {{"term", std::to_string(OwnClaim.Term)},
                               {"jobs", std::to_string(Cell.Jobs.size())},
                               {"workers", std::to_string(Cell.Workers.size())},
                               {"unheard", std::to_string(Cell.UnreportedWorkers.size())},
                               {"wait_ms", std::to_string(longestWait().count())},
                               {"load_ms", std::to_string(Took.count())}});
  co_return Done{};
}

void SchedulerRunner::applyIntakeItem(const KeyValue &Item, bool Fresh) {
  const LoopSection Work(Loop, LoopWork::Jobs);
  const TimePoint Now = Deps.Time.Now();
  Effects Out;
  if (const auto Cancelled = jobIdFromKey(Item.Key, CancelPrefix)) {
    if (Cell.EndedJobs.count(*Cancelled))
      StaleCancels.insert(*Cancelled);
    cancelJob(Cell, *Cancelled, Now, Out);
    executeEffects(Out);
    return;
  }
  if (Item.Key.starts_with(RevocationPrefix)) {
    applyRevocations(Item, Out);
    executeEffects(Out);
    return;
  }
  const auto Id = jobIdFromKey(Item.Key, JobPrefix);
  if (!Id)
    return;
  Result<StoredJob> Stored = decodeJob(Item.Value);
  if (!ok(Stored)) {
    logEvent(events::RecordUnreadable, {{"key", Item.Key}});
    return;
  }
  StoredJob &Read = value(Stored);
  if (Read.Phase != JobPhase::Live) {
    if (Cell.Jobs.count(*Id) || Cell.EndedJobs.count(*Id))
      return; // written by this scheduler
    Cell.EndedJobs[*Id] = {Read.Phase, Item.Revision, Read.EndedAt, Read.Spec.Organisation};
    Cell.EndedByAge.emplace_back(Read.EndedAt, *Id);
    return;
  }
  Read.Spec.Id = *Id;
  const bool IsNew = !Cell.Jobs.count(*Id) && !Cell.EndedJobs.count(*Id);
  if (IsNew && Fresh)
    Deps.Metrics.observe(metrics::StageSeconds,
                         std::max(Deps.Time.Wall() - Read.Spec.AcceptedAt, WallTime::duration(0)),
                         "intake");
  if (IsNew)
    logEvent(events::JobTaken, {{"job", jobIdText(*Id)},
                                {"steps", std::to_string(Read.Spec.Steps.size())},
                                {"queue", Read.Spec.Queue},
                                {"revision", std::to_string(Item.Revision)},
                                {"new", Fresh ? "yes" : "no"}});
  addJob(Cell, std::make_shared<const JobSpec>(std::move(Read.Spec)), Item.Revision,
         Fresh && Item.Revision > OwnClaim.LeaderRevision, Now);
  applyPendingCancel(Cell, *Id, Now, Out);
  if (applyRevocation(Cell, *Id, Now, Out)) {
    Deps.Metrics.count(metrics::JobsRevoked, "prevented");
    logEvent(events::RevokedJobEnded,
             {{"job", jobIdText(*Id)}, {"revision", std::to_string(Item.Revision)}});
  }
  executeEffects(Out);
}

void SchedulerRunner::announceJob(const std::string &Bytes, uint64_t Revision) {
  if (Stopped || !Cell.Loaded)
    return;
  Result<StoredJob> Stored = decodeJob(Bytes);
  if (!ok(Stored)) {
    logEvent(events::RecordUnreadable, {{"key", "announced"}});
    return;
  }
  applyIntakeItem({jobKey(value(Stored).Spec.Id), Bytes, Revision, 0}, true);
  schedulePlacement();
}

void SchedulerRunner::announceCancel(JobId Id) {
  if (Stopped || !Cell.Loaded)
    return;
  applyIntakeItem({cancelKey(Id), "", 0, 0}, true);
  schedulePlacement();
}

Awaitable<Result<uint64_t>> SchedulerRunner::rereadIntake() {
  const TimePoint SentAt = Deps.Time.Now();
  Result<KeyRange> Read = co_await Deps.Store.Range(std::string(IntakePrefix), false);
  if (!ok(Read))
    co_return error(Read);
  for (const KeyValue &Item : value(Read).Items)
    applyIntakeItem(Item, true);
  noteIntakeKnown(SentAt);
  schedulePlacement();
  co_return value(Read).Revision;
}

TimePoint SchedulerRunner::predecessorStartsUntil(TimePoint LoadedAt) const {
  if (OwnClaim.PredecessorEndedAt)
    return *OwnClaim.PredecessorEndedAt;
  const std::chrono::duration<double, std::milli> Time =
      MaxStartEvidenceAge + OwnClaim.PredecessorOutage;
  return std::min(LoadedAt, OwnClaim.PredecessorConfirmedAt.value_or(LoadedAt)) +
         std::chrono::ceil<Milliseconds>(Time * (1 + 2 * Cell.Limits.ClockDrift));
}

// Until the scheduler before can start nothing more, a watch ends in time for the one that settles
// which jobs it can have known.
Milliseconds SchedulerRunner::intakeWatchTime(TimePoint Now) const {
  const Milliseconds Usual = Deps.Settings.Timing.WatchTime;
  if (!Cell.PredecessorMayStart)
    return Usual;
  const auto Left = std::chrono::ceil<Milliseconds>(PredecessorStartsUntil - Now);
  return std::clamp(Left, Milliseconds(0), Usual);
}

// All jobs are known that were accepted before \p Until.
void SchedulerRunner::noteIntakeKnown(TimePoint Until) {
  if (Until >= PredecessorStartsUntil)
    predecessorEnded(Cell);
}

Awaitable<void> SchedulerRunner::watchIntake(SelfPtr Self, uint64_t From) {
  while (!Self->Stopped) {
    const TimePoint SentAt = Self->Deps.Time.Now();
    Result<KeyChanges> Read = co_await Self->Deps.Store.Watch(std::string(IntakePrefix), From,
                                                              Self->intakeWatchTime(SentAt));
    if (Self->Stopped)
      co_return;
    if (ok(Read)) {
      for (const KeyChange &Change : value(Read).Changes)
        if (!Change.IsRemoved)
          Self->applyIntakeItem(Change.Item, true);
      From = std::max(From, value(Read).Revision);
      if (!mayBeTruncated(value(Read)))
        Self->noteIntakeKnown(SentAt);
      Self->schedulePlacement();
      // Jobs are also announced; the pause batches changes to limit the number of calls.
      if (!value(Read).Changes.empty() && !mayBeTruncated(value(Read)))
        co_await sleepFor(IntakeWatchPause);
      continue;
    }
    if (error(Read).Kind != ErrorKind::NotFound) {
      co_await sleepFor(RetryPause);
      continue; // the next watch starts at the same revision
    }
    Result<uint64_t> Again = co_await Self->rereadIntake();
    if (ok(Again))
      From = value(Again);
    else
      co_await sleepFor(RetryPause);
  }
}

// Decisions.

bool SchedulerRunner::wasSuspended() const {
  return LastTick != TimePoint{} && Deps.Time.Now() - LastTick > Deps.Settings.Timing.LeaderLease;
}

bool SchedulerRunner::isLate() const { return LastLag > LateTick; }

void SchedulerRunner::executeEffects(Effects &Out) {
  if (Stopped)
    return;
  if (wasSuspended())
    return endTerm("this process was suspended for longer than the leader lease");
  if (Out.Deposed)
    return endTerm("a worker has seen a newer scheduler's fencing token");
  reportEffects(Out);
  const SelfPtr Self = shared_from_this();
  for (Effects::Start &Order : Out.Starts)
    spawnLater(Deps.Where, sendStart(Self, std::move(Order), noteOrdered(Pacing, Deps.Time.Now())));
  for (Effects::Stop &Order : Out.Stops)
    spawnLater(Deps.Where, sendStop(Self, std::move(Order)));
  for (Effects::AdviceRequest &Request : Out.AdviceRequests)
    Lanes.add(std::move(Request));
  for (const std::string &Id : Out.ReportRequests)
    spawnLater(Deps.Where, sendHeartbeatNow(Self, Id));
  if (Out.SaveRequested)
    SaveTimer.cancel();
  if (Out.HasNewWorkers)
    startHeartbeats();
  Out = {};
}

void SchedulerRunner::reportCopies(const Effects &Out) {
  const TimePoint Now = Deps.Time.Now();
  const auto MillisUntil = [&](TimePoint When) {
    return std::to_string(std::chrono::duration_cast<Milliseconds>(When - Now).count());
  };
  for (const Effects::CopyStart &What : Out.CopyStarts) {
    Deps.Metrics.count(metrics::Copies, "started");
    logEvent(events::CopyStarted, {{"task", toString(What.Run.Task)},
                                   {"run", std::to_string(What.Run.Run)},
                                   {"worker", What.Worker},
                                   {"slow_run", std::to_string(What.SlowRun)},
                                   {"slow_worker", What.SlowWorker},
                                   {"slow_end_in_ms", MillisUntil(What.PredictedEnd)},
                                   {"copy_end_in_ms", MillisUntil(What.CopyEnd)},
                                   {"objective_in_ms", MillisUntil(What.Objective)}});
  }
  for (const Effects::CopyEnd &What : Out.CopyEnds) {
    Deps.Metrics.count(metrics::Copies, What.Winner == CopyWinner::Copy ? "won" : "lost");
    Deps.Metrics.add(metrics::CopyCoreSeconds, What.CoreSeconds);
    logEvent(events::CopyEnded,
             {{"task", toString(What.Run.Task)},
              {"run", std::to_string(What.Run.Run)},
              {"slow_run", std::to_string(What.SlowRun)},
              {"winner", std::string(toString(What.Winner))},
              {"saved_ms", std::to_string(What.Saved.count())},
              {"core_ms", std::to_string(std::llround(What.CoreSeconds * 1000))}});
  }
}

// Writes the effects that concern jobs to the log and the metrics.
void SchedulerRunner::reportEffects(const Effects &Out) {
  const TimePoint Now = Deps.Time.Now();
  const auto Millis = [](Steady::duration Time) {
    return std::to_string(std::chrono::duration_cast<Milliseconds>(Time).count());
  };
  for (const Effects::Placement &What : Out.Placements) {
    if (What.IsFirst) {
      Deps.Metrics.observe(metrics::FirstStartSeconds, Now - What.RunnableSince);
      Deps.Metrics.observe(metrics::StageSeconds, Now - What.RunnableSince, "place");
    }
    logEvent(events::StepPlaced, {{"step", toString(What.Step)},
                                  {"tasks", std::to_string(What.Tasks)},
                                  {"workers", std::to_string(What.Workers)},
                                  {"waited_ms", Millis(Now - What.RunnableSince)},
                                  {"objective_in_ms", Millis(What.Objective - Now)}});
  }
  for (const Effects::ForecastError &What : Out.ForecastErrors) {
    Deps.Metrics.observe(metrics::ForecastErrorSeconds,
                         std::chrono::abs(What.Waited - What.Expected));
    if (What.IsLogged)
      logEvent(events::ForecastMissed, {{"job", jobIdText(What.Job)},
                                        {"forecast_ms", std::to_string(What.Expected.count())},
                                        {"waited_ms", std::to_string(What.Waited.count())}});
  }
  for (const Effects::Failure &What : Out.Failures)
    logEvent(events::TaskFailed, {{"task", toString(What.Run.Task)},
                                  {"run", std::to_string(What.Run.Run)},
                                  {"worker", What.Worker},
                                  {"failures", std::to_string(What.Failures)},
                                  {"allowed", std::to_string(What.MaxAttempts)}});
  for (const Effects::LastingRunEnd &What : Out.LastingRunEnds) {
    Deps.Metrics.count(metrics::LastingRunEnds, std::string(toString(What.How)));
    logEvent(events::LastingRunEnded, {{"task", toString(What.Run.Task)},
                                       {"run", std::to_string(What.Run.Run)},
                                       {"worker", What.Worker},
                                       {"how", std::string(toString(What.How))},
                                       {"ran_ms", std::to_string(What.RunTime.count())},
                                       {"pause_ms", std::to_string(What.Pause.count())}});
  }
  for (const Effects::LostRun &What : Out.LostRuns) {
    Deps.Metrics.count(metrics::RunsLost, std::string(toString(What.Cause)));
    logEvent(events::RunLost, {{"task", toString(What.Run.Task)},
                               {"run", std::to_string(What.Run.Run)},
                               {"worker", What.Worker},
                               {"how", std::string(toString(What.Cause))},
                               {"ran_ms", std::to_string(What.RunTime.count())},
                               {"crashes", std::to_string(What.StartupCrashes)},
                               {"doubts", std::to_string(What.UnconfirmedCrashes)},
                               {"unanswered", std::to_string(What.UnansweredOrders)},
                               {"losses", std::to_string(What.WeightedCrashes)}});
  }
  for (const UnbookedRun &What : Out.UnbookedRuns) {
    Deps.Metrics.count(metrics::RunsUnbooked, std::string(What.Why));
    logEvent(events::RunUnbooked, {{"task", toString(What.Run.Task)},
                                   {"run", std::to_string(What.Run.Run)},
                                   {"worker", What.Worker},
                                   {"why", std::string(What.Why)},
                                   {"sends", std::to_string(What.Sends)},
                                   {"repeated", What.WasRepeated ? "yes" : "no"},
                                   {"token", std::to_string(What.Token)},
                                   {"current_token", std::to_string(What.CurrentToken)},
                                   {"report_age_ms", std::to_string(What.ReportAge.count())}});
  }
  for (const ContradictedRun &What : Out.ContradictedRuns) {
    Deps.Metrics.count(metrics::RunsContradicted, std::string(What.Why));
    logEvent(events::RunContradicted, {{"task", toString(What.Run.Task)},
                                       {"run", std::to_string(What.Run.Run)},
                                       {"worker", What.Worker},
                                       {"why", std::string(What.Why)},
                                       {"as", std::string(What.As)},
                                       {"since_ms", std::to_string(What.Since.count())}});
  }
  for (const WorkerRestart &What : Out.WorkerRestarts) {
    Deps.Metrics.count(metrics::WorkerRestarts, std::string(What.By));
    logEvent(events::WorkerRestarted,
             {{"worker", What.Worker},
              {"born_ms", std::to_string(What.Born.time_since_epoch().count())},
              {"was_born_ms", std::to_string(What.WasBorn.time_since_epoch().count())},
              {"by", std::string(What.By)},
              {"runs", std::to_string(What.Runs)},
              {"unsaved_ends", std::to_string(What.UnsavedEnds)}});
  }
  for (const QueueMove &What : Out.QueueMoves) {
    Deps.Metrics.add(metrics::JobsMoved, What.Jobs);
    logEvent(events::QueueMoved, {{"queue", What.Queue},
                                  {"from", What.From},
                                  {"to", What.To},
                                  {"version", std::to_string(What.Version)},
                                  {"jobs", std::to_string(What.Jobs)}});
  }
  for (const Effects::CrashCountChange &What : Out.CrashCountChanges)
    logEvent(events::CrashCounted, {{"task", toString(What.Task)},
                                    {"worker", What.Worker},
                                    {"why", std::string(What.Why)},
                                    {"crashes", std::to_string(What.StartupCrashes)},
                                    {"doubts", std::to_string(What.UnconfirmedCrashes)},
                                    {"unanswered", std::to_string(What.UnansweredOrders)}});
  for (const Effects::OverloadChange &What : Out.OverloadChanges)
    logEvent(What.IsOverloaded ? events::OverloadBegun : events::OverloadOver,
             {{"service", What.Service},
              {"jobs_left_out", std::to_string(What.LeftOutJobs)},
              {"work", std::to_string(std::llround(What.WaitingCoreSeconds))},
              {"cores", std::to_string(std::llround(What.Cores))}});
  for (const Effects::SpeedChange &What : Out.SpeedChanges)
    logEvent(What.Band == SpeedBand::Slow ? events::WorkerSlow : events::WorkerNotSlow,
             {{"worker", What.Worker},
              {"machine", What.Machine},
              {"speed_percent", std::to_string(std::lround(What.Speed * 100))}});
  reportCopies(Out);
  for (const Effects::GivenUpTask &What : Out.TasksGivenUp) {
    Deps.Metrics.count(metrics::TasksGivenUp);
    logEvent(events::TaskGivenUp, {{"task", toString(What.Task)},
                                   {"crashes", std::to_string(What.StartupCrashes)},
                                   {"doubts", std::to_string(What.UnconfirmedCrashes)},
                                   {"unanswered", std::to_string(What.UnansweredOrders)},
                                   {"losses", std::to_string(What.WeightedCrashes)}});
  }
}

void SchedulerRunner::schedulePlacement() {
  if (IsPlacementScheduled || Stopped)
    return;
  IsPlacementScheduled = true;
  PlacementTimer.expires_after(
      std::max<Steady::duration>(PlacementDelay, LastPlacementTime * PlacementPauseFactor));
  PlacementTimer.async_wait([Self = shared_from_this()](boost::system::error_code) {
    Self->IsPlacementScheduled = false;
    if (Self->Stopped)
      return;
    Self->runPlacement();
  });
}

void SchedulerRunner::runPlacement() {
  const TimePoint Begun = Deps.Time.Now();
  if (isWorkerListStale() || !mayStartRuns(Evidence, Begun))
    return;
  const LoopSection Work(Loop, LoopWork::Place);
  Effects Out;
  Cell.StartsLeft = startsAllowed(Pacing, Begun);
  place(Cell, Begun, Out);
  if (Cell.WasCutShort)
    noteBound(Pacing);
  LastPlacementTime = Deps.Time.Now() - Begun;
  Deps.Metrics.observe(metrics::PlaceSeconds, LastPlacementTime);
  executeEffects(Out);
}

void SchedulerRunner::noteConfirmation(TimePoint Now) {
  const bool IsConfirmed = mayStartRuns(Evidence, Now);
  if (IsConfirmed == std::exchange(WasConfirmed, IsConfirmed))
    return;
  const auto Age = std::chrono::duration_cast<Milliseconds>(Now - Evidence.ConfirmedAt);
  logEvent(IsConfirmed ? events::LeadershipConfirmed : events::LeadershipUnconfirmed,
           {{"term", std::to_string(OwnClaim.Term)}, {"age_ms", std::to_string(Age.count())}});
}

void SchedulerRunner::runTick() {
  const LoopSection Work(Loop, LoopWork::Tick);
  Effects Out;
  tick(Cell, Deps.Time.Now(), Deps.Time.Wall(), Out);
  executeEffects(Out);
  recheckBusyWorkers();
  refreshWorkerListIfOld();
  saveRunTimesIfDue();
  schedulePlacement();
}

Awaitable<void> SchedulerRunner::tickLoop(SelfPtr Self) {
  while (!Self->Stopped) {
    const TimePoint Due = Self->Deps.Time.Now() + TickInterval;
    co_await sleepFor(TickInterval);
    if (Self->Stopped)
      co_return;
    Self->LastLag = Self->Deps.Time.Now() - Due;
    Self->Loop.MaxLag = std::max(Self->Loop.MaxLag, Self->LastLag);
    if (Self->wasSuspended())
      co_return Self->endTerm("this process was suspended for longer than the leader lease");
    Self->LastTick = Self->Deps.Time.Now();
    updatePacing(Self->Pacing, Self->LastLag, !Self->Cell.Queue.empty(), Self->LastTick);
    Self->Cell.StartRate = startRate(Self->Pacing, Self->LastTick);
    Self->noteConfirmation(Self->LastTick);
    Self->Deps.Metrics.set(metrics::Jobs, static_cast<double>(Self->Cell.Jobs.size()));
    Self->Deps.Metrics.set(metrics::Waiting, static_cast<double>(Self->Cell.Queue.size()));
    Self->Deps.Metrics.set(metrics::LeftOut, Self->Cell.Overload.LeftOutSteps);
    Self->Deps.Metrics.set(metrics::Workers, static_cast<double>(Self->Cell.Workers.size()));
    Self->Deps.Metrics.set(metrics::WorkersSlow, Self->Cell.RunTimes.SlowWorkers);
    Self->Cell.ConfirmedAt = Self->Evidence.ConfirmedAt;
    Self->runTick();
    reportLoopLoad(Self->Loop, Self->Cell, Self->Deps.Time.Processor(), Self->Deps.Traffic.spent(),
                   Self->Deps.Time.Now(), Self->Deps.Metrics);
  }
}

} // namespace valveshelf
