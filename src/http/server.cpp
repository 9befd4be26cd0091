// SPDX-License-Identifier: Apache-2.0
// The HTTP server: accepts connections, reads request heads within limits, and calls the handler.
#include "valveshelf/coroutines.h"
#include "valveshelf/http.h"
#include "valveshelf/steady_timer.h"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>

namespace valveshelf {
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace {
constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);
using RequestParser = http::request_parser<http::buffer_body>;

// After stopAccepting a connection without a request so far has this long to send its first one:
// the request may be on its way, and a caller whose connection is closed then doesn't know
// whether it ran.
constexpr Milliseconds FirstRequestTimeout{200};

// One request as the handler sees it.
class ServerExchange final : public HttpExchange {
public:
  ServerExchange(beast::tcp_stream &Stream, beast::flat_buffer &Buffer, RequestParser &Parser,
                 Milliseconds BodyTimeout)
      : Stream(Stream), Buffer(Buffer), Parser(Parser), BodyTimeout(BodyTimeout),
        Method(Parser.get().method_string()), Target(Parser.get().target()) {
    for (const auto &Field : Parser.get())
      Fields.emplace_back(Field.name_string(), Field.value());
    NeedsContinue = beast::iequals(Parser.get()[http::field::expect], "100-continue");
  }

  const std::string &method() const override { return Method; }
  const std::string &target() const override { return Target; }
  const HeaderList &headers() const override { return Fields; }
  bool hasBody() const override {
    return Parser.chunked() || (Parser.content_length() && *Parser.content_length() > 0);
  }

  Awaitable<Result<size_t>> readBody(std::span<char> Room) override {
    if (Parser.is_done())
      co_return size_t{0};
    if (NeedsContinue && !(co_await sendContinue()))
      co_return Error{ErrorKind::BadRequest, "caller disconnected before the request body"};
    while (!Parser.is_done()) {
      auto &Body = Parser.get().body();
      Body.data = Room.data();
      Body.size = Room.size();
      Body.more = true;
      Stream.expires_after(BodyTimeout);
      auto [Failure, Bytes] = co_await http::async_read(Stream, Buffer, Parser, AsTuple);
      if (Failure && Failure != http::error::need_buffer)
        co_return Error{ErrorKind::BadRequest, "request body incomplete: " + Failure.message()};
      const size_t Read = Room.size() - Body.size;
      if (Read > 0)
        co_return Read;
    }
    co_return size_t{0};
  }

  Awaitable<bool> writeHead(int Status, const HeaderList &Headers,
                            std::optional<uint64_t> Length) override {
    http::response<http::empty_body> Head{static_cast<http::status>(Status), 11};
    for (const auto &[Key, Value] : Headers)
      Head.insert(Key, Value);
    // The rest of an unread body would be parsed as the next request.
    KeepAlive = KeepAlive && Parser.keep_alive() && Parser.is_done();
    Head.keep_alive(KeepAlive);
    Bodyless = Method == "HEAD" || Status == 204 || Status == 304;
    Chunked = !Length && !Bodyless;
    if (Chunked)
      Head.chunked(true);
    else if (Length && Status != 204)
      Head.set(http::field::content_length, std::to_string(*Length));
    http::response_serializer<http::empty_body> Serializer{Head};
    Stream.expires_after(BodyTimeout);
    auto [Failure, Bytes] = co_await http::async_write_header(Stream, Serializer, AsTuple);
    HeadSent = true;
    co_return !Failure;
  }

  Awaitable<bool> writeBody(std::span<const char> Piece) override {
    if (Bodyless || Piece.empty())
      co_return true;
    const asio::const_buffer Bytes(Piece.data(), Piece.size());
    Stream.expires_after(BodyTimeout);
    if (Chunked) {
      auto [Failure, Sent] = co_await asio::async_write(Stream, http::make_chunk(Bytes), AsTuple);
      co_return !Failure;
    }
    auto [Failure, Sent] = co_await asio::async_write(Stream, Bytes, AsTuple);
    co_return !Failure;
  }

