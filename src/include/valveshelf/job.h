// SPDX-License-Identifier: Apache-2.0
// Jobs and tasks as callers and records see them.
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

/// How the tasks of a job belong together.
enum class JobKind {
  Batch = 0,   ///< Tasks end by themselves, in any order.
  Service = 1, ///< Tasks are kept running at the job's count.
  Gang = 2,    ///< All tasks at once or none.
};

/// Order of placement, best first.
enum class JobClass {
  Urgent = 0,  ///< Starts within about a second.
  Quick = 1,   ///< Quick checks and previews.
  Service = 2, ///< Long-running services.
  Batch = 3,   ///< Everything that may wait, often with a time to finish by.
};

std::string_view kindName(JobKind Value);
std::string_view className(JobClass Value);
std::optional<JobKind> parseKind(std::string_view Text);
std::optional<JobClass> parseClass(std::string_view Text);

/// How a task ended.
enum class TaskOutcome {
  None = 0, ///< Not ended.
  Succeeded = 1,
  Failed = 2, ///< Ran and failed, as often as allowed.
  Cancelled = 3,
  Unknown = 4, ///< Not to be repeated, and nobody can say whether it ran.
};
std::string_view outcomeName(TaskOutcome Value);

/// What a caller asked for. Never changes after it was accepted, except the count of a service.
struct JobSpec {
  std::string Id;
  std::string Partner;
  std::string Team;
  JobKind Kind = JobKind::Batch;
  JobClass Class = JobClass::Batch;
  uint32_t Count = 1;
  Resources Size{1000, 512, 0}; ///< Of each task.
  std::string BoxSelector;      ///< As written by the caller; checked to parse.
  valveshelf::Labels Labels;
  bool Repeatable = true;     ///< False: each task runs at most once.
  Milliseconds RunTime{1000}; ///< Declared; often far off. No safety rests on it.
  WallTime FinishBy{};        ///< Zero for none.
  uint32_t MaxTries = 3;
  bool Checkpointable = false;
  WallTime Accepted{};
};

/// Names one task.
struct TaskKey {
  std::string Job;
  uint32_t Index = 0;
  friend bool operator==(const TaskKey &, const TaskKey &) = default;
  friend bool operator<(const TaskKey &A, const TaskKey &B) {
    return std::tie(A.Job, A.Index) < std::tie(B.Job, B.Index);
  }
};

/// `job/index`.
std::string toString(const TaskKey &Key);

/// Reads a job from the caller's JSON. Returns BadRequest naming the field that is wrong.
/// \p MaxTasks bounds the count.
Result<JobSpec> parseJob(std::string_view Json, uint32_t MaxTasks);

/// The JSON that `parseJob` reads.
std::string jobToJson(const JobSpec &Spec);

} // namespace valveshelf
