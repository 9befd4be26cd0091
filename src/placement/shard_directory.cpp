// SPDX-License-Identifier: Apache-2.0
// Chooses the shards for tasks: those with a suitable box, by reported free capacity and queue
// length.
#include "valveshelf/shard_directory.h"

#include <algorithm>

namespace valveshelf {
namespace {
// Reported loads older than this are not used for placement.
constexpr std::chrono::seconds StaleAfter{10};
constexpr size_t MaxCachedShapes = 1024;

std::string shapeKey(const JobSpec &Spec) {
  return Spec.BoxSelector + "|" + std::to_string(Spec.Size.MilliCores) + "|" +
         std::to_string(Spec.Size.MemoryMb) + "|" + std::to_string(Spec.Size.Accelerators);
}
} // namespace

ShardDirectory::ShardDirectory(uint32_t Shards)
    : Shards(Shards), Boxes(std::make_shared<BoxList>()) {}

void ShardDirectory::setBoxes(BoxList List) {
  std::lock_guard Lock(Mutex);
  if (*Boxes == List)
    return;
  Workers.clear();
  CapableCache.clear();
  for (const BoxInfo &Box : List)
    if (Box.Kind == BoxKind::Worker)
      Workers[shardOfRack(Box.Rack, Shards)].push_back(Box);
  Boxes = std::make_shared<const BoxList>(std::move(List));
}

std::shared_ptr<const BoxList> ShardDirectory::boxes() const {
  std::lock_guard Lock(Mutex);
  return Boxes;
}

BoxList ShardDirectory::workersOf(uint32_t Shard) const {
  std::lock_guard Lock(Mutex);
  const auto Found = Workers.find(Shard);
  return Found == Workers.end() ? BoxList{} : Found->second;
}

void ShardDirectory::applySummary(const wire::ShardSummary &Summary, TimePoint Now) {
  std::lock_guard Lock(Mutex);
  ShardLoad &Load = Loads[Summary.shard()];
  if (Summary.epoch() < Load.Epoch)
    return;
  const auto Read = [](const wire::Resources &Wire) {
    return Resources{Wire.milli_cores(), Wire.memory_mb(), Wire.accelerators()};
  };
  Load.Free = Read(Summary.free());
  Load.LargestFree = Read(Summary.largest_free());
  Load.Workers = Summary.workers();
  Load.Queued = Summary.queued();
  Load.Epoch = Summary.epoch();
  Load.ReceivedAt = Now;
  Load.Use.clear();
  for (const wire::TeamUse &Line : Summary.use())
    Load.Use[Line.team()] = Read(Line.booked());
}

Resources ShardDirectory::usedElsewhere(const std::string &Key, uint32_t ExceptShard) const {
  std::lock_guard Lock(Mutex);
  Resources Sum;
  for (const auto &[Shard, Load] : Loads) {
    const auto Found = Load.Use.find(Key);
    if (Shard != ExceptShard && Found != Load.Use.end())
      Sum += Found->second;
  }
  return Sum;
}

std::map<uint32_t, ShardLoad> ShardDirectory::loads() const {
  std::lock_guard Lock(Mutex);
  return Loads;
}

bool ShardDirectory::canHold(const BoxInfo &Box, const JobSpec &Spec,
                             const Selector &Wanted) const {
  return fits(Spec.Size, Box.Capacity) && matches(Wanted, Box.Labels);
}

std::vector<uint32_t> ShardDirectory::capableShards(const JobSpec &Spec) const {
  const Result<Selector> Wanted = parseSelector(Spec.BoxSelector);
  if (!ok(Wanted))
    return {};
  std::lock_guard Lock(Mutex);
  const std::string Key = shapeKey(Spec);
  if (const auto Found = CapableCache.find(Key); Found != CapableCache.end())
    return Found->second;
  std::vector<uint32_t> Capable;
  for (const auto &[Shard, List] : Workers)
    if (std::any_of(List.begin(), List.end(),
                    [&](const BoxInfo &Box) { return canHold(Box, Spec, value(Wanted)); }))
      Capable.push_back(Shard);
  if (CapableCache.size() >= MaxCachedShapes)
    CapableCache.clear();
  return CapableCache[Key] = std::move(Capable);
}

std::string ShardDirectory::explainImpossible(const JobSpec &Spec) const {
  const Result<Selector> Wanted = parseSelector(Spec.BoxSelector);
  std::lock_guard Lock(Mutex);
  size_t Known = 0;
  size_t Selected = 0;
  Resources Most;
  for (const auto &[Shard, List] : Workers)
    for (const BoxInfo &Box : List) {
      ++Known;
      if (!ok(Wanted) || !matches(value(Wanted), Box.Labels))
        continue;
      ++Selected;
      Most = componentMax(Most, Box.Capacity);
    }
  return "no box can hold a task of " + std::to_string(Spec.Size.MilliCores) + " milli-cores, " +
         std::to_string(Spec.Size.MemoryMb) + " MB and " + std::to_string(Spec.Size.Accelerators) +
         " accelerators: of " + std::to_string(Known) + " boxes, " + std::to_string(Selected) +
         " match the selector, and the largest amounts among these are " +
         std::to_string(Most.MilliCores) + " milli-cores, " + std::to_string(Most.MemoryMb) +
         " MB and " + std::to_string(Most.Accelerators) + " accelerators";
}

bool ShardDirectory::hasRoomElsewhere(const JobSpec &Spec, uint32_t ExceptShard,
                                      TimePoint Now) const {
  for (const uint32_t Shard : capableShards(Spec)) {
    if (Shard == ExceptShard)
      continue;
    std::lock_guard Lock(Mutex);
    const auto Found = Loads.find(Shard);
    const bool HasRoom = Found != Loads.end() && Now - Found->second.ReceivedAt < StaleAfter &&
                         Found->second.Queued == 0 && fits(Spec.Size, Found->second.LargestFree);
    if (HasRoom)
      return true;
  }
  return false;
}

std::vector<std::pair<uint32_t, uint32_t>>
ShardDirectory::chooseShards(const JobSpec &Spec, uint32_t Count, bool Pack, TimePoint Now) {
  const std::vector<uint32_t> Capable = capableShards(Spec);
  if (Capable.empty() || Count == 0)
    return {};
  struct Offer {
    uint32_t Shard;
    uint32_t Times;
    int64_t FreeCores;
  };
  std::lock_guard Lock(Mutex);
  std::vector<Offer> Offers;
  for (const uint32_t Shard : Capable) {
    const auto Found = Loads.find(Shard);
    if (Found == Loads.end() || Now - Found->second.ReceivedAt >= StaleAfter ||
        !fits(Spec.Size, Found->second.LargestFree))
      continue;
    const auto Times = static_cast<uint32_t>(countFitting(Spec.Size, Found->second.Free, Count));
    Offers.push_back({Shard, Times, Found->second.Free.MilliCores});
  }
  std::sort(Offers.begin(), Offers.end(), [Pack](const Offer &A, const Offer &B) {
    return Pack ? A.FreeCores < B.FreeCores : A.FreeCores > B.FreeCores;
  });
  std::map<uint32_t, uint32_t> Shares;
  uint32_t Left = Count;
  for (const Offer &O : Offers) {
    const uint32_t Take = std::min(Left, O.Times);
    if (Take == 0)
      continue;
    Shares[O.Shard] += Take;
    Left -= Take;
    ShardLoad &Load = Loads[O.Shard];
    for (uint32_t I = 0; I < Take; ++I)
      Load.Free -= Spec.Size;
  }
  // The rest goes to the shards with the shortest queues relative to their number of workers.
  while (Left > 0) {
    uint32_t Best = Capable.front();
    double BestQueue = 1e18;
    for (const uint32_t Shard : Capable) {
      const double Queue = static_cast<double>(Loads[Shard].Queued + Shares[Shard]) /
                           static_cast<double>(Workers[Shard].size() + 1);
      if (Queue < BestQueue) {
        Best = Shard;
        BestQueue = Queue;
      }
    }
    const uint32_t Take = std::max<uint32_t>(1, Left / static_cast<uint32_t>(Capable.size()));
    Shares[Best] += Take;
    Loads[Best].Queued += Take;
    Left -= std::min(Left, Take);
  }
  std::erase_if(Shares, [](const auto &Share) { return Share.second == 0; });
  return {Shares.begin(), Shares.end()};
}

} // namespace valveshelf
