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
  const JobId Crasher = Given.submit(tasks(1, 4000, 600ms));
  for (int Cycle = 0; Cycle < 12; ++Cycle) {
    Given.pass(1500ms);
    const std::string Where = Given.at(Crasher);
    if (Where.empty())
      break;
    Given.crash(Where);
  }
  EXPECT_EQ(Given.startsOf(Crasher), 3u);
  EXPECT_EQ(shownState(Given.Cell, Crasher), "failed");
}

TEST(Crashes, TellsWhichRunsAWorkerTookWithIt) {
  CrashScene Given(1);
  const JobId Old = Given.submit(tasks(1, 4000, 60s));
  Given.pass(2s);
  const JobId New = Given.submit(tasks(1, 4000, 60s));
  Given.pass(20ms);
  Given.crash("w0");
  ASSERT_EQ(Given.Losses.size(), 2u);
  EXPECT_EQ(Given.Losses[0].Run.Task.Step.Job, Old);
  EXPECT_GE(Given.Losses[0].Ran, 1500ms);
  EXPECT_EQ(Given.Losses[1].Run.Task.Step.Job, New);
  EXPECT_LT(Given.Losses[1].Ran, 100ms);
  EXPECT_EQ(Given.Losses[1].How, LifeEnd::Replaced);
  EXPECT_EQ(Given.Losses[1].Worker, "w0");
}

// As in the account above, to the millisecond, with other work on all workers.
TEST(Crashes, ATaskThatCrashesItsWorkersAsItBeginsIsGivenUpBesideOthers) {
  CrashScene Given(12);
  std::vector<JobId> Others;
  Others.reserve(24);
  for (int I = 0; I < 24; ++I)
    Others.push_back(Given.submit(tasks(2, 4000, 60s)));
  Given.pass(2s);
  const JobId Crasher = Given.submit(tasks(1, 4000, 600ms));
  int Crashes = 0;
  for (; Crashes < 12 && Given.passUntilRuns(Crasher); ++Crashes) {
    Given.pass(10ms);
    Given.crash(Given.at(Crasher));
  }
  EXPECT_EQ(Crashes, 3);
  EXPECT_EQ(shownState(Given.Cell, Crasher), "failed");
  for (const JobId Id : Others)
    EXPECT_EQ(Given.Cell.Jobs.at(Id).Phase, JobPhase::Live) << "what ran beside it is not to blame";
}

// Two of them at a time, both waiting for a place at the same moment. Together on one worker they
// would hide each other, and others would seem as guilty.
TEST(Crashes, WhatMayCrashItsWorkerBeginsApart) {
  CrashScene Given(4);
  const JobId First = Given.submit(tasks(1, 4000, 600ms));
  const JobId Second = Given.submit(tasks(1, 4000, 600ms));
  ASSERT_TRUE(Given.passUntilRuns(First));
  ASSERT_EQ(Given.at(First), Given.at(Second)) << "packed while nothing is known";
  Given.crash(Given.at(First));
  const JobId Third = Given.submit(tasks(6, 2000, 600ms));
  Given.pass(100ms);
  ASSERT_FALSE(Given.at(First).empty());
  ASSERT_FALSE(Given.at(Second).empty());
  EXPECT_NE(Given.at(First), Given.at(Second));
  for (uint32_t I = 0; I < 6; ++I) {
    EXPECT_NE(Given.at(Third, I), Given.at(First));
    EXPECT_NE(Given.at(Third, I), Given.at(Second));
  }
  Given.pass(1500ms); // they have stood their beginning: the workers are everybody's again
  for (const auto &[Id, On] : Given.Cell.Workers)
    EXPECT_EQ(On.Trials, 0u) << Id;
}

TEST(Crashes, ATaskThatWaitsForAQuietWorkerGetsOneWhileOthersComeAllTheTime) {
  CrashScene Given(2);
  const JobId Suspect = Given.submit(tasks(1, 4000, 600ms));
  ASSERT_TRUE(Given.passUntilRuns(Suspect));
  Given.crash(Given.at(Suspect));
  Milliseconds Waited{0};
  while (Given.at(Suspect).empty() && Waited < 3s) {
    Given.submit(tasks(2, 2000, 60s)); // begins somewhere at once
    Given.pass(40ms);
    Waited += 40ms;
  }
  EXPECT_LT(Waited, 1500ms);
}

TEST(Crashes, ARunThatHasStoodItsBeginningIsNotToBlame) {
  CrashScene Given(6);
  const JobId Bystander = Given.submit(tasks(1, 4000, 60s));
  for (int I = 0; I < 4; ++I) {
    ASSERT_TRUE(Given.passUntilRuns(Bystander));
    Given.pass(1s);
    Given.submit(tasks(1, 60000, 100ms)); // it is not alone there
    Given.pass(20ms);
    Given.crash(Given.at(Bystander));
  }
  EXPECT_EQ(Given.Cell.Jobs.at(Bystander).Phase, JobPhase::Live);
  EXPECT_EQ(Given.Cell.Jobs.at(Bystander).Rounds.at(0).Steps[0].Tasks[0].Crashes, 0u);
}

