// SPDX-License-Identifier: Apache-2.0
// Which processes are in the cell and which of them schedules, as the store has it; and this
// process's own place in that list.
#pragma once

#include "valveshelf/cell_records.h"
#include "valveshelf/cell_settings.h"
#include "valveshelf/coroutines.h"
#include "valveshelf/key_value_store.h"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace valveshelf {

/// What of the cell is known here. A copy is a consistent picture.
struct CellPicture {
  std::map<std::string, sched::Member> Members; ///< By name.
  std::optional<sched::Leader> Leader;
  uint64_t LeaderRevision = 0; ///< Of the leader's key; 0: there is none.
  bool Known = false;          ///< The store has been read.
};

/// Watches the cell. Lives on one strand; all calls come from there.
class CellView {
public:
  /// \p Changed is called after each change of the picture.
  CellView(Executor Where, KeyValueStore Store, const CellSettings &Settings,
           std::function<void()> Changed);

  void start();
  void stop() { Stopped = true; }
  /// Gives up this process's own place in the list, at once.
  Awaitable<void> leave();
  const CellPicture &picture() const { return Picture; }

private:
  Awaitable<void> watchLoop();
  Awaitable<Result<Done>> readAll();
  void take(const KeyValue &Item, bool Gone);
  Awaitable<void> memberLoop();
  Awaitable<Result<Done>> enter();

  const Executor Where;
  const KeyValueStore Store;
  const CellSettings &Settings;
  const std::function<void()> Changed;
  CellPicture Picture;
  uint64_t Revision = 0; ///< The watch goes on from here; 0: everything has to be read.
  uint64_t Lease = 0;    ///< Of this process's own key; 0: none.
  bool Stopped = false;
};

} // namespace valveshelf
