// SPDX-License-Identifier: Apache-2.0
// Which workers a task may run on, and which of them is best.
#pragma once

#include "valveshelf/cell_config.h"
#include "valveshelf/shard_state.h"

namespace valveshelf {

/// The rooms that the task's own selector and the operators' steering allow, one flag a room.
/// Cached in \p State until workers or configuration change.
const std::vector<char> &selectedCandidates(ShardState &State, const JobSpec &Spec,
                                            const CellConfig &Config);

/// True if steering holds the workload back.
bool isHeldBack(const JobSpec &Spec, const CellConfig &Config);

/// The best usable worker with room for the task, or null. \p Avoid is passed over if there is
/// another.
WorkerState *bestWorker(ShardState &State, const JobSpec &Spec, const CellConfig &Config,
                        const std::string &Avoid);

} // namespace valveshelf
