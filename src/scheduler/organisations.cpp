// SPDX-License-Identifier: Apache-2.0
// What organisations may have running across all workers.
#include "scheduler/pass.h"

namespace valveshelf::sched {

void configured(CellState &Cell, const CellConfiguration &Config) {
  Cell.Configured = true;
  Cell.Services.clear();
  for (const Service &One : Config.Services)
    Cell.Services.insert(One.Name);
  if (!Config.Organisations)
    return;
  for (const Organisation &One : *Config.Organisations) {
    OrganisationState &Known = Cell.Organisations[One.Name];
    Known.Name = One.Name;
    Known.Maximum = One.Maximum;
    Known.Weight = One.Weight;
  }
}

OrganisationState *organisationNamed(CellState &Cell, const std::string &Name) {
  if (Name.empty())
    return nullptr;
  OrganisationState &Known = Cell.Organisations[Name];
  Known.Name = Name;
  return &Known;
}

// A job beyond its organisation's share goes behind all that is within one, stops nothing and may
// be stopped for others. An organisation that hands in more than the cell can do makes no other one
// late.
bool takeShare(OrganisationState &Of, WallTime At) {
  if (Of.Weight <= 0)
    return true;
  const double Most = std::max(Of.Weight, 1.0);
  if (!Of.UnusedAt)
    Of.Unused = Most;
  else if (At > *Of.UnusedAt)
    Of.Unused += Of.Weight * std::chrono::duration<double>(At - *Of.UnusedAt).count();
  Of.UnusedAt = std::max(Of.UnusedAt.value_or(At), At);
  Of.Unused = std::min(Of.Unused, Most);
  if (Of.Unused < 1)
    return false;
  Of.Unused -= 1;
  return true;
}

bool isWithinQuota(const CellState &Cell, const OrganisationState *Of, const Resources &More) {
  return !Of || (Cell.Configured && isWithin(Of->Running + Of->Unheard + More, Of->Maximum));
}

Resources leastCharge(const StepSpec &Step) {
  return Step.Gang ? Step.Need * Step.Count : Step.Need;
}

namespace {
// The tasks of the step that may run where this scheduler has not heard of them.
uint32_t unheardTasks(const Pass &In, const Job &Of, const StepState &Step) {
  const std::string &Service = Of.Spec->Service;
  const bool Awaited = In.Awaited.count(Service) > 0;
  const bool Asked = In.Asked.count(Service) > 0;
  uint32_t Count = 0;
  for (const TaskState &Task : Step.Tasks)
    if (!Task.Done && !Task.AssignedWorker &&
        ((Task.MayRunOnUnreportedWorker && Awaited) || (Task.MayBeStartedByPredecessor && Asked)))
      ++Count;
  return Count;
}

// The most that all unheard workers can hold together; empty if the size of one is not known.
std::optional<Resources> unheardRoom(const CellState &Cell) {
  Resources Sum;
  for (const auto &[Id, Service] : Cell.Unheard) {
    const auto Found = Cell.Workers.find(Id);
    if (Found == Cell.Workers.end())
      continue;
    if (Found->second.Info.Capacity == Resources{})
      return std::nullopt;
    Sum += Found->second.Info.Capacity;
  }
  return Sum;
}
} // namespace

// After a takeover each organisation may have running, beside what was heard of, all its old tasks
// that no worker has reported, though no more than the workers that are still unheard can hold.
// With the first bound alone an organisation with a backlog stood still until the last worker was
// heard, up to the length of a lease.
void chargeUnheard(Pass &In) {
  for (auto &[Name, Of] : In.Cell.Organisations)
    Of.Unheard = {};
  if (In.Cell.Unheard.empty())
    return;
  for (auto &[Id, Of] : In.Cell.Jobs)
    for (auto &[Number, Round] : Of.Rounds)
      for (const StepState &Step : Round.Steps)
        if (Of.Owner && Step.Open > 0)
          Of.Owner->Unheard += Step.Spec->Need * unheardTasks(In, Of, Step);
  const std::optional<Resources> Most = unheardRoom(In.Cell);
  for (auto &[Name, Of] : In.Cell.Organisations)
    if (Most)
      Of.Unheard = smallest(Of.Unheard, *Most);
}

} // namespace valveshelf::sched