  Awaitable<bool> writeWhole(HttpResponse Response) override {
    http::response<http::string_body> Message{static_cast<http::status>(Response.Status), 11,
                                              std::move(Response.Body)};
    for (const auto &[Key, Value] : Response.Headers)
      Message.insert(Key, Value);
    KeepAlive = KeepAlive && Parser.keep_alive() && Parser.is_done();
    Message.keep_alive(KeepAlive);
    Bodyless = Method == "HEAD" || Response.Status == 204 || Response.Status == 304;
    if (Response.Status != 204)
      Message.content_length(Message.body().size());
    if (Bodyless)
      Message.body().clear();
    Stream.expires_after(BodyTimeout);
    HeadSent = true;
    auto [Failure, Bytes] = co_await http::async_write(Stream, Message, AsTuple);
    Finished = !Failure;
    co_return Finished;
  }

  Awaitable<bool> finish() override {
    if (Chunked) {
      auto [Failure, Sent] = co_await asio::async_write(Stream, http::make_chunk_last(), AsTuple);
      if (Failure)
        co_return false;
    }
    Finished = true;
    co_return true;
  }

  bool finished() const { return Finished; }
  bool headSent() const { return HeadSent; }
  bool keepAlive() const { return KeepAlive; }
  void closeAfterResponse() { KeepAlive = false; }

private:
  Awaitable<bool> sendContinue() {
    NeedsContinue = false;
    static constexpr std::string_view Line = "HTTP/1.1 100 Continue\r\n\r\n";
    auto [Failure, Sent] =
        co_await asio::async_write(Stream, asio::const_buffer(Line.data(), Line.size()), AsTuple);
    co_return !Failure;
  }

  beast::tcp_stream &Stream;
  beast::flat_buffer &Buffer;
  RequestParser &Parser;
  Milliseconds BodyTimeout;
  std::string Method;
  std::string Target;
  HeaderList Fields;
  bool NeedsContinue = false;
  bool Chunked = false;
  bool Bodyless = false;
  bool HeadSent = false;
  bool Finished = false;
  bool KeepAlive = true;
};

// Ambiguous framing enables request smuggling, so such requests are rejected.
bool isAmbiguous(const RequestParser &Parser) {
  const auto &Head = Parser.get();
  const bool HasLength = Head.count(http::field::content_length) > 0;
  const bool HasEncoding = Head.count(http::field::transfer_encoding) > 0;
  return (HasLength && HasEncoding) || Head.count(http::field::content_length) > 1 ||
         Head.count(http::field::host) > 1;
}
} // namespace

class HttpServer::Impl : public std::enable_shared_from_this<HttpServer::Impl> {
public:
  Impl(Executor Exec, Endpoint Address, HttpServerLimits Limits, HttpHandler Handler)
      : Exec(Exec), Address(std::move(Address)), Limits(Limits), Handler(std::move(Handler)),
        Acceptor(asio::make_strand(Exec)) {}

  Result<Done> start() {
    boost::system::error_code Failure;
    const tcp::endpoint Bind(asio::ip::make_address(Address.Host, Failure), Address.Port);
    if (!Failure)
      Acceptor.open(Bind.protocol(), Failure);
    if (!Failure)
      Acceptor.set_option(asio::socket_base::reuse_address(true), Failure);
    if (!Failure)
      Acceptor.bind(Bind, Failure);
    if (!Failure)
      Acceptor.listen(asio::socket_base::max_listen_connections, Failure);
    if (Failure)
      return Error{ErrorKind::BadSettings,
                   "cannot listen on " + toString(Address) + ": " + Failure.message()};
    asio::co_spawn(Acceptor.get_executor(), acceptLoop(shared_from_this()), asio::detached);
    return Done{};
  }

  void beginDrain() { Draining = true; }

  void stopAccepting() {
    IsAcceptingBacklog = true;
    Stopping = true;
    asio::post(Acceptor.get_executor(), [Self = shared_from_this()] { Self->closeAcceptor(); });
    std::lock_guard Lock(Mutex);
    // On a thread that runs the executor, a plain co_spawn could run closeIfIdle at once, which
    // takes Mutex again.
    for (const auto &[Number, Waiting] : Idle)
      spawnLater(Waiting.Stream->get_executor(),
                 closeIfIdle(shared_from_this(), Number,
                             Waiting.IsNew ? FirstRequestTimeout : Milliseconds(0)));
  }

