// SPDX-License-Identifier: Apache-2.0
// Guards against jobs that the scheduler before learns of first and starts where no call of this
// one has arrived: they must not be started again, and what workers report of them must not be
// lost.
#include "replay/placement_scene.h"

#include <gtest/gtest.h>

namespace valveshelf::sched {
namespace {
using namespace std::chrono_literals;

constexpr RunKey EarlyRun{{{1, 0, 0}, 0}, 7}; ///< Of the first job that is submitted.

/// A scheduler whose predecessor may still start runs. "used" may hold some; "w0" has reported.
struct TakenOver : PlacementScene {
  TakenOver() : PlacementScene(1) {
    Cell.PredecessorMayStart = true;
    listWorker("used", WorkerSize);
    WorkerInfo Used = Cell.Workers.at("used").Info;
    workerMayHoldRuns(Cell, Used, Now + 6s);
  }
  Effects report(const WorkerReport &Report) {
    Effects Out;
    workerReported(Cell, "used", Report, Now, Now, Out);
    return Out;
  }
  Effects passAfter(Milliseconds Elapsed) {
    Effects Out;
    Now += Elapsed;
    tick(Cell, Now, WallTime(1000s), Out);
    return pass();
  }
};

TEST(TakeoverJobs, AJobOfThatTimeWaitsForAWorkerThatCannotBeReached) {
  TakenOver Given;
  Given.submit(0, tasks(1, 1000, 100ms), 100);
  workerSilent(Given.Cell, "used", Given.Now);
  EXPECT_TRUE(Given.pass().Starts.empty());
  EXPECT_TRUE(Given.passAfter(5s).Starts.empty());
  EXPECT_EQ(Given.passAfter(2s).Starts.size(), 1U) << "its lease is over";
}

TEST(TakeoverJobs, ALaterJobDoesNotWaitForAWorkerThatCannotBeReached) {
  TakenOver Given;
  workerSilent(Given.Cell, "used", Given.Now);
  predecessorEnded(Given.Cell);
  Given.submit(0, tasks(1, 1000, 100ms), 100);
  EXPECT_EQ(Given.pass().Starts.size(), 1U);
}

TEST(TakeoverJobs, AnEndOfAJobThatIsNotKnownYetIsNotForgotten) {
  TakenOver Given;
  WorkerReport Report;
  Report.Ended.push_back({1, EarlyRun, RunOutcome::Done, ""});
  Given.report(Report);
  EXPECT_EQ(Given.Cell.Workers.at("used").ForgetThrough, 0U);
  ASSERT_EQ(Given.submit(0, tasks(1, 1000, 100ms), 100), EarlyRun.Task.Step.Job);
  EXPECT_TRUE(Given.pass().Starts.empty()) << "the worker has not reported it";
  EXPECT_TRUE(Given.report(Report).SaveRequested);
  EXPECT_TRUE(Given.pass().Starts.empty());
}

TEST(TakeoverJobs, ARunOfAJobThatIsNotKnownYetGoesOn) {
  TakenOver Given;
  WorkerReport Report;
  Report.Active.push_back({EarlyRun, "", 10});
  EXPECT_TRUE(Given.report(Report).Stops.empty());
  Given.submit(0, tasks(1, 1000, 100ms), 100);
  EXPECT_TRUE(Given.report(Report).Stops.empty());
  EXPECT_TRUE(Given.pass().Starts.empty());
  EXPECT_EQ(publicJobState(Given.Cell, EarlyRun.Task.Step.Job), "running");
}

TEST(TakeoverJobs, ARunOfAJobThatDoesNotExistIsStopped) {
  TakenOver Given;
  WorkerReport Report;
  Report.Active.push_back({EarlyRun, "", 10});
  Report.Ended.push_back({1, {{{2, 0, 0}, 0}, 7}, RunOutcome::Done, ""});
  Given.report(Report);
  predecessorEnded(Given.Cell);
  EXPECT_EQ(Given.report(Report).Stops.size(), 1U);
  EXPECT_EQ(Given.Cell.Workers.at("used").ForgetThrough, 1U);
}

// The runs of known jobs are not held up by such a report of another worker.
TEST(TakeoverJobs, AReportOfEndedJobsIsTakenAtOnce) {
  TakenOver Given;
  Given.Cell.EndedJobs[EarlyRun.Task.Step.Job] = {};
  WorkerReport Report;
  Report.Ended.push_back({1, EarlyRun, RunOutcome::Done, ""});
  Given.report(Report);
  EXPECT_EQ(Given.Cell.Workers.at("used").ForgetThrough, 1U);
}

} // namespace
} // namespace valveshelf::sched
