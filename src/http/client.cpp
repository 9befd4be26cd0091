// SPDX-License-Identifier: Apache-2.0
// The HTTP client: kept connections, whole calls and streamed calls.
#include "valveshelf/http.h"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <array>
#include <map>
#include <mutex>

namespace valveshelf {
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace {
constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);
constexpr size_t MaxIdlePerEndpoint = 16;
// New connections are dear on both sides; one that the other side closed is noticed before use.
constexpr std::chrono::seconds MaxIdleTime{60};

// A connection that was used so recently is not looked at before it is used again.
constexpr Milliseconds FreshTime{20};
// Room for a usual answer, so that it is read at once.
constexpr size_t UsualAnswer = 4096;

struct Connection {
  explicit Connection(Executor Where) : Stream(std::move(Where)) { Buffer.reserve(UsualAnswer); }
  beast::tcp_stream Stream;
  beast::flat_buffer Buffer;
  TimePoint IdleSince{};

  // False if the other side has closed it, or has sent what nobody asked for.
  bool isQuiet() {
    boost::system::error_code Failure;
    char Byte = 0;
    Stream.socket().receive(asio::buffer(&Byte, 1), asio::socket_base::message_peek, Failure);
    return Failure == asio::error::would_block && Buffer.size() == 0;
  }

  // Discards what the kernel has not sent yet, so that nothing arrives later.
  void abort() {
    boost::system::error_code Ignored;
    Stream.socket().set_option(asio::socket_base::linger(true, 0), Ignored);
    Stream.socket().close(Ignored);
  }
};
using ConnectionPtr = std::shared_ptr<Connection>;
} // namespace

class HttpClient::Impl : public std::enable_shared_from_this<HttpClient::Impl> {
public:
  Impl(Executor Where, HttpClientLimits Limits) : Where(Where), Limits(Limits) {}

  ConnectionPtr takeIdle(const Endpoint &To) {
    std::lock_guard Lock(Mutex);
    auto &Kept = Idle[To];
    while (!Kept.empty()) {
      ConnectionPtr Found = Kept.back();
      Kept.pop_back();
      ByAge.erase({Found->IdleSince, Found.get()});
      const auto IdleFor = Steady::now() - Found->IdleSince;
      if (IdleFor < FreshTime || (IdleFor < MaxIdleTime && Found->isQuiet()))
        return Found;
    }
    return nullptr;
  }

  void keep(const Endpoint &To, ConnectionPtr Used) {
    std::lock_guard Lock(Mutex);
    auto &Kept = Idle[To];
    if (Kept.size() >= MaxIdlePerEndpoint) {
      ByAge.erase({Kept.front()->IdleSince, Kept.front().get()});
      Kept.erase(Kept.begin());
    }
    Used->IdleSince = Steady::now();
    ByAge[{Used->IdleSince, Used.get()}] = To;
    Kept.push_back(std::move(Used));
    if (ByAge.size() > Limits.MaxIdle)
      closeOldest();
  }

  Awaitable<Result<ConnectionPtr>> connect(Endpoint To, Milliseconds Timeout) {
    auto Made = std::make_shared<Connection>(Limits.OneThread ? Where : asio::make_strand(Where));
    boost::system::error_code Bad;
    const tcp::endpoint Target(asio::ip::make_address(To.Host, Bad), To.Port);
    Made->Stream.expires_after(Timeout);
    auto [Failure] = co_await Made->Stream.async_connect(Target, AsTuple);
    if (Failure) {
      const bool Refused = Failure == asio::error::connection_refused;
      co_return Error{ErrorKind::UpstreamUnavailable,
                      (Refused ? "connection refused by " : "no connection to ") + toString(To)};
    }
    Made->Stream.socket().set_option(tcp::no_delay(true));
    Made->Stream.socket().non_blocking(true, Bad);
    co_return Made;
  }

  const Executor Where;
  const HttpClientLimits Limits;

private:
  // Called under Mutex. Within an endpoint the first is idle longest.
  void closeOldest() {
    const auto Oldest = ByAge.begin();
    const auto Kept = Idle.find(Oldest->second);
    ByAge.erase(Oldest);
    Kept->second.erase(Kept->second.begin());
    if (Kept->second.empty())
      Idle.erase(Kept);
  }

