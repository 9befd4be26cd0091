// SPDX-License-Identifier: Apache-2.0
// Which organisation a caller speaks for: its key, read from the request and looked up.
#pragma once

#include "valveshelf/http.h"
#include "valveshelf/workload.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace valveshelf {

/// The keys of one configuration. A look-up goes by a digest under a seed that nobody outside the
/// process knows, so that its time tells nothing of how much of a key was right.
struct KeyIndex {
  using Digest = std::pair<uint64_t, uint64_t>;
  struct Entry {
    std::string Key;
    const sched::Organisation *Owner = nullptr; ///< Inside `Config`.
  };
  sched::ConfigurationPtr Config; ///< Keeps the owners alive.
  uint64_t Seed = 0;
  std::map<Digest, Entry> Entries;
};

KeyIndex makeKeyIndex(sched::ConfigurationPtr Config, uint64_t Seed);

/// The organisation whose key it is; null: the key is not in force.
const sched::Organisation *findKeyOwner(const KeyIndex &Index, std::string_view Key);

/// The key in header field \p Name. Empty if there is none, if it stands there twice, or if it
/// can't be a key: no bytes, more than 200, or control characters.
std::optional<std::string> readCallerKey(const HeaderList &Headers, std::string_view Name);

} // namespace valveshelf
