// SPDX-License-Identifier: Apache-2.0
// The forecast for single situations of a cell, and its error in a simulated overload.
#include "scheduler/forecast.h"

#include "replay/load_replay.h"
#include "replay/placement_scene.h"
#include "valveshelf/forecast_records.h"

#include <boost/json.hpp>
#include <gtest/gtest.h>

namespace valveshelf::sched {
namespace {
using namespace std::chrono_literals;

constexpr Features WithAdmission{false, false, true, false};

CellConfiguration twoServices() {
  CellConfiguration Config;
  Config.Services = {{"pool"}, {"other"}};
  Config.Queues = {
      {"q1", "", "/1", "pool", 1}, {"q2", "", "/2", "pool", 2}, {"q3", "", "/3", "other", 1}};
  return Config;
}

/// Two services without workers, whose loads the test sets: both are full, and runs give back ten
/// cores in each second.
struct ForecastScene : PlacementScene {
  explicit ForecastScene(const CellConfiguration &Config = twoServices(), int Workers = 0)
      : PlacementScene(Workers) {
    applyConfiguration(Cell, Config);
    applyFeatures(Cell, WithAdmission);
    ServiceLoad Full;
    Full.Capacity = {100000, 200000, 0};
    Full.MeasuredSince = Now - 10s;
    Full.UpdatedAt = Now;
    Cell.Loads = {{"pool", Full}, {"other", Full}};
    const Turnover Mean{{10000, 20000, 0}, {100000, 200000, 0}, 5};
    Cell.Forecasts.Turnovers = {{"pool", Mean}, {"other", Mean}};
  }

  // A job of tasks of one core, in time for long.
  Job &add(const std::string &Service, int Priority, uint32_t Count, const std::string &Org = "") {
    auto Spec = std::make_shared<JobSpec>();
    Spec->Id = ++LastJob;
    Spec->Service = Service;
    Spec->Priority = Priority;
    Spec->Organisation = Org;
    Spec->CriticalPathFactor = 1000;
    Spec->Steps = {tasks(Count, 1000, 1000ms)};
    addJob(Cell, Spec, LastJob, true, Now);
    return Cell.Jobs.at(LastJob);
  }

  ClassForecast forecast(const std::string &Service, int Priority, bool IsOverShare = false) {
    const Forecast Given = forecastOf(Cell, Now);
    for (const ClassForecast &Class : Given.Services.at(Service))
      if (Class.Priority == Priority && Class.IsOverShare == IsOverShare)
        return Class;
    ADD_FAILURE() << "the class is missing";
    return {};
  }

