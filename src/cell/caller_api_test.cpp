// SPDX-License-Identifier: Apache-2.0
// Submissions under overload: guards against a refused job that runs, a refusal without the header
// fields that callers rely on, and a refusal of a job that the store holds. Calls before the first
// configuration: guards against refusing what could be served a moment later, and against calls
// that wait without bound.
#include "cell/caller_api.h"

#include "fakes/fake_key_value_store.h"

#include <boost/asio.hpp>
#include <gtest/gtest.h>

namespace valveshelf {
namespace {
using namespace sched;
using namespace std::chrono_literals;

constexpr JobId Id = 0x8b6e4f1b4f0a3c11;
constexpr uint64_t Term = 7;

Result<CellConfiguration> decodeConfiguration(std::string_view) {
  CellConfiguration Config;
  Config.Version = 1;
  Config.Queues.push_back({"q", "host", "/q/", "pool"});
  Config.Queues.back().ObjectiveSlack = 1s;
  return Config;
}

Result<JobSpec> decodeSubmission(std::string_view Body) {
  JobSpec Spec;
  Spec.Steps.resize(1);
  Spec.Steps[0].Estimate = 500ms;
  Spec.Steps[0].LongRunning = Body == "long";
  return Spec;
}

struct Bench {
  boost::asio::io_context Io;
  fakes::FakeKeyValueStore Store{Io};
  CellSettings Settings;
  CellMetrics Metrics;
  TrafficMeter Traffic{Clock{}};
  BurnBook Burn;
  CellLink Peers;
  int Announced = 0;
  bool IsHeld = false; ///< Transactions of the intake are not carried out.
  size_t LastRows = 0; ///< Of its last transaction.
  Result<Done> RevokeAnswer = Done{};
  CellView View{Io.get_executor(), Store.ops(), Settings, [] {}};
  ConfigWatch Config{Io.get_executor(),   Clock{},    Store.ops(), Settings, {"op/", "op/c", "e/"},
                     decodeConfiguration, callbacks()};
  Intake In{Io.get_executor(),
            intakeStore(),
            Clock{},
            Settings,
            [] { return false; },
            [this](const IntakeUpdate &) { ++Announced; },
            [this](JobId, const std::string &, TimePoint) -> Awaitable<Result<Done>> {
              co_return RevokeAnswer;
            }};
  Leadership Lead{{Io.get_executor(),
                   Clock{},
                   Settings,
                   Store.ops(),
                   {},
                   {},
                   "",
                   "",
                   {},
                   Metrics,
                   Burn,
                   {},
                   Traffic},
                  View,
                  {}};
  admission::AdmissionControl Admission{Clock{}, "a", {[] { return std::nullopt; }, [] {}}};
  CallerApi Api{Settings, Clock{}, {decodeSubmission, {}, {}}, Store.ops(), Config, View, Lead,
                In,       Peers,   [] { return 1s; },          Admission,   Metrics};

  KeyValueStore intakeStore() {
    KeyValueStore Ops = Store.ops();
    Ops.Commit = [this,
                  Inner = Ops.Commit](Transaction What) -> Awaitable<Result<TransactionResult>> {
      LastRows = What.rows();
      while (IsHeld)
        co_await sleepFor(1ms);
      co_return co_await Inner(std::move(What));
    };
    return Ops;
  }
  static ConfigWatchCallbacks callbacks() {
    ConfigWatchCallbacks Callbacks;
    Callbacks.Peers = Callbacks.Watchers = [] { return std::vector<Endpoint>(); };
    Callbacks.IsScheduler = [] { return false; };
    Callbacks.WatchesStore = [] { return true; };
    Callbacks.Changed = Callbacks.ZonesChanged = [] {};
    return Callbacks;
  }
  using Answer = std::shared_ptr<std::optional<HttpResponse>>;

