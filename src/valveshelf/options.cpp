// SPDX-License-Identifier: Apache-2.0
// Helpers shared by the subcommands.
#include "options.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>

#include <fstream>
#include <iostream>
#include <iterator>

namespace valveshelf {
namespace asio = boost::asio;
namespace json = boost::json;

std::optional<cxxopts::ParseResult> parseOptions(cxxopts::Options &Options, const Arguments &Args,
                                                 int &Exit) {
  std::vector<const char *> Pointers;
  for (const std::string &Arg : Args)
    Pointers.push_back(Arg.c_str());
  Options.add_options()("h,help", "print this help");
  try {
    cxxopts::ParseResult Parsed = Options.parse(static_cast<int>(Pointers.size()), Pointers.data());
    if (Parsed.count("help")) {
      std::cout << Options.help();
      Exit = ExitDone;
      return std::nullopt;
    }
    return Parsed;
  } catch (const std::exception &E) {
    std::cerr << Args[0] << ": " << E.what() << "\n" << Options.help();
    Exit = ExitUsage;
    return std::nullopt;
  }
}

Result<HttpResponse> callEntry(const std::string &Address, HttpRequest Request,
                               Milliseconds Timeout) {
  const Result<Endpoint> To = parseEndpoint(Address);
  if (!ok(To))
    return error(To);
  asio::io_context Io;
  HttpClient Client(Io.get_executor());
  Result<HttpResponse> Answer = Error{};
  CallOptions Options;
  Options.Timeout = Timeout;
  asio::co_spawn(
      Io, Client.send(value(To), std::move(Request), Options),
      [&](std::exception_ptr, Result<HttpResponse> Value) { Answer = std::move(Value); });
  Io.run();
  return Answer;
}

int printAnswer(const Result<HttpResponse> &Answer, const std::string &Output) {
  if (!ok(Answer)) {
    std::cerr << "valveshelf: " << error(Answer).Detail << "\n";
    return answerFor(error(Answer).Kind).ExitCode;
  }
  const HttpResponse &Got = value(Answer);
  if (Got.Status < 300) {
    std::cout << Got.Body;
    return ExitDone;
  }
  json::error_code Failure;
  const json::value Root = json::parse(Got.Body, Failure);
  const std::string_view Outcome = findHeader(Got.Headers, "Valveshelf-Outcome");
  const int Exit = Outcome == "unknown"                     ? ExitUnknown
                   : Got.Status == 400 || Got.Status == 422 ? ExitUsage
                                                            : ExitFailed;
  if (Failure || !Root.is_object() || Output == "json") {
    std::cerr << Got.Body;
    return Exit;
  }
  const json::object &Object = Root.as_object();
  std::cerr << "valveshelf: " << std::string(Object.at("error").as_string()) << " (" << Outcome
            << "): " << std::string(Object.at("detail").as_string()) << "\n";
  if (const std::string_view Job = findHeader(Got.Headers, "Valveshelf-Job"); !Job.empty())
    std::cerr << "valveshelf: the job is " << Job << "\n";
  return Exit;
}

Result<std::string> readFile(const std::string &Path) {
  if (Path == "-")
    return std::string(std::istreambuf_iterator<char>(std::cin), {});
  std::ifstream File(Path, std::ios::binary);
  if (!File)
    return Error{ErrorKind::BadRequest, Path + ": cannot open file"};
  return std::string(std::istreambuf_iterator<char>(File), {});
}

} // namespace valveshelf
