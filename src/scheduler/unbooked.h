// SPDX-License-Identifier: Apache-2.0
// Notes runs that are unbooked without an end, and reports that contradict it. Private to
// src/scheduler.
#pragma once

#include "valveshelf/cell_state.h"

namespace valveshelf::sched {

/// An attempt is about to be removed without its end. Planned ones are left out: they were never
/// ordered.
void noteUnbooked(CellState &Cell, const Worker &On, const RunKey &Run, std::string_view Why,
                  TimePoint Now, Effects &Out);
/// The worker's report names runs: tells those that were unbooked there. The end of a run at the
/// end of its lease contradicts nothing.
void noteContradictions(CellState &Cell, const Worker &On, const WorkerReport &Report,
                        TimePoint Now, Effects &Out);

} // namespace valveshelf::sched
