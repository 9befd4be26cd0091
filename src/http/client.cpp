// SPDX-License-Identifier: Apache-2.0
// The HTTP client: complete calls (`send`) and streamed calls (`open`).
#include "http/connection_pool.h"
#include "valveshelf/http.h"
#include "valveshelf/steady_timer.h"
#include "valveshelf/traffic.h"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <map>
#include <mutex>

namespace valveshelf {
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace {
constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);

// Cancels calls at their deadlines. One timer serves all calls, instead of one for each read and
// write. Thread safe.
class Deadlines : public std::enable_shared_from_this<Deadlines> {
public:
  explicit Deadlines(const Executor &Exec) : Timer(Exec) {}

  using EntryKey = std::pair<TimePoint, uint64_t>;
  struct Entry {
    ConnectionPtr Conn;
    uint64_t Call;
    Executor Exec; ///< Executor that the call runs on.
  };

  EntryKey add(TimePoint At, Entry What) {
    std::lock_guard Lock(Mutex);
    const EntryKey OwnKey{At, ++LastNumber};
    Pending.emplace(OwnKey, std::move(What));
    if (At < Armed)
      arm(At);
    return OwnKey;
  }

  void remove(const EntryKey &OwnKey) {
    std::lock_guard Lock(Mutex);
    Pending.erase(OwnKey);
    if (!Pending.empty() || Armed == TimePoint::max())
      return;
    Armed = TimePoint::max(); // A pending timer would keep the executor running.
    Timer.cancel();
  }

private:
  // Requires Mutex. The timer may fire after its call has completed; it then cancels nothing.
  void arm(TimePoint At) {
    Armed = At;
    Timer.expires_at(At);
    Timer.async_wait([Me = weak_from_this()](boost::system::error_code Failure) {
      const auto Here = Me.lock();
      if (!Failure && Here)
        Here->cancelExpired();
    });
  }

  void cancelExpired() {
    std::lock_guard Lock(Mutex);
    const TimePoint Now = Steady::now();
    while (!Pending.empty() && Pending.begin()->first.first <= Now) {
      asio::post(Pending.begin()->second.Exec, [What = Pending.begin()->second] {
        if (!What.Conn->InCall || What.Conn->Call != What.Call)
          return;
        What.Conn->TimedOut = true;
        boost::system::error_code Ignored;
        What.Conn->Stream.socket().cancel(Ignored);
      });
      Pending.erase(Pending.begin());
    }
    if (Pending.empty())
      Armed = TimePoint::max();
    else
      arm(Pending.begin()->first.first);
  }

  std::mutex Mutex;
  std::map<EntryKey, Entry> Pending;  ///< Guarded by Mutex.
  uint64_t LastNumber = 0;            ///< Guarded by Mutex.
  TimePoint Armed = TimePoint::max(); ///< When Timer fires; max: never. Guarded by Mutex.
  SteadyTimer Timer;                  ///< Guarded by Mutex.
};
} // namespace

class HttpClient::Impl {
public:
  Impl(Executor Exec, HttpClientLimits Limits, TrafficMeter *Meter)
      : Pool(std::make_shared<ConnectionPool>(Exec, Limits, Meter)), Meter(Meter),
        CallDeadlines(std::make_shared<Deadlines>(Exec)) {}

  const std::shared_ptr<ConnectionPool> Pool;
  TrafficMeter *const Meter; ///< May be null.
  const std::shared_ptr<Deadlines> CallDeadlines;
};

namespace {
class ClientCall final : public HttpCall {
public:
  ClientCall(std::function<void(ConnectionPtr)> ReturnIdle, ConnectionPtr Conn, Endpoint To,
             CallOptions Options)
      : ReturnIdle(std::move(ReturnIdle)), Conn(std::move(Conn)), To(std::move(To)),
        Options(Options) {}

  ~ClientCall() override {
    if (!Conn)
      return;
    if (Complete && Reusable)
      ReturnIdle(Conn);
    else
      Conn->abort();
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
    Conn->Stream.expires_after(Options.Timeout);
    Sent = true;
    auto [Failure, Bytes] = co_await http::async_write_header(Conn->Stream, Serializer, AsTuple);
    if (Failure)
      co_return responseLost(Failure);
    co_return Done{};
  }

