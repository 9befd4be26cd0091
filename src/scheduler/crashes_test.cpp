// SPDX-License-Identifier: Apache-2.0
// Workers that are lost under their runs: what is noted of it, and what it means for the tasks.
#include "replay/crash_scene.h"

#include <gtest/gtest.h>

namespace valveshelf::sched {
namespace {
using namespace std::chrono_literals;

// On a cell of 48 workers one job of one task took a worker every 3.3 seconds, and with it all that
// ran there, until the day was over; four such jobs took 253. The worker was gone 11 ms after each
// start, and the scheduler heard of it only when another life answered at its address. What it
// wrote of it was, each time:
//   22.950 worker-replaced worker=...
//   22.966 step-placed step=....0.0 tasks=1 workers=1 waited_ms=13360
//   22.977 worker-silent worker=... why="the answer of 10.4.64.38:8062 is lost: End of file"
//   26.290 worker-replaced worker=...
//   26.304 step-placed step=....0.0 tasks=1 workers=1 waited_ms=16698
// The run counted as lapsed, as if a lease had run out, and lapsed runs count for nothing.
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

// As in the account above, to the millisecond, with other work on all workers.
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
    EXPECT_EQ(Given.Cell.Jobs.at(Id).Phase, JobPhase::Live) << "what ran beside it is not to blame";
}

// Two of them at a time, both waiting for a place at the same moment. Together on one worker they
// would hide each other, and others would seem as guilty.
TEST(Crashes, ATaskThatMayCrashItsWorkerIsStartedInIsolation) {
  CrashScene Given(4);
  const JobId First = Given.submit(tasks(1, 4000, 600ms));
  const JobId Second = Given.submit(tasks(1, 4000, 600ms));
  ASSERT_TRUE(Given.advanceUntilRuns(First));
  ASSERT_EQ(Given.workerOf(First), Given.workerOf(Second)) << "packed while nothing is known";
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
  Given.advance(1500ms); // they have stood their beginning: the workers are everybody's again
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
    Given.submit(tasks(2, 2000, 60s)); // begins somewhere at once
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
    Given.submit(tasks(1, 60000, 100ms)); // it is not alone there
    Given.advance(20ms);
    Given.crash(Given.workerOf(Bystander));
  }
  EXPECT_EQ(Given.Cell.Jobs.at(Bystander).Phase, JobPhase::Live);
  EXPECT_EQ(Given.Cell.Jobs.at(Bystander).Rounds.at(0).Steps[0].Tasks[0].StartupCrashes, 0u);
}

// Such a task is given up as well, later: who crashed the worker is less sure.
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
    Given.advance(8s); // its lease is over
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
  EXPECT_EQ(value(decodeProgress(Id, Given.Progress.at(Id)))[0].second[0].Crashes, 1u);
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
    } else { // or left the list without a word, and served on
      workerUnlisted(Given.Cell, WorkerId, Given.Now);
      Given.advance(200ms);
    }
    Given.crash(WorkerId, 100ms);
    EXPECT_EQ(Given.taskOf(Id).StartupCrashes, 0u);
  }
  EXPECT_EQ(Given.Cell.Jobs.at(Id).Phase, JobPhase::Live);
}

// It is back after the lease and after its entry has lapsed, so that nothing answers for the old
// life any more.
TEST(Crashes, AWorkerThatIsReplacedAfterItsLeaseHasCrashed) {
  CrashScene Given(12);
  Given.RestartDelay = 9s;
  const JobId CrashingJob = Given.submit(tasks(1, 4000, 600ms));
  Given.CrashingJobs = {CrashingJob};
  Given.advance(120s);
  EXPECT_LE(Given.startsOf(CrashingJob), 5u) << "two more than three may be started";
  EXPECT_EQ(publicJobState(Given.Cell, CrashingJob), "failed");
}

// Each scheduler ends as soon as it has seen the silence.
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

// Each scheduler but the first ends before it could see what came of its start.
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
    Given.Silent.insert(Given.workerOf(CrashingJob)); // it has crashed, and nobody has noticed
    Given.takeOver();
  }
  EXPECT_LE(Given.startsOf(CrashingJob), 5u);
  EXPECT_EQ(publicJobState(Given.Cell, CrashingJob), "failed");
}

// The answer lay in a buffer while this process stood still.
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

// The scheduler ends right after each order but the first, and other workers are cut off and come
// back meanwhile: the task is given up in time, and nothing else.
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
  EXPECT_LE(Given.startsOf(CrashingJob), 5u) << "two more than three may be started";
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

// The members begin together; one of them crashes its worker each time the gang is whole.
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

// A member that waits for the others has not begun, however long it waits.
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

TEST(Crashes, ALastingTaskIsNotGivenUpForCrashesFarApart) {
  CrashScene Given(12);
  StepSpec Lasts = tasks(1, 4000, 0ms);
  Lasts.LongRunning = true;
  const JobId Id = Given.submit(Lasts);
  for (int I = 0; I < 8; ++I) {
    ASSERT_TRUE(Given.advanceUntilRuns(Id));
    Given.advance(2s);
    Given.crash(Given.workerOf(Id));
  }
  EXPECT_EQ(Given.Cell.Jobs.at(Id).Phase, JobPhase::Live);
}

} // namespace
} // namespace valveshelf::sched
