// SPDX-License-Identifier: Apache-2.0
// `valveshelf entry` and `valveshelf check-config`: run an entry process, validate its files.
#include "options.h"

#include "valveshelf/cell_config.h"
#include "valveshelf/cell_settings.h"
#include "valveshelf/entry_process.h"
#include "valveshelf/events.h"

#include <boost/asio.hpp>

#include <iostream>
#include <thread>

namespace valveshelf {
namespace asio = boost::asio;
namespace {

void printErrors(const SettingsErrors &Errors) {
  for (const SettingsError &Problem : Errors)
    std::cerr << toString(Problem) << "\n";
}

// Entry settings are told apart from partner configuration by their [member] or [listen] table.
bool isEntryFile(const std::string &Text) {
  return Text.starts_with("[member]") || Text.find("\n[member]") != std::string::npos ||
         Text.find("\n[listen]") != std::string::npos;
}

int checkFile(const std::string &Path) {
  Result<std::string> Text = readFile(Path);
  if (!ok(Text)) {
    std::cerr << error(Text).Detail << "\n";
    return ExitUsage;
  }
  SettingsErrors Errors;
  if (value(Text).find_first_not_of(" \t\r\n") == std::string::npos) {
    Errors.push_back({Path, 1, 1, "file",
                      "is empty; accepted are entry settings, settings of "
                      "`serve` and a partner's configuration"});
  } else if (value(Text).find("\nreadiness") != std::string::npos) {
    auto Parsed = parseCellSettings(value(Text), Path);
    if (auto *Problem = std::get_if<SettingsErrors>(&Parsed))
      Errors = *Problem;
  } else if (isEntryFile(value(Text))) {
    auto Parsed = parseEntrySettings(value(Text), Path);
    if (auto *Problem = std::get_if<SettingsErrors>(&Parsed))
      Errors = *Problem;
  } else {
    auto Parsed = parsePartnerConfig(value(Text), Path);
    if (auto *Problem = std::get_if<SettingsErrors>(&Parsed))
      Errors = *Problem;
  }
  printErrors(Errors);
  if (Errors.empty())
    std::cout << Path << ": ok\n";
  return Errors.empty() ? ExitDone : ExitUsage;
}

int serve(EntrySettings Settings) {
  asio::io_context Io;
  auto Guard = asio::make_work_guard(Io);
  HttpClient Client(Io.get_executor());
  Platform From;
  From.Store = httpStore(Client, Settings.Store, Settings.Timing.StoreTimeout);
  From.Boxes = httpBoxList(Client, Settings.Boxes, Settings.Timing.StoreTimeout);
  From.Workers = httpWorkers(Client, Settings.Timing.WorkerTimeout);
  const unsigned Threads = Settings.Threads;
  const std::string Name = Settings.Member;
  const std::string Addresses = "callers=" + toString(Settings.Callers) +
                                " operators=" + toString(Settings.Operators) +
                                " peers=" + toString(Settings.Peers);
  EntryProcess Process(Io.get_executor(), std::move(Settings), Clock{}, From, Client);
  std::atomic<int> Exit{ExitDone};
  const auto Finish = [&](int Code) {
    Exit = Code;
    Io.stop();
  };
  Process.onFatal(Finish);
  if (Result<Done> Started = Process.start(); !ok(Started)) {
    std::cerr << "valveshelf entry: " << error(Started).Detail << "\n";
    return answerFor(error(Started).Kind).ExitCode;
  }
  logEvent(events::Started, {{"member", Name}, {"addresses", "\"" + Addresses + "\""}});
  asio::signal_set Signals(Io, SIGTERM, SIGINT);
  Signals.async_wait([&](boost::system::error_code Failure, int) {
    if (!Failure)
      Process.beginStop(Finish);
  });
  std::vector<std::thread> Pool;
  for (unsigned I = 1; I < Threads; ++I)
    Pool.emplace_back([&Io] { Io.run(); });
  Io.run();
  for (std::thread &Thread : Pool)
    Thread.join();
  // Exits without destructors: suspended coroutines refer to objects that would be destroyed.
  std::cout.flush();
  std::_Exit(Exit);
}

} // namespace

int runEntry(const Arguments &Args) {
  cxxopts::Options Options(Args[0],
                           "Runs an entry process until SIGTERM, which begins the planned stop.");
  Options.add_options()("config", "TOML file with this process's settings",
                        cxxopts::value<std::string>());
  int Exit = 0;
  const auto Parsed = parseOptions(Options, Args, Exit);
  if (!Parsed)
    return Exit;
  if (!Parsed->count("config")) {
    std::cerr << Args[0] << ": missing required option --config FILE\n";
    return ExitUsage;
  }
  const std::string Path = (*Parsed)["config"].as<std::string>();
  Result<std::string> Text = readFile(Path);
  if (!ok(Text)) {
    std::cerr << error(Text).Detail << "\n";
    return ExitUsage;
  }
  auto Settings = parseEntrySettings(value(Text), Path);
  if (auto *Errors = std::get_if<SettingsErrors>(&Settings)) {
    printErrors(*Errors);
    return ExitUsage;
  }
  openLog(std::get<EntrySettings>(Settings).LogLevel, std::get<EntrySettings>(Settings).Member);
  return serve(std::move(std::get<EntrySettings>(Settings)));
}

int runCheckConfig(const Arguments &Args) {
  cxxopts::Options Options(
      Args[0], "Checks entry settings and cell configuration files; prints every error.");
  Options.positional_help("FILE...");
  Options.add_options()("files", "files to check", cxxopts::value<std::vector<std::string>>());
  Options.parse_positional({"files"});
  int Exit = 0;
  const auto Parsed = parseOptions(Options, Args, Exit);
  if (!Parsed)
    return Exit;
  if (!Parsed->count("files")) {
    std::cerr << Args[0] << ": missing FILE; expected at least one\n";
    return ExitUsage;
  }
  for (const std::string &Path : (*Parsed)["files"].as<std::vector<std::string>>())
    Exit = std::max(Exit, checkFile(Path));
  return Exit;
}

} // namespace valveshelf
