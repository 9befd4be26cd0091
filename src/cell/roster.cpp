// SPDX-License-Identifier: Apache-2.0
// Selection of the roster, and how claims and calls are spread over the processes of a cell.
#include "cell/roster.h"

#include <algorithm>
#include <vector>

namespace valveshelf {
using namespace sched;

bool isListed(const Roster &Current, const std::string &Name) {
  return std::any_of(Current.Members.begin(), Current.Members.end(),
                     [&](const Member &One) { return One.Name == Name; });
}

namespace {
// Call rate of all processes together for one kind of call, whatever the size of the fleet.
constexpr int SharedCallsPerSecond = 50;
// Upper bound of the interval, and so of the time for which a process may miss a change.
constexpr Milliseconds MaxInterval{15000};
// The number of processes is published again when it is off by more than 1 / this.
constexpr size_t CountToleranceDivisor = 4;

// Up to this many processes, all watch the store; each change is sent to every watcher.
constexpr size_t MaxDirectWatchers = 96;
// Between the claims of two consecutive members of the roster.
constexpr Milliseconds ClaimStagger{30};
// For processes that are not on the roster: the delay without any CPU cores, the cores that halve
// it, and the range of the jitter.
constexpr Milliseconds MaxStrengthDelay{400};
constexpr double CoresHalvingDelay = 0.125;
constexpr int64_t ClaimJitterMs = 100;

using ByZone = std::map<std::string, std::vector<const Member *>>;

// By descending power. Among equals current members come first, which keeps the roster stable.
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
