// SPDX-License-Identifier: Apache-2.0
// Encoding of forecasts (ForecastRecord in cell.proto), bounded in size, and the description of a
// cell's load for operators.
#include "valveshelf/forecast_records.h"

#include "valveshelf/cell_records.h"
#include "valveshelf/cell_state.h"

#include "cell.pb.h"

#include <boost/json.hpp>

#include <algorithm>
#include <cmath>
#include <limits>

namespace valveshelf::sched {
namespace json = boost::json;

namespace {
// Bound of the tag and the length in front of an entry.
constexpr size_t EntryOverhead = 4;
// Named in the description of a load.
constexpr size_t MaxSlowestWorkers = 10;

Error unreadable(const char *Why) {
  return {ErrorKind::Internal, std::string("can't decode a forecast: ") + Why};
}

uint32_t toMillis(Milliseconds Time) {
  return static_cast<uint32_t>(
      std::clamp<int64_t>(Time.count(), 0, std::numeric_limits<uint32_t>::max()));
}

/// Counts the bytes of a record that is being written.
class SizeBound {
public:
  // Returns whether an entry of this size still fits, and counts it if so.
  bool take(size_t EntryBytes) {
    if (Used + EntryBytes + EntryOverhead > MaxEncodedForecastBytes)
      return false;
    Used += EntryBytes + EntryOverhead;
    return true;
  }

private:
  size_t Used = std::numeric_limits<uint64_t>::digits / 7 + 2; // the term
};

cell::ServiceForecastRecord writeService(const std::string &Name,
                                         const std::vector<ClassForecast> &Classes) {
  cell::ServiceForecastRecord Record;
  Record.set_name(Name);
  for (const ClassForecast &From : Classes) {
    cell::ClassForecastRecord &To = *Record.add_classes();
    To.set_over_share(From.IsOverShare);
    To.set_priority(From.Priority);
    To.set_wait_ms(toMillis(From.Wait));
    To.set_confidence(static_cast<float>(From.Confidence));
    To.set_starts_per_second(static_cast<float>(From.StartsPerSecond));
    To.set_by_starts(From.IsByStarts);
  }
  return Record;
}

bool isValid(const cell::ClassForecastRecord &Class) {
  return Class.confidence() >= 0 && Class.confidence() <= 1 && Class.starts_per_second() >= 0 &&
         std::isfinite(Class.starts_per_second());
}
} // namespace

std::string encodeForecast(const Forecast &From) {
  cell::ForecastRecord Record;
  SizeBound Bound;
  Record.set_term(From.Term);
  for (const auto &[Name, Classes] : From.Services)
    if (cell::ServiceForecastRecord Service = writeService(Name, Classes);
        Bound.take(Service.ByteSizeLong()))
      *Record.add_service() = std::move(Service);
  for (const auto &[Queue, Ratio] : From.RunTimeRatios) {
    cell::RunTimeRatioRecord Entry;
    Entry.set_queue(Queue);
    Entry.set_ratio(static_cast<float>(Ratio));
    if (Bound.take(Entry.ByteSizeLong()))
      *Record.add_run_time_ratio() = std::move(Entry);
  }
  std::vector<std::pair<std::string, Milliseconds>> Waits(From.OrganisationWaits.begin(),
                                                          From.OrganisationWaits.end());
  std::stable_sort(Waits.begin(), Waits.end(),
                   [](const auto &A, const auto &B) { return A.second > B.second; });
  for (const auto &[Name, Wait] : Waits) {
    cell::OrganisationWaitRecord Entry;
    Entry.set_name(Name);
    Entry.set_wait_ms(toMillis(Wait));
    if (Bound.take(Entry.ByteSizeLong()))
      *Record.add_at_maximum() = std::move(Entry);
  }
  for (const std::string &Name : From.OverShareOrganisations)
    if (Bound.take(Name.size()))
      Record.add_over_share(Name);
  return Record.SerializeAsString();
}

Result<Forecast> decodeForecast(const std::string &Bytes) {
  cell::ForecastRecord Record;
  if (Bytes.size() > MaxForecastBytes)
    return unreadable("it is too long");
  if (!Record.ParseFromString(Bytes))
    return unreadable("it is malformed");
  Forecast Out;
  Out.Term = Record.term();
  for (const cell::ServiceForecastRecord &Service : Record.service()) {
    std::vector<ClassForecast> &Classes = Out.Services[Service.name()];
    for (const cell::ClassForecastRecord &Class : Service.classes()) {
      if (!isValid(Class))
        return unreadable("a value is out of range");
      Classes.push_back({Class.over_share(), Class.priority(), Milliseconds(Class.wait_ms()),
                         Class.confidence(), Class.starts_per_second(), Class.by_starts()});
    }
  }
  for (const cell::RunTimeRatioRecord &Entry : Record.run_time_ratio()) {
    if (!(Entry.ratio() > 0) || !std::isfinite(Entry.ratio()))
      return unreadable("a ratio is out of range");
    Out.RunTimeRatios[Entry.queue()] = Entry.ratio();
  }
  for (const cell::OrganisationWaitRecord &Entry : Record.at_maximum())
    Out.OrganisationWaits[Entry.name()] = Milliseconds(Entry.wait_ms());
  Out.OverShareOrganisations.insert(Record.over_share().begin(), Record.over_share().end());
  return Out;
}

namespace {
json::object describeResources(const Resources &What) {
  return {{"milli_cores", What.MilliCores},
          {"memory_mb", What.MemoryMb},
          {"accelerators", What.Accelerators}};
}

json::object describeService(const ServiceLoad &Load, TimePoint Now) {
  const bool IsMeasured = Load.MeasuredSince != TimePoint{};
  const auto Measured = IsMeasured ? Now - Load.MeasuredSince : Steady::duration{0};
  return {
      {"capacity", describeResources(Load.Capacity)},
      {"free", describeResources(Load.Free)},
      {"released_per_second", json::object{{"milli_cores", std::llround(Load.Released.MilliCores)},
                                           {"memory_mb", std::llround(Load.Released.MemoryMb)},
                                           {"accelerators", Load.Released.Accelerators}}},
      {"ends_per_second", Load.EndsPerSecond},
      {"measured_ms", std::chrono::duration_cast<Milliseconds>(Measured).count()}};
}

json::array describeClasses(const std::vector<ClassForecast> &Classes) {
  json::array Text;
  for (const ClassForecast &Class : Classes)
    Text.push_back(json::object{{"over_share", Class.IsOverShare},
                                {"priority", Class.Priority},
                                {"wait_ms", Class.Wait.count()},
                                {"confidence", Class.Confidence},
                                {"starts_per_second", Class.StartsPerSecond}});
  return Text;
}

json::array describeCopies(const CellState &Cell, TimePoint Now) {
  const auto MillisUntil = [&](TimePoint When) {
    return std::chrono::duration_cast<Milliseconds>(When - Now).count();
  };
  json::array Text;
  for (const auto &[Run, Record] : Cell.Copies.Records) {
    json::object Row{{"task", toString(Run.Task)},
                     {"run", Run.Run},
                     {"slow_run", Record.SlowRun},
                     {"service", Record.Service},
                     {"running_ms", -MillisUntil(Record.StartedAt)}};
    if (Record.PredictedEnd != TimePoint{}) {
      Row["slow_end_in_ms"] = MillisUntil(Record.PredictedEnd);
      Row["copy_end_in_ms"] = MillisUntil(Record.CopyEnd);
    }
    Text.push_back(std::move(Row));
  }
  return Text;
}
} // namespace

std::string describeLoad(const CellState &Cell, TimePoint Now) {
  const auto Latest = publishedForecast(Cell, Now);
  json::object Services;
  for (const auto &[Name, Load] : Cell.Loads)
    Services[Name] = describeService(Load, Now);
  if (Latest)
    for (const auto &[Name, Classes] : Latest->Services) {
      if (!Services.contains(Name))
        Services[Name] = json::object();
      Services[Name].as_object()["classes"] = describeClasses(Classes);
    }
  json::object Text{{"term", Cell.Fence},
                    {"services", std::move(Services)},
                    {"left_out_steps", Cell.Overload.LeftOutSteps},
                    {"copies", describeCopies(Cell, Now)},
                    {"slowest_workers", json::parse(slowestWorkers(Cell, MaxSlowestWorkers))}};
  if (!Latest)
    return json::serialize(Text);
  const auto Age = std::chrono::duration_cast<Milliseconds>(Now - Cell.Forecasts.LatestAt);
  Text["forecast_age_ms"] = Age.count();
  json::object AtMaximum;
  for (const auto &[Name, Wait] : Latest->OrganisationWaits)
    AtMaximum[Name] = Wait.count();
  Text["organisations_at_maximum"] = std::move(AtMaximum);
  Text["organisations_over_share"] =
      json::array(Latest->OverShareOrganisations.begin(), Latest->OverShareOrganisations.end());
  return json::serialize(Text);
}

} // namespace valveshelf::sched
