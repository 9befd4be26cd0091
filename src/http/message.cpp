// SPDX-License-Identifier: Apache-2.0
// Shared by client and server: header lookup, query parameters and error responses.
#include "valveshelf/http.h"

#include <boost/algorithm/string/predicate.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <array>

namespace valveshelf {
namespace {

int hexDigit(char C) {
  if (C >= '0' && C <= '9')
    return C - '0';
  if (C >= 'a' && C <= 'f')
    return C - 'a' + 10;
  if (C >= 'A' && C <= 'F')
    return C - 'A' + 10;
  return -1;
}

std::string percentDecoded(std::string_view Text) {
  std::string Decoded;
  for (size_t I = 0; I < Text.size(); ++I) {
    const bool Escaped = Text[I] == '%' && I + 2 < Text.size() && hexDigit(Text[I + 1]) >= 0 &&
                         hexDigit(Text[I + 2]) >= 0;
    if (!Escaped) {
      Decoded += Text[I] == '+' ? ' ' : Text[I];
      continue;
    }
    Decoded += static_cast<char>(hexDigit(Text[I + 1]) * 16 + hexDigit(Text[I + 2]));
    I += 2;
  }
  return Decoded;
}

} // namespace

std::string_view findHeader(const HeaderList &Headers, std::string_view Name) {
  for (const auto &[Key, Value] : Headers)
    if (boost::iequals(Key, Name))
      return Value;
  return {};
}

bool isHopByHop(std::string_view Name) {
  static constexpr std::array<std::string_view, 9> Names{
      "connection", "keep-alive", "proxy-authenticate", "proxy-authorization", "te",
      "trailer",    "upgrade",    "transfer-encoding",  "proxy-connection"};
  return std::any_of(Names.begin(), Names.end(),
                     [&](std::string_view Hop) { return boost::iequals(Hop, Name); });
}

HttpResponse jsonResponse(int Status, std::string Body) {
  return {Status, {{"Content-Type", "application/json"}}, std::move(Body)};
}

HttpResponse errorResponse(const Error &Failure) {
  return errorResponse(Failure, answerFor(Failure.Kind).RetryAfter);
}

HttpResponse errorResponse(const Error &Failure, std::chrono::seconds RetryAfter) {
  const ErrorAnswer &Answer = answerFor(Failure.Kind);
  const boost::json::object Body{{"error", Answer.Name},
                                 {"detail", Failure.Detail},
                                 {"outcome", outcomeName(Answer.Outcome)},
                                 {"retry_after_s", RetryAfter.count()}};
  HttpResponse Response = jsonResponse(Answer.HttpStatus, boost::json::serialize(Body) + "\n");
  Response.Headers.emplace_back("Valveshelf-Outcome", outcomeName(Answer.Outcome));
  if (RetryAfter.count() > 0)
    Response.Headers.emplace_back("Retry-After", std::to_string(RetryAfter.count()));
  return Response;
}

std::string_view pathOf(std::string_view Target) { return Target.substr(0, Target.find('?')); }

std::optional<std::string> queryParameter(std::string_view Target, std::string_view Name) {
  const auto Mark = Target.find('?');
  if (Mark == std::string_view::npos)
    return std::nullopt;
  std::string_view Rest = Target.substr(Mark + 1);
  while (!Rest.empty()) {
    const std::string_view Pair = Rest.substr(0, Rest.find('&'));
    Rest = Pair.size() < Rest.size() ? Rest.substr(Pair.size() + 1) : std::string_view();
    const auto Equals = Pair.find('=');
    if (Pair.substr(0, Equals) == Name)
      return Equals == std::string_view::npos ? "" : percentDecoded(Pair.substr(Equals + 1));
  }
  return std::nullopt;
}

Awaitable<Result<std::string>> readWhole(HttpExchange &Exchange, size_t Most) {
  std::string Body;
  std::array<char, 16 * 1024> Room;
  while (true) {
    Result<size_t> Read = co_await Exchange.readBody(Room);
    if (!ok(Read))
      co_return error(Read);
    if (value(Read) == 0)
      co_return Body;
    Body.append(Room.data(), value(Read));
    if (Body.size() > Most)
      co_return Error{ErrorKind::BadRequest,
                      "request body exceeds the limit of " + std::to_string(Most) + " bytes"};
  }
}

Awaitable<void> sendWhole(HttpExchange &Exchange, HttpResponse Response) {
  co_await Exchange.writeWhole(std::move(Response));
}

} // namespace valveshelf
