// SPDX-License-Identifier: Apache-2.0
// Wiring, readiness and graceful shutdown of an entry process.
#include "valveshelf/cell_process.h"

#include "admission/admission_control.h"
#include "cell/caller_api.h"
#include "cell/cell_view.h"
#include "cell/config_watch.h"
#include "cell/forecast_pacing.h"
#include "cell/intake.h"
#include "cell/leadership.h"
#include "cell/revocations.h"
#include "valveshelf/cell_link.h"
#include "valveshelf/cell_metrics.h"
#include "valveshelf/compression.h"
#include "valveshelf/events.h"
#include "valveshelf/forecast_records.h"

#include <boost/asio.hpp>

namespace valveshelf {
using namespace sched;

namespace {
// The process becomes unready when calls to the store have failed for this long, so that new
// connections go to other processes.
constexpr Milliseconds UnreadyAfterStoreFailure{3000};
// The store counts as answering if its last answer is no older than this.
constexpr Milliseconds StoreAnswerFreshness{700};
// The load balancer sends new connections elsewhere after two failed probes, a second apart.
constexpr Milliseconds BalancerDrainTime{2600};
// Kept free at the end of the grace period, so that the process exits before it is killed.
constexpr Milliseconds StopMargin{900};
constexpr Milliseconds StopPollInterval{20};
// For announcing durable jobs and cancellations to the scheduler. A timeout makes this process
// probe the scheduler: a shorter one causes needless probes, a longer one delays a takeover.
constexpr Milliseconds AnnounceTimeout{200};
// For asking a peer whether it can schedule.
constexpr Milliseconds CandidateTimeout{150};
// For asking a peer about a term; a retransmission on a busy link fits in.
constexpr Milliseconds TermTimeout{400};
// Added to the timeout of a relayed store call, for the round trip between the peers.
constexpr Milliseconds RelayOverhead{100};
// For asking the scheduler to explain a job.
constexpr Milliseconds ExplainTimeout{2000};
// For fetching the configuration of a peer, on top of the long-poll time.
constexpr Milliseconds ConfigurationTimeout{300};
constexpr size_t MaxConfigurationBytes = 16 * 1024 * 1024;
constexpr int HttpOk = 200;
} // namespace

class CellProcess::Impl {
public:
  Impl(Executor Where, CellSettings Given, Clock Time, CellPlatform Platform, CellLink Link,
       const TrafficMeter &Meter)
      : Where(Where), Settings(std::move(Given)), Time(Time), Platform(std::move(Platform)),
        Peers(std::move(Link)), Meter(Meter),
        Router(
            Where, Time, this->Platform.StoreProbe, this->Platform.CallStore,
            [this](Endpoint Peer, HttpRequest Request, Milliseconds Timeout) {
              return relayStoreCall(std::move(Peer), std::move(Request), Timeout);
            },
            [this] { return otherPeers(); },
            [this](Steady::duration Latency) { Metrics.observe(metrics::StoreSeconds, Latency); },
            [this] { readViewAfterOutage(); }),
        Store(this->Platform.OpenStore(
            [this](StoreCall Call) { return Router.call(std::move(Call)); })),
        View(Where, Store, Settings, [this] { Lead.viewChanged(); }),
        Config(Where, Time, Store, Settings, this->Platform.Operators,
               this->Platform.DecodeConfiguration, configWatchCallbacks()),
        Revoked(
            Where, Store, Time, Settings,
            [this](std::vector<Revocation> Batch) { return holdRevocations(std::move(Batch)); }),
        In(
            Where, Store, Time, Settings, [this] { return Router.isUnresponsive(); },
            [this](IntakeUpdate News) { announce(std::move(News)); },
            [this](JobId Id, std::string Organisation, TimePoint Until) {
              return revoke(Id, std::move(Organisation), Until);
            }),
        Lead(schedulerTools(), View, leadershipCallbacks()),
        Admission(Time, Settings.Member,
                  {[this] { return localForecast(); }, [this] { requestForecast(); }}),
        Api(
            Settings, Time, callerCodec(), Store, Config, View, Lead, In, Peers,
            [this] { return Router.retryAfter(); }, Admission, Metrics),
        Callers(Where, Settings.Callers, serverLimits(),
                [this](HttpExchange &E) { return serveCaller(E); }),
        Readiness(Where, Settings.Readiness, serverLimits(),
                  [this](HttpExchange &E) { return serveReadiness(E); }),
        Operators(Where, Settings.Metrics, serverLimits(),
                  [this](HttpExchange &E) { return serveOperator(E); }),
        PeerServer(Where, Settings.Peers, serverLimits(), peerHandlers()) {}

