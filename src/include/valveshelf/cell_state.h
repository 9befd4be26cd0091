// SPDX-License-Identifier: Apache-2.0
// The state of a cell's scheduler and the events that change it. Every function here is a pure
// function of state, event and time; calls to workers, writes to the store and log lines are
// returned as `Effects`, which `SchedulerRunner` carries out.
//
// One process of the cell holds this state at a time, under a fencing token that workers check.
// Guarantees:
//  - a task has at most one attempt; another is made only when the earlier one can't run any more.
//    Tasks of steps with `StepSpec::Speculative` may have one copy in addition;
//  - the resources of a run stay booked while its worker holds it, is stopping it or may still
//    start it;
//  - a worker may forget the end of a run only after that end has been saved.
//
// Not thread-safe: one strand owns the state.
#pragma once

#include "valveshelf/advice_use.h"
#include "valveshelf/copies.h"
#include "valveshelf/features.h"
#include "valveshelf/forecast_state.h"
#include "valveshelf/overload_order.h"
#include "valveshelf/run_times.h"
#include "valveshelf/service_load.h"
#include "valveshelf/unbooked_runs.h"
#include "valveshelf/worker_life.h"
#include "valveshelf/workload.h"

#include <deque>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace valveshelf::sched {

struct Worker;

/// An organisation and its resource usage over all workers of the cell.
/// Invariant: Usage is the sum of `Charge` over all attempts of its jobs, in every phase: planned
/// attempts, those whose start order got no answer and those being stopped count until they are
/// known to be over. Only `book`, `bookCopy`, `unbook`, `adopt` and `applyConfiguration` change it.
struct OrganisationState {
  std::string Name;
  Resources Maximum; ///< From the newest configuration; 0 in a dimension: no limit.
  double Weight = 0; ///< Its share once the cell is full, in jobs per second; 0: no share is set.
  double ShareTokens = 0;                ///< Jobs that it can still submit within its share,
  std::optional<WallTime> ShareTokensAt; ///< at this time; empty: it has not submitted any yet.
  Resources Usage;
  /// Upper bound of its usage on workers that have not reported to this scheduler yet. Recomputed
  /// by `chargeUnreported` in each pass.
  Resources UnreportedUsage;
};

/// Limits from the settings and the platform's bounds.
struct SchedulerLimits {
  /// The longest lease of a worker: it kills its runs when no call has reached it for this time.
  Milliseconds WorkerLease{6000};
  Milliseconds StopTime{200};             ///< Longest time a worker takes to stop a run.
  Milliseconds GangTimeout{3000};         ///< How long gang members wait for each other.
  Milliseconds MaxEarlyStart{250};        ///< How early a round of a timed job may start.
  Milliseconds EndedJobRetention{150000}; ///< How long the state of an ended job is kept.
  /// Largest rate error of a clock relative to true time. The rates of two clocks, the scheduler's
  /// and a worker's, can differ by twice this.
  double ClockDrift = 0.02;
  /// The most by which the time of day of two processes may differ; it may jump by seconds.
  Milliseconds MaxClockDifference{5000};
  Milliseconds LeaseMargin{300};     ///< Added to every lease before it counts as expired.
  Milliseconds QuarantineTime{4000}; ///< How long a worker gets no work after repeated
                                     ///< failures or a stalled run.
  Milliseconds TicketMargin{120};    ///< A ticket is not used this close to its expiry.
  Milliseconds PlanTimeout{2500};    ///< An attempt planned this long ago is planned anew.
  /// While capacity for urgent tasks is scarce: least and largest fraction of each worker that is
  /// reserved for them. Between the two, the typical size of an urgent task decides.
  double MinUrgentReserve = 0.10;
  double MaxUrgentReserve = 0.22;
  /// Capacity for urgent tasks is scarce if fewer than this fraction of those in progress could be
  /// started in addition.
  double UrgentHeadroom = 0.25;
  Milliseconds PreemptionMargin{1500}; ///< Time allowed for placing a preempted task again.
  /// Idle workers kept ready in addition to those in use; a gang of the usual size finds its
  /// advised ones among them.
  uint32_t SpareWorkers = 150;
  uint32_t MaxNewWorkersPerTick = 64; ///< Workers made ready in one tick.
  /// How long a task avoids the worker on which it failed. A worker on which a task failed at once
  /// is quarantined for as long.
  Milliseconds FailureAvoidanceTime{1000};
  int MaxConsecutiveFailures = 3; ///< Failed runs in a row after which a worker is quarantined.
  /// A task is given up after this many consecutive startup crashes if all starts were accepted or
  /// `MinConfirmedCrashes` are confirmed. Operators allow it from the second confirmed one.
  uint32_t MaxStartupCrashes = 3;
  uint32_t MinConfirmedCrashes = 2;
  /// It is given up after this many, not counting an inherited start
  /// (`TaskState::InheritedStartWorker`), if one is confirmed and another start was accepted, or if
  /// no start was answered. Beside a single accepted start, orders without an answer are no
  /// evidence: they may have met workers that had just died.
  uint32_t MaxUnconfirmedCrashes = 4;
  /// It is given up after this many of any kind: operators allow five starts.
  uint32_t MaxCountedCrashes = 5;
  /// It is given up at this `TaskState::WeightedCrashes` unless its step is long-running. A sound
  /// task that runs beside others is on a worker that crashes often enough to have a few.
  uint32_t MaxWeightedCrashes = 5;
  Milliseconds StartupTime{500}; ///< A run is in startup for this time after its start.
  /// Late and left-out steps of an overloaded service that wait longer than this are ordered by
  /// age, so that newer ones don't hold them back for as long as the overload lasts.
  Milliseconds LeftOutBound{10000};
};

