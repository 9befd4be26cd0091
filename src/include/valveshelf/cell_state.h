// SPDX-License-Identifier: Apache-2.0
// The scheduler of a cell: its state and the events that change it. Everything here is a pure
// function of state, event and time; what has to be said or kept comes back as effects.
//
// One process of the cell holds this state at a time, under a fence that workers check. Its
// promises:
//  - a task has at most one attempt; another begins only when the earlier one surely does not run;
//  - what a worker holds, is being stopped there or may still start there stays booked;
//  - an end is let go by its worker only after it has been saved.
//
// Nothing here locks: one strand owns the state.
#pragma once

#include "valveshelf/workload.h"

#include <deque>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace valveshelf::sched {

struct Worker;

/// An organisation and what it has running, on all workers of the cell together.
/// Invariant: Usage is the sum of `Charge` over all attempts of its jobs, in every phase: what is
/// planned, what may still start after an order without an answer, and what is being stopped count
/// until they are surely gone. Only `book`, `unbook` and `adopt` change it.
struct OrganisationState {
  std::string Name;
  Resources Maximum;      ///< Of the newest configuration; 0 in a dimension: no limit.
  double Weight = 0;      ///< Its share in jobs a second once the cell is full; 0: none.
  double ShareTokens = 0; ///< Jobs that it could still hand in within its share,
  std::optional<WallTime> ShareTokensAt; ///< as of this time; empty: it has not handed any in yet.
  Resources Usage;
  /// What it may have running on workers that this scheduler has not heard yet. (beginPass)
  Resources UnreportedUsage;
};

/// Figures that the decisions need, from the platform's bounds and from settings.
struct SchedulerLimits {
  /// A worker kills its runs when no call of the scheduler has reached it for this time.
  Milliseconds WorkerLease{6000};
  Milliseconds StopTime{200};             ///< Longest time a worker takes to stop a run.
  Milliseconds GangTimeout{3000};         ///< How long gang members wait for each other.
  Milliseconds MaxEarlyStart{250};        ///< A timed round may start so much before its time.
  Milliseconds EndedJobRetention{150000}; ///< How long the state of an ended job is kept.
  double ClockDrift = 0.02;               ///< Largest relative error of a worker's clock.
  Milliseconds LeaseMargin{300};          ///< Added to every lease before it counts as expired.
  Milliseconds QuarantineTime{4000};      ///< How long a worker that fails everything gets no work.
  Milliseconds TicketMargin{120};         ///< A ticket is not used this close to its end.
  Milliseconds PlanTimeout{2500}; ///< A gang whose room is not free by then is planned anew.
  double MinUrgentReserve = 0.10; ///< While room for urgent tasks is scarce, part of each worker
                                  ///< kept free of work that can wait; more if urgent tasks are
                                  ///< larger, up to the next figure.
  double MaxUrgentReserve = 0.22; ///< The most of it.
  double UrgentHeadroom = 0.25;   ///< Room for urgent tasks is scarce if less than this part of
                                  ///< those that run now could be started beside them.
  Milliseconds PreemptionMargin{
      1500};                   ///< Work that was stopped finds a place again within this time.
  uint32_t SpareWorkers = 150; ///< Idle workers kept ready beyond those in use; a gang of the
                               ///< usual size finds its advised ones among them.
  uint32_t MaxNewWorkersPerTick = 64;      ///< Most that are made ready in one tick.
  Milliseconds FailureAvoidanceTime{1000}; ///< A task that failed goes elsewhere for so long; a
                                           ///< worker that fails everything is set aside by then.
  int MaxConsecutiveFailures = 3; ///< A worker that failed so many runs in a row is set aside.
  /// A task is given up after this many consecutive startup crashes if at least
  /// `MinConfirmedCrashes` of them are confirmed.
  uint32_t MaxStartupCrashes = 3;
  uint32_t MinConfirmedCrashes = 2;
  /// It is given up after this many even if none is confirmed.
  uint32_t MaxUnconfirmedCrashes = 4;
  /// The same, with an inherited start counted (`TaskState::InheritedStartWorker`).
  uint32_t MaxCrashesWithInherited = 5;
  /// It is given up at this `TaskState::WeightedCrashes` unless its step is lasting.
  uint32_t MaxWeightedCrashes = 5;
  Milliseconds StartupTime{500}; ///< A run is in startup for this time after its start.
};

