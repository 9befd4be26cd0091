// SPDX-License-Identifier: Apache-2.0
// The wire form of forecasts: round trip, bound of the size, unreadable input, and the pacing.
#include "cell/forecast_pacing.h"
#include "valveshelf/forecast_records.h"

#include <gtest/gtest.h>

namespace valveshelf::sched {
namespace {
using namespace std::chrono_literals;

Forecast sample() {
  Forecast Given;
  Given.Term = 7;
  Given.Services["pool"] = {{false, 0, 0ms, 1, 12.5}, {true, 2, 4200ms, 0.75, 0, true}};
  Given.OrganisationWaits["at-maximum"] = 900ms;
  Given.OverShareOrganisations = {"loud"};
  Given.RunTimeRatios["scans"] = 1.5;
  return Given;
}

TEST(ForecastRecords, ADecodedForecastEqualsTheEncodedOne) {
  const Result<Forecast> Read = decodeForecast(encodeForecast(sample()));
  ASSERT_TRUE(ok(Read));
  const Forecast &Got = value(Read);
  EXPECT_EQ(Got.Term, 7u);
  const std::vector<ClassForecast> &Classes = Got.Services.at("pool");
  ASSERT_EQ(Classes.size(), 2u);
  EXPECT_EQ(Classes[0].StartsPerSecond, 12.5);
  EXPECT_TRUE(Classes[1].IsOverShare);
  EXPECT_EQ(Classes[1].Priority, 2);
  EXPECT_EQ(Classes[1].Wait, 4200ms);
  EXPECT_EQ(Classes[1].Confidence, 0.75);
  EXPECT_TRUE(Classes[1].IsByStarts);
  EXPECT_FALSE(Classes[0].IsByStarts);
  EXPECT_EQ(Got.OrganisationWaits, sample().OrganisationWaits);
  EXPECT_EQ(Got.OverShareOrganisations, sample().OverShareOrganisations);
  EXPECT_EQ(Got.RunTimeRatios, sample().RunTimeRatios);
}

TEST(ForecastRecords, ManyOrganisationsDoNotExceedTheBound) {
  Forecast Given = sample();
  for (int I = 0; I < 770; ++I) {
    const std::string Name = "organisation-" + std::to_string(I);
    if (I % 10 == 0)
      Given.OrganisationWaits[Name] = Milliseconds(1000 + I);
    Given.OverShareOrganisations.insert(Name);
  }
  const std::string Bytes = encodeForecast(Given);
  EXPECT_LE(Bytes.size(), MaxEncodedForecastBytes);
  EXPECT_LE(MaxEncodedForecastBytes, MaxForecastBytes);
  EXPECT_GT(Bytes.size(), MaxEncodedForecastBytes - 512);
  const Result<Forecast> Read = decodeForecast(Bytes);
  ASSERT_TRUE(ok(Read));
  EXPECT_EQ(value(Read).Services.size(), 1u);
  EXPECT_EQ(value(Read).OrganisationWaits.size(), 78u);
  EXPECT_GT(value(Read).OverShareOrganisations.size(), 50u);
}

TEST(ForecastRecords, UnreadableInputIsAnError) {
  EXPECT_FALSE(ok(decodeForecast("\x12\xff")));
  EXPECT_FALSE(ok(decodeForecast(std::string(MaxForecastBytes + 1, 'x'))));
  Forecast Bad = sample();
  Bad.Services["pool"][0].Confidence = 2;
  EXPECT_FALSE(ok(decodeForecast(encodeForecast(Bad))));
}

TEST(ForecastPacing, EachMemberGetsAForecastOncePerInterval) {
  ForecastPacing Given;
  const TimePoint Now = TimePoint{} + 1000s;
  EXPECT_TRUE(Given.mayCarry("a", 200, Now));
  EXPECT_FALSE(Given.mayCarry("a", 200, Now + 99ms));
  EXPECT_TRUE(Given.mayCarry("b", 200, Now + 99ms));
  EXPECT_TRUE(Given.mayCarry("a", 200, Now + 100ms));
}

// A process may receive 6 KB per second.
TEST(ForecastPacing, LargeForecastsStayWithinTheTrafficBound) {
  ForecastPacing Given;
  const TimePoint Start = TimePoint{} + 1000s;
  size_t Sent = 0;
  for (TimePoint Now = Start; Now < Start + 16s; Now += 10ms)
    Sent += Given.mayCarry("a", MaxEncodedForecastBytes, Now) ? MaxEncodedForecastBytes : 0;
  EXPECT_LE(Sent, 16u * 6000);
  EXPECT_GE(Sent, 16u * MaxEncodedForecastBytes) << "a forecast is used for 1 s";
}

} // namespace
} // namespace valveshelf::sched
