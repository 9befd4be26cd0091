// SPDX-License-Identifier: Apache-2.0
// Authentication of callers: the key in a request, and the organisation that it belongs to.
#pragma once

#include "valveshelf/http.h"
#include "valveshelf/workload.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace valveshelf {

/// The keys of one configuration, by a digest with a secret seed, so that the time of a lookup
/// reveals nothing about how much of a key was right.
struct KeyIndex {
  using Digest = std::pair<uint64_t, uint64_t>;
  struct Entry {
    std::string Key;
    const sched::Organisation *Owner = nullptr; ///< Points into `Config`.
  };
  sched::ConfigurationPtr Config; ///< Keeps the owners alive.
  uint64_t Seed = 0;
  std::map<Digest, Entry> Entries;
};

KeyIndex makeKeyIndex(sched::ConfigurationPtr Config, uint64_t Seed);

/// The organisation that \p Key belongs to; null if the key is not in force.
const sched::Organisation *findKeyOwner(const KeyIndex &Index, std::string_view Key);

/// The key in header field \p Name. Empty if the field is missing, occurs more than once, or is
/// malformed: no bytes, more than 200, or control characters.
std::optional<std::string> readCallerKey(const HeaderList &Headers, std::string_view Name);

} // namespace valveshelf
