// SPDX-License-Identifier: Apache-2.0
// The stand-ins' executable: one platform part, or the auditor, a process.
#include "audit.h"
#include "standin.h"

#include <iostream>

int main(int Count, char **Values) {
  const std::vector<std::string> Args(Values + 1, Values + Count);
  const std::string Part = Args.empty() ? "" : Args[0];
  if (Part == "audit" && Args.size() == 2)
    return standins::runAudit(Args[1]);
  const standins::Options Given({Args.begin() + (Args.empty() ? 0 : 1), Args.end()});
  if (Part == "store")
    return standins::runStore(Given);
  if (Part == "boxes")
    return standins::runBoxes(Given);
  if (Part == "worker")
    return standins::runWorker(Given);
  if (Part == "upstream")
    return standins::runUpstream(Given);
  if (Part == "users-platform")
    return standins::runUsersPlatform(Given);
  std::cerr << "Usage: standins store|boxes|worker|upstream|users-platform [--OPTION VALUE]... | "
               "audit DIR\n"
               "See testsuite/standins/README.md.\n";
  return 2;
}
