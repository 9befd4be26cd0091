// SPDX-License-Identifier: Apache-2.0
// Stand-in for the users' platform, written from its published pages: the key-value store with
// transactions, leases and watches, workers, and the advice service. One process, one thread. It
// judges every start by its own records; `GET /verdict` tells what it found.
#include "standin.h"
#include "standins/task_rules.h"
#include "standins/worker_model.h"
#include "valveshelf/steady_timer.h"

#include "platform/json_fields.h"

#include <boost/beast/core/detail/base64.hpp>

#include <cmath>
#include <iostream>
#include <limits>
#include <set>

namespace standins {
namespace asio = boost::asio;
using namespace valveshelf::sched;
using valveshelf::standins::RunPlan;
using valveshelf::standins::TaskHistory;
using valveshelf::standins::TaskRules;
using valveshelf::standins::WorkerModel;

namespace {
constexpr size_t MaxRows = 32;
constexpr Milliseconds ModelStep{5};
constexpr Milliseconds ListEvery{500};
// A task that crashes its worker does it so long after its start; the worker is back after a while.
constexpr Milliseconds CrashAfter{10};
constexpr Milliseconds BackAfter{1200};
// A worker that starts again under its id writes its entry so long afterwards.
constexpr Milliseconds EntryAfter{300};
// Calls to a worker that is late are carried out after so long, and get no answer.
constexpr Milliseconds LateBy{1500};
// The platform does not close idle connections.
constexpr Milliseconds IdleConnectionsKept{std::chrono::minutes(10)};
// The operators' rule on such tasks: starts that are too many after so many crashes.
constexpr int CrashesAllowed = 3;
constexpr int StartsTooMany = 3;
// So many crashes under a task allow its job to be given up.
constexpr int CrashesForGivingUp = 2;
// That a zone is to be left empty has to be heard of within this time.
constexpr Milliseconds EmptyHeardWithin{1000};
// That a capacity has shrunk has to be heard of within this time: a time out and a check-in.
constexpr Milliseconds ShrunkHeardWithin{4500};
constexpr Resources WholeCapacity{16000, 32768, 0};
constexpr Resources SmallCapacity{8000, 16384, 0};
// Ids of entries that another writer has put among those of workers.
constexpr std::string_view ForeignPrefix = "x-";

std::string base64Of(std::string_view Bytes) {
  namespace base64 = boost::beast::detail::base64;
  std::string Text(base64::encoded_size(Bytes.size()), '\0');
  Text.resize(base64::encode(Text.data(), Bytes.data(), Bytes.size()));
  return Text;
}

json::object parsed(const std::string &Body) {
  json::error_code Failure;
  json::value Root = json::parse(Body, Failure);
  return Failure || !Root.is_object() ? json::object() : Root.as_object();
}
int64_t numberOf(const json::object &From, std::string_view Key, int64_t Default = 0) {
  const json::value *Found = From.if_contains(Key);
  return Found && Found->is_number() ? Found->to_number<int64_t>() : Default;
}
std::string textOf(const json::object &From, std::string_view Key) {
  const json::value *Found = From.if_contains(Key);
  return Found && Found->is_string() ? std::string(Found->as_string()) : std::string();
}
const json::array &rowsOf(const json::object &From, std::string_view Key) {
  static const json::array Empty;
  const json::value *Found = From.if_contains(Key);
  return Found && Found->is_array() ? Found->as_array() : Empty;
}

// The key-value store.

struct Item {
  std::string Value; ///< As sent, in base64.
  uint64_t Revision = 0;
  uint64_t Made = 0;
  uint64_t Lease = 0;
};

class KeyStore {
public:
  explicit KeyStore(asio::io_context &Io) : Io(Io), Changed(Io, TimePoint::max()) {}

  bool Down = false;       ///< Every call is refused with 503.
  int64_t LoseAnswers = 0; ///< So many transactions are done and not answered.
  int64_t LoseRemoves = 0; ///< The same, of those that remove keys.
  int64_t LateWrites = 0;  ///< So many transactions are done after LateBy and not answered,
  std::string LateText;    ///< and all whose body has this text; empty: none.
  Milliseconds LateBy{0};
  int64_t Calls = 0;

  Awaitable<HttpResponse> handle(Call Made) {
    ++Calls;
    if (Down)
      co_return answer(503, json::object());
    if (Made.Path == "/api/kv-watch")
      co_return co_await watch(Made);
    if (Made.Path == "/api/kv-key")
      co_return get(Made);
    if (Made.Path == "/api/kv-range")
      co_return range(Made);
    if (Made.Path == "/api/kv-txn" && isLate(Made.Body)) {
      asio::co_spawn(Io, commitLate(Made.Body, LateBy), asio::detached);
      co_return HttpResponse{0, {}, ""};
    }
    if (Made.Path == "/api/kv-txn")
      co_return commit(parsed(Made.Body));
    if (Made.Path == "/api/kv-lease")
      co_return grant(numberOf(parsed(Made.Body), "ttl_ms"));
    if (Made.Path.starts_with("/api/kv-keep/"))
      co_return keep(std::stoull(Made.Path.substr(13)));
    if (Made.Path.starts_with("/api/kv-lease-end/")) {
      endLease(std::stoull(Made.Path.substr(18)));
      co_return answer(200, json::object());
    }
    co_return answer(404, json::object());
  }

