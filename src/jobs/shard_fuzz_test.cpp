// SPDX-License-Identifier: Apache-2.0
// Fuzz test of a running shard's decisions under lost and delayed messages, frozen owners and
// takeovers: no overcommitted worker, no concurrent attempts, no repetition of non-repeatable
// tasks. VALVESHELF_FUZZ_EVENTS and VALVESHELF_FUZZ_SEED set the length and the first seed.
#include "valveshelf/shard_decisions.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <list>
#include <random>

namespace valveshelf {
namespace {
using namespace std::chrono_literals;

constexpr int64_t WorkerCores = 3000;
constexpr Milliseconds TaskLease{5000};
constexpr size_t MaxTasks = 8;

// A task running on a simulated worker.
struct ActualRun {
  TaskKey Key;
  uint32_t Attempt;
  int64_t Cores;
  TimePoint LeaseEnds;
};

struct ActualWorker {
  std::string Name;
  std::string Incarnation = "1";
  bool Frozen = false;
  std::vector<ActualRun> Runs;
  std::vector<TaskReport> Ended;
};

// A start request in transit from an owner to a worker.
struct StartInTransit {
  StartEffect Effect;
  uint64_t Owner;               ///< Number of the sending owner.
  bool Sent = false;            ///< The owner can no longer withdraw it.
  bool AwaitingResponse = true; ///< The owner waits for the response.
  TimePoint DeliverBy{};
};

class Simulation {
public:
  explicit Simulation(uint64_t Seed) : Random(Seed) {
    Limits.TaskLease = TaskLease;
    Limits.SettleTime = 2000ms;
    for (int I = 0; I < 3; ++I) {
      Workers.push_back({"w" + std::to_string(I)});
      BoxInfo Box;
      Box.Name = Workers.back().Name;
      Box.Capacity = {WorkerCores, 100000, 0};
      Boxes.push_back(Box);
    }
    failOver(true);
  }

  void step() {
    ++Events;
    Now += Milliseconds(pick(120));
    expireLeases();
    switch (pick(14)) {
    case 0:
    case 1:
      return lendTask();
    case 2:
    case 3:
      return place();
    case 4:
    case 5:
    case 6:
      return deliverOrLoseStart();
    case 7:
    case 8:
    case 9:
      return syncWorker();
    case 10:
      return endRun();
    case 11:
      return injectFault();
    case 12:
      return cancelTask();
    default:
      return tick();
    }
  }

  uint64_t Events = 0;
  uint64_t Starts = 0;
  uint64_t Takeovers = 0;
  std::vector<std::string> Violations;

private:
  uint32_t pick(uint32_t Below) { return static_cast<uint32_t>(Random() % Below); }
  ActualWorker &anyWorker() { return Workers[pick(static_cast<uint32_t>(Workers.size()))]; }
  WallTime wall() const {
    return WallTime(std::chrono::duration_cast<Milliseconds>(Now.time_since_epoch()));
  }

  // Appends the records to the journal and starts the effects. Loss between the two is covered by
  // the tests of the journal.
  void take(const Decision &Decided) {
    Log.insert(Log.end(), Decided.Records.begin(), Decided.Records.end());
    for (const StartEffect &Start : Decided.Starts)
      StartsInTransit.push_back({Start, Owner});
    for (const ControlEffect &Control : Decided.Controls)
      stopOnWorker(Control);
    for (const ForgetEffect &Forget : Decided.Forgets)
      for (ActualWorker &W : Workers)
        std::erase_if(W.Ended, [&](const TaskReport &T) {
          return W.Name == Forget.Worker && T.Id == Forget.TaskId;
        });
  }

  void lendTask() {
    if (State.AssignedTasks.size() >= MaxTasks)
      return dropTask();
    wire::LendRequest Lend;
    JobSpec Spec;
    Spec.Id = "j" + std::to_string(++Jobs);
    Spec.Partner = "olano";
    Spec.Count = 1;
    Spec.Size = {500 + 500 * static_cast<int64_t>(pick(4)), 10, 0};
    Spec.Repeatable = pick(3) != 0;
    Spec.MaxTries = 100;
    *Lend.mutable_spec() = specToWire(Spec);
    Lend.add_index(0);
    Lend.add_next_attempt(1);
    take(adoptTasks(State, Lend, Now));
  }

  void dropTask() {
    for (const auto &[Key, Task] : State.AssignedTasks)
      if (Task.Phase == AssignedPhase::Ended || Task.Phase == AssignedPhase::Returned)
        return take(dropTasks(State, {TaskKey(Key)}, Now));
  }

  void place() {
    const auto Nothing = [](const std::string &) { return Resources{}; };
    take(placeQueued(State, Config, pick(8) != 0, Nothing, Limits, Now, wall()));
  }

