// SPDX-License-Identifier: Apache-2.0
// Wiring of an entry process, its readiness and its planned stop.
#include "valveshelf/cell_process.h"

#include "cell/cell_view.h"
#include "cell/config_watch.h"
#include "cell/front_door.h"
#include "cell/intake.h"
#include "cell/leadership.h"
#include "valveshelf/cell_link.h"
#include "valveshelf/events.h"

#include <boost/asio.hpp>

namespace valveshelf {
using namespace sched;

namespace {
// Without an answer of the store for so long, new connections are better off elsewhere.
constexpr Milliseconds StoreSilence{3000};
// The balancer needs two missed probes, a second apart, to send new connections elsewhere.
constexpr Milliseconds LeaveTime{2600};
// Kept back from the time for a planned stop, so that the process ends before it is killed.
constexpr Milliseconds StopReserve{900};
constexpr Milliseconds StopLook{20};
constexpr int HttpOk = 200;
} // namespace

class CellProcess::Impl {
public:
  Impl(Executor Where, CellSettings Given, Clock Time, CellPlatform From)
      : Where(Where), Settings(std::move(Given)), Time(Time), From(std::move(From)),
        Peers(grpcCell(Where)),
        View(Where, this->From.Store, Time, Settings, [this] { Lead.viewChanged(); }),
        Config(Where, this->From.Store, Settings, this->From.ConfigurationKey,
               this->From.DecodeConfiguration),
        In(Where, this->From.Store, Time, Settings), Lead(schedulerTools(), View),
        Door(Settings, Time, callerCodec(), this->From.Store, Config, View, Lead, In, Peers),
        Callers(Where, Settings.Callers, serverLimits(),
                [this](HttpExchange &E) { return serveCaller(E); }),
        Readiness(Where, Settings.Readiness, serverLimits(),
                  [this](HttpExchange &E) { return serveReadiness(E); }),
        PeersIn(Where, Settings.Peers, handlers()) {}

  Result<Done> start() {
    for (const Result<Done> &Started : {PeersIn.start(), Readiness.start(), Callers.start()})
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
    while (Callers.inProgress() > 0 &&
           Time.Now() - Begun < Settings.Timing.StopGrace - StopReserve)
      co_await sleepFor(StopLook);
    logEvent(events::Stopped, {{"in_progress", std::to_string(Callers.inProgress())}});
    Finished(0);
  }

  SchedulerTools schedulerTools() {
    return {Where,
            Time,
            Settings,
            From.Store,
            From.Workers,
            [this](std::string Lane, StepKey Step, std::vector<std::string> Workers,
                   Milliseconds Timeout) {
              return askThrough(std::move(Lane), Step, std::move(Workers), Timeout);
            },
            From.WorkerPrefix,
            From.DecodeWorker};
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
    const StepKey Step{Asked.job(), Asked.round(), Asked.step()};
    std::vector<std::string> Workers(Asked.worker().begin(), Asked.worker().end());
    Result<Advice> Answer = co_await From.Advice.Ask(Step, std::move(Workers),
                                                     Milliseconds(Asked.timeout_ms()));
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
    Answers.StoreCall = [](cell::StoreCallRequest) -> Awaitable<cell::StoreCallReply> {
      cell::StoreCallReply Reply;
      Reply.set_error(static_cast<int>(ErrorKind::StoreUnavailable));
      co_return Reply;
    };
    return Answers;
  }

  Awaitable<void> serveCaller(HttpExchange &Exchange) {
    const ConfigurationPtr Now = Config.current();
    const auto MostBytes = static_cast<size_t>(Now ? Now->MaxBodyBytes : CellConfiguration{}.MaxBodyBytes);
    Result<std::string> Body = std::string();
    if (Exchange.hasBody())
      Body = co_await readWhole(Exchange, MostBytes);
    if (!ok(Body)) {
      HttpResponse Refusal = errorResponse(error(Body));
      co_await sendWhole(Exchange, std::move(Refusal));
      co_return;
    }
    std::string Host(findHeader(Exchange.headers(), "Host"));
    // On the strand of this process, where all state lives.
    HttpResponse Answer = co_await boost::asio::co_spawn(
        Where, Door.answer(Exchange.method(), Exchange.target(), std::move(Host),
                           std::move(value(Body))),
        boost::asio::use_awaitable);
    co_await sendWhole(Exchange, std::move(Answer));
  }

  Awaitable<void> serveReadiness(HttpExchange &Exchange) {
    const bool Ready =
        !Stopping && Config.current() && Time.Now() - View.lastAnswer() < StoreSilence;
    if (Ready != WasReady)
      logEvent(Ready ? events::BecameReady : events::BecameUnready,
               {{"config", Config.current() ? "yes" : "no"}, {"stopping", Stopping ? "yes" : "no"}});
    WasReady = Ready;
    HttpResponse Answer = Ready ? jsonResponse(HttpOk, "{}")
                                : errorResponse({ErrorKind::StoreUnavailable, "not ready"});
    co_await sendWhole(Exchange, std::move(Answer));
  }

  // Callers keep connections open between requests; an idle one is closed after this.
  static constexpr Milliseconds IdleTime{60000};

  const Executor Where;
  const CellSettings Settings;
  const Clock Time;
  const CellPlatform From;
  const CellLink Peers;
  CellView View;
  ConfigWatch Config;
  Intake In;
  Leadership Lead;
  FrontDoor Door;
  HttpServer Callers;
  HttpServer Readiness;
  CellServer PeersIn;
  bool Stopping = false;
  bool WasReady = false;
};

CellProcess::CellProcess(Executor Where, CellSettings Settings, Clock Time, CellPlatform From)
    : Inner(std::make_unique<Impl>(Where, std::move(Settings), std::move(Time), std::move(From))) {}
CellProcess::~CellProcess() = default;
Result<Done> CellProcess::start() { return Inner->start(); }
void CellProcess::beginStop(std::function<void(int)> Finished) {
  Inner->beginStop(std::move(Finished));
}

} // namespace valveshelf
