// SPDX-License-Identifier: Apache-2.0
// Text forms of job, step and task ids and of results of runs, and lookups in the cell's
// configuration. The ids appear in logs, store keys and answers to callers.
#include "valveshelf/workload.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace valveshelf::sched {
namespace {
constexpr size_t IdDigits = 16;

// Removes a leading decimal number from \p Rest and returns it; empty if there is none.
std::optional<uint32_t> takeNumber(std::string_view &Rest) {
  uint32_t Value = 0;
  const auto [End, Code] = std::from_chars(Rest.data(), Rest.data() + Rest.size(), Value);
  if (Code != std::errc())
    return std::nullopt;
  Rest.remove_prefix(static_cast<size_t>(End - Rest.data()));
  return Value;
}

bool takeDot(std::string_view &Rest) {
  if (Rest.empty() || Rest.front() != '.')
    return false;
  Rest.remove_prefix(1);
  return true;
}
} // namespace

std::string jobIdText(JobId Id) {
  static constexpr std::string_view Digits = "0123456789abcdef";
  std::string Text(IdDigits, '0');
  for (size_t I = IdDigits; I-- > 0; Id >>= 4)
    Text[I] = Digits[Id & 15];
  return Text;
}

std::optional<JobId> parseJobId(std::string_view Text) {
  JobId Value = 0;
  if (Text.size() != IdDigits)
    return std::nullopt;
  const auto [End, Code] = std::from_chars(Text.data(), Text.data() + Text.size(), Value, 16);
  if (Code != std::errc() || End != Text.data() + Text.size())
    return std::nullopt;
  return Value;
}

std::string toString(const StepKey &Key) {
  return jobIdText(Key.Job) + "." + std::to_string(Key.Round) + "." + std::to_string(Key.Step);
}

std::string toString(const TaskKey &Key) {
  return toString(Key.Step) + "." + std::to_string(Key.Index);
}

std::string_view toString(RunOutcome How) {
  static constexpr std::array<std::string_view, 6> Names{
      "done", "failed", "stopped", "lease-expired", "gang-broken", "gang-timed-out"};
  return Names.at(static_cast<size_t>(How));
}

std::string_view toString(StartResult Result) {
  static constexpr std::array<std::string_view, 11> Names{
      "started",        "refused-fence",     "refused-stale-run", "refused-expired", "refused-room",
      "refused-ticket", "refused-unhealthy", "refused-malformed", "other-instance",  "not-sent",
      "unknown"};
  return Names.at(static_cast<size_t>(Result));
}

std::optional<TaskKey> parseTaskKey(std::string_view Text) {
  const auto Job = parseJobId(Text.substr(0, IdDigits));
  if (!Job)
    return std::nullopt;
  std::string_view Rest = Text.substr(IdDigits);
  std::array<uint32_t, 3> Numbers{};
  for (uint32_t &Number : Numbers) {
    if (!takeDot(Rest))
      return std::nullopt;
    const auto Value = takeNumber(Rest);
    if (!Value)
      return std::nullopt;
    Number = *Value;
  }
  if (!Rest.empty())
    return std::nullopt;
  return TaskKey{{*Job, Numbers[0], Numbers[1]}, Numbers[2]};
}

const Queue *findQueue(const CellConfiguration &Config, std::string_view Host,
                       std::string_view Path) {
  const Queue *Best = nullptr;
  for (const Queue &Candidate : Config.Queues) {
    if (Candidate.Host != Host || !Path.starts_with(Candidate.PathPrefix))
      continue;
    if (!Best || Candidate.PathPrefix.size() > Best->PathPrefix.size())
      Best = &Candidate;
  }
  return Best;
}

const Organisation *findOrganisation(const CellConfiguration &Config, std::string_view Name) {
  if (!Config.Organisations)
    return nullptr;
  const auto Found = std::find_if(Config.Organisations->begin(), Config.Organisations->end(),
                                  [&](const Organisation &One) { return One.Name == Name; });
  return Found == Config.Organisations->end() ? nullptr : &*Found;
}

bool mayAccess(const std::string &Caller, const std::string &Owner) {
  return Owner.empty() || Caller == Owner;
}

bool isWithin(const Resources &Need, const Resources &Maximum) {
  const auto Holds = [](int64_t Amount, int64_t Most) { return Most == 0 || Amount <= Most; };
  return Holds(Need.MilliCores, Maximum.MilliCores) && Holds(Need.MemoryMb, Maximum.MemoryMb) &&
         Holds(Need.Accelerators, Maximum.Accelerators);
}

} // namespace valveshelf::sched
