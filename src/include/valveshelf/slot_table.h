// SPDX-License-Identifier: Apache-2.0
// This process's share of the slots of every upstream instance, and the requests that wait for one.
// Not thread-safe; the router guards it.
#pragma once

#include "valveshelf/box.h"
#include "valveshelf/clock.h"
#include "valveshelf/job.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace valveshelf {

/// This process's use of one upstream instance.
struct InstanceSlots {
  BoxInfo Box;
  int Usable = 0;                             ///< Slots that this process owns and may use now.
  TimePoint FirstUsableAt = TimePoint::max(); ///< When it may use the first one; max: owns none.
  int InUse = 0; ///< May exceed Usable for a while after slots have moved away.
  bool Leaving = false;
  TimePoint EjectedUntil{};
  int ConsecutiveFailures = 0;
};

/// A slot in use; must be returned with `releaseSlot`.
struct SlotGrant {
  std::string Service;
  std::string Instance;
  Endpoint Address;
};

/// A request that waits for a slot.
struct SlotWaiter {
  JobClass Class = JobClass::Quick;
  TimePoint Deadline{};
  std::string Avoid;
  std::function<void(SlotGrant)> Grant; ///< Called at most once, under the router's lock.
};

/// Slots and waiting requests of one service.
struct ServiceSlots {
  std::map<std::string, InstanceSlots> Instances;
  std::multimap<int, std::shared_ptr<SlotWaiter>> Waiting; ///< By class, then in order of arrival.
  double ReleasesPerSecond = 0; ///< Slots released, exponentially smoothed.
  TimePoint LastRelease{};
};

struct SlotLimits {
  size_t MaxWaiting = 256;           ///< For each service and class.
  double QuickReserve = 0.25;        ///< Share of the slots reserved for urgent and quick requests.
  Milliseconds SlotQuarantine{3000}; ///< Time before a slot that moved here is used.
  Milliseconds EjectionTime{3000};
  int FailuresToEject = 3;
  double MaxEjectedShare = 0.34; ///< Share of a service's instances that may be ejected at once.
};

struct SlotTable {
  std::map<std::string, ServiceSlots> Services;
  std::map<std::string, TimePoint> OwnedSince; ///< Start of ownership by "instance#slot".
  TimePoint JoinedAt{}; ///< When this process joined the cell. No other member used the slots
                        ///< of an instance new to this process after that.
  SlotLimits Limits;
};

/// Assigns each slot of each instance to one of \p Members by rendezvous hashing, and updates the
/// slots of \p Member. A slot becomes usable after `SlotLimits::SlotQuarantine`.
void assignSlots(SlotTable &Table, const std::string &Service, const BoxList &Instances, int Slots,
                 const std::vector<std::string> &Members, const std::string &Member, TimePoint Now);

/// True once the slots that this process got when it joined are out of quarantine.
bool slotsReady(const SlotTable &Table, TimePoint Now);

/// Takes a free slot of the least loaded instance; of \p Avoid only if no other has one.
std::optional<SlotGrant> takeSlot(SlotTable &Table, const std::string &Service, JobClass Class,
                                  const std::string &Avoid, TimePoint Now);

/// Returns the earliest time at which this process may use a slot of the service, whether or not
/// one is free then; \p Now if it has a usable one. Returns nullopt if no instance is known, and
/// max if all slots belong to other processes or all instances are leaving.
std::optional<TimePoint> earliestSlot(const SlotTable &Table, const std::string &Service,
                                      TimePoint Now);

/// Returns a slot and grants free slots to waiting requests. \p Failed counts as a failure of the
/// instance.
void releaseSlot(SlotTable &Table, const SlotGrant &Grant, bool Failed, TimePoint Now);

/// Grants free slots to waiting requests, and removes those whose deadline has passed.
void grantWaiting(SlotTable &Table, const std::string &Service, TimePoint Now);

/// Estimates how long a new request of \p Class would wait, from the measured release rate.
Milliseconds expectedWait(const SlotTable &Table, const std::string &Service, JobClass Class);

} // namespace valveshelf
