// SPDX-License-Identifier: Apache-2.0
// Tests counting, the JSON encoding and the reports of traffic.
#include "valveshelf/traffic.h"

#include <gtest/gtest.h>

namespace valveshelf {
namespace {
using namespace std::chrono_literals;

TrafficStats statsOf(uint64_t Calls) {
  TrafficStats Stats;
  Stats.Kinds["store renew"] = {Calls, 1, 2, 300, 400};
  Stats.Duration = 10s;
  return Stats;
}

TEST(Traffic, CountsByKind) {
  TimePoint Now{};
  TrafficMeter Meter(Clock{[&] { return Now; }, Clock{}.Wall});
  Meter.record("worker hold", {1, 0, 1, 10, 20});
  Meter.record("worker hold", {1, 1, 0, 10, 0});
  Now += 5s;
  const TrafficStats Stats = Meter.stats();
  EXPECT_EQ(Stats.Kinds.at("worker hold"), (TrafficCounts{2, 1, 1, 20, 20}));
  EXPECT_EQ(Stats.Duration, 5s);
}

TEST(Traffic, EncodingRoundTrips) {
  const Result<TrafficStats> Read = decodeTraffic(encodeTraffic(statsOf(7)));
  ASSERT_TRUE(ok(Read));
  EXPECT_EQ(value(Read).Kinds, statsOf(7).Kinds);
  EXPECT_EQ(value(Read).Duration, 10s);
}

TEST(Traffic, RejectsInvalidInputAndNamesTheField) {
  const auto Why = [](std::string_view Text) {
    const Result<TrafficStats> Read = decodeTraffic(Text);
    return ok(Read) ? "" : error(Read).Detail;
  };
  EXPECT_EQ(Why("{"), "traffic: not a JSON object");
  EXPECT_EQ(Why("{}"), "traffic: ms is missing or not a count");
  EXPECT_EQ(Why("{\"ms\":1}"), "traffic: kinds is missing or not an object");
  EXPECT_EQ(Why("{\"ms\":1,\"kinds\":{\"a\":{}}}"), "traffic: a.calls is missing or not a count");
}

TEST(Traffic, ReportSumsProcessesAndNamesTheBusiest) {
  const std::string Table = trafficTable({{"e1", statsOf(10)}, {"e2", statsOf(30)}});
  EXPECT_NE(Table.find("store renew                         40        2        4        4.0"
                       "        0.1        3.0  e2"),
            std::string::npos)
      << Table;
  EXPECT_NE(trafficJson({{"e1", statsOf(10)}}).find("\"calls_per_second\":1E0"), std::string::npos);
  EXPECT_NE(trafficPage({{"e1", statsOf(10)}}).find("<svg"), std::string::npos);
}

} // namespace
} // namespace valveshelf