  void put(const std::string &Key, std::string Value, uint64_t Lease) {
    Item &Row = Items[Key];
    Row.Value = std::move(Value);
    Row.Revision = nextRevision();
    if (Row.Made == 0)
      Row.Made = Revision;
    Row.Lease = Lease;
    History.emplace_back(Key, describe(Key, Row));
    Changed.cancel();
  }
  void remove(const std::string &Key) {
    if (Items.erase(Key) == 0)
      return;
    History.emplace_back(
        Key, json::object{{"private_key", Key}, {"revision", nextRevision()}, {"gone", true}});
    Changed.cancel();
  }
  const Item *find(const std::string &Key) const {
    const auto Found = Items.find(Key);
    return Found == Items.end() ? nullptr : &Found->second;
  }
  void expire() {
    const TimePoint Now = Steady::now();
    std::vector<uint64_t> Over;
    for (const auto &[Id, L] : Leases)
      if (L.second < Now)
        Over.push_back(Id);
    for (const uint64_t Id : Over)
      endLease(Id);
  }

private:
  bool isLate(const std::string &Body) {
    if (!LateText.empty() && Body.find(LateText) != std::string::npos)
      return true;
    return LateWrites > 0 && LateWrites-- > 0;
  }
  Awaitable<void> commitLate(std::string Body, Milliseconds After) {
    SteadyTimer Timer(Io, After);
    co_await Timer.async_wait(asio::as_tuple(asio::use_awaitable));
    while (Down) {
      Timer.expires_after(After);
      co_await Timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    commit(parsed(Body));
  }
  // All rows of a transaction share its revision.
  uint64_t nextRevision() { return InTransaction ? Revision : ++Revision; }
  static json::object describe(const std::string &Key, const Item &Row) {
    return {{"private_key", Key},
            {"value", Row.Value},
            {"revision", Row.Revision},
            {"made", Row.Made},
            {"lease", Row.Lease}};
  }
  HttpResponse get(const Call &Made) {
    const std::string Key = queryParameter(Made.Target, "private_key").value_or("");
    const Item *Row = find(Key);
    if (!Row)
      return answer(404, json::object());
    json::object Body = describe(Key, *Row);
    Body["at"] = Revision;
    return answer(200, Body);
  }
  HttpResponse range(const Call &Made) {
    const std::string Prefix = queryParameter(Made.Target, "path_prefix").value_or("");
    json::array Rows;
    for (const auto &[Key, Row] : Items)
      if (Key.starts_with(Prefix))
        Rows.push_back(describe(Key, Row));
    return answer(200, json::object{{"items", Rows}, {"more", false}, {"at", Revision}});
  }
  Awaitable<HttpResponse> watch(const Call &Made) {
    const std::string Prefix = queryParameter(Made.Target, "path_prefix").value_or("");
    const uint64_t After = std::stoull(queryParameter(Made.Target, "after_revision").value_or("0"));
    const Milliseconds Wait(std::stoll(queryParameter(Made.Target, "wait_ms").value_or("0")));
    const TimePoint Until = Steady::now() + Wait;
    while (true) {
      json::array Events;
      for (const auto &[Key, Event] : History)
        if (Event.at("revision").to_number<uint64_t>() > After && Key.starts_with(Prefix))
          Events.push_back(Event);
      if (!Events.empty() || Steady::now() >= Until || Down)
        co_return answer(200, json::object{{"events", Events}, {"at", Revision}});
      SteadyTimer Look(co_await asio::this_coro::executor, Milliseconds(3));
      co_await Look.async_wait(asio::as_tuple(asio::use_awaitable));
    }
  }
  HttpResponse commit(const json::object &Body) {
    const json::array &Conditions = rowsOf(Body, "expected_revision");
    const json::array &Puts = rowsOf(Body, "put");
    const json::array &Removes = rowsOf(Body, "remove");
    if (Conditions.size() + Puts.size() + Removes.size() > MaxRows)
      return answer(400, json::object{{"error", "too many rows"}});
    json::array Standing;
    bool Holds = true;
    for (const json::value &Row : Conditions) {
      const std::string Key = textOf(Row.as_object(), "private_key");
      const Item *There = find(Key);
      const uint64_t Now = There ? There->Revision : 0;
      Holds = Holds && static_cast<int64_t>(Now) == numberOf(Row.as_object(), "revision");
      if (There)
        Standing.push_back(describe(Key, *There));
    }
    if (!Holds)
      return answer(412, json::object{{"items", Standing}});
    for (const json::value &Row : Puts) {
      const auto Lease = static_cast<uint64_t>(numberOf(Row.as_object(), "lease"));
      if (Lease != 0 && !Leases.count(Lease))
        return answer(404, json::object());
    }
    ++Revision;
    InTransaction = true;
    for (const json::value &Row : Puts)
      put(textOf(Row.as_object(), "private_key"), textOf(Row.as_object(), "value"),
          static_cast<uint64_t>(numberOf(Row.as_object(), "lease")));
    for (const json::value &Key : Removes)
      remove(std::string(Key.as_string()));
    InTransaction = false;
    if (!Removes.empty() && LoseRemoves > 0) {
      --LoseRemoves;
      return {0, {}, ""};
    }
    if (LoseAnswers > 0) {
      --LoseAnswers;
      return {0, {}, ""}; // no answer
    }
    return answer(200, json::object{{"revision", Revision}});
  }
  HttpResponse grant(int64_t Life) {
    const uint64_t Id = ++LastLease;
    Leases[Id] = {Milliseconds(Life), Steady::now() + Milliseconds(Life)};
    return answer(200, json::object{{"lease", Id}, {"ttl_ms", Life}});
  }
  HttpResponse keep(uint64_t Id) {
    const auto Found = Leases.find(Id);
    if (Found == Leases.end())
      return answer(404, json::object());
    Found->second.second = Steady::now() + Found->second.first;
    return answer(200, json::object{{"ttl_ms", Found->second.first.count()}});
  }
  void endLease(uint64_t Id) {
    Leases.erase(Id);
    std::vector<std::string> Gone;
    for (const auto &[Key, Row] : Items)
      if (Row.Lease == Id)
        Gone.push_back(Key);
    for (const std::string &Key : Gone)
      remove(Key);
  }

  asio::io_context &Io;
  std::map<std::string, Item> Items;
  std::vector<std::pair<std::string, json::object>> History;
  std::map<uint64_t, std::pair<Milliseconds, TimePoint>> Leases;
  uint64_t Revision = 0;
  uint64_t LastLease = 0;
  bool InTransaction = false;
  SteadyTimer Changed;
};

// Workers and the advice service.

struct Seat {
  WorkerModel Model;
  WallTime Born{}; ///< Tells the lives of the worker apart.
  std::string Address;
  std::string Service;
  std::string Rack;
  std::string Zone;
  Resources Capacity;
  Resources Before;         ///< It counts as the capacity
  TimePoint BeforeCounts{}; ///< until then.
  bool Dead = false;        ///< It answers nothing.
  bool Crashed = false;     ///< By a task: its connections end at once. It is dead as well.
  bool Mute = false;        ///< It carries orders out and answers nothing.
  bool Late = false;        ///< It carries orders out late and answers nothing.
  bool Draining = false;
  /// Calls with other fencing tokens don't reach it: it is on one side of a partition.
  uint64_t LeastToken = 0;
  uint64_t MostToken = std::numeric_limits<uint64_t>::max();
  double Slowness = 1;  ///< Factor on the time that its runs take.
  TimePoint LapsedAt{}; ///< When its lease was last found to have lapsed.
  std::map<RunKey, Resources> Needs;
};

class Pool {
public:
  /// \p FirstPort: that the list of workers gives for the first one. The last \p OfOtherService are
  /// of a service of their own.
  Pool(asio::io_context &Io, KeyStore &Store, const std::string &Host, int FirstPort, int Count,
       int OfOtherService)
      : Io(Io), Store(Store), Begun(Steady::now()) {
    for (int I = 0; I < Count; ++I) {
      auto Made = std::make_shared<Seat>();
      Made->Address = Host + ":" + std::to_string(FirstPort + I);
      Made->Service = I < Count - OfOtherService ? "pool" : "pool2";
      Made->Rack = "r" + std::to_string(I / 3);
      Made->Zone = "z" + std::to_string(1 + I % 2);
      Made->Capacity = WholeCapacity;
      beginLife(*Made);
      Seats.push_back(Made);
    }
  }

