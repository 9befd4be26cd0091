// SPDX-License-Identifier: Apache-2.0
// Suspected crashes: what retracts them, and what the next scheduler makes of them.
#include "cell.pb.h"
#include "replay/crash_scene.h"

#include <gtest/gtest.h>

namespace valveshelf::sched {
namespace {
using namespace std::chrono_literals;

// A job with one task that has one confirmed startup crash.
JobId submitCrashedOnce(CrashScene &Given) {
  const JobId Id = Given.submit(tasks(1, 4000, 60s));
  EXPECT_TRUE(Given.advanceUntilRuns(Id));
  Given.crash(Given.workerOf(Id), 1s);
  EXPECT_EQ(Given.taskOf(Id).StartupCrashes, 1u);
  return Id;
}

// Guards against a suspicion that outlives its cause: it must be retracted when the worker answers,
// though the run was dropped when the lease expired. Several of them made the scheduler give up
// gangs that had crashed no worker.
TEST(Crashes, AWorkerThatAnswersAfterItsLeaseHasNotCrashed) {
  CrashScene Given(2);
  const JobId Id = Given.submit(tasks(1, 4000, 60s));
  ASSERT_TRUE(Given.advanceUntilRuns(Id));
  const std::string WorkerId = Given.workerOf(Id);
  Given.fallSilent("w0");
  Given.fallSilent("w1"); // so that the task can't survive its startup elsewhere
  Given.advance(8s);
  ASSERT_EQ(Given.taskOf(Id).StartupCrashes, 1u);
  ASSERT_EQ(Given.taskOf(Id).AssignedWorker, nullptr) << "the lease has expired";
  Given.ActiveRuns[WorkerId].clear();
  Given.Silent.erase(WorkerId);
  Given.report(WorkerId);
  EXPECT_EQ(Given.taskOf(Id).StartupCrashes, 0u);
}

// The same for a worker that was dropped because its list entry had expired, as after a cut link to
// the store.
TEST(Crashes, AWorkerThatIsListedAgainAfterItWasDroppedHasNotCrashed) {
  CrashScene Given(1);
  const JobId Id = Given.submit(tasks(1, 4000, 60s));
  ASSERT_TRUE(Given.advanceUntilRuns(Id));
  Given.fallSilent("w0");
  workerUnlisted(Given.Cell, "w0", Given.Now);
  Given.advance(8s);
  ASSERT_EQ(Given.Cell.Workers.count("w0"), 0u);
  ASSERT_EQ(Given.taskOf(Id).StartupCrashes, 1u);
  Given.ActiveRuns["w0"].clear();
  Given.Silent.clear();
  Given.addWorker("w0", 9000);
  EXPECT_EQ(Given.taskOf(Id).StartupCrashes, 0u);
}

// An answer of the next incarnation does not show how the first one ended.
TEST(Crashes, ANewIncarnationDoesNotClearASuspicion) {
  CrashScene Given(1);
  const JobId Id = Given.submit(tasks(1, 4000, 60s));
  ASSERT_TRUE(Given.advanceUntilRuns(Id));
  Given.fallSilent("w0");
  workerUnlisted(Given.Cell, "w0", Given.Now);
  Given.advance(8s);
  Given.removeWorker("w0");
  Given.addWorker("w0+", 9000);
  EXPECT_EQ(Given.taskOf(Id).StartupCrashes, 1u);
}

// The suspicion is older than the scheduler that gets the answer.
TEST(Crashes, ASuspicionOfAnEarlierSchedulerIsClearedWhenTheWorkerAnswers) {
  CrashScene Given(1);
  const JobId Id = Given.submit(tasks(1, 4000, 60s));
  ASSERT_TRUE(Given.advanceUntilRuns(Id));
  Given.fallSilent("w0");
  Given.advance(8s);
  ASSERT_EQ(Given.taskOf(Id).StartupCrashes, 1u);
  Given.ActiveRuns["w0"].clear();
  Given.takeOver();
  ASSERT_EQ(Given.taskOf(Id).StartupCrashes, 1u);
  Given.Silent.clear();
  Given.report("w0");
  EXPECT_EQ(Given.taskOf(Id).StartupCrashes, 0u);
}

// Old records count suspect workers without names; nothing can retract them.
TEST(Crashes, UnnamedSuspectWorkersOfOldRecordsAreKept) {
  cell::ProgressRecord Record;
  cell::TaskNote &Note = *Record.add_steps()->add_note();
  Note.set_crashes(3);
  Note.set_doubts(2);
  Note.set_may_begin(true);
  const Result<SavedProgress> Read = decodeProgress(1, Record.SerializeAsString());
  const SavedTask &Task = value(Read).Steps.at(0).second.at(0);
  EXPECT_EQ(Task.StartupCrashes, 3u);
  EXPECT_EQ(std::set<std::string>(Task.SuspectWorkers.begin(), Task.SuspectWorkers.end()).size(),
            2u);
  EXPECT_FALSE(Task.PendingStartWorker.empty());
  EXPECT_EQ(
      std::count(Task.SuspectWorkers.begin(), Task.SuspectWorkers.end(), Task.PendingStartWorker),
      0);
}

// A worker that leaves the list without notice counts as crashed unless it answers again.
TEST(Crashes, AWorkerThatVanishesDuringStartupCountsUntilItAnswers) {
  CrashScene Given(1);
  const JobId Id = Given.submit(tasks(1, 4000, 60s));
  ASSERT_TRUE(Given.advanceUntilRuns(Id));
  Given.fallSilent("w0");
  workerUnlisted(Given.Cell, "w0", Given.Now);
  Given.advance(8s);
  EXPECT_EQ(Given.taskOf(Id).StartupCrashes, 1u);
  EXPECT_EQ(Given.taskOf(Id).SuspectWorkers.size(), 0u);
  Given.takeOver();
  EXPECT_EQ(Given.taskOf(Id).VanishedWorkers.size(), 1u) << "lost at the takeover";
  Given.ActiveRuns["w0"].clear();
  Given.Silent.clear();
  Given.addWorker("w0", 9000);
  EXPECT_EQ(Given.taskOf(Id).StartupCrashes, 0u);
}

// The run, with an estimate of 100 ms, may have ended before its worker crashed: the silence is
// noticed 200 ms after its start.
TEST(Crashes, ACrashAfterWhichTheRunMayHaveEndedIsOnlySuspected) {
  CrashScene Given(1);
  const JobId Id = Given.submit(tasks(1, 4000, 100ms));
  ASSERT_TRUE(Given.advanceUntilRuns(Id));
  Given.Silent.insert("w0");
  Given.advance(200ms);
  Given.crash("w0", 1s);
  EXPECT_EQ(Given.taskOf(Id).StartupCrashes, 1u);
  EXPECT_EQ(Given.taskOf(Id).SuspectWorkers.size(), 1u);
}

// The start order reached the next incarnation, so that the run never started.
TEST(Crashes, AStartSentToANewIncarnationIsNotCounted) {
  CrashScene Given(1);
  Given.Silent.insert("w0"); // it has crashed, which the scheduler has not noticed
  const JobId Id = Given.submit(tasks(1, 4000, 60s));
  Given.advance(50ms);
  ASSERT_EQ(Given.startsOf(Id), 1u);
  Effects Out;
  startAnswered(Given.Cell, "w0", Given.Started[0].Run, StartResult::OtherIncarnation, Given.Now,
                Out);
  EXPECT_EQ(Given.Cell.Workers.count("w0"), 0u);
  EXPECT_EQ(Given.taskOf(Id).StartupCrashes, 0u);
}

// Guards against a pending start that stays in the store after its start was refused: each takeover
// would count it as a crash.
TEST(Crashes, ARefusedStartIsNotCountedByTheNextScheduler) {
  CrashScene Given(2);
  const JobId Id = submitCrashedOnce(Given);
  ASSERT_EQ(Given.taskOf(Id).StartupCrashes, 1u);
  for (int Terms = 0; Terms < 4; ++Terms) {
    for (const auto &[Worker, Port] : Given.Ports)
      Given.refuseStarts(Worker);
    const size_t Before = Given.startsOf(Id);
    Given.advance(2s);
    ASSERT_GT(Given.startsOf(Id), Before);
    Given.takeOver();
    ASSERT_NE(publicJobState(Given.Cell, Id), "failed") << "given up after one crash";
    EXPECT_EQ(Given.taskOf(Id).StartupCrashes, 1u);
  }
}

// The same for a run whose end was reported.
TEST(Crashes, AStartWithAKnownEndIsNotCountedByTheNextScheduler) {
  CrashScene Given(2);
  const JobId Id = submitCrashedOnce(Given);
  ASSERT_TRUE(Given.advanceUntilRuns(Id));
  Given.endRunsAsBroken(Given.workerOf(Id));
  Given.save();
  Given.takeOver();
  EXPECT_EQ(Given.taskOf(Id).StartupCrashes, 1u);
}

// An answer of one worker does not settle the pending start on another.
TEST(Crashes, ClearingASuspicionKeepsThePendingStartElsewhere) {
  CrashScene Given(4);
  const JobId Id = submitCrashedOnce(Given);
  ASSERT_TRUE(Given.advanceUntilRuns(Id));
  const std::string CutWorker = Given.workerOf(Id);
  Given.fallSilent(CutWorker);
  const auto RunsElsewhere = [&] {
    return Given.workerOf(Id) != CutWorker && !Given.workerOf(Id).empty();
  };
  for (Milliseconds T{0}; T < 9s && !RunsElsewhere(); T += 10ms)
    Given.advance(10ms); // until its lease expires
  ASSERT_TRUE(RunsElsewhere());
  ASSERT_EQ(Given.taskOf(Id).StartupCrashes, 2u);
  ASSERT_EQ(Given.taskOf(Id).PendingStartWorker, Given.workerOf(Id));
  Given.ActiveRuns[CutWorker].clear();
  Given.Silent.erase(CutWorker);
  Given.report(CutWorker);
  EXPECT_EQ(Given.taskOf(Id).StartupCrashes, 1u);
  EXPECT_EQ(Given.taskOf(Id).PendingStartWorker, Given.workerOf(Id));
}

// Once a worker has answered the next scheduler it accepts no order of the previous one, so that
// the lost order can't start there any more.
TEST(Crashes, AStartOnAWorkerThatAnswersAfterATakeoverIsNotCounted) {
  CrashScene Given(2);
  const JobId Id = submitCrashedOnce(Given);
  ASSERT_TRUE(Given.advanceUntilRuns(Id));
  // The order was lost, which this scheduler does not learn.
  Given.ActiveRuns[Given.workerOf(Id)].clear();
  Given.takeOver();
  EXPECT_EQ(Given.taskOf(Id).StartupCrashes, 1u);
}

// Guards against a crash that is counted for an order to a worker that was dead already. Several of
// them made the scheduler give up gangs that had crashed no worker.
TEST(Crashes, AStartAfterACrashWaitsUntilItsWorkerAnswers) {
  CrashScene Given(1);
  const JobId Id = submitCrashedOnce(Given);
  const std::string Next = Given.Ports.begin()->first;
  Given.Silent.insert(Next); // it has crashed, which the scheduler has not noticed
  Given.Cell.Workers.at(Next).QuarantinedUntil = Given.Now + 500ms;
  Given.advance(2s);
  EXPECT_EQ(Given.startsOf(Id), 1u);
  EXPECT_EQ(Given.taskOf(Id).StartupCrashes, 1u);
  Given.Silent.clear();
  Given.advance(500ms);
  EXPECT_EQ(Given.startsOf(Id), 2u);
}

// Guards against a crash that is counted for a run that was over: while a counted task is in
// startup its worker is asked often enough that an end is known before the worker is lost.
TEST(Crashes, TheEndOfACountedRunIsKnownBeforeItsWorkerCrashes) {
  CrashScene Given(1);
  const JobId Id = submitCrashedOnce(Given);
  Given.ReportsUnasked = false;
  ASSERT_TRUE(Given.advanceUntilRuns(Id));
  const std::string WorkerId = Given.workerOf(Id);
  Given.advance(100ms);
  Given.completeRuns(WorkerId);
  Given.advance(100ms);
  Given.crash(WorkerId, 1s);
  EXPECT_EQ(publicJobState(Given.Cell, Id), "completed");
}

// A worker that confirmed the start of a counted task, and answered nothing after it, crashed with
// the task, also if the silence is noticed only after the run may have ended.
TEST(Crashes, AWatchedWorkerThatAnswersNothingAfterTheStartHasCrashed) {
  CrashScene Given(1);
  const JobId Id = Given.submit(tasks(1, 4000, 100ms));
  ASSERT_TRUE(Given.advanceUntilRuns(Id));
  Given.crash(Given.workerOf(Id), 1s);
  ASSERT_EQ(Given.taskOf(Id).StartupCrashes, 1u);
  ASSERT_TRUE(Given.advanceUntilRuns(Id));
  const std::string WorkerId = Given.workerOf(Id);
  Given.Silent.insert(WorkerId);
  Given.advance(300ms);
  Given.crash(WorkerId, 1s);
  EXPECT_EQ(Given.taskOf(Id).StartupCrashes, 2u);
  EXPECT_TRUE(Given.taskOf(Id).SuspectWorkers.empty());
}

// Guards against crashes that are lost one after the other, each to a takeover before its silence
// was noticed. The first is not known; a task that may have been on a worker that is found dead is
// recorded before its next start.
TEST(Crashes, ASecondCrashThatNoSchedulerNoticedIsCounted) {
  CrashScene Given(6);
  const JobId Id = Given.submit(tasks(1, 4000, 600ms));
  for (uint32_t Crashes = 0; Crashes < 3; ++Crashes) {
    ASSERT_TRUE(Given.advanceUntilRuns(Id));
    const std::string WorkerId = Given.workerOf(Id);
    Given.advance(30ms);
    Given.Silent.insert(WorkerId); // it has crashed, which this scheduler does not notice
    Given.takeOver();
    EXPECT_EQ(Given.taskOf(Id).StartupCrashes, Crashes);
    Given.advance(1s);
    Given.replace(WorkerId);
  }
}

// The task was in startup as its worker fell silent, and the scheduler that saw it ended. The next
// one finds the worker replaced, which confirms the crash.
TEST(Crashes, ACrashIsConfirmedByTheNextScheduler) {
  CrashScene Given(2);
  const JobId Id = Given.submit(tasks(1, 4000, 600ms));
  ASSERT_TRUE(Given.advanceUntilRuns(Id));
  const std::string WorkerId = Given.workerOf(Id);
  Given.fallSilent(WorkerId);
  Given.advance(20ms);
  Given.takeOver();
  ASSERT_EQ(Given.taskOf(Id).SuspectWorkers.size(), 1u);
  Given.replace(WorkerId);
  EXPECT_EQ(Given.taskOf(Id).StartupCrashes, 1u);
  EXPECT_TRUE(Given.taskOf(Id).SuspectWorkers.empty());
}

// The same for a worker whose silence was noticed when the run may have been over: its end proves
// nothing against the task.
TEST(Crashes, ALateSuspicionIsNotConfirmedByTheNextScheduler) {
  CrashScene Given(2);
  const JobId Id = Given.submit(tasks(1, 4000, 100ms));
  ASSERT_TRUE(Given.advanceUntilRuns(Id));
  const std::string WorkerId = Given.workerOf(Id);
  Given.Silent.insert(WorkerId);
  Given.advance(200ms);
  Given.fallSilent(WorkerId);
  Given.advance(20ms);
  Given.takeOver();
  Given.replace(WorkerId);
  EXPECT_EQ(Given.taskOf(Id).StartupCrashes, 1u);
  EXPECT_EQ(Given.taskOf(Id).SuspectWorkers.size(), 1u);
}

// A suspicion that was retracted must not make a later one on the same worker certain.
TEST(Crashes, ARetractedSuspicionDoesNotConfirmALaterOne) {
  CrashScene Given(2);
  const JobId Id = Given.submit(tasks(1, 4000, 100ms));
  ASSERT_TRUE(Given.advanceUntilRuns(Id));
  const std::string WorkerId = Given.workerOf(Id);
  Given.fallSilent(WorkerId);
  Given.advance(20ms);
  ASSERT_EQ(Given.taskOf(Id).StartupCrashes, 1u);
  Given.Silent.erase(WorkerId);
  Given.report(WorkerId);
  ASSERT_EQ(Given.taskOf(Id).StartupCrashes, 0u);
  Given.Silent.insert(WorkerId);
  Given.advance(200ms);
  Given.fallSilent(WorkerId);
  Given.advance(20ms);
  Given.takeOver();
  Given.replace(WorkerId);
  EXPECT_EQ(Given.taskOf(Id).StartupCrashes, 1u);
  EXPECT_EQ(Given.taskOf(Id).SuspectWorkers.size(), 1u);
}

// Once the task has survived its startup, its recorded start must not be counted by a scheduler
// that takes over.
TEST(Crashes, ARecordedStartIsClearedOnceItsTaskHasSurvivedItsStartup) {
  CrashScene Given(3);
  const JobId Id = Given.submit(tasks(1, 4000, 60s));
  ASSERT_TRUE(Given.advanceUntilRuns(Id));
  const std::string WorkerId = Given.workerOf(Id);
  Given.Silent.insert(WorkerId);
  Given.takeOver();
  Given.replace(WorkerId);
  ASSERT_TRUE(Given.advanceUntilRuns(Id));
  Given.advance(20ms);
  ASSERT_FALSE(Given.taskOf(Id).PendingStartWorker.empty());
  Given.advance(1s);
  EXPECT_TRUE(Given.taskOf(Id).PendingStartWorker.empty());
  Given.Silent.insert(Given.workerOf(Id));
  Given.takeOver();
  EXPECT_EQ(Given.taskOf(Id).StartupCrashes, 0u);
}

// Over a slow link each report is old when it arrives; the start must not wait for a younger one
// for good.
TEST(Crashes, AStartAfterACrashIsNotHeldBackBySlowReports) {
  CrashScene Given(1);
  const JobId Id = submitCrashedOnce(Given);
  const std::string Next = Given.Ports.begin()->first;
  Given.ReportsUnasked = false;
  Given.Silent.insert(Next);
  Given.Cell.Workers.at(Next).QuarantinedUntil = Given.Now + 300ms;
  for (Milliseconds T{0}; T < 3s; T += 10ms) {
    Given.advance(10ms);
    Effects Out;
    workerReported(Given.Cell, Next, {}, Given.Now - 300ms, Given.Now, Out);
  }
  EXPECT_GE(Given.startsOf(Id), 2u);
}

} // namespace
} // namespace valveshelf::sched
