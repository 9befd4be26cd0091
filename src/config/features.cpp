// SPDX-License-Identifier: Apache-2.0
// Which features are in force, from switches in the settings and the configuration.
#include "valveshelf/features.h"

namespace valveshelf {
using namespace sched;

std::optional<Switch> parseSwitch(std::string_view Word) {
  if (Word == "auto")
    return Switch::Auto;
  if (Word == "on")
    return Switch::On;
  if (Word == "off")
    return Switch::Off;
  return std::nullopt;
}

namespace {
// True if the switch of the configuration or else of the settings is on.
bool isOn(const std::optional<Switch> &Configured, Switch Setting, bool AutoIsOn) {
  const Switch Given = Configured.value_or(Setting);
  return Given == Switch::Auto ? AutoIsOn : Given == Switch::On;
}
} // namespace

Features resolveFeatures(const FeatureSwitches &Settings, const CellConfiguration &Config) {
  const ConfiguredSwitches &Configured = Config.Switches;
  const Switch RunTimes = Configured.LearnRunTimes.value_or(Settings.LearnRunTimes);
  Features InForce;
  InForce.ShareAdvice = Configured.ShareAdvice.value_or(Settings.ShareAdvice) == Switch::On;
  InForce.OverloadOrder = isOn(Configured.OverloadOrder, Settings.OverloadOrder, AutoOverloadOrder);
  const Switch Admission = Configured.Admission.value_or(Settings.Admission);
  InForce.Admission = Admission == Switch::On;
  InForce.StartAdmission = Admission != Switch::Off;
  InForce.LearnRunTimes = RunTimes != Switch::Off;
  InForce.NeedsUnevenWorkers = RunTimes == Switch::Auto;
  InForce.Copies = isOn(Configured.Copies, Settings.Copies, AutoCopies);
  return InForce;
}

} // namespace valveshelf