enum class AttemptPhase {
  Planned,   ///< Resources are reserved; the worker has not been called.
  Starting,  ///< The start order has been sent.
  Uncertain, ///< The start order got no answer; it may have taken or may still take effect.
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

/// Priority of attempts beyond their organisation's share; lower than that of any queue.
inline constexpr int OverSharePriority = 1'000'000;
/// Priority of copies, which are the first to be preempted.
inline constexpr int CopyPriority = OverSharePriority + 1;

/// A run on a worker, or one that may be there.
struct Attempt {
  AttemptPhase Phase = AttemptPhase::Planned;
  Resources Need;                     ///< Booked on the worker.
  Resources Charge;                   ///< Counted in the usage of its organisation.
  OrganisationState *Owner = nullptr; ///< Null: its job belongs to no organisation.
  int Priority = 0;           ///< Of its job, or `OverSharePriority`; smaller is more urgent.
  bool IsUrgent = false;      ///< It is counted in `CellState::UrgentAttempts`.
  bool IsPreemptible = false; ///< It saves checkpoints, so that stopping it loses little work.
  bool IsTimed = false;       ///< It began its task from the start; its start was confirmed.
  TimePoint Objective{};      ///< Of its job.
  Milliseconds Estimate{0};   ///< Of its whole run time, by the caller.
  Milliseconds Expected{0};   ///< The same as learned, on its worker.
  int Sends = 0;              ///< Start orders sent.
  /// The client sent an order again, over another connection: each of the two may have been carried
  /// out.
  bool WasRepeated = false;
  uint64_t Token = 0; ///< Fencing token of the last order; 0: none was sent.
  int Percent = 0;
  TimePoint PhaseSince{}; ///< When the phase began.
  TimePoint StartedAt{};
  TimePoint AcceptedAt{}; ///< When its start was confirmed by an answer, also during its stop.
  TimePoint StopSent{};
  bool StopAcked = false;
  bool IsPreempted = false; ///< It was stopped in favour of more urgent work.
  TimePoint StopAckedAt{};
  TimePoint PercentChangedAt{};
  TimePoint EndExpectedSince{}; ///< When its gang was done; it is expected to end by itself.
  std::optional<Milliseconds> FirstListed; ///< By the worker's clock, when it first listed the run.
  /// When the run was last known to be on the worker: its start was answered, or a report asked
  /// for at that time listed it.
  TimePoint ConfirmedAt{};
  bool SurvivedStartup = false; ///< Its worker did not crash during the run's startup.
  /// It has been listed for `SchedulerLimits::StartupTime`: it no longer keeps other starts off its
  /// worker, nor does an isolated start wait for it. A member of a gang may still be in startup.
  bool IsPastStartupTime = false;
  /// No other run is started on its worker while this is set. Counted in `Worker::IsolatedStarts`.
  bool IsIsolatedStart = false;
  /// Its task has a crash count, and the run has not survived its startup: its worker is asked for
  /// reports before and after the start. Counted in `Worker::WatchedStarts`.
  bool IsWatchedStart = false;
  /// When the start was first held back for a recent report of its worker; zero if it was not.
  TimePoint ReportAwaitedSince{};
  bool IsCopy = false; ///< It is `TaskState::Copy`.
  /// The first progress reported of a run that did not begin its task from the start.
  std::optional<ProgressBase> MeasuredFrom;
};

/// One life of a worker and the attempts booked on it.
/// Invariant: Booked is the sum of the needs of all attempts that are not Planned, Planned that of
/// the others, Preemptible that of those that may be stopped; IsolatedStarts counts those
/// `IsIsolatedStart`, WatchedStarts those `IsWatchedStart`.
struct Worker {
  WorkerInfo Info;
  WorkerLife Life;
  /// An earlier life was known to this scheduler. Answers to calls that were sent before this one
  /// was learned of are ignored: such calls may still be carried out, in either life.
  bool IsRestart = false;
  /// Its worker has started again. Kept, under a key of its own, until a report of the new life
  /// shows which of its orders that one has carried out.
  bool IsEarlierLife = false;
  uint32_t Slot = 0; ///< Index into `CellState::Slots`; not reused within a term.
  /// Lower part of the fencing token of calls to this life, at first and now.
  /// Invariant: higher than those of all earlier lives of the id in this term.
  uint32_t FirstToken = 0;
  uint32_t Token = 0;
  uint32_t OpenAcknowledgements = 0; ///< Sent under `Token` and not answered.
  bool Listed = false;               ///< The platform lists it.
  bool IsSelected = false;  ///< To be used: it is recorded in the store, then asked for its runs.
  bool HasReported = false; ///< It has reported to this scheduler; its attempts are known.
  /// Its first report names a job that is not known yet: it is asked again until the job is known
  /// or can't exist.
  bool AwaitsJobs = false;
  /// Runs of earlier lives that this one has carried out, until it has named all of them.
  std::vector<RunKey> CarriedOut;
  bool IsResponsive = true;   ///< The last call to it was answered.
  bool IsRecorded = false;    ///< The store records that it may hold runs of this cell.
  bool HasUnsizedRun = false; ///< It holds a run of unknown size; nothing is placed on it.
  Resources Booked;
  Resources Planned;
  Resources Preemptible; ///< Upper bound of what preemption can free here.
  /// Expected use by steps whose outstanding request for further workers names this one. Set aside
  /// so that requests of other steps name other workers.
  Resources Claimed;
  std::map<RunKey, Attempt> Attempts;
  uint64_t LastEndNumber = 0; ///< Highest number of a processed end.
  /// Numbers of ends, each with that of the save that it waits for.
  std::deque<std::pair<uint64_t, uint64_t>> UnsavedEnds;
  uint64_t ForgetThrough = 0;    ///< Ends up to this number are saved; the worker may forget them.
  uint64_t ForgottenThrough = 0; ///< It has answered a call that told it to forget these.
  TimePoint LeaseEnd{};          ///< By then the worker has killed all its runs.
  int ConsecutiveFailures = 0;
  TimePoint QuarantinedUntil{}; ///< No work is placed here before.
  TimePoint ReportAskedAt{};    ///< When its last report was requested.
  TimePoint LeavesAt{};         ///< Earliest time at which it leaves once it drains.
  TimePoint SlowUntil{};        ///< It is slow until then because it has only just started.
  bool InEvacuatedZone = false; ///< Operators evacuate its availability zone.
  TimePoint UnlistedAt{};       ///< When it disappeared from the platform's list.
  SpeedBand Speed = SpeedBand::Ordinary; ///< As learned; ordinary while too little is known.
  uint32_t IsolatedStarts = 0;           ///< While above 0, nothing else is started here.
  uint32_t WatchedStarts = 0;
  TimePoint ReportRequestedAt{}; ///< When a report was last requested for a watched start.
  TimePoint SilentSince{}; ///< When the current silence was first counted; zero if there is none.
  /// The silence is still to be counted against the runs in startup here. It was noticed at
  /// SilenceNoticedAt.
  bool HasUncountedSilence = false;
  TimePoint SilenceNoticedAt{};
};

/// The answers of the advice service for a step. Whether a worker may run a step never changes.
/// Invariant: Permits is sorted by slot, and each of its slots is marked in AnsweredSlots.
struct AdviceState {
  struct Permit {
    uint32_t Slot = 0; ///< Of a worker that may run the step.
    std::string Ticket;
    TimePoint ValidUntil{};
  };
  std::vector<Permit> Permits;
  std::vector<bool> AnsweredSlots; ///< By slot: the advice service has answered about the worker.
  uint32_t OutstandingRequests = 0;
  bool HasNewAnswer = false; ///< An answer has come since the step was last tried.
  TimePoint NotBefore{};     ///< No request is sent before, after a failed one.
};

/// Run numbers reserved for one term. A task that is not long-running has fewer runs in a term.
inline constexpr uint32_t RunsPerTerm = 1000;

/// The restarts of a long-running task; of task 0 for a whole gang.
struct RestartState {
  /// Each run that ends by itself adds `RestartInterval`, counted from its start at the earliest.
  TimePoint PaidUntil{};
  uint32_t PacedRun = 0; ///< The highest run whose end was counted.
};

struct TaskState {
  bool Done = false; ///< Never set for a long-running task.
  /// Of a long-running task: a run of it has ended done. It is started again all the same.
  bool HasEndedDone = false;
  /// Of a long-running task: the highest run that has ended. Workers refuse runs up to it.
  uint32_t LastEndedRun = 0;
  RestartState Restarts;            ///< Of a long-running task.
  Worker *AssignedWorker = nullptr; ///< Worker of its attempt; null: it has none.
  uint32_t Run = 0;                 ///< Run number of its attempt, or of the last one.
  TaskCopy Copy;
  std::string Checkpoint;
  std::set<uint32_t>
      FailedRuns; ///< Empty for a long-running task, which may fail any number of times.
  /// An earlier scheduler may have started it on a worker that has not reported yet.
  bool MayRunOnUnreportedWorker = false;
  /// The previous scheduler may still start it on a worker that does not know this one yet.
  bool MayBeStartedByPredecessor = false;
  TimePoint NotBefore{};
  TimePoint LostAt{}; ///< When a run of it was last lost with its worker, which is dead.
  /// Consecutive workers that crashed, or are suspected to have crashed, during its startup.
  uint32_t StartupCrashes = 0;
  /// Of these, the lives of workers, by `lifeName`, whose crash is not confirmed.
  std::vector<std::string> SuspectWorkers;
  /// Of `SuspectWorkers`, those that fell silent while a run was certainly in startup there. A
  /// scheduler that finds such a worker dead confirms the crash.
  std::vector<std::string> WitnessedSuspects;
  /// Of the other `SuspectWorkers`, those that had accepted the start: the run was there, but may
  /// have ended before the silence. The rest left the order unanswered and may not have had it.
  std::vector<std::string> AcceptedSuspects;
  /// Of the counted workers, those that left the platform's list without notice. They count as
  /// crashed unless they answer again.
  std::vector<std::string> VanishedWorkers;
  /// Consecutive workers that crashed while running it; those that ran nothing else count twice.
  uint32_t WeightedCrashes = 0;
  /// While `StartupCrashes` is above 0 or `MayHaveCrashedWorker` is set: the worker of the last
  /// start whose outcome is unknown; or empty.
  std::string PendingStartWorker;
  /// An earlier scheduler may have started it on a worker that was lost before it reported to this
  /// one. Until it survives its startup its starts are recorded, as those of counted tasks.
  bool MayHaveCrashedWorker = false;
  /// One of the workers that were lost is certainly dead: another one answers in its place. The
  /// task is not started before the record of `HasRecordedStarts` is durable.
  bool MayHaveRunOnDeadWorker = false;
  /// Saved with the first start after `MayHaveCrashedWorker` was set. It covers later starts as
  /// well, which do not wait for the record of their worker.
  bool HasRecordedStarts = false;
  /// Set if an earlier scheduler may have started it without a durable record of the worker: the
  /// life that it had suspected by then, or an empty string. If the task is not found after the
  /// takeover, it may have been on any other worker that has ended.
  std::optional<std::string> UnrecordedStartAfter;
  /// The one of `SuspectWorkers` that was the `PendingStartWorker` of an earlier scheduler; or
  /// empty.
  std::string InheritedStartWorker;
  /// Number of the newest save of these fields that a start may have to wait for
  /// (`awaitsCrashCountSave`).
  uint64_t CrashCountSave = 0;
  bool HasStalled = false;          ///< A run of it was stopped because it made no progress.
  const Worker *FailedOn = nullptr; ///< Only compared; the worker may be gone.
  TimePoint FailedAt{};             ///< Time of its last failure.
};

/// Sort key of the placement queue: steps within their organisation's share first, then those that
/// can still meet their objective, then by priority and objective. Under overload, the latest start
/// replaces the objective, steps of jobs that have begun go before those of the others, these are
/// ordered by their work if they have to start soon, and steps that are left out follow with the
/// late ones, in the order of their rank.
struct QueueKey {
  bool IsOverShare = false;
  bool Late = false;
  bool LeftOut = false;           ///< Its service is overloaded and serves other jobs on time.
  LateRank Rank = LateRank::None; ///< Of late and left-out steps of an overloaded service.
  TimePoint WaitingSince{};       ///< Set for aged ranks only.
  int Priority = 0;
  bool HasNotBegun = false; ///< Set in an overloaded service only.
  bool HasTime = false;     ///< The same, and it need not start soon. Goes behind those that do.
  /// Of a job that has not begun and has to start soon: the time that all of its overloaded service
  /// needs for it, in seconds.
  double Work = 0;
  TimePoint Objective{}; ///< In an overloaded service: when the step has to start for it.
  StepKey Step;
  bool isDeprioritized() const { return Late || LeftOut; }
  bool isAged() const { return Rank == LateRank::AgedUseful || Rank == LateRank::AgedUseless; }
  /// The steps that are tried in turn until too many of them find no worker. Ranked steps, whose
  /// priorities are mixed, are one group.
  using GroupKey = std::tuple<bool, bool, int>;
  GroupKey group() const {
    return {IsOverShare, isDeprioritized(), Rank == LateRank::None ? Priority : 0};
  }
  friend bool operator==(const QueueKey &, const QueueKey &) = default;
  friend bool operator<(const QueueKey &A, const QueueKey &B) {
    const auto GroupOfA = std::tuple(A.IsOverShare, A.isDeprioritized(), A.Rank);
    const auto GroupOfB = std::tuple(B.IsOverShare, B.isDeprioritized(), B.Rank);
    if (GroupOfA != GroupOfB)
      return GroupOfA < GroupOfB;
    return std::tie(A.WaitingSince, A.Priority, A.HasNotBegun, A.HasTime, A.Work, A.Objective,
                    A.Step) < std::tie(B.WaitingSince, B.Priority, B.HasNotBegun, B.HasTime, B.Work,
                                       B.Objective, B.Step);
  }
};

/// One step of one round.
/// Invariant: OpenTasks counts the tasks that are not done; of a long-running step, all of them.
struct StepState {
  StepKey Key;
  const StepSpec *Spec = nullptr;
  std::vector<TaskState> Tasks;
  uint32_t OpenTasks = 0;
  uint32_t BookedTasks = 0;       ///< Tasks that have an attempt.
  uint32_t PlannedTasks = 0;      ///< Of them, those whose attempt is only planned.
  std::optional<QueueKey> Queued; ///< Its key in `CellState::Queue`; empty: it is not queued.
  TimePoint LatestStart{};        ///< For its job to be on time. Set in an overloaded service only.
  uint32_t GangRun = 0;           ///< Last run of a gang.
  std::set<uint32_t> GangFailures;
  TimePoint IncompleteSince{}; ///< Of a long-running gang: since when it has lost members.
  StepTiming Timing;           ///< Holds the estimate unless more was learned.
  AdviceState Advice;
  TimePoint RunnableSince{};
  TimePoint PlannedAt{};
  /// The last try left tasks without a worker or a planned gang unstarted or, before the first
  /// advice answer, no request outstanding.
  bool LastPlacementFailed = false;
  bool HasStartOrders = false; ///< A start of one of its tasks has been ordered.
  std::string WaitReason;      ///< Shown to operators; empty: it does not wait.
};

struct RoundState {
  uint32_t Number = 0;
  std::vector<StepState> Steps;
  bool Done = false;
};

/// A service on whose workers a job may have been started.
struct UsedService {
  std::string Name;
  uint64_t Save = 0; ///< Number of the save that first names it; 0: it needed none in this term.
};

/// Which workers may run the tasks of a job next, and where runs of it may be. The two differ once
/// the queue of the job has been sent to another service.
/// Invariant: Current is among Used, and Used begins with the service of the submission. A task is
/// started only on a worker of Current, and only if its entry in Used is durable.
struct JobServices {
  std::string Current;  ///< Its tasks are started on workers of this service.
  uint64_t Version = 0; ///< Of the configuration that names Current; 0: not known.
  /// By this scheduler or an earlier one. Bounded by the number of services that the queue has ever
  /// had.
  std::vector<UsedService> Used;
  size_t Inherited = 1; ///< So many of Used, from the first, may hold runs of earlier schedulers.
  bool IsRestored = false; ///< The record of an earlier scheduler named Current.
};

struct Job {
  JobSpecPtr Spec;
  JobServices Services;
  OrganisationState *Owner = nullptr; ///< Null: it was submitted without a key.
  bool IsOverShare = false;           ///< It was submitted beyond its organisation's share.
  bool IsInherited = false;           ///< An earlier scheduler may have started runs of it.
  uint64_t Revision = 0;              ///< Of its key in the store.
  uint64_t ProgressRevision = 0;      ///< Of its progress record in the store; 0: none is known.
  bool ProgressSent = false;          ///< A write of its progress may have taken effect.
  JobPhase Phase = JobPhase::Live;
  bool Begun = false; ///< A run of it has started.
  bool CancelRequested = false;
  /// Invariant: of a scheduled job, those before `NextRound` and those that an earlier scheduler
  /// has begun or may have begun. Only the first kind is placed.
  std::map<uint32_t, RoundState> Rounds;
  uint32_t NextRound = 0; ///< The first that is not due by this process's clock.
  uint32_t RoundsDone = 0;
  TimePoint Objective{};          ///< When it has to be complete to count in full.
  Milliseconds ObjectiveChain{0}; ///< The longest chain of steps that Objective was derived from.
  uint64_t PendingSave = 0;       ///< Number of the newest save that it waits for; 0: none.
};

/// A worker that is counted in `TaskState::StartupCrashes` and may be alive. Kept when the worker
/// is dropped, since a worker behind a cut link may answer again.
struct SuspectWorker {
  TimePoint LastSuspectedAt{}; ///< When it was last counted.
  bool HasEnded = false;       ///< It is known to be dead, or is taken for that after a takeover.
  std::set<TaskKey> Tasks;
};

/// Workers of a service that were lost before they reported to this scheduler.
struct TakeoverLosses {
  /// The lives, by `lifeName`, of those that were replaced or are off the list. Others may be alive
  /// behind a cut link, or have left as announced.
  std::set<std::string> EndedLives;
  bool HasReplaced = false; ///< One of EndedLives is certainly dead.
};

/// For the log: jobs of a queue are now started on workers of another service.
struct QueueMove {
  std::string Queue;
  std::string From; ///< Of the first of the jobs.
  std::string To;
  uint64_t Version = 0; ///< Of the configuration.
  uint32_t Jobs = 0;
};

/// For the log: a worker has started again under its id.
struct WorkerRestart {
  std::string Worker;
  WallTime Born{};     ///< Of the new life.
  WallTime WasBorn{};  ///< Of the earlier one.
  std::string_view By; ///< What showed it: the worker's entry in the list, or its report.
  size_t Runs = 0;     ///< Attempts booked on the earlier life.
  size_t UnsavedEnds = 0;
};

/// A job whose end has been saved.
struct EndedJob {
  JobPhase Phase = JobPhase::Completed;
  uint64_t Revision = 0;
  WallTime EndedAt{};
  std::string Organisation; ///< Empty: it belonged to none.
};

/// A cancellation of a job that did not exist. A submission of it may still be written.
struct Revocation {
  JobId Job = 0;
  std::string Organisation; ///< Whose caller cancelled it; empty: no key was needed.
};

struct CellState {
  SchedulerLimits Limits;
  uint64_t Fence = 0;    ///< The fencing token of this scheduler: its term.
  uint32_t FirstRun = 1; ///< The smallest run number that this scheduler uses.
  /// By name. Pointers to the values stay valid. An organisation that has left the configuration
  /// keeps its maximum.
  std::map<std::string, OrganisationState> Organisations;
  std::set<std::string> Services; ///< Named by the newest configuration.
  /// By queue: its service in the newest configuration. A job whose queue is not listed keeps the
  /// service that the queue had last.
  std::map<std::string, std::string> QueueServices;
  uint64_t ConfigVersion = 0;       ///< Of the newest configuration.
  std::vector<QueueMove> NewMoves;  ///< Since the last tick.
  bool HasUnrequestedSaves = false; ///< Saves were added outside a function that has `Effects`.
  Features InForce;
  ServiceLoads Loads; ///< Kept while any feature that reads them is in force.
  TimePoint NextLoadUpdate{};
  ForecastState Forecasts;
  OverloadState Overload; ///< Empty unless the order under overload is in force.
  RunTimeModel RunTimes;  ///< Empty while `Features::LearnRunTimes` is off.
  CopyState Copies;
  /// Invariant: `Worker::InEvacuatedZone` is true for the workers of these zones and no others.
  EvacuatedZones Evacuated;
  bool HasConfiguration = false; ///< The maxima of organisations are known.
  std::unordered_map<JobId, Job> Jobs;
  std::unordered_map<JobId, EndedJob> EndedJobs;
  std::deque<std::pair<WallTime, JobId>> EndedByAge; ///< Keys of EndedJobs, oldest first.
  /// By id, and earlier lives by a key of their own. Pointers to the values stay valid.
  std::map<std::string, Worker> Workers;
  std::vector<Worker *> Slots; ///< Workers by slot; null: the worker was dropped.
  uint32_t NextToken = 0;      ///< `Worker::FirstToken` of the next worker or life.
  std::set<QueueKey> Queue;    ///< Steps with a task to place.
  /// How many starts the next pass may order, and what is left of it after the pass; empty: any
  /// number.
  std::optional<size_t> StartsLeft;
  /// The starts a second that this process can do; empty: not more are asked of it.
  std::optional<double> StartRate;
  UnbookedRuns Unbooked;
  bool WasCutShort = false; ///< The last pass left steps in the queue because none was left.
  uint64_t ShortPasses = 0; ///< Number of such passes.
  TimePoint NextFullScan{}; ///< When all waiting steps are tried again.
  uint64_t FullScans = 0;   ///< Number of full scans so far.
  std::optional<QueueKey> FirstUnplaced; ///< First step not placed since the last full scan.
  /// The same by service; used instead of `FirstUnplaced` while advice is shared.
  std::map<std::string, QueueKey> FirstUnplacedOfService;
  std::set<JobId> PendingCancels; ///< Cancelled jobs that are not known yet.
  /// By job and organisation: until when they are kept. Jobs of the organisation, or of none, that
  /// become known with such an id are ended. At most `MaxRevocations`.
  std::map<std::pair<JobId, std::string>, TimePoint> Revocations;
  /// Keys of Revocations with a time at which each was learned, oldest first. A key may have
  /// several entries.
  std::deque<std::pair<TimePoint, std::pair<JobId, std::string>>> RevocationsByAge;
  /// Services of workers that may hold runs of an earlier scheduler and have not reported to this
  /// one, by worker id.
  std::map<std::string, std::string> UnreportedWorkers;
  /// Workers that were lost before they reported to this scheduler, by service, until all others of
  /// the cell are known.
  std::map<std::string, TakeoverLosses> LostUnreportedWorkers;
  /// By id. Invariant: a task is listed here exactly if it lists the worker in `SuspectWorkers` or
  /// `VanishedWorkers`.
  std::map<std::string, SuspectWorker> SuspectWorkers;
  std::set<RunKey> OrphanedRuns; ///< Runs on workers whose job was not known when reported.
  /// When there was last certainly no newer scheduler; empty: now. A worker's lease counts as over
  /// only if it was by then, and what is lost with a dead worker is started again only once this is
  /// later: a newer scheduler may have learned of the runs' ends.
  std::optional<TimePoint> ConfirmedAt;
  TimePoint LostUnreportedAt{}; ///< When a worker was last found dead before it had reported.
  /// The scheduler before may still start runs where no call of this one has arrived. Jobs that
  /// become known meanwhile may be among them.
  bool PredecessorMayStart = false;
  bool Loaded = false;                     ///< The store was read; nothing is placed before.
  uint64_t LastSave = 0;                   ///< Number of the newest save.
  std::map<uint64_t, JobId> PendingSaves;  ///< Saves that are not durable yet, by number.
  std::set<uint32_t> SlotsWithUnsavedEnds; ///< Of workers with ends that wait for a save.
  std::vector<WorkerRestart> NewRestarts;  ///< Since the last tick.
  WallTime Wall{};                         ///< Wall-clock time of the last tick.
  TimePoint WallAt{};                      ///< Steady time of the last tick.
  bool WorkerShortage = false; ///< A step that did not fit would fit a worker not in use yet.
  /// Moving average of the cores and memory of urgent tasks that are placed singly, not as a gang.
  Resources MeanUrgentNeed;
  uint32_t UrgentAttempts = 0;    ///< Attempts of urgent tasks, in every phase.
  size_t UrgentScanStart = 0;     ///< Slot of a worker that last had capacity for urgent tasks.
  uint32_t AdviceConcurrency = 0; ///< Advice requests that can be sent in parallel.
  uint32_t OutstandingAdviceRequests = 0; ///< Of all steps, sent or queued to be sent.
  AdviceUse Advice;
  /// By step with an outstanding request: slots of the workers that it names, and the resources
  /// that it claims there.
  std::map<StepKey, std::vector<std::pair<uint32_t, Resources>>> AdviceClaims;
  std::set<StepKey> RenewingTickets; ///< Steps whose outstanding request only renews tickets.
  /// By queue: moving average of the fraction of workers asked about that may run the step.
  std::map<std::string, double> ApprovalRates;
  TimePoint NextLeaveScan{}; ///< When leaving workers are next checked for work to move.
  TimePoint NextStallScan{}; ///< When runs are next checked for progress.
};

/// Output of the functions below: what the process has to send, save and log.
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
    bool IsLate = false; ///< Sent after requests of steps that can still meet their objective.
    int Priority = 0;
    std::vector<std::string> Workers;
    Milliseconds ExpectedTime{0}; ///< Until the service answers.
    std::string Service;          ///< Of the step's workers; empty: lanes are not shared.
    bool HasNotBegun = false;     ///< As `sched::QueueKey::HasNotBegun`: sent after the others.
    /// The first question of a step that is in time. Sent before all others of its service.
    bool IsFirst = false;
  };
  /// For the log: the starts that one pass ordered for a step.
  struct Placement {
    StepKey Step;
    uint32_t Tasks = 0;
    uint32_t Workers = 0;
    TimePoint RunnableSince{};
    TimePoint Objective{};
    bool IsFirst = false; ///< No start of the step was ordered before.
  };
  /// For the log: a failed run.
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
    uint32_t UnansweredOrders = 0;   ///< Of these, the workers that may not have had the order.
    uint32_t WeightedCrashes = 0;
  };
  /// For the log: a task that fails its job because it crashes its workers.
  struct GivenUpTask {
    TaskKey Task;
    uint32_t StartupCrashes = 0;
    uint32_t UnconfirmedCrashes = 0;
    uint32_t UnansweredOrders = 0;
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
    uint32_t UnansweredOrders = 0;
  };
  /// For metrics and log: the first start of a job with a forecast.
  struct ForecastError {
    JobId Job = 0;
    Milliseconds Expected{0}; ///< The wait forecast when the job was accepted.
    Milliseconds Waited{0};
    bool IsLogged = false; ///< The error is large.
  };
  std::vector<ForecastError> ForecastErrors;
  /// For the log: a service has become overloaded or is no longer.
  struct OverloadChange {
    std::string Service;
    bool IsOverloaded = false;
    uint32_t LeftOutJobs = 0;
    double WaitingCoreSeconds = 0; ///< Work of the jobs in its queue.
    double Cores = 0;              ///< Its capacity without that of long-running steps.
  };
  std::vector<OverloadChange> OverloadChanges;
  std::vector<Start> Starts;
  std::vector<Placement> Placements;
  std::vector<Failure> Failures;
  /// For metrics and log: a run of a long-running task has ended by itself.
  struct LastingRunEnd {
    RunKey Run;
    std::string Worker;
    RunOutcome How = RunOutcome::Done;
    Milliseconds RunTime{0};
    Milliseconds Pause{0}; ///< Until it may be started again.
  };
  std::vector<LastingRunEnd> LastingRunEnds;
  std::vector<LostRun> LostRuns;
  std::vector<UnbookedRun> UnbookedRuns;
  std::vector<ContradictedRun> ContradictedRuns;
  std::vector<WorkerRestart> WorkerRestarts;
  std::vector<QueueMove> QueueMoves;
  std::vector<GivenUpTask> TasksGivenUp;
  std::vector<CrashCountChange> CrashCountChanges;
  /// For the log: a worker has become slow, or is no longer.
  struct SpeedChange {
    std::string Worker;
    std::string Machine;
    SpeedBand Band = SpeedBand::Ordinary;
    double Speed = 1; ///< Relative to an ordinary worker.
  };
  std::vector<SpeedChange> SpeedChanges;
  /// For metrics and log: the start of a copy was ordered.
  struct CopyStart {
    RunKey Run;
    std::string Worker;
    uint32_t SlowRun = 0;
    std::string SlowWorker;
    TimePoint PredictedEnd{}; ///< Of the slow run.
    TimePoint CopyEnd{};      ///< Predicted.
    TimePoint Objective{};    ///< Of its job.
  };
  std::vector<CopyStart> CopyStarts;
  /// For metrics and log: the run of a copy is over.
  struct CopyEnd {
    RunKey Run;
    uint32_t SlowRun = 0;
    CopyWinner Winner = CopyWinner::None;
    Milliseconds Saved{0}; ///< From the end of a winning copy to the predicted end of the slow run.
    double CoreSeconds = 0;
  };
  std::vector<CopyEnd> CopyEnds;
  std::vector<Stop> Stops;
  std::vector<AdviceRequest> AdviceRequests;
  std::vector<std::string> ReportRequests; ///< Workers to ask for a report at once.
  bool SaveRequested = false;              ///< There are saves to be written.
  bool HasNewWorkers = false;              ///< Workers were added to those in use.
  bool Deposed = false; ///< A worker has seen a newer fencing token; this scheduler must end.
};

