// SPDX-License-Identifier: Apache-2.0
// Stand-in for an upstream instance: works for `?work_ms=` and answers with the request's id and
// `?bytes=` of filler. It has 8 slots and says in its record when more are in use.
#include "standin.h"

namespace standins {
namespace asio = boost::asio;
namespace {

class Upstream {
public:
  Upstream(const Options &Given, Faults &Active)
      : Name(Given.text("name", "upstream")), Slots(Given.number("slots", 8)), Active(Active),
        Record(Given.text("trace", ""), Name) {
    Record.write({{"type", "up"}, {"slots", Slots}});
  }

  Awaitable<HttpResponse> handle(Call Made) {
    const std::string Id(findHeader(Made.Headers, "X-Request-Id"));
    if (Active.Refuse) {
      HttpResponse Refused = answer(503, {{"refused", true}});
      Refused.Headers.emplace_back("Valveshelf-Outcome", "not-run");
      co_return Refused;
    }
    ++InUse;
    Record.write({{"type", "begin"},
                  {"id", Id},
                  {"in_use", InUse},
                  {"slots", Slots},
                  {"body", Made.Body.size()}});
    const auto Number = [&](const char *Key) {
      return std::atoll(queryParameter(Made.Target, Key).value_or("0").c_str());
    };
    co_await sleepFor(Milliseconds(Number("work_ms")));
    --InUse;
    Record.write({{"type", "done"}, {"id", Id}});
    const std::string Filler(static_cast<size_t>(Number("bytes")), 'x');
    co_return answer(200, {{"id", Id},
                           {"instance", Name},
                           {"path", Made.Path},
                           {"received", Made.Body.size()},
                           {"filler", Filler}});
  }

private:
  const std::string Name;
  const int64_t Slots;
  Faults &Active;
  Trace Record;
  int64_t InUse = 0;
};
} // namespace

int runUpstream(const Options &Given) {
  asio::io_context Io(1);
  Faults Active;
  Upstream Instance(Given, Active);
  return serve(Io, Given.text("listen", "127.0.0.1:7200"), Active,
               [&](Call Made) { return Instance.handle(std::move(Made)); });
}

} // namespace standins
