// SPDX-License-Identifier: Apache-2.0
// The processes that every process of a cell knows. Each enters itself into a list that only the
// scheduler watches; the scheduler publishes a few of them for all others, which need somebody to
// take over, to reach the store through and to ask for the configuration. In a list that all watch,
// a fleet that starts tells each process of each other one: a thousand boxes are a million entries.
#pragma once

#include "valveshelf/cell_records.h"
#include "valveshelf/clock.h"

#include <map>
#include <optional>
#include <string>

namespace valveshelf {

/// Most processes of a roster. Half of all boxes may be lost at once and leave some of them.
inline constexpr size_t RosterSize = 24;

/// The roster that should stand, given the one that stands and all that live; empty: that one does.
/// The strongest of each availability zone in turn. Those that have vanished stay as long as there
/// is room for them: entries lapse while the store is away, though their processes live.
std::optional<sched::Roster> nextRoster(const sched::Roster &Current,
                                        const std::map<std::string, sched::Member> &Live);

/// How long a process waits with its claim, so that one claim usually does: those of the roster
/// come one after the other, the strongest first. The others know nothing of each other; they come
/// behind, the stronger the earlier, each at a time of its own.
Milliseconds claimDelay(const std::map<std::string, sched::Member> &Known,
                        const sched::Member &Self);

/// True if the process watches what operators ask for itself: in a cell that few calls are enough
/// for, or on the roster.
bool watchesStore(const sched::Roster &Current, const std::string &Name);
/// The processes of the roster from which \p Name hears instead. Each begins with another one, so
/// that they share the load.
std::vector<Endpoint> watchersFor(const sched::Roster &Current, const std::string &Name);

/// A time for which each process of the cell calls the store once: at least \p Min, and so long
/// that all of them together make a bounded number of calls.
Milliseconds sharedInterval(size_t Processes, Milliseconds Min);

} // namespace valveshelf
