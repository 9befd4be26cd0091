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
/// Invariant: Running is the sum of `Charge` over all attempts of its jobs, in every phase: what is
/// planned, what may still start after an order without an answer, and what is being stopped count
/// until they are surely gone. Only `book`, `unbook` and `adopt` change it.
struct OrganisationState {
  std::string Name;
  Resources Maximum;                ///< Of the newest configuration; 0 in a dimension: no limit.
  double Weight = 0;                ///< Its share in jobs a second once the cell is full; 0: none.
  double Unused = 0;                ///< Jobs that it could still hand in within its share,
  std::optional<WallTime> UnusedAt; ///< as of this time; empty: it has not handed any in yet.
  Resources Running;
  /// What it may have running on workers that this scheduler has not heard yet. (beginPass)
  Resources Unheard;
};

/// Figures that the decisions need, from the platform's bounds and from settings.
struct SchedulerLimits {
  Milliseconds WorkerLease{6000}; ///< Longest time a worker runs on without word of us.
  Milliseconds StopTime{200};     ///< Longest time a worker takes to stop a run.
  Milliseconds GangTime{3000};    ///< How long gang members wait for each other.
  Milliseconds EarlyTime{250};    ///< A timed round may start so much before its time.
  Milliseconds StateKept{150000}; ///< How long the state of an ended job is kept.
  double ClockDrift = 0.02;       ///< Workers' clocks may be off by this part.
  Milliseconds LeaseMargin{300};  ///< Added to every lease that has to have run out.
  Milliseconds SetAside{4000};    ///< How long a worker that fails everything gets no work.
  Milliseconds TicketMargin{120}; ///< A ticket is not used this close to its end.
  Milliseconds PlanTime{2500};    ///< A gang whose room is not free by then is planned anew.
  double UrgentShare = 0.10;      ///< While room for urgent tasks is scarce, part of each worker
                                  ///< kept free of work that can wait; more if urgent tasks are
                                  ///< larger, up to the next figure.
  double MostUrgentShare = 0.22;  ///< The most of it.
  double UrgentSpare = 0.25;      ///< Room for urgent tasks is scarce if less than this part of
                                  ///< those that run now could be started beside them.
  Milliseconds YieldMargin{1500}; ///< Work that was stopped finds a place again within this time.
  uint32_t SpareWorkers = 150;    ///< Idle workers kept ready beyond those in use; a gang of the
                                  ///< usual size finds its advised ones among them.
  uint32_t MoreWorkers = 64;      ///< Most that are made ready in one tick.
  Milliseconds NotBackTime{1000}; ///< A task that failed goes elsewhere for so long; a worker that
                                  ///< fails everything is set aside by then.
  int MaxFailuresInARow = 3;      ///< A worker that failed so many runs in a row is set aside.
  uint32_t MaxCrashes = 3;   ///< A task that crashed so many workers in a row as it began is given
                             ///< up. Operators allow it from the second on.
  uint32_t SureCrashes = 2;  ///< So many of them have to be sure; operators ask for two.
  uint32_t MaxDoubtful = 4;  ///< Without that; operators allow five starts.
  uint32_t MaxInherited = 5; ///< With a last start of which nobody is left to tell how it went.
  uint32_t MaxLosses = 5;    ///< The same for `TaskState::Losses`: a sound task that runs beside
                             ///< others is on a worker that crashes often enough.
  Milliseconds BeginTime{500}; ///< So long after its start a run counts as beginning.
};

/// Where an attempt stands.
enum class AttemptPhase {
  Planned,   ///< Room is held; nothing was said to the worker.
  Starting,  ///< The order is on its way.
  Uncertain, ///< The order got no answer; it may have been carried out or may still be.
  Running,
  Stopping, ///< A stop was ordered; the run may still be there.
};

