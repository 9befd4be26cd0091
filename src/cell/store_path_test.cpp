// SPDX-License-Identifier: Apache-2.0
// The way of a call to the store: paced time outs, silence, peers.
#include "valveshelf/store_path.h"

#include <boost/asio.hpp>
#include <gtest/gtest.h>

#include <deque>

namespace valveshelf {
namespace {
using namespace std::chrono_literals;

struct Bench {
  boost::asio::io_context Io;
  TimePoint Now = Steady::now();
  std::deque<Result<HttpResponse>> Direct; ///< Answers of the store; the last one stays.
  Milliseconds Takes{4};                   ///< What an answer takes, on the test's clock.
  Result<HttpResponse> Peer = HttpResponse{200, {}, "peer"};
  std::vector<Milliseconds> Timeouts;
  int Hanging = 0; ///< So many calls get no answer, in real time.
  int DirectCalls = 0;
  int PeerCalls = 0;
  StorePath Path{Io.get_executor(),
                 Clock{[this] { return Now; }, [] { return WallTime(); }},
                 HttpRequest{"GET", "/probe", {}, ""},
                 [this](HttpRequest, Milliseconds Timeout) -> Awaitable<Result<HttpResponse>> {
                   ++DirectCalls;
                   Timeouts.push_back(Timeout);
                   if (Hanging > 0) {
                     --Hanging;
                     co_await sleepFor(Timeout);
                     co_return Error{ErrorKind::UpstreamCut, "no answer"};
                   }
                   Result<HttpResponse> Answer = Direct.front();
                   if (Direct.size() > 1)
                     Direct.pop_front();
                   Now += ok(Answer) ? Takes : Timeout;
                   co_return Answer;
                 },
                 [this](Endpoint, HttpRequest, Milliseconds) -> Awaitable<Result<HttpResponse>> {
                   ++PeerCalls;
                   co_return Peer;
                 },
                 [] {
                   return std::vector<Endpoint>{{"127.0.0.1", 9}};
                 },
                 [](Steady::duration) {}};

