// SPDX-License-Identifier: Apache-2.0
// One incarnation of an entry process in the cell: its journal, lease, promises and shards.
// When the journal is sealed by another, the session is over and the process begins a new one.
#pragma once

#include "valveshelf/config_keeper.h"
#include "valveshelf/ownership.h"

#include <atomic>
#include <memory>
#include <string>

namespace valveshelf {

/// What sessions of one process share. Everything outlives them.
struct SessionTools {
  Executor Where;
  Clock Time;
  EntrySettings Settings;
  StoreOps Store;
  WorkerOps Workers;
  PeerOps Peers;
  CellWatch &Watch;
  ShardDirectory &Directory;
  ConfigSource Config;
};

/// Safe from any thread. Never destroyed before the process ends, since its loops refer to it.
class Session {
public:
  /// \p LogId names the incarnation; no other may ever have had it.
  Session(SessionTools Tools, std::string LogId);

  const std::string &logId() const { return Self.Log; }
  /// Takes the lease and begins to claim. Conflict: the name is taken.
  Awaitable<Result<Done>> join();
  /// True once the session can do no more.
  bool hasEnded() const;
  /// Gives up everything at once.
  void abandon();
  /// The planned end: announces it, hands over, gives the lease back. Returns how many shards
  /// found no heir.
  Awaitable<size_t> leave();
  /// True if no start of this session can still be on its way.
  bool hasStoppedSending() const;
  bool mayAct();

  Journal &journal() { return Log; }
  Ownership &ownership() { return Owned; }
  PromiseKeeper &promises() { return Promises; }
  SharedAuthority &authority() { return Shared; }

private:
  void updateWriteRate();
  Awaitable<void> watchLoop();

  const SessionTools Tools;
  MemberInfo Self;
  SharedAuthority Shared;
  WriteBudget Budget;
  PromiseKeeper Promises;
  Journal Log;
  LeaseKeeper Lease;
  Ownership Owned;
  std::atomic<bool> Abandoned{false};
};

} // namespace valveshelf
