// SPDX-License-Identifier: Apache-2.0
// Guards against refusing jobs that can be in time, admitting many that can't, callers that return
// as one burst, and decisions on forecasts that say nothing.
#include "admission/admission_control.h"

#include "admission/overload_report.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>

namespace valveshelf::admission {
namespace {
using namespace std::chrono_literals;

constexpr TimePoint Begin{Steady::duration(100s)};
const ProcessView View{7, 0ms, 1, 0};

Forecast forecast(Milliseconds Wait, double Confidence = 1, double Starts = 50) {
  Forecast Made;
  Made.Term = 7;
  Made.Services["pool"] = {{false, 0, Wait, Confidence, Starts},
                           {true, 0, Wait + 20s, Confidence, Starts}};
  return Made;
}

// It allows a wait of 1.3 s: 1.5 * 600 ms + 1 s until its objective, and 600 ms of work.
JobDemand demand(const std::string &Organisation = "north") {
  JobDemand Job{"q", "pool", Organisation, 0, 600ms, 1.5, 1s};
  return Job;
}
constexpr Milliseconds MostWait{1300};

bool refuses(AdmissionState &State, const JobDemand &Job, TimePoint Now,
             const ProcessView &Seen = View) {
  return std::holds_alternative<Refuse>(decide(State, Job, Seen, Now));
}
bool refusesAt(Milliseconds Wait, const JobDemand &Job = demand(), const ProcessView &Seen = View) {
  AdmissionState State;
  receiveForecast(State, forecast(Wait), Begin);
  return refuses(State, Job, Begin, Seen);
}

// A service that starts `PerSecond` jobs in order of admission. Callers reach the processes in
// turn; each process gets a forecast every 100 ms that is 30 ms old.
struct Cell {
  static constexpr int Processes = 4;
  double PerSecond = 50;
  bool Returns = false; ///< Refused callers return as told, for three spans of the objective.
  std::vector<AdmissionState> States{Processes};
  double Backlog = 0; ///< Jobs.
  int Admitted = 0, Late = 0, Refused = 0, GivenUp = 0;
  TimePoint Now = Begin;
  std::multimap<TimePoint, TimePoint> Comebacks; ///< Return, first call.
  int Calls = 0;

