// SPDX-License-Identifier: Apache-2.0
// Stand-in for the platform's key-value service: compare-and-swap, leases, watches, a rate for
// reads and one for writes, values up to a megabyte.
#include "standin.h"
#include "valveshelf/steady_timer.h"

#include <algorithm>
#include <set>

namespace standins {
namespace asio = boost::asio;
namespace {
constexpr size_t MaxValue = 1024 * 1024;

struct Entry {
  std::string Value;
  uint64_t Version = 0;
  uint64_t Lease = 0;
};

struct Rate {
  double PerSecond = 0;
  double Tokens = 0;
  TimePoint Last = Steady::now();

  bool take() {
    const TimePoint Now = Steady::now();
    Tokens =
        std::min(PerSecond, Tokens + PerSecond * std::chrono::duration<double>(Now - Last).count());
    Last = Now;
    if (Tokens < 1)
      return false;
    Tokens -= 1;
    return true;
  }
};

class Store {
public:
  Store(asio::io_context &Io, const Options &Given)
      : Changed(Io, TimePoint::max()),
        Record(Given.text("trace", ""), Given.text("name", "store")) {
    Reads.PerSecond = Reads.Tokens = static_cast<double>(Given.number("reads", 2000));
    Writes.PerSecond = Writes.Tokens = static_cast<double>(Given.number("writes", 100));
  }

  Awaitable<HttpResponse> handle(Call Made) {
    if (Made.Path == "/stats")
      co_return answer(200, {{"reads", ReadCount},
                             {"writes", WriteCount},
                             {"refused", RefusedCount},
                             {"watching", Watching},
                             {"keys", Entries.size()}});
    const bool IsWrite = Made.Method != "GET";
    ++(IsWrite ? WriteCount : ReadCount);
    if (!(IsWrite ? Writes : Reads).take()) {
      ++RefusedCount;
      co_return answer(429, {{"error", "too many calls a second"}});
    }
    const std::string Key = Made.Path.starts_with("/v1/kv/") ? Made.Path.substr(7) : "";
    if (!Key.empty())
      co_return key(Made, Key);
    if (Made.Path == "/v1/list")
      co_return items(queryParameter(Made.Target, "prefix").value_or(""), 0);
    if (Made.Path == "/v1/watch")
      co_return co_await watch(Made);
    if (Made.Path.starts_with("/v1/lease"))
      co_return lease(Made);
    co_return answer(404, {{"error", "there is nothing here"}});
  }

  Awaitable<void> expireLoop() {
    while (true) {
      const TimePoint Now = Steady::now();
      std::vector<uint64_t> Lapsed;
      for (const auto &[Id, Lease] : Leases)
        if (Now >= Lease.Until)
          Lapsed.push_back(Id);
      for (const uint64_t Id : Lapsed)
        revoke(Id);
      co_await sleepFor(Milliseconds(20));
    }
  }

private:
  struct Lease {
    TimePoint Until;
    Milliseconds Life;
  };

  static uint64_t number(const Call &Made, const char *Name) {
    return std::strtoull(queryParameter(Made.Target, Name).value_or("0").c_str(), nullptr, 10);
  }

  void changed() {
    Changed.cancel();
    Changed.expires_at(TimePoint::max());
  }

  HttpResponse key(const Call &Made, const std::string &Key) {
    const auto Found = Entries.find(Key);
    const uint64_t Version = Found == Entries.end() ? 0 : Found->second.Version;
    if (Made.Method == "GET") {
      if (Version == 0)
        return answer(404, {{"error", "there is no such key"}});
      return {200, {{"X-Version", std::to_string(Version)}}, Found->second.Value};
    }
    const uint64_t LeaseId = number(Made, "lease");
    if (Made.Body.size() > MaxValue)
      return answer(413, {{"error", "the value is larger than a megabyte"}});
    if (number(Made, "expect") != Version)
      return answer(409, {{"version", Version}});
    if (LeaseId != 0 && !Leases.count(LeaseId))
      return answer(404, {{"error", "there is no such lease"}});
    if (Made.Method == "DELETE") {
      erase(Key);
      return answer(200, {{"erased", true}});
    }
    Entries[Key] = {Made.Body, ++Revision, LeaseId};
    Erased.erase(Key);
    Record.write({{"type", "put"}, {"key", Key}, {"version", Revision}});
    changed();
    return {200, {{"X-Version", std::to_string(Revision)}}, ""};
  }

