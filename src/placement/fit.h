// SPDX-License-Identifier: Apache-2.0
// Selects the worker for a task: which ones it may run on, and which of them is best.
#pragma once

#include "valveshelf/cell_config.h"
#include "valveshelf/shard_state.h"

namespace valveshelf {

/// Returns one flag for each of ShardState::Candidates: true if the task's selector and the
/// operators' steering allow it. Cached in \p State until workers or configuration change.
const std::vector<char> &selectedCandidates(ShardState &State, const JobSpec &Spec,
                                            const CellConfig &Config);

/// True if the operators' steering holds the workload back.
bool isHeldBack(const JobSpec &Spec, const CellConfig &Config);

/// Returns the best usable worker with capacity for the task, or null. Chooses \p Avoid only if no
/// other worker fits.
WorkerState *bestWorker(ShardState &State, const JobSpec &Spec, const CellConfig &Config,
                        const std::string &Avoid);

} // namespace valveshelf
