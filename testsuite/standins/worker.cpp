// SPDX-License-Identifier: Apache-2.0
// Stand-in for a worker. It refuses nothing: it runs whatever it is told to, as often as it is
// told to, over its capacity if need be. Tasks run under leases and are stopped when these lapse.
#include "standin.h"
#include "valveshelf/steady_timer.h"

#include <algorithm>
#include <list>
#include <random>

namespace standins {
namespace asio = boost::asio;
namespace {

struct Run {
  std::string Id;
  int64_t Number = 0;
  std::string State = "running";
  std::string Detail;
  Resources Size, Usage;
  bool Throttled = false;
  bool WillFail = false;
  TimePoint Started, Finishes, LeaseEnds;
  int64_t StartedMs = 0, EndedMs = 0;
};

int64_t integerIn(const json::object &Object, std::string_view Key, int64_t Default) {
  const json::value *Found = Object.if_contains(json::string_view(Key.data(), Key.size()));
  if (Found && Found->is_int64())
    return Found->as_int64();
  if (Found && Found->is_string())
    return std::atoll(Found->as_string().c_str());
  return Default;
}

class Worker {
public:
  Worker(asio::io_context &Io, const Options &Given, Faults &Active)
      : Changed(Io, TimePoint::max()), Active(Active),
        Record(Given.text("trace", ""), Given.text("name", "worker")),
        UsageLag(Given.number("usage-lag-ms", 500)),
        Incarnation(std::to_string(nowMs()) + "-" +
                    std::to_string(std::random_device{}() % 10000)) {
    Record.write({{"type", "boot"},
                  {"milli_cores", Given.number("milli-cores", 64000)},
                  {"memory_mb", Given.number("memory-mb", 131072)},
                  {"accelerators", Given.number("accelerators", 0)}});
  }

  Awaitable<HttpResponse> handle(Call Made) {
    settle();
    if (Made.Path == "/v1/tasks" && Made.Method == "GET")
      co_return answer(200, list());
    const json::value Root =
        Made.Body.empty() ? json::value(json::object()) : json::parse(Made.Body);
    const json::object &Body = Root.as_object();
    if (Made.Path == "/v1/tasks")
      co_return start(Body);
    if (Made.Path == "/v1/sync")
      co_return co_await sync(Body);
    if (Made.Path == "/v1/stop" || Made.Path == "/v1/throttle" || Made.Path == "/v1/checkpoint")
      co_return act(Made.Path, std::string(Body.at("id").as_string()));
    co_return answer(404, {{"error", "there is nothing here"}});
  }

  Awaitable<void> settleLoop() {
    while (true) {
      settle();
      co_await sleepFor(Milliseconds(10));
    }
  }

private:
  void changed() {
    ++Version;
    Changed.cancel();
    Changed.expires_at(TimePoint::max());
  }

  HttpResponse start(const json::object &Body) {
    Run New;
    New.Id = std::string(Body.at("id").as_string());
    New.Number = ++LastRun;
    New.Size = {integerIn(Body, "milli_cores", 0), integerIn(Body, "memory_mb", 0),
                integerIn(Body, "accelerators", 0)};
    const json::value *LabelValue = Body.if_contains("labels");
    const json::object Labels = LabelValue ? LabelValue->as_object() : json::object();
    New.Usage = {integerIn(Labels, "actual_milli_cores", New.Size.MilliCores),
                 integerIn(Labels, "actual_memory_mb", New.Size.MemoryMb), New.Size.Accelerators};
    const bool Service = Body.contains("service") && Body.at("service").as_bool();
    const int64_t Declared = integerIn(Body, "run_time_ms", 1000);
    const int64_t RunMs =
        Service ? int64_t{365} * 24 * 3600 * 1000 : integerIn(Labels, "actual_run_ms", Declared);
    New.Started = Steady::now();
    New.WillFail = Active.FailStarts || Labels.contains("fails");
    New.Finishes = New.Started + Milliseconds(Active.FailStarts ? 1 : RunMs);
    New.LeaseEnds = New.Started + Milliseconds(integerIn(Body, "lease_ms", 60000));
    New.StartedMs = nowMs();
    const bool Repeatable = !Body.contains("repeatable") || Body.at("repeatable").as_bool();
    Record.write({{"type", "start"},
                  {"id", New.Id},
                  {"run", New.Number},
                  {"milli_cores", New.Size.MilliCores},
                  {"memory_mb", New.Size.MemoryMb},
                  {"accelerators", New.Size.Accelerators},
                  {"used_milli_cores", New.Usage.MilliCores},
                  {"used_memory_mb", New.Usage.MemoryMb},
                  {"repeatable", Repeatable}});
    Runs.push_back(std::move(New));
    changed();
    return answer(200, {{"run", LastRun}});
  }

