// SPDX-License-Identifier: Apache-2.0
// One term of a scheduler: reads what the store has, asks every worker what it holds, then carries
// out what the decisions of `cell_state.h` say. Ends when a newer scheduler is heard of.
#pragma once

#include "cell/advice_lanes.h"
#include "cell/call_losses.h"
#include "cell/list_age.h"
#include "cell/order_pace.h"
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
struct SchedulerTools {
  Executor Where; ///< A strand; everything here runs on it.
  Clock Time;
  const CellSettings &Settings;
  KeyValueStore Store;
  WorkerLink Workers;
  AdviceLanes::AskThrough Ask;
  std::string WorkerPrefix;     ///< Keys of the platform's list of workers.
  std::string EvacuationPrefix; ///< Keys of the zones that operators want empty.
  std::function<Result<sched::WorkerInfo>(std::string_view Id, std::string_view Bytes)>
      DecodeWorker;
  CellMetrics &Metrics;
  BurnBook &Burn;                     ///< Ends by queue; outlives the terms of this process.
  std::function<bool()> StoreAnswers; ///< Whether the store has answered just now.
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
  SchedulerRunner(const SchedulerTools &Tools, Claim Mine, std::function<void()> OnEnd);
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
  std::string_view state(sched::JobId Id) const { return shownState(Cell, Id); }
  uint32_t waiting(const std::string &Queue) const { return waitingJobs(Cell, Queue); }
  /// What organisations may have running, from now on.
  void setConfiguration(const sched::CellConfiguration &Config);
  /// What operators want empty, unless this term has read a newer state.
  void setEvacuated(sched::EvacuatedZones Zones);
  std::string owner(sched::JobId Id) const { return ownerOf(Cell, Id); }
  std::string explain(sched::JobId Id) const { return explainJob(Cell, Id, Tools.Time.Now()); }

private:
  using Self = std::shared_ptr<SchedulerRunner>;
  /// After a failed call, before the next one.
  static constexpr Milliseconds RetryPause{150};
  /// An idle worker is asked this often, which keeps its clock known well enough.
  static constexpr Milliseconds IdleHold{30000};
  struct ClockReading {
    Milliseconds Worker{0};
    TimePoint At{};
    TimePoint BusyAt{};            ///< When something of ours was last known to be there.
    uint64_t ForgottenThrough = 0; ///< The worker was told to forget ends up to this one.
  };

  // Loading and watching.
  static Awaitable<void> run(Self Me);
  Awaitable<Result<Done>> load();
  void loadJobs(const KeyRange &Intake, const KeyRange &Runs);
  void loadWorkers(const KeyRange &Listed, const KeyRange &Runs);
  static Awaitable<void> watchIntake(Self Me, uint64_t From);
  static Awaitable<void> watchWorkers(Self Me);
  void takeIntake(const KeyValue &Item, bool Fresh);
  void takeWorker(const KeyValue &Item, bool IsRemoved);
  Awaitable<Result<uint64_t>> rereadIntake();
  Awaitable<Result<Done>> rereadWorkers();
  void takeWorkerChanges(const KeyChanges &Read, TimePoint SentAt, Milliseconds Wait);
  static Awaitable<void> lookAtList(Self Me);
  void lookAtListIfOld();
  bool isFleetBehind();

  // Workers.
  void holdAll();
  static Awaitable<void> holdLoop(Self Me, std::string Id);
  enum class HeartbeatOutcome {
    Answered,
    NoAnswer,
    Over, ///< The worker is gone or this term is over.
  };
  Awaitable<HeartbeatOutcome> holdOnce(std::string Id, Milliseconds Wait);
  void holdFailed(const std::string &Id, const Error &Why, bool IsHeld);
  static Awaitable<void> untilWoken(Self Me, std::string Id, Milliseconds Most);
  Milliseconds unsavedPause() const;
  bool restsAt(const sched::Worker &On) const;
  void wakeHold(const std::string &Id);
  void noteRecords(const std::vector<std::string> &Noted, uint64_t Revision);
  void dropRecords(const std::vector<std::string> &Removed);
  void rereadRecords(const std::vector<std::string> &Asked,
                     const std::vector<KeyValue> &CurrentItems);
  static Awaitable<void> look(Self Me, std::string Id);
  void lookWhereAnswersMayBeLost();
  static Awaitable<void> sendStart(Self Me, sched::Effects::Start Order);
  static Awaitable<void> sendStop(Self Me, sched::Effects::Stop Order);
  Milliseconds workerTime(const std::string &Id) const;
  TimePoint leaseEnd(Steady::duration ClockAge) const;
  Steady::duration clockAge(const std::string &Id) const;

  // Saving.
  static Awaitable<void> saveLoop(Self Me);
  static Awaitable<void> recordsLoop(Self Me);
  struct SaveEntry {
    sched::JobId Id = 0;
    uint64_t Number = 0;
    bool Ends = false;
  };
  static Awaitable<void> save(Self Me, Transaction What, std::vector<SaveEntry> Written);
  std::vector<SaveEntry> nextBatch(Transaction &What);
  bool addToTransaction(sched::JobId Id, Transaction &What, std::vector<SaveEntry> &Batch);
  void countEnd(const sched::Job &Of);
  void saved(const std::vector<SaveEntry> &Batch, uint64_t Revision);
  void notSaved(const std::vector<SaveEntry> &Batch, const std::vector<KeyValue> &CurrentItems);
  Transaction guarded() const;
  bool hasOtherLeader(const std::vector<KeyValue> &CurrentItems) const;

  // Decisions.
  static Awaitable<void> tickLoop(Self Me);
  void apply(sched::Effects &Out);
  void report(const sched::Effects &Out);
  void placeSoon();
  void placeNow();
  void end(const char *Why);
  /// True if this process did not run for longer than its claim holds: somebody else may schedule.
  bool stoodStill() const;

  const SchedulerTools Tools;
  const Claim Mine;
  const std::function<void()> OnEnd;
  sched::CellState Cell;
  AdviceLanes Lanes;
  std::unordered_map<std::string, ClockReading> Clocks; ///< By worker.
  std::unordered_set<std::string> Held;                 ///< Workers with a hold loop.
  std::unordered_map<std::string, TimePoint>
      HoldsOut; ///< Held calls: since when nothing was heard.
  ListAge WorkersAge;
  uint64_t WorkersRevision = 0; ///< The list of workers is known up to it.
  CallLosses Losses;
  OrderPace Pace;
  std::unordered_map<std::string, SteadyTimer *> HoldWakes; ///< Loops that wait.
  std::map<std::string, uint64_t> Records; ///< Workers noted in the store, and the revisions.
  std::set<sched::JobId> OldCancels;       ///< Marks whose jobs have ended.
  std::set<std::pair<sched::JobId, bool>> SavingNow; ///< Jobs, and whether it is their end.
  int SavesInFlight = 0;
  SteadyTimer SaveWake;
  SteadyTimer PlaceTimer;
  bool PlaceWaits = false;
  Steady::duration LastPass{0}; ///< How long the last pass of placement took.
  TimePoint LastTick{};
  bool Stopped = false;
};

} // namespace valveshelf
