// SPDX-License-Identifier: Apache-2.0
// Routes and answers callers' requests.
#include "cell/front_door.h"

#include "valveshelf/events.h"

namespace valveshelf {
using namespace sched;

namespace {
// The scheduler answers from memory; without an answer by then the store is asked.
constexpr Milliseconds SchedulerTimeout{300};
// Before a refusal, which is to come at once; an answer takes 2 ms.
constexpr Milliseconds RefusalTimeout{100};
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

} // namespace

HttpResponse FrontDoor::refusal(const Error &Why, const std::string &Job) const {
  logEvent(events::CallRefused, {{"job", Job},
                                 {"kind", std::string(answerFor(Why.Kind).Name)},
                                 {"why", "\"" + Why.Detail + "\""}});
  if (Why.Kind == ErrorKind::StoreUnavailable)
    return errorResponse(Why, RetryAfterOutage());
  return errorResponse(Why);
}

FrontDoor::FrontDoor(const CellSettings &Settings, Clock Time, CallerCodec Codec,
                     KeyValueStore Store, const ConfigWatch &Config, const CellView &View,
                     const Leadership &Lead, Intake &In, const CellLink &Peers,
                     std::function<std::chrono::seconds()> RetryAfterOutage)
    : Settings(Settings), Time(std::move(Time)), Codec(std::move(Codec)), Store(std::move(Store)),
      Config(Config), View(View), Lead(Lead), In(In), Peers(Peers),
      RetryAfterOutage(std::move(RetryAfterOutage)) {}

Awaitable<HttpResponse> FrontDoor::answer(std::string Method, std::string Target, std::string Host,
                                          std::string Body) {
  const ConfigurationPtr Now = Config.current();
  if (!Now)
    co_return refusal({ErrorKind::StoreUnavailable, "no configuration has been read yet"}, "-");
  const std::string_view Path = pathOf(Target);
  const Queue *To = findQueue(*Now, withoutPort(Host), Path);
  if (!To)
    co_return errorResponse({ErrorKind::NotFound, "there is no queue at " + Host + Target});
  const std::string_view Rest = Path.substr(To->PathPrefix.size());
  if (Rest.empty() && Method == "GET")
    co_return co_await countWaiting(To->Name);
  const auto Id = parseJobId(Rest);
  if (!Id)
    co_return errorResponse(
        {ErrorKind::BadRequest, "the path does not end in 16 hexadecimal digits"});
  if (Method == "POST")
    co_return co_await submit(*To, *Id, std::move(Body));
  if (Method == "GET")
    co_return co_await state(*Id);
  if (Method == "DELETE")
    co_return co_await cancel(*Id);
  co_return errorResponse({ErrorKind::BadRequest, "there is no method " + Method + " here"});
}

Awaitable<HttpResponse> FrontDoor::submit(const Queue &To, JobId Id, std::string Body) {
  Result<JobSpec> Read = Codec.DecodeSubmission(Body);
  if (!ok(Read))
    co_return refusal(error(Read), jobIdText(Id));
  JobSpec &Spec = value(Read);
  Spec.Id = Id;
  Spec.Queue = To.Name;
  Spec.Service = To.Service;
  Spec.Priority = To.Priority;
  Spec.MaxAttempts = To.MaxAttempts;
  Spec.Extension = To.Extension;
  Spec.Target = To.Target;
  Spec.Advice = To.Advice;
  Spec.AcceptedAt = Time.Wall();
  const TimePoint Came = Time.Now();
  Result<Done> Kept = co_await In.submit(std::move(Spec));
  // "It will never run" would be untrue of a job that was handed in before and is handed in again
  // while the store is away. The scheduler knows only jobs that are kept.
  if (!ok(Kept) && error(Kept).Kind == ErrorKind::StoreUnavailable &&
      !(co_await askScheduler(Id, RefusalTimeout)).empty())
    Kept = Done{};
  if (!ok(Kept))
    co_return refusal(error(Kept), jobIdText(Id));
  const auto Took = std::chrono::duration_cast<Milliseconds>(Time.Now() - Came);
  logEvent(events::JobKept, {{"job", jobIdText(Id)}, {"ms", std::to_string(Took.count())}});
  co_return jsonResponse(HttpOk, "{}");
}

Awaitable<std::string> FrontDoor::askScheduler(JobId Id, Milliseconds Timeout) {
  if (const auto Here = Lead.scheduler())
    co_return std::string(Here->state(Id));
  const auto &Leader = View.picture().Leader;
  if (!Leader || Leader->Name == Settings.Member)
    co_return "";
  cell::JobStateRequest Question;
  Question.set_id(Id);
  Result<cell::JobStateReply> Reply = co_await Peers.JobState(Leader->Peers, Question, Timeout);
  if (!ok(Reply) || value(Reply).error() != 0)
    co_return "";
  co_return value(Reply).state();
}

Awaitable<Result<std::string>> FrontDoor::readState(JobId Id) {
  Result<KeyValue> Read = co_await Store.Get(jobKey(Id));
  if (!ok(Read))
    co_return error(Read);
  if (value(Read).Revision == 0)
    co_return Error{ErrorKind::NotFound, "there is no such job"};
  Result<StoredJob> Stored = decodeJob(value(Read).Value);
  if (!ok(Stored))
    co_return error(Stored);
  co_return std::string(phaseName(value(Stored).Phase));
}

Awaitable<HttpResponse> FrontDoor::state(JobId Id) {
  std::string Known = co_await askScheduler(Id, SchedulerTimeout);
  if (!Known.empty())
    co_return jsonResponse(HttpOk, Codec.EncodeState(Known));
  Result<std::string> Read = co_await readState(Id);
  if (ok(Read))
    co_return jsonResponse(HttpOk, Codec.EncodeState(value(Read)));
  if (error(Read).Kind != ErrorKind::NotFound)
    co_return refusal(error(Read), jobIdText(Id));
  HttpResponse Gone = errorResponse(error(Read));
  Gone.Status = HttpGone;
  co_return Gone;
}

Awaitable<HttpResponse> FrontDoor::cancel(JobId Id) {
  Result<Done> Marked = co_await In.cancel(Id);
  if (ok(Marked)) {
    logEvent(events::JobCancelled, {{"job", jobIdText(Id)}});
    co_return jsonResponse(HttpOk, "{}");
  }
  HttpResponse Answer = refusal(error(Marked), jobIdText(Id));
  if (error(Marked).Kind == ErrorKind::NotFound)
    Answer.Status = HttpGone;
  co_return Answer;
}

Awaitable<HttpResponse> FrontDoor::countWaiting(std::string Queue) {
  if (const auto Here = Lead.scheduler())
    co_return jsonResponse(HttpOk, Codec.EncodeWaiting(Here->waiting(Queue)));
  const auto &Leader = View.picture().Leader;
  const Error Unknown{ErrorKind::NotOwner, "the scheduler can't be asked just now"};
  if (!Leader || Leader->Name == Settings.Member)
    co_return errorResponse(Unknown);
  cell::WaitingRequest Question;
  Question.set_queue(Queue);
  Result<cell::WaitingReply> Reply =
      co_await Peers.Waiting(Leader->Peers, Question, SchedulerTimeout);
  if (!ok(Reply) || value(Reply).error() != 0)
    co_return errorResponse(Unknown);
  co_return jsonResponse(HttpOk, Codec.EncodeWaiting(value(Reply).waiting()));
}

cell::JobStateReply FrontDoor::jobState(const cell::JobStateRequest &Asked) const {
  cell::JobStateReply Reply;
  const auto Here = Lead.scheduler();
  if (Here)
    Reply.set_state(std::string(Here->state(Asked.id())));
  else
    Reply.set_error(static_cast<int>(ErrorKind::NotOwner));
  return Reply;
}

cell::WaitingReply FrontDoor::waiting(const cell::WaitingRequest &Asked) const {
  cell::WaitingReply Reply;
  const auto Here = Lead.scheduler();
  if (Here)
    Reply.set_waiting(Here->waiting(Asked.queue()));
  else
    Reply.set_error(static_cast<int>(ErrorKind::NotOwner));
  return Reply;
}

} // namespace valveshelf
