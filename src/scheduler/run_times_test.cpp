// SPDX-License-Identifier: Apache-2.0
// What the scheduler learns from reported ends, and what it decides with it: a fleet with workers
// at half speed, estimates that are off, and tasks that fail everywhere.
#include "scheduler/run_times.h"

#include "replay/placement_scene.h"
#include "valveshelf/cell_records.h"

#include <gtest/gtest.h>

#include <cmath>

namespace valveshelf::sched {
namespace {
using namespace std::chrono_literals;

class RunTimeScene : public PlacementScene {
public:
  explicit RunTimeScene(int Workers, bool Learns = true) : PlacementScene(Workers) {
    applyFeatures(Cell, {.LearnRunTimes = Learns});
  }

  // Reports the end of a run on its worker.
  Effects end(const RunKey &Run, RunOutcome How = RunOutcome::Done) {
    Worker &On = *findStep(Cell, Run.Task.Step)->Tasks[Run.Task.Index].AssignedWorker;
    WorkerReport Report;
    Report.Ended.push_back({On.LastEndNumber + 1, Run, How, ""});
    for (const auto &[Other, Entry] : On.Attempts)
      if (Other != Run)
        Report.Active.push_back({Other, "", 1});
    Effects Out;
    workerReported(Cell, On.Info.Id, Report, Now, Now, Out);
    return Out;
  }

  // Places a task of the queue and ends it after \p Time.
  Effects runOne(const std::string &Queue, Milliseconds Estimate, Milliseconds Time) {
    submit(0, tasks(1, 1000, Estimate), 1000, false, Queue);
    const Effects Placed = pass();
    Cell.WallAt = Now += Time;
    return end(Placed.Starts.at(0).Run);
  }

