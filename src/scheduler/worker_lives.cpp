// SPDX-License-Identifier: Apache-2.0
// Hands the attempts of a worker's earlier lives over to its new life, or ends them.
#include "scheduler/worker_lives.h"
#include "scheduler/crashes.h"

#include <algorithm>
#include <utility>

namespace valveshelf::sched {

namespace {
// Runs that both the report and the earlier life name.
std::vector<RunKey> carriedOutRuns(const Worker &Was, const WorkerReport &Report) {
  std::vector<RunKey> Found;
  for (const ActiveRun &Row : Report.Active)
    if (Was.Attempts.count(Row.Run))
      Found.push_back(Row.Run);
  for (const EndedRun &End : Report.Ended)
    if (Was.Attempts.count(End.Run))
      Found.push_back(End.Run);
  return Found;
}

} // namespace

std::vector<std::string> earlierLivesOf(const CellState &Cell, const Worker &On) {
  std::vector<std::string> Keys;
  const std::string &Id = On.Info.Id;
  for (auto At = Cell.Workers.lower_bound(Id);
       At != Cell.Workers.end() && At->first.starts_with(Id); ++At)
    if (At->second.IsEarlierLife && At->second.Info.Id == Id)
      Keys.push_back(At->first);
  return Keys;
}

std::optional<TimePoint> endOfUnreachableRuns(const CellState &Cell, const std::string &Id) {
  const auto Found = Cell.Workers.find(Id);
  if (Found == Cell.Workers.end())
    return TimePoint{}; // it was dropped, since nothing can run there any more
  const Worker &On = Found->second;
  if (On.IsResponsive && On.HasReported)
    return std::nullopt;
  TimePoint End = On.LeaseEnd;
  for (const std::string &Key : earlierLivesOf(Cell, On))
    End = std::max(End, Cell.Workers.at(Key).LeaseEnd);
  return End;
}

Worker &beginNewLife(CellState &Cell, Worker &Was, const LifeStatement &Stated, std::string_view By,
                     TimePoint Now) {
  const std::string Id = Was.Info.Id;
  Cell.NewRestarts.push_back(
      {Id, Stated.Born, Was.Life.Born, By, Was.Attempts.size(), Was.UnsavedEnds.size()});
  noteLostBeforeReport(Cell, Was, WorkerEnd::Replaced);
  // Calls to the earlier life may have granted the new one its longest lease.
  const std::chrono::duration<double, std::milli> Longest =
      Cell.Limits.WorkerLease * (1 + 2 * Cell.Limits.ClockDrift);
  Was.LeaseEnd =
      std::max(Was.LeaseEnd, Now + std::chrono::duration_cast<Steady::duration>(Longest) +
                                 Cell.Limits.LeaseMargin);
  // The end of a run that is not saved is saved all the same; nobody is left to be told.
  Was.UnsavedEnds.clear();
  Cell.SlotsWithUnsavedEnds.erase(Was.Slot);
  auto Node = Cell.Workers.extract(Id);
  Node.key() = Id + "#" + std::to_string(Was.Slot);
  Cell.Workers.insert(std::move(Node));
  retireToken(Cell, Was);

  Worker &Made = findOrAddWorker(Cell, Id);
  Made.Info = Was.Info;
  Made.Info.Born = Stated.Born;
  Made.Listed = Was.Listed;
  Made.IsSelected = Was.IsSelected;
  Made.IsRecorded = Was.IsRecorded;
  Made.LeaseEnd = Was.LeaseEnd;
  Made.LeavesAt = Was.LeavesAt;
  Made.SlowUntil = Was.SlowUntil;
  Made.InEvacuatedZone = Was.InEvacuatedZone;
  Made.UnlistedAt = Was.UnlistedAt;
  Made.Speed = Was.Speed;
  Made.IsRestart = true;
  noteLife(Made.Life, Stated, Now);

  Was.IsEarlierLife = true;
  Was.IsSelected = Was.HasReported = Was.IsResponsive = false;
  if (std::exchange(Was.Listed, false))
    Was.UnlistedAt = Now;
  return Made;
}

void releaseCarriedOutRuns(CellState &Cell, Worker &On, const WorkerReport &Report, Effects &Out) {
  for (const std::string &Key : earlierLivesOf(Cell, On)) {
    Worker &Was = Cell.Workers.at(Key);
    for (const RunKey &Run : carriedOutRuns(Was, Report)) {
      On.CarriedOut.push_back(Run);
      retractCrash(Cell, Run.Task, lifeName(Was), Out); // it was not on the life that crashed
      unbook(Cell, Was, Run);
    }
  }
}

void endEarlierLives(CellState &Cell, const Worker &On, TimePoint Now, Effects &Out) {
  for (const std::string &Key : earlierLivesOf(Cell, On))
    workerEnded(Cell, Key, Now, Out, WorkerEnd::Replaced);
}

void stopIncompleteGangs(CellState &Cell, Worker &On, TimePoint Now, Effects &Out) {
  for (const RunKey &Run : std::exchange(On.CarriedOut, {})) {
    const StepState *Step = findStep(Cell, Run.Task.Step);
    if (Step && Step->Spec->Gang && Step->BookedTasks < Step->OpenTasks)
      stopAttempt(Cell, On, Run, "its gang lost members as the worker restarted", Now, Out);
  }
}

} // namespace valveshelf::sched