// Jobs.

/// Adds a job that the store holds. \p Fresh: it was accepted after this scheduler's claim.
void addJob(CellState &Cell, JobSpecPtr Spec, uint64_t Revision, bool Fresh, TimePoint Now);
/// The state of a task as an earlier scheduler saved it.
struct SavedTask {
  uint32_t Index = 0;
  bool Done = false;
  bool HasEndedDone = false; ///< `TaskState::HasEndedDone`.
  uint32_t LastEndedRun = 0; ///< `TaskState::LastEndedRun`.
  std::vector<uint32_t> FailedRuns;
  std::string Checkpoint;
  uint32_t StartupCrashes = 0;
  std::vector<std::string> SuspectWorkers;
  std::vector<std::string> WitnessedSuspects;
  std::vector<std::string> AcceptedSuspects;
  std::vector<std::string> VanishedWorkers;
  uint32_t WeightedCrashes = 0;
  std::string PendingStartWorker;
  bool HasRecordedStarts = false;
};
/// The services of a job as an earlier scheduler saved them.
struct SavedServices {
  std::string Current;  ///< Empty: that of the submission, or an earlier version wrote the record.
  uint64_t Version = 0; ///< Of the configuration that named Current.
  std::vector<std::string> Used; ///< Without that of the submission.
};
/// Restores the services of a job that was added. Call before `finishLoading`.
void restoreServices(CellState &Cell, JobId Id, const SavedServices &Saved);
/// Restores the tasks of a step of a job that was added.
void restoreStep(CellState &Cell, const StepKey &Key, const std::vector<SavedTask> &Tasks);
/// The scheduler before can start nothing more, and all jobs that it can have known are known.
void predecessorEnded(CellState &Cell);
/// Call once after all jobs were added and restored.
void finishLoading(CellState &Cell, TimePoint Now, Effects &Out);
/// A cancellation of a job that is not known yet is kept until the job is added.
void cancelJob(CellState &Cell, JobId Id, TimePoint Now, Effects &Out);
/// Call after `addJob`: carries out a cancellation that came before the job.
void applyPendingCancel(CellState &Cell, JobId Id, TimePoint Now, Effects &Out);
/// Bounds the memory that they take; processes also limit the rate at which they ask for them.
inline constexpr size_t MaxRevocations = 250'000;
/// Ends the job if it is known and accessible to the organisation, now and for
/// `SchedulerLimits::EndedJobRetention`. False: there are too many, and it is not kept.
bool revokeJob(CellState &Cell, const Revocation &What, TimePoint Now, Effects &Out);
/// Call after `addJob`: ends the job, before a task of it is placed, if it was revoked before. True
/// if it was.
bool applyRevocation(CellState &Cell, JobId Id, TimePoint Now, Effects &Out);
/// Drops revocations that are older than they need to be.
void expireRevocations(CellState &Cell, TimePoint Now);
/// The saves of \p Id up to \p Number are durable, at these revisions of its keys. Returns the
/// workers that have no end left that waits for a save.
std::vector<std::string> jobSaved(CellState &Cell, JobId Id, uint64_t Number, uint64_t Revision,
                                  uint64_t ProgressRevision, WallTime Now);
