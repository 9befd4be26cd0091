// SPDX-License-Identifier: Apache-2.0
// This process's share of every upstream instance's slots, and who waits for one. Plain state
// under the router's lock.
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

/// An upstream instance as this process uses it.
struct InstanceSlots {
  BoxInfo Box;
  int Usable = 0;                             ///< Slots that are this process's and usable now.
  TimePoint FirstUsableAt = TimePoint::max(); ///< When the first of them is; max: it has none.
  int InUse = 0; ///< May exceed Mine for a while after slots moved away.
  bool Leaving = false;
  TimePoint EjectedUntil{};
  int ConsecutiveFailures = 0;
};

/// A slot that was given out; given back with `giveBack`.
struct SlotGrant {
  std::string Service;
  std::string Instance;
  Endpoint Address;
};

/// Somebody who waits for a slot.
struct SlotWaiter {
  JobClass Class = JobClass::Quick;
  TimePoint Deadline{};
  std::string Avoid;
  std::function<void(SlotGrant)> Grant; ///< Called once, under the router's lock.
};

/// One service.
struct ServiceSlots {
  std::map<std::string, InstanceSlots> Instances;
  std::multimap<int, std::shared_ptr<SlotWaiter>> Waiting; ///< By class, in order of arrival.
  double ReleasesPerSecond = 0;                            ///< Slots given back, smoothed.
  TimePoint LastRelease{};
};

struct SlotLimits {
  size_t MaxWaiting = 256;           ///< For each service and class.
  double QuickReserve = 0.25;        ///< Share of the slots that only quick work may take.
  Milliseconds SlotQuarantine{3000}; ///< A slot that moved here is used only after so long.
  Milliseconds EjectionTime{3000};
  int FailuresToEject = 3;
  double MaxEjectedShare = 0.34; ///< Share of the instances that may be ejected at once.
};

struct SlotTable {
  std::map<std::string, ServiceSlots> Services;
  std::map<std::string, TimePoint> OwnedSince; ///< "instance#slot" to when it became ours.
  TimePoint JoinedAt{}; ///< Since when this process has had a share. A slot of an instance that
                        ///< is new here was nobody else's after that.
  SlotLimits Limits;
};

/// Gives every slot of every instance to one member by rendezvous hashing, and keeps those of
/// \p Member that have been its own for long enough.
void assignSlots(SlotTable &Table, const std::string &Service, const BoxList &Instances, int Slots,
                 const std::vector<std::string> &Members, const std::string &Member, TimePoint Now);

/// True once no slot of this process is in quarantine.
bool slotsReady(const SlotTable &Table, TimePoint Now);

/// Takes the least used instance's free slot, passing \p Avoid over if there is another.
std::optional<SlotGrant> takeSlot(SlotTable &Table, const std::string &Service, JobClass Class,
                                  const std::string &Avoid, TimePoint Now);

/// The earliest time at which a slot of the service can be used here, unless all in use are given
/// back before: now, if one is this process's already. Empty: no instance of it is known. Max: its
/// slots are other processes', or its instances leave.
std::optional<TimePoint> earliestSlot(const SlotTable &Table, const std::string &Service,
                                      TimePoint Now);

/// Gives a slot back and hands it to the first who waits. \p Failed counts against the instance.
void releaseSlot(SlotTable &Table, const SlotGrant &Grant, bool Failed, TimePoint Now);

/// Hands free slots to those who wait; after slots were added.
void grantWaiting(SlotTable &Table, const std::string &Service, TimePoint Now);

/// How long a newcomer of that class would wait, from the measured drain rate.
Milliseconds expectedWait(const SlotTable &Table, const std::string &Service, JobClass Class);

} // namespace valveshelf
