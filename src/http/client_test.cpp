// SPDX-License-Identifier: Apache-2.0
// Connection reuse, timeouts and eviction of idle connections, against servers on loopback.
#include "valveshelf/http.h"
#include "valveshelf/steady_timer.h"

#include <boost/asio.hpp>
#include <gtest/gtest.h>

#include <set>

namespace valveshelf {
namespace {
namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using namespace std::chrono_literals;

// Answers the requests on each connection in turn and counts the connections.
class CountingServer {
public:
  explicit CountingServer(asio::io_context &Io)
      : Acceptor(Io, {asio::ip::make_address("127.0.0.1"), 0}) {
    asio::co_spawn(Io, accept(), asio::detached);
  }
  Endpoint address() const { return {"127.0.0.1", Acceptor.local_endpoint().port()}; }
  int Accepted = 0;
  int Open = 0;

private:
  Awaitable<void> accept() {
    while (true) {
      tcp::socket Socket = co_await Acceptor.async_accept(asio::use_awaitable);
      ++Accepted;
      asio::co_spawn(Acceptor.get_executor(), serve(std::move(Socket)), asio::detached);
    }
  }
  Awaitable<void> serve(tcp::socket Socket) {
    ++Open;
    std::string Read;
    while (true) {
      auto [Failure, Size] = co_await asio::async_read_until(
          Socket, asio::dynamic_buffer(Read), "\r\n\r\n", asio::as_tuple(asio::use_awaitable));
      if (Failure)
        break;
      Read.erase(0, Size);
      static constexpr std::string_view Answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
      co_await asio::async_write(Socket, asio::buffer(Answer), asio::as_tuple(asio::use_awaitable));
    }
    --Open;
  }
  tcp::acceptor Acceptor;
};

// Answers like CountingServer. After stallOpenConnections the connections open at that time get no
// more responses; new ones do.
class StallingServer {
public:
  explicit StallingServer(asio::io_context &Io)
      : Acceptor(Io, {asio::ip::make_address("127.0.0.1"), 0}) {
    asio::co_spawn(Io, accept(), asio::detached);
  }
  Endpoint address() const { return {"127.0.0.1", Acceptor.local_endpoint().port()}; }
  void stallOpenConnections() { LastStalled = Accepted; }
  int Accepted = 0;

private:
  Awaitable<void> accept() {
    while (true) {
      tcp::socket Socket = co_await Acceptor.async_accept(asio::use_awaitable);
      asio::co_spawn(Acceptor.get_executor(), serve(std::move(Socket), ++Accepted), asio::detached);
    }
  }
  Awaitable<void> serve(tcp::socket Socket, int Number) {
    std::string Read;
    while (true) {
      auto [Failure, Size] = co_await asio::async_read_until(
          Socket, asio::dynamic_buffer(Read), "\r\n\r\n", asio::as_tuple(asio::use_awaitable));
      if (Failure)
        break;
      Read.erase(0, Size);
      if (Number <= LastStalled)
        continue;
      // In several writes, so that the client has to reassemble the response.
      for (const std::string_view Piece :
           {"HTTP/1.1 200 OK\r\nConte", "nt-Length: 4\r\n\r\nab", "cd"}) {
        co_await asio::async_write(Socket, asio::buffer(Piece),
                                   asio::as_tuple(asio::use_awaitable));
        SteadyTimer Pause(Socket.get_executor(), 2ms);
        co_await Pause.async_wait(asio::as_tuple(asio::use_awaitable));
      }
    }
  }
  tcp::acceptor Acceptor;
  int LastStalled = 0;
};

struct ClientFixture {
  asio::io_context Io;
  HttpClient Client;
  explicit ClientFixture(size_t MaxIdle) : Client(Io.get_executor(), {true, MaxIdle}) {}

