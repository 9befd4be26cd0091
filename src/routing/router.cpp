// SPDX-License-Identifier: Apache-2.0
// Handles a request: matches the route, waits for a slot, forwards it, and retries where that is
// safe.
#include "valveshelf/router.h"
#include "valveshelf/steady_timer.h"

#include "valveshelf/events.h"

#include <boost/algorithm/string/predicate.hpp>
#include <boost/asio.hpp>

#include <algorithm>
#include <array>
#include <charconv>

namespace valveshelf {
namespace asio = boost::asio;
namespace {
constexpr int MaxTries = 3;
constexpr int HttpServiceUnavailable = 503;
constexpr size_t ChunkSize = 16 * 1024;
// Bodies up to this size are kept, so that the request can be retried at another instance.
constexpr size_t MaxReplayBytes = 256 * 1024;
// Time after which a member without shards that is cut off from the store has lost its promises.
constexpr std::chrono::seconds PromiseTimeout{4};
// Interval at which `refresh` is called; a slot becomes usable in the next call.
constexpr Milliseconds SlotRefreshInterval{200};
// A request does not wait for a slot that leaves it less than 1/N of the route's deadline: it would
// be sent and time out, and its caller would not know whether it ran.
constexpr int MinWorkTimeDivisor = 10;
constexpr std::string_view ServicePrefix = "/svc";

Labels callerLabels(const HeaderList &Headers) {
  Labels Read;
  std::string_view Rest = findHeader(Headers, "Valveshelf-Labels");
  while (!Rest.empty()) {
    const std::string_view Pair = Rest.substr(0, Rest.find(','));
    Rest = Pair.size() < Rest.size() ? Rest.substr(Pair.size() + 1) : std::string_view();
    const auto Equals = Pair.find('=');
    if (Equals != std::string_view::npos)
      Read[std::string(Pair.substr(0, Equals))] = std::string(Pair.substr(Equals + 1));
  }
  return Read;
}

bool hasPathPrefix(std::string_view Path, std::string_view Prefix) {
  if (!Path.starts_with(Prefix))
    return false;
  return Path.size() == Prefix.size() || Prefix.back() == '/' || Path[Prefix.size()] == '/';
}

// Headers that this process sets itself.
bool isRewrittenHeader(std::string_view Name) {
  return boost::iequals(Name, "Content-Length") || boost::iequals(Name, "Host") ||
         boost::iequals(Name, "Expect");
}

HeaderList forwardedHeaders(const HeaderList &Headers) {
  HeaderList Kept;
  for (const auto &[Name, Value] : Headers)
    if (!isHopByHop(Name) && !isRewrittenHeader(Name))
      Kept.emplace_back(Name, Value);
  return Kept;
}

std::optional<uint64_t> declaredLength(const HeaderList &Headers) {
  const std::string_view Text = findHeader(Headers, "Content-Length");
  uint64_t Length = 0;
  const auto [End, Code] = std::from_chars(Text.data(), Text.data() + Text.size(), Length);
  return Text.empty() || Code != std::errc() ? std::nullopt : std::optional(Length);
}

// Returns the deadline from the caller's `Valveshelf-Deadline-Ms` header, at most that of the
// route.
Milliseconds callerDeadline(const HeaderList &Headers, Milliseconds Route) {
  const std::string_view Text = findHeader(Headers, "Valveshelf-Deadline-Ms");
  int64_t Wanted = 0;
  const auto [End, Code] = std::from_chars(Text.data(), Text.data() + Text.size(), Wanted);
  if (Text.empty() || Code != std::errc() || Wanted <= 0)
    return Route;
  return std::min(Route, Milliseconds(Wanted));
}
} // namespace

// State shared by all tries of one request.
struct Router::RequestState {
  std::string Body;          ///< The caller's body as far as it is kept.
  bool BodyComplete = false; ///< Body holds the complete body.
  bool Streaming = false;    ///< The body is too large to be kept, which rules out a retry.
  bool Answered = false;     ///< The response to the caller has begun.
  bool Repeatable = false;
  Error Last;

