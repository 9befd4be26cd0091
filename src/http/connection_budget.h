// SPDX-License-Identifier: Apache-2.0
// How many connections a client may have to one endpoint. A server may accept a limited number,
// which it does not state and of which those of lost clients remain open: a reset of a new
// connection beside open ones says that the limit is reached.
#pragma once

#include "valveshelf/clock.h"

#include <cstddef>
#include <optional>

namespace valveshelf {

/// The connections of one client to one endpoint, and what is known of the endpoint's limit. Not
/// thread-safe.
/// Invariant: Confirmed <= Open, Confirmed <= Proven.
struct ConnectionBudget {
  size_t Open = 0;      ///< Connections that are being established, in use or idle.
  size_t Confirmed = 0; ///< Of those, the ones that have answered a call.
  size_t Proven = 0;    ///< The most that were confirmed at a time since none was open.
  /// How many may be open after a refusal, at least 1; empty: none was refused.
  std::optional<size_t> Accepted;
  TimePoint RetryAt{};        ///< When more than `Accepted` may be tried again.
  Milliseconds RetryDelay{0}; ///< From the latest refusal to RetryAt; doubles with each.
  TimePoint UsedUpUntil{};    ///< How long the latest refusal matters; not before RetryAt.
};

/// True if a further connection may be opened. \p Max: never more than this; 0: no limit.
bool mayOpen(const ConnectionBudget &Of, size_t Max, TimePoint Now);

void noteOpened(ConnectionBudget &Of);

/// \p WasConfirmed: the connection had answered a call.
void noteClosed(ConnectionBudget &Of, bool WasConfirmed);

/// A new connection has answered its first call.
void noteConfirmed(ConnectionBudget &Of);

/// A new connection, which is still among those open, was reset before it answered. Returns true if
/// the endpoint has accepted others, which can take over its call. Half of them are to be closed:
/// the client that takes over from a lost one needs some while those of the lost one are open.
bool noteRefused(ConnectionBudget &Of, TimePoint Now);

/// True if the endpoint has refused a further connection recently.
bool isUsedUp(const ConnectionBudget &Of, TimePoint Now);

/// True if calls may have to share one connection, so that none should take it for long: a further
/// one was refused recently, or none has answered yet.
bool mayHaveToShare(const ConnectionBudget &Of, TimePoint Now);

/// How many connections may be idle. If this client is lost, the endpoint keeps the idle ones, and
/// one at least must remain for the next client. One may wait for a new one that could be refused.
size_t maxIdle(const ConnectionBudget &Of, TimePoint Now);

} // namespace valveshelf
