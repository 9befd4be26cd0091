// SPDX-License-Identifier: Apache-2.0
// Counts workers with a fresh loss.
#include "cell/call_losses.h"

namespace valveshelf {
namespace {
// A loss counts for so long: the time in which a second one comes where one call in twenty is lost
// and a worker gets three calls a second.
constexpr Milliseconds LossWindow{3000};
// One worker alone may be gone or slow.
constexpr size_t MinWorkers = 2;
} // namespace

void noteLoss(CallLosses &Losses, const std::string &Worker, TimePoint Now) {
  Losses.Last[Worker] = Now;
}

bool areCallsBeingLost(CallLosses &Losses, TimePoint Now) {
  std::erase_if(Losses.Last, [&](const auto &Entry) { return Now - Entry.second > LossWindow; });
  return Losses.Last.size() >= MinWorkers;
}

} // namespace valveshelf
