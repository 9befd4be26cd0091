// SPDX-License-Identifier: Apache-2.0
// The schema of a partner's part of the configuration, and its form in the store.
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
  ServiceConfig Read;
  Read.Name = Table.text("name", std::nullopt);
  Read.Instances = Table.selector("instances");
  Read.Slots = static_cast<int>(Table.integer("slots", 8, 1, 10000));
  Read.Connections = static_cast<int>(Table.integer("connections", 64, 1, 100000));
  return Read;
}

RouteConfig readRoute(TomlReader &Table) {
  RouteConfig Read;
  Read.Prefix = Table.text("prefix", std::nullopt);
  if (!Read.Prefix.empty() && Read.Prefix.front() != '/')
    Table.complain("prefix",
                   "'" + Read.Prefix + "' is not a path; accepted is one that begins with /");
  Read.Service = Table.text("service", std::nullopt);
  Read.Callers = Table.selector("callers");
  Read.Class = readClass(Table, "quick");
  Read.Repeatable = Table.boolean("repeatable", false);
  Read.Deadline = Table.duration("deadline", 2000ms, 10ms, 1h);
  return Read;
}

ObjectiveConfig readObjective(TomlReader &Table) {
  ObjectiveConfig Read;
  Read.Name = Table.text("name", std::nullopt);
  Read.Class = readClass(Table, "quick");
  Read.WaitingTime = Table.duration("waiting_time", 1000ms, 1ms, 24h);
  Read.Target = Table.number("target", 0.99, 0.5, 0.99999);
  return Read;
}

SteerConfig readSteer(TomlReader &Table) {
  SteerConfig Read;
  Read.Workloads = Table.selector("workloads");
  Read.Boxes = Table.selector("boxes");
  Read.Hold = Table.boolean("hold", false);
  return Read;
}

void checkRoutes(TomlReader &Root, const PartnerConfig &Read) {
  for (const RouteConfig &Route : Read.Routes) {
    const bool Found = std::any_of(Read.Services.begin(), Read.Services.end(),
                                   [&](const ServiceConfig &S) { return S.Name == Route.Service; });
    if (!Found)
      Root.complain("route", "service '" + Route.Service + "' of prefix '" + Route.Prefix +
                                 "' is not defined; accepted is the name of a [[service]]");
  }
}

void readAll(TomlReader &Root, PartnerConfig &Read) {
  Root.tables("service", [&](TomlReader &T) { Read.Services.push_back(readService(T)); });
  Root.tables("route", [&](TomlReader &T) { Read.Routes.push_back(readRoute(T)); });
  Root.tables("objective", [&](TomlReader &T) { Read.Objectives.push_back(readObjective(T)); });
  Root.tables("steer", [&](TomlReader &T) { Read.Steering.push_back(readSteer(T)); });
  Root.named("team", [&](const std::string &Name, TomlReader &T) {
    Read.TeamQuotas[Name].Limit = T.resources("quota", Read.TeamQuotas[Name].Limit);
  });
  Read.Total.Limit = Root.resources("quota", Read.Total.Limit);
  Root.table("placement", false, [&](TomlReader &T) {
    Read.Placement.Spread = T.number("spread", 0.5, 0, 1);
    Read.Placement.Pack = T.number("pack", 0.5, 0, 1);
  });
  Root.finish();
  checkRoutes(Root, Read);
}

Result<ConfigPart> decodePart(const boost::json::value &Value) {
  try {
    const boost::json::object &Object = Value.as_object();
    return ConfigPart{std::string(Object.at("text").as_string()),
                      Object.at("version").to_number<uint64_t>(),
                      std::string(Object.at("change").as_string())};
  } catch (const std::exception &) {
    return Error{ErrorKind::BadSettings, "a part of the stored configuration can't be read"};
  }
}

} // namespace

std::variant<PartnerConfig, SettingsErrors> parsePartnerConfig(std::string_view Text,
                                                               const std::string &File) {
  TomlErrors Errors{File, {}};
  PartnerConfig Read;
  try {
    const toml::table Parsed = toml::parse(Text, File);
    TomlReader Root(Parsed, "", Errors);
    readAll(Root, Read);
  } catch (const toml::parse_error &E) {
    Errors.add(E.source(), "syntax", std::string(E.description()));
  }
  if (!Errors.Errors.empty())
    return Errors.Errors;
  return Read;
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
  const Error Wrong{ErrorKind::BadSettings, "the stored configuration can't be read"};
  if (Failure || !Root.is_object())
    return Wrong;
  const auto *Version = Root.as_object().if_contains("version");
  const auto *Parts = Root.as_object().if_contains("parts");
  if (!Version || !Version->is_number() || !Parts || !Parts->is_object())
    return Wrong;
  CellConfig Read;
  Read.Version = Version->to_number<uint64_t>();
  for (const auto &[Partner, Value] : Parts->as_object()) {
    const std::string Name(Partner);
    Result<ConfigPart> Part = decodePart(Value);
    if (!ok(Part))
      return error(Part);
    auto Parsed = parsePartnerConfig(value(Part).Text, Name);
    if (auto *Errors = std::get_if<SettingsErrors>(&Parsed))
      return Error{ErrorKind::BadSettings, toString(Errors->front())};
    Read.Parts[Name] = std::move(value(Part));
    Read.Partners[Name] = std::get<PartnerConfig>(Parsed);
  }
  return Read;
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
