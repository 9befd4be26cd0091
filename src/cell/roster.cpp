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
constexpr Milliseconds LongestPace{15000};
// The number of processes is published again when it is off by this part.
constexpr size_t CountPart = 4;

// A cell of so many processes has all of them hear the store; each change is sent to each of them.
constexpr size_t MostHearers = 96;
// Claims of the roster are so far apart.
constexpr Milliseconds TurnGap{30};
// Behind the roster: what a process without any processor would wait, what halves it, and how far
// equal ones are apart.
constexpr Milliseconds WeakestTurn{400};
constexpr double CoresThatHalve = 0.125;
constexpr int64_t SpreadMs = 100;

using ByZone = std::map<std::string, std::vector<const Member *>>;

bool isListed(const Roster &Standing, const std::string &Name) {
  return std::any_of(Standing.Members.begin(), Standing.Members.end(),
                     [&](const Member &One) { return One.Name == Name; });
}

// The strongest first; of equal ones those that stand already, so that the roster rests.
ByZone rankedByZone(const Roster &Standing, const std::map<std::string, Member> &Living) {
  ByZone Zones;
  for (const auto &[Name, One] : Living)
    Zones[One.Zone].push_back(&One);
  const auto Rank = [&](const Member *One) {
    return std::tuple(-One->Power, !isListed(Standing, One->Name), One->Name);
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

std::optional<Roster> nextRoster(const Roster &Standing,
                                 const std::map<std::string, Member> &Living) {
  Roster Next;
  const ByZone Zones = rankedByZone(Standing, Living);
  for (size_t Place = 0; Next.Members.size() < std::min(RosterSize, Living.size()); ++Place)
    for (const auto &[Zone, Inside] : Zones)
      if (Place < Inside.size() && Next.Members.size() < RosterSize)
        Next.Members.push_back(*Inside[Place]);
  for (const Member &One : Standing.Members)
    if (Next.Members.size() < RosterSize && !isListed(Next, One.Name))
      Next.Members.push_back(One);
  const size_t Count = Living.size();
  const bool IsOff = Count > Standing.Processes + Standing.Processes / CountPart ||
                     Count + Count / CountPart < Standing.Processes;
  if (!IsOff && hasSameMembers(Standing, Next))
    return std::nullopt;
  Next.Processes = IsOff ? static_cast<uint32_t>(Count) : Standing.Processes;
  return Next;
}

Milliseconds claimTurn(const std::map<std::string, Member> &Known, const Member &Self) {
  if (Known.count(Self.Name)) {
    const auto Before = std::count_if(Known.begin(), Known.end(), [&](const auto &Entry) {
      return std::pair(-Entry.second.Power, Entry.first) < std::pair(-Self.Power, Self.Name);
    });
    return TurnGap * Before;
  }
  const double Strength = 1 + Self.Power / CoresThatHalve;
  const auto Weakness = static_cast<int64_t>(static_cast<double>(WeakestTurn.count()) / Strength);
  const auto Own = static_cast<int64_t>(std::hash<std::string>()(Self.Name) % SpreadMs);
  return TurnGap * static_cast<int64_t>(Known.size()) + Milliseconds(Weakness + Own);
}

bool hearsStore(const Roster &Standing, const std::string &Name) {
  return Standing.Processes <= MostHearers || isListed(Standing, Name);
}

std::vector<Endpoint> hearersFor(const Roster &Standing, const std::string &Name) {
  std::vector<Endpoint> Found;
  const size_t Count = Standing.Members.size();
  const size_t First = Count == 0 ? 0 : std::hash<std::string>()(Name) % Count;
  for (size_t I = 0; I < Count; ++I)
    if (const Member &One = Standing.Members[(First + I) % Count]; One.Name != Name)
      Found.push_back(One.Peers);
  return Found;
}

Milliseconds sharedPace(size_t Processes, Milliseconds Least) {
  const Milliseconds Wanted(1000 * static_cast<int64_t>(Processes) / SharedCallsPerSecond);
  return std::max(Least, std::min(Wanted, LongestPace));
}

} // namespace valveshelf
