// SPDX-License-Identifier: Apache-2.0
// HTTP/1.1 towards callers, operators, upstreams and the platform, over Boost.Beast.
// Whole messages for the interfaces, streams for what is passed through.
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

/// Header fields in the order of the wire.
using HeaderList = std::vector<std::pair<std::string, std::string>>;

/// The first value of field \p Name, compared without case; empty if there is none.
std::string_view findHeader(const HeaderList &Headers, std::string_view Name);

/// True for fields that belong to one connection and are never passed on (RFC 9110, 7.6.1).
bool isHopByHop(std::string_view Name);

/// A request held whole in memory.
struct HttpRequest {
  std::string Method = "GET";
  std::string Target = "/";
  HeaderList Headers;
  std::string Body;
};

/// An answer held whole in memory.
struct HttpResponse {
  int Status = 200;
  HeaderList Headers;
  std::string Body;
};

/// A JSON answer with the given status.
HttpResponse jsonResponse(int Status, std::string Body);

/// The answer that belongs to \p Failure: status, `Valveshelf-Outcome`, `Retry-After`, and a
/// JSON body with the kind and the detail.
HttpResponse errorResponse(const Error &Failure);
/// The same with another `Retry-After`; zero: none.
HttpResponse errorResponse(const Error &Failure, std::chrono::seconds RetryAfter);

/// The value of query parameter \p Name in \p Target, if it is there.
std::optional<std::string> queryParameter(std::string_view Target, std::string_view Name);

/// \p Target without its query.
std::string_view pathOf(std::string_view Target);

/// One request on a server connection, read and answered piece by piece. Used by one
/// coroutine at a time; lives until the handler returns.
class HttpExchange {
public:
  virtual ~HttpExchange() = default;
  virtual const std::string &method() const = 0;
  virtual const std::string &target() const = 0;
  virtual const HeaderList &headers() const = 0;
  /// True if the request declares a body.
  virtual bool hasBody() const = 0;
  /// Reads the next piece of the body into \p Room. Returns the bytes read, 0 at the end, or
  /// BadRequest if the caller went away, stalled or sent bad framing.
  virtual Awaitable<Result<size_t>> readBody(std::span<char> Room) = 0;
  /// Sends the head of the answer. Without \p Length the body is sent in chunks. Returns false
  /// if the caller went away.
  virtual Awaitable<bool> writeHead(int Status, const HeaderList &Headers,
                                    std::optional<uint64_t> Length) = 0;
  /// Sends a piece of the body and waits until the caller's connection took it.
  virtual Awaitable<bool> writeBody(std::span<const char> Piece) = 0;
  /// Sends a whole answer at once. Returns false if the caller went away.
  virtual Awaitable<bool> writeWhole(HttpResponse Response) = 0;
  /// Marks the answer as whole. An exchange that is not finished is cut, so that the caller
  /// can't take it for whole.
  virtual Awaitable<bool> finish() = 0;
};

/// Reads the whole body. Returns BadRequest if it is larger than \p Most bytes.
Awaitable<Result<std::string>> readWhole(HttpExchange &Exchange, size_t Most);

/// Sends a whole answer.
Awaitable<void> sendWhole(HttpExchange &Exchange, HttpResponse Response);

/// Limits that protect a server from slow and hostile senders.
struct HttpServerLimits {
  size_t MaxHeaderBytes = 16 * 1024;
  size_t MaxConnections = 4096;
  Milliseconds HeaderTimeout{10000}; ///< From the first wait to the complete head.
  Milliseconds BodyTimeout{30000};   ///< For each piece of a body, in both directions.
};

using HttpHandler = std::function<Awaitable<void>(HttpExchange &)>;

/// A listening HTTP server. All methods are safe from any thread.
class HttpServer {
public:
  /// Opens nothing yet. \p Handler is called once a request, concurrently.
  HttpServer(Executor Exec, Endpoint Address, HttpServerLimits Limits, HttpHandler Handler);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// Binds and accepts. Returns BadSettings if the address can't be bound.
  Result<Done> start();
  /// Asks callers, with each answer from now on, to use another connection.
  void beginDrain();
  /// Accepts nothing more and closes idle connections; requests in progress go on.
  void stopAccepting();
  /// How many requests are in progress.
  size_t inProgress() const;

private:
  class Impl;
  std::shared_ptr<Impl> Inner;
};

/// A request on a client connection, streamed. Used by one coroutine at a time.
class HttpCall {
public:
  virtual ~HttpCall() = default;
  /// Sends the head. \p Length as in `HttpExchange::writeHead`; 0 means no body.
  virtual Awaitable<Result<Done>> writeHead(const HttpRequest &Head,
                                            std::optional<uint64_t> Length) = 0;
  virtual Awaitable<Result<Done>> writeBody(std::span<const char> Piece) = 0;
  virtual Awaitable<Result<Done>> finishBody() = 0;
  /// Waits for the head of the answer; the body of the result is empty.
  virtual Awaitable<Result<HttpResponse>> readHead() = 0;
  /// Returns 0 at the declared end. A connection that closes before that is UpstreamCut.
  virtual Awaitable<Result<size_t>> readBody(std::span<char> Room) = 0;
  /// True once a byte of the request may have reached the other side.
  virtual bool anySent() const = 0;
};

/// What a client call may use.
struct CallOptions {
  Milliseconds Timeout{2000};   ///< For the whole call, or each step of a streamed one.
  bool FreshConnection = false; ///< Never on a connection that was idle; for calls that must
                                ///< not be sent twice.
  size_t MaxResponseBytes = 16 * 1024 * 1024;
  std::string Kind; ///< Under which a whole call is counted; empty: it is not.
};

/// How a client keeps connections.
struct HttpClientLimits {
  bool OneThread = false; ///< One thread runs the executor: connections need no strands.
  size_t MaxIdle = 1024;  ///< Idle connections kept in all; the one idle longest is closed.
};

/// A client with kept connections, a bounded number idle per endpoint. Safe from any thread.
class HttpClient {
public:
  /// \p Meter counts whole calls, outlives the client and may be null.
  explicit HttpClient(Executor Exec, HttpClientLimits Limits = {}, TrafficMeter *Meter = nullptr);
  ~HttpClient();
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  /// Sends \p Request and returns the whole answer. UpstreamUnavailable: surely not sent.
  /// UpstreamCut: sent at least in part, and the answer is lost.
  Awaitable<Result<HttpResponse>> send(Endpoint To, HttpRequest Request, CallOptions Options = {});

  /// Opens a streamed call. UpstreamUnavailable if the connection can't be made.
  Awaitable<Result<std::shared_ptr<HttpCall>>> open(Endpoint To, CallOptions Options = {});

private:
  class Impl;
  std::shared_ptr<Impl> Inner;
};

} // namespace valveshelf
