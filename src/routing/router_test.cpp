// SPDX-License-Identifier: Apache-2.0
// Tests when a request waits for a slot and when it is refused at once. A refusal held until the
// deadline keeps the caller from trying another process.
#include "valveshelf/router.h"

#include <boost/asio.hpp>
#include <gtest/gtest.h>

namespace valveshelf {
namespace {
namespace asio = boost::asio;
using namespace std::chrono_literals;

// A request without a body; stores the response.
class FakeExchange final : public HttpExchange {
public:
  const std::string &method() const override { return Method; }
  const std::string &target() const override { return Target; }
  const HeaderList &headers() const override { return Headers; }
  bool hasBody() const override { return false; }
  Awaitable<Result<size_t>> readBody(std::span<char>) override { co_return size_t{0}; }
  Awaitable<bool> writeHead(int Status, const HeaderList &, std::optional<uint64_t>) override {
    Answer.Status = Status;
    co_return true;
  }
  Awaitable<bool> writeBody(std::span<const char>) override { co_return true; }
  Awaitable<bool> writeWhole(HttpResponse Response) override {
    Answer = std::move(Response);
    co_return true;
  }
  Awaitable<bool> finish() override { co_return true; }

  HttpResponse Answer;

private:
  const std::string Method = "GET";
  const std::string Target = "/svc/registry/check";
  const HeaderList Headers{};
};

// Process e1 with one upstream, u1, at an address where nothing listens.
class RouterTest : public ::testing::Test {
protected:
  RouterTest()
      : Client(Io.get_executor()), Directory(1),
        Requests({Io.get_executor(), Clock{[this] { return Steady::now() - ClockLag; }, wallNow},
                  Client, Directory, [this] { return Config; }, [this] { return View; },
                  [] { return true; }, "e1"}) {
    auto NewConfig = std::make_shared<CellConfig>();
    NewConfig->Version = 1;
    ServiceConfig Service;
    Service.Name = "registry";
    Service.Slots = 8;
    RouteConfig Route;
    Route.Prefix = "/registry";
    Route.Service = "registry";
    Route.Deadline = 2s;
    NewConfig->Partners["olano"].Services = {Service};
    NewConfig->Partners["olano"].Routes = {Route};
    Config = NewConfig;
    setMembers({"e1"});
    BoxInfo Upstream;
    Upstream.Name = "u1";
    Upstream.Kind = BoxKind::Upstream;
    Upstream.Service = "registry";
    Upstream.Address = {"127.0.0.1", 1};
    Directory.setBoxes({Upstream});
  }

  // Lets the process have joined the cell \p Ago before now.
  void join(Milliseconds Ago) {
    ClockLag = Ago;
    Requests.onJoined();
    Requests.refresh();
    ClockLag = 0ms;
  }

  void setMembers(const std::vector<std::string> &Names) {
    auto Members = std::make_shared<CellView>();
    for (const std::string &Name : Names)
      Members->Members[Name + ".1"].Name = Name;
    View = Members;
  }

  // Serves one request and returns the time until its response.
  Milliseconds serve(FakeExchange &Exchange) {
    const TimePoint StartedAt = Steady::now();
    bool Finished = false;
    asio::co_spawn(Io, Requests.serve(Exchange), [&](std::exception_ptr) { Finished = true; });
    Io.restart();
    while (!Finished) {
      Requests.refresh();
      Io.run_one_for(20ms);
    }
    return std::chrono::duration_cast<Milliseconds>(Steady::now() - StartedAt);
  }

  static std::string retryAfter(const FakeExchange &Exchange) {
    return std::string(findHeader(Exchange.Answer.Headers, "Retry-After"));
  }

  asio::io_context Io;
  Milliseconds ClockLag{0}; ///< Subtracted from the process's clock.
  HttpClient Client;
  ShardDirectory Directory;
  std::shared_ptr<const CellConfig> Config;
  CellViewPtr View;
  Router Requests;
};

// A restarted process may use its slots only after the quarantine of 3 s, past the deadline of 2 s.
TEST_F(RouterTest, RefusesAtOnceIfNoSlotIsUsableBeforeTheDeadline) {
  join(200ms);
  FakeExchange Exchange;
  EXPECT_LT(serve(Exchange), 500ms);
  EXPECT_EQ(Exchange.Answer.Status, 503);
  EXPECT_EQ(findHeader(Exchange.Answer.Headers, "Valveshelf-Outcome"), "not-run");
  EXPECT_EQ(retryAfter(Exchange), "3") << "seconds until the slots are usable";
}

// Another process can serve the caller at once.
TEST_F(RouterTest, SuggestsEarlyRetryIfOtherProcessesHaveSlots) {
  setMembers({"e1", "e2"});
  join(200ms);
  FakeExchange Exchange;
  EXPECT_LT(serve(Exchange), 500ms);
  EXPECT_EQ(retryAfter(Exchange), "1");
}

// The process has left the cell, and its slots have moved to another one.
TEST_F(RouterTest, RefusesAtOnceIfItOwnsNoSlot) {
  join(20s);
  ClockLag = 10s;
  setMembers({"e2"});
  Requests.refresh();
  ClockLag = 0ms;
  FakeExchange Exchange;
  EXPECT_LT(serve(Exchange), 500ms);
  EXPECT_EQ(Exchange.Answer.Status, 503);
}

// The box list has not been read yet.
TEST_F(RouterTest, RefusesAtOnceIfNoInstanceIsKnown) {
  Directory.setBoxes({});
  join(10s);
  FakeExchange Exchange;
  EXPECT_LT(serve(Exchange), 500ms);
  EXPECT_EQ(Exchange.Answer.Status, 503);
}

// A slot just before the deadline is of no use: the request would be sent and time out, and its
// caller would not know whether it ran.
TEST_F(RouterTest, RefusesAtOnceIfASlotIsUsableTooCloseToTheDeadline) {
  join(1050ms);
  FakeExchange Exchange;
  EXPECT_LT(serve(Exchange), 500ms);
  EXPECT_EQ(findHeader(Exchange.Answer.Headers, "Valveshelf-Outcome"), "not-run");
}

TEST_F(RouterTest, WaitsForASlotUsableBeforeTheDeadline) {
  join(1500ms);
  FakeExchange Exchange;
  const Milliseconds Waited = serve(Exchange);
  EXPECT_GE(Waited, 1300ms);
  EXPECT_LT(Waited, 2000ms);
  EXPECT_NE(Exchange.Answer.Body.find("upstream-unavailable"), std::string::npos)
      << "the request should have been sent to the upstream: " << Exchange.Answer.Body;
}

} // namespace
} // namespace valveshelf
