// SPDX-License-Identifier: Apache-2.0
// Runs the scheduler for one leadership term: loads the cell's state from the store, collects the
// workers' reports, then performs the effects that the decisions of `cell_state.h` return. The term
// ends when a newer scheduler is detected.
#pragma once

#include "cell/adaptive_timeout.h"
#include "cell/advice_lanes.h"
#include "cell/call_losses.h"
#include "cell/leadership_evidence.h"
#include "cell/list_age.h"
#include "cell/loop_load.h"
#include "cell/start_pacing.h"
#include "valveshelf/burn.h"
#include "valveshelf/cell_metrics.h"
#include "valveshelf/cell_records.h"
#include "valveshelf/cell_settings.h"
#include "valveshelf/coroutines.h"
#include "valveshelf/forecast_records.h"
#include "valveshelf/key_value_store.h"
#include "valveshelf/steady_timer.h"
#include "valveshelf/worker_link.h"

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace valveshelf {

/// Dependencies of a scheduler. Referenced objects must outlive it.
struct SchedulerDependencies {
  Executor Where; ///< The strand that the scheduler runs on.
  Clock Time;
  const CellSettings &Settings;
  KeyValueStore Store;
  WorkerLink Workers;
  AdviceLanes::AskThrough AskAdvice;
  std::string WorkerPrefix;     ///< Of the keys in the platform's list of workers.
  std::string EvacuationPrefix; ///< Of the keys that name zones to evacuate.
  std::function<Result<sched::WorkerInfo>(std::string_view Id, std::string_view Bytes)>
      DecodeWorker;
  CellMetrics &Metrics;
  BurnBook &Burn;                          ///< Ended jobs by queue, over all terms of this process.
  std::function<bool()> IsStoreResponsive; ///< Whether the store has answered recently.
  const TrafficMeter &Traffic;             ///< Of this process.
};

/// The leadership claim under which a term runs.
struct Claim {
  uint64_t Term = 0;
  uint64_t LeaderRevision = 0; ///< Of the leader key that this process wrote.
  uint64_t Lease = 0;
  TimePoint SentAt{}; ///< When the claim was sent.
  /// Of earlier schedulers, to be ended before the state is loaded; 0: none.
  std::vector<uint64_t> LeasesBefore;
  /// How much longer than for a lease to wait for workers that can't be reached: the scheduler
  /// before may have gone on without the store.
  Milliseconds PredecessorOutage{0};
  /// Since when it is certain that no earlier scheduler gives leases; empty: until this one loads.
  std::optional<TimePoint> NoLeasesSince;
  /// All earlier schedulers have shortened leases by the drift since they read the worker's clock.
  bool AreEarlierLeasesBounded = false;
  /// When the scheduler before may last have been confirmed; empty: until this one has loaded.
  std::optional<TimePoint> PredecessorConfirmedAt;
  /// The scheduler before had found that those before it can start nothing.
  bool IsPredecessorSettled = false;
  /// Since when it is certain that no scheduler before can start anything; empty: it is not.
  std::optional<TimePoint> PredecessorEndedAt;
};

/// The scheduler of one term. Not thread-safe: all calls come from its strand.
class SchedulerRunner : public std::enable_shared_from_this<SchedulerRunner> {
public:
  /// \p OnEnd is called once if the term ends without a call to `stop`.
  SchedulerRunner(const SchedulerDependencies &Deps, Claim OwnClaim, std::function<void()> OnEnd);
  void start();
  /// Stops all activity: no further call begins. One that waits for a connection may still be sent.
  void stop();
  /// For a planned stop: waits until all pending saves are durable, for at most \p Time.
  Awaitable<void> flush(Milliseconds Time);
  /// Call after `stop`: the write that tells the next scheduler how long the runs of workers that
  /// can't be reached may go on at most. Fails once another process has claimed leadership. Empty:
  /// there is nothing to tell.
  std::optional<Transaction> leaseEndsNote() const;
  void setMembers(const std::set<std::string> &Names);
  /// The store has answered a renewal of the claim's lease that was sent at \p SentAt.
  void leadershipRenewed(TimePoint SentAt);
  /// All peers have confirmed this term after they were asked at \p AskedAt.
  void leadershipConfirmedByPeers(TimePoint AskedAt);
  /// When it was last certain that no other process had taken over.
  TimePoint leadershipConfirmedAt() const { return Evidence.ConfirmedAt; }
  /// Whether the scheduler before may still start runs that this one does not know of.
  bool mayPredecessorStart() const { return Cell.PredecessorMayStart; }
  /// Another process has claimed a newer term.
  void replaced() { endTerm("another process has claimed leadership"); }
  /// Passes on a job that became durable at \p Revision, or a cancellation, ahead of the watch.
  void announceJob(const std::string &Bytes, uint64_t Revision);
  void announceCancel(sched::JobId Id);
  /// Ends these jobs now and when they become known. Returns this term if that is certain, and no
  /// scheduler before can start anything; else 0.
  uint64_t holdRevocations(const std::vector<sched::Revocation> &Revocations);
  bool loaded() const { return Cell.Loaded; }
  std::string_view state(sched::JobId Id) const { return publicJobState(Cell, Id); }
  uint32_t waiting(const std::string &Queue) const { return waitingJobs(Cell, Queue); }
  /// Applies a new configuration, including the organisations' quotas.
  void setConfiguration(const sched::CellConfiguration &Config);
  /// Applies the set of zones to evacuate, unless this term already has a newer revision.
  void setEvacuatedZones(sched::EvacuatedZones Zones);
  std::string owner(sched::JobId Id) const { return organisationOfJob(Cell, Id); }
  std::string explain(sched::JobId Id) const { return explainJob(Cell, Id, Deps.Time.Now()); }
  /// The forecast to publish now; null if there is none.
  std::shared_ptr<const Forecast> forecast() const {
    return publishedForecast(Cell, Deps.Time.Now());
  }
  /// The load of the services and the forecast, as JSON for operators.
  std::string describeLoad() const { return sched::describeLoad(Cell, Deps.Time.Now()); }

private:
  using SelfPtr = std::shared_ptr<SchedulerRunner>;
  /// Delay before a failed call is repeated.
  static constexpr Milliseconds RetryPause{150};
  /// Heartbeat interval of an idle worker; bounds the error of the estimate of its clock.
  static constexpr Milliseconds IdleHeartbeatInterval = MaxClockReadingAge;
  struct HeartbeatState {
    Milliseconds WorkerClock{0};
    TimePoint ReadAt{};         ///< When WorkerClock was read.
    TimePoint AnsweredSentAt{}; ///< When the latest heartbeat that was answered was sent.
    TimePoint LastBusyAt{};     ///< When the worker was last known to have a run.
  };

  // Loading and watching.
  static Awaitable<void> loadWithRetries(SelfPtr Self);
  Awaitable<Result<Done>> load();
  void loadJobs(const KeyRange &Intake, const KeyRange &Runs);
  void loadWorkers(const KeyRange &Listed, const KeyRange &Runs);
  void loadRunTimes(const KeyRange &Runs);
  std::map<std::string, Milliseconds> leasesLeft(const KeyRange &Runs) const;
  Milliseconds longestWait() const;
  static Awaitable<void> watchIntake(SelfPtr Self, uint64_t From);
  static Awaitable<void> watchWorkers(SelfPtr Self);
  void applyIntakeItem(const KeyValue &Item, bool Fresh);
  void applyRevocations(const KeyValue &Item, sched::Effects &Out);
  void applyWorkerItem(const KeyValue &Item, bool IsRemoved);
  Awaitable<Result<uint64_t>> rereadIntake();
  TimePoint predecessorStartsUntil(TimePoint LoadedAt) const;
  Milliseconds intakeWatchTime(TimePoint Now) const;
  void noteIntakeKnown(TimePoint Until);
  Awaitable<Result<Done>> rereadWorkers();
  void applyWorkerChanges(const KeyChanges &Read, TimePoint SentAt, Milliseconds Wait);
  static Awaitable<void> refreshWorkerList(SelfPtr Self);
  void refreshWorkerListIfOld();
  bool isWorkerListStale();

  // Workers.
  void startHeartbeats();
  static Awaitable<void> heartbeatLoop(SelfPtr Self, std::string Id);
  enum class HeartbeatOutcome {
    Answered,
    NoAnswer,
    Ended, ///< The worker was removed or this term has ended.
  };
  Awaitable<HeartbeatOutcome> sendHeartbeat(std::string Id, Milliseconds Wait);
  bool isForCurrentLife(const std::string &Id, uint64_t Fence) const;
  bool isRefusedForNewerScheduler(const std::string &Id, uint64_t Fence, const Error &Why) const;
  void heartbeatFailed(const std::string &Id, const Error &Why, bool MayBeHealthy);
  static Awaitable<void> waitForWake(SelfPtr Self, std::string Id, Milliseconds Most);
  Milliseconds unsavedHeartbeatDelay() const;
  bool canSuspendHeartbeats(const sched::Worker &On) const;
  void wakeHeartbeatLoop(const std::string &Id);
  void workerRecordsWritten(const std::vector<std::string> &Noted, uint64_t Revision);
  void workerRecordsRemoved(const std::vector<std::string> &Removed);
  void reconcileWorkerRecords(const std::vector<std::string> &Asked,
                              const std::vector<KeyValue> &CurrentItems);
  static Awaitable<void> sendHeartbeatNow(SelfPtr Self, std::string Id);
  void logCallLosses() const;
  void recheckBusyWorkers();
  /// \p Number: of the start in `Pacing`.
  static Awaitable<void> sendStart(SelfPtr Self, sched::Effects::Start Order, uint64_t Number);
  static Awaitable<void> sendStop(SelfPtr Self, sched::Effects::Stop Order);
  Milliseconds workerTime(const std::string &Id) const;
  std::optional<Milliseconds> leaseUntil(const std::string &Id) const;
  void noteLeased(const std::string &Id);
  Steady::duration clockAge(const std::string &Id) const;

  // Saving.
  static Awaitable<void> saveLoop(SelfPtr Self);
  static Awaitable<void> recordsLoop(SelfPtr Self);
  static Awaitable<void> saveRunTimes(SelfPtr Self);
  void saveRunTimesIfDue();
  struct SaveEntry {
    sched::JobId Id = 0;
    uint64_t Number = 0; ///< Newest save that the write includes.
    bool Ends = false;   ///< The job has ended.
  };
  static Awaitable<void> save(SelfPtr Self, Transaction What, std::vector<SaveEntry> Written);
  std::vector<SaveEntry> nextBatch(Transaction &What);
  bool addToTransaction(sched::JobId Id, Transaction &What, std::vector<SaveEntry> &Batch);
  void countEnd(const sched::Job &Of);
  void saveCommitted(const std::vector<SaveEntry> &Batch, uint64_t Revision);
  void saveRejected(const std::vector<SaveEntry> &Batch, const std::vector<KeyValue> &CurrentItems);
  Transaction fencedTransaction() const;
  bool hasOtherLeader(const std::vector<KeyValue> &CurrentItems) const;

  // Decisions.
  static Awaitable<void> tickLoop(SelfPtr Self);
  void runTick();
  void noteConfirmation(TimePoint Now);
  void executeEffects(sched::Effects &Out);
  void reportEffects(const sched::Effects &Out);
  void reportCopies(const sched::Effects &Out);
  void schedulePlacement();
  void runPlacement();
  void endTerm(const char *Why);
  /// True if this process is late itself, so that missing answers say little about the others.
  bool isLate() const;
  /// True if this process was suspended for longer than the leader lease: another process may have
  /// become the scheduler.
  bool wasSuspended() const;

  const SchedulerDependencies Deps;
  const Claim OwnClaim;
  const std::function<void()> OnEnd;
  sched::CellState Cell;
  LeadershipEvidence Evidence;
  bool WasConfirmed = true;           ///< At the last tick, runs could be started.
  TimePoint PredecessorStartsUntil{}; ///< The scheduler before may start runs until then.
  AdviceLanes Lanes;
  std::unordered_map<std::string, HeartbeatState> HeartbeatStates; ///< By worker.
  std::unordered_set<std::string> HeartbeatLoops;       ///< Workers with a running heartbeat loop.
  std::unordered_map<std::string, TimePoint> LongPolls; ///< When last sent or rechecked.
  ListAge WorkerListAge;
  uint64_t WorkerListRevision = 0; ///< Of the list of workers as known here.
  CallLosses Losses;
  bool WereCallsLost = false; ///< At the last tick.
  AdaptiveTimeout CallTimeout;
  std::unordered_map<std::string, SteadyTimer *> WakeTimers; ///< Of waiting loops, by worker.
  std::map<std::string, uint64_t> WorkerRecords; ///< Revisions of the stored worker records.
  std::set<sched::JobId> StaleCancels;           ///< Cancellation marks of ended jobs.
  /// Keys of stored revocations, by the time at which they were last read, oldest first.
  std::deque<std::pair<TimePoint, std::string>> RevocationRecords;
  std::set<std::pair<sched::JobId, bool>> JobsBeingSaved; ///< Job, and whether it has ended.
  uint64_t SavedRunTimes = 0;   ///< `RunTimeModel::Changes` at the last snapshot.
  TimePoint NextRunTimesSave{}; ///< When the next snapshot may be written.
  int SavesInFlight = 0;
  SteadyTimer SaveTimer;
  SteadyTimer PlacementTimer;
  bool IsPlacementScheduled = false;
  Steady::duration LastPlacementTime{0}; ///< Duration of the last placement pass.
  TimePoint LastTick{};
  LoopLoad Loop;
  StartPacing Pacing;
  Steady::duration LastLag{0}; ///< By how much the last tick was late.
  bool Stopped = false;
};

} // namespace valveshelf
