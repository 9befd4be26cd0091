// SPDX-License-Identifier: Apache-2.0
// Lifecycle of the entry process: joining the cell, gossip, the box list, the handlers of peer
// calls, and graceful shutdown.
#include "valveshelf/entry_process.h"

#include "valveshelf/events.h"

#include <boost/asio.hpp>

#include <random>

namespace valveshelf {
namespace {
constexpr Milliseconds RetryPause{200};
constexpr Milliseconds BoxPollInterval{1000};
constexpr Milliseconds RouterRefreshInterval{200};
constexpr Milliseconds PeerTimeout{1500};
constexpr size_t GossipFanOut = 4;
constexpr int UnchangedGossipPeriod = 4;

HttpServerLimits limitsOf(const IntakeLimits &Limits) {
  HttpServerLimits Out;
  Out.MaxHeaderBytes = static_cast<size_t>(Limits.MaxHeaderBytes);
  Out.MaxConnections = static_cast<size_t>(Limits.MaxConnections);
  Out.HeaderTimeout = Limits.HeaderTimeout;
  Out.BodyTimeout = Limits.BodyTimeout;
  return Out;
}

// Unique per incarnation: the member's name, the wall-clock time and a random number.
std::string newLogId(const std::string &Member, WallTime Now) {
  std::random_device Random;
  return Member + "." + std::to_string(Now.time_since_epoch().count()) + "." +
         std::to_string(Random() % 100000);
}
} // namespace

EntryProcess::EntryProcess(Executor Where, EntrySettings Settings, Clock Time,
                           Platform PlatformAccess, HttpClient &Client)
    : Where(Where), Settings(std::move(Settings)), Time(std::move(Time)),
      PlatformAccess(std::move(PlatformAccess)), Client(Client),
      Peers(makeGrpcPeerOps(Where, PeerTimeout)), Watch(this->PlatformAccess.Store, this->Time),
      Directory(this->Settings.Shards),
      Config(this->PlatformAccess.Store, this->Time, Peers, Watch),
      RequestRouter({Where, this->Time, Client, Directory, [this] { return Config.current(); },
                     [this] { return Watch.view(); },
                     [this] {
                       const auto Current = session();
                       return Current && Current->mayAct();
                     },
                     this->Settings.Member}),
      Callers(Where, this->Settings.Callers, limitsOf(this->Settings.Limits),
              [this](HttpExchange &Exchange) { return serveCaller(Exchange); }),
      Operators(Where, this->Settings.Operators, limitsOf(this->Settings.Limits),
                [this](HttpExchange &Exchange) { return serveOperator(Exchange); }),
      PeerListener(Where, this->Settings.Peers, peerHandlers()) {}

Result<Done> EntryProcess::start() {
  if (Result<Done> Bound = PeerListener.start(); !ok(Bound))
    return Bound;
  if (Result<Done> Bound = Callers.start(); !ok(Bound))
    return Bound;
  if (Result<Done> Bound = Operators.start(); !ok(Bound))
    return Bound;
  Watch.onChange([this] {
    Config.applyIfNewer(Watch.view()->ConfigText, "");
    if (const auto Current = session())
      Current->ownership().wake();
  });
  spawnLater(Where, joinLoop());
  spawnLater(Where, boxLoop());
  spawnLater(Where, gossipLoop());
  spawnLater(Where, refreshLoop());
  return Done{};
}

std::shared_ptr<Session> EntryProcess::session() const {
  std::lock_guard Lock(Mutex);
  return Sessions.empty() ? nullptr : Sessions.back();
}

std::shared_ptr<ShardRunner> EntryProcess::runner(uint32_t Shard) const {
  const auto Current = session();
  return Current ? Current->ownership().find(Shard) : nullptr;
}

// All processes of a cell must agree on the number of shards; otherwise two of them could own the
// same rack.
Awaitable<Result<Done>> EntryProcess::checkShardCount() {
  const std::string Mine = std::to_string(Settings.Shards);
  while (Watch.view()->ShardsText.empty()) {
    Result<uint64_t> Put = co_await PlatformAccess.Store.Put(std::string(ShardsKey), Mine, 0, 0);
    if (!ok(Put))
      co_await sleepFor(RetryPause);
    co_await Watch.load();
  }
  if (Watch.view()->ShardsText != Mine)
    co_return Error{ErrorKind::BadSettings, "cell.shards is " + Mine + " here but " +
                                                Watch.view()->ShardsText + " in the cell"};
  co_return Done{};
}

// Joins the cell, and joins it again with a new session whenever another process has sealed this
// one's journal.
Awaitable<void> EntryProcess::joinLoop() {
  while (!ok(co_await Watch.load()))
    co_await sleepFor(RetryPause);
  Result<Done> Agreed = co_await checkShardCount();
  if (!ok(Agreed)) {
    logEvent(events::SettingsRefused, {{"why", "\"" + error(Agreed).Detail + "\""}});
    co_return OnFatal(answerFor(ErrorKind::BadSettings).ExitCode);
  }
  spawnLater(Where, Watch.run());
  SessionTools Tools{Where,
                     Time,
                     Settings,
                     PlatformAccess.Store,
                     PlatformAccess.Workers,
                     Peers,
                     Watch,
                     Directory,
                     [this] { return Config.current(); }};
  while (!Stopping) {
    auto Next = std::make_shared<Session>(Tools, newLogId(Settings.Member, Time.Wall()));
    {
      std::lock_guard Lock(Mutex);
      Sessions.push_back(Next);
    }
    Result<Done> In = co_await Next->join();
    if (!ok(In) && error(In).Kind == ErrorKind::Conflict) {
      logEvent(events::SettingsRefused, {{"why", "\"" + error(In).Detail + "\""}});
      co_await sleepFor(RetryPause * 5);
      Next->abandon();
      continue;
    }
    Joined = ok(In);
    if (Joined)
      RequestRouter.onJoined();
    while (!Next->hasEnded() && !Stopping && ok(In))
      co_await sleepFor(RetryPause);
    Joined = Joined && Stopping;
  }
}

Awaitable<void> EntryProcess::boxLoop() {
  while (true) {
    Result<BoxList> List = co_await PlatformAccess.Boxes.Fetch();
    if (ok(List))
      Directory.setBoxes(std::move(value(List)));
    co_await sleepFor(BoxPollInterval);
  }
}

Awaitable<void> EntryProcess::refreshLoop() {
  while (true) {
    RequestRouter.refresh();
    co_await sleepFor(RouterRefreshInterval);
  }
}

wire::ExchangeRequest EntryProcess::ownGossip() {
  wire::ExchangeRequest Message;
  Message.set_member(Settings.Member);
  Message.set_address(toString(Settings.Peers));
  Message.set_config_version(Config.current()->Version);
  Message.set_leaving(Stopping);
  const auto Current = session();
  if (!Current)
    return Message;
  Message.set_incarnation(Current->logId());
  for (const auto &Runner : Current->ownership().all())
    *Message.add_summary() = Runner->summary();
  return Message;
}

void EntryProcess::applyGossip(const wire::ExchangeRequest &Message) {
  const TimePoint Now = Time.Now();
  for (const wire::ShardSummary &Summary : Message.summary())
    Directory.applySummary(Summary, Now);
  {
    std::lock_guard Lock(Mutex);
    ConfigVersions[Message.member()] = Message.config_version();
  }
  const Result<Endpoint> Sender = parseEndpoint(Message.address());
  if (Message.config_version() > Config.current()->Version && ok(Sender))
    spawnLater(Where, Config.fetchFrom(value(Sender)));
}

Awaitable<void> EntryProcess::gossipWith(MemberInfo Peer) {
  const wire::ExchangeRequest Message = ownGossip();
  Result<wire::ExchangeReply> Reply = co_await Peers.Exchange(Peer.Peers, Message);
  if (!ok(Reply)) {
    // A frozen or partitioned process still has a listener; a refused connection means that it has
    // exited.
    const PeerOps::ProbeResult Probed = co_await Peers.Probe(Peer.Peers);
    if (Probed == PeerOps::ProbeResult::Refused && !Peer.Log.empty())
      Watch.markGone(Peer.Log);
    co_return;
  }
  wire::ExchangeRequest Received;
  Received.set_member(Peer.Name);
  Received.set_address(toString(Peer.Peers));
  Received.set_config_version(value(Reply).config_version());
  *Received.mutable_summary() = value(Reply).summary();
  applyGossip(Received);
}

// Members of the cell, plus the entry boxes on the platform's list, so that a process that starts
// during a store outage can find its peers.
std::vector<MemberInfo> EntryProcess::gossipPeers() const {
  std::map<Endpoint, MemberInfo> Found;
  for (const BoxInfo &Box : *Directory.boxes()) {
    MemberInfo Listed;
    Listed.Name = Box.Name;
    Listed.Peers = Box.Address;
    if (Box.Kind == BoxKind::Entry)
      Found[Box.Address] = Listed;
  }
  for (const auto &[Log, Member] : Watch.view()->Members)
    Found[Member.Peers] = Member;
  Found.erase(Settings.Peers);
  std::vector<MemberInfo> Partners;
  Partners.reserve(Found.size());
  for (const auto &[Address, Member] : Found)
    Partners.push_back(Member);
  return Partners;
}

// Exchanges state with up to GossipFanOut peers per round, in rotation. While its own state is
// unchanged, the process gossips only every UnchangedGossipPeriod rounds.
Awaitable<void> EntryProcess::gossipLoop() {
  std::string LastSent;
  int UnchangedRounds = 0;
  while (true) {
    const wire::ExchangeRequest Own = ownGossip();
    for (const wire::ShardSummary &Summary : Own.summary())
      Directory.applySummary(Summary, Time.Now());
    const std::string Now = Own.SerializeAsString();
    UnchangedRounds = Now == LastSent ? UnchangedRounds + 1 : 0;
    LastSent = Now;
    const bool SendNow = UnchangedRounds % UnchangedGossipPeriod == 0;
    const std::vector<MemberInfo> Others = gossipPeers();
    const size_t Calls = SendNow ? std::min(GossipFanOut, Others.size()) : 0;
    for (size_t I = 0; I < Calls; ++I)
      spawnLater(Where, gossipWith(Others[(NextGossipPeer + I) % Others.size()]));
    NextGossipPeer += Calls;
    co_await sleepFor(Settings.Timing.Gossip);
  }
}

PeerHandlers EntryProcess::peerHandlers() {
  PeerHandlers Handlers;
  Handlers.Exchange = [this](wire::ExchangeRequest Message) -> Awaitable<wire::ExchangeReply> {
    applyGossip(Message);
    const wire::ExchangeRequest Own = ownGossip();
    wire::ExchangeReply Reply;
    Reply.set_incarnation(Own.incarnation());
    Reply.set_config_version(Own.config_version());
    *Reply.mutable_summary() = Own.summary();
    Reply.set_leaving(Own.leaving());
    co_return Reply;
  };
  Handlers.Promise = [this](wire::PromiseRequest Request) -> Awaitable<wire::PromiseReply> {
    const auto Current = session();
    co_return Current ? Current->promises().onPromiseAsked(Request) : wire::PromiseReply();
  };
  Handlers.Refuse = [this](wire::RefuseRequest Request) -> Awaitable<wire::RefuseReply> {
    const auto Current = session();
    co_return Current ? Current->promises().onRefuseAsked(Request) : wire::RefuseReply();
  };
  Handlers.StepDown = [this](wire::StepDownRequest Request) -> Awaitable<wire::StepDownReply> {
    wire::StepDownReply Reply;
    bool Known = false;
    bool StoppedSending = true;
    {
      std::lock_guard Lock(Mutex);
      for (const auto &Past : Sessions)
        if (Past->logId() == Request.log()) {
          Known = true;
          StoppedSending = Past->hasStoppedSending();
        }
    }
    Reply.set_gone(!Known || StoppedSending);
    // If the log is the current session's, this append makes it discover the seal.
    if (const auto Current = session(); Known && Current)
      Current->journal().append({}, {});
    co_return Reply;
  };
  Handlers.Forward = [this](wire::ForwardRequest Request) -> Awaitable<wire::ForwardReply> {
    wire::ForwardReply Reply;
    Result<std::string> Answer =
        co_await runLocally(Request.shard(), Request.operation(), Request.target(), Request.body());
    if (ok(Answer)) {
      Reply.set_body(value(Answer));
    } else {
      Reply.set_error(static_cast<int>(error(Answer).Kind));
      Reply.set_body(error(Answer).Detail);
    }
    co_return Reply;
  };
  Handlers.Lend = [this](wire::LendRequest Request) -> Awaitable<wire::LendReply> {
    wire::LendReply Reply;
    Reply.set_not_owner(true);
    if (const auto Runner = runner(Request.shard()))
      Reply = co_await Runner->onLend(std::move(Request));
    co_return Reply;
  };
  Handlers.Report = [this](wire::ReportRequest Request) -> Awaitable<wire::ReportReply> {
    wire::ReportReply Reply;
    Reply.set_not_owner(true);
    if (const auto Runner = runner(Request.home()))
      Reply = co_await Runner->onReportReceived(std::move(Request));
    co_return Reply;
  };
  Handlers.Cancel = [this](wire::CancelRequest Request) -> Awaitable<wire::CancelReply> {
    wire::CancelReply Reply;
    if (const auto Runner = runner(Request.shard()))
      Reply = co_await Runner->onCancel(std::move(Request));
    co_return Reply;
  };
  Handlers.Hold = [this](wire::HoldRequest Request) -> Awaitable<wire::HoldReply> {
    const auto Runner = runner(Request.shard());
    co_return Runner ? Runner->onHold(Request) : wire::HoldReply();
  };
  Handlers.Config = [this](wire::ConfigRequest) -> Awaitable<wire::ConfigReply> {
    const auto Current = Config.current();
    wire::ConfigReply Reply;
    Reply.set_version(Current->Version);
    Reply.set_text(encodeCellConfig(*Current));
    co_return Reply;
  };
  return Handlers;
}

void EntryProcess::beginStop(std::function<void(int)> Finished) {
  if (!Stopping.exchange(true))
    spawnLater(Where, stopGracefully(std::move(Finished)));
}

// Hands the shards over, releases the lease, stops accepting callers, and waits up to StopGrace for
// requests in progress. `beginStop` has already withdrawn readiness.
Awaitable<void> EntryProcess::stopGracefully(std::function<void(int)> Finished) {
  logEvent(events::Stopping, {{"member", Settings.Member}});
  const TimePoint Deadline = Time.Now() + Settings.Timing.StopGrace;
  size_t Left = 0;
  if (const auto Current = session(); Current && !Current->hasEnded())
    Left = co_await Current->leave();
  Callers.stopAccepting();
  while (Callers.inProgress() > 0 && Time.Now() < Deadline)
    co_await sleepFor(Milliseconds(20));
  logEvent(events::Stopped, {{"shards_left", std::to_string(Left)},
                             {"requests_cut", std::to_string(Callers.inProgress())}});
  Finished(Callers.inProgress() == 0 ? 0 : 1);
}

} // namespace valveshelf
