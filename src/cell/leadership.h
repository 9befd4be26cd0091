// SPDX-License-Identifier: Apache-2.0
// Leader election through the store. The process that holds the leader key runs the scheduler. The
// key lasts as long as its lease, and the term is the fencing token that workers check.
#pragma once

#include "cell/cell_view.h"
#include "cell/member_list.h"
#include "cell/scheduler_runner.h"
#include "cell/suspicion.h"
#include "valveshelf/cell_link.h"

#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace valveshelf {

/// A peer's answer about a term.
struct TermAnswer {
  std::string Member;    ///< Who answers.
  bool IsNewest = false; ///< It knows no newer term and does not schedule.
};

/// Queries to other processes and to the store router.
struct LeadershipCallbacks {
  /// Probes whether a process accepts connections at an address.
  std::function<Awaitable<ProbeResult>(Endpoint To, Milliseconds Timeout)> Probe;
  /// Asks a process whether it can schedule, and reports that the scheduler of \p FailedTerm
  /// appears to have failed; 0: none. False if there is no answer.
  std::function<Awaitable<bool>(Endpoint To, uint64_t FailedTerm)> CanSchedule;
  /// Asks a process whether \p Term is the newest that it knows or, if \p IsClaimed, tells it that
  /// this process has claimed the term. Empty if there is no answer.
  std::function<Awaitable<std::optional<TermAnswer>>(Endpoint To, uint64_t Term, bool IsClaimed)>
      AskTerm;
  /// Whether the store serves this process without a relay.
  std::function<bool()> IsStoreDirectlyReachable;
};

/// Claims leadership of the cell when it has no leader, and runs the scheduler while the claim
/// lasts. All calls must come from one strand.
class Leadership {
public:
  Leadership(const SchedulerDependencies &Tools, CellView &View, LeadershipCallbacks Callbacks);
  void start();
  /// Must be called after each change of the view.
  void viewChanged();
  /// Must be called when a new configuration has come into force.
  void configurationChanged(sched::ConfigurationPtr Now);
  /// Must be called when the set of availability zones to evacuate has changed.
  void zonesChanged(sched::EvacuatedZones Now);
  /// Must be called when a call to the scheduler has failed. If nothing listens at its address it
  /// is considered failed before its lease expires; fencing makes that safe if it is still running.
  /// Stronger members are notified, since the next leader should be one of them.
  Awaitable<void> probeLeader();
  /// Answers a peer that asks whether this process can schedule. \p ReportedTerm is the term of a
  /// scheduler that appears to have failed; 0: none.
  bool canSchedule(uint64_t ReportedTerm);
  /// Answers a peer that schedules under \p Term or, if \p IsClaimed, has claimed it: a scheduler
  /// of an earlier term in this process ends.
  TermAnswer answerTerm(uint64_t Term, bool IsClaimed);
  /// Steps down: saves pending state and ends the lease, so that another process can claim at once.
  Awaitable<void> leave();
  /// The scheduler, if it runs in this process and has loaded its state; else null.
  std::shared_ptr<SchedulerRunner> scheduler() const;

private:
  Awaitable<void> loop();
  bool mayClaim() const;
  Milliseconds ownClaimDelay() const;
  Awaitable<Result<Claim>> claim(uint64_t ExpectedRevision, uint64_t LeaseBefore);
  Awaitable<void> runTerm(Claim Own);
  std::set<std::string> memberNames() const;
  void notifyStrongerMembers(const sched::Leader &Failed);
  std::vector<sched::Member> membersByPower() const;
  Awaitable<bool> hasBetterCandidate(TimePoint TermStart);
  std::optional<TimePoint> endOf(const std::optional<sched::Leader> &Before,
                                 TimePoint DecidedAt) const;
  Awaitable<void> storeSettled(Claim Own);
  Awaitable<void> endLease(uint64_t Lease);
  Awaitable<bool> isInStoredRoster();
  Awaitable<Milliseconds> announceClaim(uint64_t Term);
  Awaitable<std::vector<TermAnswer>> askMembers(std::map<std::string, sched::Member> Members,
                                                uint64_t Term, bool IsClaimed, size_t Enough);
  Awaitable<void> confirmLoop(std::shared_ptr<SchedulerRunner> Current,
                              std::shared_ptr<MemberList> List, Claim Own);
  Awaitable<void> handOver(std::shared_ptr<SchedulerRunner> Current);

  const SchedulerDependencies Tools;
  CellView &View;
  const LeadershipCallbacks Callbacks;
  TimePoint LastHandOverAt{};
  TimePoint LastDirectlyReachable{}; ///< When the store last served this process without a relay.
  TermHistory Terms;                 ///< Changes of term that this process has seen.
  TimePoint LastConfirmedAt{};       ///< When this process last confirmed another's term.
  sched::Roster StoredRoster;        ///< As read after the last claim.
  uint64_t NewestClaim = 0; ///< The newest term known to be claimed, by this process or a peer.
  uint64_t FailedTerm = 0;  ///< Term of a scheduler that is considered failed; 0: none.
  uint64_t EndedTerm = 0;   ///< Term of a scheduler whose process has certainly ended; 0: none.
  TimePoint EndedTermAt{};  ///< When that became known.
  bool Probing = false;
  bool ProbedAtStart = false; ///< The first known scheduler has been probed.
  std::shared_ptr<SchedulerRunner> Runner;
  std::shared_ptr<MemberList> AllMembers; ///< Null unless `Runner` is set.
  sched::ConfigurationPtr Config;         ///< Null until one has been read.
  sched::EvacuatedZones Evacuated;
  uint64_t CurrentLease = 0;
  uint64_t CurrentTerm = 0; ///< Of `Runner`, or of the last one.
  bool Stopped = false;
};

} // namespace valveshelf
