// SPDX-License-Identifier: Apache-2.0
// The metrics of an entry process, on prometheus-cpp.
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
                             "Requests of callers answered, by `case`: the method and the status."};
const MetricDescriptor JobsRefused{
    "jobs_refused_total", "counter",
    "Jobs refused because the forecast shows them late, by `case`: the service and the class."};
const MetricDescriptor JobsRevoked{
    "jobs_revoked_total", "counter",
    "Cancellations of jobs that did not exist, by `case`: proven (answered as not run) or "
    "in-doubt. Prevented counts jobs that were written after that and ended by the scheduler."};
const MetricDescriptor JobsMoved{
    "jobs_moved_total", "counter",
    "Accepted jobs that go on with workers of another service, since their queue was sent there."};
const MetricDescriptor CallSeconds{"call_seconds", "histogram",
                                   "Time from a caller's request to the response."};
const MetricDescriptor StoreSeconds{
    "store_seconds", "histogram",
    "Duration of calls to the platform's store, long polls excluded."};
const MetricDescriptor Terms{"terms_total", "counter",
                             "Terms that this process has begun as the scheduler."};
const MetricDescriptor Jobs{"jobs", "gauge", "Live jobs; 0 unless this process is the scheduler."};
const MetricDescriptor Waiting{
    "steps_waiting", "gauge",
    "Steps with a task to place; 0 unless this process is the scheduler."};
const MetricDescriptor LeftOut{
    "steps_left_out", "gauge",
    "Waiting steps that overload has put behind those that can be on time; 0 unless this process "
    "is the scheduler."};
const MetricDescriptor Starts{
    "starts_total", "counter",
    "Start requests answered, by `case`: the result as numbered in workload.h."};
const MetricDescriptor StartSeconds{"start_seconds", "histogram",
                                    "Time from a start request to the worker's response."};
const MetricDescriptor Ends{"ends_total", "counter",
                            "Jobs whose end has been saved, by `case`: the phase."};
const MetricDescriptor LastingRunEnds{
    "lasting_run_ends_total", "counter",
    "Runs of long-running tasks that ended by themselves and are started again, by `case`: how "
    "they ended."};
const MetricDescriptor RunsLost{
    "runs_lost_total", "counter",
    "Runs lost with their worker, by `case`: how the loss was detected."};
const MetricDescriptor RunsUnbooked{
    "runs_unbooked_total", "counter",
    "Runs taken off their worker without their end, by `case`: what was taken for the proof."};
const MetricDescriptor RunsContradicted{
    "runs_contradicted_total", "counter",
    "Runs taken off their worker without their end that a report has named since, by `case`: the "
    "proof that was wrong."};
const MetricDescriptor WorkerRestarts{
    "worker_restarts_total", "counter",
    "Workers that started again under their id, by `case`: what showed it (entry, report, order)."};
const MetricDescriptor TasksGivenUp{
    "tasks_given_up_total", "counter",
    "Tasks abandoned, with their jobs, because they crash their workers."};
const MetricDescriptor Copies{
    "copies_total", "counter",
    "Copies of slow runs, by `case`: started, won (the copy completed the task first) or lost."};
const MetricDescriptor CopyCoreSeconds{"copy_core_seconds_total", "counter",
                                       "Core time reserved by copies that are over."};
const MetricDescriptor FirstStartSeconds{
    "first_start_seconds", "histogram",
    "Time from when a step became runnable to the first start of one of its tasks."};
const MetricDescriptor ForecastErrorSeconds{
    "forecast_error_seconds", "histogram",
    "Difference between the wait forecast when a job was accepted and its wait until the first "
    "start."};
const MetricDescriptor AdviceSeconds{
    "advice_seconds", "histogram",
    "Time from the need for advice to the response, including the wait for a lane."};
const MetricDescriptor PlaceSeconds{"place_seconds", "histogram", "Duration of a placement pass."};
const MetricDescriptor Workers{"workers", "gauge",
                               "Known workers; 0 unless this process is the scheduler."};
const MetricDescriptor WorkersSlow{
    "workers_slow", "gauge", "Workers learned to be slow; 0 unless this process is the scheduler."};
const MetricDescriptor WorkerListAge{
    "worker_list_age_seconds", "gauge",
    "Age of the known list of workers; 0 unless this process is the scheduler."};
const MetricDescriptor ZonesEvacuated{
    "zones_evacuated", "gauge",
    "Availability zones under evacuation; 0 unless this process is the scheduler."};
const MetricDescriptor Messages{"messages_total", "counter",
                                "Calls to the store, to peers, workers and the advice service, by "
                                "`case`: the kind."};
const MetricDescriptor MessageBytes{
    "message_bytes_total", "counter",
    "Bytes of calls to the store, to peers, workers and the advice service, and of "
    "their responses, by `case`: the kind."};
const MetricDescriptor ConnectionsOpened{
    "connections_opened_total", "counter",
    "Connections opened for calls to the store, to peers, workers and the advice "
    "service, by `case`: the kind."};
