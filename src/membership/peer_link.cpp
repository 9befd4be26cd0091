// SPDX-License-Identifier: Apache-2.0
// Peer protocol over gRPC's callback API, adapted to coroutines. Used by entry processes.
#include "valveshelf/peer_link.h"
#include "valveshelf/steady_timer.h"

#include "peer.grpc.pb.h"

#include <boost/asio.hpp>
#include <grpcpp/grpcpp.h>

#include <map>
#include <mutex>

namespace valveshelf {
namespace asio = boost::asio;
namespace {

using Stub = wire::Peer::Stub;

// Stubs by address. Their channels reconnect automatically.
class StubPool {
public:
  std::shared_ptr<Stub> at(const Endpoint &Address) {
    std::lock_guard Lock(Mutex);
    auto &Found = Stubs[Address];
    if (Found)
      return Found;
    grpc::ChannelArguments Arguments;
    // Short backoff, so that a restarted peer is reachable again within two gossip rounds.
    Arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, 50);
    Arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, 50);
    Arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, 500);
    Arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    Arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    Arguments.SetMaxReceiveMessageSize(32 * 1024 * 1024);
    Found = wire::Peer::NewStub(grpc::CreateCustomChannel(
        toString(Address), grpc::InsecureChannelCredentials(), Arguments));
    return Found;
  }

private:
  std::mutex Mutex;
  std::map<Endpoint, std::shared_ptr<Stub>> Stubs; ///< Guarded by Mutex.
};

template <class Request, class Reply> struct PendingCall {
  grpc::ClientContext Context;
  Request Sent;
  Reply Received;
  std::shared_ptr<Stub> Peer;
};

template <class Request, class Reply>
using AsyncMethod = void (Stub::async::*)(grpc::ClientContext *, const Request *, Reply *,
                                          std::function<void(grpc::Status)>);

template <class Request, class Reply>
Awaitable<Result<Reply>> call(Executor Where, std::shared_ptr<StubPool> Pool, Endpoint To,
                              Request Message, Milliseconds Timeout,
                              AsyncMethod<Request, Reply> Method) {
  auto Call = std::make_shared<PendingCall<Request, Reply>>();
  Call->Sent = std::move(Message);
  Call->Peer = Pool->at(To);
  Call->Context.set_deadline(std::chrono::system_clock::now() + Timeout);
  const grpc::Status Status =
      co_await asio::async_initiate<const asio::use_awaitable_t<> &, void(grpc::Status)>(
          [&](auto Handler) {
            auto Kept = std::make_shared<decltype(Handler)>(std::move(Handler));
            auto OnDone = [Kept, Where, Call](grpc::Status Value) {
              asio::post(Where, [Kept, Value] { (*Kept)(Value); });
            };
            (Call->Peer->async()->*Method)(&Call->Context, &Call->Sent, &Call->Received, OnDone);
          },
          asio::use_awaitable);
  if (Status.ok())
    co_return std::move(Call->Received);
  const ErrorKind Kind = Status.error_code() == grpc::StatusCode::UNAVAILABLE
                             ? ErrorKind::UpstreamUnavailable
                             : ErrorKind::UpstreamCut;
  co_return Error{Kind, "peer " + toString(To) + ": " + Status.error_message()};
}

Awaitable<PeerOps::ProbeResult> probe(Endpoint To, Milliseconds Timeout) {
  using asio::ip::tcp;
  const Executor Where = co_await asio::this_coro::executor;
  tcp::socket Socket(Where);
  SteadyTimer Timer(Where, Timeout);
  Timer.async_wait([&Socket](boost::system::error_code Code) {
    boost::system::error_code Ignored;
    if (!Code)
      Socket.close(Ignored);
  });
  const tcp::endpoint Target(asio::ip::make_address(To.Host), To.Port);
  auto [Failure] = co_await Socket.async_connect(Target, asio::as_tuple(asio::use_awaitable));
  Timer.cancel();
  if (!Failure)
    co_return PeerOps::ProbeResult::Listening;
  co_return Failure == asio::error::connection_refused ? PeerOps::ProbeResult::Refused
                                                       : PeerOps::ProbeResult::NoAnswer;
}

} // namespace

