// SPDX-License-Identifier: Apache-2.0
// All processes of the cell, as the one that schedules knows them; it publishes the roster.
#pragma once

#include "cell/roster.h"
#include "valveshelf/cell_settings.h"
#include "valveshelf/coroutines.h"
#include "valveshelf/key_value_store.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace valveshelf {

/// Lives for one term, on one strand; all calls come from there.
class MemberList : public std::enable_shared_from_this<MemberList> {
public:
  /// What it needs of the process around it.
  struct Callbacks {
    std::function<void()> Changed;                        ///< Called after each change of the list.
    std::function<const sched::Roster &()> CurrentRoster; ///< The roster as the store has it.
  };
  /// Writes hold as long as the leader's key is at \p LeaderRevision.
  MemberList(Executor Where, KeyValueStore Store, const CellSettings &Settings,
             uint64_t LeaderRevision, Callbacks Owner);
  void start();
  void stop() { Stopped = true; }
  /// By name; none before the first reading.
  const std::map<std::string, sched::Member> &members() const { return Members; }

private:
  using Self = std::shared_ptr<MemberList>;
  static Awaitable<void> watchLoop(Self Me);
  static Awaitable<void> publishLoop(Self Me);
  Awaitable<Result<Done>> readAll();
  void applyChange(const KeyValue &Item, bool Gone);

  const Executor Where;
  const KeyValueStore Store;
  const CellSettings &Settings;
  const uint64_t LeaderRevision;
  const Callbacks Owner;
  std::map<std::string, sched::Member> Members;
  uint64_t Revision = 0; ///< The watch goes on from here; 0: everything has to be read.
  bool Stopped = false;
};

} // namespace valveshelf
