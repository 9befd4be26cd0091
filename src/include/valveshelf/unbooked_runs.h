// SPDX-License-Identifier: Apache-2.0
// Runs that a scheduler has taken off their workers without having read their ends, and the reports
// that name such a run all the same. Each is a line of the log and counted by its reason.
#pragma once

#include "valveshelf/workload.h"

#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace valveshelf::sched {

/// How long a report that names an unbooked run is told.
inline constexpr Milliseconds UnbookedRetention{60000};
/// The most runs that are remembered; the oldest are forgotten first.
inline constexpr size_t MaxUnbookedRuns = 20000;

/// For the log: a run whose room was freed, and whose task may be started again, without its end.
struct UnbookedRun {
  RunKey Run;
  std::string Worker;
  std::string_view Why;      ///< What was taken for the proof that it is not there.
  int Sends = 0;             ///< Start orders sent by the scheduler.
  bool WasRepeated = false;  ///< The client sent one of them again.
  uint64_t Token = 0;        ///< Fencing token of the last order; 0: none was sent.
  uint64_t CurrentToken = 0; ///< Of the worker.
  Milliseconds ReportAge{0}; ///< Since the worker was asked for its last report.
};

/// For the log: a report names a run that had been unbooked.
struct ContradictedRun {
  RunKey Run;
  std::string Worker;
  std::string_view Why;  ///< As in `UnbookedRun`.
  std::string_view As;   ///< "active", or how the run ended.
  Milliseconds Since{0}; ///< Since it was unbooked.
};

/// The runs unbooked in the last `UnbookedRetention`.
/// Invariant: ByAge has the keys of Runs, oldest first, and may have others, which are ignored.
struct UnbookedRuns {
  using Key = std::pair<std::string, RunKey>; ///< Worker id and run.
  struct Entry {
    TimePoint At{};
    std::string_view Why;
  };
  std::map<Key, Entry> Runs;
  std::deque<std::pair<TimePoint, Key>> ByAge;
};

} // namespace valveshelf::sched
