// SPDX-License-Identifier: Apache-2.0
// Parsing and lookup of callers' keys.
#include "cell/caller_keys.h"

#include <xxhash.h>

#include <boost/beast/core/string.hpp>

#include <algorithm>

namespace valveshelf {
using namespace sched;

namespace {
// Well above the length of issued keys (20 bytes); bounds the input of the hash.
constexpr size_t MaxKeyBytes = 200;
constexpr unsigned char AsciiSpace = 0x20;
constexpr unsigned char AsciiDelete = 0x7f;

KeyIndex::Digest digestOf(std::string_view Key, uint64_t Seed) {
  const XXH128_hash_t Hash = XXH3_128bits_withSeed(Key.data(), Key.size(), Seed);
  return {Hash.high64, Hash.low64};
}

// Compares every byte, so that the time does not depend on where the keys differ.
bool equalInConstantTime(std::string_view A, std::string_view B) {
  if (A.size() != B.size())
    return false;
  unsigned Differences = 0;
  for (size_t I = 0; I < A.size(); ++I)
    Differences |= static_cast<unsigned char>(A[I]) ^ static_cast<unsigned char>(B[I]);
  return Differences == 0;
}

bool isWellFormedKey(std::string_view Text) {
  return !Text.empty() && Text.size() <= MaxKeyBytes &&
         std::none_of(Text.begin(), Text.end(), [](char Character) {
           const auto Byte = static_cast<unsigned char>(Character);
           return Byte < AsciiSpace || Byte == AsciiDelete;
         });
}
} // namespace

KeyIndex makeKeyIndex(ConfigurationPtr Config, uint64_t Seed) {
  KeyIndex Index{std::move(Config), Seed, {}};
  if (!Index.Config || !Index.Config->Organisations)
    return Index;
  for (const Organisation &Owner : *Index.Config->Organisations)
    for (const std::string &Key : Owner.Keys)
      Index.Entries[digestOf(Key, Seed)] = {Key, &Owner};
  return Index;
}

const Organisation *findKeyOwner(const KeyIndex &Index, std::string_view Key) {
  const auto Found = Index.Entries.find(digestOf(Key, Index.Seed));
  if (Found == Index.Entries.end() || !equalInConstantTime(Found->second.Key, Key))
    return nullptr;
  return Found->second.Owner;
}

std::optional<std::string> readCallerKey(const HeaderList &Headers, std::string_view Name) {
  const auto IsKey = [&](const auto &Field) { return boost::beast::iequals(Field.first, Name); };
  const auto First = std::find_if(Headers.begin(), Headers.end(), IsKey);
  if (First == Headers.end() ||
      std::find_if(std::next(First), Headers.end(), IsKey) != Headers.end())
    return std::nullopt;
  return isWellFormedKey(First->second) ? std::optional(First->second) : std::nullopt;
}

} // namespace valveshelf
