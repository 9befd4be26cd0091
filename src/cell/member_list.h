// SPDX-License-Identifier: Apache-2.0
// All members of the cell, as known to the scheduler, which publishes the roster from them.
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

/// Exists for one term. All calls must come from one strand.
class MemberList : public std::enable_shared_from_this<MemberList> {
public:
  struct Callbacks {
    std::function<void()> Changed;                        ///< Called after each change of the list.
    std::function<const sched::Roster &()> CurrentRoster; ///< As last read from the store.
  };
  /// The roster is only written while the leader key is at \p LeaderRevision, and not before
  /// \p PublishDelay: until then the members of the roster before may confirm the scheduler before,
  /// and a further claimant has to tell one of them.
  MemberList(Executor Where, KeyValueStore Store, const CellSettings &Settings,
             uint64_t LeaderRevision, Milliseconds PublishDelay, Callbacks Owner);
  void start();
  void stop() { Stopped = true; }
  /// By name; empty until the list has been read.
  const std::map<std::string, sched::Member> &members() const { return Members; }
  /// By name: the members of all rosters that this term has written or may have.
  const std::map<std::string, sched::Member> &possiblyWritten() const { return PossiblyWritten; }

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
  const Milliseconds PublishDelay;
  const Callbacks Owner;
  std::map<std::string, sched::Member> Members;
  std::map<std::string, sched::Member> PossiblyWritten;
  uint64_t Revision = 0;         ///< The watch resumes from here; 0: everything must be read.
  bool IsWriteUncertain = false; ///< A write of the roster may still be applied.
  bool Stopped = false;
};

} // namespace valveshelf
