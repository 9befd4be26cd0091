// SPDX-License-Identifier: Apache-2.0
// The platform's list of boxes, and the assignment of racks and jobs to shards.
#pragma once

#include "valveshelf/endpoint.h"
#include "valveshelf/resources.h"
#include "valveshelf/selector.h"

#include <string>
#include <vector>

namespace valveshelf {

enum class BoxKind { Worker, Upstream, Entry };

/// One box of the platform's list. The list may be out of date.
struct BoxInfo {
  std::string Name;
  BoxKind Kind = BoxKind::Worker;
  Endpoint Address;
  std::string Zone;
  std::string Rack;
  std::string Service; ///< Upstreams only.
  Resources Capacity;  ///< Workers only.
  valveshelf::Labels Labels;
  bool Leaving = false; ///< The platform is taking the box out of service.

  friend bool operator==(const BoxInfo &, const BoxInfo &) = default;
};

using BoxList = std::vector<BoxInfo>;

/// Parses the platform's JSON list. Returns BadRequest if the list is malformed or a box
/// has no name or no valid address.
Result<BoxList> parseBoxList(std::string_view Json);

/// The shard that the rack belongs to: a stable hash, the same on every box. \p Shards is not 0.
uint32_t shardOfRack(const std::string &Rack, uint32_t Shards);
/// The home shard of a job, by the same hash.
uint32_t shardOfJob(const std::string &JobId, uint32_t Shards);

} // namespace valveshelf
