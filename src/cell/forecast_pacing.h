// SPDX-License-Identifier: Apache-2.0
// Limits how often each process of the cell is sent the forecast: the messages that carry it are
// frequent in an overload, and the traffic of a process has a bound.
#pragma once

#include "valveshelf/clock.h"

#include <map>
#include <string>

namespace valveshelf {

class ForecastPacing {
public:
  static constexpr Milliseconds MinInterval{100};
  /// Leaves time for another message before a process drops its forecast, which is after 1 s.
  static constexpr Milliseconds MaxInterval{600};
  /// Larger forecasts are sent less often, until `MaxInterval`.
  static constexpr int64_t BytesPerSecond = 2048;

  /// True if a forecast of \p Bytes may be sent to the member now. Counts it as sent if so.
  bool mayCarry(const std::string &Member, size_t Bytes, TimePoint Now);

private:
  std::map<std::string, TimePoint> NextAt; ///< By member; entries in the past are removed.
  TimePoint NextCleanup{};
};

} // namespace valveshelf
