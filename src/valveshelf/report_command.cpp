// SPDX-License-Identifier: Apache-2.0
// `valveshelf report`: error budget, messages sent and overload, fetched from the processes of a
// cell, and causes of lost jobs, read from their logs.
#include "options.h"

#include "admission/overload_report.h"
#include "valveshelf/burn.h"
#include "valveshelf/losses.h"
#include "valveshelf/traffic.h"

#include <fstream>
#include <iostream>

namespace valveshelf {
namespace {
constexpr Milliseconds CallTimeout{3000};
constexpr int HttpOk = 200;

// Fetches and decodes the counts of the process at Address. On failure, prints the error to
// stderr and returns nullopt.
template <class Book>
std::optional<Book> fetchReport(const std::string &Address, const std::string &Page,
                                Result<Book> (*Decode)(std::string_view)) {
  const Result<HttpResponse> Answer = callEntry(Address, {"GET", Page, {}, ""}, CallTimeout);
  Result<Book> Read = Error{};
  if (!ok(Answer))
    Read = error(Answer);
  else if (value(Answer).Status != HttpOk)
    Read = Error{ErrorKind::UpstreamCut, "status " + std::to_string(value(Answer).Status)};
  else
    Read = Decode(value(Answer).Body);
  if (ok(Read))
    return std::move(value(Read));
  std::cerr << "valveshelf: " << Address << ": " << error(Read).Detail << "\n";
  return std::nullopt;
}

Result<std::string> asReceived(std::string_view Body) { return std::string(Body); }

int writePage(const std::string &File, const std::string &Page) {
  std::ofstream Out(File, std::ios::binary);
  Out << Page;
  Out.close();
  if (Out)
    return ExitDone;
  std::cerr << "valveshelf: " << File << ": cannot write file\n";
  return ExitFailed;
}

int reportLosses(const std::vector<std::string> &Files, bool AsJson) {
  LogSummary Summary;
  for (const std::string &File : Files) {
    std::ifstream In(File);
    if (!In) {
      std::cerr << "valveshelf: " << File << ": cannot open file\n";
      return ExitFailed;
    }
    for (std::string Line; std::getline(In, Line);)
      readLogLine(Summary, Line);
  }
  const std::vector<LossCount> Lines = countLosses(Summary);
  std::cout << (AsJson ? lossJson(Summary, Lines) : lossTable(Summary, Lines));
  return ExitDone;
}

int reportOverload(const std::vector<std::string> &Addresses, bool AsJson) {
  bool AllAnswered = true;
  for (const std::string &Address : Addresses) {
    const auto Read =
        fetchReport<std::string>(Address, "/v1/overload", AsJson ? asReceived : overloadTable);
    AllAnswered = AllAnswered && Read;
    if (Read)
      std::cout << (AsJson ? "" : Address + "\n") << *Read;
  }
  return AllAnswered ? ExitDone : ExitFailed;
}

int reportLoad(const std::vector<std::string> &Addresses, bool AsJson, const std::string &Page) {
  std::vector<ProcessTraffic> Cell;
  for (const std::string &Address : Addresses)
    if (auto Read = fetchReport(Address, "/v1/load", decodeTraffic))
      Cell.push_back({Address, std::move(*Read)});
  std::cout << (AsJson ? trafficJson(Cell) : trafficTable(Cell));
  const int Exit = Page.empty() ? ExitDone : writePage(Page, trafficPage(Cell));
  return Cell.size() == Addresses.size() ? Exit : ExitFailed;
}
} // namespace

int runReport(const Arguments &Args) {
  cxxopts::Options Options(Args[0], "Reports how jobs met their objectives, and what burned the "
                                    "error budget. Each process counts what it ended as the "
                                    "scheduler; name all of the cell.");
  Options.add_options()("kind", "burn, load, losses or overload", cxxopts::value<std::string>());
  Options.add_options()("log", "for losses: log files of the cell's processes, separated by commas",
                        cxxopts::value<std::vector<std::string>>());
  Options.add_options()("entry", "metrics addresses, IP:PORT, separated by commas",
                        cxxopts::value<std::vector<std::string>>());
  Options.add_options()("target", "share of jobs that has to meet its objective",
                        cxxopts::value<double>()->default_value("0.99"));
  Options.add_options()("json", "print JSON");
  Options.add_options()("html", "write a page with plots to this file",
                        cxxopts::value<std::string>());
  Options.parse_positional({"kind"});
  Options.positional_help("burn|load|losses|overload");
  int Exit = 0;
  const auto Parsed = parseOptions(Options, Args, Exit);
  if (!Parsed)
    return Exit;
  const std::string Kind = Parsed->count("kind") ? (*Parsed)["kind"].as<std::string>() : "";
  if (Kind == "losses" && Parsed->count("log"))
    return reportLosses((*Parsed)["log"].as<std::vector<std::string>>(), Parsed->count("json") > 0);
  const std::string Html = Parsed->count("html") ? (*Parsed)["html"].as<std::string>() : "";
  if (Kind == "load" && Parsed->count("entry"))
    return reportLoad((*Parsed)["entry"].as<std::vector<std::string>>(), Parsed->count("json") > 0,
                      Html);
  if (Kind == "overload" && Parsed->count("entry"))
    return reportOverload((*Parsed)["entry"].as<std::vector<std::string>>(),
                          Parsed->count("json") > 0);
  const double Target = (*Parsed)["target"].as<double>();
  if (Kind != "burn" || !Parsed->count("entry") || Target <= 0 || Target >= 1) {
    std::cerr
        << Args[0]
        << ": 'burn', --entry and a --target between 0 and 1, 'load' or 'overload' and --entry, or "
           "'losses' and --log, are needed\n";
    return ExitUsage;
  }
  BurnBook Book;
  bool AllAnswered = true;
  for (const std::string &Address : (*Parsed)["entry"].as<std::vector<std::string>>())
    if (const auto Read = fetchReport(Address, "/v1/burn", decodeBurn))
      mergeBurn(Book, *Read);
    else
      AllAnswered = false;
  const WallTime Now =
      std::chrono::time_point_cast<WallTime::duration>(std::chrono::system_clock::now());
  const std::vector<BurnLine> Lines = burnLines(Book, Target, Now);
  std::cout << (Parsed->count("json") ? burnJson(Lines, Target) : burnTable(Lines, Target));
  if (!Html.empty())
    Exit = writePage(Html, burnPage(Book, Lines, Target, Now));
  return AllAnswered ? Exit : ExitFailed;
}

} // namespace valveshelf
