// SPDX-License-Identifier: Apache-2.0
// The platform's key-value store: transactions under conditions, leases and watches. What the
// cell must not lose lives there.
#pragma once

#include "valveshelf/clock.h"
#include "valveshelf/errors.h"
#include "valveshelf/http.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <iterator>
#include <optional>
#include <string>
#include <vector>

namespace valveshelf {

/// A key with its value and the revision of its last change.
struct KeyValue {
  std::string Key;
  std::string Value;
  uint64_t Revision = 0; ///< 0: there is no such key.
  uint64_t Lease = 0;    ///< 0: none.
};

/// Where operators write what they ask for.
struct OperatorKeys {
  std::string Prefix;           ///< Of all of it.
  std::string ConfigurationKey; ///< The key of the configuration.
  std::string EvacuationPrefix; ///< A key under it for each availability zone to be left empty.
};

/// What stood under a prefix. Pages of a large range are not one snapshot; a watch that goes on
/// from `Revision`, which is that of the first page, misses nothing.
struct KeyRange {
  std::vector<KeyValue> Items;
  uint64_t Revision = 0;
};

/// What changed under a prefix. A key that has gone comes with an empty value and Gone set.
struct KeyChange {
  KeyValue Item;
  bool IsRemoved = false;
};
struct KeyChanges {
  std::vector<KeyChange> Changes;
  uint64_t Revision = 0; ///< Where the next watch goes on.
};

/// True if the answer may have been cut short: the store tells some hundreds of changes at a time,
/// and what a busy prefix has more of comes with the next watch.
inline bool mayBeTruncated(const KeyChanges &Read) {
  // Well below what one answer holds.
  constexpr size_t TruncationThreshold = 100;
  return Read.Changes.size() >= TruncationThreshold;
}

/// All of it or nothing. Rows of all three lists count towards `MaxTransactionRows`.
struct Transaction {
  struct Condition {
    std::string Key;
    uint64_t Revision = 0; ///< 0: the key must not exist.
  };
  std::vector<Condition> Conditions;
  std::vector<KeyValue> Puts; ///< Key, Value and Lease are read.
  std::vector<std::string> Removes;

  size_t rows() const { return Conditions.size() + Puts.size() + Removes.size(); }
  void append(Transaction More) {
    std::move(More.Conditions.begin(), More.Conditions.end(), std::back_inserter(Conditions));
    std::move(More.Puts.begin(), More.Puts.end(), std::back_inserter(Puts));
    std::move(More.Removes.begin(), More.Removes.end(), std::back_inserter(Removes));
  }
};
/// Most rows the store takes in one transaction. (The platform's limit.)
inline constexpr size_t MaxTransactionRows = 32;

struct TransactionResult {
  bool Applied = false;
  uint64_t Revision = 0;              ///< Of the change, if it was applied.
  std::vector<KeyValue> CurrentItems; ///< The conditions' keys as they stand, if it was not.
};

/// The store. Errors: StoreUnavailable (surely nothing was done), OutcomeUnknown (a write that may
/// have been done or may still be), NotFound (no such lease; a watch whose history is gone).
struct KeyValueStore {
  std::function<Awaitable<Result<KeyValue>>(std::string Key)> Get;
  /// Reads all pages. \p AllowStale: cheaper, and possibly seconds old.
  std::function<Awaitable<Result<KeyRange>>(std::string Prefix, bool AllowStale)> Range;
  /// Returns as soon as something changes after \p After, or with no changes after \p Wait.
  std::function<Awaitable<Result<KeyChanges>>(std::string Prefix, uint64_t After,
                                              Milliseconds Wait)>
      Watch;
  std::function<Awaitable<Result<TransactionResult>>(Transaction What)> Commit;
  std::function<Awaitable<Result<uint64_t>>(Milliseconds Ttl)> GrantLease;
  std::function<Awaitable<Result<Done>>(uint64_t Lease)> RenewLease;
  std::function<Awaitable<Result<Done>>(uint64_t Lease)> RevokeLease;
};

} // namespace valveshelf