  Milliseconds wait() const {
    return Milliseconds(static_cast<int64_t>(Backlog / PerSecond * 1e3));
  }
  void call(TimePoint First) {
    const int Process = Calls++ % Processes;
    const ProcessView Seen{7, 0ms, Processes, Process / double(Processes)};
    Decision Made = decide(States[Process], demand(), Seen, Now);
    if (Refuse *Refusal = std::get_if<Refuse>(&Made)) {
      confirm(States[Process], *Refusal, Now);
      ++Refused;
      if (Returns && Refusal->Return.At - First <= 3 * 1900ms)
        Comebacks.emplace(Refusal->Return.At, First);
      else
        ++GivenUp;
      return;
    }
    ++Admitted;
    Late += wait() > MostWait;
    Backlog += 1;
  }
  void run(Milliseconds Time, double ArrivalsPerSecond) {
    double Arrivals = 0;
    Milliseconds Seen{0};
    for (Milliseconds At{0}; At < Time; At += 5ms, Now += 5ms) {
      if (At % 100ms == 0ms)
        Seen = wait();
      if (At % 100ms == 30ms)
        for (AdmissionState &State : States)
          receiveForecast(State, forecast(Seen, 1, PerSecond), Now);
      while (!Comebacks.empty() && Comebacks.begin()->first <= Now) {
        const TimePoint First = Comebacks.begin()->second;
        Comebacks.erase(Comebacks.begin());
        call(First);
      }
      for (Arrivals += ArrivalsPerSecond * 0.005; Arrivals >= 1; Arrivals -= 1)
        call(Now);
      Backlog = std::max(0.0, Backlog - PerSecond * 0.005);
    }
  }
};

TEST(Admission, ABurstOfFourTimesTheCapacityIsAdmittedAsFarAsItCanBeInTime) {
  Cell Load;
  Load.run(2s, 25);
  EXPECT_EQ(Load.Refused, 0) << "half of the capacity";
  const int Before = Load.Admitted;
  Load.run(10s, 200);
  // Started during the burst, and waiting no longer than allowed at its end.
  const double Fit = 50 * (10 + 1.3);
  const int During = Load.Admitted - Before;
  EXPECT_NEAR(During, Fit, 0.1 * Fit);
  EXPECT_LE(Load.Late, 0.1 * During);
  EXPECT_GT(Load.Backlog, 0) << "capacity is used all the time";
}

TEST(Admission, CallersThatReturnAsToldAreServed) {
  Cell Load;
  Load.Returns = true;
  Load.run(2s, 25);
  Load.run(3s, 200);
  const int Burst = Load.Refused;
  Load.run(10s, 10);
  EXPECT_GT(Burst, 300);
  EXPECT_LE(Load.Late, 0.1 * Load.Admitted);
  // Within three spans of the objective after the burst began, 5.7 s, 285 can start.
  EXPECT_GE(Load.Admitted, 0.9 * (2 * 25 + 50 * 5.7));
}

TEST(Admission, BelowTheLoadNothingIsRefused) {
  EXPECT_FALSE(refusesAt(0ms));
  EXPECT_FALSE(refusesAt(MostWait));
  EXPECT_TRUE(refusesAt(MostWait + 1ms));
  JobDemand Impossible = demand();
  Impossible.CriticalPathFactor = 0.5;
  Impossible.ObjectiveSlack = 0ms;
  EXPECT_FALSE(refusesAt(50ms, Impossible)) << "late in any case; nothing waits for it";
}

TEST(Admission, ASlowStoreCountsInTheForecastEnd) {
  ProcessView Slow = View;
  Slow.StoreTime = 400ms;
  EXPECT_FALSE(refusesAt(1s));
  EXPECT_TRUE(refusesAt(1s, demand(), Slow));
  EXPECT_FALSE(refusesAt(0ms, demand(), {7, 5s, 1, 0})) << "slow, but not overloaded";
}

// Guards against jobs with much time that are accepted, and then wait for long in a scheduler that
// can't order their starts.
TEST(Admission, NoJobIsAcceptedToWaitForLongForTheSchedulersStarts) {
  JobDemand Patient = demand();
  Patient.CriticalPathFactor = 10;
  const auto RefusesAt = [&](Milliseconds Wait, bool IsByStarts) {
    AdmissionState State;
    Forecast Known = forecast(Wait);
    Known.Services["pool"][0].IsByStarts = IsByStarts;
    receiveForecast(State, Known, Begin);
    return refuses(State, Patient, Begin);
  };
  EXPECT_FALSE(RefusesAt(MaxWaitForStarts + 1ms, false));
  EXPECT_TRUE(RefusesAt(MaxWaitForStarts + 1ms, true));
  EXPECT_FALSE(RefusesAt(MaxWaitForStarts - 1ms, true));
}

TEST(Admission, TheRatioOfTheQueueCounts) {
  AdmissionState State;
  Forecast Known = forecast(1200ms);
  Known.RunTimeRatios["q"] = 0.1; // allows 1,030 ms
  receiveForecast(State, Known, Begin);
  EXPECT_TRUE(refuses(State, demand(), Begin));
}

TEST(Admission, AnOrganisationAtNineTimesItsShareDelaysNoOther) {
  AdmissionState State;
  Forecast Known = forecast(200ms);
  Known.OverShareOrganisations = {"greedy"};
  receiveForecast(State, Known, Begin);
  for (int I = 0; I < 90; ++I) {
    EXPECT_TRUE(refuses(State, demand("greedy"), Begin + I * 1ms));
    EXPECT_FALSE(I % 9 == 0 && refuses(State, demand("north"), Begin + I * 1ms));
  }
}

TEST(Admission, AnOrganisationAtItsMaximumWaitsForItsOwnWork) {
  AdmissionState State;
  Forecast Known = forecast(200ms);
  Known.OrganisationWaits["full"] = 4s;
  receiveForecast(State, Known, Begin);
  EXPECT_TRUE(refuses(State, demand("full"), Begin));
  EXPECT_FALSE(refuses(State, demand("north"), Begin));
}

TEST(Admission, AForecastThatSwingsByAFifthDoesNotAlternate) {
  for (const double Swing : {-0.2, 0.2}) {
    AdmissionState State;
    int Changes = -1;
    std::optional<bool> Before;
    for (int I = 0; I < 40; ++I) {
      const double Factor = 1 + (I % 2 ? Swing : -Swing);
      receiveForecast(State, forecast(Milliseconds(int64_t(1300 * Factor))), Begin + I * 100ms);
      const bool Now = refuses(State, demand(), Begin + I * 100ms + 50ms);
      Changes += Before != Now;
      Before = Now;
    }
    EXPECT_LE(Changes, 1);
    for (int I = 0; I <= 10; ++I)
      receiveForecast(State, forecast(900ms), Begin + 4s + I * 100ms);
    EXPECT_FALSE(refuses(State, demand(), Begin + 5s)) << "below seven tenths, no longer rising";
  }
}

TEST(Admission, AShortSpikeOfTheForecastDoesNotLinger) {
  AdmissionState State;
  receiveForecast(State, forecast(100ms), Begin);
  receiveForecast(State, forecast(20s), Begin + 100ms);
  EXPECT_TRUE(refuses(State, demand(), Begin + 150ms));
  receiveForecast(State, forecast(500ms), Begin + 200ms);
  EXPECT_FALSE(refuses(State, demand(), Begin + 300ms));
}

TEST(Admission, WithoutAUsableForecastEveryJobIsAdmitted) {
  AdmissionState State;
  EXPECT_FALSE(refuses(State, demand(), Begin)) << "none";
  receiveForecast(State, forecast(9s), Begin);
  EXPECT_TRUE(refuses(State, demand(), Begin + 1s));
  EXPECT_FALSE(refuses(State, demand(), Begin + 1001ms)) << "old";
  EXPECT_FALSE(refuses(State, demand(), Begin, {8, 0ms, 1, 0})) << "a takeover";
  EXPECT_FALSE(refuses(State, demand(), Begin, {std::nullopt, 0ms, 1, 0})) << "no leader known";
  JobDemand Elsewhere = demand();
  Elsewhere.Service = "other";
  EXPECT_FALSE(refuses(State, Elsewhere, Begin)) << "not in the forecast";
  receiveForecast(State, forecast(9s, 0.4), Begin);
  EXPECT_FALSE(refuses(State, demand(), Begin)) << "low confidence";
}

TEST(Admission, ATakeoverStartsWithoutTheOldWaits) {
  AdmissionState State;
  receiveForecast(State, forecast(9s), Begin);
  Forecast Next = forecast(1200ms);
  Next.Term = 8;
  receiveForecast(State, Next, Begin + 100ms);
  EXPECT_FALSE(refuses(State, demand(), Begin + 100ms, {8, 0ms, 1, 0}));
  receiveForecast(State, forecast(9s), Begin + 150ms);
  EXPECT_EQ(State.Last->Term, 8u) << "a late message of the old term";
}

TEST(Admission, SomeJobsAreNeverRefused) {
  ASSERT_TRUE(refusesAt(9s));
  for (bool JobDemand::*Kind :
       {&JobDemand::IsLongRunning, &JobDemand::IsTimed, &JobDemand::MayBeStored}) {
    JobDemand Job = demand();
    Job.*Kind = true;
    EXPECT_FALSE(refusesAt(9s, Job));
  }
}

TEST(Admission, DemandHasTheLongestChain) {
  sched::JobSpec Spec;
  Spec.Steps.resize(3);
  Spec.Steps[0].Estimate = 300ms;
  Spec.Steps[1].Estimate = 500ms;
  Spec.Steps[2].Estimate = 400ms;
  Spec.Steps[2].DependsOn = {0};
  EXPECT_EQ(demandOf(Spec).Chain, 700ms);
  EXPECT_FALSE(demandOf(Spec).IsTimed || demandOf(Spec).IsLongRunning);
  Spec.Repetitions = 2;
  Spec.Steps[1].LongRunning = true;
  EXPECT_TRUE(demandOf(Spec).IsTimed && demandOf(Spec).IsLongRunning);
}

bool isSame(const ReturnSchedule &A, const ReturnSchedule &B) {
  return A.FirstSecond == B.FirstSecond && A.Counts == B.Counts && A.Last == B.Last &&
         A.BeyondPart == B.BeyondPart;
}

Refuse refuse(AdmissionState &State, TimePoint Now, const JobDemand &Job = demand()) {
  auto Refusal = std::get<Refuse>(decide(State, Job, View, Now));
  confirm(State, Refusal, Now);
  return Refusal;
}

// Guards against later callers being told to return later than there is capacity.
TEST(Admission, ARefusalThatIsNotPassedOnLeavesTheReturnScheduleAsItWas) {
  AdmissionState State;
  receiveForecast(State, forecast(2s, 1, 1), Begin);
  const Refuse First = refuse(State, Begin);
  const ClassState Before = State.Classes.at(First.Class);
  // Enough to take all seconds up to the horizon.
  for (int I = 0; I < 10; ++I)
    ASSERT_TRUE(refuses(State, demand(), Begin + I * 10ms));
  const ClassState &After = State.Classes.at(First.Class);
  EXPECT_TRUE(isSame(After.Returns, Before.Returns));
  EXPECT_EQ(After.Refused, 1u);
  EXPECT_EQ(After.RefusedAt, Before.RefusedAt);
  AdmissionState Untouched;
  receiveForecast(Untouched, forecast(2s, 1, 1), Begin);
  refuse(Untouched, Begin);
  EXPECT_EQ(refuse(State, Begin + 200ms).Return.At, refuse(Untouched, Begin + 200ms).Return.At);
}

TEST(Admission, ARefusalConfirmedAfterItsClassHasLeftTheForecastHasAReturn) {
  AdmissionState State;
  receiveForecast(State, forecast(2s), Begin);
  auto Refusal = std::get<Refuse>(decide(State, demand(), View, Begin));
  Forecast Other = forecast(2s);
  Other.Services.clear();
  receiveForecast(State, Other, Begin + 100ms);
  confirm(State, Refusal, Begin + 100ms);
  EXPECT_GE(Refusal.Return.After, 1s);
  EXPECT_TRUE(State.Classes.empty());
}

struct Control {
  TimePoint Now = Begin;
  std::optional<Forecast> Local;
  int Requests = 0;
  AdmissionControl Process{Clock{[this] { return Now; }, [] { return WallTime(); }},
                           "a",
                           {[this] { return Local; }, [this] { ++Requests; }}};
  JobDemand Job{"q", "pool"};
};

TEST(Admission, SwitchedOffItAdmitsAndHasNoState) {
  Control Off;
  Off.Process.receive(forecast(9s));
  EXPECT_FALSE(Off.Process.refusal(Off.Job, View)) << "off from the start";
  Off.Process.applyFeatures({.Admission = true});
  Off.Process.receive(forecast(9s));
  EXPECT_TRUE(Off.Process.refusal(Off.Job, View));
  Off.Process.applyFeatures({});
  EXPECT_FALSE(Off.Process.refusal(Off.Job, View));
  Off.Process.applyFeatures({.Admission = true});
  EXPECT_FALSE(Off.Process.refusal(Off.Job, View)) << "the state was cleared";
}

TEST(Admission, TheSchedulersOwnProcessUsesItsForecast) {
  Control Scheduler;
  Scheduler.Process.applyFeatures({.Admission = true});
  EXPECT_FALSE(Scheduler.Process.refusal(Scheduler.Job, View));
  Scheduler.Local = forecast(9s);
  EXPECT_TRUE(Scheduler.Process.refusal(Scheduler.Job, View));
}

// Guards against a process that refuses everything until its forecast is too old, and then admits
// everything.
TEST(Admission, AProcessThatRefusesAsksForForecasts) {
  Control Box;
  Box.Process.applyFeatures({.Admission = true});
  Box.Process.receive(forecast(9s));
  for (int I = 0; I < 20; ++I, Box.Now += 50ms)
    EXPECT_TRUE(Box.Process.refusal(Box.Job, View));
  EXPECT_EQ(Box.Requests, 3);
  Box.Process.receive(forecast(0s));
  Box.Now += 500ms;
  EXPECT_FALSE(Box.Process.refusal(Box.Job, View));
  EXPECT_EQ(Box.Requests, 3) << "none while nothing is refused";
}

TEST(Admission, OperatorsSeeForecastRefusalsAndReturns) {
  Control Shown;
  EXPECT_NE(Shown.Process.describe(7, "").find("\"forecast\":null"), std::string::npos);
  Shown.Process.applyFeatures({.Admission = true});
  Shown.Process.receive(forecast(9s));
  Shown.Job.ObjectiveSlack = 5s;
  std::optional<Refuse> Refusal = Shown.Process.refusal(Shown.Job, View);
  ASSERT_TRUE(Refusal);
  Shown.Process.confirm(*Refusal);
  Shown.Now += 40ms;
  const std::string Page = Shown.Process.describe(7, R"({"steps_left_out":3})");
  for (const char *Part :
       {"\"admission\":true", "\"age_ms\":40", "\"used\":true", "\"class\":\"pool/within-share/0\"",
        "\"scheduler\":{\"steps_left_out\":3}", "\"promised_returns\":[{"})
    EXPECT_NE(Page.find(Part), std::string::npos) << Part << " in " << Page;
  const Result<std::string> Table = overloadTable(Page);
  ASSERT_TRUE(ok(Table)) << error(Table).Detail;
  EXPECT_NE(value(Table).find("forecast of term 7, 40 ms old\n"), std::string::npos)
      << value(Table);
  EXPECT_FALSE(ok(overloadTable("[1]")));
}

} // namespace
} // namespace valveshelf::admission
