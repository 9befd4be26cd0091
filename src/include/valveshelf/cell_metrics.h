// SPDX-License-Identifier: Apache-2.0
// Counters and latency histograms of an entry process of a cell. docs/METRICS.md lists them and is
// checked against `metricTable` by a test.
#pragma once

#include "valveshelf/clock.h"
#include "valveshelf/traffic.h"

#include <memory>
#include <span>
#include <string>
#include <string_view>

namespace valveshelf {

/// A metric's name without the common prefix, its type and its meaning.
struct MetricKind {
  std::string_view Name;
  std::string_view Type; ///< "counter", "gauge" or "histogram".
  std::string_view Meaning;
};

namespace metrics {
extern const MetricKind Calls, CallSeconds, StoreSeconds, Terms, Jobs, Waiting, Starts,
    StartSeconds, Ends, RunsLost, TasksGivenUp, FirstStartSeconds, AdviceSeconds, PlaceSeconds,
    Workers, WorkerListAge, ZonesEvacuated, Messages, MessageBytes, ConnectionsOpened,
    LogLinesLeftOut, Ready;
} // namespace metrics

/// All metrics, for the catalogue.
std::span<const MetricKind *const> metricTable();

/// Holds the figures. Safe from any thread.
class CellMetrics {
public:
  CellMetrics();
  ~CellMetrics();
  CellMetrics(const CellMetrics &) = delete;
  CellMetrics &operator=(const CellMetrics &) = delete;

  /// Adds one to a counter. \p Label tells cases apart; empty: none.
  void count(const MetricKind &Kind, const std::string &Label = "");
  void observe(const MetricKind &Kind, Steady::duration Time);
  void set(const MetricKind &Kind, double Value);
  /// Brings the counters of messages up to the book.
  void setTraffic(const TrafficStats &Book);
  /// The text that is served.
  std::string text() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Inner;
};

} // namespace valveshelf
