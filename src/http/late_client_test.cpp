// SPDX-License-Identifier: Apache-2.0
// Calls of a process whose event loop is late, because its processor is short: a large response
// takes few turns of the loop, and the lag is no reason for another connection.
#include "valveshelf/http.h"
#include "valveshelf/steady_timer.h"

#include <boost/asio.hpp>
#include <gtest/gtest.h>

#include <atomic>
#include <thread>

namespace valveshelf {
namespace {
namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using namespace std::chrono_literals;
constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);

// Answers each request after AnswerTime, on a thread of its own, which is never late.
class PromptServer {
public:
  PromptServer(size_t BodyBytes, Milliseconds AnswerTime)
      : Acceptor(Io, {asio::ip::make_address("127.0.0.1"), 0}), AnswerTime(AnswerTime),
        Answer("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(BodyBytes) + "\r\n\r\n" +
               std::string(BodyBytes, 'x')) {
    asio::co_spawn(Io, accept(), asio::detached);
    Thread = std::thread([this] { Io.run(); });
  }
  ~PromptServer() {
    Io.stop();
    Thread.join();
  }
  PromptServer(const PromptServer &) = delete;
  PromptServer &operator=(const PromptServer &) = delete;
  Endpoint address() const { return {"127.0.0.1", Acceptor.local_endpoint().port()}; }
  std::atomic<int> Accepted = 0;

private:
  Awaitable<void> accept() {
    while (true) {
      tcp::socket Socket = co_await Acceptor.async_accept(asio::use_awaitable);
      ++Accepted;
      asio::co_spawn(Io, serve(std::move(Socket)), asio::detached);
    }
  }
  Awaitable<void> serve(tcp::socket Socket) {
    std::string Read;
    while (true) {
      auto [Failure, Size] =
          co_await asio::async_read_until(Socket, asio::dynamic_buffer(Read), "\r\n\r\n", AsTuple);
      if (Failure)
        break;
      Read.erase(0, Size);
      SteadyTimer Work(Socket.get_executor(), AnswerTime);
      co_await Work.async_wait(AsTuple);
      co_await asio::async_write(Socket, asio::buffer(Answer), AsTuple);
    }
  }
  asio::io_context Io;
  tcp::acceptor Acceptor;
  const Milliseconds AnswerTime;
  const std::string Answer;
  std::thread Thread;
};

// A client on an event loop of which each turn takes TurnTime besides its calls.
struct LateClient {
  asio::io_context Io;
  HttpClient Client{Io.get_executor(), {true, 1024}};
  Milliseconds TurnTime{0};
  int Turns = 0;
  int Answered = 0;
  int Failed = 0;

  void begin(const Endpoint &To, const CallOptions &Options) {
    asio::co_spawn(Io, Client.send(To, {"GET", "/", {}, ""}, Options),
                   [this](std::exception_ptr, const Result<HttpResponse> &Answer) {
                     ++(ok(Answer) ? Answered : Failed);
                   });
  }
  void runUntil(const std::function<bool()> &Condition) {
    const TimePoint Limit = Steady::now() + 10s;
    asio::co_spawn(Io, busy(Condition, Limit), asio::detached);
    while (!Condition() && Steady::now() < Limit)
      Io.run_one_for(5ms);
  }

private:
  Awaitable<void> busy(std::function<bool()> Condition, TimePoint Limit) {
    while (!Condition() && Steady::now() < Limit) {
      std::this_thread::sleep_for(TurnTime);
      ++Turns;
      co_await asio::post(Io, asio::use_awaitable);
    }
  }
};

CallOptions optionsWith(Milliseconds Timeout) {
  CallOptions Options;
  Options.Timeout = Timeout;
  return Options;
}

// Guards against a read that takes one turn of a late event loop for each few kilobytes: the list
// of workers then takes seconds, and nothing is started meanwhile.
TEST(LateClient, ReadsALargeResponseInAFewTurns) {
  PromptServer Server(400'000, 0ms);
  LateClient Of;
  Of.TurnTime = 20ms;
  Of.begin(Server.address(), optionsWith(500ms));
  Of.runUntil([&] { return Of.Answered + Of.Failed == 1; });
  EXPECT_EQ(Of.Answered, 1);
  EXPECT_LE(Of.Turns, 25); // the timeout, in turns
}

// Guards against further connections that are opened because the process is late to see that one
// was released, which adds to its load.
TEST(LateClient, OpensNoFurtherConnectionsBecauseItIsLate) {
  PromptServer Server(0, 1ms);
  LateClient Of;
  Of.TurnTime = 30ms;
  CallOptions Options = optionsWith(1000ms);
  Options.Repeatable = true;
  Options.Limits = {6, 2, 1000ms};
  for (int Round = 1; Round <= 4; ++Round) {
    for (int I = 0; I < 6; ++I)
      Of.begin(Server.address(), Options);
    Of.runUntil([&] { return Of.Answered + Of.Failed == 6 * Round; });
  }
  EXPECT_EQ(Of.Answered, 24);
  EXPECT_LE(Server.Accepted, 3); // the usual ones, and one more that is tried once
}

} // namespace
} // namespace valveshelf
