// SPDX-License-Identifier: Apache-2.0
// The rules on the runs of a task: each violation is found, and none in what is allowed.
#include "standins/task_rules.h"

#include <gtest/gtest.h>

namespace valveshelf::standins {
namespace {
using namespace std::chrono_literals;
using Found = std::vector<std::string_view>;

constexpr TimePoint Noted{100s};
constexpr TaskRules Ordinary{false, 2};
constexpr TaskRules Speculative{true, 2};

TEST(TaskRules, AnOrdinaryTaskRunsOnce) {
  EXPECT_EQ(violationsOfStart(Ordinary, {}, {0, 0}, Noted), Found{});
  EXPECT_EQ(violationsOfStart(Ordinary, {}, {0, 1}, Noted), Found{"task in two places"});
  EXPECT_EQ(violationsOfStart(Ordinary, {}, {1, 0}, Noted), Found{"task twice on a worker"});
}

TEST(TaskRules, ASpeculativeTaskRunsTwiceButNotThreeTimes) {
  EXPECT_EQ(violationsOfStart(Speculative, {}, {0, 1}, Noted), Found{});
  EXPECT_EQ(violationsOfStart(Speculative, {}, {1, 0}, Noted), Found{});
  const Found Three{"speculative task in three places"};
  EXPECT_EQ(violationsOfStart(Speculative, {}, {0, 2}, Noted), Three);
  EXPECT_EQ(violationsOfStart(Speculative, {}, {1, 1}, Noted), Three);
}

TEST(TaskRules, NothingStartsOnceATaskIsDone) {
  TaskHistory Done;
  Done.DoneNotedAt = Noted;
  const Found Late{"started after its end was let go"};
  EXPECT_EQ(violationsOfStart(Ordinary, Done, {}, Noted), Late);
  EXPECT_EQ(violationsOfStart(Speculative, Done, {}, Noted + 1000ms), Found{});
  EXPECT_EQ(violationsOfStart(Speculative, Done, {}, Noted + 1001ms), Late);
}

// Guards against a stand-in that misses a second run which starts before the first one's end `done`
// is noted.
TEST(TaskRules, AnEndThatIsNotedLaterForbidsTheStartsSinceIt) {
  const auto Late = [](const TaskRules &Rules, TimePoint LapsedAt) {
    TaskHistory Task;
    Task.StartedRuns = {{1, Noted - 900ms}, {2, Noted - 700ms}, {3, Noted - 300ms}};
    Task.DoneRuns = {{1, Noted - 500ms}};
    std::vector<uint32_t> Runs = noteDone(Task, Rules, 1, LapsedAt, Noted);
    EXPECT_EQ(Task.DoneNotedAt, Noted);
    EXPECT_TRUE(noteDone(Task, Rules, 1, LapsedAt, Noted + 1s).empty());
    EXPECT_EQ(Task.DoneNotedAt, Noted);
    return Runs;
  };
  EXPECT_EQ(Late(Ordinary, Noted - 600ms), std::vector<uint32_t>{3});
  EXPECT_TRUE(Late(Ordinary, Noted - 400ms).empty());
  EXPECT_TRUE(Late(Speculative, {}).empty());
}

TEST(TaskRules, ALastingTaskIsStartedAgainHoweverItEnds) {
  constexpr TaskRules Lasting{false, 2, true};
  TaskHistory Task;
  Task.StartedRuns = {{1, Noted - 900ms}, {2, Noted - 300ms}};
  Task.DoneRuns = {{1, Noted - 500ms}};
  EXPECT_TRUE(noteDone(Task, Lasting, 1, {}, Noted).empty());
  for (uint32_t Run = 1; Run <= 3; ++Run)
    noteFailure(Task, Lasting, Run, Noted);
  EXPECT_EQ(violationsOfStart(Lasting, Task, {}, Noted + 1s), Found{});
  EXPECT_EQ(violationsOfStart(Lasting, Task, {0, 1}, Noted + 1s), Found{"task in two places"});
}

TEST(TaskRules, NothingStartsOnceItsJobIsShownAsCompleted) {
  TaskHistory Shown;
  Shown.CompletedShownAt = Noted;
  const Found Late{"started after its job was shown as completed"};
  EXPECT_EQ(violationsOfStart(Ordinary, Shown, {}, Noted), Late);
  EXPECT_EQ(violationsOfStart(Speculative, Shown, {}, Noted + 1000ms), Found{});
  EXPECT_EQ(violationsOfStart(Speculative, Shown, {}, Noted + 1001ms), Late);
}

TEST(TaskRules, NothingStartsOnceTheLastAttemptHasFailed) {
  const Found Late{"started after its last attempt had failed"};
  for (const TaskRules &Rules : {Ordinary, Speculative}) {
    TaskHistory Failed;
    noteFailure(Failed, Rules, 1, Noted - 9s);
    noteFailure(Failed, Rules, 1, Noted - 8s); // the same run, noted again
    EXPECT_EQ(violationsOfStart(Rules, Failed, {}, Noted), Found{});
    noteFailure(Failed, Rules, 2, Noted);
    noteFailure(Failed, Rules, 2, Noted + 500ms);
    const Milliseconds Grace = Rules.Speculative ? 1000ms : 0ms;
    if (Rules.Speculative) {
      EXPECT_EQ(violationsOfStart(Rules, Failed, {}, Noted + Grace), Found{});
    }
    EXPECT_EQ(violationsOfStart(Rules, Failed, {}, Noted + Grace + 1ms), Late);
  }
}

TEST(TaskRules, AttemptsAreNotJudgedWhereTheirNumberIsUnknown) {
  TaskHistory Failed;
  for (uint32_t Run = 1; Run < 9; ++Run)
    noteFailure(Failed, {}, Run, Noted);
  EXPECT_EQ(violationsOfStart({}, Failed, {}, Noted + 9s), Found{});
}

} // namespace
} // namespace valveshelf::standins
