// SPDX-License-Identifier: Apache-2.0
// One owned shard at work: its state under its own lock, its journal records, and the calls to
// workers and peers that its decisions ask for.
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

/// What a shard runner works with. Everything outlives the runner.
struct ShardTools {
  Executor Where;
  Clock Time;
  valveshelf::Timing Times;
  DecisionLimits Limits;
  uint32_t Shards = 1;
  std::string Self; ///< Journal of this process.
  WorkerOps Workers;
  StoreOps Store;
  PeerOps Peers;
  Journal &Log;
  SharedAuthority &Shared;
  CellWatch &Watch;
  ShardDirectory &Directory;
  ConfigSource Config;
};

/// Where the round of reports to home shards stands.
enum class ReportStage {
  None,
  Journal, ///< What is told has to be durable first.
  Home,    ///< A home shard's owner is asked to record it.
};

/// Counters for metrics and reports.
struct ShardStats {
  uint64_t Starts = 0;
  size_t Jobs = 0, AssignedTasks = 0, Queued = 0, Running = 0, Workers = 0, WorkersReady = 0;
  size_t Unreported = 0; ///< Parts that have ended or go back, of which their homes are not told.
  int StartsInFlight = 0;
  bool Draining = false;
  ReportStage Stage = ReportStage::None;
  Milliseconds TimeInStage{0}; ///< Since when.
};

/// Safe from any thread. Use through a shared pointer: its loops keep it alive until they end.
class ShardRunner : public std::enable_shared_from_this<ShardRunner> {
public:
  ShardRunner(uint32_t Shard, uint64_t Epoch, ShardTools Tools);

  /// Rebuilds the state before `start`. \p Predecessor is the journal that owned the shard, or
  /// empty; \p PredecessorGone says that it surely sends nothing any more.
  void load(const std::vector<wire::Record> &Records, std::string Predecessor,
            Endpoint PredecessorAddress, bool PredecessorGone);
  void start();
  /// Ends all loops; nothing is sent from then on.
  void stop();
  /// Places nothing more, waits until no start is in flight, and returns the state. From then on
  /// the state stays as it was returned: whatever would change it is refused or left to be told
  /// again, here after `resume` or to the next owner. Planned only.
  Awaitable<std::vector<wire::Record>> drain();
  /// Goes back to work after a drain that led nowhere.
  void resume();

  uint32_t shard() const { return Shard; }
  uint64_t epoch() const { return Epoch; }
  int startsInFlight() const { return StartsInFlight; }
  /// Appends the records that rebuild the shard to the journal, in order with all others.
  void appendSnapshot(DurableCallback WhenDurable);
  wire::ShardSummary summary();
  ShardStats stats();

  // Callers' operations, all at the home shard. The bodies are JSON.
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
  /// Filters of this shard for a job, for `explain`.
  FilterCounts filters(const JobSpec &Spec);

private:
  using Self = std::shared_ptr<ShardRunner>;
  struct PendingDecision;

  void execute(Decision What, DurableCallback Also = {});
  void onDurable(std::shared_ptr<PendingDecision> Done, Durability Value);
  void queueForgets(const std::vector<ForgetEffect> &Ended);
  void logNotices(const std::vector<Notice> &Notices);
  bool mayAct();
  /// True while the state may change: not once it was written down for the next owner, which would
  /// not hear of it. Call under Mutex, and change the state under the same lock.
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
  /// False: the state may not change now.
  bool markPredecessorGone();

  const uint32_t Shard;
  const uint64_t Epoch;
  const ShardTools Tools;
  SteadyTimer TickTimer; ///< Of the tick loop; used on its strand only.
  std::atomic<bool> TickRequested{false};
  std::atomic<bool> Stopped{false};
  std::atomic<bool> Draining{false};
  std::atomic<int> StartsInFlight{0};
  std::string Predecessor;
  Endpoint PredecessorAddress;

  std::mutex Mutex;
  // All below is guarded by Mutex.
  ShardState State;
  bool HandedOver = false; ///< The state was given to the next owner.
  std::map<std::string, std::vector<std::string>>
      PendingForgets;                           ///< By worker: ended tasks, durable.
  std::map<std::string, uint64_t> ListVersions; ///< By worker.
  std::set<std::string> PolledWorkers;          ///< Workers with a loop.
  std::set<std::string> GangsInPlacement;
  ReportStage Stage = ReportStage::None; ///< Other than None: a round of reports is under way.
  TimePoint StageSince{};
  bool ResendReports = true; ///< Ends and returns are told again in the next report.
  TimePoint LastForget{};
  TimePoint LastSlowTick{};
};

} // namespace valveshelf
