// SPDX-License-Identifier: Apache-2.0
// Measures placement decisions by number of workers, and the replay of a shard's journal.
#include "valveshelf/shard_decisions.h"

#include <benchmark/benchmark.h>

#include <algorithm>
#include <random>

namespace valveshelf {
namespace {

constexpr double TasksPerWorker = 42000.0 / 7700.0;

// A shard with a given number of workers, each loaded with TasksPerWorker tasks on average.
class LoadedShard {
public:
  explicit LoadedShard(int Workers) {
    BoxList Boxes;
    for (int I = 0; I < Workers; ++I) {
      BoxInfo Box;
      Box.Name = "w" + std::to_string(I);
      Box.Rack = "rack-" + std::to_string(I / 8);
      Box.Labels = {{"rack", Box.Rack}, {"zone", "z" + std::to_string(I % 9)}};
      Box.Capacity = {64000, 131072, I % 4 == 0 ? 7 : 0};
      Boxes.push_back(Box);
    }
    onBoxList(State, Boxes, Now, Wall);
    for (const BoxInfo &Box : Boxes)
      onWorkerReport(State, Box.Name, {"1", 1, {}}, true, Limits, Now, Now, Wall);
    fill(static_cast<int>(Workers * TasksPerWorker));
  }

  void lend(JobClass Class) {
    wire::LendRequest Lend;
    JobSpec Spec;
    Spec.Id = "j" + std::to_string(++Jobs);
    Spec.Partner = "olano";
    Spec.Class = Class;
    Spec.Size = {500 * (1 + static_cast<int64_t>(Random() % 16)),
                 512 * (1 + static_cast<int64_t>(Random() % 16)), 0};
    Spec.BoxSelector = Random() % 2 ? "" : "zone in (z1,z2,z3,z4)";
    *Lend.mutable_spec() = specToWire(Spec);
    Lend.add_index(0);
    Lend.add_next_attempt(1);
    adoptTasks(State, Lend, Now);
  }

  Decision place() {
    const auto Nothing = [](const std::string &) { return Resources{}; };
    return placeQueued(State, Config, true, Nothing, Limits, Now, Wall);
  }

  // Drops one task, so that the load stays constant.
  void dropRandomTask() {
    auto Found = State.AssignedTasks.lower_bound({"j" + std::to_string(1 + Random() % Jobs), 0});
    if (Found == State.AssignedTasks.end())
      Found = State.AssignedTasks.begin();
    wire::Record Drop;
    Drop.mutable_part_dropped()->mutable_key()->set_job(Found->first.Job);
    applyRecord(State, Drop, Now);
    State.Tombstones.clear();
  }

private:
  void fill(int Tasks) {
    for (int I = 0; I < Tasks; ++I) {
      lend(JobClass::Batch);
      if (I % 256 == 0)
        place();
    }
    place();
  }

  ShardState State;
  CellConfig Config;
  DecisionLimits Limits;
  TimePoint Now{std::chrono::seconds(1000)};
  WallTime Wall{};
  std::mt19937_64 Random{7};
  uint64_t Jobs = 0;
};

void placeOne(benchmark::State &Run) {
  LoadedShard Shard(static_cast<int>(Run.range(0)));
  std::vector<double> Latencies;
  for (auto Step : Run) {
    Run.PauseTiming();
    Shard.dropRandomTask();
    Shard.lend(JobClass::Urgent);
    Run.ResumeTiming();
    const auto Before = std::chrono::steady_clock::now();
    benchmark::DoNotOptimize(Shard.place());
    Latencies.push_back(
        std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - Before)
            .count());
  }
  std::sort(Latencies.begin(), Latencies.end());
  Run.counters["p50_us"] = Latencies[Latencies.size() / 2];
  Run.counters["p99_us"] = Latencies[Latencies.size() * 99 / 100];
}
BENCHMARK(placeOne)->Arg(100)->Arg(1000)->Arg(7700)->Arg(10000)->Iterations(3000);

// Many decisions in one round.
void placeBurst(benchmark::State &Run) {
  constexpr int Burst = 256;
  LoadedShard Shard(static_cast<int>(Run.range(0)));
  for (auto Step : Run) {
    Run.PauseTiming();
    for (int I = 0; I < Burst; ++I) {
      Shard.dropRandomTask();
      Shard.lend(JobClass::Quick);
    }
    Run.ResumeTiming();
    benchmark::DoNotOptimize(Shard.place());
  }
  Run.SetItemsProcessed(Run.iterations() * Burst);
}
BENCHMARK(placeBurst)->Arg(481)->Arg(7700)->Iterations(30);

// Replay of a shard's journal, as after a takeover.
void replay(benchmark::State &Run) {
  ShardState Full;
  for (int I = 0; I < Run.range(0); ++I) {
    wire::Record Adopted;
    JobSpec Spec;
    Spec.Id = "j" + std::to_string(I);
    *Adopted.mutable_parts_adopted()->mutable_spec() = specToWire(Spec);
    Adopted.mutable_parts_adopted()->add_index(0);
    Adopted.mutable_parts_adopted()->add_next_attempt(1);
    applyRecord(Full, Adopted, TimePoint{});
  }
  const std::vector<wire::Record> Records = snapshotOf(Full);
  size_t Bytes = 0;
  for (const wire::Record &Record : Records)
    Bytes += Record.ByteSizeLong();
  for (auto Step : Run) {
    ShardState Fresh;
    for (const wire::Record &Record : Records)
      applyRecord(Fresh, Record, TimePoint{});
    benchmark::DoNotOptimize(Fresh.AssignedTasks.size());
  }
  Run.counters["bytes_per_task"] = static_cast<double>(Bytes) / static_cast<double>(Run.range(0));
}
BENCHMARK(replay)->Arg(1000)->Arg(10000);

} // namespace
} // namespace valveshelf
