// SPDX-License-Identifier: Apache-2.0
// Which of two statements about a worker is of the newer life.
#include "valveshelf/worker_life.h"

#include <gtest/gtest.h>

namespace valveshelf::sched {
namespace {
using namespace std::chrono_literals;

constexpr WallTime First(1000s);
constexpr WallTime Second(1010s);

TimePoint at(Milliseconds Since) { return TimePoint{} + 1000s + Since; }

WorkerLife known(WallTime Born, Milliseconds Clock = 0ms) {
  WorkerLife Life;
  noteLife(Life, {Born, Clock, at(0ms)}, at(10ms));
  return Life;
}

TEST(WorkerLife, TheLaterStartIsTheNewerLife) {
  EXPECT_EQ(compareLives(known(First), {First, {}, {}}), LifeOrder::Same);
  EXPECT_EQ(compareLives(known(First), {Second, {}, {}}), LifeOrder::Newer);
  EXPECT_EQ(compareLives(known(Second), {First, {}, {}}), LifeOrder::Older);
}

// An answer that is on its way while the worker restarts is of the earlier life.
TEST(WorkerLife, ALateAnswerIsOfAnEarlierLife) {
  EXPECT_EQ(compareLives(known(Second), {First, 90000ms, at(-5ms)}), LifeOrder::Older);
}

// A worker whose wall clock was set back between two lives is not ignored for ever.
TEST(WorkerLife, AnAnswerToALaterCallIsNeverOfAnEarlierLife) {
  EXPECT_EQ(compareLives(known(Second), {First, 20ms, at(11ms)}), LifeOrder::Newer);
}

TEST(WorkerLife, WithoutAStartTheClockTellsLivesApart) {
  EXPECT_EQ(compareLives(known({}), {Second, {}, {}}), LifeOrder::Same);
  EXPECT_EQ(compareLives(known(First), {{}, {}, {}}), LifeOrder::Same);
  EXPECT_EQ(compareLives(known({}, 500ms), {{}, 600ms, at(11ms)}), LifeOrder::Same);
  EXPECT_EQ(compareLives(known({}, 500ms), {{}, 20ms, at(11ms)}), LifeOrder::Newer);
  EXPECT_EQ(compareLives(known({}, 500ms), {{}, 499ms, at(5ms)}), LifeOrder::Older)
      << "answers on two connections may overtake one another";
}

TEST(WorkerLife, ANewLifeBeginsAnew) {
  WorkerLife Life = known(First, 90000ms);
  noteLife(Life, {Second, 20ms, at(11ms)}, at(20ms));
  EXPECT_EQ(Life.Born, Second);
  EXPECT_EQ(Life.Clock, 20ms);
  EXPECT_EQ(Life.LearnedAt, at(20ms));
  EXPECT_NE(lifeName("i-1", First), lifeName("i-1", Second));
  EXPECT_EQ(lifeName("i-1", {}), "i-1");
}

// A worker's clock may run 2 % slow, and so may this one; a reading is taken while its call is out.
TEST(WorkerLife, AClockContradictsALifeOnlyBeyondDriftAndDelay) {
  constexpr double Drift = 0.02;
  WorkerLife Life;
  noteLife(Life, {First, 1000ms, at(0ms)}, at(2000ms)); // held for up to two seconds
  const auto Contradicts = [&](Milliseconds Clock) {
    return contradictsClock(Life, Clock, at(12000ms), at(12100ms), Drift);
  };
  EXPECT_FALSE(Contradicts(11000ms)); // read at its end
  EXPECT_FALSE(Contradicts(13100ms)); // read at its beginning
  EXPECT_FALSE(Contradicts(10600ms)); // the worker's clock is slow
  EXPECT_FALSE(Contradicts(13580ms)); // this one is
  EXPECT_TRUE(Contradicts(10590ms));
  EXPECT_TRUE(Contradicts(13590ms));
  EXPECT_TRUE(Contradicts(20ms));
  EXPECT_FALSE(contradictsClock(Life, 20ms, at(1000ms), at(1100ms), Drift))
      << "the call was sent before the reading was known";
  EXPECT_FALSE(contradictsClock({}, 20ms, at(1000ms), at(1100ms), Drift)) << "nothing was read";
}

// Guards against a late answer of an earlier life that is taken for the newest one: an order's
// answer has shown a life without its start, and the first start that is stated is of the next.
TEST(WorkerLife, ALifeIsLearnedOfWhenItsStartIsStated) {
  WorkerLife Life;
  noteLife(Life, {{}, 20ms, at(0ms)}, at(10ms));
  noteLife(Life, {Second, 30ms, at(200ms)}, at(210ms));
  EXPECT_EQ(compareLives(Life, {First, 70ms, at(50ms)}), LifeOrder::Older);
  EXPECT_EQ(compareLives(Life, {First, 70ms, at(211ms)}), LifeOrder::Newer);
}

} // namespace
} // namespace valveshelf::sched
