// SPDX-License-Identifier: Apache-2.0
// The worker model's rules.
#include "standins/worker_model.h"

#include <algorithm>

namespace valveshelf::standins {
using namespace sched;

void WorkerModel::extend(std::optional<Milliseconds> Until) {
  if (Until)
    LeaseUntil = std::max(LeaseUntil, std::min(*Until, Now + LongestLease));
}

void WorkerModel::end(const RunKey &Run, RunOutcome How) {
  const auto Found = Runs.find(Run);
  if (Found == Runs.end())
    return;
  const std::string Checkpoint = Found->second.Checkpoint;
  Runs.erase(Found);
  uint32_t &Bar = Barred[Run.Task];
  Bar = std::max(Bar, Run.Run);
  Ended.push_back({++LastEnd, Run, How, Checkpoint});
  if (OnEnd)
    OnEnd(Run, How);
}

void WorkerModel::advance(Milliseconds To) {
  Now = std::max(Now, To);
  std::vector<std::pair<RunKey, RunOutcome>> Over;
  for (const auto &[Key, What] : Runs) {
    if (Now > LeaseUntil)
      Over.emplace_back(Key, RunOutcome::LeaseExpired);
    else if (What.StopAt && *What.StopAt <= Now)
      Over.emplace_back(Key, RunOutcome::Stopped);
    else if (!What.StopAt && What.Works && !What.Plan.Lasting &&
             Now - What.WorksSince >= What.Plan.Work)
      Over.emplace_back(Key, What.Plan.Fails ? RunOutcome::Failed : RunOutcome::Done);
  }
  for (const auto &[Key, How] : Over)
    end(Key, How);
}

StartResult WorkerModel::start(const StartOrderSeen &Order) {
  if (Order.Fence < Fence)
    return StartResult::RefusedFence;
  Fence = Order.Fence;
  if (Order.Until < Now)
    return StartResult::RefusedExpired;
  extend(Order.Until);
  if (Runs.count(Order.Run))
    return StartResult::Started;
  const auto Bar = Barred.find(Order.Run.Task);
  if (Bar != Barred.end() && Order.Run.Run <= Bar->second)
    return StartResult::RefusedStaleRun;
  Run Made;
  Made.Plan = PlanOf ? PlanOf(Order.Run) : RunPlan{};
  Made.StartedAt = Made.WorksSince = Now;
  Made.Checkpoint = Order.Checkpoint;
  Made.Works = Made.Plan.GangSize == 0;
  Runs.emplace(Order.Run, std::move(Made));
  if (OnStart)
    OnStart(Order.Run);
  return StartResult::Started;
}

bool WorkerModel::stop(const RunKey &Run, uint64_t OrderFence) {
  if (OrderFence < Fence)
    return false;
  Fence = OrderFence;
  uint32_t &Bar = Barred[Run.Task];
  Bar = std::max(Bar, Run.Run);
  const auto Found = Runs.find(Run);
  if (Found != Runs.end() && !Found->second.StopAt)
    Found->second.StopAt = Now + StopTime;
  return true;
}

std::optional<WorkerReport> WorkerModel::hold(uint64_t OrderFence, uint64_t ForgetThrough,
                                              std::optional<Milliseconds> Until) {
  if (OrderFence < Fence)
    return std::nullopt;
  Fence = OrderFence;
  extend(Until);
  std::erase_if(Ended, [&](const EndedRun &End) { return End.Number <= ForgetThrough; });
  WorkerReport Report;
  Report.WorkerClock = Now;
  for (const auto &[Key, What] : Runs) {
    const int Percent = What.Plan.Lasting
                            ? 100
                            : static_cast<int>(100 * (Now - What.WorksSince).count() /
                                               std::max<int64_t>(1, What.Plan.Work.count()));
    Report.Active.push_back({Key, What.Checkpoint, What.Works ? Percent : 0});
  }
  const size_t Listed = std::min(Ended.size(), MaxListedEnds);
  Report.Ended.assign(Ended.begin(), Ended.begin() + static_cast<std::ptrdiff_t>(Listed));
  // A full list does not tell whether there are further ends.
  Report.HasMoreEnds = Listed == MaxListedEnds;
  return Report;
}

} // namespace valveshelf::standins