  std::vector<std::shared_ptr<Seat>> Seats;
  std::vector<std::string> Breaks;
  std::set<JobId> StartedJobs;
  int64_t Starts = 0;
  int64_t Advised = 0;
  int64_t Crashes = 0;                                    ///< By tasks.
  int64_t Restarts = 0;                                   ///< Lives that began under a known id.
  std::map<valveshelf::sched::TaskKey, int> CrashesUnder; ///< Whoever was to blame.
  int64_t LongRunOneIn = 0;                               ///< 0: no run takes longer.
  int64_t LongRunTimes = 1;                               ///< How many times as long.
  int64_t Copies = 0; ///< Starts of speculative tasks beside another run.

  /// By job with lasting tasks: for how long the one that was away longest has been.
  std::map<JobId, Milliseconds> lastingAway() const {
    std::map<JobId, Milliseconds> Away;
    for (const auto &[Task, At] : LastRunAt) {
      Milliseconds &Longest = Away[Task.Step.Job];
      Longest = std::max(Longest, std::chrono::duration_cast<Milliseconds>(Steady::now() - At));
    }
    return Away;
  }

  /// Notes that callers were shown the job as completed.
  void showCompleted(JobId Id) { ShownCompleted.try_emplace(Id, Steady::now()); }

  void resize(Seat &Of, const Resources &Capacity) {
    const bool CountsStill = Steady::now() < Of.BeforeCounts;
    Of.Before = CountsStill ? componentMax(Of.Before, Of.Capacity) : Of.Capacity;
    Of.BeforeCounts = Steady::now() + ShrunkHeardWithin;
    Of.Capacity = Capacity;
    if (!Of.Dead)
      list(Of);
  }

  // Operators want the zone empty, or take that back.
  void evacuate(const std::string &Zone, bool Begins) {
    const std::string Key = "op/evacuate/" + Zone;
    if (Begins) {
      Store.put(Key, base64Of("{}"), 0);
      EmptySince[Zone] = Steady::now();
    } else {
      Store.remove(Key);
      EmptySince.erase(Zone);
    }
  }

  // Entries that name no worker to use, at the address of one; `handle` sees a call meant for them.
  void addForeignEntries() {
    const std::string Address = Seats.front()->Address;
    const json::object Whole{{"service", "pool"},
                             {"address", Address},
                             {"zone", "z1"},
                             {"version", "v1"},
                             {"state", "ready"},
                             {"capacity", json::object{{"cpu", 16000}, {"mem_mb", 32768}}},
                             {"labels", json::array{"a", "r0"}}};
    const auto Put = [&](const char *Name, const json::value &Value) {
      Store.put("servers/" + std::string(ForeignPrefix) + Name, base64Of(json::serialize(Value)),
                0);
    };
    const auto With = [&](std::string_view Key, json::value Value) {
      json::object Changed = Whole;
      Changed[Key] = std::move(Value);
      return Changed;
    };
    Put("state", With("state", "asleep"));
    Put("service", With("service", "elsewhere"));
    Put("capacity", With("capacity", "much"));
    Put("address", With("address", 7));
    Put("nothing", json::object());
    Put("list", json::array{1, 2});
    Store.put("servers/" + std::string(ForeignPrefix) + "bytes", base64Of("\xff\xfe{"), 0);
  }

