// SPDX-License-Identifier: Apache-2.0
// The example files are valid, and one pass over a bad file reports all errors with their
// positions.
#include "valveshelf/cell_config.h"
#include "valveshelf/cell_settings.h"
#include "valveshelf/features.h"
#include "valveshelf/settings.h"

#include <gtest/gtest.h>

#include <fstream>
#include <iterator>

namespace valveshelf {
namespace {

std::string example(const std::string &Name) {
  std::ifstream File(VALVESHELF_SOURCE_DIR "/examples/" + Name);
  return {std::istreambuf_iterator<char>(File), {}};
}

std::string replaced(std::string Text, const std::string &From, const std::string &To) {
  const auto At = Text.find(From);
  EXPECT_NE(At, std::string::npos) << From;
  return Text.replace(At, From.size(), To);
}

std::vector<std::string> errorsOf(const std::string &Text) {
  auto Parsed = parseEntrySettings(Text, "entry.toml");
  std::vector<std::string> Lines;
  if (auto *Errors = std::get_if<SettingsErrors>(&Parsed))
    for (const SettingsError &Problem : *Errors)
      Lines.push_back(toString(Problem));
  return Lines;
}

TEST(Settings, ExamplesPass) {
  EXPECT_EQ(errorsOf(example("entry.toml")), std::vector<std::string>{});
  EXPECT_TRUE(
      std::holds_alternative<PartnerConfig>(parsePartnerConfig(example("cell.toml"), "cell.toml")));
}

TEST(Settings, ReportsAllErrorsWithPositions) {
  std::string Text = example("entry.toml");
  Text = replaced(Text, "peers = \"127.0.0.1:8082\"", "peers = \"127.0.0.1:8080\"");
  Text = replaced(Text, "lease = \"3s\"", "lease = \"3 parsecs\"");
  Text = replaced(Text, "threads = 2", "threads = \"two\"");
  Text = replaced(Text, "connections = 4096", "connections = 1");
  Text = replaced(Text, "level = \"info\"", "level = \"loud\"\ncolour = true");
  const std::vector<std::string> Lines = errorsOf(Text);
  ASSERT_EQ(Lines.size(), 6u);
  EXPECT_EQ(Lines[0], "entry.toml:12:9: error: listen.peers: clashes with another address of this "
                      "process; accepted is one of its own");
  EXPECT_EQ(Lines[1], "entry.toml:24:11: error: process.threads: has the wrong type; accepted is "
                      "an integer from 1 to 64");
  EXPECT_EQ(Lines[2], "entry.toml:27:9: error: log.level: 'loud' is not accepted; accepted are "
                      "debug, info, warn, error");
  EXPECT_EQ(Lines[3], "entry.toml:28:1: error: log.colour: is unknown; accepted here are level");
  EXPECT_NE(Lines[4].find("entry.toml:31:9: error: timing.lease: is not a duration or has a bad "
                          "unit; accepted is a duration such as"),
            std::string::npos);
  EXPECT_NE(Lines[5].find("limits.connections: is out of range"), std::string::npos);
}

TEST(Settings, SyntaxAndMissingTables) {
  EXPECT_EQ(errorsOf("[member").size(), 1u);
  EXPECT_EQ(errorsOf("").size(), 3u);
}

constexpr const char *CellText = "[member]\nname = \"a\"\nzone = \"z\"\n[listen]\n"
                                 "callers = \"10.0.0.1:1\"\nreadiness = \"10.0.0.1:2\"\n"
                                 "peers = \"10.0.0.1:3\"\nmetrics = \"10.0.0.1:4\"\n"
                                 "[platform]\nstore = \"10.0.0.2:1\"\n";

TEST(Settings, SwitchesOfFeatures) {
  const auto Read = parseCellSettings(
      std::string(CellText) + "[overload]\nadmission = \"off\"\ncopies = \"on\"\n", "c.toml");
  ASSERT_TRUE(std::holds_alternative<CellSettings>(Read));
  EXPECT_EQ(std::get<CellSettings>(Read).Features.Admission, sched::Switch::Off);
  EXPECT_EQ(std::get<CellSettings>(Read).Features.OverloadOrder, sched::Switch::Auto);
  EXPECT_EQ(std::get<CellSettings>(Read).Features.Copies, sched::Switch::On);
  const auto Bad =
      parseCellSettings(std::string(CellText) + "[overload]\norder = \"yes\"\n", "c.toml");
  ASSERT_TRUE(std::holds_alternative<SettingsErrors>(Bad));
  EXPECT_NE(
      toString(std::get<SettingsErrors>(Bad).front()).find("c.toml:12:9: error: overload.order"),
      std::string::npos)
      << toString(std::get<SettingsErrors>(Bad).front());
}

TEST(Features, TheConfigurationGoesBeforeTheSettings) {
  sched::FeatureSwitches Settings;
  sched::CellConfiguration Config;
  EXPECT_EQ(resolveFeatures(Settings, Config),
            (Features{false, false, false, true, true, AutoCopies, true}));
  Settings.ShareAdvice = sched::Switch::Off;
  Settings.Admission = sched::Switch::On;
  EXPECT_EQ(resolveFeatures(Settings, Config),
            (Features{false, false, true, true, true, AutoCopies, true}));
  Config.Switches.Admission = sched::Switch::Off;
  Config.Switches.ShareAdvice = sched::Switch::On;
  Settings.Copies = sched::Switch::On;
  Config.Switches.Copies = sched::Switch::Off;
  EXPECT_EQ(resolveFeatures(Settings, Config), (Features{true, false, false, true, true, false}));
  Config.Switches.LearnRunTimes = sched::Switch::On;
  Config.Switches.Copies.reset();
  EXPECT_EQ(resolveFeatures(Settings, Config), (Features{true, false, false, true, false, true}));
  for (const bool IsOn : {true, false}) {
    Config.Switches.OverloadOrder = IsOn ? sched::Switch::On : sched::Switch::Off;
    EXPECT_EQ(resolveFeatures(Settings, Config).OverloadOrder, IsOn);
  }
  Config.Switches.OverloadOrder = sched::Switch::Auto;
  EXPECT_EQ(resolveFeatures(Settings, Config).OverloadOrder, AutoOverloadOrder);
}

TEST(CellConfig, BadSelectorAndUndefinedService) {
  auto Parsed = parsePartnerConfig("[[route]]\nprefix = \"/a\"\nservice = \"none\"\n"
                                   "[[steer]]\nboxes = \"rack in (\"\n",
                                   "cell.toml");
  ASSERT_TRUE(std::holds_alternative<SettingsErrors>(Parsed));
  const SettingsErrors &Errors = std::get<SettingsErrors>(Parsed);
  ASSERT_EQ(Errors.size(), 2u);
  EXPECT_NE(toString(Errors[0]).find("cell.toml:5:9: error: steer[0].boxes: selector term"),
            std::string::npos);
  EXPECT_NE(toString(Errors[1]).find("service 'none'"), std::string::npos);
}

TEST(CellConfig, StoredFormRoundTrips) {
  CellConfig Config;
  Config.Version = 7;
  Config.Parts["olano"] = {example("cell.toml"), 5, "c-1"};
  Result<CellConfig> Read = decodeCellConfig(encodeCellConfig(Config));
  ASSERT_TRUE(ok(Read));
  EXPECT_EQ(value(Read).Version, 7u);
  EXPECT_EQ(value(Read).Parts["olano"].ChangeId, "c-1");
  EXPECT_EQ(value(Read).Partners["olano"].Routes.size(), 2u);
}

TEST(Selector, TermsAndErrors) {
  const auto Matches = [](const char *Text, const Labels &Value) {
    Result<Selector> Parsed = parseSelector(Text);
    EXPECT_TRUE(ok(Parsed)) << Text;
    return matches(value(Parsed), Value);
  };
  EXPECT_TRUE(Matches("", {}));
  EXPECT_TRUE(Matches("a=1, b in (2,3), !c, d", {{"a", "1"}, {"b", "3"}, {"d", ""}}));
  EXPECT_FALSE(Matches("a!=1", {{"a", "1"}}));
  EXPECT_TRUE(Matches("a notin (1,2)", {{"a", "3"}}));
  for (const char *Bad : {"a in 1", "a=(", "=1", "a,,b", "a in (1", "a==1"})
    EXPECT_FALSE(ok(parseSelector(Bad))) << Bad;
}

} // namespace
} // namespace valveshelf
