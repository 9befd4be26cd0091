// SPDX-License-Identifier: Apache-2.0
// The pacing by member.
#include "cell/forecast_pacing.h"

#include <algorithm>

namespace valveshelf {

bool ForecastPacing::mayCarry(const std::string &Member, size_t Bytes, TimePoint Now) {
  if (Now >= NextCleanup) {
    std::erase_if(NextAt, [&](const auto &Entry) { return Entry.second <= Now; });
    NextCleanup = Now + MaxInterval;
  }
  TimePoint &Next = NextAt[Member];
  if (Now < Next)
    return false;
  const Milliseconds ForSize{1000 * static_cast<int64_t>(Bytes) / BytesPerSecond};
  Next = Now + std::clamp(ForSize, MinInterval, MaxInterval);
  return true;
}

} // namespace valveshelf
