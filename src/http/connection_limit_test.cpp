// SPDX-License-Identifier: Apache-2.0
// Calls to a server that accepts a limited number of connections and resets further ones, as a
// worker does: no call is lost while one connection is open, and no connection is left behind.
#include "valveshelf/http.h"
#include "valveshelf/steady_timer.h"

#include <boost/asio.hpp>
#include <gtest/gtest.h>

#include <algorithm>

namespace valveshelf {
namespace {
namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using namespace std::chrono_literals;
constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);

// Accepts at most Cap connections at a time and resets further ones. Answers "/poll" after PollTime
// and everything else after OrderTime.
class CappedServer {
public:
  CappedServer(asio::io_context &Io, int Cap)
      : Acceptor(Io, {asio::ip::make_address("127.0.0.1"), 0}), Cap(Cap) {
    asio::co_spawn(Io, accept(), asio::detached);
  }
  Endpoint address() const { return {"127.0.0.1", Acceptor.local_endpoint().port()}; }
  int Accepted = 0;
  int Refused = 0;
  int Open = 0;
  int MostOpen = 0;
  Milliseconds PollTime{300};
  Milliseconds OrderTime{1};

private:
  Awaitable<void> accept() {
    while (true) {
      tcp::socket Socket = co_await Acceptor.async_accept(asio::use_awaitable);
      if (Open >= Cap) {
        ++Refused;
        Socket.set_option(asio::socket_base::linger(true, 0));
        Socket.close();
        continue;
      }
      ++Accepted;
      MostOpen = std::max(MostOpen, ++Open);
      asio::co_spawn(Acceptor.get_executor(), serve(std::move(Socket)), asio::detached);
    }
  }
  Awaitable<void> serve(tcp::socket Socket) {
    std::string Read;
    while (true) {
      auto [Failure, Size] =
          co_await asio::async_read_until(Socket, asio::dynamic_buffer(Read), "\r\n\r\n", AsTuple);
      if (Failure)
        break;
      const bool IsPoll = Read.compare(0, 9, "GET /poll") == 0;
      Read.erase(0, Size);
      SteadyTimer Work(Socket.get_executor(), IsPoll ? PollTime : OrderTime);
      co_await Work.async_wait(AsTuple);
      static constexpr std::string_view Answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
      co_await asio::async_write(Socket, asio::buffer(Answer), AsTuple);
    }
    --Open;
  }
  tcp::acceptor Acceptor;
  const int Cap;
};

struct LimitedClient {
  asio::io_context Io;
  HttpClient Client{Io.get_executor(), {true, 1024}};
  int Answered = 0;
  int Failed = 0;
  std::vector<ErrorKind> Errors;

