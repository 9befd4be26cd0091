// SPDX-License-Identifier: Apache-2.0
// The player of decision sessions.
#include "session/player.h"

#include "valveshelf/events.h"
#include "valveshelf/shard_decisions.h"

#include <sstream>

namespace valveshelf::sessions {
namespace {

constexpr uint32_t ThisShard = 1;
constexpr uint32_t HomeShard = 7;

class Player {
public:
  std::string play(const std::string &Script) {
    State.Id = ThisShard;
    std::istringstream Lines(Script);
    std::string Line;
    while (std::getline(Lines, Line)) {
      Out << (Line.empty() || Line[0] == '#' ? "" : "> ") << Line << "\n";
      if (!Line.empty() && Line[0] != '#')
        command(Line);
    }
    return Out.str();
  }

private:
  void command(const std::string &Line) {
    std::istringstream Words(Line);
    std::vector<std::string> Args;
    for (std::string Word; Words >> Word;)
      Args.push_back(Word);
    const std::string Name = Args[0];
    Args.erase(Args.begin());
    if (Name == "worker")
      worker(Args);
    else if (Name == "lend")
      lend(Args);
    else if (Name == "place")
      place(Args);
    else if (Name == "answer")
      answer(Args);
    else if (Name == "list")
      list(Args);
    else if (Name == "silent")
      take(onWorkerCallFailed(State, Args.at(0), Args.size() > 1, Limits));
    else if (Name == "gone")
      gone(Args.at(0));
    else if (Name == "cancel")
      take(onCancelTasks(State, {key(Args.at(0))}, wall()));
    else if (Name == "drop")
      take(dropTasks(State, {key(Args.at(0))}, Now));
    else if (Name == "advance")
      Now += Milliseconds(std::stoll(Args.at(0)));
    else if (Name == "tick")
      take(onTick(
          State, Limits, [](const JobSpec &) { return false; }, Now, wall()));
    else if (Name == "takeover")
      takeover(Args.at(0) == "gone");
    else if (Name == "predecessor-gone")
      onPredecessorGone(State, Limits, Now);
    else if (Name == "show")
      show();
    else
      Out << "  there is no command " << Name << "\n";
  }

  // `place store-down quota=CORES elsewhere=CORES`
  void place(const std::vector<std::string> &Args) {
    bool StoreUp = true;
    Resources Elsewhere;
    for (const std::string &Word : Args) {
      StoreUp = StoreUp && Word != "store-down";
      if (Word.starts_with("quota="))
        Config.Partners["olano"].TeamQuotas["build"].Limit.MilliCores = std::stoll(Word.substr(6));
      if (Word.starts_with("elsewhere="))
        Elsewhere.MilliCores = std::stoll(Word.substr(10));
    }
    const auto Used = [&](const std::string &) { return Elsewhere; };
    take(placeQueued(State, Config, StoreUp, Used, Limits, Now, wall()));
  }

  WallTime wall() const {
    return WallTime(std::chrono::duration_cast<Milliseconds>(Now.time_since_epoch()));
  }

  static TaskKey key(const std::string &Text) {
    const auto Slash = Text.rfind('/');
    return {Text.substr(0, Slash), static_cast<uint32_t>(std::stoul(Text.substr(Slash + 1)))};
  }

  void worker(const std::vector<std::string> &Args) {
    BoxInfo Box;
    Box.Name = Args.at(0);
    Box.Capacity = {std::stoll(Args.at(1)), std::stoll(Args.at(2)),
                    Args.size() > 3 ? std::stoll(Args[3]) : 0};
    Boxes.push_back(Box);
    take(onBoxList(State, Boxes, Now, wall()));
    list({Box.Name});
  }

  void gone(const std::string &Name) {
    std::erase_if(Boxes, [&](const BoxInfo &Box) { return Box.Name == Name; });
    take(onBoxList(State, Boxes, Now, wall()));
  }

  void lend(const std::vector<std::string> &Args) {
    wire::LendRequest Request;
    Request.set_home(HomeShard);
    JobSpec Spec;
    Spec.Id = Args.at(0);
    Spec.Partner = "olano";
    Spec.Team = "build";
    Spec.Accepted = wall();
    uint32_t Attempt = 1;
    for (size_t I = 1; I < Args.size(); ++I) {
      const std::string &Word = Args[I];
      if (Word == "once")
        Spec.Repeatable = false;
      else if (Word.starts_with("cores="))
        Spec.Size.MilliCores = std::stoll(Word.substr(6));
      else if (Word.starts_with("mb="))
        Spec.Size.MemoryMb = std::stoll(Word.substr(3));
      else if (Word.starts_with("acc="))
        Spec.Size.Accelerators = std::stoll(Word.substr(4));
      else if (Word.starts_with("class="))
        Spec.Class = parseClass(Word.substr(6)).value_or(JobClass::Batch);
      else if (Word.starts_with("attempt="))
        Attempt = static_cast<uint32_t>(std::stoul(Word.substr(8)));
      else
        Request.add_index(static_cast<uint32_t>(std::stoul(Word)));
    }
    for (int I = 0; I < Request.index_size(); ++I)
      Request.add_next_attempt(Attempt);
    Spec.Count = 100;
    *Request.mutable_spec() = specToWire(Spec);
    take(adoptTasks(State, Request, Now));
  }

