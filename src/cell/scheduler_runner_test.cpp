// SPDX-License-Identifier: Apache-2.0
// One term of the scheduler against an in-memory store and workers: lost calls, overlapping saves,
// obsolete worker records and a stale list of workers.
#include "cell/scheduler_runner.h"

#include "fakes/fake_key_value_store.h"

#include <boost/asio.hpp>
#include <gtest/gtest.h>

#include <thread>

namespace valveshelf {
namespace {
using namespace sched;
using namespace std::chrono_literals;

constexpr std::string_view WorkerPrefix = "servers/";
constexpr std::string_view EvacuationPrefix = "op/evacuate/";

/// A worker whose runs end when the test calls `end`.
struct FakeWorker {
  std::vector<ActiveRun> Active;
  std::vector<EndedRun> Ended;
  std::set<RunKey> Stopped;           ///< Runs that are refused from now on.
  int StartsToLose = 0;               ///< Number of starts that are carried out without an answer.
  int StartsToRepeat = 0;             ///< Starts that are carried out, and refused when sent again.
  int AcksToRepeat = 0;               ///< Acknowledgements that are answered when sent again.
  bool LosesLongPolls = false;        ///< Long polls get no answer.
  bool RefusesOvertakenPolls = false; ///< A long poll ends once a higher token has been seen.
  bool IsReplaced = false;            ///< Another instance answers at its address.
  bool IsCut = false;                 ///< No call reaches it.
  uint64_t Fence = 0;                 ///< Highest fencing token seen in this life.
  uint64_t LastEnd = 0;
  WallTime Born{};
  TimePoint ClockBegan{}; ///< When its clock was at zero.
  int Starts = 0;         ///< Runs begun, over all lives.

  // It crashes and starts again under its id.
  void restart() {
    Active.clear();
    Ended.clear();
    Stopped.clear();
    Fence = LastEnd = 0;
    Born = std::max(wallNow(), Born + 1ms);
    ClockBegan = Steady::now();
  }

  Milliseconds clock() const {
    return std::chrono::duration_cast<Milliseconds>(Steady::now() - ClockBegan);
  }

  // False: refused by the fence.
  bool admits(uint64_t OrderFence) {
    if (OrderFence < Fence)
      return false;
    Fence = OrderFence;
    return true;
  }

  void stop(const RunKey &Run) {
    Stopped.insert(Run);
    if (std::erase_if(Active, [&](const ActiveRun &Row) { return Row.Run == Run; }) > 0)
      Ended.push_back({++LastEnd, Run, RunOutcome::Stopped, ""});
  }

  void end(uint32_t Index) {
    for (size_t I = 0; I < Active.size(); ++I)
      if (Active[I].Run.Task.Index == Index) {
        Ended.push_back({++LastEnd, Active[I].Run, RunOutcome::Done, ""});
        Active.erase(Active.begin() + static_cast<ptrdiff_t>(I));
        return;
      }
  }
};

struct Bench {
  boost::asio::io_context Io;
  fakes::FakeKeyValueStore Store{Io};
  Milliseconds CommitTime{0}; ///< Delay before a commit takes effect.
  std::vector<Transaction> Commits;
  std::map<std::string, FakeWorker> Workers;
  CellSettings Settings;
  CellMetrics Metrics;
  TrafficMeter Traffic{Clock{}};
  BurnBook Burn;
  std::shared_ptr<SchedulerRunner> Runner;
  Steady::duration Suspended{0}; ///< Added to the clock, but not to timers.
  bool HasEnded = false;         ///< The term ended without a call to `stop`.
  Resources Capacity{64000, 64000, 0};
  Milliseconds RangeTime{0};    ///< Delay of each answer to a range read.
  Milliseconds ListDelay{0};    ///< Delay of each answer to a watch of the list of workers.
  bool LosesListWatch = false;  ///< Watches of that list that wait get no answer.
  bool TruncatesList = false;   ///< Answers to them have as many changes as a truncated one.
  Milliseconds StartDelay{0};   ///< Delay before the next start takes effect.
  Milliseconds StartTime{0};    ///< Each start takes as long.
  Milliseconds ReplacedTime{0}; ///< Heartbeats to a worker that was replaced take as long.
  int ReplacedCalls = 0;        ///< Heartbeats that were answered so, or will be.
  std::function<void()> OnStart = [] {}; ///< Called as a start leaves.
  size_t InStart = 0;                    ///< Starts on their way,
  size_t MostInStart = 0;                ///< and the most of them at a time.
  std::vector<uint64_t> Fences;          ///< Of the start orders.
  std::vector<HeartbeatRequest> Heartbeats;
  std::vector<Milliseconds> LeasesLeft; ///< That heartbeats and starts gave, when they arrived.
  bool IsRenewed = true;                ///< The claim is renewed all the time.
  Claim Own{.Term = 1, .LeaderRevision = 2}; ///< The leader key is the first of the constructor.

  Bench() {
    Settings.Member = "a";
    Store.put(std::string(LeaderKey), "me", 0);
    for (const char *Id : {"w0", "w1"}) {
      Workers[Id];
      Store.put(std::string(WorkerPrefix) + Id, "listed", 0);
    }
  }

  ~Bench() {
    if (Runner)
      Runner->stop();
    Io.restart();
    Io.run_for(20ms);
  }

  KeyValueStore storeOps() {
    KeyValueStore Ops = Store.ops();
    Ops.Commit = [this,
                  Inner = Ops.Commit](Transaction What) -> Awaitable<Result<TransactionResult>> {
      Commits.push_back(What);
      co_await sleepFor(CommitTime);
      co_return co_await Inner(std::move(What));
    };
    Ops.Range = [this, Inner = Ops.Range](std::string Prefix,
                                          bool AllowStale) -> Awaitable<Result<KeyRange>> {
      Result<KeyRange> Read = co_await Inner(Prefix, AllowStale);
      co_await sleepFor(RangeTime);
      co_return Read;
    };
    Ops.Watch = [this, Inner = Ops.Watch](std::string Prefix, uint64_t After,
                                          Milliseconds Wait) -> Awaitable<Result<KeyChanges>> {
      const bool IsList = Prefix == WorkerPrefix;
      if (IsList && LosesListWatch && Wait.count() > 0) {
        co_await sleepFor(Wait + 1s);
        co_return Error{ErrorKind::StoreUnavailable, "no answer"};
      }
      const bool Truncates = IsList && TruncatesList;
      Result<KeyChanges> Read = co_await Inner(Prefix, After, Truncates ? 0ms : Wait);
      co_await sleepFor(IsList ? ListDelay : 0ms);
      if (Truncates && ok(Read))
        value(Read).Changes.resize(128, KeyChange{{std::string(WorkerPrefix) + "w0"}, false});
      co_return Read;
    };
    return Ops;
  }

