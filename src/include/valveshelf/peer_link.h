// SPDX-License-Identifier: Apache-2.0
// gRPC between entry processes: calls to peers and the server for theirs.
#pragma once

#include "valveshelf/clock.h"
#include "valveshelf/endpoint.h"
#include "valveshelf/http.h"

#include "peer.pb.h"

#include <functional>
#include <memory>
#include <string>

namespace valveshelf {

/// What this process answers to its peers; one function a method of the inner protocol.
struct PeerHandlers {
  std::function<Awaitable<wire::ExchangeReply>(wire::ExchangeRequest)> Exchange;
  std::function<Awaitable<wire::PromiseReply>(wire::PromiseRequest)> Promise;
  std::function<Awaitable<wire::RefuseReply>(wire::RefuseRequest)> Refuse;
  std::function<Awaitable<wire::StepDownReply>(wire::StepDownRequest)> StepDown;
  std::function<Awaitable<wire::ForwardReply>(wire::ForwardRequest)> Forward;
  std::function<Awaitable<wire::LendReply>(wire::LendRequest)> Lend;
  std::function<Awaitable<wire::ReportReply>(wire::ReportRequest)> Report;
  std::function<Awaitable<wire::CancelReply>(wire::CancelRequest)> Cancel;
  std::function<Awaitable<wire::HoldReply>(wire::HoldRequest)> Hold;
  std::function<Awaitable<wire::ConfigReply>(wire::ConfigRequest)> Config;
};

/// Calls to peers, with one kept channel an address. UpstreamUnavailable: the peer was surely
/// not reached. UpstreamCut: it may have acted. Safe from any thread.
struct PeerOps {
  std::function<Awaitable<Result<wire::ExchangeReply>>(Endpoint, wire::ExchangeRequest)> Exchange;
  std::function<Awaitable<Result<wire::PromiseReply>>(Endpoint, wire::PromiseRequest)> Promise;
  std::function<Awaitable<Result<wire::RefuseReply>>(Endpoint, wire::RefuseRequest)> Refuse;
  std::function<Awaitable<Result<wire::StepDownReply>>(Endpoint, wire::StepDownRequest)> StepDown;
  std::function<Awaitable<Result<wire::ForwardReply>>(Endpoint, wire::ForwardRequest)> Forward;
  std::function<Awaitable<Result<wire::LendReply>>(Endpoint, wire::LendRequest)> Lend;
  std::function<Awaitable<Result<wire::ReportReply>>(Endpoint, wire::ReportRequest)> Report;
  std::function<Awaitable<Result<wire::CancelReply>>(Endpoint, wire::CancelRequest)> Cancel;
  std::function<Awaitable<Result<wire::HoldReply>>(Endpoint, wire::HoldRequest)> Hold;
  std::function<Awaitable<Result<wire::ConfigReply>>(Endpoint, wire::ConfigRequest)> Config;
  /// Whether a process listens at the address. A frozen one still does.
  enum class ProbeResult { Listening, Refused, NoAnswer };
  std::function<Awaitable<ProbeResult>(Endpoint)> Probe;
};

/// Peers over gRPC. \p Timeout bounds each call; a Forward carries its own deadline.
PeerOps makeGrpcPeerOps(Executor Where, Milliseconds Timeout);

/// The server for peers. Listens from `start` until it is destroyed; the last thing that a
/// process closes, so that a refused connection proves that the process is gone.
class PeerServer {
public:
  PeerServer(Executor Where, Endpoint Address, PeerHandlers Handlers);
  ~PeerServer();
  PeerServer(const PeerServer &) = delete;
  PeerServer &operator=(const PeerServer &) = delete;
  /// BadSettings if the address can't be bound.
  Result<Done> start();

private:
  class Impl;
  std::unique_ptr<Impl> Inner;
};

} // namespace valveshelf