/// The state to show a caller; empty if the job is not known here.
std::string_view publicJobState(const CellState &Cell, JobId Id);
/// Name of the job's organisation; empty if it has none or is not known here.
std::string organisationOfJob(const CellState &Cell, JobId Id);
/// Number of live jobs of the queue of which no run has started.
uint32_t waitingJobs(const CellState &Cell, const std::string &Queue);

// Organisations.

/// Applies the maxima and shares of a new configuration, and the services of queues, also to jobs
/// that were accepted before. Runs beyond a lowered maximum go on, and so do runs on workers of a
/// service that their queue has left, until they end or their worker leaves.
void applyConfiguration(CellState &Cell, const CellConfiguration &Config);
/// Sets the features in force. A feature that is switched off leaves no trace in later decisions.
void applyFeatures(CellState &Cell, const Features &InForce);
/// The organisation of that name, added if it is new; null for the empty name.
OrganisationState *findOrAddOrganisation(CellState &Cell, const std::string &Name);
/// Counts a job submitted at \p At against the organisation's share, a token bucket that holds one
/// second's worth. Returns false if the job is beyond the share.
bool consumeShare(OrganisationState &Org, WallTime At);
/// True if the organisation may use \p More in addition. Null \p Org: there is no limit. Until the
/// configuration is known no organisation may start anything.
bool isWithinQuota(const CellState &Cell, const OrganisationState *Org, const Resources &More);