/// Where an attempt stands.
enum class AttemptPhase {
  Planned,   ///< Room is held; nothing was said to the worker.
  Starting,  ///< The order is on its way.
  Uncertain, ///< The order got no answer; it may have been carried out or may still be.
  Running,
  Stopping, ///< A stop was ordered; the run may still be there.
};

/// How a worker incarnation ended without reporting the ends of its runs.
enum class WorkerEnd {
  Replaced,     ///< Another incarnation answers at its address.
  Unlisted,     ///< It is not in the platform's list, does not answer, and its lease has expired.
  LeaseExpired, ///< It is listed but does not answer, and its lease has expired; it may answer
                ///< again.
};
std::string_view toString(WorkerEnd How);

/// Behind all priorities that a queue can have.
inline constexpr int OverSharePriority = 1'000'000;

/// A run on a worker, or one that may be there.
struct Attempt {
  AttemptPhase Phase = AttemptPhase::Planned;
  Resources Need;                     ///< Of the worker's room.
  Resources Charge;                   ///< Of its organisation's maximum.
  OrganisationState *Owner = nullptr; ///< Null: nobody's.
  int Priority = 0;           ///< Of its job; of excess the lowest, so that all others may stop it.
  bool IsUrgent = false;      ///< It is counted in `CellState::UrgentAttempts`.
  bool IsPreemptible = false; ///< It saves its progress, so that stopping it loses little.
  TimePoint Objective{};      ///< Of its job.
  Milliseconds Estimate{0};   ///< Of its whole run time.
  int Sends = 0;              ///< Start orders sent.
  TimePoint PhaseSince{};     ///< When the phase began.
  TimePoint StartedAt{};
  TimePoint StopSent{};
  bool StopAcked = false;
  bool IsPreempted = false; ///< It is stopped to make room.
  TimePoint StopAckedAt{};
  int Percent = 0;
  TimePoint PercentChangedAt{};
  TimePoint EndExpectedSince{}; ///< Its gang is done; since then its own end is expected.
  std::optional<Milliseconds> FirstListed; ///< Its worker's clock, as it first listed the run.
  TimePoint ConfirmedAt{}; ///< When it was surely there: its start was answered, or it was listed
                           ///< in a report asked for then.
  bool SurvivedStartup = false; ///< Its worker has lived through its beginning.
  bool OnTrial = false; ///< It begins apart from others; it is counted in `Worker::IsolatedStarts`.
};

/// One incarnation of a worker and the attempts booked on it.
/// Invariant: Booked is the sum of the needs of all attempts that are not Planned, Planned that of
/// the others, Preemptible that of those that may be stopped; IsolatedStarts counts those
/// `OnTrial`.
struct Worker {
  WorkerInfo Info;
  uint32_t Slot = 0;          ///< Index into `CellState::Slots`; not reused within a term.
  bool Listed = false;        ///< The platform lists it.
  bool IsSelected = false;    ///< To be used: it is recorded in the store, then asked for its runs.
  bool HasReported = false;   ///< It has reported to this scheduler; its attempts are known.
  bool IsResponsive = true;   ///< The last call to it was answered.
  bool IsRecorded = false;    ///< The store records that it may hold runs of this cell.
  bool HasUnsizedRun = false; ///< It holds a run of unknown size; nothing is placed on it.
  Resources Booked;
  Resources Planned;
  Resources Preemptible; ///< Upper bound of what preemption can free here.
  Resources Claimed; ///< Part of its free room that pending advice requests are expected to use.
  std::map<RunKey, Attempt> Attempts;
  uint64_t LastEndNumber = 0; ///< Highest number of a processed end.
  /// Numbers of ends, each with that of the save that it waits for.
  std::deque<std::pair<uint64_t, uint64_t>> UnsavedEnds;
  uint64_t ForgetThrough = 0; ///< Ends up to this number are saved; the worker may forget them.
  TimePoint LeaseEnd{};       ///< By then the worker has killed all its runs.
  int ConsecutiveFailures = 0;
  TimePoint QuarantinedUntil{}; ///< No work is placed here before.
  TimePoint ReportAskedAt{};    ///< When its last report was requested.
  TimePoint LeavesAt{};         ///< Earliest time at which it leaves once it drains.
  TimePoint SlowUntil{};        ///< It is slow until then because it has only just started.
  bool InEvacuatedZone = false; ///< Operators evacuate its availability zone.
  TimePoint UnlistedAt{};       ///< When it disappeared from the platform's list.
  uint32_t IsolatedStarts = 0;  ///< While above 0, nothing else is started here.
  TimePoint SilentSince{}; ///< When the current silence was first counted; zero if there is none.
  /// The silence is still to be counted against the runs in startup here.
  bool HasUncountedSilence = false;
};