  Result<Done> start() {
    for (const Result<Done> &Started :
         {PeerServer.start(), Operators.start(), Readiness.start(), Callers.start()})
      if (!ok(Started))
        return Started;
    Config.start();
    View.start();
    Lead.start();
    return Done{};
  }

  void beginStop(std::function<void(int)> Finished) {
    boost::asio::post(Where, [this, Finished] {
      if (Stopping)
        return;
      Stopping = true;
      Api.beginStop();
      spawnLater(Where, stopGracefully(Finished));
    });
  }

private:
  // The watch of the view may wait for a lost answer for another second or two. Members of the
  // roster read at once whether there is a scheduler, so that the strongest claims first.
  void readViewAfterOutage() {
    if (isListed(View.snapshot().Roster, Settings.Member))
      View.refreshSoon();
  }

  Awaitable<void> stopGracefully(std::function<void(int)> Finished) {
    const TimePoint StartedAt = Time.Now();
    logEvent(events::Stopping, {{"in_progress", std::to_string(Callers.inProgress())}});
    Callers.beginDrain();
    co_await Lead.leave();
    co_await View.leave();
    while (Time.Now() - StartedAt < BalancerDrainTime)
      co_await sleepFor(StopPollInterval);
    Callers.stopAccepting();
    while (Callers.inProgress() > 0 &&
           Time.Now() - StartedAt < Settings.Timing.StopGrace - StopMargin)
      co_await sleepFor(StopPollInterval);
    logEvent(events::Stopped, {{"in_progress", std::to_string(Callers.inProgress())}});
    Finished(0);
  }

  SchedulerDependencies schedulerTools() {
    return {Where,
            Time,
            Settings,
            Store,
            Platform.Workers,
            [this](std::string ViaMember, StepKey Step, std::vector<std::string> Workers,
                   Milliseconds Timeout) {
              return askAdvice(std::move(ViaMember), Step, std::move(Workers), Timeout);
            },
            Platform.WorkerPrefix,
            Platform.Operators.EvacuationPrefix,
            Platform.DecodeWorker,
            Metrics,
            Burn,
            [this] { return Time.Now() - Router.lastAnswer() < StoreAnswerFreshness; },
            Meter};
  }

  LeadershipCallbacks leadershipCallbacks() {
    LeadershipCallbacks Callbacks;
    Callbacks.Probe = Peers.Probe;
    Callbacks.CanSchedule = [this](Endpoint To, uint64_t FailedTerm) -> Awaitable<bool> {
      cell::CandidateRequest Request;
      Request.set_gone_term(FailedTerm);
      Result<cell::CandidateReply> Reply =
          co_await Peers.Candidate(std::move(To), Request, CandidateTimeout);
      co_return ok(Reply) && value(Reply).could_schedule();
    };
    Callbacks.AskTerm = [this](Endpoint To, uint64_t Term,
                               bool IsClaimed) -> Awaitable<std::optional<TermAnswer>> {
      cell::TermRequest Request;
      Request.set_term(Term);
      Request.set_claimed(IsClaimed);
      Result<cell::TermReply> Reply = co_await Peers.Term(std::move(To), Request, TermTimeout);
      if (!ok(Reply))
        co_return std::nullopt;
      co_return TermAnswer{value(Reply).member(), value(Reply).newest()};
    };
    Callbacks.IsStoreDirectlyReachable = [this] { return Router.isDirectlyReachable(); };
    return Callbacks;
  }

  ConfigWatchCallbacks configWatchCallbacks() {
    ConfigWatchCallbacks Callbacks;
    Callbacks.FetchFromPeer = [this](Endpoint Peer, uint64_t Have, Milliseconds Wait) {
      return fetchConfiguration(std::move(Peer), Have, Wait);
    };
    Callbacks.Peers = [this] { return peersSchedulerFirst(); };
    Callbacks.IsScheduler = [this] { return Lead.scheduler() != nullptr; };
    Callbacks.WatchesStore = [this] {
      return Lead.scheduler() != nullptr || watchesStore(View.snapshot().Roster, Settings.Member);
    };
    Callbacks.Watchers = [this] { return watchersFor(View.snapshot().Roster, Settings.Member); };
    Callbacks.Changed = [this] { configurationChanged(); };
    Callbacks.ZonesChanged = [this] { Lead.zonesChanged(Config.evacuated()); };
    return Callbacks;
  }

