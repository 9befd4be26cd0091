// SPDX-License-Identifier: Apache-2.0
// Schema and parser of the settings file of an entry process.
#include "config/toml_reader.h"
#include "valveshelf/settings.h"

#include <algorithm>

namespace valveshelf {
namespace {
using namespace std::chrono_literals;

void readMember(TomlReader &Table, EntrySettings &Settings) {
  Settings.Member = Table.text("name", std::nullopt);
  Settings.Partner = Table.text("partner", std::nullopt);
  Settings.Zone = Table.text("zone", std::nullopt);
  const bool HasValidCharacters =
      std::all_of(Settings.Member.begin(), Settings.Member.end(),
                  [](unsigned char C) { return std::isalnum(C) || C == '-' || C == '_'; });
  if (!HasValidCharacters)
    Table.reportError(
        "name", "has characters that are not accepted; accepted are letters, digits, - and _");
}

void readListen(TomlReader &Table, EntrySettings &Settings) {
  Settings.Callers = Table.endpoint("callers", true);
  Settings.Operators = Table.endpoint("operators", true);
  Settings.Peers = Table.endpoint("peers", true);
  const auto RejectSameAddress = [&](std::string_view Key, const Endpoint &A, const Endpoint &B) {
    if (A.Port != 0 && A == B)
      Table.reportError(Key,
                        "clashes with another address of this process; accepted is one of its own");
  };
  RejectSameAddress("operators", Settings.Operators, Settings.Callers);
  RejectSameAddress("peers", Settings.Peers, Settings.Callers);
  RejectSameAddress("peers", Settings.Peers, Settings.Operators);
}

void readPlatform(TomlReader &Table, EntrySettings &Settings) {
  Settings.Store = Table.endpoint("store", true);
  Settings.Boxes = Table.endpoint("boxes", true);
  Settings.WritesPerSecond =
      Table.number("store_writes_per_second", Settings.WritesPerSecond, 1, 1e6);
  Settings.WriteShare = Table.number("store_write_share", Settings.WriteShare, 0.05, 1.0);
}

void readTiming(TomlReader &Table, Timing &Settings) {
  Settings.Lease = Table.duration("lease", Settings.Lease, 500ms, 5min);
  Settings.Promise = Table.duration("promise", Settings.Promise, 200ms, 1min);
  Settings.Margin = Table.duration("margin", Settings.Margin, 50ms, 30s);
  Settings.Gossip = Table.duration("gossip", Settings.Gossip, 50ms, 10s);
  Settings.StoreTimeout = Table.duration("store_timeout", Settings.StoreTimeout, 50ms, 30s);
  Settings.TaskLease = Table.duration("task_lease", Settings.TaskLease, 2s, 24h);
  Settings.WorkerPoll = Table.duration("worker_poll", Settings.WorkerPoll, 50ms, 1min);
  Settings.WorkerTimeout = Table.duration("worker_timeout", Settings.WorkerTimeout, 50ms, 1min);
  Settings.StopGrace = Table.duration("stop_grace", Settings.StopGrace, 1s, 1h);
  if (Settings.Margin * 2 >= Settings.Lease)
    Table.reportError("margin", "is too large; accepted is less than half of lease");
  if (Settings.Margin * 2 >= Settings.Promise)
    Table.reportError("margin", "is too large; accepted is less than half of promise");
  if (Settings.TaskLease < Settings.WorkerPoll * 3)
    Table.reportError("task_lease", "is too short; accepted is at least three times worker_poll");
}

void readLimits(TomlReader &Table, IntakeLimits &Settings) {
  Settings.MaxHeaderBytes = Table.bytes("header_size", Settings.MaxHeaderBytes, 1024, 1 << 20);
  Settings.MaxJobBytes = Table.bytes("job_size", Settings.MaxJobBytes, 1024, 1 << 20);
  Settings.MaxConnections = Table.integer("connections", Settings.MaxConnections, 8, 100000);
  Settings.HeaderTimeout = Table.duration("header_timeout", Settings.HeaderTimeout, 100ms, 5min);
  Settings.BodyTimeout = Table.duration("body_timeout", Settings.BodyTimeout, 100ms, 1h);
}

void readAll(TomlReader &Root, EntrySettings &Settings) {
  Root.table("member", true, [&](TomlReader &T) { readMember(T, Settings); });
  Root.table("listen", true, [&](TomlReader &T) { readListen(T, Settings); });
  Root.table("platform", true, [&](TomlReader &T) { readPlatform(T, Settings); });
  Root.table("log", false, [&](TomlReader &T) {
    Settings.LogLevel = T.oneOf("level", "info", {"debug", "info", "warn", "error"});
  });
  Root.table("cell", false, [&](TomlReader &T) {
    Settings.Shards = static_cast<uint32_t>(T.integer("shards", Settings.Shards, 1, 4096));
  });
  Root.table("process", false, [&](TomlReader &T) {
    Settings.Threads = static_cast<unsigned>(T.integer("threads", Settings.Threads, 1, 64));
  });
  Root.table("timing", false, [&](TomlReader &T) { readTiming(T, Settings.Timing); });
  Root.table("limits", false, [&](TomlReader &T) { readLimits(T, Settings.Limits); });
  Settings.OperatorTokens = Root.strings("operators");
  Root.finish();
}

} // namespace

std::string toString(const SettingsError &Value) {
  return Value.File + ":" + std::to_string(Value.Line) + ":" + std::to_string(Value.Column) +
         ": error: " + Value.Field + ": " + Value.Problem;
}

std::variant<EntrySettings, SettingsErrors> parseEntrySettings(std::string_view Text,
                                                               const std::string &File) {
  TomlErrors Errors{File, {}};
  EntrySettings Settings;
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
