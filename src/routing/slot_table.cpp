// SPDX-License-Identifier: Apache-2.0
// Assigns slots to processes without coordination, and grants them to requests by class.
#include "valveshelf/slot_table.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace valveshelf {
namespace {

bool isQuick(JobClass Class) { return Class == JobClass::Urgent || Class == JobClass::Quick; }

const std::string *ownerOfSlot(const std::vector<std::string> &Members, const std::string &Slot) {
  const std::string *Best = nullptr;
  uint64_t BestHash = 0;
  for (const std::string &Member : Members) {
    std::string Pair = Member;
    Pair.append("/").append(Slot);
    const uint64_t Hash = XXH3_64bits(Pair.data(), Pair.size());
    if (!Best || Hash > BestHash) {
      Best = &Member;
      BestHash = Hash;
    }
  }
  return Best;
}

bool isUsable(const InstanceSlots &Instance, TimePoint Now) {
  return !Instance.Leaving && Now >= Instance.EjectedUntil && Instance.InUse < Instance.Usable;
}

// Reserves part of the service's slots for urgent and quick requests.
bool reserveAllows(const SlotTable &Table, const ServiceSlots &Service, JobClass Class) {
  if (isQuick(Class))
    return true;
  int Usable = 0;
  int InUse = 0;
  for (const auto &[Name, Instance] : Service.Instances) {
    Usable += Instance.Usable;
    InUse += std::min(Instance.InUse, Instance.Usable);
  }
  const int Reserved = static_cast<int>(std::ceil(Usable * Table.Limits.QuickReserve));
  return Usable - InUse > Reserved;
}

void eject(SlotTable &Table, ServiceSlots &Service, InstanceSlots &Instance, TimePoint Now) {
  size_t Ejected = 0;
  for (const auto &[Name, Other] : Service.Instances)
    Ejected += Now < Other.EjectedUntil ? 1 : 0;
  const double Most = Table.Limits.MaxEjectedShare * static_cast<double>(Service.Instances.size());
  if (static_cast<double>(Ejected + 1) <= Most)
    Instance.EjectedUntil = Now + Table.Limits.EjectionTime;
}

constexpr double ReleaseRateSmoothing = 0.1;

void updateReleaseRate(ServiceSlots &Service, TimePoint Now) {
  if (Service.LastRelease != TimePoint{}) {
    const double Gap = std::chrono::duration<double>(Now - Service.LastRelease).count();
    const double Rate = 1.0 / std::max(Gap, 1e-5);
    Service.ReleasesPerSecond += ReleaseRateSmoothing * (Rate - Service.ReleasesPerSecond);
  }
  Service.LastRelease = Now;
}

} // namespace

void assignSlots(SlotTable &Table, const std::string &Service, const BoxList &Instances, int Slots,
                 const std::vector<std::string> &Members, const std::string &Member,
                 TimePoint Now) {
  ServiceSlots &Shared = Table.Services[Service];
  std::map<std::string, const BoxInfo *> Listed;
  for (const BoxInfo &Box : Instances)
    Listed[Box.Name] = &Box;
  for (auto &[Name, Instance] : Shared.Instances)
    if (!Listed.count(Name))
      Instance.Leaving = true;
  std::erase_if(Shared.Instances, [&](const auto &Entry) {
    return !Listed.count(Entry.first) && Entry.second.InUse == 0;
  });
  for (const auto &[Name, Box] : Listed) {
    const bool NewHere = !Shared.Instances.count(Name);
    InstanceSlots &Instance = Shared.Instances[Name];
    Instance.Box = *Box;
    Instance.Leaving = Box->Leaving;
    Instance.Usable = 0;
    Instance.FirstUsableAt = TimePoint::max();
    for (int Slot = 0; Slot < Slots; ++Slot) {
      const std::string Key = Name + "#" + std::to_string(Slot);
      const std::string *Owner = ownerOfSlot(Members, Key);
      if (!Owner || *Owner != Member) {
        Table.OwnedSince.erase(Key);
        continue;
      }
      // The previous owner of the slot may still use it.
      const auto Held = Table.OwnedSince.emplace(Key, NewHere ? Table.JoinedAt : Now).first;
      const TimePoint UsableFrom = Held->second + Table.Limits.SlotQuarantine;
      Instance.Usable += Now >= UsableFrom ? 1 : 0;
      Instance.FirstUsableAt = std::min(Instance.FirstUsableAt, UsableFrom);
    }
  }
  grantWaiting(Table, Service, Now);
}