  WorkerLink workerLink() {
    WorkerLink Link;
    Link.Start = [this](StartRun Order) -> Awaitable<StartAnswer> {
      FakeWorker &To = Workers.at(Order.To.Id);
      OnStart();
      Fences.push_back(Order.Fence);
      LeasesLeft.push_back(Order.LeaseUntil - To.clock());
      MostInStart = std::max(MostInStart, ++InStart);
      co_await sleepFor(std::exchange(StartDelay, 0ms) + StartTime);
      --InStart;
      if (!To.admits(Order.Fence))
        co_return StartAnswer{StartResult::RefusedFence, To.clock()};
      if (To.Stopped.count(Order.Run))
        co_return StartAnswer{StartResult::RefusedStaleRun, To.clock()};
      const auto Has = [&](const ActiveRun &Row) { return Row.Run == Order.Run; };
      if (std::none_of(To.Active.begin(), To.Active.end(), Has)) {
        To.Active.push_back({Order.Run, "", 0});
        ++To.Starts;
      }
      if (To.StartsToLose > 0) {
        --To.StartsToLose;
        co_return StartAnswer{StartResult::Unknown, std::nullopt};
      }
      if (To.StartsToRepeat > 0) {
        --To.StartsToRepeat;
        co_return StartAnswer{StartResult::RefusedStaleRun, To.clock(), true};
      }
      co_return StartAnswer{StartResult::Started, To.clock()};
    };
    Link.Stop = [this](StopRun Order) -> Awaitable<Result<Done>> {
      Workers.at(Order.To.Id).stop(Order.Run);
      co_return Done{};
    };
    Link.Heartbeat = [this](HeartbeatRequest Order) { return heartbeat(std::move(Order)); };
    return Link;
  }

  Awaitable<Result<WorkerReport>> heartbeat(HeartbeatRequest Order) {
    FakeWorker &To = Workers.at(Order.To.Id);
    Heartbeats.push_back(Order);
    if (Order.LeaseUntil)
      LeasesLeft.push_back(*Order.LeaseUntil - To.clock());
    if (To.IsCut)
      co_return Error{ErrorKind::UpstreamUnavailable, "no answer"};
    if (To.IsReplaced) {
      ++ReplacedCalls;
      co_await sleepFor(ReplacedTime);
      co_return Error{ErrorKind::NotFound, "another incarnation"};
    }
    if (To.LosesLongPolls && Order.Wait.count() > 0) {
      co_await sleepFor(Order.Wait + Order.Timeout);
      co_return Error{ErrorKind::UpstreamCut, "no answer"};
    }
    if (!To.admits(Order.Fence))
      co_return Error{ErrorKind::NotOwner, "a newer fencing token"};
    std::erase_if(To.Ended, [&](const EndedRun &End) { return End.Number <= Order.ForgetThrough; });
    const TimePoint Until = Steady::now() + Order.Wait;
    const WallTime Life = To.Born;
    while (To.Ended.empty() && Steady::now() < Until) {
      co_await sleepFor(1ms);
      if (To.RefusesOvertakenPolls && Order.Fence < To.Fence)
        co_return Error{ErrorKind::NotOwner, "a newer fencing token"};
      if (To.Born != Life)
        co_return Error{ErrorKind::UpstreamCut, "the worker has crashed"};
    }
    WorkerReport Report{To.Born, To.clock(), To.Active, To.Ended};
    Report.WasRepeated = Order.ForgetThrough > 0 && To.AcksToRepeat > 0;
    To.AcksToRepeat -= Report.WasRepeated ? 1 : 0;
    co_return Report;
  }

  void submit(JobId Id, uint32_t Tasks) {
    JobSpec Spec;
    Spec.Id = Id;
    Spec.Queue = "q";
    Spec.Service = "pool";
    Spec.MaxAttempts = 3;
    Spec.AcceptedAt = Clock{}.Wall();
    Spec.ObjectiveSlack = 60s;
    StepSpec Step;
    Step.Count = Tasks;
    Step.Need = {1000, 100, 0};
    Step.Estimate = 1s;
    Spec.Steps.push_back(Step);
    Store.put(jobKey(Id), encodeJob(Spec), 0);
  }

  void start() {
    SchedulerDependencies Deps{
        Io.get_executor(),
        Clock{[this] { return Steady::now() + Suspended; }, Clock{}.Wall},
        Settings,
        storeOps(),
        workerLink(),
        {},
        std::string(WorkerPrefix),
        std::string(EvacuationPrefix),
        [this](std::string_view Id, std::string_view Bytes) -> Result<WorkerInfo> {
          if (Bytes != "listed")
            return Error{ErrorKind::BadRequest, "malformed entry"};
          WorkerInfo Info;
          Info.Id = Id;
          Info.Service = "pool";
          Info.Zone = "north";
          Info.Capacity = Capacity;
          return Info;
        },
        Metrics,
        Burn,
        [this] { return !Store.Down; },
        Traffic};
    Own.SentAt = Deps.Time.Now();
    Runner = std::make_shared<SchedulerRunner>(Deps, Own, [this] { HasEnded = true; });
    Runner->start();
  }

  bool runUntil(const std::function<bool()> &Holds, Milliseconds Most = 5s) {
    const TimePoint Limit = Steady::now() + Most;
    while (!Holds() && Steady::now() < Limit) {
      if (IsRenewed && Runner)
        Runner->leadershipRenewed(Steady::now() + Suspended);
      Io.restart();
      Io.run_for(2ms);
    }
    return Holds();
  }

