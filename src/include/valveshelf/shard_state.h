// SPDX-License-Identifier: Apache-2.0
// The state of one shard: its jobs, the tasks that it runs and the booked capacity of its workers.
// A job's home shard accepts it and lends its tasks to the shards whose workers run them. Durable
// state is changed only by `applyRecord`, at run time and in replay; see shard_decisions.h.
#pragma once

#include "valveshelf/box.h"
#include "valveshelf/clock.h"
#include "valveshelf/job.h"

#include "journal.pb.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace valveshelf {

using SpecPtr = std::shared_ptr<const JobSpec>;

/// State of a task at its home shard.
enum class HomePhase { Waiting, Lent, Ended };

struct HomeTask {
  HomePhase Phase = HomePhase::Waiting;
  uint32_t Shard = 0;       ///< Shard that it is lent to; valid if Lent.
  uint32_t NextAttempt = 1; ///< No lower attempt may be started any more. Never decreases.
  TaskOutcome Outcome = TaskOutcome::None;
  std::string Detail;
  WallTime Ended{};
  // The members below are not durable.
  bool Adopted = false;      ///< The running shard has journalled it.
  std::string Worker;        ///< Last reported worker, for `status`.
  std::string ReportedPhase; ///< Last reported phase, for `status`.
  WallTime Started{};
  TimePoint NotBefore{}; ///< Earliest restart of a service task that has ended.
  TimePoint LentAt{};
};

/// A job at its home shard.
struct HomeJob {
  SpecPtr Spec;
  bool Cancelled = false;
  std::vector<HomeTask> Tasks;
  uint32_t Waiting = 0; ///< Invariant: the three counts add up to Tasks.size().
  uint32_t Lent = 0;
  uint32_t Ended = 0;
  TimePoint GangNotBefore{}; ///< Not durable: next attempt to place the gang.
};

/// State of a task at the shard that runs it.
enum class AssignedPhase {
  Queued,   ///< Waits for placement; no capacity is booked.
  Starting, ///< The start is journalled and capacity booked. It may be running.
  Running,  ///< The worker has confirmed the start; capacity is booked.
  Ended,    ///< Waits until the home shard has recorded the end.
  Returned, ///< Waits until the home shard has taken it back. Not started here again.
};
std::string_view phaseName(AssignedPhase Value);

/// Why it is uncertain whether a journalled start reached its worker.
enum class StartUncertainty {
  None,        ///< Not uncertain: started by this owner, and pending or answered.
  Unanswered,  ///< Started by this owner, without a response.
  Predecessor, ///< Started by a previous owner; the request may still be in transit.
};

/// A task lent to this shard.
struct AssignedTask {
  TaskKey Key;
  SpecPtr Spec;
  uint32_t Home = 0;
  AssignedPhase Phase = AssignedPhase::Queued;
  uint32_t Attempt = 1; ///< The next attempt if Queued, else the current one. Never decreases.
  uint32_t Tries = 0;   ///< Attempts that ran and failed.
  std::string Worker;   ///< Set if and only if capacity is booked.
  Resources Booked; ///< Invariant: included in WorkerState::Booked if and only if Worker is set.
  TaskOutcome Outcome = TaskOutcome::None;
  std::string Detail;
  WallTime Ended{};
  // The members below are not durable.
  StartUncertainty Uncertainty = StartUncertainty::None;
  bool CallInFlight = false; ///< The start request has not returned yet.
  bool CancelWanted = false;
  bool IntentDurable = false; ///< The start intent is in the store.
  TimePoint UncertainSince{}; ///< Worker lists can resolve the uncertainty from this time on.
  int ListsWithoutTask = 0;   ///< Number of such lists that did not contain the task.
  TimePoint QueuedSince{};
  TimePoint LeaseEnds{}; ///< Latest possible end of the worker's lease on the task.
  WallTime Started{};
  Resources Usage;      ///< Last reported usage.
  double QueueKey = 0;  ///< Position in ShardState::Queue.
  std::string FailedOn; ///< Worker of the last failure; avoided if another one fits.
};

/// Health of a worker as observed by the shard's owner.
enum class WorkerHealth {
  Unseen, ///< Has not responded to this owner yet; gets no tasks.
  Ready,
  Lost,    ///< Does not respond.
  Suspect, ///< Fails tasks that run elsewhere; gets only probes.
  Leaving, ///< Marked as leaving in the box list.
  Gone,    ///< Removed from the box list.
};
std::string_view healthName(WorkerHealth Value);

