// SPDX-License-Identifier: Apache-2.0
// The decisions of a shard: pure functions of state, event and time. Each applies its records to
// the state and returns them; they must be journalled before the returned effects are carried out.
#pragma once

#include "valveshelf/cell_config.h"
#include "valveshelf/shard_state.h"

#include "peer.pb.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace valveshelf {

/// Starts a task on a worker, once the decision's records are durable.
struct StartEffect {
  TaskKey Key;
  uint32_t Attempt = 0;
  std::string Worker;
  Endpoint Address;
  SpecPtr Spec;
};

/// Stops a task on a worker or throttles it to its requested size. Idempotent.
struct ControlEffect {
  enum class Action { Stop, Throttle };
  std::string Worker;
  Endpoint Address;
  std::string TaskId;
  Action Kind = Action::Stop;
};

/// Lets a worker forget an ended task, once the decision's records are durable.
struct ForgetEffect {
  std::string Worker;
  std::string TaskId;
};

/// Lends tasks to the shard that is to run them, once the decision's records are durable.
struct LendEffect {
  uint32_t Shard = 0;
  SpecPtr Spec;
  std::vector<uint32_t> Indexes;
  std::vector<uint32_t> NextAttempts;
};

/// Asks a running shard to cancel tasks.
struct CancelEffect {
  uint32_t Shard = 0;
  std::vector<TaskKey> Keys;
};

/// A log event for operators.
struct Notice {
  const struct EventKind *Kind = nullptr;
  std::string Subject;
  std::string Detail;
};

/// Records and effects of a decision.
struct Decision {
  std::vector<wire::Record> Records;
  std::vector<StartEffect> Starts;
  std::vector<ControlEffect> Controls;
  std::vector<ForgetEffect> Forgets;
  std::vector<LendEffect> Lends;
  std::vector<CancelEffect> Cancels;
  std::vector<Notice> Notices;
};

/// Timeouts and limits of the decisions.
struct DecisionLimits {
  Milliseconds TaskLease{60000};
  Milliseconds SettleTime{2000}; ///< A worker list shows every start sent this long before.
  Milliseconds LeaseMargin{1000};
  Milliseconds ReturnTimeout{1500}; ///< A task queued for longer may be returned to its home shard.
  Milliseconds ResendInterval{1000};
  Milliseconds ProbeInterval{5000};
  Milliseconds TombstoneRetention{600000};
  int FailedCallsUntilLost = 2;
  int FailuresUntilSuspect = 3;
  size_t MaxStartsPerRound = 512;
  size_t MaxScannedPerRound = 4096;         ///< Queued tasks examined in one round.
  std::chrono::hours EndedJobRetention{24}; ///< How long an ended job is kept for `status`.
};

/// Returns the id of an attempt on its worker: `job/index#attempt`.
std::string workerTaskId(const TaskKey &Key, uint32_t Attempt);
/// Inverse of `workerTaskId`; nullopt if \p Id is malformed.
std::optional<std::pair<TaskKey, uint32_t>> parseWorkerTaskId(std::string_view Id);

// ---- The running shard.

/// Queues lent tasks. Skips tasks that the shard already has and late duplicates.
Decision adoptTasks(ShardState &State, const wire::LendRequest &Lend, TimePoint Now);

/// Returns the capacity that a team or partner ("partner/team" or "partner") has booked on other
/// shards, as last reported.
using UsedElsewhere = std::function<Resources(const std::string &Key)>;

/// True if one more task of \p Spec stays within the quotas of its team and partner. A quota may be
/// exceeded by what other shards start before their next usage report.
bool withinQuota(const ShardState &State, const JobSpec &Spec, const CellConfig &Config,
                 const UsedElsewhere &Elsewhere);

/// Places queued tasks on workers, in queue order. Non-repeatable tasks stay queued if \p StoreUp
/// is false.
Decision placeQueued(ShardState &State, const CellConfig &Config, bool StoreUp,
                     const UsedElsewhere &Elsewhere, const DecisionLimits &Limits, TimePoint Now,
                     WallTime Wall);

/// Result of sending a start request.
enum class StartAnswer {
  Accepted,
  NotSent,    ///< No byte was sent.
  Unanswered, ///< The task may be running.
};
Decision onStartAnswer(ShardState &State, const TaskKey &Key, uint32_t Attempt, StartAnswer Answer,
                       const DecisionLimits &Limits, TimePoint Now);

