// SPDX-License-Identifier: Apache-2.0
// Moves jobs to the service that their queue has now, and keeps where runs of them may be.
#include "scheduler/job_services.h"

#include <algorithm>

namespace valveshelf::sched {
namespace {
const UsedService *findUsed(const JobServices &Of, const std::string &Name) {
  const auto Found = std::find_if(Of.Used.begin(), Of.Used.end(),
                                  [&](const UsedService &Known) { return Known.Name == Name; });
  return Found == Of.Used.end() ? nullptr : &*Found;
}

// The marks and keys of waiting steps depend on the load of their service.
void requeueWaitingSteps(CellState &Cell, Job &J, TimePoint Now) {
  for (auto &[Number, Round] : J.Rounds)
    for (StepState &Step : Round.Steps)
      if (Step.Queued)
        queueStep(Cell, J, Step, Now);
}

void noteMove(std::vector<QueueMove> &Moves, const Job &J, const std::string &From) {
  const auto Found = std::find_if(Moves.begin(), Moves.end(), [&](const QueueMove &Known) {
    return Known.Queue == J.Spec->Queue && Known.To == J.Services.Current;
  });
  if (Found == Moves.end())
    Moves.push_back({J.Spec->Queue, From, J.Services.Current, J.Services.Version, 1});
  else
    ++Found->Jobs;
}
} // namespace

void updateServices(CellState &Cell, Job &J, TimePoint Now) {
  JobServices &Of = J.Services;
  const auto Found = Cell.QueueServices.find(J.Spec->Queue);
  if (J.Phase != JobPhase::Live || Found == Cell.QueueServices.end() ||
      Cell.ConfigVersion < Of.Version)
    return;
  Of.Version = Cell.ConfigVersion;
  if (Found->second == Of.Current)
    return;
  const std::string From = std::exchange(Of.Current, Found->second);
  addSave(Cell, J);
  Cell.HasUnrequestedSaves = true;
  if (!findUsed(Of, Of.Current))
    Of.Used.push_back({Of.Current, J.PendingSave});
  noteMove(Cell.NewMoves, J, From);
  requeueWaitingSteps(Cell, J, Now);
}

void applyQueueServices(CellState &Cell, const CellConfiguration &Config) {
  Cell.ConfigVersion = Config.Version;
  Cell.QueueServices.clear();
  for (const Queue &Each : Config.Queues)
    Cell.QueueServices[Each.Name] = Each.Service;
  if (!Cell.Loaded)
    return; // done once the jobs are loaded
  for (auto &[Id, J] : Cell.Jobs)
    updateServices(Cell, J, Cell.WallAt);
}

void restoreServices(CellState &Cell, JobId Id, const SavedServices &Saved) {
  const auto Found = Cell.Jobs.find(Id);
  if (Found == Cell.Jobs.end() || Saved.Current.empty())
    return;
  JobServices &Of = Found->second.Services;
  Of.Current = Saved.Current;
  Of.Version = Saved.Version;
  Of.IsRestored = true;
  for (const std::string &Service : Saved.Used)
    if (!findUsed(Of, Service))
      Of.Used.push_back({Service});
  Of.Inherited = Of.Used.size();
}

bool isServiceSaved(const CellState &Cell, const Job &J) {
  if (J.Services.Used.size() == 1)
    return true;
  const UsedService *Found = findUsed(J.Services, J.Services.Current);
  return Found && (Found->Save == 0 || Cell.PendingSaves.count(Found->Save) == 0);
}

bool mayBeOnWorkersOf(const Job &J, const std::set<std::string> &Services) {
  if (Services.empty())
    return false;
  const auto &Used = J.Services.Used;
  return std::any_of(Used.begin(), Used.begin() + static_cast<ptrdiff_t>(J.Services.Inherited),
                     [&](const UsedService &Of) { return Services.count(Of.Name) > 0; });
}

} // namespace valveshelf::sched