// Availability zones.

/// Sets the zones that operators evacuate: nothing is started there any more, attempts planned
/// there are planned elsewhere, and runs that can continue elsewhere are moved. Ignores a revision
/// older than the known one. Returns false if nothing has changed.
bool evacuate(CellState &Cell, EvacuatedZones Zones);

// Workers.

/// True if the platform and the operators allow new work there: it is listed, not draining, and not
/// in an availability zone under evacuation.
bool takesWork(const Worker &On);
/// An entry of the list that is of an earlier life than the known one is ignored. The result is the
/// life that the entry shows.
LifeOrder workerListed(CellState &Cell, const WorkerInfo &Info, TimePoint Now);
void workerUnlisted(CellState &Cell, const std::string &Id, TimePoint Now);
/// Notes that an earlier scheduler may have runs there until \p LeaseEnd.
void workerMayHoldRuns(CellState &Cell, const WorkerInfo &Info, TimePoint LeaseEnd);
/// \p AskedAt: when the report was requested; it does not show later changes. The result is the
/// life that the report shows. `Older`: it was ignored, as it is of an earlier life, was requested
/// before this life was known, or was overtaken by another. `Newer`: the worker has restarted, and
/// a report of the new life is requested.
LifeOrder workerReported(CellState &Cell, const std::string &Id, const WorkerReport &Report,
                         TimePoint AskedAt, TimePoint Now, Effects &Out);
