// SPDX-License-Identifier: Apache-2.0
// Guards against taking one failed worker for general loss of calls, and against outdated losses.
#include "cell/call_losses.h"

#include <gtest/gtest.h>

namespace valveshelf {
namespace {
using namespace std::chrono_literals;

TEST(CallLosses, IgnoresLossesOfOneWorker) {
  CallLosses Losses;
  const TimePoint Now = TimePoint{} + 1000s;
  noteLoss(Losses, "w1", Now);
  noteLoss(Losses, "w1", Now + 10ms);
  EXPECT_FALSE(areCallsBeingLost(Losses, Now + 20ms));
}

TEST(CallLosses, DetectsLossesOfTwoWorkersUntilTheyExpire) {
  CallLosses Losses;
  const TimePoint Now = TimePoint{} + 1000s;
  noteLoss(Losses, "w1", Now);
  noteLoss(Losses, "w2", Now + 1s);
  EXPECT_TRUE(areCallsBeingLost(Losses, Now + 1s));
  EXPECT_FALSE(areCallsBeingLost(Losses, Now + 3500ms));
  EXPECT_LE(Losses.Last.size(), 1u);
}

} // namespace
} // namespace valveshelf
