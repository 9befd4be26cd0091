// SPDX-License-Identifier: Apache-2.0
// Guards against accepting malformed, duplicate or unknown keys.
#include "cell/caller_keys.h"

#include <gtest/gtest.h>

namespace valveshelf {
namespace {
using namespace sched;

ConfigurationPtr twoOrganisations() {
  CellConfiguration Config;
  Config.Organisations = {{"north", {"n-first", "n-second"}, 5, {}}, {"south", {}, 5, {}}};
  return std::make_shared<const CellConfiguration>(Config);
}

TEST(CallerKeys, FindsOrganisationByEachOfItsKeys) {
  const KeyIndex Index = makeKeyIndex(twoOrganisations(), 17);
  ASSERT_NE(findKeyOwner(Index, "n-first"), nullptr);
  EXPECT_EQ(findKeyOwner(Index, "n-first")->Name, "north");
  EXPECT_EQ(findKeyOwner(Index, "n-second")->Name, "north");
}

TEST(CallerKeys, UnknownKeyHasNoOwner) {
  const KeyIndex Index = makeKeyIndex(twoOrganisations(), 17);
  for (const char *Key : {"", "n-firs", "n-first ", "N-first", "north", "south"})
    EXPECT_EQ(findKeyOwner(Index, Key), nullptr) << Key;
  EXPECT_EQ(findKeyOwner(makeKeyIndex(nullptr, 1), "n-first"), nullptr);
}

TEST(CallerKeys, RejectsDuplicateOrMalformedKeyField) {
  const std::string Name = "Key";
  EXPECT_EQ(readCallerKey({{"key", "abc"}}, Name), "abc");
  EXPECT_EQ(readCallerKey({{"Other", "abc"}}, Name), std::nullopt);
  EXPECT_EQ(readCallerKey({{"Key", "abc"}, {"KEY", "abc"}}, Name), std::nullopt);
  EXPECT_EQ(readCallerKey({{"Key", ""}}, Name), std::nullopt);
  EXPECT_EQ(readCallerKey({{"Key", std::string(201, 'x')}}, Name), std::nullopt);
  EXPECT_EQ(readCallerKey({{"Key", std::string(200, 'x')}}, Name), std::string(200, 'x'));
  EXPECT_EQ(readCallerKey({{"Key", "a\tb"}}, Name), std::nullopt);
}

} // namespace
} // namespace valveshelf
