// SPDX-License-Identifier: Apache-2.0
// Error budget burn: how many jobs of each queue met their objective, and how fast the others
// consume the error budget. Each process counts the jobs that it ended while it was the scheduler;
// the counts of several processes can be merged.
#pragma once

#include "valveshelf/clock.h"
#include "valveshelf/errors.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace valveshelf {

/// How a job ended for its caller. Cancelled jobs are not counted.
enum class BurnOutcome { Met, Late, Failed };

struct BurnCounts {
  uint64_t Met = 0;
  uint64_t Late = 0;   ///< Completed after the objective.
  uint64_t Failed = 0; ///< A task used up its allowed failures.
  uint64_t total() const { return Met + Late + Failed; }
  BurnCounts &operator+=(const BurnCounts &Other);
  friend bool operator==(const BurnCounts &, const BurnCounts &) = default;
};

/// Counts of ended jobs by queue and minute. Not thread-safe.
/// Invariant, kept by noteEnd(): no minute of a queue is more than `BurnRetention` older than the
/// newest of that queue.
struct BurnBook {
  /// Minutes since 1970.
  using Minutes = std::map<int64_t, BurnCounts>;
  std::map<std::string, Minutes> Queues;
};

/// How long counts are kept; also the longest window of a report.
inline constexpr Milliseconds BurnRetention{60 * 60 * 1000};

void noteEnd(BurnBook &Book, const std::string &Queue, BurnOutcome What, WallTime Now);
/// Adds the counts of another process to \p Book.
void mergeBurn(BurnBook &Book, const BurnBook &Other);

/// Encodes the counts as JSON, the body of `/v1/burn`.
std::string encodeBurn(const BurnBook &Book);
/// Decodes the output of encodeBurn(). Returns BadRequest naming the field if \p Text is malformed.
Result<BurnBook> decodeBurn(std::string_view Text);

/// Error budget of one queue over one window.
struct BurnLine {
  std::string Queue;
  Milliseconds Window{0};
  BurnCounts Counts;
  double ShareMet = 1; ///< Share of jobs that met their objective; 1 without jobs.
  double BurnRate = 0; ///< 1 consumes the budget exactly as fast as allowed.
};

/// Computes a line per queue for each of the last five minutes and the last hour. \p Target is the
/// share of jobs that must meet their objective, above 0 and below 1.
std::vector<BurnLine> burnLines(const BurnBook &Book, double Target, WallTime Now);

/// The report as a text table, as JSON and as a self-contained HTML page with one plot per queue.
std::string burnTable(const std::vector<BurnLine> &Lines, double Target);
std::string burnJson(const std::vector<BurnLine> &Lines, double Target);
std::string burnPage(const BurnBook &Book, const std::vector<BurnLine> &Lines, double Target,
                     WallTime Now);

} // namespace valveshelf