  void configurationChanged() {
    const ConfigurationPtr Now = Config.current();
    Admission.applyFeatures(resolveFeatures(Settings.Features, *Now));
    Lead.configurationChanged(Now);
  }

  // The forecast of the scheduler in this process, empty if there is none.
  std::optional<Forecast> localForecast() const {
    const auto Scheduler = Lead.scheduler();
    const auto Published = Scheduler ? Scheduler->forecast() : nullptr;
    return Published ? std::optional(*Published) : std::nullopt;
  }

  // What the scheduler in this process adds to the overload page, as JSON; empty if there is none.
  std::string localLoad() const {
    const auto Scheduler = Lead.scheduler();
    return Scheduler ? Scheduler->describeLoad() : std::string();
  }

  // The answer to an announcement carries a forecast, also if nothing is announced.
  void requestForecast() {
    const auto &Leader = View.snapshot().Leader;
    if (Leader && Leader->Name != Settings.Member)
      spawnLater(Where, sendAnnouncement(Leader->Peers, {}));
  }

  // The forecast that a message of the scheduler carries, empty if there is none.
  template <class Message> static std::optional<Forecast> forecastIn(const Message &From) {
    if (From.forecast().empty())
      return std::nullopt;
    Result<Forecast> Read = decodeForecast(From.forecast());
    if (ok(Read))
      return std::move(value(Read));
    logEvent(events::RecordUnreadable, {{"key", "forecast"}});
    return std::nullopt;
  }

  Awaitable<Result<PeerConfiguration>> fetchConfiguration(Endpoint Peer, uint64_t Have,
                                                          Milliseconds Wait) {
    cell::ConfigurationRequest Request;
    Request.set_have_version(Have);
    Request.set_wait_ms(Wait.count());
    Result<cell::ConfigurationReply> Reply =
        co_await Peers.Configuration(std::move(Peer), Request, Wait + ConfigurationTimeout);
    if (!ok(Reply))
      co_return error(Reply);
    const cell::ConfigurationReply &Received = value(Reply);
    Result<std::string> NewerBytes = Received.configuration();
    if (Received.packed())
      NewerBytes = decompress(Received.configuration(), MaxConfigurationBytes);
    if (!ok(NewerBytes))
      co_return error(NewerBytes);
    co_return PeerConfiguration{std::move(value(NewerBytes)), Received.version(),
                                Milliseconds(Received.confirmed_ms_ago())};
  }

  Awaitable<cell::ConfigurationReply> handleConfiguration(cell::ConfigurationRequest Request) {
    const PeerConfiguration Known =
        co_await Config.answerPeer(Request.have_version(), Milliseconds(Request.wait_ms()));
    cell::ConfigurationReply Reply;
    if (!Known.NewerBytes.empty()) {
      if (PackedVersion != Known.Version)
        Packed = compress(Known.NewerBytes);
      PackedVersion = Known.Version;
      Reply.set_configuration(Packed);
      Reply.set_packed(true);
    }
    Reply.set_version(Known.Version);
    Reply.set_confirmed_ms_ago(Known.ConfirmedAge.count());
    co_return Reply;
  }

  // Addresses of the other processes, the scheduler's first.
  std::vector<Endpoint> peersSchedulerFirst() const {
    std::vector<Endpoint> Found = otherPeers();
    const auto &Leader = View.snapshot().Leader;
    if (!Leader || Leader->Name == Settings.Member)
      return Found;
    std::erase(Found, Leader->Peers);
    Found.insert(Found.begin(), Leader->Peers);
    return Found;
  }

  CallerCodec callerCodec() const {
    return {Platform.DecodeSubmission, Platform.EncodeState, Platform.EncodeWaiting};
  }

  HttpServerLimits serverLimits() const {
    HttpServerLimits Limits;
    Limits.MaxHeaderBytes = static_cast<size_t>(Settings.Limits.MaxHeaderBytes);
    Limits.MaxConnections = static_cast<size_t>(Settings.Limits.MaxConnections);
    Limits.HeaderTimeout = IdleTime;
    Limits.BodyTimeout = Settings.Limits.BodyTimeout;
    return Limits;
  }

