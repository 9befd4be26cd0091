// SPDX-License-Identifier: Apache-2.0
// Entry point of the valveshelf binary; dispatches to the subcommand.
#include "commands.h"

#include <array>
#include <iostream>
#include <string_view>

namespace {
using namespace valveshelf;

struct Command {
  std::string_view Name;
  std::string_view Help;
  int (*Run)(const Arguments &);
};

constexpr std::array Commands{
    Command{"entry", "run an entry process", runEntry},
    Command{"serve", "run an entry process of a cell on the users' platform", runServe},
    Command{"check-config", "check settings and configuration files", runCheckConfig},
    Command{"submit", "submit a job", runSubmit},
    Command{"status", "show a job, or all jobs", runStatus},
    Command{"cancel", "cancel a job", runCancel},
    Command{"explain", "say why a job runs where it runs or why it waits", runExplain},
    Command{"config", "show or apply the operators' configuration", runConfig},
    Command{"members", "show the entry processes, their shards and their configuration",
            runMembers},
    Command{
        "report",
        "report how objectives are met (burn), what is sent (load), why jobs were lost (losses)",
        runReport},
    Command{"drain", "begin the planned stop of an entry process", runDrain},
};

void printHelp(std::ostream &Out) {
  Out << "Usage: valveshelf COMMAND [OPTIONS]\n\nCommands:\n";
  for (const Command &C : Commands)
    Out << "  " << C.Name << std::string(14 - C.Name.size(), ' ') << C.Help << "\n";
  Out << "\n'valveshelf COMMAND --help' lists the options of a command.\n"
         "Exit codes: 0 done, 1 refused or failed, 2 bad usage or settings, 3 outcome unknown.\n";
}
} // namespace

int main(int Count, char **Values) {
  if (Count < 2) {
    printHelp(std::cerr);
    return ExitUsage;
  }
  const std::string_view Name = Values[1];
  if (Name == "--help" || Name == "-h" || Name == "help") {
    printHelp(std::cout);
    return ExitDone;
  }
  if (Name == "--version") {
    std::cout << "valveshelf " VALVESHELF_VERSION "\n";
    return ExitDone;
  }
  for (const Command &C : Commands)
    if (C.Name == Name) {
      Arguments Args(Values + 1, Values + Count);
      Args[0] = "valveshelf " + Args[0];
      return C.Run(Args);
    }
  std::cerr << "valveshelf: unknown command '" << Name << "'\n\n";
  printHelp(std::cerr);
  return ExitUsage;
}
