// SPDX-License-Identifier: Apache-2.0
// Timers on the clock of leases and deadlines.
#pragma once

#include "valveshelf/clock.h"

#include <boost/asio/basic_waitable_timer.hpp>

namespace valveshelf {

/// A timer on `Steady`. After a suspension of the machine it may be late by what was left of it;
/// who acts on a lease compares times instead of counting on timers.
using SteadyTimer = boost::asio::basic_waitable_timer<Steady>;

} // namespace valveshelf