  // Requests advice from the service directly if \p ViaMember is this process, otherwise through
  // that member.
  Awaitable<Result<Advice>> askAdvice(std::string ViaMember, StepKey Step,
                                      std::vector<std::string> Workers, Milliseconds Timeout) {
    if (ViaMember == Settings.Member)
      co_return co_await Platform.Advice.Ask(Step, std::move(Workers), Timeout);
    const auto &Members = View.snapshot().Members;
    const auto Found = Members.find(ViaMember);
    if (Found == Members.end())
      co_return Error{ErrorKind::UpstreamUnavailable, ViaMember + " is not a known member"};
    cell::AdviseRequest Request;
    Request.set_job(Step.Job);
    Request.set_round(Step.Round);
    Request.set_step(Step.Step);
    Request.set_timeout_ms(Timeout.count());
    Request.set_config_version(Config.version());
    Request.set_forecast(forecastFor(ViaMember));
    for (std::string &Worker : Workers)
      Request.add_worker(std::move(Worker));
    Result<cell::AdviseReply> Reply =
        co_await Peers.Advise(Found->second.Peers, std::move(Request), Timeout);
    if (!ok(Reply))
      co_return error(Reply);
    const cell::AdviseReply &Received = value(Reply);
    if (Received.error() != 0)
      co_return Error{static_cast<ErrorKind>(Received.error()), Received.detail()};
    Advice Decoded;
    Decoded.Valid = Milliseconds(Received.valid_ms());
    for (int I = 0; I < Received.good_size() && I < Received.ticket_size(); ++I)
      Decoded.Eligible.emplace_back(Received.good(I), Received.ticket(I));
    co_return Decoded;
  }

  Awaitable<cell::AdviseReply> handleAdvise(cell::AdviseRequest Request) {
    if (const auto &Leader = View.snapshot().Leader; Leader && Leader->Name != Settings.Member)
      Config.notePeerVersion(Leader->Peers, Request.config_version());
    Admission.receive(forecastIn(Request));
    const StepKey Step{Request.job(), Request.round(), Request.step()};
    std::vector<std::string> Workers(Request.worker().begin(), Request.worker().end());
    Result<Advice> Answer =
        co_await Platform.Advice.Ask(Step, std::move(Workers), Milliseconds(Request.timeout_ms()));
    cell::AdviseReply Reply;
    if (!ok(Answer)) {
      Reply.set_error(static_cast<int>(error(Answer).Kind));
      Reply.set_detail(error(Answer).Detail);
      co_return Reply;
    }
    Reply.set_valid_ms(value(Answer).Valid.count());
    for (const auto &[Worker, Ticket] : value(Answer).Eligible) {
      Reply.add_good(Worker);
      Reply.add_ticket(Ticket);
    }
    co_return Reply;
  }

  CellHandlers peerHandlers() {
    CellHandlers Handlers;
    Handlers.Advise = [this](cell::AdviseRequest Request) {
      return handleAdvise(std::move(Request));
    };
    Handlers.JobState = [this](cell::JobStateRequest Request) -> Awaitable<cell::JobStateReply> {
      co_return Api.jobState(Request);
    };
    Handlers.Waiting = [this](cell::WaitingRequest Request) -> Awaitable<cell::WaitingReply> {
      co_return Api.waiting(Request);
    };
    Handlers.Explain = [this](cell::ExplainRequest Request) -> Awaitable<cell::ExplainReply> {
      cell::ExplainReply Reply;
      if (const auto Scheduler = Lead.scheduler())
        Reply.set_text(Scheduler->explain(Request.id()));
      else
        Reply.set_error(static_cast<int>(ErrorKind::NotOwner));
      co_return Reply;
    };
    Handlers.Announce = [this](cell::AnnounceRequest Request) -> Awaitable<cell::AnnounceReply> {
      co_return handleAnnounce(Request);
    };
    Handlers.Candidate = [this](cell::CandidateRequest Request) -> Awaitable<cell::CandidateReply> {
      cell::CandidateReply Reply;
      Reply.set_could_schedule(Lead.canSchedule(Request.gone_term()));
      co_return Reply;
    };
    Handlers.Term = [this](cell::TermRequest Request) -> Awaitable<cell::TermReply> {
      const TermAnswer Answer = Lead.answerTerm(Request.term(), Request.claimed());
      cell::TermReply Reply;
      Reply.set_member(Answer.Member);
      Reply.set_newest(Answer.IsNewest);
      co_return Reply;
    };
    Handlers.Configuration = [this](cell::ConfigurationRequest Request) {
      return handleConfiguration(std::move(Request));
    };
    Handlers.StoreCall = [this](cell::StoreCallRequest Request) {
      return handleStoreCall(std::move(Request));
    };
    return Handlers;
  }

