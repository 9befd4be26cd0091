// SPDX-License-Identifier: Apache-2.0
// Schema of a partner's part of the cell configuration, and the JSON form of the whole in the
// store.
#include "valveshelf/cell_config.h"

#include "config/toml_reader.h"

#include <boost/json.hpp>

#include <algorithm>

namespace valveshelf {
namespace {
using namespace std::chrono_literals;
const std::vector<std::string> ClassNames{"urgent", "quick", "service", "batch"};

JobClass readClass(TomlReader &Table, std::string_view Default) {
  return parseClass(Table.oneOf("class", std::string(Default), ClassNames))
      .value_or(JobClass::Batch);
}

ServiceConfig readService(TomlReader &Table) {
  ServiceConfig Config;
  Config.Name = Table.text("name", std::nullopt);
  Config.Instances = Table.selector("instances");
  Config.Slots = static_cast<int>(Table.integer("slots", 8, 1, 10000));
  Config.Connections = static_cast<int>(Table.integer("connections", 64, 1, 100000));
  return Config;
}

RouteConfig readRoute(TomlReader &Table) {
  RouteConfig Config;
  Config.Prefix = Table.text("prefix", std::nullopt);
  if (!Config.Prefix.empty() && Config.Prefix.front() != '/')
    Table.reportError("prefix",
                      "'" + Config.Prefix + "' is not a path; accepted is one that begins with /");
  Config.Service = Table.text("service", std::nullopt);
  Config.Callers = Table.selector("callers");
  Config.Class = readClass(Table, "quick");
  Config.Repeatable = Table.boolean("repeatable", false);
  Config.Deadline = Table.duration("deadline", 2000ms, 10ms, 1h);
  return Config;
}

ObjectiveConfig readObjective(TomlReader &Table) {
  ObjectiveConfig Config;
  Config.Name = Table.text("name", std::nullopt);
  Config.Class = readClass(Table, "quick");
  Config.WaitingTime = Table.duration("waiting_time", 1000ms, 1ms, 24h);
  Config.Target = Table.number("target", 0.99, 0.5, 0.99999);
  return Config;
}

SteerConfig readSteer(TomlReader &Table) {
  SteerConfig Config;
  Config.Workloads = Table.selector("workloads");
  Config.Boxes = Table.selector("boxes");
  Config.Hold = Table.boolean("hold", false);
  return Config;
}

void checkRoutes(TomlReader &Root, const PartnerConfig &Config) {
  for (const RouteConfig &Route : Config.Routes) {
    const bool Found = std::any_of(Config.Services.begin(), Config.Services.end(),
                                   [&](const ServiceConfig &S) { return S.Name == Route.Service; });
    if (!Found)
      Root.reportError("route", "service '" + Route.Service + "' of prefix '" + Route.Prefix +
                                    "' is not defined; accepted is the name of a [[service]]");
  }
}

void readAll(TomlReader &Root, PartnerConfig &Config) {
  Root.tables("service", [&](TomlReader &T) { Config.Services.push_back(readService(T)); });
  Root.tables("route", [&](TomlReader &T) { Config.Routes.push_back(readRoute(T)); });
  Root.tables("objective", [&](TomlReader &T) { Config.Objectives.push_back(readObjective(T)); });
  Root.tables("steer", [&](TomlReader &T) { Config.Steering.push_back(readSteer(T)); });
  Root.namedTables("team", [&](const std::string &Name, TomlReader &T) {
    Config.TeamQuotas[Name].Limit = T.resources("quota", Config.TeamQuotas[Name].Limit);
  });
  Config.Total.Limit = Root.resources("quota", Config.Total.Limit);
  Root.table("placement", false, [&](TomlReader &T) {
    Config.Placement.Spread = T.number("spread", 0.5, 0, 1);
    Config.Placement.Pack = T.number("pack", 0.5, 0, 1);
  });
  Root.finish();
  checkRoutes(Root, Config);
}

Result<ConfigPart> decodePart(const boost::json::value &Value) {
  try {
    const boost::json::object &Object = Value.as_object();
    return ConfigPart{std::string(Object.at("text").as_string()),
                      Object.at("version").to_number<uint64_t>(),
                      std::string(Object.at("change").as_string())};
  } catch (const std::exception &) {
    return Error{ErrorKind::BadSettings,
                 "part of the stored configuration lacks a valid 'text', 'version' or 'change'"};
  }
}

} // namespace

std::variant<PartnerConfig, SettingsErrors> parsePartnerConfig(std::string_view Text,
                                                               const std::string &File) {
  TomlErrors Errors{File, {}};
  PartnerConfig Config;
  try {
    const toml::table Parsed = toml::parse(Text, File);
    TomlReader Root(Parsed, "", Errors);
    readAll(Root, Config);
  } catch (const toml::parse_error &E) {
    Errors.add(E.source(), "syntax", std::string(E.description()));
  }
  if (!Errors.Errors.empty())
    return Errors.Errors;
  return Config;
}

std::string encodeCellConfig(const CellConfig &Config) {
  boost::json::object Parts;
  for (const auto &[Partner, Part] : Config.Parts)
    Parts[Partner] = boost::json::object{
        {"text", Part.Text}, {"version", Part.Version}, {"change", Part.ChangeId}};
  return boost::json::serialize(
      boost::json::object{{"version", Config.Version}, {"parts", std::move(Parts)}});
}

Result<CellConfig> decodeCellConfig(std::string_view Text) {
  boost::json::error_code Failure;
  const boost::json::value Root =
      boost::json::parse(boost::json::string_view(Text.data(), Text.size()), Failure);
  const Error Wrong{ErrorKind::BadSettings,
                    "stored configuration is not a JSON object with 'version' and 'parts'"};
  if (Failure || !Root.is_object())
    return Wrong;
  const auto *Version = Root.as_object().if_contains("version");
  const auto *Parts = Root.as_object().if_contains("parts");
  if (!Version || !Version->is_number() || !Parts || !Parts->is_object())
    return Wrong;
  CellConfig Config;
  Config.Version = Version->to_number<uint64_t>();
  for (const auto &[Partner, Value] : Parts->as_object()) {
    const std::string Name(Partner);
    Result<ConfigPart> Part = decodePart(Value);
    if (!ok(Part))
      return error(Part);
    auto Parsed = parsePartnerConfig(value(Part).Text, Name);
    if (auto *Errors = std::get_if<SettingsErrors>(&Parsed))
      return Error{ErrorKind::BadSettings, toString(Errors->front())};
    Config.Parts[Name] = std::move(value(Part));
    Config.Partners[Name] = std::get<PartnerConfig>(Parsed);
  }
  return Config;
}

QuotaConfig teamQuota(const CellConfig &Config, const std::string &Partner,
                      const std::string &Team) {
  const auto Found = Config.Partners.find(Partner);
  if (Found == Config.Partners.end())
    return {};
  const auto Quota = Found->second.TeamQuotas.find(Team);
  return Quota == Found->second.TeamQuotas.end() ? QuotaConfig{} : Quota->second;
}

PlacementConfig placementWeights(const CellConfig &Config, const std::string &Partner) {
  const auto Found = Config.Partners.find(Partner);
  return Found == Config.Partners.end() ? PlacementConfig{} : Found->second.Placement;
}

} // namespace valveshelf