/// How a worker's runs were found to be over without its word.
enum class LifeEnd {
  Replaced, ///< Another life answers at its address.
  Gone,     ///< It is off the platform's list, silent, and its lease is over.
  Lapsed,   ///< It is listed, silent, and its lease is over; it may be heard again.
};
std::string_view toString(LifeEnd How);

/// Behind all priorities that a queue can have.
inline constexpr int ExcessPriority = 1'000'000;

/// A run on a worker, or one that may be there.
struct Attempt {
  AttemptPhase Phase = AttemptPhase::Planned;
  Resources Need;                     ///< Of the worker's room.
  Resources Charge;                   ///< Of its organisation's maximum.
  OrganisationState *Owner = nullptr; ///< Null: nobody's.
  int Priority = 0;          ///< Of its job; of excess the lowest, so that all others may stop it.
  bool IsUrgent = false;     ///< It is counted in `CellState::UrgentAttempts`.
  bool MayBeStopped = false; ///< It saves its progress, so that stopping it loses little.
  TimePoint Objective{};     ///< Of its job.
  Milliseconds Estimate{0};  ///< Of its whole run time.
  int Sends = 0;             ///< Start orders sent.
  TimePoint Since{};         ///< Of the phase.
  TimePoint StartedAt{};
  TimePoint StopSent{};
  bool StopAcked = false;
  bool StopsPlan = false; ///< It is stopped to make room.
  TimePoint StopAckedAt{};
  int Percent = 0;
  TimePoint PercentChanged{};
  TimePoint EndsSince{}; ///< Its gang is done; since then its own end is expected.
  std::optional<Milliseconds> FirstListed; ///< Its worker's clock, as it first listed the run.
  TimePoint SeenAt{};   ///< When it was surely there: its start was answered, or it was listed in a
                        ///< report asked for then.
  bool Stands = false;  ///< Its worker has lived through its beginning.
  bool OnTrial = false; ///< It begins apart from others; it is counted in `Worker::Trials`.
};

/// One life of a worker and what is booked on it.
/// Invariant: Booked is the sum of the needs of all attempts that are not Planned, Planned that of
/// the others, Stoppable that of those that may be stopped; Trials counts those on trial.
struct Worker {
  WorkerInfo Info;
  uint32_t Slot = 0;   ///< Its number within this term, in `CellState::Slots`; never used again.
  bool Listed = false; ///< It stands in the platform's list.
  bool Wanted = false; ///< It is to be used: noted in the store, then asked what it holds.
  bool Heard = false;  ///< It has answered this scheduler; its attempts are known.
  bool Answers = true; ///< The last call to it was answered.
  bool Saved = false;  ///< The store knows that it may hold runs of ours.
  bool Full = false;   ///< It holds a run whose size nobody knows.
  Resources Booked;
  Resources Planned;
  Resources Stoppable; ///< The most that stopping work here could free.
  Resources Claimed;   ///< Of its free room, what questions under way are likely to take.
  std::map<RunKey, Attempt> Attempts;
  uint64_t LastEnd = 0;                              ///< Highest number of an end dealt with.
  std::deque<std::pair<uint64_t, uint64_t>> Unsaved; ///< Number of an end, and the save it needs.
  uint64_t ForgetThrough = 0;                        ///< Ends up to here are saved.
  TimePoint LeaseEnd{};                              ///< By then everything on it has been killed.
  int FailuresInARow = 0;
  TimePoint SetAsideUntil{};
  TimePoint ReportedAt{};  ///< When it was asked for its last report.
  TimePoint LeavesAt{};    ///< While it drains: it does not leave before.
  TimePoint SlowUntil{};   ///< Since it began its life not long ago.
  bool Evacuated = false;  ///< Operators want its availability zone empty.
  TimePoint UnlistedAt{};  ///< When it was found missing in the platform's list.
  uint32_t Trials = 0;     ///< While there is one, nothing else begins here.
  TimePoint SilentSince{}; ///< When a silence was first counted since it was heard; or 0.
  bool FellSilent = false; ///< That has still to be counted against what began here.
};