  void answer(const std::vector<std::string> &Args) {
    const TaskKey Key = key(Args.at(0));
    const std::string &What = Args.at(1);
    const StartAnswer Answer = What == "accepted"   ? StartAnswer::Accepted
                               : What == "not-sent" ? StartAnswer::NotSent
                                                    : StartAnswer::Unanswered;
    take(onStartAnswer(State, Key, State.AssignedTasks.at(Key).Attempt, Answer, Limits, Now));
  }

  void list(const std::vector<std::string> &Args) {
    WorkerReport Report;
    Report.Incarnation = Incarnations.emplace(Args.at(0), "1").first->second;
    TimePoint AskedAt = Now;
    for (size_t I = 1; I < Args.size(); ++I) {
      if (Args[I] == "restarted") {
        Report.Incarnation = Incarnations[Args[0]] += "'";
        continue;
      }
      if (Args[I].starts_with("asked=")) {
        AskedAt = Now - Milliseconds(std::stoll(Args[I].substr(6)));
        continue;
      }
      const auto Equals = Args[I].find('=');
      TaskReport Task;
      Task.Id = Args[I].substr(0, Equals);
      const std::string What = Args[I].substr(Equals + 1);
      Task.Status = What == "running"     ? TaskReport::State::Running
                    : What == "succeeded" ? TaskReport::State::Succeeded
                    : What == "failed"    ? TaskReport::State::Failed
                                          : TaskReport::State::Stopped;
      const auto Id = parseWorkerTaskId(Task.Id);
      const auto Part = Id ? State.AssignedTasks.find(Id->first) : State.AssignedTasks.end();
      Task.Size =
          Part == State.AssignedTasks.end() ? Resources{1000, 512, 0} : Part->second.Spec->Size;
      Report.Tasks.push_back(Task);
    }
    take(onWorkerReport(State, Args[0], Report, true, Limits, AskedAt, Now, wall()));
  }

  void takeover(bool Gone) {
    ShardState Next;
    Next.Id = ThisShard;
    for (const wire::Record &Record : Journal)
      applyRecord(Next, Record, Now);
    State = std::move(Next);
    markTakenOver(State, Gone, Limits, Now);
    take(onBoxList(State, Boxes, Now, wall()));
    Out << "  a successor replayed " << Journal.size() << " records\n";
  }

  // Writes a decision down and keeps its records, as the journal would.
  void take(const Decision &What) {
    for (const wire::Record &Record : What.Records) {
      Journal.push_back(Record);
      Out << "  record  " << Record.ShortDebugString() << "\n";
    }
    for (const StartEffect &Start : What.Starts)
      Out << "  start   " << workerTaskId(Start.Key, Start.Attempt) << " on " << Start.Worker
          << "\n";
    for (const ControlEffect &Control : What.Controls)
      Out << "  " << (Control.Kind == ControlEffect::Action::Stop ? "stop    " : "throttle ")
          << Control.TaskId << " on " << Control.Worker << "\n";
    for (const ForgetEffect &Forget : What.Forgets)
      Out << "  forget  " << Forget.TaskId << " on " << Forget.Worker << "\n";
    for (const Notice &Said : What.Notices)
      Out << "  notice  VS-" << Said.Kind->Number << " " << Said.Kind->Name << " " << Said.Subject
          << ": " << Said.Detail << "\n";
  }

  void show() {
    for (const auto &[Name, Book] : State.Workers)
      Out << "  book    " << Name << " " << healthName(Book->Health) << " booked "
          << Book->Booked.MilliCores << "/" << Book->Box.Capacity.MilliCores << " cores "
          << Book->Booked.MemoryMb << "/" << Book->Box.Capacity.MemoryMb << " MB\n";
    for (const auto &[Key, Task] : State.AssignedTasks)
      Out << "  part    " << toString(Key) << " " << phaseName(Task.Phase) << " attempt "
          << Task.Attempt << (Task.Worker.empty() ? "" : " on " + Task.Worker)
          << (Task.Outcome == TaskOutcome::None ? "" : " ")
          << (Task.Outcome == TaskOutcome::None ? "" : outcomeName(Task.Outcome)) << "\n";
  }

  ShardState State;
  CellConfig Config;
  DecisionLimits Limits;
  BoxList Boxes;
  std::vector<wire::Record> Journal;
  std::map<std::string, std::string> Incarnations;
  TimePoint Now{std::chrono::seconds(1000)};
  std::ostringstream Out;
};

} // namespace

std::string play(const std::string &Script) { return Player().play(Script); }

} // namespace valveshelf::sessions
