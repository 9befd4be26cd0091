// SPDX-License-Identifier: Apache-2.0
// The HTTP client: kept connections, whole calls and streamed calls.
#include "valveshelf/http.h"
#include "valveshelf/steady_timer.h"
#include "valveshelf/traffic.h"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <array>
#include <list>
#include <map>
#include <mutex>
#include <unordered_map>

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
  Connection(Executor Where, Endpoint To) : Stream(std::move(Where)), To(std::move(To)) {
    Buffer.reserve(UsualAnswer);
  }
  beast::tcp_stream Stream;
  beast::flat_buffer Buffer;
  const Endpoint To;
  TimePoint IdleSince{};
  /// Counts the calls made on it, so that a deadline of one can't end the next.
  uint64_t Call = 0;
  bool InCall = false;
  bool TimedOut = false; ///< The call under way was given up at its deadline.

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

struct EndpointHash {
  size_t operator()(const Endpoint &Value) const {
    return std::hash<std::string>()(Value.Host) ^ (size_t{Value.Port} << 1);
  }
};

// Ends calls at their deadlines by one timer for all of them, instead of one for each write and
// read (exchange below has the figure for both).
class Deadlines : public std::enable_shared_from_this<Deadlines> {
public:
  explicit Deadlines(const Executor &Where) : Timer(Where) {}

  using Place = std::pair<TimePoint, uint64_t>;
  struct Entry {
    ConnectionPtr Used;
    uint64_t Call;
    Executor Where; ///< On which the call runs.
  };

  Place add(TimePoint At, Entry What) {
    std::lock_guard Lock(Mutex);
    const Place Mine{At, ++LastNumber};
    Waiting.emplace(Mine, std::move(What));
    if (At < Armed)
      arm(At);
    return Mine;
  }

  void remove(const Place &Mine) {
    std::lock_guard Lock(Mutex);
    Waiting.erase(Mine);
    if (!Waiting.empty() || Armed == TimePoint::max())
      return;
    Armed = TimePoint::max(); // nothing holds up an executor that would end
    Timer.cancel();
  }

private:
  // Called under Mutex. A timer that fires for a call which is over finds nothing to end.
  void arm(TimePoint At) {
    Armed = At;
    Timer.expires_at(At);
    Timer.async_wait([Me = weak_from_this()](boost::system::error_code Failure) {
      const auto Here = Me.lock();
      if (!Failure && Here)
        Here->endDue();
    });
  }

  void endDue() {
    std::lock_guard Lock(Mutex);
    const TimePoint Now = Steady::now();
    while (!Waiting.empty() && Waiting.begin()->first.first <= Now) {
      asio::post(Waiting.begin()->second.Where, [What = Waiting.begin()->second] {
        if (!What.Used->InCall || What.Used->Call != What.Call)
          return;
        What.Used->TimedOut = true;
        boost::system::error_code Ignored;
        What.Used->Stream.socket().cancel(Ignored);
      });
      Waiting.erase(Waiting.begin());
    }
    if (Waiting.empty())
      Armed = TimePoint::max();
    else
      arm(Waiting.begin()->first.first);
  }

  std::mutex Mutex;
  std::map<Place, Entry> Waiting;     ///< Guarded by Mutex.
  uint64_t LastNumber = 0;            ///< Guarded by Mutex.
  TimePoint Armed = TimePoint::max(); ///< When Timer fires; max: never. Guarded by Mutex.
  SteadyTimer Timer;                  ///< Guarded by Mutex.
};
} // namespace

class HttpClient::Impl : public std::enable_shared_from_this<HttpClient::Impl> {
  using AgeList = std::list<ConnectionPtr>;

public:
  Impl(Executor Where, HttpClientLimits Limits, TrafficMeter *Meter)
      : Where(Where), Limits(Limits), Meter(Meter), Ending(std::make_shared<Deadlines>(Where)) {}

  ConnectionPtr takeIdle(const Endpoint &To) {
    std::lock_guard Lock(Mutex);
    const auto Found = Idle.find(To);
    if (Found == Idle.end())
      return nullptr;
    auto &Kept = Found->second;
    while (!Kept.empty()) {
      ConnectionPtr Last = *Kept.back();
      ByAge.erase(Kept.back());
      Kept.pop_back();
      const auto IdleFor = Steady::now() - Last->IdleSince;
      if (IdleFor < FreshTime || (IdleFor < MaxIdleTime && Last->isQuiet()))
        return Last;
    }
    return nullptr;
  }

