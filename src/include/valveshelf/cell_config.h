// SPDX-License-Identifier: Apache-2.0
// The operators' configuration of the cell: services, routes, quotas, placement weights and
// objectives. Each partner writes its own part; the parts together carry one version.
#pragma once

#include "valveshelf/job.h"
#include "valveshelf/resources.h"
#include "valveshelf/selector.h"
#include "valveshelf/settings.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace valveshelf {

/// A service that requests can be sent to.
struct ServiceConfig {
  std::string Name;
  Selector Instances; ///< Which upstream boxes serve it.
  int Slots = 8;      ///< Requests at once, for each instance.
  int Connections = 64;
};

/// How requests under a path prefix are treated.
struct RouteConfig {
  std::string Prefix;
  std::string Service;
  Selector Callers; ///< Labels the caller must have sent.
  JobClass Class = JobClass::Quick;
  bool Repeatable = false; ///< True if a request may be sent again after a byte was sent.
  Milliseconds Deadline{2000};
};

/// What a team may hold at once.
struct QuotaConfig {
  Resources Limit{INT64_MAX, INT64_MAX, INT64_MAX};
};

/// How a partner weighs waiting against packing, each from 0 to 1.
struct PlacementConfig {
  double Spread = 0.5;
  double Pack = 0.5;
};

/// An objective for the report on service-level burn.
struct ObjectiveConfig {
  std::string Name;
  JobClass Class = JobClass::Quick;
  Milliseconds WaitingTime{1000};
  double Target = 0.99;
};

/// Steering: workloads that match also have to meet the box selector, or are held back.
struct SteerConfig {
  Selector Workloads;
  Selector Boxes;
  bool Hold = false;
};

/// One partner's part.
struct PartnerConfig {
  std::vector<ServiceConfig> Services;
  std::vector<RouteConfig> Routes;
  std::map<std::string, QuotaConfig> TeamQuotas;
  QuotaConfig Total; ///< For the partner as a whole.
  PlacementConfig Placement;
  std::vector<ObjectiveConfig> Objectives;
  std::vector<SteerConfig> Steering;
};

/// A partner's part as it was applied.
struct ConfigPart {
  std::string Text;     ///< The TOML as written.
  uint64_t Version = 0; ///< Version of the whole that brought this text.
  std::string ChangeId; ///< Id of the change, by which a lost answer is resolved.
};

/// The whole configuration. The version only ever grows.
struct CellConfig {
  uint64_t Version = 0;
  std::map<std::string, ConfigPart> Parts; ///< By partner.
  std::map<std::string, PartnerConfig> Partners;
};

/// The configuration in force, for readers.
using ConfigSource = std::function<std::shared_ptr<const CellConfig>()>;

/// Parses and checks one partner's part.
std::variant<PartnerConfig, SettingsErrors> parsePartnerConfig(std::string_view Text,
                                                               const std::string &File);

/// The form kept in the store: the version and every partner's text, as JSON.
std::string encodeCellConfig(const CellConfig &Config);
/// Reads that form. Returns BadSettings if it can't.
Result<CellConfig> decodeCellConfig(std::string_view Text);

/// The quota of \p Team at \p Partner; unlimited if none is configured.
QuotaConfig teamQuota(const CellConfig &Config, const std::string &Partner,
                      const std::string &Team);
/// The placement weights of \p Partner.
PlacementConfig placementWeights(const CellConfig &Config, const std::string &Partner);

} // namespace valveshelf
