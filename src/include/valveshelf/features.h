// SPDX-License-Identifier: Apache-2.0
// Switches of the features for overload and uneven workers, and which of them are in force.
// docs/design/overload.md says what each feature does.
#pragma once

#include "valveshelf/workload.h"

#include <optional>
#include <string_view>

namespace valveshelf {

/// Reads "auto", "on" or "off"; empty for other words.
std::optional<sched::Switch> parseSwitch(std::string_view Word);

/// The features in force. All off: the scheduler and admission behave as without them.
struct Features {
  bool ShareAdvice = false;   ///< Capacity for advice requests is shared between services.
  bool OverloadOrder = false; ///< The queue order under overload serves the most jobs in time.
  bool Admission = false;     ///< Jobs that the forecast shows to be late are refused.
  bool LearnRunTimes = false; ///< Run times and worker speeds are learned.
  /// Learned times are used only while many workers are seen to be slow.
  bool NeedsUnevenWorkers = false;
  bool Copies = false; ///< Slow runs of speculative steps are copied.
  /// Jobs are refused that the scheduler can't start in time because it has more starts to order
  /// than it can do.
  bool StartAdmission = false;
  friend bool operator==(const Features &, const Features &) = default;
};

/// True if jobs may be refused for their expected wait.
inline bool mayRefuse(const Features &InForce) {
  return InForce.Admission || InForce.StartAdmission;
}

/// What `Switch::Auto` means for `Features::Copies`.
inline constexpr bool AutoCopies = false;

/// What `Switch::Auto` means for `Features::OverloadOrder`. The order acts only while an overload
/// is observed.
inline constexpr bool AutoOverloadOrder = false;

/// The features in force under the settings of a process and the operators' configuration, whose
/// switches take precedence. `Switch::Auto` means off, but for Copies and OverloadOrder,
/// where `AutoCopies` and `AutoOverloadOrder` decide, for LearnRunTimes, which then needs uneven
/// workers, and for Admission, which then is StartAdmission alone. Pure.
Features resolveFeatures(const sched::FeatureSwitches &Settings,
                         const sched::CellConfiguration &Config);

} // namespace valveshelf
