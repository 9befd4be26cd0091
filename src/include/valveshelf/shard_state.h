// SPDX-License-Identifier: Apache-2.0
// The state of one shard: the jobs whose home it is, the tasks it runs, and the capacity books
// of its workers. Only `applyRecord` changes what is durable, at run time and at replay alike;
// the decisions in shard_decisions.h return records and effects and touch nothing else.
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

/// A task as its home shard sees it.
enum class HomePhase { Waiting, Lent, Ended };

struct HomeTask {
  HomePhase Phase = HomePhase::Waiting;
  uint32_t Shard = 0;       ///< Where it was lent to; valid when Lent.
  uint32_t NextAttempt = 1; ///< No attempt below it may still be started. Grows only.
  TaskOutcome Outcome = TaskOutcome::None;
  std::string Detail;
  WallTime Ended{};
  // Not durable from here on.
  bool Adopted = false;      ///< The running shard has it durably.
  std::string Worker;        ///< Last worker reported, for `status`.
  std::string ReportedPhase; ///< Last phase reported, for `status`.
  WallTime Started{};
  TimePoint NotBefore{}; ///< A service task that keeps ending is restarted with a pause.
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
  TimePoint GangNotBefore{}; ///< Not durable: when to try for the gang's room again.
};

/// A task as the shard that runs it sees it.
enum class AssignedPhase {
  Queued,   ///< Holds no room.
  Starting, ///< The start is journalled; room is booked. It may run.
  Running,  ///< The worker confirmed it; room is booked.
  Ended,    ///< Waits for the home shard to record the end.
  Returned, ///< Waits for the home shard to take it back. Never started again here.
};
std::string_view phaseName(AssignedPhase Value);

/// How sure the owner is about a start that is journalled.
enum class StartUncertainty {
  None,        ///< Own start, in flight or answered.
  Unanswered,  ///< Own start whose answer was lost.
  Predecessor, ///< A predecessor's start, which may still be on its way.
};

struct AssignedTask {
  TaskKey Key;
  SpecPtr Spec;
  uint32_t Home = 0;
  AssignedPhase Phase = AssignedPhase::Queued;
  uint32_t Attempt = 1; ///< Next attempt when Queued, else the one intended. Grows only.
  uint32_t Tries = 0;   ///< Attempts that ran and failed.
  std::string Worker;   ///< Set exactly when room is booked.
  Resources Booked;     ///< Invariant: counted in the worker's book exactly when Worker is set.
  TaskOutcome Outcome = TaskOutcome::None;
  std::string Detail;
  WallTime Ended{};
  // Not durable from here on.
  StartUncertainty Uncertainty = StartUncertainty::None;
  bool CallInFlight = false; ///< The start call has not returned yet.
  bool CancelWanted = false;
  bool IntentDurable = false; ///< The store holds the intent.
  TimePoint UncertainSince{}; ///< When the doubt could first be settled by a list.
  int ListsWithoutTask = 0;   ///< Lists since then that did not show it.
  TimePoint QueuedSince{};
  TimePoint LeaseEnds{}; ///< Latest time at which the worker's lease on it may end.
  WallTime Started{};
  Resources Usage;      ///< As last reported.
  double QueueKey = 0;  ///< Its key in the queue.
  std::string FailedOn; ///< Where it failed last; avoided if there is another place.
};

/// What the owner believes about a worker.
enum class WorkerHealth {
  Unseen, ///< Never answered this owner; nothing is placed there.
  Ready,
  Lost,    ///< Does not answer.
  Suspect, ///< Fails what others run; only probes are placed there.
  Leaving, ///< In the box list as leaving.
  Gone,    ///< Not in the box list any more.
};
std::string_view healthName(WorkerHealth Value);

