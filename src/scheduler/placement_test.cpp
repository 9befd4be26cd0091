// SPDX-License-Identifier: Apache-2.0
// Placement decisions: the reserve for urgent tasks, preemption, advice and tickets, failing and
// unresponsive workers, takeovers, leaving workers and saves.
#include "replay/placement_scene.h"

#include <gtest/gtest.h>

namespace valveshelf::sched {
namespace {
using namespace std::chrono_literals;

TEST(Placement, ReservesCapacityForATypicalUrgentTask) {
  PlacementScene Given(1);
  // Urgent tasks of ten cores determine the typical size.
  for (int I = 0; I < 400; ++I) {
    Given.submit(0, tasks(1, 10000, 100ms), 100);
    for (const Effects::Start &Order : Given.pass().Starts) {
      Effects Out;
      WorkerReport Ended;
      Ended.Ended.push_back({static_cast<uint64_t>(I + 1), Order.Run, RunOutcome::Done, ""});
      workerReported(Given.Cell, Order.Worker, Ended, Given.Now, Given.Now, Out);
    }
  }
  Given.submit(2, tasks(100, 1000, 10000ms), 100);
  const size_t Placed = Given.pass().Starts.size();
  EXPECT_LE(Placed, 53u); // 64 cores less 1.3 times the mean of ten, rounded
  EXPECT_GE(Placed, 50u); // at least 78 % of them: MaxUrgentReserve
  Given.submit(0, tasks(1, 10000, 100ms), 100);
  EXPECT_EQ(Given.pass().Starts.size(), 1u);
}

// A reserve on every worker would delay other work although the cell has enough for urgent tasks.
TEST(Placement, ReservesNothingWhileUrgentCapacityIsAmple) {
  PlacementScene Given(12);
  Given.submit(0, tasks(4, 10000, 100ms), 100);
  ASSERT_EQ(Given.pass().Starts.size(), 4u);
  Given.submit(2, tasks(5, 10000, 1000ms), 100); // with the urgent task they leave 4 of 64 cores
  const Effects Out = Given.pass();
  ASSERT_EQ(Out.Starts.size(), 5u);
  std::set<std::string> Workers;
  for (const Effects::Start &Order : Out.Starts)
    Workers.insert(Order.Worker);
  EXPECT_EQ(Workers.size(), 1u) << "packed onto a worker with an urgent task";
}

TEST(Placement, TheReserveDoesNotBlockATaskThatFillsAWorker) {
  PlacementScene Given(1);
  Given.submit(2, tasks(1, WorkerSize.MilliCores, 1000ms), 10);
  EXPECT_EQ(Given.pass().Starts.size(), 1u);
}

TEST(Placement, PreemptsForAnUrgentTask) {
  PlacementScene Given(1);
  Given.submit(2, tasks(5, 10000, 2000ms, true), 10);
  ASSERT_EQ(Given.pass().Starts.size(), 5u);
  Given.submit(0, tasks(1, 20000, 600ms), 3);
  EXPECT_EQ(Given.pass().Stops.size(), 1u);
}

TEST(Placement, DoesNotPreemptForATaskThatWouldStillBeLate) {
  PlacementScene Given(1);
  Given.Cell.Limits.StopTime = 900ms;
  Given.submit(2, tasks(5, 10000, 2000ms, true), 10);
  ASSERT_EQ(Given.pass().Starts.size(), 5u);
  Given.submit(0, tasks(1, 20000, 600ms), 1.5); // 300 ms of slack
  EXPECT_TRUE(Given.pass().Stops.empty());
}

TEST(Placement, DoesNotPreemptATaskThatWouldThenMissItsObjective) {
  PlacementScene Given(1);
  Given.submit(2, tasks(5, 10000, 2000ms, true), 1.2);
  ASSERT_EQ(Given.pass().Starts.size(), 5u);
  Given.submit(0, tasks(1, 20000, 600ms), 3);
  EXPECT_TRUE(Given.pass().Stops.empty());
}

TEST(Placement, PreemptsATaskThatIsAlreadyLate) {
  PlacementScene Given(1);
  Given.submit(2, tasks(5, 10000, 2000ms, true), 1.2);
  ASSERT_EQ(Given.pass().Starts.size(), 5u);
  Given.Now += 3000ms;
  Given.submit(0, tasks(1, 20000, 600ms), 10);
  EXPECT_EQ(Given.pass().Stops.size(), 1u);
}

// A long-running task has no end that could miss the objective, so it may preempt at any time.
TEST(Placement, ALongRunningTaskIsNeverLate) {
  PlacementScene Given(1);
  StepSpec Spec = tasks(1, 20000, 1000ms);
  Spec.LongRunning = true;
  Given.submit(2, tasks(5, 10000, 2000ms, true), 1000);
  ASSERT_EQ(Given.pass().Starts.size(), 5u);
  Given.submit(1, Spec, 1);
  Given.Now += 10s; // its job's objective has passed
  EXPECT_EQ(Given.pass().Stops.size(), 1u);
}

// While the process can't order all starts at once, the urgent ones go first.
TEST(Placement, OrdersNoMoreStartsThanAllowedUrgentOnesFirst) {
  PlacementScene Given(4);
  Given.submit(2, tasks(20, 1000, 1000ms), 10);
  const JobId Urgent = Given.submit(0, tasks(3, 1000, 100ms), 10);
  Given.Cell.StartsLeft = 5;
  const Effects First = Given.pass();
  ASSERT_EQ(First.Starts.size(), 5u);
  for (size_t I = 0; I < 3; ++I)
    EXPECT_EQ(First.Starts[I].Run.Task.Step.Job, Urgent);
  EXPECT_TRUE(Given.Cell.WasCutShort);
  EXPECT_TRUE(Given.pass().Starts.empty());
  Given.Cell.StartsLeft = 100;
  EXPECT_EQ(Given.pass().Starts.size(), 18u);
  EXPECT_FALSE(Given.Cell.WasCutShort);
}

// Guards against accepted jobs that never start while more urgent ones go on coming.
TEST(Placement, AJobOfLittleUrgencyStartsThoughUrgentOnesGoOnComing) {
  PlacementScene Given(4);
  const JobId Patient = Given.submit(2, tasks(1, 100, 1000ms), 100);
  const auto HasStarted = [&](const Effects &Out) {
    return std::any_of(Out.Starts.begin(), Out.Starts.end(), [&](const Effects::Start &Order) {
      return Order.Run.Task.Step.Job == Patient;
    });
  };
  bool Started = false;
  for (int I = 0; I < 60 && !Started; ++I) {
    Given.submit(0, tasks(4, 100, 100ms), 100);
    Given.Cell.StartsLeft = 2;
    Started = HasStarted(Given.pass());
    Given.Now += 50ms;
  }
  EXPECT_TRUE(Started) << "within three seconds";
}

// A gang is started as a whole, however few starts are allowed.
TEST(Placement, AGangIsNotDividedByTheStartsAllowed) {
  PlacementScene Given(4);
  StepSpec Gang = tasks(6, 1000, 1000ms);
  Gang.Gang = true;
  Given.submit(1, Gang, 10);
  Given.Cell.StartsLeft = 2;
  EXPECT_EQ(Given.pass().Starts.size(), 6u);
  EXPECT_EQ(Given.Cell.StartsLeft, 0u);
}

TEST(Placement, ThePermitOfARemovedWorkerIsNotReused) {
  PlacementScene Given(2);
  const JobId Job = Given.submit(0, tasks(1, 1000, 100ms), 100, true);
  ASSERT_EQ(Given.pass().AdviceRequests.size(), 1u);
  Effects Out;
  const StepKey Step{Job, 0, 0};
  workerEnded(Given.Cell, "w0", Given.Now, Out);
  Given.addWorker("w2"); // in a new slot
  adviceAnswered(Given.Cell, Step, {"w0", "w1"}, {{"w0", "t0"}}, 1500ms, Given.Now);
  const Effects After = Given.pass();
  EXPECT_TRUE(After.Starts.empty());
  ASSERT_EQ(After.AdviceRequests.size(), 1u);
  EXPECT_EQ(After.AdviceRequests.front().Workers, std::vector<std::string>{"w2"});
}

// A full worker and two steps that wait for it with tickets valid for two seconds.
struct FullWorker : PlacementScene {
  FullWorker() : PlacementScene(1) {
    submit(0, tasks(1, WorkerSize.MilliCores, 100s), 100);
    pass();
    for (int I = 0; I < 2; ++I) {
      const StepKey Step{submit(0, tasks(1, 1000, 1s), 100, true), 0, 0};
      pass();
      adviceAnswered(Cell, Step, {"w0"}, {{"w0", "old"}}, 2s, Now);
    }
  }
};

TEST(Tickets, AreRenewedWhileAStepWaitsForCapacity) {
  FullWorker Given;
  Given.Cell.AdviceConcurrency = 3;
  EXPECT_TRUE(Given.pass().AdviceRequests.empty()) << "the tickets are still valid";
  Given.Now += 1300ms;
  const Effects Out = Given.pass();
  ASSERT_EQ(Out.AdviceRequests.size(), 1u) << "renewals use a third of the concurrency";
  EXPECT_EQ(Out.AdviceRequests.front().Workers, std::vector<std::string>{"w0"});
  EXPECT_TRUE(Given.pass().AdviceRequests.empty()) << "the renewal is outstanding";
  adviceAnswered(Given.Cell, Out.AdviceRequests.front().Step, {"w0"}, {{"w0", "new"}}, 2s,
                 Given.Now);
  EXPECT_EQ(Given.pass().AdviceRequests.size(), 1u) << "then the other step's";
}

// Capacity planned without a ticket must not stay unused while no ticket can be requested.
TEST(Tickets, NoCapacityIsHeldWhileNoneCanBeRequested) {
  PlacementScene Given(1);
  Given.Cell.AdviceConcurrency = 1;
  const StepKey Step{Given.submit(1, tasks(4, 10000, 1s, true), 100, true), 0, 0};
  ASSERT_EQ(Given.pass().AdviceRequests.size(), 1u);
  adviceAnswered(Given.Cell, Step, {"w0"}, {{"w0", "old"}}, 200ms, Given.Now);
  Given.Now += 1s; // the ticket has expired, and other requests use all the concurrency
  Given.Cell.OutstandingAdviceRequests = 5;
  EXPECT_TRUE(Given.pass().AdviceRequests.empty());
  Given.submit(2, tasks(5, 10000, 1s), 100);
  Given.Now += 40ms; // the next full scan
  EXPECT_EQ(Given.pass().Starts.size(), 5u);
}

TEST(Tickets, AreNotRenewedWithoutSpareConcurrency) {
  FullWorker Given;
  Given.Cell.AdviceConcurrency = 2;
  Given.Now += 1300ms;
  EXPECT_TRUE(Given.pass().AdviceRequests.empty());
}

// A request claims what its step is expected to use until it is answered; the next one must not
// name the same workers.
TEST(Advice, ConcurrentRequestsNameDifferentWorkers) {
  PlacementScene Given(60);
  Given.Cell.AdviceConcurrency = 30;
  Given.Cell.ApprovalRates["q"] = 0.9;
  const auto Wide = [&] { return Given.submit(2, tasks(30, 8000, 1s), 100, true, "q"); };
  const StepKey First{Wide(), 0, 0};
  const auto Requests = Given.pass().AdviceRequests;
  ASSERT_EQ(Requests.size(), 1u);
  Wide();
  const auto Second = Given.pass().AdviceRequests;
  ASSERT_EQ(Second.size(), 1u);
  const std::set<std::string> Named(Requests[0].Workers.begin(), Requests[0].Workers.end());
  for (const std::string &Id : Second[0].Workers)
    EXPECT_EQ(Named.count(Id), 0u) << Id;
  adviceAnswered(Given.Cell, First, Requests[0].Workers, {}, 1500ms, Given.Now);
  for (const std::string &Id : Requests[0].Workers)
    EXPECT_EQ(Given.Cell.Workers.at(Id).Claimed, Resources{});
}

// A gang collects permits while it waits for capacity; single tasks do not.
TEST(Advice, AGangRequestsAdviceInAFullCell) {
  PlacementScene Given(20);
  Given.Cell.AdviceConcurrency = 4;
  Given.Cell.OutstandingAdviceRequests = 3;
  Given.submit(0, tasks(20, WorkerSize.MilliCores, 100s), 100);
  Given.pass();
  Given.submit(2, tasks(20, 10000, 1s), 100, true);
  EXPECT_TRUE(Given.pass().AdviceRequests.empty()) << "no task could start";
  StepSpec Gang = tasks(4, 10000, 1s);
  Gang.Gang = true;
  Given.submit(1, Gang, 100, true);
  const auto Requests = Given.pass().AdviceRequests;
  ASSERT_EQ(Requests.size(), 1u);
  EXPECT_EQ(Requests[0].Workers.size(), 20u);
}

TEST(Placement, NamesFewWorkersInARequestForAnUrgentStep) {
  PlacementScene Given(90);
  Given.submit(0, tasks(2, 1000, 100ms), 100, true);
  const Effects Out = Given.pass();
  ASSERT_EQ(Out.AdviceRequests.size(), 1u);
  EXPECT_EQ(Out.AdviceRequests.front().Workers.size(), 20u);
}

// Reports the end of a run from its worker.
void endRun(PlacementScene &Given, const Effects::Start &Order, RunOutcome How) {
  Worker &W = Given.Cell.Workers.at(Order.Worker);
  WorkerReport Report;
  Report.Ended.push_back({W.LastEndNumber + 1, Order.Run, How, ""});
  for (const auto &[Run, A] : W.Attempts)
    if (!(Run == Order.Run))
      Report.Active.push_back({Run, "", A.Percent});
  Effects Out;
  workerReported(Given.Cell, Order.Worker, Report, Given.Now, Given.Now, Out);
}

StepSpec gang(uint32_t Count, int64_t MilliCores) {
  StepSpec Step = tasks(Count, MilliCores, 1000ms);
  Step.Gang = true;
  return Step;
}

TEST(FailingWorkers, ThreeConsecutiveFailuresQuarantineAWorker) {
  PlacementScene Given(1);
  Given.submit(0, tasks(4, 1000, 100ms), 100);
  const auto Starts = Given.pass().Starts;
  ASSERT_EQ(Starts.size(), 4u);
  Given.Now += 50ms; // later than an immediate failure
  endRun(Given, Starts[0], RunOutcome::Failed);
  endRun(Given, Starts[1], RunOutcome::Failed);
  Given.submit(0, tasks(1, 1000, 100ms), 100);
  EXPECT_FALSE(Given.pass().Starts.empty());
  endRun(Given, Starts[2], RunOutcome::Failed);
  Given.submit(0, tasks(1, 1000, 100ms), 100);
  EXPECT_TRUE(Given.pass().Starts.empty());
}

// The worker is silent until its lease has expired and reports the end when it is reachable again.
TEST(UnresponsiveWorkers, ATaskThatMayBeDoneIsNotRestartedAtOnce) {
  PlacementScene Given(2);
  Given.submit(0, tasks(1, 1000, 2000ms), 100);
  const auto First = Given.pass().Starts;
  ASSERT_EQ(First.size(), 1u);
  const auto ExpireLease = [&] {
    workerLeased(Given.Cell, First[0].Worker, Given.Now + 100ms);
    workerSilent(Given.Cell, First[0].Worker, Given.Now);
    Given.Now += 200ms;
    Effects Out;
    tick(Given.Cell, Given.Now, WallTime(1000s), Out);
    return Given.pass().Starts.size();
  };
  Given.Now += 1500ms;
  EXPECT_EQ(ExpireLease(), 0u);
  endRun(Given, First[0], RunOutcome::Done);
  Given.Now += 5000ms;
  EXPECT_TRUE(Given.pass().Starts.empty());
}

TEST(UnresponsiveWorkers, ATaskThatCannotBeDoneYetIsRestartedAtOnce) {
  PlacementScene Given(2);
  Given.submit(0, tasks(1, 1000, 20000ms), 100);
  const auto First = Given.pass().Starts;
  ASSERT_EQ(First.size(), 1u);
  workerLeased(Given.Cell, First[0].Worker, Given.Now + 100ms);
  workerSilent(Given.Cell, First[0].Worker, Given.Now);
  Given.Now += 200ms;
  Effects Out;
  tick(Given.Cell, Given.Now, WallTime(1000s), Out);
  EXPECT_EQ(Given.pass().Starts.size(), 1u);
}

TEST(FailingWorkers, AnImmediateFailureQuarantinesAWorkerForASecond) {
  PlacementScene Given(1);
  Given.submit(0, tasks(1, 1000, 1000ms), 100);
  const auto Starts = Given.pass().Starts;
  ASSERT_EQ(Starts.size(), 1u);
  Given.Now += 20ms;
  endRun(Given, Starts[0], RunOutcome::Failed);
  Given.submit(0, tasks(1, 1000, 1000ms), 100);
  EXPECT_TRUE(Given.pass().Starts.empty());
  Given.Now += 1000ms;
  EXPECT_EQ(Given.pass().Starts.size(), 2u);
}

TEST(FailingWorkers, ATaskThatStallsEverywhereQuarantinesOneWorkerOnly) {
  PlacementScene Given(4);
  Given.submit(0, tasks(1, 1000, 2000ms), 100);
  for (int Round = 0; Round < 3; ++Round) {
    const auto Starts = Given.pass().Starts;
    ASSERT_EQ(Starts.size(), 1u) << Round;
    Effects Out;
    WorkerReport Stalled;
    Stalled.Active.push_back({Starts[0].Run, "", 0});
    Given.Now += 3s;
    workerReported(Given.Cell, Starts[0].Worker, Stalled, Given.Now, Given.Now, Out);
    tick(Given.Cell, Given.Now, WallTime(1000s), Out);
    ASSERT_EQ(Out.Stops.size(), 1u);
    const Worker &W = Given.Cell.Workers.at(Starts[0].Worker);
    EXPECT_EQ(W.QuarantinedUntil > Given.Now, Round == 0);
    endRun(Given, Starts[0], RunOutcome::Stopped);
  }
}

// A task that fails on every worker must not take them all out of use.
TEST(FailingWorkers, ATaskThatFailsEverywhereQuarantinesOneWorkerOnly) {
  PlacementScene Given(2);
  Given.submit(0, tasks(1, 1000, 1000ms), 100);
  const auto First = Given.pass().Starts;
  ASSERT_EQ(First.size(), 1u);
  Given.Now += 20ms;
  endRun(Given, First[0], RunOutcome::Failed);
  const auto Second = Given.pass().Starts;
  ASSERT_EQ(Second.size(), 1u);
  EXPECT_NE(Second[0].Worker, First[0].Worker);
  Given.Now += 20ms;
  endRun(Given, Second[0], RunOutcome::Failed);
  Given.submit(0, tasks(1, 1000, 1000ms), 100);
  const auto Third = Given.pass().Starts;
  ASSERT_EQ(Third.size(), 1u);
  EXPECT_EQ(Third[0].Worker, Second[0].Worker);
}

TEST(FailingWorkers, ARunWithoutProgressBetweenTwoReportsIsStopped) {
  PlacementScene Given(1);
  Given.submit(2, tasks(1, 1000, 5000ms), 100);
  const Effects::Start Order = Given.pass().Starts.at(0);
  const auto Report = [&] {
    WorkerReport Now;
    Now.Active.push_back({Order.Run, "", 7});
    Effects Out;
    workerReported(Given.Cell, Order.Worker, Now, Given.Now, Given.Now, Out);
    tick(Given.Cell, Given.Now, WallTime(1000s), Out);
    return Out.Stops.size();
  };
  EXPECT_EQ(Report(), 0u);
  Given.Now += 1500ms;
  EXPECT_EQ(Report(), 0u);
  // Missing reports do not count as a lack of progress.
  Given.Now += 3000ms;
  Effects Out;
  tick(Given.Cell, Given.Now, WallTime(1000s), Out);
  EXPECT_TRUE(Out.Stops.empty());
  Given.Now += 600ms;
  EXPECT_EQ(Report(), 1u);
}

TEST(Gangs, MembersOfACompletedGangAreNotStoppedAtOnce) {
  PlacementScene Given(3);
  Given.submit(1, gang(3, 40000), 100);
  const auto Starts = Given.pass().Starts;
  ASSERT_EQ(Starts.size(), 3u);
  const auto EndOn = [&](const Effects::Start &Order) {
    WorkerReport Report;
    Report.Ended.push_back({1, Order.Run, RunOutcome::Done, ""});
    Effects Out;
    workerReported(Given.Cell, Order.Worker, Report, Given.Now, Given.Now, Out);
    return Out.Stops.size();
  };
  EXPECT_EQ(EndOn(Starts[0]), 0u);
  EXPECT_EQ(Given.Cell.Workers.at(Starts[1].Worker).Attempts.size(), 1u); // still booked
  EXPECT_EQ(EndOn(Starts[1]), 0u);
  // The third member does not end by itself.
  Given.Now += 2000ms;
  Effects Out;
  tick(Given.Cell, Given.Now, WallTime(1000s), Out);
  ASSERT_EQ(Out.Stops.size(), 1u);
  EXPECT_EQ(Out.Stops[0].Worker, Starts[2].Worker);
}

// Adds workers that are listed and not in use yet.
void listWorkers(PlacementScene &Given, int Count) {
  for (int I = 0; I < Count; ++I) {
    WorkerInfo Info;
    Info.Id = "more" + std::to_string(1000 + I);
    Info.Service = "pool";
    Info.Capacity = WorkerSize;
    workerListed(Given.Cell, Info, Given.Now);
  }
}

int64_t countWanted(const PlacementScene &Given) {
  return std::count_if(Given.Cell.Workers.begin(), Given.Cell.Workers.end(),
                       [](const auto &Entry) { return Entry.second.IsSelected; });
}

void runTicks(PlacementScene &Given, int Count) {
  for (int I = 0; I < Count; ++I) {
    Given.Now += 50ms;
    Effects Out;
    tick(Given.Cell, Given.Now, WallTime(1000s), Out);
    place(Given.Cell, Given.Now, Out);
    for (auto &[Id, W] : Given.Cell.Workers)
      if (W.IsSelected && !W.HasReported) {
        W.IsRecorded = true;
        workerReported(Given.Cell, Id, {}, Given.Now, Given.Now, Out);
      }
  }
}

TEST(LargeFleets, SpareWorkersAreActivated) {
  PlacementScene Given(0);
  listWorkers(Given, 1000);
  runTicks(Given, 40);
  EXPECT_EQ(countWanted(Given), Given.Cell.Limits.SpareWorkers);
}

TEST(LargeFleets, AnUnplacedStepActivatesMoreWorkers) {
  PlacementScene Given(0);
  listWorkers(Given, 1000);
  const JobId Job = Given.submit(1, gang(400, 60000), 100);
  runTicks(Given, 40);
  EXPECT_GE(countWanted(Given), 400);
  EXPECT_LE(countWanted(Given),
            400 + Given.Cell.Limits.SpareWorkers + Given.Cell.Limits.MaxNewWorkersPerTick);
  EXPECT_EQ(Given.Cell.Jobs.at(Job).Rounds.at(0).Steps[0].BookedTasks, 400u);
}

TEST(LargeFleets, AStepThatFitsNoWorkerActivatesNone) {
  PlacementScene Given(0);
  listWorkers(Given, 1000);
  Given.submit(2, tasks(1, WorkerSize.MilliCores + 1, 100ms), 100);
  runTicks(Given, 40);
  EXPECT_EQ(countWanted(Given), Given.Cell.Limits.SpareWorkers);
}

// The previous scheduler may still start the job where no worker knows of the takeover yet.
TEST(Takeover, ANewJobWaitsForTheReportsOfThePredecessorsWorkers) {
  PlacementScene Given(1);
  WorkerInfo Used;
  Used.Id = "used";
  Used.Service = "pool";
  Used.Capacity = WorkerSize;
  workerMayHoldRuns(Given.Cell, Used, Given.Now + 6s);
  Given.submit(0, tasks(1, 1000, 100ms), 100);
  EXPECT_TRUE(Given.pass().Starts.empty());
  workerSilent(Given.Cell, "used", Given.Now); // its first call has failed
  EXPECT_EQ(Given.pass().Starts.size(), 1u);
}

WorkerInfo workerOf(const std::string &Id, const std::string &Service) {
  WorkerInfo Info;
  Info.Id = Id;
  Info.Service = Service;
  Info.Capacity = WorkerSize;
  return Info;
}

// The previous scheduler started a job that was accepted after the takeover, and a worker reports
// the run before this scheduler reads the job.
TEST(Takeover, ATaskWaitsUntilItsOrphanedRunHasEnded) {
  PlacementScene Given(2);
  Effects Out;
  const RunKey Early{{{1, 0, 0}, 0}, 7}; // of the job submitted below
  WorkerReport Report;
  Report.Active.push_back({Early, "", 10});
  workerReported(Given.Cell, "w0", Report, Given.Now, Given.Now, Out);
  ASSERT_EQ(Out.Stops.size(), 1u);
  ASSERT_EQ(Given.submit(0, tasks(1, 1000, 100ms), 100), 1u);
  EXPECT_TRUE(Given.pass().Starts.empty());
  WorkerReport Stopped;
  Stopped.Ended.push_back({1, Early, RunOutcome::Stopped, ""});
  workerReported(Given.Cell, "w0", Stopped, Given.Now, Given.Now, Out);
  EXPECT_EQ(Given.pass().Starts.size(), 1u);
}

// A job of one task that an earlier scheduler may have started.
std::shared_ptr<JobSpec> oldJob() {
  auto Spec = std::make_shared<JobSpec>();
  Spec->Id = 7;
  Spec->Service = "pool";
  Spec->MaxAttempts = 3;
  Spec->CriticalPathFactor = 100;
  Spec->Steps.push_back(tasks(1, 1000, 100ms));
  return Spec;
}

// An unresponsive worker delays only tasks that may run there.
TEST(Takeover, AnOldJobWaitsForWorkersOfItsOwnServiceOnly) {
  PlacementScene Given(1);
  auto Spec = oldJob();
  workerMayHoldRuns(Given.Cell, workerOf("silent", "other"), Given.Now + 6s);
  workerSilent(Given.Cell, "silent", Given.Now);
  addJob(Given.Cell, Spec, 1, false, Given.Now);
  EXPECT_EQ(Given.pass().Starts.size(), 1u);
}

TEST(Takeover, AnOldJobWaitsForAnUnresponsiveWorkerOfItsService) {
  PlacementScene Given(1);
  auto Spec = oldJob();
  workerMayHoldRuns(Given.Cell, workerOf("silent", "pool"), Given.Now + 6s);
  workerSilent(Given.Cell, "silent", Given.Now);
  addJob(Given.Cell, Spec, 1, false, Given.Now);
  EXPECT_TRUE(Given.pass().Starts.empty());
  Effects Out;
  Given.Now += 7s;
  tick(Given.Cell, Given.Now, WallTime(1000s), Out);
  EXPECT_EQ(Given.pass().Starts.size(), 1u);
}

// Advice on a task that turns out to be running would be requested for nothing.
TEST(Takeover, RequestsNoAdviceOnAnOldJobBeforeTheWorkersReport) {
  PlacementScene Given(1);
  auto Spec = oldJob();
  Spec->Advice = AdvicePolicy{};
  workerMayHoldRuns(Given.Cell, workerOf("used", "pool"), Given.Now + 6s);
  addJob(Given.Cell, Spec, 1, false, Given.Now);
  EXPECT_TRUE(Given.pass().AdviceRequests.empty());
  Effects Out;
  workerReported(Given.Cell, "used", {}, Given.Now, Given.Now, Out);
  EXPECT_EQ(Given.pass().AdviceRequests.size(), 1u);
}

// Otherwise a later scheduler would wait for the lease of a worker that holds nothing.
TEST(Fleet, AnIdleUnlistedWorkerIsRemoved) {
  PlacementScene Given(2);
  Given.submit(0, tasks(1, 1000, 100ms), 100);
  const auto Starts = Given.pass().Starts;
  ASSERT_EQ(Starts.size(), 1u);
  workerUnlisted(Given.Cell, "w0", Given.Now);
  workerUnlisted(Given.Cell, "w1", Given.Now);
  Effects Out;
  tick(Given.Cell, Given.Now, WallTime(1000s), Out);
  EXPECT_EQ(Given.Cell.Workers.size(), 1u);
  EXPECT_EQ(Given.Cell.Workers.count(Starts.front().Worker), 1u); // its run may still be there
}

// Two workers. The one that runs the step leaves in two seconds.
struct LeavingWorker : PlacementScene {
  explicit LeavingWorker(StepSpec Step) : PlacementScene(1) {
    submit(1, std::move(Step), 1000);
    pass();
    addWorker("w1");
    Now += 200ms; // until the next scan of leaving workers
    WorkerInfo Leaving = workerOf("w0", "pool");
    Leaving.Draining = true;
    Leaving.DrainTimeLeft = 2s;
    workerListed(Cell, Leaving, Now);
  }
};

TEST(Leaving, ALongRunningTaskIsMoved) {
  StepSpec Spec = tasks(1, 20000, 500ms);
  Spec.LongRunning = true;
  LeavingWorker Given(Spec);
  const auto Stops = Given.pass().Stops;
  ASSERT_EQ(Stops.size(), 1u);
  EXPECT_EQ(Stops.front().Worker, "w0");
}

TEST(Leaving, CheckpointingWorkThatWouldNotFinishIsMoved) {
  EXPECT_EQ(LeavingWorker(tasks(1, 20000, 5s, true)).pass().Stops.size(), 1u);
  EXPECT_TRUE(LeavingWorker(tasks(1, 20000, 1s, true)).pass().Stops.empty());
  EXPECT_TRUE(LeavingWorker(tasks(1, 20000, 5s, false)).pass().Stops.empty());
}

// A step that an earlier scheduler started has no advice yet.
TEST(Leaving, AdviceIsRequestedForAnAdoptedRun) {
  PlacementScene Given(1);
  StepSpec Spec = tasks(1, 20000, 500ms);
  Spec.LongRunning = true;
  const StepKey Step{Given.submit(1, Spec, 1000, true), 0, 0};
  Effects Out;
  WorkerReport Report;
  Report.Active.push_back({{{Step, 0}, 7}, "", 100});
  workerReported(Given.Cell, "w0", Report, Given.Now, Given.Now, Out);
  Given.addWorker("w1");
  WorkerInfo Leaving = workerOf("w0", "pool");
  Leaving.Draining = true;
  workerListed(Given.Cell, Leaving, Given.Now);
  const auto Requests = Given.pass().AdviceRequests;
  ASSERT_EQ(Requests.size(), 1u);
  EXPECT_EQ(Requests.front().Workers, std::vector<std::string>{"w1"});
  adviceAnswered(Given.Cell, Step, {"w1"}, {{"w1", "t"}}, 2s, Given.Now);
  Given.Now += 200ms;
  EXPECT_EQ(Given.pass().Stops.size(), 1u);
}

TEST(Leaving, AnUnlistedWorkerIsTreatedAsLeaving) {
  PlacementScene Given(1);
  StepSpec Spec = tasks(1, 20000, 500ms);
  Spec.LongRunning = true;
  Given.submit(1, Spec, 1000);
  ASSERT_EQ(Given.pass().Starts.size(), 1u);
  Given.addWorker("w1");
  workerUnlisted(Given.Cell, "w0", Given.Now);
  Given.Now += 2s; // its entry may have expired in a store outage
  EXPECT_TRUE(Given.pass().Stops.empty());
  Given.Now += 1s;
  EXPECT_EQ(Given.pass().Stops.size(), 1u);
}

TEST(Leaving, NothingIsStoppedWithoutAWorkerToMoveTo) {
  LeavingWorker Given(tasks(1, 20000, 5s, true));
  WorkerInfo Other = workerOf("w1", "pool");
  Other.Draining = true;
  workerListed(Given.Cell, Other, Given.Now);
  EXPECT_TRUE(Given.pass().Stops.empty());
}

TEST(Leaving, NoMoreTasksAreMovedThanMaxUnavailable) {
  StepSpec Spec = tasks(3, 10000, 500ms);
  Spec.LongRunning = true;
  Spec.MaxUnavailable = 1;
  LeavingWorker Given(Spec);
  EXPECT_TRUE(Given.pass().Stops.empty()) << "no task serves yet";
  for (auto &[Run, A] : Given.Cell.Workers.at("w0").Attempts)
    A.Percent = 100;
  Given.Now += 1s;
  EXPECT_EQ(Given.pass().Stops.size(), 1u);
  Given.Now += 1s;
  EXPECT_TRUE(Given.pass().Stops.empty());
}

TEST(Cancels, ACancellationBeforeItsJobTakesEffect) {
  PlacementScene Given(1);
  Effects Out;
  cancelJob(Given.Cell, 1, Given.Now, Out); // the id of the job submitted below
  const JobId Job = Given.submit(0, tasks(1, 1000, 100ms), 100);
  ASSERT_EQ(Job, 1u);
  applyPendingCancel(Given.Cell, Job, Given.Now, Out);
  EXPECT_TRUE(Out.SaveRequested);
  EXPECT_EQ(Given.Cell.Jobs.at(Job).Phase, JobPhase::Cancelled);
  EXPECT_TRUE(Given.pass().Starts.empty());
}

TEST(Saves, AnEndIsAcknowledgedOnceItsOwnSaveIsDurable) {
  PlacementScene Given(1);
  const JobId First = Given.submit(0, tasks(2, 1000, 100ms), 100);
  const JobId Second = Given.submit(0, tasks(1, 1000, 100ms), 100);
  const auto Starts = Given.pass().Starts;
  ASSERT_EQ(Starts.size(), 3u);
  Effects Out;
  WorkerReport Ended;
  for (const Effects::Start &Order : Starts)
    if (Order.Job->Id == Second)
      Ended.Ended.push_back({1, Order.Run, RunOutcome::Done, ""});
  for (const Effects::Start &Order : Starts)
    if (Order.Job->Id == First)
      Ended.Ended.push_back({Ended.Ended.size() + 1, Order.Run, RunOutcome::Done, ""});
  workerReported(Given.Cell, "w0", Ended, Given.Now, Given.Now, Out);
  const Worker &W = Given.Cell.Workers.at("w0");
  // The second job's save is durable before the first one's.
  const uint64_t Number = Given.Cell.Jobs.at(Second).PendingSave;
  EXPECT_TRUE(jobSaved(Given.Cell, Second, Number, 7, 0, WallTime(1000s)).empty());
  EXPECT_EQ(W.ForgetThrough, 1u);
  const uint64_t Other = Given.Cell.Jobs.at(First).PendingSave;
  EXPECT_EQ(jobSaved(Given.Cell, First, Other, 8, 0, WallTime(1000s)),
            std::vector<std::string>{"w0"});
  EXPECT_EQ(W.ForgetThrough, 3u);
}

// The entry of an unconfigured service may belong to another system; its address must not be
// called.
TEST(Fleet, AWorkerOfAnUnconfiguredServiceIsNotCalled) {
  PlacementScene Given(0);
  CellConfiguration Config;
  Config.Services.push_back({"pool", false});
  applyConfiguration(Given.Cell, Config);
  for (const char *Service : {"pool", "elsewhere"}) {
    WorkerInfo Info;
    Info.Id = Service;
    Info.Service = Service;
    Info.Capacity = WorkerSize;
    workerListed(Given.Cell, Info, Given.Now);
  }
  Effects Out;
  tick(Given.Cell, Given.Now, WallTime(1000s), Out);
  EXPECT_TRUE(Given.Cell.Workers.at("pool").IsSelected);
  EXPECT_FALSE(Given.Cell.Workers.at("elsewhere").IsSelected);
}

} // namespace
} // namespace valveshelf::sched
