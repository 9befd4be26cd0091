// SPDX-License-Identifier: Apache-2.0
// Gangs: all members are planned together and started in one pass once every member has its
// resources and its ticket.
#include "scheduler/crashes.h"
#include "scheduler/pass.h"

#include <algorithm>

namespace valveshelf::sched {
namespace {
// Pause before the next plan after one that was dropped.
constexpr Milliseconds ReplanPause{100};
// Members of a long-running gang that has lost others are stopped if they have not ended by then.
constexpr Milliseconds RestOfGangTimeout{1000};

// A worker and the number of the gang's tasks that fit there.
struct GangCandidate {
  Worker *W = nullptr;
  bool HasStartups = false; ///< It has runs in startup, and the gang must not start beside them.
  int64_t FreeTasks = 0;    ///< In its free capacity.
  int64_t MaxTasks = 0;     ///< With preemption, if the plan may preempt.
};

std::vector<GangCandidate> findGangCandidates(PlacementPass &Pass, const Job &J,
                                              const StepState &Step, bool Preempts) {
  std::vector<GangCandidate> Found;
  int64_t Limit = Step.Spec->Count;
  if (Step.Spec->MaxPerWorker > 0)
    Limit = std::min<int64_t>(Limit, Step.Spec->MaxPerWorker);
  const Resources Need = needOf(Step);
  const bool IsIsolated = hasIsolatedMembers(Step);
  std::set<const Worker *> Avoided;
  for (const TaskState &Task : Step.Tasks)
    if (Task.FailedOn && hasRecentlyFailedOn(Pass, Task, *Task.FailedOn))
      Avoided.insert(Task.FailedOn);
  forEachAdvisedWorker(Pass, J, Step, [&](Worker &W) {
    if (!isUsable(Pass, W, J, Step) || Avoided.count(&W) || !canPlan(Pass, J, Step, W))
      return;
    if (IsIsolated && W.Planned != Resources{})
      return;
    const Resources Room = freeCapacityFor(Pass, W, J, Step);
    const bool HasStartups = IsIsolated && !hasNoOtherStartups(W);
    GangCandidate Candidate{&W, HasStartups, countFitting(Need, Room, Limit), 0};
    Candidate.MaxTasks = Candidate.FreeTasks;
    if (Preempts)
      Candidate.MaxTasks =
          countFitting(Need, Room + preemptibleResources(Pass, W, J.Spec->Priority), Limit);
    if (Candidate.MaxTasks > 0)
      Found.push_back(Candidate);
  });
  return Found;
}

int64_t totalTasks(const std::vector<GangCandidate> &Candidates) {
  int64_t Sum = 0;
  for (const GangCandidate &Candidate : Candidates)
    Sum += Candidate.MaxTasks;
  return Sum;
}

// The candidates of one rack if the gang prefers a single rack and one is large enough, else all.
std::vector<GangCandidate> preferOneRack(const StepState &Step,
                                         const std::vector<GangCandidate> &Candidates) {
  std::map<std::string, std::vector<GangCandidate>> Racks;
  for (const GangCandidate &Candidate : Candidates)
    Racks[Candidate.W->Info.Rack].push_back(Candidate);
  if (const auto Near = Racks.find(Step.Spec->PreferredRack);
      Near != Racks.end() && totalTasks(Near->second) >= Step.Spec->Count)
    return Near->second;
  if (Step.Spec->SameRack)
    for (auto &[Rack, InRack] : Racks)
      if (totalTasks(InRack) >= Step.Spec->Count)
        return InRack;
  return Candidates;
}

void planGang(PlacementPass &Pass, const Job &J, StepState &Step,
              std::vector<GangCandidate> Candidates, bool Preempts) {
  // Workers beside whose runs the gang need not wait first, then most free capacity, which needs
  // the fewest workers and the least preemption.
  std::sort(Candidates.begin(), Candidates.end(),
            [](const GangCandidate &A, const GangCandidate &B) {
              return std::tuple(B.HasStartups, A.FreeTasks, A.MaxTasks) >
                     std::tuple(A.HasStartups, B.FreeTasks, B.MaxTasks);
            });
  uint32_t Run = std::max(Pass.Cell.FirstRun, Step.GangRun + 1);
  for (uint32_t I = 0; I < Step.Tasks.size(); ++I)
    Run = std::max(Run, nextRun(Pass.Cell, Step, I));
  Step.GangRun = Run;
  Step.PlannedAt = Pass.Now;
  uint32_t NextTask = 0;
  std::vector<Worker *> Workers;
  for (const GangCandidate &Candidate : Candidates) {
    for (int64_t I = 0; I < Candidate.MaxTasks && NextTask < Step.Tasks.size(); ++I)
      book(Pass.Cell, Step, NextTask++, *Candidate.W, Run, AttemptPhase::Planned, J, Pass.Now);
    Workers.push_back(Candidate.W);
    if (NextTask == Step.Tasks.size())
      break;
  }
  if (Preempts)
    for (Worker *W : Workers)
      preemptFor(Pass, *W, J.Spec->Priority);
}

void dropPlan(PlacementPass &Pass, StepState &Step) {
  for (uint32_t I = 0; I < Step.Tasks.size(); ++I)
    if (Worker *W = Step.Tasks[I].AssignedWorker)
      dropPlanned(Pass.Cell, *W, {{Step.Key, I}, Step.Tasks[I].Run}, Pass.Out);
  for (TaskState &Task : Step.Tasks)
    Task.NotBefore = Pass.Now + ReplanPause;
}

// Null if each member may be started now, else why not. Calls `whyNotStartNow` for every member in
// any case, so that all records are written and all reports requested at the same time.
const char *whyNotLaunch(PlacementPass &Pass, const StepState &Step) {
  const char *Reason = nullptr;
  for (uint32_t I = 0; I < Step.Tasks.size(); ++I)
    if (const char *OfMember = whyNotStartNow(Pass.Cell, {{Step.Key, I}, Step.GangRun},
                                              *Step.Tasks[I].AssignedWorker, Pass.Now, Pass.Out))
      Reason = OfMember;
  return Reason;
}

// The planned attempts of the gang on the worker that are to be started in isolation.
uint32_t countIsolatedStarts(const StepState &Step, const Worker &W) {
  uint32_t Count = 0;
  for (uint32_t I = 0; I < Step.Tasks.size(); ++I)
    if (Step.Tasks[I].AssignedWorker == &W)
      Count += W.Attempts.at({{Step.Key, I}, Step.GangRun}).IsIsolatedStart ? 1 : 0;
  return Count;
}

// Starts a planned gang if every member has its resources and its ticket. Returns false if not.
bool launchGang(PlacementPass &Pass, const Job &J, StepState &Step) {
  std::set<Worker *> Workers;
  for (const TaskState &Task : Step.Tasks)
    Workers.insert(Task.AssignedWorker);
  // Tickets that would expire before the answer are renewed in the same request. Otherwise the
  // tickets of a gang on many workers would never all be valid at the same time.
  const Milliseconds Latency = adviceLatency(Pass, J, Step, Workers.size());
  std::vector<std::string> NoTicket;
  bool HasTickets = true;
  bool HasRoom = true;
  bool IsApart = true;
  const RunKey AnyMember{{Step.Key, 0}, Step.GangRun};
  for (Worker *W : Workers) {
    const uint32_t Isolated = countIsolatedStarts(Step, *W);
    if (W->IsolatedStarts > Isolated || !isEligible(Pass, *W, J, Step)) {
      dropPlan(Pass, Step);
      return false;
    }
    IsApart = IsApart && (Isolated == 0 || hasNoOtherStartups(*W, &AnyMember, true));
    HasTickets = HasTickets && hasTicket(Pass, J, Step, *W);
    if (!hasTicket(Pass, J, Step, *W, Latency))
      NoTicket.push_back(W->Info.Id);
    Resources Needed;
    for (uint32_t I = 0; I < countTasksOn(Step, *W); ++I)
      Needed += needOf(Step);
    HasRoom = HasRoom && fits(Needed, W->Info.Capacity - W->Booked);
  }
  const char *WaitReason =
      !HasRoom      ? "its resources are not free yet"
      : !HasTickets ? "tickets are missing"
      : !IsApart ? "other runs are in startup on a worker of a member that is started in isolation"
                 : whyNotLaunch(Pass, Step);
  if (WaitReason) {
    Step.WaitReason = WaitReason;
    requestAdvice(Pass, J, Step, std::move(NoTicket));
    if (Pass.Now - Step.PlannedAt > Pass.Cell.Limits.PlanTimeout)
      dropPlan(Pass, Step);
    return false;
  }
  for (uint32_t I = 0; I < Step.Tasks.size(); ++I) {
    Worker &W = *Step.Tasks[I].AssignedWorker;
    orderStart(Pass, J, Step, I, W, W.Attempts.at({{Step.Key, I}, Step.GangRun}));
  }
  Step.WaitReason.clear();
  return true;
}

bool isPlanned(const StepState &Step) {
  const TaskState &First = Step.Tasks.front();
  if (!First.AssignedWorker || Step.BookedTasks < Step.Tasks.size())
    return false;
  const auto Found = First.AssignedWorker->Attempts.find({{Step.Key, 0}, First.Run});
  return Found != First.AssignedWorker->Attempts.end() &&
         Found->second.Phase == AttemptPhase::Planned;
}

// Stops what is left of a long-running gang that has lost members, so that it is started again as a
// whole. The platform may end the others by itself, for which there is some time.
void stopRest(PlacementPass &Pass, const Job &J, StepState &Step) {
  for (uint32_t I = 0; I < Step.Tasks.size(); ++I)
    if (!Step.Tasks[I].AssignedWorker && !isPlaceable(Pass, J, Step, I)) {
      Step.IncompleteSince = {}; // it may run on a worker that has not reported
      return;
    }
  if (Step.IncompleteSince == TimePoint{})
    Step.IncompleteSince = Pass.Now;
  if (Pass.Now - Step.IncompleteSince < RestOfGangTimeout)
    return;
  for (uint32_t I = 0; I < Step.Tasks.size(); ++I)
    if (Worker *W = Step.Tasks[I].AssignedWorker)
      stopAttempt(Pass.Cell, *W, {{Step.Key, I}, Step.Tasks[I].Run}, "its gang has lost a member",
                  Pass.Now, Pass.Out);
}

// Drops the planned members of a gang that has lost others with their worker.
void dropPartialPlan(PlacementPass &Pass, StepState &Step) {
  for (uint32_t I = 0; I < Step.Tasks.size(); ++I) {
    Worker *W = Step.Tasks[I].AssignedWorker;
    const RunKey Run{{Step.Key, I}, Step.Tasks[I].Run};
    if (W && W->Attempts.at(Run).Phase == AttemptPhase::Planned)
      dropPlanned(Pass.Cell, *W, Run, Pass.Out);
  }
}
} // namespace

bool placeGang(PlacementPass &Pass, const Job &J, StepState &Step) {
  if (isPlanned(Step))
    return launchGang(Pass, J, Step);
  if (Step.BookedTasks > 0)
    dropPartialPlan(Pass, Step);
  if (Step.BookedTasks > 0 && Step.BookedTasks < Step.Tasks.size() && Step.Spec->LongRunning)
    stopRest(Pass, J, Step);
  else
    Step.IncompleteSince = {};
  uint32_t Placeable = 0;
  for (uint32_t I = 0; I < Step.Tasks.size(); ++I)
    Placeable += isPlaceable(Pass, J, Step, I) ? 1 : 0;
  if (Step.BookedTasks > 0 || Placeable < Step.Tasks.size())
    return false;
  if (!isWithinQuota(Pass.Cell, J.Owner, minCharge(*Step.Spec))) {
    Step.WaitReason = WaitsForQuota;
    return false;
  }
  bool Preempts = false;
  std::vector<GangCandidate> Candidates = findGangCandidates(Pass, J, Step, false);
  if (totalTasks(Candidates) < Step.Spec->Count && !Step.Queued->isDeprioritized() &&
      benefitsFromPreemption(Pass, J, Step)) {
    Preempts = true;
    Candidates = findGangCandidates(Pass, J, Step, true);
  }
  if (totalTasks(Candidates) < Step.Spec->Count) {
    Step.WaitReason = "the advised workers have no room for the whole gang";
    widenSearch(Pass, J, Step);
    return false;
  }
  planGang(Pass, J, Step, preferOneRack(Step, Candidates), Preempts);
  launchGang(Pass, J, Step);
  return true;
}

} // namespace valveshelf::sched