/// What is known of advice for a step. Whether a worker is good for it never changes.
/// Invariant: Good is sorted by slot, and each of its slots is marked in Answered.
struct AdviceState {
  struct Permit {
    uint32_t Slot = 0; ///< Of a worker that may run the step.
    std::string Ticket;
    TimePoint ValidUntil{};
  };
  std::vector<Permit> Good;
  std::vector<bool> Answered; ///< By slot: the advice service was asked about the worker.
  uint32_t Asking = 0;        ///< Questions under way.
  bool IsFresh = false;       ///< An answer has come that was not used yet; its tickets run out.
  TimePoint NotBefore{};
};

struct TaskState {
  bool Done = false;
  Worker *At = nullptr; ///< Where its attempt is; null: none.
  uint32_t Run = 0;     ///< The run of its attempt, or the last one.
  std::string Checkpoint;
  std::set<uint32_t> FailedRuns;
  bool MayRunElsewhere = false; ///< An earlier scheduler may have it on a worker not heard yet.
  bool MayRunMeanwhile = false; ///< The scheduler before may still start it where nobody has
                                ///< heard of this one yet.
  TimePoint NotBefore{};
  uint32_t Crashes = 0; ///< Workers in a row that crashed, or fell silent for good, as it began.
  std::vector<std::string> Doubted;  ///< Of them, those that may not have crashed under it,
  std::vector<std::string> Vanished; ///< and those that have left the list without a word, and
                                     ///< count as crashed unless they are heard again.
  uint32_t Losses = 0;    ///< Workers in a row that crashed while they held it; those that held
                          ///< nothing else count twice.
  std::string TrialOn;    ///< While `Crashes` is above 0: the worker where it may have been started
                          ///< since, which may crash of it; or empty.
  std::string Inherited;  ///< Of `Doubted`, the `TrialOn` of an earlier scheduler; or empty.
  uint64_t CrashSave = 0; ///< The save of these that has to be durable before it is started again.
  bool HasStoodStill = false;       ///< A run of it was stopped because it made no progress.
  const Worker *FailedOn = nullptr; ///< Compared only.
  TimePoint FailedAt{};             ///< Its last failure.
};

/// Place in the queue: what lies within its organisation's share first; then what can still meet
/// its objective; then by priority and objective.
struct QueuePlace {
  bool Excess = false;
  bool Late = false;
  int Priority = 0;
  TimePoint Objective{};
  StepKey Step;
  friend bool operator==(const QueuePlace &, const QueuePlace &) = default;
  friend bool operator<(const QueuePlace &A, const QueuePlace &B) {
    return std::tie(A.Excess, A.Late, A.Priority, A.Objective, A.Step) <
           std::tie(B.Excess, B.Late, B.Priority, B.Objective, B.Step);
  }
};

/// One step of one round.
/// Invariant: Open counts the tasks that are not done.
struct StepState {
  StepKey Key;
  const StepSpec *Spec = nullptr;
  std::vector<TaskState> Tasks;
  uint32_t Open = 0;
  uint32_t Booked = 0;              ///< Tasks that have an attempt.
  uint32_t Planned = 0;             ///< Of them, those for which room is only held.
  std::optional<QueuePlace> Queued; ///< Its place in the placement queue, if it stands there.
  uint32_t GangRun = 0;             ///< Last run of a gang.
  std::set<uint32_t> GangFailures;
  AdviceState Advice;
  TimePoint RunnableSince{};
  TimePoint PlannedAt{};
  bool HasMissed = false; ///< It found no place when it was last looked at.
  bool Ordered = false;   ///< A start of it was ordered.
  std::string Waits;      ///< Why nothing is placed just now, for people.
};

struct RoundState {
  uint32_t Number = 0;
  std::vector<StepState> Steps;
  bool Done = false;
};

