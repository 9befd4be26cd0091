// SPDX-License-Identifier: Apache-2.0
// A worker as the platform's pages describe it: fences, a lease on its own clock, runs, ends until
// they are let go, runs that can't come any more. A plain model driven by time; tests, the fuzz and
// the stand-in process use it.
#pragma once

#include "valveshelf/workload.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace valveshelf::standins {

struct StartOrderSeen {
  sched::RunKey Run;
  uint64_t Fence = 0;
  Milliseconds Until{0};
  std::string Checkpoint;
};

/// What a run does: decided by the one who owns the model.
struct RunPlan {
  Milliseconds Work{100};
  bool Fails = false;    ///< It ends failed when its work is done.
  uint32_t GangSize = 0; ///< 0: no gang.
  bool Lasting = false;
};

struct WorkerModel {
  struct Run {
    RunPlan Plan;
    Milliseconds StartedAt{0};
    std::string Checkpoint;
    std::optional<Milliseconds> StopAt; ///< It is being stopped and ends then.
    bool Works = true;                  ///< A gang member works once all are present.
    Milliseconds WorksSince{0};
  };

  std::string Id;
  Milliseconds Now{0}; ///< Its own steady clock.
  Milliseconds StopTime{50};
  Milliseconds LongestLease{6000};
  size_t MaxListedEnds = 500; ///< The others follow once these may be forgotten.
  uint64_t Fence = 0;
  Milliseconds LeaseUntil{0};
  std::map<sched::RunKey, Run> Runs;
  std::vector<sched::EndedRun> Ended;
  std::map<sched::TaskKey, uint32_t> Barred; ///< This run and lower ones can't start (again).
  uint64_t LastEnd = 0;
  std::function<RunPlan(const sched::RunKey &)> PlanOf;
  std::function<void(const sched::RunKey &, sched::RunOutcome)> OnEnd;
  std::function<void(const sched::RunKey &)> OnStart;

  /// Lets time pass up to \p To.
  void advance(Milliseconds To);
  sched::StartResult start(const StartOrderSeen &Order);
  /// False: refused by the fence.
  bool stop(const sched::RunKey &Run, uint64_t OrderFence);
  /// Empty: refused by the fence.
  std::optional<sched::WorkerReport> hold(uint64_t OrderFence, uint64_t ForgetThrough,
                                          std::optional<Milliseconds> Until);
  /// Gang members elsewhere are told by whoever owns all models.
  void end(const sched::RunKey &Run, sched::RunOutcome How);

private:
  void extend(std::optional<Milliseconds> Until);
};

} // namespace valveshelf::standins
