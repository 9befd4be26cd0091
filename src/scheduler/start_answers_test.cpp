// SPDX-License-Identifier: Apache-2.0
// What answers to start orders prove: a refusal frees a run's room only if its order was sent once.
#include "replay/placement_scene.h"

#include <gtest/gtest.h>

namespace valveshelf::sched {
namespace {
using namespace std::chrono_literals;

constexpr StartResult Refusals[] = {StartResult::RefusedStaleRun,   StartResult::RefusedExpired,
                                    StartResult::RefusedNoCapacity, StartResult::RefusedTicket,
                                    StartResult::RefusedUnhealthy,  StartResult::RefusedMalformed,
                                    StartResult::OtherIncarnation,  StartResult::NotSent};

// A task whose only start order is on its way to one of two workers.
class OrderedTask : public PlacementScene {
public:
  OrderedTask() : PlacementScene(2) {
    submit(1, tasks(1, 60000, 1000ms), 4);
    Effects Out = placed();
    EXPECT_EQ(Out.Starts.size(), 1u);
    Order = Out.Starts.front();
  }

  Effects placed() {
    Effects Out;
    Now += 1ms;
    place(Cell, Now, Out);
    return Out;
  }

  Effects answer(StartResult Result) {
    Effects Out;
    Now += 1ms;
    startAnswered(Cell, Order.Worker, Order.Run, Result, Now, Out);
    return Out;
  }

  Effects report(std::vector<ActiveRun> Active, std::vector<EndedRun> Ended) {
    Effects Out;
    Now += 1ms;
    WorkerReport Report;
    Report.Active = std::move(Active);
    Report.Ended = std::move(Ended);
    workerReported(Cell, Order.Worker, Report, Now, Now, Out);
    return Out;
  }

  const Attempt *attempt() const {
    const auto On = Cell.Workers.find(Order.Worker);
    if (On == Cell.Workers.end())
      return nullptr;
    const auto Found = On->second.Attempts.find(Order.Run);
    return Found == On->second.Attempts.end() ? nullptr : &Found->second;
  }

