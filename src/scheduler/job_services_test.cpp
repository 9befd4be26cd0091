// SPDX-License-Identifier: Apache-2.0
// Guards against accepted jobs that stay with a service that their queue has left, and against
// tasks that run twice at a takeover because a run of them is on a service that the job record does
// not name.
#include "replay/placement_scene.h"
#include "valveshelf/cell_records.h"

#include <gtest/gtest.h>

namespace valveshelf::sched {
namespace {
using namespace std::chrono_literals;

constexpr Milliseconds Lease{6000};

CellConfiguration configuration(uint64_t Version, const std::string &Service) {
  CellConfiguration Config;
  Config.Version = Version;
  Config.Services = {{"pool"}, {"pool2"}, {"pool3"}};
  if (!Service.empty())
    Config.Queues = {{.Name = "q", .Host = "", .PathPrefix = "", .Service = Service}};
  return Config;
}

/// A cell with one worker of each service. Each job is of queue "q", which uses "pool" at first.
struct MovableQueue : PlacementScene {
  MovableQueue() : PlacementScene(0) {
    applyConfiguration(Cell, configuration(1, "pool"));
    for (const char *Service : {"pool", "pool2", "pool3"})
      addWorkerOf(Service);
  }

  void list(const std::string &Service, bool IsDraining = false, const std::string &Id = "") {
    WorkerInfo Info;
    Info.Id = Id.empty() ? "of-" + Service : Id;
    Info.Service = Service;
    Info.Capacity = WorkerSize;
    Info.Draining = IsDraining;
    workerListed(Cell, Info, Now);
  }
  void addWorkerOf(const std::string &Service, const std::string &Id = "") {
    const std::string Added = Id.empty() ? "of-" + Service : Id;
    list(Service, false, Added);
    Cell.Workers.at(Added).IsRecorded = true;
    Effects Out;
    workerReported(Cell, Added, {}, Now, Now, Out);
  }
  JobId submitTask(const StepSpec &Step = tasks(1, 1000, 100ms)) {
    return submit(1, Step, 100, false, "q");
  }
  void moveTo(const std::string &Service) {
    applyConfiguration(Cell, configuration(Cell.ConfigVersion + 1, Service));
  }
  void save() {
    for (const auto &[Number, Id] : std::map(Cell.PendingSaves))
      jobSaved(Cell, Id, Number, 1, 1, WallTime(1000s));
  }
  // The workers on which one pass orders starts.
  std::vector<std::string> startedOn() {
    std::vector<std::string> Workers;
    for (const Effects::Start &Order : pass().Starts)
      Workers.push_back(Order.Worker);
    return Workers;
  }
  void lose(const std::string &Worker, WorkerEnd How = WorkerEnd::LeaseExpired) {
    Effects Out;
    workerEnded(Cell, Worker, Now, Out, How);
  }
  Effects tickAfter(Milliseconds Elapsed) {
    Effects Out;
    Now += Elapsed;
    tick(Cell, Now, WallTime(1000s) + Elapsed, Out);
    return Out;
  }
};

using Workers = std::vector<std::string>;

TEST(JobServices, AJobThatWaitsIsStartedOnTheServiceThatItsQueueHasNow) {
  MovableQueue Given;
  Given.submitTask();
  Given.moveTo("pool2");
  EXPECT_TRUE(Given.pass().SaveRequested);
  EXPECT_EQ(Given.startedOn(), Workers{}) << "the new service is not durable";
  Given.save();
  EXPECT_EQ(Given.startedOn(), Workers{"of-pool2"});
}

TEST(JobServices, ATaskThatWasPlannedBeforeTheMoveIsPlannedAgain) {
  MovableQueue Given;
  const Job &J = Given.Cell.Jobs.at(Given.submitTask());
  StepState &Step = *findStep(Given.Cell, {J.Spec->Id, 0, 0});
  book(Given.Cell, Step, 0, Given.Cell.Workers.at("of-pool"), 1, AttemptPhase::Planned, J,
       Given.Now);
  Given.moveTo("pool2");
  Given.save();
  EXPECT_EQ(Given.startedOn(), Workers{});
  EXPECT_EQ(Given.startedOn(), Workers{"of-pool2"});
}

TEST(JobServices, ARunGoesOnWhereItIsAndTheNextOneIsOnTheNewService) {
  MovableQueue Given;
  Given.submitTask();
  ASSERT_EQ(Given.startedOn(), Workers{"of-pool"});
  Given.moveTo("pool2");
  Given.save();
  EXPECT_TRUE(Given.pass().Stops.empty());
  Given.lose("of-pool");
  Given.addWorkerOf("pool");
  EXPECT_EQ(Given.startedOn(), Workers{"of-pool2"});
}

TEST(JobServices, ALaterStepIsStartedOnTheNewService) {
  MovableQueue Given;
  StepSpec First = tasks(1, 1000, 100ms);
  const JobId Id = Given.submitTask(First);
  auto Spec = std::make_shared<JobSpec>(*Given.Cell.Jobs.at(Id).Spec);
  Spec->Id = 100;
  Spec->Steps.push_back(First);
  Spec->Steps[1].DependsOn = {0};
  addJob(Given.Cell, Spec, 1, true, Given.Now);
  ASSERT_EQ(Given.startedOn().size(), 2U);
  Given.moveTo("pool2");
  Given.save();
  WorkerReport Report;
  Report.Ended.push_back({1, {{{100, 0, 0}, 0}, 1}, RunOutcome::Done, ""});
  Effects Out;
  workerReported(Given.Cell, "of-pool", Report, Given.Now, Given.Now, Out);
  EXPECT_EQ(Given.startedOn(), Workers{"of-pool2"});
}

TEST(JobServices, ALongRunningTaskMovesAsItsWorkerLeaves) {
  MovableQueue Given;
  StepSpec Step = tasks(1, 1000, 0ms);
  Step.LongRunning = true;
  Given.submitTask(Step);
  ASSERT_EQ(Given.startedOn(), Workers{"of-pool"});
  Given.moveTo("pool2");
  Given.save();
  Given.list("pool", true);
  Given.tickAfter(1s);
  EXPECT_EQ(Given.pass().Stops.size(), 1U) << "there is room on the new service";
  Given.lose("of-pool");
  EXPECT_EQ(Given.startedOn(), Workers{"of-pool2"});
}

TEST(JobServices, ARoundThatBecomesDueAfterTheMoveIsStartedOnTheNewService) {
  MovableQueue Given;
  JobSpec Spec;
  Spec.Id = 100;
  Spec.Queue = "q";
  Spec.Service = "pool";
  Spec.Repetitions = 1;
  Spec.FirstDue = WallTime(1010s);
  Spec.Steps = {tasks(1, 1000, 100ms)};
  addJob(Given.Cell, std::make_shared<JobSpec>(Spec), 1, true, Given.Now);
  Given.moveTo("pool2");
  Given.save();
  EXPECT_EQ(Given.startedOn(), Workers{});
  Given.tickAfter(20s);
  EXPECT_EQ(Given.startedOn(), Workers{"of-pool2"});
}

// A store that is away holds nothing back on a service that is durable already.
TEST(JobServices, AQueueThatIsSentBackNeedsNoSave) {
  MovableQueue Given;
  Given.moveTo("pool2");
  Given.submitTask();
  Given.moveTo("pool");
  EXPECT_EQ(Given.startedOn(), Workers{"of-pool"});
}

TEST(JobServices, AJobWhoseQueueIsDroppedKeepsItsLastService) {
  MovableQueue Given;
  Given.submitTask();
  Given.moveTo("pool2");
  Given.save();
  Given.moveTo("");
  EXPECT_EQ(Given.startedOn(), Workers{"of-pool2"});
}

// The process that took the job had read a newer configuration than the scheduler.
TEST(JobServices, AJobOfANewerConfigurationKeepsItsService) {
  MovableQueue Given;
  JobSpec Spec;
  Spec.Id = 100;
  Spec.Queue = "q";
  Spec.Service = "pool2";
  Spec.ConfigVersion = 7;
  Spec.Steps = {tasks(1, 1000, 100ms)};
  addJob(Given.Cell, std::make_shared<JobSpec>(Spec), 1, true, Given.Now);
  EXPECT_EQ(Given.Cell.Jobs.at(100).Services.Current, "pool2");
  applyConfiguration(Given.Cell, configuration(6, "pool"));
  EXPECT_EQ(Given.Cell.Jobs.at(100).Services.Current, "pool2");
  applyConfiguration(Given.Cell, configuration(8, "pool3"));
  EXPECT_EQ(Given.Cell.Jobs.at(100).Services.Current, "pool3");
}

// A job that a process with an older configuration has taken.
TEST(JobServices, AJobOfAnOlderConfigurationMovesAtOnce) {
  MovableQueue Given;
  Given.moveTo("pool2");
  Given.submitTask();
  Given.save();
  EXPECT_EQ(Given.startedOn(), Workers{"of-pool2"});
}

TEST(JobServices, AMoveIsReported) {
  MovableQueue Given;
  Given.submitTask();
  Given.submitTask();
  Given.moveTo("pool2");
  const Effects Out = Given.tickAfter(50ms);
  ASSERT_EQ(Out.QueueMoves.size(), 1U);
  EXPECT_EQ(Out.QueueMoves[0].From, "pool");
  EXPECT_EQ(Out.QueueMoves[0].To, "pool2");
  EXPECT_EQ(Out.QueueMoves[0].Jobs, 2U);
}

TEST(JobServices, TheRecordOfAJobThatHasNotMovedDoesNotGrow) {
  MovableQueue Given;
  const JobId Id = Given.submitTask();
  EXPECT_EQ(encodeProgress(Given.Cell.Jobs.at(Id)), "");
}

/// A scheduler that has taken over a job from one that saved \p Progress. All workers have runs, as
/// far as is known; those that are not silent report none.
struct TakenOver : MovableQueue {
  TakenOver(const std::string &Progress, const CellConfiguration &Config,
            const std::set<std::string> &Silent) {
    Cell = {};
    Cell.WallAt = Now;
    Cell.FirstRun = 1001;
    for (const char *Service : {"pool", "pool2", "pool3"}) {
      list(Service);
      const WorkerInfo Info = Cell.Workers.at("of-" + std::string(Service)).Info;
      workerMayHoldRuns(Cell, Info, Now + Lease);
    }
    if (Config.Version > 0)
      applyConfiguration(Cell, Config);
    JobSpec Spec;
    Spec.Id = 1;
    Spec.Queue = "q";
    Spec.Service = "pool";
    Spec.MaxAttempts = 3;
    Spec.Steps = {tasks(1, 1000, 100ms)};
    addJob(Cell, std::make_shared<JobSpec>(Spec), 1, false, Now);
    const Result<SavedProgress> Saved = decodeProgress(1, Progress);
    restoreServices(Cell, 1, value(Saved).Services);
    Effects Out;
    finishLoading(Cell, Now, Out);
    save();
    for (const char *Service : {"pool", "pool2", "pool3"}) {
      const std::string Id = "of-" + std::string(Service);
      if (Silent.count(Service) > 0)
        workerSilent(Cell, Id, Now);
      else
        workerReported(Cell, Id, {}, Now, Now, Out);
    }
  }
};

// The record of a job that was moved from service to service, and started on each.
std::string progressAfter(std::initializer_list<const char *> Services) {
  MovableQueue Given;
  const JobId Id = Given.submitTask();
  for (const char *Service : Services) {
    Given.moveTo(Service);
    Given.save();
  }
  return encodeProgress(Given.Cell.Jobs.at(Id));
}

TEST(JobServices, ARunOnASilentWorkerOfTheNewServiceIsNotStartedAgainAtATakeover) {
  TakenOver Given(progressAfter({"pool2"}), configuration(2, "pool2"), {"pool2"});
  Given.addWorkerOf("pool2", "other");
  EXPECT_EQ(Given.startedOn(), Workers{});
  Given.tickAfter(Lease - 100ms);
  EXPECT_EQ(Given.startedOn(), Workers{});
  Given.tickAfter(200ms);
  EXPECT_EQ(Given.startedOn(), Workers{"other"});
}

// Neither the job record nor the configuration names the service of the run.
TEST(JobServices, ARunOnASilentWorkerOfAServiceInBetweenIsNotStartedAgainAtATakeover) {
  TakenOver Given(progressAfter({"pool2", "pool3"}), configuration(3, "pool3"), {"pool2"});
  EXPECT_EQ(Given.startedOn(), Workers{});
  Given.tickAfter(Lease + 100ms);
  EXPECT_EQ(Given.startedOn(), Workers{"of-pool3"});
}

TEST(JobServices, ARunOnASilentWorkerOfTheFirstServiceIsNotStartedAgainAtATakeover) {
  TakenOver Given(progressAfter({"pool2"}), configuration(2, "pool2"), {"pool"});
  EXPECT_EQ(Given.startedOn(), Workers{});
  Given.tickAfter(Lease + 100ms);
  EXPECT_EQ(Given.startedOn(), Workers{"of-pool2"});
}

TEST(JobServices, SilentWorkersOfOtherServicesHoldNothingBack) {
  TakenOver Given(progressAfter({"pool2"}), configuration(2, "pool2"), {"pool3"});
  EXPECT_EQ(Given.startedOn(), Workers{"of-pool2"});
}

// Two services of a job, each with a silent worker: neither alone releases the job.
TEST(JobServices, AJobWaitsForTheWorkersOfAllItsServices) {
  TakenOver Given(progressAfter({"pool2", "pool3"}), configuration(3, "pool3"), {"pool", "pool2"});
  Effects Out;
  workerReported(Given.Cell, "of-pool", {}, Given.Now, Given.Now, Out);
  EXPECT_EQ(Given.startedOn(), Workers{});
  workerReported(Given.Cell, "of-pool2", {}, Given.Now, Given.Now, Out);
  EXPECT_EQ(Given.startedOn(), Workers{"of-pool3"});
}

TEST(JobServices, ASchedulerWithoutAConfigurationUsesTheLastServiceThatWasSaved) {
  TakenOver Given(progressAfter({"pool2"}), {}, {});
  EXPECT_EQ(Given.startedOn(), Workers{"of-pool2"});
}

TEST(JobServices, ASchedulerWithAnOlderConfigurationUsesTheLastServiceThatWasSaved) {
  TakenOver Given(progressAfter({"pool2"}), configuration(1, "pool"), {});
  EXPECT_EQ(Given.startedOn(), Workers{"of-pool2"});
}

TEST(JobServices, AJobWhoseQueueIsGoneKeepsItsLastServiceOverATakeover) {
  TakenOver Given(progressAfter({"pool2"}), configuration(9, ""), {});
  EXPECT_EQ(Given.startedOn(), Workers{"of-pool2"});
}

// Earlier versions write no services, and drop those that they find.
TEST(JobServices, AJobOfAnEarlierVersionMoves) {
  TakenOver Given("", configuration(2, "pool2"), {});
  EXPECT_EQ(Given.startedOn(), Workers{"of-pool2"});
}

TEST(JobServices, AJobOfAnEarlierVersionMayRunWhereTheConfigurationSendsIt) {
  TakenOver Given("", configuration(2, "pool2"), {"pool2"});
  Given.addWorkerOf("pool2", "other");
  Given.tickAfter(Lease - 100ms);
  EXPECT_EQ(Given.startedOn(), Workers{});
  Given.tickAfter(200ms);
  EXPECT_EQ(Given.startedOn(), Workers{"other"});
}

// A worker of the first service crashed with a task that was then started on the second one.
TEST(JobServices, WhatWasLostWithOneServiceIsSettledOnceTheOtherIsKnown) {
  TakenOver Given(progressAfter({"pool2"}), configuration(2, "pool2"), {"pool", "pool2"});
  Given.lose("of-pool", WorkerEnd::Replaced);
  const TaskState &Task = Given.Cell.Jobs.at(1).Rounds.at(0).Steps[0].Tasks[0];
  EXPECT_FALSE(Task.MayHaveCrashedWorker);
  Effects Out;
  workerReported(Given.Cell, "of-pool2", {}, Given.Now, Given.Now, Out);
  EXPECT_TRUE(Task.MayHaveCrashedWorker);
}

} // namespace
} // namespace valveshelf::sched
