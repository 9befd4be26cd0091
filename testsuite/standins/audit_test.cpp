// SPDX-License-Identifier: Apache-2.0
// The auditor catches a broken record of each kind, and passes the same story told right.
#include "standins/audit.h"

#include <gtest/gtest.h>

namespace standins {
namespace {
namespace json = boost::json;

std::vector<json::object> records(std::initializer_list<const char *> Lines) {
  std::vector<json::object> Read;
  for (const char *Line : Lines)
    Read.push_back(json::parse(Line).as_object());
  return Read;
}

// Broken cases of the row whose point contains \p Words.
size_t broken(const std::vector<json::object> &Records, const std::string &Words) {
  for (const AuditRow &Row : audit(Records))
    if (Row.Point.find(Words) != std::string::npos)
      return Row.Broken;
  ADD_FAILURE() << "there is no point with " << Words;
  return 0;
}

const char *Boot =
    R"({"type":"boot","who":"w1","ts":1,"milli_cores":1000,"memory_mb":100,"accelerators":0})";

std::string start(const std::string &Who, const std::string &Id, int Run, int Ts, int Cores,
                  bool Repeatable = true) {
  return json::serialize(json::object{{"type", "start"},
                                      {"who", Who},
                                      {"id", Id},
                                      {"run", Run},
                                      {"ts", Ts},
                                      {"milli_cores", Cores},
                                      {"memory_mb", 10},
                                      {"accelerators", 0},
                                      {"used_milli_cores", Cores},
                                      {"used_memory_mb", 10},
                                      {"repeatable", Repeatable}});
}

std::string end(const std::string &Who, const std::string &Id, int Run, int Ts) {
  return json::serialize(
      json::object{{"type", "end"}, {"who", Who}, {"id", Id}, {"run", Run}, {"ts", Ts}});
}

TEST(Audit, OverFullBox) {
  const std::string A = start("w1", "a/0#1", 1, 10, 600);
  const std::string B = start("w1", "b/0#1", 2, 20, 600);
  EXPECT_EQ(broken(records({Boot, A.c_str(), B.c_str()}), "over its processors"), 1u);
  const std::string EndA = end("w1", "a/0#1", 1, 20);
  EXPECT_EQ(broken(records({Boot, A.c_str(), EndA.c_str(), B.c_str()}), "over its processors"), 0u);
}

TEST(Audit, UsageBeyondTheBoxCountsUntilItIsContained) {
  const char *Over = R"({"type":"start","who":"w1","id":"a/0#1","run":1,"ts":10,"milli_cores":500,
    "memory_mb":10,"accelerators":0,"used_milli_cores":1500,"used_memory_mb":10,"repeatable":true})";
  EXPECT_EQ(broken(records({Boot, Over}), "over its processors"), 1u);
  const char *Contained = R"({"type":"throttle","who":"w1","id":"a/0#1","run":1,"ts":2000})";
  EXPECT_EQ(broken(records({Boot, Over, Contained}), "over its processors"), 0u);
}

TEST(Audit, TaskInTwoPlaces) {
  const std::string A = start("w1", "a/0#1", 1, 10, 100);
  const std::string B = start("w2", "a/0#2", 1, 20, 100);
  EXPECT_EQ(broken(records({Boot, A.c_str(), B.c_str()}), "two places"), 1u);
  const char *Killed = R"({"type":"killed","who":"driver","name":"w1","ts":15})";
  EXPECT_EQ(broken(records({Boot, A.c_str(), Killed, B.c_str()}), "two places"), 0u);
}

TEST(Audit, AnswerOfAnotherRequest) {
  EXPECT_EQ(
      broken(
          records({R"({"type":"request","id":"r1","outcome":"ran","whole":true,"body_id":"r2"})"}),
          "whole answer"),
      1u);
}

TEST(Audit, PartTakenForTheWhole) {
  EXPECT_EQ(
      broken(records({R"({"type":"request","id":"r1","outcome":"ran","whole":true,"body_id":"r1",
                                "got":5,"expected":9})"}),
             "whole answer"),
      1u);
}

TEST(Audit, NotRunThatRan) {
  const char *Begin = R"({"type":"begin","who":"u1","id":"r1","ts":5})";
  EXPECT_EQ(broken(records({Begin, R"({"type":"request","id":"r1","outcome":"not-run"})"}),
                   "not to be run"),
            1u);
  const std::string Start = start("w1", "j/0#1", 1, 10, 100);
  EXPECT_EQ(broken(records({Boot, Start.c_str(), R"({"type":"job","id":"j","outcome":"not-run"})"}),
                   "not to be run"),
            1u);
}

TEST(Audit, RepeatedAlthoughNotToBe) {
  const char *Begin = R"({"type":"begin","who":"u1","id":"r1","ts":5})";
  EXPECT_EQ(broken(records({Begin, Begin, R"({"type":"request","id":"r1","repeatable":false})"}),
                   "at most once"),
            1u);
  const std::string A = start("w1", "a/0#1", 1, 10, 100, false);
  const std::string EndA = end("w1", "a/0#1", 1, 20);
  const std::string B = start("w1", "a/0#2", 2, 30, 100, false);
  EXPECT_EQ(broken(records({Boot, A.c_str(), EndA.c_str(), B.c_str()}), "at most once"), 1u);
}

TEST(Audit, WorkForALeavingUpstream) {
  const char *Leaving = R"({"type":"leaving","name":"u1","ts":1000})";
  const char *Late = R"({"type":"begin","who":"u1","id":"r1","ts":4001})";
  EXPECT_EQ(broken(records({Leaving, Late}), "leaving upstream"), 1u);
  const char *Back = R"({"type":"returned","name":"u1","ts":4000})";
  EXPECT_EQ(broken(records({Leaving, Back, Late}), "leaving upstream"), 0u);
}

TEST(Audit, RequestCutByAPlannedStop) {
  const char *Stop = R"({"type":"planned-stop","name":"e1","began":10,"ts":50,"exit":0})";
  const char *Cut = R"({"type":"request","id":"r1","entry":"e1","began":5,"ts":30,"cut":true})";
  EXPECT_EQ(broken(records({Stop, Cut}), "planned stop"), 1u);
  EXPECT_EQ(broken(records({R"({"type":"planned-stop","name":"e1","began":10,"ts":50,"exit":1})"}),
                   "planned stop"),
            1u);
}

TEST(Audit, ConfigurationThatRevertsOrIsLate) {
  const char *New =
      R"({"type":"config-seen","name":"e1","incarnation":"e1-1","version":3,"ts":10})";
  const char *Old =
      R"({"type":"config-seen","name":"e1","incarnation":"e1-1","version":2,"ts":20})";
  EXPECT_EQ(broken(records({New, Old}), "configuration"), 1u);
  const char *Accepted = R"({"type":"config-accepted","version":4,"ts":100})";
  const char *Late =
      R"({"type":"config-seen","name":"e1","incarnation":"e1-1","version":3,"ts":7200})";
  EXPECT_EQ(broken(records({Accepted, Late}), "configuration"), 1u);
}

TEST(Audit, AcceptedJobThatIsLost) {
  EXPECT_EQ(broken(records({R"({"type":"job","id":"j","outcome":"accepted"})"}), "accounted"), 1u);
  EXPECT_EQ(broken(records({R"({"type":"job","id":"j","outcome":"accepted"})",
                            R"({"type":"job-final","id":"j","state":"ended"})"}),
                   "accounted"),
            0u);
}

} // namespace
} // namespace standins
