// SPDX-License-Identifier: Apache-2.0
// Timeouts, relaying, retry times and detection of an unresponsive store.
#include "valveshelf/store_router.h"

#include <boost/asio.hpp>
#include <gtest/gtest.h>

#include <deque>

namespace valveshelf {
namespace {
using namespace std::chrono_literals;

struct Bench {
  boost::asio::io_context Io;
  TimePoint Now = Steady::now();
  std::deque<Result<HttpResponse>> DirectAnswers; ///< Responses of the store; the last one repeats.
  Milliseconds Latency{4};                        ///< Of a response, on the test's clock.
  Result<HttpResponse> PeerAnswer = HttpResponse{200, {}, "peer"};
  std::vector<Milliseconds> Timeouts;
  int UnansweredCalls = 0; ///< This many calls get no answer, in real time.
  int DirectCalls = 0;
  int PeerCalls = 0;
  int TimesBack = 0; ///< How often the store served this process again.
  StoreRouter Router{
      Io.get_executor(),
      Clock{[this] { return Now; }, [] { return WallTime(); }},
      HttpRequest{"GET", "/probe", {}, ""},
      [this](HttpRequest, Milliseconds Timeout) -> Awaitable<Result<HttpResponse>> {
        ++DirectCalls;
        Timeouts.push_back(Timeout);
        if (UnansweredCalls > 0) {
          --UnansweredCalls;
          co_await sleepFor(Timeout);
          co_return Error{ErrorKind::UpstreamCut, "no answer"};
        }
        Result<HttpResponse> Answer = DirectAnswers.front();
        if (DirectAnswers.size() > 1)
          DirectAnswers.pop_front();
        Now += ok(Answer) ? Latency : Timeout;
        co_return Answer;
      },
      [this](Endpoint, HttpRequest, Milliseconds) -> Awaitable<Result<HttpResponse>> {
        ++PeerCalls;
        co_return PeerAnswer;
      },
      [] {
        return std::vector<Endpoint>{{"127.0.0.1", 9}};
      },
      [](Steady::duration) {},
      [this] { ++TimesBack; }};

