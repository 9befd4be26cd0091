// SPDX-License-Identifier: Apache-2.0
// Service-level burn: how many jobs of each queue met their objective, and how fast the rest uses
// up the error budget. An entry process counts the jobs that it ended as the scheduler; reports of
// several processes add up.
#pragma once

#include "valveshelf/clock.h"
#include "valveshelf/errors.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace valveshelf {

/// How a job ended, seen by its caller. Cancelled jobs are not counted.
enum class BurnOutcome { Met, Late, Failed };

struct BurnCounts {
  uint64_t Met = 0;
  uint64_t Late = 0;   ///< Complete, after its objective.
  uint64_t Failed = 0; ///< A task failed as often as allowed.
  uint64_t total() const { return Met + Late + Failed; }
  BurnCounts &operator+=(const BurnCounts &Other);
  friend bool operator==(const BurnCounts &, const BurnCounts &) = default;
};

/// Ends by queue and minute. Plain data; one thread at a time.
/// Invariant: no queue holds a minute that is older than `BurnRetention` before its newest.
struct BurnBook {
  /// Minutes since 1970.
  using Minutes = std::map<int64_t, BurnCounts>;
  std::map<std::string, Minutes> Queues;
};

/// The longest window of a report.
inline constexpr Milliseconds BurnRetention{60 * 60 * 1000};

void noteEnd(BurnBook &Book, const std::string &Queue, BurnOutcome What, WallTime Now);
/// Adds what another process counted.
void mergeBurn(BurnBook &Book, const BurnBook &Other);

/// The book as JSON, for other processes and for tools.
std::string encodeBurn(const BurnBook &Book);
/// BadRequest, naming the field, if \p Text is not what `encodeBurn` writes.
Result<BurnBook> decodeBurn(std::string_view Text);

/// One queue over one window.
struct BurnLine {
  std::string Queue;
  Milliseconds Window{0};
  BurnCounts Counts;
  double ShareMet = 1; ///< Of jobs that met their objective; 1 without jobs.
  double BurnRate = 0; ///< 1: the budget is used up exactly as fast as allowed.
};

/// Lines for the last five minutes and the last hour. \p Target is the share of jobs that has to
/// meet its objective, above 0 and below 1.
std::vector<BurnLine> burnLines(const BurnBook &Book, double Target, WallTime Now);

/// The report in its three forms. The page is self-contained and has a drawPlot a queue.
std::string burnTable(const std::vector<BurnLine> &Lines, double Target);
std::string burnJson(const std::vector<BurnLine> &Lines, double Target);
std::string burnPage(const BurnBook &Book, const std::vector<BurnLine> &Lines, double Target,
                     WallTime Now);

} // namespace valveshelf
