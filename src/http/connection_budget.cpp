// SPDX-License-Identifier: Apache-2.0
// Learns the number of connections that an endpoint accepts from those that it resets.
#include "http/connection_budget.h"

#include <algorithm>

namespace valveshelf {
namespace {
// Between attempts to open more connections than an endpoint has accepted. The shortest allows for
// the server to notice that a connection has been closed.
constexpr Milliseconds MinRetryDelay{1000};
constexpr Milliseconds MaxRetryDelay{16000};
// A server whose limit was reached keeps the connections of lost clients for long.
constexpr Milliseconds UsedUpTime{60000};
// With this many, a call need not wait for another one.
constexpr size_t ConnectionsToSpare = 2;
} // namespace

bool mayOpen(const ConnectionBudget &Of, size_t Max, TimePoint Now) {
  if (Max > 0 && Of.Open >= Max)
    return false;
  return !Of.Accepted || Of.Open < *Of.Accepted || Now >= Of.RetryAt;
}

void noteOpened(ConnectionBudget &Of) { ++Of.Open; }

void noteClosed(ConnectionBudget &Of, bool WasConfirmed) {
  --Of.Open;
  Of.Confirmed -= WasConfirmed ? 1 : 0;
  if (Of.Open == 0)
    Of.Proven = 0;
}

void noteConfirmed(ConnectionBudget &Of) {
  ++Of.Confirmed;
  Of.Proven = std::max(Of.Proven, Of.Confirmed);
  if (Of.Accepted)
    Of.Accepted = std::max(*Of.Accepted, Of.Confirmed);
}

bool noteRefused(ConnectionBudget &Of, TimePoint Now) {
  const size_t Others = Of.Open - 1;
  Of.Accepted = std::max<size_t>(Others / 2, 1);
  Of.UsedUpUntil = Now + UsedUpTime;
  if (Now >= Of.RetryAt) { // else one of several that were tried together
    Of.RetryDelay = std::clamp(Of.RetryDelay * 2, MinRetryDelay, MaxRetryDelay);
    Of.RetryAt = Now + Of.RetryDelay;
  }
  return Others > 0;
}

bool isUsedUp(const ConnectionBudget &Of, TimePoint Now) {
  return Of.Accepted && Now < Of.UsedUpUntil;
}

bool mayHaveToShare(const ConnectionBudget &Of, TimePoint Now) {
  return isUsedUp(Of, Now) || Of.Proven < ConnectionsToSpare;
}

size_t maxIdle(const ConnectionBudget &Of, TimePoint Now) {
  if (isUsedUp(Of, Now))
    return 0;
  const size_t LeftToNext = Of.Proven > 0 ? Of.Proven - 1 : 0;
  return std::max<size_t>(LeftToNext, Of.Open > Of.Confirmed ? 1 : 0);
}

} // namespace valveshelf