/// What is known of advice for a step. Whether a worker is good for it never changes.
/// Invariant: Permits is sorted by slot, and each of its slots is marked in AnsweredSlots.
struct AdviceState {
  struct Permit {
    uint32_t Slot = 0; ///< Of a worker that may run the step.
    std::string Ticket;
    TimePoint ValidUntil{};
  };
  std::vector<Permit> Permits;
  std::vector<bool> AnsweredSlots;  ///< By slot: the advice service was asked about the worker.
  uint32_t OutstandingRequests = 0; ///< Questions under way.
  bool HasNewAnswer = false; ///< An answer has come that was not used yet; its tickets run out.
  TimePoint NotBefore{};
};

struct TaskState {
  bool Done = false;
  Worker *AssignedWorker = nullptr; ///< Worker of its attempt; null: it has none.
  uint32_t Run = 0;                 ///< Run number of its attempt, or of the last one.
  std::string Checkpoint;
  std::set<uint32_t> FailedRuns;
  /// An earlier scheduler may have started it on a worker that has not reported yet.
  bool MayRunOnUnreportedWorker = false;
  /// The previous scheduler may still start it on a worker that does not know this one yet.
  bool MayBeStartedByPredecessor = false;
  TimePoint NotBefore{};
  /// Consecutive workers that crashed, or are suspected to have crashed, during its startup.
  uint32_t StartupCrashes = 0;
  /// Of these, the workers whose crash is not confirmed.
  std::vector<std::string> SuspectWorkers;
  /// Of these, the workers that left the platform's list without notice. They count as crashed
  /// unless they answer again.
  std::vector<std::string> VanishedWorkers;
  /// Consecutive workers that crashed while running it; those that ran nothing else count twice.
  uint32_t WeightedCrashes = 0;
  /// While `StartupCrashes` is above 0: the worker of the last start whose outcome is unknown; or
  /// empty.
  std::string PendingStartWorker;
  /// The one of `SuspectWorkers` that was the `PendingStartWorker` of an earlier scheduler; or
  /// empty.
  std::string InheritedStartWorker;
  /// Number of the save of these fields; the task is not started before it is durable.
  uint64_t CrashCountSave = 0;
  bool HasStalled = false;          ///< A run of it was stopped because it made no progress.
  const Worker *FailedOn = nullptr; ///< Only compared; the worker may be gone.
  TimePoint FailedAt{};             ///< Time of its last failure.
};

/// Place in the queue: what lies within its organisation's share first; then what can still meet
/// its objective; then by priority and objective.
struct QueueKey {
  bool IsOverShare = false;
  bool Late = false;
  int Priority = 0;
  TimePoint Objective{};
  StepKey Step;
  friend bool operator==(const QueueKey &, const QueueKey &) = default;
  friend bool operator<(const QueueKey &A, const QueueKey &B) {
    return std::tie(A.IsOverShare, A.Late, A.Priority, A.Objective, A.Step) <
           std::tie(B.IsOverShare, B.Late, B.Priority, B.Objective, B.Step);
  }
};

