// SPDX-License-Identifier: Apache-2.0
// Timers on the monotonic clock of leases and deadlines.
#pragma once

#include "valveshelf/clock.h"

#include <boost/asio/basic_waitable_timer.hpp>

namespace valveshelf {

/// A timer on `Steady`. After a suspension of the machine it may fire late, by up to the time that
/// was left on it: code that depends on a lease must compare times, not rely on timers.
using SteadyTimer = boost::asio::basic_waitable_timer<Steady>;

} // namespace valveshelf
