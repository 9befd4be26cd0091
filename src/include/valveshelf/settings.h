// SPDX-License-Identifier: Apache-2.0
// Settings of one process, read from a TOML file and validated completely before it starts.
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

/// One error in a settings file.
struct SettingsError {
  std::string File;
  int Line = 0; ///< From 1, as is the column.
  int Column = 0;
  std::string Field;   ///< Dotted path of the key, such as `timing.lease`.
  std::string Problem; ///< What is wrong and which values are accepted.
};

/// Formats an error as `FILE:LINE:COLUMN: error: FIELD: PROBLEM`.
std::string toString(const SettingsError &Value);

/// All errors of a file.
using SettingsErrors = std::vector<SettingsError>;

/// Timing of ownership, membership and recovery.
struct Timing {
  Milliseconds Lease{3000};   ///< Minimum duration of a process's lease in the store. Grows with
                              ///< the number of processes, to bound the rate of renewals.
  Milliseconds Promise{3000}; ///< Validity of a promise given by a peer.
  Milliseconds Margin{300};   ///< Subtracted from each lease for clock drift and delays.
  Milliseconds Gossip{500};   ///< Interval of exchanges with peers while there are updates.
  Milliseconds StoreTimeout{1000};  ///< Timeout of one call to the store.
  Milliseconds TaskLease{60000};    ///< How long a worker runs a task without a renewal.
  Milliseconds WorkerPoll{5000};    ///< Longest wait of one long poll to a worker.
  Milliseconds WorkerTimeout{1500}; ///< Timeout of a call to a worker, on top of its poll time.
  Milliseconds StopGrace{30000};    ///< How long a planned stop waits for work in progress.
};

/// Limits on requests from callers.
struct IntakeLimits {
  int64_t MaxHeaderBytes = 16 * 1024;
  int64_t MaxJobBytes = 64 * 1024;
  int64_t MaxConnections = 4096;
  Milliseconds HeaderTimeout{10000};
  Milliseconds BodyTimeout{30000};
};

/// Settings of an entry process.
struct EntrySettings {
  std::string Member;  ///< Name of this process, unique in the cell.
  std::string Partner; ///< Partner that owns the box.
  std::string Zone;    ///< Availability zone.
  Endpoint Callers, Operators, Peers;
  Endpoint Store, Boxes;
  std::string LogLevel;
  uint32_t Shards = 16;         ///< Equal in the whole cell; checked against the store.
  double WritesPerSecond = 100; ///< Write capacity of the store for all processes together.
  double WriteShare = 0.8;      ///< Fraction of the capacity that the processes may use.
  unsigned Threads = 2;
  valveshelf::Timing Timing;
  IntakeLimits Limits;
  std::map<std::string, std::string> OperatorTokens; ///< Token of the operators, by partner.
};

/// Parses and validates the settings of an entry process. \p File is the name used in errors.
/// On failure returns all errors, in the order of the file.
std::variant<EntrySettings, SettingsErrors> parseEntrySettings(std::string_view Text,
                                                               const std::string &File);

} // namespace valveshelf
