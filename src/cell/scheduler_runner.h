// SPDX-License-Identifier: Apache-2.0
// One term of a scheduler: reads what the store has, asks every worker what it holds, then carries
// out what the decisions of `cell_state.h` say. Ends when a newer scheduler is heard of.
#pragma once

#include "cell/adaptive_timeout.h"
#include "cell/advice_lanes.h"
#include "cell/call_losses.h"
#include "cell/list_age.h"
#include "valveshelf/burn.h"
#include "valveshelf/cell_metrics.h"
#include "valveshelf/cell_records.h"
#include "valveshelf/cell_settings.h"
#include "valveshelf/coroutines.h"
#include "valveshelf/key_value_store.h"
#include "valveshelf/steady_timer.h"
#include "valveshelf/worker_link.h"

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>

namespace valveshelf {

/// What a scheduler is made from. All of it outlives it.
struct SchedulerDependencies {
  Executor Where; ///< A strand; everything here runs on it.
  Clock Time;
  const CellSettings &Settings;
  KeyValueStore Store;
  WorkerLink Workers;
  AdviceLanes::AskThrough AskAdvice;
  std::string WorkerPrefix;     ///< Keys of the platform's list of workers.
  std::string EvacuationPrefix; ///< Keys of the zones that operators want empty.
  std::function<Result<sched::WorkerInfo>(std::string_view Id, std::string_view Bytes)>
      DecodeWorker;
  CellMetrics &Metrics;
  BurnBook &Burn;                          ///< Ends by queue; outlives the terms of this process.
  std::function<bool()> IsStoreResponsive; ///< Whether the store has answered just now.
};

/// The claim that a term rests on.
struct Claim {
  uint64_t Term = 0;
  uint64_t LeaderRevision = 0; ///< Of the leader's key as written by this process.
  uint64_t Lease = 0;
};

class SchedulerRunner : public std::enable_shared_from_this<SchedulerRunner> {
public:
  /// \p OnEnd is called once, when the term is over by itself.
  SchedulerRunner(const SchedulerDependencies &Deps, Claim OwnClaim, std::function<void()> OnEnd);
  void start();
  /// Sends nothing any more.
  void stop();
  /// Saves what waits to be saved, for a planned stop, for at most \p Time.
  Awaitable<void> flush(Milliseconds Time);
  void setMembers(const std::set<std::string> &Names);
  /// A job that was made durable at \p Revision, and one that was marked as cancelled: told here so
  /// that they need not wait for the watch.
  void announceJob(const std::string &Bytes, uint64_t Revision);
  void announceCancel(sched::JobId Id);
  bool loaded() const { return Cell.Loaded; }
  std::string_view state(sched::JobId Id) const { return publicJobState(Cell, Id); }
  uint32_t waiting(const std::string &Queue) const { return waitingJobs(Cell, Queue); }
  /// What organisations may have running, from now on.
  void setConfiguration(const sched::CellConfiguration &Config);
  /// What operators want empty, unless this term has read a newer state.
  void setEvacuatedZones(sched::EvacuatedZones Zones);
  std::string owner(sched::JobId Id) const { return organisationOfJob(Cell, Id); }
  std::string explain(sched::JobId Id) const { return explainJob(Cell, Id, Deps.Time.Now()); }

private:
  using SelfPtr = std::shared_ptr<SchedulerRunner>;
  /// After a failed call, before the next one.
  static constexpr Milliseconds RetryPause{150};
  /// An idle worker is asked this often, which keeps its clock known well enough.
  static constexpr Milliseconds IdleHeartbeatInterval{30000};
  struct HeartbeatState {
    Milliseconds WorkerClock{0};
    TimePoint ReadAt{};
    TimePoint LastBusyAt{};        ///< When something of ours was last known to be there.
    uint64_t ForgottenThrough = 0; ///< The worker was told to forget ends up to this one.
  };