// Such a task is given up as well, later: who crashed the worker is less sure.
TEST(Crashes, ATaskThatIsAlwaysThereWhenItsWorkerCrashesIsGivenUp) {
  CrashScene Given(12);
  for (int I = 0; I < 24; ++I)
    Given.submit(tasks(2, 4000, 600s));
  Given.pass(2s);
  const JobId Late = Given.submit(tasks(1, 4000, 60s));
  int Crashes = 0;
  for (; Crashes < 12 && Given.passUntilRuns(Late); ++Crashes) {
    Given.pass(2s);
    Given.crash(Given.at(Late));
  }
  EXPECT_EQ(Crashes, 5);
  EXPECT_EQ(shownState(Given.Cell, Late), "failed");
}

TEST(Crashes, AWorkerThatIsCutOffAndComesBackHasNotCrashed) {
  CrashScene Given(3);
  const JobId Id = Given.submit(tasks(1, 4000, 60s));
  for (int I = 0; I < 5; ++I) {
    ASSERT_TRUE(Given.passUntilRuns(Id));
    const std::string Where = Given.at(Id);
    Given.fallSilent(Where);
    Given.pass(8s); // its lease is over
    EXPECT_EQ(Given.taskOf(Id).Crashes, 0u);
    Given.Silent.erase(Where);
    Given.Here[Where].clear();
    Given.report(Where);
  }
  EXPECT_EQ(Given.Cell.Jobs.at(Id).Phase, JobPhase::Live);
}

TEST(Crashes, ASilenceIsCountedAtOnceAndTakenBackWhenTheWorkerAnswers) {
  CrashScene Given(1);
  const JobId Id = Given.submit(tasks(1, 4000, 60s));
  ASSERT_TRUE(Given.passUntilRuns(Id));
  Given.fallSilent("w0");
  Given.pass(100ms);
  EXPECT_EQ(Given.taskOf(Id).Crashes, 1u);
  EXPECT_EQ(value(decodeProgress(Id, Given.Progress.at(Id)))[0].second[0].Crashes, 1u);
  Given.Silent.clear();
  Given.pass(200ms);
  EXPECT_EQ(Given.taskOf(Id).Crashes, 0u);
}

TEST(Crashes, AWorkerThatSaidThatItLeavesHasNotCrashed) {
  CrashScene Given(6);
  const JobId Id = Given.submit(tasks(1, 4000, 60s));
  for (int I = 0; I < 5; ++I) {
    ASSERT_TRUE(Given.passUntilRuns(Id));
    const std::string Where = Given.at(Id);
    if (I % 2 == 0) {
      Given.list(Where, Given.Ports.at(Where), true);
    } else { // or left the list without a word, and served on
      workerUnlisted(Given.Cell, Where, Given.Now);
      Given.pass(200ms);
    }
    Given.crash(Where, 100ms);
    EXPECT_EQ(Given.taskOf(Id).Crashes, 0u);
  }
  EXPECT_EQ(Given.Cell.Jobs.at(Id).Phase, JobPhase::Live);
}

// It is back after the lease and after its entry has lapsed, so that nothing answers for the old
// life any more.
TEST(Crashes, AWorkerThatIsBackLateAsAnotherLifeHasCrashed) {
  CrashScene Given(12);
  Given.BackAfter = 9s;
  const JobId Crasher = Given.submit(tasks(1, 4000, 600ms));
  Given.Crashers = {Crasher};
  Given.pass(120s);
  EXPECT_LE(Given.startsOf(Crasher), 5u) << "two more than three may be started";
  EXPECT_EQ(shownState(Given.Cell, Crasher), "failed");
}

// Each scheduler ends as soon as it has seen the silence.
TEST(Crashes, TheCountOutlivesTheScheduler) {
  CrashScene Given(12);
  const JobId Crasher = Given.submit(tasks(1, 4000, 600ms));
  Given.Crashers = {Crasher};
  for (int Terms = 0; Terms < 12; ++Terms) {
    const size_t Before = Given.startsOf(Crasher);
    for (Milliseconds T{0}; T < 10s && Given.startsOf(Crasher) == Before; T += 10ms)
      Given.pass(10ms);
    Given.pass(100ms);
    Given.takeOver();
  }
  EXPECT_LE(Given.startsOf(Crasher), 5u);
  EXPECT_EQ(shownState(Given.Cell, Crasher), "failed");
}

// Each scheduler but the first ends before it could see what came of its start.
TEST(Crashes, AStartThatASchedulerDidNotLiveToSeeIsCounted) {
  CrashScene Given(12);
  const JobId Crasher = Given.submit(tasks(1, 4000, 600ms));
  Given.Crashers = {Crasher};
  Given.pass(200ms);
  ASSERT_EQ(Given.startsOf(Crasher), 1u);
  for (int Terms = 0; Terms < 12; ++Terms) {
    const size_t Before = Given.startsOf(Crasher);
    for (Milliseconds T{0}; T < 10s && Given.startsOf(Crasher) == Before; T += 10ms)
      Given.pass(10ms);
    Given.Silent.insert(Given.at(Crasher)); // it has crashed, and nobody has noticed
    Given.takeOver();
  }
  EXPECT_LE(Given.startsOf(Crasher), 5u);
  EXPECT_EQ(shownState(Given.Cell, Crasher), "failed");
}

