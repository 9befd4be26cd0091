// SPDX-License-Identifier: Apache-2.0
// RPC between the entry processes of a cell: a client for calls to peers, and the server that
// answers them.
#pragma once

#include "valveshelf/clock.h"
#include "valveshelf/endpoint.h"
#include "valveshelf/http.h"

#include "cell.pb.h"

#include <functional>
#include <memory>

namespace valveshelf {

/// Result of probing the address of a process.
enum class ProbeResult {
  Listening,
  Refused,  ///< The box answers, but no process listens at the address.
  NoAnswer, ///< No connection in time: box down, unreachable, or behind a saturated link.
};

/// Handlers for the requests of peers, one for each method of the internal protocol.
struct CellHandlers {
  std::function<Awaitable<cell::AdviseReply>(cell::AdviseRequest)> Advise;
  std::function<Awaitable<cell::JobStateReply>(cell::JobStateRequest)> JobState;
  std::function<Awaitable<cell::WaitingReply>(cell::WaitingRequest)> Waiting;
  std::function<Awaitable<cell::ExplainReply>(cell::ExplainRequest)> Explain;
  std::function<Awaitable<cell::AnnounceReply>(cell::AnnounceRequest)> Announce;
  std::function<Awaitable<cell::StoreCallReply>(cell::StoreCallRequest)> StoreCall;
  std::function<Awaitable<cell::CandidateReply>(cell::CandidateRequest)> Candidate;
  std::function<Awaitable<cell::TermReply>(cell::TermRequest)> Term;
  std::function<Awaitable<cell::ConfigurationReply>(cell::ConfigurationRequest)> Configuration;
};

/// Client for calls to peers, over persistent connections. Errors: UpstreamUnavailable if the peer
/// was certainly not reached, UpstreamCut if it may have acted on the request. Safe from any
/// thread.
struct CellLink {
  template <class Request, class Reply>
  using Call =
      std::function<Awaitable<Result<Reply>>(Endpoint To, Request Message, Milliseconds Timeout)>;
  Call<cell::AdviseRequest, cell::AdviseReply> Advise;
  Call<cell::JobStateRequest, cell::JobStateReply> JobState;
  Call<cell::WaitingRequest, cell::WaitingReply> Waiting;
  Call<cell::ExplainRequest, cell::ExplainReply> Explain;
  Call<cell::AnnounceRequest, cell::AnnounceReply> Announce;
  Call<cell::StoreCallRequest, cell::StoreCallReply> StoreCall;
  Call<cell::CandidateRequest, cell::CandidateReply> Candidate;
  Call<cell::TermRequest, cell::TermReply> Term;
  Call<cell::ConfigurationRequest, cell::ConfigurationReply> Configuration;
  /// Probes whether a process accepts connections at an address. A suspended process still does;
  /// one that has exited or is unreachable doesn't.
  std::function<Awaitable<ProbeResult>(Endpoint To, Milliseconds Timeout)> Probe;
};
/// Creates a link over HTTP. \p Client must outlive it.
CellLink makeHttpCellLink(HttpClient &Client);

/// Server for the calls of peers. Handlers run on the strand \p Where.
class CellServer {
public:
  CellServer(Executor Where, Endpoint Address, HttpServerLimits Limits, CellHandlers Handlers);
  ~CellServer();
  CellServer(const CellServer &) = delete;
  CellServer &operator=(const CellServer &) = delete;
  /// BadSettings if the address can't be bound.
  Result<Done> start();

private:
  class Impl;
  std::unique_ptr<Impl> Inner;
};

} // namespace valveshelf
