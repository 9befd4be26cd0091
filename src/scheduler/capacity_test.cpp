// SPDX-License-Identifier: Apache-2.0
// Placement on workers whose listed capacity changes while they hold runs.
#include "replay/placement_scene.h"

#include <gtest/gtest.h>

namespace valveshelf::sched {
namespace {
using namespace std::chrono_literals;

// Long enough for waiting steps to be tried again.
constexpr Milliseconds RescanTime{50};
// Large enough that no job is late.
constexpr double CriticalPathFactor = 100;

// A cell with one worker of ten cores.
struct OneWorker : PlacementScene {
  OneWorker() : PlacementScene(0) { addWorker("w", {10000, 100000, 0}); }
  void listCapacity(int64_t MilliCores) { listWorker("w", {MilliCores, 100000, 0}); }
};

TEST(Capacity, AShrunkWorkerTakesNoNewTaskUntilItFits) {
  OneWorker Given;
  Given.submit(0, tasks(3, 2000, 10s), CriticalPathFactor);
  ASSERT_EQ(Given.pass(RescanTime).Starts.size(), 3u);
  Given.listCapacity(7000);
  Given.submit(0, tasks(1, 2000, 10s), CriticalPathFactor);
  EXPECT_TRUE(Given.pass(RescanTime).Starts.empty());
  Given.listCapacity(5000); // less than its runs use; they go on
  Effects Out = Given.pass(RescanTime);
  EXPECT_TRUE(Out.Starts.empty());
  EXPECT_TRUE(Out.Stops.empty());
  Given.listCapacity(8000);
  EXPECT_EQ(Given.pass(RescanTime).Starts.size(), 1u);
}

TEST(Capacity, AStoppingRunOccupiesAShrunkWorker) {
  OneWorker Given;
  Given.submit(2, tasks(2, 4000, 10s, true), CriticalPathFactor);
  ASSERT_EQ(Given.pass(RescanTime).Starts.size(), 2u);
  Given.listCapacity(8000);
  Given.submit(0, tasks(1, 4000, 10s), CriticalPathFactor);
  const Effects Out = Given.pass(RescanTime);
  EXPECT_EQ(Out.Stops.size(), 1u);
  EXPECT_TRUE(Out.Starts.empty());
  Effects Then;
  stopAnswered(Given.Cell, "w", Out.Stops.at(0).Run, true, Given.Now, Then);
  EXPECT_TRUE(Given.pass(RescanTime).Starts.empty()) << "the run may still be there";
  WorkerReport Ended;
  Ended.Ended.push_back({1, Out.Stops[0].Run, RunOutcome::Stopped, ""});
  workerReported(Given.Cell, "w", Ended, Given.Now, Given.Now, Then);
  EXPECT_EQ(Given.pass(RescanTime).Starts.size(), 1u);
}

// The capacity shrinks after the attempts were planned and before their tickets arrive.
TEST(Capacity, APlanIsNotLaunchedOnAShrunkWorker) {
  for (const bool Gang : {false, true}) {
    OneWorker Given;
    Given.Cell.AdviceConcurrency = 2;
    StepSpec Step = tasks(2, 4000, 10s);
    Step.Gang = Gang;
    Given.submit(1, Step, CriticalPathFactor, true);
    Effects Out = Given.pass(RescanTime);
    ASSERT_EQ(Out.AdviceRequests.size(), 1u);
    adviceAnswered(Given.Cell, Out.AdviceRequests[0].Step, {"w"}, {{"w", "ticket"}}, 2s, Given.Now);
    Given.listCapacity(7000);
    Out = Given.pass(RescanTime);
    EXPECT_EQ(Out.Starts.size(), Gang ? 0u : 1u);
    Given.listCapacity(10000);
    Given.Now += 3s; // later than PlanTimeout
    for (int I = 0; I < 4; ++I) {
      for (const Effects::AdviceRequest &Request : Out.AdviceRequests)
        adviceAnswered(Given.Cell, Request.Step, Request.Workers, {{"w", "ticket"}}, 2s, Given.Now);
      Out = Given.pass(RescanTime);
    }
    EXPECT_EQ(Given.Cell.Workers.at("w").Booked.MilliCores, 8000) << "gang: " << Gang;
  }
}

// The store's record has the worker's old capacity; the list has the current one.
TEST(Capacity, ATakeoverUsesTheListedCapacityNotTheRecordedOne) {
  for (const bool RecordFirst : {false, true}) {
    OneWorker Given;
    const JobId Old = Given.submit(1, tasks(1, 4000, 10s), CriticalPathFactor);
    const Effects Before = Given.pass(RescanTime);
    ASSERT_EQ(Before.Starts.size(), 1u);
    const WorkerInfo Recorded = Given.Cell.Workers.at("w").Info;
    const JobSpecPtr Spec = Given.Cell.Jobs.at(Old).Spec;
    Given.Cell = CellState{};
    Given.Cell.FirstRun = 1001;
    if (RecordFirst)
      workerMayHoldRuns(Given.Cell, Recorded, Given.Now + 6s);
    Given.listCapacity(5000);
    if (!RecordFirst)
      workerMayHoldRuns(Given.Cell, Recorded, Given.Now + 6s);
    addJob(Given.Cell, Spec, Old, false, Given.Now);
    Effects Out;
    finishLoading(Given.Cell, Given.Now, Out);
    WorkerReport Report;
    Report.Active.push_back({Before.Starts[0].Run, "", 10});
    workerReported(Given.Cell, "w", Report, Given.Now, Given.Now, Out);
    Given.submit(0, tasks(1, 2000, 10s), CriticalPathFactor);
    EXPECT_TRUE(Given.pass(RescanTime).Starts.empty()) << "record first: " << RecordFirst;
    Given.listCapacity(6000);
    EXPECT_EQ(Given.pass(RescanTime).Starts.size(), 1u) << "record first: " << RecordFirst;
  }
}

} // namespace
} // namespace valveshelf::sched
