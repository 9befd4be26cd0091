// SPDX-License-Identifier: Apache-2.0
// Benchmarks of one placement pass and one tick of a full cell, by the number of workers and of
// waiting steps.
#include "scheduler/copies.h"
#include "scheduler/forecast.h"
#include "scheduler/overload.h"

#include <benchmark/benchmark.h>

#include <random>

namespace valveshelf::sched {
namespace {
using namespace std::chrono_literals;

// A cell whose workers are full, with waiting jobs of each kind.
class FullCell {
public:
  // \p Services: 1 or 2. With two, every third worker and job belongs to the second.
  explicit FullCell(int Workers, int64_t Services = 1, bool SharesAdvice = false)
      : Services(Services) {
    Cell.WallAt = Now;
    if (Services > 1)
      Cell.Services = {"pool", "other"};
    applyFeatures(Cell, {SharesAdvice});
    for (int I = 0; I < Workers; ++I)
      addWorker(I);
    Effects Out;
    finishLoading(Cell, Now, Out);
    for (auto &[Id, W] : Cell.Workers) {
      W.IsRecorded = true;
      workerReported(Cell, Id, {}, Now, Now, Out);
    }
  }

  // Submits jobs, answers advice requests and confirms starts until \p Waiting steps wait.
  void fill(size_t Waiting) {
    for (int I = 0; Cell.Queue.size() < Waiting && I < 100000; ++I) {
      submit(I % 20 == 0 ? 0 : I % 20 < 4 ? 1 : 2);
      if (I % 20 == 19)
        settle();
    }
    settle();
  }

  void settle() {
    for (int I = 0; I < 4; ++I) {
      Effects Out;
      Now += 2ms;
      if (Cell.InForce.ShareAdvice)
        updateServiceLoads(Cell, Now);
      place(Cell, Now, Out);
      for (const Effects::AdviceRequest &Request : Out.AdviceRequests)
        answer(Request);
      for (const Effects::Start &Order : Out.Starts)
        startAnswered(Cell, Order.Worker, Order.Run, StartResult::Started, Now, Out);
    }
  }

  // Sets objectives that not all jobs can meet, and a measured load.
  void overload() {
    Cell.Services.insert("pool");
    updateServiceLoads(Cell, Now);
    Cell.Loads.at("pool").MeasuredSince = Now - ReleaseWindow;
    for (auto &[Id, J] : Cell.Jobs) {
      J.Objective = Now + J.Spec->Steps[0].Estimate + Milliseconds(Id % 300);
      if (StepState &Step = J.Rounds.at(0).Steps[0]; Step.Queued)
        queueStep(Cell, J, Step, Now);
    }
  }

  // A quarter of the workers are known to be slow.
  void learnSpeeds() {
    applyFeatures(Cell, {.LearnRunTimes = true});
    for (auto &[Id, W] : Cell.Workers)
      W.Speed = W.Slot % 4 == 0 ? SpeedBand::Slow : SpeedBand::Ordinary;
  }

  CellState Cell;
  TimePoint Now = TimePoint{} + 1000s;
  bool IsSpeculative = false; ///< Steps that are submitted may have copies.

private:
  const char *serviceOf(int64_t Number) const {
    return Services > 1 && Number % 3 == 0 ? "other" : "pool";
  }

  void addWorker(int Number) {
    WorkerInfo Info;
    Info.Id = "worker-life-" + std::to_string(100000 + Number);
    Info.Service = serviceOf(Number);
    Info.Rack = "rack-" + std::to_string(Number / 12);
    Info.Labels = {"a", Info.Rack};
    Info.Capacity = {64000, 131072, 0};
    workerListed(Cell, Info, Now);
  }

  // Kinds: 0 a gang, 1 many checkpointing tasks, 2 a short urgent step.
  void submit(int Kind) {
    auto Spec = std::make_shared<JobSpec>();
    Spec->Id = ++LastJob;
    Spec->Queue = "queue";
    Spec->Service = serviceOf(static_cast<int64_t>(LastJob));
    Spec->Priority = Kind == 2 ? 0 : Kind + 1;
    Spec->MaxAttempts = 3;
    Spec->CriticalPathFactor = 1000;
    Spec->Advice = AdvicePolicy{};
    StepSpec Step;
    Step.Count = Kind == 0 ? 20 : Kind == 1 ? 25 : 3;
    Step.Need = Kind == 0 ? Resources{18000, 26000, 0}
                          : (Kind == 1 ? Resources{6900, 13000, 0} : Resources{9900, 18000, 0});
    Step.Estimate = Milliseconds(Kind == 0 ? 6200 : Kind == 1 ? 2200 : 640);
    Step.Gang = Kind == 0;
    Step.Checkpointable = Kind == 1;
    Step.Speculative = IsSpeculative;
    Spec->Steps.push_back(Step);
    addJob(Cell, Spec, LastJob, true, Now);
  }

