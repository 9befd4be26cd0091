// SPDX-License-Identifier: Apache-2.0
// Guards against wrong burn rates, unbounded counts, malformed reports and unescaped HTML.
#include "valveshelf/burn.h"

#include <gtest/gtest.h>

namespace valveshelf {
namespace {
using namespace std::chrono_literals;
constexpr WallTime Noon{std::chrono::hours(12)};

BurnBook mixed() {
  BurnBook Book;
  for (int I = 0; I < 97; ++I)
    noteEnd(Book, "checks", BurnOutcome::Met, Noon - 30min);
  for (int I = 0; I < 2; ++I)
    noteEnd(Book, "checks", BurnOutcome::Late, Noon);
  noteEnd(Book, "checks", BurnOutcome::Failed, Noon);
  return Book;
}

TEST(Burn, CountsByWindow) {
  const auto Lines = burnLines(mixed(), 0.99, Noon);
  ASSERT_EQ(Lines.size(), 2u);
  EXPECT_EQ(Lines[0].Counts, (BurnCounts{0, 2, 1}));
  EXPECT_DOUBLE_EQ(Lines[0].ShareMet, 0);
  EXPECT_EQ(Lines[1].Counts, (BurnCounts{97, 2, 1}));
  EXPECT_NEAR(Lines[1].BurnRate, 3, 1e-9);
}

TEST(Burn, EvictsMinutesOlderThanTheLongestWindow) {
  BurnBook Book;
  noteEnd(Book, "checks", BurnOutcome::Late, Noon - 2h);
  noteEnd(Book, "checks", BurnOutcome::Met, Noon);
  EXPECT_EQ(Book.Queues.at("checks").size(), 1u);
}

TEST(Burn, MergedReportsAddTheirCounts) {
  BurnBook Sum = mixed();
  Result<BurnBook> Other = decodeBurn(encodeBurn(mixed()));
  ASSERT_TRUE(ok(Other));
  mergeBurn(Sum, value(Other));
  EXPECT_EQ(burnLines(Sum, 0.99, Noon)[1].Counts, (BurnCounts{194, 4, 2}));
}

TEST(Burn, MalformedReportsAreRefusedByField) {
  for (const char *Text :
       {"", "[]", "{}", R"({"queues":{"a":1}})", R"({"queues":{"a":[[1,2,3]]}})",
        R"({"queues":{"a":[[1,2,3,-4]]}})", R"({"queues":{"a":[["1",2,3,4]]}})"}) {
    const Result<BurnBook> Read = decodeBurn(Text);
    ASSERT_FALSE(ok(Read)) << Text;
    EXPECT_EQ(error(Read).Kind, ErrorKind::BadRequest);
  }
  EXPECT_NE(error(decodeBurn(R"({"queues":{"a":1}})")).Detail.find("queues.a"), std::string::npos);
}

TEST(Burn, ThePageEscapesQueueNamesAndPlotsEachQueue) {
  BurnBook Book;
  noteEnd(Book, "<b>", BurnOutcome::Met, Noon);
  const std::string Page = burnPage(Book, burnLines(Book, 0.9, Noon), 0.9, Noon);
  EXPECT_EQ(Page.find("<b>"), std::string::npos);
  EXPECT_NE(Page.find("&lt;b&gt;</h2>"), std::string::npos);
  EXPECT_NE(Page.find("<svg"), std::string::npos);
}

} // namespace
} // namespace valveshelf
