// SPDX-License-Identifier: Apache-2.0
// What the scheduler keeps to forecast the waiting times of new jobs and to measure the error of
// its forecasts. Soft state: a new scheduler starts without it.
#pragma once

#include "valveshelf/forecast.h"
#include "valveshelf/service_load.h"

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

namespace valveshelf::sched {

struct CellState;

/// Moving average of events per second.
struct EventRate {
  uint32_t SinceUpdate = 0;
  double PerSecond = 0;
};

/// Moving average of resource vectors.
struct MeanResources {
  double MilliCores = 0;
  double MemoryMb = 0;
  double Accelerators = 0;
  bool IsKnown = false;
};

/// The jobs of one priority of a service.
struct PriorityState {
  MeanResources FirstNeed;         ///< What the first start of a job takes.
  std::array<EventRate, 2> Starts; ///< Jobs started, within and beyond their share.
};

/// How fast a service gives back what its runs use, as moving averages over `TurnoverWindow`. The
/// quotient of the two also holds while the use of the service rises.
struct Turnover {
  ResourceRate Released;
  ResourceRate Used; ///< A mean, not a rate.
  double EndsPerSecond = 0;
};

/// Time constant of `Turnover`; longer than most runs.
inline constexpr Milliseconds TurnoverWindow{10000};

/// Kept while `Features::Admission` is in force, except Priorities and LoadedAt.
struct ForecastState {
  /// By service and priority: those of the queues of the newest configuration.
  std::map<std::string, std::map<int, PriorityState>> Priorities;
  std::map<std::string, Turnover> Turnovers; ///< By service.
  /// By organisation with a maximum: what of it is free, and what its ended runs give back.
  ServiceLoads Quotas;
  std::map<std::string, Turnover> QuotaTurnovers;  ///< By organisation with a maximum.
  std::map<std::string, MeanResources> FirstNeeds; ///< By organisation with a maximum.
  TimePoint LoadedAt{};                            ///< When the store had been read.
  TimePoint NextAt{};                              ///< No forecast is computed before.
  TimePoint UpdatedAt{};                           ///< When the start rates were last updated.
  std::shared_ptr<const Forecast> Latest;          ///< Null: there is none.
  TimePoint LatestAt{};                            ///< When Latest was computed.
  /// By accepted job that has not started: the wait forecast when it was accepted. At most
  /// `MaxKeptForecasts`.
  std::unordered_map<uint64_t, Milliseconds> AtAcceptance;
  TimePoint NextErrorLog{}; ///< No large error is logged before.
};

/// The latest forecast; null if there is none or the scheduler has not renewed it in time.
std::shared_ptr<const Forecast> publishedForecast(const CellState &Cell, TimePoint Now);

} // namespace valveshelf::sched
