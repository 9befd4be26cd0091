// SPDX-License-Identifier: Apache-2.0
// A model of run times, learned from runs that have ended: how long the tasks of a queue take given
// their callers' estimates, and how fast each worker is relative to the others.
//
// Times are modelled by their logarithms. The time of a run is the sum of its task's expectation
// and the deviation of its worker; each is learned from what the other leaves unexplained.
// Estimates of callers that carry no information are replaced by the mean of the queue; good ones
// are kept.
#pragma once

#include "valveshelf/clock.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace valveshelf::sched {

/// How long a run is expected to take.
struct RunTime {
  Milliseconds Expected{0};
  double Spread = 0; ///< Standard deviation of the logarithm of the time; 0: unknown.
  friend bool operator==(const RunTime &, const RunTime &) = default;
};

/// What an expected run time is derived from.
enum class RunTimeSource : uint8_t {
  Estimate, ///< The caller's estimate: too little is known.
  Queue,    ///< The runs of the queue, given the estimate.
  Siblings, ///< The median of the step's ended tasks.
};
std::string_view toString(RunTimeSource Source);

/// Classes of worker speed; a smaller one is preferred.
enum class SpeedBand : uint8_t { Fast, Ordinary, Slow };
std::string_view toString(SpeedBand Band);

/// Regression of the logarithm of the run time (ms) on that of the estimate, by exponentially
/// weighted moments.
struct QueueRunTimes {
  double Weight = 0; ///< Of the observed runs, at LastAt.
  double MeanEstimate = 0;
  double MeanTime = 0;
  double EstimateVariance = 0;
  double Covariance = 0;
  double Spread = 1; ///< Of the deviations from the expectation.
  TimePoint LastAt{};
};

/// Logarithms of the ratio of observed to expected time in the last runs on a worker.
struct WorkerSpeed {
  static constexpr size_t MaxRuns = 15;
  std::array<float, MaxRuns> Deviations{};
  uint8_t Count = 0; ///< Valid entries of Deviations.
  uint8_t Next = 0;  ///< Index of the entry to be replaced next.
  SpeedBand Band = SpeedBand::Ordinary;
  TimePoint LastAt{};
};

/// Bounded: at most `MaxQueues` queues and `MaxSpeeds` workers.
struct RunTimeModel {
  static constexpr size_t MaxQueues = 1000;
  static constexpr size_t MaxSpeeds = 16000;
  std::map<std::string, QueueRunTimes, std::less<>> Queues;
  /// By machine, or by worker where the machine is unknown, so that another incarnation on the same
  /// machine inherits the speed.
  std::unordered_map<std::string, WorkerSpeed> Workers;
  uint64_t Changes = 0;     ///< Incremented with each observation.
  uint32_t SlowWorkers = 0; ///< Workers of the cell whose band is `Slow`.
  bool IsUneven = false;    ///< Many of the workers are slow.
  TimePoint NextRefresh{};
};

/// The run time expected for a task of the queue, and what it is derived from. \p Estimate is
/// returned as it is while too little is known of the queue. Zero \p Estimate: the caller gave
/// none.
std::pair<RunTime, RunTimeSource> expectedOfQueue(const RunTimeModel &Model, std::string_view Queue,
                                                  Milliseconds Estimate, TimePoint Now);
/// The logarithm of the run time (ms) that workers are compared with: as learned, without regard to
/// the estimate's own value where few runs are known. Empty while too little is known; otherwise
/// all workers would seem slow in a queue whose estimates are too short.
std::optional<double> comparableLog(const RunTimeModel &Model, std::string_view Queue,
                                    Milliseconds Estimate, TimePoint Now);
/// The learned ratio of run times to estimates in the queue; 1 while too little is known.
double runTimeRatio(const RunTimeModel &Model, std::string_view Queue, TimePoint Now);
/// The deviation of a worker: the logarithm of its run times relative to an ordinary worker's; 0 if
/// too little is known.
double deviationOf(const WorkerSpeed &Speed, TimePoint Now);
double deviationOf(const RunTimeModel &Model, const std::string &Worker, TimePoint Now);
/// Median absolute distance of the worker's deviations from their median.
double deviationSpread(const WorkerSpeed &Speed);
/// The band of a worker, given its current one: a band is left at a smaller deviation than it is
/// entered, so that noise does not make it alternate.
SpeedBand bandOf(const WorkerSpeed &Speed, TimePoint Now);

/// One observed run, for the model of its queue.
struct ObservedTime {
  std::string_view Queue;
  Milliseconds Estimate{0}; ///< 0: none.
  Milliseconds Time{0};
  double WorkerDeviation = 0; ///< As known before the run.
  uint32_t Tasks = 1;         ///< Of its step. Tasks of one step are alike and count less each.
};
void learnQueue(RunTimeModel &Model, const ObservedTime &Observed, TimePoint Now);
/// Notes the deviation of one run on a worker from its expectation, as a logarithm.
void learnWorker(RunTimeModel &Model, const std::string &Worker, double Deviation, TimePoint Now);
/// Removes queues and workers that were not observed for so long that nothing is known of them.
void forgetOld(RunTimeModel &Model, TimePoint Now);

/// The median of \p Values, which must not be empty.
double medianOf(std::vector<double> Values);

/// Expected run time of a step's tasks, and the tasks that have ended.
struct StepTiming {
  struct EndedTask {
    uint32_t Slot = 0;   ///< Of its worker.
    float LogTime = 0;   ///< Logarithm of its time in ms.
    float Deviation = 0; ///< Of its worker, as known when it ended.
  };
  Milliseconds Expected{0}; ///< Of one task on an ordinary worker.
  RunTimeSource Source = RunTimeSource::Estimate;
  std::vector<EndedTask> Ended; ///< Whose deviations have not been learned yet.
  Milliseconds Observed{0};     ///< Median of the tasks whose deviations were learned; 0: none.
};

} // namespace valveshelf::sched