  // Everything on the worker dies; the other members of its gangs end.
  void loseRuns(Seat &Of) {
    std::vector<RunKey> Lost;
    for (const auto &[Key, What] : Of.Model.Runs) {
      Lost.push_back(Key);
      ++CrashesUnder[Key.Task];
    }
    Of.Model.Runs.clear();
    for (const RunKey &Run : Lost)
      ended(Run, RunOutcome::GangBroken);
  }

  // A life of the worker: empty, with a new id.
  void beginLife(Seat &Of) {
    if (!Of.Model.Id.empty())
      Store.remove("servers/" + Of.Model.Id);
    Of.Model = WorkerModel();
    Of.Model.Id = "i-" + std::to_string(++LastLife);
    Of.Model.Now = Milliseconds(1000 * LastLife);
    fillLife(Of);
    list(Of);
  }

  // A life under the id of the one before, whose entry stays in the list until the new one is
  // written. Calls on their way reach the new life.
  void restart(Seat &Of) {
    const std::string Id = Of.Model.Id;
    Of.Model = WorkerModel();
    Of.Model.Id = Id;
    fillLife(Of);
    ++Restarts;
    asio::co_spawn(Io, listSoon(Of, Of.Born), asio::detached);
  }

  Awaitable<void> listSoon(Seat &Of, WallTime Born) {
    SteadyTimer Timer(Io, EntryAfter);
    co_await Timer.async_wait(asio::as_tuple(asio::use_awaitable));
    if (Of.Born == Born && !Of.Dead)
      list(Of);
  }

  void fillLife(Seat &Of) {
    Of.Born = std::max(wallNow(), Of.Born + Milliseconds(1));
    Of.Model.LongestLease = Milliseconds(6000);
    Seat *Raw = &Of;
    Of.Model.PlanOf = [this, Raw](const RunKey &Run) { return planOf(*Raw, Run); };
    Of.Model.OnStart = [this, Raw](const RunKey &Run) { judge(*Raw, Run); };
    Of.Model.OnEnd = [this](const RunKey &Run, RunOutcome How) { ended(Run, How); };
    Of.Needs.clear();
    Of.Dead = Of.Crashed = Of.Mute = Of.Late = false;
  }

  void list(const Seat &Of) {
    const json::object Entry{{"service", Of.Service},
                             {"address", Of.Address},
                             {"zone", Of.Zone},
                             {"version", "v1"},
                             {"state", Of.Draining ? "draining" : "ready"},
                             {"machine", "m-" + Of.Address},
                             {"born", Of.Born.time_since_epoch().count()},
                             {"capacity", json::object{{"cpu", Of.Capacity.MilliCores},
                                                       {"mem_mb", Of.Capacity.MemoryMb},
                                                       {"gpu", 0}}},
                             {"labels", json::array{"a", Of.Rack}}};
    Store.put("servers/" + Of.Model.Id, base64Of(json::serialize(Entry)), 0);
  }

  Awaitable<void> run() {
    TimePoint Last = Steady::now();
    while (true) {
      SteadyTimer Timer(Io, ModelStep);
      co_await Timer.async_wait(asio::as_tuple(asio::use_awaitable));
      const TimePoint Now = Steady::now();
      const auto Passed = std::chrono::duration_cast<Milliseconds>(Now - Last);
      Last += Passed;
      for (const auto &One : Seats) {
        if (One->Dead)
          continue;
        One->Model.advance(One->Model.Now + Passed);
        if (One->Model.Now > One->Model.LeaseUntil)
          One->LapsedAt = Now;
        for (const auto &[Run, What] : One->Model.Runs)
          if (const auto Task = LastRunAt.find(Run.Task); Task != LastRunAt.end())
            Task->second = Now;
      }
      Store.expire();
    }
  }

  Awaitable<HttpResponse> handle(std::shared_ptr<Seat> To, Call Made) {
    if (To->Dead)
      co_return HttpResponse{0, {}, ""};
    const auto Meant = findHeader(Made.Headers, "Valveshelf-Expect-Instance");
    if (Meant.starts_with(ForeignPrefix))
      Breaks.push_back("a call to an entry of another writer: " + std::string(Meant));
    if (Meant != To->Model.Id)
      co_return answer(421, json::object());
    const json::object Body = parsed(Made.Body);
    const auto Token = static_cast<uint64_t>(numberOf(Body, "fencing_token"));
    if (Token < To->LeastToken || Token > To->MostToken)
      co_return HttpResponse{0, {}, ""};
    const bool IsLate = To->Late;
    if (IsLate) {
      SteadyTimer Timer(Io, LateBy);
      co_await Timer.async_wait(asio::as_tuple(asio::use_awaitable));
      if (To->Dead || Meant != To->Model.Id)
        co_return HttpResponse{0, {}, ""};
    }
    HttpResponse Answer = answer(404, json::object());
    if (Made.Path == "/api/run-start")
      Answer = start(*To, Body);
    else if (Made.Path == "/api/run-stop")
      Answer = stop(*To, Body);
    else if (Made.Path == "/api/hold")
      Answer = co_await hold(To, Body);
    if (To->Mute || To->Dead || IsLate)
      co_return HttpResponse{0, {}, ""};
    co_return Answer;
  }

