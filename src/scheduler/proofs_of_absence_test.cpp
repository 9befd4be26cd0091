// SPDX-License-Identifier: Apache-2.0
// What frees the room of a run without its end: each test has the events in the order in which the
// run is there after all. Guards against TWICE, a task that runs again, and LIMIT, a worker that is
// given more than it has room for.
#include "replay/placement_scene.h"
#include "standins/worker_model.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace valveshelf::sched {
namespace {
using namespace std::chrono_literals;

constexpr StartResult Refusals[] = {
    StartResult::RefusedStaleRun, StartResult::RefusedExpired,   StartResult::RefusedNoCapacity,
    StartResult::RefusedTicket,   StartResult::RefusedUnhealthy, StartResult::RefusedMalformed,
    StartResult::NotSent};
constexpr Milliseconds LeaseTime{6000};
constexpr WallTime Born{1000s}; ///< Of the first life of each worker.
// Of a job that this scheduler does not know.
constexpr RunKey UnknownRun{{{900, 0, 0}, 0}, 1};

// A task that fills half of a worker, and whose only start order is on its way to one of two.
class OrderedTask : public PlacementScene {
public:
  OrderedTask() : PlacementScene(2) {
    for (const char *Id : {"w0", "w1"}) {
      listLife(Id, Born);
      Effects Out;
      workerReported(Cell, Id, reportOf(Id), Now, Now, Out);
      workerLeased(Cell, Id, Now + LeaseTime);
    }
    Job = submit(1, tasks(1, WorkerSize.MilliCores / 2, 1000ms), 4);
    Effects Out = placed();
    EXPECT_EQ(Out.Starts.size(), 1u);
    Order = Out.Starts.front();
  }

  void listLife(const std::string &Id, WallTime Start) {
    WorkerInfo Info;
    Info.Id = Id;
    Info.Service = "pool";
    Info.Capacity = WorkerSize;
    Info.Born = Lives[Id] = Start;
    workerListed(Cell, Info, Now);
    Cell.Workers.at(Id).IsRecorded = Cell.Workers.at(Id).IsSelected = true;
  }

  // The worker starts again under its id, which the list shows.
  void restart() { listLife(Order.Worker, Lives.at(Order.Worker) + 1s); }

  // All saves are durable, so that none holds back a task.
  Effects placed() {
    Effects Out;
    Now += 1ms;
    jobSaved(Cell, Job, Cell.LastSave, 1, 1, WallTime(1000s));
    place(Cell, Now, Out);
    return Out;
  }

  Effects ticked(Milliseconds Elapsed) {
    Effects Out;
    Now += Elapsed;
    tick(Cell, Now, WallTime(1000s), Out);
    return Out;
  }

  Effects answer(StartResult Result) {
    Effects Out;
    Now += 1ms;
    startAnswered(Cell, Order.Worker, Order.Run, Result, Now, Out);
    return Out;
  }

  Effects withhold() {
    Effects Out;
    startWithheld(Cell, Order.Worker, Order.Run, Now, Out);
    return Out;
  }

  void stop(bool IsConfirmed) {
    Effects Out;
    Now += 1ms;
    stopAttempt(Cell, Cell.Workers.at(Order.Worker), Order.Run, "a test", Now, Out);
    if (IsConfirmed)
      stopAnswered(Cell, Order.Worker, Order.Run, true, Now, Out);
  }

  WorkerReport reportOf(const std::string &Id) const {
    WorkerReport Report;
    Report.Born = Lives.at(Id);
    return Report;
  }

  // A report of the worker, requested now unless \p AskedAt is given.
  Effects report(std::vector<ActiveRun> Active, std::vector<EndedRun> Ended,
                 std::optional<TimePoint> AskedAt = {}, bool HasMoreEnds = false) {
    WorkerReport Report = reportOf(Order.Worker);
    Report.Active = std::move(Active);
    Report.Ended = std::move(Ended);
    Report.HasMoreEnds = HasMoreEnds;
    Effects Out;
    Now += 1ms;
    workerReported(Cell, Order.Worker, Report, AskedAt.value_or(Now), Now, Out);
    return Out;
  }

