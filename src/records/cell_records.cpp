// SPDX-License-Identifier: Apache-2.0
// Encoding and decoding of the cell's records in the store, as protobuf messages (cell.proto).
#include "valveshelf/cell_records.h"

#include "cell.pb.h"

namespace valveshelf::sched {
namespace {

Error unreadable(const std::string &What) {
  return {ErrorKind::Internal, "can't decode a record of the store: " + What};
}

WallTime wallTime(int64_t Millis) { return WallTime(Milliseconds(Millis)); }

Result<Endpoint> readEndpoint(const std::string &Text) { return parseEndpoint(Text); }

void writeResources(const Resources &From, cell::SizeRecord &To) {
  To.set_milli_cores(From.MilliCores);
  To.set_memory_mb(From.MemoryMb);
  To.set_accelerators(From.Accelerators);
}

Resources readResources(const cell::SizeRecord &From) {
  return {From.milli_cores(), From.memory_mb(), From.accelerators()};
}

void writeStep(const StepSpec &From, cell::StepRecord &To) {
  To.set_count(From.Count);
  writeResources(From.Need, *To.mutable_need());
  To.set_estimate_ms(From.Estimate.count());
  for (const uint32_t Earlier : From.DependsOn)
    To.add_after(Earlier);
  To.set_checkpoints(From.Checkpointable);
  To.set_gang(From.Gang);
  To.set_same_rack(From.SameRack);
  To.set_required_label(From.RequiredLabel);
  To.set_near_rack(From.PreferredRack);
  To.set_most_per_worker(From.MaxPerWorker);
  To.set_speculative(From.Speculative);
  To.set_lasting(From.LongRunning);
  To.set_fills(From.BestEffort);
  To.set_image(From.Image);
  To.set_target_tail_ms(From.TailLatencyTarget.count());
  To.set_may_miss(From.MaxUnavailable);
}

StepSpec readStep(const cell::StepRecord &From) {
  StepSpec Step;
  Step.Count = From.count();
  Step.Need = readResources(From.need());
  Step.Estimate = Milliseconds(From.estimate_ms());
  Step.DependsOn.assign(From.after().begin(), From.after().end());
  Step.Checkpointable = From.checkpoints();
  Step.Gang = From.gang();
  Step.SameRack = From.same_rack();
  Step.RequiredLabel = From.required_label();
  Step.PreferredRack = From.near_rack();
  Step.MaxPerWorker = From.most_per_worker();
  Step.Speculative = From.speculative();
  Step.LongRunning = From.lasting();
  Step.BestEffort = From.fills();
  Step.Image = From.image();
  Step.TailLatencyTarget = Milliseconds(From.target_tail_ms());
  Step.MaxUnavailable = From.may_miss();
  return Step;
}

cell::JobPhase phaseToRecord(JobPhase Phase) { return static_cast<cell::JobPhase>(Phase); }

// Stands for a worker whose id an earlier version did not save. No real worker has this id.
std::string placeholderWorkerId(size_t Number) { return "?" + std::to_string(Number); }

// Adds a note for the task if it has failed runs, a checkpoint or crashes to save.
void writeTaskNote(const StepState &Step, uint32_t Index, cell::StepProgress &To) {
  const TaskState &Task = Step.Tasks[Index];
  const bool First = Index == 0;
  const std::set<uint32_t> &Failures =
      Step.Spec->Gang && First ? Step.GangFailures : Task.FailedRuns;
  const bool HasCheckpoint = !Task.Done && !Task.Checkpoint.empty();
  const bool HasCrashes =
      !Task.Done && (Task.StartupCrashes > 0 || Task.WeightedCrashes > 0 ||
                     !Task.PendingStartWorker.empty() || Task.HasRecordedStarts);
  if (Failures.empty() && !HasCheckpoint && !HasCrashes && Task.LastEndedRun == 0)
    return;
  cell::TaskNote &Note = *To.add_note();
  Note.set_index(Index);
  for (const uint32_t Run : Failures)
    Note.add_failed_run(Run);
  Note.set_last_run(Task.LastEndedRun);
  if (HasCheckpoint)
    Note.set_checkpoint(Task.Checkpoint);
  if (HasCrashes) {
    Note.set_crashes(Task.StartupCrashes);
    Note.set_doubts(static_cast<uint32_t>(Task.SuspectWorkers.size()));
    for (const std::string &Worker : Task.SuspectWorkers)
      Note.add_doubted(Worker);
    for (const std::string &Worker : Task.WitnessedSuspects)
      Note.add_witnessed(Worker);
    for (const std::string &Worker : Task.AcceptedSuspects)
      Note.add_accepted(Worker);
    for (const std::string &Worker : Task.VanishedWorkers)
      Note.add_vanished(Worker);
    Note.set_may_begin(!Task.PendingStartWorker.empty());
    Note.set_trial_on(Task.PendingStartWorker);
    Note.set_begins(Task.HasRecordedStarts);
    Note.set_losses(Task.WeightedCrashes);
  }
}

// One bit a task, as `readBit` reads it.
template <class Predicate> std::string taskBits(const StepState &Step, Predicate Holds) {
  std::string Bits((Step.Tasks.size() + 7) / 8, '\0');
  for (uint32_t I = 0; I < Step.Tasks.size(); ++I)
    if (Holds(Step.Tasks[I]))
      Bits[I / 8] = static_cast<char>(static_cast<unsigned char>(Bits[I / 8]) | (1U << (I % 8)));
  return Bits;
}

bool readBit(const std::string &Bits, size_t Index) {
  return static_cast<unsigned char>(Bits[Index / 8]) & (1U << (Index % 8));
}

void writeStepProgress(const StepState &Step, cell::ProgressRecord &To) {
  cell::StepProgress Record;
  Record.set_round(Step.Key.Round);
  Record.set_step(Step.Key.Step);
  for (uint32_t I = 0; I < Step.Tasks.size(); ++I)
    writeTaskNote(Step, I, Record);
  const bool HasEndedDone = std::any_of(Step.Tasks.begin(), Step.Tasks.end(),
                                        [](const TaskState &Task) { return Task.HasEndedDone; });
  if (Step.OpenTasks == Step.Tasks.size() && Record.note_size() == 0 && !HasEndedDone)
    return;
  Record.set_done(taskBits(Step, [](const TaskState &Task) { return Task.Done; }));
  if (HasEndedDone)
    Record.set_ended_done(taskBits(Step, [](const TaskState &Task) { return Task.HasEndedDone; }));
  To.mutable_steps()->Add(std::move(Record));
}

std::vector<SavedTask> readStepProgress(const cell::StepProgress &From) {
  std::map<uint32_t, SavedTask> Tasks;
  for (uint32_t I = 0; I < From.done().size() * 8; ++I)
    if (readBit(From.done(), I))
      Tasks[I].Done = true;
  for (uint32_t I = 0; I < From.ended_done().size() * 8; ++I)
    if (readBit(From.ended_done(), I))
      Tasks[I].HasEndedDone = true;
  for (const cell::TaskNote &Note : From.note()) {
    SavedTask &Task = Tasks[Note.index()];
    Task.FailedRuns.assign(Note.failed_run().begin(), Note.failed_run().end());
    Task.LastEndedRun = Note.last_run();
    Task.Checkpoint = Note.checkpoint();
    Task.StartupCrashes = Note.crashes();
    Task.SuspectWorkers.assign(Note.doubted().begin(), Note.doubted().end());
    while (Task.SuspectWorkers.size() < Note.doubts())
      Task.SuspectWorkers.push_back(placeholderWorkerId(Task.SuspectWorkers.size()));
    Task.WitnessedSuspects.assign(Note.witnessed().begin(), Note.witnessed().end());
    Task.AcceptedSuspects.assign(Note.accepted().begin(), Note.accepted().end());
    Task.VanishedWorkers.assign(Note.vanished().begin(), Note.vanished().end());
    const bool IsUnnamed = Note.may_begin() && Note.trial_on().empty();
    Task.PendingStartWorker =
        IsUnnamed ? placeholderWorkerId(Task.SuspectWorkers.size()) : Note.trial_on();
    Task.HasRecordedStarts = Note.begins();
    Task.WeightedCrashes = Note.losses();
  }
  std::vector<SavedTask> Decoded;
  for (auto &[Index, Task] : Tasks) {
    Task.Index = Index;
    Decoded.push_back(std::move(Task));
  }
  return Decoded;
}
} // namespace

std::string keySuffix(const std::string &Key, std::string_view Prefix) {
  return Key.substr(Prefix.size());
}

std::string jobKey(JobId Id) { return std::string(JobPrefix) + jobIdText(Id); }
std::string cancelKey(JobId Id) { return std::string(CancelPrefix) + jobIdText(Id); }
std::string refusalKey(JobId Id) { return std::string(RefusalPrefix) + jobIdText(Id); }
std::string revocationKey(const std::string &Member, int64_t WrittenAt, uint64_t Number) {
  return std::string(RevocationPrefix) + Member + "/" + std::to_string(WrittenAt) + "-" +
         std::to_string(Number);
}
std::string progressKey(JobId Id) { return std::string(ProgressPrefix) + jobIdText(Id); }
std::string workerKey(const std::string &Id) { return std::string(WorkerRecordPrefix) + Id; }
std::string memberKey(const std::string &Name) { return std::string(MemberPrefix) + Name; }

std::optional<JobId> jobIdFromKey(std::string_view Key, std::string_view Prefix) {
  if (!Key.starts_with(Prefix))
    return std::nullopt;
  return parseJobId(Key.substr(Prefix.size()));
}

std::string encodeJob(const JobSpec &Spec) {
  cell::JobRecord Record;
  Record.set_id(Spec.Id);
  Record.set_queue(Spec.Queue);
  Record.set_service(Spec.Service);
  Record.set_config_version(Spec.ConfigVersion);
  Record.set_priority(Spec.Priority);
  Record.set_max_attempts(Spec.MaxAttempts);
  Record.set_extension(Spec.CriticalPathFactor);
  Record.set_target_ms(Spec.ObjectiveSlack.count());
  if (Spec.Advice) {
    Record.mutable_advice()->set_decide_ms(Spec.Advice->BaseLatency.count());
    Record.mutable_advice()->set_each_worker_ms(Spec.Advice->LatencyPerWorker.count());
    Record.mutable_advice()->set_valid_ms(Spec.Advice->TicketLifetime.count());
  }
  Record.set_payload(Spec.Payload);
  for (const StepSpec &Step : Spec.Steps)
    writeStep(Step, *Record.add_steps());
  Record.set_repetitions(Spec.Repetitions);
  Record.set_first_due_ms(Spec.FirstDue.time_since_epoch().count());
  Record.set_interval_ms(Spec.Interval.count());
  Record.set_accepted_ms(Spec.AcceptedAt.time_since_epoch().count());
  Record.set_organisation(Spec.Organisation);
  return Record.SerializeAsString();
}

std::string encodeEndedJob(const JobSpec &Spec, JobPhase Phase, WallTime EndedAt) {
  cell::JobRecord Record;
  Record.set_id(Spec.Id);
  Record.set_queue(Spec.Queue);
  Record.set_organisation(Spec.Organisation);
  Record.set_phase(phaseToRecord(Phase));
  Record.set_ended_ms(EndedAt.time_since_epoch().count());
  return Record.SerializeAsString();
}

Result<StoredJob> decodeJob(const std::string &Bytes) {
  cell::JobRecord Record;
  if (!Record.ParseFromString(Bytes))
    return unreadable("job");
  StoredJob Decoded;
  JobSpec &Spec = Decoded.Spec;
  Spec.Id = Record.id();
  Spec.Queue = Record.queue();
  Spec.Service = Record.service();
  Spec.ConfigVersion = Record.config_version();
  Spec.Priority = Record.priority();
  Spec.MaxAttempts = Record.max_attempts();
  Spec.CriticalPathFactor = Record.extension();
  Spec.ObjectiveSlack = Milliseconds(Record.target_ms());
  if (Record.has_advice()) {
    using FractionalMilliseconds = std::chrono::duration<double, std::milli>;
    Spec.Advice = AdvicePolicy{FractionalMilliseconds(Record.advice().decide_ms()),
                               FractionalMilliseconds(Record.advice().each_worker_ms()),
                               Milliseconds(Record.advice().valid_ms())};
  }
  Spec.Payload = Record.payload();
  for (const cell::StepRecord &Step : Record.steps())
    Spec.Steps.push_back(readStep(Step));
  Spec.Repetitions = Record.repetitions();
  Spec.FirstDue = wallTime(Record.first_due_ms());
  Spec.Interval = Milliseconds(Record.interval_ms());
  Spec.AcceptedAt = wallTime(Record.accepted_ms());
  Spec.Organisation = Record.organisation();
  Decoded.Phase = static_cast<JobPhase>(Record.phase());
  Decoded.EndedAt = wallTime(Record.ended_ms());
  return Decoded;
}

std::string encodeProgress(const Job &Of) {
  cell::ProgressRecord Record;
  for (const auto &[Number, Round] : Of.Rounds)
    for (const StepState &Step : Round.Steps)
      writeStepProgress(Step, Record);
  if (Of.Services.Used.size() > 1) {
    Record.set_service(Of.Services.Current);
    Record.set_service_version(Of.Services.Version);
    for (size_t I = 1; I < Of.Services.Used.size(); ++I)
      Record.add_used_service(Of.Services.Used[I].Name);
  }
  return Record.SerializeAsString();
}

Result<SavedProgress> decodeProgress(JobId Id, const std::string &Bytes) {
  cell::ProgressRecord Record;
  if (!Record.ParseFromString(Bytes))
    return unreadable("progress of job " + jobIdText(Id));
  SavedProgress Decoded;
  for (const cell::StepProgress &Step : Record.steps())
    Decoded.Steps.emplace_back(StepKey{Id, Step.round(), Step.step()}, readStepProgress(Step));
  Decoded.Services = {Record.service(),
                      Record.service_version(),
                      {Record.used_service().begin(), Record.used_service().end()}};
  return Decoded;
}

namespace {
cell::MemberRecord memberToRecord(const Member &Value) {
  cell::MemberRecord Record;
  Record.set_name(Value.Name);
  Record.set_peers(toString(Value.Peers));
  Record.set_zone(Value.Zone);
  Record.set_power(Value.Power);
  return Record;
}

Result<Member> memberFromRecord(const cell::MemberRecord &Record) {
  Result<Endpoint> Peers = readEndpoint(Record.peers());
  if (!ok(Peers))
    return error(Peers);
  return Member{Record.name(), value(Peers), Record.zone(), Record.power()};
}
} // namespace

std::string encodeMember(const Member &Value) { return memberToRecord(Value).SerializeAsString(); }

Result<Member> decodeMember(const std::string &Bytes) {
  cell::MemberRecord Record;
  if (!Record.ParseFromString(Bytes))
    return unreadable("member");
  return memberFromRecord(Record);
}

std::string encodeRoster(const Roster &Value) {
  cell::RosterRecord Record;
  for (const Member &One : Value.Members)
    *Record.add_member() = memberToRecord(One);
  Record.set_processes(Value.Processes);
  return Record.SerializeAsString();
}

Result<Roster> decodeRoster(const std::string &Bytes) {
  cell::RosterRecord Record;
  if (!Record.ParseFromString(Bytes))
    return unreadable("roster");
  Roster Decoded;
  Decoded.Processes = Record.processes();
  for (const cell::MemberRecord &One : Record.member()) {
    Result<Member> Member = memberFromRecord(One);
    if (!ok(Member))
      return error(Member);
    Decoded.Members.push_back(std::move(value(Member)));
  }
  return Decoded;
}

std::string encodeLeader(const Leader &Value) {
  cell::LeaderRecord Record;
  Record.set_name(Value.Name);
  Record.set_peers(toString(Value.Peers));
  Record.set_term(Value.Term);
  return Record.SerializeAsString();
}

Result<Leader> decodeLeader(const std::string &Bytes) {
  cell::LeaderRecord Record;
  if (!Record.ParseFromString(Bytes))
    return unreadable("leader");
  Result<Endpoint> Peers = readEndpoint(Record.peers());
  if (!ok(Peers))
    return error(Peers);
  return Leader{Record.name(), value(Peers), Record.term()};
}

std::string encodeRevocations(const std::vector<Revocation> &Revocations) {
  cell::RevocationRecord Record;
  for (const Revocation &One : Revocations) {
    Record.add_job(One.Job);
    Record.add_organisation(One.Organisation);
  }
  return Record.SerializeAsString();
}

Result<std::vector<Revocation>> decodeRevocations(const std::string &Bytes) {
  cell::RevocationRecord Record;
  if (!Record.ParseFromString(Bytes) || Record.job_size() != Record.organisation_size())
    return unreadable("revocations");
  std::vector<Revocation> Decoded;
  Decoded.reserve(static_cast<size_t>(Record.job_size()));
  for (int I = 0; I < Record.job_size(); ++I)
    Decoded.push_back({Record.job(I), Record.organisation(I)});
  return Decoded;
}

std::string encodeLeaseEnds(const LeaseEnds &Value) {
  cell::LeaseEndsRecord Record;
  Record.set_term(Value.Term);
  for (const auto &[Worker, Left] : Value.Left) {
    Record.add_worker(Worker);
    Record.add_left_ms(static_cast<uint32_t>(Left.count()));
  }
  return Record.SerializeAsString();
}

Result<LeaseEnds> decodeLeaseEnds(const std::string &Bytes) {
  cell::LeaseEndsRecord Record;
  if (!Record.ParseFromString(Bytes) || Record.worker_size() != Record.left_ms_size())
    return unreadable("lease ends");
  LeaseEnds Decoded{Record.term(), {}};
  for (int I = 0; I < Record.worker_size(); ++I)
    Decoded.Left[Record.worker(I)] = Milliseconds(Record.left_ms(I));
  return Decoded;
}

std::string encodeWorkerRecord(const WorkerInfo &Info) {
  cell::WorkerRecord Record;
  Record.set_address(toString(Info.Address));
  Record.set_service(Info.Service);
  Record.set_machine(Info.Machine);
  writeResources(Info.Capacity, *Record.mutable_capacity());
  return Record.SerializeAsString();
}

Result<WorkerInfo> decodeWorkerRecord(const std::string &Id, const std::string &Bytes) {
  cell::WorkerRecord Record;
  if (!Record.ParseFromString(Bytes))
    return unreadable("worker " + Id);
  Result<Endpoint> Address = readEndpoint(Record.address());
  if (!ok(Address))
    return error(Address);
  WorkerInfo Info;
  Info.Id = Id;
  Info.Address = value(Address);
  Info.Service = Record.service();
  Info.Machine = Record.machine();
  Info.Capacity = readResources(Record.capacity()); // zero in records written by earlier versions
  return Info;
}

} // namespace valveshelf::sched
