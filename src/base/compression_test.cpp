// SPDX-License-Identifier: Apache-2.0
// Round trips of compressed text, and rejection of truncated, foreign and oversized input.
#include "valveshelf/compression.h"

#include <gtest/gtest.h>

namespace valveshelf {
namespace {

std::string configurationText() {
  std::string Text;
  for (int I = 0; I < 3000; ++I)
    Text += "{\"name\":\"r-" + std::to_string(I * 7919) + "\",\"kind\":\"non_idempotent\"}";
  return Text;
}

TEST(Compression, RoundTripsText) {
  for (const std::string &Text : {std::string(), std::string("x"), configurationText()}) {
    const Result<std::string> Read = decompress(compress(Text), 1 << 20);
    ASSERT_TRUE(ok(Read));
    EXPECT_EQ(value(Read), Text);
  }
  EXPECT_LT(compress(configurationText()).size() * 5, configurationText().size());
}

TEST(Compression, RejectsTruncatedForeignAndOversizedInput) {
  const std::string Packed = compress(configurationText());
  EXPECT_FALSE(ok(decompress(std::string_view(Packed).substr(0, Packed.size() / 2), 1 << 20)));
  EXPECT_FALSE(ok(decompress("{\"version\":7}", 1 << 20)));
  EXPECT_FALSE(ok(decompress(Packed, 1000)));
}

} // namespace
} // namespace valveshelf