  // Loading and watching.
  static Awaitable<void> loadWithRetries(SelfPtr Self);
  Awaitable<Result<Done>> load();
  void loadJobs(const KeyRange &Intake, const KeyRange &Runs);
  void loadWorkers(const KeyRange &Listed, const KeyRange &Runs);
  static Awaitable<void> watchIntake(SelfPtr Self, uint64_t From);
  static Awaitable<void> watchWorkers(SelfPtr Self);
  void applyIntakeItem(const KeyValue &Item, bool Fresh);
  void applyWorkerItem(const KeyValue &Item, bool IsRemoved);
  Awaitable<Result<uint64_t>> rereadIntake();
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
    Ended, ///< The worker is gone or this term is over.
  };
  Awaitable<HeartbeatOutcome> sendHeartbeat(std::string Id, Milliseconds Wait);
  void heartbeatFailed(const std::string &Id, const Error &Why, bool IsLongPoll);
  static Awaitable<void> waitForWake(SelfPtr Self, std::string Id, Milliseconds Most);
  Milliseconds unsavedHeartbeatDelay() const;
  bool canSuspendHeartbeats(const sched::Worker &On) const;
  void wakeHeartbeatLoop(const std::string &Id);
  void workerRecordsWritten(const std::vector<std::string> &Noted, uint64_t Revision);
  void workerRecordsRemoved(const std::vector<std::string> &Removed);
  void reconcileWorkerRecords(const std::vector<std::string> &Asked,
                              const std::vector<KeyValue> &CurrentItems);
  static Awaitable<void> sendHeartbeatNow(SelfPtr Self, std::string Id);
  void recheckBusyWorkers();
  static Awaitable<void> sendStart(SelfPtr Self, sched::Effects::Start Order);
  static Awaitable<void> sendStop(SelfPtr Self, sched::Effects::Stop Order);
  Milliseconds workerTime(const std::string &Id) const;
  TimePoint leaseEnd(Steady::duration ClockAge) const;
  Steady::duration clockAge(const std::string &Id) const;

  // Saving.
  static Awaitable<void> saveLoop(SelfPtr Self);
  static Awaitable<void> recordsLoop(SelfPtr Self);
  struct SaveEntry {
    sched::JobId Id = 0;
    uint64_t Number = 0;
    bool Ends = false;
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
  void executeEffects(sched::Effects &Out);
  void reportEffects(const sched::Effects &Out);
  void schedulePlacement();
  void runPlacement();
  void endTerm(const char *Why);
  /// True if this process did not run for longer than its claim holds: somebody else may schedule.
  bool wasSuspended() const;

  const SchedulerDependencies Deps;
  const Claim OwnClaim;
  const std::function<void()> OnEnd;
  sched::CellState Cell;
  AdviceLanes Lanes;
  std::unordered_map<std::string, HeartbeatState> HeartbeatStates; ///< By worker.
  std::unordered_set<std::string> HeartbeatLoops;                  ///< Workers with a hold loop.
  std::unordered_map<std::string, TimePoint>
      LongPolls; ///< HeartbeatLoops calls: since when nothing was heard.
  ListAge WorkerListAge;
  uint64_t WorkerListRevision = 0; ///< The list of workers is known up to it.
  CallLosses Losses;
  AdaptiveTimeout CallTimeout;
  std::unordered_map<std::string, SteadyTimer *> WakeTimers; ///< Loops that wait.
  std::map<std::string, uint64_t> WorkerRecords; ///< Workers noted in the store, and the revisions.
  std::set<sched::JobId> StaleCancels;           ///< Marks whose jobs have ended.
  std::set<std::pair<sched::JobId, bool>> JobsBeingSaved; ///< Jobs, and whether it is their end.
  int SavesInFlight = 0;
  SteadyTimer SaveTimer;
  SteadyTimer PlacementTimer;
  bool IsPlacementScheduled = false;
  Steady::duration LastPlacementTime{0}; ///< How long the last pass of placement took.
  TimePoint LastTick{};
  bool Stopped = false;
};

} // namespace valveshelf
