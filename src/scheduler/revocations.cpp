// SPDX-License-Identifier: Apache-2.0
// Jobs that were cancelled before they existed: ended when they become known.
#include "valveshelf/cell_state.h"

namespace valveshelf::sched {
namespace {
// True if the job is live and a caller of the organisation may cancel it.
bool mayEnd(const Job &J, const std::string &Organisation) {
  return J.Phase == JobPhase::Live && mayAccess(Organisation, J.Spec->Organisation);
}

void endRevoked(CellState &Cell, Job &J, TimePoint Now, Effects &Out) {
  endJob(Cell, J, JobPhase::Cancelled, "the job was cancelled before it was written", Now, Out);
}
} // namespace

bool revokeJob(CellState &Cell, const Revocation &What, TimePoint Now, Effects &Out) {
  const std::pair Key(What.Job, What.Organisation);
  if (Cell.Revocations.size() >= MaxRevocations && !Cell.Revocations.count(Key))
    return false;
  Cell.Revocations[Key] = Now + Cell.Limits.EndedJobRetention;
  Cell.RevocationsByAge.emplace_back(Now, Key);
  const auto Found = Cell.Jobs.find(What.Job);
  if (Found != Cell.Jobs.end() && mayEnd(Found->second, What.Organisation))
    endRevoked(Cell, Found->second, Now, Out);
  return true;
}

bool applyRevocation(CellState &Cell, JobId Id, TimePoint Now, Effects &Out) {
  const auto Found = Cell.Jobs.find(Id);
  if (Found == Cell.Jobs.end())
    return false;
  for (auto At = Cell.Revocations.lower_bound({Id, ""});
       At != Cell.Revocations.end() && At->first.first == Id; ++At)
    if (mayEnd(Found->second, At->first.second)) {
      endRevoked(Cell, Found->second, Now, Out);
      return true;
    }
  return false;
}

void expireRevocations(CellState &Cell, TimePoint Now) {
  auto &ByAge = Cell.RevocationsByAge;
  for (; !ByAge.empty() && ByAge.front().first + Cell.Limits.EndedJobRetention < Now;
       ByAge.pop_front()) {
    const auto Found = Cell.Revocations.find(ByAge.front().second);
    if (Found != Cell.Revocations.end() && Found->second < Now)
      Cell.Revocations.erase(Found);
  }
}

} // namespace valveshelf::sched
