// SPDX-License-Identifier: Apache-2.0
// The roster: the members that every process of a cell knows, and that can take over, relay store
// calls and serve the configuration. Each process registers in a list that only the scheduler
// watches; the scheduler publishes the roster from it. If all processes watched the full list, the
// start of a fleet would cost a number of updates quadratic in its size.
#pragma once

#include "valveshelf/cell_records.h"
#include "valveshelf/clock.h"

#include <map>
#include <optional>
#include <string>

namespace valveshelf {

/// Maximum number of members; some must remain when half of all boxes are lost at once.
inline constexpr size_t RosterSize = 24;

bool isListed(const sched::Roster &Current, const std::string &Name);

/// The roster to publish, given the current one and all registered members; empty if the current
/// one is still valid. Takes the strongest members of each availability zone in turn. Members that
/// have disappeared stay while there is room: registrations expire while the store is unavailable,
/// though their processes are alive.
std::optional<sched::Roster> nextRoster(const sched::Roster &Current,
                                        const std::map<std::string, sched::Member> &Live);

/// How long a process waits before it claims leadership, so that concurrent claims are rare. The
/// members in \p Known claim one after the other, the strongest first. All others claim after them,
/// the stronger the earlier, with a jitter.
Milliseconds claimDelay(const std::map<std::string, sched::Member> &Known,
                        const sched::Member &Self);

/// True if the process watches the operators' keys in the store itself: every process of a small
/// cell, and the members of the roster.
bool watchesStore(const sched::Roster &Current, const std::string &Name);
/// The members of the roster that \p Name polls instead. Each process starts with another one, to
/// balance the load.
std::vector<Endpoint> watchersFor(const sched::Roster &Current, const std::string &Name);

/// Interval at which each process may call the store once: at least \p Min, and long enough to
/// bound the call rate of all processes together.
Milliseconds sharedInterval(size_t Processes, Milliseconds Min);

} // namespace valveshelf
