// SPDX-License-Identifier: Apache-2.0
// Reports that leave out ends: a worker lists only so many at once, and the others once it may
// forget those. Runs that such a report does not name may have been there.
#include "replay/placement_scene.h"

#include <gtest/gtest.h>

namespace valveshelf::sched {
namespace {
using namespace std::chrono_literals;

WorkerReport partial(std::vector<EndedRun> Ended) {
  WorkerReport Report;
  Report.Ended = std::move(Ended);
  Report.HasMoreEnds = true;
  return Report;
}

// Guards against TWICE: a stopped run that is done, and whose end the worker does not list yet, was
// taken for one that never started.
TEST(PartialReports, ARunWhoseEndIsNotListedYetIsNotDropped) {
  PlacementScene Given(2);
  Given.submit(1, tasks(1, 60000, 1000ms), 4);
  const Effects::Start Order = Given.pass().Starts.at(0);
  Effects Out;
  Worker &On = Given.Cell.Workers.at(Order.Worker);
  stopAttempt(Given.Cell, On, Order.Run, "a test", Given.Now, Out);
  stopAnswered(Given.Cell, Order.Worker, Order.Run, true, Given.Now, Out);
  Given.Now += 10ms;
  workerReported(Given.Cell, Order.Worker,
                 partial({{1, {{{77, 0, 0}, 0}, 1}, RunOutcome::Done, ""}}), Given.Now, Given.Now,
                 Out);
  EXPECT_EQ(On.Attempts.count(Order.Run), 1u);
  EXPECT_TRUE(Given.pass().Starts.empty());
  WorkerReport Rest;
  Rest.Ended = {{2, Order.Run, RunOutcome::Done, ""}};
  Given.Now += 10ms;
  workerReported(Given.Cell, Order.Worker, Rest, Given.Now, Given.Now, Out);
  EXPECT_EQ(On.Attempts.count(Order.Run), 0u);
  EXPECT_TRUE(Given.pass().Starts.empty());
}

// Guards against TWICE after a takeover: a run that is done, and whose end the worker does not list
// yet, was taken for one that an earlier scheduler had not started.
TEST(PartialReports, ATaskWaitsForTheRestOfTheEndsAfterATakeover) {
  PlacementScene Given(1);
  WorkerInfo Info;
  Info.Id = "busy";
  Info.Service = "pool";
  Info.Capacity = WorkerSize;
  workerMayHoldRuns(Given.Cell, Info, Given.Now + 6s);
  workerListed(Given.Cell, Info, Given.Now);
  auto Spec = std::make_shared<JobSpec>();
  Spec->Id = 9;
  Spec->Service = "pool";
  Spec->MaxAttempts = 2;
  Spec->Steps.push_back(tasks(1, 1000, 1000ms));
  addJob(Given.Cell, Spec, 9, false, Given.Now);
  const RunKey Run{{{9, 0, 0}, 0}, 1};
  Effects Out;
  Given.Now += 10ms;
  workerReported(Given.Cell, "busy", partial({{1, {{{77, 0, 0}, 0}, 1}, RunOutcome::Done, ""}}),
                 Given.Now, Given.Now, Out);
  EXPECT_TRUE(Given.pass().Starts.empty());
  WorkerReport Rest;
  Rest.Ended = {{2, Run, RunOutcome::Done, ""}};
  Given.Now += 10ms;
  workerReported(Given.Cell, "busy", Rest, Given.Now, Given.Now, Out);
  EXPECT_TRUE(Given.pass().Starts.empty());
  EXPECT_TRUE(unreportedServices(Given.Cell).empty());
}

// Guards against a long-running task that is down for good: of two reports of the same millisecond,
// the one with the run's end was read first, and the other one made the run its task's again.
TEST(PartialReports, AReportThatWasOvertakenRevivesNoEndedRun) {
  PlacementScene Given(1);
  StepSpec Step = tasks(1, 1000, 1000ms);
  Step.LongRunning = true;
  Given.submit(1, Step, 4);
  const Effects::Start Order = Given.pass().Starts.at(0);
  const TimePoint FirstAskedAt = Given.Now += 1ms;
  const TimePoint SecondAskedAt = Given.Now += 1ms;
  WorkerReport First;
  First.WorkerClock = 500ms;
  First.Active = {{Order.Run, "", 100}};
  WorkerReport Second;
  Second.WorkerClock = 500ms;
  Second.Ended = {{1, Order.Run, RunOutcome::Failed, ""}};
  Effects Out;
  Given.Now += 1ms;
  workerReported(Given.Cell, Order.Worker, Second, SecondAskedAt, Given.Now, Out);
  workerReported(Given.Cell, Order.Worker, First, FirstAskedAt, Given.Now, Out);
  const Worker &On = Given.Cell.Workers.at(Order.Worker);
  EXPECT_EQ(On.Attempts.count(Order.Run), 0u);
  // Later reports name neither the run nor its end.
  size_t Restarts = 0;
  for (int I = 1; I <= 600; ++I) {
    WorkerReport Later;
    Later.WorkerClock = 500ms + 100ms * I;
    Given.Now += 100ms;
    workerReported(Given.Cell, Order.Worker, Later, Given.Now, Given.Now, Out);
    tick(Given.Cell, Given.Now, WallTime{}, Out);
    Restarts += Given.pass().Starts.size();
    if (Restarts > 0)
      break;
  }
  EXPECT_EQ(Restarts, 1u);
}

// Guards against a gang member that waits for others that were lost: the first report of a new life
// names it and leaves out ends, and only the next one shows that the others are not there.
TEST(PartialReports, AMemberOfAGangThatLostOthersInARestartIsStopped) {
  PlacementScene Given(1);
  StepSpec Step = tasks(2, 1000, 1000ms);
  Step.Gang = true;
  Given.submit(1, Step, 4);
  Given.pass();
  const Worker &Was = Given.Cell.Workers.at("w0");
  ASSERT_EQ(Was.Attempts.size(), 2u);
  const RunKey Present = Was.Attempts.begin()->first;
  const auto Report = [&](Milliseconds Clock, bool HasMoreEnds) {
    WorkerReport Made;
    Made.WorkerClock = Clock;
    Made.Active = {{Present, "", 0}};
    if (HasMoreEnds)
      Made.Ended = {{1, {{{77, 0, 0}, 0}, 1}, RunOutcome::Done, ""}};
    Made.HasMoreEnds = HasMoreEnds;
    Effects Out;
    Given.Now += 10ms;
    workerReported(Given.Cell, "w0", Made, Given.Now, Given.Now, Out);
    return Out;
  };
  Report(5000ms, false);
  Report(100ms, false); // a new life, which is asked again
  std::vector<Effects::Stop> Stops = Report(110ms, true).Stops;
  for (const Effects::Stop &Order : Report(120ms, false).Stops)
    Stops.push_back(Order);
  ASSERT_EQ(Stops.size(), 1u);
  EXPECT_EQ(Stops[0].Run, Present);
}

} // namespace
} // namespace valveshelf::sched