  // A request that was sent and lost has an unknown outcome, whatever later tries return.
  void recordError(const Error &Why) {
    if (Last.Kind != ErrorKind::UpstreamCut)
      Last = Why;
  }
};

Router::Router(RouterTools Tools) : Tools(std::move(Tools)) {}

void Router::onJoined() {
  std::lock_guard Lock(Mutex);
  Slots.JoinedAt = Tools.Time.Now();
  Slots.OwnedSince.clear();
}

bool Router::ready() {
  std::lock_guard Lock(Mutex);
  return slotsReady(Slots, Tools.Time.Now());
}

// Returns the members that have a share of the slots, including those whose lease has expired but
// which may continue on their peers' promises. A claim of their shards fences them and ends that.
std::vector<std::string> Router::slotHolders(const CellView &View, TimePoint Now) {
  std::map<std::string, std::string> Present;
  for (const auto &[Log, Member] : View.Members)
    if (!Member.Leaving)
      Present[Member.Name] = Log;
  for (const auto &[Name, Log] : LastMembers)
    if (!Present.count(Name))
      DepartedMembers.emplace(Name, DepartedMember{Log, Now});
  std::erase_if(DepartedMembers, [&](const auto &Entry) {
    const bool Owns = std::any_of(View.Owners.begin(), View.Owners.end(), [&](const auto &Owner) {
      return Owner.second.Log == Entry.second.Log && !Owner.second.Released;
    });
    const bool Owned = Owns || Now - Entry.second.Since < PromiseTimeout;
    return Present.count(Entry.first) > 0 || !Owned;
  });
  LastMembers = Present;
  std::vector<std::string> Holders;
  Holders.reserve(Present.size() + DepartedMembers.size());
  for (const auto &[Name, Log] : Present)
    Holders.push_back(Name);
  for (const auto &[Name, Gone] : DepartedMembers)
    Holders.push_back(Name);
  std::sort(Holders.begin(), Holders.end());
  return Holders;
}

void Router::refresh() {
  const auto Config = Tools.Config();
  const CellViewPtr View = Tools.View();
  const auto Boxes = Tools.Directory.boxes();
  const TimePoint Now = Tools.Time.Now();
  std::lock_guard Lock(Mutex);
  const std::vector<std::string> Members = slotHolders(*View, Now);
  for (const auto &[Partner, Part] : Config->Partners)
    for (const ServiceConfig &Service : Part.Services) {
      BoxList Instances;
      for (const BoxInfo &Box : *Boxes)
        if (Box.Kind == BoxKind::Upstream && Box.Service == Service.Name &&
            matches(Service.Instances, Box.Labels))
          Instances.push_back(Box);
      assignSlots(Slots, Service.Name, Instances, Service.Slots, Members, Tools.Member, Now);
    }
}

Result<Router::Target> Router::match(const HttpExchange &Exchange) const {
  std::string_view Path = pathOf(Exchange.target());
  Path.remove_prefix(ServicePrefix.size());
  const Labels Caller = callerLabels(Exchange.headers());
  const auto Config = Tools.Config();
  const RouteConfig *Best = nullptr;
  const PartnerConfig *Owner = nullptr;
  for (const auto &[Partner, Part] : Config->Partners)
    for (const RouteConfig &Route : Part.Routes) {
      const bool Longer = !Best || Route.Prefix.size() > Best->Prefix.size();
      if (!Longer || !hasPathPrefix(Path, Route.Prefix) || !matches(Route.Callers, Caller))
        continue;
      Best = &Route;
      Owner = &Part;
    }
  if (Config->Version == 0)
    return Error{ErrorKind::UpstreamUnavailable,
                 "this process has not received the configuration yet"};
  if (!Best)
    return Error{ErrorKind::NotFound, "no configured route matches " + std::string(Path)};
  for (const ServiceConfig &Service : Owner->Services)
    if (Service.Name == Best->Service)
      return Target{*Best, Service};
  return Error{ErrorKind::NotFound, "the route's service is not configured: " + Best->Service};
}

bool Router::knowsInstances(const std::string &Service) {
  std::lock_guard Lock(Mutex);
  return earliestSlot(Slots, Service, Tools.Time.Now()).has_value();
}

// Requires Mutex. Returns a refusal if a request without a slot cannot get one before its deadline,
// so that its caller can try another process at once; nullopt if it may wait.
std::optional<Router::SlotRefusal> Router::refusal(const Target &To, TimePoint Deadline,
                                                   TimePoint Now) const {
  const std::string &Service = To.Service.Name;
  const auto Refused = [&](const std::string &Why, std::chrono::seconds RetryAfter) {
    return SlotRefusal{{ErrorKind::Overloaded, Why}, RetryAfter};
  };
  const std::chrono::seconds Usual = answerFor(ErrorKind::Overloaded).RetryAfter;
  if (!Tools.MayAct())
    return Refused("this process may not use its slots at present", Usual);
  const std::optional<TimePoint> First = earliestSlot(Slots, Service, Now);
  if (!First)
    return Refused("no instance of " + Service + " is known to this process", Usual);
  if (*First == TimePoint::max())
    return Refused("this process owns no slot of " + Service, Usual);
  // Other members still use these slots, so a caller may try them without waiting.
  const bool IsAlone = Tools.View()->Members.size() < 2;
  if (*First > Now &&
      *First + SlotRefreshInterval + To.Route.Deadline / MinWorkTimeDivisor > Deadline)
    return Refused("the slots of " + Service +
                       " are not usable by this process before the deadline",
                   IsAlone ? std::chrono::ceil<std::chrono::seconds>(*First - Now) : Usual);
  const auto Waiting = Slots.Services.find(Service);
  const size_t SameClass = Waiting == Slots.Services.end()
                               ? 0
                               : Waiting->second.Waiting.count(static_cast<int>(To.Route.Class));
  const Milliseconds Expected = expectedWait(Slots, Service, To.Route.Class);
  if (SameClass >= Slots.Limits.MaxWaiting || Now + Expected > Deadline)
    return Refused("no slot of " + Service + " is expected to become free before the deadline",
                   Usual);
  return std::nullopt;
}

Awaitable<std::variant<SlotGrant, Router::SlotRefusal>>
Router::acquire(const Target &To, TimePoint Deadline, const std::string &Avoid) {
  struct Wait {
    SteadyTimer Timer;
    std::optional<SlotGrant> Granted;
    explicit Wait(Executor Where) : Timer(asio::make_strand(Where)) {}
  };
  if (!knowsInstances(To.Service.Name))
    refresh(); // The service may be new in the configuration.
  auto Waiting = std::make_shared<Wait>(Tools.Where);
  auto Waiter = std::make_shared<SlotWaiter>();
  const std::string &Service = To.Service.Name;
  {
    std::lock_guard Lock(Mutex);
    const TimePoint Now = Tools.Time.Now();
    if (Tools.MayAct())
      if (auto Grant = takeSlot(Slots, Service, To.Route.Class, Avoid, Now))
        co_return *Grant;
    if (auto Refused = refusal(To, Deadline, Now))
      co_return *Refused;
    Waiter->Class = To.Route.Class;
    Waiter->Deadline = Deadline;
    Waiter->Avoid = Avoid;
    Waiter->Grant = [Waiting](SlotGrant Grant) {
      Waiting->Granted = std::move(Grant);
      asio::post(Waiting->Timer.get_executor(), [Waiting] { Waiting->Timer.cancel(); });
    };
    Slots.Services[Service].Waiting.emplace(static_cast<int>(To.Route.Class), Waiter);
  }
  Waiting->Timer.expires_at(Deadline);
  co_await Waiting->Timer.async_wait(asio::as_tuple(asio::use_awaitable));
  std::lock_guard Lock(Mutex);
  if (Waiting->Granted)
    co_return *Waiting->Granted;
  std::erase_if(Slots.Services[Service].Waiting,
                [&](const auto &Entry) { return Entry.second == Waiter; });
  co_return SlotRefusal{
      {ErrorKind::Overloaded, "no slot of " + Service + " became free before the deadline"},
      answerFor(ErrorKind::Overloaded).RetryAfter};
}

namespace {
// Streams the rest of the caller's body to the upstream.
Awaitable<Result<Done>> streamBody(HttpExchange &Exchange, HttpCall &Call) {
  std::array<char, ChunkSize> Buffer;
  while (true) {
    Result<size_t> Read = co_await Exchange.readBody(Buffer);
    if (!ok(Read))
      co_return error(Read);
    if (value(Read) == 0)
      co_return co_await Call.finishBody();
    const std::span<const char> Chunk(Buffer.data(), value(Read));
    Result<Done> Sent = co_await Call.writeBody(Chunk);
    if (!ok(Sent))
      co_return Sent;
  }
}

// Streams the response body to the caller. Returns false if either side cut it off.
Awaitable<bool> streamAnswer(HttpExchange &Exchange, HttpCall &Call) {
  std::array<char, ChunkSize> Buffer;
  while (true) {
    Result<size_t> Read = co_await Call.readBody(Buffer);
    if (!ok(Read))
      co_return false;
    if (value(Read) == 0)
      co_return co_await Exchange.finish();
    const std::span<const char> Chunk(Buffer.data(), value(Read));
    if (!co_await Exchange.writeBody(Chunk))
      co_return false;
  }
}
} // namespace

// Tries the request at one instance. Returns true once a response to the caller has begun, complete
// or not; false if nothing was sent to the caller, with the reason in State.Last.
Awaitable<bool> Router::tryInstance(HttpExchange &Exchange, const SlotGrant &Slot,
                                    TimePoint Deadline, RequestState &State) {
  CallOptions Options;
  Options.Timeout = std::max(std::chrono::duration_cast<Milliseconds>(Deadline - Tools.Time.Now()),
                             Milliseconds(1));
  Options.FreshConnection = !State.Repeatable;
  Result<std::shared_ptr<HttpCall>> Opened = co_await Tools.Client.open(Slot.Address, Options);
  if (!ok(Opened)) {
    State.recordError(error(Opened));
    co_return false;
  }
  const std::shared_ptr<HttpCall> Call = value(Opened);
  HttpRequest Head{Exchange.method(), Exchange.target().substr(ServicePrefix.size()),
                   forwardedHeaders(Exchange.headers()), ""};
  std::optional<uint64_t> Length = State.Body.size();
  if (State.Streaming)
    Length = declaredLength(Exchange.headers());
  Result<Done> Sent = co_await Call->writeHead(Head, Length);
  if (ok(Sent))
    Sent = co_await Call->writeBody(State.Body);
  if (ok(Sent) && State.Streaming)
    Sent = co_await streamBody(Exchange, *Call);
  if (!ok(Sent)) {
    State.recordError(error(Sent));
    co_return false;
  }
  Result<HttpResponse> Answer = co_await Call->readHead();
  if (!ok(Answer)) {
    State.recordError(error(Answer));
    co_return false;
  }
  HttpResponse &Got = value(Answer);
  // The upstream guarantees that it did not run the request.
  if (Got.Status == HttpServiceUnavailable &&
      findHeader(Got.Headers, "Valveshelf-Outcome") == "not-run") {
    State.recordError({ErrorKind::UpstreamUnavailable, Slot.Instance + " refused the request"});
    co_return false;
  }
  State.Answered = true;
  HeaderList Headers = forwardedHeaders(Got.Headers);
  Headers.emplace_back("Valveshelf-Outcome", "ran");
  Headers.emplace_back("Valveshelf-Upstream", Slot.Instance);
  if (!co_await Exchange.writeHead(Got.Status, Headers, declaredLength(Got.Headers)))
    co_return true;
  // A truncated response is not finished, so that the caller can detect it.
  if (!co_await streamAnswer(Exchange, *Call))
    ++Stats.Truncated;
  co_return true;
}

Awaitable<void> Router::serve(HttpExchange &Exchange) {
  Result<Target> Matched = match(Exchange);
  if (!ok(Matched)) {
    ++Stats.Refused;
    co_return co_await sendWhole(Exchange, errorResponse(error(Matched)));
  }
  const Target &To = value(Matched);
  const TimePoint Deadline =
      Tools.Time.Now() + callerDeadline(Exchange.headers(), To.Route.Deadline);
  RequestState State;
  State.Repeatable =
      To.Route.Repeatable && findHeader(Exchange.headers(), "Valveshelf-Repeatable") != "no";
  // A small body is read completely, so that a request that was not run can be retried.
  std::array<char, ChunkSize> Buffer;
  while (Exchange.hasBody() && !State.BodyComplete && State.Body.size() < MaxReplayBytes) {
    Result<size_t> Read = co_await Exchange.readBody(Buffer);
    if (!ok(Read))
      co_return co_await sendWhole(Exchange, errorResponse(error(Read)));
    State.BodyComplete = value(Read) == 0;
    State.Body.append(Buffer.data(), value(Read));
  }
  State.Streaming = Exchange.hasBody() && !State.BodyComplete;
  std::string Avoid;
  std::optional<std::chrono::seconds> RetryAfter;
  for (int Try = 1; Try <= MaxTries; ++Try) {
    const std::variant<SlotGrant, SlotRefusal> Answer = co_await acquire(To, Deadline, Avoid);
    if (const SlotRefusal *Refused = std::get_if<SlotRefusal>(&Answer)) {
      if (Try == 1) {
        State.Last = Refused->Why;
        RetryAfter = Refused->RetryAfter;
      }
      break;
    }
    const SlotGrant &Slot = std::get<SlotGrant>(Answer);
    const bool Answered = co_await tryInstance(Exchange, Slot, Deadline, State);
    {
      std::lock_guard Lock(Mutex);
      releaseSlot(Slots, Slot, !Answered, Tools.Time.Now());
    }
    if (Answered) {
      ++Stats.Served;
      co_return;
    }
    logEvent(events::UpstreamFailed,
             {{"upstream", Slot.Instance}, {"why", "\"" + State.Last.Detail + "\""}});
    Avoid = Slot.Instance;
    const bool SurelyNotRun = State.Last.Kind == ErrorKind::UpstreamUnavailable;
    const bool MayRetry = (SurelyNotRun || State.Repeatable) && !State.Streaming;
    if (!MayRetry || State.Last.Kind == ErrorKind::BadRequest || Tools.Time.Now() >= Deadline)
      break;
    ++Stats.Retried;
  }
  ++Stats.Refused;
  logEvent(events::RequestRefused, {{"kind", std::string(answerFor(State.Last.Kind).Name)},
                                    {"target", Exchange.target()},
                                    {"why", "\"" + State.Last.Detail + "\""}});
  const auto Usual = answerFor(State.Last.Kind).RetryAfter;
  co_await sendWhole(Exchange, errorResponse(State.Last, RetryAfter.value_or(Usual)));
}

} // namespace valveshelf