  Result<HttpResponse> call() {
    Result<HttpResponse> Answer = Error{};
    bool Done = false;
    Io.restart();
    boost::asio::co_spawn(Io, Router.call({{"GET", "/x", {}, ""}, 0ms, false}),
                          [&](std::exception_ptr, Result<HttpResponse> Value) {
                            Answer = std::move(Value);
                            Done = true;
                          });
    while (!Done)
      Io.run_one();
    return Answer;
  }
};

const Result<HttpResponse> Good = HttpResponse{200, {}, "direct"};
const Result<HttpResponse> Busy = HttpResponse{503, {}, ""};
const Result<HttpResponse> Lost = Error{ErrorKind::UpstreamCut, "no answer"};

TEST(StoreRouter, TimeoutsFollowStoreLatency) {
  Bench Given;
  Given.DirectAnswers = {Good};
  for (int I = 0; I < 40; ++I)
    Given.call();
  EXPECT_EQ(Given.Timeouts.back(), 120ms); // the minimum
  Given.Latency = 110ms;
  for (int I = 0; I < 40; ++I)
    Given.call();
  EXPECT_GT(Given.Timeouts.back(), 500ms);
  EXPECT_LE(Given.Timeouts.back(), 1000ms);
}

TEST(StoreRouter, RelaysFromSecondRejectionOn) {
  Bench Given;
  Given.DirectAnswers = {Busy};
  EXPECT_EQ(value(Given.call()).Status, 503);
  const Result<HttpResponse> Second = Given.call();
  EXPECT_EQ(value(Second).Body, "peer");
  const int Before = Given.DirectCalls;
  EXPECT_EQ(value(Given.call()).Body, "peer");
  EXPECT_EQ(Given.DirectCalls, Before) << "a caller's request must not wait for the direct route";
}

TEST(StoreRouter, DoesNotRelayCallOfUnknownOutcome) {
  Bench Given;
  Given.DirectAnswers = {Lost};
  EXPECT_FALSE(ok(Given.call()));
  EXPECT_FALSE(ok(Given.call())); // it may have been executed: the caller decides
  EXPECT_EQ(Given.PeerCalls, 0);
  EXPECT_EQ(value(Given.call()).Body, "peer");
}

TEST(StoreRouter, IsUnresponsiveAfterFailuresWithoutAnswer) {
  Bench Given;
  Given.PeerAnswer = Error{ErrorKind::UpstreamUnavailable, "no"};
  Given.DirectAnswers = {Good, Lost};
  Given.call();
  EXPECT_FALSE(Given.Router.isUnresponsive());
  Given.call();
  Given.call();
  Given.Now += 500ms;
  EXPECT_TRUE(Given.Router.isUnresponsive());
}

TEST(StoreRouter, BacksOffWhenPeersAreRejectedToo) {
  Bench Given;
  Given.PeerAnswer = Error{ErrorKind::UpstreamUnavailable, "refused here as well"};
  Given.DirectAnswers = {Busy};
  Given.call();
  Given.call();
  EXPECT_EQ(Given.PeerCalls, 1);
  for (int I = 0; I < 20; ++I)
    EXPECT_FALSE(ok(Given.call()));
  EXPECT_EQ(Given.PeerCalls, 1);
  EXPECT_EQ(Given.DirectCalls, 2);
  Given.Now += 300ms;
  Given.PeerAnswer = Good;
  EXPECT_EQ(value(Given.call()).Body, "direct"); // relayed: the peer is served now
  EXPECT_EQ(Given.PeerCalls, 2);
}

TEST(StoreRouter, ProbeRestoresDirectCalls) {
  Bench Given;
  Given.DirectAnswers = {Busy, Busy, Good};
  Given.call();
  Given.call();
  Given.Io.restart();
  Given.Io.run_for(2s);
  EXPECT_EQ(value(Given.call()).Body, "direct");
}

TEST(StoreRouter, RetryAfterEqualsOutageSoFar) {
  Bench Given;
  Given.DirectAnswers = {Good};
  Given.call();
  Given.Now += 300ms;
  EXPECT_EQ(Given.Router.retryAfter(), 1s);
  Given.Now += 2700ms;
  EXPECT_EQ(Given.Router.retryAfter(), 3s);
  Given.Now += 60s;
  EXPECT_EQ(Given.Router.retryAfter(), 5s);
}

// Before any answer, the time counts from the start of the process; a longer one makes callers give
// up.
TEST(StoreRouter, RetryAfterIsShortAfterStart) {
  Bench Given;
  EXPECT_EQ(Given.Router.retryAfter(), 1s);
  Given.Now += 4s;
  EXPECT_EQ(Given.Router.retryAfter(), 4s) << "counted from the start of the process";
}

TEST(StoreRouter, UnansweredProbeDoesNotDelayNextProbe) {
  Bench Given;
  Given.DirectAnswers = {Busy, Busy, Good};
  Given.call();
  Given.call();
  Given.UnansweredCalls = 1; // the first probe, for 400 ms
  Given.Io.restart();
  Given.Io.run_for(300ms);
  EXPECT_TRUE(Given.Router.isDirectlyReachable());
}

// Guards against a weak machine that claims first after an outage, as the watches of stronger ones
// still wait for answers that were lost.
TEST(StoreRouter, TellsOnceThatTheStoreIsBack) {
  Bench Given;
  Given.DirectAnswers = {Good, Busy, Good, Busy, Busy, Good};
  Given.call();
  Given.call();
  Given.call();
  EXPECT_EQ(Given.TimesBack, 0) << "a single failure is no outage";
  Given.call();
  Given.call();
  Given.Io.restart();
  Given.Io.run_for(300ms);
  EXPECT_TRUE(Given.Router.isDirectlyReachable());
  EXPECT_EQ(Given.TimesBack, 1);
}

// A process of a large fleet calls the store rarely. An idle one must stay ready, relay calls and
// be able to schedule.
TEST(StoreRouter, IdleProcessStaysDirectlyReachable) {
  Bench Given;
  Given.DirectAnswers = {HttpResponse{200, {}, ""}};
  EXPECT_FALSE(Given.Router.isDirectlyReachable()) << "nothing is known yet";
  Given.call();
  Given.Now += 20s;
  EXPECT_TRUE(Given.Router.isDirectlyReachable());
  EXPECT_EQ(Given.Router.failingFor(), 0ms);
  Given.DirectAnswers = {Error{ErrorKind::UpstreamCut, "no answer"}};
  Given.call();
  EXPECT_FALSE(Given.Router.isDirectlyReachable());
  Given.Now += 4s;
  EXPECT_GE(Given.Router.failingFor(), 4s);
  Given.DirectAnswers = {HttpResponse{200, {}, ""}};
  Given.call();
  EXPECT_TRUE(Given.Router.isDirectlyReachable());
  EXPECT_EQ(Given.Router.failingFor(), 0ms);
}

} // namespace
} // namespace valveshelf
