// SPDX-License-Identifier: Apache-2.0
// Guaranteed parts of lane time, and whether a step's capacity will be free in time.
#include "scheduler/advice_budget.h"

#include <algorithm>
#include <limits>

namespace valveshelf::sched {
namespace {
Milliseconds totalLaneTime(const ServiceAdviceUse &Of) {
  return Of.PreferredLaneTime + Of.DeprioritizedLaneTime;
}

bool isActive(const ServiceAdviceUse &Of) {
  return Of.HasWaiting || totalLaneTime(Of) > Milliseconds(0);
}

Milliseconds &laneTimeOf(ServiceAdviceUse &Of, bool IsQueuedLast) {
  return IsQueuedLast ? Of.DeprioritizedLaneTime : Of.PreferredLaneTime;
}
} // namespace

Milliseconds laneTime(Milliseconds ExpectedTime) {
  return std::clamp(ExpectedTime, Milliseconds(1), LaneWindow);
}

void noteRequested(AdviceUse &Use, const StepKey &Step, const std::string &Service,
                   bool IsQueuedLast, Milliseconds ExpectedTime) {
  const Milliseconds Time = laneTime(ExpectedTime);
  const auto [At, New] = Use.Steps.try_emplace(Step, StepAdviceUse{Service, IsQueuedLast});
  StepAdviceUse &OfStep = At->second;
  ++OfStep.Requests;
  OfStep.LaneTime += Time;
  laneTimeOf(Use.Services[OfStep.Service], OfStep.IsQueuedLast) += Time;
}

void noteRequestEnded(AdviceUse &Use, const StepKey &Step) {
  const auto At = Use.Steps.find(Step);
  if (At == Use.Steps.end())
    return;
  StepAdviceUse &OfStep = At->second;
  const Milliseconds Time = OfStep.LaneTime / OfStep.Requests; // the last one gets the remainder
  laneTimeOf(Use.Services.at(OfStep.Service), OfStep.IsQueuedLast) -= Time;
  OfStep.LaneTime -= Time;
  if (--OfStep.Requests == 0)
    Use.Steps.erase(At);
}

void noteWaiting(AdviceUse &Use, const std::string &Service) {
  ServiceAdviceUse &Of = Use.Services[Service];
  Of.HasWaiting = Of.HasWaitingSinceScan = true;
}

void beginScan(AdviceUse &Use) {
  for (auto &[Service, Of] : Use.Services) {
    Of.HasWaiting = Of.HasWaitingSinceScan;
    Of.HasWaitingSinceScan = false;
  }
  std::erase_if(Use.Services, [](const auto &Entry) { return !isActive(Entry.second); });
}

uint32_t countActiveServices(const AdviceUse &Use, const std::string &Service) {
  uint32_t Others = 0;
  for (const auto &[Name, Of] : Use.Services)
    Others += Name != Service && isActive(Of) ? 1 : 0;
  return Others + 1;
}

Milliseconds guaranteedLaneTime(const AdviceUse &Use, const std::string &Service, uint32_t Lanes) {
  return LaneWindow * Lanes / countActiveServices(Use, Service);
}

bool mayAsk(const AdviceUse &Use, const AdviceAsker &Asker, uint32_t Lanes) {
  const auto Own = Use.Services.find(Asker.Service);
  Milliseconds OwnTime{0};
  if (Own != Use.Services.end())
    OwnTime = Asker.IsQueuedLast ? totalLaneTime(Own->second) : Own->second.PreferredLaneTime;
  const Milliseconds Part = guaranteedLaneTime(Use, Asker.Service, Lanes);
  if (OwnTime < Part)
    return true;
  Milliseconds Total{0};
  for (const auto &[Name, Of] : Use.Services) {
    if (Name != Asker.Service && Of.HasWaiting && totalLaneTime(Of) < Part)
      return false; // the others leave nothing unused
    Total += totalLaneTime(Of);
  }
  return !Asker.MaxLaneRatio ||
         static_cast<double>(Total.count()) <
             *Asker.MaxLaneRatio * static_cast<double>((LaneWindow * Lanes).count());
}

uint32_t spareLanes(const AdviceUse &Use, const std::string &Service, uint32_t Lanes) {
  const uint32_t Active = countActiveServices(Use, Service);
  if (Active == 1)
    return 0;
  const auto Own = Use.Services.find(Service);
  const Milliseconds OwnTime =
      Own == Use.Services.end() ? Milliseconds(0) : totalLaneTime(Own->second);
  return OwnTime * 2 < LaneWindow * Lanes / Active ? Lanes / Active : 0;
}

bool isFreeInTime(const ServiceLoad &Load, const Resources &Ahead, Milliseconds TicketLifetime,
                  Milliseconds RequestTime, TimePoint Now) {
  const std::optional<Milliseconds> Wait = timeUntilFree(Load, Ahead, Now);
  return !Wait || *Wait == Milliseconds(0) || *Wait < TicketLifetime + RequestTime;
}

uint32_t countWithinMaximum(const Resources &Need, uint32_t Tasks, bool IsGang,
                            const Resources &Used, const Resources &Maximum) {
  const auto Left = [](int64_t Most, int64_t Taken) {
    return Most == 0 ? std::numeric_limits<int64_t>::max() : Most - Taken;
  };
  const Resources Room{Left(Maximum.MilliCores, Used.MilliCores),
                       Left(Maximum.MemoryMb, Used.MemoryMb),
                       Left(Maximum.Accelerators, Used.Accelerators)};
  const auto Fitting = static_cast<uint32_t>(countFitting(Need, Room, Tasks));
  return IsGang && Fitting < Tasks ? 0 : Fitting;
}

} // namespace valveshelf::sched