  Awaitable<HttpResponse> advise(Call Made) {
    const json::object Body = parsed(Made.Body);
    json::array Good;
    for (const json::value &Worker : rowsOf(Body, "workers"))
      if (std::hash<std::string>()(textOf(Body, "phase") + std::string(Worker.as_string())) % 10 <
          7)
        Good.push_back(json::array{Worker, "t-" + std::to_string(++Advised)});
    SteadyTimer Thinks(Io, Milliseconds(5));
    co_await Thinks.async_wait(asio::as_tuple(asio::use_awaitable));
    co_return answer(200, json::object{{"good", Good}, {"valid_ms", 1500}});
  }

private:
  struct Known {
    Resources Need;
    uint32_t Count = 1;
    bool Gang = false;
    bool CrashesWorkers = false;
    int64_t FailingRuns = 0; ///< So many runs of each task fail.
    bool Lasting = false;
    int64_t LastingEnds = 0; ///< How runs of lasting tasks end: `EndsDone` and so on.
    TaskRules Rules;
    Milliseconds Work{100};
    std::vector<uint32_t> After;
  };

  // How the runs of lasting tasks end, when their work is done: not at all, done, failed, or in
  // each of these ways.
  static constexpr int64_t EndsDone = 1;
  static constexpr int64_t EndsFailed = 2;
  static constexpr int64_t EndsInEachWay = 3;

  // The spec of a job here is its steps, as `count cpu mem_mb gang work_ms after crashes fails
  // speculative max_attempts long_running ends` rows of JSON.
  const Known *knownStep(const StepKey &Key) const {
    const auto Found = Jobs.find(Key.Job);
    return Found == Jobs.end() || Key.Step >= Found->second.size() ? nullptr
                                                                   : &Found->second[Key.Step];
  }
  void learn(JobId Id, const std::string &Spec) {
    if (Jobs.count(Id))
      return;
    json::error_code Failure;
    const json::value Root = json::parse(Spec, Failure);
    if (Failure || !Root.is_array())
      return;
    for (const json::value &Row : Root.as_array()) {
      const json::object &Step = Row.as_object();
      Known Read;
      Read.Need = {numberOf(Step, "cpu"), numberOf(Step, "mem_mb"), 0};
      Read.Count = static_cast<uint32_t>(numberOf(Step, "count", 1));
      Read.Gang = numberOf(Step, "gang") != 0;
      Read.CrashesWorkers = numberOf(Step, "crashes") != 0;
      Read.FailingRuns = numberOf(Step, "fails");
      Read.Rules = {numberOf(Step, "speculative") != 0,
                    static_cast<uint32_t>(numberOf(Step, "max_attempts")),
                    numberOf(Step, "long_running") != 0};
      Read.Lasting = Read.Rules.Lasting;
      Read.LastingEnds = numberOf(Step, "ends");
      Read.Work = Milliseconds(numberOf(Step, "work_ms", 100));
      for (const json::value &Earlier : rowsOf(Step, "after"))
        Read.After.push_back(Earlier.to_number<uint32_t>());
      if (Read.Lasting)
        for (uint32_t I = 0; I < Read.Count; ++I)
          LastRunAt[{{Id, 0, static_cast<uint32_t>(Jobs[Id].size())}, I}] = Steady::now();
      Jobs[Id].push_back(Read);
    }
  }
  RunPlan planOf(const Seat &On, const RunKey &Run) {
    const Known *Step = knownStep(Run.Task.Step);
    RunPlan Plan;
    if (!Step)
      return Plan;
    const std::string Text = toString(Run.Task) + "#" + std::to_string(Run.Run);
    const bool IsLong = LongRunOneIn > 0 &&
                        std::hash<std::string>()(Text) % static_cast<uint64_t>(LongRunOneIn) == 0;
    const double Factor = On.Slowness * static_cast<double>(IsLong ? LongRunTimes : 1);
    Plan.Work = Milliseconds(std::llround(static_cast<double>(Step->Work.count()) * Factor));
    Plan.Fails = ++RunsBegun[Run.Task] <= Step->FailingRuns;
    Plan.GangSize = Step->Gang ? Step->Count : 0;
    if (Step->Lasting) {
      const int64_t Way = Step->LastingEnds == EndsInEachWay
                              ? static_cast<int64_t>(std::hash<std::string>()(Text) % EndsInEachWay)
                              : Step->LastingEnds;
      Plan.Fails = Way == EndsFailed;
      Plan.Lasting = Way != EndsDone && Way != EndsFailed;
    }
    return Plan;
  }

  void broken(const std::string &Rule, const RunKey &Run) {
    Breaks.push_back(Rule + ": " + toString(Run.Task) + " run " + std::to_string(Run.Run));
    std::cerr << "broken: " << Breaks.back() << "\n";
  }

  void judge(Seat &On, const RunKey &Run) {
    ++Starts;
    StartedJobs.insert(Run.Task.Step.Job);
    const Known *Step = knownStep(Run.Task.Step);
    if (!Step)
      return broken("unknown job", Run);
    if (Step->Lasting)
      LastRunAt[Run.Task] = Steady::now();
    const auto Empty = EmptySince.find(On.Zone);
    if (Empty != EmptySince.end() && Steady::now() - Empty->second > EmptyHeardWithin)
      broken("started in a zone that is to be left empty", Run);
    Resources Sum;
    for (const auto &[Key, What] : On.Model.Runs)
      if (const Known *Other = knownStep(Key.Task.Step))
        Sum += Other->Need;
    if (!fits(Sum, On.Capacity) && !(Steady::now() < On.BeforeCounts && fits(Sum, On.Before)))
      broken("worker over-full", Run);
    judgeByRules(On, Run, Step->Rules);
    for (const uint32_t Earlier : Step->After)
      for (uint32_t I = 0; I < Jobs[Run.Task.Step.Job][Earlier].Count; ++I)
        if (!Done.count({{Run.Task.Step.Job, Run.Task.Step.Round, Earlier}, I}))
          broken("step before its predecessor", Run);
    if (CrashesBy[Run.Task] >= CrashesAllowed && ++StartsAfter[Run.Task] >= StartsTooMany)
      broken("started too often after the crashes of its workers", Run);
    if (Step->CrashesWorkers)
      asio::co_spawn(Io, crashSoon(On, On.Born, Run), asio::detached);
    if (Step->Gang)
      wakeGang(Run, Step->Count);
  }

