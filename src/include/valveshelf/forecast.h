// SPDX-License-Identifier: Apache-2.0
// A forecast of how long new jobs will wait before they start. The scheduler computes it and
// publishes it to all processes, which decide with it whether to accept a job.
#pragma once

#include "valveshelf/clock.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace valveshelf {

/// The wait of new jobs of one class of a service's queue.
struct ClassForecast {
  bool IsOverShare = false;   ///< Jobs beyond their organisation's share.
  int Priority = 0;           ///< Of the queue.
  Milliseconds Wait{0};       ///< From acceptance to the start of the first task.
  double Confidence = 0;      ///< 0 (unknown) to 1.
  double StartsPerSecond = 0; ///< Jobs of the class that started per second; a moving average.
  bool IsByStarts = false;    ///< Wait is that of the scheduler, which has too much to order.
};

/// Immutable once published.
struct Forecast {
  uint64_t Term = 0; ///< Of the scheduler that computed it.
  /// By service: one entry for each class, in the order of the queue.
  std::map<std::string, std::vector<ClassForecast>> Services;
  /// Organisations at their maximum: the wait until one of their jobs can start.
  std::map<std::string, Milliseconds> OrganisationWaits;
  /// Organisations whose next job would be beyond their share.
  std::set<std::string> OverShareOrganisations;
  /// By queue: the learned ratio of run time to estimate; 1 if it is absent.
  std::map<std::string, double> RunTimeRatios;
};

} // namespace valveshelf