  void answer(const Effects::AdviceRequest &Request) {
    const double Share = Request.Priority == 0 ? 0.7 : Request.Priority == 1 ? 0.25 : 0.45;
    std::vector<std::pair<std::string, std::string>> Permitted;
    for (const std::string &Worker : Request.Workers)
      if (std::uniform_real_distribution<>(0, 1)(Random) < Share)
        Permitted.emplace_back(Worker, "ticket-of-some-length-" + std::to_string(Random()));
    adviceAnswered(Cell, Request.Step, Request.Workers, Permitted, 1000000ms, Now);
  }

  const int64_t Services;
  std::mt19937_64 Random{7};
  JobId LastJob = 0;
};

constexpr auto PassInterval = 10ms;

void placePass(benchmark::State &State) {
  FullCell Full(static_cast<int>(State.range(0)));
  Full.fill(static_cast<size_t>(State.range(1)));
  for (auto _ : State) {
    Effects Out;
    Full.Now += PassInterval;
    place(Full.Cell, Full.Now, Out);
    benchmark::DoNotOptimize(Out);
  }
}
// The same with two services, without and with shared advice.
void placePassOfTwoServices(benchmark::State &State) {
  FullCell Full(static_cast<int>(State.range(0)), 2, State.range(2) == 1);
  Full.fill(static_cast<size_t>(State.range(1)));
  for (auto _ : State) {
    Effects Out;
    Full.Now += PassInterval;
    place(Full.Cell, Full.Now, Out);
    benchmark::DoNotOptimize(Out);
  }
}
BENCHMARK(placePassOfTwoServices)
    ->ArgNames({"workers", "waiting", "shared"})
    ->Args({350, 200, 0})
    ->Args({350, 200, 1})
    ->Args({12000, 2000, 0})
    ->Args({12000, 2000, 1})
    ->Iterations(20)
    ->Unit(benchmark::kMicrosecond);

// The same with the order under overload, which is updated before the pass when it is due.
void placePassInOverload(benchmark::State &State) {
  FullCell Full(static_cast<int>(State.range(0)));
  Full.fill(static_cast<size_t>(State.range(1)));
  Full.overload();
  Full.Cell.InForce.OverloadOrder = State.range(2) != 0;
  for (auto _ : State) {
    Effects Out;
    Full.Now += PassInterval;
    if (Full.Cell.InForce.OverloadOrder)
      updateOverloadOrder(Full.Cell, Full.Now, Out);
    place(Full.Cell, Full.Now, Out);
    benchmark::DoNotOptimize(Out);
  }
  State.counters["left_out"] = Full.Cell.Overload.LeftOutSteps;
  State.counters["waiting"] = static_cast<double>(Full.Cell.Queue.size());
}
BENCHMARK(placePassInOverload)
    ->ArgNames({"workers", "waiting", "order"})
    ->Args({12000, 2000, 0})
    ->Args({12000, 2000, 1})
    ->Iterations(20)
    ->Unit(benchmark::kMicrosecond);

void updateOrder(benchmark::State &State) {
  FullCell Full(static_cast<int>(State.range(0)));
  Full.fill(static_cast<size_t>(State.range(1)));
  Full.overload();
  Full.Cell.InForce.OverloadOrder = true;
  for (auto _ : State) {
    Effects Out;
    Full.Cell.Overload.NextUpdate = {};
    updateOverloadOrder(Full.Cell, Full.Now, Out);
    benchmark::DoNotOptimize(Out);
  }
  State.counters["left_out"] = Full.Cell.Overload.LeftOutSteps;
}
BENCHMARK(updateOrder)
    ->ArgNames({"workers", "waiting"})
    ->Args({12000, 2000})
    ->Iterations(20)
    ->Unit(benchmark::kMicrosecond);

BENCHMARK(placePass)
    ->ArgNames({"workers", "waiting"})
    ->Args({48, 50})
    ->Args({350, 50})
    ->Args({350, 200})
    ->Args({700, 200})
    ->Args({1100, 200})
    ->Args({6000, 200})
    ->Args({12000, 200})
    ->Args({12000, 2000})
    ->Unit(benchmark::kMicrosecond);

void placePassWithSpeeds(benchmark::State &State) {
  FullCell Full(static_cast<int>(State.range(0)));
  Full.learnSpeeds();
  Full.fill(static_cast<size_t>(State.range(1)));
  for (auto _ : State) {
    Effects Out;
    Full.Now += PassInterval;
    place(Full.Cell, Full.Now, Out);
    benchmark::DoNotOptimize(Out);
  }
}
BENCHMARK(placePassWithSpeeds)
    ->ArgNames({"workers", "waiting"})
    ->Args({12000, 200})
    ->Unit(benchmark::kMicrosecond);

// One decision about copies in a full cell in which every run is slow and will miss its objective.
// With waiting work no copy may be started; without, workers are looked for and found full.
void decideCopies(benchmark::State &State) {
  FullCell Full(static_cast<int>(State.range(0)));
  Full.IsSpeculative = true;
  applyFeatures(Full.Cell, {.Copies = true});
  Full.fill(200);
  if (State.range(1) == 0)
    Full.Cell.Queue.clear();
  size_t Runs = 0;
  for (auto &[Id, W] : Full.Cell.Workers)
    for (auto &[Run, Entry] : W.Attempts) {
      Entry.Objective = Full.Now;
      ++Runs;
    }
  Full.Now += 10s;
  for (auto _ : State) {
    Effects Out;
    PlacementPass Pass{Full.Cell, Full.Now, Out};
    Full.Cell.Copies.NextDecision = {};
    startCopies(Pass);
    benchmark::DoNotOptimize(Out);
  }
  State.counters["runs"] = static_cast<double>(Runs);
}
BENCHMARK(decideCopies)
    ->ArgNames({"workers", "waiting"})
    ->Args({12000, 0})
    ->Args({12000, 1})
    ->Iterations(200)
    ->Unit(benchmark::kMicrosecond);

void tickOnce(benchmark::State &State) {
  FullCell Full(static_cast<int>(State.range(0)));
  Full.fill(50);
  for (auto _ : State) {
    Effects Out;
    Full.Now += std::chrono::microseconds(1);
    tick(Full.Cell, Full.Now, WallTime(1000s), Out);
    benchmark::DoNotOptimize(Out);
  }
}
BENCHMARK(tickOnce)->ArgName("workers")->Arg(48)->Arg(350)->Arg(700)->Arg(6000)->Arg(12000)->Unit(
    benchmark::kMicrosecond);

// With 770 organisations, of which some are beyond their share and some at their maximum.
void forecastOnce(benchmark::State &State) {
  FullCell Full(12000);
  CellConfiguration Config;
  Config.Services = {{"pool"}};
  for (int Priority = 0; Priority < 3; ++Priority)
    Config.Queues.push_back({"queue", "", "/", "pool", Priority});
  Config.Organisations.emplace();
  for (int I = 0; I < 770; ++I)
    Config.Organisations->push_back(
        {"organisation-" + std::to_string(I), {}, 2, {I % 4 == 0 ? 100000 : 0, 0, 0}});
  applyConfiguration(Full.Cell, Config);
  applyFeatures(Full.Cell, {false, false, true, false});
  Full.fill(2000);
  size_t Next = 0;
  for (auto &[Id, J] : Full.Cell.Jobs)
    J.Owner = &Full.Cell.Organisations.at("organisation-" + std::to_string(Next++ % 770));
  for (auto &[Name, Org] : Full.Cell.Organisations)
    consumeShare(Org, WallTime(1000s));
  updateServiceLoads(Full.Cell, Full.Now);
  updateForecast(Full.Cell, Full.Now);
  for (auto _ : State)
    benchmark::DoNotOptimize(forecastOf(Full.Cell, Full.Now + 2s));
  State.counters["waiting"] = static_cast<double>(Full.Cell.Queue.size());
}
BENCHMARK(forecastOnce)->Unit(benchmark::kMicrosecond);

} // namespace
} // namespace valveshelf::sched
