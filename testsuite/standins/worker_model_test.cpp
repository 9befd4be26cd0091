// SPDX-License-Identifier: Apache-2.0
// Tests of the worker model against the platform's rules.
#include "standins/worker_model.h"

#include <gtest/gtest.h>

namespace valveshelf::standins {
namespace {
using namespace std::chrono_literals;
using namespace sched;

// Ends so many runs with short work, numbered from 1.
void endRuns(WorkerModel &Model, uint32_t Count) {
  for (uint32_t I = 0; I < Count; ++I)
    ASSERT_EQ(Model.start({{{{1, 0, 0}, I}, 1}, 1, 3000ms, ""}), StartResult::Started);
  Model.advance(Model.Now + 200ms);
  ASSERT_EQ(Model.Ended.size(), Count);
}

// Guards against a stand-in that lists more ends at once than the platform's workers do.
TEST(WorkerModel, ListsTheFirstEndsAndTheOthersOnceTheseAreForgotten) {
  WorkerModel Model;
  Model.MaxListedEnds = 2;
  endRuns(Model, 5);
  uint64_t Through = 0;
  for (const size_t Expected : {2U, 2U, 1U}) {
    const std::optional<WorkerReport> Report = Model.hold(1, Through, {});
    ASSERT_TRUE(Report);
    ASSERT_EQ(Report->Ended.size(), Expected);
    EXPECT_EQ(Report->Ended.front().Number, Through + 1);
    EXPECT_EQ(Report->HasMoreEnds, Expected == Model.MaxListedEnds);
    Through = Report->Ended.back().Number;
  }
}

TEST(WorkerModel, ListsFiveHundredEndsAtOnce) {
  WorkerModel Model;
  endRuns(Model, 501);
  const std::optional<WorkerReport> Report = Model.hold(1, 0, {});
  ASSERT_TRUE(Report);
  EXPECT_EQ(Report->Ended.size(), 500U);
  EXPECT_TRUE(Report->HasMoreEnds);
}

} // namespace
} // namespace valveshelf::standins
