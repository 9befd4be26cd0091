// SPDX-License-Identifier: Apache-2.0
// `valveshelf serve`: runs an entry process of a cell on the users' platform.
#include "options.h"

#include "platform/codec.h"
#include "platform/links.h"
#include "valveshelf/cell_process.h"
#include "valveshelf/cell_records.h"
#include "valveshelf/events.h"

#include <boost/asio.hpp>

#include <csignal>
#include <iostream>
#include <thread>

namespace valveshelf {
namespace asio = boost::asio;
namespace {

// Idle connections are limited to the descriptor limit divided by this. A lower limit makes the
// scheduler of a large cell reopen connections for concurrent calls to its workers.
constexpr size_t DescriptorsPerIdleConnection = 2;

CellPlatform connect(HttpClient &Client, const CellSettings &Settings) {
  CellPlatform Platform;
  Platform.CallStore = [&Client, Address = Settings.Store](HttpRequest Request,
                                                           Milliseconds Timeout) {
    CallOptions Options;
    Options.Timeout = Timeout;
    Options.Kind = platform::storeCallKind(Request);
    return Client.send(Address, std::move(Request), Options);
  };
  Platform.StoreProbe = platform::readRequest(std::string(sched::TermKey));
  Platform.OpenStore = platform::openStore;
  Platform.Workers = platform::openWorkers(Client);
  Platform.Advice = platform::openAdvice(Client, Settings.Advice);
  Platform.CallerKeyHeader = platform::CallerKeyHeader;
  Platform.Operators = {std::string(platform::OperatorPrefix),
                        std::string(platform::ConfigurationKey),
                        std::string(platform::EvacuationPrefix)};
  Platform.WorkerPrefix = platform::WorkerPrefix;
  Platform.DecodeConfiguration = platform::decodeConfiguration;
  Platform.DecodeWorker = platform::decodeWorker;
  Platform.DecodeSubmission = platform::decodeSubmission;
  Platform.EncodeState = platform::encodeJobState;
  Platform.EncodeWaiting = platform::encodeWaiting;
  return Platform;
}

// Validates the settings file on SIGHUP and logs the result; the running settings do not change.
void checkChangedSettings(const std::string &Path) {
  Result<std::string> Text = readFile(Path);
  if (!ok(Text)) {
    logEvent(events::SettingsRefused, {{"why", "\"" + error(Text).Detail + "\""}});
    return;
  }
  const auto ParsedSettings = parseCellSettings(value(Text), Path);
  if (const auto *Errors = std::get_if<SettingsErrors>(&ParsedSettings))
    logEvent(events::SettingsRefused, {{"why", "\"" + toString(Errors->front()) + "\""}});
  else
    logEvent(events::SettingsRead, {{"file", Path}});
}

void awaitReload(asio::signal_set &Signals, const std::string &Path) {
  Signals.async_wait([&Signals, Path](boost::system::error_code Failure, int) {
    if (Failure)
      return;
    checkChangedSettings(Path);
    awaitReload(Signals, Path);
  });
}

int serve(CellSettings Settings, const std::string &Path) {
  asio::io_context Io(static_cast<int>(Settings.Threads));
  const auto Guard = asio::make_work_guard(Io);
  const unsigned Threads = Settings.Threads;
  // A single-threaded io_context serializes handlers without the cost of a strand.
  const bool OneThread = Threads == 1;
  TrafficMeter Meter{Clock{}};
  HttpClient Client(Io.get_executor(),
                    {OneThread, Settings.MaxDescriptors / DescriptorsPerIdleConnection}, &Meter);
  const Executor ProcessExecutor =
      OneThread ? Executor(Io.get_executor()) : Executor(asio::make_strand(Io));
  const std::string Addresses = "callers=" + toString(Settings.Callers) +
                                " peers=" + toString(Settings.Peers) +
                                " store=" + toString(Settings.Store);
  CellPlatform Platform = connect(Client, Settings);
  CellProcess Process(ProcessExecutor, std::move(Settings), Clock{}, std::move(Platform),
                      makeHttpCellLink(Client), Meter);
  if (Result<Done> Started = Process.start(); !ok(Started)) {
    std::cerr << "valveshelf serve: " << error(Started).Detail << "\n";
    return answerFor(error(Started).Kind).ExitCode;
  }
  logEvent(events::Started, {{"addresses", "\"" + Addresses + "\""}});
  int Exit = ExitDone;
  asio::signal_set Stop(Io, SIGTERM, SIGINT);
  Stop.async_wait([&](boost::system::error_code Failure, int) {
    if (Failure)
      return;
    Process.beginStop([&](int Code) {
      Exit = Code;
      Io.stop();
    });
  });
  asio::signal_set Reload(Io, SIGHUP);
  awaitReload(Reload, Path);
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

int runServe(const Arguments &Args) {
  cxxopts::Options Options(
      Args[0], "Runs an entry process of a cell until SIGTERM, which begins the planned stop.");
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
  auto Settings = parseCellSettings(value(Text), Path);
  if (auto *Errors = std::get_if<SettingsErrors>(&Settings)) {
    for (const SettingsError &Problem : *Errors)
      std::cerr << toString(Problem) << "\n";
    return ExitUsage;
  }
  CellSettings &ParsedSettings = std::get<CellSettings>(Settings);
  openLog(ParsedSettings.LogLevel, ParsedSettings.Member, {true, ParsedSettings.LogLinesPerSecond});
  std::signal(SIGPIPE, SIG_IGN);
  return serve(std::move(ParsedSettings), Path);
}

} // namespace valveshelf
