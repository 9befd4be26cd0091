// SPDX-License-Identifier: Apache-2.0
// Learns run times of queues and speeds of workers. Handles estimates that are
// off by a factor of two to ten either way, a quarter of the workers at half speed, and a few runs
// in a hundred that take many times as long as their siblings.
#include "valveshelf/run_times.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace valveshelf::sched {
namespace {
// The logarithm of 2^40 ms, the longest estimate that callers may give.
constexpr double MaxLogTime = 27.7;
// Bound of `QueueRunTimes::Weight`: older runs are forgotten by newer ones.
constexpr double MaxQueueWeight = 100;
// A queue with less weight is expected to take its callers' estimates.
constexpr double MinQueueWeight = 5;
// Workers are compared with the expectation of a queue that has at least this weight.
constexpr double MinComparableWeight = 20;
// Weight of the assumption that estimates are right on average.
constexpr double PriorWeight = 4;
// Weight, times variance of the logarithm, of the assumption that run times are proportional to
// estimates.
constexpr double PriorSlopeWeight = 1;
constexpr double MaxSlope = 1.5;
// Weight of the assumed initial spread, which lets the first runs deviate by a factor of ten.
constexpr double PriorSpreadWeight = 3;
constexpr double MinSpread = 0.1;
// A deviation counts up to this multiple of the spread, which bounds the influence of a single run.
constexpr double MaxDeviationInSpreads = 2.5;
// An unobserved queue or worker loses half of its weight in this time.
constexpr Milliseconds QueueHalfLife = std::chrono::minutes(30);
constexpr Milliseconds WorkerHalfLife = std::chrono::minutes(10);
// Fewer runs say nothing of a worker.
constexpr double MinWorkerRuns = 5;
// Weight, in runs, of the assumption that a worker is ordinary.
constexpr double PriorWorkerRuns = 2;
// Ratio of run times beyond which a worker is slow, or fast by its inverse, and the ratio that it
// has to come back to. The first is larger than what neighbours on a machine cost each other.
constexpr double BandRatio = 1.25;
constexpr double BandReturnRatio = 1.15;
// Ratio of the standard error of a median to the median absolute deviation, by the root of the
// number of values, for a normal distribution.
constexpr double MedianErrorFactor = 1.2533 * 1.4826;
// Entries below these are removed.
constexpr double ForgottenQueueWeight = 0.5;
constexpr double ForgottenWorkerRuns = 0.5;

double decay(Steady::duration Age, Milliseconds HalfLife) {
  const std::chrono::duration<double> Seconds = std::max(Age, Steady::duration::zero());
  return std::exp2(-(Seconds / std::chrono::duration<double>(HalfLife)));
}

double logOf(Milliseconds Time) {
  return std::log(static_cast<double>(std::max<int64_t>(Time.count(), 1)));
}

double weightOf(const QueueRunTimes &Known, TimePoint Now) {
  return Known.Weight * decay(Now - Known.LastAt, QueueHalfLife);
}

double runsOf(const WorkerSpeed &Speed, TimePoint Now) {
  return Speed.Count * decay(Now - Speed.LastAt, WorkerHalfLife);
}

// The logarithm of the expected time. Without an estimate it is the mean of the queue. \p Trust in
// the learned times: 0 to 1.
double expectedLog(const QueueRunTimes &Known, Milliseconds Estimate, double Weight, double Trust) {
  if (Estimate.count() <= 0)
    return Known.MeanTime;
  const double Given = logOf(Estimate);
  const double Slope = std::clamp((Known.Covariance * Weight + PriorSlopeWeight) /
                                      (Known.EstimateVariance * Weight + PriorSlopeWeight),
                                  0.0, MaxSlope);
  return Given +
         Trust * (Known.MeanTime - Known.MeanEstimate + (Slope - 1) * (Given - Known.MeanEstimate));
}

double trustIn(double Weight) { return Weight / (Weight + PriorWeight); }

std::vector<double> deviations(const WorkerSpeed &Speed) {
  return {Speed.Deviations.begin(), Speed.Deviations.begin() + Speed.Count};
}
} // namespace