  Result<HttpResponse> call() {
    Result<HttpResponse> Answer = Error{};
    bool Done = false;
    Io.restart();
    boost::asio::co_spawn(Io, Path.call({{"GET", "/x", {}, ""}, 0ms, false}),
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

TEST(StorePath, TimeOutsFollowThePaceOfTheStore) {
  Bench Given;
  Given.Direct = {Good};
  for (int I = 0; I < 40; ++I)
    Given.call();
  EXPECT_EQ(Given.Timeouts.back(), 120ms); // the least
  Given.Takes = 110ms;
  for (int I = 0; I < 40; ++I)
    Given.call();
  EXPECT_GT(Given.Timeouts.back(), 500ms);
  EXPECT_LE(Given.Timeouts.back(), 1000ms);
}

TEST(StorePath, ARefusalGoesThroughAPeerFromTheSecondOn) {
  Bench Given;
  Given.Direct = {Busy};
  EXPECT_EQ(value(Given.call()).Status, 503);
  const Result<HttpResponse> Second = Given.call();
  EXPECT_EQ(value(Second).Body, "peer");
  const int Before = Given.DirectCalls;
  EXPECT_EQ(value(Given.call()).Body, "peer");
  EXPECT_EQ(Given.DirectCalls, Before) << "a caller's work must not hang on the straight way";
}

TEST(StorePath, AnUnansweredCallIsNotSentAgainThroughAPeer) {
  Bench Given;
  Given.Direct = {Lost};
  EXPECT_FALSE(ok(Given.call()));
  EXPECT_FALSE(ok(Given.call())); // it may have been carried out: the caller decides
  EXPECT_EQ(Given.PeerCalls, 0);
  EXPECT_EQ(value(Given.call()).Body, "peer");
}

TEST(StorePath, IsSilentAfterFailuresWithoutAnyAnswer) {
  Bench Given;
  Given.Peer = Error{ErrorKind::UpstreamUnavailable, "no"};
  Given.Direct = {Good, Lost};
  Given.call();
  EXPECT_FALSE(Given.Path.isSilent());
  Given.call();
  Given.call();
  Given.Now += 500ms;
  EXPECT_TRUE(Given.Path.isSilent());
}

TEST(StorePath, WhatTheStoreRefusesEverywhereIsNotMultiplied) {
  Bench Given;
  Given.Peer = Error{ErrorKind::UpstreamUnavailable, "refused here as well"};
  Given.Direct = {Busy};
  Given.call();
  Given.call();
  EXPECT_EQ(Given.PeerCalls, 1);
  for (int I = 0; I < 20; ++I)
    EXPECT_FALSE(ok(Given.call()));
  EXPECT_EQ(Given.PeerCalls, 1);
  EXPECT_EQ(Given.DirectCalls, 2);
  Given.Now += 300ms;
  Given.Peer = Good;
  EXPECT_EQ(value(Given.call()).Body, "direct"); // this peer's answer: it is served now
  EXPECT_EQ(Given.PeerCalls, 2);
}

TEST(StorePath, AProbeFindsTheStraightWayAgain) {
  Bench Given;
  Given.Direct = {Busy, Busy, Good};
  Given.call();
  Given.call();
  Given.Io.restart();
  Given.Io.run_for(2s);
  EXPECT_EQ(value(Given.call()).Body, "direct");
}

TEST(StorePath, CallersComeAgainAfterAsLongAsTheStoreHasBeenAway) {
  Bench Given;
  Given.Direct = {Good};
  Given.call();
  Given.Now += 300ms;
  EXPECT_EQ(Given.Path.retryAfter(), 1s);
  Given.Now += 2700ms;
  EXPECT_EQ(Given.Path.retryAfter(), 3s);
  Given.Now += 60s;
  EXPECT_EQ(Given.Path.retryAfter(), 5s);
}

// All processes were started anew after a loss of power. In the 50 ms until each had read its
// configuration it refused 112 callers and told them to come again in five seconds; they have
// three. The time was reckoned from an answer of the store that never came.
TEST(StorePath, AProcessThatHasJustStartedTellsCallersToComeAgainSoon) {
  Bench Given;
  EXPECT_EQ(Given.Path.retryAfter(), 1s);
  Given.Now += 4s;
  EXPECT_EQ(Given.Path.retryAfter(), 4s) << "the store has been away since the start";
}

TEST(StorePath, AProbeWithoutAnAnswerHoldsUpNoOther) {
  Bench Given;
  Given.Direct = {Busy, Busy, Good};
  Given.call();
  Given.call();
  Given.Hanging = 1; // the first probe, for 400 ms
  Given.Io.restart();
  Given.Io.run_for(300ms);
  EXPECT_TRUE(Given.Path.isStraight());
}

// A process of a large fleet calls the store each few seconds. That it has not called says nothing
// of the store: it stays ready, passes calls on for others and may schedule.
TEST(StorePath, AProcessThatHasNothingToCallForIsServed) {
  Bench Given;
  Given.Direct = {HttpResponse{200, {}, ""}};
  EXPECT_FALSE(Given.Path.isStraight()) << "nothing is known yet";
  Given.call();
  Given.Now += 20s;
  EXPECT_TRUE(Given.Path.isStraight());
  EXPECT_EQ(Given.Path.failingFor(), 0ms);
  Given.Direct = {Error{ErrorKind::UpstreamCut, "no answer"}};
  Given.call();
  EXPECT_FALSE(Given.Path.isStraight());
  Given.Now += 4s;
  EXPECT_GE(Given.Path.failingFor(), 4s);
  Given.Direct = {HttpResponse{200, {}, ""}};
  Given.call();
  EXPECT_TRUE(Given.Path.isStraight());
  EXPECT_EQ(Given.Path.failingFor(), 0ms);
}

} // namespace
} // namespace valveshelf