  // Drops, times out or delivers a start request in transit.
  void deliverOrLoseStart() {
    if (StartsInTransit.empty())
      return;
    auto Chosen = StartsInTransit.begin();
    std::advance(Chosen, pick(static_cast<uint32_t>(StartsInTransit.size())));
    ActualWorker &To = *std::find_if(Workers.begin(), Workers.end(), [&](const ActualWorker &W) {
      return W.Name == Chosen->Effect.Worker;
    });
    const bool Mine = Chosen->Owner == Owner;
    const uint32_t Choice = pick(10);
    if (Mine && !Chosen->Sent && Choice == 0) {
      answer(*Chosen, StartAnswer::NotSent);
      StartsInTransit.erase(Chosen);
      return;
    }
    Chosen->Sent = true;
    if (Mine && Chosen->AwaitingResponse && Choice <= 2) {
      // The call times out; the request may still arrive, unless it is lost.
      answer(*Chosen, StartAnswer::Unanswered);
      Chosen->AwaitingResponse = false;
      Chosen->DeliverBy = Now + Limits.SettleTime;
      if (Choice == 1)
        StartsInTransit.erase(Chosen);
      return;
    }
    if (To.Frozen)
      return;
    deliver(*Chosen, To);
    if (Mine && Chosen->AwaitingResponse)
      answer(*Chosen, pick(6) == 0 ? StartAnswer::Unanswered : StartAnswer::Accepted);
    StartsInTransit.erase(Chosen);
  }

  void answer(const StartInTransit &F, StartAnswer Answer) {
    take(onStartAnswer(State, F.Effect.Key, F.Effect.Attempt, Answer, Limits, Now));
  }

  // The worker starts the task unconditionally; checks the invariants.
  void deliver(const StartInTransit &F, ActualWorker &To) {
    const StartEffect &Start = F.Effect;
    ++Starts;
    int64_t Used = Start.Spec->Size.MilliCores;
    for (const ActualRun &Run : To.Runs)
      Used += Run.Cores;
    const std::string Id = workerTaskId(Start.Key, Start.Attempt);
    if (Used > WorkerCores)
      Violations.push_back(Id + " on " + To.Name + " exceeds its capacity");
    for (const ActualWorker &W : Workers)
      for (const ActualRun &Run : W.Runs)
        if (Run.Key == Start.Key)
          Violations.push_back(Id + " runs while another attempt of its task runs");
    if (!Start.Spec->Repeatable && ++StartsOfNonRepeatableTasks[toString(Start.Key)] > 1)
      Violations.push_back(Id + " repeats a task that is not repeatable");
    To.Runs.push_back({Start.Key, Start.Attempt, Start.Spec->Size.MilliCores, Now + TaskLease});
  }

  void stopOnWorker(const ControlEffect &Control) {
    for (ActualWorker &W : Workers)
      if (W.Name == Control.Worker && !W.Frozen)
        finish(
            W,
            [&](const ActualRun &Run) {
              return workerTaskId(Run.Key, Run.Attempt) == Control.TaskId;
            },
            TaskReport::State::Stopped);
  }

  template <class Predicate> void finish(ActualWorker &W, Predicate Which, TaskReport::State How) {
    for (const ActualRun &Run : W.Runs)
      if (Which(Run)) {
        TaskReport Report;
        Report.Id = workerTaskId(Run.Key, Run.Attempt);
        Report.Status = How;
        W.Ended.push_back(Report);
      }
    std::erase_if(W.Runs, Which);
  }

  // Leases expire on time even on a frozen worker.
  void expireLeases() {
    for (ActualWorker &W : Workers)
      finish(
          W, [&](const ActualRun &Run) { return Now >= Run.LeaseEnds; },
          TaskReport::State::Stopped);
    // A worker that is not frozen has read these requests by now.
    for (auto F = StartsInTransit.begin(); F != StartsInTransit.end();) {
      ActualWorker &To = *std::find_if(Workers.begin(), Workers.end(), [&](const ActualWorker &W) {
        return W.Name == F->Effect.Worker;
      });
      const bool Due = F->Sent && !F->AwaitingResponse && F->DeliverBy != TimePoint{} &&
                       Now >= F->DeliverBy && !To.Frozen;
      if (!Due) {
        ++F;
        continue;
      }
      deliver(*F, To);
      F = StartsInTransit.erase(F);
    }
  }

  void syncWorker() {
    ActualWorker &W = anyWorker();
    WorkerState &Worker = *State.Workers.at(W.Name);
    const bool Renew = Worker.FailedCalls == 0;
    std::vector<TaskKey> Named(Worker.AssignedTasks.begin(), Worker.AssignedTasks.end());
    const bool Delivered = !W.Frozen && pick(8) != 0;
    const bool Received = Delivered && pick(8) != 0;
    if (Delivered && Renew)
      for (ActualRun &Run : W.Runs)
        if (std::find(Named.begin(), Named.end(), Run.Key) != Named.end())
          Run.LeaseEnds = Now + TaskLease;
    const TimePoint AskedAt = Now;
    WorkerReport Report{W.Incarnation, 1, W.Ended};
    for (const ActualRun &Run : W.Runs) {
      TaskReport Task;
      Task.Id = workerTaskId(Run.Key, Run.Attempt);
      Task.Size = {Run.Cores, 10, 0};
      Report.Tasks.push_back(Task);
    }
    Now += Milliseconds(pick(50));
    if (Received)
      take(onWorkerReport(State, W.Name, Report, Renew, Limits, AskedAt, Now, wall()));
    else
      take(onWorkerCallFailed(State, W.Name, Renew, Limits));
  }

