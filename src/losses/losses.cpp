// SPDX-License-Identifier: Apache-2.0
// Parses log lines and determines the cause of each lost job.
#include "valveshelf/losses.h"

#include <boost/json.hpp>

#include <algorithm>
#include <charconv>
#include <sstream>

namespace valveshelf {
namespace {
// Names of tasks and steps begin with the id of their job.
constexpr size_t IdDigits = 16;
constexpr std::string_view EventPrefix = " VS-";
// Values of `phase` in job-ended.
constexpr std::string_view FailedPhase = "2";
constexpr std::string_view CancelledPhase = "3";
constexpr std::string_view OverloadCause = "refused: the forecast showed it late";

int parseNumber(std::string_view Text, size_t At, size_t Length) {
  int Value = 0;
  if (At + Length <= Text.size())
    std::from_chars(Text.data() + At, Text.data() + At + Length, Value);
  return Value;
}

// Parses a time such as 2026-09-28T10:55:48.226, which other text may precede.
std::optional<WallTime> parseTime(std::string_view Head) {
  constexpr size_t Length = 23;
  const size_t Mark = Head.find('T');
  if (Mark == std::string_view::npos || Mark < 10 || Head.size() < Mark - 10 + Length)
    return std::nullopt;
  const std::string_view Text = Head.substr(Mark - 10, Length);
  using namespace std::chrono;
  const year_month_day Day{year(parseNumber(Text, 0, 4)),
                           month(static_cast<unsigned>(parseNumber(Text, 5, 2))),
                           day(static_cast<unsigned>(parseNumber(Text, 8, 2)))};
  if (!Day.ok())
    return std::nullopt;
  return WallTime(duration_cast<Milliseconds>(sys_days(Day).time_since_epoch()) +
                  hours(parseNumber(Text, 11, 2)) + minutes(parseNumber(Text, 14, 2)) +
                  seconds(parseNumber(Text, 17, 2)) + Milliseconds(parseNumber(Text, 20, 3)));
}

// Event name and values, as views into the log line.
struct EventLine {
  std::string_view Name;
  std::map<std::string_view, std::string_view> Values;