/// The fencing token of orders to this life of a worker. It is higher than that of all earlier
/// lives and terms, so that a worker which has seen it refuses calls that were meant for those.
uint64_t fencingToken(const CellState &Cell, const Worker &To);
/// The same for a start order, which raises the token if an acknowledgement is not answered: a life
/// that carries out the order then refuses the acknowledgement, by which it would forget ends of
/// its own unread if it is not the life that reported the acknowledged ones.
uint64_t raiseTokenForStart(const CellState &Cell, Worker &To);
/// What the token of a call tells about its answer.
enum class TokenState {
  Current,
  Superseded, ///< The call was meant for this life; it may have been refused for a later call.
  OtherLife,  ///< The call was not meant for the life that is known now.
};
TokenState compareToken(const CellState &Cell, const std::string &Id, uint64_t Token);
/// The result of a start order that was sent under a token in state \p Token.
StartResult resultOfStart(StartResult Answer, TokenState Token);
/// The number up to which a heartbeat tells the worker to forget its ends; 0: none. Call once for
/// each heartbeat. A life that is not known yet would forget its own ends by it unread, so it is
/// not sent again once it was answered.
uint64_t beginAcknowledgement(Worker &On);
/// The worker has answered a heartbeat, sent under \p Token, that told it to forget the ends up to
/// \p Through; 0: none. One that was sent to an earlier life has no effect.
void endsForgotten(CellState &Cell, const std::string &Id, uint64_t Token, uint64_t Through);
/// An immediate heartbeat to the worker failed. Not called for a lost long poll.
void workerSilent(CellState &Cell, const std::string &Id, TimePoint Now);
/// True if the worker answers, holds no runs, and none of its ends waits for a save.
bool isIdle(const Worker &On);
/// When the runs of a worker that does not answer, or has not reported, have certainly ended, by
/// the calls that were sent so far; may be past. Empty: the worker answers.
std::optional<TimePoint> endOfUnreachableRuns(const CellState &Cell, const std::string &Id);
/// The services of workers that may hold runs of an earlier scheduler and have not reported yet.
std::set<std::string> unreportedServices(const CellState &Cell);
/// Ends all attempts on the worker, or on the earlier life with that key, and removes it.
void workerEnded(CellState &Cell, const std::string &Id, TimePoint Now, Effects &Out,
                 WorkerEnd How = WorkerEnd::Replaced);