  Effects reportRunning() { return report({{Order.Run, "", 10}}, {}); }

  // The worker, or an earlier life of it, that holds the attempt; null: it was freed.
  const Worker *holder() const {
    for (const auto &[Id, On] : Cell.Workers)
      if (On.Attempts.count(Order.Run))
        return &On;
    return nullptr;
  }
  bool isBooked() const { return holder() != nullptr; }
  AttemptPhase phase() const { return holder()->Attempts.at(Order.Run).Phase; }

  // The run is booked, nothing tells that it was freed, and its task is not placed again.
  void expectKept(const Effects &Out, std::string_view What) {
    EXPECT_TRUE(Out.UnbookedRuns.empty()) << What;
    const Worker *On = holder();
    EXPECT_EQ(On ? On->Booked.MilliCores : 0, WorkerSize.MilliCores / 2) << What;
    EXPECT_TRUE(placed().Starts.empty()) << What;
  }

  // The worker lists the run's end, and the task is not placed again.
  void expectDone(std::string_view What) {
    const Effects Out = report({}, {{1, Order.Run, RunOutcome::Done, ""}});
    EXPECT_TRUE(Out.ContradictedRuns.empty()) << What;
    EXPECT_FALSE(isBooked()) << What;
    EXPECT_TRUE(placed().Starts.empty()) << What;
  }

