// SPDX-License-Identifier: Apache-2.0
// Encoding and decoding of the snapshot of learned run times. Ages stand in for times, since the
// clocks of two schedulers are not comparable.
#include "valveshelf/cell_records.h"

#include "cell.pb.h"

#include <algorithm>
#include <cmath>

namespace valveshelf::sched {
namespace {
// Bytes of an entry's tag and length.
constexpr size_t EntryOverhead = 4;
// Part of the snapshot that queues may take.
constexpr size_t MaxQueueBytes = MaxRunTimesBytes / 4;
// Deviations are stored in thousandths.
constexpr double DeviationUnit = 1000;
// Larger logarithms are not run times.
constexpr double MaxLog = 28;
// An age far beyond that of anything remembered.
constexpr int64_t MaxAgeMs = 1000LL * 3600 * 24;

int64_t ageOf(TimePoint At, TimePoint Now) {
  return std::chrono::duration_cast<Milliseconds>(Now - At).count();
}

TimePoint timeAt(int64_t Age, TimePoint Now) {
  return Now - Milliseconds(std::clamp<int64_t>(Age, 0, MaxAgeMs));
}

cell::QueueTimesRecord toRecord(const std::string &Name, const QueueRunTimes &Known,
                                TimePoint Now) {
  cell::QueueTimesRecord Record;
  Record.set_queue(Name);
  Record.set_weight(Known.Weight);
  Record.set_mean_estimate(Known.MeanEstimate);
  Record.set_mean_time(Known.MeanTime);
  Record.set_estimate_variance(Known.EstimateVariance);
  Record.set_covariance(Known.Covariance);
  Record.set_spread(Known.Spread);
  Record.set_age_ms(ageOf(Known.LastAt, Now));
  return Record;
}

cell::WorkerSpeedRecord toRecord(const std::string &Name, const WorkerSpeed &Known, TimePoint Now) {
  cell::WorkerSpeedRecord Record;
  Record.set_worker(Name);
  Record.set_deviation(static_cast<int32_t>(
      std::lround(medianOf({Known.Deviations.begin(), Known.Deviations.begin() + Known.Count}) *
                  DeviationUnit)));
  Record.set_spread(static_cast<uint32_t>(std::lround(deviationSpread(Known) * DeviationUnit)));
  Record.set_runs(Known.Count);
  Record.set_age_ms(ageOf(Known.LastAt, Now));
  return Record;
}

bool isLog(double Value) { return std::isfinite(Value) && std::abs(Value) <= MaxLog; }

bool isValid(const cell::QueueTimesRecord &Record) {
  return isLog(Record.mean_estimate()) && isLog(Record.mean_time()) && isLog(Record.spread()) &&
         Record.spread() > 0 && std::isfinite(Record.weight()) && Record.weight() >= 0 &&
         std::isfinite(Record.covariance()) && std::isfinite(Record.estimate_variance()) &&
         Record.estimate_variance() >= 0;
}

// Runs with the stored median and median absolute deviation.
WorkerSpeed fromRecord(const cell::WorkerSpeedRecord &Record, TimePoint Now) {
  WorkerSpeed Known;
  const double Middle = Record.deviation() / DeviationUnit;
  const double Spread = Record.spread() / DeviationUnit;
  const auto Runs = std::min<size_t>(Record.runs(), WorkerSpeed::MaxRuns);
  for (size_t I = 0; I < Runs; ++I)
    Known.Deviations[I] = static_cast<float>(Middle + (I % 3 == 0   ? 0
                                                       : I % 3 == 1 ? Spread
                                                                    : -Spread));
  Known.Count = static_cast<uint8_t>(Runs);
  Known.Next = static_cast<uint8_t>(Runs % WorkerSpeed::MaxRuns);
  Known.LastAt = timeAt(Record.age_ms(), Now);
  Known.Band = bandOf(Known, Now);
  return Known;
}
} // namespace

std::string encodeRunTimes(const RunTimeModel &Model, TimePoint Now) {
  cell::RunTimesRecord Record;
  size_t Bytes = 0;
  for (const auto &[Name, Known] : Model.Queues) {
    cell::QueueTimesRecord Queue = toRecord(Name, Known, Now);
    Bytes += Queue.ByteSizeLong() + EntryOverhead;
    if (Bytes > MaxQueueBytes)
      break;
    *Record.add_queue() = std::move(Queue);
  }
  std::vector<std::pair<double, const std::string *>> ByDeviation;
  for (const auto &[Name, Known] : Model.Workers)
    ByDeviation.emplace_back(-std::abs(deviationOf(Known, Now)), &Name);
  std::sort(ByDeviation.begin(), ByDeviation.end(), [](const auto &A, const auto &B) {
    return std::tie(A.first, *A.second) < std::tie(B.first, *B.second);
  });
  Bytes = Record.ByteSizeLong();
  for (const auto &[Deviation, Name] : ByDeviation) {
    cell::WorkerSpeedRecord Worker = toRecord(*Name, Model.Workers.at(*Name), Now);
    Bytes += Worker.ByteSizeLong() + EntryOverhead;
    if (Bytes > MaxRunTimesBytes)
      break;
    *Record.add_worker() = std::move(Worker);
  }
  return Record.SerializeAsString();
}

Result<RunTimeModel> decodeRunTimes(const std::string &Bytes, TimePoint Now) {
  cell::RunTimesRecord Record;
  if (Bytes.size() > MaxRunTimesBytes || !Record.ParseFromString(Bytes))
    return Error{ErrorKind::Internal, "can't decode the learned run times"};
  RunTimeModel Model;
  for (const cell::QueueTimesRecord &Queue : Record.queue()) {
    if (!isValid(Queue))
      return Error{ErrorKind::Internal, "the learned run times hold an impossible value"};
    if (Model.Queues.size() < RunTimeModel::MaxQueues)
      Model.Queues[Queue.queue()] = {Queue.weight(),
                                     Queue.mean_estimate(),
                                     Queue.mean_time(),
                                     Queue.estimate_variance(),
                                     Queue.covariance(),
                                     Queue.spread(),
                                     timeAt(Queue.age_ms(), Now)};
  }
  for (const cell::WorkerSpeedRecord &Worker : Record.worker()) {
    if (!isLog(Worker.deviation() / DeviationUnit) || !isLog(Worker.spread() / DeviationUnit))
      return Error{ErrorKind::Internal, "the learned run times hold an impossible value"};
    if (Worker.runs() > 0 && Model.Workers.size() < RunTimeModel::MaxSpeeds)
      Model.Workers[Worker.worker()] = fromRecord(Worker, Now);
  }
  return Model;
}

} // namespace valveshelf::sched
