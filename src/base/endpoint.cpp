// SPDX-License-Identifier: Apache-2.0
// Parsing and formatting of addresses.
#include "valveshelf/endpoint.h"

#include <boost/asio/ip/address.hpp>

#include <charconv>

namespace valveshelf {

Result<Endpoint> parseEndpoint(std::string_view Text) {
  const Error ParseError{ErrorKind::BadRequest,
                         "'" + std::string(Text) + "' is not an address; accepted is IP:PORT"};
  const auto Colon = Text.rfind(':');
  if (Colon == std::string_view::npos || Colon == 0)
    return ParseError;
  std::string_view Host = Text.substr(0, Colon);
  const std::string_view Port = Text.substr(Colon + 1);
  if (Host.front() == '[' && Host.back() == ']')
    Host = Host.substr(1, Host.size() - 2);
  boost::system::error_code Failure;
  boost::asio::ip::make_address(std::string(Host), Failure);
  if (Failure)
    return ParseError;
  Endpoint Parsed{std::string(Host), 0};
  const auto [End, Code] = std::from_chars(Port.data(), Port.data() + Port.size(), Parsed.Port);
  if (Code != std::errc() || End != Port.data() + Port.size() || Parsed.Port == 0)
    return ParseError;
  return Parsed;
}

std::string toString(const Endpoint &Value) {
  const bool IsV6 = Value.Host.find(':') != std::string::npos;
  const std::string Host = IsV6 ? "[" + Value.Host + "]" : Value.Host;
  return Host + ":" + std::to_string(Value.Port);
}

} // namespace valveshelf