  size_t inProgress() const {
    std::lock_guard Lock(Mutex);
    const auto NewCount = std::count_if(Idle.begin(), Idle.end(),
                                        [](const auto &Entry) { return Entry.second.IsNew; });
    const size_t Unserved = static_cast<size_t>(NewCount) + Starting + (IsAcceptingBacklog ? 1 : 0);
    return Active + (Stopping ? Unserved : 0);
  }

private:
  static Awaitable<void> acceptLoop(std::shared_ptr<Impl> Self) {
    while (Self->Acceptor.is_open()) {
      auto [Failure, Socket] =
          co_await Self->Acceptor.async_accept(asio::make_strand(Self->Exec), AsTuple);
      if (Failure) {
        if (Self->Stopping || Failure == asio::error::operation_aborted)
          co_return;
        // Usually out of file descriptors: wait for connections to close.
        SteadyTimer Pause(co_await asio::this_coro::executor, Milliseconds(20));
        co_await Pause.async_wait(AsTuple);
        continue;
      }
      Self->startConnection(std::move(Socket));
    }
  }

  void startConnection(tcp::socket Socket) {
    if (Connections >= Limits.MaxConnections)
      return;
    Socket.set_option(tcp::no_delay(true));
    const auto Strand = Socket.get_executor();
    ++Starting;
    asio::co_spawn(Strand, serveConnection(shared_from_this(), std::move(Socket)), asio::detached);
  }

  // Accepts the connections in the kernel's backlog first: closing the listening socket would reset
  // them.
  void closeAcceptor() {
    boost::system::error_code Failure;
    Acceptor.non_blocking(true, Failure);
    while (!Failure) {
      tcp::socket Socket(asio::make_strand(Exec));
      Acceptor.accept(Socket, Failure);
      if (!Failure)
        startConnection(std::move(Socket));
    }
    Acceptor.close(Failure);
    IsAcceptingBacklog = false;
  }

  static Awaitable<void> closeIfIdle(std::shared_ptr<Impl> Self, uint64_t Number,
                                     Milliseconds After) {
    if (After > Milliseconds(0))
      co_await sleepFor(After);
    std::lock_guard Lock(Self->Mutex);
    const auto Found = Self->Idle.find(Number);
    if (Found != Self->Idle.end())
      Found->second.Stream->cancel();
  }

  uint64_t addIdle(beast::tcp_stream &Stream, bool IsNew) {
    std::lock_guard Lock(Mutex);
    Idle[++LastIdleId] = {&Stream, IsNew};
    return LastIdleId;
  }
  void removeIdle(uint64_t Number) {
    std::lock_guard Lock(Mutex);
    Idle.erase(Number);
  }

  static Awaitable<void> serveConnection(std::shared_ptr<Impl> Self, tcp::socket Socket) {
    ++Self->Connections;
    beast::tcp_stream Stream(std::move(Socket));
    beast::flat_buffer Buffer;
    bool Again = co_await Self->serveOne(Stream, Buffer, true);
    while (Again)
      Again = co_await Self->serveOne(Stream, Buffer, false);
    boost::system::error_code Ignored;
    Stream.socket().shutdown(tcp::socket::shutdown_send, Ignored);
    --Self->Connections;
  }

