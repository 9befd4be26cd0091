// SPDX-License-Identifier: Apache-2.0
// A client connection with its buffer and the state of its current call.
#pragma once

#include "valveshelf/clock.h"
#include "valveshelf/endpoint.h"
#include "valveshelf/http.h"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>

#include <functional>
#include <memory>
#include <utility>

namespace valveshelf {

struct Connection {
  // Large enough for one read to take a typical response.
  static constexpr size_t ReadBufferBytes = 4096;
  // Of each further read of a response that is larger.
  static constexpr size_t LargeReadBytes = 65536;

  /// \p Closed, if not empty, is called once the connection is closed.
  Connection(Executor Exec, Endpoint To, EndpointLimits Limits,
             std::function<void(const Connection &)> Closed)
      : Stream(std::move(Exec)), To(std::move(To)), Limits(Limits), Closed(std::move(Closed)) {
    Buffer.reserve(ReadBufferBytes);
  }
  ~Connection() {
    boost::system::error_code Ignored;
    Stream.socket().close(Ignored);
    if (Closed)
      Closed(*this);
  }
  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;

  boost::beast::tcp_stream Stream;
  boost::beast::flat_buffer Buffer;
  const Endpoint To;
  const EndpointLimits Limits;
  const std::function<void(const Connection &)> Closed;
  TimePoint IdleSince{};
  /// Number of the latest call, so that the deadline of an earlier one can't cancel it.
  uint64_t Call = 0;
  bool InCall = false;
  bool IsConfirmed = false; ///< Has answered a call.
  bool TimedOut = false;    ///< The current call was canceled at its deadline.

  // False if the server has closed the connection or sent data that belongs to no request.
  bool isOpenAndQuiet() {
    boost::system::error_code Failure;
    char Byte = 0;
    Stream.socket().receive(boost::asio::buffer(&Byte, 1), boost::asio::socket_base::message_peek,
                            Failure);
    return Failure == boost::asio::error::would_block && Buffer.size() == 0;
  }

  // Frees what a large response has taken, once it is parsed: a client may keep thousands of
  // connections.
  void shrinkBuffer() {
    if (Buffer.size() > 0 || Buffer.capacity() <= 2 * ReadBufferBytes)
      return;
    Buffer.shrink_to_fit();
    Buffer.reserve(ReadBufferBytes);
  }

  // Resets the connection and discards unsent data, so that the server doesn't receive it later.
  void abort() {
    boost::system::error_code Ignored;
    Stream.socket().set_option(boost::asio::socket_base::linger(true, 0), Ignored);
    Stream.socket().close(Ignored);
  }
};
using ConnectionPtr = std::shared_ptr<Connection>;

} // namespace valveshelf