  static CallOptions options(bool IsPoll) {
    CallOptions Options;
    Options.Timeout = IsPoll ? 2000ms : 500ms;
    Options.Repeatable = true;
    Options.IsLongPoll = IsPoll;
    Options.Limits = {6, 2, 200ms};
    return Options;
  }
  void begin(const Endpoint &To, bool IsPoll) {
    asio::co_spawn(Io,
                   Client.send(To, {"GET", IsPoll ? "/poll" : "/order", {}, ""}, options(IsPoll)),
                   [this](std::exception_ptr, Result<HttpResponse> Answer) {
                     ++(ok(Answer) ? Answered : Failed);
                     if (!ok(Answer))
                       Errors.push_back(error(Answer).Kind);
                   });
  }
  void runUntil(const std::function<bool()> &Condition) {
    const TimePoint Limit = Steady::now() + 5s;
    while (!Condition() && Steady::now() < Limit)
      Io.run_one_for(5ms);
  }
  void finish(int Calls) {
    runUntil([&] { return Answered + Failed == Calls; });
    EXPECT_EQ(Answered, Calls);
    EXPECT_EQ(Failed, 0);
  }
};

// Guards against a burst of orders that opens as many connections as it has orders.
TEST(ConnectionLimit, ABurstOfCallsSharesAFewConnections) {
  LimitedClient Of;
  CappedServer Server(Of.Io, 64);
  for (int I = 0; I < 40; ++I)
    Of.begin(Server.address(), false);
  Of.finish(40);
  EXPECT_LE(Server.Accepted, 6);
}

// Guards against a connection that is closed with each end of a long poll and opened again for the
// next order.
TEST(ConnectionLimit, OrdersBesideLongPollsKeepTheirConnection) {
  LimitedClient Of;
  CappedServer Server(Of.Io, 64);
  Server.PollTime = 40ms;
  int Calls = 0;
  constexpr int Rounds = 60;
  for (int Round = 0; Round < Rounds; ++Round) {
    Of.begin(Server.address(), true);
    const int Before = Of.Answered;
    Of.begin(Server.address(), false);
    Of.runUntil([&] { return Of.Answered > Before; });
    Of.begin(Server.address(), false);
    Of.finish(Calls += 3);
    Of.Io.run_for(5ms);
  }
  EXPECT_LE(Server.Accepted, 2 * Rounds * 0.05) << "two orders in each round";
}

TEST(ConnectionLimit, UnansweredCallsDoNotBlockTheOthers) {
  LimitedClient Of;
  CappedServer Server(Of.Io, 64);
  Of.begin(Server.address(), true);
  Of.begin(Server.address(), true);
  Of.begin(Server.address(), false);
  const TimePoint Begun = Steady::now();
  Of.runUntil([&] { return Of.Answered == 1; });
  EXPECT_LT(Steady::now() - Begun, 250ms) << "the order did not wait for a long poll";
}

// Guards against connections that a server would keep for good if this process lost power.
TEST(ConnectionLimit, IdleConnectionsAreClosed) {
  LimitedClient Of;
  CappedServer Server(Of.Io, 64);
  for (int I = 0; I < 8; ++I)
    Of.begin(Server.address(), false);
  Of.finish(8);
  const TimePoint Begun = Steady::now();
  Of.runUntil([&] { return Server.Open == 0; });
  EXPECT_EQ(Server.Open, 0);
  EXPECT_LT(Steady::now() - Begun, 1s);
}

// Guards against accepted work that waits for a stop or a start on a new connection, which the
// worker resets, although it answers on an open one.
TEST(ConnectionLimit, ACallWhoseConnectionIsResetGoesOverTheOpenOne) {
  LimitedClient Of;
  CappedServer Server(Of.Io, 1);
  Of.begin(Server.address(), true);
  Of.runUntil([&] { return Server.Open == 1; });
  Of.begin(Server.address(), false);
  Of.begin(Server.address(), false);
  Of.finish(3);
  EXPECT_EQ(Server.Accepted, 1);
  EXPECT_TRUE(Of.Client.mayHaveToShare(Server.address()));
}

// Guards against thousands of connections that are opened only to be reset.
TEST(ConnectionLimit, ResetsAreNotProvokedAgainAtOnce) {
  LimitedClient Of;
  CappedServer Server(Of.Io, 1);
  Server.PollTime = 50ms;
  for (int I = 0; I < 20; ++I) {
    Of.begin(Server.address(), true);
    Of.begin(Server.address(), false);
    Of.finish(2 * (I + 1));
  }
  EXPECT_LE(Server.Refused, 2);
}

// Guards against orders that never get the connection since the next long poll takes it again.
TEST(ConnectionLimit, WaitingCallsGoBeforeTheNextLongPoll) {
  LimitedClient Of;
  CappedServer Server(Of.Io, 1);
  Server.PollTime = 100ms;
  bool Stop = false;
  asio::co_spawn(
      Of.Io,
      [&]() -> Awaitable<void> {
        while (!Stop) {
          const HttpRequest Poll{"GET", "/poll", {}, ""};
          Result<HttpResponse> Answer =
              co_await Of.Client.send(Server.address(), Poll, LimitedClient::options(true));
          EXPECT_TRUE(ok(Answer));
        }
      },
      asio::detached);
  Of.runUntil([&] { return Server.Open == 1; });
  for (int I = 0; I < 30; ++I)
    Of.begin(Server.address(), false);
  Of.finish(30);
  Stop = true;
  Of.runUntil([&] { return Server.Open == 0; });
}

// With its only connection idle, a lost box would leave none for its successor.
TEST(ConnectionLimit, NoConnectionIsLeftIdleOnceSomeWereRefused) {
  LimitedClient Of;
  CappedServer Server(Of.Io, 1);
  Of.begin(Server.address(), true);
  Of.runUntil([&] { return Server.Open == 1; });
  Of.begin(Server.address(), false);
  Of.finish(2);
  const TimePoint Begun = Steady::now();
  Of.runUntil([&] { return Server.Open == 0; });
  EXPECT_LT(Steady::now() - Begun, 100ms);
}

// A long poll must not take the only connection before it is known that another one can be opened,
// and goes over the one that it has left free if that is not so.
TEST(ConnectionLimit, TheFirstLongPollLeavesAConnectionFree) {
  LimitedClient Of;
  CappedServer Server(Of.Io, 1);
  bool Completed = false;
  asio::co_spawn(
      Of.Io,
      [&]() -> Awaitable<void> {
        for (const bool IsPoll : {false, true}) {
          const HttpRequest Request{"GET", IsPoll ? "/poll" : "/order", {}, ""};
          Result<HttpResponse> Answer =
              co_await Of.Client.send(Server.address(), Request, LimitedClient::options(IsPoll));
          EXPECT_TRUE(ok(Answer));
        }
        Completed = true;
      },
      asio::detached);
  Of.runUntil([&] { return Completed; });
  EXPECT_TRUE(Completed);
  EXPECT_EQ(Server.Refused, 1);
  EXPECT_EQ(Server.Accepted, 1);
}

// Nothing was sent, so that the caller may place the work elsewhere.
TEST(ConnectionLimit, ACallThatGetsNoConnectionWasNotSent) {
  LimitedClient Of;
  CappedServer Server(Of.Io, 64);
  Server.PollTime = 1500ms;
  for (int I = 0; I < 6; ++I)
    Of.begin(Server.address(), true);
  Of.runUntil([&] { return Server.Open == 6; });
  Of.begin(Server.address(), false);
  Of.runUntil([&] { return Of.Failed == 1; });
  EXPECT_EQ(Of.Errors, std::vector{ErrorKind::UpstreamUnavailable});
  EXPECT_EQ(Server.MostOpen, 6);
}

} // namespace
} // namespace valveshelf