  void end(Run &Ended, const std::string &State, const std::string &Detail, TimePoint When) {
    Ended.State = State;
    Ended.Detail = Detail;
    Ended.EndedMs =
        Ended.StartedMs + std::chrono::duration_cast<Milliseconds>(When - Ended.Started).count();
    Record.write({{"type", "end"},
                  {"id", Ended.Id},
                  {"run", Ended.Number},
                  {"state", State},
                  {"detail", Detail}},
                 Ended.EndedMs);
    changed();
  }

  // Ends what is over by now. A lapsed lease comes first, also after this process was frozen.
  void settle() {
    const TimePoint Now = Steady::now();
    for (Run &Each : Runs) {
      if (Each.State != "running")
        continue;
      if (Each.Finishes <= Each.LeaseEnds && Now >= Each.Finishes)
        end(Each, Each.WillFail ? "failed" : "succeeded", Each.WillFail ? "exit 1" : "exit 0",
            Each.Finishes);
      else if (Now >= Each.LeaseEnds)
        end(Each, "stopped", "the lease lapsed", Each.LeaseEnds);
    }
  }

  json::object list() {
    json::array Tasks;
    const TimePoint Now = Steady::now();
    for (const Run &Each : Runs) {
      const bool Reported = Now - Each.Started >= Milliseconds(UsageLag);
      const Resources Usage = Each.Throttled ? Each.Size : Each.Usage;
      Tasks.push_back({{"id", Each.Id},
                       {"state", Each.State},
                       {"detail", Each.Detail},
                       {"ended_ms", Each.EndedMs},
                       {"milli_cores", Each.Size.MilliCores},
                       {"memory_mb", Each.Size.MemoryMb},
                       {"accelerators", Each.Size.Accelerators},
                       {"used_milli_cores", Reported ? Usage.MilliCores : 0},
                       {"used_memory_mb", Reported ? Usage.MemoryMb : 0},
                       {"used_accelerators", Reported ? Usage.Accelerators : 0}});
    }
    return {{"incarnation", Incarnation}, {"version", Version}, {"tasks", std::move(Tasks)}};
  }

  Awaitable<HttpResponse> sync(json::object Body) {
    for (const json::value &Id : Body.at("forget").as_array())
      Runs.remove_if(
          [&](const Run &Each) { return Each.Id == Id.as_string() && Each.State != "running"; });
    const TimePoint LeaseEnds = Steady::now() + Milliseconds(integerIn(Body, "renew_ms", 0));
    for (const json::value &Id : Body.at("renew").as_array())
      for (Run &Each : Runs)
        if (Each.Id == Id.as_string() && Each.State == "running")
          Each.LeaseEnds = std::max(Each.LeaseEnds, LeaseEnds);
    const auto After = static_cast<uint64_t>(integerIn(Body, "after", 0));
    const TimePoint Until = Steady::now() + Milliseconds(integerIn(Body, "wait_ms", 0));
    while (Version <= After && Steady::now() < Until) {
      valveshelf::SteadyTimer Limit(co_await asio::this_coro::executor, Until);
      Limit.async_wait([this](boost::system::error_code Failure) {
        if (!Failure)
          Changed.cancel();
      });
      co_await Changed.async_wait(asio::as_tuple(asio::use_awaitable));
      settle();
    }
    co_return answer(200, list());
  }

  HttpResponse act(const std::string &What, const std::string &Id) {
    for (Run &Each : Runs) {
      if (Each.Id != Id || Each.State != "running")
        continue;
      if (What == "/v1/throttle") {
        Each.Throttled = true;
        Record.write({{"type", "throttle"}, {"id", Id}, {"run", Each.Number}});
        changed();
      } else {
        end(Each, "stopped", What == "/v1/stop" ? "stopped by command" : "checkpointed",
            Steady::now());
      }
    }
    return answer(200, {{"id", Id}});
  }

  valveshelf::SteadyTimer Changed;
  Faults &Active;
  Trace Record;
  const int64_t UsageLag;
  const std::string Incarnation;
  std::list<Run> Runs;
  uint64_t Version = 1;
  int64_t LastRun = 0;
};
} // namespace

int runWorker(const Options &Given) {
  asio::io_context Io(1);
  Faults Active;
  Worker Box(Io, Given, Active);
  asio::co_spawn(Io, Box.settleLoop(), asio::detached);
  return serve(Io, Given.text("listen", "127.0.0.1:7100"), Active,
               [&](Call Made) { return Box.handle(std::move(Made)); });
}

} // namespace standins