// The answer lay in a buffer while this process stood still.
TEST(Crashes, AReportAskedForBeforeASilenceDoesNotTakeItBack) {
  CrashScene Given(2);
  const JobId Id = Given.submit(tasks(1, 4000, 60s));
  ASSERT_TRUE(Given.passUntilRuns(Id));
  const std::string Where = Given.at(Id);
  const TimePoint AskedAt = Given.Now;
  Given.pass(20ms);
  Given.fallSilent(Where);
  Given.pass(1s);
  Effects Out;
  WorkerReport Old;
  Old.Active.push_back({*Given.Here.at(Where).begin(), "", 50});
  workerReported(Given.Cell, Where, Old, AskedAt, Given.Now, Out);
  EXPECT_EQ(Given.taskOf(Id).Crashes, 1u);
}

// The scheduler ends right after each order but the first, and other workers are cut off and come
// back meanwhile: the task is given up in time, and nothing else.
TEST(Crashes, ATaskThatCrashesItsWorkersIsGivenUpWhileSchedulersEndAndLinksAreCut) {
  CrashScene Given(12);
  std::vector<JobId> Others;
  Others.reserve(8);
  for (int I = 0; I < 8; ++I)
    Others.push_back(Given.submit(tasks(2, 8000, 60s)));
  const JobId Crasher = Given.submit(tasks(1, 4000, 600ms));
  Given.Crashers = {Crasher};
  Given.pass(2s);
  for (int Terms = 0; Terms < 12 && Given.Cell.Jobs.count(Crasher); ++Terms) {
    const size_t Before = Given.startsOf(Crasher);
    for (Milliseconds T{0}; T < 10s && Given.startsOf(Crasher) == Before; T += 10ms)
      Given.pass(10ms);
    const std::string Cut = Given.Silent.empty() ? Given.at(Others[0]) : "";
    if (!Cut.empty())
      Given.fallSilent(Cut);
    Given.takeOver();
    Given.pass(500ms);
    Given.Silent.erase(Cut);
  }
  Given.pass(20s);
  EXPECT_LE(Given.startsOf(Crasher), 5u) << "two more than three may be started";
  EXPECT_EQ(shownState(Given.Cell, Crasher), "failed");
  for (const JobId Id : Others)
    EXPECT_NE(shownState(Given.Cell, Id), "failed");
}

TEST(Crashes, WhatIsNotSavedYetIsNotStartedAgain) {
  CrashScene Given(6);
  const JobId Id = Given.submit(tasks(1, 4000, 600ms));
  ASSERT_TRUE(Given.passUntilRuns(Id));
  Given.Stores = false;
  Given.crash(Given.at(Id));
  Given.pass(2s);
  EXPECT_EQ(Given.startsOf(Id), 1u);
  Given.Stores = true;
  Given.pass(1s);
  EXPECT_EQ(Given.startsOf(Id), 2u);
}

// The members begin together; one of them crashes its worker each time the gang is whole.
TEST(Crashes, AMemberOfAGangThatCrashesItsWorkersEndsTheGang) {
  CrashScene Given(12);
  StepSpec Gang = tasks(4, 30000, 2s);
  Gang.Gang = true;
  const JobId Id = Given.submit(Gang);
  int Crashes = 0;
  for (; Crashes < 12 && Given.passUntilRuns(Id); ++Crashes) {
    const std::string Where = Given.at(Id);
    const std::string Other = Given.at(Id, 3);
    ASSERT_NE(Where, Other);
    Given.crash(Where);
    Given.breakRuns(Other);
  }
  EXPECT_EQ(Crashes, 3);
  EXPECT_EQ(shownState(Given.Cell, Id), "failed");
}

// A member that waits for the others has not begun, however long it waits.
TEST(Crashes, AMemberThatWaitsForItsGangHasNotStoodItsBeginning) {
  CrashScene Given(4);
  StepSpec Gang = tasks(2, 40000, 2s);
  Gang.Gang = true;
  const JobId Id = Given.submit(Gang);
  Given.Percent = 0;
  ASSERT_TRUE(Given.passUntilRuns(Id));
  Given.pass(2s);
  Given.fallSilent(Given.at(Id));
  Given.pass(100ms);
  EXPECT_EQ(Given.taskOf(Id).Crashes, 1u);
}

TEST(Crashes, ALastingTaskIsNotGivenUpForCrashesFarApart) {
  CrashScene Given(12);
  StepSpec Lasts = tasks(1, 4000, 0ms);
  Lasts.LongRunning = true;
  const JobId Id = Given.submit(Lasts);
  for (int I = 0; I < 8; ++I) {
    ASSERT_TRUE(Given.passUntilRuns(Id));
    Given.pass(2s);
    Given.crash(Given.at(Id));
  }
  EXPECT_EQ(Given.Cell.Jobs.at(Id).Phase, JobPhase::Live);
}

} // namespace
} // namespace valveshelf::sched