/// The capacity book of one worker.
struct WorkerState {
  BoxInfo Box;
  WorkerHealth Health = WorkerHealth::Unseen;
  Resources
      Booked; ///< Sum of AssignedTask::Booked over Parts. Never above Box.Capacity by our doing.
  std::set<TaskKey> AssignedTasks;
  std::string Incarnation; ///< As the worker last told.
  int FailedCalls = 0;
  int RecentFailures = 0; ///< Tasks that failed on it since one ran well.
  Resources HeldForGangs; ///< Room held for gangs.
  Resources OrphanUsage;  ///< Room taken by tasks the worker lists that are not ours.
  TimePoint LastAnswer{};
  TimePoint ProbeNotBefore{};
  uint32_t CandidateIndex = 0; ///< Its place in ShardState::Free.
};

/// One worker's room, laid out for the scan of a placement decision.
struct PlacementCandidate {
  Resources Free;
  Resources Capacity;
  WorkerState *Worker = nullptr;
  bool Usable = false; ///< Ready, so that tasks may be placed.
};

/// Room held for a gang until it is confirmed or lapses. Not durable on purpose.
struct GangHold {
  Resources Size;
  std::map<std::string, uint32_t> Workers; ///< Worker to tasks held there.
  TimePoint ExpiresAt{};
};

/// What is left of a dropped part for a while: lends up to this attempt are late duplicates.
struct Tombstone {
  uint32_t Attempt = 0;
  TimePoint Dropped{};
};

struct ShardState {
  uint32_t Id = 0;
  std::unordered_map<std::string, HomeJob> Jobs;
  std::set<std::string> OpenJobs; ///< The jobs with a task that has not ended. Finished jobs stay
                                  ///< in Jobs for a while and are never scanned.
  std::map<TaskKey, AssignedTask> AssignedTasks;
  std::set<TaskKey> Dirty; ///< Parts whose home has not been told of their last change.
  std::map<std::string, std::unique_ptr<WorkerState>> Workers;
  std::vector<PlacementCandidate> Candidates; ///< Same workers as Workers, one each.
  std::set<std::pair<double, TaskKey>> Queue; ///< The Queued parts, by AssignedTask::QueueKey.
  std::map<std::string, GangHold> Holds;      ///< By job.
  std::map<std::string, Resources> TeamUse;   ///< "partner/team" and "partner" to what is booked.
  std::unordered_map<std::string, std::vector<char>> SelectorCache; ///< Selector to match per room.
  std::map<TaskKey, Tombstone> Tombstones; ///< Parts dropped lately; a late lend is not taken.
  bool PredecessorGone = true;             ///< No earlier owner can send anything any more.
  uint64_t Starts = 0;                     ///< Starts confirmed by workers, for reports.
};

/// The key of a job's team in ShardState::TeamUse.
std::string teamKey(const JobSpec &Spec);

/// Changes \p State as \p Record says. Deterministic but for \p Now, which only sets waiting
/// times. Records of an unknown job or task are ignored, so that replay never fails.
void applyRecord(ShardState &State, const wire::Record &Record, TimePoint Now);

/// Records that rebuild the durable part of \p State from nothing, beginning with ShardReset.
std::vector<wire::Record> snapshotOf(const ShardState &State);

/// Adds the worker or takes over its changed description.
void setWorker(ShardState &State, const BoxInfo &Box);
/// Sets the health and what follows from it for placement.
void setHealth(ShardState &State, WorkerState &Worker, WorkerHealth Health);
/// Writes the free room of \p Worker into the scan table.
void refreshCandidate(ShardState &State, WorkerState &Worker);
/// Books \p Size more for \p Key's part, when it uses more than it declared.
void increaseBooking(ShardState &State, AssignedTask &Task, const Resources &Size);

JobSpec specFromWire(const wire::JobSpec &Wire);
wire::JobSpec specToWire(const JobSpec &Spec);
wire::Resources resourcesToWire(const Resources &Value);
Resources resourcesFromWire(const wire::Resources &Value);

} // namespace valveshelf