/// The worker may have received a lease that ends by \p End, on the scheduler's clock.
void workerLeased(CellState &Cell, const std::string &Id, TimePoint End);
/// The worker has answered an order that was sent at \p AskedAt; \p Clock is its steady clock. Call
/// before `startAnswered`. `Newer`: a new life answered, and a report of it is requested, which
/// settles the order.
LifeOrder orderAnswered(CellState &Cell, const std::string &Id, Milliseconds Clock,
                        TimePoint AskedAt, TimePoint Now, Effects &Out);
/// A start order is about to be sent under \p Token.
void startSent(CellState &Cell, const std::string &Id, const RunKey &Run, uint64_t Token);
/// The client has sent a start order again, since its connection was reset. Call before
/// `startAnswered`.
void startRepeated(CellState &Cell, const std::string &Id, const RunKey &Run);
/// A refusal shows that the run is not there only if its order was sent once: an order that was
/// sent again may have been carried out the first time.
void startAnswered(CellState &Cell, const std::string &Id, const RunKey &Run, StartResult Answer,
                   TimePoint Now, Effects &Out);
/// A start order was not sent, nor will be.
void startWithheld(CellState &Cell, const std::string &Id, const RunKey &Run, TimePoint Now,
                   Effects &Out);
void stopAnswered(CellState &Cell, const std::string &Id, const RunKey &Run, bool Acked,
                  TimePoint Now, Effects &Out);