  JobId Job = 0;
  Effects::Start Order;
  std::map<std::string, WallTime> Lives;
};

// Answers to start orders.

TEST(ProofsOfAbsence, ARefusalOfAnOrderThatWasSentTwiceFreesNothing) {
  // The client sends none of the two orders again, the first, or the second.
  for (const int Repeated : {0, 1, 2})
    for (const StartResult Refusal : Refusals) {
      const std::string What = std::string(toString(Refusal)) + ", " + std::to_string(Repeated);
      OrderedTask Given;
      if (Repeated == 1)
        startRepeated(Given.Cell, Given.Order.Worker, Given.Order.Run);
      EXPECT_EQ(Given.answer(StartResult::Unknown).Starts.size(), 1u) << What;
      if (Repeated == 2)
        startRepeated(Given.Cell, Given.Order.Worker, Given.Order.Run);
      const Effects Out = Given.answer(Refusal);
      EXPECT_TRUE(Out.Starts.empty()) << What;
      EXPECT_EQ(Out.Stops.size(), 1u) << What;
      Given.expectKept(Out, What);
      Given.expectDone(What);
    }
}

// A report has shown the run before the refusal is read: of the order that was sent again, or of
// one that another answer has overtaken.
TEST(ProofsOfAbsence, ARefusalAfterAReportThatNamesTheRunFreesNothing) {
  for (const bool IsSentAgain : {false, true})
    for (const StartResult Refusal : Refusals) {
      OrderedTask Given;
      if (IsSentAgain)
        Given.answer(StartResult::Unknown);
      Given.reportRunning();
      const Effects Out = Given.answer(Refusal);
      EXPECT_TRUE(Out.Stops.empty()) << toString(Refusal);
      Given.expectKept(Out, toString(Refusal));
      Given.expectDone(toString(Refusal));
    }
}

TEST(ProofsOfAbsence, ARefusalDuringAStopFreesNothing) {
  for (const bool IsByClient : {false, true})
    for (const StartResult Refusal : Refusals) {
      OrderedTask Given;
      if (IsByClient)
        startRepeated(Given.Cell, Given.Order.Worker, Given.Order.Run);
      else
        Given.answer(StartResult::Unknown);
      Given.stop(true);
      const Effects Out = Given.answer(Refusal);
      EXPECT_TRUE(Out.Starts.empty()) << toString(Refusal);
      Given.expectKept(Out, toString(Refusal));
      ASSERT_TRUE(Given.isBooked()) << toString(Refusal);
      EXPECT_EQ(Given.phase(), AttemptPhase::Stopping) << toString(Refusal);
      Given.expectDone(toString(Refusal));
    }
}

// Guards against a crash that is not counted: the first order was carried out and had no answer.
TEST(ProofsOfAbsence, AnOrderSentTwiceThatMetAnotherInstanceIsLostWithTheWorker) {
  OrderedTask Given;
  Given.answer(StartResult::Unknown);
  const Effects Out = Given.answer(StartResult::OtherIncarnation);
  ASSERT_EQ(Out.LostRuns.size(), 1u);
  EXPECT_EQ(Out.LostRuns[0].Run, Given.Order.Run);
}

// The other member may be there: it keeps its room, and the gang is not started again, until its
// end is listed.
TEST(ProofsOfAbsence, ARefusedMemberOfAGangFreesOnlyItsOwnRoom) {
  for (const StartResult Refusal : Refusals) {
    PlacementScene Given(2);
    StepSpec Gang = tasks(2, WorkerSize.MilliCores * 2 / 3, 1000ms); // one on each worker
    Gang.Gang = true;
    Given.submit(1, Gang, 4);
    Effects Out;
    Given.Now += 1ms;
    place(Given.Cell, Given.Now, Out);
    ASSERT_EQ(Out.Starts.size(), 2u);
    const Effects::Start Refused = Out.Starts[0];
    const Effects::Start Other = Out.Starts[1];
    ASSERT_NE(Refused.Worker, Other.Worker);
    Out = {};
    startAnswered(Given.Cell, Refused.Worker, Refused.Run, Refusal, Given.Now, Out);
    ASSERT_EQ(Out.UnbookedRuns.size(), 1u) << toString(Refusal);
    EXPECT_EQ(Out.UnbookedRuns[0].Run, Refused.Run) << toString(Refusal);
    ASSERT_EQ(Out.Stops.size(), 1u) << toString(Refusal);
    EXPECT_EQ(Out.Stops[0].Run, Other.Run) << toString(Refusal);
    const Worker &Holds = Given.Cell.Workers.at(Other.Worker);
    EXPECT_EQ(Holds.Attempts.count(Other.Run), 1u) << toString(Refusal);
    startAnswered(Given.Cell, Other.Worker, Other.Run, StartResult::Started, Given.Now, Out);
    stopAnswered(Given.Cell, Other.Worker, Other.Run, true, Given.Now, Out);
    EXPECT_EQ(Holds.Attempts.count(Other.Run), 1u) << toString(Refusal);
    EXPECT_TRUE(Given.pass(3s).Starts.empty()) << toString(Refusal);
  }
}

// Orders that are not sent.

TEST(ProofsOfAbsence, AWithheldOrderFreesNothingOnceTheRunIsKnownToBeThere) {
  OrderedTask Given;
  Given.reportRunning();
  Given.expectKept(Given.withhold(), "withheld");
  Given.expectDone("withheld");
}

TEST(ProofsOfAbsence, AWithheldOrderFreesNothingDuringAStop) {
  OrderedTask Given;
  Given.answer(StartResult::Unknown);
  Given.stop(false);
  Given.expectKept(Given.withhold(), "withheld");
  Given.expectDone("withheld");
}

// The first order may have been carried out by either life.
TEST(ProofsOfAbsence, AWithheldOrderOfAnEarlierLifeFreesNothing) {
  OrderedTask Given;
  Given.answer(StartResult::Unknown);
  Given.restart();
  Given.expectKept(Given.withhold(), "withheld");
  ASSERT_TRUE(Given.isBooked());
  EXPECT_TRUE(Given.holder()->IsEarlierLife);
  Given.reportRunning();
  ASSERT_TRUE(Given.isBooked());
  EXPECT_FALSE(Given.holder()->IsEarlierLife);
  Given.expectDone("withheld");
}

TEST(ProofsOfAbsence, AWithheldRepeatFreesNothing) {
  OrderedTask Given;
  Given.answer(StartResult::Unknown);
  const Effects Out = Given.withhold();
  EXPECT_EQ(Out.Stops.size(), 1u);
  Given.expectKept(Out, "withheld");
  Given.expectDone("withheld");
}

// No order exists while an attempt is planned; none must follow from it later.
TEST(ProofsOfAbsence, AnAttemptThatWaitsForItsTicketIsNotOrderedAfterAStopOrANewLife) {
  for (const bool IsStop : {false, true}) {
    OrderedTask Given;
    const std::string &On = Given.Order.Worker;
    const StepKey Key{Given.submit(1, tasks(1, 1000, 1000ms), 4, true), 0, 0};
    Given.placed();
    adviceAnswered(Given.Cell, Key, {On}, {{On, "ticket"}}, 1ms, Given.Now);
    EXPECT_TRUE(Given.placed().Starts.empty());
    Given.reportRunning();
    const Attempt *Planned = attemptOf(*findStep(Given.Cell, Key), 0);
    ASSERT_NE(Planned, nullptr);
    ASSERT_EQ(Planned->Phase, AttemptPhase::Planned);
    Effects Out;
    if (IsStop)
      cancelJob(Given.Cell, Key.Job, Given.Now, Out);
    else
      Given.restart();
    EXPECT_TRUE(Out.Stops.empty());
    EXPECT_TRUE(Out.UnbookedRuns.empty());
    adviceAnswered(Given.Cell, Key, {On}, {{On, "ticket"}}, 10s, Given.Now);
    EXPECT_TRUE(Given.placed().Starts.empty());
    EXPECT_EQ(attemptOf(*findStep(Given.Cell, Key), 0), nullptr);
  }
}

// Stops and reports.

TEST(ProofsOfAbsence, AConfirmedStopFreesNothing) {
  OrderedTask Given;
  Given.answer(StartResult::Started);
  Given.stop(true);
  Given.expectKept(Given.ticked(3s), "stopped");
  Given.expectDone("stopped");
}

// The report left the worker before the stop arrived there, and the start may come in between.
TEST(ProofsOfAbsence, AReportRequestedBeforeTheStopWasConfirmedFreesNothing) {
  OrderedTask Given;
  const TimePoint AskedAt = Given.Now;
  Given.answer(StartResult::Unknown);
  Given.stop(true);
  Given.expectKept(Given.report({}, {}, AskedAt), "report");
  Given.expectDone("report");
}

TEST(ProofsOfAbsence, AReportWithoutTheRunFreesOnlyAStoppedOne) {
  for (const AttemptPhase Phase : {AttemptPhase::Starting, AttemptPhase::Uncertain,
                                   AttemptPhase::Running, AttemptPhase::Stopping}) {
    const std::string What = std::to_string(static_cast<int>(Phase));
    OrderedTask Given;
    if (Phase == AttemptPhase::Uncertain)
      Given.answer(StartResult::Unknown);
    if (Phase == AttemptPhase::Running)
      Given.answer(StartResult::Started);
    if (Phase == AttemptPhase::Stopping)
      Given.stop(false);
    ASSERT_EQ(Given.phase(), Phase) << What;
    Given.expectKept(Given.report({}, {}), What);
    Given.expectDone(What);
  }
}

// The order waits for a connection, or is held up on its way, until the stop has been confirmed and
// the run was freed.
TEST(ProofsOfAbsence, AnOrderThatItsStopOvertakesIsNotCarriedOut) {
  for (const bool ArrivesBeforeTheReport : {false, true}) {
    OrderedTask Given;
    standins::WorkerModel Model;
    const Worker &On = Given.Cell.Workers.at(Given.Order.Worker);
    const standins::StartOrderSeen Late{Given.Order.Run, fencingToken(Given.Cell, On), LeaseTime};
    Given.stop(false);
    ASSERT_TRUE(Model.stop(Given.Order.Run, fencingToken(Given.Cell, On)));
    Effects Out;
    stopAnswered(Given.Cell, Given.Order.Worker, Given.Order.Run, true, Given.Now, Out);
    if (ArrivesBeforeTheReport) {
      EXPECT_EQ(Model.start(Late), StartResult::RefusedStaleRun);
    }
    const auto Seen = Model.hold(fencingToken(Given.Cell, On), 0, {});
    ASSERT_TRUE(Seen);
    Out = Given.report(Seen->Active, Seen->Ended);
    ASSERT_EQ(Out.UnbookedRuns.size(), 1u);
    EXPECT_EQ(Out.UnbookedRuns[0].Why, "not-listed");
    const Effects Again = Given.placed();
    ASSERT_EQ(Again.Starts.size(), 1u);
    EXPECT_EQ(Model.start(Late), StartResult::RefusedStaleRun);
    EXPECT_TRUE(Model.Runs.empty());
    EXPECT_TRUE(Given.answer(StartResult::RefusedStaleRun).UnbookedRuns.empty());
    EXPECT_EQ(Given.Cell.Workers.at(Again.Starts[0].Worker).Attempts.count(Again.Starts[0].Run),
              1u);
  }
}

// Leases and the list.

TEST(ProofsOfAbsence, AnUnlistedWorkerKeepsItsRunsWhileItsLeaseMayLast) {
  OrderedTask Given;
  Given.answer(StartResult::Started);
  workerUnlisted(Given.Cell, Given.Order.Worker, Given.Now);
  workerSilent(Given.Cell, Given.Order.Worker, Given.Now);
  Given.expectKept(Given.ticked(LeaseTime - 100ms), "unlisted");
  // It answers once more, and its lease is renewed.
  Given.reportRunning();
  workerLeased(Given.Cell, Given.Order.Worker, Given.Now + LeaseTime);
  workerSilent(Given.Cell, Given.Order.Worker, Given.Now);
  Given.expectKept(Given.ticked(LeaseTime - 100ms), "renewed");
  const Effects Out = Given.ticked(200ms);
  ASSERT_EQ(Out.LostRuns.size(), 1u);
  EXPECT_EQ(Out.LostRuns[0].Cause, WorkerEnd::Unlisted);
}

TEST(ProofsOfAbsence, AnOrderWithoutAnAnswerRenewsTheLease) {
  OrderedTask Given;
  Given.ticked(LeaseTime - 100ms);
  workerLeased(Given.Cell, Given.Order.Worker, Given.Now + LeaseTime); // as the order is sent
  workerLeased(Given.Cell, Given.Order.Worker, Given.Now);             // a shorter one
  workerSilent(Given.Cell, Given.Order.Worker, Given.Now);
  Given.expectKept(Given.ticked(LeaseTime - 100ms), "leased");
  const Effects Out = Given.ticked(200ms);
  ASSERT_EQ(Out.LostRuns.size(), 1u);
  EXPECT_EQ(Out.LostRuns[0].Cause, WorkerEnd::LeaseExpired);
}

// A newer scheduler may have renewed the lease.
TEST(ProofsOfAbsence, ALeaseIsNotOverBeforeLeadershipIsConfirmed) {
  for (const bool IsListed : {true, false}) {
    OrderedTask Given;
    Given.answer(StartResult::Started);
    if (!IsListed)
      workerUnlisted(Given.Cell, Given.Order.Worker, Given.Now);
    workerSilent(Given.Cell, Given.Order.Worker, Given.Now);
    Given.Cell.ConfirmedAt = Given.Now + LeaseTime - 100ms;
    Given.expectKept(Given.ticked(LeaseTime + 1s), IsListed ? "listed" : "unlisted");
    Given.Cell.ConfirmedAt = Given.Now;
    EXPECT_EQ(Given.ticked(1ms).LostRuns.size(), 1u);
  }
}

// A lost run is one line of the log and is counted once.
TEST(ProofsOfAbsence, ALostRunIsToldOnce) {
  OrderedTask Given;
  Given.answer(StartResult::Started);
  Effects Out;
  workerEnded(Given.Cell, Given.Order.Worker, Given.Now, Out);
  EXPECT_EQ(Out.LostRuns.size(), 1u);
  EXPECT_EQ(Out.UnbookedRuns.size(), 1u);
}

// Lives of a worker.

// The report may have left the new life before the order arrived there.
TEST(ProofsOfAbsence, AReportRequestedBeforeTheNewLifeWasKnownEndsNoRun) {
  OrderedTask Given;
  const TimePoint AskedAt = Given.Now;
  Given.Now += 1ms;
  Given.restart();
  Given.expectKept(Given.report({}, {}, AskedAt), "report");
  Given.reportRunning();
  ASSERT_TRUE(Given.isBooked());
  EXPECT_FALSE(Given.holder()->IsEarlierLife);
  Given.expectDone("report");
}

TEST(ProofsOfAbsence, AFullListOfEndsOfANewLifeEndsNoRun) {
  OrderedTask Given;
  Given.restart();
  Given.expectKept(Given.report({}, {{1, UnknownRun, RunOutcome::Done, ""}}, {}, true), "full");
  const Effects Out = Given.report({}, {{2, Given.Order.Run, RunOutcome::Done, ""}});
  EXPECT_TRUE(Out.UnbookedRuns.empty());
  EXPECT_TRUE(Out.LostRuns.empty());
  EXPECT_TRUE(Given.placed().Starts.empty());
}

// The new life has carried out the order. It answers, and has its lease renewed, for longer than
// the longest lease of the earlier one.
void expectKeptByNewLife(bool IsListFull) {
  OrderedTask Given;
  Given.Cell.PredecessorMayStart = !IsListFull;
  Given.restart();
  const std::vector<ActiveRun> Active{{Given.Order.Run, "", 10}};
  const std::vector<EndedRun> Ended{{1, UnknownRun, RunOutcome::Done, ""}};
  for (int I = 0; I < 100 && !testing::Test::HasFailure(); ++I) {
    Given.report(IsListFull ? std::vector<ActiveRun>() : Active, Ended, {}, IsListFull);
    workerLeased(Given.Cell, Given.Order.Worker, Given.Now + LeaseTime);
    Given.expectKept(Given.ticked(100ms), std::to_string(I));
  }
  predecessorEnded(Given.Cell);
  const Effects Out = Given.report({}, {Ended[0], {2, Given.Order.Run, RunOutcome::Done, ""}});
  EXPECT_TRUE(Out.ContradictedRuns.empty());
  EXPECT_FALSE(Given.isBooked());
  EXPECT_TRUE(Given.placed().Starts.empty());
}

// Its reports are not used while they name a job that is not known.
TEST(ProofsOfAbsence, ARunIsNotLostWhileTheNewLifeNamesUnknownJobs) { expectKeptByNewLife(false); }

// The end of the run is not among those that it lists.
TEST(ProofsOfAbsence, ARunIsNotLostWhileTheListOfTheNewLifeIsFull) { expectKeptByNewLife(true); }

// Takeovers and saved jobs.

// The order was sent by the scheduler before, under its highest token.
TEST(ProofsOfAbsence, AnOrderOfAnEarlierTermIsNotCarriedOutAfterTheReport) {
  OrderedTask Before;
  Worker &Known = Before.Cell.Workers.at(Before.Order.Worker);
  Known.Token = (uint32_t(1) << 24) - 2;
  for (int I = 0; I < 3; ++I) {
    Known.OpenAcknowledgements = 1;
    raiseTokenForStart(Before.Cell, Known);
  }
  const standins::StartOrderSeen Late{Before.Order.Run, fencingToken(Before.Cell, Known),
                                      LeaseTime};
  PlacementScene Given(0);
  Given.Cell.Fence = Before.Cell.Fence + 1;
  Given.addWorker(Before.Order.Worker);
  standins::WorkerModel Model;
  ASSERT_TRUE(
      Model.hold(fencingToken(Given.Cell, Given.Cell.Workers.at(Before.Order.Worker)), 0, {}));
  EXPECT_EQ(Model.start(Late), StartResult::RefusedFence);
  EXPECT_TRUE(Model.Runs.empty());
}

TEST(ProofsOfAbsence, ARunOfAForgottenJobKeepsItsRoom) {
  OrderedTask Given;
  Given.answer(StartResult::Started);
  Effects Out;
  cancelJob(Given.Cell, Given.Job, Given.Now, Out);
  jobSaved(Given.Cell, Given.Job, Given.Cell.LastSave, 2, 2, WallTime(1000s));
  ASSERT_EQ(Given.Cell.Jobs.count(Given.Job), 0u);
  ASSERT_TRUE(Given.isBooked());
  EXPECT_EQ(Given.holder()->Booked.MilliCores, WorkerSize.MilliCores / 2);
  EXPECT_EQ(Given.phase(), AttemptPhase::Stopping);
  Given.report({}, {{1, Given.Order.Run, RunOutcome::Stopped, ""}});
  EXPECT_FALSE(Given.isBooked());
}

} // namespace
} // namespace valveshelf::sched
