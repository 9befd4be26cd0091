// SPDX-License-Identifier: Apache-2.0
// Reports the traffic of a cell as a table, as JSON and as an HTML page with bar charts.
#include "valveshelf/traffic.h"

#include <boost/json.hpp>

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace valveshelf {
namespace json = boost::json;

namespace {
constexpr double BytesPerKb = 1000;
// Height of a chart and width of its bars, in pixels.
constexpr int PlotHeight = 60;
constexpr int ProcessWidth = 4;

/// Traffic of one kind of message over a cell.
struct KindSummary {
  std::string Kind;
  TrafficCounts Sum;
  double CallsPerSecond = 0;     ///< Of all processes.
  double KbPerSecond = 0;        ///< Of all processes, sent and received.
  double PeakCallsPerSecond = 0; ///< Of the busiest process.
  std::string PeakProcess;       ///< Address of the busiest process.
};

double seconds(const TrafficStats &Stats) {
  return std::max(0.001, std::chrono::duration<double>(Stats.Duration).count());
}

double callsPerSecond(const TrafficStats &Stats, const std::string &Kind) {
  const auto Found = Stats.Kinds.find(Kind);
  return Found == Stats.Kinds.end() ? 0 : static_cast<double>(Found->second.Calls) / seconds(Stats);
}

std::vector<KindSummary> summarize(const std::vector<ProcessTraffic> &Cell) {
  TrafficStats All;
  for (const ProcessTraffic &One : Cell)
    mergeTraffic(All, One.Stats);
  std::vector<KindSummary> Summaries;
  for (const auto &[Kind, Sum] : All.Kinds) {
    KindSummary Summary{Kind, Sum, 0, 0, 0, ""};
    for (const ProcessTraffic &One : Cell) {
      const double Calls = callsPerSecond(One.Stats, Kind);
      Summary.CallsPerSecond += Calls;
      if (Calls > Summary.PeakCallsPerSecond) {
        Summary.PeakCallsPerSecond = Calls;
        Summary.PeakProcess = One.Address;
      }
    }
    Summary.KbPerSecond =
        static_cast<double>(Sum.BytesSent + Sum.BytesReceived) / seconds(All) / BytesPerKb;
    Summaries.push_back(std::move(Summary));
  }
  return Summaries;
}
} // namespace

std::string trafficTable(const std::vector<ProcessTraffic> &Cell) {
  std::ostringstream Out;
  Out << std::fixed << std::setprecision(1) << Cell.size() << " processes\n"
      << std::left << std::setw(28) << "kind" << std::right << std::setw(10) << "calls"
      << std::setw(9) << "failed" << std::setw(9) << "opened" << std::setw(11) << "calls/s"
      << std::setw(11) << "KB/s" << std::setw(11) << "most/s"
      << "  by\n";
  for (const KindSummary &One : summarize(Cell))
    Out << std::left << std::setw(28) << One.Kind << std::right << std::setw(10) << One.Sum.Calls
        << std::setw(9) << One.Sum.Failed << std::setw(9) << One.Sum.ConnectionsOpened
        << std::setw(11) << One.CallsPerSecond << std::setw(11) << One.KbPerSecond << std::setw(11)
        << One.PeakCallsPerSecond << "  " << One.PeakProcess << "\n";
  return Out.str();
}

std::string trafficJson(const std::vector<ProcessTraffic> &Cell) {
  json::array Kinds;
  for (const KindSummary &One : summarize(Cell))
    Kinds.push_back(json::object{{"kind", One.Kind},
                                 {"calls", One.Sum.Calls},
                                 {"failed", One.Sum.Failed},
                                 {"connections_opened", One.Sum.ConnectionsOpened},
                                 {"bytes_sent", One.Sum.BytesSent},
                                 {"bytes_received", One.Sum.BytesReceived},
                                 {"calls_per_second", One.CallsPerSecond},
                                 {"kb_per_second", One.KbPerSecond},
                                 {"most_calls_per_second", One.PeakCallsPerSecond},
                                 {"most_by", One.PeakProcess}});
  return json::serialize(json::object{{"processes", Cell.size()}, {"kinds", std::move(Kinds)}}) +
         "\n";
}

std::string trafficPage(const std::vector<ProcessTraffic> &Cell) {
  std::ostringstream Out;
  Out << "<!doctype html><meta charset=\"utf-8\"><title>Traffic of a cell</title>\n<h1>Traffic of "
      << Cell.size() << " processes</h1>\n<p>Calls per second by kind, one bar per process, "
      << "busiest first.</p>\n";
  for (const KindSummary &One : summarize(Cell)) {
    std::vector<double> Bars;
    Bars.reserve(Cell.size());
    for (const ProcessTraffic &Process : Cell)
      Bars.push_back(callsPerSecond(Process.Stats, One.Kind));
    std::sort(Bars.rbegin(), Bars.rend());
    Out << "<h2>" << One.Kind << "</h2>\n<svg width=\"" << Bars.size() * ProcessWidth
        << "\" height=\"" << PlotHeight << "\">";
    const double Scale = PlotHeight / std::max(0.001, One.PeakCallsPerSecond);
    for (size_t I = 0; I < Bars.size(); ++I)
      Out << "<rect x=\"" << I * ProcessWidth << "\" y=\"" << PlotHeight - Bars[I] * Scale
          << "\" width=\"" << ProcessWidth - 1 << "\" height=\"" << Bars[I] * Scale
          << "\" fill=\"#48a\"/>";
    Out << "</svg>\n<p>" << One.CallsPerSecond << " calls per second in total, "
        << One.PeakCallsPerSecond << " by " << One.PeakProcess << "; " << One.KbPerSecond
        << " KB per second.</p>\n";
  }
  return Out.str();
}

} // namespace valveshelf
