// SPDX-License-Identifier: Apache-2.0
// JSON encoding of the store's `cell/` records, and the choice of a shard's preferred owner.
#include "valveshelf/membership.h"

#include <boost/json.hpp>
#include <xxhash.h>

#include <algorithm>

namespace valveshelf {
namespace json = boost::json;
namespace {

Endpoint endpointIn(const json::object &Object, const char *Key) {
  const Result<Endpoint> Parsed = parseEndpoint(std::string(Object.at(Key).as_string()));
  return ok(Parsed) ? value(Parsed) : Endpoint{};
}

std::string textIn(const json::object &Object, const char *Key) {
  return std::string(Object.at(Key).as_string());
}

template <class T, class Reader> Result<T> decoded(const std::string &Text, Reader Read) {
  try {
    const json::value Root = json::parse(Text);
    return Read(Root.as_object());
  } catch (const std::exception &E) {
    return Error{ErrorKind::Internal,
                 std::string("cannot parse a member or owner record: ") + E.what()};
  }
}

} // namespace

std::string memberKey(const std::string &Name) { return "cell/member/" + Name; }
std::string ownerKey(uint32_t Shard) { return "cell/own/" + std::to_string(Shard); }
std::string handoverKey(uint32_t Shard) { return "handover/" + std::to_string(Shard); }

std::string encodeMember(const MemberInfo &Value) {
  return json::serialize(json::object{{"name", Value.Name},
                                      {"log", Value.Log},
                                      {"partner", Value.Partner},
                                      {"zone", Value.Zone},
                                      {"callers", toString(Value.Callers)},
                                      {"operators", toString(Value.Operators)},
                                      {"peers", toString(Value.Peers)},
                                      {"leaving", Value.Leaving}});
}

Result<MemberInfo> decodeMember(const std::string &Text) {
  return decoded<MemberInfo>(Text, [](const json::object &Object) {
    MemberInfo Read;
    Read.Name = textIn(Object, "name");
    Read.Log = textIn(Object, "log");
    Read.Partner = textIn(Object, "partner");
    Read.Zone = textIn(Object, "zone");
    Read.Callers = endpointIn(Object, "callers");
    Read.Operators = endpointIn(Object, "operators");
    Read.Peers = endpointIn(Object, "peers");
    Read.Leaving = Object.at("leaving").as_bool();
    return Read;
  });
}

std::string encodeOwner(const OwnerRecord &Value) {
  return json::serialize(json::object{{"shard", Value.Shard},
                                      {"log", Value.Log},
                                      {"member", Value.Member},
                                      {"peers", toString(Value.Peers)},
                                      {"epoch", Value.Epoch},
                                      {"released", Value.Released},
                                      {"heir", Value.Successor}});
}

Result<OwnerRecord> decodeOwner(const std::string &Text) {
  return decoded<OwnerRecord>(Text, [](const json::object &Object) {
    OwnerRecord Read;
    Read.Shard = Object.at("shard").to_number<uint32_t>();
    Read.Log = textIn(Object, "log");
    Read.Member = textIn(Object, "member");
    Read.Peers = endpointIn(Object, "peers");
    Read.Epoch = Object.at("epoch").to_number<uint64_t>();
    Read.Released = Object.at("released").as_bool();
    Read.Successor = textIn(Object, "heir");
    return Read;
  });
}

const MemberInfo *preferredOwner(const CellView &View, uint32_t Shard, size_t Rank) {
  std::vector<std::pair<uint64_t, const MemberInfo *>> Ranked;
  for (const auto &[Log, Member] : View.Members) {
    if (Member.Leaving)
      continue;
    const std::string Pair = Member.Name + "/" + std::to_string(Shard);
    Ranked.emplace_back(XXH3_64bits(Pair.data(), Pair.size()), &Member);
  }
  if (Rank >= Ranked.size())
    return nullptr;
  std::nth_element(Ranked.begin(), Ranked.begin() + static_cast<ptrdiff_t>(Rank), Ranked.end(),
                   [](const auto &A, const auto &B) { return A.first > B.first; });
  return Ranked[Rank].second;
}

} // namespace valveshelf
