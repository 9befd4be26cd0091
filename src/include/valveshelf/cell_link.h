// SPDX-License-Identifier: Apache-2.0
// Between the entry processes of a cell: calls to peers and the server for theirs.
#pragma once

#include "valveshelf/clock.h"
#include "valveshelf/endpoint.h"
#include "valveshelf/http.h"

#include "cell.pb.h"

#include <functional>
#include <memory>

namespace valveshelf {

/// What a probe of an address showed.
enum class ProbeResult {
  Listening,
  Refused,  ///< The machine answers, and no process listens there.
  NoAnswer, ///< No answer in time: gone, cut off, or behind a link that is full.
};

/// What this process answers to its peers; one function a method of the inner protocol.
struct CellHandlers {
  std::function<Awaitable<cell::AdviseReply>(cell::AdviseRequest)> Advise;
  std::function<Awaitable<cell::JobStateReply>(cell::JobStateRequest)> JobState;
  std::function<Awaitable<cell::WaitingReply>(cell::WaitingRequest)> Waiting;
  std::function<Awaitable<cell::ExplainReply>(cell::ExplainRequest)> Explain;
  std::function<Awaitable<cell::AnnounceReply>(cell::AnnounceRequest)> Announce;
  std::function<Awaitable<cell::StoreCallReply>(cell::StoreCallRequest)> StoreCall;
  std::function<Awaitable<cell::CandidateReply>(cell::CandidateRequest)> Candidate;
  std::function<Awaitable<cell::ConfigurationReply>(cell::ConfigurationRequest)> Configuration;
};

/// Calls to peers, over connections that are kept. UpstreamUnavailable: the peer was surely not
/// reached. UpstreamCut: it may have acted. Safe from any thread.
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
  Call<cell::ConfigurationRequest, cell::ConfigurationReply> Configuration;
  /// Whether a process listens there; a frozen one still does, a dead or cut off one does not.
  std::function<Awaitable<ProbeResult>(Endpoint To, Milliseconds Timeout)> Probe;
};
/// \p Client outlives the link.
CellLink makeHttpCellLink(HttpClient &Client);

/// The server for peers. Handlers run on \p Where.
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
