// SPDX-License-Identifier: Apache-2.0
// Counts ended jobs by minute and computes the error budget burn rate from the counts.
#include "valveshelf/burn.h"

#include <boost/json.hpp>

#include <array>

namespace valveshelf {
namespace json = boost::json;

namespace {
constexpr std::chrono::minutes ShortWindow{5};
constexpr std::array<Milliseconds, 2> Windows{Milliseconds(ShortWindow), BurnRetention};

int64_t minuteOf(WallTime Time) {
  return std::chrono::duration_cast<std::chrono::minutes>(Time.time_since_epoch()).count();
}

void evictOldMinutes(BurnBook::Minutes &Minutes) {
  const int64_t Oldest = Minutes.rbegin()->first -
                         std::chrono::duration_cast<std::chrono::minutes>(BurnRetention).count();
  Minutes.erase(Minutes.begin(), Minutes.lower_bound(Oldest));
}

Error malformedReport(const std::string &Field, const char *Problem) {
  return {ErrorKind::BadRequest, "burn report: " + Field + " " + Problem};
}

bool readCounts(const json::value &Row, BurnCounts &Read) {
  const json::array *Figures = Row.if_array();
  if (!Figures || Figures->size() != 4)
    return false;
  for (const json::value &Figure : *Figures)
    if (!Figure.is_int64() || Figure.as_int64() < 0)
      return false;
  Read.Met = static_cast<uint64_t>((*Figures)[1].as_int64());
  Read.Late = static_cast<uint64_t>((*Figures)[2].as_int64());
  Read.Failed = static_cast<uint64_t>((*Figures)[3].as_int64());
  return true;
}
} // namespace

BurnCounts &BurnCounts::operator+=(const BurnCounts &Other) {
  Met += Other.Met;
  Late += Other.Late;
  Failed += Other.Failed;
  return *this;
}

void noteEnd(BurnBook &Book, const std::string &Queue, BurnOutcome What, WallTime Now) {
  BurnBook::Minutes &Minutes = Book.Queues[Queue];
  BurnCounts &Counts = Minutes[minuteOf(Now)];
  Counts.Met += What == BurnOutcome::Met ? 1 : 0;
  Counts.Late += What == BurnOutcome::Late ? 1 : 0;
  Counts.Failed += What == BurnOutcome::Failed ? 1 : 0;
  evictOldMinutes(Minutes);
}

void mergeBurn(BurnBook &Book, const BurnBook &Other) {
  for (const auto &[Queue, Minutes] : Other.Queues)
    for (const auto &[Minute, Counts] : Minutes)
      Book.Queues[Queue][Minute] += Counts;
}

std::string encodeBurn(const BurnBook &Book) {
  json::object Queues;
  for (const auto &[Queue, Minutes] : Book.Queues) {
    json::array Rows;
    for (const auto &[Minute, Counts] : Minutes)
      Rows.push_back(json::array{Minute, Counts.Met, Counts.Late, Counts.Failed});
    Queues[Queue] = std::move(Rows);
  }
  return json::serialize(json::object{{"queues", std::move(Queues)}});
}

Result<BurnBook> decodeBurn(std::string_view Text) {
  json::error_code Failure;
  const json::value Root = json::parse(Text, Failure);
  if (Failure || !Root.is_object())
    return malformedReport("the text", "is not a JSON object");
  const json::value *Queues = Root.as_object().if_contains("queues");
  if (!Queues || !Queues->is_object())
    return malformedReport("queues", "is not an object");
  BurnBook Book;
  for (const auto &[Queue, Rows] : Queues->as_object()) {
    if (!Rows.is_array())
      return malformedReport("queues." + std::string(Queue), "is not a list");
    for (const json::value &Row : Rows.as_array()) {
      BurnCounts Counts;
      if (!readCounts(Row, Counts))
        return malformedReport("queues." + std::string(Queue),
                               "has a row that is not four non-negative integers");
      Book.Queues[Queue][Row.as_array()[0].as_int64()] += Counts;
    }
  }
  return Book;
}

std::vector<BurnLine> burnLines(const BurnBook &Book, double Target, WallTime Now) {
  std::vector<BurnLine> Lines;
  for (const auto &[Queue, Minutes] : Book.Queues)
    for (const Milliseconds Window : Windows) {
      BurnLine Line{Queue, Window, {}, 1, 0};
      for (auto At = Minutes.upper_bound(minuteOf(Now - Window)); At != Minutes.end(); ++At)
        Line.Counts += At->second;
      if (const uint64_t All = Line.Counts.total(); All > 0) {
        Line.ShareMet = static_cast<double>(Line.Counts.Met) / static_cast<double>(All);
        Line.BurnRate = (1 - Line.ShareMet) / (1 - Target);
      }
      Lines.push_back(std::move(Line));
    }
  return Lines;
}

} // namespace valveshelf
