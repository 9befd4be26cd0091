// SPDX-License-Identifier: Apache-2.0
// Who schedules: the process whose claim stands in the store. Any process can be it; a claim holds
// as long as its lease, and its term is the fence that workers check.
#pragma once

#include "cell/cell_view.h"
#include "cell/member_list.h"
#include "cell/scheduler_runner.h"
#include "cell/suspicion.h"
#include "valveshelf/cell_link.h"

#include <memory>

namespace valveshelf {

/// What leadership asks of other processes, and of its own way to the store.
struct LeadershipCallbacks {
  /// Whether the process at an address listens.
  std::function<Awaitable<ProbeResult>(Endpoint To, Milliseconds Timeout)> Probe;
  /// Asks whether the process could schedule, and tells it that the scheduler of \p FailedTerm
  /// seems gone; 0: none does. Without an answer: false.
  std::function<Awaitable<bool>(Endpoint To, uint64_t FailedTerm)> CanSchedule;
  /// Whether the store serves this process straight.
  std::function<bool()> IsStoreDirectlyReachable;
};

/// Claims the cell when nobody has it, and runs the scheduler while the claim holds. Lives on one
/// strand.
class Leadership {
public:
  Leadership(const SchedulerDependencies &Tools, CellView &View, LeadershipCallbacks Callbacks);
  void start();
  /// The snapshot of the cell has changed.
  void viewChanged();
  /// Another configuration is in force here.
  void configurationChanged(sched::ConfigurationPtr Now);
  /// Operators want other zones empty, or none.
  void zonesChanged(sched::EvacuatedZones Now);
  /// A call to the scheduler failed. If nothing listens at its address it is taken for gone before
  /// its lease has run out; the fence makes that safe should it live on.
  /// Stronger processes are told, since the next scheduler should be one of them.
  Awaitable<void> probeLeader();
  /// A peer asks whether this process could schedule, and says whose scheduler seems gone.
  bool canSchedule(uint64_t ReportedTerm);
  /// Hands the cell over: saves what is known and gives the claim up at once.
  Awaitable<void> leave();
  /// The scheduler, if it runs here and has read the store; else null.
  std::shared_ptr<SchedulerRunner> scheduler() const;

private:
  Awaitable<void> loop();
  bool mayClaim() const;
  Milliseconds ownClaimDelay() const;
  Awaitable<Result<Claim>> claim(uint64_t ExpectedRevision);
  Awaitable<void> runTerm(Claim Own);
  std::set<std::string> memberNames() const;
  void notifyStrongerMembers(const sched::Leader &Failed);
  std::vector<sched::Member> membersByPower() const;
  Awaitable<bool> hasBetterCandidate(TimePoint TermStart);
  Awaitable<void> handOver(std::shared_ptr<SchedulerRunner> Current);

  const SchedulerDependencies Tools;
  CellView &View;
  const LeadershipCallbacks Callbacks;
  TimePoint LastHandOverAt{};
  TimePoint LastDirectlyReachable{}; ///< When the store last served this process straight.
  TermHistory Terms;                 ///< Of the cell, as this process has seen them.
  uint64_t FailedTerm = 0;           ///< The term of a scheduler that is taken for gone; 0: none.
  bool Probing = false;
  bool ProbedAtStart = false; ///< Whether the first scheduler that was read of is there.
  std::shared_ptr<SchedulerRunner> Runner;
  std::shared_ptr<MemberList> AllMembers; ///< While the runner is there.
  sched::ConfigurationPtr Config;         ///< In force here; null before the first.
  sched::EvacuatedZones Evacuated;
  uint64_t CurrentLease = 0;
  bool Stopped = false;
};

} // namespace valveshelf
