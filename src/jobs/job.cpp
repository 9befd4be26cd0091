// SPDX-License-Identifier: Apache-2.0
// Names of the job enumerations, and conversion of jobs from and to JSON.
#include "valveshelf/job.h"

#include <boost/json.hpp>

#include <array>
#include <set>

namespace valveshelf {
namespace {
namespace json = boost::json;

constexpr std::array<std::string_view, 3> KindNames{"batch", "service", "gang"};
constexpr std::array<std::string_view, 4> ClassNames{"urgent", "quick", "service", "batch"};
constexpr std::array<std::string_view, 5> OutcomeNames{"none", "succeeded", "failed", "cancelled",
                                                       "unknown"};
constexpr size_t MaxIdLength = 128;

template <class E, size_t N>
std::optional<E> parseName(const std::array<std::string_view, N> &Names, std::string_view Text) {
  for (size_t I = 0; I < N; ++I)
    if (Names[I] == Text)
      return static_cast<E>(I);
  return std::nullopt;
}

// Reads the members of a JSON object and keeps the first error.
class JsonReader {
public:
  explicit JsonReader(const json::object &Object) : Object(Object) {}

  std::string text(std::string_view Key, std::string Default) {
    const json::value *Found = find(Key);
    if (!Found)
      return Default;
    if (!Found->is_string())
      fail(Key, "is not a string");
    return Found->is_string() ? std::string(Found->as_string()) : Default;
  }
  int64_t integer(std::string_view Key, int64_t Default, int64_t Least, int64_t Most) {
    const json::value *Found = find(Key);
    if (!Found)
      return Default;
    json::error_code Failure;
    const int64_t Value = Found->to_number<int64_t>(Failure);
    if (!Failure && Value >= Least && Value <= Most)
      return Value;
    fail(Key, "is not an integer from " + std::to_string(Least) + " to " + std::to_string(Most));
    return Default;
  }
  bool boolean(std::string_view Key, bool Default) {
    const json::value *Found = find(Key);
    if (!Found)
      return Default;
    if (!Found->is_bool())
      fail(Key, "is not true or false");
    return Found->is_bool() ? Found->as_bool() : Default;
  }
  Labels labels(std::string_view Key) {
    Labels Read;
    const json::value *Found = find(Key);
    if (Found && !Found->is_object())
      fail(Key, "is not an object of strings");
    if (!Found || !Found->is_object())
      return Read;
    for (const auto &[Name, Value] : Found->as_object()) {
      if (!Value.is_string())
        fail(Key, "contains a value that is not a string");
      else
        Read[std::string(Name)] = std::string(Value.as_string());
    }
    return Read;
  }
  void fail(std::string_view Key, const std::string &Problem) {
    if (Wrong.empty())
      Wrong = "field '" + std::string(Key) + "' " + Problem;
  }
  std::string finish() {
    for (const auto &Member : Object)
      if (!Known.count(std::string(Member.key())))
        fail(Member.key(), "is unknown");
    return Wrong;
  }

private:
  const json::value *find(std::string_view Key) {
    Known.insert(std::string(Key));
    return Object.if_contains(json::string_view(Key.data(), Key.size()));
  }
  const json::object &Object;
  std::set<std::string> Known;
  std::string Wrong;
};

bool isPlainId(const std::string &Text) {
  return Text.size() <= MaxIdLength && std::all_of(Text.begin(), Text.end(), [](unsigned char C) {
           return std::isalnum(C) || C == '-' || C == '_' || C == '.';
         });
}

void readNames(JsonReader &Read, JobSpec &Spec) {
  Spec.Id = Read.text("id", "");
  if (!isPlainId(Spec.Id))
    Read.fail("id", "must consist of at most 128 letters, digits, '-', '_' and '.'");
  Spec.Partner = Read.text("partner", "");
  if (Spec.Partner.empty() || !isPlainId(Spec.Partner))
    Read.fail("partner", "is missing, too long or contains invalid characters");
  Spec.Team = Read.text("team", "default");
  const auto Kind = parseKind(Read.text("kind", "batch"));
  if (!Kind)
    Read.fail("kind", "is not one of batch, service, gang");
  Spec.Kind = Kind.value_or(JobKind::Batch);
  const std::string_view Usual = Spec.Kind == JobKind::Service ? "service" : "batch";
  const auto Class = parseClass(Read.text("class", std::string(Usual)));
  if (!Class)
    Read.fail("class", "is not one of urgent, quick, service, batch");
  Spec.Class = Class.value_or(JobClass::Batch);
}

void readAmounts(JsonReader &Read, JobSpec &Spec, uint32_t MaxTasks) {
  constexpr int64_t Most = 1'000'000'000;
  constexpr int64_t MostMs = 366LL * 24 * 3600 * 1000;
  Spec.Count = static_cast<uint32_t>(Read.integer("count", 1, 1, MaxTasks));
  Spec.Size.MilliCores = Read.integer("milli_cores", 1000, 0, Most);
  Spec.Size.MemoryMb = Read.integer("memory_mb", 512, 0, Most);
  Spec.Size.Accelerators = Read.integer("accelerators", 0, 0, Most);
  Spec.RunTime = Milliseconds(Read.integer("run_time_ms", 1000, 0, MostMs));
  Spec.FinishBy = WallTime(Milliseconds(Read.integer("finish_by_ms", 0, 0, INT64_MAX)));
  Spec.MaxTries = static_cast<uint32_t>(Read.integer("max_tries", 3, 1, 1000));
}

} // namespace

std::string_view kindName(JobKind Value) { return KindNames.at(static_cast<size_t>(Value)); }
std::string_view className(JobClass Value) { return ClassNames.at(static_cast<size_t>(Value)); }
std::string_view outcomeName(TaskOutcome Value) {
  return OutcomeNames.at(static_cast<size_t>(Value));
}
std::optional<JobKind> parseKind(std::string_view Text) {
  return parseName<JobKind>(KindNames, Text);
}
std::optional<JobClass> parseClass(std::string_view Text) {
  return parseName<JobClass>(ClassNames, Text);
}

std::string toString(const TaskKey &Key) { return Key.Job + "/" + std::to_string(Key.Index); }

Result<JobSpec> parseJob(std::string_view Text, uint32_t MaxTasks) {
  json::error_code Failure;
  const json::value Root = json::parse(json::string_view(Text.data(), Text.size()), Failure);
  if (Failure)
    return Error{ErrorKind::BadRequest, "the job is not JSON: " + Failure.message()};
  if (!Root.is_object())
    return Error{ErrorKind::BadRequest, "the job is not a JSON object"};
  JsonReader Read(Root.as_object());
  JobSpec Spec;
  readNames(Read, Spec);
  readAmounts(Read, Spec, MaxTasks);
  Spec.BoxSelector = Read.text("boxes", "");
  if (const auto Parsed = parseSelector(Spec.BoxSelector); !ok(Parsed))
    Read.fail("boxes", error(Parsed).Detail);
  Spec.Labels = Read.labels("labels");
  Spec.Repeatable = Read.boolean("repeatable", true);
  Spec.Checkpointable = Read.boolean("checkpointable", false);
  if (!Spec.Repeatable && Spec.Kind != JobKind::Batch)
    Read.fail("repeatable", "can be false only for kind batch");
  if (const std::string Wrong = Read.finish(); !Wrong.empty())
    return Error{ErrorKind::BadRequest, Wrong};
  return Spec;
}

std::string jobToJson(const JobSpec &Spec) {
  json::object LabelObject;
  for (const auto &[Key, Value] : Spec.Labels)
    LabelObject[Key] = Value;
  const json::object Root{{"id", Spec.Id},
                          {"partner", Spec.Partner},
                          {"team", Spec.Team},
                          {"kind", kindName(Spec.Kind)},
                          {"class", className(Spec.Class)},
                          {"count", Spec.Count},
                          {"milli_cores", Spec.Size.MilliCores},
                          {"memory_mb", Spec.Size.MemoryMb},
                          {"accelerators", Spec.Size.Accelerators},
                          {"boxes", Spec.BoxSelector},
                          {"labels", std::move(LabelObject)},
                          {"repeatable", Spec.Repeatable},
                          {"run_time_ms", Spec.RunTime.count()},
                          {"finish_by_ms", Spec.FinishBy.time_since_epoch().count()},
                          {"max_tries", Spec.MaxTries},
                          {"checkpointable", Spec.Checkpointable}};
  return json::serialize(Root);
}

} // namespace valveshelf
