// SPDX-License-Identifier: Apache-2.0
// The number of connections that is learned from refusals.
#include "http/connection_budget.h"

#include <gtest/gtest.h>

namespace valveshelf {
namespace {
using namespace std::chrono_literals;

const TimePoint Start{1h};

ConnectionBudget budgetWith(size_t Open, size_t Confirmed = 0) {
  ConnectionBudget Budget;
  for (size_t I = 0; I < Open; ++I)
    noteOpened(Budget);
  for (size_t I = 0; I < Confirmed; ++I)
    noteConfirmed(Budget);
  return Budget;
}

// The last of \p Budget's connections is refused and closed.
bool refuseOne(ConnectionBudget &Budget, TimePoint Now) {
  const bool HasOthers = noteRefused(Budget, Now);
  noteClosed(Budget, false);
  return HasOthers;
}

TEST(ConnectionBudget, OpensUpToTheMaximum) {
  EXPECT_TRUE(mayOpen(budgetWith(3), 4, Start));
  EXPECT_FALSE(mayOpen(budgetWith(4), 4, Start));
  EXPECT_TRUE(mayOpen(budgetWith(400), 0, Start)) << "no limit";
}

// Guards against orders that go on opening connections which the worker resets.
TEST(ConnectionBudget, WaitsAfterARefusal) {
  ConnectionBudget Budget = budgetWith(2);
  EXPECT_TRUE(refuseOne(Budget, Start)) << "the other connection takes over the call";
  EXPECT_TRUE(isUsedUp(Budget, Start));
  EXPECT_FALSE(mayOpen(Budget, 6, Start + 999ms));
  EXPECT_TRUE(mayOpen(Budget, 6, Start + 1s));
}

TEST(ConnectionBudget, TheOnlyConnectionCanBeOpenedAgain) {
  ConnectionBudget Budget = budgetWith(1);
  EXPECT_FALSE(refuseOne(Budget, Start)) << "no other connection takes over the call";
  EXPECT_TRUE(mayOpen(Budget, 6, Start));
}

// Guards against a successor that gets no connection before those of a lost box are closed.
TEST(ConnectionBudget, LeavesHalfOfWhatIsAcceptedToASuccessor) {
  ConnectionBudget Budget = budgetWith(6, 5);
  refuseOne(Budget, Start);
  EXPECT_EQ(Budget.Accepted, 2U);
  EXPECT_EQ(Budget.Open, 5U);
  for (int I = 0; I < 4; ++I)
    noteClosed(Budget, true);
  EXPECT_TRUE(mayOpen(Budget, 6, Start));
  noteOpened(Budget);
  EXPECT_FALSE(mayOpen(Budget, 6, Start));
}

TEST(ConnectionBudget, ConcurrentRefusalsDelayTheNextAttemptOnce) {
  ConnectionBudget Budget = budgetWith(5);
  for (int I = 0; I < 4; ++I)
    refuseOne(Budget, Start);
  EXPECT_EQ(Budget.RetryDelay, 1s);
  EXPECT_EQ(Budget.Accepted, 1U);
}

TEST(ConnectionBudget, RepeatedRefusalsDelayItLonger) {
  ConnectionBudget Budget = budgetWith(1);
  TimePoint Now = Start;
  Milliseconds Last{0};
  for (int I = 0; I < 6; ++I) {
    noteOpened(Budget);
    refuseOne(Budget, Now);
    EXPECT_GE(Budget.RetryDelay, Last);
    Last = Budget.RetryDelay;
    Now = Budget.RetryAt;
  }
  EXPECT_EQ(Last, 16s);
}

TEST(ConnectionBudget, AcceptsMoreOnceTheyAnswer) {
  ConnectionBudget Budget = budgetWith(2, 1);
  refuseOne(Budget, Start);
  noteOpened(Budget);
  noteConfirmed(Budget);
  noteClosed(Budget, true);
  EXPECT_TRUE(mayOpen(Budget, 6, Start)) << "two were accepted";
}

// The connections of lost boxes stay open at the worker, so that one success says little.
TEST(ConnectionBudget, StaysCarefulForAMinute) {
  ConnectionBudget Budget = budgetWith(2, 1);
  refuseOne(Budget, Start);
  noteOpened(Budget);
  noteConfirmed(Budget);
  EXPECT_TRUE(isUsedUp(Budget, Start + 59s));
  EXPECT_TRUE(mayHaveToShare(Budget, Start + 59s));
  EXPECT_FALSE(isUsedUp(Budget, Start + 60s));
  EXPECT_FALSE(mayHaveToShare(Budget, Start + 60s));
}

TEST(ConnectionBudget, CallsMayHaveToShareUntilASecondConnectionHasAnswered) {
  EXPECT_TRUE(mayHaveToShare(budgetWith(0), Start));
  EXPECT_TRUE(mayHaveToShare(budgetWith(2, 1), Start));
  EXPECT_FALSE(mayHaveToShare(budgetWith(2, 2), Start));
}

// Guards against losses one after the other that each leave idle connections behind, until none is
// left at the worker: whatever is left idle, at least one more has been accepted.
TEST(ConnectionBudget, LeavesOneConnectionToTheNextClient) {
  EXPECT_EQ(maxIdle(budgetWith(1, 1), Start), 0U);
  EXPECT_EQ(maxIdle(budgetWith(2, 2), Start), 1U);
  EXPECT_EQ(maxIdle(budgetWith(4, 4), Start), 3U);
  EXPECT_EQ(maxIdle(budgetWith(2, 1), Start), 1U) << "in case the new one is refused";
}

TEST(ConnectionBudget, LeavesNoneIdleAfterARefusal) {
  ConnectionBudget Budget = budgetWith(4, 3);
  refuseOne(Budget, Start);
  EXPECT_EQ(maxIdle(Budget, Start + 59s), 0U);
}

TEST(ConnectionBudget, WhatWasAcceptedBeforeSaysNothingOnceNoneIsOpen) {
  ConnectionBudget Budget = budgetWith(2, 2);
  noteClosed(Budget, true);
  EXPECT_EQ(maxIdle(Budget, Start), 1U);
  noteClosed(Budget, true);
  EXPECT_EQ(maxIdle(Budget, Start), 0U);
  EXPECT_TRUE(mayHaveToShare(Budget, Start));
}

} // namespace
} // namespace valveshelf
