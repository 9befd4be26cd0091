// SPDX-License-Identifier: Apache-2.0
// Which process schedules and which others everybody knows, as the store has it; and this process's
// own place in the list of all.
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

/// What of the cell is known here. A copy is a consistent snapshot.
struct CellSnapshot {
  /// By name: those of the roster, and all of the cell while this process schedules.
  std::map<std::string, sched::Member> Members;
  sched::Roster Roster; ///< As the store has it.
  std::optional<sched::Leader> Leader;
  uint64_t LeaderRevision = 0; ///< Of the leader's key; 0: there is none.
  bool IsLoaded = false;       ///< The store has been read.
};

/// Watches the cell. Lives on one strand; all calls come from there.
class CellView {
public:
  /// \p Changed is called after each change of the snapshot.
  CellView(Executor Where, KeyValueStore Store, const CellSettings &Settings,
           std::function<void()> Changed);

  void start();
  void stop() { Stopped = true; }
  /// Gives up this process's own place in the list, at once.
  Awaitable<void> leave();
  const CellSnapshot &snapshot() const { return Snapshot; }
  /// While this process schedules: all processes of the cell. Without any the roster holds.
  void setAllMembers(std::map<std::string, sched::Member> All);
  /// Something speaks against the snapshot, such as a scheduler that says it is none: it is read
  /// again, soon.
  void refreshSoon();
  /// The longest wait of a watch that every process has.
  Milliseconds watchTime() const;

private:
  Awaitable<void> watchLoop();
  Awaitable<Result<Done>> readAll();
  Awaitable<void> refresh();
  void applyItem(const KeyValue &Item, bool IsRemoved);
  void applyRoster(const KeyValue &Item, bool IsRemoved);
  void updateMembers();
  Awaitable<void> memberLoop();
  Milliseconds memberLease() const;
  Awaitable<Result<Done>> registerMember();

  const Executor Where;
  const KeyValueStore Store;
  const CellSettings &Settings;
  const std::function<void()> Changed;
  CellSnapshot Snapshot;
  uint64_t Revision = 0; ///< The watch goes on from here; 0: everything has to be read.
  std::map<std::string, sched::Member> AllMembers; ///< While this process schedules.
  uint64_t Lease = 0;                              ///< Of this process's own key; 0: none.
  Milliseconds LeaseTtl{0};                        ///< That it was granted for.
  bool IsRefreshing = false;                       ///< The snapshot is being read again.
  bool Stopped = false;
};

} // namespace valveshelf