/// A worker of the shard and its booked capacity.
struct WorkerState {
  BoxInfo Box;
  WorkerHealth Health = WorkerHealth::Unseen;
  Resources Booked; ///< Sum of AssignedTask::Booked. Placement never takes it above Box.Capacity.
  std::set<TaskKey> AssignedTasks;
  std::string Incarnation; ///< Last reported by the worker.
  int FailedCalls = 0;
  int RecentFailures = 0; ///< Tasks that failed since the last one succeeded.
  Resources HeldForGangs; ///< Capacity held for gangs.
  Resources OrphanUsage;  ///< Usage of listed tasks that this shard did not start.
  TimePoint LastAnswer{};
  TimePoint ProbeNotBefore{};
  uint32_t CandidateIndex = 0; ///< Index in ShardState::Candidates.
};

/// Capacity of one worker, in a compact form for the scan of a placement decision.
struct PlacementCandidate {
  Resources Free;
  Resources Capacity;
  WorkerState *Worker = nullptr;
  bool Usable = false; ///< Tasks may be placed.
};

/// Capacity held for a gang until the gang is placed or the hold expires. Deliberately not durable.
struct GangHold {
  Resources Size;
  std::map<std::string, uint32_t> Workers; ///< Number of tasks by worker.
  TimePoint ExpiresAt{};
};

/// Kept for a while after a task was dropped: lends up to this attempt are late duplicates.
struct Tombstone {
  uint32_t Attempt = 0;
  TimePoint Dropped{};
};

struct ShardState {
  uint32_t Id = 0;
  std::unordered_map<std::string, HomeJob> Jobs;
  std::set<std::string> OpenJobs; ///< Jobs with a task that has not ended. Ended jobs stay in Jobs
                                  ///< until they are forgotten and are not scanned.
  std::map<TaskKey, AssignedTask> AssignedTasks;
  std::set<TaskKey> Dirty; ///< Tasks whose last change has not been reported to the home shard.
  std::map<std::string, std::unique_ptr<WorkerState>> Workers;
  std::vector<PlacementCandidate> Candidates; ///< One for each of Workers.
  std::set<std::pair<double, TaskKey>> Queue; ///< Queued tasks, by AssignedTask::QueueKey.
  std::map<std::string, GangHold> Holds;      ///< By job.
  std::map<std::string, Resources> TeamUse;   ///< Booked capacity by "partner/team" and "partner".
  std::unordered_map<std::string, std::vector<char>>
      SelectorCache;                       ///< Match of each candidate by selector.
  std::map<TaskKey, Tombstone> Tombstones; ///< Recently dropped tasks; late lends are ignored.
  bool PredecessorGone = true;             ///< No previous owner can still send requests.
  uint64_t Starts = 0;                     ///< Starts confirmed by workers, for metrics.
};

/// Returns the key of the job's team in ShardState::TeamUse.
std::string teamKey(const JobSpec &Spec);

/// Applies \p Record to \p State. Deterministic, except that \p Now sets the times from which
/// waiting is measured. Records of unknown jobs or tasks are ignored, so that replay never fails.
void applyRecord(ShardState &State, const wire::Record &Record, TimePoint Now);

/// Returns records that rebuild the durable part of \p State; the first is ShardReset.
std::vector<wire::Record> snapshotOf(const ShardState &State);

/// Adds a worker or updates its description.
void setWorker(ShardState &State, const BoxInfo &Box);
/// Sets the health of a worker and updates its placement candidate.
void setHealth(ShardState &State, WorkerState &Worker, WorkerHealth Health);
/// Updates the placement candidate of \p Worker.
void refreshCandidate(ShardState &State, WorkerState &Worker);
/// Raises the booking of a task that uses more than it requested to at least \p Size.
void increaseBooking(ShardState &State, AssignedTask &Task, const Resources &Size);

JobSpec specFromWire(const wire::JobSpec &Wire);
wire::JobSpec specToWire(const JobSpec &Spec);
wire::Resources resourcesToWire(const Resources &Value);
Resources resourcesFromWire(const wire::Resources &Value);

} // namespace valveshelf
