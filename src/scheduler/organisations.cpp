// SPDX-License-Identifier: Apache-2.0
// Quotas and shares of organisations over all workers of the cell.
#include "scheduler/copies.h"
#include "scheduler/forecast.h"
#include "scheduler/job_services.h"
#include "scheduler/overload.h"
#include "scheduler/pass.h"
#include "scheduler/run_times.h"

namespace valveshelf::sched {

namespace {
// Runs of unknown size on workers of unknown capacity are charged the whole maximum of their
// organisation, which was not known if they were reported before the configuration was read.
void chargeRunsOfUnknownSize(CellState &Cell) {
  for (auto &[Id, On] : Cell.Workers) {
    if (!On.HasUnsizedRun)
      continue;
    for (auto &[Run, Entry] : On.Attempts)
      if (Entry.Owner && Entry.Charge == Resources{}) {
        Entry.Charge = Entry.Owner->Maximum;
        Entry.Owner->Usage += Entry.Charge;
      }
  }
}
} // namespace

void applyConfiguration(CellState &Cell, const CellConfiguration &Config) {
  Cell.HasConfiguration = true;
  Cell.Services.clear();
  for (const Service &Service : Config.Services)
    Cell.Services.insert(Service.Name);
  applyQueueServices(Cell, Config);
  setForecastClasses(Cell, Config);
  if (!Config.Organisations)
    return;
  for (const Organisation &Listed : *Config.Organisations) {
    OrganisationState &Known = Cell.Organisations[Listed.Name];
    Known.Name = Listed.Name;
    Known.Maximum = Listed.Maximum;
    Known.Weight = Listed.Weight;
  }
  chargeRunsOfUnknownSize(Cell);
}

void applyFeatures(CellState &Cell, const Features &InForce) {
  const bool ChangesCopies = Cell.InForce.Copies != InForce.Copies;
  Cell.InForce = InForce;
  if (ChangesCopies)
    resetCopyIndex(Cell);
  if (!mayRefuse(InForce))
    resetForecasts(Cell.Forecasts);
  if (!InForce.ShareAdvice) {
    Cell.Advice = {};
    Cell.FirstUnplacedOfService.clear();
  }
  if (!InForce.OverloadOrder)
    clearOverloadOrder(Cell);
  if (!InForce.LearnRunTimes)
    forgetRunTimes(Cell);
  if (!InForce.ShareAdvice && !InForce.OverloadOrder && !InForce.Admission)
    Cell.Loads.clear();
}

OrganisationState *findOrAddOrganisation(CellState &Cell, const std::string &Name) {
  if (Name.empty())
    return nullptr;
  OrganisationState &Known = Cell.Organisations[Name];
  Known.Name = Name;
  return &Known;
}

// Jobs beyond the share are queued behind all jobs within one, preempt nothing and may be
// preempted, so that an organisation that submits more than its share doesn't make others late.
bool consumeShare(OrganisationState &Org, WallTime At) {
  if (Org.Weight <= 0)
    return true;
  const double Limit = std::max(Org.Weight, 1.0);
  if (!Org.ShareTokensAt)
    Org.ShareTokens = Limit;
  else if (At > *Org.ShareTokensAt)
    Org.ShareTokens += Org.Weight * std::chrono::duration<double>(At - *Org.ShareTokensAt).count();
  Org.ShareTokensAt = std::max(Org.ShareTokensAt.value_or(At), At);
  Org.ShareTokens = std::min(Org.ShareTokens, Limit);
  if (Org.ShareTokens < 1)
    return false;
  Org.ShareTokens -= 1;
  return true;
}

bool isWithinQuota(const CellState &Cell, const OrganisationState *Org, const Resources &More) {
  return !Org || (Cell.HasConfiguration &&
                  isWithin(Org->Usage + Org->UnreportedUsage + More, Org->Maximum));
}

Resources minCharge(const StepSpec &Step) { return Step.Gang ? Step.Need * Step.Count : Step.Need; }

namespace {
// True if an earlier scheduler may have made copies of the step's tasks. Without the feature they
// are not expected, so that organisations near their maximum don't wait after a takeover.
bool mayHaveSecondRuns(const CellState &Cell, const StepState &Step) {
  return Cell.InForce.Copies && mayHaveCopies(*Step.Spec);
}

// The number of runs of the step that may be on workers without a report yet. Of a task that is
// done, the other of its two runs may still be there.
uint32_t countUnreportedRuns(const PlacementPass &Pass, const Job &J, const StepState &Step) {
  const bool HasUnreported = mayBeOnWorkersOf(J, Pass.UnreportedServices);
  const bool HasPendingReport = mayBeOnWorkersOf(J, Pass.ReportPendingServices);
  uint32_t Count = 0;
  const uint32_t MaxRuns = mayHaveSecondRuns(Pass.Cell, Step) ? 2 : 1;
  for (const TaskState &Task : Step.Tasks) {
    const uint32_t Known = (Task.AssignedWorker ? 1 : 0) + (Task.Copy.On ? 1 : 0);
    const uint32_t Possible = Task.Done ? MaxRuns - 1 : MaxRuns;
    if (Known < Possible && ((Task.MayRunOnUnreportedWorker && HasUnreported) ||
                             (Task.MayBeStartedByPredecessor && HasPendingReport)))
      Count += Possible - Known;
  }
  return Count;
}

// The total capacity of all unreported workers; empty if the capacity of one is not known.
std::optional<Resources> unreportedCapacity(const CellState &Cell) {
  Resources Sum;
  for (const auto &[Id, Service] : Cell.UnreportedWorkers) {
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

// After a takeover, all old tasks of an organisation that no worker has reported may be running,
// but no more than fit the unreported workers. Without the second bound an organisation with a
// backlog could start nothing until the last worker has reported or its lease has expired.
void chargeUnreported(PlacementPass &Pass) {
  for (auto &[Name, Org] : Pass.Cell.Organisations)
    Org.UnreportedUsage = {};
  if (Pass.Cell.UnreportedWorkers.empty())
    return;
  for (auto &[Id, J] : Pass.Cell.Jobs)
    for (auto &[Number, Round] : J.Rounds)
      for (const StepState &Step : Round.Steps)
        if (J.Owner && (Step.OpenTasks > 0 || mayHaveSecondRuns(Pass.Cell, Step)))
          J.Owner->UnreportedUsage += Step.Spec->Need * countUnreportedRuns(Pass, J, Step);
  const std::optional<Resources> Limit = unreportedCapacity(Pass.Cell);
  for (auto &[Name, Org] : Pass.Cell.Organisations)
    if (Limit)
      Org.UnreportedUsage = componentMin(Org.UnreportedUsage, *Limit);
}

} // namespace valveshelf::sched
