// SPDX-License-Identifier: Apache-2.0
// The operators' configuration in force here: taken from the store or from peers, never an
// older version than before, and changed by compare-and-swap.
#pragma once

#include "valveshelf/cell_config.h"
#include "valveshelf/membership.h"

#include <memory>
#include <mutex>
#include <string>

namespace valveshelf {

/// A change that an operator asks for.
struct ConfigChange {
  std::string Partner;
  std::string Text;         ///< TOML of the partner's part.
  uint64_t BaseVersion = 0; ///< Version of the part that the operator started from.
  std::string Id;           ///< Names the change, so that a lost answer can be resolved.
};

/// Safe from any thread.
class ConfigKeeper {
public:
  ConfigKeeper(StoreOps Store, Clock Time, PeerOps Peers, CellWatch &Watch);

  std::shared_ptr<const CellConfig> current() const;
  /// Takes in the stored form if it is newer. \p Peer names where it came from, empty for the
  /// store.
  void applyIfNewer(const std::string &Text, const std::string &Peer);
  /// Asks a peer that has a newer version for it.
  Awaitable<void> fetchFrom(Endpoint Peer);
  /// Makes the change durable. BadSettings lists every error; Conflict names what won;
  /// StoreUnavailable means not accepted; OutcomeUnknown: ask by the id.
  Awaitable<Result<uint64_t>> apply(ConfigChange Change);
  /// The version that change \p Id brought, if it is the last of its partner.
  Awaitable<Result<uint64_t>> resolve(std::string Partner, std::string Id);

private:
  Awaitable<Result<uint64_t>> applyOnce(const ConfigChange &Change, const PartnerConfig &Parsed);

  const StoreOps Store;
  const Clock Time;
  const PeerOps Peers;
  CellWatch &Watch;
  mutable std::mutex Mutex;
  std::shared_ptr<const CellConfig> Current; ///< Guarded by Mutex. Its version only grows.
};

} // namespace valveshelf
