// SPDX-License-Identifier: Apache-2.0
// When a process may act for the shards it owns, and when it has to promise or refuse to help
// claimants of another's shards. Pure state; the ownership loops feed it.
//
// The rule: an owner may act while its store lease holds OR while every guardian that it
// recorded has a promise running. A claimant must see the lease lapsed AND have one recorded
// guardian refuse (or be proven gone), wait that guardian's last promise out, and then seal the
// journal by a compare-and-swap on the very slot it saw empty before it looked at the lease.
// Extending needs all guardians, taking needs one: both cannot succeed.
#pragma once

#include "valveshelf/clock.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace valveshelf {

/// The owner's side.
struct Authority {
  TimePoint LeaseUntil{};                    ///< Margin already taken off.
  std::map<std::string, TimePoint> Promises; ///< Guardian's incarnation to the promise's end.
  std::set<std::string> Guardians;           ///< The set recorded in the store. While a change has
                                             ///< no certain answer, old and new set together.
  bool Fenced = false;                       ///< The journal is sealed. Never unset.
};

/// True if a start may be sent at \p Now.
bool mayAct(const Authority &Value, TimePoint Now);
/// True if the store lease alone carries the authority.
bool leaseHolds(const Authority &Value, TimePoint Now);
/// True if all recorded guardians' promises run; false for an empty set.
bool promisesHold(const Authority &Value, TimePoint Now);

/// A renewal that was sent at \p SentAt succeeded for \p Ttl.
void onLeaseRenewed(Authority &Value, TimePoint SentAt, Milliseconds Ttl, Milliseconds Margin);
/// The store says that the lease has lapsed.
void onLeaseLost(Authority &Value);
/// A guardian's promise, asked for at \p SentAt, holds for \p Ttl.
void onPromise(Authority &Value, const std::string &Guardian, TimePoint SentAt, Milliseconds Ttl,
               Milliseconds Margin);

/// The guardian's side: what it promised to whom.
struct GuardianState {
  struct Owner {
    TimePoint PromisedUntil{};
    TimePoint LastRenewal{};
    bool Refused = false;     ///< Never unset: refusing is final for that incarnation.
    bool OwnerCutOff = false; ///< The ward says it has not reached the store for a while.
  };
  std::map<std::string, Owner> Owners; ///< By the ward's incarnation.
};

/// Promises not to help anyone claim \p Owner's shards until the time returned; the zero time if
/// it refuses.
TimePoint promise(GuardianState &State, const std::string &Owner, bool OwnerCutOff, TimePoint Now,
                  Milliseconds Ttl);

/// What a guardian answers a claimant.
struct Refusal {
  bool Agreed = false;  ///< It will give \p Owner no further promise.
  Milliseconds Wait{0}; ///< How long the last promise may still run.
};

/// Asks the guardian to refuse \p Owner from now on. It agrees only if the ward fell silent for
/// \p Silence or is cut off from a store that \p StoreUp here.
Refusal refuse(GuardianState &State, const std::string &Owner, bool StoreUp, Milliseconds Silence,
               TimePoint Now);

/// Chooses up to \p MaxCount guardians for \p Self among \p Peers (incarnation to zone), other
/// zones first, stable while the peers live.
std::vector<std::string> chooseGuardians(const std::string &Self, const std::string &Zone,
                                         const std::map<std::string, std::string> &Peers,
                                         size_t MaxCount);

} // namespace valveshelf