  Awaitable<Result<Done>> writeBody(std::span<const char> Piece) override {
    if (Piece.empty())
      co_return Done{};
    const asio::const_buffer Bytes(Piece.data(), Piece.size());
    Conn->Stream.expires_after(Options.Timeout);
    boost::system::error_code Failure;
    if (Chunked) {
      auto [Code, Count] =
          co_await asio::async_write(Conn->Stream, http::make_chunk(Bytes), AsTuple);
      Failure = Code;
    } else {
      auto [Code, Count] = co_await asio::async_write(Conn->Stream, Bytes, AsTuple);
      Failure = Code;
    }
    if (Failure)
      co_return responseLost(Failure);
    co_return Done{};
  }

  Awaitable<Result<Done>> finishBody() override {
    if (!Chunked)
      co_return Done{};
    auto [Failure, Count] =
        co_await asio::async_write(Conn->Stream, http::make_chunk_last(), AsTuple);
    if (Failure)
      co_return responseLost(Failure);
    co_return Done{};
  }

  Awaitable<Result<HttpResponse>> readHead() override {
    Parser.emplace();
    Parser->body_limit(boost::none);
    if (IsHead)
      Parser->skip(true);
    Conn->Stream.expires_after(Options.Timeout);
    auto [Failure, Bytes] =
        co_await http::async_read_header(Conn->Stream, Conn->Buffer, *Parser, AsTuple);
    if (Failure)
      co_return responseLost(Failure);
    HttpResponse Head;
    Head.Status = static_cast<int>(Parser->get().result_int());
    for (const auto &Field : Parser->get())
      Head.Headers.emplace_back(Field.name_string(), Field.value());
    Reusable = Parser->keep_alive();
    Complete = Parser->is_done();
    co_return Head;
  }

  Awaitable<Result<size_t>> readBody(std::span<char> Room) override {
    while (!Parser->is_done()) {
      auto &Body = Parser->get().body();
      Body.data = Room.data();
      Body.size = Room.size();
      Body.more = true;
      Conn->Stream.expires_after(Options.Timeout);
      auto [Failure, Bytes] =
          co_await http::async_read(Conn->Stream, Conn->Buffer, *Parser, AsTuple);
      if (Failure && Failure != http::error::need_buffer)
        co_return responseLost(Failure);
      const size_t Read = Room.size() - Body.size;
      if (Read > 0)
        co_return Read;
    }
    Complete = true;
    co_return size_t{0};
  }

  bool anySent() const override { return Sent; }

private:
  Error responseLost(boost::system::error_code Failure) const {
    return {ErrorKind::UpstreamCut,
            "no complete response from " + toString(To) + ": " + Failure.message()};
  }

  std::function<void(ConnectionPtr)> ReturnIdle;
  ConnectionPtr Conn;
  Endpoint To;
  CallOptions Options;
  std::optional<http::response_parser<http::buffer_body>> Parser;
  bool Chunked = false;
  bool IsHead = false;
  bool Sent = false;
  bool Complete = false;
  bool Reusable = false;
};
} // namespace

HttpClient::HttpClient(Executor Exec, HttpClientLimits Limits, TrafficMeter *Meter)
    : Inner(std::make_shared<Impl>(Exec, Limits, Meter)) {}
HttpClient::~HttpClient() = default;

Awaitable<Result<std::shared_ptr<HttpCall>>> HttpClient::open(Endpoint To, CallOptions Options) {
  std::shared_ptr<ConnectionPool> Pool = Inner->Pool;
  const TimePoint Deadline = Steady::now() + Options.Timeout;
  Result<ConnectionPtr> Taken = co_await Pool->take(To, Options, Deadline);
  if (!ok(Taken))
    co_return error(Taken);
  auto ReturnIdle = [Pool](ConnectionPtr Free) { Pool->release(std::move(Free)); };
  std::shared_ptr<HttpCall> Call =
      std::make_shared<ClientCall>(std::move(ReturnIdle), std::move(value(Taken)), To, Options);
  co_return Call;
}

