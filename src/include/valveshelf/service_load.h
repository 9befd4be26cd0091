// SPDX-License-Identifier: Apache-2.0
// The load of each service: the capacity of its workers, what of it is free, and how fast ended
// runs give resources back. From these follows when resources that are needed will be free.
#pragma once

#include "valveshelf/clock.h"
#include "valveshelf/resources.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace valveshelf::sched {

struct CellState;

/// Resources per second.
struct ResourceRate {
  double MilliCores = 0;
  double MemoryMb = 0;
  double Accelerators = 0;
};

/// The load of one service.
struct ServiceLoad {
  Resources Capacity;    ///< Of its workers that answer and take work.
  Resources Free;        ///< Of it: neither booked nor planned.
  Resources Preemptible; ///< Upper bound of what preemption can free.
  ResourceRate Released; ///< Given back by ended runs; a moving average over `ReleaseWindow`.
  Resources ReleasedSinceUpdate;
  double EndsPerSecond = 0; ///< Runs that gave back resources; averaged like Released.
  uint32_t EndsSinceUpdate = 0;
  TimePoint UpdatedAt{};
  TimePoint MeasuredSince{}; ///< Released is known once this is `ReleaseWindow` ago.
};

/// Time constant of `ServiceLoad::Released`.
inline constexpr Milliseconds ReleaseWindow{1000};

/// By service.
using ServiceLoads = std::map<std::string, ServiceLoad>;

/// Notes that a run on a worker of the service gave back \p What. Planned attempts, which never
/// used their resources, are not noted.
void noteReleased(ServiceLoads &Loads, const std::string &Service, const Resources &What);

/// Moves the rates on to \p Now. The first call begins their measurement.
void updateReleaseRate(ServiceLoad &Load, TimePoint Now);

/// Recomputes the loads from the workers, at most once per `LoadUpdateInterval`.
inline constexpr Milliseconds LoadUpdateInterval{100};
void updateServiceLoads(CellState &Cell, TimePoint Now);

/// How long it takes until \p Ahead, the resources taken before and by a piece of work, has become
/// free at the current rate. Zero if it is free now; empty if the rate is unknown or zero.
std::optional<Milliseconds> timeUntilFree(const ServiceLoad &Load, const Resources &Ahead,
                                          TimePoint Now);

} // namespace valveshelf::sched
