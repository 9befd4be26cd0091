// SPDX-License-Identifier: Apache-2.0
// Subcommands of callers and operators; each makes one or two calls to an entry process.
#include "options.h"

#include <boost/json.hpp>

#include <iostream>

namespace valveshelf {
namespace json = boost::json;
namespace {
constexpr const char *DefaultCallers = "127.0.0.1:8080";
constexpr const char *DefaultOperators = "127.0.0.1:8081";
constexpr Milliseconds CallTimeout{10000};

cxxopts::Options optionsFor(const Arguments &Args, const std::string &Help, const char *Address) {
  cxxopts::Options Options(Args[0], Help);
  Options.add_options()("entry", "address of an entry process",
                        cxxopts::value<std::string>()->default_value(Address));
  Options.add_options()("output", "text or json",
                        cxxopts::value<std::string>()->default_value("text"));
  return Options;
}

std::string stringOption(const cxxopts::ParseResult &Parsed, const char *Name) {
  return Parsed.count(Name) || Parsed[Name].has_default() ? Parsed[Name].as<std::string>() : "";
}

int reportMissing(const Arguments &Args, const std::string &What) {
  std::cerr << Args[0] << ": missing " << What << "\n";
  return ExitUsage;
}

void printJobLine(const json::object &Job) {
  const auto Text = [&](const char *Key) { return std::string(Job.at(Key).as_string()); };
  const auto Number = [&](const char *Key) { return Job.at(Key).to_number<uint64_t>(); };
  std::cout << Text("id") << "  " << Text("partner") << "/" << Text("team") << "  " << Text("kind")
            << "  " << Text("class") << "  " << Text("state") << "  tasks=" << Number("count")
            << " waiting=" << Number("waiting") << " running=" << Number("running")
            << " ended=" << Number("ended");
  for (const auto &[Outcome, Count] : Job.at("outcomes").as_object())
    std::cout << " " << std::string(Outcome) << "=" << Count.to_number<uint64_t>();
  std::cout << "\n";
}

void printTasks(const json::object &Job) {
  for (const json::value &Item : Job.at("tasks").as_array()) {
    std::cout << " ";
    for (const auto &[Key, Value] : Item.as_object())
      std::cout << " " << std::string(Key) << "="
                << (Value.is_string() ? std::string(Value.as_string()) : json::serialize(Value));
    std::cout << "\n";
  }
}

// Prints the explanation of a `valveshelf serve` job, one line per step with the reasons
// that exclude workers.
void printSteps(const json::object &Job) {
  std::cout << std::string(Job.at("job").as_string())
            << " queue=" << std::string(Job.at("queue").as_string())
            << " objective_in_ms=" << json::serialize(Job.at("objective_in_ms")) << "\n";
  for (const json::value &Item : Job.at("steps").as_array()) {
    const json::object &Step = Item.as_object();
    std::cout << "  " << std::string(Step.at("step").as_string())
              << " open=" << json::serialize(Step.at("open"))
              << " booked=" << json::serialize(Step.at("booked"))
              << " waits_for=" << json::serialize(Step.at("waits_for"))
              << " workers=" << json::serialize(Step.at("workers")) << "\n";
  }
}

// Prints one job or a list of jobs as text.
int printJobs(const Result<HttpResponse> &Answer, const std::string &Output) {
  if (Output == "json" || !ok(Answer) || value(Answer).Status >= 300)
    return printAnswer(Answer, Output);
  const json::value Root = json::parse(value(Answer).Body);
  if (Root.is_array()) {
    for (const json::value &Job : Root.as_array())
      printJobLine(Job.as_object());
    return ExitDone;
  }
  const json::object &Job = Root.as_object();
  if (Job.contains("steps")) {
    printSteps(Job);
    return ExitDone;
  }
  printJobLine(Job);
  if (const json::value *Why = Job.if_contains("why"))
    std::cout << "  why: " << std::string(Why->as_string()) << "\n";
  if (const json::value *Shards = Job.if_contains("capable_shards"))
    std::cout << "  capable shards: " << json::serialize(*Shards) << "\n";
  printTasks(Job);
  return ExitDone;
}

int runJobCommand(const Arguments &Args, const std::string &Help, const std::string &Method,
                  const std::string &Suffix, bool JobNeeded) {
  cxxopts::Options Options = optionsFor(Args, Help, DefaultCallers);
  Options.add_options()("job", "id of the job", cxxopts::value<std::string>());
  Options.add_options()("partner", "list only this partner's jobs", cxxopts::value<std::string>());
  Options.parse_positional({"job"});
  Options.positional_help(JobNeeded ? "JOB" : "[JOB]");
  int Exit = 0;
  const auto Parsed = parseOptions(Options, Args, Exit);
  if (!Parsed)
    return Exit;
  const std::string Job = stringOption(*Parsed, "job");
  if (JobNeeded && Job.empty())
    return reportMissing(Args, "JOB");
  const std::string Partner = stringOption(*Parsed, "partner");
  std::string Target = Job.empty() ? "/v1/jobs" : "/v1/jobs/" + Job + Suffix;
  if (Job.empty() && !Partner.empty())
    Target += "?partner=" + Partner;
  const auto Answer =
      callEntry(stringOption(*Parsed, "entry"), {Method, Target, {}, ""}, CallTimeout);
  const std::string Output = stringOption(*Parsed, "output");
  return Method == "GET" ? printJobs(Answer, Output) : printAnswer(Answer, Output);
}

int showConfig(const cxxopts::ParseResult &Parsed) {
  const auto Answer =
      callEntry(stringOption(Parsed, "entry"), {"GET", "/v1/config", {}, ""}, CallTimeout);
  if (stringOption(Parsed, "output") == "json" || !ok(Answer) || value(Answer).Status != 200)
    return printAnswer(Answer, stringOption(Parsed, "output"));
  const json::value Root = json::parse(value(Answer).Body);
  std::cout << "# version " << Root.at("version").to_number<uint64_t>() << "\n";
  for (const auto &[Partner, Part] : Root.at("parts").as_object())
    std::cout << "\n# ---- " << std::string(Partner) << ", version "
              << Part.at("version").to_number<uint64_t>() << "\n"
              << std::string(Part.at("text").as_string());
  return ExitDone;
}

// The current version of the partner's configuration, the default for --base; 0 if it has none.
Result<std::string> currentBase(const std::string &Entry, const std::string &Partner) {
  const auto Answer = callEntry(Entry, {"GET", "/v1/config", {}, ""}, CallTimeout);
  if (!ok(Answer))
    return error(Answer);
  const json::value Root = json::parse(value(Answer).Body);
  const json::value *Part = Root.at("parts").as_object().if_contains(Partner);
  return std::to_string(Part ? Part->at("version").to_number<uint64_t>() : 0);
}

int applyConfig(const Arguments &Args, const cxxopts::ParseResult &Parsed) {
  const std::string Partner = stringOption(Parsed, "partner");
  const std::string Path = stringOption(Parsed, "file");
  if (Partner.empty() || Path.empty())
    return reportMissing(Args, "--partner NAME and FILE");
  Result<std::string> Text = readFile(Path);
  if (!ok(Text)) {
    std::cerr << error(Text).Detail << "\n";
    return ExitUsage;
  }
  const std::string Entry = stringOption(Parsed, "entry");
  std::string Base = stringOption(Parsed, "base");
  if (Base.empty()) {
    Result<std::string> Current = currentBase(Entry, Partner);
    if (!ok(Current))
      return printAnswer(error(Current), stringOption(Parsed, "output"));
    Base = value(Current);
  }
  std::string Target = "/v1/config/" + Partner + "?base=" + Base;
  if (const std::string Id = stringOption(Parsed, "id"); !Id.empty())
    Target += "&id=" + Id;
  HttpRequest Request{
      "PUT", Target, {{"Authorization", "Bearer " + stringOption(Parsed, "token")}}, value(Text)};
  return printAnswer(callEntry(Entry, std::move(Request), CallTimeout),
                     stringOption(Parsed, "output"));
}

} // namespace

int runSubmit(const Arguments &Args) {
  cxxopts::Options Options = optionsFor(
      Args, "Submits a job described in a JSON file, or '-' for standard input.", DefaultCallers);
  Options.add_options()("file", "the job", cxxopts::value<std::string>());
  Options.parse_positional({"file"});
  Options.positional_help("FILE");
  int Exit = 0;
  const auto Parsed = parseOptions(Options, Args, Exit);
  if (!Parsed)
    return Exit;
  if (!Parsed->count("file"))
    return reportMissing(Args, "FILE");
  Result<std::string> Text = readFile(stringOption(*Parsed, "file"));
  if (!ok(Text)) {
    std::cerr << error(Text).Detail << "\n";
    return ExitUsage;
  }
  HttpRequest Request{"POST", "/v1/jobs", {{"Content-Type", "application/json"}}, value(Text)};
  return printAnswer(callEntry(stringOption(*Parsed, "entry"), std::move(Request), CallTimeout),
                     stringOption(*Parsed, "output"));
}

int runStatus(const Arguments &Args) {
  return runJobCommand(Args, "Shows a job and its tasks, or all jobs.", "GET", "", false);
}
int runCancel(const Arguments &Args) {
  return runJobCommand(Args, "Cancels a job.", "DELETE", "", true);
}
int runExplain(const Arguments &Args) {
  return runJobCommand(Args, "Says why a job runs where it runs or why it waits.", "GET",
                       "/explain", true);
}

int runConfig(const Arguments &Args) {
  cxxopts::Options Options =
      optionsFor(Args, "Shows or applies the operators' configuration.", DefaultOperators);
  Options.add_options()("action", "show or apply", cxxopts::value<std::string>());
  Options.add_options()("file", "TOML file to apply", cxxopts::value<std::string>());
  Options.add_options()("partner", "whose part to change", cxxopts::value<std::string>());
  Options.add_options()("token", "the operator's token",
                        cxxopts::value<std::string>()->default_value(""));
  Options.add_options()("base",
                        "version of the part that the change starts from (default: current)",
                        cxxopts::value<std::string>());
  Options.add_options()("id", "id of the change, to query it or retry it safely",
                        cxxopts::value<std::string>());
  Options.parse_positional({"action", "file"});
  Options.positional_help("show | apply FILE");
  int Exit = 0;
  const auto Parsed = parseOptions(Options, Args, Exit);
  if (!Parsed)
    return Exit;
  const std::string Action = stringOption(*Parsed, "action");
  if (Action == "show")
    return showConfig(*Parsed);
  if (Action == "apply")
    return applyConfig(Args, *Parsed);
  return reportMissing(Args, "'show' or 'apply'");
}

int runDrain(const Arguments &Args) {
  cxxopts::Options Options = optionsFor(
      Args, "Begins the planned stop of the entry process at --entry.", DefaultOperators);
  Options.add_options()("token", "the operator's token",
                        cxxopts::value<std::string>()->default_value(""));
  int Exit = 0;
  const auto Parsed = parseOptions(Options, Args, Exit);
  if (!Parsed)
    return Exit;
  HttpRequest Request{
      "POST", "/v1/drain", {{"Authorization", "Bearer " + stringOption(*Parsed, "token")}}, ""};
  return printAnswer(callEntry(stringOption(*Parsed, "entry"), std::move(Request), CallTimeout),
                     stringOption(*Parsed, "output"));
}

int runMembers(const Arguments &Args) {
  cxxopts::Options Options =
      optionsFor(Args, "Shows the entry processes, their shards and configuration versions.",
                 DefaultOperators);
  int Exit = 0;
  const auto Parsed = parseOptions(Options, Args, Exit);
  if (!Parsed)
    return Exit;
  const auto Answer =
      callEntry(stringOption(*Parsed, "entry"), {"GET", "/v1/members", {}, ""}, CallTimeout);
  if (stringOption(*Parsed, "output") == "json" || !ok(Answer) || value(Answer).Status != 200)
    return printAnswer(Answer, stringOption(*Parsed, "output"));
  const json::value Root = json::parse(value(Answer).Body);
  for (const json::value &Item : Root.at("members").as_array()) {
    const json::object &Member = Item.as_object();
    const auto Text = [&](const char *Key) { return std::string(Member.at(Key).as_string()); };
    std::cout << Text("name") << "  " << Text("partner") << "  " << Text("zone")
              << "  callers=" << Text("callers")
              << "  config=" << Member.at("config_version").to_number<uint64_t>()
              << "  shards=" << json::serialize(Member.at("shards"))
              << (Member.at("leaving").as_bool() ? "  leaving" : "") << "\n";
  }
  return ExitDone;
}

} // namespace valveshelf
