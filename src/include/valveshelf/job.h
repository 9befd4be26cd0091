// SPDX-License-Identifier: Apache-2.0
// Jobs and tasks as they appear in callers' requests and in journal records.
#pragma once

#include "valveshelf/clock.h"
#include "valveshelf/errors.h"
#include "valveshelf/resources.h"
#include "valveshelf/selector.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>

namespace valveshelf {

/// How the tasks of a job are run.
enum class JobKind {
  Batch = 0,   ///< Independent tasks that run to completion.
  Service = 1, ///< The job's count of tasks is kept running.
  Gang = 2,    ///< All tasks start together or none does.
};

/// Placement order, highest priority first.
enum class JobClass {
  Urgent = 0,  ///< To be started within about a second.
  Quick = 1,   ///< Quick checks and previews.
  Service = 2, ///< Long-running services.
  Batch = 3,   ///< Work that can wait, often with a deadline.
};

std::string_view kindName(JobKind Value);
std::string_view className(JobClass Value);
std::optional<JobKind> parseKind(std::string_view Text);
std::optional<JobClass> parseClass(std::string_view Text);

/// How a task ended.
enum class TaskOutcome {
  None = 0, ///< Not ended yet.
  Succeeded = 1,
  Failed = 2, ///< Failed on every allowed try.
  Cancelled = 3,
  Unknown = 4, ///< Not repeatable, and it is not known whether it ran.
};
std::string_view outcomeName(TaskOutcome Value);

/// A job as submitted by the caller. Immutable once accepted, except for the count of a service.
struct JobSpec {
  std::string Id;
  std::string Partner;
  std::string Team;
  JobKind Kind = JobKind::Batch;
  JobClass Class = JobClass::Batch;
  uint32_t Count = 1;
  Resources Size{1000, 512, 0}; ///< Request of each task.
  std::string BoxSelector;      ///< As written by the caller; valid for `parseSelector`.
  valveshelf::Labels Labels;
  bool Repeatable = true;     ///< False: each task is run at most once.
  Milliseconds RunTime{1000}; ///< Caller's estimate; never relied on for correctness.
  WallTime FinishBy{};        ///< Deadline; zero: none.
  uint32_t MaxTries = 3;
  bool Checkpointable = false;
  WallTime Accepted{};
};

struct TaskKey {
  std::string Job;
  uint32_t Index = 0;
  friend bool operator==(const TaskKey &, const TaskKey &) = default;
  friend bool operator<(const TaskKey &A, const TaskKey &B) {
    return std::tie(A.Job, A.Index) < std::tie(B.Job, B.Index);
  }
};

/// Formats as `job/index`.
std::string toString(const TaskKey &Key);

/// Parses a job from JSON. Returns BadRequest, naming the invalid field. \p MaxTasks is the upper
/// limit of the count.
Result<JobSpec> parseJob(std::string_view Json, uint32_t MaxTasks);

/// Formats a job as the JSON that `parseJob` reads.
std::string jobToJson(const JobSpec &Spec);

} // namespace valveshelf
