// SPDX-License-Identifier: Apache-2.0
// The cell's inner protocol over gRPC's callback interface, joined to coroutines.
#include "valveshelf/cell_link.h"

#include "cell.grpc.pb.h"

#include <boost/asio.hpp>
#include <grpcpp/grpcpp.h>

#include <map>
#include <mutex>

namespace valveshelf {
namespace asio = boost::asio;
namespace {

using Stub = cell::Cell::Stub;

// A peer that restarts or comes back is found again within these times.
constexpr int ReconnectLeastMs = 50;
constexpr int ReconnectMostMs = 500;
// A peer that vanished without a word is noticed by pings; the sum of these is the time it takes.
constexpr int PingEveryMs = 2000;
constexpr int PingTimeoutMs = 1000;

// Channels by address. A channel reconnects by itself.
class StubPool {
public:
  std::shared_ptr<Stub> at(const Endpoint &Address) {
    std::lock_guard Lock(Mutex);
    auto &Found = Stubs[Address];
    if (Found)
      return Found;
    grpc::ChannelArguments Arguments;
    Arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, ReconnectLeastMs);
    Arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, ReconnectLeastMs);
    Arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, ReconnectMostMs);
    Arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, PingEveryMs);
    Arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, PingTimeoutMs);
    Arguments.SetInt(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
    Arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    Arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    Found = cell::Cell::NewStub(grpc::CreateCustomChannel(
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

Awaitable<bool> listens(Endpoint To, Milliseconds Timeout) {
  using asio::ip::tcp;
  const Executor Where = co_await asio::this_coro::executor;
  tcp::socket Socket(Where);
  asio::steady_timer Timer(Where, Timeout);
  Timer.async_wait([&Socket](boost::system::error_code Code) {
    boost::system::error_code Ignored;
    if (!Code)
      Socket.close(Ignored);
  });
  const tcp::endpoint Target(asio::ip::make_address(To.Host), To.Port);
  auto [Failure] = co_await Socket.async_connect(Target, asio::as_tuple(asio::use_awaitable));
  Timer.cancel();
  co_return !Failure;
}

} // namespace

CellLink grpcCell(Executor Where) {
  auto Pool = std::make_shared<StubPool>();
  CellLink Link;
  // One line a method; the template does the rest.
#define VALVESHELF_CELL_CALL(Method)                                                               \
  Link.Method = [Where, Pool](Endpoint To, cell::Method##Request Message, Milliseconds Timeout) {  \
    return call<cell::Method##Request, cell::Method##Reply>(                                       \
        Where, Pool, std::move(To), std::move(Message), Timeout, &Stub::async::Method);            \
  }
  VALVESHELF_CELL_CALL(Advise);
  VALVESHELF_CELL_CALL(JobState);
  VALVESHELF_CELL_CALL(Waiting);
  VALVESHELF_CELL_CALL(Explain);
  VALVESHELF_CELL_CALL(Announce);
  VALVESHELF_CELL_CALL(StoreCall);
  VALVESHELF_CELL_CALL(Candidate);
#undef VALVESHELF_CELL_CALL
  Link.Listens = [](Endpoint To, Milliseconds Timeout) { return listens(std::move(To), Timeout); };
  return Link;
}

class CellServer::Impl final : public cell::Cell::CallbackService {
public:
  Impl(Executor Where, Endpoint Address, CellHandlers Handlers)
      : Where(Where), Address(std::move(Address)), Handlers(std::move(Handlers)) {}

  ~Impl() override {
    if (Server)
      Server->Shutdown(std::chrono::system_clock::now() + std::chrono::milliseconds(200));
  }

  Result<Done> start() {
    grpc::ServerBuilder Builder;
    int Port = 0;
    Builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    Builder.AddChannelArgument(GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS,
                               PingEveryMs / 2);
    Builder.AddListeningPort(toString(Address), grpc::InsecureServerCredentials(), &Port);
    Builder.RegisterService(this);
    Server = Builder.BuildAndStart();
    if (!Server || Port == 0)
      return Error{ErrorKind::BadSettings, "can't listen on " + toString(Address) + " for peers"};
    return Done{};
  }

#define VALVESHELF_CELL_METHOD(Method)                                                             \
  grpc::ServerUnaryReactor *Method(grpc::CallbackServerContext *Context,                           \
                                   const cell::Method##Request *Message,                           \
                                   cell::Method##Reply *Reply) override {                          \
    return serve(Context, *Message, Reply, Handlers.Method);                                       \
  }
  VALVESHELF_CELL_METHOD(Advise)
  VALVESHELF_CELL_METHOD(JobState)
  VALVESHELF_CELL_METHOD(Waiting)
  VALVESHELF_CELL_METHOD(Explain)
  VALVESHELF_CELL_METHOD(Announce)
  VALVESHELF_CELL_METHOD(StoreCall)
  VALVESHELF_CELL_METHOD(Candidate)
#undef VALVESHELF_CELL_METHOD

private:
  template <class Request, class Reply, class Handler>
  grpc::ServerUnaryReactor *serve(grpc::CallbackServerContext *Context, Request Message,
                                  Reply *Answer, const Handler &Handle) {
    grpc::ServerUnaryReactor *Reactor = Context->DefaultReactor();
    asio::co_spawn(Where, Handle(std::move(Message)),
                   [Reactor, Answer](std::exception_ptr Fault, Reply Value) {
                     if (Fault)
                       return Reactor->Finish({grpc::StatusCode::INTERNAL, "fault in the handler"});
                     *Answer = std::move(Value);
                     Reactor->Finish(grpc::Status::OK);
                   });
    return Reactor;
  }

  const Executor Where;
  const Endpoint Address;
  const CellHandlers Handlers;
  std::unique_ptr<grpc::Server> Server;
};

CellServer::CellServer(Executor Where, Endpoint Address, CellHandlers Handlers)
    : Inner(std::make_unique<Impl>(Where, std::move(Address), std::move(Handlers))) {}
CellServer::~CellServer() = default;
Result<Done> CellServer::start() { return Inner->start(); }

} // namespace valveshelf