  std::mutex Mutex;
  std::map<Endpoint, std::vector<ConnectionPtr>> Idle; ///< Guarded by Mutex.
  /// The idle connections, oldest first. Guarded by Mutex.
  std::map<std::pair<TimePoint, const Connection *>, Endpoint> ByAge;
};

namespace {
class ClientCall final : public HttpCall {
public:
  ClientCall(std::function<void(ConnectionPtr)> Keep, ConnectionPtr Used, Endpoint To,
             CallOptions Options)
      : Keep(std::move(Keep)), Used(std::move(Used)), To(std::move(To)), Options(Options) {}

  ~ClientCall() override {
    if (!Used)
      return;
    if (Whole && Reusable)
      Keep(Used);
    else
      Used->abort();
  }

  Awaitable<Result<Done>> writeHead(const HttpRequest &Head,
                                    std::optional<uint64_t> Length) override {
    http::request<http::empty_body> Message{http::string_to_verb(Head.Method), Head.Target, 11};
    if (Message.method() == http::verb::unknown)
      Message.method_string(Head.Method);
    Message.set(http::field::host, toString(To));
    for (const auto &[Key, Value] : Head.Headers)
      Message.insert(Key, Value);
    Chunked = !Length;
    IsHead = Head.Method == "HEAD";
    if (Chunked)
      Message.chunked(true);
    else if (*Length > 0 || Head.Method == "POST" || Head.Method == "PUT")
      Message.set(http::field::content_length, std::to_string(*Length));
    http::request_serializer<http::empty_body> Serializer{Message};
    Used->Stream.expires_after(Options.Timeout);
    Sent = true;
    auto [Failure, Bytes] = co_await http::async_write_header(Used->Stream, Serializer, AsTuple);
    if (Failure)
      co_return cut(Failure);
    co_return Done{};
  }

  Awaitable<Result<Done>> writeBody(std::span<const char> Piece) override {
    if (Piece.empty())
      co_return Done{};
    const asio::const_buffer Bytes(Piece.data(), Piece.size());
    Used->Stream.expires_after(Options.Timeout);
    boost::system::error_code Failure;
    if (Chunked) {
      auto [Code, Count] =
          co_await asio::async_write(Used->Stream, http::make_chunk(Bytes), AsTuple);
      Failure = Code;
    } else {
      auto [Code, Count] = co_await asio::async_write(Used->Stream, Bytes, AsTuple);
      Failure = Code;
    }
    if (Failure)
      co_return cut(Failure);
    co_return Done{};
  }

  Awaitable<Result<Done>> finishBody() override {
    if (!Chunked)
      co_return Done{};
    auto [Failure, Count] =
        co_await asio::async_write(Used->Stream, http::make_chunk_last(), AsTuple);
    if (Failure)
      co_return cut(Failure);
    co_return Done{};
  }

  Awaitable<Result<HttpResponse>> readHead() override {
    Parser.emplace();
    Parser->body_limit(boost::none);
    if (IsHead)
      Parser->skip(true);
    Used->Stream.expires_after(Options.Timeout);
    auto [Failure, Bytes] =
        co_await http::async_read_header(Used->Stream, Used->Buffer, *Parser, AsTuple);
    if (Failure)
      co_return cut(Failure);
    HttpResponse Head;
    Head.Status = static_cast<int>(Parser->get().result_int());
    for (const auto &Field : Parser->get())
      Head.Headers.emplace_back(Field.name_string(), Field.value());
    Reusable = Parser->keep_alive();
    Whole = Parser->is_done();
    co_return Head;
  }

  Awaitable<Result<size_t>> readBody(std::span<char> Room) override {
    while (!Parser->is_done()) {
      auto &Body = Parser->get().body();
      Body.data = Room.data();
      Body.size = Room.size();
      Body.more = true;
      Used->Stream.expires_after(Options.Timeout);
      auto [Failure, Bytes] =
          co_await http::async_read(Used->Stream, Used->Buffer, *Parser, AsTuple);
      if (Failure && Failure != http::error::need_buffer)
        co_return cut(Failure);
      const size_t Read = Room.size() - Body.size;
      if (Read > 0)
        co_return Read;
    }
    Whole = true;
    co_return size_t{0};
  }

