// SPDX-License-Identifier: Apache-2.0
// Counts the workers with a recent loss; orders those that may be asked again.
#include "cell/call_losses.h"

#include <algorithm>
#include <tuple>

namespace valveshelf {
namespace {
// Losses older than this are ignored.
constexpr Milliseconds LossWindow{3000};
// A single worker may have failed or be slow, and in a large cell a few always have.
constexpr size_t MinWorkers = 2;
constexpr size_t MinShareDivisor = 100;
// A worker is asked again after this time, or sooner if the end of a run is overdue.
constexpr Milliseconds RecheckInterval{300};
constexpr Milliseconds OverdueRecheckInterval{100};
// Bounds the load of these heartbeats on a small box with hundreds of workers.
constexpr size_t MaxRechecks = 40;
} // namespace

void noteLoss(CallLosses &Losses, const std::string &Worker, TimePoint Now) {
  Losses.Last[Worker] = Now;
}

bool areCallsBeingLost(CallLosses &Losses, size_t Workers, TimePoint Now) {
  std::erase_if(Losses.Last, [&](const auto &Entry) { return Now - Entry.second > LossWindow; });
  return Losses.Last.size() >= std::max(MinWorkers, Workers / MinShareDivisor);
}

namespace {
// Moves the ids of the workers that were asked the longest time ago to \p Selected.
void takeOldest(std::vector<PolledWorker> &From, size_t Count, std::vector<std::string> &Selected) {
  const auto End = From.begin() + static_cast<ptrdiff_t>(std::min(Count, From.size()));
  std::partial_sort(From.begin(), End, From.end(),
                    [](const PolledWorker &A, const PolledWorker &B) {
                      return std::tie(A.AskedAt, A.Id) < std::tie(B.AskedAt, B.Id);
                    });
  for (auto At = From.begin(); At != End; ++At)
    Selected.push_back(std::move(At->Id));
}
} // namespace

std::vector<std::string> selectRechecks(std::vector<PolledWorker> Polled, TimePoint Now) {
  std::vector<PolledWorker> Overdue;
  std::vector<PolledWorker> Others;
  for (PolledWorker &W : Polled) {
    const Milliseconds Interval = W.IsEndOverdue ? OverdueRecheckInterval : RecheckInterval;
    if (Now - W.AskedAt >= Interval)
      (W.IsEndOverdue ? Overdue : Others).push_back(std::move(W));
  }
  const size_t ForOthers = std::min(Others.size(), MaxRechecks / 2);
  std::vector<std::string> Selected;
  takeOldest(Overdue, MaxRechecks - ForOthers, Selected);
  takeOldest(Others, MaxRechecks - Selected.size(), Selected);
  return Selected;
}

} // namespace valveshelf
