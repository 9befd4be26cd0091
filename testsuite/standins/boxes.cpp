// SPDX-License-Identifier: Apache-2.0
// Stand-in for the platform's lagging list of boxes. The list comes from a JSON file; a change
// by `POST /box` is seen after the lag.
#include "standin.h"

#include <fstream>
#include <iostream>
#include <iterator>

namespace standins {
namespace asio = boost::asio;
namespace {

class Boxes {
public:
  explicit Boxes(const Options &Given)
      : Lag(Given.number("lag-ms", 1000)),
        Record(Given.text("trace", ""), Given.text("name", "boxes")) {
    std::ifstream File(Given.text("file", "boxes.json"));
    const std::string Text(std::istreambuf_iterator<char>(File), {});
    json::error_code Failure;
    const json::value Root = json::parse(Text, Failure);
    if (Failure)
      std::cerr << "standins boxes: the file can't be read: " << Failure.message() << "\n";
    else
      Shown = Root.at("boxes").as_array();
  }

  Awaitable<HttpResponse> handle(Call Made) {
    if (Made.Path == "/v1/boxes")
      co_return shown(Made);
    if (Made.Path != "/box" || Made.Method != "POST")
      co_return answer(404, {{"error", "there is nothing here"}});
    const json::value Change = json::parse(Made.Body);
    Record.write({{"type", "box"}, {"change", Change}});
    const Executor Where = co_await asio::this_coro::executor;
    asio::co_spawn(Where, applyLater(Change.as_object()), asio::detached);
    co_return answer(200, {{"seen_after_ms", Lag}});
  }

private:
  HttpResponse shown(const Call &Made) const {
    const std::string Tag = "\"" + std::to_string(Version) + "\"";
    if (findHeader(Made.Headers, "If-None-Match") == Tag)
      return {304, {{"ETag", Tag}}, ""};
    HttpResponse Answer = answer(200, {{"boxes", Shown}});
    Answer.Headers.emplace_back("ETag", Tag);
    return Answer;
  }

  Awaitable<void> applyLater(json::object Change) {
    co_await sleepFor(Milliseconds(Lag));
    const json::string &Name = Change.at("name").as_string();
    const json::string State = Change.at("state").as_string();
    ++Version;
    for (auto It = Shown.begin(); It != Shown.end(); ++It) {
      if (It->at("name").as_string() != Name)
        continue;
      if (State == "gone")
        Shown.erase(It);
      else
        It->as_object()["state"] = State;
      Record.write({{"type", "shown"}, {"name", Name}, {"state", State}});
      co_return;
    }
    Shown.push_back(Change);
  }

  const int64_t Lag;
  Trace Record;
  json::array Shown;
  uint64_t Version = 1;
};
} // namespace

int runBoxes(const Options &Given) {
  asio::io_context Io(1);
  Faults Active;
  Boxes List(Given);
  return serve(Io, Given.text("listen", "127.0.0.1:7001"), Active,
               [&](Call Made) { return List.handle(std::move(Made)); });
}

} // namespace standins