  void erase(const std::string &Key) {
    if (Entries.erase(Key) == 0)
      return;
    Erased[Key] = ++Revision;
    Record.write({{"type", "erase"}, {"key", Key}, {"version", Revision}});
    changed();
  }

  HttpResponse items(const std::string &Prefix, uint64_t After) {
    json::array Items;
    for (auto It = Entries.lower_bound(Prefix); It != Entries.end(); ++It) {
      if (!It->first.starts_with(Prefix))
        break;
      if (It->second.Version > After)
        Items.push_back(
            {{"key", It->first}, {"value", It->second.Value}, {"version", It->second.Version}});
    }
    if (After > 0)
      for (const auto &[Key, Version] : Erased)
        if (Version > After && Key.starts_with(Prefix))
          Items.push_back({{"key", Key}, {"value", ""}, {"version", 0}});
    return answer(200, {{"revision", Revision}, {"items", std::move(Items)}});
  }

  bool anyAfter(const std::string &Prefix, uint64_t After) const {
    const auto Newer = [&](const auto &Range, auto VersionOf) {
      return std::any_of(Range.begin(), Range.end(), [&](const auto &Item) {
        return VersionOf(Item.second) > After && Item.first.starts_with(Prefix);
      });
    };
    return Newer(Entries, [](const Entry &E) { return E.Version; }) ||
           Newer(Erased, [](uint64_t Version) { return Version; });
  }

  Awaitable<HttpResponse> watch(Call Made) {
    const std::string Prefix = queryParameter(Made.Target, "prefix").value_or("");
    const uint64_t After = number(Made, "after");
    const TimePoint Until = Steady::now() + Milliseconds(number(Made, "wait_ms"));
    ++Watching;
    while (After <= Revision && !anyAfter(Prefix, After) && Steady::now() < Until) {
      valveshelf::SteadyTimer Limit(co_await asio::this_coro::executor, Until);
      Limit.async_wait([this](boost::system::error_code Failure) {
        if (!Failure)
          changed();
      });
      co_await Changed.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    --Watching;
    co_return items(Prefix, After);
  }

  HttpResponse lease(const Call &Made) {
    if (Made.Path == "/v1/lease" && Made.Method == "POST") {
      const Milliseconds Life(number(Made, "ttl_ms"));
      const uint64_t Id = ++LastLease;
      Leases[Id] = {Steady::now() + Life, Life};
      return {200, {{"X-Lease", std::to_string(Id)}}, ""};
    }
    const uint64_t Id =
        std::strtoull(Made.Path.c_str() + std::string("/v1/lease/").size(), nullptr, 10);
    const auto Found = Leases.find(Id);
    if (Found == Leases.end())
      return answer(404, {{"error", "there is no such lease"}});
    if (Made.Method == "DELETE")
      revoke(Id);
    else
      Found->second.Until = Steady::now() + Found->second.Life;
    return answer(200, {{"lease", Id}});
  }

  void revoke(uint64_t Id) {
    Leases.erase(Id);
    std::vector<std::string> Held;
    for (const auto &[Key, Item] : Entries)
      if (Item.Lease == Id)
        Held.push_back(Key);
    for (const std::string &Key : Held)
      erase(Key);
  }

  valveshelf::SteadyTimer Changed; ///< Cancelled whenever something changes.
  Trace Record;
  std::map<std::string, Entry> Entries;
  std::map<std::string, uint64_t> Erased;
  std::map<uint64_t, Lease> Leases;
  uint64_t Revision = 0;
  uint64_t LastLease = 0;
  Rate Reads, Writes;
  uint64_t ReadCount = 0, WriteCount = 0, RefusedCount = 0;
  int Watching = 0;
};
} // namespace

int runStore(const Options &Given) {
  asio::io_context Io(1);
  Faults Active;
  Store Kept(Io, Given);
  asio::co_spawn(Io, Kept.expireLoop(), asio::detached);
  return serve(Io, Given.text("listen", "127.0.0.1:7000"), Active,
               [&](Call Made) { return Kept.handle(std::move(Made)); });
}

} // namespace standins
