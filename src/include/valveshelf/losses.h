// SPDX-License-Identifier: Apache-2.0
// Attributes each refused, late or failed job to one cause, from the logs of a cell's processes.
// Used by `valveshelf report losses`.
#pragma once

#include "valveshelf/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace valveshelf {

/// The log events of one job. Times are those of the log lines; clocks of different processes may
/// differ by milliseconds.
struct JobTrace {
  std::string Queue;                   ///< Empty if no line names it.
  std::optional<WallTime> Accepted;    ///< First accepted by the scheduler.
  std::optional<WallTime> FirstAdvice; ///< First advice received for a step.
  std::optional<WallTime> FirstPlaced; ///< First placement of a step.
  std::optional<WallTime> Ended;       ///< End logged.
  std::optional<WallTime> Objective;   ///< Computed by the scheduler.
  std::string Refused;                 ///< Kind or cause of the refusal; empty if there was none.
  bool Failed = false;                 ///< Ended as failed.
  bool Cancelled = false;              ///< Cancelled by its caller; never a loss.
  uint32_t StoppedRuns = 0;            ///< Runs stopped by the scheduler, as by preemption.
  uint32_t LostRuns = 0;               ///< Runs whose worker was lost.
  bool GivenUp = false;                ///< Abandoned because a task crashes its workers.
  uint32_t FailedRuns = 0;
};

/// Job events of all logs read. Lines of one process must be added in order; processes may be added
/// in any order.
struct LogSummary {
  std::map<std::string, JobTrace> Jobs; ///< By job id.
  uint64_t LinesSuppressed = 0;         ///< Suppressed by the log rate limit.
  WallTime Newest{};                    ///< Time of the newest line.
};

/// Adds a log line to \p Summary; lines without a job event are ignored.
void readLogLine(LogSummary &Summary, std::string_view Line);

/// The cause of the job's loss as of \p Newest, the time of the newest line. Empty if the job met
/// its objective, was cancelled, or may still meet its objective.
std::string_view lossCause(const JobTrace &Job, WallTime Newest);

/// Number of jobs of one queue that were lost for one cause.
struct LossCount {
  std::string Queue;
  std::string Cause;
  uint64_t Jobs = 0;
};
/// Sorted by queue, then by falling count.
std::vector<LossCount> countLosses(const LogSummary &Summary);
std::string lossTable(const LogSummary &Summary, const std::vector<LossCount> &Lines);
std::string lossJson(const LogSummary &Summary, const std::vector<LossCount> &Lines);

} // namespace valveshelf
