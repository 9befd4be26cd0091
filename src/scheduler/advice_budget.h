// SPDX-License-Identifier: Apache-2.0
// Limits each service's advice requests so that the backlog of one overloaded service does not
// occupy all lanes while the workers of another are idle.
//
// A lane carries one request at a time, so capacity is lane time. Each service with outstanding or
// waiting requests is guaranteed an equal part and may exceed it while no service below its own
// part waits. All functions are pure. Private to this directory.
#pragma once

#include "valveshelf/advice_use.h"
#include "valveshelf/resources.h"
#include "valveshelf/service_load.h"

namespace valveshelf::sched {

/// The lane time of a request counts up to this time: long enough that short requests keep a lane
/// busy until the next full scan adds more, short enough that they don't queue for long.
inline constexpr Milliseconds LaneWindow{100};

/// The time of the coming `LaneWindow` for which a request occupies a lane.
Milliseconds laneTime(Milliseconds ExpectedTime);

/// Counts a request that is sent or queued.
void noteRequested(AdviceUse &Use, const StepKey &Step, const std::string &Service,
                   bool IsQueuedLast, Milliseconds ExpectedTime);
/// Ends the count of one request of the step. Does nothing if none is counted.
void noteRequestEnded(AdviceUse &Use, const StepKey &Step);

/// Notes that a step of the service could ask but is over the limit.
void noteWaiting(AdviceUse &Use, const std::string &Service);
/// Forgets services whose steps have not waited since the last full scan. Call once per full scan.
void beginScan(AdviceUse &Use);

/// Services with outstanding or waiting requests, and \p Service in any case.
uint32_t countActiveServices(const AdviceUse &Use, const std::string &Service);
/// The lane time that the service is guaranteed with \p Lanes lanes.
Milliseconds guaranteedLaneTime(const AdviceUse &Use, const std::string &Service, uint32_t Lanes);

/// A step that would ask.
struct AdviceAsker {
  const std::string &Service;
  bool IsQueuedLast = false; ///< It is late or beyond its organisation's share.
  /// Limit of the lane time of all services beyond the guaranteed part, as a ratio of all lanes;
  /// empty: there is none.
  std::optional<double> MaxLaneRatio;
};
/// True if the step may ask. The requests of late steps and those beyond a share do not count
/// against a service's other steps.
bool mayAsk(const AdviceUse &Use, const AdviceAsker &Asker, uint32_t Lanes);

/// Lanes that the service has to itself; 0 if more than half of its guaranteed part is in use, or
/// if no other service is active.
uint32_t spareLanes(const AdviceUse &Use, const std::string &Service, uint32_t Lanes);

/// True if the resources that the step and those before it need can be free before a ticket
/// expires that it asks for now. True if that is unknown.
bool isFreeInTime(const ServiceLoad &Load, const Resources &Ahead, Milliseconds TicketLifetime,
                  Milliseconds RequestTime, TimePoint Now);

/// How many of \p Tasks tasks an organisation that uses \p Used may start within its maximum, in
/// which 0 means no limit. A gang starts as a whole or not at all.
uint32_t countWithinMaximum(const Resources &Need, uint32_t Tasks, bool IsGang,
                            const Resources &Used, const Resources &Maximum);

} // namespace valveshelf::sched
