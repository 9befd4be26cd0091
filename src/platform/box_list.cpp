// SPDX-License-Identifier: Apache-2.0
// Parsing of the platform's list of boxes, and the hashing that assigns racks and jobs to shards.
#include "valveshelf/box.h"

#include <boost/json.hpp>
#include <xxhash.h>

namespace valveshelf {
namespace json = boost::json;

namespace {
std::string textOf(const json::object &Object, std::string_view Key) {
  const json::value *Found = Object.if_contains(json::string_view(Key.data(), Key.size()));
  return Found && Found->is_string() ? std::string(Found->as_string()) : std::string();
}

int64_t numberOf(const json::object &Object, std::string_view Key) {
  const json::value *Found = Object.if_contains(json::string_view(Key.data(), Key.size()));
  return Found && Found->is_int64() ? Found->as_int64() : 0;
}

Result<BoxInfo> parseBox(const json::object &Object) {
  BoxInfo Box;
  Box.Name = textOf(Object, "name");
  const std::string Kind = textOf(Object, "kind");
  Box.Kind = Kind == "worker"     ? BoxKind::Worker
             : Kind == "upstream" ? BoxKind::Upstream
                                  : BoxKind::Entry;
  const Result<Endpoint> Address = parseEndpoint(textOf(Object, "address"));
  if (!ok(Address) || Box.Name.empty())
    return Error{ErrorKind::BadRequest, "box '" + Box.Name + "' has no name or no valid address"};
  Box.Address = value(Address);
  Box.Zone = textOf(Object, "zone");
  Box.Rack = textOf(Object, "rack");
  Box.Service = textOf(Object, "service");
  Box.Capacity = {numberOf(Object, "milli_cores"), numberOf(Object, "memory_mb"),
                  numberOf(Object, "accelerators")};
  Box.Leaving = textOf(Object, "state") == "leaving";
  if (const json::value *Found = Object.if_contains("labels"); Found && Found->is_object())
    for (const auto &[Key, Value] : Found->as_object())
      if (Value.is_string())
        Box.Labels[std::string(Key)] = std::string(Value.as_string());
  Box.Labels.emplace("zone", Box.Zone);
  Box.Labels.emplace("rack", Box.Rack);
  return Box;
}
} // namespace

Result<BoxList> parseBoxList(std::string_view Text) {
  json::error_code Failure;
  const json::value Root = json::parse(json::string_view(Text.data(), Text.size()), Failure);
  const json::value *Boxes =
      !Failure && Root.is_object() ? Root.as_object().if_contains("boxes") : nullptr;
  if (!Boxes || !Boxes->is_array())
    return Error{ErrorKind::BadRequest, "the box list is not a JSON object with an array 'boxes'"};
  BoxList Read;
  for (const json::value &Item : Boxes->as_array()) {
    if (!Item.is_object())
      continue;
    Result<BoxInfo> Box = parseBox(Item.as_object());
    if (!ok(Box))
      return error(Box);
    Read.push_back(std::move(value(Box)));
  }
  return Read;
}

uint32_t shardOfRack(const std::string &Rack, uint32_t Shards) {
  return static_cast<uint32_t>(XXH3_64bits(Rack.data(), Rack.size()) % Shards);
}

uint32_t shardOfJob(const std::string &JobId, uint32_t Shards) {
  return static_cast<uint32_t>(XXH3_64bits(JobId.data(), JobId.size()) % Shards);
}

} // namespace valveshelf
