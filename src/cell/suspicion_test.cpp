// SPDX-License-Identifier: Apache-2.0
// The probe timeout must grow with repeated leader changes, which would otherwise not settle.
#include "cell/suspicion.h"

#include <gtest/gtest.h>

namespace valveshelf {
namespace {
using namespace std::chrono_literals;

TEST(Suspicion, ProbeTimeoutGrowsWithChangesAndDecays) {
  const TimePoint Begun = TimePoint{} + 1000s;
  TermHistory History;
  noteTerm(History, 7, Begun);
  EXPECT_EQ(probeTimeout(History, 1500ms, Begun), 150ms); // the first term observed is not a change
  noteTerm(History, 7, Begun + 1s);
  EXPECT_EQ(probeTimeout(History, 1500ms, Begun + 1s), 150ms);
  noteTerm(History, 8, Begun + 2s);
  EXPECT_EQ(probeTimeout(History, 1500ms, Begun + 2s), 450ms);
  noteTerm(History, 9, Begun + 4s);
  EXPECT_EQ(probeTimeout(History, 1500ms, Begun + 4s), 1350ms);
  noteTerm(History, 10, Begun + 6s);
  EXPECT_EQ(probeTimeout(History, 1500ms, Begun + 6s), 1500ms);
  EXPECT_EQ(probeTimeout(History, 1500ms, Begun + 23s), 1350ms);
  EXPECT_EQ(probeTimeout(History, 1500ms, Begun + 40s), 150ms);
}

} // namespace
} // namespace valveshelf