PeerOps makeGrpcPeerOps(Executor Where, Milliseconds Timeout) {
  auto Pool = std::make_shared<StubPool>();
  PeerOps Ops;
#define VALVESHELF_PEER_CALL(Method)                                                               \
  Ops.Method = [Where, Pool, Timeout](Endpoint To, wire::Method##Request Message) {                \
    return call<wire::Method##Request, wire::Method##Reply>(                                       \
        Where, Pool, std::move(To), std::move(Message), Timeout, &Stub::async::Method);            \
  }
  VALVESHELF_PEER_CALL(Exchange);
  VALVESHELF_PEER_CALL(Promise);
  VALVESHELF_PEER_CALL(Refuse);
  VALVESHELF_PEER_CALL(StepDown);
  VALVESHELF_PEER_CALL(Lend);
  VALVESHELF_PEER_CALL(Report);
  VALVESHELF_PEER_CALL(Cancel);
  VALVESHELF_PEER_CALL(Hold);
  VALVESHELF_PEER_CALL(Config);
#undef VALVESHELF_PEER_CALL
  Ops.Forward = [Where, Pool](Endpoint To, wire::ForwardRequest Message) {
    const Milliseconds Deadline(std::max<int64_t>(Message.deadline_ms(), 1));
    return call<wire::ForwardRequest, wire::ForwardReply>(
        Where, Pool, std::move(To), std::move(Message), Deadline, &Stub::async::Forward);
  };
  Ops.Probe = [Timeout](Endpoint To) { return probe(std::move(To), Timeout); };
  return Ops;
}

class PeerServer::Impl final : public wire::Peer::CallbackService {
public:
  Impl(Executor Where, Endpoint Address, PeerHandlers Handlers)
      : Where(Where), Address(std::move(Address)), Handlers(std::move(Handlers)) {}

  ~Impl() override {
    if (Server)
      Server->Shutdown(std::chrono::system_clock::now() + std::chrono::milliseconds(200));
  }

  Result<Done> start() {
    grpc::ServerBuilder Builder;
    int Port = 0;
    Builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    Builder.SetMaxReceiveMessageSize(32 * 1024 * 1024);
    Builder.AddListeningPort(toString(Address), grpc::InsecureServerCredentials(), &Port);
    Builder.RegisterService(this);
    Server = Builder.BuildAndStart();
    if (!Server || Port == 0)
      return Error{ErrorKind::BadSettings,
                   "cannot listen on " + toString(Address) + " for peer connections"};
    return Done{};
  }

#define VALVESHELF_PEER_METHOD(Method)                                                             \
  grpc::ServerUnaryReactor *Method(grpc::CallbackServerContext *Context,                           \
                                   const wire::Method##Request *Message,                           \
                                   wire::Method##Reply *Reply) override {                          \
    return serve(Context, *Message, Reply, Handlers.Method);                                       \
  }
  VALVESHELF_PEER_METHOD(Exchange)
  VALVESHELF_PEER_METHOD(Promise)
  VALVESHELF_PEER_METHOD(Refuse)
  VALVESHELF_PEER_METHOD(StepDown)
  VALVESHELF_PEER_METHOD(Forward)
  VALVESHELF_PEER_METHOD(Lend)
  VALVESHELF_PEER_METHOD(Report)
  VALVESHELF_PEER_METHOD(Cancel)
  VALVESHELF_PEER_METHOD(Hold)
  VALVESHELF_PEER_METHOD(Config)
#undef VALVESHELF_PEER_METHOD

private:
  template <class Request, class Reply, class Handler>
  grpc::ServerUnaryReactor *serve(grpc::CallbackServerContext *Context, Request Message,
                                  Reply *Answer, const Handler &Handle) {
    grpc::ServerUnaryReactor *Reactor = Context->DefaultReactor();
    asio::co_spawn(Where, Handle(std::move(Message)),
                   [Reactor, Answer](std::exception_ptr Fault, Reply Value) {
                     if (Fault)
                       return Reactor->Finish(
                           {grpc::StatusCode::INTERNAL, "exception in the request handler"});
                     *Answer = std::move(Value);
                     Reactor->Finish(grpc::Status::OK);
                   });
    return Reactor;
  }

  const Executor Where;
  const Endpoint Address;
  const PeerHandlers Handlers;
  std::unique_ptr<grpc::Server> Server;
};

PeerServer::PeerServer(Executor Where, Endpoint Address, PeerHandlers Handlers)
    : Inner(std::make_unique<Impl>(Where, std::move(Address), std::move(Handlers))) {}
PeerServer::~PeerServer() = default;
Result<Done> PeerServer::start() { return Inner->start(); }

} // namespace valveshelf