  JobId LastJob = 1000;
};

TEST(Forecast, AnEmptyServiceForecastsNoWait) {
  ForecastScene Given;
  Given.Cell.Loads["pool"].Free = Given.Cell.Loads["pool"].Capacity;
  EXPECT_EQ(Given.forecast("pool", 1).Wait, 0ms);
  EXPECT_EQ(Given.forecast("pool", 1).Confidence, 1);
}

TEST(Forecast, ABacklogOfTwiceTheCapacityTakesTheTimeToReleaseIt) {
  ForecastScene Given;
  Given.add("pool", 1, 200);
  // 200 cores wait and a new task takes one more, at 10 cores per second.
  EXPECT_EQ(Given.forecast("pool", 1).Wait, 20100ms);
  EXPECT_NEAR(Given.forecast("pool", 1).Confidence, 0.9, 0.01);
}

TEST(Forecast, TheBacklogOfAnotherServiceDoesNotCount) {
  ForecastScene Given;
  Given.add("other", 1, 200);
  EXPECT_EQ(Given.forecast("pool", 1).Wait, 0ms);
}

TEST(Forecast, AClassWaitsForTheClassesBeforeItOnly) {
  ForecastScene Given;
  Given.add("pool", 1, 100);
  EXPECT_EQ(Given.forecast("pool", 1).Wait, 10100ms);
  EXPECT_EQ(Given.forecast("pool", 2).Wait, 10000ms);
  Given.add("pool", 2, 50);
  EXPECT_EQ(Given.forecast("pool", 1).Wait, 10100ms);
  EXPECT_EQ(Given.forecast("pool", 2).Wait, 15100ms);
}

TEST(Forecast, WorkBeyondAShareWaitsBehindTheRest) {
  CellConfiguration Config = twoServices();
  Config.Organisations = {{"loud", {}, 1, {}}};
  ForecastScene Given(Config);
  Given.add("pool", 1, 50, "loud");
  EXPECT_TRUE(Given.add("pool", 1, 100, "loud").IsOverShare);
  EXPECT_EQ(Given.forecast("pool", 1).Wait.count() / 1000, 5);
  EXPECT_EQ(Given.forecast("pool", 1, true).Wait.count() / 1000, 15);
  const double Tokens = Given.Cell.Organisations.at("loud").ShareTokens;
  EXPECT_EQ(forecastOf(Given.Cell, Given.Now).OverShareOrganisations.count("loud"), 1u);
  EXPECT_EQ(Given.Cell.Organisations.at("loud").ShareTokens, Tokens) << "the forecast took a token";
  Given.Now += 2s;
  EXPECT_TRUE(forecastOf(Given.Cell, Given.Now).OverShareOrganisations.empty());
}

// A late backlog is queued behind new work. Counting it would refuse all jobs after an overload.
TEST(Forecast, LateStepsDoNotDelayNewWork) {
  ForecastScene Given;
  Job &Late = Given.add("pool", 1, 100);
  Late.Objective = Given.Now;
  queueStep(Given.Cell, Late, Late.Rounds.at(0).Steps[0], Given.Now);
  EXPECT_EQ(Given.forecast("pool", 1).Wait, 100ms);
}

TEST(Forecast, StepsWithOpenInputsDoNotDelayNewWork) {
  ForecastScene Given;
  auto Spec = std::make_shared<JobSpec>();
  Spec->Id = 1;
  Spec->Service = "pool";
  Spec->Priority = 1;
  Spec->CriticalPathFactor = 1000;
  Spec->Steps = {tasks(10, 1000, 1000ms), tasks(100, 1000, 1000ms)};
  Spec->Steps[1].DependsOn = {0};
  addJob(Given.Cell, Spec, 1, true, Given.Now);
  EXPECT_EQ(Given.forecast("pool", 1).Wait, 1100ms);
}

// The work beyond its quota waits for the organisation's own runs and holds up nobody else.
TEST(Forecast, AnOrganisationAtItsMaximumWaitsForItself) {
  CellConfiguration Config = twoServices();
  Config.Organisations = {{"small", {}, 0, {20000, 0, 0}}, {"free", {}, 0, {}}};
  ForecastScene Given(Config);
  Given.add("pool", 1, 120, "small");
  Given.Cell.Forecasts.Quotas["small"].MeasuredSince = Given.Now - 10s;
  Turnover &Mean = Given.Cell.Forecasts.QuotaTurnovers["small"];
  Mean = {{5000, 0, 0}, {20000, 0, 0}, 1};
  EXPECT_EQ(Given.forecast("pool", 1).Wait, 2100ms) << "20 of its 120 cores may start";
  const Forecast Found = forecastOf(Given.Cell, Given.Now);
  EXPECT_EQ(Found.OrganisationWaits.at("small"), 20200ms) << "101 cores at 5 per second";
  EXPECT_EQ(Found.OrganisationWaits.count("free"), 0u);
  // Between the ends of few runs the rate falls towards zero, and the wait would seem endless.
  Mean.EndsPerSecond = 0.1;
  EXPECT_EQ(forecastOf(Given.Cell, Given.Now).OrganisationWaits.count("small"), 0u);
}

TEST(Forecast, AnUnknownRateGivesNoConfidence) {
  ForecastScene Given;
  Given.add("pool", 1, 100);
  Given.Cell.Loads["pool"].MeasuredSince = Given.Now - 2s;
  EXPECT_LT(Given.forecast("pool", 1).Confidence, 0.2) << "runs take 10 s";
  Given.Cell.Forecasts.Turnovers["pool"].EndsPerSecond = 0.04;
  EXPECT_EQ(Given.forecast("pool", 1).Confidence, 0) << "too few runs have ended";
  Given.Cell.Forecasts.Turnovers["pool"].Released = {};
  EXPECT_EQ(Given.forecast("pool", 1).Confidence, 0);
  Given.Cell.Loads["pool"].Capacity = {};
  EXPECT_EQ(Given.forecast("pool", 2).Confidence, 0) << "it has no workers";
}

TEST(Forecast, AWorkerThatLeavesLengthensTheWait) {
  ForecastScene Given(twoServices(), 2);
  Given.add("pool", 1, 200);
  updateServiceLoads(Given.Cell, Given.Now);
  const Milliseconds Before = Given.forecast("pool", 1).Wait;
  Given.Cell.Workers.begin()->second.Info.Draining = true;
  Given.Cell.NextLoadUpdate = Given.Now;
  updateServiceLoads(Given.Cell, Given.Now);
  EXPECT_GT(Given.forecast("pool", 1).Wait, Before + 5s);
}

TEST(Forecast, ATakeoverPublishesNoneForOneSecond) {
  ForecastScene Given;
  Effects Out;
  const TimePoint Loaded = Given.Now;
  for (; Given.Now < Loaded + 2s; Given.Now += 50ms) {
    tick(Given.Cell, Given.Now, {}, Out);
    EXPECT_EQ(publishedForecast(Given.Cell, Given.Now) != nullptr, Given.Now >= Loaded + 1s);
  }
  EXPECT_EQ(publishedForecast(Given.Cell, Given.Now + 1s), nullptr) << "it is not current";
}

// The wait for the starts that the scheduler can't order all at once.
constexpr Features WithStartAdmission{.StartAdmission = true};

TEST(StartForecast, TheBacklogOfStartsTakesTheTimeToOrderIt) {
  ForecastScene Given;
  applyFeatures(Given.Cell, WithStartAdmission);
  Given.Cell.StartRate = 100;
  Given.add("pool", 1, 100);
  Given.add("other", 1, 50);
  Given.add("pool", 2, 200);
  const ClassForecast Urgent = Given.forecast("pool", 1);
  EXPECT_TRUE(Urgent.IsByStarts);
  EXPECT_EQ(Urgent.Confidence, 1);
  EXPECT_EQ(Urgent.Wait, 1800ms) << "150 starts of both services, and the other stages";
  EXPECT_EQ(Given.forecast("pool", 2).Wait, 3800ms);
}

// Guards against jobs that are accepted although older ones will go before them.
TEST(StartForecast, StepsThatHaveWaitedForLongCountForAllClasses) {
  ForecastScene Given;
  applyFeatures(Given.Cell, WithStartAdmission);
  Given.Cell.StartRate = 100;
  Given.add("pool", 2, 100);
  EXPECT_EQ(Given.forecast("pool", 1).Wait, 0ms);
  Given.Now += StarvationBound + 1ms;
  EXPECT_EQ(Given.forecast("pool", 1).Wait, 1300ms);
  EXPECT_EQ(Given.forecast("pool", 2).Wait, 1300ms) << "once";
}

TEST(StartForecast, IsPublishedOnlyWhileStartsHaveToWait) {
  ForecastScene Given;
  applyFeatures(Given.Cell, WithStartAdmission);
  Given.Now += 2s;
  Given.add("pool", 1, 100);
  updateForecast(Given.Cell, Given.Now);
  EXPECT_EQ(publishedForecast(Given.Cell, Given.Now), nullptr);
  Given.Cell.StartRate = 10;
  Given.Now += 100ms;
  updateForecast(Given.Cell, Given.Now);
  EXPECT_NE(publishedForecast(Given.Cell, Given.Now), nullptr);
}

TEST(Forecast, IsComputedAtItsInterval) {
  ForecastScene Given;
  Given.Now += 2s;
  updateForecast(Given.Cell, Given.Now);
  const auto First = publishedForecast(Given.Cell, Given.Now);
  updateForecast(Given.Cell, Given.Now + 99ms);
  EXPECT_EQ(publishedForecast(Given.Cell, Given.Now + 99ms), First);
  updateForecast(Given.Cell, Given.Now + 100ms);
  EXPECT_NE(publishedForecast(Given.Cell, Given.Now + 100ms), First);
}

TEST(Forecast, TheFirstStartShowsTheError) {
  ForecastScene Given;
  Given.add("pool", 1, 100);
  Given.Now += 2s;
  updateForecast(Given.Cell, Given.Now);
  const Job &New = Given.add("pool", 1, 1);
  Effects Out;
  noteFirstStart(Given.Cell, New, Given.Now + 4s, Out);
  ASSERT_EQ(Out.ForecastErrors.size(), 1u);
  EXPECT_EQ(Out.ForecastErrors[0].Expected, 10100ms);
  EXPECT_EQ(Out.ForecastErrors[0].Waited, 4s);
  EXPECT_TRUE(Out.ForecastErrors[0].IsLogged);
  const Job &Next = Given.add("pool", 1, 1);
  noteFirstStart(Given.Cell, Next, Given.Now + 4s, Out);
  EXPECT_FALSE(Out.ForecastErrors.at(1).IsLogged) << "one line each second";
  EXPECT_TRUE(Given.Cell.Forecasts.AtAcceptance.empty());
}

TEST(Forecast, KeepsABoundedNumberOfForecasts) {
  ForecastScene Given;
  Given.Now += 2s;
  updateForecast(Given.Cell, Given.Now);
  for (size_t I = 0; I < MaxKeptForecasts + 10; ++I)
    Given.add("pool", 1, 1);
  EXPECT_EQ(Given.Cell.Forecasts.AtAcceptance.size(), MaxKeptForecasts);
  Effects Out;
  endJob(Given.Cell, Given.Cell.Jobs.at(1001), JobPhase::Cancelled, "", Given.Now, Out);
  EXPECT_EQ(Given.Cell.Forecasts.AtAcceptance.size(), MaxKeptForecasts - 1);
}

TEST(Forecast, CountsTheStartsOfAClass) {
  ForecastScene Given;
  for (int I = 0; I < 300; ++I) {
    Effects Out;
    Given.Now += 100ms;
    noteFirstStart(Given.Cell, Given.add("pool", 1, 1), Given.Now, Out);
    updateForecast(Given.Cell, Given.Now);
  }
  EXPECT_NEAR(Given.forecast("pool", 1).StartsPerSecond, 10, 0.5);
  EXPECT_EQ(Given.forecast("pool", 2).StartsPerSecond, 0);
}

TEST(Forecast, WithoutAdmissionNothingIsKept) {
  ForecastScene Given;
  Given.Now += 2s;
  updateForecast(Given.Cell, Given.Now);
  Given.add("pool", 1, 1);
  applyFeatures(Given.Cell, {});
  Effects Out;
  tick(Given.Cell, Given.Now + 1s, {}, Out);
  noteFirstStart(Given.Cell, Given.add("pool", 1, 1), Given.Now, Out);
  const ForecastState &Kept = Given.Cell.Forecasts;
  EXPECT_FALSE(Kept.Latest || !Kept.AtAcceptance.empty() || !Kept.Quotas.empty());
  EXPECT_FALSE(Kept.Priorities.at("pool").at(1).FirstNeed.IsKnown);
  EXPECT_TRUE(Out.ForecastErrors.empty());
}

TEST(Forecast, IsDescribedForOperators) {
  ForecastScene Given;
  Given.add("pool", 1, 200);
  Given.Now += 2s;
  updateForecast(Given.Cell, Given.Now);
  const auto Text = boost::json::parse(describeLoad(Given.Cell, Given.Now + 20ms));
  EXPECT_EQ(Text.at("forecast_age_ms"), 20);
  const auto &Pool = Text.at("services").at("pool");
  EXPECT_EQ(Pool.at("capacity").at("milli_cores"), 100000);
  EXPECT_EQ(Pool.at("classes").at(0).at("wait_ms"), 20100);
}

/// Scans of \p Load times the capacity of a fleet for 12 s, from \p From on, beside a few urgent
/// checks. Before, scans use a third of the fleet. Returns, for the scans that wait for longer than
/// half a second, the error of the forecast as a fraction of the wait.
std::vector<double> errorsInOverload(Milliseconds From, double Load, const ReplayKind &Scan) {
  constexpr int64_t FleetMilliCores = 1600000;
  ReplaySetting Setting;
  Setting.WorkerSize = {16000, 32768, 0};
  LoadReplay Given(Setting);
  CellConfiguration Config;
  Config.Services = {{"pool"}};
  Config.Queues = {{"check", "", "/0", "pool", 0}, {"scan", "", "/2", "pool", 2}};
  Given.configure(Config);
  Given.enable(WithAdmission);
  const double PerSecond =
      FleetMilliCores / (static_cast<double>(Scan.Step.Need.MilliCores * Scan.Step.Count) *
                         std::chrono::duration<double>(Scan.Step.Estimate).count());
  const auto Submit = [&](Milliseconds Begin, Milliseconds End, double Rate) {
    for (std::chrono::duration<double> At = Begin; At < End; At += 1s / Rate)
      Given.submit(std::chrono::duration_cast<Milliseconds>(At), "scan", Scan);
  };
  Submit(0ms, From, PerSecond / 3);
  Submit(From, From + 12s, PerSecond * Load);
  ReplayKind Check{0, {}, 1.5, 250ms};
  Check.Step = tasks(3, 2500, 640ms);
  for (Milliseconds At{50}; At < From + 12s; At += 100ms)
    Given.submit(At, "check", Check);
  Given.runUntil(From + 40s);
  std::vector<double> Errors;
  for (const Effects::ForecastError &Each : Given.forecastErrors())
    if (Each.Waited > 500ms)
      Errors.push_back(std::abs(1 - static_cast<double>(Each.Expected.count()) /
                                        static_cast<double>(Each.Waited.count())));
  std::sort(Errors.begin(), Errors.end());
  return Errors;
}

ReplayKind scan() {
  ReplayKind Scan{2, {}, 4, 3000ms, 0.45, 140ms, 2.0};
  Scan.Step = tasks(25, 1700, 3400ms, true);
  return Scan;
}

// Admission refuses with the forecast, so it has to be right to within the size of the wait.
TEST(Forecast, TheErrorInAnOverloadIsBelowHalfOfTheWait) {
  const std::vector<double> Errors = errorsInOverload(10s, 2, scan());
  ASSERT_GT(Errors.size(), 100u);
  EXPECT_LT(Errors[Errors.size() / 2], 0.5);
}

// Nothing is known of the rate when the overload begins.
TEST(Forecast, TheErrorInAnOverloadAfterATakeoverIsBelowHalfOfTheWait) {
  const std::vector<double> Errors = errorsInOverload(1500ms, 2, scan());
  ASSERT_GT(Errors.size(), 100u);
  EXPECT_LT(Errors[Errors.size() / 2], 0.5);
}

} // namespace
} // namespace valveshelf::sched
