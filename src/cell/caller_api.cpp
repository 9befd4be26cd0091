// SPDX-License-Identifier: Apache-2.0
// Routing, authentication and handling of callers' requests.
#include "cell/caller_api.h"

#include "valveshelf/events.h"

namespace valveshelf {
using namespace sched;

namespace {
// After this the state is read from the store instead.
constexpr Milliseconds SchedulerTimeout{300};
// Short, because it delays the refusal of a submission.
constexpr Milliseconds RefusalTimeout{100};
// The part of the time of a submission for which a refusal may wait for the store. The rest must
// suffice for the write of a job that is admitted after all.
constexpr int RefusalMarkPart = 4;
// The part kept free for asking the scheduler at the end of a bounded submission.
constexpr int RefusalPart = 8;
constexpr int HttpOk = 200;
constexpr int HttpGone = 410;

std::string_view withoutPort(std::string_view Host) { return Host.substr(0, Host.find(':')); }

std::string_view phaseName(JobPhase Phase) {
  switch (Phase) {
  case JobPhase::Completed:
    return "completed";
  case JobPhase::Failed:
    return "failed";
  case JobPhase::Cancelled:
    return "cancelled";
  case JobPhase::Live:
    break;
  }
  return "queued";
}

// Rejects a job with a task, or a gang as a whole, that exceeds its organisation's maximum and so
// could never start.
std::optional<Error> exceedsMaximum(const CellConfiguration &Config, const JobSpec &Spec) {
  const Organisation *Of = findOrganisation(Config, Spec.Organisation);
  if (!Of)
    return std::nullopt;
  for (size_t I = 0; I < Spec.Steps.size(); ++I) {
    const StepSpec &Step = Spec.Steps[I];
    const Resources Least = Step.Gang ? Step.Need * Step.Count : Step.Need;
    if (!isWithin(Least, Of->Maximum))
      return Error{ErrorKind::Impossible,
                   "step " + std::to_string(I) +
                       " needs more resources at once than its organisation's maximum"};
  }
  return std::nullopt;
}

void logRefusal(const Error &Why, const std::string &Job) {
  logEvent(events::CallRefused, {{"job", Job},
                                 {"kind", std::string(answerFor(Why.Kind).Name)},
                                 {"why", "\"" + Why.Detail + "\""}});
}

} // namespace

HttpResponse CallerApi::refusal(const Error &Why, const std::string &Job) const {
  logRefusal(Why, Job);
  if (Why.Kind == ErrorKind::NotConfigured)
    return errorResponse(Why, RetryAfterOutage());
  return errorResponse(Why);
}

HttpResponse CallerApi::notTaken(Error Why, const std::string &Job) const {
  if (Why.Kind != ErrorKind::StoreUnavailable)
    return refusal(Why, Job);
  Why.Kind = ErrorKind::NotCarriedOut;
  logRefusal(Why, Job);
  return errorResponse(Why, RetryAfterOutage());
}

CallerApi::CallerApi(const CellSettings &Settings, Clock Time, CallerCodec Codec,
                     KeyValueStore Store, ConfigWatch &Config, CellView &View,
                     const Leadership &Lead, Intake &In, const CellLink &Peers,
                     std::function<std::chrono::seconds()> RetryAfterOutage,
                     admission::AdmissionControl &Admission, CellMetrics &Metrics)
    : Settings(Settings), Time(std::move(Time)), Codec(std::move(Codec)), Store(std::move(Store)),
      Config(Config), View(View), Lead(Lead), In(In), Peers(Peers),
      RetryAfterOutage(std::move(RetryAfterOutage)), Admission(Admission), Metrics(Metrics) {}

Result<std::string> CallerApi::identify(const Queue &To, const CallerRequest &Request) const {
  if (To.Public || !Config.current()->Organisations)
    return std::string();
  if (Config.hasStaleKeys())
    return Error{ErrorKind::StoreUnavailable, "the configuration is too old to check the key"};
  const Organisation *Of = Request.Key ? findKeyOwner(Config.callerKeys(), *Request.Key) : nullptr;
  if (!Of)
    return Error{ErrorKind::UnknownKey, Request.Key ? "the key is unknown or revoked"
                                                    : "exactly one well-formed key is required"};
  return Of->Name;
}

Awaitable<ConfigurationPtr> CallerApi::firstConfiguration() {
  if (mayAwaitConfiguration(CallsAwaitingConfiguration, IsStopping)) {
    ++CallsAwaitingConfiguration;
    co_await Config.waitForFirst(FirstConfigurationWait);
    --CallsAwaitingConfiguration;
  }
  co_return Config.current();
}

void CallerApi::beginStop() {
  IsStopping = true;
  Config.releaseWaiters();
}

Awaitable<HttpResponse> CallerApi::answer(CallerRequest Request) {
  const uint64_t SeenRevision = std::max(In.seenRevision(), View.revision());
  ConfigurationPtr Now = Config.current();
  if (!Now)
    Now = co_await firstConfiguration();
  if (!Now)
    co_return refusal({ErrorKind::NotConfigured, "no configuration has been read yet"}, "-");
  const std::string_view Path = pathOf(Request.Target);
  const Queue *To = findQueue(*Now, withoutPort(Request.Host), Path);
  if (!To)
    co_return errorResponse(
        {ErrorKind::UnknownQueue, "no queue is configured for " + Request.Host + Request.Target});
  const std::string Rest(Path.substr(To->PathPrefix.size()));
  Result<std::string> Caller = identify(*To, Request);
  if (!ok(Caller))
    co_return notTaken(error(Caller), Rest);
  if (Rest.empty() && Request.Method == "GET")
    co_return co_await countWaiting(To->Name);
  const auto Id = parseJobId(Rest);
  if (!Id)
    co_return errorResponse(
        {ErrorKind::BadRequest, "the path must end in a job id of 16 hexadecimal digits"});
  if (Request.Method == "POST")
    co_return co_await submit(*To, *Id, std::move(value(Caller)), std::move(Request.Body),
                              SeenRevision);
  if (Request.Method == "GET")
    co_return co_await state(*Id, std::move(value(Caller)));
  if (Request.Method == "DELETE")
    co_return co_await cancel(*Id, std::move(value(Caller)));
  co_return errorResponse(
      {ErrorKind::BadRequest,
       "method " + Request.Method + " is not supported; expected GET, POST or DELETE"});
}

Awaitable<HttpResponse> CallerApi::submit(const Queue &To, JobId Id, std::string Caller,
                                          std::string Body, uint64_t SeenRevision) {
  Result<JobSpec> Read = Codec.DecodeSubmission(Body);
  if (!ok(Read))
    co_return refusal(error(Read), jobIdText(Id));
  JobSpec &Spec = value(Read);
  Spec.Id = Id;
  Spec.Organisation = std::move(Caller);
  if (std::optional<Error> Excess = exceedsMaximum(*Config.current(), Spec))
    co_return refusal(*Excess, jobIdText(Id));
  Spec.Queue = To.Name;
  Spec.Service = To.Service;
  Spec.ConfigVersion = Config.version();
  Spec.Priority = To.Priority;
  Spec.MaxAttempts = To.MaxAttempts;
  Spec.CriticalPathFactor = To.CriticalPathFactor;
  Spec.ObjectiveSlack = To.ObjectiveSlack;
  Spec.Advice = To.Advice;
  Spec.AcceptedAt = Time.Wall();
  const TimePoint ReceivedAt = Time.Now();
  const std::string Submitter = Spec.Organisation;
  const bool MayBeRefused = mayRefuse(Admission.features());
  std::optional<HttpResponse> Overloaded = co_await refuseOverload(Spec, ReceivedAt);
  if (Overloaded)
    co_return std::move(*Overloaded);
  Milliseconds RefusalTime = RefusalTimeout;
  std::optional<SubmitBounds> Bounds;
  if (MayBeRefused) {
    const Milliseconds Limit = Settings.Timing.SubmitTimeout;
    RefusalTime = std::min(RefusalTimeout, Limit / RefusalPart);
    Bounds = SubmitBounds{SeenRevision, ReceivedAt + Limit - RefusalTime};
  }
  Result<Done> Submitted = co_await In.submit(std::move(Spec), Bounds);
  // The job may have been submitted before and repeated during a store outage. The scheduler only
  // knows durable jobs: if it does not know this one, an earlier attempt may still be written, and
  // no mark can be written that stops it.
  if (!ok(Submitted) && error(Submitted).Kind == ErrorKind::StoreUnavailable) {
    const JobStatus Status = co_await askScheduler(Id, RefusalTime);
    if (Status.State.empty() || !mayAccess(Submitter, Status.Organisation))
      co_return notTaken(error(Submitted), jobIdText(Id));
    Submitted = Done{};
  }
  if (!ok(Submitted))
    co_return refusal(error(Submitted), jobIdText(Id));
  const auto Took = std::chrono::duration_cast<Milliseconds>(Time.Now() - ReceivedAt);
  logEvent(events::JobKept, {{"job", jobIdText(Id)}, {"ms", std::to_string(Took.count())}});
  co_return jsonResponse(HttpOk, "{}");
}

Awaitable<std::optional<HttpResponse>> CallerApi::refuseOverload(const JobSpec &Spec,
                                                                 TimePoint ReceivedAt) {
  if (!mayRefuse(Admission.features()))
    co_return std::nullopt;
  const auto &Leader = View.snapshot().Leader;
  const Roster &Cell = View.snapshot().Roster;
  admission::ProcessView Seen;
  if (Leader)
    Seen.LeaderTerm = Leader->Term;
  Seen.StoreTime = In.recentWriteTime();
  Seen.Processes = std::max(Cell.Processes, static_cast<uint32_t>(Cell.Members.size()));
  admission::JobDemand Job = admission::demandOf(Spec);
  Job.MayBeStored = In.hasSubmitted(Spec.Id);
  std::optional<admission::Refuse> Refusal = Admission.refusal(Job, Seen);
  if (!Refusal)
    co_return std::nullopt;
  // A refused job never runs, but an earlier attempt may be accepted elsewhere.
  const TimePoint Until = ReceivedAt + Settings.Timing.SubmitTimeout / RefusalMarkPart;
  const bool IsMarked = co_await In.markRefused(Spec.Id, Until);
  if (!IsMarked)
    co_return std::nullopt;
  Admission.confirm(*Refusal);
  const std::string Class = toString(Refusal->Class);
  logEvent(events::JobRefusedOverload,
           {{"job", jobIdText(Spec.Id)},
            {"queue", Spec.Queue},
            {"class", Class},
            {"wait_ms", std::to_string(Refusal->Wait.count())},
            {"most_wait_ms", std::to_string(Refusal->MostWait.count())},
            {"retry_after_s", std::to_string(Refusal->Return.After.count())}});
  Metrics.count(metrics::JobsRefused, Class);
  co_return errorResponse({ErrorKind::Overloaded, Refusal->Reason}, Refusal->Return.After);
}

Awaitable<CallerApi::JobStatus> CallerApi::askScheduler(JobId Id, Milliseconds Timeout) {
  if (const auto LocalScheduler = Lead.scheduler())
    co_return JobStatus{std::string(LocalScheduler->state(Id)), LocalScheduler->owner(Id)};
  const auto &Leader = View.snapshot().Leader;
  if (!Leader || Leader->Name == Settings.Member)
    co_return JobStatus{};
  cell::JobStateRequest Question;
  Question.set_id(Id);
  Result<cell::JobStateReply> Reply = co_await Peers.JobState(Leader->Peers, Question, Timeout);
  if (!ok(Reply) || value(Reply).error() != 0) {
    View.refreshSoon();
    co_return JobStatus{};
  }
  co_return JobStatus{value(Reply).state(), value(Reply).organisation()};
}

Awaitable<Result<CallerApi::JobStatus>> CallerApi::readState(JobId Id) {
  Result<KeyValue> Read = co_await Store.Get(jobKey(Id));
  if (!ok(Read))
    co_return error(Read);
  if (value(Read).Revision == 0)
    co_return Error{ErrorKind::UnknownJob, "the job does not exist"};
  Result<StoredJob> Stored = decodeJob(value(Read).Value);
  if (!ok(Stored))
    co_return error(Stored);
  co_return JobStatus{std::string(phaseName(value(Stored).Phase)), value(Stored).Spec.Organisation};
}

Awaitable<HttpResponse> CallerApi::state(JobId Id, std::string Caller) {
  Result<JobStatus> Found = co_await askScheduler(Id, SchedulerTimeout);
  if (value(Found).State.empty())
    Found = co_await readState(Id);
  if (ok(Found) && !mayAccess(Caller, value(Found).Organisation))
    co_return refusal({ErrorKind::Forbidden, "the job belongs to another organisation"},
                      jobIdText(Id));
  if (ok(Found))
    co_return jsonResponse(HttpOk, Codec.EncodeState(value(Found).State));
  if (error(Found).Kind == ErrorKind::UnknownJob)
    co_return errorResponse(error(Found));
  co_return notTaken(error(Found), jobIdText(Id));
}

Awaitable<HttpResponse> CallerApi::cancel(JobId Id, std::string Caller) {
  Result<Done> Marked = co_await In.cancel(Id, std::move(Caller));
  if (ok(Marked)) {
    logEvent(events::JobCancelled, {{"job", jobIdText(Id)}});
    co_return jsonResponse(HttpOk, "{}");
  }
  HttpResponse Answer = notTaken(error(Marked), jobIdText(Id));
  if (error(Marked).Kind == ErrorKind::NotFound)
    Answer.Status = HttpGone;
  co_return Answer;
}

Awaitable<HttpResponse> CallerApi::countWaiting(std::string Queue) {
  if (const auto LocalScheduler = Lead.scheduler())
    co_return jsonResponse(HttpOk, Codec.EncodeWaiting(LocalScheduler->waiting(Queue)));
  const auto &Leader = View.snapshot().Leader;
  const Error Unknown{ErrorKind::NotOwner, "the scheduler can't be reached"};
  if (!Leader || Leader->Name == Settings.Member)
    co_return errorResponse(Unknown);
  cell::WaitingRequest Question;
  Question.set_queue(Queue);
  Result<cell::WaitingReply> Reply =
      co_await Peers.Waiting(Leader->Peers, Question, SchedulerTimeout);
  if (!ok(Reply) || value(Reply).error() != 0) {
    View.refreshSoon();
    co_return errorResponse(Unknown);
  }
  co_return jsonResponse(HttpOk, Codec.EncodeWaiting(value(Reply).waiting()));
}

cell::JobStateReply CallerApi::jobState(const cell::JobStateRequest &Request) const {
  cell::JobStateReply Reply;
  const auto LocalScheduler = Lead.scheduler();
  if (LocalScheduler) {
    Reply.set_state(std::string(LocalScheduler->state(Request.id())));
    Reply.set_organisation(LocalScheduler->owner(Request.id()));
  } else
    Reply.set_error(static_cast<int>(ErrorKind::NotOwner));
  return Reply;
}

cell::WaitingReply CallerApi::waiting(const cell::WaitingRequest &Request) const {
  cell::WaitingReply Reply;
  const auto LocalScheduler = Lead.scheduler();
  if (LocalScheduler)
    Reply.set_waiting(LocalScheduler->waiting(Request.queue()));
  else
    Reply.set_error(static_cast<int>(ErrorKind::NotOwner));
  return Reply;
}

} // namespace valveshelf
