// SPDX-License-Identifier: Apache-2.0
// A discrete-event simulation of the scheduler's decisions under a load: no connections, no
// processes, and a clock that jumps from event to event. Workers, the advice service and the store
// are simple models, so that runs are deterministic.
#pragma once

#include "valveshelf/cell_state.h"

#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace valveshelf::sched {

/// Workers of one service.
struct ReplayWorkers {
  std::string Service;
  int Count = 0;
  Resources Size;
};

/// The simulated cell.
struct ReplaySetting {
  int Workers = 100;
  Resources WorkerSize{64000, 262144, 0};
  uint32_t Lanes = 100;              ///< Concurrent advice requests that the scheduler assumes,
  uint32_t DeadLanes = 0;            ///< of which this many never answer and are not used.
  Milliseconds OrderLatency{2};      ///< From an order to its answer.
  Milliseconds TicketLifetime{1500}; ///< How long a ticket is valid.
  Milliseconds FaultyRunTime{20};    ///< A run on a faulty worker fails after this time.
  uint64_t Seed = 1;
  std::vector<ReplayWorkers> Groups; ///< In place of Workers and WorkerSize unless empty.
  Features InForce;
};

/// A kind of job.
struct ReplayKind {
  int Priority = 0;
  StepSpec Step;
  double CriticalPathFactor = 2;
  Milliseconds Target{1000};
  double EligibleShare = 1; ///< Fraction of the workers for which advice allows the step.
  std::chrono::duration<double, std::milli> AdviceBaseTime{0};
  double AdvicePerWorkerMs = 0;
  std::string Organisation; ///< Empty: none.
  std::string Service = "pool";
  uint32_t Steps = 1;       ///< A chain of this many steps like `Step`.
  Milliseconds Work{0};     ///< Time of a task on a worker of speed 1; 0: the estimate.
  double LongRunShare = 0;  ///< Fraction of the runs of single tasks that take longer,
  double LongRunFactor = 1; ///< by this factor.
};

/// The outcome of one job.
struct ReplayedJob {
  std::string Kind;
  TimePoint SubmittedAt{};
  TimePoint FirstStart{}; ///< When the first start was confirmed; zero: never.
  TimePoint Ended{};
  JobPhase Phase = JobPhase::Live;
  TimePoint Objective{}; ///< By the work of its tasks if that is given, else as in the scheduler.
  uint32_t Stops = 0;    ///< Stop orders.
  uint32_t Failures = 0;
  uint32_t Questions = 0;
  uint32_t WorkersNamed = 0; ///< In all its questions.
  /// By step: from the time it could run to its first answer.
  std::vector<Milliseconds> FirstAnswerDelays;
};

class LoadReplay {
public:
  explicit LoadReplay(ReplaySetting Setting);
  /// Submits one job of \p Kind at \p At from the start. \p Name identifies it in the results.
  void submit(Milliseconds At, const std::string &Name, const ReplayKind &Kind);
  /// Sets the quotas and shares of organisations.
  void configure(const CellConfiguration &Config) { applyConfiguration(Cell, Config); }
  /// Sets the features in force.
  void enable(const Features &InForce) {
    Cell.Services.insert("pool");
    applyFeatures(Cell, InForce);
  }
  /// Sets the speed of \p Share random workers to \p Slow and that of the others to \p Other.
  void setSpeeds(double Share, double Slow, double Other);
  /// From \p At until \p Until all runs on \p Count random workers fail after FaultyRunTime.
  void makeFaulty(Milliseconds At, Milliseconds Until, int Count);
  /// Runs the simulation until \p At from the start.
  void runUntil(Milliseconds At);

  std::vector<ReplayedJob> jobs(const std::string &Kind) const;
  const CellState &cell() const { return Cell; }
  const std::vector<Effects::ForecastError> &forecastErrors() const { return ForecastErrors; }

private:
  struct Run {
    std::string Worker;
    TimePoint WorkStartedAt{}; ///< Zero while it waits for its gang.
    Milliseconds TotalTime{0}; ///< Duration of its work.
    double Speed = 1;          ///< Of its worker.
  };
  void addWorker(const ReplayWorkers &Group);
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
  std::vector<std::string> shuffledWorkers() const;
  Milliseconds timeOn(const ReplayKind &Kind, const std::string &Worker, Milliseconds Saved) const;

  const ReplaySetting Setting;
  CellState Cell;
  const TimePoint ReplayStart = TimePoint{} + std::chrono::seconds(1000);
  TimePoint Now = ReplayStart;
  uint64_t LastEvent = 0;
  std::map<std::pair<TimePoint, uint64_t>, std::function<void()>> Events;
  std::map<RunKey, Run> Runs; ///< Working, or waiting for their gang.
  /// By gang run: the members that have started.
  std::map<std::pair<StepKey, uint32_t>, std::set<uint32_t>> StartedMembers;
  std::map<TaskKey, Milliseconds> SavedWork;      ///< Progress saved by stopped runs.
  std::map<std::string, uint64_t> LastEndNumbers; ///< By worker.
  std::map<JobId, ReplayKind> Kinds;
  std::map<JobId, ReplayedJob> Results;
  /// Pending advice requests, each with its sort key: whether it is late, whether it is no first
  /// question, its priority, and whether its job has not begun.
  std::vector<std::pair<std::tuple<bool, bool, int, bool>, Effects::AdviceRequest>> Questions;
  std::vector<Effects::ForecastError> ForecastErrors; ///< Of all jobs started so far.
  uint32_t LanesInUse = 0;
  std::map<std::string, uint32_t> LanesOfService; ///< In use, by `AdviceRequest::Service`.
  std::map<std::string, std::pair<TimePoint, TimePoint>> FaultyPeriods;
  std::map<std::string, double> Speeds; ///< By worker; 1 if it is absent.
  bool PassScheduled = false;
  JobId LastJob = 0;
  uint64_t Revision = 0;
};

/// The \p Fraction quantile (0 to 1) of \p Values; zero if there are none.
Milliseconds quantile(std::vector<Milliseconds> Values, double Fraction);
/// Time from submission to first start, for each job that was started.
std::vector<Milliseconds> startDelays(const std::vector<ReplayedJob> &Jobs);
/// Time from when a step could run to its first answer, for each step that got one.
std::vector<Milliseconds> firstAnswerDelays(const std::vector<ReplayedJob> &Jobs);
/// Number of jobs that were complete by their objective.
size_t countInTime(const std::vector<ReplayedJob> &Jobs);

} // namespace valveshelf::sched