  std::string_view text(std::string_view Key) const {
    const auto Found = Values.find(Key);
    return Found == Values.end() ? std::string_view() : Found->second;
  }
  int64_t number(std::string_view Key) const {
    const std::string_view Text = text(Key);
    int64_t Value = 0;
    std::from_chars(Text.data(), Text.data() + Text.size(), Value);
    return Value;
  }
};

// Removes the first word from Rest. One blank separates words; quoted values may contain blanks.
std::string_view takeWord(std::string_view &Rest) {
  size_t End = 0;
  bool Quoted = false;
  while (End < Rest.size() && (Quoted || Rest[End] != ' '))
    Quoted = Rest[End++] == '"' ? !Quoted : Quoted;
  const std::string_view Word = Rest.substr(0, End);
  Rest.remove_prefix(std::min(End + 1, Rest.size()));
  return Word;
}

EventLine parseEvent(std::string_view Rest) {
  EventLine Read;
  takeWord(Rest); // the event number
  Read.Name = takeWord(Rest);
  while (!Rest.empty()) {
    const std::string_view Word = takeWord(Rest);
    if (const size_t Equals = Word.find('='); Equals != std::string_view::npos)
      Read.Values[Word.substr(0, Equals)] = Word.substr(Equals + 1);
  }
  return Read;
}

void keepEarliest(std::optional<WallTime> &Known, WallTime At) {
  if (!Known || At < *Known)
    Known = At;
}

void applyEvent(JobTrace &Job, const EventLine &Event, WallTime At) {
  if (Event.Name == "job-taken") {
    Job.Queue = Event.text("queue");
    keepEarliest(Job.Accepted, At);
  } else if (Event.Name == "call-refused") {
    Job.Refused = Event.text("kind");
  } else if (Event.Name == "job-refused-overload") {
    Job.Queue = Event.text("queue");
    Job.Refused = OverloadCause;
  } else if (Event.Name == "job-kept") {
    Job.Refused.clear(); // the retry was accepted
  } else if (Event.Name == "advice-given") {
    keepEarliest(Job.FirstAdvice, At);
  } else if (Event.Name == "step-placed") {
    keepEarliest(Job.FirstPlaced, At);
    Job.Objective = At + Milliseconds(Event.number("objective_in_ms"));
  } else if (Event.Name == "run-stopped") {
    ++Job.StoppedRuns;
  } else if (Event.Name == "task-failed") {
    ++Job.FailedRuns;
  } else if (Event.Name == "run-lost") {
    ++Job.LostRuns;
  } else if (Event.Name == "task-given-up") {
    Job.GivenUp = true;
  } else if (Event.Name == "job-cancelled") {
    Job.Cancelled = true;
  } else if (Event.Name == "job-ended") {
    Job.Ended = At;
    Job.Failed = Event.text("phase") == FailedPhase;
    Job.Cancelled = Job.Cancelled || Event.text("phase") == CancelledPhase;
  }
}
} // namespace

void readLogLine(LogSummary &Summary, std::string_view Line) {
  const size_t Mark = Line.find(EventPrefix);
  if (Mark == std::string_view::npos)
    return;
  const std::optional<WallTime> At = parseTime(Line.substr(0, Mark));
  if (!At)
    return;
  Summary.Newest = std::max(Summary.Newest, *At);
  const EventLine Event = parseEvent(Line.substr(Mark + 1));
  Summary.LinesSuppressed += static_cast<uint64_t>(Event.number("left_out"));
  for (const std::string_view Key : {"job", "step", "task"})
    if (const std::string_view Id = Event.text(Key); Id.size() >= IdDigits) {
      applyEvent(Summary.Jobs[std::string(Id.substr(0, IdDigits))], Event, *At);
      return;
    }
}

std::string_view lossCause(const JobTrace &Job, WallTime Newest) {
  if (Job.Cancelled)
    return {};
  if (!Job.Accepted)
    return Job.Refused; // empty if the job's own log lines are missing
  if (Job.GivenUp)
    return "a task of it crashes its workers";
  if (Job.Failed)
    return "its runs failed";
  if (!Job.FirstPlaced)
    return Job.Ended          ? std::string_view()
           : !Job.FirstAdvice ? "never asked about, or the log was held back"
                              : "no room on advised workers";
  if (Job.Ended.value_or(Newest) <= *Job.Objective)
    return {};
  const Steady::duration Whole = *Job.Objective - *Job.Accepted;
  const Steady::duration Advice = Job.FirstAdvice.value_or(*Job.Accepted) - *Job.Accepted;
  const Steady::duration Room = *Job.FirstPlaced - Job.FirstAdvice.value_or(*Job.Accepted);
  if (Room * 2 > Whole && Room > Advice)
    return "waited for room";
  if (Advice * 2 > Whole)
    return "waited for advice";
  if (Job.LostRuns > 0)
    return "its workers were lost";
  if (Job.FailedRuns > 0)
    return "runs failed and went on elsewhere";
  if (Job.StoppedRuns > 0)
    return "runs were stopped";
  return Job.Ended ? "worked longer than was guessed" : "not done";
}

std::vector<LossCount> countLosses(const LogSummary &Summary) {
  std::map<std::pair<std::string, std::string>, uint64_t> Counts;
  for (const auto &[Id, Job] : Summary.Jobs)
    if (const std::string_view Cause = lossCause(Job, Summary.Newest); !Cause.empty())
      ++Counts[{Job.Queue.empty() ? "-" : Job.Queue, std::string(Cause)}];
  std::vector<LossCount> Lines;
  Lines.reserve(Counts.size());
  for (const auto &[Of, Count] : Counts)
    Lines.push_back({Of.first, Of.second, Count});
  std::stable_sort(Lines.begin(), Lines.end(), [](const LossCount &A, const LossCount &B) {
    return A.Queue != B.Queue ? A.Queue < B.Queue : A.Jobs > B.Jobs;
  });
  return Lines;
}

std::string lossTable(const LogSummary &Summary, const std::vector<LossCount> &Lines) {
  std::ostringstream Text;
  for (const LossCount &One : Lines)
    Text << One.Queue << "  " << One.Jobs << "  " << One.Cause << "\n";
  Text << Summary.Jobs.size() << " jobs seen, " << Summary.LinesSuppressed
       << " lines suppressed by the log rate limit\n";
  return Text.str();
}

std::string lossJson(const LogSummary &Summary, const std::vector<LossCount> &Lines) {
  boost::json::array Rows;
  for (const LossCount &One : Lines)
    Rows.push_back({{"queue", One.Queue}, {"cause", One.Cause}, {"jobs", One.Jobs}});
  return boost::json::serialize(boost::json::object{{"jobs_seen", Summary.Jobs.size()},
                                                    {"lines_left_out", Summary.LinesSuppressed},
                                                    {"losses", std::move(Rows)}}) +
         "\n";
}

} // namespace valveshelf
