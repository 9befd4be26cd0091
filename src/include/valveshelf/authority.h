// SPDX-License-Identifier: Apache-2.0
// Decides when a process may act for the shards it owns, and when a guardian promises an owner
// not to help claimants or agrees to help them. Pure state, updated by the membership loops.
//
// Invariant: an owner may act while its store lease is valid OR while every recorded guardian has
// an unexpired promise to it. A claimant must see the lease expired AND have one recorded guardian
// refuse further promises (or be proven gone), wait until that guardian's last promise expires,
// and then seal the journal by compare-and-swap on the slot it saw empty before it checked the
// lease. Extending needs all guardians and a takeover needs one, so both cannot succeed.
#pragma once

#include "valveshelf/clock.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace valveshelf {

/// Authority of an owner over its shards.
struct Authority {
  TimePoint LeaseUntil{};                    ///< Safety margin already subtracted.
  std::map<std::string, TimePoint> Promises; ///< Expiry by guardian incarnation.
  std::set<std::string> Guardians; ///< The set recorded in the store. While the outcome of
                                   ///< a change is unknown, union of old and new set.
  bool Fenced = false;             ///< The journal is sealed. Never reset.
};

/// True if a start request may be sent at \p Now.
bool mayAct(const Authority &Value, TimePoint Now);
/// True if the store lease alone grants authority at \p Now.
bool leaseHolds(const Authority &Value, TimePoint Now);
/// True if no recorded guardian's promise has expired at \p Now; false without guardians.
bool promisesHold(const Authority &Value, TimePoint Now);

/// Records a lease renewal that was sent at \p SentAt and granted \p Ttl.
void onLeaseRenewed(Authority &Value, TimePoint SentAt, Milliseconds Ttl, Milliseconds Margin);
/// Records that the store reported the lease as expired.
void onLeaseLost(Authority &Value);
/// Records a guardian's promise that was requested at \p SentAt and granted for \p Ttl.
void onPromise(Authority &Value, const std::string &Guardian, TimePoint SentAt, Milliseconds Ttl,
               Milliseconds Margin);

/// What a guardian has promised to each owner.
struct GuardianState {
  struct Owner {
    TimePoint PromisedUntil{};
    TimePoint LastRenewal{};
    bool Refused = false;     ///< Never reset: a refusal is final for that incarnation.
    bool OwnerCutOff = false; ///< The owner reported that it can't reach the store.
  };
  std::map<std::string, Owner> Owners; ///< By the owner's incarnation.
};

/// Promises not to help anyone claim \p Owner's shards until the time returned. Returns the zero
/// time if a promise was already refused.
TimePoint promise(GuardianState &State, const std::string &Owner, bool OwnerCutOff, TimePoint Now,
                  Milliseconds Ttl);

/// A guardian's answer to a claimant.
struct Refusal {
  bool Agreed = false;  ///< The owner gets no further promise.
  Milliseconds Wait{0}; ///< Time until the last promise expires.
};

/// Refuses \p Owner further promises, if it has not renewed for \p Silence, or if it reported
/// itself cut off from the store while the store answers here (\p StoreUp).
Refusal refuse(GuardianState &State, const std::string &Owner, bool StoreUp, Milliseconds Silence,
               TimePoint Now);

/// Chooses up to \p MaxCount guardians for \p Self among \p Peers (incarnation to availability
/// zone), other zones first. The choice is stable while \p Peers does not change.
std::vector<std::string> chooseGuardians(const std::string &Self, const std::string &Zone,
                                         const std::map<std::string, std::string> &Peers,
                                         size_t MaxCount);

} // namespace valveshelf
