// SPDX-License-Identifier: Apache-2.0
// gRPC between entry processes: a client for calls to peers, and the server that answers them.
#pragma once

#include "valveshelf/clock.h"
#include "valveshelf/endpoint.h"
#include "valveshelf/http.h"

#include "peer.pb.h"

#include <functional>
#include <memory>
#include <string>

namespace valveshelf {

/// Handlers for the requests of peers, one for each method of the internal protocol.
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

/// Client for calls to peers, with one persistent channel for each address. Errors:
/// UpstreamUnavailable if the peer was certainly not reached, UpstreamCut if it may have acted on
/// the request. Safe from any thread.
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
  /// Whether a process accepts connections at an address. A suspended process still does.
  enum class ProbeResult { Listening, Refused, NoAnswer };
  std::function<Awaitable<ProbeResult>(Endpoint)> Probe;
};

/// Creates a client over gRPC. \p Timeout bounds each call except Forward, which carries its own
/// deadline.
PeerOps makeGrpcPeerOps(Executor Where, Milliseconds Timeout);

/// Server for the calls of peers. Listens from `start` until it is destroyed. A process must close
/// it last: peers take a refused connection as proof that the process has exited.
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