std::string_view toString(RunTimeSource Source) {
  switch (Source) {
  case RunTimeSource::Estimate:
    return "estimate";
  case RunTimeSource::Queue:
    return "queue";
  case RunTimeSource::Siblings:
    return "siblings";
  }
  return "";
}

std::string_view toString(SpeedBand Band) {
  switch (Band) {
  case SpeedBand::Fast:
    return "fast";
  case SpeedBand::Ordinary:
    return "ordinary";
  case SpeedBand::Slow:
    return "slow";
  }
  return "";
}

double medianOf(std::vector<double> Values) {
  const auto Middle = Values.begin() + static_cast<ptrdiff_t>(Values.size() / 2);
  std::nth_element(Values.begin(), Middle, Values.end());
  return Values.size() % 2 != 0 ? *Middle
                                : std::midpoint(*Middle, *std::max_element(Values.begin(), Middle));
}

std::pair<RunTime, RunTimeSource> expectedOfQueue(const RunTimeModel &Model, std::string_view Queue,
                                                  Milliseconds Estimate, TimePoint Now) {
  const auto Found = Model.Queues.find(Queue);
  const double Weight = Found == Model.Queues.end() ? 0 : weightOf(Found->second, Now);
  if (Weight < MinQueueWeight)
    return {{Estimate, 0}, RunTimeSource::Estimate};
  const double Log = expectedLog(Found->second, Estimate, Weight, trustIn(Weight));
  const double Expected = std::exp(std::clamp(Log, 0.0, MaxLogTime));
  return {{Milliseconds(std::llround(Expected)), Found->second.Spread}, RunTimeSource::Queue};
}

double runTimeRatio(const RunTimeModel &Model, std::string_view Queue, TimePoint Now) {
  const auto Found = Model.Queues.find(Queue);
  const double Weight = Found == Model.Queues.end() ? 0 : weightOf(Found->second, Now);
  if (Weight < MinQueueWeight)
    return 1;
  return std::exp(trustIn(Weight) * (Found->second.MeanTime - Found->second.MeanEstimate));
}

std::optional<double> comparableLog(const RunTimeModel &Model, std::string_view Queue,
                                    Milliseconds Estimate, TimePoint Now) {
  const auto Found = Model.Queues.find(Queue);
  const double Weight = Found == Model.Queues.end() ? 0 : weightOf(Found->second, Now);
  if (Weight < MinComparableWeight)
    return std::nullopt;
  return expectedLog(Found->second, Estimate, Weight, 1);
}

double deviationSpread(const WorkerSpeed &Speed) {
  if (Speed.Count == 0)
    return 0;
  std::vector<double> Values = deviations(Speed);
  const double Middle = medianOf(Values);
  for (double &Value : Values)
    Value = std::abs(Value - Middle);
  return medianOf(std::move(Values));
}

double deviationOf(const WorkerSpeed &Speed, TimePoint Now) {
  const double Runs = runsOf(Speed, Now);
  if (Runs < MinWorkerRuns)
    return 0;
  return medianOf(deviations(Speed)) * Runs / (Runs + PriorWorkerRuns);
}

double deviationOf(const RunTimeModel &Model, const std::string &Worker, TimePoint Now) {
  const auto Found = Model.Workers.find(Worker);
  return Found == Model.Workers.end() ? 0 : deviationOf(Found->second, Now);
}

