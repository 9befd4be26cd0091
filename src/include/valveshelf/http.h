// SPDX-License-Identifier: Apache-2.0
// HTTP/1.1 client and server over Boost.Beast, for callers, operators, upstreams and the platform.
// Messages are held in memory by the APIs and streamed by the proxy.
#pragma once

#include "valveshelf/clock.h"
#include "valveshelf/endpoint.h"
#include "valveshelf/errors.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace valveshelf {

class TrafficMeter;

template <class T> using Awaitable = boost::asio::awaitable<T>;
using Executor = boost::asio::any_io_executor;

/// Header fields in the order in which they are sent or were received.
using HeaderList = std::vector<std::pair<std::string, std::string>>;

/// The first value of field \p Name, compared without case; empty if there is none.
std::string_view findHeader(const HeaderList &Headers, std::string_view Name);

/// True for hop-by-hop fields, which a proxy doesn't forward (RFC 9110, 7.6.1).
bool isHopByHop(std::string_view Name);

/// A complete request in memory.
struct HttpRequest {
  std::string Method = "GET";
  std::string Target = "/";
  HeaderList Headers;
  std::string Body;
};

/// A complete response in memory.
struct HttpResponse {
  int Status = 200;
  HeaderList Headers;
  std::string Body;
  /// Of a client: the request was sent before, on a connection that was reset, and may have been
  /// carried out then.
  bool WasRepeated = false;
};

/// A JSON response with the given status.
HttpResponse jsonResponse(int Status, std::string Body);

/// The response for \p Failure: status, `Valveshelf-Outcome`, `Retry-After`, and a JSON body with
/// the error's name, detail, outcome and retry delay.
HttpResponse errorResponse(const Error &Failure);
/// The same with the given `Retry-After`; none if zero.
HttpResponse errorResponse(const Error &Failure, std::chrono::seconds RetryAfter);

/// The percent-decoded value of query parameter \p Name in \p Target, if present.
std::optional<std::string> queryParameter(std::string_view Target, std::string_view Name);

/// \p Target without its query.
std::string_view pathOf(std::string_view Target);

/// One request on a server connection with its response, both streamed. Used by one coroutine
/// at a time; valid until the handler returns.
class HttpExchange {
public:
  virtual ~HttpExchange() = default;
  virtual const std::string &method() const = 0;
  virtual const std::string &target() const = 0;
  virtual const HeaderList &headers() const = 0;
  /// True if the request declares a body.
  virtual bool hasBody() const = 0;
  /// Reads the next part of the body into \p Room. Returns the bytes read, 0 at the end, or
  /// BadRequest if the caller disconnected, timed out or sent invalid framing.
  virtual Awaitable<Result<size_t>> readBody(std::span<char> Room) = 0;
  /// Sends the head of the response. Without \p Length the body is sent in chunks. Returns false
  /// if the write fails.
  virtual Awaitable<bool> writeHead(int Status, const HeaderList &Headers,
                                    std::optional<uint64_t> Length) = 0;
  /// Sends part of the body and waits until the socket has accepted it. Returns false if the
  /// write fails.
  virtual Awaitable<bool> writeBody(std::span<const char> Piece) = 0;
  /// Sends a complete response. Returns false if the write fails.
  virtual Awaitable<bool> writeWhole(HttpResponse Response) = 0;
  /// Ends the response. The connection of an exchange that is not finished is closed, so that the
  /// caller can tell that the response is truncated.
  virtual Awaitable<bool> finish() = 0;
};

/// Reads the complete body. Returns BadRequest if it is larger than \p Most bytes.
Awaitable<Result<std::string>> readWhole(HttpExchange &Exchange, size_t Most);

/// Sends a complete response.
Awaitable<void> sendWhole(HttpExchange &Exchange, HttpResponse Response);

/// Limits that protect a server from slow and malicious clients.
struct HttpServerLimits {
  size_t MaxHeaderBytes = 16 * 1024;
  size_t MaxConnections = 4096;
  Milliseconds HeaderTimeout{10000}; ///< From the start of the read to the complete head.
  Milliseconds BodyTimeout{30000};   ///< For each read or write of part of a body.
};

using HttpHandler = std::function<Awaitable<void>(HttpExchange &)>;

