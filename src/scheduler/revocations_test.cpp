// SPDX-License-Identifier: Apache-2.0
// Guards against a revocation that ends the wrong job, is forgotten too early, or is kept forever.
#include "replay/crash_scene.h"

#include <gtest/gtest.h>

namespace valveshelf::sched {
namespace {
using namespace std::chrono_literals;

TEST(RevocationsInTheScheduler, EndJobsThatBecomeKnownWhileTheyAreKept) {
  CrashScene Given(2);
  Effects Out;
  EXPECT_TRUE(revokeJob(Given.Cell, {7, "north"}, Given.Now, Out));
  Given.advance(Given.Cell.Limits.EndedJobRetention - 1s);
  Given.submit(tasks(1, 1000, 1s), 7);
  EXPECT_TRUE(applyRevocation(Given.Cell, 7, Given.Now, Out));
  Given.advance(1s);
  EXPECT_EQ(Given.startsOf(7), 0U);
  EXPECT_EQ(publicJobState(Given.Cell, 7), "cancelled");
  Given.submit(tasks(1, 1000, 1s), 8);
  EXPECT_FALSE(applyRevocation(Given.Cell, 8, Given.Now, Out)) << "another job";
}

TEST(RevocationsInTheScheduler, EndAJobThatIsKnownAlready) {
  CrashScene Given(2);
  const JobId Id = Given.submit(tasks(1, 1000, 60s));
  ASSERT_TRUE(Given.advanceUntilRuns(Id));
  Effects Out;
  revokeJob(Given.Cell, {Id, ""}, Given.Now, Out);
  ASSERT_EQ(Out.Stops.size(), 1U);
  Given.apply(Out);
  Given.advance(100ms);
  EXPECT_EQ(publicJobState(Given.Cell, Id), "cancelled");
}

TEST(RevocationsInTheScheduler, AreForgottenAfterTheirTimeAndBounded) {
  CrashScene Given(1);
  Effects Out;
  revokeJob(Given.Cell, {7, ""}, Given.Now, Out);
  Given.advance(1s);
  revokeJob(Given.Cell, {7, ""}, Given.Now, Out); // asked for again
  Given.Now += Given.Cell.Limits.EndedJobRetention - 500ms;
  Given.advance(20ms);
  EXPECT_EQ(Given.Cell.Revocations.size(), 1U) << "counted from the last time";
  Given.Now += 1s;
  Given.advance(20ms);
  EXPECT_TRUE(Given.Cell.Revocations.empty());
  EXPECT_TRUE(Given.Cell.RevocationsByAge.empty());
  for (JobId Id = 1; Id <= MaxRevocations; ++Id)
    ASSERT_TRUE(revokeJob(Given.Cell, {Id, ""}, Given.Now, Out));
  EXPECT_FALSE(revokeJob(Given.Cell, {MaxRevocations + 1, ""}, Given.Now, Out));
  EXPECT_TRUE(revokeJob(Given.Cell, {1, ""}, Given.Now, Out)) << "it is kept already";
}

} // namespace
} // namespace valveshelf::sched
