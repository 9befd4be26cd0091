// SPDX-License-Identifier: Apache-2.0
// Runs one owned shard: holds its state, journals its records, and makes the calls to workers and
// peers that its decisions request.
#pragma once

#include "valveshelf/journal.h"
#include "valveshelf/membership.h"
#include "valveshelf/shard_decisions.h"
#include "valveshelf/shard_directory.h"
#include "valveshelf/steady_timer.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <string>

namespace valveshelf {

/// Dependencies of a shard runner. All outlive it.
struct ShardTools {
  Executor Where;
  Clock Time;
  valveshelf::Timing Times;
  DecisionLimits Limits;
  uint32_t Shards = 1;
  std::string Self; ///< Journal id of this process.
  WorkerOps Workers;
  StoreOps Store;
  PeerOps Peers;
  Journal &Log;
  SharedAuthority &Shared;
  CellWatch &Watch;
  ShardDirectory &Directory;
  ConfigSource Config;
};

/// Progress of a round of reports to home shards.
enum class ReportStage {
  None,    ///< No round is in progress.
  Journal, ///< Waits until the reported changes are durable.
  Home,    ///< Waits for the owner of a home shard to record them.
};

/// Counts for metrics and reports.
struct ShardStats {
  uint64_t Starts = 0;
  size_t Jobs = 0, AssignedTasks = 0, Queued = 0, Running = 0, Workers = 0, WorkersReady = 0;
  size_t Unreported = 0; ///< Ended or returned tasks that their home shards have not recorded.
  int StartsInFlight = 0;
  bool Draining = false;
  ReportStage Stage = ReportStage::None;
  Milliseconds TimeInStage{0}; ///< Time since the stage was entered.
};

/// Thread-safe. Must be owned by a shared pointer; the loops keep the runner alive until they end.
class ShardRunner : public std::enable_shared_from_this<ShardRunner> {
public:
  ShardRunner(uint32_t Shard, uint64_t Epoch, ShardTools Tools);

  /// Rebuilds the state; call before `start`. \p Predecessor is the journal of the previous owner,
  /// or empty; \p PredecessorGone tells whether that owner is known to send no more requests.
  void load(const std::vector<wire::Record> &Records, std::string Predecessor,
            Endpoint PredecessorAddress, bool PredecessorGone);
  void start();
  /// Ends all loops; no more requests are sent.
  void stop();
  /// Stops placement, waits until no start is in flight, and returns a snapshot of the state for a
  /// planned handover. After that the state does not change until `resume`: requests that would
  /// change it are refused or left unacknowledged, to be repeated here or to the next owner.
  Awaitable<std::vector<wire::Record>> drain();
  /// Resumes work after a drain that did not lead to a handover.
  void resume();

  uint32_t shard() const { return Shard; }
  uint64_t epoch() const { return Epoch; }
  int startsInFlight() const { return StartsInFlight; }
  /// Appends a snapshot of the shard to the journal, in order with its other records.
  void appendSnapshot(DurableCallback WhenDurable);
  wire::ShardSummary summary();
  ShardStats stats();

  // Callers' operations, at the home shard. Bodies are JSON.
  Awaitable<Result<std::string>> submit(std::string Json);
  Result<std::string> status(const std::string &Job);
  Awaitable<Result<std::string>> cancel(std::string Job);
  Awaitable<Result<std::string>> resize(std::string Job, uint32_t Count);
  Result<std::string> explain(const std::string &Job);
  Result<std::string> list(const std::string &Partner);

  // Peers' operations.
  Awaitable<wire::LendReply> onLend(wire::LendRequest Request);
  Awaitable<wire::ReportReply> onReportReceived(wire::ReportRequest Request);
  Awaitable<wire::CancelReply> onCancel(wire::CancelRequest Request);
  wire::HoldReply onHold(const wire::HoldRequest &Request);
  /// Counts the workers of this shard that each placement filter excludes, for `explain`.
  FilterCounts filters(const JobSpec &Spec);

private:
  using Self = std::shared_ptr<ShardRunner>;
  struct PendingDecision;

  void execute(Decision What, DurableCallback Also = {});
  void onDurable(std::shared_ptr<PendingDecision> Done, Durability Value);
  void queueForgets(const std::vector<ForgetEffect> &Ended);
  void logNotices(const std::vector<Notice> &Notices);
  bool mayAct();
  /// False once the runner is stopped or has returned its state for the next owner, which would
  /// miss later changes. Requires Mutex, which must be held until the state has been changed.
  bool mayModifyState() const { return !Stopped && !HandedOver; }

  static Awaitable<void> tickLoop(Self This);
  static Awaitable<void> workerLoop(Self This, std::string Worker);
  static Awaitable<void> boxLoop(Self This);
  static Awaitable<void> predecessorLoop(Self This);
  static Awaitable<void> sendStart(Self This, StartEffect Effect);
  static Awaitable<void> sendControl(Self This, ControlEffect Effect);
  static Awaitable<void> sendLend(Self This, LendEffect Effect);
  static Awaitable<void> sendCancel(Self This, CancelEffect Effect);
  static Awaitable<void> sendReports(Self This);
  static Awaitable<void> placeGang(Self This, std::string Job);

  void tick();
  void enterStage(ReportStage Next);
  void requestTick();
  void syncBoxes();
  WorkerSync nextSync(const std::string &Worker);
  void onSynced(const std::string &Worker, const WorkerSync &Sent,
                const Result<WorkerReport> &Answer, TimePoint AskedAt);
  Endpoint ownerOf(uint32_t Other);
  /// Returns false if the state may not change now.
  bool markPredecessorGone();

  const uint32_t Shard;
  const uint64_t Epoch;
  const ShardTools Tools;
  SteadyTimer TickTimer; ///< Used on its own strand only.
  std::atomic<bool> TickRequested{false};
  std::atomic<bool> Stopped{false};
  std::atomic<bool> Draining{false};
  std::atomic<int> StartsInFlight{0};
  std::string Predecessor;
  Endpoint PredecessorAddress;

  std::mutex Mutex;
  // The members below are guarded by Mutex.
  ShardState State;
  bool HandedOver = false; ///< The state was returned by `drain`.
  std::map<std::string, std::vector<std::string>>
      PendingForgets;                           ///< Durably ended tasks, by worker.
  std::map<std::string, uint64_t> ListVersions; ///< Version of the last list, by worker.
  std::set<std::string> PolledWorkers;          ///< Workers with a running loop.
  std::set<std::string> GangsInPlacement;
  ReportStage Stage = ReportStage::None; ///< Not None while a round of reports is in progress.
  TimePoint StageSince{};
  bool ResendReports = true; ///< The next report repeats unacknowledged ends and returns.
  TimePoint LastForget{};
  TimePoint LastSlowTick{};
};

} // namespace valveshelf
