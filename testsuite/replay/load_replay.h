// SPDX-License-Identifier: Apache-2.0
// Plays a load against the scheduler's decisions alone: no connections, no processes, and a clock
// that jumps from event to event. Workers, the advice service and the store are simple models, so
// that a run says what the decisions do with a load and repeats exactly.
#pragma once

#include "valveshelf/cell_state.h"

#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace valveshelf::sched {

/// What the cell around the decisions is like.
struct ReplaySetting {
  int Workers = 100;
  Resources WorkerSize{64000, 262144, 0};
  uint32_t Lanes = 100;         ///< Questions that can be asked at a time, as the cell knows it;
  uint32_t DeadLanes = 0;       ///< so many of them get no answer any more and are left out.
  Milliseconds OrderLatency{2}; ///< From an order to its answer.
  Milliseconds TicketLifetime{1500}; ///< How long a ticket holds.
  Milliseconds FaultyRunTime{20};    ///< A run on a sick worker fails after this time.
  uint64_t Seed = 1;
};

/// A kind of work that is handed in.
struct ReplayKind {
  int Priority = 0;
  StepSpec Step;
  double CriticalPathFactor = 2;
  Milliseconds Target{1000};
  double EligibleShare = 1; ///< Part of the workers that advice lets a step run on.
  Milliseconds AdviceBaseTime{0};
  double AdvicePerWorkerMs = 0;
  std::string Organisation; ///< Empty: nobody's.
};

/// What became of one job.
struct ReplayedJob {
  std::string Kind;
  TimePoint SubmittedAt{};
  TimePoint FirstStart{}; ///< When the first order was confirmed; zero: never.
  TimePoint Ended{};
  JobPhase Phase = JobPhase::Live;
  TimePoint Objective{};
  uint32_t Stops = 0;    ///< Runs that were stopped by order.
  uint32_t Failures = 0; ///< Runs that failed.
  uint32_t Questions = 0;
};

class LoadReplay {
public:
  explicit LoadReplay(ReplaySetting Setting);
  /// Hands in one job of \p Kind at \p At after the start; its name is for the results only.
  void submit(Milliseconds At, const std::string &Name, const ReplayKind &Kind);
  /// What organisations may have and hand in.
  void configure(const CellConfiguration &Config) { applyConfiguration(Cell, Config); }
  /// From \p At until \p Until all runs on \p Count workers fail at once.
  void makeFaulty(Milliseconds At, Milliseconds Until, int Count);
  /// Plays until \p At after the start.
  void runUntil(Milliseconds At);

  std::vector<ReplayedJob> jobs(const std::string &Kind) const;
  const CellState &cell() const { return Cell; }

private:
  struct Run {
    std::string Worker;
    TimePoint WorkStartedAt{}; ///< When its work began; zero: it waits for its gang.
    Milliseconds TotalTime{0}; ///< That its work takes.
  };
  void after(Milliseconds Time, std::function<void()> What);
  void placeSoon();
  void apply(Effects &Out);
  void startRun(const Effects::Start &Order);
  void beginWork(const RunKey &Key, Milliseconds Time, RunOutcome How);
  WorkerReport reportOf(const std::string &Worker, const RunKey &Ended, RunOutcome How);
  void endRun(const RunKey &Key, RunOutcome How);
  void dispatchQuestions();
  void answer(const Effects::AdviceRequest &Question);
  void saveAll();
  bool isFaulty(const std::string &Worker) const;

  const ReplaySetting Setting;
  CellState Cell;
  const TimePoint ReplayStart = TimePoint{} + std::chrono::seconds(1000);
  TimePoint Now = ReplayStart;
  uint64_t LastEvent = 0;
  std::map<std::pair<TimePoint, uint64_t>, std::function<void()>> Events;
  std::map<RunKey, Run> Runs; ///< At work or waiting for the rest of their gang.
  std::map<std::pair<StepKey, uint32_t>, std::set<uint32_t>>
      StartedMembers;                             ///< Members of gang runs.
  std::map<TaskKey, Milliseconds> SavedWork;      ///< Work that stopped runs have saved.
  std::map<std::string, uint64_t> LastEndNumbers; ///< By worker.
  std::map<JobId, ReplayKind> Kinds;
  std::map<JobId, ReplayedJob> Results;
  /// Waiting, each with what decides which is asked first: whether it is late, and its priority.
  std::vector<std::pair<std::pair<bool, int>, Effects::AdviceRequest>> Questions;
  uint32_t LanesInUse = 0;
  std::map<std::string, std::pair<TimePoint, TimePoint>> FaultyPeriods;
  bool PassScheduled = false;
  JobId LastJob = 0;
  uint64_t Revision = 0;
};

/// The value at \p Part (0 to 1) of \p Values by size; zero if there are none.
Milliseconds quantile(std::vector<Milliseconds> Values, double Fraction);
/// From handing in to the first start of each job that was started.
std::vector<Milliseconds> startDelays(const std::vector<ReplayedJob> &Jobs);
/// Jobs that were complete by their objective.
size_t countInTime(const std::vector<ReplayedJob> &Jobs);

} // namespace valveshelf::sched