// Advice and placement.

/// The advice service has answered a request that named \p Named: the workers in \p Good may run
/// the step, with these tickets, which are valid for \p Valid.
void adviceAnswered(CellState &Cell, const StepKey &Step, const std::vector<std::string> &Named,
                    const std::vector<std::pair<std::string, std::string>> &Good,
                    Milliseconds Valid, TimePoint Now);
void adviceFailed(CellState &Cell, const StepKey &Step, TimePoint Now);
/// Handles timeouts: missing answers, expired leases and due rounds.
void tick(CellState &Cell, TimePoint Now, WallTime Wall, Effects &Out);
/// Runs one placement pass over the queue.
void place(CellState &Cell, TimePoint Now, Effects &Out);

/// What a step of the queue waits for.
enum class WaitCause {
  Advice,   ///< The answer to a request of its own.
  Capacity, ///< No advised worker has room, or no request could be sent.
  Quota,    ///< Its organisation's quota.
  Save,     ///< The crash count of one of its tasks is being saved.
  Turn,     ///< A pass has not tried it since it last changed.
};
inline constexpr std::array<std::string_view, 5> WaitCauseNames{"advice", "capacity", "quota",
                                                                "save", "turn"};
/// The steps of the queue, by `WaitCause`.
std::array<uint32_t, WaitCauseNames.size()> countWaitingSteps(const CellState &Cell);

// Internal to the scheduler.

/// Null if there is no such step.
StepState *findStep(CellState &Cell, const StepKey &Key);
/// The attempt of a task other than its copy; null if it has none.
Attempt *attemptOf(const StepState &Step, uint32_t Index);
/// Makes an attempt of the task and books its resources.
Attempt &book(CellState &Cell, StepState &Step, uint32_t Index, Worker &W, uint32_t Run,
              AttemptPhase Phase, const Job &J, TimePoint Now);
/// Removes an attempt and releases its resources; does nothing if there is none. If the task has a
/// copy in addition, the copy becomes its attempt.
void unbook(CellState &Cell, Worker &W, const RunKey &Run);
/// Removes a planned attempt, for which no order was sent.
void dropPlanned(CellState &Cell, Worker &W, const RunKey &Run, Effects &Out);
void setPhase(CellState &Cell, Worker &W, const RunKey &Run, AttemptPhase Phase, TimePoint Now);
/// The permit for the worker; null if it is not known to be allowed to run the step.
const AdviceState::Permit *findPermit(const StepState &Step, const Worker &W);
AdviceState::Permit *findPermit(StepState &Step, const Worker &W);
/// True if the advice service has answered about the worker.
bool hasAdviceOn(const StepState &Step, const Worker &W);
/// Orders the stop of a run; drops it if it was only planned.
void stopAttempt(CellState &Cell, Worker &W, const RunKey &Run, const char *Why, TimePoint Now,
                 Effects &Out);
/// The run time expected for a task of the step on an ordinary worker: the caller's estimate, or
/// what was learned from ended tasks of the step or else of its queue. `StepState::Timing` holds
/// it.
RunTime expectedRunTime(const CellState &Cell, const Job &J, const StepState &Step);
/// The same for a step of which no task has ended.
Milliseconds expectedRunTime(const CellState &Cell, const JobSpec &Spec, const StepSpec &Step);
/// The speed of the worker relative to an ordinary one, as learned; 1 while too little is known.
double learnedSpeed(const CellState &Cell, const Worker &On);
/// True if half of the step's expected run time no longer fits before its job's objective or, in an
/// overloaded service, if its latest start has passed. False for a long-running step, which has no
/// end. Late steps are queued behind those that can still be
/// in time, separately within and beyond their organisation's share.
bool isLate(const Job &J, const StepState &Step, TimePoint Now);
/// Puts the step into the placement queue if its round is due, it is runnable and it has open
/// tasks, else removes it.
void queueStep(CellState &Cell, Job &J, StepState &Step, TimePoint Now);
void requestSave(CellState &Cell, Job &J, Effects &Out);
/// True if a run of the task, or of another member of its gang, has failed before.
bool hasFailedBefore(const StepState &Step, uint32_t Index);
/// Ends the job unless it has ended: stops its runs and requests the save of its end.
void endJob(CellState &Cell, Job &J, JobPhase Phase, const char *Why, TimePoint Now, Effects &Out);
/// Call before a reported run is handled: makes its round if this scheduler has not made it yet. An
/// earlier one, whose clock may differ, has begun it.
void ensureReportedRound(CellState &Cell, const StepKey &Key, TimePoint Now);
/// Records the end of a run in the task and the job. \p W may be null.
void runEnded(CellState &Cell, const RunKey &Run, RunOutcome How, const std::string &Checkpoint,
              Worker *W, TimePoint Now, Effects &Out);

} // namespace valveshelf::sched
