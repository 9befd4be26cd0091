// SPDX-License-Identifier: Apache-2.0
// The metrics, in prometheus-cpp.
#include "valveshelf/cell_metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <array>
#include <map>
#include <mutex>
#include <sstream>

namespace valveshelf {
namespace metrics {
const MetricDescriptor Calls{"calls_total", "counter",
                             "Callers' requests answered, by `case`: the method and the status."};
const MetricDescriptor CallSeconds{"call_seconds", "histogram",
                                   "From a caller's request to its answer."};
const MetricDescriptor StoreSeconds{"store_seconds", "histogram",
                                    "Calls to the platform's store that hold no answer back."};
const MetricDescriptor Terms{"terms_total", "counter", "Terms as the scheduler that began here."};
const MetricDescriptor Jobs{"jobs", "gauge", "Live jobs, while this process schedules; else 0."};
const MetricDescriptor Waiting{"steps_waiting", "gauge",
                               "Steps with a task to place, while this process schedules; else 0."};
const MetricDescriptor Starts{
    "starts_total", "counter",
    "Start orders answered, by `case`: the result as numbered in workload.h."};
const MetricDescriptor StartSeconds{"start_seconds", "histogram",
                                    "From a start order to its answer."};
const MetricDescriptor Ends{"ends_total", "counter", "Jobs ended and saved, by `case`: the phase."};
const MetricDescriptor RunsLost{
    "runs_lost_total", "counter",
    "Runs that ended with their worker, by `case`: how that was found."};
const MetricDescriptor TasksGivenUp{
    "tasks_given_up_total", "counter",
    "Tasks given up with their jobs because they crash their workers."};
const MetricDescriptor FirstStartSeconds{
    "first_start_seconds", "histogram",
    "From the time at which a step could run to the first start of one of its tasks."};
const MetricDescriptor AdviceSeconds{
    "advice_seconds", "histogram",
    "From the wish for advice to its answer, waiting for a lane included."};
const MetricDescriptor PlaceSeconds{"place_seconds", "histogram", "One pass of placement."};
const MetricDescriptor Workers{"workers", "gauge",
                               "Workers known, while this process schedules; else 0."};
const MetricDescriptor WorkerListAge{
    "worker_list_age_seconds", "gauge",
    "How old what is known of the list of workers is, while this process schedules; else 0."};
const MetricDescriptor ZonesEvacuated{
    "zones_evacuated", "gauge",
    "Availability zones that operators want empty, while this process schedules; else 0."};
const MetricDescriptor Messages{"messages_total", "counter",
                                "Calls to the store, to peers, workers and the advice service, by "
                                "`case`: the kind."};
const MetricDescriptor MessageBytes{"message_bytes_total", "counter",
                                    "Bytes of these calls and their answers, by `case`: the kind."};
const MetricDescriptor ConnectionsOpened{
    "connections_opened_total", "counter",
    "Connections opened for these calls, by `case`: the kind."};
const MetricDescriptor LogLinesLeftOut{
    "log_lines_left_out", "gauge",
    "Log lines left out by the limit a kind of event, or because "
    "standard output was not read."};
const MetricDescriptor Ready{"ready", "gauge", "1 while the process calls itself ready."};
} // namespace metrics

std::span<const MetricDescriptor *const> allMetrics() {
  using namespace metrics;
  static const std::array All{&Calls,
                              &CallSeconds,
                              &StoreSeconds,
                              &Terms,
                              &Jobs,
                              &Waiting,
                              &Starts,
                              &StartSeconds,
                              &Ends,
                              &RunsLost,
                              &TasksGivenUp,
                              &FirstStartSeconds,
                              &AdviceSeconds,
                              &PlaceSeconds,
                              &Workers,
                              &WorkerListAge,
                              &ZonesEvacuated,
                              &Messages,
                              &MessageBytes,
                              &ConnectionsOpened,
                              &LogLinesLeftOut,
                              &Ready};
  return All;
}

namespace {
const std::string Prefix = "valveshelf_";
// Seconds; from a local answer to a caller's whole patience.
const prometheus::Histogram::BucketBoundaries LatencyBucketsSeconds{
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10};
} // namespace

struct CellMetrics::Impl {
  prometheus::Registry Registry;
  std::map<std::string_view, prometheus::Family<prometheus::Counter> *> Counters;
  std::map<std::string_view, prometheus::Gauge *> Gauges;
  std::map<std::string_view, prometheus::Histogram *> Histograms;
};

CellMetrics::CellMetrics() : Inner(std::make_unique<Impl>()) {
  for (const MetricDescriptor *Metric : allMetrics()) {
    const std::string Name = Prefix + std::string(Metric->Name);
    const std::string Help(Metric->Help);
    if (Metric->Type == "counter")
      Inner->Counters[Metric->Name] =
          &prometheus::BuildCounter().Name(Name).Help(Help).Register(Inner->Registry);
    else if (Metric->Type == "gauge")
      Inner->Gauges[Metric->Name] =
          &prometheus::BuildGauge().Name(Name).Help(Help).Register(Inner->Registry).Add({});
    else
      Inner->Histograms[Metric->Name] = &prometheus::BuildHistogram()
                                             .Name(Name)
                                             .Help(Help)
                                             .Register(Inner->Registry)
                                             .Add({}, LatencyBucketsSeconds);
  }
}
CellMetrics::~CellMetrics() = default;

void CellMetrics::count(const MetricDescriptor &Metric, const std::string &Label) {
  prometheus::Labels Labels;
  if (!Label.empty())
    Labels["case"] = Label;
  Inner->Counters.at(Metric.Name)->Add(Labels).Increment();
}

void CellMetrics::observe(const MetricDescriptor &Metric, Steady::duration Time) {
  Inner->Histograms.at(Metric.Name)->Observe(std::chrono::duration<double>(Time).count());
}

void CellMetrics::set(const MetricDescriptor &Metric, double Value) {
  Inner->Gauges.at(Metric.Name)->Set(Value);
}

void CellMetrics::setTraffic(const TrafficStats &Traffic) {
  const auto AdvanceTo = [&](const MetricDescriptor &Metric, const std::string &Case,
                             uint64_t Total) {
    prometheus::Counter &Counter = Inner->Counters.at(Metric.Name)->Add({{"case", Case}});
    Counter.Increment(static_cast<double>(Total) - Counter.Value());
  };
  for (const auto &[Case, Counts] : Traffic.Kinds) {
    AdvanceTo(metrics::Messages, Case, Counts.Calls);
    AdvanceTo(metrics::MessageBytes, Case, Counts.BytesSent + Counts.BytesReceived);
    AdvanceTo(metrics::ConnectionsOpened, Case, Counts.ConnectionsOpened);
  }
}

std::string CellMetrics::text() const {
  return prometheus::TextSerializer().Serialize(Inner->Registry.Collect());
}

} // namespace valveshelf
