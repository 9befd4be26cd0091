// SPDX-License-Identifier: Apache-2.0
// Wiring of an entry process, its readiness and its planned stop.
#include "valveshelf/cell_process.h"

#include "cell/cell_view.h"
#include "cell/config_watch.h"
#include "cell/front_door.h"
#include "cell/intake.h"
#include "cell/leadership.h"
#include "valveshelf/cell_link.h"
#include "valveshelf/cell_metrics.h"
#include "valveshelf/events.h"
#include "valveshelf/packing.h"

#include <boost/asio.hpp>

namespace valveshelf {
using namespace sched;

namespace {
// When calls to the store have failed for so long, new connections are better off elsewhere.
constexpr Milliseconds StoreSilence{3000};
// A store that has answered within this time is there.
constexpr Milliseconds AnswersNow{700};
// The balancer needs two missed probes, a second apart, to send new connections elsewhere.
constexpr Milliseconds LeaveTime{2600};
// Kept back from the time for a planned stop, so that the process ends before it is killed.
constexpr Milliseconds StopReserve{900};
constexpr Milliseconds StopLook{20};
// For telling the scheduler what has become durable. Without an answer it is found out whether the
// scheduler is gone, which costs a connection if it is not, and a cell its scheduler for so long if
// it is.
constexpr Milliseconds AnnounceTimeout{200};
// For asking a peer whether it could schedule.
constexpr Milliseconds CandidateTimeout{150};
// Two more hops of the cell's own.
constexpr Milliseconds RelaySlack{100};
// For asking the scheduler to explain a job.
constexpr Milliseconds ExplainTimeout{2000};
// For asking a peer for its configuration, some kilobytes.
constexpr Milliseconds ConfigurationTimeout{300};
constexpr size_t MostConfigurationBytes = 16 * 1024 * 1024;
constexpr int HttpOk = 200;
} // namespace

class CellProcess::Impl {
public:
  Impl(Executor Where, CellSettings Given, Clock Time, CellPlatform From, CellLink Link,
       const TrafficMeter &Meter)
      : Where(Where), Settings(std::move(Given)), Time(Time), From(std::move(From)),
        Peers(std::move(Link)), Meter(Meter),
        Path(
            Where, Time, this->From.StoreProbe, this->From.StoreCalls,
            [this](Endpoint Peer, HttpRequest Request, Milliseconds Timeout) {
              return relay(std::move(Peer), std::move(Request), Timeout);
            },
            [this] { return otherPeers(); },
            [this](Steady::duration Took) { Metrics.observe(metrics::StoreSeconds, Took); }),
        Store(this->From.OpenStore([this](StoreCall Call) { return Path.call(std::move(Call)); })),
        View(Where, Store, Settings, [this] { Lead.viewChanged(); }),
        Config(Where, Time, Store, Settings, this->From.Operators, this->From.DecodeConfiguration,
               configLinks()),
        In(
            Where, Store, Time, Settings, [this] { return Path.isSilent(); },
            [this](IntakeNews News) { announce(std::move(News)); }),
        Lead(schedulerTools(), View, leadershipLinks()),
        Door(Settings, Time, callerCodec(), Store, Config, View, Lead, In, Peers,
             [this] { return Path.retryAfter(); }),
        Callers(Where, Settings.Callers, serverLimits(),
                [this](HttpExchange &E) { return serveCaller(E); }),
        Readiness(Where, Settings.Readiness, serverLimits(),
                  [this](HttpExchange &E) { return serveReadiness(E); }),
        Operators(Where, Settings.Metrics, serverLimits(),
                  [this](HttpExchange &E) { return serveOperator(E); }),
        PeersIn(Where, Settings.Peers, serverLimits(), handlers()) {}

  Result<Done> start() {
    for (const Result<Done> &Started :
         {PeersIn.start(), Operators.start(), Readiness.start(), Callers.start()})
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
      spawnLater(Where, stopNow(Finished));
    });
  }

