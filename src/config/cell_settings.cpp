// SPDX-License-Identifier: Apache-2.0
// Schema and parser of the settings file of `valveshelf serve`.
#include "valveshelf/cell_settings.h"

#include "config/toml_reader.h"
#include "valveshelf/features.h"

#include <algorithm>

namespace valveshelf {
namespace {
using namespace std::chrono_literals;

Milliseconds fromSeconds(double Seconds) {
  return Milliseconds(static_cast<int64_t>(Seconds * 1000));
}

void readMember(TomlReader &Table, CellSettings &Settings) {
  Settings.Member = Table.text("name", std::nullopt);
  Settings.Zone = Table.text("zone", std::nullopt);
}

void readListen(TomlReader &Table, CellSettings &Settings) {
  Settings.Callers = Table.endpoint("callers", true);
  Settings.Readiness = Table.endpoint("readiness", true);
  Settings.Peers = Table.endpoint("peers", true);
  Settings.Metrics = Table.endpoint("metrics", true);
}

void readPlatform(TomlReader &Table, CellSettings &Settings) {
  Settings.Store = Table.endpoint("store", true);
  const std::string Advice = Table.text("advice", "none");
  Settings.HasAdvice = Advice != "none";
  if (Settings.HasAdvice)
    Settings.Advice = Table.endpoint("advice", true);
}

sched::Switch readSwitch(TomlReader &Table, std::string_view Key) {
  return parseSwitch(Table.oneOf(Key, "auto", {"auto", "on", "off"})).value_or(sched::Switch::Auto);
}

void readOverload(TomlReader &Table, sched::FeatureSwitches &Switches) {
  Switches.ShareAdvice = readSwitch(Table, "share_advice");
  Switches.OverloadOrder = readSwitch(Table, "order");
  Switches.Admission = readSwitch(Table, "admission");
  Switches.LearnRunTimes = readSwitch(Table, "learn_run_times");
  Switches.Copies = readSwitch(Table, "copies");
}

void readTiming(TomlReader &Table, CellTiming &Settings) {
  Settings.WatchTime = Table.duration("watch_time", Settings.WatchTime, 100ms, 30s);
  Settings.LeaderLease = Table.duration("leader_lease", Settings.LeaderLease, 500ms, 1min);
  Settings.MemberLease = Table.duration("member_lease", Settings.MemberLease, 1s, 1min);
  Settings.WorkerTimeout = Table.duration("worker_timeout", Settings.WorkerTimeout, 20ms, 10s);
  Settings.HeartbeatWait = Table.duration("hold_wait", Settings.HeartbeatWait, 50ms, 2s);
  Settings.HeartbeatTimeout = Table.duration("hold_timeout", Settings.HeartbeatTimeout, 50ms, 10s);
  Settings.WorkerLease = Table.duration("worker_lease", Settings.WorkerLease, 1s, 1min);
  Settings.SaveDelay = Table.duration("gather", Settings.SaveDelay, 0ms, 1s);
  Settings.SubmitTimeout = Table.duration("submit_limit", Settings.SubmitTimeout, 100ms, 1min);
}

// Time bounds that the platform guarantees, such as its longest worker lease.
void readBounds(TomlReader &Table, CellSettings &Settings) {
  sched::SchedulerLimits &Limits = Settings.Scheduler;
  const Milliseconds MaxLease = Table.duration("longest_worker_lease", 6s, 1s, 10min);
  Settings.Timing.WorkerLease = std::min(Settings.Timing.WorkerLease, MaxLease);
  Limits.WorkerLease = MaxLease;
  Limits.StopTime = Table.duration("stop_time", Limits.StopTime, 0ms, 1min);
  Limits.GangTimeout = Table.duration("gang_time", Limits.GangTimeout, 10ms, 10min);
  Limits.MaxEarlyStart = Table.duration("early_time", Limits.MaxEarlyStart, 0ms, 1min);
  const double RetentionSeconds = Table.number("state_kept_seconds", 120, 1, 1e6);
  Limits.EndedJobRetention = fromSeconds(RetentionSeconds) + 30s;
  const bool RefuseUnconfirmedKeys = Table.boolean("refuse_unconfirmed_keys", false);
  const Milliseconds Time = Table.duration("unconfirmed_keys_time", 5s, 100ms, 10min);
  if (RefuseUnconfirmedKeys)
    Settings.Timing.UnconfirmedKeysTime = Time;
  Settings.Timing.StopGrace = fromSeconds(Table.number("stop_grace_seconds", 6, 0.1, 3600));
}

void readAll(TomlReader &Root, CellSettings &Settings) {
  Root.table("member", true, [&](TomlReader &T) { readMember(T, Settings); });
  Root.table("listen", true, [&](TomlReader &T) { readListen(T, Settings); });
  Root.table("platform", true, [&](TomlReader &T) { readPlatform(T, Settings); });
  Root.table("timing", false, [&](TomlReader &T) { readTiming(T, Settings.Timing); });
  Root.table("bounds", false, [&](TomlReader &T) { readBounds(T, Settings); });
  Root.table("overload", false, [&](TomlReader &T) { readOverload(T, Settings.Features); });
  Root.table("log", false, [&](TomlReader &T) {
    Settings.LogLevel = T.oneOf("level", "info", {"debug", "info", "warn", "error"});
    Settings.LogLinesPerSecond =
        static_cast<int>(T.integer("lines_per_second", Settings.LogLinesPerSecond, 0, 100000));
  });
  Root.table("process", false, [&](TomlReader &T) {
    Settings.Threads = static_cast<unsigned>(T.integer("threads", Settings.Threads, 1, 64));
    Settings.MaxDescriptors = static_cast<size_t>(
        T.integer("descriptors", static_cast<int64_t>(Settings.MaxDescriptors), 64, 1 << 20));
    Settings.Power = T.number("power", Settings.Power, 0.001, 1024);
  });
  Root.finish();
}
} // namespace

std::variant<CellSettings, SettingsErrors> parseCellSettings(std::string_view Text,
                                                             const std::string &File) {
  TomlErrors Errors{File, {}};
  CellSettings Settings;
  Settings.LogLevel = "info";
  try {
    const toml::table Parsed = toml::parse(Text, File);
    TomlReader Root(Parsed, "", Errors);
    readAll(Root, Settings);
  } catch (const toml::parse_error &E) {
    Errors.add(E.source(), "syntax", std::string(E.description()));
  }
  if (Errors.Errors.empty())
    return Settings;
  std::stable_sort(Errors.Errors.begin(), Errors.Errors.end(), [](const auto &A, const auto &B) {
    return std::pair(A.Line, A.Column) < std::pair(B.Line, B.Column);
  });
  return Errors.Errors;
}

} // namespace valveshelf
