// SPDX-License-Identifier: Apache-2.0
// The time that orders wait for their answers, on calm and on full links.
#include "cell/order_pace.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <queue>

namespace valveshelf {
namespace {
using namespace std::chrono_literals;

void note(OrderPace &Pace, int Orders, int LostOneIn) {
  for (int I = 0; I < Orders; ++I)
    noteOrder(Pace, LostOneIn == 0 || I % LostOneIn != 0);
}

TEST(OrderPace, FewLostOrdersAreTheirWorkersFault) {
  OrderPace Pace;
  note(Pace, 320, 16);
  EXPECT_EQ(Pace.Timeout, 150ms);
}

TEST(OrderPace, ManyLostOrdersAreTheLinks) {
  OrderPace Pace;
  note(Pace, 320, 4);
  EXPECT_EQ(Pace.Timeout, 1000ms);
  note(Pace, 320, 0);
  EXPECT_EQ(Pace.Timeout, 1000ms); // not at once
  note(Pace, 2000, 0);
  EXPECT_EQ(Pace.Timeout, 150ms);
}

// Waves of 60 orders of 700 bytes each 300 ms, through a link of 250 kB/s; an order without an
// answer in time is followed by a stop, a look and the same order again. Returns the orders given
// up.
int givenUp(bool Adapts) {
  constexpr double BytesPerMs = 250;
  constexpr double OrderBytes = 700;
  constexpr double FollowUpBytes = 1200;
  OrderPace Pace;
  double FreeAt = 0; // when the link has sent what waits for it
  int GivenUp = 0;
  int Again = 0;
  for (double Now = 0; Now < 20000; Now += 300) {
    const int Wave = 60 + Again;
    Again = 0;
    for (int I = 0; I < Wave; ++I) {
      FreeAt = std::max(FreeAt, Now) + OrderBytes / BytesPerMs;
      const bool InTime = FreeAt - Now <= static_cast<double>(Pace.Timeout.count());
      if (Adapts)
        noteOrder(Pace, InTime);
      if (InTime)
        continue;
      ++GivenUp;
      ++Again;
      FreeAt += FollowUpBytes / BytesPerMs;
    }
  }
  return GivenUp;
}

TEST(OrderPace, AFullLinkIsNotFilledFurther) {
  EXPECT_GT(givenUp(false), 1000);
  EXPECT_LT(givenUp(true), 100);
}

} // namespace
} // namespace valveshelf
