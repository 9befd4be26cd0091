// SPDX-License-Identifier: Apache-2.0
// The window of starts in progress: it shrinks while the loop is late and grows while starts wait.
#include "cell/start_pacing.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace valveshelf {
namespace {
// A job meets the lag several times; quick ones allow some 250 ms in all. Less is usual where a
// pass or the list of workers takes its time.
constexpr Milliseconds MaxLag{40};
constexpr double Shrink = 0.85;
constexpr double Growth = 1.1;
// A start that is in progress for longer than this and twice the lag waits for its worker.
constexpr Milliseconds UsualStartTime{100};
// A loop with this lag for this long is what waiting steps wait for.
constexpr Milliseconds LateLag{50};
constexpr Milliseconds MinLateTime{500};
// Time constant of the rate of starts.
constexpr std::chrono::duration<double> RateWindow{1};
// The rate is known for this long after starts had to wait.
constexpr Milliseconds RateFreshness{1000};
} // namespace

uint64_t noteOrdered(StartPacing &Of, TimePoint Now) {
  Of.InProgress.emplace(++Of.LastNumber, Now);
  return Of.LastNumber;
}

void noteFinished(StartPacing &Of, uint64_t Number, bool IsAnswered) {
  Of.InProgress.erase(Number);
  Of.Answered += IsAnswered ? 1 : 0;
}

size_t startsAllowed(const StartPacing &Of, TimePoint Now) {
  const TimePoint Oldest = Now - UsualStartTime - 2 * Of.Lag;
  size_t Counted = 0;
  for (auto At = Of.InProgress.rbegin();
       At != Of.InProgress.rend() && At->second >= Oldest && Counted < Of.Window; ++At)
    ++Counted;
  return Of.Window - Counted;
}

namespace {
// True if the loop has been late for long while steps wait.
bool isBoundByLateness(StartPacing &Of, Steady::duration Lag, bool HasWaiting, uint64_t Answered,
                       Steady::duration Passed, TimePoint Now) {
  if (Lag < LateLag) {
    Of.LateSince.reset();
    return false;
  }
  if (!Of.LateSince) {
    Of.LateSince = Now - Passed;
    Of.AnsweredLate = 0;
  }
  Of.AnsweredLate += Answered;
  return HasWaiting && Now - *Of.LateSince >= MinLateTime;
}

double perSecond(uint64_t Count, std::chrono::duration<double> In) {
  return static_cast<double>(Count) / In.count();
}
} // namespace

void updatePacing(StartPacing &Of, Steady::duration Lag, bool HasWaiting, TimePoint Now) {
  const Steady::duration Passed = Now - Of.UpdatedAt;
  const bool IsFirst = Of.UpdatedAt == TimePoint{};
  Of.Lag = Lag;
  Of.UpdatedAt = Now;
  const uint64_t Answered = std::exchange(Of.Answered, 0);
  bool WasBinding = std::exchange(Of.IsBinding, false);
  if (Lag > MaxLag)
    Of.Window = static_cast<size_t>(static_cast<double>(Of.Window) * Shrink);
  else if (WasBinding)
    Of.Window = static_cast<size_t>(std::ceil(static_cast<double>(Of.Window) * Growth));
  Of.Window = std::clamp(Of.Window, MinStartWindow, MaxStartWindow);
  if (IsFirst || Passed <= Steady::duration(0))
    return;
  const bool IsLate = isBoundByLateness(Of, Lag, HasWaiting, Answered, Passed, Now);
  WasBinding = WasBinding || IsLate;
  if (WasBinding)
    Of.BoundAt = Now;
  if (!startRate(Of, Now)) {
    Of.PerSecond = 0;
    return;
  }
  double Rate = perSecond(Answered, Passed);
  if (IsLate && Of.PerSecond <= 0)
    Rate = perSecond(Of.AnsweredLate, Now - *Of.LateSince);
  const double Weight = Of.PerSecond > 0 ? 1 - std::exp(-Passed / RateWindow) : 1;
  if (WasBinding || Rate > Of.PerSecond)
    Of.PerSecond += Weight * (Rate - Of.PerSecond);
}

std::optional<double> startRate(const StartPacing &Of, TimePoint Now) {
  if (Of.BoundAt == TimePoint{} || Now - Of.BoundAt > RateFreshness)
    return std::nullopt;
  return Of.PerSecond;
}

} // namespace valveshelf
