// SPDX-License-Identifier: Apache-2.0
// Measures the load of services and derives waiting times from it.
#include "valveshelf/service_load.h"

#include "valveshelf/cell_state.h"

#include <cmath>

namespace valveshelf::sched {
namespace {
// Bound of a waiting time, so that a rate close to zero does not overflow it.
constexpr double MaxWaitSeconds = 3600;

// Seconds until \p Needed is free; empty if it never is at this rate.
std::optional<double> secondsUntilFree(int64_t Needed, int64_t Free, double Rate) {
  if (Needed <= Free || Needed == 0)
    return 0.0;
  if (Rate <= 0)
    return std::nullopt;
  return std::min(MaxWaitSeconds, static_cast<double>(Needed - Free) / Rate);
}

void blendRates(ServiceLoad &Load, TimePoint Now) {
  const auto Elapsed = std::chrono::duration<double>(Now - Load.UpdatedAt).count();
  const double Weight =
      1 - std::exp(-Elapsed / std::chrono::duration<double>(ReleaseWindow).count());
  const auto Blend = [&](double &Mean, int64_t Seen) {
    Mean += Weight * (static_cast<double>(Seen) / Elapsed - Mean);
  };
  Blend(Load.Released.MilliCores, Load.ReleasedSinceUpdate.MilliCores);
  Blend(Load.Released.MemoryMb, Load.ReleasedSinceUpdate.MemoryMb);
  Blend(Load.Released.Accelerators, Load.ReleasedSinceUpdate.Accelerators);
  Blend(Load.EndsPerSecond, Load.EndsSinceUpdate);
}
} // namespace

void noteReleased(ServiceLoads &Loads, const std::string &Service, const Resources &What) {
  const auto Found = Loads.find(Service);
  if (Found == Loads.end())
    return;
  Found->second.ReleasedSinceUpdate += What;
  ++Found->second.EndsSinceUpdate;
}

void updateReleaseRate(ServiceLoad &Load, TimePoint Now) {
  if (Load.MeasuredSince == TimePoint{})
    Load.MeasuredSince = Now;
  else if (Now > Load.UpdatedAt)
    blendRates(Load, Now);
  Load.UpdatedAt = Now;
  Load.ReleasedSinceUpdate = {};
  Load.EndsSinceUpdate = 0;
}

void updateServiceLoads(CellState &Cell, TimePoint Now) {
  if (Now < Cell.NextLoadUpdate)
    return;
  Cell.NextLoadUpdate = Now + LoadUpdateInterval;
  for (const std::string &Name : Cell.Services)
    Cell.Loads.try_emplace(Name);
  for (auto &[Name, Load] : Cell.Loads) {
    updateReleaseRate(Load, Now);
    Load.Capacity = Load.Free = Load.Preemptible = {};
  }
  for (const auto &[Id, W] : Cell.Workers) {
    const auto Load = Cell.Loads.find(W.Info.Service);
    if (Load == Cell.Loads.end() || !W.HasReported || !W.IsResponsive || !takesWork(W))
      continue;
    Load->second.Capacity += W.Info.Capacity;
    Load->second.Preemptible += W.Preemptible;
    // Dimensions that are overbooked have nothing free.
    Load->second.Free += componentMax(W.Info.Capacity - W.Booked - W.Planned, {});
  }
}

std::optional<Milliseconds> timeUntilFree(const ServiceLoad &Load, const Resources &Ahead,
                                          TimePoint Now) {
  if (fits(Ahead, Load.Free))
    return Milliseconds(0);
  if (Load.MeasuredSince == TimePoint{} || Now - Load.MeasuredSince < ReleaseWindow)
    return std::nullopt;
  double Longest = 0;
  for (const auto &[Needed, Free, Rate] :
       {std::tuple(Ahead.MilliCores, Load.Free.MilliCores, Load.Released.MilliCores),
        std::tuple(Ahead.MemoryMb, Load.Free.MemoryMb, Load.Released.MemoryMb),
        std::tuple(Ahead.Accelerators, Load.Free.Accelerators, Load.Released.Accelerators)}) {
    const std::optional<double> Seconds = secondsUntilFree(Needed, Free, Rate);
    if (!Seconds)
      return std::nullopt;
    Longest = std::max(Longest, *Seconds);
  }
  return std::chrono::duration_cast<Milliseconds>(std::chrono::duration<double>(Longest));
}

} // namespace valveshelf::sched