  size_t running() const {
    size_t Sum = 0;
    for (const auto &[Id, On] : Workers)
      Sum += On.Active.size();
    return Sum;
  }
  bool isComplete(JobId Id) const {
    Result<StoredJob> Read = decodeJob(Store.value(jobKey(Id)));
    return ok(Read) && value(Read).Phase == JobPhase::Completed;
  }
};

// Runs that ended on a worker whose long poll was lost are seen long before that call times out.
TEST(SchedulerRunner, SendsHeartbeatsToBusyWorkersWhileCallsAreLost) {
  Bench Given;
  for (auto &[Id, On] : Given.Workers) {
    On.StartsToLose = 1;
    On.LosesLongPolls = true;
  }
  Given.submit(1, 20);
  Given.start();
  ASSERT_TRUE(Given.runUntil([&] { return Given.running() == 20; }));
  // Tasks of priority 0 are spread over the workers, so both have lost an answer.
  for (auto &[Id, On] : Given.Workers) {
    ASSERT_FALSE(On.Active.empty());
    while (!On.Active.empty())
      On.end(On.Active.front().Run.Task.Index);
  }
  EXPECT_TRUE(Given.runUntil([&] { return Given.isComplete(1); }, 1500ms));
}

// Guards against a list of workers that counts as out of date, so that nothing is started, while a
// late process reads its changes more slowly than they come.
TEST(SchedulerRunner, StartsRunsWhileChangesOfTheListComeFasterThanTheyAreRead) {
  Bench Given;
  Given.TruncatesList = true;
  Given.ListDelay = 300ms;
  Given.start();
  EXPECT_FALSE(Given.runUntil([] { return false; }, 3800ms));
  Given.submit(1, 4);
  EXPECT_TRUE(Given.runUntil([&] { return Given.running() == 4; }, 1000ms));
}

// Guards against a burst of starts that delays everything else in the event loop, and themselves.
TEST(SchedulerRunner, HasABoundedNumberOfStartsInProgress) {
  Bench Given;
  Given.Capacity = {1'000'000, 1'000'000, 0};
  Given.StartTime = 5ms;
  Given.submit(1, 1500);
  Given.start();
  EXPECT_TRUE(Given.runUntil([&] { return Given.running() == 1500; }, 20s));
  EXPECT_LE(Given.MostInStart, MaxStartWindow);
}

// Guards against a further call for each start that overtakes the acknowledgement of an earlier
// end.
TEST(SchedulerRunner, APollThatAStartHasOvertakenIsFollowedByAPoll) {
  Bench Given;
  for (auto &[Id, On] : Given.Workers)
    On.RefusesOvertakenPolls = true;
  Given.submit(1, 2);
  Given.start();
  ASSERT_TRUE(Given.runUntil([&] { return Given.running() == 2; }));
  for (auto &[Id, On] : Given.Workers)
    while (!On.Active.empty())
      On.end(On.Active.front().Run.Task.Index);
  ASSERT_TRUE(Given.runUntil([&] { return Given.isComplete(1); }));
  const auto IsAcknowledging = [](const HeartbeatRequest &Order) {
    return Order.Wait.count() > 0 && Order.ForgetThrough > 0;
  };
  ASSERT_TRUE(Given.runUntil([&] {
    return std::any_of(Given.Heartbeats.begin(), Given.Heartbeats.end(), IsAcknowledging);
  }));
  const size_t Before = Given.Heartbeats.size();
  Given.submit(2, 4);
  ASSERT_TRUE(Given.runUntil([&] { return Given.running() == 4; }));
  Given.runUntil([] { return false; }, 100ms);
  ASSERT_GT(Given.Heartbeats.size(), Before);
  for (size_t I = Before; I < Given.Heartbeats.size(); ++I)
    EXPECT_GT(Given.Heartbeats[I].Wait, 0ms);
}

// Guards against questions to busy workers that a late process adds to its load: its own lag is no
// sign of lost calls.
TEST(SchedulerRunner, AsksNoWorkerAgainWhileItIsLateItself) {
  Bench Given;
  for (auto &[Id, On] : Given.Workers) {
    On.StartsToLose = 1;
    On.LosesLongPolls = true;
  }
  Given.submit(1, 20);
  Given.start();
  ASSERT_TRUE(Given.runUntil([&] { return Given.running() == 20; }));
  const auto BeLate = [] {
    std::this_thread::sleep_for(150ms);
    return false;
  };
  Given.runUntil(BeLate, 500ms);
  Given.Heartbeats.clear();
  Given.runUntil(BeLate, 1200ms);
  EXPECT_EQ(std::count_if(Given.Heartbeats.begin(), Given.Heartbeats.end(),
                          [](const HeartbeatRequest &Sent) { return Sent.Wait == 0ms; }),
            0);
}

// Guards against runs that are started again although they were done, and against runs that are
// never heard of again: a worker that starts again under its id counts its ends from one, and its
// clock from zero.
TEST(SchedulerRunner, HearsOfTheRunsOfAWorkerThatRestarted) {
  Bench Given;
  Given.Workers.erase("w1");
  Given.Store.remove(std::string(WorkerPrefix) + "w1");
  FakeWorker &On = Given.Workers.at("w0");
  On.Born = wallNow();
  Given.start();
  Given.submit(1, 1);
  ASSERT_TRUE(Given.runUntil([&] { return Given.running() == 1; }));
  On.end(0);
  ASSERT_TRUE(Given.runUntil([&] { return Given.isComplete(1); }));
  On.restart();
  Given.submit(2, 1);
  ASSERT_TRUE(Given.runUntil([&] { return Given.running() == 1; }));
  On.end(0);
  EXPECT_TRUE(Given.runUntil([&] { return Given.isComplete(2); }));
  EXPECT_EQ(On.Starts, 2);
}

// Guards against an order for an earlier life that a worker carries out late: the id is all that it
// names. Its refusal does not mean that there is a newer scheduler.
TEST(SchedulerRunner, AnOrderForAnEarlierLifeIsRefusedByTheNextOne) {
  Bench Given;
  Given.Workers.erase("w1");
  Given.Store.remove(std::string(WorkerPrefix) + "w1");
  FakeWorker &On = Given.Workers.at("w0");
  On.Born = wallNow();
  Given.start();
  Given.submit(1, 1);
  ASSERT_TRUE(Given.runUntil([&] { return Given.running() == 1; }));
  Given.StartDelay = 600ms;
  Given.submit(2, 1);
  ASSERT_TRUE(Given.runUntil([&] { return Given.Fences.size() == 2; }));
  On.restart();
  ASSERT_TRUE(Given.runUntil([&] { return Given.Fences.size() >= 3; }))
      << "the run of the first job is lost";
  ASSERT_TRUE(Given.runUntil([&] { return Given.Fences.size() >= 4; }))
      << "so is the order on its way";
  Given.runUntil([] { return false; }, 800ms);
  EXPECT_GT(Given.Fences.back(), Given.Fences.front());
  EXPECT_EQ(Given.running(), 2U);
  EXPECT_EQ(On.Starts, 3) << "the order on its way was carried out";
  EXPECT_FALSE(Given.HasEnded);
}

// Guards against a lease that a new life takes for longer than the scheduler reckons with, so that
// its runs go on when they count as over: the worker was removed and listed again while its
// heartbeat was held, and the lease was reckoned by the clock of the life that was removed.
TEST(SchedulerRunner, AWorkerThatIsListedAgainHasNoLeaseBeforeItsFirstReport) {
  Bench Given;
  Given.Workers.erase("w1");
  Given.Store.remove(std::string(WorkerPrefix) + "w1");
  FakeWorker &On = Given.Workers.at("w0");
  On.Born = wallNow();
  Given.start();
  Given.submit(1, 1);
  ASSERT_TRUE(Given.runUntil([&] { return Given.running() == 1; }));
  On.end(0);
  ASSERT_TRUE(Given.runUntil([&] { return Given.isComplete(1) && On.Ended.empty(); }));
  Given.runUntil([] { return false; }, 100ms);
  ASSERT_GT(Given.Heartbeats.back().Wait.count(), 0) << "heartbeats are held after a run";
  ASSERT_TRUE(Given.Heartbeats.back().LeaseUntil);
  const uint64_t Removed = Given.Heartbeats.back().Fence;
  Given.Store.remove(std::string(WorkerPrefix) + "w0");
  Given.runUntil([] { return false; }, 400ms);
  Given.Store.put(std::string(WorkerPrefix) + "w0", "listed", 0);
  Given.runUntil([] { return false; }, 400ms);
  ASSERT_EQ(Given.Heartbeats.back().Fence, Removed) << "the heartbeat is no longer held";
  const size_t Before = Given.Heartbeats.size();
  On.restart();
  ASSERT_TRUE(Given.runUntil([&] { return Given.Heartbeats.size() > Before; }));
  EXPECT_GT(Given.Heartbeats[Before].Fence, Removed);
  EXPECT_FALSE(Given.Heartbeats[Before].LeaseUntil);
}

// Guards against runs that count as over with their worker: a call to its earlier life met another
// instance, and that answer is read once the next life holds runs.
TEST(SchedulerRunner, ALate421ToAnEarlierCallEndsNoRun) {
  Bench Given;
  Given.Workers.erase("w1");
  Given.Store.remove(std::string(WorkerPrefix) + "w1");
  Given.Settings.Timing.HeartbeatWait = 20ms;
  FakeWorker &On = Given.Workers.at("w0");
  On.Born = wallNow();
  Given.start();
  Given.submit(1, 1);
  ASSERT_TRUE(Given.runUntil([&] { return Given.running() == 1; }));
  Given.ReplacedTime = 600ms;
  On.IsReplaced = true;
  ASSERT_TRUE(Given.runUntil([&] { return Given.ReplacedCalls > 0; }));
  On.IsReplaced = false;
  On.restart();
  Given.submit(2, 1);
  ASSERT_TRUE(Given.runUntil([&] { return Given.running() == 1; }, 300ms));
  const RunKey Held = On.Active.front().Run;
  ASSERT_EQ(Held.Task.Step.Job, 2u);
  const FakeWorker &Other = Given.Workers["w1"];
  Given.Store.put(std::string(WorkerPrefix) + "w1", "listed", 0);
  Given.runUntil([] { return false; }, 1500ms);
  const auto OfJob = [&](const ActiveRun &Row) { return Row.Run.Task == Held.Task; };
  EXPECT_EQ(std::count_if(On.Active.begin(), On.Active.end(), OfJob), 1);
  EXPECT_EQ(std::count_if(Other.Active.begin(), Other.Active.end(), OfJob), 0);
  while (!On.Active.empty())
    On.end(0);
  EXPECT_TRUE(Given.runUntil([&] { return Given.isComplete(2); }));
}

// Guards against a second run of a task: its order was carried out, its connection was reset, and
// the order that the client sent again was refused.
TEST(SchedulerRunner, ARefusalOfAnOrderThatTheClientSentAgainStartsNoOtherRun) {
  Bench Given;
  for (auto &[Id, On] : Given.Workers)
    On.StartsToRepeat = 1;
  Given.submit(1, 1);
  Given.start();
  ASSERT_TRUE(Given.runUntil([&] { return Given.running() == 1; }));
  Given.runUntil([] { return false; }, 300ms);
  EXPECT_EQ(Given.Workers.at("w0").Starts + Given.Workers.at("w1").Starts, 1);
  for (auto &[Id, On] : Given.Workers)
    On.end(0);
  EXPECT_TRUE(Given.runUntil([&] { return Given.isComplete(1); }));
  EXPECT_EQ(Given.Workers.at("w0").Starts + Given.Workers.at("w1").Starts, 1);
}

// Guards against an end that the next life of a worker forgets unread: the client has sent an
// acknowledgement again, and the first one is carried out late. A start raises the token, as for
// one without an answer.
TEST(SchedulerRunner, AnAcknowledgementThatTheClientSentAgainIsNotAnswered) {
  for (const bool IsRepeated : {false, true}) {
    Bench Given;
    Given.Workers.erase("w1");
    Given.Store.remove(std::string(WorkerPrefix) + "w1");
    Given.Settings.Timing.HeartbeatWait = 20ms;
    FakeWorker &On = Given.Workers.at("w0");
    On.AcksToRepeat = IsRepeated ? 1 : 0;
    Given.start();
    Given.submit(1, 1);
    ASSERT_TRUE(Given.runUntil([&] { return Given.running() == 1; }));
    On.end(0);
    ASSERT_TRUE(Given.runUntil([&] { return Given.isComplete(1) && On.Ended.empty(); }));
    Given.runUntil([] { return false; }, 300ms); // no heartbeat is held any more
    EXPECT_EQ(On.AcksToRepeat, 0);
    Given.submit(2, 1);
    ASSERT_TRUE(Given.runUntil([&] { return Given.running() == 1; }));
    ASSERT_EQ(Given.Fences.size(), 2u);
    EXPECT_EQ(Given.Fences[1] > Given.Fences[0], IsRepeated);
  }
}

// Guards against a worker that is given more than it has room for: a job is cancelled while its
// start orders leave, and they arrive after the stops.
TEST(SchedulerRunner, OrdersOfRunsThatAreBeingStoppedLeaveNoRun) {
  Bench Given;
  Given.Capacity = {1000, 100, 0}; // one run on each worker
  Given.StartTime = 100ms;
  bool IsCancelled = false;
  Given.OnStart = [&] {
    if (!std::exchange(IsCancelled, true))
      Given.Runner->announceCancel(1);
  };
  Given.submit(1, 2);
  Given.start();
  ASSERT_TRUE(Given.runUntil([&] { return Given.Fences.size() == 2; }));
  Given.submit(2, 2);
  ASSERT_TRUE(Given.runUntil([&] { return Given.running() == 2; }));
  Given.runUntil([] { return false; }, 300ms);
  for (const auto &[Id, On] : Given.Workers) {
    ASSERT_EQ(On.Active.size(), 1u) << Id;
    EXPECT_EQ(On.Active[0].Run.Task.Step.Job, 2u) << Id;
  }
  EXPECT_EQ(Given.Workers.at("w0").Starts + Given.Workers.at("w1").Starts, 2);
}

TEST(SchedulerRunner, SavesJobEndWhileProgressSaveIsInFlight) {
  Bench Given;
  Given.submit(1, 2);
  Given.start();
  ASSERT_TRUE(Given.runUntil([&] { return Given.running() == 2; }));
  Given.CommitTime = 700ms;
  // One run on each worker, so that neither end delays the other.
  ASSERT_EQ(Given.Workers.at("w0").Active.size(), 1u);
  const auto Saves = [&] {
    return std::count_if(Given.Commits.begin(), Given.Commits.end(), [](const Transaction &What) {
      return !What.Puts.empty() &&
             (What.Puts[0].Key == progressKey(1) || What.Puts[0].Key == jobKey(1));
    });
  };
  Given.Workers.at("w0").end(Given.Workers.at("w0").Active.front().Run.Task.Index);
  ASSERT_TRUE(Given.runUntil([&] { return Saves() == 1; }));
  Given.Workers.at("w1").end(Given.Workers.at("w1").Active.front().Run.Task.Index);
  EXPECT_TRUE(Given.runUntil([&] { return Saves() == 2; }, 400ms));
  EXPECT_FALSE(Given.isComplete(1));
  EXPECT_TRUE(Given.runUntil([&] { return Given.isComplete(1); }));
  EXPECT_TRUE(Given.runUntil([&] { return Given.Store.value(progressKey(1)).empty(); }));
}

// A removal that the store applies late must not remove the record of a worker that is in use
// again.
TEST(SchedulerRunner, RemovesWorkerRecordOnlyAtKnownRevision) {
  Bench Given;
  WorkerInfo Gone;
  Gone.Id = "gone";
  Gone.Service = "pool";
  Gone.Address = {"127.0.0.1", 5};
  Given.Store.put(workerKey("gone"), encodeWorkerRecord(Gone), 0);
  Given.Workers["gone"].IsReplaced = true;
  Given.start();
  ASSERT_TRUE(Given.runUntil([&] { return Given.Store.value(workerKey("gone")).empty(); }));
  for (const Transaction &What : Given.Commits)
    if (std::count(What.Removes.begin(), What.Removes.end(), workerKey("gone")) > 0) {
      const auto Guards = [&](const Transaction::Condition &Row) {
        return Row.Key == workerKey("gone") && Row.Revision != 0;
      };
      EXPECT_TRUE(std::any_of(What.Conditions.begin(), What.Conditions.end(), Guards));
    }
}

TEST(SchedulerRunner, KeepsUnreadableWorkerRecord) {
  Bench Given;
  Given.Store.put(workerKey("strange"), "\xff\xff", 0);
  Given.start();
  ASSERT_TRUE(Given.runUntil([&] { return Given.Runner->loaded(); }));
  Given.runUntil([] { return false; }, 400ms);
  EXPECT_FALSE(Given.Store.value(workerKey("strange")).empty());
}

// The snapshot of learned run times is written under this term's claim, at most every 10 s, and
// only while something has changed.
TEST(SchedulerRunner, WritesLearnedRunTimesEveryTenSeconds) {
  Bench Given;
  Given.Store.put(std::string(RunTimesKey), "\xff\xff", 0); // unreadable: does not stop the load
  Given.submit(1, 4);
  Given.start();
  Given.Runner->setConfiguration({});
  ASSERT_TRUE(Given.runUntil([&] { return Given.running() == 4; }));
  for (auto &[Id, On] : Given.Workers)
    while (!On.Active.empty())
      On.end(On.Active.front().Run.Task.Index);
  ASSERT_TRUE(Given.runUntil([&] { return Given.isComplete(1); }));
  const auto Writes = [&] {
    return std::count_if(Given.Commits.begin(), Given.Commits.end(), [](const Transaction &What) {
      const bool IsSnapshot = !What.Puts.empty() && What.Puts[0].Key == RunTimesKey;
      EXPECT_TRUE(!IsSnapshot || What.Conditions.at(0).Key == LeaderKey);
      return IsSnapshot;
    });
  };
  for (int Second = 1; Second <= 25; ++Second) {
    Given.Suspended += 1s;
    Given.runUntil([] { return false; }, 120ms);
    EXPECT_EQ(Writes(), Second >= 11 ? 1 : Second <= 8 ? 0 : Writes()) << Second;
  }
  const Result<RunTimeModel> Read =
      decodeRunTimes(Given.Store.value(std::string(RunTimesKey)), Steady::now());
  ASSERT_TRUE(ok(Read));
  EXPECT_EQ(value(Read).Queues.count("q"), 1U);
}

// After a suspension longer than the leader lease another process may be the scheduler, so nothing
// more may be sent to workers.
TEST(SchedulerRunner, EndsTermAfterSuspension) {
  Bench Given;
  Given.start();
  ASSERT_TRUE(Given.runUntil([&] { return Given.Runner->loaded(); }));
  Given.submit(1, 4);
  ASSERT_TRUE(Given.runUntil([&] { return Given.running() == 4; }));
  Given.Suspended = 3s;
  Given.submit(2, 4);
  EXPECT_TRUE(Given.runUntil([&] { return Given.HasEnded; }, 1s));
  EXPECT_EQ(Given.running(), 4u);
}

// A malformed entry of another writer must not become a worker, nor affect the other entries.
TEST(SchedulerRunner, IgnoresMalformedWorkerEntries) {
  Bench Given;
  Given.Store.put(std::string(WorkerPrefix) + "w2", "\xff{", 0);
  Given.start();
  ASSERT_TRUE(Given.runUntil([&] { return Given.Runner->loaded(); }));
  Given.submit(1, 4);
  ASSERT_TRUE(Given.runUntil([&] { return Given.running() == 4; }));
  Given.Store.put(std::string(WorkerPrefix) + "w1", "{}", 0); // overwrites a worker's entry
  Given.runUntil([] { return false; }, 600ms);                // until the watch delivers it
  const size_t Before = Given.Workers.at("w1").Active.size();
  Given.submit(2, 8);
  EXPECT_TRUE(Given.runUntil([&] { return Given.running() == 12; }));
  EXPECT_EQ(Given.Workers.at("w1").Active.size(), Before);
  // The worker writes its entry again.
  Given.Store.put(std::string(WorkerPrefix) + "w1", "listed", 0);
  Given.runUntil([] { return false; }, 600ms);
  Given.submit(3, 8);
  EXPECT_TRUE(Given.runUntil([&] { return Given.Workers.at("w1").Active.size() > Before; }));
}

// A reduced capacity must be noticed even if the store's watch answers omit the change.
TEST(SchedulerRunner, NoticesReducedCapacityDespiteSilentWatch) {
  Bench Given;
  Given.Settings.Timing.WatchTime = 300ms;
  Given.Store.IsWatchSilent = true;
  Given.start();
  ASSERT_TRUE(Given.runUntil([&] { return Given.Runner->loaded(); }));
  Given.Capacity = {1000, 64000, 0}; // for one task
  for (const char *Id : {"w0", "w1"})
    Given.Store.put(std::string(WorkerPrefix) + Id, "listed", 0);
  Given.runUntil([] { return false; }, 1200ms);
  Given.submit(1, 8);
  Given.Runner->announceJob(Given.Store.value(jobKey(1)), 100);
  EXPECT_TRUE(Given.runUntil([&] { return Given.running() == 2; }));
  Given.runUntil([] { return false; }, 200ms);
  EXPECT_EQ(Given.running(), 2u);
}

// Right after loading no rates are known, and refusals would be arbitrary.
TEST(SchedulerRunner, PublishesForecastsFromOneSecondAfterLoading) {
  Bench Given;
  Given.Settings.Features.Admission = Switch::On;
  Given.start();
  ASSERT_TRUE(Given.runUntil([&] { return Given.Runner->loaded(); }));
  const TimePoint LoadedAt = Steady::now();
  CellConfiguration Config;
  Config.Services = {{"pool"}};
  Config.Queues = {{"q", "", "/", "pool", 0}};
  Given.Runner->setConfiguration(Config);
  EXPECT_FALSE(Given.Runner->forecast());
  ASSERT_TRUE(Given.runUntil([&] { return Given.Runner->forecast() != nullptr; }, 2s));
  EXPECT_GE(Steady::now() - LoadedAt, 990ms);
  EXPECT_EQ(Given.Runner->forecast()->Term, 1u);
  EXPECT_EQ(Given.Runner->forecast()->Services.at("pool").size(), 1u);
  EXPECT_NE(Given.Runner->describeLoad().find("forecast_age_ms"), std::string::npos);
}

// Late watch answers make the list stale; runs could be started on draining workers.
TEST(SchedulerRunner, StartsNothingWhileWorkerListIsStale) {
  Bench Given;
  Given.start();
  ASSERT_TRUE(Given.runUntil([&] { return Given.Runner->loaded(); }));
  Given.ListDelay = 60s;
  Given.runUntil([] { return false; }, 5s);
  Given.submit(1, 4);
  Given.runUntil([] { return false; }, 700ms);
  EXPECT_EQ(Given.running(), 0u);
  EXPECT_NE(Given.Metrics.text().find("valveshelf_worker_list_age_seconds 5"), std::string::npos);
  Given.ListDelay = 0ms;
  EXPECT_TRUE(Given.runUntil([&] { return Given.running() == 4; }));
}

// During a store outage the list can't be refreshed, and runs are still started by the known list.
TEST(SchedulerRunner, KeepsStartingRunsDuringStoreOutage) {
  Bench Given;
  Given.submit(1, 4);
  Given.start();
  ASSERT_TRUE(Given.runUntil([&] { return Given.running() == 4; }));
  Given.submit(2, 4);
  Given.Runner->announceJob(Given.Store.value(jobKey(2)), 100);
  Given.Store.Down = true;
  EXPECT_TRUE(Given.runUntil([&] { return Given.running() == 8; }));
  Given.runUntil([] { return false; }, 3500ms);
  Given.Store.Down = false;
  Given.submit(3, 4);
  const std::string Job = Given.Store.value(jobKey(3));
  Given.Store.Down = true;
  Given.Runner->announceJob(Job, 101);
  EXPECT_TRUE(Given.runUntil([&] { return Given.running() == 12; }, 1s));
}

TEST(SchedulerRunner, RefreshesWorkerListWhenWatchAnswersAreLost) {
  Bench Given;
  Given.LosesListWatch = true;
  Given.start();
  ASSERT_TRUE(Given.runUntil([&] { return Given.Runner->loaded(); }));
  Given.Store.put(std::string(WorkerPrefix) + "w1", "{}", 0); // malformed: no longer a worker
  Given.runUntil([] { return false; }, 2300ms);
  Given.submit(1, 8);
  ASSERT_TRUE(Given.runUntil([&] { return Given.running() == 8; }, 1s));
  EXPECT_EQ(Given.Workers.at("w1").Active.size(), 0u);
}

// Loading must read all prefixes in parallel: serial reads would delay a takeover on a slow store.
TEST(SchedulerRunner, LoadsAllPrefixesInParallel) {
  Bench Given;
  Given.RangeTime = 300ms;
  Given.start();
  EXPECT_TRUE(Given.runUntil([&] { return Given.Runner->loaded(); }, 550ms));
}

// Zones to evacuate must be known before the first run is started.
TEST(SchedulerRunner, LoadsEvacuatedZonesBeforeStartingRuns) {
  Bench Given;
  Given.Store.put(std::string(EvacuationPrefix) + "north", "{}", 0);
  Given.submit(1, 4);
  Given.start();
  Given.runUntil([] { return false; }, 300ms);
  EXPECT_EQ(Given.running(), 0u) << "all workers are in the evacuated zone";
  Given.Runner->setEvacuatedZones({{}, 1000000});
  EXPECT_TRUE(Given.runUntil([&] { return Given.running() == 4; }));
}

// Each check-in of a large cell's workers is a change of the list, and the store returns at most
// 500 per answer. A pause after each answer would delay the detection of draining workers.
TEST(SchedulerRunner, KeepsUpWithCheckInsOfLargeCell) {
  Bench Given;
  Given.start();
  ASSERT_TRUE(Given.runUntil([&] { return Given.Runner->loaded(); }));
  for (int I = 0; I < 5000; ++I)
    Given.Store.put(std::string(WorkerPrefix) + "w0", "listed", 0);
  Given.Store.put(std::string(WorkerPrefix) + "w1", "{}", 0); // malformed: no longer a worker
  Given.runUntil([] { return false; }, 700ms); // ten answers; a pause after each would take 2.5 s
  Given.submit(1, 8);
  ASSERT_TRUE(Given.runUntil([&] { return Given.running() == 8; }, 2s));
  EXPECT_EQ(Given.Workers.at("w1").Active.size(), 0u);
}

// Guards against a scheduler that was cut off together with a worker and goes on extending its
// lease while a successor takes it for over.
TEST(SchedulerRunner, LeasesEndWithTheLastConfirmationOfLeadership) {
  Bench Given;
  Given.Settings.Timing.WorkerLease = 1500ms;
  Given.Settings.Timing.HeartbeatWait = 20ms;
  Given.submit(1, 1);
  Given.start();
  ASSERT_TRUE(Given.runUntil([&] { return Given.running() == 1; }));
  Given.IsRenewed = false;
  const TimePoint Confirmed = Given.Runner->leadershipConfirmedAt();
  Given.LeasesLeft.clear();
  Given.runUntil([] { return false; }, 800ms);
  ASSERT_FALSE(Given.LeasesLeft.empty());
  EXPECT_LE(Given.LeasesLeft.back(), 1500ms - 700ms);
  Given.runUntil([&] { return Steady::now() > Confirmed + 1500ms; });
  Given.LeasesLeft.clear();
  const size_t Before = Given.Heartbeats.size();
  Given.runUntil([] { return false; }, 200ms);
  EXPECT_GT(Given.Heartbeats.size(), Before) << "reports are asked for";
  EXPECT_TRUE(Given.LeasesLeft.empty());
  Given.IsRenewed = true;
  Given.runUntil([] { return false; }, 100ms);
  EXPECT_FALSE(Given.LeasesLeft.empty());
}

// Peers confirm a scheduler in an outage of the store, but not for ever: a successor waits for
// that.
TEST(SchedulerRunner, PeersConfirmLeadershipForTheLongestOutage) {
  Bench Given;
  Given.Settings.Timing.MaxOutage = 1s;
  Given.start();
  const TimePoint Renewed = Given.Runner->leadershipConfirmedAt();
  Given.Runner->leadershipConfirmedByPeers(Renewed + 700ms);
  EXPECT_EQ(Given.Runner->leadershipConfirmedAt(), Renewed + 700ms);
  Given.Runner->leadershipConfirmedByPeers(Renewed + 1700ms);
  EXPECT_EQ(Given.Runner->leadershipConfirmedAt(), Renewed + 1s);
}

// Guards against starts by a scheduler whose successor takes a job for one that nobody has started.
TEST(SchedulerRunner, StartsNothingUnlessItsLeadershipIsConfirmed) {
  Bench Given;
  Given.start();
  ASSERT_TRUE(Given.runUntil([&] { return Given.Heartbeats.size() >= 2; }));
  Given.IsRenewed = false;
  Given.runUntil([] { return false; }, MaxStartEvidenceAge + 50ms);
  Given.submit(1, 1);
  Given.runUntil([] { return false; }, 500ms);
  EXPECT_EQ(Given.running(), 0U);
  Given.IsRenewed = true;
  EXPECT_TRUE(Given.runUntil([&] { return Given.running() == 1; }));
}

// Guards against a start on another worker while the scheduler before goes on in an outage and
// nobody who knows of this term can be asked by it.
TEST(SchedulerRunner, WaitsLongerForAPredecessorThatMayGoOnWithoutTheStore) {
  Bench Given;
  Given.Settings.Timing.WorkerLease = 100ms;
  Given.Own.PredecessorOutage = 2s;
  WorkerInfo Cut;
  Cut.Id = "cut";
  Cut.Service = "pool";
  Cut.Address = {"127.0.0.1", 1};
  Given.Store.put(workerKey("cut"), encodeWorkerRecord(Cut), 0);
  Given.Workers["cut"].IsCut = true;
  Given.submit(1, 1);
  const TimePoint Begun = Steady::now();
  Given.start();
  ASSERT_TRUE(Given.runUntil([&] { return Given.running() == 1; }, 8s));
  EXPECT_GE(Steady::now() - Begun, 2100ms);
}

// Revocations: cancellations of jobs that did not exist. Whichever scheduler learns of the job must
// know of them before.

std::string revocationOf(JobId Id, const std::string &Organisation = "") {
  return encodeRevocations({{Id, Organisation}});
}

bool isCancelled(const Bench &Given, JobId Id) {
  Result<StoredJob> Read = decodeJob(Given.Store.value(jobKey(Id)));
  return ok(Read) && value(Read).Phase == JobPhase::Cancelled;
}

// A takeover of a job that an earlier scheduler may have started on "w0", which is cut off.
void takeOverFromLostWorker(Bench &Given, uint64_t Term) {
  Given.Workers.at("w0").IsCut = true;
  Given.Store.put(workerKey("w0"),
                  encodeWorkerRecord({.Id = "w0", .Service = "pool", .Address = {"127.0.0.1", 9}}),
                  0);
  Given.submit(1, 1);
  Given.Own = {.Term = Term, .LeaderRevision = 2, .AreEarlierLeasesBounded = true};
}

// Guards against a wait for a lost worker that the next scheduler begins anew.
TEST(SchedulerRunner, WaitsOnlyForTheRestOfTheTimeThatTheSchedulerBeforeHasNoted) {
  Bench Given;
  Given.Store.put(std::string(LeaseEndsKey), encodeLeaseEnds({1, {{"w0", 1000ms}}}), 0);
  takeOverFromLostWorker(Given, 2);
  Given.start();
  EXPECT_FALSE(Given.runUntil([&] { return Given.running() > 0; }, 900ms));
  EXPECT_TRUE(Given.runUntil([&] { return Given.running() == 1; }, 600ms));
}

// Leases may have been given by the scheduler in between.
TEST(SchedulerRunner, UsesNoNoteOfASchedulerBeforeTheLastOne) {
  Bench Given;
  Given.Store.put(std::string(LeaseEndsKey), encodeLeaseEnds({1, {{"w0", 0ms}}}), 0);
  takeOverFromLostWorker(Given, 3);
  Given.start();
  EXPECT_FALSE(Given.runUntil([&] { return Given.running() > 0; }, 2500ms));
}

TEST(SchedulerRunner, WaitsNoLongerThanALeaseForWhatWasNoted) {
  Bench Given;
  Given.Settings.Timing.WorkerLease = 1000ms;
  Given.Store.put(std::string(LeaseEndsKey), encodeLeaseEnds({1, {{"w0", 60000ms}}}), 0);
  takeOverFromLostWorker(Given, 2);
  Given.start();
  EXPECT_TRUE(Given.runUntil([&] { return Given.running() == 1; }, 2000ms));
}

// Guards against a wait that begins only once the state is loaded: no lease was given since.
TEST(SchedulerRunner, WaitsForALostWorkerFromItsClaimOn) {
  Bench Given;
  Given.Settings.Timing.WorkerLease = 2000ms;
  takeOverFromLostWorker(Given, 2);
  Given.Own.NoLeasesSince = Steady::now() - 1500ms;
  Given.start();
  EXPECT_FALSE(Given.runUntil([&] { return Given.running() > 0; }, 700ms));
  EXPECT_TRUE(Given.runUntil([&] { return Given.running() == 1; }, 700ms));
}

// Leases of earlier versions may last longer by the drift in 30 s, here 1.2 s.
TEST(SchedulerRunner, WaitsLongerForLeasesOfAnEarlierVersion) {
  Bench Given;
  Given.Settings.Timing.WorkerLease = 1000ms;
  takeOverFromLostWorker(Given, 2);
  Given.Own.AreEarlierLeasesBounded = false;
  Given.start();
  EXPECT_FALSE(Given.runUntil([&] { return Given.running() > 0; }, 2400ms));
  EXPECT_TRUE(Given.runUntil([&] { return Given.running() == 1; }, 1000ms));
}

// Guards against a lease that outlives what a successor waits for: the clock of an idle worker was
// read a while ago, and may be behind by now.
TEST(SchedulerRunner, TheFirstLeaseOfAnIdleWorkerIsShorterByTheDriftOfItsClock) {
  Bench Given;
  Given.Settings.Timing.HeartbeatWait = 50ms;
  Given.Settings.Scheduler.ClockDrift = 0.1;
  Given.start();
  Given.runUntil([] { return false; }, 1500ms);
  const size_t Before = Given.LeasesLeft.size();
  Given.submit(1, 1);
  ASSERT_TRUE(Given.runUntil([&] { return Given.running() == 1; }));
  ASSERT_GT(Given.LeasesLeft.size(), Before);
  EXPECT_LE(Given.LeasesLeft[Before], Given.Settings.Timing.WorkerLease - 200ms);
}

// Guards against a worker that is never used again, since its clock was read too long ago.
TEST(SchedulerRunner, ReadsTheClockOfAnIdleWorkerAgainBeforeAStart) {
  Bench Given;
  Given.Settings.Timing.WorkerLease = 1000ms;
  Given.Settings.Timing.HeartbeatWait = 50ms;
  Given.Settings.Scheduler.ClockDrift = 0.3;
  Given.start();
  Given.runUntil([] { return false; }, 1500ms);
  Given.submit(1, 1);
  EXPECT_TRUE(Given.runUntil([&] { return Given.running() == 1; }, 1000ms));
}

// The time left of a worker that can't be reached, as it is told to the next scheduler.
TEST(SchedulerRunner, NotesHowLongWorkersThatCannotBeReachedMayGoOn) {
  Bench Given;
  Given.Settings.Timing.WorkerLease = 1500ms;
  Given.Settings.Timing.HeartbeatWait = 100ms;
  Given.submit(1, 2);
  Given.start();
  ASSERT_TRUE(Given.runUntil([&] { return Given.running() == 2; }));
  const auto Note = [&]() -> LeaseEnds {
    const std::optional<Transaction> What = Given.Runner->leaseEndsNote();
    if (!What)
      return {};
    EXPECT_EQ(What->Conditions.front().Key, LeaderKey);
    return value(decodeLeaseEnds(What->Puts.front().Value));
  };
  EXPECT_TRUE(Note().Left.empty()) << "all workers answer";
  Given.Workers.at("w0").IsCut = true;
  ASSERT_TRUE(Given.runUntil([&] { return !Note().Left.empty(); }));
  const Milliseconds First = Note().Left.at("w0");
  EXPECT_LE(First, 1500ms * 108 / 100 + 300ms);
  Given.runUntil([] { return false; }, 500ms);
  EXPECT_LE(Note().Left.at("w0"), First - 400ms) << "it is given no lease any more";
  EXPECT_EQ(Note().Left.count("w1"), 0U);
  ASSERT_TRUE(Given.runUntil([&] { return Note().Left.at("w0") == 0ms; }));
}

// Guards against a job that runs since the next scheduler does not know of its cancelling.
TEST(SchedulerRunner, StartsNothingOfAJobThatWasRevokedBeforeItLoaded) {
  Bench Given;
  Given.Store.put(revocationKey("b", 1, 1), revocationOf(1), 0);
  Given.submit(1, 2);
  Given.submit(2, 2);
  Given.start();
  ASSERT_TRUE(Given.runUntil([&] { return Given.running() == 2; }));
  EXPECT_TRUE(Given.runUntil([&] { return isCancelled(Given, 1); }));
  EXPECT_EQ(Given.Workers.at("w0").Starts + Given.Workers.at("w1").Starts, 2);
}

TEST(SchedulerRunner, StartsNothingOfAJobThatWasRevokedInTheWatch) {
  Bench Given;
  Given.start();
  ASSERT_TRUE(Given.runUntil([&] { return Given.Runner->loaded(); }));
  Given.Store.put(revocationKey("b", 1, 1), revocationOf(1), 0);
  Given.submit(1, 2);
  EXPECT_TRUE(Given.runUntil([&] { return isCancelled(Given, 1); }));
  EXPECT_EQ(Given.Workers.at("w0").Starts + Given.Workers.at("w1").Starts, 0);
}

// The process that has written the job tells the scheduler of it before the watch does.
TEST(SchedulerRunner, StartsNothingOfAnAnnouncedJobWhoseRevocationItHolds) {
  Bench Given;
  Given.start();
  ASSERT_TRUE(Given.runUntil([&] { return Given.Runner->loaded(); }));
  EXPECT_EQ(Given.Runner->holdRevocations({{1, ""}}), 1U);
  Given.Store.IsWatchSilent = true;
  Given.submit(1, 2);
  Given.Runner->announceJob(Given.Store.value(jobKey(1)), 100);
  EXPECT_TRUE(Given.runUntil([&] { return Given.Runner->state(1) == "cancelled"; }, 1s) ||
              isCancelled(Given, 1));
  EXPECT_EQ(Given.Workers.at("w0").Starts + Given.Workers.at("w1").Starts, 0);
}

TEST(SchedulerRunner, DoesNotEndAnotherOrganisationsJobForARevocation) {
  Bench Given;
  Given.start();
  ASSERT_TRUE(Given.runUntil([&] { return Given.Runner->loaded(); }));
  JobSpec Spec;
  Spec.Id = 1;
  Spec.Service = "pool";
  Spec.MaxAttempts = 1;
  Spec.Organisation = "north";
  Spec.Steps.resize(1);
  Spec.Steps[0].Need = {1000, 100, 0};
  Given.Runner->setConfiguration(
      {.Organisations = std::vector<Organisation>{{"north", {}, 0, {}}}});
  EXPECT_EQ(Given.Runner->holdRevocations({{1, "south"}}), 1U);
  Given.Store.put(jobKey(1), encodeJob(Spec), 0);
  EXPECT_TRUE(Given.runUntil([&] { return Given.running() == 1; }));
}

// Until the scheduler before can start nothing more, the present one can't promise it.
TEST(SchedulerRunner, DoesNotPromiseARevocationForTheSchedulerBefore) {
  Bench Given;
  Given.Own.Term = 2;
  Given.Own.PredecessorConfirmedAt = Steady::now();
  Given.start();
  ASSERT_TRUE(Given.runUntil([&] { return Given.Runner->loaded(); }));
  ASSERT_TRUE(Given.Runner->mayPredecessorStart());
  EXPECT_EQ(Given.Runner->holdRevocations({{1, ""}}), 0U);
  ASSERT_TRUE(Given.runUntil([&] { return !Given.Runner->mayPredecessorStart(); }));
  EXPECT_EQ(Given.Runner->holdRevocations({{1, ""}}), 2U);
  Given.Runner->stop();
  EXPECT_EQ(Given.Runner->holdRevocations({{1, ""}}), 0U);
}

TEST(SchedulerRunner, RemovesTheRecordsOfOldRevocations) {
  Bench Given;
  Given.Settings.Scheduler.EndedJobRetention = 300ms;
  for (uint64_t I = 0; I < 40; ++I)
    Given.Store.put(revocationKey("b", 1, I), revocationOf(I + 1), 0);
  Given.start();
  ASSERT_TRUE(Given.runUntil([&] { return Given.Runner->loaded(); }));
  EXPECT_FALSE(
      Given.runUntil([&] { return Given.Store.value(revocationKey("b", 1, 0)).empty(); }, 200ms));
  EXPECT_TRUE(Given.runUntil([&] {
    for (uint64_t I = 0; I < 40; ++I)
      if (!Given.Store.value(revocationKey("b", 1, I)).empty())
        return false;
    return true;
  }));
  Given.submit(1, 1);
  EXPECT_TRUE(Given.runUntil([&] { return Given.running() == 1; })) << "it is forgotten";
}

} // namespace
} // namespace valveshelf