/// A listening HTTP server. All methods are safe from any thread.
class HttpServer {
public:
  /// Does not bind yet. \p Handler is called once per request, concurrently.
  HttpServer(Executor Exec, Endpoint Address, HttpServerLimits Limits, HttpHandler Handler);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// Binds and starts to accept. Returns BadSettings if the address can't be bound.
  Result<Done> start();
  /// Sends each further response with `Connection: close`, so that callers reconnect elsewhere.
  void beginDrain();
  /// Closes the listening socket and idle connections; requests in progress complete. Connections
  /// accepted without a request so far may still send one for a short time.
  void stopAccepting();
  /// Number of requests in progress; after `stopAccepting` also of connections that may still send
  /// their first request.
  size_t inProgress() const;

private:
  class Impl;
  std::shared_ptr<Impl> Inner;
};

/// A streamed request on a client connection. Used by one coroutine at a time. Errors of all steps
/// are UpstreamCut.
class HttpCall {
public:
  virtual ~HttpCall() = default;
  /// Sends the head. Without \p Length the body is sent in chunks; 0 means no body.
  virtual Awaitable<Result<Done>> writeHead(const HttpRequest &Head,
                                            std::optional<uint64_t> Length) = 0;
  virtual Awaitable<Result<Done>> writeBody(std::span<const char> Piece) = 0;
  virtual Awaitable<Result<Done>> finishBody() = 0;
  /// Waits for the head of the response; the body of the result is empty.
  virtual Awaitable<Result<HttpResponse>> readHead() = 0;
  /// Returns the bytes read, 0 at the end of the body, or UpstreamCut if the connection closes
  /// before that.
  virtual Awaitable<Result<size_t>> readBody(std::span<char> Room) = 0;
  /// True once a byte of the request may have reached the server.
  virtual bool anySent() const = 0;
};

/// Limits of a client's connections to one endpoint, for servers that accept few and keep those of
/// lost clients. All calls to an endpoint pass the same limits.
struct EndpointLimits {
  size_t MaxConnections = 0;   ///< In use or idle; further calls wait in turn for one. 0: no limit.
  size_t UsualConnections = 0; ///< Beyond these, a call first waits briefly for one in use.
  Milliseconds MaxIdleTime{60000}; ///< A connection idle for longer is closed or not reused.
};

/// Options of one client call.
struct CallOptions {
  Milliseconds Timeout{2000};   ///< Of a complete call, or of each step of a streamed one. A call
                                ///< that waits for a connection may take twice as long.
  bool FreshConnection = false; ///< Never reuse an idle connection; for calls that must not
                                ///< be sent twice.
  /// The request may arrive more than once. If an endpoint with a limit resets a new connection
  /// before it answers, the request is sent again over one that is open.
  bool Repeatable = false;
  /// The response may be delayed on purpose. To an endpoint with a limit the first such call
  /// leaves another connection free, so that later calls do not wait for the response.
  bool IsLongPoll = false;
  EndpointLimits Limits;
  size_t MaxResponseBytes = 16 * 1024 * 1024;
  std::string Kind; ///< Traffic kind that a `send` is counted under; empty: not counted.
};

/// Connection pool of a client.
struct HttpClientLimits {
  bool OneThread = false; ///< One thread runs the executor, so connections need no strands.
  size_t MaxIdle = 1024;  ///< Idle connections over all endpoints; beyond it the oldest is closed.
};

/// A client with a pool of connections, of which the idle ones are bounded per endpoint and in
/// total. Thread safe.
class HttpClient {
public:
  /// \p Meter counts the calls of `send`; it must outlive the client and may be null.
  explicit HttpClient(Executor Exec, HttpClientLimits Limits = {}, TrafficMeter *Meter = nullptr);
  ~HttpClient();
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  /// Sends \p Request and returns the complete response. UpstreamUnavailable: nothing was sent.
  /// UpstreamCut: the request may have been sent, and no complete response arrived.
  Awaitable<Result<HttpResponse>> send(Endpoint To, HttpRequest Request, CallOptions Options = {});

  /// The meter of the constructor; may be null.
  TrafficMeter *meter() const;

  /// True if calls to an endpoint with a limit may have to share one connection, so that none
  /// should take it for long: the endpoint has reset a new connection, or has answered on no second
  /// one yet.
  bool mayHaveToShare(const Endpoint &To) const;

  /// Opens a streamed call. UpstreamUnavailable if the connection can't be established.
  Awaitable<Result<std::shared_ptr<HttpCall>>> open(Endpoint To, CallOptions Options = {});

private:
  class Impl;
  std::shared_ptr<Impl> Inner;
};

} // namespace valveshelf
