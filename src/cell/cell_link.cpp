// SPDX-License-Identifier: Apache-2.0
// The internal protocol of a cell: protobuf messages in HTTP bodies, over the HTTP client and
// server that the process has anyway. The polling threads of gRPC would take too much CPU time from
// a scheduler on a small box.
#include "valveshelf/cell_link.h"
#include "valveshelf/steady_timer.h"

#include <boost/asio.hpp>

#include <map>

namespace valveshelf {
namespace asio = boost::asio;
namespace {
constexpr std::string_view MethodPath = "/cell/v1/";
constexpr std::string_view ContentType = "application/x-protobuf";
constexpr int HttpOk = 200;
// The largest message is a relayed response of the store, which the store limits to a megabyte.
constexpr size_t MaxMessageBytes = 4 * 1024 * 1024;

template <class Request, class Reply>
Awaitable<Result<Reply>> call(HttpClient &Client, std::string_view Method, Endpoint To,
                              Request Message, Milliseconds Timeout) {
  HttpRequest Call{"POST",
                   std::string(MethodPath) + std::string(Method),
                   {{"Content-Type", std::string(ContentType)}},
                   Message.SerializeAsString()};
  CallOptions Options;
  Options.Timeout = Timeout;
  Options.MaxResponseBytes = MaxMessageBytes;
  Options.Kind = "peer ";
  Options.Kind += Method;
  Result<HttpResponse> Answer = co_await Client.send(To, std::move(Call), Options);
  if (!ok(Answer))
    co_return Error{error(Answer).Kind, "peer: " + error(Answer).Detail};
  Reply Read;
  if (value(Answer).Status != HttpOk || !Read.ParseFromString(value(Answer).Body))
    co_return Error{ErrorKind::UpstreamCut,
                    "peer " + toString(To) + " answered " + std::to_string(value(Answer).Status)};
  co_return Read;
}

Awaitable<ProbeResult> probe(Endpoint To, Milliseconds Timeout) {
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
  if (Failure == asio::error::connection_refused)
    co_return ProbeResult::Refused;
  co_return Failure ? ProbeResult::NoAnswer : ProbeResult::Listening;
}

} // namespace

CellLink makeHttpCellLink(HttpClient &Client) {
  CellLink Link;
#define VALVESHELF_CELL_CALL(Method)                                                               \
  Link.Method = [&Client](Endpoint To, cell::Method##Request Message, Milliseconds Timeout) {      \
    return call<cell::Method##Request, cell::Method##Reply>(Client, #Method, std::move(To),        \
                                                            std::move(Message), Timeout);          \
  }
  VALVESHELF_CELL_CALL(Advise);
  VALVESHELF_CELL_CALL(JobState);
  VALVESHELF_CELL_CALL(Waiting);
  VALVESHELF_CELL_CALL(Explain);
  VALVESHELF_CELL_CALL(Announce);
  VALVESHELF_CELL_CALL(StoreCall);
  VALVESHELF_CELL_CALL(Candidate);
  VALVESHELF_CELL_CALL(Term);
  VALVESHELF_CELL_CALL(Configuration);
#undef VALVESHELF_CELL_CALL
  Link.Probe = [](Endpoint To, Milliseconds Timeout) { return probe(std::move(To), Timeout); };
  return Link;
}

class CellServer::Impl {
public:
  Impl(Executor Where, Endpoint Address, HttpServerLimits Limits, CellHandlers Handlers)
      : Where(Where), Handlers(std::move(Handlers)),
        Server(Where, std::move(Address), Limits, [this](HttpExchange &E) { return serve(E); }) {
#define VALVESHELF_CELL_METHOD(Method)                                                             \
  Methods[#Method] = makeMethodHandler<cell::Method##Request>(this->Handlers.Method)
    VALVESHELF_CELL_METHOD(Advise);
    VALVESHELF_CELL_METHOD(JobState);
    VALVESHELF_CELL_METHOD(Waiting);
    VALVESHELF_CELL_METHOD(Explain);
    VALVESHELF_CELL_METHOD(Announce);
    VALVESHELF_CELL_METHOD(StoreCall);
    VALVESHELF_CELL_METHOD(Candidate);
    VALVESHELF_CELL_METHOD(Term);
    VALVESHELF_CELL_METHOD(Configuration);
#undef VALVESHELF_CELL_METHOD
  }

  Result<Done> start() { return Server.start(); }

private:
  using MethodHandler = std::function<Awaitable<HttpResponse>(std::string Body)>;

  template <class Request, class Handler>
  static MethodHandler makeMethodHandler(const Handler &Handle) {
    return [&Handle](std::string Body) -> Awaitable<HttpResponse> {
      Request Message;
      if (!Message.ParseFromString(Body))
        co_return errorResponse(
            {ErrorKind::BadRequest, "the request body is not a valid protobuf message"});
      const auto Reply = co_await Handle(std::move(Message));
      co_return HttpResponse{
          HttpOk, {{"Content-Type", std::string(ContentType)}}, Reply.SerializeAsString()};
    };
  }

  Awaitable<void> serve(HttpExchange &Exchange) {
    const std::string_view Path = pathOf(Exchange.target());
    const auto Method =
        Path.starts_with(MethodPath) ? Methods.find(Path.substr(MethodPath.size())) : Methods.end();
    if (Method == Methods.end())
      co_return co_await sendWhole(
          Exchange, errorResponse({ErrorKind::NotFound, "unknown method " + std::string(Path)}));
    Result<std::string> Body = co_await readWhole(Exchange, MaxMessageBytes);
    if (!ok(Body))
      co_return co_await sendWhole(Exchange, errorResponse(error(Body)));
    // The strand owns all state.
    HttpResponse Answer =
        co_await asio::co_spawn(Where, Method->second(std::move(value(Body))), asio::use_awaitable);
    co_await sendWhole(Exchange, std::move(Answer));
  }

  const Executor Where;
  const CellHandlers Handlers;
  std::map<std::string, MethodHandler, std::less<>> Methods; ///< By name.
  HttpServer Server;
};

CellServer::CellServer(Executor Where, Endpoint Address, HttpServerLimits Limits,
                       CellHandlers Handlers)
    : Inner(std::make_unique<Impl>(Where, std::move(Address), Limits, std::move(Handlers))) {}
CellServer::~CellServer() = default;
Result<Done> CellServer::start() { return Inner->start(); }

} // namespace valveshelf