  void endRun() {
    ActualWorker &W = anyWorker();
    if (W.Runs.empty() || W.Frozen)
      return;
    const TaskKey Key = W.Runs[pick(static_cast<uint32_t>(W.Runs.size()))].Key;
    finish(
        W, [&](const ActualRun &Run) { return Run.Key == Key; },
        pick(4) == 0 ? TaskReport::State::Failed : TaskReport::State::Succeeded);
  }

  void cancelTask() {
    if (pick(4) == 0 && !State.AssignedTasks.empty())
      take(onCancelTasks(State, {State.AssignedTasks.begin()->first}, wall()));
  }

  void tick() {
    take(onTick(
        State, Limits, [this](const JobSpec &) { return pick(20) == 0; }, Now, wall()));
  }

  void injectFault() {
    ActualWorker &W = anyWorker();
    switch (pick(12)) {
    case 0:
    case 1:
      W.Frozen = true;
      return;
    case 2:
    case 3:
    case 4:
      W.Frozen = false;
      return;
    case 5:
      // The worker restarts, which loses the requests in its sockets.
      W.Runs.clear();
      W.Ended.clear();
      W.Frozen = false;
      W.Incarnation += "'";
      std::erase_if(StartsInTransit,
                    [&](const StartInTransit &F) { return F.Sent && F.Effect.Worker == W.Name; });
      return;
    case 6:
      Now += 4000ms;
      return;
    case 7:
      return failOver(false);
    case 8:
      return confirmPredecessorGone();
    default:
      return;
    }
  }

  // A successor replays the journal. The frozen predecessor may still send journalled starts.
  void failOver(bool First) {
    if (!First && !State.PredecessorGone)
      return;
    ++Owner;
    ++Takeovers;
    ShardState Next;
    Next.Id = 1;
    for (const wire::Record &Record : Log)
      applyRecord(Next, Record, Now);
    State = std::move(Next);
    markTakenOver(State, First, Limits, Now);
    take(onBoxList(State, Boxes, Now, wall()));
    if (Log.size() > 4000)
      Log = snapshotOf(State);
  }

  // Unsent requests of the predecessor are lost; sent ones arrive within the settle time or never.
  void confirmPredecessorGone() {
    if (State.PredecessorGone)
      return;
    std::erase_if(StartsInTransit,
                  [&](const StartInTransit &F) { return F.Owner != Owner && !F.Sent; });
    for (StartInTransit &F : StartsInTransit)
      if (F.Owner != Owner) {
        F.AwaitingResponse = false;
        F.DeliverBy = Now + Limits.SettleTime;
      }
    onPredecessorGone(State, Limits, Now);
  }

  std::mt19937_64 Random;
  DecisionLimits Limits;
  CellConfig Config;
  BoxList Boxes;
  std::vector<ActualWorker> Workers;
  std::list<StartInTransit> StartsInTransit;
  ShardState State;
  std::vector<wire::Record> Log;
  std::map<std::string, int> StartsOfNonRepeatableTasks;
  TimePoint Now{1000s};
  uint64_t Owner = 0;
  uint64_t Jobs = 0;
};

uint64_t fromEnvironment(const char *Name, uint64_t Default) {
  const char *Text = std::getenv(Name);
  return Text ? std::strtoull(Text, nullptr, 10) : Default;
}

TEST(ShardFuzz, InvariantsHoldUnderRandomEventOrders) {
  const uint64_t Events = fromEnvironment("VALVESHELF_FUZZ_EVENTS", 300000);
  const uint64_t First = fromEnvironment("VALVESHELF_FUZZ_SEED", 1);
  constexpr uint64_t EventsPerSimulation = 20000;
  uint64_t Done = 0;
  uint64_t Starts = 0;
  uint64_t Takeovers = 0;
  for (uint64_t Seed = First; Done < Events; ++Seed) {
    Simulation Sim(Seed);
    while (Sim.Events < EventsPerSimulation && Sim.Violations.empty())
      Sim.step();
    ASSERT_TRUE(Sim.Violations.empty())
        << "seed " << Seed << " event " << Sim.Events << ": " << Sim.Violations.front();
    Done += Sim.Events;
    Starts += Sim.Starts;
    Takeovers += Sim.Takeovers;
  }
  EXPECT_GT(Starts, Done / 100);
  EXPECT_GT(Takeovers, Done / 1000);
  std::printf("fuzz: %lu events, %lu starts, %lu takeovers, 0 breaks\n",
              static_cast<unsigned long>(Done), static_cast<unsigned long>(Starts),
              static_cast<unsigned long>(Takeovers));
}

} // namespace
} // namespace valveshelf