  Effects::Start Order;
};

// Guards against TWICE and LIMIT: a start is carried out, its connection is reset, and the order
// that the client sends again is refused.
TEST(StartAnswers, ARefusalOfAnOrderThatTheClientSentAgainFreesNothing) {
  for (const StartResult Refusal : Refusals) {
    if (Refusal == StartResult::OtherIncarnation)
      continue; // the worker has ended, and its runs with it
    OrderedTask Given;
    startRepeated(Given.Cell, Given.Order.Worker, Given.Order.Run);
    const Effects Out = Given.answer(Refusal);
    EXPECT_TRUE(Out.UnbookedRuns.empty()) << toString(Refusal);
    ASSERT_NE(Given.attempt(), nullptr) << toString(Refusal);
    ASSERT_EQ(Out.Starts.size(), 1u) << toString(Refusal);
    EXPECT_EQ(Out.Starts[0].Run, Given.Order.Run) << toString(Refusal);
    EXPECT_EQ(Out.Starts[0].Worker, Given.Order.Worker) << toString(Refusal);
    EXPECT_TRUE(Given.placed().Starts.empty()) << toString(Refusal);
    // The run is there and ends, which the next report shows.
    const Effects After = Given.report({}, {{1, Given.Order.Run, RunOutcome::Done, ""}});
    EXPECT_TRUE(After.ContradictedRuns.empty()) << toString(Refusal);
    EXPECT_EQ(Given.attempt(), nullptr) << toString(Refusal);
    EXPECT_TRUE(Given.placed().Starts.empty()) << toString(Refusal);
  }
}

// The same where a start of another task has raised the token: the order that the client sent again
// is refused by its token, though no newer scheduler is there.
TEST(StartAnswers, ARepeatedOrderThatALaterStartOvertookFreesNothing) {
  OrderedTask Given;
  Worker &On = Given.Cell.Workers.at(Given.Order.Worker);
  const uint64_t Token = raiseTokenForStart(Given.Cell, On);
  On.OpenAcknowledgements = 1;
  ASSERT_GT(raiseTokenForStart(Given.Cell, On), Token);
  startRepeated(Given.Cell, Given.Order.Worker, Given.Order.Run);
  const StartResult Result =
      resultOfStart(StartResult::RefusedFence, compareToken(Given.Cell, Given.Order.Worker, Token));
  const Effects Out = Given.answer(Result);
  EXPECT_FALSE(Out.Deposed);
  EXPECT_TRUE(Out.UnbookedRuns.empty());
  EXPECT_NE(Given.attempt(), nullptr);
  EXPECT_TRUE(Given.placed().Starts.empty());
}

TEST(StartAnswers, ARefusalByANewerSchedulersTokenDeposesAndFreesNothing) {
  for (const bool IsRepeated : {false, true}) {
    OrderedTask Given;
    if (IsRepeated)
      startRepeated(Given.Cell, Given.Order.Worker, Given.Order.Run);
    const uint64_t Token = fencingToken(Given.Cell, Given.Cell.Workers.at(Given.Order.Worker));
    const StartResult Result = resultOfStart(StartResult::RefusedFence,
                                             compareToken(Given.Cell, Given.Order.Worker, Token));
    const Effects Out = Given.answer(Result);
    EXPECT_TRUE(Out.Deposed) << IsRepeated;
    EXPECT_TRUE(Out.UnbookedRuns.empty()) << IsRepeated;
    EXPECT_NE(Given.attempt(), nullptr) << IsRepeated;
  }
}

TEST(StartAnswers, ARefusalOfAnOrderThatWasSentOnceFreesItsRoom) {
  for (const StartResult Refusal : Refusals) {
    OrderedTask Given;
    const Effects Out = Given.answer(Refusal);
    ASSERT_EQ(Out.UnbookedRuns.size(), 1u) << toString(Refusal);
    EXPECT_EQ(Out.UnbookedRuns[0].Why, toString(Refusal));
    EXPECT_EQ(Given.attempt(), nullptr) << toString(Refusal);
  }
}

// Guards against a crash that is not counted: the order was carried out, the worker crashed under
// it, and the order that the client sent again met the next instance.
TEST(StartAnswers, ARepeatedOrderThatMetAnotherInstanceIsLostWithTheWorker) {
  OrderedTask Given;
  startRepeated(Given.Cell, Given.Order.Worker, Given.Order.Run);
  const Effects Out = Given.answer(StartResult::OtherIncarnation);
  ASSERT_EQ(Out.LostRuns.size(), 1u);
  EXPECT_EQ(Out.LostRuns[0].Run, Given.Order.Run);
}

TEST(StartAnswers, ALostRunIsToldOnce) {
  OrderedTask Given;
  Given.answer(StartResult::Started);
  Effects Out;
  workerEnded(Given.Cell, Given.Order.Worker, Given.Now, Out);
  ASSERT_EQ(Out.UnbookedRuns.size(), 1u);
  EXPECT_EQ(Out.UnbookedRuns[0].Why, "replaced");
}

// The report that names a run that was taken for refused is told, once.
TEST(StartAnswers, AReportThatNamesAnUnbookedRunIsTold) {
  OrderedTask Given;
  Given.answer(StartResult::RefusedStaleRun);
  Effects Out = Given.report({{Given.Order.Run, "", 10}}, {});
  ASSERT_EQ(Out.ContradictedRuns.size(), 1u);
  EXPECT_EQ(Out.ContradictedRuns[0].As, "active");
  EXPECT_EQ(Out.ContradictedRuns[0].Why, "refused-stale-run");
  Out = Given.report({{Given.Order.Run, "", 10}}, {});
  EXPECT_TRUE(Out.ContradictedRuns.empty());
}

TEST(StartAnswers, AReportThatNamesTheEndOfAnUnbookedRunIsTold) {
  OrderedTask Given;
  Given.answer(StartResult::RefusedStaleRun);
  const Effects Out = Given.report({}, {{1, Given.Order.Run, RunOutcome::Done, ""}});
  ASSERT_EQ(Out.ContradictedRuns.size(), 1u);
  EXPECT_EQ(Out.ContradictedRuns[0].As, "done");
}

} // namespace
} // namespace valveshelf::sched
