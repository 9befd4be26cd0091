// SPDX-License-Identifier: Apache-2.0
// Pace of the restarts of long-running tasks. A task whose runs end soon after their start would
// otherwise be started as often as its worker reports the ends, at the cost of all other work.
#pragma once

#include "valveshelf/cell_state.h"

namespace valveshelf::sched {

/// In any time T, a long-running task is started at most 1 + RestartBurst + T / RestartInterval
/// times after runs that ended by themselves. A task that is due waits for at most one interval
/// from its last start: operators allow it to be away for three seconds, and the rest is for the
/// report of its end and for its placement.
inline constexpr Milliseconds RestartInterval{2000};
inline constexpr uint32_t RestartBurst = 4;

/// Counts a run that began at \p Began and has ended by itself. Returns when the next one may
/// begin.
TimePoint payForRestart(RestartState &Restarts, TimePoint Began);
/// The restarts of the task, or of its gang.
RestartState &restartsOf(StepState &Step, uint32_t Index);
/// Call when the end of a run is reported, before its attempt is removed. Sets when the task may be
/// started again if it is long-running and the run ended by itself.
void paceRestart(CellState &Cell, const Worker &On, const EndedRun &End, TimePoint Now,
                 Effects &Out);

} // namespace valveshelf::sched
