// SPDX-License-Identifier: Apache-2.0
// Cost of HTTP client calls to the calling thread. The server runs on a thread of its own.
#include "valveshelf/http.h"

#include <benchmark/benchmark.h>
#include <boost/asio.hpp>

#include <thread>

namespace valveshelf {
namespace {
namespace asio = boost::asio;

constexpr size_t ConcurrentCalls = 16;

Awaitable<void> answerOrder(HttpExchange &Exchange) {
  std::array<char, 1024> Room;
  while (true) {
    Result<size_t> Read = co_await Exchange.readBody(Room);
    if (!ok(Read) || value(Read) == 0)
      break;
  }
  co_await Exchange.writeWhole(jsonResponse(200, R"({"clock_ms":482113})"));
}

// Sends as many concurrent calls as a placement pass typically starts tasks.
void orderStarts(benchmark::State &State) {
  asio::io_context ServerIo(1);
  const auto Guard = asio::make_work_guard(ServerIo);
  const Endpoint Address{"127.0.0.1", 48731};
  HttpServer Server(ServerIo.get_executor(), Address, {}, answerOrder);
  if (!ok(Server.start()))
    return State.SkipWithError("cannot listen on the port of the benchmark");
  std::thread Serving([&] { ServerIo.run(); });
  asio::io_context Io(1);
  HttpClient Client(Io.get_executor(), {true, 1024});
  const HttpRequest Order{"POST",
                          "/orders",
                          {{"Content-Type", "application/json"}, {"Expect-Life", "i-0001"}},
                          std::string(250, 'x')};
  const CallOptions Options; // named: see CONTRIBUTING.md
  for (auto _ : State) {
    for (size_t I = 0; I < ConcurrentCalls; ++I)
      asio::co_spawn(
          Io,
          [&]() -> Awaitable<void> {
            Result<HttpResponse> Answer = co_await Client.send(Address, Order, Options);
            if (!ok(Answer))
              State.SkipWithError("HTTP call failed");
          },
          asio::detached);
    Io.restart();
    Io.run();
  }
  State.SetItemsProcessed(static_cast<int64_t>(State.iterations() * ConcurrentCalls));
  ServerIo.stop();
  Serving.join();
}
BENCHMARK(orderStarts)->Unit(benchmark::kMicrosecond)->UseRealTime();

} // namespace
} // namespace valveshelf
