// SPDX-License-Identifier: Apache-2.0
// The schema of the entry process's settings file.
#include "config/toml_reader.h"
#include "valveshelf/settings.h"

#include <algorithm>

namespace valveshelf {
namespace {
using namespace std::chrono_literals;

void readMember(TomlReader &Table, EntrySettings &Read) {
  Read.Member = Table.text("name", std::nullopt);
  Read.Partner = Table.text("partner", std::nullopt);
  Read.Zone = Table.text("zone", std::nullopt);
  const bool Plain = std::all_of(Read.Member.begin(), Read.Member.end(), [](unsigned char C) {
    return std::isalnum(C) || C == '-' || C == '_';
  });
  if (!Plain)
    Table.complain("name",
                   "has characters that are not accepted; accepted are letters, digits, - and _");
}

void readListen(TomlReader &Table, EntrySettings &Read) {
  Read.Callers = Table.endpoint("callers", true);
  Read.Operators = Table.endpoint("operators", true);
  Read.Peers = Table.endpoint("peers", true);
  const auto Clash = [&](std::string_view Key, const Endpoint &A, const Endpoint &B) {
    if (A.Port != 0 && A == B)
      Table.complain(Key,
                     "clashes with another address of this process; accepted is one of its own");
  };
  Clash("operators", Read.Operators, Read.Callers);
  Clash("peers", Read.Peers, Read.Callers);
  Clash("peers", Read.Peers, Read.Operators);
}

void readPlatform(TomlReader &Table, EntrySettings &Read) {
  Read.Store = Table.endpoint("store", true);
  Read.Boxes = Table.endpoint("boxes", true);
  Read.WritesPerSecond = Table.number("store_writes_per_second", Read.WritesPerSecond, 1, 1e6);
  Read.WriteShare = Table.number("store_write_share", Read.WriteShare, 0.05, 1.0);
}

void readTiming(TomlReader &Table, Timing &Read) {
  Read.Lease = Table.duration("lease", Read.Lease, 500ms, 5min);
  Read.Promise = Table.duration("promise", Read.Promise, 200ms, 1min);
  Read.Margin = Table.duration("margin", Read.Margin, 50ms, 30s);
  Read.Gossip = Table.duration("gossip", Read.Gossip, 50ms, 10s);
  Read.StoreTimeout = Table.duration("store_timeout", Read.StoreTimeout, 50ms, 30s);
  Read.TaskLease = Table.duration("task_lease", Read.TaskLease, 2s, 24h);
  Read.WorkerPoll = Table.duration("worker_poll", Read.WorkerPoll, 50ms, 1min);
  Read.WorkerTimeout = Table.duration("worker_timeout", Read.WorkerTimeout, 50ms, 1min);
  Read.StopGrace = Table.duration("stop_grace", Read.StopGrace, 1s, 1h);
  if (Read.Margin * 2 >= Read.Lease)
    Table.complain("margin", "is too large; accepted is less than half of lease");
  if (Read.Margin * 2 >= Read.Promise)
    Table.complain("margin", "is too large; accepted is less than half of promise");
  if (Read.TaskLease < Read.WorkerPoll * 3)
    Table.complain("task_lease", "is too short; accepted is at least three times worker_poll");
}

void readLimits(TomlReader &Table, IntakeLimits &Read) {
  Read.MaxHeaderBytes = Table.bytes("header_size", Read.MaxHeaderBytes, 1024, 1 << 20);
  Read.MaxJobBytes = Table.bytes("job_size", Read.MaxJobBytes, 1024, 1 << 20);
  Read.MaxConnections = Table.integer("connections", Read.MaxConnections, 8, 100000);
  Read.HeaderTimeout = Table.duration("header_timeout", Read.HeaderTimeout, 100ms, 5min);
  Read.BodyTimeout = Table.duration("body_timeout", Read.BodyTimeout, 100ms, 1h);
}

void readAll(TomlReader &Root, EntrySettings &Read) {
  Root.table("member", true, [&](TomlReader &T) { readMember(T, Read); });
  Root.table("listen", true, [&](TomlReader &T) { readListen(T, Read); });
  Root.table("platform", true, [&](TomlReader &T) { readPlatform(T, Read); });
  Root.table("log", false, [&](TomlReader &T) {
    Read.LogLevel = T.oneOf("level", "info", {"debug", "info", "warn", "error"});
  });
  Root.table("cell", false, [&](TomlReader &T) {
    Read.Shards = static_cast<uint32_t>(T.integer("shards", Read.Shards, 1, 4096));
  });
  Root.table("process", false, [&](TomlReader &T) {
    Read.Threads = static_cast<unsigned>(T.integer("threads", Read.Threads, 1, 64));
  });
  Root.table("timing", false, [&](TomlReader &T) { readTiming(T, Read.Timing); });
  Root.table("limits", false, [&](TomlReader &T) { readLimits(T, Read.Limits); });
  Read.OperatorTokens = Root.strings("operators");
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
  EntrySettings Read;
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
