// SPDX-License-Identifier: Apache-2.0
// A store in memory, written by hand for unit tests: compare-and-swap, leases that a test ends,
// outages, and answers lost after or before the effect.
#pragma once

#include "valveshelf/platform.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace valveshelf::fakes {

struct FakeStore {
  struct Kept {
    std::string Value;
    uint64_t Version = 0;
    uint64_t Lease = 0;
  };
  std::map<std::string, Kept> Items;
  std::set<uint64_t> Leases;
  uint64_t Revision = 0;
  uint64_t LastLease = 0;
  bool Outage = false;
  int LoseAnswersAfter = 0;  ///< So many writes take effect and answer OutcomeUnknown.
  int LoseAnswersBefore = 0; ///< So many writes do nothing and answer OutcomeUnknown.
  int Writes = 0;
  std::function<void(const std::string &Key)> BeforePut; ///< For races.

  Result<uint64_t> put(const std::string &Key, const std::string &Value, uint64_t Expect,
                       uint64_t Lease) {
    if (BeforePut)
      BeforePut(Key);
    if (Outage)
      return Error{ErrorKind::StoreUnavailable, "outage"};
    ++Writes;
    if (LoseAnswersBefore > 0) {
      --LoseAnswersBefore;
      return Error{ErrorKind::OutcomeUnknown, "lost before"};
    }
    Kept &Item = Items[Key];
    if (Item.Version != Expect)
      return Error{ErrorKind::Conflict, "version " + std::to_string(Item.Version)};
    Item = {Value, ++Revision, Lease};
    if (LoseAnswersAfter > 0) {
      --LoseAnswersAfter;
      return Error{ErrorKind::OutcomeUnknown, "lost after"};
    }
    return Revision;
  }

  void endLease(uint64_t Lease) {
    Leases.erase(Lease);
    std::erase_if(Items,
                  [&](const auto &Entry) { return Lease != 0 && Entry.second.Lease == Lease; });
  }

  StoreOps ops() {
    StoreOps Ops;
    Ops.Get = [this](std::string Key) -> Awaitable<Result<StoreItem>> {
      if (Outage)
        co_return Error{ErrorKind::StoreUnavailable, "outage"};
      const auto Found = Items.find(Key);
      if (Found == Items.end())
        co_return StoreItem{Key, "", 0};
      co_return StoreItem{Key, Found->second.Value, Found->second.Version};
    };
    Ops.Put = [this](std::string Key, std::string Value, uint64_t Expect,
                     uint64_t Lease) -> Awaitable<Result<uint64_t>> {
      co_return put(Key, Value, Expect, Lease);
    };
    Ops.Erase = [this](std::string Key, uint64_t) -> Awaitable<Result<Done>> {
      Items.erase(Key);
      co_return Done{};
    };
    Ops.List = [this](std::string Prefix) -> Awaitable<Result<StoreItems>> {
      if (Outage)
        co_return Error{ErrorKind::StoreUnavailable, "outage"};
      StoreItems Found{Revision, {}};
      for (const auto &[Key, Item] : Items)
        if (Key.starts_with(Prefix) && Item.Version != 0)
          Found.Items.push_back({Key, Item.Value, Item.Version});
      co_return Found;
    };
    Ops.GrantLease = [this](Milliseconds) -> Awaitable<Result<uint64_t>> {
      if (Outage)
        co_return Error{ErrorKind::StoreUnavailable, "outage"};
      Leases.insert(++LastLease);
      co_return LastLease;
    };
    Ops.RenewLease = [this](uint64_t Lease) -> Awaitable<Result<Done>> {
      if (Outage)
        co_return Error{ErrorKind::StoreUnavailable, "outage"};
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
};

} // namespace valveshelf::fakes