struct Job {
  JobSpecPtr Spec;
  OrganisationState *Owner = nullptr; ///< Null: it came without a key.
  bool IsExcess = false;         ///< Its organisation had handed in more than its share before it.
  uint64_t Revision = 0;         ///< Of its key in the store.
  uint64_t ProgressRevision = 0; ///< Of its progress; 0: none is known to be kept.
  bool ProgressSent = false;     ///< A write of its progress may have been carried out.
  JobPhase Phase = JobPhase::Live;
  bool Begun = false;
  bool CancelWanted = false;
  std::map<uint32_t, RoundState> Rounds;
  uint32_t NextRound = 0;
  uint32_t RoundsDone = 0;
  TimePoint Objective{};  ///< By then it has to be complete to count in full.
  uint64_t NeedsSave = 0; ///< Number of the newest save it needs; 0: saved.
};

/// A worker that is counted in `TaskState::Crashes` and may be alive. It is kept when the worker is
/// dropped: what was cut off may be heard again.
struct DoubtedWorker {
  TimePoint Since{}; ///< When it was counted last.
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
  /// Invariant: `Worker::Evacuated` is true for the workers of these zones and no others.
  EvacuatedZones Evacuated;
  bool Configured = false; ///< The maxima of organisations are known.
  std::unordered_map<JobId, Job> Jobs;
  std::unordered_map<JobId, EndedJob> Ended;          ///< Saved ends only.
  std::deque<std::pair<WallTime, JobId>> Forgettable; ///< Ended jobs, oldest first.
  std::map<std::string, Worker> Workers;              ///< By id; nodes stay where they are.
  std::vector<Worker *> Slots;                        ///< Workers by slot; null: gone.
  std::set<QueuePlace> Queue;                         ///< Steps with a task to place.
  TimePoint NextCommonLook{};            ///< When all steps that wait are looked at again.
  uint64_t CommonLooks = 0;              ///< So far.
  std::optional<QueuePlace> FirstMissed; ///< The first that found no place since the last of them.
  std::set<JobId> EarlyCancels;          ///< Cancelled jobs that are not known yet.
  std::map<std::string, std::string> Unheard; ///< Workers that an earlier scheduler may have used,
                                              ///< with their services.
  /// By id. Invariant: a task is named here exactly if it names the worker in `Doubted` or
  /// `Vanished`.
  std::map<std::string, DoubtedWorker> Doubted;
  std::set<RunKey> Strays; ///< Runs on workers whose job was not known when they were seen.
  bool Loaded = false;     ///< The store was read; nothing is placed before.
  uint64_t LastSave = 0;
  std::map<uint64_t, JobId> Saves; ///< Saves not yet durable, by number.
  std::set<uint32_t> WithUnsaved;  ///< Slots of workers with ends that wait for a save.
  WallTime Wall{};                 ///< The time of day at Now, as of the last tick.
  TimePoint WallAt{};              ///< The steady time at which Wall was read.
  bool Starved = false;            ///< A step found no place among the workers that are ready.
  Resources UrgentNeed;            ///< Moving average of the needs of urgent tasks.
  uint32_t UrgentAttempts = 0;     ///< Attempts of urgent tasks, in every phase.
  size_t SeatsFrom = 0;            ///< A slot that had room for urgent tasks when last looked for.
  uint32_t AdviceLanes = 0;        ///< Questions for advice that can be asked at the same time.
  uint32_t QuestionsOut = 0;       ///< Of all steps, under way or in line for a lane.
  /// By step with a question under way: slots of the workers that it names, and what it claims
  /// there.
  std::map<StepKey, std::vector<std::pair<uint32_t, Resources>>> Claims;
  std::set<StepKey> Renewing; ///< Steps whose question under way only renews tickets.
  /// By queue: the part of the workers asked about that turned out good, a moving average.
  std::map<std::string, double> GoodShares;
  TimePoint NextLeaveLook{}; ///< When work on leaving workers is looked for again.
  TimePoint NextStuckLook{}; ///< When runs without progress are looked for again.
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
  struct Ask {
    StepKey Step;
    bool Late = false; ///< It is asked after those of steps that can still meet their objective.
    int Priority = 0;
    std::vector<std::string> Workers;
    Milliseconds Expected{0};
  };
  /// For the log: what one pass ordered for a step.
  struct Placed {
    StepKey Step;
    uint32_t Tasks = 0;
    uint32_t Workers = 0;
    TimePoint RunnableSince{};
    TimePoint Objective{};
    bool First = false; ///< Nothing of the step was ordered before.
  };
  /// For the log: a run that failed.
  struct Failure {
    RunKey Run;
    std::string Worker;
    size_t Failures = 0;
    int MaxAttempts = 0;
  };
  /// For the log: a run that ended with its worker, which nobody can list any more.
  struct Loss {
    RunKey Run;
    std::string Worker;
    LifeEnd How = LifeEnd::Lapsed;
    Milliseconds Ran{0};  ///< From the order, or its answer, to when the worker was last heard.
    uint32_t Crashes = 0; ///< Of the task, as in `TaskState`.
    uint32_t Doubts = 0;  ///< The size of `TaskState::Doubted`.
    uint32_t Losses = 0;
  };
  /// For the log: a task that is given up with its job, because it crashes its workers.
  struct GivenUp {
    TaskKey Task;
    uint32_t Crashes = 0;
    uint32_t Doubts = 0;
    uint32_t Losses = 0;
  };
  /// For the log: a change of `TaskState::Crashes`.
  struct CrashCount {
    TaskKey Task;
    std::string Worker; ///< That the change is about; empty: the task has stood its beginning.
    std::string_view Why;
    uint32_t Crashes = 0;
    uint32_t Doubts = 0;
  };
  std::vector<Start> Starts;
  std::vector<Placed> Placements;
  std::vector<Failure> Failures;
  std::vector<Loss> Losses;
  std::vector<GivenUp> TasksGivenUp;
  std::vector<CrashCount> CrashCounts;
  std::vector<Stop> Stops;
  std::vector<Ask> Asks;
  std::vector<std::string> Looks; ///< Workers to ask at once what they hold.
  bool Save = false;              ///< Something waits to be saved.
  bool Wants = false;             ///< Workers are wanted that were not before.
  bool Deposed = false;           ///< A newer scheduler has spoken; this one must end.
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
void cancelIfAsked(CellState &Cell, JobId Id, TimePoint Now, Effects &Out);
/// The saves up to \p Number of \p Id are durable; its keys have these revisions now. Returns the
/// workers none of whose ends waits for a save any more.
std::vector<std::string> jobSaved(CellState &Cell, JobId Id, uint64_t Number, uint64_t Revision,
                                  uint64_t ProgressRevision, WallTime Now);
/// The state to show a caller, empty if there is no such job here.
std::string_view shownState(const CellState &Cell, JobId Id);
/// Whose the job is; empty: anybody's, or there is no such job here.
std::string ownerOf(const CellState &Cell, JobId Id);
/// Jobs of the queue of which nothing has begun.
uint32_t waitingJobs(const CellState &Cell, const std::string &Queue);

// Organisations.

/// The operators' configuration says what organisations may have running, from now on. What runs
/// beyond a lowered maximum runs on.
void configured(CellState &Cell, const CellConfiguration &Config);
/// The organisation of that name; null for the empty one.
OrganisationState *organisationNamed(CellState &Cell, const std::string &Name);
/// Counts a job that the organisation handed in at \p At against its share, a burst of one second
/// included. False: the job lies beyond it.
bool takeShare(OrganisationState &Of, WallTime At);
/// True if the organisation may have \p More running. Without \p Of there is no limit; until the
/// configuration is known no organisation may have anything started.
bool isWithinQuota(const CellState &Cell, const OrganisationState *Of, const Resources &More);

// Availability zones.

/// Operators want these zones empty: nothing is started there any more, what is planned there is
/// planned elsewhere, and what can go on elsewhere is moved. An older state of the store is passed
/// over. False: nothing has changed.
bool evacuate(CellState &Cell, EvacuatedZones Zones);

// Workers.

/// True if new work may go there as far as the platform and the operators are concerned: it is
/// listed, does not leave, and nobody empties its availability zone.
bool takesWork(const Worker &On);
void workerListed(CellState &Cell, const WorkerInfo &Info, TimePoint Now);
void workerUnlisted(CellState &Cell, const std::string &Id, TimePoint Now);
/// An earlier scheduler may have runs there.
void workerMayHoldRuns(CellState &Cell, const WorkerInfo &Info, TimePoint LeaseEnd);
/// \p AskedAt: when the question was sent; what changed later is not in the report.
void workerReported(CellState &Cell, const std::string &Id, const WorkerReport &Report,
                    TimePoint AskedAt, TimePoint Now, Effects &Out);
void workerSilent(CellState &Cell, const std::string &Id);
/// True if nothing of ours runs there and no end of it waits for anything.
bool isIdle(const Worker &On);
/// True if a worker of the service may hold runs of an earlier scheduler that are not known yet.
bool isAwaited(const CellState &Cell, const std::string &Service);
/// Another life answers at its address, or its lease has surely run out and it is gone.
void workerOver(CellState &Cell, const std::string &Id, TimePoint Now, Effects &Out,
                LifeEnd How = LifeEnd::Replaced);
/// A lease until \p End, as the process reckons it, may have reached the worker.
void workerLeased(CellState &Cell, const std::string &Id, TimePoint End);
void startAnswered(CellState &Cell, const std::string &Id, const RunKey &Run, StartResult What,
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
Attempt &book(CellState &Cell, StepState &Step, uint32_t Index, Worker &On, uint32_t Run,
              AttemptPhase Phase, const Job &Of, TimePoint Now);
void unbook(CellState &Cell, Worker &On, const RunKey &Run);
/// Gives up the room that is held for an attempt of which nothing was sent.
void dropPlanned(CellState &Cell, Worker &On, const RunKey &Run, Effects &Out);
void setPhase(CellState &Cell, Worker &On, const RunKey &Run, AttemptPhase Phase, TimePoint Now);
/// The permit for the worker, or null if it is not known to be good for the step.
const AdviceState::Permit *permitOn(const StepState &Step, const Worker &On);
AdviceState::Permit *permitOn(StepState &Step, const Worker &On);
/// True if the advice service has answered about the worker.
bool isAnswered(const StepState &Step, const Worker &On);
/// Orders the stop of a run, or drops it if it was only planned.
void stopAttempt(CellState &Cell, Worker &On, const RunKey &Run, const char *Why, TimePoint Now,
                 Effects &Out);
/// True if the step can't end by its job's objective any more. A step that lasts has no end to be
/// late with: it serves from when it is at work.
bool isLate(const Job &Of, const StepState &Step, TimePoint Now);
/// Puts the step into the placement queue if one of its tasks can be placed.
void queueStep(CellState &Cell, Job &Of, StepState &Step, TimePoint Now);
void needSave(CellState &Cell, Job &Of, Effects &Out);
/// Ends the job, unless it has ended: what runs of it is stopped, and its end is saved.
void endJob(CellState &Cell, Job &Of, JobPhase Phase, const char *Why, TimePoint Now, Effects &Out);
/// Notes the end of a run in the task and the job.
void runEnded(CellState &Cell, const RunKey &Run, RunOutcome How, const std::string &Checkpoint,
              Worker *On, TimePoint Now, Effects &Out);

} // namespace valveshelf::sched
