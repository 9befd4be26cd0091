// SPDX-License-Identifier: Apache-2.0
// Remembers runs that were unbooked without an end for a while, to be compared with reports.
#include "scheduler/unbooked.h"

namespace valveshelf::sched {

namespace {
Milliseconds since(TimePoint Then, TimePoint Now) {
  return Then == TimePoint{} ? Milliseconds(0)
                             : std::chrono::duration_cast<Milliseconds>(Now - Then);
}

void forgetOld(UnbookedRuns &Known, TimePoint Now) {
  while (!Known.ByAge.empty() && (Now - Known.ByAge.front().first > UnbookedRetention ||
                                  Known.ByAge.size() > MaxUnbookedRuns)) {
    const auto &[At, Key] = Known.ByAge.front();
    if (const auto Found = Known.Runs.find(Key);
        Found != Known.Runs.end() && Found->second.At == At)
      Known.Runs.erase(Found);
    Known.ByAge.pop_front();
  }
}

void noteNamed(UnbookedRuns &Known, const std::string &Worker, const RunKey &Run,
               std::string_view As, TimePoint Now, Effects &Out) {
  const auto Found = Known.Runs.find({Worker, Run});
  if (Found == Known.Runs.end())
    return;
  Out.ContradictedRuns.push_back(
      {Run, Worker, Found->second.Why, As, since(Found->second.At, Now)});
  Known.Runs.erase(Found);
}
} // namespace

void noteUnbooked(CellState &Cell, const Worker &On, const RunKey &Run, std::string_view Why,
                  TimePoint Now, Effects &Out) {
  const auto Found = On.Attempts.find(Run);
  if (Found == On.Attempts.end() || Found->second.Phase == AttemptPhase::Planned)
    return;
  const Attempt &Entry = Found->second;
  Out.UnbookedRuns.push_back({Run, On.Info.Id, Why, Entry.Sends, Entry.WasRepeated, Entry.Token,
                              fencingToken(Cell, On), since(On.ReportAskedAt, Now)});
  const UnbookedRuns::Key Key{On.Info.Id, Run};
  Cell.Unbooked.Runs[Key] = {Now, Why};
  Cell.Unbooked.ByAge.emplace_back(Now, Key);
  forgetOld(Cell.Unbooked, Now);
}

void noteContradictions(CellState &Cell, const Worker &On, const WorkerReport &Report,
                        TimePoint Now, Effects &Out) {
  forgetOld(Cell.Unbooked, Now);
  if (Cell.Unbooked.Runs.empty())
    return;
  for (const ActiveRun &Row : Report.Active)
    if (!On.Attempts.count(Row.Run))
      noteNamed(Cell.Unbooked, On.Info.Id, Row.Run, "active", Now, Out);
  for (const EndedRun &End : Report.Ended)
    if (End.Number > On.LastEndNumber && End.Outcome != RunOutcome::LeaseExpired &&
        !On.Attempts.count(End.Run))
      noteNamed(Cell.Unbooked, On.Info.Id, End.Run, toString(End.Outcome), Now, Out);
}

} // namespace valveshelf::sched
