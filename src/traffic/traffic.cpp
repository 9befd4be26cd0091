// SPDX-License-Identifier: Apache-2.0
// Counts messages, and converts the counts to and from JSON.
#include "valveshelf/traffic.h"

#include <boost/json.hpp>

#include <algorithm>

namespace valveshelf {
namespace json = boost::json;

TrafficCounts &TrafficCounts::operator+=(const TrafficCounts &Other) {
  Calls += Other.Calls;
  Failed += Other.Failed;
  ConnectionsOpened += Other.ConnectionsOpened;
  BytesSent += Other.BytesSent;
  BytesReceived += Other.BytesReceived;
  return *this;
}

TrafficMeter::TrafficMeter(Clock Time) : Time(std::move(Time)), Since(this->Time.Now()) {}

void TrafficMeter::record(std::string_view Kind, const TrafficCounts &What) {
  std::lock_guard Lock(Mutex);
  auto Found = Stats.Kinds.find(Kind);
  if (Found == Stats.Kinds.end())
    Found = Stats.Kinds.emplace(std::string(Kind), TrafficCounts{}).first;
  Found->second += What;
}

TrafficStats TrafficMeter::stats() const {
  std::lock_guard Lock(Mutex);
  TrafficStats Now = Stats;
  Now.Duration = std::chrono::duration_cast<Milliseconds>(Time.Now() - Since);
  return Now;
}

void TrafficMeter::spend(MessageWork On, Steady::duration Time) {
  Spent[static_cast<size_t>(On)].fetch_add(Time.count(), std::memory_order_relaxed);
}

MessageTimes TrafficMeter::spent() const {
  MessageTimes Times{};
  for (size_t I = 0; I < Times.size(); ++I)
    Times[I] = Steady::duration(Spent[I].load(std::memory_order_relaxed));
  return Times;
}

void mergeTraffic(TrafficStats &Stats, const TrafficStats &Other) {
  for (const auto &[Kind, Counts] : Other.Kinds)
    Stats.Kinds[Kind] += Counts;
  Stats.Duration = std::max(Stats.Duration, Other.Duration);
}

std::string encodeTraffic(const TrafficStats &Stats) {
  json::object Kinds;
  for (const auto &[Kind, Of] : Stats.Kinds)
    Kinds[Kind] = json::object{{"calls", Of.Calls},
                               {"failed", Of.Failed},
                               {"connections_opened", Of.ConnectionsOpened},
                               {"bytes_sent", Of.BytesSent},
                               {"bytes_received", Of.BytesReceived}};
  return json::serialize(json::object{{"ms", Stats.Duration.count()}, {"kinds", std::move(Kinds)}});
}

Result<TrafficStats> decodeTraffic(std::string_view Text) {
  const auto Wrong = [](const std::string &Field) {
    return Error{ErrorKind::BadRequest, "traffic: " + Field + " is missing or not a count"};
  };
  json::error_code Failure;
  const json::value Root = json::parse(Text, Failure);
  if (Failure || !Root.is_object())
    return Error{ErrorKind::BadRequest, "traffic: not a JSON object"};
  const json::value *Time = Root.as_object().if_contains("ms");
  if (!Time || !Time->is_int64() || Time->as_int64() < 0)
    return Wrong("ms");
  const json::value *Kinds = Root.as_object().if_contains("kinds");
  if (!Kinds || !Kinds->is_object())
    return Error{ErrorKind::BadRequest, "traffic: kinds is missing or not an object"};
  TrafficStats Stats;
  Stats.Duration = Milliseconds(Time->as_int64());
  for (const auto &[Kind, Row] : Kinds->as_object()) {
    TrafficCounts &Of = Stats.Kinds[std::string(Kind)];
    for (const auto &[Field, Into] : {std::pair("calls", &Of.Calls),
                                      {"failed", &Of.Failed},
                                      {"connections_opened", &Of.ConnectionsOpened},
                                      {"bytes_sent", &Of.BytesSent},
                                      {"bytes_received", &Of.BytesReceived}}) {
      const json::value *Count = Row.is_object() ? Row.as_object().if_contains(Field) : nullptr;
      if (!Count || !Count->is_int64() || Count->as_int64() < 0)
        return Wrong(std::string(Kind) + "." + Field);
      *Into = static_cast<uint64_t>(Count->as_int64());
    }
  }
  return Stats;
}

} // namespace valveshelf
