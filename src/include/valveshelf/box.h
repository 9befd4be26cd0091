// SPDX-License-Identifier: Apache-2.0
// Boxes as the platform's list describes them.
#pragma once

#include "valveshelf/endpoint.h"
#include "valveshelf/resources.h"
#include "valveshelf/selector.h"

#include <string>
#include <vector>

namespace valveshelf {

enum class BoxKind { Worker, Upstream, Entry };

/// One box of the platform's list. The list lags.
struct BoxInfo {
  std::string Name;
  BoxKind Kind = BoxKind::Worker;
  Endpoint Address;
  std::string Zone;
  std::string Rack;
  std::string Service; ///< Upstreams only.
  Resources Capacity;  ///< Workers only.
  valveshelf::Labels Labels;
  bool Leaving = false;

  friend bool operator==(const BoxInfo &, const BoxInfo &) = default;
};

using BoxList = std::vector<BoxInfo>;

/// Reads the platform's JSON list.
Result<BoxList> parseBoxList(std::string_view Json);

/// The shard that the rack belongs to. The same on every box.
uint32_t shardOfRack(const std::string &Rack, uint32_t Shards);
/// The home shard of a job.
uint32_t shardOfJob(const std::string &JobId, uint32_t Shards);

} // namespace valveshelf