  // Announces durable jobs and cancellations to the scheduler, ahead of its watch.
  void announce(IntakeUpdate News) {
    if (const auto Scheduler = Lead.scheduler()) {
      for (const std::string &Job : News.Jobs)
        Scheduler->announceJob(Job, News.Revision);
      for (const JobId Id : News.Cancelled)
        Scheduler->announceCancel(Id);
      return;
    }
    const auto &Leader = View.snapshot().Leader;
    if (Leader && Leader->Name != Settings.Member)
      spawnLater(Where, sendAnnouncement(Leader->Peers, std::move(News)));
  }

  Awaitable<void> sendAnnouncement(Endpoint To, IntakeUpdate News) {
    cell::AnnounceRequest Message;
    Message.set_revision(News.Revision);
    Message.set_config_version(Config.version());
    Message.set_member(Settings.Member);
    for (std::string &Job : News.Jobs)
      Message.add_job(std::move(Job));
    for (const JobId Id : News.Cancelled)
      Message.add_cancelled(Id);
    // If this fails, the scheduler learns of them through its watch.
    Result<cell::AnnounceReply> Told =
        co_await Peers.Announce(To, std::move(Message), AnnounceTimeout);
    if (!ok(Told) || value(Told).error() != 0)
      View.refreshSoon();
    if (!ok(Told))
      co_return co_await Lead.probeLeader();
    Config.notePeerVersion(To, value(Told).config_version());
    Admission.receive(forecastIn(value(Told)));
  }

  Awaitable<Result<Done>> revoke(JobId Id, std::string Organisation, TimePoint Until) {
    const Result<Done> Outcome = co_await Revoked.revoke(Id, std::move(Organisation), Until);
    Metrics.count(metrics::JobsRevoked, ok(Outcome) ? "proven" : "in-doubt");
    co_return Outcome;
  }

  Awaitable<uint64_t> holdRevocations(std::vector<Revocation> Batch) {
    if (const auto Scheduler = Lead.scheduler())
      co_return Scheduler->holdRevocations(Batch);
    const auto Leader = View.snapshot().Leader;
    if (!Leader || Leader->Name == Settings.Member)
      co_return 0;
    cell::AnnounceRequest Message;
    Message.set_config_version(Config.version());
    Message.mutable_revoked()->ParseFromString(encodeRevocations(Batch));
    const Result<cell::AnnounceReply> Told =
        co_await Peers.Announce(Leader->Peers, std::move(Message), AnnounceTimeout);
    if (!ok(Told) || value(Told).error() != 0)
      View.refreshSoon();
    co_return ok(Told) ? value(Told).holds_term() : 0;
  }

  cell::AnnounceReply handleAnnounce(const cell::AnnounceRequest &News) {
    cell::AnnounceReply Reply;
    Reply.set_config_version(Config.version());
    const auto Scheduler = Lead.scheduler();
    if (!Scheduler) {
      Reply.set_error(static_cast<int>(ErrorKind::NotOwner));
      return Reply;
    }
    for (const std::string &Job : News.job())
      Scheduler->announceJob(Job, News.revision());
    for (const JobId Id : News.cancelled())
      Scheduler->announceCancel(Id);
    if (News.has_revoked())
      if (Result<std::vector<Revocation>> Batch =
              decodeRevocations(News.revoked().SerializeAsString());
          ok(Batch))
        Reply.set_holds_term(Scheduler->holdRevocations(value(Batch)));
    if (!News.member().empty())
      Reply.set_forecast(forecastFor(News.member()));
    return Reply;
  }

  // The encoded forecast if this process is the scheduler and it is time to send the member one,
  // else empty.
  std::string forecastFor(const std::string &Member) {
    const auto Scheduler = Lead.scheduler();
    const auto Latest = Scheduler ? Scheduler->forecast() : nullptr;
    if (!Latest)
      return {};
    if (Latest != EncodedForecastOf) {
      EncodedForecast = encodeForecast(*Latest);
      EncodedForecastOf = Latest;
    }
    return Pacing.mayCarry(Member, EncodedForecast.size(), Time.Now()) ? EncodedForecast
                                                                       : std::string();
  }

