// SPDX-License-Identifier: Apache-2.0
// A test fixture: a cell in which tests make single placement decisions.
#pragma once

#include "valveshelf/cell_state.h"

#include <memory>
#include <string>

namespace valveshelf::sched {

inline constexpr Resources WorkerSize{64000, 128000, 0};

/// A loaded cell whose workers have all reported.
class PlacementScene {
public:
  explicit PlacementScene(int Workers) {
    Cell.WallAt = Now;
    Effects Out;
    finishLoading(Cell, Now, Out);
    for (int I = 0; I < Workers; ++I)
      addWorker("w" + std::to_string(I));
  }

  void addWorker(const std::string &Id, const Resources &Size = WorkerSize) {
    listWorker(Id, Size);
    Cell.Workers.at(Id).IsRecorded = true;
    Effects Out;
    workerReported(Cell, Id, {}, Now, Now, Out);
  }

  // Lists the worker with this capacity.
  void listWorker(const std::string &Id, const Resources &Size) {
    WorkerInfo Info;
    Info.Id = Id;
    Info.Service = "pool";
    Info.Capacity = Size;
    workerListed(Cell, Info, Now);
  }

  // The job's objective is \p CriticalPathFactor times the estimate from now.
  JobId submit(int Priority, StepSpec Step, double CriticalPathFactor, bool Advised = false,
               const std::string &Queue = "") {
    auto Spec = std::make_shared<JobSpec>();
    Spec->Id = ++LastJob;
    Spec->Queue = Queue;
    Spec->Service = "pool";
    Spec->Priority = Priority;
    Spec->MaxAttempts = 3;
    Spec->CriticalPathFactor = CriticalPathFactor;
    if (Advised)
      Spec->Advice = AdvicePolicy{Milliseconds(500), Milliseconds(5), Milliseconds(2000)};
    Spec->Steps.push_back(std::move(Step));
    addJob(Cell, Spec, LastJob, true, Now);
    return LastJob;
  }

  // Runs one placement pass and confirms all its start orders.
  Effects pass(Milliseconds Elapsed = Milliseconds(1)) {
    Effects Out;
    Now += Elapsed;
    place(Cell, Now, Out);
    for (const Effects::Start &Order : Out.Starts) {
      Effects Ignored;
      startAnswered(Cell, Order.Worker, Order.Run, StartResult::Started, Now, Ignored);
    }
    return Out;
  }

  CellState Cell;
  TimePoint Now = TimePoint{} + std::chrono::seconds(1000);

private:
  JobId LastJob = 0;
};

inline StepSpec tasks(uint32_t Count, int64_t MilliCores, Milliseconds Estimate,
                      bool Checkpoints = false) {
  StepSpec Step;
  Step.Count = Count;
  Step.Need = {MilliCores, 1000, 0};
  Step.Estimate = Estimate;
  Step.Checkpointable = Checkpoints;
  return Step;
}

} // namespace valveshelf::sched