/// A task in a worker's list.
struct TaskReport {
  std::string Id;
  enum class State { Running, Succeeded, Failed, Stopped } Status = State::Running;
  std::string Detail;
  Resources Size;
  Resources Usage;
  WallTime Ended{};
};
struct WorkerReport {
  std::string Incarnation;
  uint64_t Version = 0; ///< Incremented with each change of the list.
  std::vector<TaskReport> Tasks;
};
/// Handles a worker's task list. \p AskedAt is the time of the request, \p Renewed whether it
/// renewed the leases of the tasks it named.
Decision onWorkerReport(ShardState &State, const std::string &WorkerName,
                        const WorkerReport &Report, bool Renewed, const DecisionLimits &Limits,
                        TimePoint AskedAt, TimePoint Now, WallTime Wall);

/// Handles a failed call to a worker. With \p Renewed, the call may have renewed leases or may
/// still do so.
Decision onWorkerCallFailed(ShardState &State, const std::string &WorkerName, bool Renewed,
                            const DecisionLimits &Limits);

/// Handles the box list: new, changed, leaving and removed workers of this shard.
Decision onBoxList(ShardState &State, const BoxList &Workers, TimePoint Now, WallTime Wall);

/// Handles timeouts: expired leases, holds and tombstones, and queued tasks to return to their home
/// shards. \p RoomElsewhere tells whether another shard has capacity for a task of the spec.
Decision onTick(ShardState &State, const DecisionLimits &Limits,
                const std::function<bool(const JobSpec &)> &RoomElsewhere, TimePoint Now,
                WallTime Wall);

/// Cancels tasks at the request of their home shard.
Decision onCancelTasks(ShardState &State, const std::vector<TaskKey> &Keys, WallTime Wall);

/// Drops ended and returned tasks that their home shard has recorded.
Decision dropTasks(ShardState &State, const std::vector<TaskKey> &Keys, TimePoint Now);

/// Holds capacity for up to \p Count tasks of a gang until \p ExpiresAt. Returns the number of
/// tasks.
uint32_t holdCapacity(ShardState &State, const JobSpec &Spec, uint32_t Count,
                      const CellConfig &Config, TimePoint ExpiresAt);
/// Releases the capacity held for \p Job.
void releaseHeldCapacity(ShardState &State, const std::string &Job);

/// Handles the confirmation that the previous owner sends no more requests.
void onPredecessorGone(ShardState &State, const DecisionLimits &Limits, TimePoint Now);

/// Prepares a replayed state after a takeover: any journalled start may still be in transit, and
/// any lease may have been renewed up to \p Now.
void markTakenOver(ShardState &State, bool PredecessorGone, const DecisionLimits &Limits,
                   TimePoint Now);

/// Returns the unreported task changes, by home shard, and marks them as reported. With \p Resend,
/// includes all ends and returns that have not been acknowledged.
std::map<uint32_t, wire::ReportRequest> pendingReports(ShardState &State, bool Resend);

// ---- The home shard.

/// Accepts a new job. The caller has checked that its id is unused.
Decision acceptJob(ShardState &State, const JobSpec &Spec, TimePoint Now);

/// Chooses the shards for \p Count tasks of a job: pairs of shard and number of tasks, at most
/// \p Count in total. Tasks without a shard wait.
using ShardChooser =
    std::function<std::vector<std::pair<uint32_t, uint32_t>>(const JobSpec &, uint32_t Count)>;

/// Lends waiting tasks; with \p Resend, also repeats lends that were not acknowledged.
Decision lendWaiting(ShardState &State, const ShardChooser &Choose, bool Resend,
                     const DecisionLimits &Limits, TimePoint Now);

/// Forgets jobs that ended longer ago than `DecisionLimits::EndedJobRetention`.
Decision forgetEndedJobs(ShardState &State, const DecisionLimits &Limits, TimePoint Now,
                         WallTime Wall);

/// Lends the waiting tasks of one job, for which capacity has been found.
Decision lendOne(ShardState &State, const std::string &Job, const ShardChooser &Choose,
                 TimePoint Now);

/// Handles the confirmation that a running shard has journalled the lent tasks.
void onAdopted(ShardState &State, const LendEffect &Lent);

/// Handles task changes reported by a running shard. The ends and returns in \p Report may be
/// acknowledged once the records are durable.
Decision onReport(ShardState &State, const wire::ReportRequest &Report, TimePoint Now,
                  WallTime Wall);

/// Cancels a job at the caller's request.
Decision cancelJob(ShardState &State, const std::string &Job);

/// Returns the cancellations that running shards have not carried out yet.
std::vector<CancelEffect> pendingCancels(const ShardState &State);

// ---- Explanations.

/// Number of workers excluded by each placement filter.
struct FilterCounts {
  uint32_t Workers = 0, NotUsable = 0, NotSelected = 0, TooSmall = 0, NoRoom = 0, Fit = 0;
};
/// Counts the workers that each filter excludes for a task of \p Spec.
FilterCounts countFilters(ShardState &State, const JobSpec &Spec, const CellConfig &Config);

} // namespace valveshelf