/// One step of one round.
/// Invariant: OpenTasks counts the tasks that are not done.
struct StepState {
  StepKey Key;
  const StepSpec *Spec = nullptr;
  std::vector<TaskState> Tasks;
  uint32_t OpenTasks = 0;
  uint32_t BookedTasks = 0;       ///< Tasks that have an attempt.
  uint32_t PlannedTasks = 0;      ///< Of them, those for which room is only held.
  std::optional<QueueKey> Queued; ///< Its place in the placement queue, if it stands there.
  uint32_t GangRun = 0;           ///< Last run of a gang.
  std::set<uint32_t> GangFailures;
  AdviceState Advice;
  TimePoint RunnableSince{};
  TimePoint PlannedAt{};
  bool LastPlacementFailed = false; ///< It found no place when it was last looked at.
  bool HasStartOrders = false;      ///< A start of it was ordered.
  std::string WaitReason;           ///< Why nothing is placed just now, for people.
};

struct RoundState {
  uint32_t Number = 0;
  std::vector<StepState> Steps;
  bool Done = false;
};

struct Job {
  JobSpecPtr Spec;
  OrganisationState *Owner = nullptr; ///< Null: it came without a key.
  bool IsOverShare = false;      ///< Its organisation had handed in more than its share before it.
  uint64_t Revision = 0;         ///< Of its key in the store.
  uint64_t ProgressRevision = 0; ///< Of its progress; 0: none is known to be kept.
  bool ProgressSent = false;     ///< A write of its progress may have been carried out.
  JobPhase Phase = JobPhase::Live;
  bool Begun = false;
  bool CancelRequested = false;
  std::map<uint32_t, RoundState> Rounds;
  uint32_t NextRound = 0;
  uint32_t RoundsDone = 0;
  TimePoint Objective{};    ///< By then it has to be complete to count in full.
  uint64_t PendingSave = 0; ///< Number of the newest save it needs; 0: saved.
};

/// A worker that is counted in `TaskState::StartupCrashes` and may be alive. Kept when the worker
/// is dropped, since a worker behind a cut link may answer again.
struct SuspectWorker {
  TimePoint LastSuspectedAt{}; ///< When it was last counted.
  std::set<TaskKey> Tasks;
};

/// The durable end of a job.
struct EndedJob {
  JobPhase Phase = JobPhase::Completed;
  uint64_t Revision = 0;
  WallTime EndedAt{};
  std::string Organisation; ///< Whose it was; empty: anybody's.
};

