// SPDX-License-Identifier: Apache-2.0
// The window of starts in progress, and the rate of starts that it shows.
#include "cell/start_pacing.h"

#include <gtest/gtest.h>

namespace valveshelf {
namespace {
using namespace std::chrono_literals;
constexpr Milliseconds Interval{50};

/// A process whose loop takes a time for each start, and that is asked for more than it can do.
struct Process {
  StartPacing Pacing;
  TimePoint Now = TimePoint{} + 100s;
  Steady::duration PerStart{1ms};

  // The lag is the time that the starts in progress take.
  Steady::duration lag() const { return PerStart * static_cast<int64_t>(Pacing.InProgress.size()); }

  // One interval in which \p Wanted starts are asked for.
  void step(size_t Wanted) {
    const size_t Allowed = startsAllowed(Pacing, Now);
    for (size_t I = 0; I < std::min(Wanted, Allowed); ++I)
      noteOrdered(Pacing, Now);
    if (Wanted > Allowed)
      noteBound(Pacing);
    const Steady::duration Lag = lag();
    Now += Interval;
    for (auto Left = Interval / PerStart; Left > 0 && !Pacing.InProgress.empty(); --Left)
      noteFinished(Pacing, Pacing.InProgress.begin()->first, true);
    updatePacing(Pacing, Lag, Wanted > 0, Now);
  }
};

TEST(StartPacing, KeepsTheLagSmallAtTheSameRate) {
  Process Given;
  for (int I = 0; I < 100; ++I)
    Given.step(1000);
  EXPECT_LE(Given.lag(), 60ms);
  EXPECT_GE(Given.Pacing.Window, MinStartWindow);
  const auto Rate = startRate(Given.Pacing, Given.Now);
  ASSERT_TRUE(Rate);
  EXPECT_GE(*Rate, 500);
  EXPECT_LE(*Rate, 1100);
}

TEST(StartPacing, LetsABurstPassWhileTheLoopIsNotLate) {
  Process Given;
  Given.PerStart = 10us;
  for (int I = 0; I < 100; ++I)
    Given.step(1000);
  EXPECT_GE(Given.Pacing.Window, 1000u);
}

TEST(StartPacing, TheRateIsUnknownOnceNoStartHasToWait) {
  Process Given;
  for (int I = 0; I < 20; ++I)
    Given.step(1000);
  ASSERT_TRUE(startRate(Given.Pacing, Given.Now));
  for (int I = 0; I < 30; ++I)
    Given.step(1);
  EXPECT_FALSE(startRate(Given.Pacing, Given.Now));
}

// Guards against jobs that are accepted by a process whose steps wait for advice because it is
// late.
TEST(StartPacing, ALoopThatIsLateAllTheTimeIsWhatStepsWaitFor) {
  StartPacing Pacing;
  TimePoint Now = TimePoint{} + 100s;
  const auto Update = [&](Milliseconds Lag, bool HasWaiting) {
    noteFinished(Pacing, noteOrdered(Pacing, Now), true);
    updatePacing(Pacing, Lag, HasWaiting, Now += 100ms);
  };
  for (int I = 0; I < 5; ++I)
    Update(60ms, true);
  EXPECT_FALSE(startRate(Pacing, Now)) << "a short lag";
  for (int I = 0; I < 5; ++I)
    Update(60ms, true);
  ASSERT_TRUE(startRate(Pacing, Now));
  EXPECT_NEAR(*startRate(Pacing, Now), 10, 1);
  for (int I = 0; I < 11; ++I)
    Update(60ms, false);
  EXPECT_FALSE(startRate(Pacing, Now)) << "nothing waits";
}

// Guards against workers that don't answer taking the places of those that do.
TEST(StartPacing, StartsThatWaitForTheirWorkersDoNotCount) {
  StartPacing Pacing;
  const TimePoint Now = TimePoint{} + 100s;
  for (size_t I = 0; I < Pacing.Window; ++I)
    noteOrdered(Pacing, Now);
  EXPECT_EQ(startsAllowed(Pacing, Now), 0u);
  EXPECT_EQ(startsAllowed(Pacing, Now + 101ms), Pacing.Window);
  Pacing.Lag = 100ms;
  EXPECT_EQ(startsAllowed(Pacing, Now + 101ms), 0u) << "their answers may not have been read";
}

} // namespace
} // namespace valveshelf
