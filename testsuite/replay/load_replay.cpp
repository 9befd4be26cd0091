// SPDX-License-Identifier: Apache-2.0
// The simulated workers, advice service and store, and the event loop.
#include "replay/load_replay.h"

#include <algorithm>

namespace valveshelf::sched {
namespace {
// As in the scheduler process: one placement pass for events that arrive together.
constexpr Milliseconds PassDelay{2};
constexpr Milliseconds TickInterval{50};
} // namespace

LoadReplay::LoadReplay(ReplaySetting Given) : Setting(Given) {
  Cell.WallAt = Now;
  Cell.AdviceConcurrency = Setting.Lanes;
  Cell.Limits.SpareWorkers = static_cast<uint32_t>(Setting.Workers);
  Effects Out;
  finishLoading(Cell, Now, Out);
  applyFeatures(Cell, Setting.InForce);
  std::vector<ReplayWorkers> Groups = Setting.Groups;
  if (Groups.empty())
    Groups.push_back({"pool", Setting.Workers, Setting.WorkerSize});
  for (const ReplayWorkers &Group : Groups)
    for (int I = 0; I < Group.Count; ++I)
      addWorker(Group);
}

void LoadReplay::addWorker(const ReplayWorkers &Group) {
  WorkerInfo Info;
  Info.Id = "worker-" + std::to_string(1000 + Cell.Workers.size());
  Info.Service = Group.Service;
  Info.Capacity = Group.Size;
  workerListed(Cell, Info, Now);
  Cell.Workers.at(Info.Id).IsRecorded = Cell.Workers.at(Info.Id).IsSelected = true;
  Effects Out;
  workerReported(Cell, Info.Id, {}, Now, Now, Out);
}

void LoadReplay::after(Milliseconds Time, std::function<void()> What) {
  Events.emplace(std::pair(Now + Time, ++LastEvent), std::move(What));
}

void LoadReplay::submit(Milliseconds At, const std::string &Name, const ReplayKind &Kind) {
  const JobId Id = ++LastJob;
  Kinds[Id] = Kind;
  Results[Id].Kind = Name;
  Events.emplace(std::pair(ReplayStart + At, ++LastEvent), [this, Id] {
    const ReplayKind &Of = Kinds.at(Id);
    auto Spec = std::make_shared<JobSpec>();
    Spec->Id = Id;
    Spec->Queue = Results.at(Id).Kind;
    Spec->Service = Of.Service;
    Spec->Organisation = Of.Organisation;
    Spec->Priority = Of.Priority;
    Spec->MaxAttempts = 3;
    Spec->CriticalPathFactor = Of.CriticalPathFactor;
    Spec->ObjectiveSlack = Of.Target;
    Spec->AcceptedAt =
        Cell.Wall + std::chrono::duration_cast<WallTime::duration>(Now - Cell.WallAt);
    if (Of.AdviceBaseTime.count() > 0)
      Spec->Advice = AdvicePolicy{Of.AdviceBaseTime,
                                  std::chrono::duration<double, std::milli>(Of.AdvicePerWorkerMs),
                                  Setting.TicketLifetime};
    for (uint32_t I = 0; I < Of.Steps; ++I) {
      Spec->Steps.push_back(Of.Step);
      if (I > 0)
        Spec->Steps.back().DependsOn = {I - 1};
    }
    addJob(Cell, Spec, ++Revision, true, Now);
    Results.at(Id).SubmittedAt = Now;
    Results.at(Id).Objective = Cell.Jobs.at(Id).Objective;
    if (Of.Work.count() > 0)
      Results.at(Id).Objective =
          Now + Of.Target +
          std::chrono::duration_cast<Milliseconds>(Of.Work * Of.Steps * Of.CriticalPathFactor);
    placeSoon();
  });
}

std::vector<std::string> LoadReplay::shuffledWorkers() const {
  std::mt19937_64 Random(Setting.Seed);
  std::vector<std::string> Ids;
  for (const auto &[Id, On] : Cell.Workers)
    Ids.push_back(Id);
  std::shuffle(Ids.begin(), Ids.end(), Random);
  return Ids;
}

void LoadReplay::setSpeeds(double Share, double Slow, double Other) {
  const std::vector<std::string> Ids = shuffledWorkers();
  const auto Count = static_cast<size_t>(Share * static_cast<double>(Ids.size()));
  for (size_t I = 0; I < Ids.size(); ++I)
    Speeds[Ids[I]] = I < Count ? Slow : Other;
}

// How long a task runs on the worker. \p Saved: its work that was saved before.
Milliseconds LoadReplay::timeOn(const ReplayKind &Kind, const std::string &Worker,
                                Milliseconds Saved) const {
  const auto Found = Speeds.find(Worker);
  const Milliseconds Work = Kind.Work.count() > 0 ? Kind.Work : Kind.Step.Estimate;
  return std::chrono::duration_cast<Milliseconds>((Work - Saved) /
                                                  (Found == Speeds.end() ? 1.0 : Found->second));
}

void LoadReplay::makeFaulty(Milliseconds At, Milliseconds Until, int Count) {
  const std::vector<std::string> Ids = shuffledWorkers();
  for (int I = 0; I < Count; ++I)
    FaultyPeriods[Ids[static_cast<size_t>(I)]] = {ReplayStart + At, ReplayStart + Until};
}

bool LoadReplay::isFaulty(const std::string &Worker) const {
  const auto Found = FaultyPeriods.find(Worker);
  return Found != FaultyPeriods.end() && Now >= Found->second.first && Now < Found->second.second;
}

void LoadReplay::runUntil(Milliseconds At) {
  for (Milliseconds T{0}; T < At; T += TickInterval)
    Events.emplace(std::pair(ReplayStart + T, ++LastEvent), [this] {
      Effects Out;
      tick(Cell, Now, WallTime(std::chrono::duration_cast<Milliseconds>(Now.time_since_epoch())),
           Out);
      apply(Out);
    });
  while (!Events.empty() && Events.begin()->first.first <= ReplayStart + At) {
    auto Next = Events.extract(Events.begin());
    Now = Next.key().first;
    Next.mapped()();
    saveAll();
  }
}

void LoadReplay::placeSoon() {
  if (PassScheduled)
    return;
  PassScheduled = true;
  after(PassDelay, [this] {
    Effects Out;
    place(Cell, Now, Out);
    apply(Out);
    PassScheduled = false;
  });
}

void LoadReplay::apply(Effects &Out) {
  for (const Effects::Start &Order : Out.Starts)
    after(Setting.OrderLatency, [this, Order] { startRun(Order); });
  for (const Effects::Stop &Order : Out.Stops) {
    ++Results.at(Order.Run.Task.Step.Job).Stops;
    after(Setting.OrderLatency, [this, Order] {
      Effects Then;
      stopAnswered(Cell, Order.Worker, Order.Run, true, Now, Then);
      after(Cell.Limits.StopTime, [this, Key = Order.Run] { endRun(Key, RunOutcome::Stopped); });
    });
  }
  ForecastErrors.insert(ForecastErrors.end(), Out.ForecastErrors.begin(), Out.ForecastErrors.end());
  for (Effects::AdviceRequest &Question : Out.AdviceRequests)
    Questions.emplace_back(
        std::tuple(Question.IsLate, !Question.IsFirst, Question.Priority, Question.HasNotBegun),
        std::move(Question));
  dispatchQuestions();
  placeSoon();
}

// The same for a run in each replay, whatever else happens there.
static double longRunFactor(const ReplayKind &Kind, const RunKey &Run) {
  std::mt19937_64 Random(std::hash<std::string>()(toString(Run.Task)) + Run.Run);
  return std::uniform_real_distribution<>(0, 1)(Random) < Kind.LongRunShare ? Kind.LongRunFactor
                                                                            : 1;
}

void LoadReplay::startRun(const Effects::Start &Order) {
  Effects Out;
  startAnswered(Cell, Order.Worker, Order.Run, StartResult::Started, Now, Out);
  apply(Out);
  const StepKey &Step = Order.Run.Task.Step;
  ReplayedJob &Of = Results.at(Step.Job);
  if (Of.FirstStart == TimePoint{})
    Of.FirstStart = Now;
  Runs[Order.Run].Worker = Order.Worker;
  const ReplayKind &Kind = Kinds.at(Step.Job);
  const StepSpec &Spec = Kind.Step;
  if (const auto Found = Speeds.find(Order.Worker); Found != Speeds.end())
    Runs[Order.Run].Speed = Found->second;
  if (isFaulty(Order.Worker))
    return beginWork(Order.Run, Setting.FaultyRunTime, RunOutcome::Failed);
  if (!Spec.Gang)
    return beginWork(
        Order.Run,
        std::chrono::duration_cast<Milliseconds>(
            timeOn(Kind, Order.Worker, SavedWork[Order.Run.Task]) * longRunFactor(Kind, Order.Run)),
        RunOutcome::Done);
  auto &Members = StartedMembers[{Step, Order.Run.Run}];
  Members.insert(Order.Run.Task.Index);
  for (uint32_t I = 0; Members.size() == Spec.Count && I < Spec.Count; ++I)
    beginWork({{Step, I}, Order.Run.Run}, timeOn(Kind, Order.Worker, Milliseconds(0)),
              RunOutcome::Done);
}

void LoadReplay::beginWork(const RunKey &Key, Milliseconds Time, RunOutcome How) {
  const auto Found = Runs.find(Key);
  if (Found == Runs.end())
    return; // its gang was broken meanwhile
  Found->second.WorkStartedAt = Now;
  Found->second.TotalTime = Time;
  after(Time, [this, Key, How] { endRun(Key, How); });
}

WorkerReport LoadReplay::reportOf(const std::string &Worker, const RunKey &Ended, RunOutcome How) {
  WorkerReport Report;
  Report.Ended.push_back({++LastEndNumbers[Worker], Ended, How, ""});
  for (const auto &[Key, At] : Runs) {
    if (At.Worker != Worker)
      continue;
    const bool Works = At.WorkStartedAt != TimePoint{} && At.TotalTime.count() > 0;
    const auto Percent = Works ? 100 * (Now - At.WorkStartedAt) / At.TotalTime : 0;
    Report.Active.push_back({Key, "", static_cast<int>(Percent)});
  }
  return Report;
}

// A gang member that ends without being done breaks the other members of its run.
void LoadReplay::endRun(const RunKey &Key, RunOutcome How) {
  const auto Found = Runs.find(Key);
  if (Found == Runs.end())
    return; // it was stopped or broken before
  const Run Was = Found->second;
  Runs.erase(Found);
  const StepKey &Step = Key.Task.Step;
  const StepSpec &Spec = Kinds.at(Step.Job).Step;
  Results.at(Step.Job).Failures += How == RunOutcome::Failed ? 1 : 0;
  if (How == RunOutcome::Stopped && Spec.Checkpointable)
    SavedWork[Key.Task] +=
        std::chrono::duration_cast<Milliseconds>((Now - Was.WorkStartedAt) * Was.Speed);
  Effects Out;
  workerReported(Cell, Was.Worker, reportOf(Was.Worker, Key, How), Now, Now, Out);
  apply(Out);
  if (!Spec.Gang || How == RunOutcome::Done)
    return;
  for (const auto &[Other, At] : Runs)
    if (Other.Task.Step == Step && Other.Run == Key.Run)
      after(Setting.OrderLatency,
            [this, Broken = Other] { endRun(Broken, RunOutcome::GangBroken); });
}

// As `AdviceLanes`: a request of the service that uses the fewest lanes, of these first questions
// before others, then the most urgent, then the oldest.
void LoadReplay::dispatchQuestions() {
  while (LanesInUse + Setting.DeadLanes < Setting.Lanes && !Questions.empty()) {
    const auto Next =
        std::min_element(Questions.begin(), Questions.end(), [this](const auto &A, const auto &B) {
          return std::pair(LanesOfService[A.second.Service], A.first) <
                 std::pair(LanesOfService[B.second.Service], B.first);
        });
    const Effects::AdviceRequest Question = std::move(Next->second);
    Questions.erase(Next);
    ++LanesInUse;
    ++LanesOfService[Question.Service];
    ReplayedJob &Of = Results.at(Question.Step.Job);
    ++Of.Questions;
    Of.WorkersNamed += static_cast<uint32_t>(Question.Workers.size());
    after(Question.ExpectedTime, [this, Question] { answer(Question); });
  }
}

void LoadReplay::answer(const Effects::AdviceRequest &Question) {
  --LanesInUse;
  --LanesOfService[Question.Service];
  const double Share = Kinds.at(Question.Step.Job).EligibleShare;
  std::vector<std::pair<std::string, std::string>> Good;
  for (const std::string &Id : Question.Workers) {
    const size_t Draw = std::hash<std::string>()(toString(Question.Step) + Id) % 1000;
    if (static_cast<double>(Draw) < Share * 1000)
      Good.emplace_back(Id, "ticket");
  }
  if (const StepState *Step = findStep(Cell, Question.Step);
      Step && Step->Advice.AnsweredSlots.empty())
    Results.at(Question.Step.Job)
        .FirstAnswerDelays.push_back(
            std::chrono::duration_cast<Milliseconds>(Now - Step->RunnableSince));
  adviceAnswered(Cell, Question.Step, Question.Workers, Good, Setting.TicketLifetime, Now);
  dispatchQuestions();
  placeSoon();
}

// The store confirms each save at once.
void LoadReplay::saveAll() {
  while (!Cell.PendingSaves.empty()) {
    const auto [Number, Id] = *Cell.PendingSaves.begin();
    const auto Found = Cell.Jobs.find(Id);
    const JobPhase Phase = Found == Cell.Jobs.end() ? JobPhase::Live : Found->second.Phase;
    const uint64_t Needs = Found == Cell.Jobs.end() ? Number : Found->second.PendingSave;
    ++Revision;
    jobSaved(Cell, Id, std::max(Number, Needs), Revision, Revision, Cell.Wall);
    if (Phase == JobPhase::Live)
      continue;
    Results.at(Id).Ended = Now;
    Results.at(Id).Phase = Phase;
  }
}

std::vector<ReplayedJob> LoadReplay::jobs(const std::string &Kind) const {
  std::vector<ReplayedJob> Found;
  for (const auto &[Id, Of] : Results)
    if (Of.Kind == Kind)
      Found.push_back(Of);
  return Found;
}

Milliseconds quantile(std::vector<Milliseconds> Values, double Fraction) {
  if (Values.empty())
    return Milliseconds(0);
  std::sort(Values.begin(), Values.end());
  const auto Place = static_cast<size_t>(Fraction * static_cast<double>(Values.size() - 1));
  return Values[Place];
}

std::vector<Milliseconds> startDelays(const std::vector<ReplayedJob> &Jobs) {
  std::vector<Milliseconds> Found;
  for (const ReplayedJob &Of : Jobs)
    if (Of.FirstStart != TimePoint{})
      Found.push_back(std::chrono::duration_cast<Milliseconds>(Of.FirstStart - Of.SubmittedAt));
  return Found;
}

std::vector<Milliseconds> firstAnswerDelays(const std::vector<ReplayedJob> &Jobs) {
  std::vector<Milliseconds> Found;
  for (const ReplayedJob &Of : Jobs)
    Found.insert(Found.end(), Of.FirstAnswerDelays.begin(), Of.FirstAnswerDelays.end());
  return Found;
}

size_t countInTime(const std::vector<ReplayedJob> &Jobs) {
  return static_cast<size_t>(std::count_if(Jobs.begin(), Jobs.end(), [](const ReplayedJob &Of) {
    return Of.Phase == JobPhase::Completed && Of.Ended <= Of.Objective;
  }));
}

} // namespace valveshelf::sched
