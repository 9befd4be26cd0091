// SPDX-License-Identifier: Apache-2.0
// HTTP client of the workers: starts, stops and throttles tasks, and reads their reports.
#include "valveshelf/platform.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>

namespace valveshelf {
namespace {
namespace json = boost::json;

constexpr int HttpOk = 200;

struct WorkerContext {
  HttpClient &Client;
  Milliseconds Timeout;
};
using ContextPtr = std::shared_ptr<const WorkerContext>;

json::array toJsonArray(const std::vector<std::string> &Texts) {
  json::array Array;
  for (const std::string &Text : Texts)
    Array.emplace_back(Text);
  return Array;
}

std::string startBody(const std::string &TaskId, const JobSpec &Spec, Milliseconds Lease) {
  json::object LabelObject;
  for (const auto &[Key, Value] : Spec.Labels)
    LabelObject[Key] = Value;
  return json::serialize(json::object{{"id", TaskId},
                                      {"lease_ms", Lease.count()},
                                      {"milli_cores", Spec.Size.MilliCores},
                                      {"memory_mb", Spec.Size.MemoryMb},
                                      {"accelerators", Spec.Size.Accelerators},
                                      {"run_time_ms", Spec.RunTime.count()},
                                      {"repeatable", Spec.Repeatable},
                                      {"service", Spec.Kind == JobKind::Service},
                                      {"labels", std::move(LabelObject)}});
}

Resources parseResources(const json::object &Object, std::string_view Prefix) {
  const auto Number = [&](std::string_view Key) -> int64_t {
    const std::string Name = std::string(Prefix) + std::string(Key);
    const json::value *Found = Object.if_contains(Name);
    json::error_code Failure;
    return Found && Found->is_number() ? Found->to_number<int64_t>(Failure) : 0;
  };
  return {Number("milli_cores"), Number("memory_mb"), Number("accelerators")};
}

TaskReport parseTaskReport(const json::object &Object) {
  TaskReport Task;
  Task.Id = std::string(Object.at("id").as_string());
  const json::string &StateName = Object.at("state").as_string();
  Task.Status = StateName == "running"     ? TaskReport::State::Running
                : StateName == "succeeded" ? TaskReport::State::Succeeded
                : StateName == "failed"    ? TaskReport::State::Failed
                                           : TaskReport::State::Stopped;
  if (const json::value *Detail = Object.if_contains("detail"); Detail && Detail->is_string())
    Task.Detail = std::string(Detail->as_string());
  if (const json::value *Ended = Object.if_contains("ended_ms"); Ended && Ended->is_number())
    Task.Ended = WallTime(Milliseconds(Ended->to_number<int64_t>()));
  Task.Size = parseResources(Object, "");
  Task.Usage = parseResources(Object, "used_");
  return Task;
}

Result<WorkerReport> parseReport(const std::string &Body) {
  try {
    const json::value Parsed = json::parse(Body);
    const json::object &Root = Parsed.as_object();
    WorkerReport Report;
    Report.Incarnation = std::string(Root.at("incarnation").as_string());
    Report.Version = Root.at("version").to_number<uint64_t>();
    for (const json::value &Item : Root.at("tasks").as_array())
      Report.Tasks.push_back(parseTaskReport(Item.as_object()));
    return Report;
  } catch (const std::exception &E) {
    return Error{ErrorKind::UpstreamCut,
                 std::string("can't parse the worker's report: ") + E.what()};
  }
}

Awaitable<StartAnswer> start(ContextPtr To, Endpoint Address, std::string TaskId, SpecPtr Spec,
                             Milliseconds Lease) {
  CallOptions Options;
  Options.Timeout = To->Timeout;
  // A reused connection may turn out closed after the request was sent, which leaves the outcome
  // unknown; that is less likely on a new one.
  Options.FreshConnection = true;
  HttpRequest Request{"POST", "/v1/tasks", {}, startBody(TaskId, *Spec, Lease)};
  Result<HttpResponse> Answer = co_await To->Client.send(Address, std::move(Request), Options);
  if (ok(Answer))
    co_return value(Answer).Status == HttpOk ? StartAnswer::Accepted : StartAnswer::Unanswered;
  const bool NotSent = error(Answer).Kind == ErrorKind::UpstreamUnavailable;
  co_return NotSent ? StartAnswer::NotSent : StartAnswer::Unanswered;
}

Awaitable<Result<WorkerReport>> sync(ContextPtr To, Endpoint Address, WorkerSync Sync) {
  CallOptions Options;
  Options.Timeout = To->Timeout + Sync.Wait;
  const json::object Body{{"wait_ms", Sync.Wait.count()},
                          {"after", Sync.After},
                          {"renew_ms", Sync.RenewFor.count()},
                          {"renew", toJsonArray(Sync.Renew)},
                          {"forget", toJsonArray(Sync.Forget)}};
  HttpRequest Request{"POST", "/v1/sync", {}, json::serialize(Body)};
  Result<HttpResponse> Answer = co_await To->Client.send(Address, std::move(Request), Options);
  if (!ok(Answer))
    co_return error(Answer);
  if (value(Answer).Status != HttpOk)
    co_return Error{ErrorKind::UpstreamCut,
                    "the worker answered with HTTP status " + std::to_string(value(Answer).Status)};
  co_return parseReport(value(Answer).Body);
}

Awaitable<Result<Done>> postTaskCommand(ContextPtr To, Endpoint Address, std::string Command,
                                        std::string TaskId) {
  CallOptions Options;
  Options.Timeout = To->Timeout;
  HttpRequest Request{"POST", "/v1/" + Command, {}, json::serialize(json::object{{"id", TaskId}})};
  Result<HttpResponse> Answer = co_await To->Client.send(Address, std::move(Request), Options);
  if (!ok(Answer))
    co_return error(Answer);
  co_return Done{};
}

} // namespace

WorkerOps httpWorkers(HttpClient &Client, Milliseconds Timeout) {
  const ContextPtr To = std::make_shared<WorkerContext>(WorkerContext{Client, Timeout});
  WorkerOps Ops;
  Ops.Start = [To](Endpoint Address, std::string TaskId, SpecPtr Spec, Milliseconds Lease) {
    return start(To, std::move(Address), std::move(TaskId), std::move(Spec), Lease);
  };
  Ops.Sync = [To](Endpoint Address, WorkerSync Sync) {
    return sync(To, std::move(Address), std::move(Sync));
  };
  Ops.Stop = [To](Endpoint Address, std::string TaskId) {
    return postTaskCommand(To, std::move(Address), "stop", std::move(TaskId));
  };
  Ops.Throttle = [To](Endpoint Address, std::string TaskId) {
    return postTaskCommand(To, std::move(Address), "throttle", std::move(TaskId));
  };
  return Ops;
}

} // namespace valveshelf