  int send(const Endpoint &To, Milliseconds Timeout = 2000ms) {
    int Status = 0;
    bool Completed = false;
    CallOptions Options;
    Options.Timeout = Timeout;
    asio::co_spawn(Io, Client.send(To, {"GET", "/", {}, ""}, Options),
                   [&](std::exception_ptr, Result<HttpResponse> Answer) {
                     Status = ok(Answer) ? value(Answer).Status : 0;
                     Completed = true;
                   });
    const TimePoint Limit = Steady::now() + 5s;
    while (!Completed && Steady::now() < Limit)
      Io.run_one_for(10ms);
    return Status;
  }
  void runUntil(const std::function<bool()> &Condition) {
    const TimePoint Limit = Steady::now() + 5s;
    while (!Condition() && Steady::now() < Limit)
      Io.run_one_for(5ms);
  }
};

TEST(HttpClient, ReusesIdleConnection) {
  ClientFixture Fixture(8);
  CountingServer Server(Fixture.Io);
  EXPECT_EQ(Fixture.send(Server.address()), 200);
  EXPECT_EQ(Fixture.send(Server.address()), 200);
  EXPECT_EQ(Server.Accepted, 1);
}

TEST(HttpClient, ReassemblesResponseFromSeveralReads) {
  ClientFixture Fixture(8);
  StallingServer Server(Fixture.Io);
  EXPECT_EQ(Fixture.send(Server.address()), 200);
  EXPECT_EQ(Fixture.send(Server.address()), 200);
  EXPECT_EQ(Server.Accepted, 1);
}

TEST(HttpClient, TimesOutOnUnresponsiveConnection) {
  ClientFixture Fixture(8);
  StallingServer Server(Fixture.Io);
  EXPECT_EQ(Fixture.send(Server.address()), 200);
  Server.stallOpenConnections();
  const TimePoint Begun = Steady::now();
  EXPECT_EQ(Fixture.send(Server.address(), 100ms), 0);
  EXPECT_LT(Steady::now() - Begun, 1s);
  EXPECT_EQ(Fixture.send(Server.address(), 100ms), 200);
  EXPECT_EQ(Server.Accepted, 2);
}

// Guards against one timeout per idle connection after a network fault has broken all of them.
TEST(HttpClient, TimeoutClosesOtherIdleConnections) {
  ClientFixture Fixture(8);
  StallingServer Server(Fixture.Io);
  int Completed = 0;
  for (int I = 0; I < 3; ++I)
    asio::co_spawn(Fixture.Io, Fixture.Client.send(Server.address(), {"GET", "/", {}, ""}),
                   [&](std::exception_ptr, Result<HttpResponse>) { ++Completed; });
  Fixture.runUntil([&] { return Completed == 3; });
  ASSERT_EQ(Server.Accepted, 3);
  Server.stallOpenConnections();
  EXPECT_EQ(Fixture.send(Server.address(), 100ms), 0);
  EXPECT_EQ(Fixture.send(Server.address(), 100ms), 200);
  EXPECT_EQ(Server.Accepted, 4);
}

TEST(HttpClient, EvictsConnectionIdleLongest) {
  ClientFixture Fixture(2);
  CountingServer First(Fixture.Io);
  CountingServer Second(Fixture.Io);
  CountingServer Third(Fixture.Io);
  EXPECT_EQ(Fixture.send(First.address()), 200);
  EXPECT_EQ(Fixture.send(Second.address()), 200);
  EXPECT_EQ(Fixture.send(First.address()), 200); // Second is now idle longest.
  EXPECT_EQ(Fixture.send(Third.address()), 200);
  Fixture.runUntil([&] { return Second.Open == 0; });
  EXPECT_EQ(First.Open, 1);
  EXPECT_EQ(Second.Open, 0);
  EXPECT_EQ(Third.Open, 1);
  EXPECT_EQ(Fixture.send(Second.address()), 200);
  EXPECT_EQ(Second.Accepted, 2);
}

} // namespace
} // namespace valveshelf