  // Returns true if the connection can startConnection another request.
  Awaitable<bool> serveOne(beast::tcp_stream &Stream, beast::flat_buffer &Buffer, bool IsNew) {
    RequestParser Parser;
    Parser.header_limit(static_cast<uint32_t>(Limits.MaxHeaderBytes));
    Parser.body_limit(boost::none);
    // Registered before Stopping is read: a concurrent stopAccepting either finds it in Idle or is
    // seen here.
    const uint64_t Number = addIdle(Stream, IsNew);
    Starting -= IsNew ? 1 : 0;
    if (Stopping && !IsNew && Buffer.size() == 0) {
      removeIdle(Number);
      co_return false;
    }
    Stream.expires_after(Stopping ? FirstRequestTimeout : Limits.HeaderTimeout);
    auto [Failure, Bytes] = co_await http::async_read_header(Stream, Buffer, Parser, AsTuple);
    if (!Failure)
      ++Active; // Before removeIdle, so that inProgress always counts the connection.
    removeIdle(Number);
    if (Failure)
      co_return co_await rejectRequest(Stream, Buffer, Parser, Failure);
    ServerExchange Exchange(Stream, Buffer, Parser, Limits.BodyTimeout);
    if (Stopping || Draining)
      Exchange.closeAfterResponse();
    co_await dispatch(Exchange, Parser);
    --Active;
    co_return Exchange.finished() && Exchange.keepAlive();
  }

  Awaitable<void> dispatch(ServerExchange &Exchange, const RequestParser &Parser) {
    if (!isAmbiguous(Parser))
      co_return co_await runHandler(Exchange);
    Exchange.closeAfterResponse();
    const Error Bad{
        ErrorKind::BadRequest,
        "request framing is ambiguous: repeated Content-Length or Host, or Content-Length with "
        "Transfer-Encoding"};
    co_await sendWhole(Exchange, errorResponse(Bad));
  }

  Awaitable<void> runHandler(ServerExchange &Exchange) {
    std::string Fault;
    try {
      co_await Handler(Exchange);
    } catch (const std::exception &E) {
      Fault = E.what();
    }
    if (Fault.empty() || Exchange.headSent())
      co_return;
    HttpResponse Answer = errorResponse({ErrorKind::Internal, Fault});
    co_await sendWhole(Exchange, std::move(Answer));
  }

  Awaitable<bool> rejectRequest(beast::tcp_stream &Stream, beast::flat_buffer &Buffer,
                                RequestParser &Parser, boost::system::error_code Failure) {
    const bool ClosesSilently =
        Failure == http::error::end_of_stream || Failure == beast::error::timeout ||
        Failure.category() != make_error_code(http::error::bad_target).category();
    if (ClosesSilently)
      co_return false;
    ServerExchange Exchange(Stream, Buffer, Parser, Limits.BodyTimeout);
    Exchange.closeAfterResponse();
    HttpResponse Answer = errorResponse({ErrorKind::BadRequest, Failure.message()});
    if (Failure == http::error::header_limit)
      Answer.Status = 431;
    co_await sendWhole(Exchange, std::move(Answer));
    co_return false;
  }

  const Executor Exec;
  const Endpoint Address;
  const HttpServerLimits Limits;
  const HttpHandler Handler;
  tcp::acceptor Acceptor;
  std::atomic<bool> Draining{false};
  std::atomic<bool> Stopping{false};
  std::atomic<bool> IsAcceptingBacklog{false}; ///< The kernel's backlog is being accepted.
  std::atomic<size_t> Connections{0};
  std::atomic<size_t> Starting{0}; ///< Accepted, but not in Idle yet.
  std::atomic<size_t> Active{0};
  struct IdleConnection {
    beast::tcp_stream *Stream = nullptr;
    bool IsNew = false; ///< No request has been received on it.
  };
  mutable std::mutex Mutex;
  std::map<uint64_t, IdleConnection> Idle; ///< Waiting for a request head. Guarded by Mutex.
  uint64_t LastIdleId = 0;                 ///< Guarded by Mutex.
};

HttpServer::HttpServer(Executor Exec, Endpoint Address, HttpServerLimits Limits,
                       HttpHandler Handler)
    : Inner(std::make_shared<Impl>(Exec, std::move(Address), Limits, std::move(Handler))) {}
HttpServer::~HttpServer() { Inner->stopAccepting(); }
Result<Done> HttpServer::start() { return Inner->start(); }
void HttpServer::beginDrain() { Inner->beginDrain(); }
void HttpServer::stopAccepting() { Inner->stopAccepting(); }
size_t HttpServer::inProgress() const { return Inner->inProgress(); }

} // namespace valveshelf