  std::vector<Endpoint> otherPeers() const {
    std::vector<Endpoint> Found;
    for (const auto &[Name, Info] : View.snapshot().Members)
      if (Name != Settings.Member)
        Found.push_back(Info.Peers);
    return Found;
  }

  // Sends a call to the store through a peer, where `handleStoreCall` receives it.
  Awaitable<Result<HttpResponse>> relayStoreCall(Endpoint Peer, HttpRequest Request,
                                                 Milliseconds Timeout) {
    cell::StoreCallRequest Message;
    Message.set_method(std::move(Request.Method));
    Message.set_target(std::move(Request.Target));
    Message.set_body(std::move(Request.Body));
    Message.set_timeout_ms(Timeout.count());
    Result<cell::StoreCallReply> Reply =
        co_await Peers.StoreCall(Peer, std::move(Message), Timeout + RelayOverhead);
    if (!ok(Reply))
      co_return error(Reply);
    const cell::StoreCallReply &Received = value(Reply);
    if (Received.error() != 0)
      co_return Error{static_cast<ErrorKind>(Received.error()), Received.detail()};
    co_return HttpResponse{Received.status(), {}, Received.body()};
  }

  Awaitable<cell::StoreCallReply> handleStoreCall(cell::StoreCallRequest Message) {
    HttpRequest Request{Message.method(), Message.target(), {}, Message.body()};
    if (!Request.Body.empty())
      Request.Headers.emplace_back("Content-Type", "application/json");
    Result<HttpResponse> Answer =
        co_await Router.callForPeer(std::move(Request), Milliseconds(Message.timeout_ms()));
    cell::StoreCallReply Reply;
    if (ok(Answer)) {
      Reply.set_status(value(Answer).Status);
      Reply.set_body(std::move(value(Answer).Body));
    } else {
      Reply.set_error(static_cast<int>(error(Answer).Kind));
      Reply.set_detail(error(Answer).Detail);
    }
    co_return Reply;
  }

  Awaitable<void> serveCaller(HttpExchange &Exchange) {
    const ConfigurationPtr Now = Config.current();
    const auto MaxBytes =
        static_cast<size_t>(Now ? Now->MaxBodyBytes : CellConfiguration{}.MaxBodyBytes);
    Result<std::string> Body = std::string();
    if (Exchange.hasBody())
      Body = co_await readWhole(Exchange, MaxBytes);
    if (!ok(Body)) {
      HttpResponse Refusal = errorResponse(error(Body));
      co_await sendWhole(Exchange, std::move(Refusal));
      co_return;
    }
    CallerRequest Request{
        Exchange.method(), Exchange.target(), std::string(findHeader(Exchange.headers(), "Host")),
        readCallerKey(Exchange.headers(), Platform.CallerKeyHeader), std::move(value(Body))};
    // The strand owns all state.
    const TimePoint ReceivedAt = Time.Now();
    HttpResponse Answer = co_await boost::asio::co_spawn(Where, Api.answer(std::move(Request)),
                                                         boost::asio::use_awaitable);
    Metrics.observe(metrics::CallSeconds, Time.Now() - ReceivedAt);
    Metrics.count(metrics::Calls, Exchange.method() + " " + std::to_string(Answer.Status));
    co_await sendWhole(Exchange, std::move(Answer));
  }

  // Serves operators: metrics, traffic, service-level burn, overload and explanations of jobs.
  Awaitable<void> serveOperator(HttpExchange &Exchange) {
    const std::string Path(pathOf(Exchange.target()));
    HttpResponse Answer = errorResponse({ErrorKind::NotFound, "no such page: " + Path});
    if (Path == "/metrics") {
      Metrics.set(metrics::LogLinesLeftOut, static_cast<double>(droppedLogLines()));
      Metrics.setTraffic(Meter.stats());
      Answer = {HttpOk, {{"Content-Type", "text/plain; version=0.0.4"}}, Metrics.text()};
    } else if (Path == "/v1/load") {
      Answer = jsonResponse(HttpOk, encodeTraffic(Meter.stats()) + "\n");
    } else if (Path == "/v1/burn") {
      Answer = co_await boost::asio::co_spawn(Where, burn(), boost::asio::use_awaitable);
    } else if (Path == "/v1/overload") {
      Answer = co_await boost::asio::co_spawn(Where, overload(), boost::asio::use_awaitable);
    } else if (Path.starts_with(JobsPath) && Path.ends_with(ExplainPath)) {
      const size_t Length = Path.size() - JobsPath.size() - ExplainPath.size();
      const auto Id = parseJobId(std::string_view(Path).substr(JobsPath.size(), Length));
      if (Id)
        Answer = co_await boost::asio::co_spawn(Where, explain(*Id), boost::asio::use_awaitable);
    }
    co_await sendWhole(Exchange, std::move(Answer));
  }

