// SPDX-License-Identifier: Apache-2.0
// What a shard decides: pure functions of state, event and time. Every function applies its
// own records to the state and returns them, to be journalled before any effect is carried out.
#pragma once

#include "valveshelf/cell_config.h"
#include "valveshelf/shard_state.h"

#include "peer.pb.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace valveshelf {

/// Sends a start to a worker once the decision's records are durable.
struct StartEffect {
  TaskKey Key;
  uint32_t Attempt = 0;
  std::string Worker;
  Endpoint Address;
  SpecPtr Spec;
};

/// Asks a worker to stop a task or to hold it to its declared size. Safe to repeat.
struct ControlEffect {
  enum class Action { Stop, Throttle };
  std::string Worker;
  Endpoint Address;
  std::string TaskId;
  Action Kind = Action::Stop;
};

/// Tells a worker that it may forget an ended task, once the records are durable.
struct ForgetEffect {
  std::string Worker;
  std::string TaskId;
};

/// Hands tasks to the shard that is to run them, once the records are durable.
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

/// Something an operator reads in the log.
struct Notice {
  const struct EventKind *Kind = nullptr;
  std::string Subject;
  std::string Detail;
};

/// What came of an event.
struct Decision {
  std::vector<wire::Record> Records;
  std::vector<StartEffect> Starts;
  std::vector<ControlEffect> Controls;
  std::vector<ForgetEffect> Forgets;
  std::vector<LendEffect> Lends;
  std::vector<CancelEffect> Cancels;
  std::vector<Notice> Notices;
};

/// Times and limits of the decisions.
struct DecisionLimits {
  Milliseconds TaskLease{60000};
  Milliseconds SettleTime{2000}; ///< How long after the last possible send a list counts as proof.
  Milliseconds LeaseMargin{1000};
  Milliseconds ReturnTimeout{
      1500}; ///< A task that finds no room for so long goes back to its home.
  Milliseconds ResendInterval{1000};
  Milliseconds ProbeInterval{5000};
  Milliseconds TombstoneRetention{600000};
  int FailedCallsUntilLost = 2;
  int FailuresUntilSuspect = 3;
  size_t MaxStartsPerRound = 512;
  size_t MaxScannedPerRound = 4096;         ///< Queued tasks looked at in one round.
  std::chrono::hours EndedJobRetention{24}; ///< How long `status` knows a job after its end.
};

/// The worker's name for one attempt: `job/index#attempt`.
std::string workerTaskId(const TaskKey &Key, uint32_t Attempt);
/// The inverse of `workerTaskId`; empty if \p Id is not of that form.
std::optional<std::pair<TaskKey, uint32_t>> parseWorkerTaskId(std::string_view Id);

// ---- The running shard.

/// Takes lent tasks in. Tasks that it has already, or that are late duplicates, are passed over.
Decision adoptTasks(ShardState &State, const wire::LendRequest &Lend, TimePoint Now);

/// What a team or partner ("partner/team" or "partner") has booked on other shards, as last heard.
using UsedElsewhere = std::function<Resources(const std::string &Key)>;

/// True if one more task of \p Spec stays within the quotas of its team and partner. What is
/// started elsewhere within one round of gossip is not seen yet, so a quota may be exceeded by
/// that.
bool withinQuota(const ShardState &State, const JobSpec &Spec, const CellConfig &Config,
                 const UsedElsewhere &Elsewhere);

/// Chooses workers for queued tasks, best first. With \p StoreUp false, tasks that are not to
/// be repeated stay queued.
Decision placeQueued(ShardState &State, const CellConfig &Config, bool StoreUp,
                     const UsedElsewhere &Elsewhere, const DecisionLimits &Limits, TimePoint Now,
                     WallTime Wall);

/// What came of sending a start.
enum class StartAnswer {
  Accepted,
  NotSent,    ///< Surely no byte left.
  Unanswered, ///< It may run.
};
Decision onStartAnswer(ShardState &State, const TaskKey &Key, uint32_t Attempt, StartAnswer Answer,
                       const DecisionLimits &Limits, TimePoint Now);

