// SPDX-License-Identifier: Apache-2.0
// Guards against reused event numbers and a docs/EVENTS.md that differs from the table of events.
// VALVESHELF_UPDATE=1 regenerates the page.
#include "valveshelf/events.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <fstream>
#include <iterator>
#include <set>

namespace valveshelf {
namespace {

std::string catalogue() {
  std::string Text =
      "# Log events\n\nEvery line of the log is `TIME LEVEL MEMBER VS-NUMBER NAME "
      "key=value ...`. A number is never used\nagain for another event. This page is "
      "checked against the code by a test.\n\n| number | level | name | meaning |\n"
      "| --- | --- | --- | --- |\n";
  for (const EventKind *Kind : allEvents()) {
    Text += "| VS-" + std::to_string(Kind->Number) + " | ";
    Text.append(Kind->Level).append(" | ").append(Kind->Name).append(" | ");
    Text.append(Kind->Meaning).append(" |\n");
  }
  return Text;
}

TEST(Events, NumbersAreUniqueAndInOrder) {
  int Last = 0;
  for (const EventKind *Kind : allEvents()) {
    EXPECT_GT(Kind->Number, Last) << Kind->Name;
    Last = Kind->Number;
  }
}

TEST(Events, CatalogueMatchesTheTable) {
  const std::string Path = VALVESHELF_SOURCE_DIR "/docs/EVENTS.md";
  if (std::getenv("VALVESHELF_UPDATE"))
    std::ofstream(Path) << catalogue();
  std::ifstream File(Path);
  const std::string Written(std::istreambuf_iterator<char>(File), {});
  EXPECT_EQ(Written, catalogue());
}

} // namespace
} // namespace valveshelf
