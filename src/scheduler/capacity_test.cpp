// SPDX-License-Identifier: Apache-2.0
// Workers whose capacity shrinks and grows while they run.
#include "valveshelf/cell_state.h"

#include <gtest/gtest.h>

namespace valveshelf::sched {
namespace {
using namespace std::chrono_literals;

// One worker of ten cores, heard and noted.
class Scene {
public:
  Scene() {
    Cell.WallAt = Now;
    Effects Out;
    finishLoading(Cell, Now, Out);
    say(10000);
    Cell.Workers.at("w").Saved = true;
    workerReported(Cell, "w", {}, Now, Now, Out);
  }

  // What the worker says of its capacity.
  void say(int64_t MilliCores) {
    WorkerInfo Info;
    Info.Id = "w";
    Info.Service = "pool";
    Info.Capacity = {MilliCores, 100000, 0};
    workerListed(Cell, Info, Now);
  }

  void submit(uint32_t Count, int64_t MilliCores, int Priority = 0, bool Gang = false,
              bool Advised = false) {
    auto Spec = std::make_shared<JobSpec>();
    Spec->Id = ++LastJob;
    Spec->Service = "pool";
    Spec->Priority = Priority;
    Spec->MaxAttempts = 3;
    Spec->Extension = 100;
    if (Advised)
      Spec->Advice = AdvicePolicy{std::chrono::milliseconds(5), 1ms, 2s};
    StepSpec Step;
    Step.Count = Count;
    Step.Need = {MilliCores, 100, 0};
    Step.Estimate = 10s;
    Step.Gang = Gang;
    Step.Checkpoints = Priority > 0;
    Spec->Steps.push_back(Step);
    addJob(Cell, Spec, LastJob, true, Now);
  }

  // One pass; start orders are confirmed.
  Effects pass() {
    Effects Out;
    Now += 50ms;
    place(Cell, Now, Out);
    for (const Effects::Start &Order : Out.Starts) {
      Effects Ignored;
      startAnswered(Cell, Order.Worker, Order.Run, StartResult::Started, Now, Ignored);
    }
    return Out;
  }

  CellState Cell;
  TimePoint Now = TimePoint{} + 1000s;

private:
  JobId LastJob = 0;
};

TEST(Capacity, WhatHasShrunkTakesNothingNewUntilItHasRoomAgain) {
  Scene Given;
  Given.submit(3, 2000);
  ASSERT_EQ(Given.pass().Starts.size(), 3u);
  Given.say(7000);
  Given.submit(1, 2000);
  EXPECT_TRUE(Given.pass().Starts.empty());
  Given.say(5000); // less than what runs there, which runs on
  Effects Out = Given.pass();
  EXPECT_TRUE(Out.Starts.empty());
  EXPECT_TRUE(Out.Stops.empty());
  Given.say(8000);
  EXPECT_EQ(Given.pass().Starts.size(), 1u);
}

TEST(Capacity, WhatIsBeingStoppedCountsInAShrunkenOne) {
  Scene Given;
  Given.submit(2, 4000, 2);
  ASSERT_EQ(Given.pass().Starts.size(), 2u);
  Given.say(8000);
  Given.submit(1, 4000);
  const Effects Out = Given.pass();
  EXPECT_EQ(Out.Stops.size(), 1u);
  EXPECT_TRUE(Out.Starts.empty());
  Effects Then;
  stopAnswered(Given.Cell, "w", Out.Stops.at(0).Run, true, Given.Now, Then);
  EXPECT_TRUE(Given.pass().Starts.empty()) << "it may be there still";
  WorkerReport Ended;
  Ended.Ended.push_back({1, Out.Stops[0].Run, RunEnd::Stopped, ""});
  workerReported(Given.Cell, "w", Ended, Given.Now, Given.Now, Then);
  EXPECT_EQ(Given.pass().Starts.size(), 1u);
}

// Room is planned, and the tickets come after it has gone.
TEST(Capacity, APlanIsNotLaunchedIntoAShrunkenOne) {
  for (const bool Gang : {false, true}) {
    Scene Given;
    Given.Cell.AdviceLanes = 2;
    Given.submit(2, 4000, 1, Gang, true);
    Effects Out = Given.pass();
    ASSERT_EQ(Out.Asks.size(), 1u);
    adviceAnswered(Given.Cell, Out.Asks[0].Step, {"w"}, {{"w", "ticket"}}, 2s, Given.Now);
    Given.say(7000);
    Out = Given.pass();
    EXPECT_EQ(Out.Starts.size(), Gang ? 0u : 1u);
    Given.say(10000);
    Given.Now += 3s; // a plan that came to nothing is given up by then
    for (int I = 0; I < 4; ++I) {
      for (const Effects::Ask &Question : Out.Asks)
        adviceAnswered(Given.Cell, Question.Step, Question.Workers, {{"w", "ticket"}}, 2s,
                       Given.Now);
      Out = Given.pass();
    }
    EXPECT_EQ(Given.Cell.Workers.at("w").Booked.MilliCores, 8000) << "gang: " << Gang;
  }
}

} // namespace
} // namespace valveshelf::sched
