// SPDX-License-Identifier: Apache-2.0
// The figures of the scheduler's event loop: sums by kind of work and waiting steps by cause.
#include "cell/loop_load.h"

#include <gtest/gtest.h>

namespace valveshelf {
namespace {
using namespace sched;
using namespace std::chrono_literals;

TEST(LoopLoad, ReportsOnceASecondAndBeginsNewSums) {
  LoopLoad Load;
  CellState Cell;
  CellMetrics Metrics;
  TimePoint Now = TimePoint{} + 100s;
  reportLoopLoad(Load, Cell, 5s, {}, Now, Metrics);
  Load.Times[static_cast<size_t>(LoopWork::Place)] = 200ms;
  Load.MaxLag = 30ms;
  reportLoopLoad(Load, Cell, 5200ms, {}, Now + 500ms, Metrics);
  EXPECT_EQ(Load.MaxLag, 30ms);
  reportLoopLoad(Load, Cell, 5500ms, {100ms, 0ms, 50ms, 0ms}, Now + 1s, Metrics);
  EXPECT_EQ(Load.MaxLag, 0ms);
  EXPECT_EQ(Load.Times[static_cast<size_t>(LoopWork::Place)], 0ms);
  const std::string Text = Metrics.text();
  EXPECT_NE(Text.find("valveshelf_loop_lag_seconds 0.03"), std::string::npos) << Text;
  EXPECT_NE(Text.find("valveshelf_loop_seconds_total{case=\"place\"} 0.2"), std::string::npos);
  EXPECT_NE(Text.find("valveshelf_loop_seconds_total{case=\"messages\"} 0.3"), std::string::npos);
  EXPECT_NE(Text.find("valveshelf_message_seconds_total{case=\"encode\"} 0.1"), std::string::npos);
  EXPECT_NE(Text.find("valveshelf_message_seconds_total{case=\"transfer\"} 0.05"),
            std::string::npos);
}

TEST(LoopLoad, CountsWaitingStepsByCause) {
  CellState Cell;
  Cell.WallAt = TimePoint{} + 100s;
  Effects Out;
  finishLoading(Cell, Cell.WallAt, Out);
  for (JobId Id = 1; Id <= 2; ++Id) {
    auto Spec = std::make_shared<JobSpec>();
    Spec->Id = Id;
    Spec->Service = "pool";
    Spec->Steps.emplace_back();
    Spec->Steps.back().Count = 1;
    Spec->Steps.back().Need = {1000, 100, 0};
    addJob(Cell, Spec, Id, true, Cell.WallAt);
  }
  const auto CountOf = [&](WaitCause Cause) {
    return countWaitingSteps(Cell)[static_cast<size_t>(Cause)];
  };
  EXPECT_EQ(CountOf(WaitCause::Turn), 2u);
  place(Cell, Cell.WallAt, Out); // there is no worker
  EXPECT_EQ(CountOf(WaitCause::Turn), 0u);
  EXPECT_EQ(CountOf(WaitCause::Capacity), 2u);
}

} // namespace
} // namespace valveshelf