private:
  Awaitable<void> stopNow(std::function<void(int)> Finished) {
    const TimePoint Begun = Time.Now();
    logEvent(events::Stopping, {{"in_progress", std::to_string(Callers.inProgress())}});
    Callers.beginDrain();
    co_await Lead.leave();
    co_await View.leave();
    while (Time.Now() - Begun < LeaveTime)
      co_await sleepFor(StopLook);
    Callers.stopAccepting();
    while (Callers.inProgress() > 0 && Time.Now() - Begun < Settings.Timing.StopGrace - StopReserve)
      co_await sleepFor(StopLook);
    logEvent(events::Stopped, {{"in_progress", std::to_string(Callers.inProgress())}});
    Finished(0);
  }

  SchedulerTools schedulerTools() {
    return {Where,
            Time,
            Settings,
            Store,
            From.Workers,
            [this](std::string Lane, StepKey Step, std::vector<std::string> Workers,
                   Milliseconds Timeout) {
              return askThrough(std::move(Lane), Step, std::move(Workers), Timeout);
            },
            From.WorkerPrefix,
            From.Operators.Evacuations,
            From.DecodeWorker,
            Metrics,
            Burn,
            [this] { return Time.Now() - Path.lastAnswer() < AnswersNow; }};
  }

  LeadershipLinks leadershipLinks() {
    LeadershipLinks Links;
    Links.Listens = Peers.Listens;
    Links.CouldSchedule = [this](Endpoint To, uint64_t GoneTerm) -> Awaitable<bool> {
      cell::CandidateRequest Question;
      Question.set_gone_term(GoneTerm);
      Result<cell::CandidateReply> Reply =
          co_await Peers.Candidate(std::move(To), Question, CandidateTimeout);
      co_return ok(Reply) && value(Reply).could_schedule();
    };
    Links.StoreIsStraight = [this] { return Path.isStraight(); };
    return Links;
  }

  ConfigLinks configLinks() {
    ConfigLinks Links;
    Links.AskPeer = [this](Endpoint Peer, uint64_t Have, Milliseconds Wait) {
      return askConfiguration(std::move(Peer), Have, Wait);
    };
    Links.Peers = [this] { return schedulerFirst(); };
    Links.Schedules = [this] { return Lead.scheduler() != nullptr; };
    Links.HearsStore = [this] {
      return Lead.scheduler() != nullptr || hearsStore(View.picture().Roster, Settings.Member);
    };
    Links.Hearers = [this] { return hearersFor(View.picture().Roster, Settings.Member); };
    Links.Changed = [this] { Lead.configurationChanged(Config.current()); };
    Links.ZonesChanged = [this] { Lead.zonesChanged(Config.evacuated()); };
    return Links;
  }

  Awaitable<Result<PeerConfiguration>> askConfiguration(Endpoint Peer, uint64_t Have,
                                                        Milliseconds Wait) {
    cell::ConfigurationRequest Question;
    Question.set_have_version(Have);
    Question.set_wait_ms(Wait.count());
    Result<cell::ConfigurationReply> Reply =
        co_await Peers.Configuration(std::move(Peer), Question, Wait + ConfigurationTimeout);
    if (!ok(Reply))
      co_return error(Reply);
    const cell::ConfigurationReply &Got = value(Reply);
    Result<std::string> Newer = Got.configuration();
    if (Got.packed())
      Newer = unpack(Got.configuration(), MostConfigurationBytes);
    if (!ok(Newer))
      co_return error(Newer);
    co_return PeerConfiguration{std::move(value(Newer)), Got.version(),
                                Milliseconds(Got.confirmed_ms_ago())};
  }

  Awaitable<cell::ConfigurationReply> configuration(cell::ConfigurationRequest Asked) {
    const PeerConfiguration Known =
        co_await Config.tell(Asked.have_version(), Milliseconds(Asked.wait_ms()));
    cell::ConfigurationReply Reply;
    if (!Known.Newer.empty()) {
      if (PackedVersion != Known.Version)
        Packed = pack(Known.Newer);
      PackedVersion = Known.Version;
      Reply.set_configuration(Packed);
      Reply.set_packed(true);
    }
    Reply.set_version(Known.Version);
    Reply.set_confirmed_ms_ago(Known.ConfirmedAge.count());
    co_return Reply;
  }

  // The other processes, the scheduler's before the others.
  std::vector<Endpoint> schedulerFirst() const {
    std::vector<Endpoint> Found = otherPeers();
    const auto &Leader = View.picture().Leader;
    if (!Leader || Leader->Name == Settings.Member)
      return Found;
    std::erase(Found, Leader->Peers);
    Found.insert(Found.begin(), Leader->Peers);
    return Found;
  }

  CallerCodec callerCodec() const {
    return {From.DecodeSubmission, From.EncodeState, From.EncodeWaiting};
  }

  HttpServerLimits serverLimits() const {
    HttpServerLimits Limits;
    Limits.MaxHeaderBytes = static_cast<size_t>(Settings.Limits.MaxHeaderBytes);
    Limits.MaxConnections = static_cast<size_t>(Settings.Limits.MaxConnections);
    Limits.HeaderTimeout = IdleTime;
    Limits.BodyTimeout = Settings.Limits.BodyTimeout;
    return Limits;
  }

  // Advice is asked for here, or by a peer on this process's behalf.
  Awaitable<Result<Advice>> askThrough(std::string Lane, StepKey Step,
                                       std::vector<std::string> Workers, Milliseconds Timeout) {
    if (Lane == Settings.Member)
      co_return co_await From.Advice.Ask(Step, std::move(Workers), Timeout);
    const auto &Members = View.picture().Members;
    const auto Found = Members.find(Lane);
    if (Found == Members.end())
      co_return Error{ErrorKind::UpstreamUnavailable, Lane + " has left"};
    cell::AdviseRequest Question;
    Question.set_job(Step.Job);
    Question.set_round(Step.Round);
    Question.set_step(Step.Step);
    Question.set_timeout_ms(Timeout.count());
    Question.set_config_version(Config.version());
    for (std::string &Worker : Workers)
      Question.add_worker(std::move(Worker));
    Result<cell::AdviseReply> Reply =
        co_await Peers.Advise(Found->second.Peers, std::move(Question), Timeout);
    if (!ok(Reply))
      co_return error(Reply);
    const cell::AdviseReply &Got = value(Reply);
    if (Got.error() != 0)
      co_return Error{static_cast<ErrorKind>(Got.error()), Got.detail()};
    Advice Read;
    Read.Valid = Milliseconds(Got.valid_ms());
    for (int I = 0; I < Got.good_size() && I < Got.ticket_size(); ++I)
      Read.Good.emplace_back(Got.good(I), Got.ticket(I));
    co_return Read;
  }

  Awaitable<cell::AdviseReply> advise(cell::AdviseRequest Asked) {
    if (const auto &Leader = View.picture().Leader; Leader && Leader->Name != Settings.Member)
      Config.peerHas(Leader->Peers, Asked.config_version());
    const StepKey Step{Asked.job(), Asked.round(), Asked.step()};
    std::vector<std::string> Workers(Asked.worker().begin(), Asked.worker().end());
    Result<Advice> Answer =
        co_await From.Advice.Ask(Step, std::move(Workers), Milliseconds(Asked.timeout_ms()));
    cell::AdviseReply Reply;
    if (!ok(Answer)) {
      Reply.set_error(static_cast<int>(error(Answer).Kind));
      Reply.set_detail(error(Answer).Detail);
      co_return Reply;
    }
    Reply.set_valid_ms(value(Answer).Valid.count());
    for (const auto &[Worker, Ticket] : value(Answer).Good) {
      Reply.add_good(Worker);
      Reply.add_ticket(Ticket);
    }
    co_return Reply;
  }

  CellHandlers handlers() {
    CellHandlers Answers;
    Answers.Advise = [this](cell::AdviseRequest Asked) { return advise(std::move(Asked)); };
    Answers.JobState = [this](cell::JobStateRequest Asked) -> Awaitable<cell::JobStateReply> {
      co_return Door.jobState(Asked);
    };
    Answers.Waiting = [this](cell::WaitingRequest Asked) -> Awaitable<cell::WaitingReply> {
      co_return Door.waiting(Asked);
    };
    Answers.Explain = [this](cell::ExplainRequest Asked) -> Awaitable<cell::ExplainReply> {
      cell::ExplainReply Reply;
      if (const auto Here = Lead.scheduler())
        Reply.set_text(Here->explain(Asked.id()));
      else
        Reply.set_error(static_cast<int>(ErrorKind::NotOwner));
      co_return Reply;
    };
    Answers.Announce = [this](cell::AnnounceRequest Asked) -> Awaitable<cell::AnnounceReply> {
      co_return announced(Asked);
    };
    Answers.Candidate = [this](cell::CandidateRequest Asked) -> Awaitable<cell::CandidateReply> {
      cell::CandidateReply Reply;
      Reply.set_could_schedule(Lead.couldSchedule(Asked.gone_term()));
      co_return Reply;
    };
    Answers.Configuration = [this](cell::ConfigurationRequest Asked) {
      return configuration(std::move(Asked));
    };
    Answers.StoreCall = [this](cell::StoreCallRequest Asked) { return passOn(std::move(Asked)); };
    return Answers;
  }

  // What has become durable here is told to the scheduler; its watch would bring it as well.
  void announce(IntakeNews News) {
    if (const auto Here = Lead.scheduler()) {
      for (const std::string &Job : News.Jobs)
        Here->announceJob(Job, News.Revision);
      for (const JobId Id : News.Cancelled)
        Here->announceCancel(Id);
      return;
    }
    const auto &Leader = View.picture().Leader;
    if (Leader && Leader->Name != Settings.Member)
      spawnLater(Where, tell(Leader->Peers, std::move(News)));
  }

  Awaitable<void> tell(Endpoint To, IntakeNews News) {
    cell::AnnounceRequest Message;
    Message.set_revision(News.Revision);
    Message.set_config_version(Config.version());
    for (std::string &Job : News.Jobs)
      Message.add_job(std::move(Job));
    for (const JobId Id : News.Cancelled)
      Message.add_cancelled(Id);
    // Without an answer the scheduler's watch brings the news.
    Result<cell::AnnounceReply> Told =
        co_await Peers.Announce(To, std::move(Message), AnnounceTimeout);
    if (!ok(Told) || value(Told).error() != 0)
      View.doubt();
    if (!ok(Told))
      co_return co_await Lead.suspect();
    Config.peerHas(To, value(Told).config_version());
  }

  cell::AnnounceReply announced(const cell::AnnounceRequest &News) {
    cell::AnnounceReply Reply;
    Reply.set_config_version(Config.version());
    const auto Here = Lead.scheduler();
    if (!Here) {
      Reply.set_error(static_cast<int>(ErrorKind::NotOwner));
      return Reply;
    }
    for (const std::string &Job : News.job())
      Here->announceJob(Job, News.revision());
    for (const JobId Id : News.cancelled())
      Here->announceCancel(Id);
    return Reply;
  }

  std::vector<Endpoint> otherPeers() const {
    std::vector<Endpoint> Found;
    for (const auto &[Name, Info] : View.picture().Members)
      if (Name != Settings.Member)
        Found.push_back(Info.Peers);
    return Found;
  }

  // A call to the store through a peer, and one for a peer.
  Awaitable<Result<HttpResponse>> relay(Endpoint Peer, HttpRequest Request, Milliseconds Timeout) {
    cell::StoreCallRequest Message;
    Message.set_method(std::move(Request.Method));
    Message.set_target(std::move(Request.Target));
    Message.set_body(std::move(Request.Body));
    Message.set_timeout_ms(Timeout.count());
    Result<cell::StoreCallReply> Reply =
        co_await Peers.StoreCall(Peer, std::move(Message), Timeout + RelaySlack);
    if (!ok(Reply))
      co_return error(Reply);
    const cell::StoreCallReply &Got = value(Reply);
    if (Got.error() != 0)
      co_return Error{static_cast<ErrorKind>(Got.error()), Got.detail()};
    co_return HttpResponse{Got.status(), {}, Got.body()};
  }

  Awaitable<cell::StoreCallReply> passOn(cell::StoreCallRequest Asked) {
    HttpRequest Request{Asked.method(), Asked.target(), {}, Asked.body()};
    if (!Request.Body.empty())
      Request.Headers.emplace_back("Content-Type", "application/json");
    Result<HttpResponse> Answer =
        co_await Path.callForPeer(std::move(Request), Milliseconds(Asked.timeout_ms()));
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
    const auto MostBytes =
        static_cast<size_t>(Now ? Now->MaxBodyBytes : CellConfiguration{}.MaxBodyBytes);
    Result<std::string> Body = std::string();
    if (Exchange.hasBody())
      Body = co_await readWhole(Exchange, MostBytes);
    if (!ok(Body)) {
      HttpResponse Refusal = errorResponse(error(Body));
      co_await sendWhole(Exchange, std::move(Refusal));
      co_return;
    }
    CallerRequest Asked{
        Exchange.method(), Exchange.target(), std::string(findHeader(Exchange.headers(), "Host")),
        callerKey(Exchange.headers(), From.CallerKeyHeader), std::move(value(Body))};
    // On the strand of this process, where all state lives.
    const TimePoint Came = Time.Now();
    HttpResponse Answer = co_await boost::asio::co_spawn(Where, Door.answer(std::move(Asked)),
                                                         boost::asio::use_awaitable);
    Metrics.observe(metrics::CallSeconds, Time.Now() - Came);
    Metrics.count(metrics::Calls, Exchange.method() + " " + std::to_string(Answer.Status));
    co_await sendWhole(Exchange, std::move(Answer));
  }

  // The operators' page of this process: its figures, and jobs explained.
  Awaitable<void> serveOperator(HttpExchange &Exchange) {
    const std::string Path(pathOf(Exchange.target()));
    HttpResponse Answer = errorResponse({ErrorKind::NotFound, "there is no page " + Path});
    if (Path == "/metrics") {
      Metrics.set(metrics::LogLinesLeftOut, static_cast<double>(logLinesLeftOut()));
      Metrics.setTraffic(Meter.stats());
      Answer = {HttpOk, {{"Content-Type", "text/plain; version=0.0.4"}}, Metrics.text()};
    } else if (Path == "/v1/load") {
      Answer = jsonResponse(HttpOk, encodeTraffic(Meter.stats()) + "\n");
    } else if (Path == "/v1/burn") {
      Answer = co_await boost::asio::co_spawn(Where, burn(), boost::asio::use_awaitable);
    } else if (Path.starts_with(JobsPath) && Path.ends_with(ExplainPath)) {
      const size_t Length = Path.size() - JobsPath.size() - ExplainPath.size();
      const auto Id = parseJobId(std::string_view(Path).substr(JobsPath.size(), Length));
      if (Id)
        Answer = co_await boost::asio::co_spawn(Where, explain(*Id), boost::asio::use_awaitable);
    }
    co_await sendWhole(Exchange, std::move(Answer));
  }

  Awaitable<HttpResponse> burn() { co_return jsonResponse(HttpOk, encodeBurn(Burn) + "\n"); }

  Awaitable<HttpResponse> explain(JobId Id) {
    std::string Text;
    const auto &Leader = View.picture().Leader;
    if (const auto Here = Lead.scheduler()) {
      Text = Here->explain(Id);
    } else if (Leader && Leader->Name != Settings.Member) {
      cell::ExplainRequest Question;
      Question.set_id(Id);
      Result<cell::ExplainReply> Reply =
          co_await Peers.Explain(Leader->Peers, Question, ExplainTimeout);
      if (!ok(Reply))
        co_return errorResponse(error(Reply));
      Text = value(Reply).text();
    }
    if (Text.empty())
      co_return errorResponse({ErrorKind::NotFound, "the scheduler knows no such live job"});
    co_return jsonResponse(HttpOk, Text + "\n");
  }

  Awaitable<void> serveReadiness(HttpExchange &Exchange) {
    const bool Ready = !Stopping && Config.current() && Path.failingFor() < StoreSilence;
    if (Ready != WasReady)
      logEvent(
          Ready ? events::BecameReady : events::BecameUnready,
          {{"config", Config.current() ? "yes" : "no"}, {"stopping", Stopping ? "yes" : "no"}});
    WasReady = Ready;
    Metrics.set(metrics::Ready, Ready ? 1 : 0);
    HttpResponse Answer = Ready ? jsonResponse(HttpOk, "{}")
                                : errorResponse({ErrorKind::StoreUnavailable, "not ready"});
    co_await sendWhole(Exchange, std::move(Answer));
  }

  // Callers keep connections open between requests; an idle one is closed after this.
  static constexpr Milliseconds IdleTime{60000};
  static constexpr std::string_view JobsPath = "/v1/jobs/";
  static constexpr std::string_view ExplainPath = "/explain";

  const Executor Where;
  const CellSettings Settings;
  const Clock Time;
  const CellPlatform From;
  const CellLink Peers;
  const TrafficMeter &Meter;
  CellMetrics Metrics;
  BurnBook Burn; ///< Of what ended while this process scheduled; of the strand.
  StorePath Path;
  const KeyValueStore Store;
  CellView View;
  ConfigWatch Config;
  Intake In;
  Leadership Lead;
  FrontDoor Door;
  HttpServer Callers;
  HttpServer Readiness;
  HttpServer Operators;
  CellServer PeersIn;
  std::string Packed;         ///< The newest configuration that a peer was told,
  uint64_t PackedVersion = 0; ///< and its version.
  bool Stopping = false;
  bool WasReady = false;
};

CellProcess::CellProcess(Executor Where, CellSettings Settings, Clock Time, CellPlatform From,
                         CellLink Peers, const TrafficMeter &Meter)
    : Inner(std::make_unique<Impl>(Where, std::move(Settings), std::move(Time), std::move(From),
                                   std::move(Peers), Meter)) {}
CellProcess::~CellProcess() = default;
Result<Done> CellProcess::start() { return Inner->start(); }
void CellProcess::beginStop(std::function<void(int)> Finished) {
  Inner->beginStop(std::move(Finished));
}

} // namespace valveshelf
