// SPDX-License-Identifier: Apache-2.0
// Counts the workers with a recent loss.
#include "cell/call_losses.h"

namespace valveshelf {
namespace {
// Losses older than this are ignored.
constexpr Milliseconds LossWindow{3000};
// A single worker may have failed or be slow.
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