const MetricDescriptor LogLinesLeftOut{
    "log_lines_left_out", "gauge",
    "Log lines dropped by the rate limit of each kind of event, or because "
    "standard output was not read."};
const MetricDescriptor Ready{"ready", "gauge", "1 while the process reports itself ready, else 0."};
const MetricDescriptor LoopLag{
    "loop_lag_seconds", "gauge",
    "By how much the scheduler's event loop was late at most in the last second; 0 unless this "
    "process is the scheduler."};
const MetricDescriptor LoopSeconds{"loop_seconds_total", "counter",
                                   "Time of the scheduler's event loop, by `case`: the kind of "
                                   "work; `messages` is the rest of the "
                                   "process's processor time."};
const MetricDescriptor MessageSeconds{
    "message_seconds_total", "counter",
    "Time of the scheduler's calls, by `case`: encode, decode, transfer or connect; part of the "
    "time of its event loop."};
const MetricDescriptor StageSeconds{
    "stage_seconds", "histogram",
    "Time of a step or run in the scheduler, by `case`: intake (from acceptance to the scheduler, "
    "by two wall clocks), advice (until the first answer), place (until the start order), start "
    "(until its response) and save (the write of ends)."};
const MetricDescriptor WaitingByCause{
    "steps_waiting_for", "gauge",
    "Steps with a task to place, by `case`: what they wait for; 0 unless this process is the "
    "scheduler."};
} // namespace metrics

std::span<const MetricDescriptor *const> allMetrics() {
  using namespace metrics;
  static const std::array All{&Calls,
                              &JobsRefused,
                              &JobsRevoked,
                              &JobsMoved,
                              &CallSeconds,
                              &StoreSeconds,
                              &Terms,
                              &Jobs,
                              &Waiting,
                              &LeftOut,
                              &Starts,
                              &StartSeconds,
                              &Ends,
                              &LastingRunEnds,
                              &RunsLost,
                              &RunsUnbooked,
                              &RunsContradicted,
                              &WorkerRestarts,
                              &TasksGivenUp,
                              &Copies,
                              &CopyCoreSeconds,
                              &FirstStartSeconds,
                              &ForecastErrorSeconds,
                              &AdviceSeconds,
                              &PlaceSeconds,
                              &Workers,
                              &WorkersSlow,
                              &WorkerListAge,
                              &ZonesEvacuated,
                              &Messages,
                              &MessageBytes,
                              &ConnectionsOpened,
                              &LogLinesLeftOut,
                              &Ready,
                              &LoopLag,
                              &LoopSeconds,
                              &MessageSeconds,
                              &StageSeconds,
                              &WaitingByCause};
  return All;
}

namespace {
const std::string Prefix = "valveshelf_";
// From the time of a local response to a caller's timeout.
const prometheus::Histogram::BucketBoundaries LatencyBucketsSeconds{
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10};
} // namespace

static prometheus::Labels labelsOf(const std::string &Case) {
  return Case.empty() ? prometheus::Labels() : prometheus::Labels{{"case", Case}};
}

struct CellMetrics::Impl {
  prometheus::Registry Registry;
  std::map<std::string_view, prometheus::Family<prometheus::Counter> *> Counters;
  std::map<std::string_view, prometheus::Family<prometheus::Gauge> *> Gauges;
  std::map<std::string_view, prometheus::Family<prometheus::Histogram> *> Histograms;
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
          &prometheus::BuildGauge().Name(Name).Help(Help).Register(Inner->Registry);
    else
      Inner->Histograms[Metric->Name] =
          &prometheus::BuildHistogram().Name(Name).Help(Help).Register(Inner->Registry);
    if (Metric->Type == "histogram" && Metric != &metrics::StageSeconds)
      Inner->Histograms.at(Metric->Name)->Add({}, LatencyBucketsSeconds);
    if (Metric->Type == "gauge" && Metric != &metrics::WaitingByCause)
      set(*Metric, 0);
  }
}
CellMetrics::~CellMetrics() = default;

void CellMetrics::count(const MetricDescriptor &Metric, const std::string &Label) {
  add(Metric, 1, Label);
}

void CellMetrics::add(const MetricDescriptor &Metric, double Amount, const std::string &Label) {
  Inner->Counters.at(Metric.Name)->Add(labelsOf(Label)).Increment(Amount);
}

void CellMetrics::observe(const MetricDescriptor &Metric, Steady::duration Time,
                          const std::string &Label) {
  Inner->Histograms.at(Metric.Name)
      ->Add(labelsOf(Label), LatencyBucketsSeconds)
      .Observe(std::chrono::duration<double>(Time).count());
}

void CellMetrics::set(const MetricDescriptor &Metric, double Value, const std::string &Label) {
  Inner->Gauges.at(Metric.Name)->Add(labelsOf(Label)).Set(Value);
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
