// SPDX-License-Identifier: Apache-2.0
// Background coroutines. An exception that escapes one of them aborts the process.
#include "valveshelf/coroutines.h"
#include "valveshelf/steady_timer.h"

#include "valveshelf/events.h"

#include <boost/asio.hpp>

#include <cstdlib>

namespace valveshelf {

// A process whose loop ended by an exception would still look alive while doing only part of its
// work. Aborting lets its peers take over.
[[noreturn]] static void failFast(std::exception_ptr Fault) {
  try {
    std::rethrow_exception(Fault);
  } catch (const std::exception &E) {
    logEvent(events::InternalFault, {{"what", E.what()}});
  } catch (...) {
    logEvent(events::InternalFault, {{"what", "unknown"}});
  }
  std::abort();
}

void spawnLater(Executor Where, Awaitable<void> Task) {
  boost::asio::post(Where, [Where, Task = std::move(Task)]() mutable {
    boost::asio::co_spawn(Where, std::move(Task), [](std::exception_ptr Fault) {
      if (Fault)
        failFast(Fault);
    });
  });
}

Awaitable<void> sleepFor(Milliseconds Time) {
  SteadyTimer Timer(co_await boost::asio::this_coro::executor, Time);
  co_await Timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
}

} // namespace valveshelf