  void judgeByRules(const Seat &On, const RunKey &Run, const TaskRules &Rules) {
    valveshelf::standins::OtherRuns Others;
    for (const auto &Other : Seats)
      for (const auto &[Key, What] : Other->Model.Runs)
        if (!Other->Dead && Key.Task == Run.Task && (Other.get() != &On || Key.Run != Run.Run))
          ++(Other.get() == &On ? Others.OnThisWorker : Others.OnOtherWorkers);
    Copies += Rules.Speculative && Others.OnOtherWorkers > 0 ? 1 : 0;
    TaskHistory Past = Histories[Run.Task];
    const auto Shown = ShownCompleted.find(Run.Task.Step.Job);
    if (Shown != ShownCompleted.end())
      Past.CompletedShownAt = Shown->second;
    Histories[Run.Task].StartedRuns[Run.Run] = Steady::now();
    for (const std::string_view Rule :
         valveshelf::standins::violationsOfStart(Rules, Past, Others, Steady::now()))
      broken(std::string(Rule), Run);
  }

  Awaitable<void> crashSoon(Seat &On, WallTime Life, RunKey By) {
    SteadyTimer Timer(Io, CrashAfter);
    co_await Timer.async_wait(asio::as_tuple(asio::use_awaitable));
    if (On.Dead || On.Born != Life || !On.Model.Runs.count(By))
      co_return;
    ++Crashes;
    ++CrashesBy[By.Task];
    loseRuns(On);
    On.Dead = On.Crashed = true;
    Timer.expires_after(BackAfter);
    co_await Timer.async_wait(asio::as_tuple(asio::use_awaitable));
    if (On.Dead && On.Born == Life && Crashes % 2 == 0)
      restart(On);
    else if (On.Dead && On.Born == Life)
      beginLife(On);
  }

  void wakeGang(const RunKey &Run, uint32_t Size) {
    std::vector<WorkerModel::Run *> Members;
    for (const auto &Other : Seats)
      for (auto &[Key, What] : Other->Model.Runs)
        if (!Other->Dead && Key.Task.Step == Run.Task.Step && Key.Run == Run.Run) {
          What.WorksSince = Other->Model.Now;
          Members.push_back(&What);
        }
    for (WorkerModel::Run *Member : Members)
      Member->Works = Members.size() >= Size;
  }

  void ended(const RunKey &Run, RunOutcome How) {
    const Known *Step = knownStep(Run.Task.Step);
    if (!Step)
      return;
    if (How == RunOutcome::Done)
      for (uint32_t I = 0; I < Step->Count; ++I)
        if (Step->Gang || I == Run.Task.Index) {
          Done.insert({Run.Task.Step, I});
          Histories[{Run.Task.Step, I}].DoneRuns.try_emplace(Run.Run, Steady::now());
        }
    if (!Step->Gang)
      return;
    asio::post(Io, [this, Run, How] {
      for (const auto &Other : Seats) {
        std::vector<RunKey> Mates;
        for (const auto &[Key, What] : Other->Model.Runs)
          if (Key.Task.Step == Run.Task.Step && Key.Run == Run.Run)
            Mates.push_back(Key);
        for (const RunKey &Mate : Mates)
          Other->Model.end(Mate,
                           How == RunOutcome::Done ? RunOutcome::Done : RunOutcome::GangBroken);
      }
    });
  }

  static std::optional<RunKey> runOf(const json::object &Body) {
    const auto Task = parseTaskKey(textOf(Body, "task"));
    if (!Task)
      return std::nullopt;
    return RunKey{*Task, static_cast<uint32_t>(numberOf(Body, "run_id"))};
  }

  HttpResponse start(Seat &To, const json::object &Body) {
    const auto Run = runOf(Body);
    if (!Run)
      return answer(400, json::object{{"clock_ms", To.Model.Now.count()}});
    learn(Run->Task.Step.Job, textOf(Body, "spec"));
    const StartResult What =
        To.Model.start({*Run, static_cast<uint64_t>(numberOf(Body, "fencing_token")),
                        Milliseconds(numberOf(Body, "until_ms")), textOf(Body, "checkpoint")});
    const json::object Clock{{"clock_ms", To.Model.Now.count()}};
    if (What == StartResult::Started)
      return answer(200, Clock);
    json::object Refusal = Clock;
    Refusal["reason"] = What == StartResult::RefusedFence     ? "fence"
                        : What == StartResult::RefusedExpired ? "late"
                                                              : "old";
    return answer(409, Refusal);
  }

  HttpResponse stop(Seat &To, const json::object &Body) {
    const auto Run = runOf(Body);
    json::object Answer{{"clock_ms", To.Model.Now.count()}};
    if (!Run)
      return answer(400, Answer);
    if (To.Model.stop(*Run, static_cast<uint64_t>(numberOf(Body, "fencing_token"))))
      return answer(200, Answer);
    Answer["reason"] = "fence";
    return answer(409, Answer);
  }

