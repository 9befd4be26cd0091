// SPDX-License-Identifier: Apache-2.0
// Interface of the platform's key-value store, which holds the cell's durable state: conditional
// transactions, leases and watches.
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

/// A key, its value and the revision at which it was last modified.
struct KeyValue {
  std::string Key;
  std::string Value;
  uint64_t Revision = 0; ///< 0: the key does not exist.
  uint64_t Lease = 0;    ///< 0: none.
};

/// Keys that operators write.
struct OperatorKeys {
  std::string Prefix;           ///< Common prefix of all operator keys.
  std::string ConfigurationKey; ///< Holds the cell's configuration.
  std::string EvacuationPrefix; ///< Followed by the name of each availability zone to evacuate.
};

/// All keys under a prefix. Pages of a large range are not one snapshot; a watch that starts at
/// `Revision`, the revision of the first page, misses no change.
struct KeyRange {
  std::vector<KeyValue> Items;
  uint64_t Revision = 0;
};

/// A change under a prefix. A removed key has an empty value.
struct KeyChange {
  KeyValue Item;
  bool IsRemoved = false;
};
struct KeyChanges {
  std::vector<KeyChange> Changes;
  uint64_t Revision = 0; ///< The next watch continues after it.
};

/// True if the store may have truncated the answer; the next watch then returns the remaining
/// changes at once.
inline bool mayBeTruncated(const KeyChanges &Read) {
  constexpr size_t TruncationThreshold = 100; // below the store's limit for one answer
  return Read.Changes.size() >= TruncationThreshold;
}

/// Applied atomically, if all conditions hold. The rows of all three lists together are limited to
/// `MaxTransactionRows`.
struct Transaction {
  struct Condition {
    std::string Key;
    uint64_t Revision = 0; ///< 0: the key must not exist.
  };
  std::vector<Condition> Conditions;
  std::vector<KeyValue> Puts; ///< Revision is ignored.
  std::vector<std::string> Removes;

  size_t rows() const { return Conditions.size() + Puts.size() + Removes.size(); }
  void append(Transaction More) {
    std::move(More.Conditions.begin(), More.Conditions.end(), std::back_inserter(Conditions));
    std::move(More.Puts.begin(), More.Puts.end(), std::back_inserter(Puts));
    std::move(More.Removes.begin(), More.Removes.end(), std::back_inserter(Removes));
  }
};
/// The platform's limit on rows in a transaction.
inline constexpr size_t MaxTransactionRows = 32;

struct TransactionResult {
  bool Applied = false;
  uint64_t Revision = 0;              ///< Of the change, if applied.
  std::vector<KeyValue> CurrentItems; ///< The conditions' keys, if not applied.
};

/// Operations of the store. Errors: StoreUnavailable (nothing was written), OutcomeUnknown (a write
/// may have been applied, or may still be), NotFound (no such lease, or a watch's start revision
/// has been compacted).
struct KeyValueStore {
  std::function<Awaitable<Result<KeyValue>>(std::string Key)> Get;
  /// Reads all pages. \p AllowStale: cheaper; the result may be seconds old.
  std::function<Awaitable<Result<KeyRange>>(std::string Prefix, bool AllowStale)> Range;
  /// Returns the changes after revision \p After as soon as there are any, or none after \p Wait.
  std::function<Awaitable<Result<KeyChanges>>(std::string Prefix, uint64_t After,
                                              Milliseconds Wait)>
      Watch;
  std::function<Awaitable<Result<TransactionResult>>(Transaction What)> Commit;
  std::function<Awaitable<Result<uint64_t>>(Milliseconds Ttl)> GrantLease;
  std::function<Awaitable<Result<Done>>(uint64_t Lease)> RenewLease;
  std::function<Awaitable<Result<Done>>(uint64_t Lease)> RevokeLease;
};

} // namespace valveshelf
