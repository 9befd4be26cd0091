// SPDX-License-Identifier: Apache-2.0
// Operations on an owned shard that callers and peers request.
#include "valveshelf/events.h"
#include "valveshelf/shard_runner.h"
#include "valveshelf/steady_timer.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>

namespace valveshelf {
namespace asio = boost::asio;
namespace json = boost::json;
namespace {

constexpr uint32_t MaxTasks = 100000;
constexpr Milliseconds DurableWait{4000};
constexpr Milliseconds HoldDuration{1500};
constexpr size_t MaxListedTasks = 1000;

// Waits for a callback from the journal, for at most DurableWait.
struct DurableWaiter {
  std::optional<Durability> Value;
  SteadyTimer Timer;
  explicit DurableWaiter(Executor Where) : Timer(asio::make_strand(Where)) {}
};

Awaitable<std::optional<Durability>> waitFor(std::shared_ptr<DurableWaiter> Waiter) {
  co_await asio::post(Waiter->Timer.get_executor(), asio::use_awaitable);
  if (!Waiter->Value) {
    Waiter->Timer.expires_after(DurableWait);
    co_await Waiter->Timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  co_return Waiter->Value;
}

DurableCallback callbackOf(std::shared_ptr<DurableWaiter> Waiter) {
  return [Waiter](Durability Value) {
    if (Value == Durability::Witnessed)
      return;
    asio::post(Waiter->Timer.get_executor(), [Waiter, Value] {
      Waiter->Value = Value;
      Waiter->Timer.cancel();
    });
  };
}

// Like `callbackOf`, but Witnessed also completes the wait.
DurableCallback callbackAcceptingWitnessed(std::shared_ptr<DurableWaiter> Waiter) {
  return [Waiter](Durability Value) {
    asio::post(Waiter->Timer.get_executor(), [Waiter, Value] {
      if (!Waiter->Value)
        Waiter->Value = Value;
      Waiter->Timer.cancel();
    });
  };
}

Error notRecordedError(const std::string &Job) {
  return {ErrorKind::OutcomeUnknown,
          "the change to job " + Job + " may not have been stored; check the status of the job"};
}

Error handedOverError() { return {ErrorKind::NotOwner, "the shard is being handed over"}; }

Error noSuchJobError(const std::string &Job) {
  return {ErrorKind::NotFound, "there is no job " + Job};
}

std::string_view homePhaseName(const HomeTask &Task) {
  switch (Task.Phase) {
  case HomePhase::Waiting:
    return "waiting";
  case HomePhase::Lent:
    return Task.ReportedPhase.empty() ? "lent" : std::string_view(Task.ReportedPhase);
  case HomePhase::Ended:
    break;
  }
  return "ended";
}

std::string_view jobStateName(const HomeJob &Job) {
  if (Job.Ended == Job.Tasks.size())
    return "ended";
  return Job.Cancelled ? "cancelling" : "active";
}

json::object jobSummary(const HomeJob &Job) {
  uint32_t Running = 0;
  std::map<TaskOutcome, uint32_t> Outcomes;
  for (const HomeTask &Task : Job.Tasks) {
    Running += Task.Phase == HomePhase::Lent && Task.ReportedPhase == "running" ? 1 : 0;
    if (Task.Phase == HomePhase::Ended)
      ++Outcomes[Task.Outcome];
  }
  json::object Ends;
  for (const auto &[Outcome, Count] : Outcomes)
    Ends[outcomeName(Outcome)] = Count;
  return {{"id", Job.Spec->Id},
          {"partner", Job.Spec->Partner},
          {"team", Job.Spec->Team},
          {"kind", kindName(Job.Spec->Kind)},
          {"class", className(Job.Spec->Class)},
          {"state", jobStateName(Job)},
          {"count", Job.Tasks.size()},
          {"waiting", Job.Waiting},
          {"running", Running},
          {"ended", Job.Ended},
          {"outcomes", std::move(Ends)}};
}

json::array taskList(const HomeJob &Job) {
  json::array Tasks;
  for (uint32_t I = 0; I < Job.Tasks.size() && I < MaxListedTasks; ++I) {
    const HomeTask &Task = Job.Tasks[I];
    json::object Line{{"index", I}, {"phase", homePhaseName(Task)}};
    if (Task.Phase == HomePhase::Lent)
      Line["shard"] = Task.Shard;
    if (!Task.Worker.empty())
      Line["worker"] = Task.Worker;
    if (Task.Phase == HomePhase::Ended) {
      Line["outcome"] = outcomeName(Task.Outcome);
      Line["detail"] = Task.Detail;
    }
    Tasks.push_back(std::move(Line));
  }
  return Tasks;
}

bool sameJob(JobSpec A, JobSpec B) {
  A.Accepted = B.Accepted = WallTime{};
  return jobToJson(A) == jobToJson(B);
}

} // namespace

Awaitable<Result<std::string>> ShardRunner::submit(std::string Text) {
  Result<JobSpec> Parsed = parseJob(Text, MaxTasks);
  if (!ok(Parsed))
    co_return error(Parsed);
  JobSpec Spec = std::move(value(Parsed));
  Spec.Accepted = Tools.Time.Wall();
  auto Waiter = std::make_shared<DurableWaiter>(Tools.Where);
  {
    std::lock_guard Lock(Mutex);
    const auto Found = State.Jobs.find(Spec.Id);
    if (Found != State.Jobs.end()) {
      if (!sameJob(*Found->second.Spec, Spec))
        co_return Error{ErrorKind::Conflict, "a different job already has the id " + Spec.Id};
      // A repeated submit: wait until the records of the first one are stored.
      Tools.Log.append({}, callbackOf(Waiter));
    } else {
      if (!Tools.Log.storeUp())
        co_return Error{ErrorKind::StoreUnavailable,
                        "the store is unavailable, so the job cannot be recorded"};
      if (Draining || !mayModifyState())
        co_return handedOverError();
      if (Tools.Directory.capableShards(Spec).empty())
        co_return Error{ErrorKind::Impossible, Tools.Directory.explainImpossible(Spec)};
      execute(acceptJob(State, Spec, Tools.Time.Now()), callbackOf(Waiter));
    }
  }
  if (co_await waitFor(Waiter) != Durability::Stored)
    co_return notRecordedError(Spec.Id);
  logEvent(events::JobAccepted, {{"shard", std::to_string(Shard)}, {"job", Spec.Id}});
  co_return json::serialize(json::object{{"id", Spec.Id}, {"state", "accepted"}});
}

Result<std::string> ShardRunner::status(const std::string &Job) {
  std::lock_guard Lock(Mutex);
  const auto Found = State.Jobs.find(Job);
  if (Found == State.Jobs.end())
    return noSuchJobError(Job);
  json::object Root = jobSummary(Found->second);
  Root["tasks"] = taskList(Found->second);
  return json::serialize(Root);
}

Result<std::string> ShardRunner::list(const std::string &Partner) {
  std::lock_guard Lock(Mutex);
  json::array Jobs;
  for (const auto &[Id, Job] : State.Jobs)
    if (Partner.empty() || Job.Spec->Partner == Partner)
      Jobs.push_back(jobSummary(Job));
  return json::serialize(Jobs);
}

Awaitable<Result<std::string>> ShardRunner::cancel(std::string Job) {
  auto Waiter = std::make_shared<DurableWaiter>(Tools.Where);
  {
    std::lock_guard Lock(Mutex);
    const auto Found = State.Jobs.find(Job);
    if (Found == State.Jobs.end())
      co_return noSuchJobError(Job);
    if (!Tools.Log.storeUp())
      co_return Error{ErrorKind::StoreUnavailable,
                      "the store is unavailable, so the cancel cannot be recorded"};
    if (!mayModifyState())
      co_return handedOverError();
    execute(cancelJob(State, Job), callbackOf(Waiter));
  }
  if (co_await waitFor(Waiter) != Durability::Stored)
    co_return notRecordedError(Job);
  co_return json::serialize(json::object{{"id", Job}, {"state", "cancelling"}});
}

Awaitable<Result<std::string>> ShardRunner::resize(std::string Job, uint32_t Count) {
  auto Waiter = std::make_shared<DurableWaiter>(Tools.Where);
  {
    std::lock_guard Lock(Mutex);
    const auto Found = State.Jobs.find(Job);
    if (Found == State.Jobs.end())
      co_return noSuchJobError(Job);
    if (Found->second.Spec->Kind != JobKind::Service || Count < Found->second.Tasks.size())
      co_return Error{ErrorKind::BadRequest,
                      "only a service can be resized, and only to a larger count"};
    if (!mayModifyState())
      co_return handedOverError();
    wire::Record What;
    What.set_shard(Shard);
    What.mutable_job_resized()->set_job(Job);
    What.mutable_job_resized()->set_count(Count);
    applyRecord(State, What, Tools.Time.Now());
    Decision Resized;
    Resized.Records.push_back(std::move(What));
    execute(std::move(Resized), callbackOf(Waiter));
  }
  if (co_await waitFor(Waiter) != Durability::Stored)
    co_return notRecordedError(Job);
  co_return json::serialize(json::object{{"id", Job}, {"count", Count}});
}

Result<std::string> ShardRunner::explain(const std::string &Job) {
  std::lock_guard Lock(Mutex);
  const auto Found = State.Jobs.find(Job);
  if (Found == State.Jobs.end())
    return noSuchJobError(Job);
  const HomeJob &Home = Found->second;
  json::object Root = jobSummary(Home);
  Root["home_shard"] = Shard;
  Root["owner"] = Tools.Self;
  Root["owner_epoch"] = Epoch;
  const TimePoint Now = Tools.Time.Now();
  const std::vector<uint32_t> Capable = Tools.Directory.capableShards(*Home.Spec);
  json::array Shards;
  const auto Loads = Tools.Directory.loads();
  for (const uint32_t Other : Capable) {
    const auto Load = Loads.find(Other);
    json::object Line{{"shard", Other}, {"owner", toString(ownerOf(Other))}};
    if (Load != Loads.end()) {
      Line["workers_usable"] = Load->second.Workers;
      Line["queued"] = Load->second.Queued;
      Line["room_now"] = fits(Home.Spec->Size, Load->second.LargestFree);
      Line["heard_ms_ago"] =
          std::chrono::duration_cast<Milliseconds>(Now - Load->second.ReceivedAt).count();
    }
    Shards.push_back(std::move(Line));
  }
  Root["capable_shards"] = std::move(Shards);
  Root["why"] = Home.Ended == Home.Tasks.size() ? "all tasks have ended"
                : Capable.empty()               ? Tools.Directory.explainImpossible(*Home.Spec)
                : Home.Waiting > 0
                    ? "tasks are waiting at the home shard for capacity on a capable shard"
                    : "all tasks are placed or queued on the shards named in 'tasks'";
  Root["tasks"] = taskList(Home);
  return json::serialize(Root);
}

FilterCounts ShardRunner::filters(const JobSpec &Spec) {
  std::lock_guard Lock(Mutex);
  return countFilters(State, Spec, *Tools.Config());
}

// Rejects a lend from an owner of the home shard that has been replaced: its successor may have
// placed the tasks elsewhere. The current owner is read from the store.
Awaitable<wire::LendReply> ShardRunner::onLend(wire::LendRequest Request) {
  wire::LendReply Reply;
  Result<StoreItem> Home = co_await Tools.Store.Get(ownerKey(Request.home()));
  uint64_t HomeEpoch = 0;
  if (ok(Home)) {
    const Result<OwnerRecord> Owner = decodeOwner(value(Home).Value);
    HomeEpoch = ok(Owner) ? value(Owner).Epoch : 0;
  } else {
    // Owners cannot change while the store is unavailable, so the last known owner is current.
    const CellViewPtr View = Tools.Watch.view();
    const auto Known = View->Owners.find(Request.home());
    HomeEpoch = Known == View->Owners.end() ? 0 : Known->second.Epoch;
  }
  auto Waiter = std::make_shared<DurableWaiter>(Tools.Where);
  {
    std::lock_guard Lock(Mutex);
    if (HomeEpoch != Request.home_epoch() || Draining || !mayModifyState()) {
      Reply.set_not_owner(true);
      co_return Reply;
    }
    releaseHeldCapacity(State, Request.spec().id());
    execute(adoptTasks(State, Request, Tools.Time.Now()), callbackAcceptingWitnessed(Waiter));
  }
  if (mayAct())
    tick();
  const auto Value = co_await waitFor(Waiter);
  Reply.set_adopted(Value == Durability::Stored || Value == Durability::Witnessed);
  co_return Reply;
}

Awaitable<wire::ReportReply> ShardRunner::onReportReceived(wire::ReportRequest Request) {
  wire::ReportReply Reply;
  auto Waiter = std::make_shared<DurableWaiter>(Tools.Where);
  {
    std::lock_guard Lock(Mutex);
    if (!mayModifyState())
      co_return Reply; // the sender reports again, to the next owner
    // The sender drops tasks once they are acknowledged, so acknowledge only what is stored.
    execute(onReport(State, Request, Tools.Time.Now(), Tools.Time.Wall()), callbackOf(Waiter));
  }
  Reply.set_recorded(co_await waitFor(Waiter) == Durability::Stored);
  co_return Reply;
}

Awaitable<wire::CancelReply> ShardRunner::onCancel(wire::CancelRequest Request) {
  std::vector<TaskKey> Keys;
  for (const wire::TaskKey &Key : Request.key())
    Keys.push_back({Key.job(), Key.index()});
  wire::CancelReply Reply;
  {
    std::lock_guard Lock(Mutex);
    if (!mayModifyState())
      co_return Reply; // the home shard retries
    execute(onCancelTasks(State, Keys, Tools.Time.Wall()));
  }
  Reply.set_done(true);
  co_return Reply;
}

wire::HoldReply ShardRunner::onHold(const wire::HoldRequest &Request) {
  wire::HoldReply Reply;
  std::lock_guard Lock(Mutex);
  if (!mayModifyState())
    return Reply;
  releaseHeldCapacity(State, Request.spec().id());
  if (Request.release() || Draining)
    return Reply;
  Reply.set_held(holdCapacity(State, specFromWire(Request.spec()), Request.count(), *Tools.Config(),
                              Tools.Time.Now() + Milliseconds(Request.valid_ms())));
  return Reply;
}

// Places all tasks of a gang at once: holds capacity on one shard after another, and lends the
// tasks only if the holds cover all of them. Holds expire, so two gangs cannot deadlock.
Awaitable<void> ShardRunner::placeGang(Self This, std::string Job) {
  SpecPtr Spec;
  {
    std::lock_guard Lock(This->Mutex);
    const auto Found = This->State.Jobs.find(Job);
    if (Found != This->State.Jobs.end())
      Spec = Found->second.Spec;
  }
  std::vector<std::pair<uint32_t, uint32_t>> Held;
  uint32_t Left = Spec ? Spec->Count : 0;
  const std::vector<uint32_t> Capable =
      Spec ? This->Tools.Directory.capableShards(*Spec) : std::vector<uint32_t>{};
  for (const uint32_t Other : Capable) {
    if (Left == 0)
      break;
    wire::HoldRequest Request;
    Request.set_shard(Other);
    *Request.mutable_spec() = specToWire(*Spec);
    Request.set_count(Left);
    Request.set_valid_ms(HoldDuration.count());
    const Endpoint To = This->ownerOf(Other);
    if (To.Port == 0)
      continue;
    Result<wire::HoldReply> Reply = co_await This->Tools.Peers.Hold(To, std::move(Request));
    if (!ok(Reply) || value(Reply).held() == 0)
      continue;
    Held.emplace_back(Other, std::min(Left, value(Reply).held()));
    Left -= Held.back().second;
  }
  const bool Enough = Spec && Left == 0 && This->mayAct();
  if (Enough) {
    std::lock_guard Lock(This->Mutex);
    if (!This->mayModifyState())
      co_return;
    const auto Chosen = [&](const JobSpec &Other, uint32_t Count) {
      const bool Whole = Other.Id == Job && Count == Other.Count;
      return Whole ? Held : std::vector<std::pair<uint32_t, uint32_t>>{};
    };
    This->execute(lendOne(This->State, Job, Chosen, This->Tools.Time.Now()));
  }
  for (const auto &[Other, Count] : Held) {
    if (Enough)
      break;
    wire::HoldRequest Release;
    Release.set_shard(Other);
    *Release.mutable_spec() = specToWire(*Spec);
    Release.set_release(true);
    co_await This->Tools.Peers.Hold(This->ownerOf(Other), std::move(Release));
  }
  std::lock_guard Lock(This->Mutex);
  This->GangsInPlacement.erase(Job);
}

} // namespace valveshelf