  Awaitable<HttpResponse> hold(std::shared_ptr<Seat> To, json::object Body) {
    const auto Fence = static_cast<uint64_t>(numberOf(Body, "fencing_token"));
    const auto Forget = static_cast<uint64_t>(numberOf(Body, "last_seen"));
    std::optional<Milliseconds> Until;
    if (Body.contains("until_ms"))
      Until = Milliseconds(numberOf(Body, "until_ms"));
    const TimePoint Limit = Steady::now() + Milliseconds(numberOf(Body, "wait_ms"));
    const WallTime Life = To->Born;
    noteForgotten(*To, Fence, Forget);
    auto Report = To->Model.hold(Fence, Forget, Until);
    while (Report && Report->Ended.empty() && Steady::now() < Limit && !To->Crashed) {
      SteadyTimer Look(Io, Milliseconds(4));
      co_await Look.async_wait(asio::as_tuple(asio::use_awaitable));
      if (To->Born != Life) // the last answer of a life that is over comes late
        break;
      Report = To->Model.hold(Fence, Forget, std::nullopt);
    }
    if (!Report)
      co_return answer(409, json::object{{"clock_ms", To->Model.Now.count()}, {"reason", "fence"}});
    json::array Active;
    for (const ActiveRun &Row : Report->Active)
      Active.push_back(
          json::array{toString(Row.Run.Task), Row.Run.Run, Row.Checkpoint, Row.Percent, 0});
    static constexpr const char *Ways[] = {"done",   "failed", "stopped",
                                           "lapsed", "broken", "alone"};
    json::array Ended;
    for (const EndedRun &End : Report->Ended)
      Ended.push_back(json::array{End.Number, toString(End.Run.Task), End.Run.Run,
                                  Ways[static_cast<int>(End.Outcome)], End.Checkpoint});
    co_return answer(200, json::object{{"clock_ms", Report->WorkerClock.count()},
                                       {"born", Life.time_since_epoch().count()},
                                       {"active", Active},
                                       {"ended_at", Ended}});
  }

  void noteForgotten(const Seat &On, uint64_t Fence, uint64_t Through) {
    if (Fence < On.Model.Fence)
      return;
    const TimePoint Now = Steady::now();
    for (const EndedRun &End : On.Model.Ended) {
      const Known *Step = knownStep(End.Run.Task.Step);
      if (End.Number > Through || !Step)
        continue;
      if (End.Outcome == RunOutcome::Failed && !Step->Gang)
        noteFailure(Histories[End.Run.Task], Step->Rules, End.Run.Run, Now);
      if (End.Outcome != RunOutcome::Done)
        continue;
      for (uint32_t I = 0; I < Step->Count; ++I)
        if (Step->Gang || I == End.Run.Task.Index)
          for (const uint32_t Late : noteDone(Histories[{End.Run.Task.Step, I}], Step->Rules,
                                              End.Run.Run, On.LapsedAt, Now))
            broken("started after an end that is noted", {{End.Run.Task.Step, I}, Late});
    }
  }

