// SPDX-License-Identifier: Apache-2.0
// Long-running tasks whose runs end: they are started again however a run has ended, at a bounded
// pace, and neither their record nor a takeover loses or keeps too much of it.
#include "scheduler/restarts.h"

#include "replay/crash_scene.h"

#include <gtest/gtest.h>

namespace valveshelf::sched {
namespace {
using namespace std::chrono_literals;

// Operators allow a long-running task to be away for this time.
constexpr Milliseconds AwayLimit{3000};

StepSpec lasting(uint32_t Count, bool IsGang = false) {
  StepSpec Step = tasks(Count, 1000, 1s);
  Step.LongRunning = true;
  Step.Gang = IsGang;
  return Step;
}

struct RestartScene : CrashScene {
  RestartScene() : CrashScene(4) {}

  RunKey runOf(JobId Id, uint32_t Index = 0) const {
    return {{{Id, 0, 0}, Index}, Cell.Jobs.at(Id).Rounds.at(0).Steps[0].Tasks[Index].Run};
  }
  void end(JobId Id, uint32_t Index, RunOutcome How) {
    const std::string Worker = workerOf(Id, Index);
    ASSERT_FALSE(Worker.empty());
    report(Worker, {{runOf(Id, Index), How}});
  }
  // All members of a gang end together.
  void endGang(JobId Id, uint32_t Count, RunOutcome How) {
    std::vector<std::pair<std::string, RunKey>> Members;
    for (uint32_t I = 0; I < Count; ++I)
      Members.emplace_back(workerOf(Id, I), runOf(Id, I));
    const RunOutcome Others = How == RunOutcome::Done ? How : RunOutcome::GangBroken;
    for (const auto &[Worker, Run] : Members)
      report(Worker, {{Run, Run.Task.Index == 0 ? How : Others}});
  }
  bool allRun(JobId Id, uint32_t Count) const {
    for (uint32_t I = 0; I < Count; ++I)
      if (workerOf(Id, I).empty())
        return false;
    return true;
  }
  size_t recordSize(JobId Id) const { return encodeProgress(Cell.Jobs.at(Id)).size(); }
};

class EachOutcome : public testing::TestWithParam<RunOutcome> {};

// Guards against a task that is never started again since its run ended done.
TEST_P(EachOutcome, IsFollowedByAnotherRun) {
  RestartScene Given;
  const JobId Id = Given.submit(lasting(3));
  Given.advance(1s);
  for (int Time = 0; Time < 8; ++Time) {
    ASSERT_TRUE(Given.allRun(Id, 3)) << Time;
    const uint32_t Run = Given.runOf(Id, 1).Run;
    Given.end(Id, 1, GetParam());
    Given.advance(AwayLimit);
    EXPECT_GT(Given.runOf(Id, 1).Run, Run);
    EXPECT_EQ(publicJobState(Given.Cell, Id), "running");
  }
}

// The same where all tasks of the job end at once, after which the job was shown as completed.
TEST_P(EachOutcome, OfAllTasksAtOnceDoesNotEndTheJob) {
  RestartScene Given;
  const JobId Id = Given.submit(lasting(3));
  Given.advance(1s);
  for (uint32_t I = 0; I < 3; ++I)
    Given.end(Id, I, GetParam());
  Given.advance(AwayLimit);
  EXPECT_TRUE(Given.allRun(Id, 3));
  EXPECT_EQ(publicJobState(Given.Cell, Id), "running");
}

// Guards against a gang that is not started again, or not as a whole.
TEST_P(EachOutcome, OfAGangIsFollowedByAnotherRunOfAllMembers) {
  RestartScene Given;
  const JobId Id = Given.submit(lasting(4, true));
  Given.advance(1s);
  for (int Time = 0; Time < 4; ++Time) {
    ASSERT_TRUE(Given.allRun(Id, 4)) << Time;
    const uint32_t Run = Given.runOf(Id).Run;
    Given.endGang(Id, 4, GetParam());
    Given.advance(AwayLimit);
    ASSERT_TRUE(Given.allRun(Id, 4));
    for (uint32_t I = 1; I < 4; ++I)
      EXPECT_EQ(Given.runOf(Id, I).Run, Given.runOf(Id).Run);
    EXPECT_GT(Given.runOf(Id).Run, Run);
  }
}

// Guards against tasks that are lost because their ends are reported to the next scheduler.
TEST_P(EachOutcome, ThatTheNextSchedulerLearnsOfIsFollowedByAnotherRun) {
  for (const bool IsGang : {false, true}) {
    RestartScene Given;
    const JobId Id = Given.submit(lasting(3, IsGang));
    Given.advance(1s);
    std::map<std::string, std::vector<std::pair<RunKey, RunOutcome>>> Ends;
    for (uint32_t I = 0; I < 3; ++I)
      Ends[Given.workerOf(Id, I)].emplace_back(Given.runOf(Id, I), GetParam());
    Given.takeOver();
    for (const auto &[Worker, OfWorker] : Ends)
      Given.report(Worker, OfWorker);
    Given.advance(AwayLimit);
    EXPECT_TRUE(Given.allRun(Id, 3)) << IsGang;
    EXPECT_EQ(publicJobState(Given.Cell, Id), "running");
  }
}

INSTANTIATE_TEST_SUITE_P(Restarts, EachOutcome,
                         testing::Values(RunOutcome::Done, RunOutcome::Failed, RunOutcome::Stopped,
                                         RunOutcome::LeaseExpired, RunOutcome::GangBroken,
                                         RunOutcome::GangTimedOut),
                         [](const auto &Info) {
                           std::string Name(toString(Info.param));
                           std::erase_if(Name, [](char C) { return !std::isalnum(C); });
                           return Name;
                         });

// Guards against a task that ends at once and is started dozens of times a second.
TEST(Restarts, OfATaskThatEndsAtOnceHaveABoundedPace) {
  constexpr Milliseconds Time{60000};
  for (const RunOutcome How : {RunOutcome::Done, RunOutcome::Failed})
    for (const uint32_t Members : {1U, 4U}) {
      RestartScene Given;
      const JobId Id = Given.submit(lasting(Members, Members > 1));
      Milliseconds Away{0};
      for (Milliseconds T{0}; T < Time; T += 10ms) {
        Given.advance(10ms);
        Away = Given.allRun(Id, Members) ? 0ms : Away + 10ms;
        ASSERT_LT(Away, AwayLimit);
        if (Away == 0ms)
          Given.endGang(Id, Members, How);
      }
      const size_t Most = static_cast<size_t>(Time / RestartInterval) + RestartBurst + 1;
      EXPECT_LE(Given.startsOf(Id), Most * Members);
    }
}

// Guards against a pause after a run that has served for a while: its task would be away for
// nothing.
TEST(Restarts, OfATaskThatHasRunForAWhileAreNotDelayed) {
  RestartScene Given;
  const JobId Id = Given.submit(lasting(1));
  ASSERT_TRUE(Given.advanceUntilRuns(Id));
  for (int I = 0; I < 20; ++I) {
    Given.advance(RestartInterval);
    Given.end(Id, 0, RunOutcome::Failed);
    ASSERT_TRUE(Given.advanceUntilRuns(Id, 100ms)) << I;
  }
}

TEST(Restarts, AreDueWithinTheTimeThatOperatorsAllow) {
  RestartState Restarts;
  TimePoint Began{100s};
  for (int I = 0; I < 100; ++I) {
    const TimePoint Next = payForRestart(Restarts, Began);
    EXPECT_LE(Next, Began + RestartInterval);
    EXPECT_EQ(Next <= Began, I < static_cast<int>(RestartBurst)) << I;
    Began = std::max(Began, Next);
  }
  EXPECT_LE(payForRestart(Restarts, Began + 1h), Began + 1h) << "the burst has come back";
  EXPECT_LT(RestartInterval, AwayLimit);
}

// Guards against a record that names each failed run, until the store takes it no more.
TEST(Restarts, DoNotLetTheProgressRecordGrow) {
  RestartScene Given;
  const JobId Id = Given.submit(lasting(3));
  Given.advance(1s);
  std::optional<size_t> Early;
  for (int I = 0; I < 300; ++I) {
    ASSERT_TRUE(Given.advanceUntilRuns(Id));
    Given.end(Id, 0, I % 3 ? RunOutcome::Failed : RunOutcome::Done);
    if (I == 10)
      Early = Given.recordSize(Id);
  }
  // A run number takes more bytes when it is higher.
  EXPECT_LE(Given.recordSize(Id), *Early + 4);
}

// Guards against a write for each end: the store takes a few hundred a second from all jobs.
TEST(Restarts, AreNotSavedOneByOne) {
  RestartScene Given;
  const JobId Id = Given.submit(lasting(1));
  Given.advance(1s);
  Given.end(Id, 0, RunOutcome::Done);
  Given.advance(AwayLimit);
  const uint64_t Saves = Given.Cell.LastSave;
  for (int I = 0; I < 20; ++I) {
    Given.end(Id, 0, I % 2 ? RunOutcome::Failed : RunOutcome::Done);
    Given.advance(AwayLimit);
  }
  EXPECT_EQ(Given.Cell.LastSave, Saves);
}

// Guards against jobs of earlier versions that stay without a run, and against records of theirs
// that name thousands of failed runs.
TEST(Restarts, TasksThatARecordShowsAsDoneAreStarted) {
  for (const bool IsGang : {false, true}) {
    RestartScene Given;
    const JobId Id = Given.submit(lasting(3, IsGang));
    SavedTask Old;
    Old.Done = true;
    for (uint32_t Run = 1; Run <= 5000; ++Run)
      Old.FailedRuns.push_back(Run);
    std::vector<SavedTask> Tasks(3, Old);
    for (uint32_t I = 0; I < 3; ++I)
      Tasks[I].Index = I;
    restoreStep(Given.Cell, {Id, 0, 0}, Tasks);
    Effects Out;
    finishLoading(Given.Cell, Given.Now, Out);
    Given.advance(AwayLimit);
    ASSERT_TRUE(Given.allRun(Id, 3));
    EXPECT_GT(Given.runOf(Id).Run, 5000U) << "workers refuse earlier runs";
    EXPECT_LT(Given.recordSize(Id), 100U);
  }
}

// Guards against a pause for an end that can't come: a silent worker may report other tasks done
// once it can be reached, and a long-running one has to go on in any case.
TEST(Restarts, DoNotWaitForASilentWorkerWhoseLeaseIsOver) {
  RestartScene Given;
  const JobId Id = Given.submit(lasting(1));
  ASSERT_TRUE(Given.advanceUntilRuns(Id));
  Given.advance(5s);
  const std::string Worker = Given.workerOf(Id);
  Given.fallSilent(Worker);
  Given.advance(Lease + 200ms);
  EXPECT_FALSE(Given.workerOf(Id).empty());
  EXPECT_NE(Given.workerOf(Id), Worker);
}

// Guards against a task that is away for good since its end was not heard: no progress tells that
// its run is over.
TEST(Restarts, FollowARunThatNoReportNamesAnyMore) {
  for (const bool IsGang : {false, true}) {
    RestartScene Given;
    const JobId Id = Given.submit(lasting(3, IsGang));
    Given.advance(1s);
    for (uint32_t I = 0; I < 3; ++I)
      Given.ActiveRuns[Given.workerOf(Id, I)].erase(Given.runOf(Id, I));
    const uint32_t Run = Given.runOf(Id).Run;
    Given.advance(AwayLimit);
    EXPECT_TRUE(Given.allRun(Id, 3));
    EXPECT_GT(Given.runOf(Id).Run, Run);
  }
}

// Guards against a gang that is away for good since only some of its members are left: none of them
// ends by itself, and there is no progress that could stall.
TEST(Restarts, OfAGangThatHasLostAMemberAreOfAllMembers) {
  RestartScene Given;
  StepSpec Step = lasting(4, true);
  Step.Need = {WorkerSize.MilliCores / 2, 1000, 0}; // on two workers
  const JobId Id = Given.submit(Step);
  Given.advance(1s);
  ASSERT_TRUE(Given.allRun(Id, 4));
  const uint32_t Run = Given.runOf(Id).Run;
  Given.replace(Given.workerOf(Id));
  Given.advance(AwayLimit + 1s);
  ASSERT_TRUE(Given.allRun(Id, 4));
  for (uint32_t I = 0; I < 4; ++I)
    EXPECT_GT(Given.runOf(Id, I).Run, Run);
}

// The rest of a gang may be on a worker that can't be reached after a takeover.
TEST(Restarts, DoNotStopAGangWhoseOtherMembersMayRunElsewhere) {
  RestartScene Given;
  StepSpec Step = lasting(4, true);
  Step.Need = {WorkerSize.MilliCores / 2, 1000, 0};
  const JobId Id = Given.submit(Step);
  Given.advance(1s);
  const std::string Worker = Given.workerOf(Id);
  const uint32_t Run = Given.runOf(Id).Run;
  Given.Silent.insert(Worker);
  Given.takeOver();
  Given.advance(4s);
  Given.Silent.erase(Worker);
  Given.report(Worker);
  Given.advance(AwayLimit);
  ASSERT_TRUE(Given.allRun(Id, 4));
  EXPECT_EQ(Given.runOf(Id).Run, Run);
}

// A report may leave ends out, or have been on its way before the run began.
TEST(Restarts, DoNotFollowARunThatAPartialOrEarlierReportDoesNotName) {
  RestartScene Given;
  const JobId Id = Given.submit(lasting(1));
  ASSERT_TRUE(Given.advanceUntilRuns(Id));
  const std::string Worker = Given.workerOf(Id);
  const uint32_t Run = Given.runOf(Id).Run;
  WorkerReport Partial;
  Partial.HasMoreEnds = true;
  Effects Out;
  workerReported(Given.Cell, Worker, Partial, Given.Now, Given.Now, Out);
  EXPECT_EQ(Given.workerOf(Id), Worker);
  workerReported(Given.Cell, Worker, {}, Given.Now - 100ms, Given.Now, Out);
  EXPECT_EQ(Given.workerOf(Id), Worker);
  Given.advance(1s);
  EXPECT_EQ(Given.runOf(Id).Run, Run);
}

// Guards against run numbers that workers refuse: a task that ends often uses up those of a term.
TEST(Restarts, UseHigherRunNumbersThanTheSchedulerBefore) {
  for (const bool IsReportedLate : {false, true}) {
    RestartScene Given;
    const JobId Id = Given.submit(lasting(1));
    ASSERT_TRUE(Given.advanceUntilRuns(Id));
    const std::string Worker = Given.workerOf(Id);
    const std::pair<RunKey, RunOutcome> End{{{{Id, 0, 0}, 0}, RunsPerTerm * 2 + 1},
                                            RunOutcome::Stopped};
    if (!IsReportedLate)
      Given.report(Worker, {End});
    Given.advance(100ms);
    Given.takeOver();
    if (IsReportedLate)
      Given.report(Worker, {End});
    Given.end(Id, 0, RunOutcome::Failed);
    ASSERT_TRUE(Given.advanceUntilRuns(Id));
    EXPECT_GT(Given.runOf(Id).Run, RunsPerTerm * 2 + 1) << IsReportedLate;
  }
}

// A step that depends on a long-running one begins when each task of that one has ended done once,
// also if the next scheduler learns of it from the record.
TEST(Restarts, StepsAfterThemBeginOnceEachTaskHasEndedDone) {
  RestartScene Given;
  StepSpec Next = tasks(1, 1000, 60s);
  Next.DependsOn = {0};
  const JobId Id = Given.submit(lasting(2), 0, {Next});
  const auto HasBegun = [&] {
    return attemptOf(Given.Cell.Jobs.at(Id).Rounds.at(0).Steps[1], 0) != nullptr;
  };
  Given.advance(1s);
  Given.end(Id, 0, RunOutcome::Done);
  Given.advance(AwayLimit);
  Given.end(Id, 0, RunOutcome::Done);
  Given.advance(AwayLimit);
  EXPECT_FALSE(HasBegun());
  Given.takeOver();
  Given.advance(100ms);
  Given.end(Id, 1, RunOutcome::Done);
  Given.advance(100ms);
  EXPECT_TRUE(HasBegun());
  Given.advance(AwayLimit);
  EXPECT_TRUE(Given.allRun(Id, 2));
}

} // namespace
} // namespace valveshelf::sched
