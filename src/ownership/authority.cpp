// SPDX-License-Identifier: Apache-2.0
// State transitions of leases, promises and refusals.
#include "valveshelf/authority.h"

#include <xxhash.h>

#include <algorithm>

namespace valveshelf {

bool leaseHolds(const Authority &Value, TimePoint Now) {
  return !Value.Fenced && Now < Value.LeaseUntil;
}

bool promisesHold(const Authority &Value, TimePoint Now) {
  if (Value.Fenced || Value.Guardians.empty())
    return false;
  return std::all_of(Value.Guardians.begin(), Value.Guardians.end(), [&](const std::string &Name) {
    const auto Found = Value.Promises.find(Name);
    return Found != Value.Promises.end() && Now < Found->second;
  });
}

bool mayAct(const Authority &Value, TimePoint Now) {
  return leaseHolds(Value, Now) || promisesHold(Value, Now);
}

void onLeaseRenewed(Authority &Value, TimePoint SentAt, Milliseconds Ttl, Milliseconds Margin) {
  // Measured from when the renewal was sent: the store's lease started later.
  Value.LeaseUntil = std::max(Value.LeaseUntil, SentAt + Ttl - Margin);
}

void onLeaseLost(Authority &Value) { Value.LeaseUntil = TimePoint{}; }

void onPromise(Authority &Value, const std::string &Guardian, TimePoint SentAt, Milliseconds Ttl,
               Milliseconds Margin) {
  TimePoint &Until = Value.Promises[Guardian];
  Until = std::max(Until, SentAt + Ttl - Margin);
}

TimePoint promise(GuardianState &State, const std::string &Owner, bool OwnerCutOff, TimePoint Now,
                  Milliseconds Ttl) {
  GuardianState::Owner &Entry = State.Owners[Owner];
  if (Entry.Refused)
    return TimePoint{};
  Entry.PromisedUntil = std::max(Entry.PromisedUntil, Now + Ttl);
  Entry.LastRenewal = Now;
  Entry.OwnerCutOff = OwnerCutOff;
  return Entry.PromisedUntil;
}

Refusal refuse(GuardianState &State, const std::string &Owner, bool StoreUp, Milliseconds Silence,
               TimePoint Now) {
  GuardianState::Owner &Entry = State.Owners[Owner];
  const bool Silent = Now - Entry.LastRenewal >= Silence;
  if (!Entry.Refused && !Silent && !(Entry.OwnerCutOff && StoreUp))
    return {};
  Entry.Refused = true;
  const auto Left = std::chrono::ceil<Milliseconds>(Entry.PromisedUntil - Now);
  return {true, std::max(Left, Milliseconds(0))};
}

std::vector<std::string> chooseGuardians(const std::string &Self, const std::string &Zone,
                                         const std::map<std::string, std::string> &Peers,
                                         size_t MaxCount) {
  struct Candidate {
    bool SameZone;
    uint64_t Rank;
    std::string Name;
    std::string Zone;
  };
  std::vector<Candidate> Candidates;
  for (const auto &[Name, PeerZone] : Peers) {
    if (Name == Self)
      continue;
    std::string Pair = Self;
    Pair.append("\n").append(Name);
    Candidates.push_back({PeerZone == Zone, XXH3_64bits(Pair.data(), Pair.size()), Name, PeerZone});
  }
  std::sort(Candidates.begin(), Candidates.end(), [](const Candidate &A, const Candidate &B) {
    return std::tie(A.SameZone, A.Rank, A.Name) < std::tie(B.SameZone, B.Rank, B.Name);
  });
  // One of each availability zone first, then the rest in the same order.
  std::vector<std::string> Chosen;
  std::set<std::string> Zones;
  for (const Candidate &C : Candidates)
    if (Chosen.size() < MaxCount && Zones.insert(C.Zone).second)
      Chosen.push_back(C.Name);
  for (const Candidate &C : Candidates)
    if (Chosen.size() < MaxCount && std::find(Chosen.begin(), Chosen.end(), C.Name) == Chosen.end())
      Chosen.push_back(C.Name);
  return Chosen;
}

} // namespace valveshelf
