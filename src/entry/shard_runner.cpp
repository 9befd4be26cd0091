// SPDX-License-Identifier: Apache-2.0
// The loops of an owned shard: ticks, worker polling, the box list and probing of the predecessor;
// and the execution of decisions once their records are durable.
#include "valveshelf/shard_runner.h"

#include "valveshelf/events.h"

#include <boost/asio.hpp>

#include <algorithm>

namespace valveshelf {
namespace asio = boost::asio;
namespace {
// Ticks are triggered by events; this bounds the delay of time-based decisions without any.
constexpr Milliseconds MaxTickInterval{200};
// Events that arrive within this interval share a tick.
constexpr Milliseconds MinTickInterval{5};
constexpr Milliseconds SlowTickInterval{250};
constexpr Milliseconds BoxSyncInterval{500};
constexpr std::chrono::minutes ForgetInterval{1};
constexpr Milliseconds WorkerRetryPause{250};
constexpr Milliseconds UncertainStartPollWait{200};
constexpr Milliseconds PredecessorProbeInterval{300};
} // namespace

// A decision whose records are being made durable. Each effect is carried out at most once.
struct ShardRunner::PendingDecision {
  Self Owner;
  Decision What;
  DurableCallback Also;
  std::mutex Mutex;
  bool StartsSent = false;       ///< Of repeatable tasks. Guarded by Mutex.
  bool OtherEffectsSent = false; ///< Guarded by Mutex.
};

ShardRunner::ShardRunner(uint32_t Shard, uint64_t Epoch, ShardTools Tools)
    : Shard(Shard), Epoch(Epoch), Tools(std::move(Tools)),
      TickTimer(asio::make_strand(this->Tools.Where)) {
  State.Id = Shard;
}

void ShardRunner::load(const std::vector<wire::Record> &Records, std::string Log, Endpoint Address,
                       bool PredecessorGone) {
  std::lock_guard Lock(Mutex);
  const TimePoint Now = Tools.Time.Now();
  for (const wire::Record &Record : Records)
    applyRecord(State, Record, Now);
  Predecessor = std::move(Log);
  PredecessorAddress = std::move(Address);
  markTakenOver(State, PredecessorGone || Predecessor.empty(), Tools.Limits, Now);
}

void ShardRunner::start() {
  spawnLater(Tools.Where, tickLoop(shared_from_this()));
  spawnLater(Tools.Where, boxLoop(shared_from_this()));
  if (!State.PredecessorGone)
    spawnLater(Tools.Where, predecessorLoop(shared_from_this()));
}

void ShardRunner::stop() { Stopped = true; }

void ShardRunner::resume() {
  std::lock_guard Lock(Mutex);
  HandedOver = false;
  Draining = false;
}

bool ShardRunner::mayAct() { return !Stopped && Tools.Shared.mayActAt(Tools.Time.Now()); }

Awaitable<std::vector<wire::Record>> ShardRunner::drain() {
  Draining = true;
  while (StartsInFlight > 0)
    co_await sleepFor(Milliseconds(5));
  std::vector<wire::Record> Written;
  {
    std::lock_guard Lock(Mutex);
    HandedOver = true;
    Written = snapshotOf(State);
  }
  // Earlier decisions are durable and executed here before the shard is handed over.
  co_await Tools.Log.barrier();
  co_return Written;
}

void ShardRunner::appendSnapshot(DurableCallback WhenDurable) {
  std::lock_guard Lock(Mutex);
  Tools.Log.append(snapshotOf(State), std::move(WhenDurable));
}

void ShardRunner::logNotices(const std::vector<Notice> &Notices) {
  const std::string Number = std::to_string(Shard);
  for (const Notice &What : Notices)
    logEvent(*What.Kind,
             {{"shard", Number}, {"subject", What.Subject}, {"detail", "\"" + What.Detail + "\""}});
}

// Call under Mutex, so that records reach the journal in the order in which they were applied.
void ShardRunner::execute(Decision What, DurableCallback Also) {
  if (!mayModifyState()) {
    if (Also)
      Also(Durability::Lost);
    return;
  }
  const bool Nothing = What.Records.empty() && What.Starts.empty() && What.Controls.empty() &&
                       What.Forgets.empty() && What.Lends.empty() && What.Cancels.empty();
  if (Nothing && !Also)
    return logNotices(What.Notices);
  // Most state changes give the next tick work to do.
  if (!What.Records.empty() || !What.Notices.empty())
    requestTick();
  StartsInFlight += static_cast<int>(What.Starts.size());
  auto Done = std::make_shared<PendingDecision>();
  Done->Owner = shared_from_this();
  std::vector<wire::Record> Records = std::move(What.Records);
  Done->What = std::move(What);
  Done->Also = std::move(Also);
  if (Records.empty())
    return onDurable(Done, Durability::Stored);
  Tools.Log.append(std::move(Records), [this, Done](Durability Value) { onDurable(Done, Value); });
}

void ShardRunner::onDurable(std::shared_ptr<PendingDecision> Done, Durability Value) {
  if (Value == Durability::Lost) {
    StartsInFlight -= static_cast<int>(Done->What.Starts.size());
    if (Done->Also)
      Done->Also(Value);
    return;
  }
  std::vector<StartEffect> Starts;
  bool SendOtherEffects = false;
  {
    std::lock_guard Lock(Done->Mutex);
    // Until the records are stored, only repeatable tasks are started.
    for (const StartEffect &Start : Done->What.Starts) {
      const bool Early = Start.Spec->Repeatable;
      if (Early ? !Done->StartsSent : Value == Durability::Stored)
        Starts.push_back(Start);
    }
    Done->StartsSent = true;
    SendOtherEffects = !Done->OtherEffectsSent;
    Done->OtherEffectsSent = true;
  }
  for (StartEffect &Start : Starts)
    spawnLater(Tools.Where, sendStart(shared_from_this(), std::move(Start)));
  if (Done->Also)
    Done->Also(Value);
  if (Value == Durability::Stored)
    queueForgets(Done->What.Forgets);
  if (!SendOtherEffects)
    return;
  for (const ControlEffect &Control : Done->What.Controls)
    spawnLater(Tools.Where, sendControl(shared_from_this(), Control));
  for (const LendEffect &Lend : Done->What.Lends)
    spawnLater(Tools.Where, sendLend(shared_from_this(), Lend));
  for (const CancelEffect &Cancel : Done->What.Cancels)
    spawnLater(Tools.Where, sendCancel(shared_from_this(), Cancel));
  logNotices(Done->What.Notices);
}

// Lets workers forget ended tasks. Call once the store has recorded that they ended.
void ShardRunner::queueForgets(const std::vector<ForgetEffect> &Ended) {
  if (Ended.empty())
    return;
  // Posted, because the caller holds Mutex if the decision has no records.
  asio::post(Tools.Where, [This = shared_from_this(), Ended] {
    std::lock_guard Lock(This->Mutex);
    for (const ForgetEffect &Effect : Ended)
      This->PendingForgets[Effect.Worker].push_back(Effect.TaskId);
  });
}

Awaitable<void> ShardRunner::sendStart(Self This, StartEffect Effect) {
  const ShardTools &Tools = This->Tools;
  StartAnswer Answer = StartAnswer::NotSent;
  // Last check before sending. The process can still be paused right after it; the intent is
  // journalled, so a successor keeps the capacity booked until the outcome is proven.
  if (This->mayAct())
    Answer = co_await Tools.Workers.Start(Effect.Address, workerTaskId(Effect.Key, Effect.Attempt),
                                          Effect.Spec, Tools.Times.TaskLease);
  // Counted until the answer is applied to the state, because a drain waits for it.
  std::lock_guard Lock(This->Mutex);
  --This->StartsInFlight;
  if (!This->mayModifyState())
    co_return;
  This->execute(onStartAnswer(This->State, Effect.Key, Effect.Attempt, Answer, Tools.Limits,
                              Tools.Time.Now()));
}

Awaitable<void> ShardRunner::sendControl(Self This, ControlEffect Effect) {
  if (!This->mayAct())
    co_return;
  const WorkerOps &Workers = This->Tools.Workers;
  if (Effect.Kind == ControlEffect::Action::Throttle)
    co_await Workers.Throttle(Effect.Address, Effect.TaskId);
  else
    co_await Workers.Stop(Effect.Address, Effect.TaskId);
}

Endpoint ShardRunner::ownerOf(uint32_t Other) {
  const CellViewPtr View = Tools.Watch.view();
  const auto Found = View->Owners.find(Other);
  return Found == View->Owners.end() || Found->second.Released ? Endpoint{} : Found->second.Peers;
}

Awaitable<void> ShardRunner::sendLend(Self This, LendEffect Effect) {
  wire::LendRequest Request;
  Request.set_shard(Effect.Shard);
  Request.set_home(This->Shard);
  Request.set_home_epoch(This->Epoch);
  *Request.mutable_spec() = specToWire(*Effect.Spec);
  for (size_t I = 0; I < Effect.Indexes.size(); ++I) {
    Request.add_index(Effect.Indexes[I]);
    Request.add_next_attempt(Effect.NextAttempts[I]);
  }
  const Endpoint To = This->ownerOf(Effect.Shard);
  if (To.Port == 0 || !This->mayAct())
    co_return;
  Result<wire::LendReply> Reply = co_await This->Tools.Peers.Lend(To, std::move(Request));
  if (!ok(Reply) || !value(Reply).adopted())
    co_return;
  std::lock_guard Lock(This->Mutex);
  if (This->mayModifyState()) // otherwise it is lent again, which is idempotent
    onAdopted(This->State, Effect);
}

Awaitable<void> ShardRunner::sendCancel(Self This, CancelEffect Effect) {
  wire::CancelRequest Request;
  Request.set_shard(Effect.Shard);
  for (const TaskKey &Key : Effect.Keys) {
    wire::TaskKey *Wire = Request.add_key();
    Wire->set_job(Key.Job);
    Wire->set_index(Key.Index);
  }
  const Endpoint To = This->ownerOf(Effect.Shard);
  if (To.Port != 0)
    co_await This->Tools.Peers.Cancel(To, std::move(Request));
}

// Reports the status of tasks to their home shards, after it has become durable.
Awaitable<void> ShardRunner::sendReports(Self This) {
  std::map<uint32_t, wire::ReportRequest> Due;
  {
    std::lock_guard Lock(This->Mutex);
    Due = pendingReports(This->State, std::exchange(This->ResendReports, false));
    This->enterStage(ReportStage::Journal);
  }
  Durability Told = Durability::Lost;
  if (!Due.empty())
    Told = co_await This->Tools.Log.witnessedBarrier();
  if (Told != Durability::Lost) {
    for (auto &[Home, Request] : Due) {
      const Endpoint To = This->ownerOf(Home);
      if (To.Port == 0 || This->Stopped)
        continue;
      {
        std::lock_guard Lock(This->Mutex);
        This->enterStage(ReportStage::Home);
      }
      Result<wire::ReportReply> Reply = co_await This->Tools.Peers.Report(To, Request);
      if (!ok(Reply) || !value(Reply).recorded())
        continue;
      std::vector<TaskKey> Settled;
      for (const wire::PartStatus &Status : Request.status()) {
        const auto Phase = static_cast<AssignedPhase>(Status.phase());
        if (Phase == AssignedPhase::Ended || Phase == AssignedPhase::Returned)
          Settled.push_back({Status.key().job(), Status.key().index()});
      }
      std::lock_guard Lock(This->Mutex);
      if (This->mayModifyState()) // otherwise they are reported again
        This->execute(dropTasks(This->State, Settled, This->Tools.Time.Now()));
    }
  }
  std::lock_guard Lock(This->Mutex);
  This->enterStage(ReportStage::None);
}

// Call under Mutex.
void ShardRunner::enterStage(ReportStage Next) {
  Stage = Next;
  StageSince = Tools.Time.Now();
}

void ShardRunner::tick() {
  const TimePoint Now = Tools.Time.Now();
  const WallTime Wall = Tools.Time.Wall();
  const auto Config = Tools.Config();
  if (!mayAct())
    return;
  std::lock_guard Lock(Mutex);
  // Checked under the lock, so that no start is decided after a drain has captured the state.
  if (Draining || !mayModifyState())
    return;
  const auto Elsewhere = [&](const std::string &Key) {
    return Tools.Directory.usedElsewhere(Key, Shard);
  };
  execute(placeQueued(State, *Config, Tools.Log.storeUp(), Elsewhere, Tools.Limits, Now, Wall));
  const bool Slow = Now - LastSlowTick >= SlowTickInterval;
  ResendReports = ResendReports || Slow;
  if (Stage == ReportStage::None && (Slow || !State.Dirty.empty())) {
    enterStage(ReportStage::Journal);
    spawnLater(Tools.Where, sendReports(shared_from_this()));
  }
  const auto Choose = [&](const JobSpec &Spec, uint32_t Count) {
    if (Spec.Kind == JobKind::Gang && Spec.Count == Count) {
      if (GangsInPlacement.insert(Spec.Id).second)
        spawnLater(Tools.Where, placeGang(shared_from_this(), Spec.Id));
      return std::vector<std::pair<uint32_t, uint32_t>>{};
    }
    const PlacementConfig Weights = placementWeights(*Config, Spec.Partner);
    return Tools.Directory.chooseShards(Spec, Count, Weights.Pack > Weights.Spread, Now);
  };
  execute(lendWaiting(State, Choose, Slow, Tools.Limits, Now));
  if (!Slow)
    return;
  LastSlowTick = Now;
  if (Now - LastForget >= ForgetInterval) {
    LastForget = Now;
    execute(forgetEndedJobs(State, Tools.Limits, Now, Wall));
  }
  const auto RoomElsewhere = [&](const JobSpec &Spec) {
    return Tools.Directory.hasRoomElsewhere(Spec, Shard, Now);
  };
  execute(onTick(State, Tools.Limits, RoomElsewhere, Now, Wall));
  Decision Cancels;
  Cancels.Cancels = pendingCancels(State);
  execute(std::move(Cancels));
}

// Requests a tick without waiting for MaxTickInterval. Thread-safe.
void ShardRunner::requestTick() {
  if (TickRequested.exchange(true))
    return;
  asio::post(TickTimer.get_executor(), [This = shared_from_this()] { This->TickTimer.cancel(); });
}

Awaitable<void> ShardRunner::tickLoop(Self This) {
  while (!This->Stopped) {
    This->TickRequested = false;
    This->tick();
    co_await sleepFor(MinTickInterval);
    if (This->TickRequested)
      continue;
    co_await asio::post(This->TickTimer.get_executor(), asio::use_awaitable);
    This->TickTimer.expires_after(This->TickRequested ? Milliseconds(0) : MaxTickInterval);
    co_await This->TickTimer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
}

void ShardRunner::syncBoxes() {
  const BoxList Workers = Tools.Directory.workersOf(Shard);
  std::lock_guard Lock(Mutex);
  if (!mayAct() || !mayModifyState())
    return;
  execute(onBoxList(State, Workers, Tools.Time.Now(), Tools.Time.Wall()));
  for (const auto &[Name, Current] : State.Workers)
    if (Current->Health != WorkerHealth::Gone && PolledWorkers.insert(Name).second)
      spawnLater(Tools.Where, workerLoop(shared_from_this(), Name));
}

Awaitable<void> ShardRunner::boxLoop(Self This) {
  while (!This->Stopped) {
    // An empty list is treated as one that was not read yet.
    if (!This->Tools.Directory.boxes()->empty())
      This->syncBoxes();
    co_await sleepFor(BoxSyncInterval);
  }
}

WorkerSync ShardRunner::nextSync(const std::string &Worker) {
  WorkerSync Sync;
  const bool MayAct = mayAct();
  std::lock_guard Lock(Mutex);
  const WorkerState &Current = *State.Workers.at(Worker);
  // After a failed call, the next one does not renew leases; see onWorkerCallFailed.
  const bool Renew = MayAct && Current.FailedCalls == 0;
  Sync.Wait = Tools.Times.WorkerPoll;
  Sync.After = ListVersions[Worker];
  Sync.Forget = std::exchange(PendingForgets[Worker], {});
  if (Renew)
    Sync.RenewFor = Tools.Times.TaskLease;
  for (const TaskKey &Key : Current.AssignedTasks) {
    const AssignedTask &Task = State.AssignedTasks.at(Key);
    if (Renew)
      Sync.Renew.push_back(workerTaskId(Key, Task.Attempt));
    if (Task.Uncertainty != StartUncertainty::None)
      Sync.Wait = std::min(Sync.Wait, UncertainStartPollWait);
  }
  if (Current.Health != WorkerHealth::Ready || Current.FailedCalls > 0)
    Sync.Wait = Milliseconds(0);
  return Sync;
}

void ShardRunner::onSynced(const std::string &Worker, const WorkerSync &Sent,
                           const Result<WorkerReport> &Answer, TimePoint AskedAt) {
  const TimePoint Now = Tools.Time.Now();
  const bool MayAct = mayAct();
  std::lock_guard Lock(Mutex);
  if (!ok(Answer)) {
    auto &Again = PendingForgets[Worker];
    Again.insert(Again.end(), Sent.Forget.begin(), Sent.Forget.end());
    ListVersions[Worker] = 0;
    if (!mayModifyState())
      return;
    return execute(onWorkerCallFailed(State, Worker, Sent.RenewFor.count() > 0, Tools.Limits));
  }
  // Ignore a stale report if the process has lost its authority or was paused during the call.
  if (!MayAct || !mayModifyState() || Now - AskedAt > Tools.Times.Lease + Tools.Times.WorkerPoll)
    return;
  ListVersions[Worker] = value(Answer).Version;
  execute(onWorkerReport(State, Worker, value(Answer), Sent.RenewFor.count() > 0, Tools.Limits,
                         AskedAt, Now, Tools.Time.Wall()));
}

Awaitable<void> ShardRunner::workerLoop(Self This, std::string Worker) {
  while (!This->Stopped) {
    WorkerSync Sync = This->nextSync(Worker);
    Endpoint Address;
    {
      std::lock_guard Lock(This->Mutex);
      const WorkerState &Current = *This->State.Workers.at(Worker);
      if (Current.Health == WorkerHealth::Gone) {
        This->PolledWorkers.erase(Worker);
        co_return;
      }
      Address = Current.Box.Address;
    }
    const TimePoint AskedAt = This->Tools.Time.Now();
    Result<WorkerReport> Answer = co_await This->Tools.Workers.Sync(Address, Sync);
    if (This->Stopped)
      co_return;
    This->onSynced(Worker, Sync, Answer, AskedAt);
    if (!ok(Answer))
      co_await sleepFor(WorkerRetryPause);
  }
}

bool ShardRunner::markPredecessorGone() {
  std::lock_guard Lock(Mutex);
  if (!mayModifyState())
    return false;
  onPredecessorGone(State, Tools.Limits, Tools.Time.Now());
  logEvent(events::StepDownConfirmed, {{"shard", std::to_string(Shard)}, {"log", Predecessor}});
  return true;
}

// Polls the predecessor's address until it is certain that the predecessor sends nothing more: it
// confirms that itself, a newer process answers at the address, or the connection is refused.
Awaitable<void> ShardRunner::predecessorLoop(Self This) {
  while (!This->Stopped) {
    bool Gone =
        co_await This->Tools.Peers.Probe(This->PredecessorAddress) == PeerOps::ProbeResult::Refused;
    if (!Gone) {
      wire::StepDownRequest Request;
      Request.set_log(This->Predecessor);
      Result<wire::StepDownReply> Reply =
          co_await This->Tools.Peers.StepDown(This->PredecessorAddress, Request);
      Gone = ok(Reply) && value(Reply).gone();
    }
    if (Gone && This->markPredecessorGone())
      co_return;
    co_await sleepFor(PredecessorProbeInterval);
  }
}

wire::ShardSummary ShardRunner::summary() {
  std::lock_guard Lock(Mutex);
  wire::ShardSummary Summary;
  Summary.set_shard(Shard);
  Summary.set_epoch(Epoch);
  Summary.set_queued(static_cast<uint32_t>(State.Queue.size()));
  Resources Free;
  Resources Largest;
  uint32_t Usable = 0;
  for (const PlacementCandidate &Candidate : State.Candidates) {
    if (!Candidate.Usable)
      continue;
    ++Usable;
    Free += Candidate.Free;
    if (Candidate.Free.MilliCores >= Largest.MilliCores &&
        Candidate.Free.MemoryMb >= Largest.MemoryMb)
      Largest = Candidate.Free;
  }
  Summary.set_workers(Usable);
  *Summary.mutable_free() = resourcesToWire(Free);
  *Summary.mutable_largest_free() = resourcesToWire(Largest);
  for (const auto &[Team, Booked] : State.TeamUse) {
    wire::TeamUse *Line = Summary.add_use();
    Line->set_team(Team);
    *Line->mutable_booked() = resourcesToWire(Booked);
  }
  return Summary;
}

ShardStats ShardRunner::stats() {
  std::lock_guard Lock(Mutex);
  ShardStats Stats;
  Stats.Starts = State.Starts;
  Stats.Jobs = State.Jobs.size();
  Stats.AssignedTasks = State.AssignedTasks.size();
  Stats.Queued = State.Queue.size();
  Stats.Workers = State.Workers.size();
  for (const auto &[Key, Task] : State.AssignedTasks) {
    Stats.Running += Task.Phase == AssignedPhase::Running ? 1 : 0;
    const bool Over = Task.Phase == AssignedPhase::Ended || Task.Phase == AssignedPhase::Returned;
    Stats.Unreported += Over ? 1 : 0;
  }
  Stats.StartsInFlight = StartsInFlight;
  Stats.Draining = Draining;
  Stats.Stage = Stage;
  if (Stage != ReportStage::None)
    Stats.TimeInStage = std::chrono::duration_cast<Milliseconds>(Tools.Time.Now() - StageSince);
  for (const auto &[Name, Current] : State.Workers)
    Stats.WorkersReady += Current->Health == WorkerHealth::Ready ? 1 : 0;
  return Stats;
}

} // namespace valveshelf