struct CellState {
  SchedulerLimits Limits;
  uint64_t Fence = 0;
  uint32_t FirstRun = 1; ///< Run numbers of this scheduler begin here.
  /// By name; nodes stay where they are. One that has left the configuration keeps its maximum.
  std::map<std::string, OrganisationState> Organisations;
  std::set<std::string> Services; ///< Of the newest configuration.
  /// Invariant: `Worker::InEvacuatedZone` is true for the workers of these zones and no others.
  EvacuatedZones Evacuated;
  bool HasConfiguration = false; ///< The maxima of organisations are known.
  std::unordered_map<JobId, Job> Jobs;
  std::unordered_map<JobId, EndedJob> EndedJobs;     ///< Saved ends only.
  std::deque<std::pair<WallTime, JobId>> EndedByAge; ///< Ended jobs, oldest first.
  std::map<std::string, Worker> Workers;             ///< By id; nodes stay where they are.
  std::vector<Worker *> Slots;                       ///< Workers by slot; null: gone.
  std::set<QueueKey> Queue;                          ///< Steps with a task to place.
  TimePoint NextFullScan{};              ///< When all steps that wait are looked at again.
  uint64_t FullScans = 0;                ///< So far.
  std::optional<QueueKey> FirstUnplaced; ///< The first that found no place since the last of them.
  std::set<JobId> PendingCancels;        ///< Cancelled jobs that are not known yet.
  std::map<std::string, std::string> UnreportedWorkers; ///< Workers that an earlier scheduler may
                                                        ///< have used, with their services.
  /// By id. Invariant: a task is named here exactly if it names the worker in `Doubted` or
  /// `Vanished`.
  std::map<std::string, SuspectWorker> Doubted;
  std::set<RunKey> OrphanedRuns; ///< Runs on workers whose job was not known when they were seen.
  bool Loaded = false;           ///< The store was read; nothing is placed before.
  uint64_t LastSave = 0;
  std::map<uint64_t, JobId> PendingSaves;  ///< Saves not yet durable, by number.
  std::set<uint32_t> SlotsWithUnsavedEnds; ///< Slots of workers with ends that wait for a save.
  WallTime Wall{};                         ///< The time of day at Now, as of the last tick.
  TimePoint WallAt{};                      ///< The steady time at which Wall was read.
  bool WorkerShortage = false;    ///< A step found no place among the workers that are ready.
  Resources MeanUrgentNeed;       ///< Moving average of the needs of urgent tasks.
  uint32_t UrgentAttempts = 0;    ///< Attempts of urgent tasks, in every phase.
  size_t UrgentScanStart = 0;     ///< A slot that had room for urgent tasks when last looked for.
  uint32_t AdviceConcurrency = 0; ///< Questions for advice that can be asked at the same time.
  uint32_t OutstandingAdviceRequests = 0; ///< Of all steps, under way or in line for a lane.
  /// By step with a question under way: slots of the workers that it names, and what it claims
  /// there.
  std::map<StepKey, std::vector<std::pair<uint32_t, Resources>>> AdviceClaims;
  std::set<StepKey> RenewingTickets; ///< Steps whose question under way only renews tickets.
  /// By queue: the part of the workers asked about that turned out good, a moving average.
  std::map<std::string, double> ApprovalRates;
  TimePoint NextLeaveScan{}; ///< When work on leaving workers is looked for again.
  TimePoint NextStallScan{}; ///< When runs without progress are looked for again.
};

/// What the process has to do.
struct Effects {
  struct Start {
    std::string Worker;
    RunKey Run;
    JobSpecPtr Job;
    std::string Checkpoint;
    std::string Ticket;
  };
  struct Stop {
    std::string Worker;
    RunKey Run;
    std::string Why;
  };
  struct AdviceRequest {
    StepKey Step;
    bool IsLate = false; ///< It is asked after those of steps that can still meet their objective.
    int Priority = 0;
    std::vector<std::string> Workers;
    Milliseconds ExpectedTime{0};
  };
  /// For the log: what one pass ordered for a step.
  struct Placement {
    StepKey Step;
    uint32_t Tasks = 0;
    uint32_t Workers = 0;
    TimePoint RunnableSince{};
    TimePoint Objective{};
    bool IsFirst = false; ///< Nothing of the step was ordered before.
  };
  /// For the log: a run that failed.
  struct Failure {
    RunKey Run;
    std::string Worker;
    size_t Failures = 0;
    int MaxAttempts = 0;
  };
  /// For the log: a run that was lost with its worker.
  struct LostRun {
    RunKey Run;
    std::string Worker;
    WorkerEnd Cause = WorkerEnd::LeaseExpired;
    Milliseconds RunTime{0}; ///< From the start order, or its answer, to the worker's last report.
    uint32_t StartupCrashes = 0;     ///< Of the task, as in `TaskState`.
    uint32_t UnconfirmedCrashes = 0; ///< The size of `TaskState::SuspectWorkers`.
    uint32_t WeightedCrashes = 0;
  };
  /// For the log: a task that fails its job because it crashes its workers.
  struct GivenUpTask {
    TaskKey Task;
    uint32_t StartupCrashes = 0;
    uint32_t UnconfirmedCrashes = 0;
    uint32_t WeightedCrashes = 0;
  };
  /// For the log: a change of `TaskState::StartupCrashes`.
  struct CrashCountChange {
    TaskKey Task;
    std::string Worker; ///< The worker that is counted or no longer counted; empty: the task
                        ///< survived its startup.
    std::string_view Why;
    uint32_t StartupCrashes = 0;
    uint32_t UnconfirmedCrashes = 0;
  };
  std::vector<Start> Starts;
  std::vector<Placement> Placements;
  std::vector<Failure> Failures;
  std::vector<LostRun> LostRuns;
  std::vector<GivenUpTask> TasksGivenUp;
  std::vector<CrashCountChange> CrashCountChanges;
  std::vector<Stop> Stops;
  std::vector<AdviceRequest> AdviceRequests;
  std::vector<std::string> ReportRequests; ///< Workers to ask at once what they hold.
  bool SaveRequested = false;              ///< Something waits to be saved.
  bool HasNewWorkers = false;              ///< Workers are wanted that were not before.
  bool Deposed = false;                    ///< A newer scheduler has spoken; this one must end.
};

