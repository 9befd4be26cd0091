// SPDX-License-Identifier: Apache-2.0
// State of the queue order under overload. While a service can't finish everything on time, the
// steps whose jobs are left out are queued behind those that can be on time. The selection is in
// scheduler/overload.h; docs/design/overload.md describes it.
#pragma once

#include "valveshelf/clock.h"

#include <cstdint>
#include <map>
#include <string>

namespace valveshelf::sched {

/// Order among the late and left-out steps of an overloaded service.
enum class LateRank : uint8_t {
  None,       ///< On time, or its service is not overloaded.
  AgedUseful, ///< Can still be useful and waits longer than `SchedulerLimits::LeftOutBound`.
  Useful,
  UsefulLeftOut, ///< The same, but so that others stay useful it goes behind them.
  AgedUseless,
  Useless, ///< Its result would be of no use to the caller any more.
};

/// The overload of one service.
struct ServiceOverload {
  bool IsOverloaded = false; ///< Not everything in its queue can be on time.
  bool IsReported = false;   ///< The log says that it is overloaded.
  TimePoint LastOverloadedAt{};
};

/// Derived from the queue and the load; a takeover starts without it.
struct OverloadState {
  TimePoint NextUpdate{};
  std::map<std::string, ServiceOverload> Services;
  uint32_t LeftOutSteps = 0; ///< At the last update.
};

/// The selection is recomputed at most once in this interval.
inline constexpr Milliseconds OverloadUpdateInterval{100};

} // namespace valveshelf::sched
