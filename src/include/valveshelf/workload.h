// SPDX-License-Identifier: Apache-2.0
// Jobs, steps, tasks and workers as the scheduler of a cell sees them: plain values, decoded once
// from what callers and the platform say.
#pragma once

#include "valveshelf/clock.h"
#include "valveshelf/endpoint.h"
#include "valveshelf/resources.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace valveshelf::sched {

/// The number that the caller chose for its job; written as 16 hexadecimal digits.
using JobId = uint64_t;

std::string jobIdText(JobId Id);
/// Empty if \p Text is not 16 hexadecimal digits.
std::optional<JobId> parseJobId(std::string_view Text);

/// One step of one round of a job. Rounds are the repetitions of a timed job; others have one.
struct StepKey {
  JobId Job = 0;
  uint32_t Round = 0;
  uint32_t Step = 0;
  friend bool operator==(const StepKey &, const StepKey &) = default;
  friend bool operator<(const StepKey &A, const StepKey &B) {
    return std::tie(A.Job, A.Round, A.Step) < std::tie(B.Job, B.Round, B.Step);
  }
};

struct TaskKey {
  StepKey Step;
  uint32_t Index = 0;
  friend bool operator==(const TaskKey &, const TaskKey &) = default;
  friend bool operator<(const TaskKey &A, const TaskKey &B) {
    return std::tie(A.Step, A.Index) < std::tie(B.Step, B.Index);
  }
};

/// One start of a task. Run numbers of a task rise.
struct RunKey {
  TaskKey Task;
  uint32_t Run = 0;
  friend bool operator==(const RunKey &, const RunKey &) = default;
  friend bool operator<(const RunKey &A, const RunKey &B) {
    return std::tie(A.Task, A.Run) < std::tie(B.Task, B.Run);
  }
};

/// JOB.ROUND.STEP and JOB.ROUND.STEP.INDEX, the form in which workers and the advice service
/// name them.
std::string toString(const StepKey &Key);
std::string toString(const TaskKey &Key);
std::optional<TaskKey> parseTaskKey(std::string_view Text);

/// A service outside valveshelf that says which workers may run the steps of a queue.
struct AdvicePolicy {
  std::chrono::duration<double, std::milli> BaseLatency{0}; ///< A call takes this long,
  std::chrono::duration<double, std::milli> LatencyPerWorker{
      0};                         ///< and this for each worker named.
  Milliseconds TicketLifetime{0}; ///< How long a ticket holds.
  friend bool operator==(const AdvicePolicy &, const AdvicePolicy &) = default;
};

/// A queue of the operators' configuration.
struct Queue {
  std::string Name;
  std::string Host;
  std::string PathPrefix;
  std::string Service; ///< The pool of workers that runs its tasks.
  int Priority = 0;    ///< 0 goes first.
  int MaxAttempts = 1; ///< Failed runs of a task before its job fails.
  double CriticalPathFactor =
      1; ///< Part of the objective: a multiple of the longest chain of work.
  Milliseconds ObjectiveSlack{}; ///< Part of the objective: added to it.
  bool Public = false;           ///< Its callers need no key.
  std::optional<AdvicePolicy> Advice;
};

/// An organisation whose callers hand work in, as the operators' configuration has it.
struct Organisation {
  std::string Name;
  std::vector<std::string> Keys; ///< Secrets of its callers; none: nobody may call for it.
  double Weight = 0;             ///< Its share once the cell is full, in jobs a second; 0: none.
  Resources Maximum; ///< What it may have running across all workers; 0 in a dimension: no limit.
};

/// A pool of workers in the operators' configuration.
struct Service {
  std::string Name;
  bool EnforcesCapacity = false; ///< Its workers refuse what does not fit.
};

/// The operators' configuration, whole.
struct CellConfiguration {
  uint64_t Version = 0;
  std::vector<Queue> Queues;
  std::vector<Service> Services;
  /// Absent: the cell knows no organisations, and callers need no keys.
  std::optional<std::vector<Organisation>> Organisations;
  int64_t MaxHeaderBytes = 16 * 1024;
  int64_t MaxBodyBytes = 256 * 1024;
};
using ConfigurationPtr = std::shared_ptr<const CellConfiguration>;

/// The queue of \p Host with the longest prefix of \p Path, or null.
const Queue *findQueue(const CellConfiguration &Config, std::string_view Host,
                       std::string_view Path);

/// The organisation of that name, or null.
const Organisation *findOrganisation(const CellConfiguration &Config, std::string_view Name);

/// True if \p Need stays within \p Maximum, in which 0 means no limit.
bool isWithin(const Resources &Need, const Resources &Maximum);

