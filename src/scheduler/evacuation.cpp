// SPDX-License-Identifier: Apache-2.0
// Evacuation of availability zones.
#include "valveshelf/cell_state.h"

namespace valveshelf::sched {

bool evacuate(CellState &Cell, EvacuatedZones Zones) {
  if (Zones.Revision < Cell.Evacuated.Revision)
    return false;
  const bool Changed = Zones.Names != Cell.Evacuated.Names;
  Cell.Evacuated = std::move(Zones);
  for (auto &[Id, On] : Cell.Workers)
    On.InEvacuatedZone = Cell.Evacuated.Names.count(On.Info.Zone) > 0;
  return Changed;
}

bool takesWork(const Worker &On) { return On.Listed && !On.Info.Draining && !On.InEvacuatedZone; }

} // namespace valveshelf::sched
