// SPDX-License-Identifier: Apache-2.0
// Value types of the scheduler of a cell: jobs, steps, tasks and workers, decoded from callers' and
// the platform's messages.
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

/// Job number chosen by the caller; written as 16 hexadecimal digits.
using JobId = uint64_t;

std::string jobIdText(JobId Id);
/// Returns nullopt if \p Text is not 16 hexadecimal digits.
std::optional<JobId> parseJobId(std::string_view Text);

/// One step of one round of a job. Each repetition of a periodic job is a round; other jobs have
/// one round.
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

/// One start of a task. Run numbers of a task increase.
struct RunKey {
  TaskKey Task;
  uint32_t Run = 0;
  friend bool operator==(const RunKey &, const RunKey &) = default;
  friend bool operator<(const RunKey &A, const RunKey &B) {
    return std::tie(A.Task, A.Run) < std::tie(B.Task, B.Run);
  }
};

/// Formats as JOB.ROUND.STEP or JOB.ROUND.STEP.INDEX, the form used by workers and the advice
/// service.
std::string toString(const StepKey &Key);
std::string toString(const TaskKey &Key);
std::optional<TaskKey> parseTaskKey(std::string_view Text);

/// Timing of the external advice service that selects the workers for the steps of a queue.
struct AdvicePolicy {
  std::chrono::duration<double, std::milli> BaseLatency{0}; ///< Fixed duration of a call.
  /// Added for each worker in the call.
  std::chrono::duration<double, std::milli> LatencyPerWorker{0};
  Milliseconds TicketLifetime{0}; ///< Validity of a ticket.
  friend bool operator==(const AdvicePolicy &, const AdvicePolicy &) = default;
};

/// A queue in the operators' configuration.
struct Queue {
  std::string Name;
  std::string Host;
  std::string PathPrefix;
  std::string Service;           ///< Pool of workers that runs its tasks.
  int Priority = 0;              ///< 0 is the highest.
  int MaxAttempts = 1;           ///< Failed runs of a task after which its job fails.
  double CriticalPathFactor = 1; ///< The objective of a job is this multiple of its critical path,
  Milliseconds ObjectiveSlack{}; ///< plus this time.
  bool Public = false;           ///< Callers need no key.
  std::optional<AdvicePolicy> Advice;
};

/// An organisation (tenant) in the operators' configuration.
struct Organisation {
  std::string Name;
  std::vector<std::string> Keys; ///< API keys of its callers; empty: all calls are refused.
  double Weight = 0;             ///< Share of a full cell, in jobs per second; 0: none.
  Resources Maximum; ///< Limit on its running tasks over all workers; 0 in a dimension: no limit.
};

/// A pool of workers in the operators' configuration.
struct Service {
  std::string Name;
  bool EnforcesCapacity = false; ///< Workers refuse tasks that exceed their free capacity.
};

enum class Switch { Auto, On, Off };

/// Switches of the features that docs/design/overload.md describes, from the settings.
struct FeatureSwitches {
  Switch ShareAdvice = Switch::Auto;
  Switch OverloadOrder = Switch::Auto;
  Switch Admission = Switch::Auto;
  Switch LearnRunTimes = Switch::Auto;
  Switch Copies = Switch::Auto;
};

/// The same in the operators' configuration; empty: the settings decide.
struct ConfiguredSwitches {
  std::optional<Switch> ShareAdvice;
  std::optional<Switch> OverloadOrder;
  std::optional<Switch> Admission;
  std::optional<Switch> LearnRunTimes;
  std::optional<Switch> Copies;
};

/// The complete operators' configuration.
struct CellConfiguration {
  uint64_t Version = 0;
  std::vector<Queue> Queues;
  std::vector<Service> Services;
  /// Absent: the cell has no organisations, and callers need no keys.
  std::optional<std::vector<Organisation>> Organisations;
  ConfiguredSwitches Switches;
  int64_t MaxHeaderBytes = 16 * 1024;
  int64_t MaxBodyBytes = 256 * 1024;
};
using ConfigurationPtr = std::shared_ptr<const CellConfiguration>;

/// Returns the queue of \p Host whose prefix is the longest match for \p Path, or null.
const Queue *findQueue(const CellConfiguration &Config, std::string_view Host,
                       std::string_view Path);

/// Returns the organisation called \p Name, or null.
const Organisation *findOrganisation(const CellConfiguration &Config, std::string_view Name);

/// True if a caller of organisation \p Caller may see and change jobs of organisation \p Owner.
/// Jobs accepted without a key (empty \p Owner) are accessible to everyone.
bool mayAccess(const std::string &Caller, const std::string &Owner);

/// True if \p Need does not exceed \p Maximum, in which 0 means no limit.
bool isWithin(const Resources &Need, const Resources &Maximum);