namespace {
http::request<http::string_body> toBeastRequest(const Endpoint &To, HttpRequest Request) {
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

HttpResponse toHttpResponse(http::response<http::string_body> Message) {
  HttpResponse Answer;
  Answer.Status = static_cast<int>(Message.result_int());
  for (const auto &Field : Message)
    Answer.Headers.emplace_back(Field.name_string(), Field.value());
  Answer.Body = std::move(Message.body());
  return Answer;
}
} // namespace

namespace {
// Registers the deadline of a call for the lifetime of this object.
class TimedCall {
public:
  TimedCall(std::shared_ptr<Deadlines> CallDeadlines, ConnectionPtr Conn, TimePoint At,
            Executor Exec)
      : CallDeadlines(std::move(CallDeadlines)), Conn(std::move(Conn)) {
    ++this->Conn->Call;
    this->Conn->InCall = true;
    this->Conn->TimedOut = false;
    OwnKey = this->CallDeadlines->add(At, {this->Conn, this->Conn->Call, std::move(Exec)});
  }
  ~TimedCall() {
    Conn->InCall = false;
    CallDeadlines->remove(OwnKey);
  }
  TimedCall(const TimedCall &) = delete;
  TimedCall &operator=(const TimedCall &) = delete;

private:
  const std::shared_ptr<Deadlines> CallDeadlines;
  const ConnectionPtr Conn;
  Deadlines::EntryKey OwnKey;
};

using Serializer = http::request_serializer<http::string_body>;
using Parser = http::response_parser<http::string_body>;

// Of one response, before other calls get their turn.
constexpr size_t MaxBytesPerTurn = 1024 * 1024;

// Writes as much as the socket accepts without blocking; would_block if data remains.
boost::system::error_code writeWithoutWaiting(Connection &Conn, Serializer &Out,
                                              TrafficCounts &Counts, TrafficMeter *Meter) {
  const MessageSection Work(Meter, MessageWork::Transfer);
  boost::system::error_code Failure;
  while (!Failure && !Out.is_done())
    Out.next(Failure, [&](boost::system::error_code &Code, const auto &Buffers) {
      const size_t Written = Conn.Stream.socket().write_some(Buffers, Code);
      Counts.BytesSent += Written;
      Out.consume(Written);
    });
  return Failure;
}

// Parses the data in the buffer. \p Failure is the result of the read, eof at the end of stream.
boost::system::error_code parseRead(Connection &Conn, Parser &Into,
                                    boost::system::error_code Failure, TrafficMeter *Meter) {
  const MessageSection Work(Meter, MessageWork::Decode);
  if (Failure == asio::error::eof && Into.got_some()) {
    Failure = {};
    Into.put_eof(Failure);
    return Failure;
  }
  while (!Failure && !Into.is_done() && Conn.Buffer.size() > 0) {
    const size_t Parsed = Into.put(Conn.Buffer.data(), Failure);
    Conn.Buffer.consume(Parsed);
    if (Failure == http::error::need_more)
      return {};
  }
  return Failure;
}

// Reads what has arrived without waiting, up to a bound. Each turn of the event loop may take long
// in a busy process; a large response must not take one for each piece of it.
boost::system::error_code readWithoutWaiting(Connection &Conn, Parser &Into, TrafficCounts &Counts,
                                             TrafficMeter *Meter) {
  boost::system::error_code Failure;
  for (size_t Read = 0; !Failure && !Into.is_done() && Read < MaxBytesPerTurn;) {
    size_t Bytes = 0;
    {
      const MessageSection Work(Meter, MessageWork::Transfer);
      Bytes =
          Conn.Stream.socket().read_some(Conn.Buffer.prepare(Connection::LargeReadBytes), Failure);
    }
    if (Failure == asio::error::would_block)
      return {};
    Conn.Buffer.commit(Bytes);
    Counts.BytesReceived += Bytes;
    Read += Bytes;
    Failure = parseRead(Conn, Into, Failure, Meter);
  }
  return Failure;
}

// True if the server, or a process in front of it, has closed or reset the connection.
bool isClosedByServer(boost::system::error_code Failure) {
  return Failure == asio::error::connection_reset || Failure == asio::error::broken_pipe ||
         Failure == asio::error::eof || Failure == http::error::end_of_stream;
}

// Sends the request and reads the response. A request that fits the socket's buffer is written
// without waiting, so that a call usually waits only once, for its response.
Awaitable<boost::system::error_code> exchange(Connection &Conn,
                                              const http::request<http::string_body> &Message,
                                              Parser &Into, TrafficCounts &Counts,
                                              TrafficMeter *Meter) {
  Serializer Out{Message};
  Into.eager(true);
  boost::system::error_code Failure = writeWithoutWaiting(Conn, Out, Counts, Meter);
  while (Failure == asio::error::would_block && !Conn.TimedOut) {
    auto [Code] = co_await Conn.Stream.socket().async_wait(tcp::socket::wait_write, AsTuple);
    Failure = Code ? Code : writeWithoutWaiting(Conn, Out, Counts, Meter);
  }
  while (!Failure && !Into.is_done() && !Conn.TimedOut) {
    auto [Code, Bytes] = co_await Conn.Stream.socket().async_read_some(
        Conn.Buffer.prepare(Connection::ReadBufferBytes), AsTuple);
    Conn.Buffer.commit(Bytes);
    Counts.BytesReceived += Bytes;
    Failure = parseRead(Conn, Into, Code, Meter);
    if (!Failure && Bytes == Connection::ReadBufferBytes)
      Failure = readWithoutWaiting(Conn, Into, Counts, Meter);
  }
  if (!Into.is_done() && (!Failure || Conn.TimedOut))
    Failure = beast::error::timeout;
  co_return Failure;
}
} // namespace

Awaitable<Result<HttpResponse>> HttpClient::send(Endpoint To, HttpRequest Request,
                                                 CallOptions Options) {
  std::shared_ptr<Impl> Client = Inner;
  const std::shared_ptr<ConnectionPool> Pool = Client->Pool;
  const TimePoint Deadline = Steady::now() + Options.Timeout;
  const bool IsHead = Request.Method == "HEAD";
  const auto Message = toBeastRequest(To, std::move(Request));
  TrafficCounts Counts{1, 0, 0, 0, 0};
  const auto Record = [&](bool Answered) {
    Counts.Failed = Answered ? 0 : 1;
    if (Client->Meter && !Options.Kind.empty())
      Client->Meter->record(Options.Kind, Counts);
  };
  bool WasRefused = false; // A connection that was reset may have delivered the request.
  while (true) {
    Result<ConnectionPtr> Taken = co_await Pool->take(To, Options, Deadline);
    if (!ok(Taken)) {
      Record(false);
      const ErrorKind Kind = WasRefused ? ErrorKind::UpstreamCut : error(Taken).Kind;
      co_return Error{Kind, error(Taken).Detail};
    }
    const ConnectionPtr Conn = std::move(value(Taken));
    const bool IsNew = Conn->Call == 0;
    const TimePoint SentAt = Steady::now();
    Counts.ConnectionsOpened += IsNew ? 1 : 0;
    Parser Into;
    Into.body_limit(Options.MaxResponseBytes);
    Into.skip(IsHead);
    boost::system::error_code Failure;
    {
      const TimedCall Timed(Client->CallDeadlines, Conn, SentAt + Options.Timeout,
                            co_await asio::this_coro::executor);
      Failure = co_await exchange(*Conn, Message, Into, Counts, Client->Meter);
    }
    if (Into.is_done()) {
      Record(true);
      if (IsNew)
        Pool->confirmed(*Conn);
      Conn->shrinkBuffer();
      if (Into.keep_alive() && !Failure)
        Pool->release(Conn);
      HttpResponse Answer = toHttpResponse(Into.release());
      Answer.WasRepeated = WasRefused;
      co_return Answer;
    }
    if (!IsNew && Conn->TimedOut)
      Pool->closeIdleBefore(To, SentAt);
    Conn->abort();
    WasRefused = Options.Repeatable && IsNew && !Into.got_some() && isClosedByServer(Failure) &&
                 Pool->refused(*Conn);
    if (!WasRefused) {
      Record(false);
      co_return Error{ErrorKind::UpstreamCut,
                      "no complete response from " + toString(To) + ": " + Failure.message()};
    }
  }
}

TrafficMeter *HttpClient::meter() const { return Inner->Meter; }

bool HttpClient::mayHaveToShare(const Endpoint &To) const {
  return Inner->Pool->mayHaveToShare(To);
}

} // namespace valveshelf
