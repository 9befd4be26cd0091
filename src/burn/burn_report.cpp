// SPDX-License-Identifier: Apache-2.0
// Formats the error budget report as a text table, as JSON and as an HTML page with plots.
#include "valveshelf/burn.h"

#include <boost/json.hpp>

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace valveshelf {
namespace json = boost::json;

namespace {
// Plot height and width of one minute, in pixels.
constexpr int PlotHeight = 60;
constexpr int MinuteWidth = 8;

int64_t minutesOf(Milliseconds Window) {
  return std::chrono::duration_cast<std::chrono::minutes>(Window).count();
}

// Remaining share of the window's error budget.
double budgetLeft(const BurnLine &Line) { return std::max(0.0, 1 - Line.BurnRate); }

std::string escaped(const std::string &Text) {
  std::string Safe;
  for (const char C : Text)
    Safe += C == '&' ? "&amp;" : C == '<' ? "&lt;" : C == '>' ? "&gt;" : std::string(1, C);
  return Safe;
}

void drawBar(std::ostream &Out, int64_t At, double Bottom, double Height, const char *Colour) {
  Out << "<rect x=\"" << At * MinuteWidth << "\" y=\"" << PlotHeight - Bottom - Height
      << "\" width=\"" << MinuteWidth - 1 << "\" height=\"" << Height << "\" fill=\"" << Colour
      << "\"/>";
}

// Draws jobs per minute, stacked by outcome, with the newest minute at the right.
void drawPlot(std::ostream &Out, const BurnBook::Minutes &Minutes, WallTime Now) {
  const int64_t Count = minutesOf(BurnRetention);
  const int64_t First =
      std::chrono::duration_cast<std::chrono::minutes>(Now.time_since_epoch()).count() - Count + 1;
  uint64_t MaxJobs = 1;
  for (const auto &[Minute, Counts] : Minutes)
    MaxJobs = std::max(MaxJobs, Counts.total());
  Out << "<svg width=\"" << Count * MinuteWidth << "\" height=\"" << PlotHeight << "\">";
  const double Scale = static_cast<double>(PlotHeight) / static_cast<double>(MaxJobs);
  for (const auto &[Minute, Counts] : Minutes) {
    if (Minute < First)
      continue;
    const double Met = static_cast<double>(Counts.Met) * Scale;
    const double Late = static_cast<double>(Counts.Late) * Scale;
    drawBar(Out, Minute - First, 0, Met, "#4a8");
    drawBar(Out, Minute - First, Met, Late, "#db4");
    drawBar(Out, Minute - First, Met + Late, static_cast<double>(Counts.Failed) * Scale, "#c44");
  }
  Out << "</svg>\n<p>Most jobs in a minute: " << MaxJobs << "</p>\n";
}
} // namespace

std::string burnTable(const std::vector<BurnLine> &Lines, double Target) {
  std::ostringstream Out;
  Out << "objective met by " << Target * 100 << " % of jobs\n"
      << std::left << std::setw(24) << "queue" << std::right << std::setw(8) << "window"
      << std::setw(9) << "jobs" << std::setw(9) << "late" << std::setw(9) << "failed"
      << std::setw(9) << "met %" << std::setw(9) << "burn" << std::setw(9) << "left %\n";
  Out << std::fixed;
  for (const BurnLine &Line : Lines)
    Out << std::left << std::setw(24) << Line.Queue << std::right << std::setw(6)
        << minutesOf(Line.Window) << " m" << std::setw(9) << Line.Counts.total() << std::setw(9)
        << Line.Counts.Late << std::setw(9) << Line.Counts.Failed << std::setw(9)
        << std::setprecision(2) << Line.ShareMet * 100 << std::setw(9) << Line.BurnRate
        << std::setw(8) << std::setprecision(0) << budgetLeft(Line) * 100 << "\n";
  return Out.str();
}

std::string burnJson(const std::vector<BurnLine> &Lines, double Target) {
  json::array Rows;
  for (const BurnLine &Line : Lines)
    Rows.push_back(json::object{{"queue", Line.Queue},
                                {"window_minutes", minutesOf(Line.Window)},
                                {"met", Line.Counts.Met},
                                {"late", Line.Counts.Late},
                                {"failed", Line.Counts.Failed},
                                {"share_met", Line.ShareMet},
                                {"burn", Line.BurnRate},
                                {"budget_left", budgetLeft(Line)}});
  return json::serialize(json::object{{"target", Target}, {"lines", std::move(Rows)}}) + "\n";
}

std::string burnPage(const BurnBook &Book, const std::vector<BurnLine> &Lines, double Target,
                     WallTime Now) {
  std::ostringstream Out;
  Out << "<!doctype html><meta charset=\"utf-8\"><title>Service-level burn</title>\n"
         "<style>body{font:14px sans-serif;margin:2em}pre{background:#f4f4f4;padding:1em}</style>\n"
         "<h1>Service-level burn</h1>\n<pre>"
      << escaped(burnTable(Lines, Target))
      << "</pre>\n<p>Green: objective met; yellow: late; red: failed. The last hour, by "
         "minute.</p>\n";
  for (const auto &[Queue, Minutes] : Book.Queues) {
    Out << "<h2>" << escaped(Queue) << "</h2>\n";
    drawPlot(Out, Minutes, Now);
  }
  return Out.str();
}

} // namespace valveshelf
