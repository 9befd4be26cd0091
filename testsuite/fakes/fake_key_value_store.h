// SPDX-License-Identifier: Apache-2.0
// A key-value store in memory, written by hand for unit tests: transactions under conditions,
// watches, leases that a test ends, answers that are lost.
#pragma once

#include "valveshelf/coroutines.h"
#include "valveshelf/key_value_store.h"

#include <boost/asio.hpp>

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace valveshelf::fakes {

class FakeKeyValueStore {
public:
  explicit FakeKeyValueStore(boost::asio::io_context &) {}

  bool Down = false;          ///< Everything is refused.
  bool IsWatchSilent = false; ///< Watches are answered, and nothing is in them.
  size_t MostChanges = 500;   ///< Told by one answer to a watch.
  int ForgottenWatches = 0;   ///< So many watches find that their history is gone.
  int LoseAnswers = 0;        ///< So many transactions are done and answer OutcomeUnknown.
  int Commits = 0;
  std::function<Awaitable<void>()> BeforeGrant; ///< For races.

  void put(const std::string &Key, std::string Value, uint64_t Lease) {
    Items[Key] = {Key, std::move(Value), ++Revision, Lease};
    History.push_back({Items[Key], false});
  }
  void remove(const std::string &Key) {
    if (Items.erase(Key) > 0)
      History.push_back({{Key, "", ++Revision, 0}, true});
  }
  std::string value(const std::string &Key) const {
    const auto Found = Items.find(Key);
    return Found == Items.end() ? "" : Found->second.Value;
  }
  void endLease(uint64_t Lease) {
    Leases.erase(Lease);
    std::vector<std::string> Gone;
    for (const auto &[Key, Item] : Items)
      if (Item.Lease == Lease)
        Gone.push_back(Key);
    for (const std::string &Key : Gone)
      remove(Key);
  }

  KeyValueStore ops() {
    KeyValueStore Ops;
    Ops.Get = [this](std::string Key) -> Awaitable<Result<KeyValue>> {
      if (Down)
        co_return refusal();
      const auto Found = Items.find(Key);
      co_return Found == Items.end() ? KeyValue{Key, "", 0, 0} : Found->second;
    };
    Ops.Range = [this](std::string Prefix, bool) -> Awaitable<Result<KeyRange>> {
      if (Down)
        co_return refusal();
      KeyRange Found{{}, Revision};
      for (const auto &[Key, Item] : Items)
        if (Key.starts_with(Prefix))
          Found.Items.push_back(Item);
      co_return Found;
    };
    Ops.Watch = [this](std::string Prefix, uint64_t After,
                       Milliseconds Wait) -> Awaitable<Result<KeyChanges>> {
      const TimePoint Until = Steady::now() + Wait;
      if (ForgottenWatches > 0) {
        --ForgottenWatches;
        co_return Error{ErrorKind::NotFound, "history is gone"};
      }
      while (true) {
        if (Down)
          co_return refusal();
        KeyChanges Found{{}, Revision};
        for (const KeyChange &Change : History) {
          if (IsWatchSilent || Change.Item.Revision <= After ||
              !Change.Item.Key.starts_with(Prefix))
            continue;
          if (Found.Changes.size() == MostChanges) {
            Found.Revision = Found.Changes.back().Item.Revision;
            break;
          }
          Found.Changes.push_back(Change);
        }
        if (!Found.Changes.empty() || Steady::now() >= Until)
          co_return Found;
        co_await sleepFor(Milliseconds(1));
      }
    };
    Ops.Commit = [this](Transaction What) -> Awaitable<Result<TransactionResult>> {
      co_return commit(What);
    };
    Ops.GrantLease = [this](Milliseconds) -> Awaitable<Result<uint64_t>> {
      if (Down)
        co_return refusal();
      if (BeforeGrant)
        co_await BeforeGrant();
      Leases.insert(++LastLease);
      co_return LastLease;
    };
    Ops.RenewLease = [this](uint64_t Lease) -> Awaitable<Result<Done>> {
      if (Down)
        co_return refusal();
      if (!Leases.count(Lease))
        co_return Error{ErrorKind::NotFound, "no such lease"};
      co_return Done{};
    };
    Ops.RevokeLease = [this](uint64_t Lease) -> Awaitable<Result<Done>> {
      endLease(Lease);
      co_return Done{};
    };
    return Ops;
  }

private:
  static Error refusal() { return {ErrorKind::StoreUnavailable, "down"}; }

  Result<TransactionResult> commit(const Transaction &What) {
    if (Down)
      return refusal();
    ++Commits;
    TransactionResult Answer;
    bool Holds = true;
    for (const Transaction::Condition &Row : What.Conditions) {
      const auto Found = Items.find(Row.Key);
      Holds = Holds && (Found == Items.end() ? 0 : Found->second.Revision) == Row.Revision;
      if (Found != Items.end())
        Answer.CurrentItems.push_back(Found->second);
    }
    if (!Holds)
      return Answer;
    const uint64_t Shared = ++Revision;
    for (const KeyValue &Row : What.Puts) {
      Items[Row.Key] = {Row.Key, Row.Value, Shared, Row.Lease};
      History.push_back({Items[Row.Key], false});
    }
    for (const std::string &Key : What.Removes)
      if (Items.erase(Key) > 0)
        History.push_back({{Key, "", Shared, 0}, true});
    if (LoseAnswers > 0) {
      --LoseAnswers;
      return Error{ErrorKind::OutcomeUnknown, "lost"};
    }
    Answer.Applied = true;
    Answer.Revision = Shared;
    return Answer;
  }

  std::map<std::string, KeyValue> Items;
  std::vector<KeyChange> History;
  std::set<uint64_t> Leases;
  uint64_t Revision = 1; ///< A store is never at revision 0.
  uint64_t LastLease = 0;
};

} // namespace valveshelf::fakes
