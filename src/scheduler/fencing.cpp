// SPDX-License-Identifier: Apache-2.0
// The fencing tokens of calls to workers, and the acknowledgements of ends, which tokens keep from
// a life that they are not meant for.
#include "scheduler/worker_lives.h"

#include <algorithm>
#include <utility>

namespace valveshelf::sched {

namespace {
// Fencing tokens of a term. A worker that has used them up keeps the last one for its life.
constexpr int TokenBits = 24;
constexpr uint32_t MaxToken = (uint32_t(1) << TokenBits) - 1;

uint64_t fullToken(const CellState &Cell, uint32_t Token) {
  return (Cell.Fence << TokenBits) + Token;
}
} // namespace

void assignToken(CellState &Cell, Worker &To) {
  To.FirstToken = To.Token = Cell.NextToken;
  Cell.NextToken = std::min(Cell.NextToken + 1, MaxToken);
}

void retireToken(CellState &Cell, const Worker &From) {
  Cell.NextToken = std::max(Cell.NextToken, std::min(From.Token + 1, MaxToken));
}

uint64_t fencingToken(const CellState &Cell, const Worker &To) { return fullToken(Cell, To.Token); }

uint64_t raiseTokenForStart(const CellState &Cell, Worker &To) {
  if (std::exchange(To.OpenAcknowledgements, 0) > 0)
    To.Token = std::min(To.Token + 1, MaxToken);
  return fencingToken(Cell, To);
}

TokenState compareToken(const CellState &Cell, const std::string &Id, uint64_t Token) {
  const auto Found = Cell.Workers.find(Id);
  if (Found == Cell.Workers.end() || Token < fullToken(Cell, Found->second.FirstToken) ||
      Token > fencingToken(Cell, Found->second))
    return TokenState::OtherLife;
  return Token == fencingToken(Cell, Found->second) ? TokenState::Current : TokenState::Superseded;
}

StartResult resultOfStart(StartResult Answer, TokenState Token) {
  // Not by a newer scheduler, as far as is known: a later call has reached the worker first.
  const bool IsOvertaken = Answer == StartResult::RefusedFence && Token == TokenState::Superseded;
  return IsOvertaken ? StartResult::RefusedStaleRun : Answer;
}

uint64_t beginAcknowledgement(Worker &On) {
  if (On.ForgetThrough <= On.ForgottenThrough)
    return 0;
  ++On.OpenAcknowledgements;
  return On.ForgetThrough;
}

void endsForgotten(CellState &Cell, const std::string &Id, uint64_t Token, uint64_t Through) {
  const auto Found = Cell.Workers.find(Id);
  if (Found == Cell.Workers.end() || Through == 0)
    return;
  // Ends are numbered from 1 again in each life.
  const TokenState State = compareToken(Cell, Id, Token);
  if (State == TokenState::OtherLife)
    return;
  Worker &On = Found->second;
  On.ForgottenThrough = std::max(On.ForgottenThrough, Through);
  if (State == TokenState::Current && On.OpenAcknowledgements > 0)
    --On.OpenAcknowledgements;
}

} // namespace valveshelf::sched
