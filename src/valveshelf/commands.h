// SPDX-License-Identifier: Apache-2.0
// The subcommands of the valveshelf binary. Each parses its own arguments and returns an exit code:
// 0 done, 1 refused or failed, 2 bad usage or bad settings, 3 outcome unknown.
#pragma once

#include <string>
#include <vector>

namespace valveshelf {

/// Arguments of a subcommand; the first is the program name printed in its help.
using Arguments = std::vector<std::string>;

inline constexpr int ExitDone = 0;
inline constexpr int ExitFailed = 1;
inline constexpr int ExitUsage = 2;
inline constexpr int ExitUnknown = 3;

int runEntry(const Arguments &Args);
int runServe(const Arguments &Args);
int runCheckConfig(const Arguments &Args);
int runSubmit(const Arguments &Args);
int runStatus(const Arguments &Args);
int runCancel(const Arguments &Args);
int runExplain(const Arguments &Args);
int runConfig(const Arguments &Args);
int runDrain(const Arguments &Args);
int runMembers(const Arguments &Args);
int runReport(const Arguments &Args);

} // namespace valveshelf
