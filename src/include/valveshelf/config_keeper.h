// SPDX-License-Identifier: Apache-2.0
// Holds the operators' configuration in force in this process. It comes from the store or from
// peers, is never replaced by an older version, and is changed by compare-and-swap.
#pragma once

#include "valveshelf/cell_config.h"
#include "valveshelf/membership.h"

#include <memory>
#include <mutex>
#include <string>

namespace valveshelf {

/// A change requested by an operator.
struct ConfigChange {
  std::string Partner;
  std::string Text;         ///< TOML of the partner's part.
  uint64_t BaseVersion = 0; ///< Version of the part that the change is based on.
  std::string Id;           ///< For `resolve` after a lost response.
};

/// Safe from any thread.
class ConfigKeeper {
public:
  ConfigKeeper(StoreOps Store, Clock Time, PeerOps Peers, CellWatch &Watch);

  std::shared_ptr<const CellConfig> current() const;
  /// Decodes a stored configuration and applies it if it is newer. \p Peer names the peer it came
  /// from; empty for the store.
  void applyIfNewer(const std::string &Text, const std::string &Peer);
  /// Fetches the configuration of a peer and applies it if it is newer.
  Awaitable<void> fetchFrom(Endpoint Peer);
  /// Validates the change, makes it durable and returns its version. Errors: BadSettings lists
  /// every error in the text; Conflict names the version that won; StoreUnavailable: not accepted;
  /// OutcomeUnknown: call `resolve` to find out.
  Awaitable<Result<uint64_t>> apply(ConfigChange Change);
  /// The version that change \p Id created; NotFound if it is not its partner's latest change.
  Awaitable<Result<uint64_t>> resolve(std::string Partner, std::string Id);

private:
  Awaitable<Result<uint64_t>> applyOnce(const ConfigChange &Change, const PartnerConfig &Parsed);

  const StoreOps Store;
  const Clock Time;
  const PeerOps Peers;
  CellWatch &Watch;
  mutable std::mutex Mutex;
  std::shared_ptr<const CellConfig> Current; ///< Guarded by Mutex. Its version only increases.
};

} // namespace valveshelf
