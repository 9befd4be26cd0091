// SPDX-License-Identifier: Apache-2.0
// One incarnation of an entry process in the cell: its journal, lease, promises and shards.
// The session ends when another process seals its journal; the entry process then starts a new one.
#pragma once

#include "valveshelf/config_keeper.h"
#include "valveshelf/ownership.h"

#include <atomic>
#include <memory>
#include <string>

namespace valveshelf {

/// Dependencies shared by the sessions of one process. All of them must outlive the sessions.
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

/// Thread-safe. Must not be destroyed before the process ends, because its loops refer to it.
class Session {
public:
  /// \p LogId identifies the incarnation and must never have been used before.
  Session(SessionTools Tools, std::string LogId);

  const std::string &logId() const { return Self.Log; }
  /// Acquires the lease and starts claiming shards. Fails with Conflict if the member name is
  /// taken.
  Awaitable<Result<Done>> join();
  /// True once the session was abandoned. It never becomes active again.
  bool hasEnded() const;
  /// Fences the session and stops its loops at once, without handing shards over.
  void abandon();
  /// Graceful shutdown: announces it, hands the shards over and releases the lease. Returns the
  /// number of shards that could not be handed over.
  Awaitable<size_t> leave();
  /// True once the session has ended and none of its task starts can still be in flight.
  bool hasStoppedSending() const;
  /// True while the session has the authority to act for its shards.
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