  void keep(ConnectionPtr Used) {
    std::lock_guard Lock(Mutex);
    auto &Kept = Idle[Used->To];
    if (Kept.size() >= MaxIdlePerEndpoint) {
      ByAge.erase(Kept.front());
      Kept.erase(Kept.begin());
    }
    Used->IdleSince = Steady::now();
    Kept.push_back(ByAge.insert(ByAge.end(), std::move(Used)));
    if (ByAge.size() > Limits.MaxIdle)
      closeOldest();
  }

  // Closes what is idle towards an address that did not answer on a kept connection, and has been
  // since the call began. Connections may go silent for good without a reset while new ones work;
  // each of up to sixteen kept ones would otherwise cost a call its whole time.
  void forget(const Endpoint &To, TimePoint Before) {
    std::lock_guard Lock(Mutex);
    const auto Found = Idle.find(To);
    if (Found == Idle.end())
      return;
    std::erase_if(Found->second, [&](const AgeList::iterator &Kept) {
      const bool IsOld = (*Kept)->IdleSince < Before;
      if (IsOld)
        ByAge.erase(Kept);
      return IsOld;
    });
    if (Found->second.empty())
      Idle.erase(Found);
  }

  Awaitable<Result<ConnectionPtr>> connect(Endpoint To, Milliseconds Timeout) {
    auto Made =
        std::make_shared<Connection>(Limits.OneThread ? Where : asio::make_strand(Where), To);
    boost::system::error_code Bad;
    const tcp::endpoint Target(asio::ip::make_address(To.Host, Bad), To.Port);
    Made->Stream.expires_after(Timeout);
    auto [Failure] = co_await Made->Stream.async_connect(Target, AsTuple);
    if (Failure) {
      const bool Refused = Failure == asio::error::connection_refused;
      co_return Error{ErrorKind::UpstreamUnavailable,
                      (Refused ? "connection refused by " : "no connection to ") + toString(To)};
    }
    Made->Stream.expires_never();
    Made->Stream.socket().set_option(tcp::no_delay(true));
    Made->Stream.socket().non_blocking(true, Bad);
    co_return Made;
  }

  const Executor Where;
  const HttpClientLimits Limits;
  TrafficMeter *const Meter; ///< Or null.
  const std::shared_ptr<Deadlines> Ending;

private:
  // Called under Mutex. Within an endpoint the first is idle longest.
  void closeOldest() {
    const auto Kept = Idle.find(ByAge.front()->To);
    ByAge.pop_front();
    Kept->second.erase(Kept->second.begin());
    if (Kept->second.empty())
      Idle.erase(Kept);
  }

