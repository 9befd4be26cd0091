// SPDX-License-Identifier: Apache-2.0
// The schema of the settings of `valveshelf serve`.
#include "valveshelf/cell_settings.h"

#include "config/toml_reader.h"

#include <algorithm>

namespace valveshelf {
namespace {
using namespace std::chrono_literals;

Milliseconds fromSeconds(double Seconds) {
  return Milliseconds(static_cast<int64_t>(Seconds * 1000));
}

void readMember(TomlReader &Table, CellSettings &Read) {
  Read.Member = Table.text("name", std::nullopt);
  Read.Zone = Table.text("zone", std::nullopt);
}

void readListen(TomlReader &Table, CellSettings &Read) {
  Read.Callers = Table.endpoint("callers", true);
  Read.Readiness = Table.endpoint("readiness", true);
  Read.Peers = Table.endpoint("peers", true);
  Read.Metrics = Table.endpoint("metrics", true);
}

void readPlatform(TomlReader &Table, CellSettings &Read) {
  Read.Store = Table.endpoint("store", true);
  const std::string Advice = Table.text("advice", "none");
  Read.HasAdvice = Advice != "none";
  if (Read.HasAdvice)
    Read.Advice = Table.endpoint("advice", true);
}

void readTiming(TomlReader &Table, CellTiming &Read) {
  Read.WatchTime = Table.duration("watch_time", Read.WatchTime, 100ms, 30s);
  Read.LeaderLease = Table.duration("leader_lease", Read.LeaderLease, 500ms, 1min);
  Read.MemberLease = Table.duration("member_lease", Read.MemberLease, 1s, 1min);
  Read.WorkerTimeout = Table.duration("worker_timeout", Read.WorkerTimeout, 20ms, 10s);
  Read.HeartbeatWait = Table.duration("hold_wait", Read.HeartbeatWait, 50ms, 2s);
  Read.HeartbeatTimeout = Table.duration("hold_timeout", Read.HeartbeatTimeout, 50ms, 10s);
  Read.WorkerLease = Table.duration("worker_lease", Read.WorkerLease, 1s, 1min);
  Read.SaveDelay = Table.duration("gather", Read.SaveDelay, 0ms, 1s);
  Read.SubmitTimeout = Table.duration("submit_limit", Read.SubmitTimeout, 100ms, 1min);
}

// What the platform promises about its parts.
void readBounds(TomlReader &Table, CellSettings &Read) {
  sched::SchedulerLimits &Limits = Read.Scheduler;
  const Milliseconds LongestLease = Table.duration("longest_worker_lease", 6s, 1s, 10min);
  Read.Timing.WorkerLease = std::min(Read.Timing.WorkerLease, LongestLease);
  Limits.StopTime = Table.duration("stop_time", Limits.StopTime, 0ms, 1min);
  Limits.GangTimeout = Table.duration("gang_time", Limits.GangTimeout, 10ms, 10min);
  Limits.MaxEarlyStart = Table.duration("early_time", Limits.MaxEarlyStart, 0ms, 1min);
  const double Kept = Table.number("state_kept_seconds", 120, 1, 1e6);
  Limits.EndedJobRetention = fromSeconds(Kept) + 30s;
  const bool Strict = Table.boolean("refuse_unconfirmed_keys", false);
  const Milliseconds Time = Table.duration("unconfirmed_keys_time", 5s, 100ms, 10min);
  if (Strict)
    Read.Timing.UnconfirmedKeysTime = Time;
  Read.Timing.StopGrace = fromSeconds(Table.number("stop_grace_seconds", 6, 0.1, 3600));
}

void readAll(TomlReader &Root, CellSettings &Read) {
  Root.table("member", true, [&](TomlReader &T) { readMember(T, Read); });
  Root.table("listen", true, [&](TomlReader &T) { readListen(T, Read); });
  Root.table("platform", true, [&](TomlReader &T) { readPlatform(T, Read); });
  Root.table("timing", false, [&](TomlReader &T) { readTiming(T, Read.Timing); });
  Root.table("bounds", false, [&](TomlReader &T) { readBounds(T, Read); });
  Root.table("log", false, [&](TomlReader &T) {
    Read.LogLevel = T.oneOf("level", "info", {"debug", "info", "warn", "error"});
    Read.LogLinesPerSecond =
        static_cast<int>(T.integer("lines_per_second", Read.LogLinesPerSecond, 0, 100000));
  });
  Root.table("process", false, [&](TomlReader &T) {
    Read.Threads = static_cast<unsigned>(T.integer("threads", Read.Threads, 1, 64));
    Read.MaxDescriptors = static_cast<size_t>(
        T.integer("descriptors", static_cast<int64_t>(Read.MaxDescriptors), 64, 1 << 20));
    Read.Power = T.number("power", Read.Power, 0.001, 1024);
  });
  Root.finish();
}
} // namespace

std::variant<CellSettings, SettingsErrors> parseCellSettings(std::string_view Text,
                                                             const std::string &File) {
  TomlErrors Errors{File, {}};
  CellSettings Read;
  Read.LogLevel = "info";
  try {
    const toml::table Parsed = toml::parse(Text, File);
    TomlReader Root(Parsed, "", Errors);
    readAll(Root, Read);
  } catch (const toml::parse_error &E) {
    Errors.add(E.source(), "syntax", std::string(E.description()));
  }
  if (Errors.Errors.empty())
    return Read;
  std::stable_sort(Errors.Errors.begin(), Errors.Errors.end(), [](const auto &A, const auto &B) {
    return std::pair(A.Line, A.Column) < std::pair(B.Line, B.Column);
  });
  return Errors.Errors;
}

} // namespace valveshelf
