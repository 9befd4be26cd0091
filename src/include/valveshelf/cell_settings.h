// SPDX-License-Identifier: Apache-2.0
// Settings of `valveshelf serve`: one entry process of a cell on the users' platform.
#pragma once

#include "valveshelf/cell_state.h"
#include "valveshelf/settings.h"

namespace valveshelf {

/// Times of the process itself. Defaults come from the runs named in docs/design/platform.md.
struct CellTiming {
  Milliseconds WatchTime{1500};    ///< Longest wait of one watch; bounds how long a dead
                                   ///< connection goes unnoticed.
  Milliseconds LeaderLease{1500};  ///< Life of the scheduler's key without renewal.
  Milliseconds MemberLease{4000};  ///< Life of a member's key without renewal.
  Milliseconds WorkerTimeout{150}; ///< For one order to a worker on a calm link; it is sent
                                   ///< again then.
  Milliseconds HoldWait{1800};     ///< A worker's report is awaited so long.
  Milliseconds HoldTimeout{400};   ///< Beyond that wait; a replaced scheduler goes on for at most
                                   ///< LeaderLease / 4 without knowing, and this is longer.
  Milliseconds WorkerLease{5000};  ///< A worker runs on so long without word of us.
  Milliseconds SaveDelay{20};      ///< Ends are gathered so long before they are saved.
  Milliseconds SubmitTimeout{800}; ///< A submission is decided by then.
  Milliseconds StopGrace{6000};    ///< From SIGTERM to SIGKILL.
  /// Callers' keys are refused when the configuration was not confirmed for so long; empty: a
  /// process that hears neither the store nor its peers goes on with the keys that it knows.
  std::optional<Milliseconds> UnconfirmedKeysTime;
};

/// Everything in the file.
struct CellSettings {
  std::string Member; ///< Name of this process, unique in the cell.
  std::string Zone;   ///< Availability zone.
  Endpoint Callers, Readiness, Peers, Metrics;
  Endpoint Store, Advice;
  bool HasAdvice = false;
  std::string LogLevel;
  int LogLinesPerSecond = 40; ///< Of one kind of event; 0: no limit.
  unsigned Threads = 1;
  double Power = 1;             ///< Cores that the process may use.
  size_t MaxDescriptors = 4096; ///< That the process may have open.
  CellTiming Timing;
  IntakeLimits Limits;
  sched::SchedulerLimits Scheduler;
};

/// Parses and checks a file; \p File is used in errors only.
std::variant<CellSettings, SettingsErrors> parseCellSettings(std::string_view Text,
                                                             const std::string &File);

} // namespace valveshelf