/// A step as its caller asked for it.
struct StepSpec {
  uint32_t Count = 1;
  Resources Need;                    ///< Of each task.
  Milliseconds Estimate{0};          ///< The caller's guess of a task's run time; 0: none.
  std::vector<uint32_t> DependsOn;   ///< Earlier steps that must be done first.
  bool Checkpointable = false;       ///< Its tasks save their progress.
  bool Gang = false;                 ///< Its tasks can work only together.
  bool SameRack = false;             ///< Slow unless all tasks are in one rack.
  std::string RequiredLabel;         ///< The worker must have it; empty: any.
  std::string PreferredRack;         ///< Slow in other racks; empty: none.
  uint32_t MaxPerWorker = 0;         ///< Tasks of the step that one worker may hold; 0: no limit.
  bool Speculative = false;          ///< Copies may run side by side.
  bool LongRunning = false;          ///< Runs until the job is cancelled.
  bool BestEffort = false;           ///< Takes no processor room, only what others leave.
  std::string Image;                 ///< Tasks of one image behave alike.
  Milliseconds TailLatencyTarget{0}; ///< Objective of the users it serves; 0: none.
  uint32_t MaxUnavailable = 0;       ///< Lasting tasks that may be away at a time by our doing.
};

/// A job as it was accepted, with the policy of its queue at that time. Never changes.
struct JobSpec {
  JobId Id = 0;
  std::string Queue;
  std::string Service;
  std::string Organisation; ///< Whose key it came with; empty: none was needed.
  int Priority = 0;
  int MaxAttempts = 1;
  double CriticalPathFactor = 1;
  Milliseconds ObjectiveSlack{0};
  std::optional<AdvicePolicy> Advice;
  std::string Payload; ///< Passed on to the workers as it is.
  std::vector<StepSpec> Steps;
  uint32_t Repetitions = 0; ///< 0: one round, now.
  WallTime FirstDue{};
  Milliseconds Interval{0};
  WallTime AcceptedAt{};
};
using JobSpecPtr = std::shared_ptr<const JobSpec>;

enum class JobPhase { Live, Completed, Failed, Cancelled };

/// How a run ended, as its worker lists it.
enum class RunOutcome {
  Done,
  Failed,       ///< By its own fault or its worker's.
  Stopped,      ///< By our order.
  LeaseExpired, ///< The worker's lease ran out.
  GangBroken,   ///< Another member of its gang ended.
  GangTimedOut, ///< The rest of its gang did not come in time.
};

/// One life of a worker, as the platform lists it. A worker that restarts has a new id.
struct WorkerInfo {
  std::string Id;
  std::string Service;
  Endpoint Address;
  std::string Zone;
  std::string Machine; ///< The hardware it runs on, which outlives it; empty if not told.
  std::string Rack;
  std::vector<std::string> Labels;
  Resources Capacity;
  bool Draining = false;          ///< It leaves soon and takes nothing new,
  Milliseconds DrainTimeLeft{0};  ///< though not before this time from when it was read.
  Milliseconds WarmUpTimeLeft{0}; ///< It has begun its life and is slow for so long from then.
};

/// The availability zones that operators have asked to be left empty, as the store had them at a
/// revision.
struct EvacuatedZones {
  std::set<std::string> Names;
  uint64_t Revision = 0; ///< The store's revision; 0: nothing is known.
};

/// A run that a worker holds.
struct ActiveRun {
  RunKey Run;
  std::string Checkpoint;
  int Percent = 0;
};

/// A run that has ended on a worker and that we have not let it forget.
struct EndedRun {
  uint64_t Number = 0; ///< Rises by one with each end of this life of the worker.
  RunKey Run;
  RunOutcome Outcome = RunOutcome::Stopped;
  std::string Checkpoint;
};

/// What a worker says it holds.
struct WorkerReport {
  Milliseconds WorkerClock{0}; ///< Its own steady clock.
  std::vector<ActiveRun> Active;
  std::vector<EndedRun> Ended;
};

/// What became of an order to start a run.
enum class StartResult {
  Started,
  RefusedFence,      ///< A newer scheduler has spoken to the worker.
  RefusedStaleRun,   ///< The worker has stopped or ended that run or a later one.
  RefusedExpired,    ///< The order came after its own time.
  RefusedNoCapacity, ///< The worker guards its capacity and has no room.
  RefusedTicket,     ///< The ticket does not hold (any more).
  RefusedUnhealthy,  ///< The worker is unhealthy and did nothing.
  RefusedMalformed,  ///< The worker can't read the order.
  OtherIncarnation,  ///< Another life of the worker answered.
  NotSent,           ///< No connection; surely nothing was started.
  Unknown,           ///< No answer; it may have started or may still start.
};

} // namespace valveshelf::sched