SpeedBand bandOf(const WorkerSpeed &Speed, TimePoint Now) {
  const double Deviation = deviationOf(Speed, Now);
  if (Deviation == 0)
    return SpeedBand::Ordinary;
  // The part of the deviation that is not explained by the noise of its runs.
  const double Error = MedianErrorFactor * deviationSpread(Speed) / std::sqrt(runsOf(Speed, Now));
  const double Certain = std::abs(Deviation) - Error;
  const SpeedBand Side = Deviation > 0 ? SpeedBand::Slow : SpeedBand::Fast;
  const double Least = Speed.Band == Side ? BandReturnRatio : BandRatio;
  return Certain >= std::log(Least) ? Side : SpeedBand::Ordinary;
}

void learnQueue(RunTimeModel &Model, const ObservedTime &Observed, TimePoint Now) {
  auto Found = Model.Queues.find(Observed.Queue);
  if (Found == Model.Queues.end()) {
    if (Model.Queues.size() >= RunTimeModel::MaxQueues)
      return;
    Found = Model.Queues.emplace(std::string(Observed.Queue), QueueRunTimes{}).first;
  }
  QueueRunTimes &Known = Found->second;
  const double Before = weightOf(Known, Now);
  const double Weight = 1 / std::sqrt(static_cast<double>(std::max(Observed.Tasks, 1U)));
  const double Time = logOf(Observed.Time) - Observed.WorkerDeviation;
  const bool HasEstimate = Observed.Estimate.count() > 0;
  // The first run without an estimate has nothing to deviate from.
  const double Expected = HasEstimate || Before > 0
                              ? expectedLog(Known, Observed.Estimate, Before, trustIn(Before))
                              : Time;
  const double Limit = MaxDeviationInSpreads * Known.Spread;
  const double Deviation = std::clamp(Time - Expected, -Limit, Limit);
  const double Total = std::min(Before + Weight, MaxQueueWeight);
  const double Share = Weight / Total;
  const double FromEstimate = (HasEstimate  ? logOf(Observed.Estimate)
                               : Before > 0 ? Known.MeanEstimate
                                            : Expected) -
                              Known.MeanEstimate;
  const double FromMean = Expected + Deviation - Known.MeanTime;
  Known.MeanEstimate += Share * FromEstimate;
  Known.MeanTime += Share * FromMean;
  Known.EstimateVariance =
      (1 - Share) * (Known.EstimateVariance + Share * FromEstimate * FromEstimate);
  Known.Covariance = (1 - Share) * (Known.Covariance + Share * FromEstimate * FromMean);
  const double SpreadShare = Weight / (Total + PriorSpreadWeight);
  Known.Spread = std::max(MinSpread, std::sqrt((1 - SpreadShare) * Known.Spread * Known.Spread +
                                               SpreadShare * Deviation * Deviation));
  Known.Weight = Total;
  Known.LastAt = Now;
  ++Model.Changes;
}

void learnWorker(RunTimeModel &Model, const std::string &Worker, double Deviation, TimePoint Now) {
  if (Model.Workers.size() >= RunTimeModel::MaxSpeeds && !Model.Workers.count(Worker))
    return;
  WorkerSpeed &Known = Model.Workers[Worker];
  if (runsOf(Known, Now) < ForgottenWorkerRuns)
    Known = {};
  Known.Deviations[Known.Next] = static_cast<float>(Deviation);
  Known.Next = static_cast<uint8_t>((Known.Next + 1) % WorkerSpeed::MaxRuns);
  Known.Count = static_cast<uint8_t>(std::min<size_t>(Known.Count + 1U, WorkerSpeed::MaxRuns));
  Known.LastAt = Now;
  Known.Band = bandOf(Known, Now);
  ++Model.Changes;
}

void forgetOld(RunTimeModel &Model, TimePoint Now) {
  std::erase_if(Model.Queues, [&](const auto &Entry) {
    return weightOf(Entry.second, Now) < ForgottenQueueWeight &&
           Entry.second.LastAt + QueueHalfLife < Now;
  });
  std::erase_if(Model.Workers,
                [&](const auto &Entry) { return runsOf(Entry.second, Now) < ForgottenWorkerRuns; });
}

} // namespace valveshelf::sched
