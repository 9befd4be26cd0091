// SPDX-License-Identifier: Apache-2.0
// Faults, records and options of the stand-ins.
#include "standin.h"

#include <fcntl.h>
#include <unistd.h>

#include <iostream>
#include <memory>
#include <sstream>

namespace standins {
namespace asio = boost::asio;

Trace::Trace(const std::string &Path, std::string Who) : Who(std::move(Who)) {
  if (!Path.empty())
    File = ::open(Path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
}

Trace::~Trace() {
  if (File >= 0)
    ::close(File);
}

int64_t nowMs() { return wallNow().time_since_epoch().count(); }

void Trace::write(json::object Record) { write(std::move(Record), nowMs()); }

void Trace::write(json::object Record, int64_t AtMs) {
  if (File < 0)
    return;
  Record["ts"] = AtMs;
  Record["who"] = Who;
  const std::string Line = json::serialize(Record) + "\n";
  // One write a line, so that lines of several processes in one file never mix.
  if (::write(File, Line.data(), Line.size()) < 0)
    std::cerr << "standins: the record can't be written\n";
}

Options::Options(const std::vector<std::string> &Args) {
  for (size_t I = 0; I + 1 < Args.size(); I += 2)
    Values[Args[I].substr(Args[I].find_first_not_of('-'))] = Args[I + 1];
}

std::string Options::text(const std::string &Name, const std::string &Default) const {
  const auto Found = Values.find(Name);
  return Found == Values.end() ? Default : Found->second;
}

int64_t Options::number(const std::string &Name, int64_t Default) const {
  const auto Found = Values.find(Name);
  return Found == Values.end() ? Default : std::stoll(Found->second);
}

HttpResponse answer(int Status, const json::value &Body) {
  return jsonResponse(Status, json::serialize(Body) + "\n");
}

namespace {

HttpResponse setFaults(Faults &Active, const std::string &Body) {
  json::error_code Failure;
  const json::value Root = json::parse(Body, Failure);
  if (Failure || !Root.is_object())
    return answer(400, {{"error", "the faults are not a JSON object"}});
  for (const auto &[Key, Value] : Root.as_object()) {
    const bool On = Value.is_bool() && Value.as_bool();
    const int64_t Number = Value.is_int64() ? Value.as_int64() : 0;
    if (Key == "delay_ms")
      Active.DelayMs = Number;
    else if (Key == "outage")
      Active.Outage = On;
    else if (Key == "lose_answers")
      Active.LoseAnswers = Number;
    else if (Key == "freeze")
      Active.Freeze = On;
    else if (Key == "fail_starts")
      Active.FailStarts = On;
    else if (Key == "truncate")
      Active.Truncate = Number;
    else if (Key == "refuse")
      Active.Refuse = On;
    else
      return answer(400, {{"error", "there is no fault " + std::string(Key)}});
  }
  return answer(200, {{"delay_ms", Active.DelayMs},
                      {"outage", Active.Outage},
                      {"lose_answers", Active.LoseAnswers},
                      {"freeze", Active.Freeze},
                      {"fail_starts", Active.FailStarts},
                      {"truncate", Active.Truncate},
                      {"refuse", Active.Refuse}});
}

Awaitable<void> serveOne(HttpExchange &Exchange, Faults &Active, const Handler &Handle) {
  constexpr size_t MaxBody = 4 * 1024 * 1024;
  Result<std::string> Body = co_await readWhole(Exchange, MaxBody);
  if (!ok(Body))
    co_return;
  Call Made{Exchange.method(), Exchange.target(), std::string(pathOf(Exchange.target())),
            std::move(value(Body)), Exchange.headers()};
  if (Made.Path == "/faults")
    co_return co_await sendWhole(Exchange, setFaults(Active, Made.Body));
  if (Active.Outage)
    co_return;
  while (Active.Freeze)
    co_await sleepFor(Milliseconds(10));
  HttpResponse Answer = co_await Handle(std::move(Made));
  if (Active.DelayMs > 0)
    co_await sleepFor(Milliseconds(Active.DelayMs));
  const bool IsRead = Exchange.method() == "GET";
  if (Active.LoseAnswers > 0 && !IsRead) {
    --Active.LoseAnswers;
    co_return;
  }
  if (Active.Truncate > 0 && Answer.Body.size() > 1) {
    --Active.Truncate;
    if (co_await Exchange.writeHead(Answer.Status, Answer.Headers, Answer.Body.size()))
      co_await Exchange.writeBody(std::string_view(Answer.Body).substr(0, Answer.Body.size() / 2));
    co_return;
  }
  co_await sendWhole(Exchange, std::move(Answer));
}

} // namespace

int serve(asio::io_context &Io, const std::string &Listen, Faults &Active, Handler Handle) {
  // Further addresses, after commas, serve the same state under faults of their own.
  std::vector<std::unique_ptr<HttpServer>> Servers;
  std::vector<std::unique_ptr<Faults>> Own;
  std::istringstream Addresses(Listen);
  std::string Address;
  while (std::getline(Addresses, Address, ',')) {
    const Result<Endpoint> At = parseEndpoint(Address);
    if (!ok(At)) {
      std::cerr << "standins: " << error(At).Detail << "\n";
      return 2;
    }
    Own.push_back(std::make_unique<Faults>());
    Faults &Here = Servers.empty() ? Active : *Own.back();
    HttpServerLimits Limits;
    Limits.HeaderTimeout = Milliseconds(60000);
    Servers.push_back(std::make_unique<HttpServer>(
        Io.get_executor(), value(At), Limits,
        [&Here, &Handle](HttpExchange &Exchange) { return serveOne(Exchange, Here, Handle); }));
    const Result<Done> Started = Servers.back()->start();
    if (!ok(Started)) {
      std::cerr << "standins: " << error(Started).Detail << "\n";
      return 1;
    }
  }
  Io.run();
  return 0;
}

} // namespace standins
