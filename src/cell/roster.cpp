// SPDX-License-Identifier: Apache-2.0
// Who stands on the roster, and how often a process of a cell of some size calls the store.
#include "cell/roster.h"

#include <algorithm>
#include <vector>

namespace valveshelf {
using namespace sched;

namespace {
// All processes together make so many calls a second of one kind: a share of what the store takes
// in that does not grow with the fleet.
constexpr int SharedCallsPerSecond = 50;
// Without word a process is blind for no longer than this, whatever the size of the fleet.
constexpr Milliseconds MaxInterval{15000};
// The number of processes is published again when it is off by this part.
constexpr size_t CountToleranceDivisor = 4;

// A cell of so many processes has all of them hear the store; each change is sent to each of them.
constexpr size_t MaxDirectWatchers = 96;
// Claims of the roster are so far apart.
constexpr Milliseconds ClaimStagger{30};
// Behind the roster: what a process without any processor would wait, what halves it, and how far
// equal ones are apart.
constexpr Milliseconds MaxStrengthDelay{400};
constexpr double CoresHalvingDelay = 0.125;
constexpr int64_t ClaimJitterMs = 100;

using ByZone = std::map<std::string, std::vector<const Member *>>;

bool isListed(const Roster &Current, const std::string &Name) {
  return std::any_of(Current.Members.begin(), Current.Members.end(),
                     [&](const Member &One) { return One.Name == Name; });
}

// The strongest first; of equal ones those that stand already, so that the roster rests.
ByZone rankedByZone(const Roster &Current, const std::map<std::string, Member> &Live) {
  ByZone Zones;
  for (const auto &[Name, One] : Live)
    Zones[One.Zone].push_back(&One);
  const auto Rank = [&](const Member *One) {
    return std::tuple(-One->Power, !isListed(Current, One->Name), One->Name);
  };
  for (auto &[Zone, Inside] : Zones)
    std::sort(Inside.begin(), Inside.end(),
              [&](const Member *A, const Member *B) { return Rank(A) < Rank(B); });
  return Zones;
}

bool hasSameMembers(const Roster &A, const Roster &B) {
  const auto Sorted = [](const Roster &Of) {
    std::map<std::string, Member> Members;
    for (const Member &One : Of.Members)
      Members[One.Name] = One;
    return Members;
  };
  return Sorted(A) == Sorted(B);
}
} // namespace

std::optional<Roster> nextRoster(const Roster &Current, const std::map<std::string, Member> &Live) {
  Roster Next;
  const ByZone Zones = rankedByZone(Current, Live);
  for (size_t Place = 0; Next.Members.size() < std::min(RosterSize, Live.size()); ++Place)
    for (const auto &[Zone, Inside] : Zones)
      if (Place < Inside.size() && Next.Members.size() < RosterSize)
        Next.Members.push_back(*Inside[Place]);
  for (const Member &One : Current.Members)
    if (Next.Members.size() < RosterSize && !isListed(Next, One.Name))
      Next.Members.push_back(One);
  const size_t Count = Live.size();
  const bool CountIsOff = Count > Current.Processes + Current.Processes / CountToleranceDivisor ||
                          Count + Count / CountToleranceDivisor < Current.Processes;
  if (!CountIsOff && hasSameMembers(Current, Next))
    return std::nullopt;
  Next.Processes = CountIsOff ? static_cast<uint32_t>(Count) : Current.Processes;
  return Next;
}

Milliseconds claimDelay(const std::map<std::string, Member> &Known, const Member &Self) {
  if (Known.count(Self.Name)) {
    const auto Ahead = std::count_if(Known.begin(), Known.end(), [&](const auto &Entry) {
      return std::pair(-Entry.second.Power, Entry.first) < std::pair(-Self.Power, Self.Name);
    });
    return ClaimStagger * Ahead;
  }
  const double Strength = 1 + Self.Power / CoresHalvingDelay;
  const auto StrengthDelayMs =
      static_cast<int64_t>(static_cast<double>(MaxStrengthDelay.count()) / Strength);
  const auto JitterMs = static_cast<int64_t>(std::hash<std::string>()(Self.Name) % ClaimJitterMs);
  return ClaimStagger * static_cast<int64_t>(Known.size()) +
         Milliseconds(StrengthDelayMs + JitterMs);
}

bool watchesStore(const Roster &Current, const std::string &Name) {
  return Current.Processes <= MaxDirectWatchers || isListed(Current, Name);
}

std::vector<Endpoint> watchersFor(const Roster &Current, const std::string &Name) {
  std::vector<Endpoint> Found;
  const size_t Count = Current.Members.size();
  const size_t First = Count == 0 ? 0 : std::hash<std::string>()(Name) % Count;
  for (size_t I = 0; I < Count; ++I)
    if (const Member &One = Current.Members[(First + I) % Count]; One.Name != Name)
      Found.push_back(One.Peers);
  return Found;
}

Milliseconds sharedInterval(size_t Processes, Milliseconds Min) {
  const Milliseconds Wanted(1000 * static_cast<int64_t>(Processes) / SharedCallsPerSecond);
  return std::max(Min, std::min(Wanted, MaxInterval));
}

} // namespace valveshelf
