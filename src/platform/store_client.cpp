// SPDX-License-Identifier: Apache-2.0
// HTTP client of the platform's key-value store and of its list of boxes.
#include "valveshelf/platform.h"

#include "valveshelf/events.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>

#include <charconv>

namespace valveshelf {
namespace {
namespace json = boost::json;

constexpr int HttpOk = 200;
constexpr int HttpNotModified = 304;
constexpr int HttpNotFound = 404;
constexpr int HttpConflict = 409;

struct StoreContext {
  HttpClient &Client;
  Endpoint Address;
  Milliseconds Timeout;
};
using ContextPtr = std::shared_ptr<const StoreContext>;

uint64_t parseNumber(std::string_view Text) {
  uint64_t Value = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  return Value;
}

// A failed read changed nothing. A failed write may have been applied unless it was not sent.
Error storeError(const Error &Cause, bool IsWrite) {
  if (!IsWrite || Cause.Kind == ErrorKind::UpstreamUnavailable)
    return {ErrorKind::StoreUnavailable, "store: " + Cause.Detail};
  return {ErrorKind::OutcomeUnknown, "store: " + Cause.Detail};
}

Error statusError(int Status) {
  if (Status == HttpConflict)
    return {ErrorKind::Conflict, "the key's version is not the expected one"};
  if (Status == HttpNotFound)
    return {ErrorKind::NotFound, "there is no such lease"};
  // Any other status is an explicit refusal, such as rate limit, outage or value too large.
  return {ErrorKind::StoreUnavailable,
          "the store answered with HTTP status " + std::to_string(Status)};
}

Awaitable<Result<HttpResponse>> call(ContextPtr To, std::string Method, std::string Target,
                                     std::string Body, Milliseconds Extra) {
  const bool IsWrite = Method != "GET";
  CallOptions Options;
  Options.Timeout = To->Timeout + Extra;
  HttpRequest Request{std::move(Method), std::move(Target), {}, std::move(Body)};
  Result<HttpResponse> Answer = co_await To->Client.send(To->Address, std::move(Request), Options);
  if (!ok(Answer))
    co_return storeError(error(Answer), IsWrite);
  co_return Answer;
}

Awaitable<Result<StoreItem>> get(ContextPtr To, std::string Key) {
  Result<HttpResponse> Answer = co_await call(To, "GET", "/v1/kv/" + Key, "", Milliseconds(0));
  if (!ok(Answer))
    co_return error(Answer);
  HttpResponse &Response = value(Answer);
  if (Response.Status == HttpNotFound)
    co_return StoreItem{Key, "", 0};
  if (Response.Status != HttpOk)
    co_return statusError(Response.Status);
  const uint64_t Version = parseNumber(findHeader(Response.Headers, "X-Version"));
  co_return StoreItem{Key, std::move(Response.Body), Version};
}

Awaitable<Result<uint64_t>> put(ContextPtr To, std::string Key, std::string Value, uint64_t Expect,
                                uint64_t Lease) {
  const std::string Target =
      "/v1/kv/" + Key + "?expect=" + std::to_string(Expect) + "&lease=" + std::to_string(Lease);
  Result<HttpResponse> Answer = co_await call(To, "PUT", Target, std::move(Value), Milliseconds(0));
  if (!ok(Answer))
    co_return error(Answer);
  if (value(Answer).Status != HttpOk)
    co_return statusError(value(Answer).Status);
  co_return parseNumber(findHeader(value(Answer).Headers, "X-Version"));
}

Awaitable<Result<Done>> requestExpectingOk(ContextPtr To, std::string Method, std::string Target) {
  Result<HttpResponse> Answer =
      co_await call(To, std::move(Method), std::move(Target), "", Milliseconds(0));
  if (!ok(Answer))
    co_return error(Answer);
  if (value(Answer).Status != HttpOk)
    co_return statusError(value(Answer).Status);
  co_return Done{};
}

Result<StoreItems> parseItems(const std::string &Body) {
  json::error_code Failure;
  const json::value Root = json::parse(Body, Failure);
  const Error ParseError{ErrorKind::StoreUnavailable,
                         "the store's answer has no valid 'items' and 'revision'"};
  if (Failure || !Root.is_object())
    return ParseError;
  const json::value *Items = Root.as_object().if_contains("items");
  const json::value *Revision = Root.as_object().if_contains("revision");
  if (!Items || !Items->is_array() || !Revision || !Revision->is_number())
    return ParseError;
  StoreItems Parsed;
  Parsed.Revision = Revision->to_number<uint64_t>();
  for (const json::value &Item : Items->as_array()) {
    const json::object &Object = Item.as_object();
    Parsed.Items.push_back({std::string(Object.at("key").as_string()),
                            std::string(Object.at("value").as_string()),
                            Object.at("version").to_number<uint64_t>()});
  }
  return Parsed;
}

Awaitable<Result<StoreItems>> items(ContextPtr To, std::string Target, Milliseconds Wait) {
  Result<HttpResponse> Answer = co_await call(To, "GET", std::move(Target), "", Wait);
  if (!ok(Answer))
    co_return error(Answer);
  if (value(Answer).Status != HttpOk)
    co_return statusError(value(Answer).Status);
  co_return parseItems(value(Answer).Body);
}

Awaitable<Result<uint64_t>> grant(ContextPtr To, Milliseconds Life) {
  const std::string Target = "/v1/lease?ttl_ms=" + std::to_string(Life.count());
  Result<HttpResponse> Answer = co_await call(To, "POST", Target, "", Milliseconds(0));
  if (!ok(Answer))
    co_return error(Answer);
  if (value(Answer).Status != HttpOk)
    co_return statusError(value(Answer).Status);
  co_return parseNumber(findHeader(value(Answer).Headers, "X-Lease"));
}

} // namespace

StoreOps httpStore(HttpClient &Client, Endpoint Address, Milliseconds Timeout) {
  const ContextPtr To =
      std::make_shared<StoreContext>(StoreContext{Client, std::move(Address), Timeout});
  StoreOps Ops;
  Ops.Get = [To](std::string Key) { return get(To, std::move(Key)); };
  Ops.Put = [To](std::string Key, std::string Value, uint64_t Expect, uint64_t Lease) {
    return put(To, std::move(Key), std::move(Value), Expect, Lease);
  };
  Ops.Erase = [To](std::string Key, uint64_t Expect) {
    return requestExpectingOk(To, "DELETE", "/v1/kv/" + Key + "?expect=" + std::to_string(Expect));
  };
  Ops.List = [To](std::string Prefix) {
    return items(To, "/v1/list?prefix=" + Prefix, Milliseconds(0));
  };
  Ops.Watch = [To](std::string Prefix, uint64_t After, Milliseconds Wait) {
    return items(To,
                 "/v1/watch?prefix=" + Prefix + "&after=" + std::to_string(After) +
                     "&wait_ms=" + std::to_string(Wait.count()),
                 Wait);
  };
  Ops.GrantLease = [To](Milliseconds Life) { return grant(To, Life); };
  Ops.RenewLease = [To](uint64_t Lease) {
    return requestExpectingOk(To, "POST", "/v1/lease/" + std::to_string(Lease) + "/renew");
  };
  Ops.RevokeLease = [To](uint64_t Lease) {
    return requestExpectingOk(To, "DELETE", "/v1/lease/" + std::to_string(Lease));
  };
  return Ops;
}

// The last list and its ETag, so that an unchanged list is not transferred again.
struct CachedBoxList {
  std::string Tag;
  BoxList List;
};

BoxListOps httpBoxList(HttpClient &Client, Endpoint Address, Milliseconds Timeout) {
  const ContextPtr To =
      std::make_shared<StoreContext>(StoreContext{Client, std::move(Address), Timeout});
  auto Cached = std::make_shared<CachedBoxList>();
  return {[To, Cached]() -> Awaitable<Result<BoxList>> {
    HttpRequest Request{"GET", "/v1/boxes", {}, ""};
    if (!Cached->Tag.empty())
      Request.Headers.emplace_back("If-None-Match", Cached->Tag);
    CallOptions Options;
    Options.Timeout = To->Timeout;
    Result<HttpResponse> Answer =
        co_await To->Client.send(To->Address, std::move(Request), Options);
    if (!ok(Answer))
      co_return storeError(error(Answer), false);
    const HttpResponse &Response = value(Answer);
    if (Response.Status == HttpNotModified)
      co_return Cached->List;
    if (Response.Status != HttpOk)
      co_return statusError(Response.Status);
    Result<BoxList> Parsed = parseBoxList(Response.Body);
    if (ok(Parsed))
      *Cached = {std::string(findHeader(Response.Headers, "ETag")), value(Parsed)};
    co_return Parsed;
  }};
}

} // namespace valveshelf
