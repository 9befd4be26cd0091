// SPDX-License-Identifier: Apache-2.0
// What the scheduler's event loop does with its time: its lag, the time by kind of work, and the
// start orders of the last second. Tells a scheduler that is short of processor time from slow
// workers and a slow store.
#pragma once

#include "valveshelf/cell_metrics.h"
#include "valveshelf/cell_state.h"
#include "valveshelf/traffic.h"

#include <array>
#include <cstdint>
#include <string_view>

namespace valveshelf {

/// Kinds of the scheduler's work. What belongs to none of them, such as reading and writing
/// messages, is the rest of the processor time.
enum class LoopWork { Place, Tick, Reports, Orders, Advice, Jobs, List, Saves };
inline constexpr std::array<std::string_view, 8> LoopWorkNames{
    "place", "tick", "reports", "orders", "advice", "jobs", "list", "saves"};

/// Sums since they were last reported. Not thread-safe.
struct LoopLoad {
  std::array<Steady::duration, LoopWorkNames.size()> Times{}; ///< By `LoopWork`.
  Steady::duration MaxLag{0};
  uint64_t Starts = 0;               ///< Start orders with a result,
  uint64_t UnansweredStarts = 0;     ///< of which this many got no answer.
  Steady::duration ProcessorTime{0}; ///< Of the process, when last reported.
  MessageTimes Messages{};           ///< The same of its messages.
  TimePoint ReportedAt{};
};

/// Adds the time until its destruction to one kind of work. Must not live across a suspension of a
/// coroutine, nor inside another one.
class LoopSection {
public:
  LoopSection(LoopLoad &Load, LoopWork Kind) : Load(Load), Kind(Kind), Begun(Steady::now()) {}
  ~LoopSection() { Load.Times[static_cast<size_t>(Kind)] += Steady::now() - Begun; }
  LoopSection(const LoopSection &) = delete;
  LoopSection &operator=(const LoopSection &) = delete;

private:
  LoopLoad &Load;
  const LoopWork Kind;
  const TimePoint Begun;
};

/// Once a second: raises the metrics and, if the loop has lagged, logs one line. \p ProcessorTime:
/// of the process so far, of which \p Messages went into messages. Begins new sums. Does nothing if
/// it is not time yet.
void reportLoopLoad(LoopLoad &Load, const sched::CellState &Cell, Steady::duration ProcessorTime,
                    const MessageTimes &Messages, TimePoint Now, CellMetrics &Metrics);

} // namespace valveshelf