  explicit Bench(bool HasConfiguration = true) {
    Settings.Member = "a";
    Settings.Timing.WatchTime = 20ms;
    Peers.JobState = [](Endpoint, const cell::JobStateRequest &,
                        Milliseconds) -> Awaitable<Result<cell::JobStateReply>> {
      co_return cell::JobStateReply();
    };
    Store.put(std::string(LeaderKey), encodeLeader({"b", {"127.0.0.1", 1}, Term}), 0);
    if (HasConfiguration)
      Store.put("op/c", "1", 0);
    Config.start();
    View.start();
    for (int I = 0; I < 100 && !((Config.current() || !HasConfiguration) && View.snapshot().Leader);
         ++I)
      Io.run_for(5ms);
    Admission.applyFeatures({.Admission = true});
    receive(9s);
  }
  ~Bench() {
    Config.stop();
    View.stop();
    Io.restart();
    Io.run_for(100ms);
  }
  void receive(Milliseconds Wait) {
    Forecast Made;
    Made.Term = Term;
    Made.Services["pool"] = {{false, 0, Wait, 1, 10}};
    Admission.receive(Made);
  }
  // Empty until the call has been answered.
  Answer begin(JobId Job, const std::string &Body = "") {
    return call("POST", "/q/" + jobIdText(Job), Body);
  }
  Answer call(const std::string &Method, const std::string &Target, const std::string &Body = "") {
    auto Given = std::make_shared<std::optional<HttpResponse>>();
    boost::asio::co_spawn(
        Io, Api.answer({Method, Target, "host", std::nullopt, Body}),
        [Given](std::exception_ptr, HttpResponse Answered) { *Given = std::move(Answered); });
    return Given;
  }
  void run(Milliseconds Time) {
    Io.restart();
    Io.run_for(Time);
  }
  HttpResponse submit(const std::string &Body = "") {
    const Answer Given = begin(Id, Body);
    for (int I = 0; I < 200 && !*Given; ++I)
      run(5ms);
    return Given->value();
  }
};

TEST(CallerApi, AJobThatWouldBeLateIsRefusedAndNeverWritten) {
  Bench Box;
  const HttpResponse Answer = Box.submit();
  EXPECT_EQ(Answer.Status, 503);
  EXPECT_EQ(findHeader(Answer.Headers, "Valveshelf-Outcome"), "not-run");
  EXPECT_GE(std::stoi(std::string(findHeader(Answer.Headers, "Retry-After"))), 1);
  EXPECT_NE(Answer.Body.find("overloaded"), std::string::npos);
  EXPECT_NE(Answer.Body.find("pool/within-share/0"), std::string::npos) << Answer.Body;
  EXPECT_EQ(Box.Store.value(jobKey(Id)), "");
  EXPECT_EQ(Box.Announced, 0);
  EXPECT_NE(
      Box.Metrics.text().find("valveshelf_jobs_refused_total{case=\"pool/within-share/0\"} 1"),
      std::string::npos);
  Box.receive(0s);
  EXPECT_EQ(Box.submit().Status, 200) << "it returned";
  EXPECT_EQ(Box.Announced, 1);
}

TEST(CallerApi, ARepeatedIdThatMayBeStoredIsNotRefused) {
  Bench Box;
  JobSpec Stored;
  Stored.Id = Id;
  Box.Store.put(jobKey(Id), encodeJob(Stored), 0);
  EXPECT_EQ(Box.submit().Status, 200) << "written by another process";

  Bench Lost;
  Lost.receive(0s);
  Lost.Store.LoseAnswers = 1000;
  EXPECT_EQ(Lost.submit().Status, 200);
  Lost.receive(9s);
  EXPECT_EQ(Lost.submit().Status, 200) << "written by this process";

  Bench Silent;
  Silent.Store.Down = true;
  const HttpResponse Given = Silent.submit();
  EXPECT_EQ(Given.Status, 503);
  EXPECT_NE(Given.Body.find("not-carried-out"), std::string::npos) << "the store can't say";
  EXPECT_EQ(findHeader(Given.Headers, "Valveshelf-Outcome"), "unknown");
  EXPECT_EQ(findHeader(Given.Headers, "Retry-After"), "1");
}

// Guards against "it was not taken and will never run" from a process that can't reach the store:
// another one may still be writing an earlier attempt.
TEST(CallerApi, WithoutTheStoreNoAnswerSaysThatAJobWasNotRun) {
  Bench Box;
  Box.Admission.applyFeatures({});
  Box.Store.Down = true;
  for (const std::string Method : {"POST", "GET", "DELETE"}) {
    const Bench::Answer Given = Box.call(Method, "/q/" + jobIdText(Id));
    Box.run(200ms);
    ASSERT_TRUE(*Given);
    EXPECT_EQ((*Given)->Status, 503) << Method;
    EXPECT_EQ(findHeader((*Given)->Headers, "Valveshelf-Outcome"), "unknown") << Method;
    EXPECT_EQ(findHeader((*Given)->Headers, "Retry-After"), "1") << Method;
  }
}

TEST(CallerApi, AJobSubmittedBeforeTheFirstConfigurationIsAcceptedOnceItComes) {
  Bench Box(false);
  Box.Admission.applyFeatures({});
  const Bench::Answer Given = Box.begin(Id);
  Box.run(50ms);
  EXPECT_FALSE(*Given);
  Box.Store.put("op/c", "1", 0);
  Box.run(300ms);
  ASSERT_TRUE(*Given);
  EXPECT_EQ((*Given)->Status, 200) << (*Given)->Body;
  EXPECT_NE(Box.Store.value(jobKey(Id)), "");
}

TEST(CallerApi, CallsThatAwaitTheConfigurationAreBounded) {
  Bench Box(false);
  Box.Admission.applyFeatures({});
  std::vector<Bench::Answer> Held;
  for (size_t I = 0; I < MaxCallsAwaitingConfiguration; ++I)
    Held.push_back(Box.begin(Id + I));
  const Bench::Answer Excess = Box.begin(Id + Held.size());
  Box.run(50ms);
  ASSERT_TRUE(*Excess);
  EXPECT_EQ((*Excess)->Status, 503);
  EXPECT_EQ(findHeader((*Excess)->Headers, "Retry-After"), "1");
  EXPECT_FALSE(*Held.front());
  EXPECT_FALSE(*Held.back());
  Box.Store.put("op/c", "1", 0);
  Box.run(500ms);
  for (const Bench::Answer &One : Held)
    EXPECT_TRUE(*One && (*One)->Status == 200);
}

TEST(CallerApi, WithoutAConfigurationACallIsRefusedAfterTheBound) {
  Bench Box(false);
  Box.Admission.applyFeatures({});
  const Bench::Answer Given = Box.begin(Id);
  Box.run(FirstConfigurationWait - 100ms);
  EXPECT_FALSE(*Given);
  Box.run(200ms);
  ASSERT_TRUE(*Given);
  EXPECT_EQ((*Given)->Status, 503);
  EXPECT_EQ(findHeader((*Given)->Headers, "Retry-After"), "1");
  EXPECT_EQ(findHeader((*Given)->Headers, "Valveshelf-Outcome"), "unknown")
      << "an earlier attempt may be under way, and this process can't know";
}

// Guards against "not run" in an answer that only says that nothing is known here: a submission of
// the job may be under way, or have been accepted before its queue was removed.
TEST(CallerApi, AnAnswerThatTheJobOrItsQueueIsNotKnownDoesNotSayThatItWasNotRun) {
  Bench Box;
  for (const auto &[Method, Path, Status] :
       {std::tuple("GET", "/q/", 410), std::tuple("POST", "/elsewhere/", 404),
        std::tuple("GET", "/elsewhere/", 404), std::tuple("DELETE", "/elsewhere/", 404)}) {
    const Bench::Answer Given = Box.call(Method, Path + jobIdText(Id));
    Box.run(100ms);
    ASSERT_TRUE(*Given);
    EXPECT_EQ((*Given)->Status, Status);
    EXPECT_EQ(findHeader((*Given)->Headers, "Valveshelf-Outcome"), "unknown") << Method << Path;
  }
}

// The cancellation of an absent job is answered with "not run" once that is proven.
TEST(CallerApi, ACancellationSaysWhetherTheJobWasRun) {
  Bench Box;
  const Bench::Answer Absent = Box.call("DELETE", "/q/" + jobIdText(Id));
  Box.run(100ms);
  ASSERT_TRUE(*Absent);
  EXPECT_EQ((*Absent)->Status, 410);
  EXPECT_EQ(findHeader((*Absent)->Headers, "Valveshelf-Outcome"), "not-run");
  Box.RevokeAnswer = Error{ErrorKind::OutcomeUnknown, "not held"};
  const Bench::Answer InDoubt = Box.call("DELETE", "/q/" + jobIdText(Id));
  Box.run(100ms);
  ASSERT_TRUE(*InDoubt);
  EXPECT_EQ((*InDoubt)->Status, 504);
  JobSpec Spec;
  Spec.Id = Id;
  Box.Store.put(jobKey(Id), encodeEndedJob(Spec, JobPhase::Completed, wallNow()), 0);
  const Bench::Answer Ended = Box.call("DELETE", "/q/" + jobIdText(Id));
  Box.run(100ms);
  ASSERT_TRUE(*Ended);
  EXPECT_EQ((*Ended)->Status, 410);
  EXPECT_EQ(findHeader((*Ended)->Headers, "Valveshelf-Outcome"), "ran");
}

// The status alone says so as well: operators read 503 to a submission as "it was not taken and
// will never run".
TEST(CallerApi, WithoutTheStoreNoStatusSaysThatAJobWillNeverRun) {
  Bench Box;
  Box.Admission.applyFeatures({});
  Box.Store.Down = true;
  const Bench::Answer Given = Box.begin(Id);
  Box.run(200ms);
  ASSERT_TRUE(*Given);
  EXPECT_EQ((*Given)->Status, 504);
}

// Guards against a stop that is delayed by calls that can't be served.
TEST(CallerApi, AProcessThatStopsAnswersCallsThatAwaitTheConfiguration) {
  Bench Box(false);
  Box.Admission.applyFeatures({});
  const Bench::Answer Before = Box.begin(Id);
  Box.run(20ms);
  Box.Api.beginStop();
  const Bench::Answer After = Box.begin(Id + 1);
  Box.run(20ms);
  for (const Bench::Answer &One : {Before, After}) {
    ASSERT_TRUE(*One);
    EXPECT_EQ((*One)->Status, 503);
    EXPECT_EQ(findHeader((*One)->Headers, "Retry-After"), "1");
  }
}

TEST(CallerApi, ARefusalWhoseMarkHasNoAnswerNeverRuns) {
  Bench Box;
  Box.Store.LoseAnswers = 1;
  const HttpResponse Answer = Box.submit();
  EXPECT_EQ(Answer.Status, 503);
  EXPECT_EQ(findHeader(Answer.Headers, "Valveshelf-Outcome"), "not-run");
  EXPECT_EQ(findHeader(Answer.Headers, "Retry-After"), "1");
  EXPECT_EQ(Box.Store.value(jobKey(Id)), "");
  Box.receive(0s);
  EXPECT_EQ(Box.submit().Status, 200) << "it returned";
}

// Guards against taking an earlier attempt, held here, for a return after its refusal.
TEST(CallerApi, AJobRefusedElsewhereWhileItAwaitsTheConfigurationIsNotAccepted) {
  Bench Box(false);
  Box.receive(0s);
  const Bench::Answer Given = Box.begin(Id);
  Box.run(20ms);
  Box.Store.put(refusalKey(Id), "1", 0);
  const uint64_t Before = Box.View.revision();
  for (int I = 0; I < 100 && Box.View.revision() == Before; ++I)
    Box.run(5ms);
  ASSERT_GT(Box.View.revision(), Before);
  ASSERT_FALSE(*Given);
  Box.Store.put("op/c", "1", 0);
  Box.receive(0s);
  Box.run(300ms);
  ASSERT_TRUE(*Given);
  EXPECT_EQ((*Given)->Status, 503);
  EXPECT_EQ(findHeader((*Given)->Headers, "Valveshelf-Outcome"), "not-run");
  EXPECT_EQ(Box.Store.value(jobKey(Id)), "");
}

// Guards against a submission that is checked against the store and then waits for it once more.
TEST(CallerApi, ACheckedSubmissionIsAnsweredWithinItsLimitAndPromisesNoReturn) {
  Bench Box;
  Box.Settings.Timing.SubmitTimeout = 400ms;
  Box.IsHeld = true;
  const TimePoint Begin = Steady::now();
  const HttpResponse Answer = Box.submit();
  const auto Took = Steady::now() - Begin;
  EXPECT_EQ(Answer.Status, 504);
  EXPECT_GE(Took, 300ms) << "it was tried";
  EXPECT_LE(Took, 400ms + 100ms); // a busy machine
  EXPECT_NE(Box.Admission.describe(Term, "").find("\"promised_returns\":[]"), std::string::npos);
  Box.IsHeld = false;
}

TEST(CallerApi, OnlyWithTheFeatureAreSubmissionsConditionalOnMarks) {
  Bench Box;
  Box.receive(0s);
  EXPECT_EQ(Box.submit().Status, 200);
  EXPECT_EQ(Box.LastRows, 3u);
  Bench Off;
  Off.Admission.applyFeatures({});
  Off.Store.put(refusalKey(Id), "1", 0);
  EXPECT_EQ(Off.submit().Status, 200);
  EXPECT_EQ(Off.LastRows, 2u);
}

TEST(CallerApi, LongRunningJobsAndAllJobsWithoutTheFeatureAreAdmitted) {
  Bench Box;
  EXPECT_EQ(Box.submit("long").Status, 200);
  Bench Off;
  Off.Admission.applyFeatures({});
  EXPECT_EQ(Off.submit().Status, 200);
}

} // namespace
} // namespace valveshelf
