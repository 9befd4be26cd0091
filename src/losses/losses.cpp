// SPDX-License-Identifier: Apache-2.0
// Reading of log lines, and the one cause of each loss.
#include "valveshelf/losses.h"

#include <boost/json.hpp>

#include <algorithm>
#include <charconv>
#include <sstream>

namespace valveshelf {
namespace {
// The first digits of a task's or step's name are its job's.
constexpr size_t IdDigits = 16;
constexpr std::string_view EventMark = " VS-";
// Phases as the end of a job names them.
constexpr std::string_view FailedPhase = "2";
constexpr std::string_view CancelledPhase = "3";

int numberIn(std::string_view Text, size_t At, size_t Length) {
  int Value = 0;
  if (At + Length <= Text.size())
    std::from_chars(Text.data() + At, Text.data() + At + Length, Value);
  return Value;
}

// 2026-09-28T10:55:48.226, which may stand behind other words.
std::optional<WallTime> timeOf(std::string_view Head) {
  constexpr size_t Length = 23;
  const size_t Mark = Head.find('T');
  if (Mark == std::string_view::npos || Mark < 10 || Head.size() < Mark - 10 + Length)
    return std::nullopt;
  const std::string_view Text = Head.substr(Mark - 10, Length);
  using namespace std::chrono;
  const year_month_day Day{year(numberIn(Text, 0, 4)),
                           month(static_cast<unsigned>(numberIn(Text, 5, 2))),
                           day(static_cast<unsigned>(numberIn(Text, 8, 2)))};
  if (!Day.ok())
    return std::nullopt;
  return WallTime(duration_cast<Milliseconds>(sys_days(Day).time_since_epoch()) +
                  hours(numberIn(Text, 11, 2)) + minutes(numberIn(Text, 14, 2)) +
                  seconds(numberIn(Text, 17, 2)) + Milliseconds(numberIn(Text, 20, 3)));
}

// The name of the event and its values.
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

// Words stand apart by one blank; a value in quotes may hold some.
std::string_view takeWord(std::string_view &Rest) {
  size_t End = 0;
  bool Quoted = false;
  while (End < Rest.size() && (Quoted || Rest[End] != ' '))
    Quoted = Rest[End++] == '"' ? !Quoted : Quoted;
  const std::string_view Word = Rest.substr(0, End);
  Rest.remove_prefix(std::min(End + 1, Rest.size()));
  return Word;
}

EventLine eventOf(std::string_view Rest) {
  EventLine Read;
  takeWord(Rest); // its number
  Read.Name = takeWord(Rest);
  while (!Rest.empty()) {
    const std::string_view Word = takeWord(Rest);
    if (const size_t Equals = Word.find('='); Equals != std::string_view::npos)
      Read.Values[Word.substr(0, Equals)] = Word.substr(Equals + 1);
  }
  return Read;
}

void noteFirst(std::optional<WallTime> &Known, WallTime At) {
  if (!Known || At < *Known)
    Known = At;
}

void noteEvent(JobTrace &Job, const EventLine &Event, WallTime At) {
  if (Event.Name == "job-taken") {
    Job.Queue = Event.text("queue");
    noteFirst(Job.Taken, At);
  } else if (Event.Name == "call-refused") {
    Job.Refused = Event.text("kind");
  } else if (Event.Name == "job-kept") {
    Job.Refused.clear(); // its caller came again
  } else if (Event.Name == "advice-given") {
    noteFirst(Job.FirstAdvice, At);
  } else if (Event.Name == "step-placed") {
    noteFirst(Job.FirstPlaced, At);
    Job.Objective = At + Milliseconds(Event.number("objective_in_ms"));
  } else if (Event.Name == "run-stopped") {
    ++Job.Stops;
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

void readLogLine(LossBook &Book, std::string_view Line) {
  const size_t Mark = Line.find(EventMark);
  if (Mark == std::string_view::npos)
    return;
  const std::optional<WallTime> At = timeOf(Line.substr(0, Mark));
  if (!At)
    return;
  Book.Newest = std::max(Book.Newest, *At);
  const EventLine Event = eventOf(Line.substr(Mark + 1));
  Book.LinesLeftOut += static_cast<uint64_t>(Event.number("left_out"));
  for (const std::string_view Key : {"job", "step", "task"})
    if (const std::string_view Id = Event.text(Key); Id.size() >= IdDigits) {
      noteEvent(Book.Jobs[std::string(Id.substr(0, IdDigits))], Event, *At);
      return;
    }
}

std::string_view causeOf(const JobTrace &Job, WallTime Newest) {
  if (Job.Cancelled)
    return {};
  if (!Job.Taken)
    return Job.Refused; // empty: only what others say of it was kept back
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
  const Steady::duration Whole = *Job.Objective - *Job.Taken;
  const Steady::duration Advice = Job.FirstAdvice.value_or(*Job.Taken) - *Job.Taken;
  const Steady::duration Room = *Job.FirstPlaced - Job.FirstAdvice.value_or(*Job.Taken);
  if (Room * 2 > Whole && Room > Advice)
    return "waited for room";
  if (Advice * 2 > Whole)
    return "waited for advice";
  if (Job.LostRuns > 0)
    return "its workers were lost";
  if (Job.FailedRuns > 0)
    return "runs failed and went on elsewhere";
  if (Job.Stops > 0)
    return "runs were stopped";
  return Job.Ended ? "worked longer than was guessed" : "not done";
}

std::vector<LossLine> lossLines(const LossBook &Book) {
  std::map<std::pair<std::string, std::string>, uint64_t> Counts;
  for (const auto &[Id, Job] : Book.Jobs)
    if (const std::string_view Cause = causeOf(Job, Book.Newest); !Cause.empty())
      ++Counts[{Job.Queue.empty() ? "-" : Job.Queue, std::string(Cause)}];
  std::vector<LossLine> Lines;
  Lines.reserve(Counts.size());
  for (const auto &[Of, Count] : Counts)
    Lines.push_back({Of.first, Of.second, Count});
  std::stable_sort(Lines.begin(), Lines.end(), [](const LossLine &A, const LossLine &B) {
    return A.Queue != B.Queue ? A.Queue < B.Queue : A.Jobs > B.Jobs;
  });
  return Lines;
}

std::string lossTable(const LossBook &Book, const std::vector<LossLine> &Lines) {
  std::ostringstream Text;
  for (const LossLine &One : Lines)
    Text << One.Queue << "  " << One.Jobs << "  " << One.Cause << "\n";
  Text << Book.Jobs.size() << " jobs seen, " << Book.LinesLeftOut
       << " lines held back by the log's limit\n";
  return Text.str();
}

std::string lossJson(const LossBook &Book, const std::vector<LossLine> &Lines) {
  boost::json::array Rows;
  for (const LossLine &One : Lines)
    Rows.push_back({{"queue", One.Queue}, {"cause", One.Cause}, {"jobs", One.Jobs}});
  return boost::json::serialize(boost::json::object{{"jobs_seen", Book.Jobs.size()},
                                                    {"lines_left_out", Book.LinesLeftOut},
                                                    {"losses", std::move(Rows)}}) +
         "\n";
}

} // namespace valveshelf
