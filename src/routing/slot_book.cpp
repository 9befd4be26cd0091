// SPDX-License-Identifier: Apache-2.0
// Slots: sharing them out without messages, giving them out by class.
#include "valveshelf/slot_book.h"

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
  return !Instance.Leaving && Now >= Instance.EjectedUntil && Instance.InUse < Instance.Mine;
}

// Heavy work leaves some of the service's slots to quick work.
bool reserveAllows(const SlotBook &Book, const ServiceSlots &Service, JobClass Class) {
  if (isQuick(Class))
    return true;
  int Mine = 0;
  int InUse = 0;
  for (const auto &[Name, Instance] : Service.Instances) {
    Mine += Instance.Mine;
    InUse += std::min(Instance.InUse, Instance.Mine);
  }
  const int Reserved = static_cast<int>(std::ceil(Mine * Book.Limits.QuickReserve));
  return Mine - InUse > Reserved;
}

void eject(SlotBook &Book, ServiceSlots &Service, InstanceSlots &Instance, TimePoint Now) {
  size_t Ejected = 0;
  for (const auto &[Name, Other] : Service.Instances)
    Ejected += Now < Other.EjectedUntil ? 1 : 0;
  const double Most = Book.Limits.MostEjected * static_cast<double>(Service.Instances.size());
  if (static_cast<double>(Ejected + 1) <= Most)
    Instance.EjectedUntil = Now + Book.Limits.EjectFor;
}

constexpr double DrainSmoothing = 0.1;

void noteDrain(ServiceSlots &Service, TimePoint Now) {
  if (Service.LastGivenBack != TimePoint{}) {
    const double Gap = std::chrono::duration<double>(Now - Service.LastGivenBack).count();
    const double Rate = 1.0 / std::max(Gap, 1e-5);
    Service.DrainPerSecond += DrainSmoothing * (Rate - Service.DrainPerSecond);
  }
  Service.LastGivenBack = Now;
}

} // namespace

void shareSlots(SlotBook &Book, const std::string &Service, const BoxList &Instances, int Slots,
                const std::vector<std::string> &Members, const std::string &Member, TimePoint Now) {
  ServiceSlots &Shared = Book.Services[Service];
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
    Instance.Mine = 0;
    Instance.MineFrom = TimePoint::max();
    for (int Slot = 0; Slot < Slots; ++Slot) {
      const std::string Key = Name + "#" + std::to_string(Slot);
      const std::string *Owner = ownerOfSlot(Members, Key);
      if (!Owner || *Owner != Member) {
        Book.SlotSince.erase(Key);
        continue;
      }
      // The slot's last owner may still use it.
      const auto Held = Book.SlotSince.emplace(Key, NewHere ? Book.JoinedAt : Now).first;
      const TimePoint UsableFrom = Held->second + Book.Limits.SlotQuarantine;
      Instance.Mine += Now >= UsableFrom ? 1 : 0;
      Instance.MineFrom = std::min(Instance.MineFrom, UsableFrom);
    }
  }
  serveWaiting(Book, Service, Now);
}

bool slotsSettled(const SlotBook &Book, TimePoint Now) {
  return Now - Book.JoinedAt >= Book.Limits.SlotQuarantine;
}

std::optional<SlotGrant> takeSlot(SlotBook &Book, const std::string &Service, JobClass Class,
                                  const std::string &Avoid, TimePoint Now) {
  const auto Found = Book.Services.find(Service);
  if (Found == Book.Services.end() || !reserveAllows(Book, Found->second, Class))
    return std::nullopt;
  InstanceSlots *Best = nullptr;
  for (auto &[Name, Instance] : Found->second.Instances) {
    if (!isUsable(Instance, Now))
      continue;
    const auto Load = [&](const InstanceSlots &I) {
      const double Share = static_cast<double>(I.InUse) / I.Mine;
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

std::optional<TimePoint> firstSlot(const SlotBook &Book, const std::string &Service,
                                   TimePoint Now) {
  const auto Found = Book.Services.find(Service);
  if (Found == Book.Services.end() || Found->second.Instances.empty())
    return std::nullopt;
  TimePoint First = TimePoint::max();
  for (const auto &[Name, Instance] : Found->second.Instances)
    if (!Instance.Leaving)
      First = std::min(First, std::max({Now, Instance.EjectedUntil, Instance.MineFrom}));
  return First;
}

void serveWaiting(SlotBook &Book, const std::string &Service, TimePoint Now) {
  auto &Waiting = Book.Services[Service].Waiting;
  for (auto Next = Waiting.begin(); Next != Waiting.end();) {
    const std::shared_ptr<SlotWaiter> Waiter = Next->second;
    if (Now >= Waiter->Deadline) {
      Next = Waiting.erase(Next);
      continue;
    }
    const auto Grant = takeSlot(Book, Service, Waiter->Class, Waiter->Avoid, Now);
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

void giveBack(SlotBook &Book, const SlotGrant &Grant, bool Failed, TimePoint Now) {
  ServiceSlots &Service = Book.Services[Grant.Service];
  const auto Found = Service.Instances.find(Grant.Instance);
  if (Found != Service.Instances.end()) {
    InstanceSlots &Instance = Found->second;
    --Instance.InUse;
    Instance.FailuresInRow = Failed ? Instance.FailuresInRow + 1 : 0;
    if (Instance.FailuresInRow >= Book.Limits.FailuresToEject)
      eject(Book, Service, Instance, Now);
  }
  noteDrain(Service, Now);
  serveWaiting(Book, Grant.Service, Now);
}

Milliseconds expectedWait(const SlotBook &Book, const std::string &Service, JobClass Class) {
  const auto Found = Book.Services.find(Service);
  if (Found == Book.Services.end() || Found->second.DrainPerSecond <= 0)
    return Milliseconds(0);
  size_t Ahead = 0;
  for (const auto &[Order, Waiter] : Found->second.Waiting)
    Ahead += Order <= static_cast<int>(Class) ? 1 : 0;
  return Milliseconds(
      static_cast<int64_t>(1000.0 * static_cast<double>(Ahead) / Found->second.DrainPerSecond));
}

} // namespace valveshelf
