// SPDX-License-Identifier: Apache-2.0
// Settings of `valveshelf serve`, which runs an entry process of a cell.
#pragma once

#include "valveshelf/cell_state.h"
#include "valveshelf/settings.h"

namespace valveshelf {

/// Timeouts, leases and intervals.
struct CellTiming {
  Milliseconds WatchTime{1500};     ///< Maximum duration of one watch call; bounds how long a dead
                                    ///< connection goes unnoticed.
  Milliseconds LeaderLease{1500};   ///< Lifetime of the leader key without renewal.
  Milliseconds MemberLease{4000};   ///< Lifetime of a member key without renewal.
  Milliseconds WorkerTimeout{150};  ///< Of a call to a worker over an unloaded link; then retried.
  Milliseconds HeartbeatWait{1800}; ///< Maximum duration of a long poll for a worker's report.
  Milliseconds HeartbeatTimeout{400}; ///< Added to HeartbeatWait. Must exceed LeaderLease / 4, for
                                      ///< which a replaced scheduler may go on unaware.
  Milliseconds WorkerLease{5000};     ///< Tasks keep running for this long without a scheduler.
  /// For how long a scheduler goes on without the store if all its peers confirm it. A successor
  /// that none of them knows of waits so much longer for workers that it can't reach.
  Milliseconds MaxOutage{20000};
  Milliseconds SaveDelay{20};      ///< How long changes are collected before they are saved.
  Milliseconds SubmitTimeout{800}; ///< A submission is accepted or refused within this time.
  Milliseconds StopGrace{6000};    ///< From SIGTERM to SIGKILL.
  /// Callers' keys are refused once the configuration has not been confirmed for this long. If
  /// empty, a process that reaches neither the store nor a peer keeps accepting the keys that it
  /// knows.
  std::optional<Milliseconds> UnconfirmedKeysTime;
};

/// The content of a settings file.
struct CellSettings {
  std::string Member;                          ///< Name of this process, unique in the cell.
  std::string Zone;                            ///< Availability zone.
  Endpoint Callers, Readiness, Peers, Metrics; ///< Addresses to listen on.
  Endpoint Store, Advice;                      ///< Of the platform; Advice only if HasAdvice.
  bool HasAdvice = false;
  std::string LogLevel;
  int LogLinesPerSecond = 40; ///< For each kind of event; 0: no limit.
  unsigned Threads = 1;
  double Power = 1;             ///< CPU cores that the process may use.
  size_t MaxDescriptors = 4096; ///< File descriptors that the process may have open.
  CellTiming Timing;
  IntakeLimits Limits;
  sched::FeatureSwitches Features;
  sched::SchedulerLimits Scheduler;
};

/// Parses and validates a settings file. \p File is its name, for error messages.
std::variant<CellSettings, SettingsErrors> parseCellSettings(std::string_view Text,
                                                             const std::string &File);

} // namespace valveshelf
