// SPDX-License-Identifier: Apache-2.0
// Worker crashes: which tasks are counted and given up for them, and which are not.
#include "replay/crash_scene.h"

#include <gtest/gtest.h>

namespace valveshelf::sched {
namespace {
using namespace std::chrono_literals;

// Guards against a task that crashes worker after worker without its job being failed, because runs
// that are lost with their worker are treated like expired leases.
TEST(Crashes, ATaskThatCrashesItsWorkersIsGivenUp) {
  CrashScene Given(48);
  const JobId CrashingJob = Given.submit(tasks(1, 4000, 600ms));
  for (int Cycle = 0; Cycle < 12; ++Cycle) {
    Given.advance(1500ms);
    const std::string WorkerId = Given.workerOf(CrashingJob);
    if (WorkerId.empty())
      break;
    Given.crash(WorkerId);
  }
  EXPECT_EQ(Given.startsOf(CrashingJob), 3u);
  EXPECT_EQ(publicJobState(Given.Cell, CrashingJob), "failed");
}

TEST(Crashes, ReportsTheRunsThatAreLostWithAWorker) {
  CrashScene Given(1);
  const JobId Old = Given.submit(tasks(1, 4000, 60s));
  Given.advance(2s);
  const JobId New = Given.submit(tasks(1, 4000, 60s));
  Given.advance(20ms);
  Given.crash("w0");
  ASSERT_EQ(Given.LostRuns.size(), 2u);
  EXPECT_EQ(Given.LostRuns[0].Run.Task.Step.Job, Old);
  EXPECT_GE(Given.LostRuns[0].RunTime, 1500ms);
  EXPECT_EQ(Given.LostRuns[1].Run.Task.Step.Job, New);
  EXPECT_LT(Given.LostRuns[1].RunTime, 100ms);
  EXPECT_EQ(Given.LostRuns[1].Cause, WorkerEnd::Replaced);
  EXPECT_EQ(Given.LostRuns[1].Worker, "w0");
}

// The same with other work on all workers, which must not be given up for the crashes.
TEST(Crashes, ATaskThatCrashesWorkersAtStartupIsGivenUpAndNoOther) {
  CrashScene Given(12);
  std::vector<JobId> Others;
  Others.reserve(24);
  for (int I = 0; I < 24; ++I)
    Others.push_back(Given.submit(tasks(2, 4000, 60s)));
  Given.advance(2s);
  const JobId CrashingJob = Given.submit(tasks(1, 4000, 600ms));
  int Crashes = 0;
  for (; Crashes < 12 && Given.advanceUntilRuns(CrashingJob); ++Crashes) {
    Given.advance(10ms);
    Given.crash(Given.workerOf(CrashingJob));
  }
  EXPECT_EQ(Crashes, 3);
  EXPECT_EQ(publicJobState(Given.Cell, CrashingJob), "failed");
  for (const JobId Id : Others)
    EXPECT_EQ(Given.Cell.Jobs.at(Id).Phase, JobPhase::Live)
        << "a task that ran beside the crashing one was given up";
}

// Two tasks that may crash their workers are placed at the same time. On one worker they would hide
// each other, and other tasks that start there would be counted too.
TEST(Crashes, ATaskThatMayCrashItsWorkerIsStartedInIsolation) {
  CrashScene Given(4);
  const JobId First = Given.submit(tasks(1, 4000, 600ms));
  const JobId Second = Given.submit(tasks(1, 4000, 600ms));
  ASSERT_TRUE(Given.advanceUntilRuns(First));
  ASSERT_EQ(Given.workerOf(First), Given.workerOf(Second))
      << "tasks without a count share a worker";
  Given.crash(Given.workerOf(First));
  const JobId Third = Given.submit(tasks(6, 2000, 600ms));
  Given.advance(100ms);
  ASSERT_FALSE(Given.workerOf(First).empty());
  ASSERT_FALSE(Given.workerOf(Second).empty());
  EXPECT_NE(Given.workerOf(First), Given.workerOf(Second));
  for (uint32_t I = 0; I < 6; ++I) {
    EXPECT_NE(Given.workerOf(Third, I), Given.workerOf(First));
    EXPECT_NE(Given.workerOf(Third, I), Given.workerOf(Second));
  }
  // Once both have survived their startup the workers are open to all tasks again.
  Given.advance(1500ms);
  for (const auto &[Id, On] : Given.Cell.Workers)
    EXPECT_EQ(On.IsolatedStarts, 0u) << Id;
}

TEST(Crashes, AnIsolatedStartIsNotStarvedByOtherStarts) {
  CrashScene Given(2);
  const JobId Suspect = Given.submit(tasks(1, 4000, 600ms));
  ASSERT_TRUE(Given.advanceUntilRuns(Suspect));
  Given.crash(Given.workerOf(Suspect));
  Milliseconds Waited{0};
  while (Given.workerOf(Suspect).empty() && Waited < 3s) {
    Given.submit(tasks(2, 2000, 60s)); // starts somewhere at once
    Given.advance(40ms);
    Waited += 40ms;
  }
  EXPECT_LT(Waited, 1500ms);
}

TEST(Crashes, ARunPastItsStartupIsNotCounted) {
  CrashScene Given(6);
  const JobId Bystander = Given.submit(tasks(1, 4000, 60s));
  for (int I = 0; I < 4; ++I) {
    ASSERT_TRUE(Given.advanceUntilRuns(Bystander));
    Given.advance(1s);
    Given.submit(tasks(1, 60000, 100ms)); // a second run on the same worker
    Given.advance(20ms);
    Given.crash(Given.workerOf(Bystander));
  }
  EXPECT_EQ(Given.Cell.Jobs.at(Bystander).Phase, JobPhase::Live);
  EXPECT_EQ(Given.Cell.Jobs.at(Bystander).Rounds.at(0).Steps[0].Tasks[0].StartupCrashes, 0u);
}

// A crash after the startup is weaker evidence, so that the task is given up after more of them.
TEST(Crashes, ATaskThatRunsAtEachCrashOfItsWorkerIsGivenUp) {
  CrashScene Given(12);
  for (int I = 0; I < 24; ++I)
    Given.submit(tasks(2, 4000, 600s));
  Given.advance(2s);
  const JobId Late = Given.submit(tasks(1, 4000, 60s));
  int Crashes = 0;
  for (; Crashes < 12 && Given.advanceUntilRuns(Late); ++Crashes) {
    Given.advance(2s);
    Given.crash(Given.workerOf(Late));
  }
  EXPECT_EQ(Crashes, 5);
  EXPECT_EQ(publicJobState(Given.Cell, Late), "failed");
}

TEST(Crashes, AWorkerThatReconnectsHasNotCrashed) {
  CrashScene Given(3);
  const JobId Id = Given.submit(tasks(1, 4000, 60s));
  for (int I = 0; I < 5; ++I) {
    ASSERT_TRUE(Given.advanceUntilRuns(Id));
    const std::string WorkerId = Given.workerOf(Id);
    Given.fallSilent(WorkerId);
    Given.advance(8s); // its lease expires
    EXPECT_EQ(Given.taskOf(Id).StartupCrashes, 0u);
    Given.Silent.erase(WorkerId);
    Given.ActiveRuns[WorkerId].clear();
    Given.report(WorkerId);
  }
  EXPECT_EQ(Given.Cell.Jobs.at(Id).Phase, JobPhase::Live);
}

TEST(Crashes, ASilentWorkerIsSuspectedAtOnceAndClearedWhenItAnswers) {
  CrashScene Given(1);
  const JobId Id = Given.submit(tasks(1, 4000, 60s));
  ASSERT_TRUE(Given.advanceUntilRuns(Id));
  Given.fallSilent("w0");
  Given.advance(100ms);
  EXPECT_EQ(Given.taskOf(Id).StartupCrashes, 1u);
  EXPECT_EQ(value(decodeProgress(Id, Given.Progress.at(Id))).Steps[0].second[0].StartupCrashes, 1u);
  Given.Silent.clear();
  Given.advance(200ms);
  EXPECT_EQ(Given.taskOf(Id).StartupCrashes, 0u);
}

TEST(Crashes, ADrainingWorkerHasNotCrashed) {
  CrashScene Given(6);
  const JobId Id = Given.submit(tasks(1, 4000, 60s));
  for (int I = 0; I < 5; ++I) {
    ASSERT_TRUE(Given.advanceUntilRuns(Id));
    const std::string WorkerId = Given.workerOf(Id);
    if (I % 2 == 0) {
      Given.listWorker(WorkerId, Given.Ports.at(WorkerId), true);
    } else { // unlisted without notice, but still answering
      workerUnlisted(Given.Cell, WorkerId, Given.Now);
      Given.advance(200ms);
    }
    Given.crash(WorkerId, 100ms);
    EXPECT_EQ(Given.taskOf(Id).StartupCrashes, 0u);
  }
  EXPECT_EQ(Given.Cell.Jobs.at(Id).Phase, JobPhase::Live);
}

// The next incarnation starts after the lease and the list entry of the crashed one have expired,
// so that the scheduler no longer knows the crashed one.
TEST(Crashes, AWorkerThatIsReplacedAfterItsLeaseHasCrashed) {
  CrashScene Given(12);
  Given.RestartDelay = 9s;
  const JobId CrashingJob = Given.submit(tasks(1, 4000, 600ms));
  Given.CrashingJobs = {CrashingJob};
  Given.advance(120s);
  EXPECT_LE(Given.startsOf(CrashingJob), 5u) << "at most two starts after the third crash";
  EXPECT_EQ(publicJobState(Given.Cell, CrashingJob), "failed");
}

// Each scheduler ends right after it has counted the silence of a worker.
TEST(Crashes, TheCrashCountSurvivesTakeovers) {
  CrashScene Given(12);
  const JobId CrashingJob = Given.submit(tasks(1, 4000, 600ms));
  Given.CrashingJobs = {CrashingJob};
  for (int Terms = 0; Terms < 12; ++Terms) {
    const size_t Before = Given.startsOf(CrashingJob);
    for (Milliseconds T{0}; T < 10s && Given.startsOf(CrashingJob) == Before; T += 10ms)
      Given.advance(10ms);
    Given.advance(100ms);
    Given.takeOver();
  }
  EXPECT_LE(Given.startsOf(CrashingJob), 5u);
  EXPECT_EQ(publicJobState(Given.Cell, CrashingJob), "failed");
}

// Each scheduler but the first ends before it sees the crash that follows its start order.
TEST(Crashes, AStartWithAnUnknownOutcomeIsCountedByTheNextScheduler) {
  CrashScene Given(12);
  const JobId CrashingJob = Given.submit(tasks(1, 4000, 600ms));
  Given.CrashingJobs = {CrashingJob};
  Given.advance(200ms);
  ASSERT_EQ(Given.startsOf(CrashingJob), 1u);
  for (int Terms = 0; Terms < 12; ++Terms) {
    const size_t Before = Given.startsOf(CrashingJob);
    for (Milliseconds T{0}; T < 10s && Given.startsOf(CrashingJob) == Before; T += 10ms)
      Given.advance(10ms);
    // It has crashed, which no scheduler has noticed.
    Given.Silent.insert(Given.workerOf(CrashingJob));
    Given.takeOver();
  }
  EXPECT_LE(Given.startsOf(CrashingJob), 5u);
  EXPECT_EQ(publicJobState(Given.Cell, CrashingJob), "failed");
}

// The answer was received before the silence, and read after it because this process was suspended.
TEST(Crashes, AReportRequestedBeforeTheSilenceDoesNotClearIt) {
  CrashScene Given(2);
  const JobId Id = Given.submit(tasks(1, 4000, 60s));
  ASSERT_TRUE(Given.advanceUntilRuns(Id));
  const std::string WorkerId = Given.workerOf(Id);
  const TimePoint AskedAt = Given.Now;
  Given.advance(20ms);
  Given.fallSilent(WorkerId);
  Given.advance(1s);
  Effects Out;
  WorkerReport Old;
  Old.Active.push_back({*Given.ActiveRuns.at(WorkerId).begin(), "", 50});
  workerReported(Given.Cell, WorkerId, Old, AskedAt, Given.Now, Out);
  EXPECT_EQ(Given.taskOf(Id).StartupCrashes, 1u);
}

// The scheduler ends right after each start order but the first, while other workers are cut off
// and reconnect. Only the crashing task may be given up, and no later than without these faults.
TEST(Crashes, ATaskThatCrashesItsWorkersIsGivenUpDespiteTakeoversAndCutLinks) {
  CrashScene Given(12);
  std::vector<JobId> Others;
  Others.reserve(8);
  for (int I = 0; I < 8; ++I)
    Others.push_back(Given.submit(tasks(2, 8000, 60s)));
  const JobId CrashingJob = Given.submit(tasks(1, 4000, 600ms));
  Given.CrashingJobs = {CrashingJob};
  Given.advance(2s);
  for (int Terms = 0; Terms < 12 && Given.Cell.Jobs.count(CrashingJob); ++Terms) {
    const size_t Before = Given.startsOf(CrashingJob);
    for (Milliseconds T{0}; T < 10s && Given.startsOf(CrashingJob) == Before; T += 10ms)
      Given.advance(10ms);
    const std::string CutWorker = Given.Silent.empty() ? Given.workerOf(Others[0]) : "";
    if (!CutWorker.empty())
      Given.fallSilent(CutWorker);
    Given.takeOver();
    Given.advance(500ms);
    Given.Silent.erase(CutWorker);
  }
  Given.advance(20s);
  EXPECT_LE(Given.startsOf(CrashingJob), 5u) << "at most two starts after the third crash";
  EXPECT_EQ(publicJobState(Given.Cell, CrashingJob), "failed");
  for (const JobId Id : Others)
    EXPECT_NE(publicJobState(Given.Cell, Id), "failed");
}

TEST(Crashes, ATaskIsNotRestartedBeforeItsCrashIsSaved) {
  CrashScene Given(6);
  const JobId Id = Given.submit(tasks(1, 4000, 600ms));
  ASSERT_TRUE(Given.advanceUntilRuns(Id));
  Given.StoreAvailable = false;
  Given.crash(Given.workerOf(Id));
  Given.advance(2s);
  EXPECT_EQ(Given.startsOf(Id), 1u);
  Given.StoreAvailable = true;
  Given.advance(1s);
  EXPECT_EQ(Given.startsOf(Id), 2u);
}

// One member crashes its worker each time the gang is complete.
TEST(Crashes, AGangMemberThatCrashesItsWorkersFailsTheJob) {
  CrashScene Given(12);
  StepSpec Gang = tasks(4, 30000, 2s);
  Gang.Gang = true;
  const JobId Id = Given.submit(Gang);
  int Crashes = 0;
  for (; Crashes < 12 && Given.advanceUntilRuns(Id); ++Crashes) {
    const std::string WorkerId = Given.workerOf(Id);
    const std::string Other = Given.workerOf(Id, 3);
    ASSERT_NE(WorkerId, Other);
    Given.crash(WorkerId);
    Given.endRunsAsBroken(Other);
  }
  EXPECT_EQ(Crashes, 3);
  EXPECT_EQ(publicJobState(Given.Cell, Id), "failed");
}

// A member does not survive its startup by waiting for the others.
TEST(Crashes, AMemberThatWaitsForItsGangIsStillInStartup) {
  CrashScene Given(4);
  StepSpec Gang = tasks(2, 40000, 2s);
  Gang.Gang = true;
  const JobId Id = Given.submit(Gang);
  Given.ReportedPercent = 0;
  ASSERT_TRUE(Given.advanceUntilRuns(Id));
  Given.advance(2s);
  Given.fallSilent(Given.workerOf(Id));
  Given.advance(100ms);
  EXPECT_EQ(Given.taskOf(Id).StartupCrashes, 1u);
}

TEST(Crashes, ALongRunningTaskIsNotGivenUpForCrashesFarApart) {
  CrashScene Given(12);
  StepSpec LongRunningStep = tasks(1, 4000, 0ms);
  LongRunningStep.LongRunning = true;
  const JobId Id = Given.submit(LongRunningStep);
  for (int I = 0; I < 8; ++I) {
    ASSERT_TRUE(Given.advanceUntilRuns(Id));
    Given.advance(2s);
    Given.crash(Given.workerOf(Id));
  }
  EXPECT_EQ(Given.Cell.Jobs.at(Id).Phase, JobPhase::Live);
}

} // namespace
} // namespace valveshelf::sched
