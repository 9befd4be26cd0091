// SPDX-License-Identifier: Apache-2.0
// Adopts newer versions of the operators' configuration from the store and from peers, and applies
// changes by compare-and-swap in the store.
#include "valveshelf/config_keeper.h"

#include "valveshelf/events.h"

#include <boost/asio.hpp>

namespace valveshelf {
namespace {
constexpr int MaxAttempts = 8;
}

ConfigKeeper::ConfigKeeper(StoreOps Store, Clock Time, PeerOps Peers, CellWatch &Watch)
    : Store(std::move(Store)), Time(std::move(Time)), Peers(std::move(Peers)), Watch(Watch),
      Current(std::make_shared<CellConfig>()) {}

std::shared_ptr<const CellConfig> ConfigKeeper::current() const {
  std::lock_guard Lock(Mutex);
  return Current;
}

void ConfigKeeper::applyIfNewer(const std::string &Text, const std::string &Peer) {
  if (Text.empty())
    return;
  Result<CellConfig> Read = decodeCellConfig(Text);
  if (!ok(Read)) {
    logEvent(events::ConfigRefused, {{"why", error(Read).Detail}});
    return;
  }
  const uint64_t Version = value(Read).Version;
  {
    std::lock_guard Lock(Mutex);
    if (Version <= Current->Version)
      return;
    Current = std::make_shared<const CellConfig>(std::move(value(Read)));
  }
  if (!Peer.empty())
    logEvent(events::ConfigFromPeer, {{"version", std::to_string(Version)}, {"peer", Peer}});
  logEvent(events::ConfigInForce, {{"version", std::to_string(Version)}});
}

Awaitable<void> ConfigKeeper::fetchFrom(Endpoint Peer) {
  wire::ConfigRequest Request;
  Request.set_have(current()->Version);
  Result<wire::ConfigReply> Reply = co_await Peers.Config(Peer, Request);
  if (ok(Reply) && value(Reply).version() > current()->Version)
    applyIfNewer(value(Reply).text(), toString(Peer));
}

Awaitable<Result<uint64_t>> ConfigKeeper::applyOnce(const ConfigChange &Change,
                                                    const PartnerConfig &Parsed) {
  Result<StoreItem> Stored = co_await Store.Get(std::string(ConfigKey));
  if (!ok(Stored))
    co_return error(Stored);
  CellConfig Next;
  if (value(Stored).Version != 0) {
    Result<CellConfig> Old = decodeCellConfig(value(Stored).Value);
    if (!ok(Old))
      co_return error(Old);
    Next = std::move(value(Old));
  }
  ConfigPart &Part = Next.Parts[Change.Partner];
  if (Part.ChangeId == Change.Id && Part.Version != 0)
    co_return Part.Version;
  if (Part.Version != Change.BaseVersion)
    co_return Error{ErrorKind::Conflict, "version " + std::to_string(Part.Version) + " of " +
                                             Change.Partner + "'s part won (change " +
                                             Part.ChangeId +
                                             "); this change started from version " +
                                             std::to_string(Change.BaseVersion)};
  ++Next.Version;
  Part = {Change.Text, Next.Version, Change.Id};
  Next.Partners[Change.Partner] = Parsed;
  const std::string Text = encodeCellConfig(Next);
  Result<uint64_t> Put = co_await Store.Put(std::string(ConfigKey), Text, value(Stored).Version, 0);
  if (!ok(Put))
    co_return error(Put);
  Watch.applyLocalWrite({std::string(ConfigKey), Text, value(Put)});
  applyIfNewer(Text, "");
  co_return Next.Version;
}

Awaitable<Result<uint64_t>> ConfigKeeper::apply(ConfigChange Change) {
  auto Checked = parsePartnerConfig(Change.Text, Change.Partner + ".toml");
  if (auto *Errors = std::get_if<SettingsErrors>(&Checked)) {
    std::string All;
    for (const SettingsError &Wrong : *Errors)
      All += (All.empty() ? "" : "\n") + toString(Wrong);
    co_return Error{ErrorKind::BadSettings, All};
  }
  const PartnerConfig &Parsed = std::get<PartnerConfig>(Checked);
  bool MayHaveWritten = false;
  Result<uint64_t> Last = Error{};
  for (int Attempt = 0; Attempt < MaxAttempts; ++Attempt) {
    Last = co_await applyOnce(Change, Parsed);
    if (ok(Last))
      co_return Last;
    const ErrorKind Kind = error(Last).Kind;
    MayHaveWritten = MayHaveWritten || Kind == ErrorKind::OutcomeUnknown;
    // A conflict without "won" is a concurrent change of another partner's part: try again.
    const bool PartChanged =
        Kind == ErrorKind::Conflict && error(Last).Detail.find("won") != std::string::npos;
    if (PartChanged && !MayHaveWritten)
      co_return Last;
    if (PartChanged || Kind == ErrorKind::BadSettings)
      break;
    if (Kind == ErrorKind::StoreUnavailable && !MayHaveWritten)
      co_return Last;
    co_await sleepFor(Milliseconds(50));
  }
  if (!MayHaveWritten)
    co_return Last;
  co_return Error{ErrorKind::OutcomeUnknown,
                  "outcome of change " + Change.Id + " is unknown; query the change by its id"};
}

Awaitable<Result<uint64_t>> ConfigKeeper::resolve(std::string Partner, std::string Id) {
  Result<StoreItem> Stored = co_await Store.Get(std::string(ConfigKey));
  if (!ok(Stored))
    co_return error(Stored);
  Result<CellConfig> Config = decodeCellConfig(value(Stored).Value);
  if (ok(Config)) {
    const auto Part = value(Config).Parts.find(Partner);
    if (Part != value(Config).Parts.end() && Part->second.ChangeId == Id)
      co_return Part->second.Version;
  }
  co_return Error{ErrorKind::NotFound,
                  "change " + Id + " is not the latest change of " + Partner + "'s part"};
}

} // namespace valveshelf