/// A step as submitted by the caller.
struct StepSpec {
  uint32_t Count = 1;
  Resources Need;                    ///< Request of each task.
  Milliseconds Estimate{0};          ///< Caller's estimate of a task's run time; 0: none.
  std::vector<uint32_t> DependsOn;   ///< Indexes of earlier steps that must complete first.
  bool Checkpointable = false;       ///< Tasks save their progress and can be resumed.
  bool Gang = false;                 ///< All tasks must run at the same time.
  bool SameRack = false;             ///< Tasks are slow unless all run in one rack.
  std::string RequiredLabel;         ///< Label that the worker must have; empty: any worker.
  std::string PreferredRack;         ///< Tasks are slow in other racks; empty: no preference.
  uint32_t MaxPerWorker = 0;         ///< Limit on tasks of the step on one worker; 0: none.
  bool Speculative = false;          ///< Several copies of a task may run at once.
  bool LongRunning = false;          ///< Runs until the job is cancelled.
  bool BestEffort = false;           ///< Reserves no processor capacity; uses what is idle.
  std::string Image;                 ///< Tasks with the same image behave alike.
  Milliseconds TailLatencyTarget{0}; ///< Tail latency objective of a service; 0: none.
  uint32_t MaxUnavailable = 0; ///< Long-running tasks are moved only while fewer than this are
                               ///< unavailable; 0: always.
};

/// An accepted job with the policy its queue had at that time. Immutable.
struct JobSpec {
  JobId Id = 0;
  std::string Queue;
  std::string Service; ///< That its queue had when it was submitted.
  /// Of the configuration that named `Service`; 0: a record of an earlier version does not say.
  uint64_t ConfigVersion = 0;
  std::string Organisation; ///< Owner of the key it was submitted with; empty: no key was needed.
  int Priority = 0;
  int MaxAttempts = 1;
  double CriticalPathFactor = 1;
  Milliseconds ObjectiveSlack{0};
  std::optional<AdvicePolicy> Advice;
  std::string Payload; ///< Opaque; passed on to the workers.
  std::vector<StepSpec> Steps;
  uint32_t Repetitions = 0; ///< 0: runs once, immediately.
  WallTime FirstDue{};
  Milliseconds Interval{0};
  WallTime AcceptedAt{};
};
using JobSpecPtr = std::shared_ptr<const JobSpec>;

enum class JobPhase { Live, Completed, Failed, Cancelled };

/// How a run ended, as reported by its worker.
enum class RunOutcome {
  Done,
  Failed,       ///< The task or its worker failed.
  Stopped,      ///< Stopped by the scheduler.
  LeaseExpired, ///< The worker's lease ran out.
  GangBroken,   ///< Another member of its gang ended.
  GangTimedOut, ///< The rest of its gang did not start in time.
};
std::string_view toString(RunOutcome How);

/// One life of a worker, as listed by the platform. A restarted worker may have a new id or keep
/// its own; `Born` tells its lives apart.
struct WorkerInfo {
  std::string Id;
  WallTime Born{}; ///< Start of this life of the worker; zero: not stated.
  std::string Service;
  Endpoint Address;
  std::string Zone;
  std::string Machine; ///< Hardware that it runs on, the same after a restart; empty: unknown.
  std::string Rack;
  std::vector<std::string> Labels;
  Resources Capacity;
  bool Draining = false;          ///< Accepts no new tasks and leaves, but not before
  Milliseconds DrainTimeLeft{0};  ///< this time after the list was read.
  Milliseconds WarmUpTimeLeft{0}; ///< Runs slowly for this time after the list was read.
};

/// The availability zones that operators have asked to evacuate, at one revision of the store.
struct EvacuatedZones {
  std::set<std::string> Names;
  uint64_t Revision = 0; ///< Store revision; 0: not read yet.
};

/// A run that is active on a worker.
struct ActiveRun {
  RunKey Run;
  std::string Checkpoint;
  int Percent = 0;
};

/// A run that has ended on a worker, which keeps it until the scheduler acknowledges the end.
struct EndedRun {
  uint64_t Number = 0; ///< Incremented with each end in one incarnation of the worker.
  RunKey Run;
  RunOutcome Outcome = RunOutcome::Stopped;
  std::string Checkpoint;
};

/// The active and ended runs that a worker reports.
struct WorkerReport {
  WallTime Born{};             ///< Start of the life that reports; zero: not stated.
  Milliseconds WorkerClock{0}; ///< The worker's steady clock.
  std::vector<ActiveRun> Active;
  std::vector<EndedRun> Ended;
  /// The worker may hold further ends, which it lists once it may forget these: a run that the
  /// report does not name may have been there.
  bool HasMoreEnds = false;
  /// Its call was sent before, over another connection that was reset: that one may be carried out
  /// later.
  bool WasRepeated = false;
};

/// Result of a request to start a run.
enum class StartResult {
  Started,
  RefusedFence,      ///< The worker has seen the fencing token of a newer scheduler.
  RefusedStaleRun,   ///< That run or a later one of the task was stopped or has ended.
  RefusedExpired,    ///< The request arrived after its deadline.
  RefusedNoCapacity, ///< The worker enforces its capacity and has too little left.
  RefusedTicket,     ///< The ticket is invalid or has expired.
  RefusedUnhealthy,  ///< The worker is unhealthy and did not start the run.
  RefusedMalformed,  ///< The worker could not parse the request.
  OtherIncarnation,  ///< Another incarnation of the worker responded.
  NotSent,           ///< No connection was made; the run was not started.
  Unknown,           ///< No response; the run may have started or may still start.
};
std::string_view toString(StartResult Result);

} // namespace valveshelf::sched
