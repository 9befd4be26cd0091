// SPDX-License-Identifier: Apache-2.0
// Workers that start again under their id: what the scheduler knows of an earlier life must not be
// taken for the present one.
#include "replay/crash_scene.h"
#include "standins/worker_model.h"

#include <gtest/gtest.h>

namespace valveshelf::sched {
namespace {
using namespace std::chrono_literals;

// Workers state the start of their life from the first one on.
struct RestartScene : CrashScene {
  explicit RestartScene(int Workers) : CrashScene(Workers) {
    for (const auto &[Id, Port] : std::map(Ports)) {
      Born[Id] = WallTime(1000s);
      listWorker(Id, Port);
    }
    advance(200ms);
  }
};

StepSpec gangOf(uint32_t Count) {
  StepSpec Step = tasks(Count, WorkerSize.MilliCores * 2 / 3, 60s); // one on each worker
  Step.Gang = true;
  return Step;
}

// Runs a job of one task on the only worker to its end.
void completeJob(RestartScene &Given) {
  const JobId Id = Given.submit(tasks(1, 1000, 600ms));
  ASSERT_TRUE(Given.advanceUntilRuns(Id));
  Given.completeRuns("w0");
  Given.advance(200ms);
  ASSERT_EQ(publicJobState(Given.Cell, Id), "completed");
}

// Guards against a task that runs twice because the end of its run, the first of the worker's new
// life, is taken for one of the earlier life, which was processed.
TEST(WorkerRestarts, TheFirstEndOfANewLifeIsNotAnOldOne) {
  RestartScene Given(1);
  completeJob(Given);
  completeJob(Given);
  Given.restart("w0");
  const JobId Id = Given.submit(tasks(1, 1000, 600ms));
  ASSERT_TRUE(Given.advanceUntilRuns(Id));
  Given.completeRuns("w0");
  Given.advance(500ms);
  EXPECT_EQ(publicJobState(Given.Cell, Id), "completed");
  EXPECT_EQ(Given.startsOf(Id), 1u);
}

// Guards against the end of a run that a worker forgets unread: it is told to forget the ends of
// its earlier life, and has ended the run meanwhile.
TEST(WorkerRestarts, ANewLifeIsNotToldToForgetEndsOfTheEarlierOne) {
  RestartScene Given(1);
  completeJob(Given);
  completeJob(Given);
  Given.ReportsUnasked = false;
  const JobId Id = Given.submit(tasks(1, 1000, 600ms));
  Given.restart("w0");
  Given.advance(100ms);
  Given.completeRuns("w0");
  Given.ReportsUnasked = true;
  Given.advance(1s);
  EXPECT_EQ(publicJobState(Given.Cell, Id), "completed");
  EXPECT_EQ(Given.startsOf(Id), 1u);
  EXPECT_TRUE(Given.LostRuns.empty()) << "the new life has run it";
}

// Guards against a gang that is never started again: the run of the member whose worker restarted
// stays booked, since neither its end nor its loss is ever reported.
TEST(WorkerRestarts, AGangThatLosesAMemberIsStartedAgain) {
  RestartScene Given(3);
  const JobId Id = Given.submit(gangOf(2));
  ASSERT_TRUE(Given.advanceUntilRuns(Id));
  Given.advance(2s);
  const std::string Lost = Given.workerOf(Id, 0);
  const std::string Other = Given.workerOf(Id, 1);
  ASSERT_NE(Lost, Other);
  Given.restart(Lost);
  Given.endRunsAsBroken(Other);
  Given.advance(3s);
  EXPECT_EQ(Given.startsOf(Id), 4u);
  EXPECT_FALSE(Given.workerOf(Id, 0).empty());
  EXPECT_FALSE(Given.workerOf(Id, 1).empty());
}

// Guards against a restart that only the list has shown and that waits for a report which nobody
// requests, and against calls in every tick to a worker that does not answer.
TEST(WorkerRestarts, ARestartSeenInTheListIsAskedForItsReport) {
  RestartScene Given(1);
  Given.ReportsUnasked = false;
  Given.restart("w0");
  Given.Silent.insert("w0");
  Given.listWorker("w0", 9000);
  size_t Requests = 0;
  for (int Tick = 0; Tick < 100; ++Tick) {
    Given.Now += 10ms;
    Effects Out;
    tick(Given.Cell, Given.Now, WallTime(1100s), Out);
    Requests += Out.ReportRequests.size();
  }
  EXPECT_GE(Requests, 2u);
  EXPECT_LE(Requests, 3u);
  workerSilent(Given.Cell, "w0", Given.Now);
  Given.Now += 1s;
  Effects Out;
  tick(Given.Cell, Given.Now, WallTime(1100s), Out);
  EXPECT_TRUE(Out.ReportRequests.empty()) << "heartbeats go on";
}

// Guards against a gang that waits for a member which the new life carried out and whose others
// were lost with the earlier one.
TEST(WorkerRestarts, AMemberThatTheNewLifeCarriedOutWithoutTheOthersIsStopped) {
  RestartScene Given(1);
  StepSpec Gang = tasks(2, 1000, 60s);
  Gang.Gang = true;
  const JobId Id = Given.submit(Gang);
  ASSERT_TRUE(Given.advanceUntilRuns(Id));
  const RunKey Member = Given.Started.front().Run;
  Given.restart("w0");
  Given.ActiveRuns["w0"].insert(Member);
  Given.advance(1s);
  EXPECT_EQ(Given.startsOf(Id), 4u);
  EXPECT_FALSE(Given.workerOf(Id, 1).empty());
}

// Guards against a run that waits until it counts as stalled although its worker is known, from the
// list, to have started again.
TEST(WorkerRestarts, ARunOfAnEarlierLifeIsLostWithIt) {
  RestartScene Given(2);
  const JobId Id = Given.submit(tasks(1, 1000, 60s));
  ASSERT_TRUE(Given.advanceUntilRuns(Id));
  Given.advance(2s);
  const std::string On = Given.workerOf(Id);
  Given.restart(On);
  Given.listWorker(On, Given.Ports.at(On));
  Given.advance(1s);
  EXPECT_EQ(Given.startsOf(Id), 2u);
  ASSERT_EQ(Given.LostRuns.size(), 1u);
  EXPECT_EQ(Given.LostRuns[0].Cause, WorkerEnd::Replaced);
}

// Guards against a run that waits for ever for the report of a worker that has restarted behind a
// cut, and against one that is started elsewhere while the new life may still hold it.
TEST(WorkerRestarts, ARunIsLostOnceTheLongestLeaseOfASilentLifeIsOver) {
  RestartScene Given(2);
  const JobId Id = Given.submit(tasks(1, 1000, 60s));
  ASSERT_TRUE(Given.advanceUntilRuns(Id));
  const std::string On = Given.workerOf(Id);
  Given.Cell.Workers.at(On).LeaseEnd = Given.Now;
  Given.restart(On);
  Given.Silent.insert(On);
  Given.listWorker(On, Given.Ports.at(On));
  Given.advance(Given.Cell.Limits.WorkerLease);
  EXPECT_EQ(Given.startsOf(Id), 1u) << "the new life may have been granted the longest lease";
  Given.advance(1s);
  EXPECT_EQ(Given.startsOf(Id), 2u);
}

// A start order that was on its way while the worker restarted may have been carried out by either
// life. The run that the new life holds is kept.
TEST(WorkerRestarts, ARunThatTheNewLifeCarriedOutIsKept) {
  RestartScene Given(2);
  Given.ReportsUnasked = false;
  const JobId Id = Given.submit(tasks(1, 1000, 60s));
  for (const char *Worker : {"w0", "w1"})
    Given.restart(Worker);
  Given.advance(100ms);
  const std::string On = Given.workerOf(Id);
  ASSERT_FALSE(On.empty());
  Given.ReportsUnasked = true;
  Given.advance(5s);
  EXPECT_EQ(Given.startsOf(Id), 1u);
  EXPECT_EQ(Given.workerOf(Id), On);
  EXPECT_TRUE(Given.LostRuns.empty());
}

// Guards against a report of an earlier life that arrives late and brings its runs back.
TEST(WorkerRestarts, ALateReportOfAnEarlierLifeIsIgnored) {
  RestartScene Given(2);
  const JobId Id = Given.submit(tasks(1, 1000, 60s));
  ASSERT_TRUE(Given.advanceUntilRuns(Id));
  Given.advance(2s);
  const std::string On = Given.workerOf(Id);
  const WorkerReport Old = Given.reportOf(On);
  const TimePoint AskedAt = Given.Now;
  Given.restart(On);
  Given.advance(500ms);
  ASSERT_EQ(Given.startsOf(Id), 2u);
  Effects Out;
  workerReported(Given.Cell, On, Old, AskedAt, Given.Now, Out);
  EXPECT_TRUE(Out.Stops.empty());
  Given.apply(Out);
  Given.advance(500ms);
  EXPECT_EQ(Given.startsOf(Id), 2u);
}

// Guards against a task that crashes worker after worker without being given up, because a worker
// that answers again under its id is taken for one that was only cut off.
TEST(WorkerRestarts, ATaskThatCrashesWorkersWhichKeepTheirIdsIsGivenUp) {
  RestartScene Given(12);
  const JobId Id = Given.submit(tasks(1, 4000, 600ms));
  int Crashes = 0;
  for (; Crashes < 12 && Given.advanceUntilRuns(Id); ++Crashes) {
    Given.advance(10ms);
    const std::string On = Given.workerOf(Id);
    Given.fallSilent(On);
    Given.advance(1s);
    Given.restart(On);
    Given.Silent.erase(On);
    Given.advance(500ms);
  }
  EXPECT_EQ(Crashes, 3);
  EXPECT_EQ(publicJobState(Given.Cell, Id), "failed");
}

// The same across takeovers: the crash that an earlier scheduler saw is confirmed by the new life,
// and not taken back because the id answers.
TEST(WorkerRestarts, ACrashSeenByAnEarlierSchedulerIsNotTakenBackByANewLife) {
  RestartScene Given(4);
  const JobId Id = Given.submit(tasks(1, 4000, 600ms));
  ASSERT_TRUE(Given.advanceUntilRuns(Id));
  Given.advance(10ms);
  const std::string On = Given.workerOf(Id);
  Given.fallSilent(On);
  Given.advance(100ms);
  ASSERT_EQ(Given.taskOf(Id).StartupCrashes, 1u);
  Given.takeOver();
  Given.restart(On);
  Given.Silent.erase(On);
  Given.advance(500ms);
  EXPECT_EQ(Given.taskOf(Id).StartupCrashes, 1u);
  EXPECT_EQ(Given.taskOf(Id).SuspectWorkers.size(), 0u) << "the crash is certain";
}

// The same if the worker has restarted before the later scheduler reads the list, so that this one
// never knew the life that crashed.
TEST(WorkerRestarts, ACrashIsConfirmedByASchedulerThatNeverKnewThatLife) {
  RestartScene Given(4);
  const JobId Id = Given.submit(tasks(1, 4000, 600ms));
  ASSERT_TRUE(Given.advanceUntilRuns(Id));
  Given.advance(10ms);
  const std::string On = Given.workerOf(Id);
  Given.fallSilent(On);
  Given.advance(100ms);
  ASSERT_EQ(Given.taskOf(Id).WitnessedSuspects.size(), 1u);
  Given.restart(On);
  Given.Silent.erase(On);
  Given.takeOver();
  Given.advance(500ms);
  EXPECT_EQ(Given.taskOf(Id).StartupCrashes, 1u);
  EXPECT_EQ(Given.taskOf(Id).SuspectWorkers.size(), 0u) << "the crash is certain";
}

// Guards against an entry of an earlier life that is read late and takes the new one's place.
TEST(WorkerRestarts, ALateEntryOfAnEarlierLifeIsIgnored) {
  RestartScene Given(1);
  const WorkerInfo Old = Given.Cell.Workers.at("w0").Info;
  Given.restart("w0");
  Given.advance(500ms);
  const JobId Id = Given.submit(tasks(1, 1000, 60s));
  ASSERT_TRUE(Given.advanceUntilRuns(Id));
  const uint32_t Slot = Given.Cell.Workers.at("w0").Slot;
  EXPECT_EQ(workerListed(Given.Cell, Old, Given.Now), LifeOrder::Older);
  Given.advance(500ms);
  EXPECT_EQ(Given.startsOf(Id), 1u);
  EXPECT_EQ(Given.workerOf(Id), "w0");
  EXPECT_EQ(Given.Cell.Workers.at("w0").Slot, Slot) << "it was taken for another life";
}

// A worker that fell silent and is heard again is alive, but not if it answers in a new life.
TEST(WorkerRestarts, ADoubtAboutAnEarlierLifeIsNotTakenBackByTheNext) {
  RestartScene Given(2);
  Given.ReportedPercent = 0;
  const JobId Id = Given.submit(tasks(1, 4000, 10ms)); // too short for a certain crash
  ASSERT_TRUE(Given.advanceUntilRuns(Id));
  Given.advance(400ms);
  const std::string On = Given.workerOf(Id);
  ASSERT_FALSE(On.empty());
  Given.fallSilent(On);
  Given.advance(100ms);
  ASSERT_EQ(Given.taskOf(Id).StartupCrashes, 1u);
  Given.restart(On);
  Given.Silent.erase(On);
  Given.advance(100ms);
  Given.report(On);
  EXPECT_EQ(Given.taskOf(Id).StartupCrashes, 1u);
}

// Tickets and advice hold for one life of a worker.
TEST(WorkerRestarts, TicketsOfAnEarlierLifeAreNotUsed) {
  RestartScene Given(1);
  const JobId Id = Given.submit(tasks(1, 1000, 60s));
  Given.advance(50ms);
  StepState &Step = Given.Cell.Jobs.at(Id).Rounds.at(0).Steps[0];
  adviceAnswered(Given.Cell, Step.Key, {"w0"}, {{"w0", "ticket"}}, 10s, Given.Now);
  ASSERT_NE(findPermit(std::as_const(Step), Given.Cell.Workers.at("w0")), nullptr);
  Given.restart("w0");
  Given.listWorker("w0", 9000);
  EXPECT_EQ(findPermit(std::as_const(Step), Given.Cell.Workers.at("w0")), nullptr);
  EXPECT_FALSE(hasAdviceOn(Step, Given.Cell.Workers.at("w0")));
}

// Brings w0 to where one of its ends is saved and not acknowledged.
void completeUnacknowledged(RestartScene &Given) {
  const JobId Id = Given.submit(tasks(1, 1000, 600ms));
  ASSERT_TRUE(Given.advanceUntilRuns(Id));
  Given.ReportsUnasked = false;
  Given.completeRuns("w0");
  Given.report("w0");
  Given.advance(50ms);
  ASSERT_EQ(publicJobState(Given.Cell, Id), "completed");
}

// Guards against an end that a worker forgets before anybody has read it. An acknowledgement gets
// no answer, the worker starts again under its id, and a start is ordered before the scheduler
// learns of it; the new life ends that run, as number 1, and then carries the acknowledgement of
// the earlier life out. The task was started again, or lost.
TEST(WorkerRestarts, ALateAcknowledgementIsRefusedByALifeThatHasRuns) {
  RestartScene Given(1);
  completeUnacknowledged(Given);
  Worker &Known = Given.Cell.Workers.at("w0");
  const uint64_t LateToken = fencingToken(Given.Cell, Known);
  const uint64_t Acknowledged = beginAcknowledgement(Known);
  ASSERT_EQ(Acknowledged, 1u);

  standins::WorkerModel NewLife;
  const RunKey Run{{{7, 0, 0}, 0}, 1};
  const uint64_t StartToken = raiseTokenForStart(Given.Cell, Known);
  ASSERT_EQ(NewLife.start({Run, StartToken, 3000ms, ""}), StartResult::Started);
  NewLife.advance(200ms);
  ASSERT_EQ(NewLife.Ended.size(), 1u);
  EXPECT_FALSE(NewLife.hold(LateToken, Acknowledged, {})) << "it was carried out";
  EXPECT_EQ(NewLife.Ended.size(), 1u);
  EXPECT_EQ(raiseTokenForStart(Given.Cell, Known), StartToken) << "nothing is open any more";
}

// An answered acknowledgement is not carried out again, so that tokens don't rise with each end.
TEST(WorkerRestarts, AnAnsweredAcknowledgementDoesNotRaiseTheToken) {
  RestartScene Given(1);
  completeUnacknowledged(Given);
  const uint64_t Before = fencingToken(Given.Cell, Given.Cell.Workers.at("w0"));
  Given.report("w0");
  EXPECT_EQ(raiseTokenForStart(Given.Cell, Given.Cell.Workers.at("w0")), Before);
  EXPECT_EQ(beginAcknowledgement(Given.Cell.Workers.at("w0")), 0u);
}

// Guards against ends that a worker is never told to forget: the new life answers a call that was
// sent to the earlier one and acknowledged more ends than the new life has. Once the list of ends
// is full, the worker lists no others, and their tasks never end.
TEST(WorkerRestarts, AnAcknowledgementOfAnEarlierLifeDoesNotCountForTheNext) {
  RestartScene Given(1);
  completeUnacknowledged(Given);
  Worker &Known = Given.Cell.Workers.at("w0");
  const uint64_t Token = fencingToken(Given.Cell, Known);
  const uint64_t Acknowledged = beginAcknowledgement(Known);
  ASSERT_GT(Acknowledged, 0u);
  Given.restart("w0");
  Given.report("w0"); // shows the new life
  Given.report("w0");
  ASSERT_EQ(compareToken(Given.Cell, "w0", Token), TokenState::OtherLife);
  endsForgotten(Given.Cell, "w0", Token, Acknowledged);
  EXPECT_EQ(Given.Cell.Workers.at("w0").ForgottenThrough, 0u);
}

// Calls that were sent before the token rose are still answered, or refused if a later one came
// first; that is no sign of a newer scheduler. Those of an earlier life are told apart.
TEST(WorkerRestarts, ARaisedTokenKeepsAnswersToEarlierCalls) {
  RestartScene Given(1);
  completeUnacknowledged(Given);
  const uint64_t First = fencingToken(Given.Cell, Given.Cell.Workers.at("w0"));
  beginAcknowledgement(Given.Cell.Workers.at("w0"));
  const uint64_t Raised = raiseTokenForStart(Given.Cell, Given.Cell.Workers.at("w0"));
  EXPECT_GT(Raised, First);
  EXPECT_EQ(compareToken(Given.Cell, "w0", First), TokenState::Superseded);
  EXPECT_EQ(compareToken(Given.Cell, "w0", Raised), TokenState::Current);
  EXPECT_EQ(resultOfStart(StartResult::RefusedFence, TokenState::Superseded),
            StartResult::RefusedStaleRun);
  EXPECT_EQ(resultOfStart(StartResult::Started, TokenState::Superseded), StartResult::Started);
  EXPECT_EQ(resultOfStart(StartResult::RefusedFence, TokenState::Current),
            StartResult::RefusedFence);

  Given.restart("w0");
  Given.report("w0");
  EXPECT_EQ(compareToken(Given.Cell, "w0", Raised), TokenState::OtherLife);
  EXPECT_GT(fencingToken(Given.Cell, Given.Cell.Workers.at("w0")), Raised);
}

// A worker that is removed and listed again may be the same life, which has seen the raised token.
TEST(WorkerRestarts, AWorkerThatIsListedAgainHasAHigherToken) {
  RestartScene Given(1);
  completeUnacknowledged(Given);
  beginAcknowledgement(Given.Cell.Workers.at("w0"));
  const uint64_t Raised = raiseTokenForStart(Given.Cell, Given.Cell.Workers.at("w0"));
  Effects Out;
  workerEnded(Given.Cell, "w0", Given.Now, Out, WorkerEnd::Unlisted);
  Given.listWorker("w0", 9000);
  EXPECT_GT(fencingToken(Given.Cell, Given.Cell.Workers.at("w0")), Raised);
}

// An order's answer states no start of a life, so only the clock can show that a new life has
// carried it out: it is either behind where the known one must be by now, or too far ahead.
TEST(WorkerRestarts, AnAnswerWithAnotherClockIsOfANewLife) {
  for (const Milliseconds Clock : {2000ms, 900000ms}) {
    RestartScene Given(1);
    const TimePoint AskedAt = Given.Now;
    Effects Out;
    const WorkerReport Report{Given.Born["w0"], 1000ms, {}, {}};
    ASSERT_EQ(workerReported(Given.Cell, "w0", Report, AskedAt, AskedAt + 10ms, Out),
              LifeOrder::Same);
    const TimePoint Later = AskedAt + 5s;
    EXPECT_EQ(orderAnswered(Given.Cell, "w0", 5995ms, Later, Later + 10ms, Out), LifeOrder::Same);
    EXPECT_EQ(orderAnswered(Given.Cell, "w0", Clock, Later, Later + 10ms, Out), LifeOrder::Newer);
    EXPECT_EQ(Out.ReportRequests, std::vector<std::string>{"w0"});
  }
}

} // namespace
} // namespace valveshelf::sched