bool slotsReady(const SlotTable &Table, TimePoint Now) {
  return Now - Table.JoinedAt >= Table.Limits.SlotQuarantine;
}

std::optional<SlotGrant> takeSlot(SlotTable &Table, const std::string &Service, JobClass Class,
                                  const std::string &Avoid, TimePoint Now) {
  const auto Found = Table.Services.find(Service);
  if (Found == Table.Services.end() || !reserveAllows(Table, Found->second, Class))
    return std::nullopt;
  InstanceSlots *Best = nullptr;
  for (auto &[Name, Instance] : Found->second.Instances) {
    if (!isUsable(Instance, Now))
      continue;
    const auto Load = [&](const InstanceSlots &I) {
      const double Share = static_cast<double>(I.InUse) / I.Usable;
      return I.Box.Name == Avoid ? Share + 1.0 : Share;
    };
    if (!Best || Load(Instance) < Load(*Best))
      Best = &Instance;
  }
  if (!Best)
    return std::nullopt;
  ++Best->InUse;
  return SlotGrant{Service, Best->Box.Name, Best->Box.Address};
}

std::optional<TimePoint> earliestSlot(const SlotTable &Table, const std::string &Service,
                                      TimePoint Now) {
  const auto Found = Table.Services.find(Service);
  if (Found == Table.Services.end() || Found->second.Instances.empty())
    return std::nullopt;
  TimePoint First = TimePoint::max();
  for (const auto &[Name, Instance] : Found->second.Instances)
    if (!Instance.Leaving)
      First = std::min(First, std::max({Now, Instance.EjectedUntil, Instance.FirstUsableAt}));
  return First;
}

void grantWaiting(SlotTable &Table, const std::string &Service, TimePoint Now) {
  auto &Waiting = Table.Services[Service].Waiting;
  for (auto Next = Waiting.begin(); Next != Waiting.end();) {
    const std::shared_ptr<SlotWaiter> Waiter = Next->second;
    if (Now >= Waiter->Deadline) {
      Next = Waiting.erase(Next);
      continue;
    }
    const auto Grant = takeSlot(Table, Service, Waiter->Class, Waiter->Avoid, Now);
    if (!Grant && isQuick(Waiter->Class))
      return;
    if (!Grant) {
      ++Next;
      continue;
    }
    Next = Waiting.erase(Next);
    Waiter->Grant(*Grant);
  }
}

void releaseSlot(SlotTable &Table, const SlotGrant &Grant, bool Failed, TimePoint Now) {
  ServiceSlots &Service = Table.Services[Grant.Service];
  const auto Found = Service.Instances.find(Grant.Instance);
  if (Found != Service.Instances.end()) {
    InstanceSlots &Instance = Found->second;
    --Instance.InUse;
    Instance.ConsecutiveFailures = Failed ? Instance.ConsecutiveFailures + 1 : 0;
    if (Instance.ConsecutiveFailures >= Table.Limits.FailuresToEject)
      eject(Table, Service, Instance, Now);
  }
  updateReleaseRate(Service, Now);
  grantWaiting(Table, Grant.Service, Now);
}

Milliseconds expectedWait(const SlotTable &Table, const std::string &Service, JobClass Class) {
  const auto Found = Table.Services.find(Service);
  if (Found == Table.Services.end() || Found->second.ReleasesPerSecond <= 0)
    return Milliseconds(0);
  size_t Ahead = 0;
  for (const auto &[Order, Waiter] : Found->second.Waiting)
    Ahead += Order <= static_cast<int>(Class) ? 1 : 0;
  return Milliseconds(
      static_cast<int64_t>(1000.0 * static_cast<double>(Ahead) / Found->second.ReleasesPerSecond));
}

} // namespace valveshelf