  void makeSlow(const std::string &Id) {
    for (int I = 0; I < 15; ++I)
      learnWorker(Cell.RunTimes, keyOf(Id), std::log(2), Now);
    refresh();
  }
  const std::string &keyOf(const std::string &Id) const {
    const WorkerInfo &Info = Cell.Workers.at(Id).Info;
    return Info.Machine.empty() ? Info.Id : Info.Machine;
  }
  void refresh() {
    Now += RunTimeRefreshInterval;
    Cell.WallAt = Now;
    Effects Out;
    refreshRunTimes(Cell, Now, Out);
  }
  StepState &stepOf(JobId Id) { return *findStep(Cell, {Id, 0, 0}); }
  std::string workerOf(JobId Id, uint32_t Index = 0) {
    return stepOf(Id).Tasks[Index].AssignedWorker->Info.Id;
  }
};

TEST(RunTimes, ReadersUseTheLearnedTimeOnceEnoughIsKnown) {
  RunTimeScene Given(1);
  for (int I = 0; I < 80; ++I)
    Given.runOne("q", 1000ms, 4000ms);
  const JobId Id = Given.submit(1, tasks(1, 1000, 1000ms, true), 2, false, "q");
  const StepState &Step = Given.stepOf(Id);
  EXPECT_NEAR(static_cast<double>(Step.Timing.Expected.count()), 4000, 400);
  EXPECT_EQ(Step.Timing.Source, RunTimeSource::Queue);
  const TimePoint Objective = Given.Cell.Jobs.at(Id).Objective;
  EXPECT_GT(Objective, Given.Now + 6000ms);
  EXPECT_FALSE(isLate(Given.Cell.Jobs.at(Id), Step, Objective - 3000ms));
  EXPECT_TRUE(isLate(Given.Cell.Jobs.at(Id), Step, Objective - 1000ms))
      << "the estimate alone would still fit";
  Given.pass();
  EXPECT_EQ(attemptOf(Step, 0)->Expected, Step.Timing.Expected);
  EXPECT_EQ(attemptOf(Step, 0)->Estimate, 1000ms) << "evidence of crashes reads the estimate";
  EXPECT_NE(explainJob(Given.Cell, Id, Given.Now).find("\"expected_from\":\"queue\""),
            std::string::npos);
  // What is learned later does not move the objective.
  for (int I = 0; I < 30; ++I)
    Given.runOne("q", 1000ms, 500ms);
  EXPECT_EQ(Given.Cell.Jobs.at(Id).Objective, Objective);
}

// Estimates that are too short for all must not make all workers seem slow.
TEST(RunTimes, WorkersAreNotSlowBecauseTheirQueuesEstimatesAreShort) {
  RunTimeScene Given(3);
  for (int I = 0; I < 100; ++I) {
    Given.runOne("q", 1000ms, 6000ms);
    for (const auto &[Id, On] : Given.Cell.Workers)
      EXPECT_NE(On.Speed, SpeedBand::Slow);
  }
  EXPECT_FALSE(Given.Cell.RunTimes.Workers.empty());
}

TEST(RunTimes, AnUnknownQueueKeepsItsEstimates) {
  RunTimeScene Given(1);
  const JobId Id = Given.submit(1, tasks(1, 1000, 1000ms), 2, false, "new");
  EXPECT_EQ(Given.stepOf(Id).Timing.Expected, 1000ms);
  EXPECT_EQ(Given.Cell.Jobs.at(Id).Objective, Given.Now + 2000ms);
}

TEST(RunTimes, ThreeEndedSiblingsGiveTheExpectation) {
  RunTimeScene Given(2);
  const JobId Id = Given.submit(1, tasks(8, 1000, 1000ms), 2, false, "q");
  const Effects Placed = Given.pass();
  Given.Now += 3000ms;
  for (size_t I = 0; I < 3; ++I) {
    EXPECT_EQ(Given.stepOf(Id).Timing.Expected, 1000ms);
    Given.end(Placed.Starts[I].Run);
  }
  EXPECT_NEAR(static_cast<double>(Given.stepOf(Id).Timing.Expected.count()), 3000, 2);
  EXPECT_EQ(Given.stepOf(Id).Timing.Source, RunTimeSource::Siblings);
}

// The workers of a step are compared with each other, whatever the estimate says.
TEST(RunTimes, AWorkerAtHalfSpeedIsFoundAmongItsSteps) {
  RunTimeScene Given(4);
  Effects Last;
  for (int Round = 0; Round < 10; ++Round) {
    const JobId Id = Given.submit(0, tasks(4, 60000, Round % 2 ? 100ms : 9000ms), 9, false, "q");
    const Effects Placed = Given.pass();
    ASSERT_EQ(Placed.Starts.size(), 4U);
    Given.Now += 1000ms;
    for (const bool Slow : {false, true}) {
      for (const Effects::Start &Order : Placed.Starts)
        if ((Order.Worker == "w2") == Slow)
          Last = Given.end(Order.Run);
      Given.Now += 1000ms;
    }
    EXPECT_EQ(Given.Cell.Jobs.at(Id).Phase, JobPhase::Completed);
    for (const Effects::SpeedChange &Change : Last.SpeedChanges)
      EXPECT_EQ(Change.Worker, "w2");
  }
  for (const auto &[Id, On] : Given.Cell.Workers)
    EXPECT_EQ(On.Speed == SpeedBand::Slow, Id == "w2") << Id;
  Given.refresh();
  EXPECT_EQ(Given.Cell.RunTimes.SlowWorkers, 1U);
  EXPECT_NE(slowestWorkers(Given.Cell, 10).find("\"worker\":\"w2\""), std::string::npos);
  EXPECT_EQ(slowestWorkers(Given.Cell, 0), "[]");
}

// A cell whose workers are alike goes by its callers' estimates.
TEST(RunTimes, LearnedTimesWaitForUnevenWorkers) {
  RunTimeScene Given(20);
  Given.Cell.InForce.NeedsUnevenWorkers = true;
  const auto IsUsedWith = [&](int Slow) {
    Given.Cell.RunTimes.Workers.clear();
    for (const auto &[Id, On] : Given.Cell.Workers)
      if (Slow-- > 0)
        for (int Run = 0; Run < 20; ++Run)
          learnWorker(Given.Cell.RunTimes, Id, 0.7, Given.Now);
    Given.refresh();
    return usesRunTimes(Given.Cell);
  };
  EXPECT_FALSE(IsUsedWith(0));
  EXPECT_FALSE(IsUsedWith(1));
  EXPECT_TRUE(IsUsedWith(2)) << "a tenth";
  EXPECT_TRUE(IsUsedWith(1)) << "still a twentieth";
  EXPECT_FALSE(IsUsedWith(0));
}

TEST(RunTimes, RunsWhoseTimeIsNotKnownTeachNothing) {
  RunTimeScene Given(2);
  const auto Learned = [&] { return Given.Cell.RunTimes.Changes; };
  // It resumes from a checkpoint.
  JobId Id = Given.submit(0, tasks(1, 1000, 1000ms, true), 9, false, "q");
  Given.stepOf(Id).Tasks[0].Checkpoint = "half";
  Given.end(Given.pass().Starts.at(0).Run);
  EXPECT_EQ(Learned(), 0U);
  // Its worker was silent before the report.
  Given.submit(0, tasks(1, 1000, 1000ms), 9, false, "q");
  const Effects Placed = Given.pass();
  workerSilent(Given.Cell, Placed.Starts.at(0).Worker, Given.Now);
  Given.end(Placed.Starts.at(0).Run);
  EXPECT_EQ(Learned(), 0U);
  // It was started by an earlier scheduler.
  Id = Given.submit(0, tasks(1, 1000, 1000ms), 9, false, "q");
  WorkerReport Found;
  Found.Active.push_back({{{{Id, 0, 0}, 0}, 7}, "", 50});
  Effects Out;
  workerReported(Given.Cell, "w0", Found, Given.Now, Given.Now, Out);
  Given.end(Found.Active[0].Run);
  EXPECT_EQ(Learned(), 0U);
  EXPECT_EQ(Given.Cell.Jobs.at(Id).Phase, JobPhase::Completed);
  // It ran on a worker that was warming up.
  for (auto &[Name, On] : Given.Cell.Workers)
    On.SlowUntil = Given.Now + 1000ms;
  Given.runOne("q", 1000ms, 3000ms);
  EXPECT_EQ(Learned(), 0U);
  // Its start was confirmed.
  Given.runOne("q", 1000ms, 3000ms);
  EXPECT_EQ(Learned(), 1U);
}

TEST(RunTimes, AGangTeachesItsQueueOnceUnlessItsMembersWaited) {
  for (const bool Waits : {false, true}) {
    RunTimeScene Given(4);
    StepSpec Gang = tasks(4, 60000, 1000ms);
    Gang.Gang = true;
    const JobId Id = Given.submit(0, Gang, 9, false, "q");
    const Effects Placed = Given.pass();
    ASSERT_EQ(Placed.Starts.size(), 4U);
    if (Waits)
      attemptOf(Given.stepOf(Id), 3)->StartedAt += 200ms;
    Given.Now += 2000ms;
    for (const Effects::Start &Order : Placed.Starts)
      Given.end(Order.Run);
    EXPECT_EQ(Given.Cell.RunTimes.Changes, Waits ? 0U : 1U);
    EXPECT_TRUE(Given.Cell.RunTimes.Workers.empty());
  }
}

TEST(RunTimes, UrgentTasksPreferWorkersThatAreNotSlow) {
  for (const bool Learns : {false, true}) {
    RunTimeScene Given(2, Learns);
    Given.makeSlow("w0");
    const JobId First = Given.submit(0, tasks(1, 20000, 1000ms), 9);
    Given.pass();
    const JobId Second = Given.submit(0, tasks(1, 20000, 1000ms), 9);
    Given.pass();
    // Spread as before without the feature, else both on the worker that is not slow.
    EXPECT_EQ(Given.workerOf(First) == Given.workerOf(Second), Learns);
    EXPECT_EQ(Given.workerOf(Second) == "w1" && Given.workerOf(First) == "w1", Learns);
    // A slow worker is used before work waits.
    const JobId Third = Given.submit(0, tasks(1, 40000, 1000ms), 9);
    EXPECT_EQ(Given.pass().Starts.size(), 1U);
    EXPECT_TRUE(!Learns || Given.workerOf(Third) == "w0");
  }
}

TEST(RunTimes, ExistingPenaltiesComeBeforeSpeed) {
  RunTimeScene Given(2);
  Given.makeSlow("w0");
  Given.Cell.Workers.at("w0").Info.Rack = "near";
  StepSpec Step = tasks(1, 1000, 1000ms);
  Step.PreferredRack = "near";
  const JobId Id = Given.submit(0, Step, 9);
  Given.pass();
  EXPECT_EQ(Given.workerOf(Id), "w0");
}

TEST(RunTimes, OnlyTheLastTasksOfAWideStepPreferFastWorkers) {
  RunTimeScene Given(2);
  Given.makeSlow("w0");
  // Fuller than w1, so that other work is packed here.
  const JobId Filler = Given.submit(2, tasks(1, 16000, 1000ms), 9);
  Given.Cell.Workers.at("w1").Info.Draining = true;
  Given.pass();
  ASSERT_EQ(Given.workerOf(Filler), "w0");
  Given.Cell.Workers.at("w1").Info.Draining = false;
  const JobId Id = Given.submit(2, tasks(16, 2000, 1000ms), 9);
  Given.pass();
  for (uint32_t I = 0; I < 16; ++I)
    EXPECT_EQ(Given.workerOf(Id, I), I < 14 ? "w0" : "w1") << I;
}

TEST(RunTimes, AnIncarnationOnTheSameMachineInheritsTheSpeed) {
  for (const bool SameMachine : {true, false}) {
    RunTimeScene Given(1);
    WorkerInfo Info;
    Info.Id = "old";
    Info.Service = "pool";
    Info.Machine = "m1";
    Info.Capacity = WorkerSize;
    workerListed(Given.Cell, Info, Given.Now);
    Given.makeSlow("old");
    EXPECT_EQ(Given.Cell.Workers.at("old").Speed, SpeedBand::Slow);
    Effects Out;
    workerEnded(Given.Cell, "old", Given.Now, Out);
    Info.Id = "new";
    Info.Machine = SameMachine ? "m1" : "m2";
    workerListed(Given.Cell, Info, Given.Now);
    Given.refresh();
    EXPECT_EQ(Given.Cell.Workers.at("new").Speed,
              SameMachine ? SpeedBand::Slow : SpeedBand::Ordinary);
  }
}

// A run on a worker that is learned as slow is expected to take longer there.
TEST(RunTimes, AttemptsAreBookedWithTheSpeedOfTheirWorker) {
  RunTimeScene Given(1);
  Given.makeSlow("w0");
  const JobId Id = Given.submit(0, tasks(1, 1000, 1000ms, true), 9);
  Given.pass();
  EXPECT_NEAR(static_cast<double>(attemptOf(Given.stepOf(Id), 0)->Expected.count()), 1840, 60);
}

// A run of a queue that takes far longer than estimated is not stopped as stalled.
TEST(RunTimes, StallsUseTheLargerOfEstimateAndLearnedTime) {
  for (const bool Learns : {false, true}) {
    RunTimeScene Given(1, Learns);
    for (int I = 0; I < 10; ++I)
      Given.runOne("q", 1000ms, 60s);
    Given.submit(0, tasks(1, 1000, 1000ms), 1000, false, "q");
    const RunKey Run = Given.pass().Starts.at(0).Run;
    Given.Now += 2500ms;
    WorkerReport Report;
    Report.Active.push_back({Run, "", 0});
    Effects Out;
    workerReported(Given.Cell, "w0", Report, Given.Now, Given.Now, Out);
    tick(Given.Cell, Given.Now, WallTime(1s), Out);
    EXPECT_EQ(Out.Stops.empty(), Learns);
  }
}

// Fails one task on each worker in turn, \p Rounds times over; returns the largest count of
// consecutive failures on a worker.
int failOneTaskEverywhere(bool Learns) {
  RunTimeScene Given(3, Learns);
  const JobId Id = Given.submit(0, tasks(1, 1000, 1000ms), 1000);
  int Most = 0;
  for (int I = 0; I < 2; ++I) { // MaxAttempts - 1
    Given.Now += 5000ms;
    const Effects Placed = Given.pass();
    Given.Now += 900ms; // not early
    Given.end(Placed.Starts.at(0).Run, RunOutcome::Failed);
  }
  EXPECT_EQ(Given.Cell.Jobs.at(Id).Phase, JobPhase::Live);
  for (const auto &[Name, On] : Given.Cell.Workers)
    Most += On.ConsecutiveFailures;
  return Most;
}

TEST(RunTimes, ATaskThatFailsEverywhereCountsAgainstOneWorkerOnly) {
  EXPECT_EQ(failOneTaskEverywhere(false), 2);
  EXPECT_EQ(failOneTaskEverywhere(true), 1);
}

TEST(RunTimes, FailuresOfDifferentTasksStillQuarantineAWorker) {
  RunTimeScene Given(1);
  for (JobId Id = 1; Id <= 3; ++Id) { // MaxConsecutiveFailures
    Given.submit(0, tasks(1, 1000, 1000ms), 1000);
    Given.Now += 5000ms;
    const Effects Placed = Given.pass();
    Given.Now += 900ms;
    for (const Effects::Start &Order : Placed.Starts)
      if (Order.Run.Task.Step.Job == Id)
        Given.end(Order.Run, RunOutcome::Failed);
  }
  EXPECT_GT(Given.Cell.Workers.at("w0").QuarantinedUntil, Given.Now);
}

TEST(RunTimes, WithTheFeatureOffNothingIsLearnedAndNothingIsRemembered) {
  RunTimeScene Given(2, false);
  for (int I = 0; I < 30; ++I)
    Given.runOne("q", 1000ms, 4000ms);
  EXPECT_EQ(Given.Cell.RunTimes.Changes, 0U);
  const JobId Id = Given.submit(0, tasks(8, 1000, 1000ms), 2, false, "q");
  Given.pass();
  EXPECT_EQ(Given.stepOf(Id).Timing.Expected, 1000ms);
  EXPECT_EQ(attemptOf(Given.stepOf(Id), 0)->Expected, 1000ms);
  EXPECT_EQ(Given.Cell.Jobs.at(Id).Objective, Given.Cell.WallAt + 2000ms);
  // Switched on and off again, it leaves no trace.
  applyFeatures(Given.Cell, {.LearnRunTimes = true});
  Given.makeSlow("w0");
  for (int I = 0; I < 10; ++I)
    Given.runOne("q", 1000ms, 4000ms);
  applyFeatures(Given.Cell, {});
  EXPECT_TRUE(Given.Cell.RunTimes.Workers.empty() && Given.Cell.RunTimes.Queues.empty());
  EXPECT_EQ(Given.Cell.Workers.at("w0").Speed, SpeedBand::Ordinary);
  EXPECT_EQ(Given.stepOf(Id).Timing.Expected, 1000ms);
}

TEST(RunTimes, ObjectivesFromLearnedTimesEndWithTheFeature) {
  RunTimeScene Given(2);
  for (int I = 0; I < 30; ++I)
    Given.runOne("q", 1000ms, 4000ms);
  const TimePoint Submitted = Given.Cell.WallAt;
  const JobId Id = Given.submit(0, tasks(1, 1000, 1000ms), 2, false, "q");
  const Job &J = Given.Cell.Jobs.at(Id);
  ASSERT_GT(J.Objective, Submitted + 4s);
  applyFeatures(Given.Cell, {});
  EXPECT_EQ(J.Objective, Submitted + 2000ms);
  EXPECT_EQ(Given.stepOf(Id).Queued->Objective, J.Objective);
}

} // namespace
} // namespace valveshelf::sched