/// One task as a worker lists it.
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
  uint64_t Version = 0; ///< Grows with every change of the list.
  std::vector<TaskReport> Tasks;
};
/// Takes in a worker's list. \p AskedAt is when the call was sent, \p Renewed whether it renewed
/// the leases of the tasks that were named.
Decision onWorkerReport(ShardState &State, const std::string &Worker, const WorkerReport &Report,
                        bool Renewed, const DecisionLimits &Limits, TimePoint AskedAt,
                        TimePoint Now, WallTime Wall);

/// A call to the worker failed. With \p Renewed it may have renewed leases, now or later.
Decision onWorkerCallFailed(ShardState &State, const std::string &Worker, bool Renewed,
                            const DecisionLimits &Limits);

/// Takes in the box list: new, changed, leaving and vanished workers of this shard.
Decision onBoxList(ShardState &State, const BoxList &Workers, TimePoint Now, WallTime Wall);

/// What only time brings: leases that have surely lapsed, tasks to give back, probes.
/// \p RoomElsewhere says whether another shard could take a task of that spec now.
Decision onTick(ShardState &State, const DecisionLimits &Limits,
                const std::function<bool(const JobSpec &)> &RoomElsewhere, TimePoint Now,
                WallTime Wall);

/// The home shard wants the tasks cancelled.
Decision onCancelTasks(ShardState &State, const std::vector<TaskKey> &Keys, WallTime Wall);

/// The home shard has recorded these ends or returns.
Decision dropTasks(ShardState &State, const std::vector<TaskKey> &Keys, TimePoint Now);

/// Holds room for up to \p Count tasks of a gang until \p ExpiresAt. Returns for how many.
uint32_t holdCapacity(ShardState &State, const JobSpec &Spec, uint32_t Count,
                      const CellConfig &Config, TimePoint ExpiresAt);
/// Gives the room held for \p Job free.
void releaseHeldCapacity(ShardState &State, const std::string &Job);

/// The predecessor surely sends nothing any more.
void onPredecessorGone(ShardState &State, const DecisionLimits &Limits, TimePoint Now);

/// After a takeover: every journalled start may still be on its way, and every lease may have
/// been renewed until now.
void markTakenOver(ShardState &State, bool PredecessorGone, const DecisionLimits &Limits,
                   TimePoint Now);

/// The parts whose home should hear of a change, by home shard. With \p Resend also those whose
/// end or return was told and not yet acknowledged.
std::map<uint32_t, wire::ReportRequest> pendingReports(ShardState &State, bool Resend);

// ---- The home shard.

/// Takes a new job in. The caller has checked that there is none of that id.
Decision acceptJob(ShardState &State, const JobSpec &Spec, TimePoint Now);

/// Chooses where the tasks of a job should run: pairs of shard and count, at most \p Count in
/// all. An empty result means that they have to wait.
using ShardChooser =
    std::function<std::vector<std::pair<uint32_t, uint32_t>>(const JobSpec &, uint32_t Count)>;

/// Lends out waiting tasks; with \p Resend also sends again what was not answered.
Decision lendWaiting(ShardState &State, const ShardChooser &Choose, bool Resend,
                     const DecisionLimits &Limits, TimePoint Now);

/// Forgets jobs that ended long ago.
Decision forgetEndedJobs(ShardState &State, const DecisionLimits &Limits, TimePoint Now,
                         WallTime Wall);

/// As `lendWaiting`, for one job whose room is known.
Decision lendOne(ShardState &State, const std::string &Job, const ShardChooser &Choose,
                 TimePoint Now);

/// A running shard has the tasks durably.
void onAdopted(ShardState &State, const LendEffect &Lent);

/// Takes in what a running shard tells of its tasks. Once the records are durable, the ends and
/// returns in \p Report are acknowledged.
Decision onReport(ShardState &State, const wire::ReportRequest &Report, TimePoint Now,
                  WallTime Wall);

/// The caller cancels the job.
Decision cancelJob(ShardState &State, const std::string &Job);

/// Cancels that running shards have not carried out yet.
std::vector<CancelEffect> pendingCancels(const ShardState &State);

// ---- Explanations.

/// How many workers each filter leaves out for \p Spec.
struct FilterCounts {
  uint32_t Workers = 0, NotUsable = 0, NotSelected = 0, TooSmall = 0, NoRoom = 0, Fit = 0;
};
FilterCounts countFilters(ShardState &State, const JobSpec &Spec, const CellConfig &Config);

} // namespace valveshelf
