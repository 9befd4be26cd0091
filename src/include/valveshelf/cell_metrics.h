// SPDX-License-Identifier: Apache-2.0
// Metrics of an entry process of a cell. docs/METRICS.md lists them; a test checks it against
// `allMetrics`.
#pragma once

#include "valveshelf/clock.h"
#include "valveshelf/traffic.h"

#include <memory>
#include <span>
#include <string>
#include <string_view>

namespace valveshelf {

/// Description of a metric. `Name` lacks the common prefix.
struct MetricDescriptor {
  std::string_view Name;
  std::string_view Type; ///< "counter", "gauge" or "histogram".
  std::string_view Help;
};

namespace metrics {
extern const MetricDescriptor Calls, JobsRefused, JobsRevoked, JobsMoved, CallSeconds, StoreSeconds,
    Terms, Jobs, Waiting, LeftOut, Starts, StartSeconds, Ends, LastingRunEnds, RunsLost,
    RunsUnbooked, RunsContradicted, WorkerRestarts, TasksGivenUp, Copies, CopyCoreSeconds,
    FirstStartSeconds, ForecastErrorSeconds, AdviceSeconds, PlaceSeconds, Workers, WorkersSlow,
    WorkerListAge, ZonesEvacuated, Messages, MessageBytes, ConnectionsOpened, LogLinesLeftOut,
    Ready, LoopLag, LoopSeconds, MessageSeconds, StageSeconds, WaitingByCause;
} // namespace metrics

/// All metrics, in the order of docs/METRICS.md.
std::span<const MetricDescriptor *const> allMetrics();

/// The values of all metrics. Safe from any thread.
class CellMetrics {
public:
  CellMetrics();
  ~CellMetrics();
  CellMetrics(const CellMetrics &) = delete;
  CellMetrics &operator=(const CellMetrics &) = delete;

  /// Increments a counter. \p Label is the value of its label `case`; if empty, the label is
  /// absent.
  void count(const MetricDescriptor &Metric, const std::string &Label = "");
  /// Raises a counter by \p Amount. \p Label: as for `count`.
  void add(const MetricDescriptor &Metric, double Amount, const std::string &Label = "");
  /// \p Label: as for `count`.
  void observe(const MetricDescriptor &Metric, Steady::duration Time,
               const std::string &Label = "");
  /// \p Label: as for `count`.
  void set(const MetricDescriptor &Metric, double Value, const std::string &Label = "");
  /// Raises the counters of messages and connections to the totals in \p Traffic.
  void setTraffic(const TrafficStats &Traffic);
  /// All metrics in the Prometheus text format.
  std::string text() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Inner;
};

} // namespace valveshelf
