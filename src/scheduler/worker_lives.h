// SPDX-License-Identifier: Apache-2.0
// Workers that start again under their id. The new life is a worker of its own; the attempts of the
// earlier one stay booked until a report shows which of them the new life holds after all.
#pragma once

#include "valveshelf/cell_state.h"

namespace valveshelf::sched {

/// Returns the worker with that id; adds it if there is none.
Worker &findOrAddWorker(CellState &Cell, const std::string &Id);

/// Gives a new worker its first fencing token, and keeps later ones above that of \p From, which is
/// removed or becomes an earlier life.
void assignToken(CellState &Cell, Worker &To);
void retireToken(CellState &Cell, const Worker &From);

/// Makes the worker \p Was an earlier life and returns the new one, which has not reported.
Worker &beginNewLife(CellState &Cell, Worker &Was, const LifeStatement &Stated, std::string_view By,
                     TimePoint Now);

/// Keys of the earlier lives of the worker that are not settled.
std::vector<std::string> earlierLivesOf(const CellState &Cell, const Worker &On);

/// Releases attempts of earlier lives that the report of the new life names, to be taken over from
/// it, and adds them to `Worker::CarriedOut`.
void releaseCarriedOutRuns(CellState &Cell, Worker &On, const WorkerReport &Report, Effects &Out);
/// The new life has named all runs that it has carried out: the other attempts of earlier lives are
/// lost.
void endEarlierLives(CellState &Cell, const Worker &On, TimePoint Now, Effects &Out);
/// Call after the earlier lives have ended and the released runs were taken over: stops members of
/// gangs that have lost others.
void stopIncompleteGangs(CellState &Cell, Worker &On, TimePoint Now, Effects &Out);

} // namespace valveshelf::sched
