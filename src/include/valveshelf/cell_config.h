// SPDX-License-Identifier: Apache-2.0
// The operators' configuration of the cell: services, routes, quotas, placement weights and
// objectives. Each partner writes its own part; all parts share one version.
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
  Selector Instances; ///< Upstream boxes that serve it.
  int Slots = 8;      ///< Concurrent requests to each instance.
  int Connections = 64;
};

/// Routing of the requests under a path prefix.
struct RouteConfig {
  std::string Prefix;
  std::string Service;
  Selector Callers; ///< Labels the caller must have sent.
  JobClass Class = JobClass::Quick;
  bool Repeatable = false; ///< True if a request may be retried after part of it was sent.
  Milliseconds Deadline{2000};
};

/// Limit on the resources that a team or partner may hold at a time.
struct QuotaConfig {
  Resources Limit{INT64_MAX, INT64_MAX, INT64_MAX};
};

/// Weights of a partner for spreading work over boxes and for packing it densely, each from 0 to 1.
struct PlacementConfig {
  double Spread = 0.5;
  double Pack = 0.5;
};

/// A service-level objective for the burn report.
struct ObjectiveConfig {
  std::string Name;
  JobClass Class = JobClass::Quick;
  Milliseconds WaitingTime{1000};
  double Target = 0.99;
};

/// Placement rule: workloads that match may only run on boxes that match or, with `Hold`, are not
/// placed.
struct SteerConfig {
  Selector Workloads;
  Selector Boxes;
  bool Hold = false;
};

/// The configuration of one partner.
struct PartnerConfig {
  std::vector<ServiceConfig> Services;
  std::vector<RouteConfig> Routes;
  std::map<std::string, QuotaConfig> TeamQuotas;
  QuotaConfig Total; ///< For all teams of the partner together.
  PlacementConfig Placement;
  std::vector<ObjectiveConfig> Objectives;
  std::vector<SteerConfig> Steering;
};

/// A partner's part as stored.
struct ConfigPart {
  std::string Text;     ///< The TOML as written.
  uint64_t Version = 0; ///< Version of the configuration that introduced this text.
  std::string ChangeId; ///< `ConfigChange::Id`, for `ConfigKeeper::resolve`.
};

/// The configuration of all partners. Its version only increases.
struct CellConfig {
  uint64_t Version = 0;
  std::map<std::string, ConfigPart> Parts; ///< By partner.
  std::map<std::string, PartnerConfig> Partners;
};

/// Returns the configuration in force.
using ConfigSource = std::function<std::shared_ptr<const CellConfig>()>;

/// Parses and validates one partner's part. \p File is its name, for error messages.
std::variant<PartnerConfig, SettingsErrors> parsePartnerConfig(std::string_view Text,
                                                               const std::string &File);

/// Encodes the version and every partner's text as JSON, the format kept in the store.
std::string encodeCellConfig(const CellConfig &Config);
/// Decodes that format. Returns BadSettings if \p Text is malformed.
Result<CellConfig> decodeCellConfig(std::string_view Text);

/// The quota of \p Team at \p Partner; unlimited if none is configured.
QuotaConfig teamQuota(const CellConfig &Config, const std::string &Partner,
                      const std::string &Team);
/// The weights of \p Partner; the defaults if it has no configuration.
PlacementConfig placementWeights(const CellConfig &Config, const std::string &Partner);

} // namespace valveshelf
