// SPDX-License-Identifier: Apache-2.0
// `valveshelf report`: the error budget of each queue, from the processes of a cell; and why jobs
// were lost, from their logs.
#include "options.h"

#include "valveshelf/burn.h"
#include "valveshelf/losses.h"

#include <fstream>
#include <iostream>

namespace valveshelf {
namespace {
constexpr Milliseconds CallTimeout{3000};
constexpr int HttpOk = 200;

// Adds what the process at \p Address counted. False, with a line on stderr, if it can't be had.
bool addFrom(const std::string &Address, BurnBook &Book) {
  const Result<HttpResponse> Answer = callEntry(Address, {"GET", "/v1/burn", {}, ""}, CallTimeout);
  if (!ok(Answer)) {
    std::cerr << "valveshelf: " << Address << ": " << error(Answer).Detail << "\n";
    return false;
  }
  if (value(Answer).Status != HttpOk) {
    std::cerr << "valveshelf: " << Address << ": status " << value(Answer).Status << "\n";
    return false;
  }
  const Result<BurnBook> Read = decodeBurn(value(Answer).Body);
  if (!ok(Read)) {
    std::cerr << "valveshelf: " << Address << ": " << error(Read).Detail << "\n";
    return false;
  }
  mergeBurn(Book, value(Read));
  return true;
}

int writePage(const std::string &File, const std::string &Page) {
  std::ofstream Out(File, std::ios::binary);
  Out << Page;
  Out.close();
  if (Out)
    return ExitDone;
  std::cerr << "valveshelf: " << File << ": can't be written\n";
  return ExitFailed;
}

int reportLosses(const std::vector<std::string> &Files, bool AsJson) {
  LossBook Book;
  for (const std::string &File : Files) {
    std::ifstream In(File);
    if (!In) {
      std::cerr << "valveshelf: " << File << ": can't be read\n";
      return ExitFailed;
    }
    for (std::string Line; std::getline(In, Line);)
      readLogLine(Book, Line);
  }
  const std::vector<LossLine> Lines = lossLines(Book);
  std::cout << (AsJson ? lossJson(Book, Lines) : lossTable(Book, Lines));
  return ExitDone;
}
} // namespace

int runReport(const Arguments &Args) {
  cxxopts::Options Options(Args[0], "Reports how jobs met their objectives, and what burned the "
                                    "error budget. Each process counts what it ended as the "
                                    "scheduler; name all of the cell.");
  Options.add_options()("kind", "burn or losses", cxxopts::value<std::string>());
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
  Options.positional_help("burn|losses");
  int Exit = 0;
  const auto Parsed = parseOptions(Options, Args, Exit);
  if (!Parsed)
    return Exit;
  const std::string Kind = Parsed->count("kind") ? (*Parsed)["kind"].as<std::string>() : "";
  if (Kind == "losses" && Parsed->count("log"))
    return reportLosses((*Parsed)["log"].as<std::vector<std::string>>(), Parsed->count("json") > 0);
  const double Target = (*Parsed)["target"].as<double>();
  if (Kind != "burn" || !Parsed->count("entry") || Target <= 0 || Target >= 1) {
    std::cerr
        << Args[0]
        << ": 'burn', --entry and a --target between 0 and 1, or 'losses' and --log, are needed\n";
    return ExitUsage;
  }
  BurnBook Book;
  bool Whole = true;
  for (const std::string &Address : (*Parsed)["entry"].as<std::vector<std::string>>())
    Whole = addFrom(Address, Book) && Whole;
  const WallTime Now =
      std::chrono::time_point_cast<WallTime::duration>(std::chrono::system_clock::now());
  const std::vector<BurnLine> Lines = burnLines(Book, Target, Now);
  std::cout << (Parsed->count("json") ? burnJson(Lines, Target) : burnTable(Lines, Target));
  if (Parsed->count("html"))
    Exit = writePage((*Parsed)["html"].as<std::string>(), burnPage(Book, Lines, Target, Now));
  return Whole ? Exit : ExitFailed;
}

} // namespace valveshelf
