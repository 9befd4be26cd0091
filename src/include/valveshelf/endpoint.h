// SPDX-License-Identifier: Apache-2.0
// Network addresses: IP address and port, as the platform lists them.
#pragma once

#include "valveshelf/errors.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>

namespace valveshelf {

/// Where a process listens. The host is an IP address, never a host name.
struct Endpoint {
  std::string Host;
  uint16_t Port = 0;

  friend bool operator==(const Endpoint &, const Endpoint &) = default;
  friend bool operator<(const Endpoint &A, const Endpoint &B) {
    return std::tie(A.Host, A.Port) < std::tie(B.Host, B.Port);
  }
};

/// Parses "192.0.2.1:80" or "[2001:db8::1]:80". Returns BadRequest for anything else.
Result<Endpoint> parseEndpoint(std::string_view Text);

/// Formats as `parseEndpoint` expects; IPv6 addresses are bracketed.
std::string toString(const Endpoint &Value);

} // namespace valveshelf
