// SPDX-License-Identifier: Apache-2.0
// The HTTP interfaces for callers and operators, and the forwarding of operations to the owners
// of their shards.
#include "valveshelf/entry_process.h"
#include "valveshelf/events.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <csignal>
#include <random>

namespace valveshelf {
namespace json = boost::json;
namespace {
constexpr Milliseconds OperationDeadline{8000};
constexpr Milliseconds ForwardTimeout{5000};
constexpr Milliseconds RetryPause{100};
constexpr int HttpCreated = 201;
constexpr int HttpNotReady = 503;
constexpr std::string_view JobsPath = "/v1/jobs";

std::string newJobId() {
  static thread_local std::mt19937_64 Random{std::random_device{}()};
  char Text[24];
  std::snprintf(Text, sizeof Text, "j-%016llx", static_cast<unsigned long long>(Random()));
  return Text;
}

// Returns the job's id and text. Generates an id if the job has none, so that retries of the submit
// are idempotent.
Result<std::pair<std::string, std::string>> ensureJobId(const std::string &Body) {
  json::error_code Failure;
  json::value Root = json::parse(Body, Failure);
  if (Failure || !Root.is_object())
    return Error{ErrorKind::BadRequest, "the job is not a JSON object"};
  json::object &Object = Root.as_object();
  if (!Object.if_contains("id"))
    Object["id"] = newJobId();
  if (!Object["id"].is_string() || Object["id"].as_string().empty())
    return Error{ErrorKind::BadRequest, "field 'id' must be a non-empty string"};
  const std::string Id(Object["id"].as_string());
  return std::pair(Id, json::serialize(Root));
}

Error notFound(std::string_view Target) {
  return {ErrorKind::NotFound, "there is no resource at " + std::string(Target)};
}

Error notReady() {
  return {ErrorKind::StoreUnavailable, "this process has not loaded the configuration yet"};
}
} // namespace

Awaitable<void> EntryProcess::serveCaller(HttpExchange &Exchange) {
  const std::string_view Path = pathOf(Exchange.target());
  if (Path == "/svc" || Path.starts_with("/svc/"))
    co_return co_await RequestRouter.serve(Exchange);
  Result<std::string> Body =
      co_await readWhole(Exchange, static_cast<size_t>(Settings.Limits.MaxJobBytes));
  if (!ok(Body))
    co_return co_await sendWhole(Exchange, errorResponse(error(Body)));
  HttpResponse Answer = errorResponse(notFound(Exchange.target()));
  if (std::string_view(Exchange.target()).starts_with(JobsPath))
    Answer = co_await answerJobs(Exchange.method(), Exchange.target(), std::move(value(Body)));
  co_await sendWhole(Exchange, std::move(Answer));
}

Awaitable<HttpResponse> EntryProcess::submitJob(std::string Body) {
  Result<std::pair<std::string, std::string>> Named = ensureJobId(Body);
  if (!ok(Named))
    co_return errorResponse(error(Named));
  const auto &[Id, Text] = value(Named);
  Result<std::string> Answer =
      co_await runAtOwner(shardOfJob(Id, Settings.Shards), "submit", Id, Text);
  if (ok(Answer))
    co_return jsonResponse(HttpCreated, value(Answer) + "\n");
  logEvent(events::JobRefused, {{"job", Id}, {"why", "\"" + error(Answer).Detail + "\""}});
  HttpResponse Refused = errorResponse(error(Answer));
  Refused.Headers.emplace_back("Valveshelf-Job", Id);
  co_return Refused;
}

Awaitable<HttpResponse> EntryProcess::answerJobs(std::string Method, std::string Target,
                                                 std::string Body) {
  const std::string_view Path = pathOf(Target);
  if (Path == JobsPath && Method == "POST")
    co_return co_await submitJob(std::move(Body));
  if (Path == JobsPath && Method == "GET")
    co_return co_await listJobs(Target);
  if (Path.size() <= JobsPath.size() + 1)
    co_return errorResponse(notFound(Target));
  std::string Id(Path.substr(JobsPath.size() + 1));
  std::string Operation = Method == "GET" ? "status" : Method == "DELETE" ? "cancel" : "";
  if (const auto Slash = Id.find('/'); Slash != std::string::npos) {
    const std::string Rest = Id.substr(Slash + 1);
    Id.resize(Slash);
    Operation = Rest == "explain" && Method == "GET" ? "explain"
                : Rest == "count" && Method == "PUT" ? "resize"
                                                     : "";
  }
  if (Operation.empty())
    co_return errorResponse(notFound(Target));
  Result<std::string> Answer =
      co_await runAtOwner(shardOfJob(Id, Settings.Shards), Operation, Id, Body);
  co_return ok(Answer) ? jsonResponse(200, value(Answer) + "\n") : errorResponse(error(Answer));
}

Awaitable<HttpResponse> EntryProcess::listJobs(std::string Target) {
  const std::string Partner = queryParameter(Target, "partner").value_or("");
  json::array All;
  for (uint32_t Shard = 0; Shard < Settings.Shards; ++Shard) {
    Result<std::string> Part = co_await runAtOwner(Shard, "list", Partner, "");
    if (!ok(Part))
      co_return errorResponse(error(Part));
    json::value Listed = json::parse(value(Part));
    for (json::value &Job : Listed.as_array())
      All.push_back(std::move(Job));
  }
  co_return jsonResponse(200, json::serialize(All) + "\n");
}

Awaitable<Result<std::string>> EntryProcess::runLocally(uint32_t Shard, std::string Operation,
                                                        std::string Target, std::string Body) {
  const std::shared_ptr<ShardRunner> Runner = runner(Shard);
  const auto Current = session();
  if (!Runner || !Current || !Current->mayAct())
    co_return Error{ErrorKind::NotOwner,
                    "shard " + std::to_string(Shard) + " is not owned by this process"};
  if (Operation == "submit")
    co_return co_await Runner->submit(std::move(Body));
  if (Operation == "status")
    co_return Runner->status(Target);
  if (Operation == "cancel")
    co_return co_await Runner->cancel(Target);
  if (Operation == "explain")
    co_return Runner->explain(Target);
  if (Operation == "list")
    co_return Runner->list(Target);
  if (Operation == "resize")
    co_return co_await Runner->resize(
        Target, static_cast<uint32_t>(std::strtoul(Body.c_str(), nullptr, 10)));
  co_return Error{ErrorKind::BadRequest, "unknown operation " + Operation};
}

// Retries at the owner, and at its successor if the owner changes, until the deadline. All
// operations are idempotent, since they name their job.
Awaitable<Result<std::string>> EntryProcess::runAtOwner(uint32_t Shard, std::string Operation,
                                                        std::string Target, std::string Body) {
  const TimePoint Deadline = Time.Now() + OperationDeadline;
  bool MayHaveRun = false;
  Error Last{ErrorKind::NotOwner, "shard " + std::to_string(Shard) + " has no owner"};
  while (Time.Now() < Deadline) {
    Result<std::string> Answer = Error{Last};
    const CellViewPtr View = Watch.view();
    const auto Owner = View->Owners.find(Shard);
    if (runner(Shard)) {
      Answer = co_await runLocally(Shard, Operation, Target, Body);
    } else if (Owner != View->Owners.end() && !Owner->second.Released) {
      wire::ForwardRequest Request;
      Request.set_shard(Shard);
      Request.set_operation(Operation);
      Request.set_target(Target);
      Request.set_body(Body);
      Request.set_deadline_ms(ForwardTimeout.count());
      Result<wire::ForwardReply> Reply =
          co_await Peers.Forward(Owner->second.Peers, std::move(Request));
      if (!ok(Reply))
        Answer =
            Error{error(Reply).Kind == ErrorKind::UpstreamUnavailable ? ErrorKind::NotOwner
                                                                      : ErrorKind::OutcomeUnknown,
                  error(Reply).Detail};
      else if (value(Reply).error() != 0)
        Answer = Error{static_cast<ErrorKind>(value(Reply).error()), value(Reply).body()};
      else
        Answer = value(Reply).body();
    }
    if (ok(Answer))
      co_return Answer;
    Last = error(Answer);
    const bool TryAgain =
        Last.Kind == ErrorKind::NotOwner || Last.Kind == ErrorKind::OutcomeUnknown;
    if (!TryAgain && !MayHaveRun)
      co_return Answer;
    MayHaveRun = MayHaveRun || Last.Kind == ErrorKind::OutcomeUnknown;
    if (!TryAgain)
      break;
    co_await sleepFor(RetryPause);
  }
  // After an attempt that may have been recorded, a later refusal does not prove that it was not.
  if (MayHaveRun)
    co_return Error{ErrorKind::OutcomeUnknown,
                    "the outcome for " + Target + " is unknown: " + Last.Detail};
  co_return Last;
}

Awaitable<void> EntryProcess::serveOperator(HttpExchange &Exchange) {
  constexpr size_t MaxConfigBytes = 512 * 1024;
  Result<std::string> Body = co_await readWhole(Exchange, MaxConfigBytes);
  if (!ok(Body))
    co_return co_await sendWhole(Exchange, errorResponse(error(Body)));
  HttpResponse Answer = co_await answerOperator(Exchange.method(), Exchange.target(),
                                                Exchange.headers(), std::move(value(Body)));
  co_await sendWhole(Exchange, std::move(Answer));
}

Awaitable<HttpResponse> EntryProcess::answerOperator(std::string Method, std::string Target,
                                                     HeaderList Headers, std::string Body) {
  const std::string_view Path = pathOf(Target);
  if (Path == "/live")
    co_return HttpResponse{200, {}, "live\n"};
  if (Path == "/ready") {
    const bool Ready = Joined && !Stopping && RequestRouter.ready();
    co_return HttpResponse{Ready ? 200 : HttpNotReady, {}, Ready ? "ready\n" : "not ready\n"};
  }
  if (Path == "/metrics")
    co_return metrics();
  if (Path == "/v1/members")
    co_return members();
  if (Path == "/v1/config" || Path.starts_with("/v1/config/"))
    co_return co_await answerConfig(std::move(Method), std::move(Target), std::move(Headers),
                                    std::move(Body));
  if (Path == "/v1/drain" && Method == "POST") {
    if (!authenticatedPartner(Headers))
      co_return errorResponse({ErrorKind::Forbidden, "the operator's token is missing or unknown"});
    std::raise(SIGTERM);
    co_return jsonResponse(200, "{\"state\":\"draining\"}\n");
  }
  co_return errorResponse(notFound(Target));
}

std::optional<std::string> EntryProcess::authenticatedPartner(const HeaderList &Headers) const {
  constexpr std::string_view Scheme = "Bearer ";
  const std::string_view Given = findHeader(Headers, "Authorization");
  if (!Given.starts_with(Scheme))
    return std::nullopt;
  for (const auto &[Partner, Token] : Settings.OperatorTokens)
    if (Given.substr(Scheme.size()) == Token)
      return Partner;
  return std::nullopt;
}

Awaitable<HttpResponse> EntryProcess::answerConfig(std::string Method, std::string Target,
                                                   HeaderList Headers, std::string Body) {
  const std::string_view Path = pathOf(Target);
  if (Path == "/v1/config" && Method == "GET" && Config.current()->Version == 0 && !Joined)
    co_return errorResponse(notReady());
  if (Path == "/v1/config" && Method == "GET")
    co_return jsonResponse(200, encodeCellConfig(*Config.current()) + "\n");
  if (Method != "PUT" || Path.size() <= std::string_view("/v1/config/").size())
    co_return errorResponse(notFound(Target));
  ConfigChange Change;
  Change.Partner = std::string(Path.substr(std::string_view("/v1/config/").size()));
  if (authenticatedPartner(Headers) != Change.Partner)
    co_return errorResponse({ErrorKind::Forbidden,
                             "the operator's token does not belong to partner " + Change.Partner});
  Change.Text = std::move(Body);
  Change.BaseVersion =
      std::strtoull(queryParameter(Target, "base").value_or("0").c_str(), nullptr, 10);
  Change.Id = queryParameter(Target, "id").value_or(newJobId());
  const std::string Id = Change.Id;
  Result<uint64_t> Version = co_await Config.apply(std::move(Change));
  if (!ok(Version))
    co_return errorResponse(error(Version));
  co_return jsonResponse(
      200, json::serialize(json::object{{"version", value(Version)}, {"change", Id}}) + "\n");
}

HttpResponse EntryProcess::members() {
  const CellViewPtr View = Watch.view();
  json::array Members;
  for (const auto &[Log, Member] : View->Members) {
    json::array Shards;
    for (const auto &[Shard, Owner] : View->Owners)
      if (Owner.Log == Log && !Owner.Released)
        Shards.emplace_back(Shard);
    uint64_t Version = Config.current()->Version;
    if (Member.Name != Settings.Member) {
      std::lock_guard Lock(Mutex);
      Version = ConfigVersions[Member.Name];
    }
    Members.push_back(json::object{{"name", Member.Name},
                                   {"incarnation", Log},
                                   {"partner", Member.Partner},
                                   {"zone", Member.Zone},
                                   {"callers", toString(Member.Callers)},
                                   {"operators", toString(Member.Operators)},
                                   {"leaving", Member.Leaving},
                                   {"config_version", Version},
                                   {"shards", std::move(Shards)}});
  }
  return jsonResponse(200, json::serialize(json::object{{"members", std::move(Members)}}) + "\n");
}

// Values are collected at scrape time into a new registry for each response.
HttpResponse EntryProcess::metrics() {
  prometheus::Registry Registry;
  const auto SetGauge = [&](const std::string &Name, const std::string &Help, double Value) {
    prometheus::BuildGauge().Name(Name).Help(Help).Register(Registry).Add({}).Set(Value);
  };
  ShardStats Sum;
  size_t Shards = 0;
  size_t Draining = 0;
  Milliseconds LongestJournalWait{0};
  Milliseconds LongestHomeWait{0};
  const auto Current = session();
  if (Current) {
    for (const auto &Runner : Current->ownership().all()) {
      const ShardStats One = Runner->stats();
      ++Shards;
      Sum.Starts += One.Starts;
      Sum.Jobs += One.Jobs;
      Sum.Queued += One.Queued;
      Sum.Running += One.Running;
      Sum.Workers += One.Workers;
      Sum.WorkersReady += One.WorkersReady;
      Sum.Unreported += One.Unreported;
      Sum.StartsInFlight += One.StartsInFlight;
      Draining += One.Draining ? 1 : 0;
      Milliseconds &Longest =
          One.Stage == ReportStage::Journal ? LongestJournalWait : LongestHomeWait;
      Longest = std::max(Longest, One.TimeInStage);
    }
    SetGauge("valveshelf_journal_writes", "Entries this process wrote to its journal.",
             static_cast<double>(Current->journal().writes()));
    SetGauge("valveshelf_store_up", "1 if the store answers.", Current->journal().storeUp());
    SetGauge("valveshelf_may_act", "1 if this process may send starts.", Current->mayAct());
    SetGauge("valveshelf_claims", "Shards claimed by this incarnation.",
             static_cast<double>(Current->ownership().claims()));
  }
  SetGauge("valveshelf_shards", "Shards owned.", static_cast<double>(Shards));
  SetGauge("valveshelf_starts", "Starts confirmed on owned shards.",
           static_cast<double>(Sum.Starts));
  SetGauge("valveshelf_jobs", "Jobs whose home is here.", static_cast<double>(Sum.Jobs));
  SetGauge("valveshelf_tasks_queued", "Tasks queued here.", static_cast<double>(Sum.Queued));
  SetGauge("valveshelf_tasks_running", "Tasks running here.", static_cast<double>(Sum.Running));
  SetGauge("valveshelf_ends_unreported", "Ends that their home shards have not recorded yet.",
           static_cast<double>(Sum.Unreported));
  SetGauge("valveshelf_starts_in_flight", "Starts sent and not answered.", Sum.StartsInFlight);
  SetGauge("valveshelf_shards_draining", "Owned shards that place nothing, to be handed over.",
           static_cast<double>(Draining));
  SetGauge("valveshelf_reports_wait_for_journal_seconds",
           "The longest that a round of reports to home shards waits for the journal now.",
           std::chrono::duration<double>(LongestJournalWait).count());
  SetGauge("valveshelf_reports_wait_for_home_seconds",
           "The longest that a round of reports waits for the answer of a home shard's owner now.",
           std::chrono::duration<double>(LongestHomeWait).count());
  SetGauge("valveshelf_workers", "Workers of owned shards.", static_cast<double>(Sum.Workers));
  SetGauge("valveshelf_workers_ready", "Workers that take tasks.",
           static_cast<double>(Sum.WorkersReady));
  SetGauge("valveshelf_config_version", "Configuration in force.",
           static_cast<double>(Config.current()->Version));
  const RouterStats &Routed = RequestRouter.stats();
  SetGauge("valveshelf_requests_served", "Requests with an answer.",
           static_cast<double>(Routed.Served));
  SetGauge("valveshelf_requests_refused", "Requests refused or failed.",
           static_cast<double>(Routed.Refused));
  SetGauge("valveshelf_requests_retried", "Tries beyond the first.",
           static_cast<double>(Routed.Retried));
  SetGauge("valveshelf_requests_cut", "Answers cut on the way.",
           static_cast<double>(Routed.Truncated));
  const std::string Text = prometheus::TextSerializer().Serialize(Registry.Collect());
  return {200, {{"Content-Type", "text/plain; version=0.0.4"}}, Text};
}

} // namespace valveshelf