  std::mutex Mutex;
  AgeList ByAge; ///< The idle connections, oldest first. Guarded by Mutex.
  /// Places in ByAge, within an endpoint oldest first. Guarded by Mutex.
  std::unordered_map<Endpoint, std::vector<AgeList::iterator>, EndpointHash> Idle;
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

HttpClient::HttpClient(Executor Where, HttpClientLimits Limits, TrafficMeter *Meter)
    : Inner(std::make_shared<Impl>(Where, Limits, Meter)) {}
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
  auto Keep = [Pool](ConnectionPtr Free) { Pool->keep(std::move(Free)); };
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

namespace {
// A call on a connection, and the end of it at its deadline.
class TimedCall {
public:
  TimedCall(std::shared_ptr<Deadlines> Ending, ConnectionPtr Used, TimePoint At, Executor Where)
      : Ending(std::move(Ending)), Used(std::move(Used)) {
    ++this->Used->Call;
    this->Used->InCall = true;
    this->Used->TimedOut = false;
    Mine = this->Ending->add(At, {this->Used, this->Used->Call, std::move(Where)});
  }
  ~TimedCall() {
    Used->InCall = false;
    Ending->remove(Mine);
  }
  TimedCall(const TimedCall &) = delete;
  TimedCall &operator=(const TimedCall &) = delete;

private:
  const std::shared_ptr<Deadlines> Ending;
  const ConnectionPtr Used;
  Deadlines::Place Mine;
};

using Serializer = http::request_serializer<http::string_body>;
using Parser = http::response_parser<http::string_body>;

// Writes what the socket takes now; would_block: there is more.
boost::system::error_code writeNow(Connection &Used, Serializer &Out, TrafficCounts &Seen) {
  boost::system::error_code Failure;
  while (!Failure && !Out.is_done())
    Out.next(Failure, [&](boost::system::error_code &Code, const auto &Buffers) {
      const size_t Written = Used.Stream.socket().write_some(Buffers, Code);
      Seen.BytesSent += Written;
      Out.consume(Written);
    });
  return Failure;
}

// Parses what has been read. At the end of the stream \p Failure is eof.
boost::system::error_code parseRead(Connection &Used, Parser &Into,
                                    boost::system::error_code Failure) {
  if (Failure == asio::error::eof && Into.got_some()) {
    Failure = {};
    Into.put_eof(Failure);
    return Failure;
  }
  while (!Failure && !Into.is_done() && Used.Buffer.size() > 0) {
    const size_t Parsed = Into.put(Used.Buffer.data(), Failure);
    Used.Buffer.consume(Parsed);
    if (Failure == http::error::need_more)
      return {};
  }
  return Failure;
}

// The request is written at once where the socket takes it; the answer usually comes in one piece.
// So a call waits once, where timed operations for the write and the read would wait twice.
Awaitable<boost::system::error_code> exchange(Connection &Used,
                                              const http::request<http::string_body> &Message,
                                              Parser &Into, TrafficCounts &Seen) {
  Serializer Out{Message};
  Into.eager(true);
  boost::system::error_code Failure = writeNow(Used, Out, Seen);
  while (Failure == asio::error::would_block && !Used.TimedOut) {
    auto [Code] = co_await Used.Stream.socket().async_wait(tcp::socket::wait_write, AsTuple);
    Failure = Code ? Code : writeNow(Used, Out, Seen);
  }
  while (!Failure && !Into.is_done() && !Used.TimedOut) {
    auto [Code, Bytes] =
        co_await Used.Stream.socket().async_read_some(Used.Buffer.prepare(UsualAnswer), AsTuple);
    Used.Buffer.commit(Bytes);
    Seen.BytesReceived += Bytes;
    Failure = parseRead(Used, Into, Code);
  }
  if (!Into.is_done() && (!Failure || Used.TimedOut))
    Failure = beast::error::timeout;
  co_return Failure;
}
} // namespace

Awaitable<Result<HttpResponse>> HttpClient::send(Endpoint To, HttpRequest Request,
                                                 CallOptions Options) {
  std::shared_ptr<Impl> Pool = Inner;
  const TimePoint Deadline = Steady::now() + Options.Timeout;
  ConnectionPtr Used = Options.FreshConnection ? nullptr : Pool->takeIdle(To);
  const bool WasKept = Used != nullptr;
  TrafficCounts Seen{1, 0, WasKept ? 0U : 1U, 0, 0};
  const auto Note = [&](bool Answered) {
    Seen.Failed = Answered ? 0 : 1;
    if (Pool->Meter && !Options.Kind.empty())
      Pool->Meter->record(Options.Kind, Seen);
  };
  if (!WasKept) {
    Result<ConnectionPtr> Made = co_await Pool->connect(To, Options.Timeout);
    if (!ok(Made)) {
      Note(false);
      co_return error(Made);
    }
    Used = value(Made);
  }
  Parser Into;
  Into.body_limit(Options.MaxResponseBytes);
  Into.skip(Request.Method == "HEAD");
  const auto Message = wholeMessage(To, std::move(Request));
  boost::system::error_code Failure;
  {
    const TimedCall Timed(Pool->Ending, Used, Deadline, co_await asio::this_coro::executor);
    Failure = co_await exchange(*Used, Message, Into, Seen);
  }
  Note(Into.is_done());
  if (!Into.is_done()) {
    if (WasKept && Used->TimedOut)
      Pool->forget(To, Deadline - Options.Timeout);
    Used->abort();
    co_return Error{ErrorKind::UpstreamCut,
                    "the answer of " + toString(To) + " is lost: " + Failure.message()};
  }
  if (Into.keep_alive() && !Failure)
    Pool->keep(Used);
  co_return wholeAnswer(Into.release());
}

} // namespace valveshelf