// Jobs.

/// A job that the store holds. \p Fresh: no earlier scheduler can have started any of it.
void addJob(CellState &Cell, JobSpecPtr Spec, uint64_t Revision, bool Fresh, TimePoint Now);
/// Marks what an earlier scheduler saved: the tasks done, failures and checkpoints of one step.
struct SavedTask {
  uint32_t Index = 0;
  bool Done = false;
  std::vector<uint32_t> FailedRuns;
  std::string Checkpoint;
  uint32_t Crashes = 0;
  std::vector<std::string> Doubted;
  std::vector<std::string> Vanished;
  uint32_t Losses = 0;
  std::string TrialOn;
};
void restoreStep(CellState &Cell, const StepKey &Key, const std::vector<SavedTask> &Tasks);
/// Call once after all jobs were added and restored.
void finishLoading(CellState &Cell, TimePoint Now, Effects &Out);
/// A cancellation of a job that is not known yet is kept until the job comes.
void cancelJob(CellState &Cell, JobId Id, TimePoint Now, Effects &Out);
/// Call after `addJob`: carries out a cancellation that came before the job.
void applyPendingCancel(CellState &Cell, JobId Id, TimePoint Now, Effects &Out);
/// The saves up to \p Number of \p Id are durable; its keys have these revisions now. Returns the
/// workers none of whose ends waits for a save any more.
std::vector<std::string> jobSaved(CellState &Cell, JobId Id, uint64_t Number, uint64_t Revision,
                                  uint64_t ProgressRevision, WallTime Now);
/// The state to show a caller, empty if there is no such job here.
std::string_view publicJobState(const CellState &Cell, JobId Id);
/// Whose the job is; empty: anybody's, or there is no such job here.
std::string organisationOfJob(const CellState &Cell, JobId Id);
/// Jobs of the queue of which nothing has begun.
uint32_t waitingJobs(const CellState &Cell, const std::string &Queue);

// Organisations.

/// The operators' configuration says what organisations may have running, from now on. What runs
/// beyond a lowered maximum runs on.
void applyConfiguration(CellState &Cell, const CellConfiguration &Config);
/// The organisation of that name; null for the empty one.
OrganisationState *findOrAddOrganisation(CellState &Cell, const std::string &Name);
/// Counts a job that the organisation handed in at \p At against its share, a burst of one second
/// included. False: the job lies beyond it.
bool consumeShare(OrganisationState &Org, WallTime At);
/// True if the organisation may have \p More running. Without \p Of there is no limit; until the
/// configuration is known no organisation may have anything started.
bool isWithinQuota(const CellState &Cell, const OrganisationState *Org, const Resources &More);

// Availability zones.

/// Operators want these zones empty: nothing is started there any more, what is planned there is
/// planned elsewhere, and what can go on elsewhere is moved. An older state of the store is passed
/// over. False: nothing has changed.
bool evacuate(CellState &Cell, EvacuatedZones Zones);

// Workers.

/// True if the platform and the operators allow new work there: it is listed, not draining, and not
/// in an availability zone under evacuation.
bool takesWork(const Worker &On);
void workerListed(CellState &Cell, const WorkerInfo &Info, TimePoint Now);
void workerUnlisted(CellState &Cell, const std::string &Id, TimePoint Now);
/// Notes that an earlier scheduler may have runs there until \p LeaseEnd.
void workerMayHoldRuns(CellState &Cell, const WorkerInfo &Info, TimePoint LeaseEnd);
/// \p AskedAt: when the report was requested; it does not show later changes.
void workerReported(CellState &Cell, const std::string &Id, const WorkerReport &Report,
                    TimePoint AskedAt, TimePoint Now, Effects &Out);