  asio::io_context &Io;
  KeyStore &Store;
  const TimePoint Begun;
  int LastLife = 0;
  std::map<std::string, TimePoint> EmptySince; ///< Zones to be left empty.
  std::map<JobId, std::vector<Known>> Jobs;
  std::set<valveshelf::sched::TaskKey> Done;
  std::map<valveshelf::sched::TaskKey, TaskHistory> Histories;
  std::map<JobId, TimePoint> ShownCompleted;
  std::map<valveshelf::sched::TaskKey, TimePoint> LastRunAt; ///< Of lasting tasks.
  std::map<valveshelf::sched::TaskKey, int64_t> RunsBegun;
  std::map<valveshelf::sched::TaskKey, int> CrashesBy;
  std::map<valveshelf::sched::TaskKey, int> StartsAfter; ///< Its third crash.
};

// The page by which a session makes trouble.
HttpResponse control(KeyStore &Store, Pool &Workers, const Call &Made) {
  const json::object Body = parsed(Made.Body);
  if (const json::value *Value = Body.if_contains("store_down"))
    Store.Down = Value->as_bool();
  if (Body.contains("lose_answers"))
    Store.LoseAnswers = numberOf(Body, "lose_answers");
  if (Body.contains("lose_removes"))
    Store.LoseRemoves = numberOf(Body, "lose_removes");
  if (Body.contains("late_writes"))
    Store.LateWrites = numberOf(Body, "late_writes");
  if (Body.contains("late_text"))
    Store.LateText = textOf(Body, "late_text");
  if (Body.contains("late_ms"))
    Store.LateBy = Milliseconds(numberOf(Body, "late_ms"));
  if (Body.contains("configuration"))
    Store.put("op/config", base64Of(json::serialize(Body.at("configuration"))), 0);
  if (Body.contains("evacuate"))
    Workers.evacuate(textOf(Body, "evacuate"), numberOf(Body, "begins", 1) != 0);
  if (Body.contains("foreign_entries"))
    Workers.addForeignEntries();
  if (Body.contains("capacity_of")) {
    Seat &Which = *Workers.Seats.at(static_cast<size_t>(numberOf(Body, "capacity_of")));
    Workers.resize(Which, textOf(Body, "becomes") == "small" ? SmallCapacity : WholeCapacity);
  }
  if (Body.contains("slow_worker"))
    Workers.Seats.at(static_cast<size_t>(numberOf(Body, "slow_worker")))->Slowness =
        std::max(1.0, static_cast<double>(numberOf(Body, "percent", 100)) / 100);
  if (Body.contains("long_runs_one_in")) {
    Workers.LongRunOneIn = numberOf(Body, "long_runs_one_in");
    Workers.LongRunTimes = numberOf(Body, "times", 1);
  }
  if (Body.contains("tokens_of")) {
    Seat &Which = *Workers.Seats.at(static_cast<size_t>(numberOf(Body, "tokens_of")));
    Which.LeastToken = static_cast<uint64_t>(numberOf(Body, "least", 0));
    Which.MostToken =
        static_cast<uint64_t>(numberOf(Body, "most", std::numeric_limits<int64_t>::max()));
  }
  for (const json::value &Id : rowsOf(Body, "shown_completed"))
    if (const auto Job = parseJobId(Id.as_string()))
      Workers.showCompleted(*Job);
  if (Body.contains("worker")) {
    Seat &Which = *Workers.Seats.at(static_cast<size_t>(numberOf(Body, "worker")));
    const std::string What = textOf(Body, "becomes");
    Which.Dead = What == "dead";
    Which.Mute = What == "mute";
    Which.Late = What == "late";
    if (What == "dead" || What == "reborn" || What == "restarted")
      Workers.loseRuns(Which);
    if (What == "restarted")
      Workers.restart(Which);
    if (What == "dead")
      Store.remove("servers/" + Which.Model.Id);
    if (Body.contains("service"))
      Which.Service = textOf(Body, "service");
    if (What == "reborn")
      Workers.beginLife(Which);
    if (What == "draining") {
      Which.Draining = true;
      Workers.list(Which);
    }
  }
  return answer(200, json::object());
}

HttpResponse verdict(const KeyStore &Store, const Pool &Workers) {
  json::array Breaks;
  for (const std::string &Break : Workers.Breaks)
    Breaks.emplace_back(Break);
  json::array StartedJobs;
  for (const JobId Id : Workers.StartedJobs)
    StartedJobs.emplace_back(jobIdText(Id));
  json::object LastingAway;
  for (const auto &[Id, Away] : Workers.lastingAway())
    LastingAway[jobIdText(Id)] = Away.count();
  json::array MayFail;
  for (const auto &[Task, Count] : Workers.CrashesUnder)
    if (Count >= CrashesForGivingUp)
      MayFail.emplace_back(jobIdText(Task.Step.Job));
  int64_t Running = 0;
  std::map<valveshelf::sched::TaskKey, int> RunsOf;
  json::array ByWorker;
  for (const auto &One : Workers.Seats) {
    const int64_t Here = One->Dead ? 0 : static_cast<int64_t>(One->Model.Runs.size());
    Running += Here;
    if (!One->Dead)
      for (const auto &[Run, What] : One->Model.Runs)
        ++RunsOf[Run.Task];
    ByWorker.emplace_back(Here);
  }
  const auto RunningTwice = std::count_if(RunsOf.begin(), RunsOf.end(),
                                          [](const auto &Entry) { return Entry.second > 1; });
  return answer(200, json::object{{"starts", Workers.Starts},
                                  {"running", Running},
                                  {"running_twice", RunningTwice},
                                  {"running_by_worker", ByWorker},
                                  {"started_jobs", StartedJobs},
                                  {"lasting_away_ms", LastingAway},
                                  {"crashes", Workers.Crashes},
                                  {"restarts", Workers.Restarts},
                                  {"copies", Workers.Copies},
                                  {"jobs_that_may_fail", MayFail},
                                  {"store_calls", Store.Calls},
                                  {"breaks", Breaks}});
}

// Serves \p Handle; an answer with status 0 is never sent.
HttpHandler handlerFor(Handler Handle) {
  return [Handle](HttpExchange &Exchange) -> Awaitable<void> {
    Call Made{Exchange.method(), Exchange.target(), std::string(pathOf(Exchange.target())), "",
              Exchange.headers()};
    if (Exchange.hasBody()) {
      Result<std::string> Body = co_await readWhole(Exchange, size_t{8} << 20);
      if (!ok(Body))
        co_return;
      Made.Body = std::move(value(Body));
    }
    HttpResponse Answer = co_await Handle(std::move(Made));
    if (Answer.Status != 0)
      co_await sendWhole(Exchange, std::move(Answer));
  };
}
} // namespace

int runUsersPlatform(const Options &Given) {
  asio::io_context Io(1);
  const std::string Host = "127.0.0.1";
  const int Port = static_cast<int>(Given.number("port", 7000));
  const int Count = static_cast<int>(Given.number("workers", 6));
  KeyStore Store(Io);
  const int ListedPort = static_cast<int>(Given.number("listed-port", Port + 2));
  Pool Workers(Io, Store, Host, ListedPort, Count,
               static_cast<int>(Given.number("other-service", 0)));
  std::vector<std::unique_ptr<HttpServer>> Servers;
  const auto Serve = [&](int At, Handler Handle) {
    const Endpoint Where{Host, static_cast<uint16_t>(At)};
    HttpServerLimits Limits;
    Limits.HeaderTimeout = IdleConnectionsKept;
    Servers.push_back(std::make_unique<HttpServer>(Io.get_executor(), Where, Limits,
                                                   handlerFor(std::move(Handle))));
    const Result<Done> Started = Servers.back()->start();
    if (!ok(Started))
      std::cerr << error(Started).Detail << "\n";
    return ok(Started);
  };
  bool Good = Serve(Port, [&](Call Made) -> Awaitable<HttpResponse> {
    if (Made.Path == "/stand-in")
      co_return control(Store, Workers, Made);
    if (Made.Path == "/verdict")
      co_return verdict(Store, Workers);
    co_return co_await Store.handle(std::move(Made));
  });
  Good = Good && Serve(Port + 1, [&](Call Made) { return Workers.advise(std::move(Made)); });
  for (int I = 0; I < Count && Good; ++I)
    Good = Serve(Port + 2 + I, [&Workers, To = Workers.Seats[static_cast<size_t>(I)]](Call Made) {
      return Workers.handle(To, std::move(Made));
    });
  if (!Good)
    return 1;
  asio::co_spawn(Io, Workers.run(), asio::detached);
  Io.run();
  return 0;
}

} // namespace standins
