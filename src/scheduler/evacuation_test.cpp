// SPDX-License-Identifier: Apache-2.0
// Evacuation of availability zones, and placement on workers that are still slow after their start.
#include "replay/placement_scene.h"
#include "valveshelf/cell_records.h"

#include <gtest/gtest.h>

namespace valveshelf::sched {
namespace {
using namespace std::chrono_literals;

WorkerInfo workerIn(const std::string &Id, const std::string &Zone) {
  WorkerInfo Info;
  Info.Id = Id;
  Info.Service = "pool";
  Info.Zone = Zone;
  Info.Capacity = WorkerSize;
  return Info;
}

// A cell with the worker "a1" in zone "a"; tests add more.
struct TwoZones : PlacementScene {
  TwoZones() : PlacementScene(0) { addWorkerIn("a1", "a"); }
  void addWorkerIn(const std::string &Id, const std::string &Zone) {
    workerListed(Cell, workerIn(Id, Zone), Now);
    Cell.Workers.at(Id).IsRecorded = true;
    Effects Out;
    workerReported(Cell, Id, {}, Now, Now, Out);
  }
  bool evacuateZones(std::set<std::string> Zones) {
    return evacuate(Cell, {std::move(Zones), ++Revision});
  }
  uint64_t Revision = 10;
};

TEST(Evacuation, NothingIsStartedInTheZoneUntilTheRequestIsWithdrawn) {
  TwoZones Given;
  Given.addWorkerIn("b1", "b");
  EXPECT_TRUE(Given.evacuateZones({"a"}));
  const JobId Job = Given.submit(0, tasks(10, 10000, 1s), 100);
  const Effects Out = Given.pass();
  EXPECT_EQ(Out.Starts.size(), 6u) << "no room outside the zone for the others";
  for (const Effects::Start &Order : Out.Starts)
    EXPECT_EQ(Order.Worker, "b1");
  EXPECT_NE(explainJob(Given.Cell, Job, Given.Now).find("\"in_an_evacuated_zone\":1"),
            std::string::npos);
  EXPECT_TRUE(Given.evacuateZones({}));
  EXPECT_EQ(Given.pass(100ms).Starts.size(), 4u);
}

TEST(Evacuation, AWorkerThatIsListedLaterBelongsToTheZone) {
  TwoZones Given;
  Given.evacuateZones({"a"});
  Given.addWorkerIn("a2", "a");
  Given.submit(0, tasks(1, 1000, 1s), 100);
  EXPECT_TRUE(Given.pass().Starts.empty());
}

TEST(Evacuation, AnOlderRevisionIsIgnored) {
  TwoZones Given;
  Given.evacuateZones({"a"});
  EXPECT_FALSE(evacuate(Given.Cell, {{}, 5}));
  EXPECT_TRUE(Given.Cell.Workers.at("a1").InEvacuatedZone);
  EXPECT_FALSE(Given.evacuateZones({"a"})) << "the zones have not changed";
}

TEST(Evacuation, PlannedAttemptsInTheZoneAreDropped) {
  TwoZones Given;
  const StepKey Step{Given.submit(1, tasks(2, 10000, 1s), 100, true), 0, 0};
  Given.pass();
  // The advice allows the worker but its ticket has expired: the room is held until a new one
  // arrives.
  adviceAnswered(Given.Cell, Step, {"a1"}, {{"a1", "old"}}, 0ms, Given.Now);
  Given.pass();
  ASSERT_EQ(Given.Cell.Workers.at("a1").Planned.MilliCores, 20000);
  Given.evacuateZones({"a"});
  EXPECT_TRUE(Given.pass(100ms).Starts.empty());
  EXPECT_EQ(Given.Cell.Workers.at("a1").Planned, Resources{});
}

TEST(Evacuation, AGangIsPlannedElsewhere) {
  TwoZones Given;
  Given.addWorkerIn("b1", "b");
  StepSpec Gang = tasks(6, 10000, 1s);
  Gang.Gang = true;
  Given.evacuateZones({"a"});
  Given.submit(1, Gang, 100);
  const Effects Out = Given.pass();
  ASSERT_EQ(Out.Starts.size(), 6u);
  for (const Effects::Start &Order : Out.Starts)
    EXPECT_EQ(Order.Worker, "b1");
}

// A resent order would start a run in the zone after the evacuation was requested.
TEST(Evacuation, AnUnansweredStartIsNotResentIntoTheZone) {
  TwoZones Given;
  Given.submit(0, tasks(1, 1000, 1s), 100);
  Effects Out;
  Given.Now += 1ms;
  place(Given.Cell, Given.Now, Out);
  ASSERT_EQ(Out.Starts.size(), 1u);
  Given.evacuateZones({"a"});
  Effects After;
  startAnswered(Given.Cell, "a1", Out.Starts.front().Run, StartResult::Unknown, Given.Now, After);
  EXPECT_TRUE(After.Starts.empty());
  EXPECT_EQ(After.Stops.size(), 1u);
}

// One task runs in the zone, and there is room outside it.
struct WorkInZone : TwoZones {
  explicit WorkInZone(StepSpec Step) {
    submit(1, std::move(Step), 1000);
    pass();
    addWorkerIn("b1", "b");
    Now += 200ms;
    evacuateZones({"a"});
  }
};

TEST(Evacuation, CheckpointedWorkIsMovedUnlessItEndsSoon) {
  EXPECT_EQ(WorkInZone(tasks(1, 20000, 8s, true)).pass().Stops.size(), 1u);
  EXPECT_TRUE(WorkInZone(tasks(1, 20000, 1s, true)).pass().Stops.empty());
  EXPECT_TRUE(WorkInZone(tasks(1, 20000, 8s, false)).pass().Stops.empty());
}

TEST(Evacuation, ALongRunningTaskIsStoppedOnlyWhenThereIsRoomElsewhere) {
  StepSpec LongRunningStep = tasks(1, 20000, 500ms);
  LongRunningStep.LongRunning = true;
  WorkInZone Given(LongRunningStep);
  const Effects Moved = Given.pass();
  ASSERT_EQ(Moved.Stops.size(), 1u);
  EXPECT_EQ(Moved.Stops.front().Why, "its availability zone is being evacuated");
  WorkInZone Alone(LongRunningStep);
  Effects Out;
  workerEnded(Alone.Cell, "b1", Alone.Now, Out);
  EXPECT_TRUE(Alone.pass().Stops.empty()) << "stopped without room elsewhere";
}

TEST(Evacuation, WorkersAreSelectedOnlyOutsideTheZone) {
  TwoZones Given;
  for (int I = 0; I < 300; ++I)
    workerListed(Given.Cell, workerIn((I % 2 ? "a-" : "b-") + std::to_string(I), I % 2 ? "a" : "b"),
                 Given.Now);
  Given.evacuateZones({"a"});
  Effects Out;
  for (int I = 0; I < 5; ++I)
    tick(Given.Cell, Given.Now, WallTime(1000s), Out);
  for (const auto &[Id, On] : Given.Cell.Workers)
    EXPECT_EQ(On.IsSelected, On.Info.Zone == "b") << Id;
}

// A step takes as long as its slowest task, so that slow workers are the last choice.
TEST(SlowStarts, AWorkerThatIsStillSlowIsUsedLast) {
  TwoZones Given;
  WorkerInfo Fresh = workerIn("fresh", "a");
  Fresh.WarmUpTimeLeft = 3s;
  workerListed(Given.Cell, Fresh, Given.Now);
  Given.Cell.Workers.at("fresh").IsRecorded = true;
  Effects Out;
  workerReported(Given.Cell, "fresh", {}, Given.Now, Given.Now, Out);
  Given.submit(0, tasks(6, 10000, 1s), 100); // would be spread over both workers of equal speed
  for (const Effects::Start &Order : Given.pass().Starts)
    EXPECT_EQ(Order.Worker, "a1");
  Given.submit(0, tasks(1, 10000, 1s), 100);
  const auto Beyond = Given.pass().Starts;
  ASSERT_EQ(Beyond.size(), 1u) << "a slow worker is used if no other has room";
  EXPECT_EQ(Beyond.front().Worker, "fresh");
  Given.Now += 3s;
  Given.submit(0, tasks(1, 10000, 1s), 100);
  const auto Later = Given.pass().Starts;
  ASSERT_EQ(Later.size(), 1u);
  EXPECT_EQ(Later.front().Worker, "fresh") << "it is no longer slow and has the most room";
}

} // namespace
} // namespace valveshelf::sched