  Awaitable<HttpResponse> burn() { co_return jsonResponse(HttpOk, encodeBurn(Burn) + "\n"); }

  Awaitable<HttpResponse> overload() {
    std::optional<uint64_t> Term;
    if (const auto &Leader = View.snapshot().Leader)
      Term = Leader->Term;
    co_return jsonResponse(HttpOk, Admission.describe(Term, localLoad()) + "\n");
  }

  Awaitable<HttpResponse> explain(JobId Id) {
    std::string Text;
    const auto &Leader = View.snapshot().Leader;
    if (const auto Scheduler = Lead.scheduler()) {
      Text = Scheduler->explain(Id);
    } else if (Leader && Leader->Name != Settings.Member) {
      cell::ExplainRequest Request;
      Request.set_id(Id);
      Result<cell::ExplainReply> Reply =
          co_await Peers.Explain(Leader->Peers, Request, ExplainTimeout);
      if (!ok(Reply))
        co_return errorResponse(error(Reply));
      Text = value(Reply).text();
    }
    if (Text.empty())
      co_return errorResponse({ErrorKind::NotFound, "the scheduler has no live job with this id"});
    co_return jsonResponse(HttpOk, Text + "\n");
  }

  Awaitable<void> serveReadiness(HttpExchange &Exchange) {
    const bool Ready =
        !Stopping && Config.current() && Router.failingFor() < UnreadyAfterStoreFailure;
    if (Ready != WasReady)
      logEvent(
          Ready ? events::BecameReady : events::BecameUnready,
          {{"config", Config.current() ? "yes" : "no"}, {"stopping", Stopping ? "yes" : "no"}});
    WasReady = Ready;
    Metrics.set(metrics::Ready, Ready ? 1 : 0);
    HttpResponse Answer =
        Ready ? jsonResponse(HttpOk, "{}")
              : errorResponse(
                    {ErrorKind::StoreUnavailable,
                     "the process is stopping, has no configuration or can't reach the store"});
    co_await sendWhole(Exchange, std::move(Answer));
  }

  // Idle connections are closed after this time.
  static constexpr Milliseconds IdleTime{60000};
  static constexpr std::string_view JobsPath = "/v1/jobs/";
  static constexpr std::string_view ExplainPath = "/explain";

  const Executor Where;
  const CellSettings Settings;
  const Clock Time;
  const CellPlatform Platform;
  const CellLink Peers;
  const TrafficMeter &Meter;
  CellMetrics Metrics;
  BurnBook Burn; ///< Jobs that ended while this process was the scheduler. Only used on the strand.
  StoreRouter Router;
  const KeyValueStore Store;
  CellView View;
  ConfigWatch Config;
  Revocations Revoked;
  Intake In;
  Leadership Lead;
  admission::AdmissionControl Admission;
  CallerApi Api;
  HttpServer Callers;
  HttpServer Readiness;
  HttpServer Operators;
  CellServer PeerServer;
  std::string Packed;         ///< The configuration last sent to a peer, compressed.
  uint64_t PackedVersion = 0; ///< Version of `Packed`.
  ForecastPacing Pacing;
  std::shared_ptr<const Forecast> EncodedForecastOf;
  std::string EncodedForecast; ///< `EncodedForecastOf`, encoded.
  bool Stopping = false;
  bool WasReady = false;
};

CellProcess::CellProcess(Executor Where, CellSettings Settings, Clock Time, CellPlatform Platform,
                         CellLink Peers, const TrafficMeter &Meter)
    : Inner(std::make_unique<Impl>(Where, std::move(Settings), std::move(Time), std::move(Platform),
                                   std::move(Peers), Meter)) {}
CellProcess::~CellProcess() = default;
Result<Done> CellProcess::start() { return Inner->start(); }
void CellProcess::beginStop(std::function<void(int)> Finished) {
  Inner->beginStop(std::move(Finished));
}

} // namespace valveshelf
