// SPDX-License-Identifier: Apache-2.0
// The auditor's judgements, one function a point.
#include "audit.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <limits>
#include <map>
#include <set>

namespace standins {
namespace json = boost::json;
namespace {

constexpr int64_t Forever = std::numeric_limits<int64_t>::max();
constexpr int64_t LeavingGraceMs = 3000;
constexpr int64_t ConfigWithinMs = 7000;
// Usage is reported with a lag; so long a task may use more than it declared.
constexpr int64_t ContainWithinMs = 3000;
constexpr size_t MostExamples = 5;

std::string text(const json::object &Record, const char *Key) {
  const json::value *Found = Record.if_contains(Key);
  return Found && Found->is_string() ? std::string(Found->as_string()) : std::string();
}

int64_t number(const json::object &Record, const char *Key) {
  const json::value *Found = Record.if_contains(Key);
  return Found && Found->is_int64() ? Found->as_int64() : 0;
}

bool flag(const json::object &Record, const char *Key) {
  const json::value *Found = Record.if_contains(Key);
  return Found && Found->is_bool() && Found->as_bool();
}

// A task as it really ran on a worker.
struct Run {
  std::string Worker, Id, Task;
  int64_t From = 0, Until = Forever, ThrottledAt = Forever;
  int64_t Cores = 0, Memory = 0, Accelerators = 0;
  int64_t UsedCores = 0, UsedMemory = 0;
  bool Repeatable = true;
};

struct Capacity {
  int64_t Cores = 0, Memory = 0, Accelerators = 0;
};

struct History {
  std::vector<Run> Runs;
  std::map<std::string, Capacity> Workers;
};

// `job/index` of `job/index#attempt`.
std::string taskOf(const std::string &Id) { return Id.substr(0, Id.rfind('#')); }

// The runs of all workers. A worker that was killed or started anew runs nothing from before.
History historyOf(const std::vector<json::object> &Records) {
  History Past;
  std::map<std::pair<std::string, int64_t>, size_t> Open;
  const auto EndAll = [&](const std::string &Worker, int64_t When) {
    std::erase_if(Open, [&](const auto &Entry) {
      if (Entry.first.first != Worker)
        return false;
      Past.Runs[Entry.second].Until = std::min(Past.Runs[Entry.second].Until, When);
      return true;
    });
  };
  for (const json::object &Record : Records) {
    const std::string Type = text(Record, "type");
    const std::string Who = text(Record, "who");
    const int64_t Ts = number(Record, "ts");
    const std::pair Key(Who, number(Record, "run"));
    if (Type == "boot") {
      EndAll(Who, Ts);
      Past.Workers[Who] = {number(Record, "milli_cores"), number(Record, "memory_mb"),
                           number(Record, "accelerators")};
    } else if (Type == "killed") {
      EndAll(text(Record, "name"), Ts);
    } else if (Type == "start") {
      Run New{Who, text(Record, "id"), taskOf(text(Record, "id")), Ts};
      New.Cores = number(Record, "milli_cores");
      New.Memory = number(Record, "memory_mb");
      New.Accelerators = number(Record, "accelerators");
      New.UsedCores = number(Record, "used_milli_cores");
      New.UsedMemory = number(Record, "used_memory_mb");
      New.Repeatable = flag(Record, "repeatable");
      Open[Key] = Past.Runs.size();
      Past.Runs.push_back(New);
    } else if (Type == "end" && Open.count(Key)) {
      Past.Runs[Open[Key]].Until = Ts;
      Open.erase(Key);
    } else if (Type == "throttle" && Open.count(Key)) {
      Past.Runs[Open[Key]].ThrottledAt = Ts;
    }
  }
  return Past;
}

void breaks(AuditRow &Row, const std::string &Example) {
  ++Row.Broken;
  if (Row.Examples.size() < MostExamples)
    Row.Examples.push_back(Example);
}

// A change of what is used on a worker.
struct UseStep {
  int64_t When;
  bool Takes;
  Capacity Amount;
  const Run *Which;
};

// The steps of one run: its declared size while it runs, and what it uses beyond that once the
// scheduler had time to contain it and until it did.
void addSteps(const Run &R, std::vector<UseStep> &Steps) {
  const Capacity Declared{R.Cores, R.Memory, R.Accelerators};
  Steps.push_back({R.From, true, Declared, &R});
  Steps.push_back({R.Until, false, Declared, &R});
  const Capacity Beyond{std::max<int64_t>(0, R.UsedCores - R.Cores),
                        std::max<int64_t>(0, R.UsedMemory - R.Memory), 0};
  const int64_t From = R.From + ContainWithinMs;
  const int64_t Until = std::min(R.Until, R.ThrottledAt);
  if ((Beyond.Cores == 0 && Beyond.Memory == 0) || Until <= From)
    return;
  Steps.push_back({From, true, Beyond, &R});
  Steps.push_back({Until, false, Beyond, &R});
}

AuditRow judgeCapacity(const History &Past) {
  AuditRow Row{"no box over its processors, memory and accelerators"};
  for (const auto &[Worker, Holds] : Past.Workers) {
    std::vector<UseStep> Steps;
    for (const Run &R : Past.Runs)
      if (R.Worker == Worker)
        addSteps(R, Steps);
    // What ends in the same millisecond ends first.
    std::sort(Steps.begin(), Steps.end(), [](const UseStep &A, const UseStep &B) {
      return std::tie(A.When, A.Takes) < std::tie(B.When, B.Takes);
    });
    Capacity Used;
    for (const UseStep &S : Steps) {
      const int Sign = S.Takes ? 1 : -1;
      Used.Cores += Sign * S.Amount.Cores;
      Used.Memory += Sign * S.Amount.Memory;
      Used.Accelerators += Sign * S.Amount.Accelerators;
      Row.Cases += S.Takes ? 1 : 0;
      const bool Over = Used.Cores > Holds.Cores || Used.Memory > Holds.Memory ||
                        Used.Accelerators > Holds.Accelerators;
      if (S.Takes && Over)
        breaks(Row, Worker + " was over-full with " + S.Which->Id);
    }
  }
  return Row;
}

AuditRow judgeOnePlace(const History &Past) {
  AuditRow Row{"no task in two places at once"};
  std::map<std::string, std::vector<const Run *>> ByTask;
  for (const Run &R : Past.Runs)
    ByTask[R.Task].push_back(&R);
  for (auto &[Task, Runs] : ByTask) {
    ++Row.Cases;
    std::sort(Runs.begin(), Runs.end(),
              [](const Run *A, const Run *B) { return A->From < B->From; });
    int64_t Until = 0;
    const Run *Before = nullptr;
    for (const Run *R : Runs) {
      if (Before && R->From < Until)
        breaks(Row, Task + " ran on " + Before->Worker + " and on " + R->Worker + " at once");
      if (R->Until >= Until)
        Before = R;
      Until = std::max(Until, R->Until);
    }
  }
  return Row;
}

AuditRow judgeWholeAnswers(const std::vector<json::object> &Records) {
  AuditRow Row{"every caller gets the whole answer to its own request"};
  for (const json::object &Record : Records) {
    if (text(Record, "type") != "request" || text(Record, "outcome") != "ran")
      continue;
    ++Row.Cases;
    if (flag(Record, "whole") && text(Record, "body_id") != text(Record, "id"))
      breaks(Row,
             "request " + text(Record, "id") + " got the answer to " + text(Record, "body_id"));
    else if (flag(Record, "whole") && number(Record, "got") != number(Record, "expected"))
      breaks(Row, "request " + text(Record, "id") + " took a part for the whole answer");
  }
  return Row;
}

AuditRow judgeNotRun(const std::vector<json::object> &Records, const History &Past) {
  AuditRow Row{"what was said not to be run was not run"};
  std::set<std::string> Begun;
  std::set<std::string> JobsStarted;
  for (const json::object &Record : Records)
    if (text(Record, "type") == "begin")
      Begun.insert(text(Record, "id"));
  for (const Run &R : Past.Runs)
    JobsStarted.insert(R.Task.substr(0, R.Task.rfind('/')));
  for (const json::object &Record : Records) {
    if (text(Record, "outcome") != "not-run")
      continue;
    const std::string Id = text(Record, "id");
    const std::string Type = text(Record, "type");
    Row.Cases += Type == "request" || Type == "job" ? 1 : 0;
    if (Type == "request" && Begun.count(Id))
      breaks(Row, "request " + Id + " was said not to be run and an upstream began it");
    if (Type == "job" && JobsStarted.count(Id))
      breaks(Row, "job " + Id + " was said not to be run and a worker started it");
  }
  return Row;
}

AuditRow judgeAtMostOnce(const std::vector<json::object> &Records, const History &Past) {
  AuditRow Row{"what is not to be repeated runs at most once"};
  std::map<std::string, int> Begins;
  std::map<std::string, int> Starts;
  std::set<std::string> Single;
  for (const json::object &Record : Records) {
    if (text(Record, "type") == "begin")
      ++Begins[text(Record, "id")];
    if (text(Record, "type") == "request" && !flag(Record, "repeatable"))
      Single.insert(text(Record, "id"));
  }
  for (const std::string &Id : Single) {
    ++Row.Cases;
    if (Begins[Id] > 1)
      breaks(Row, "request " + Id + " was begun " + std::to_string(Begins[Id]) + " times");
  }
  for (const Run &R : Past.Runs)
    if (!R.Repeatable)
      ++Starts[R.Task];
  for (const auto &[Task, Count] : Starts) {
    ++Row.Cases;
    if (Count > 1)
      breaks(Row, "task " + Task + " was started " + std::to_string(Count) + " times");
  }
  return Row;
}

AuditRow judgeLeaving(const std::vector<json::object> &Records) {
  AuditRow Row{"a leaving upstream gets nothing new after a few seconds"};
  std::map<std::string, int64_t> LeavingSince;
  for (const json::object &Record : Records) {
    const std::string Type = text(Record, "type");
    if (Type == "leaving") {
      LeavingSince[text(Record, "name")] = number(Record, "ts");
      ++Row.Cases;
    }
    if (Type == "returned")
      LeavingSince.erase(text(Record, "name"));
    const auto Found = LeavingSince.find(text(Record, "who"));
    if (Type == "begin" && Found != LeavingSince.end() &&
        number(Record, "ts") > Found->second + LeavingGraceMs)
      breaks(Row, Found->first + " was given request " + text(Record, "id") + " while leaving");
  }
  return Row;
}

AuditRow judgePlannedStops(const std::vector<json::object> &Records) {
  AuditRow Row{"a planned stop cuts off no request in progress"};
  std::vector<const json::object *> Stops;
  for (const json::object &Record : Records)
    if (text(Record, "type") == "planned-stop")
      Stops.push_back(&Record);
  Row.Cases = Stops.size();
  for (const json::object *Stop : Stops) {
    const std::string Member = text(*Stop, "name");
    if (number(*Stop, "exit") != 0)
      breaks(Row, Member + " ended its planned stop with " + std::to_string(number(*Stop, "exit")));
    for (const json::object &Record : Records) {
      const bool Cut = text(Record, "type") == "request" && text(Record, "entry") == Member &&
                       flag(Record, "cut");
      const bool During = number(Record, "ts") >= number(*Stop, "began") &&
                          number(Record, "began") <= number(*Stop, "ts");
      if (Cut && During)
        breaks(Row, "request " + text(Record, "id") + " was cut off by the stop of " + Member);
    }
  }
  return Row;
}

AuditRow judgeConfig(const std::vector<json::object> &Records) {
  AuditRow Row{"accepted configuration is in force everywhere within seconds and never reverts"};
  std::map<std::string, int64_t> Highest;
  for (const json::object &Record : Records) {
    if (text(Record, "type") != "config-seen")
      continue;
    int64_t &Seen = Highest[text(Record, "incarnation")];
    if (number(Record, "version") < Seen)
      breaks(Row, text(Record, "name") + " went back to version " +
                      std::to_string(number(Record, "version")));
    Seen = std::max(Seen, number(Record, "version"));
  }
  for (const json::object &Accepted : Records) {
    if (text(Accepted, "type") != "config-accepted")
      continue;
    ++Row.Cases;
    const int64_t By = number(Accepted, "ts") + ConfigWithinMs;
    for (const json::object &Record : Records) {
      const bool Late = text(Record, "type") == "config-seen" && number(Record, "ts") > By &&
                        number(Record, "version") < number(Accepted, "version");
      if (Late)
        breaks(Row, text(Record, "name") + " had not version " +
                        std::to_string(number(Accepted, "version")) + " in force in time");
    }
  }
  return Row;
}

// Not one of the users' points, but what they follow from: nothing that was accepted is lost.
AuditRow judgeAccounts(const std::vector<json::object> &Records) {
  AuditRow Row{"every accepted job is accounted for"};
  std::map<std::string, std::string> Final;
  for (const json::object &Record : Records)
    if (text(Record, "type") == "job-final")
      Final[text(Record, "id")] = text(Record, "state");
  for (const json::object &Record : Records) {
    if (text(Record, "type") != "job" || text(Record, "outcome") != "accepted")
      continue;
    ++Row.Cases;
    const auto Found = Final.find(text(Record, "id"));
    if (Found == Final.end() || Found->second != "ended")
      breaks(Row, "job " + text(Record, "id") + " was accepted and is " +
                      (Found == Final.end() ? "not accounted for" : Found->second));
  }
  return Row;
}

} // namespace

std::vector<AuditRow> audit(const std::vector<json::object> &Unordered) {
  std::vector<json::object> Records = Unordered;
  std::stable_sort(Records.begin(), Records.end(),
                   [](const json::object &A, const json::object &B) {
                     return number(A, "ts") < number(B, "ts");
                   });
  const History Past = historyOf(Records);
  return {judgeCapacity(Past),
          judgeOnePlace(Past),
          judgeWholeAnswers(Records),
          judgeNotRun(Records, Past),
          judgeAtMostOnce(Records, Past),
          judgeLeaving(Records),
          judgePlannedStops(Records),
          judgeConfig(Records),
          judgeAccounts(Records)};
}

std::vector<json::object> readRecords(const std::string &Folder,
                                      std::vector<std::string> &Problems) {
  std::vector<json::object> Records;
  for (const auto &Entry : std::filesystem::directory_iterator(Folder)) {
    if (Entry.path().extension() != ".jsonl")
      continue;
    std::ifstream File(Entry.path());
    std::string Line;
    for (int Number = 1; std::getline(File, Line); ++Number) {
      json::error_code Failure;
      json::value Root = json::parse(Line, Failure);
      if (Failure || !Root.is_object())
        Problems.push_back(Entry.path().filename().string() + ":" + std::to_string(Number) +
                           ": not a JSON object");
      else
        Records.push_back(std::move(Root.as_object()));
    }
  }
  return Records;
}

int runAudit(const std::string &Folder) {
  std::vector<std::string> Problems;
  const std::vector<json::object> Records = readRecords(Folder, Problems);
  for (const std::string &Problem : Problems)
    std::cerr << Problem << "\n";
  size_t Broken = Problems.size();
  std::cout << "  cases  broken  point\n";
  for (const AuditRow &Row : audit(Records)) {
    std::printf("%7zu %7zu  %s\n", Row.Cases, Row.Broken, Row.Point.c_str());
    for (const std::string &Example : Row.Examples)
      std::printf("                 - %s\n", Example.c_str());
    Broken += Row.Broken;
  }
  std::printf("%s: %zu records, %zu breaks\n", Broken == 0 ? "clean" : "BROKEN", Records.size(),
              Broken);
  return Broken == 0 && !Records.empty() ? 0 : 1;
}

} // namespace standins