  bool anySent() const override { return Sent; }

private:
  Error cut(boost::system::error_code Failure) const {
    return {ErrorKind::UpstreamCut,
            "the answer of " + toString(To) + " is lost: " + Failure.message()};
  }

  std::function<void(ConnectionPtr)> Keep;
  ConnectionPtr Used;
  Endpoint To;
  CallOptions Options;
  std::optional<http::response_parser<http::buffer_body>> Parser;
  bool Chunked = false;
  bool IsHead = false;
  bool Sent = false;
  bool Whole = false;
  bool Reusable = false;
};
} // namespace

HttpClient::HttpClient(Executor Where, HttpClientLimits Limits)
    : Inner(std::make_shared<Impl>(Where, Limits)) {}
HttpClient::~HttpClient() = default;

Awaitable<Result<std::shared_ptr<HttpCall>>> HttpClient::open(Endpoint To, CallOptions Options) {
  std::shared_ptr<Impl> Pool = Inner;
  ConnectionPtr Used = Options.FreshConnection ? nullptr : Pool->takeIdle(To);
  if (!Used) {
    Result<ConnectionPtr> Made = co_await Pool->connect(To, Options.Timeout);
    if (!ok(Made))
      co_return error(Made);
    Used = value(Made);
  }
  auto Keep = [Pool, To](ConnectionPtr Free) { Pool->keep(To, std::move(Free)); };
  std::shared_ptr<HttpCall> Call =
      std::make_shared<ClientCall>(std::move(Keep), std::move(Used), To, Options);
  co_return Call;
}

namespace {
http::request<http::string_body> wholeMessage(const Endpoint &To, HttpRequest Request) {
  http::request<http::string_body> Message{http::string_to_verb(Request.Method), Request.Target, 11,
                                           std::move(Request.Body)};
  if (Message.method() == http::verb::unknown)
    Message.method_string(Request.Method);
  Message.set(http::field::host, toString(To));
  for (const auto &[Key, Value] : Request.Headers)
    Message.insert(Key, Value);
  if (!Message.body().empty() || Request.Method == "POST" || Request.Method == "PUT")
    Message.prepare_payload();
  return Message;
}

HttpResponse wholeAnswer(http::response<http::string_body> Message) {
  HttpResponse Answer;
  Answer.Status = static_cast<int>(Message.result_int());
  for (const auto &Field : Message)
    Answer.Headers.emplace_back(Field.name_string(), Field.value());
  Answer.Body = std::move(Message.body());
  return Answer;
}
} // namespace

Awaitable<Result<HttpResponse>> HttpClient::send(Endpoint To, HttpRequest Request,
                                                 CallOptions Options) {
  std::shared_ptr<Impl> Pool = Inner;
  const TimePoint Deadline = Steady::now() + Options.Timeout;
  ConnectionPtr Used = Options.FreshConnection ? nullptr : Pool->takeIdle(To);
  if (!Used) {
    Result<ConnectionPtr> Made = co_await Pool->connect(To, Options.Timeout);
    if (!ok(Made))
      co_return error(Made);
    Used = value(Made);
  }
  const bool IsHead = Request.Method == "HEAD";
  const auto Message = wholeMessage(To, std::move(Request));
  Used->Stream.expires_at(Deadline);
  auto [WriteFailure, Written] = co_await http::async_write(Used->Stream, Message, AsTuple);
  http::response_parser<http::string_body> Parser;
  Parser.body_limit(Options.MaxResponseBytes);
  Parser.skip(IsHead);
  boost::system::error_code Failure = WriteFailure;
  if (!Failure) {
    auto [ReadFailure, Read] =
        co_await http::async_read(Used->Stream, Used->Buffer, Parser, AsTuple);
    Failure = ReadFailure;
  }
  if (Failure) {
    Used->abort();
    co_return Error{ErrorKind::UpstreamCut,
                    "the answer of " + toString(To) + " is lost: " + Failure.message()};
  }
  Used->Stream.expires_never();
  if (Parser.keep_alive())
    Pool->keep(To, Used);
  co_return wholeAnswer(Parser.release());
}

} // namespace valveshelf
