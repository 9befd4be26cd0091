// SPDX-License-Identifier: Apache-2.0
// Pace of the restarts of long-running tasks. A task whose runs end soon after their start would
// otherwise be started as often as its worker reports the ends, at the cost of all other work.
#pragma once

#include "valveshelf/cell_state.h"

namespace valveshelf::sched {

/// A run that has lasted for this time is not short. Operators allow a long-running task to be away
/// for three seconds; the rest is for the report of its end and for its placement.
inline constexpr Milliseconds MaxRestartInterval{2000};

/// The least time between two starts of a task after \p ShortRuns short runs in a row. At most
/// `MaxRestartInterval`.
Milliseconds restartInterval(uint32_t ShortRuns);
/// The restarts of the task, or of its gang.
RestartState &restartsOf(StepState &Step, uint32_t Index);
/// Call when the end of a run is reported, before its attempt is removed. Sets when the task may be
/// started again if it is long-running and the run ended by itself.
void paceRestart(CellState &Cell, const Worker &On, const EndedRun &End, TimePoint Now,
                 Effects &Out);

} // namespace valveshelf::sched
