// SPDX-License-Identifier: Apache-2.0
// Why jobs were refused, late or not done: one cause a job, read from the logs of a cell's
// processes.
#pragma once

#include "valveshelf/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace valveshelf {

/// What the logs say of one job. Times are those of the lines, which processes write by their own
/// clocks; they are milliseconds apart.
struct JobTrace {
  std::string Queue;                   ///< Empty: no line of it tells.
  std::optional<WallTime> Accepted;    ///< The scheduler first heard of it,
  std::optional<WallTime> FirstAdvice; ///< got advice for a step,
  std::optional<WallTime> FirstPlaced; ///< ordered a start,
  std::optional<WallTime> Ended;       ///< and had its end saved.
  std::optional<WallTime> Objective;   ///< As the scheduler reckons it.
  std::string Refused;                 ///< Kind of its refusal; empty: none.
  bool Failed = false;                 ///< It ended as failed.
  bool Cancelled = false;              ///< Its caller called it off; it counts for nothing.
  uint32_t StoppedRuns = 0;            ///< Of its runs, for others or by their workers.
  uint32_t LostRuns = 0;               ///< With their workers.
  bool GivenUp = false;                ///< Because a task of it crashes its workers.
  uint32_t FailedRuns = 0;
};

/// All that was read. Add the lines of each process in their order, the processes in any.
struct LogSummary {
  std::map<std::string, JobTrace> Jobs; ///< By id.
  uint64_t LinesSuppressed = 0;         ///< Held back by the limit of the log.
  WallTime Newest{};                    ///< Time of the newest line.
};

/// Notes a line of a log; lines that tell nothing of jobs are passed over.
void readLogLine(LogSummary &Summary, std::string_view Line);

/// Why the job counts for less than it could; empty if it was in time, was cancelled, or may still
/// be.
std::string_view lossCause(const JobTrace &Job, WallTime Newest);

/// Jobs of one queue that were lost for one cause.
struct LossCount {
  std::string Queue;
  std::string Cause;
  uint64_t Jobs = 0;
};
/// By queue, the largest number first.
std::vector<LossCount> countLosses(const LogSummary &Summary);
std::string lossTable(const LogSummary &Summary, const std::vector<LossCount> &Lines);
std::string lossJson(const LogSummary &Summary, const std::vector<LossCount> &Lines);

} // namespace valveshelf