/// A call to the worker was not answered.
void workerSilent(CellState &Cell, const std::string &Id);
/// True if the worker answers, holds no runs, and none of its ends waits for a save.
bool isIdle(const Worker &On);
/// True if a worker of the service may hold runs of an earlier scheduler and has not reported yet.
bool hasUnreportedWorkers(const CellState &Cell, const std::string &Service);
/// Ends all attempts on the worker and removes it.
void workerEnded(CellState &Cell, const std::string &Id, TimePoint Now, Effects &Out,
                 WorkerEnd How = WorkerEnd::Replaced);
/// The worker may have received a lease that ends by \p End, on the scheduler's clock.
void workerLeased(CellState &Cell, const std::string &Id, TimePoint End);
void startAnswered(CellState &Cell, const std::string &Id, const RunKey &Run, StartResult Answer,
                   TimePoint Now, Effects &Out);
void stopAnswered(CellState &Cell, const std::string &Id, const RunKey &Run, bool Acked,
                  TimePoint Now, Effects &Out);

// Advice and placement.

void adviceAnswered(CellState &Cell, const StepKey &Step, const std::vector<std::string> &Named,
                    const std::vector<std::pair<std::string, std::string>> &Good,
                    Milliseconds Valid, TimePoint Now);
void adviceFailed(CellState &Cell, const StepKey &Step, TimePoint Now);
/// Time outs: answers that did not come, leases that ran out, rounds that are due.
void tick(CellState &Cell, TimePoint Now, WallTime Wall, Effects &Out);
/// Places what can be placed now.
void place(CellState &Cell, TimePoint Now, Effects &Out);

// Shared by the parts of the scheduler.

StepState *findStep(CellState &Cell, const StepKey &Key);
/// The attempt of a task; null: it has none.
Attempt *attemptOf(const StepState &Step, uint32_t Index);
/// Books an attempt of the task; removes it again.
Attempt &book(CellState &Cell, StepState &Step, uint32_t Index, Worker &W, uint32_t Run,
              AttemptPhase Phase, const Job &J, TimePoint Now);
void unbook(CellState &Cell, Worker &W, const RunKey &Run);
/// Gives up the room that is held for an attempt of which nothing was sent.
void dropPlanned(CellState &Cell, Worker &W, const RunKey &Run, Effects &Out);
void setPhase(CellState &Cell, Worker &W, const RunKey &Run, AttemptPhase Phase, TimePoint Now);
/// The permit for the worker, or null if it is not known to be good for the step.
const AdviceState::Permit *findPermit(const StepState &Step, const Worker &W);
AdviceState::Permit *findPermit(StepState &Step, const Worker &W);
/// True if the advice service has answered about the worker.
bool hasAdviceOn(const StepState &Step, const Worker &W);
/// Orders the stop of a run, or drops it if it was only planned.
void stopAttempt(CellState &Cell, Worker &W, const RunKey &Run, const char *Why, TimePoint Now,
                 Effects &Out);
/// True if the step can't end by its job's objective any more. A step that lasts has no end to be
/// late with: it serves from when it is at work.
bool isLate(const Job &J, const StepState &Step, TimePoint Now);
/// Puts the step into the placement queue if one of its tasks can be placed.
void queueStep(CellState &Cell, Job &J, StepState &Step, TimePoint Now);
void requestSave(CellState &Cell, Job &J, Effects &Out);
/// Ends the job, unless it has ended: what runs of it is stopped, and its end is saved.
void endJob(CellState &Cell, Job &J, JobPhase Phase, const char *Why, TimePoint Now, Effects &Out);
/// Notes the end of a run in the task and the job.
void runEnded(CellState &Cell, const RunKey &Run, RunOutcome How, const std::string &Checkpoint,
              Worker *W, TimePoint Now, Effects &Out);

} // namespace valveshelf::sched
