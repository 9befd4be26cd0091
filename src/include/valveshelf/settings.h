// SPDX-License-Identifier: Apache-2.0
// A process's own settings, read from TOML and checked whole before anything starts.
#pragma once

#include "valveshelf/clock.h"
#include "valveshelf/endpoint.h"
#include "valveshelf/errors.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace valveshelf {

/// One thing that is wrong in a settings file.
struct SettingsError {
  std::string File;
  int Line = 0;
  int Column = 0;
  std::string Field;
  std::string Problem; ///< What is wrong and what is accepted.
};

/// `FILE:LINE:COLUMN: error: FIELD: what is wrong and what is accepted`.
std::string toString(const SettingsError &Value);

/// All that is wrong, in the order of the file.
using SettingsErrors = std::vector<SettingsError>;

/// The times that ownership, membership and recovery are built from.
struct Timing {
  Milliseconds Lease{3000};         ///< Shortest life of a process's lease in the store. It grows
                                    ///< with the fleet so that renewals stay within the budget.
  Milliseconds Promise{3000};       ///< How long a peer's promise holds.
  Milliseconds Margin{300};         ///< Taken off every lease for clock rates and delays.
  Milliseconds Gossip{500};         ///< Between two exchanges with peers while there is news.
  Milliseconds StoreTimeout{1000};  ///< For one call to the store.
  Milliseconds TaskLease{60000};    ///< How long a worker runs a task without word from us.
  Milliseconds WorkerPoll{5000};    ///< Longest wait of one call to a worker for news.
  Milliseconds WorkerTimeout{1500}; ///< For one call to a worker beyond the wait it asked for.
  Milliseconds StopGrace{30000};    ///< How long a planned stop waits for work in progress.
};

/// What protects a process from its callers.
struct IntakeLimits {
  int64_t MaxHeaderBytes = 16 * 1024;
  int64_t MaxJobBytes = 64 * 1024;
  int64_t MaxConnections = 4096;
  Milliseconds HeaderTimeout{10000};
  Milliseconds BodyTimeout{30000};
};

/// Everything in the entry process's own file.
struct EntrySettings {
  std::string Member;  ///< Name of this process, unique in the cell.
  std::string Partner; ///< Whose box this is.
  std::string Zone;    ///< Availability zone.
  Endpoint Callers, Operators, Peers;
  Endpoint Store, Boxes;
  std::string LogLevel;
  uint32_t Shards = 16;         ///< Same in the whole cell; checked against the store.
  double WritesPerSecond = 100; ///< What the store takes from the whole fleet.
  double WriteShare = 0.8;      ///< Part of that which the fleet may plan to use.
  unsigned Threads = 2;
  valveshelf::Timing Timing;
  IntakeLimits Limits;
  std::map<std::string, std::string> OperatorTokens; ///< Partner to its operators' token.
};

/// Parses and checks an entry file. \p File is used in errors only. On failure the variant
/// holds every error found, not just the first.
std::variant<EntrySettings, SettingsErrors> parseEntrySettings(std::string_view Text,
                                                               const std::string &File);

} // namespace valveshelf
