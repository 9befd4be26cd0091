// SPDX-License-Identifier: Apache-2.0
// The metrics and the log line of the scheduler's event loop.
#include "cell/loop_load.h"

#include "valveshelf/events.h"

#include <algorithm>
#include <utility>

namespace valveshelf {
using namespace sched;

namespace {
constexpr Milliseconds ReportInterval{1000};
// Delays the start of a quick job noticeably.
constexpr Milliseconds LoggedLag{50};

std::string millis(Steady::duration Time) {
  return std::to_string(std::chrono::duration_cast<Milliseconds>(Time).count());
}

double seconds(Steady::duration Time) { return std::chrono::duration<double>(Time).count(); }

// "name:value,name:value"
template <class Names, class Values, class Printed>
std::string list(const Names &Of, const Values &Given, Printed Print) {
  std::string Text;
  for (size_t I = 0; I < Of.size(); ++I)
    Text.append(I == 0 ? "" : ",").append(Of[I]).append(":").append(Print(Given[I]));
  return Text;
}
} // namespace

void reportLoopLoad(LoopLoad &Load, const CellState &Cell, Steady::duration ProcessorTime,
                    const MessageTimes &Messages, TimePoint Now, CellMetrics &Metrics) {
  if (Now - Load.ReportedAt < ReportInterval)
    return;
  LoopLoad Sums = std::exchange(Load, LoopLoad{});
  Load.ProcessorTime = ProcessorTime;
  Load.Messages = Messages;
  Load.ReportedAt = Now;
  if (Sums.ReportedAt == TimePoint{})
    return;
  const Steady::duration Processor = ProcessorTime - Sums.ProcessorTime;
  Steady::duration Known{0};
  for (size_t I = 0; I < Sums.Times.size(); ++I) {
    Metrics.add(metrics::LoopSeconds, seconds(Sums.Times[I]), std::string(LoopWorkNames[I]));
    Known += Sums.Times[I];
  }
  const Steady::duration Rest = std::max(Processor - Known, Steady::duration(0));
  Metrics.add(metrics::LoopSeconds, seconds(Rest), "messages");
  MessageTimes OfMessages{};
  for (size_t I = 0; I < OfMessages.size(); ++I) {
    OfMessages[I] = Messages[I] - Sums.Messages[I];
    Metrics.add(metrics::MessageSeconds, seconds(OfMessages[I]), std::string(MessageWorkNames[I]));
  }
  Metrics.set(metrics::LoopLag, seconds(Sums.MaxLag));
  const auto Waiting = countWaitingSteps(Cell);
  for (size_t I = 0; I < Waiting.size(); ++I)
    Metrics.set(metrics::WaitingByCause, Waiting[I], std::string(WaitCauseNames[I]));
  if (Sums.MaxLag < LoggedLag)
    return;
  logEvent(events::LoopLags, {{"lag_ms", millis(Sums.MaxLag)},
                              {"passed_ms", millis(Now - Sums.ReportedAt)},
                              {"processor_ms", millis(Processor)},
                              {"work_ms", list(LoopWorkNames, Sums.Times, millis)},
                              {"messages_ms", list(MessageWorkNames, OfMessages, millis)},
                              {"starts", std::to_string(Sums.Starts)},
                              {"unanswered", std::to_string(Sums.UnansweredStarts)},
                              {"waiting", list(WaitCauseNames, Waiting, [](uint32_t Count) {
                                 return std::to_string(Count);
                               })}});
}

} // namespace valveshelf
