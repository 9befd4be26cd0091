// SPDX-License-Identifier: Apache-2.0
// The entry process: servers for callers, operators and peers, the current session in the cell,
// the request router and the configuration.
#pragma once

#include "valveshelf/router.h"
#include "valveshelf/session.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace valveshelf {

/// Thread-safe.
class EntryProcess {
public:
  /// \p Client must outlive this object. Opens no sockets.
  EntryProcess(Executor Where, EntrySettings Settings, Clock Time, Platform PlatformAccess,
               HttpClient &Client);

  /// Binds all addresses and starts joining the cell. Returns once the listeners accept
  /// connections; joining continues in the background.
  Result<Done> start();
  /// Starts a graceful shutdown and calls \p Finished with the exit code when it completes. Later
  /// calls have no effect.
  void beginStop(std::function<void(int)> Finished);

private:
  using Operation = std::function<Awaitable<Result<std::string>>(std::shared_ptr<ShardRunner>)>;

  Awaitable<void> joinLoop();
  Awaitable<void> boxLoop();
  Awaitable<void> gossipLoop();
  Awaitable<void> refreshLoop();
  Awaitable<void> gossipWith(MemberInfo Peer);
  Awaitable<void> stopGracefully(std::function<void(int)> Finished);
  std::shared_ptr<Session> session() const;
  std::shared_ptr<ShardRunner> runner(uint32_t Shard) const;
  PeerHandlers peerHandlers();
  std::vector<MemberInfo> gossipPeers() const;
  wire::ExchangeRequest ownGossip();
  void applyGossip(const wire::ExchangeRequest &Message);
  Awaitable<Result<Done>> checkShardCount();

  Awaitable<void> serveCaller(HttpExchange &Exchange);
  Awaitable<void> serveOperator(HttpExchange &Exchange);
  Awaitable<HttpResponse> answerJobs(std::string Method, std::string Target, std::string Body);
  Awaitable<HttpResponse> submitJob(std::string Body);
  Awaitable<HttpResponse> answerOperator(std::string Method, std::string Target, HeaderList Headers,
                                         std::string Body);
  Awaitable<HttpResponse> answerConfig(std::string Method, std::string Target, HeaderList Headers,
                                       std::string Body);
  HttpResponse metrics();
  HttpResponse members();
  Awaitable<HttpResponse> listJobs(std::string Target);
  std::optional<std::string> authenticatedPartner(const HeaderList &Headers) const;

  /// Runs the operation at the owner of \p Shard, in this process or at a peer, with retries.
  Awaitable<Result<std::string>> runAtOwner(uint32_t Shard, std::string Operation,
                                            std::string Target, std::string Body);
  Awaitable<Result<std::string>> runLocally(uint32_t Shard, std::string Operation,
                                            std::string Target, std::string Body);

  const Executor Where;
  const EntrySettings Settings;
  const Clock Time;
  const Platform PlatformAccess;
  HttpClient &Client;
  const PeerOps Peers;
  CellWatch Watch;
  ShardDirectory Directory;
  ConfigKeeper Config;
  Router RequestRouter;
  HttpServer Callers;
  HttpServer Operators;
  PeerServer PeerListener;
  std::atomic<bool> Stopping{false};
  std::atomic<bool> Joined{false};
  std::function<void(int)> OnFatal;
  mutable std::mutex Mutex;
  std::vector<std::shared_ptr<Session>> Sessions; ///< The last one is current. Guarded by Mutex.
  std::map<std::string, uint64_t> ConfigVersions; ///< Last gossiped, by member. Guarded by Mutex.
  size_t NextGossipPeer = 0;

public:
  /// Sets the function called with an exit code if the process cannot continue. Call before
  /// `start`.
  void onFatal(std::function<void(int)> Function) { OnFatal = std::move(Function); }
};

} // namespace valveshelf
