// SPDX-License-Identifier: Apache-2.0
// Describes a live job as JSON, to show operators why its tasks wait.
#include "valveshelf/cell_records.h"

#include <boost/json.hpp>

#include <algorithm>

namespace valveshelf::sched {
namespace json = boost::json;

namespace {
constexpr const char *PhaseNames[] = {"planned", "starting", "uncertain", "running", "stopping"};

json::object explainTask(const StepState &Step, uint32_t Index, TimePoint Now) {
  const TaskState &Task = Step.Tasks[Index];
  json::object Text{{"task", Index}, {"done", Task.Done}};
  if (!Task.FailedRuns.empty())
    Text["failed_runs"] = Task.FailedRuns.size();
  if (Task.NotBefore > Now)
    Text["may_start_in_ms"] =
        std::chrono::duration_cast<Milliseconds>(Task.NotBefore - Now).count();
  if (Task.HasEndedDone)
    Text["has_ended_done"] = true;
  if (Task.StartupCrashes > 0 || Task.WeightedCrashes > 0) {
    Text["crashes_of_workers_as_it_began"] = Task.StartupCrashes;
    Text["crashes_of_workers_under_it"] = Task.WeightedCrashes;
  }
  if (!Task.AssignedWorker)
    return Text;
  if (Task.Copy.On) {
    Text["copy_worker"] = Task.Copy.On->Info.Id;
    Text["copy_run"] = Task.Copy.Run;
  }
  Text["worker"] = Task.AssignedWorker->Info.Id;
  Text["run"] = Task.Run;
  const auto Found = Task.AssignedWorker->Attempts.find({{Step.Key, Index}, Task.Run});
  if (Found == Task.AssignedWorker->Attempts.end())
    return Text;
  Text["phase"] = PhaseNames[static_cast<int>(Found->second.Phase)];
  const auto MillisSince = [&](TimePoint When) {
    return std::chrono::duration_cast<Milliseconds>(Now - When).count();
  };
  // What the attempt waits for: a report of its worker or, without an answer, the end of the lease.
  const Worker &On = *Task.AssignedWorker;
  if (On.IsEarlierLife)
    Text["waits_for"] = "a report of its worker, which has started again";
  Text["worker_answers"] = On.IsResponsive;
  if (On.ReportAskedAt != TimePoint{})
    Text["worker_reported_ms_ago"] = MillisSince(On.ReportAskedAt);
  Text["lease_left_ms"] = -MillisSince(On.LeaseEnd);
  Text["percent"] = Found->second.Percent;
  Text["since_ms"] = MillisSince(Found->second.PhaseSince);
  return Text;
}

// Counts the workers by the first condition that excludes them, and those that are eligible.
json::object explainWorkers(const CellState &Cell, const Job &Of, const StepState &Step,
                            TimePoint Now) {
  int64_t ServesOtherService = 0;
  int64_t Unresponsive = 0;
  int64_t DrainingOrUnlisted = 0;
  int64_t Evacuated = 0;
  int64_t Quarantined = 0;
  int64_t IsolatedStart = 0;
  int64_t AdvisedAgainst = 0;
  int64_t AdviceNotRequested = 0;
  int64_t WithoutCapacity = 0;
  int64_t Eligible = 0;
  for (const auto &[Id, On] : Cell.Workers) {
    if (On.IsEarlierLife)
      continue;
    if (On.Info.Service != Of.Services.Current)
      ++ServesOtherService;
    else if (!On.HasReported || !On.IsResponsive)
      ++Unresponsive;
    else if (!On.Listed || On.Info.Draining)
      ++DrainingOrUnlisted;
    else if (On.InEvacuatedZone)
      ++Evacuated;
    else if (On.QuarantinedUntil > Now)
      ++Quarantined;
    else if (On.IsolatedStarts > 0)
      ++IsolatedStart;
    else if (Of.Spec->Advice && !hasAdviceOn(Step, On))
      ++AdviceNotRequested;
    else if (Of.Spec->Advice && !findPermit(Step, On))
      ++AdvisedAgainst;
    else if (!fits(Step.Spec->Need, On.Info.Capacity - On.Booked - On.Planned))
      ++WithoutCapacity;
    else
      ++Eligible;
  }
  return {{"of_another_service", ServesOtherService},
          {"silent", Unresponsive},
          {"leaving", DrainingOrUnlisted},
          {"in_an_evacuated_zone", Evacuated},
          {"set_aside", Quarantined},
          {"with_a_run_that_begins_apart", IsolatedStart},
          {"advice_not_asked", AdviceNotRequested},
          {"advised_against", AdvisedAgainst},
          {"without_room", WithoutCapacity},
          {"possible", Eligible}};
}
} // namespace

namespace {
std::string waitReason(const StepState &Step) {
  if (!Step.Queued || !Step.Queued->LeftOut)
    return Step.WaitReason;
  const std::string LeftOut = "its service is overloaded, and steps that can be on time go first";
  return Step.WaitReason.empty() ? LeftOut : LeftOut + "; " + Step.WaitReason;
}
} // namespace

std::string explainJob(const CellState &Cell, JobId Id, TimePoint Now) {
  const auto Found = Cell.Jobs.find(Id);
  if (Found == Cell.Jobs.end())
    return {};
  const Job &Of = Found->second;
  json::array Steps;
  for (const auto &[Number, Round] : Of.Rounds)
    for (const StepState &Step : Round.Steps) {
      json::array Tasks;
      for (uint32_t I = 0; I < Step.Tasks.size(); ++I)
        Tasks.push_back(explainTask(Step, I, Now));
      json::object Text{{"step", toString(Step.Key)},
                        {"open", Step.OpenTasks},
                        {"booked", Step.BookedTasks},
                        {"gang", Step.Spec->Gang},
                        {"waits_for", waitReason(Step)},
                        {"expected_ms", Step.Timing.Expected.count()},
                        {"expected_from", toString(Step.Timing.Source)},
                        {"advice_pending", Step.Advice.OutstandingRequests > 0},
                        {"workers", explainWorkers(Cell, Of, Step, Now)},
                        {"tasks", std::move(Tasks)}};
      if (Step.RunnableSince != TimePoint{})
        Text["runnable_for_ms"] =
            std::chrono::duration_cast<Milliseconds>(Now - Step.RunnableSince).count();
      Steps.push_back(std::move(Text));
    }
  const auto Objective = std::chrono::duration_cast<Milliseconds>(Of.Objective - Now);
  return json::serialize(json::object{{"job", jobIdText(Id)},
                                      {"queue", Of.Spec->Queue},
                                      {"service", Of.Services.Current},
                                      {"priority", Of.Spec->Priority},
                                      {"objective_in_ms", Objective.count()},
                                      {"scheduler_term", Cell.Fence},
                                      {"steps", std::move(Steps)}});
}

std::string slowestWorkers(const CellState &Cell, size_t Most) {
  std::vector<std::pair<double, const Worker *>> Slow;
  for (const auto &[Id, On] : Cell.Workers)
    if (On.Speed == SpeedBand::Slow)
      Slow.emplace_back(learnedSpeed(Cell, On), &On);
  const size_t Count = std::min(Most, Slow.size());
  std::partial_sort(Slow.begin(), Slow.begin() + static_cast<ptrdiff_t>(Count), Slow.end(),
                    [](const auto &A, const auto &B) {
                      return std::tie(A.first, A.second->Info.Id) <
                             std::tie(B.first, B.second->Info.Id);
                    });
  json::array Rows;
  for (size_t I = 0; I < Count; ++I)
    Rows.push_back(json::object{{"worker", Slow[I].second->Info.Id},
                                {"machine", Slow[I].second->Info.Machine},
                                {"service", Slow[I].second->Info.Service},
                                {"speed", Slow[I].first}});
  return json::serialize(Rows);
}

} // namespace valveshelf::sched
