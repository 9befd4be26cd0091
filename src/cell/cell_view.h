// SPDX-License-Identifier: Apache-2.0
// Tracks the cell's leader and roster as stored, and keeps this process registered as a member.
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

/// A consistent snapshot of what this process knows of the cell.
struct CellSnapshot {
  /// By name: the members of the roster; while this process is the scheduler, all of the cell.
  std::map<std::string, sched::Member> Members;
  sched::Roster Roster; ///< As stored.
  std::optional<sched::Leader> Leader;
  uint64_t LeaderRevision = 0; ///< Of the leader key; 0: the key does not exist.
  uint64_t LeaderLease = 0;    ///< That the leader key is bound to; 0: none.
  bool IsLoaded = false;       ///< The store has been read.
};

/// Watches the cell. Not thread-safe: all calls come from its strand.
class CellView {
public:
  /// \p Changed is called after each change of the snapshot.
  CellView(Executor Where, KeyValueStore Store, const CellSettings &Settings,
           std::function<void()> Changed);

  void start();
  void stop() { Stopped = true; }
  /// Stops, and revokes the lease of this process's member key.
  Awaitable<void> leave();
  const CellSnapshot &snapshot() const { return Snapshot; }
  /// The highest store revision in the answers to this view's reads; 0: none. Never falls.
  uint64_t revision() const { return SeenRevision; }
  /// Sets all members of the cell, while this process is the scheduler; empty: use the roster.
  void setAllMembers(std::map<std::string, sched::Member> All);
  /// Reads the cell from the store again, for example after the supposed scheduler denied being
  /// one. Repeated calls are limited in rate.
  void refreshSoon();
  /// Longest wait of a watch that every process runs; grows with the number of processes.
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
  uint64_t Revision = 0; ///< The watch continues after it; 0: read all keys first.
  uint64_t SeenRevision = 0;
  std::map<std::string, sched::Member> AllMembers; ///< While this process is the scheduler.
  uint64_t Lease = 0;                              ///< Of this process's member key; 0: none.
  Milliseconds LeaseTtl{0}; ///< Time to live that the lease was granted with.
  bool IsRefreshing = false;
  bool Stopped = false;
};

} // namespace valveshelf
