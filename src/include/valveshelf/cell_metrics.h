// SPDX-License-Identifier: Apache-2.0
// Counters and latency histograms of an entry process of a cell. docs/METRICS.md lists them and is
// checked against `allMetrics` by a test.
#pragma once

#include "valveshelf/clock.h"
#include "valveshelf/traffic.h"

#include <memory>
#include <span>
#include <string>
#include <string_view>

namespace valveshelf {

/// A metric's name without the common prefix, its type and its meaning.
struct MetricDescriptor {
  std::string_view Name;
  std::string_view Type; ///< "counter", "gauge" or "histogram".
  std::string_view Help;
};

namespace metrics {
extern const MetricDescriptor Calls, CallSeconds, StoreSeconds, Terms, Jobs, Waiting, Starts,
    StartSeconds, Ends, RunsLost, TasksGivenUp, FirstStartSeconds, AdviceSeconds, PlaceSeconds,
    Workers, WorkerListAge, ZonesEvacuated, Messages, MessageBytes, ConnectionsOpened,
    LogLinesLeftOut, Ready;
} // namespace metrics

/// All metrics, for the catalogue.
std::span<const MetricDescriptor *const> allMetrics();

/// Holds the figures. Safe from any thread.
class CellMetrics {
public:
  CellMetrics();
  ~CellMetrics();
  CellMetrics(const CellMetrics &) = delete;
  CellMetrics &operator=(const CellMetrics &) = delete;

  /// Adds one to a counter. \p Label tells cases apart; empty: none.
  void count(const MetricDescriptor &Metric, const std::string &Label = "");
  void observe(const MetricDescriptor &Metric, Steady::duration Time);
  void set(const MetricDescriptor &Metric, double Value);
  /// Brings the counters of messages up to the book.
  void setTraffic(const TrafficStats &Traffic);
  /// The text that is served.
  std::string text() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Inner;
};

} // namespace valveshelf
