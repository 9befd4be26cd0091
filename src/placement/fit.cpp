// SPDX-License-Identifier: Apache-2.0
// Filters and scores the workers of a shard for a placement decision, in one pass.
#include "placement/fit.h"

#include <algorithm>

namespace valveshelf {
namespace {

// Returns the operators' steering rules that match a workload.
std::vector<const SteerConfig *> steeringOf(const JobSpec &Spec, const CellConfig &Config) {
  std::vector<const SteerConfig *> Found;
  const auto Partner = Config.Partners.find(Spec.Partner);
  if (Partner == Config.Partners.end())
    return Found;
  for (const SteerConfig &Steer : Partner->second.Steering)
    if (matches(Steer.Workloads, Spec.Labels))
      Found.push_back(&Steer);
  return Found;
}

std::string cacheKey(const JobSpec &Spec, const CellConfig &Config,
                     const std::vector<const SteerConfig *> &Steering) {
  std::string Key = Spec.BoxSelector;
  if (Steering.empty())
    return Key;
  Key += '\n' + Spec.Partner + '\n' + std::to_string(Config.Version);
  for (const SteerConfig *Steer : Steering)
    Key += '\n' + std::to_string(Steer - Config.Partners.at(Spec.Partner).Steering.data());
  return Key;
}

// Returns the utilisation of the scarcer of processors and memory after the placement, 0 to 1.
double fullness(const PlacementCandidate &Candidate, const Resources &Size) {
  const auto Share = [](int64_t Free, int64_t Take, int64_t Whole) {
    return Whole > 0 ? 1.0 - static_cast<double>(Free - Take) / static_cast<double>(Whole) : 0.0;
  };
  return std::max(Share(Candidate.Free.MilliCores, Size.MilliCores, Candidate.Capacity.MilliCores),
                  Share(Candidate.Free.MemoryMb, Size.MemoryMb, Candidate.Capacity.MemoryMb));
}

// Keeps workers with accelerators free for tasks that request them.
constexpr double AcceleratorPenalty = 10.0;

double scoreOf(const PlacementCandidate &Candidate, const JobSpec &Spec,
               const PlacementConfig &Weights) {
  const double Full = fullness(Candidate, Spec.Size);
  double Score = Weights.Pack * Full + Weights.Spread * (1.0 - Full);
  if (Spec.Size.Accelerators == 0 && Candidate.Capacity.Accelerators > 0)
    Score -= AcceleratorPenalty;
  return Score;
}

// The selector cache is cleared when it reaches this size.
constexpr size_t MaxCachedSelectors = 512;

} // namespace

bool isHeldBack(const JobSpec &Spec, const CellConfig &Config) {
  const auto Steering = steeringOf(Spec, Config);
  return std::any_of(Steering.begin(), Steering.end(),
                     [](const SteerConfig *Steer) { return Steer->Hold; });
}

const std::vector<char> &selectedCandidates(ShardState &State, const JobSpec &Spec,
                                            const CellConfig &Config) {
  const auto Steering = steeringOf(Spec, Config);
  const std::string Key = cacheKey(Spec, Config, Steering);
  const auto Found = State.SelectorCache.find(Key);
  if (Found != State.SelectorCache.end())
    return Found->second;
  if (State.SelectorCache.size() >= MaxCachedSelectors)
    State.SelectorCache.clear();
  const Result<Selector> Parsed = parseSelector(Spec.BoxSelector);
  std::vector<char> Allowed;
  Allowed.reserve(State.Candidates.size());
  for (const PlacementCandidate &Candidate : State.Candidates) {
    const Labels &BoxLabels = Candidate.Worker->Box.Labels;
    bool Allow = ok(Parsed) && matches(value(Parsed), BoxLabels);
    for (const SteerConfig *Steer : Steering)
      Allow = Allow && matches(Steer->Boxes, BoxLabels);
    Allowed.push_back(Allow ? 1 : 0);
  }
  return State.SelectorCache[Key] = std::move(Allowed);
}

WorkerState *bestWorker(ShardState &State, const JobSpec &Spec, const CellConfig &Config,
                        const std::string &Avoid) {
  const std::vector<char> &Allowed = selectedCandidates(State, Spec, Config);
  const PlacementConfig Weights = placementWeights(Config, Spec.Partner);
  WorkerState *Best = nullptr;
  WorkerState *Avoided = nullptr;
  double BestScore = 0;
  for (size_t I = 0; I < State.Candidates.size(); ++I) {
    const PlacementCandidate &Candidate = State.Candidates[I];
    if (!Candidate.Usable || !Allowed[I] || !fits(Spec.Size, Candidate.Free))
      continue;
    if (!Avoid.empty() && Candidate.Worker->Box.Name == Avoid) {
      Avoided = Candidate.Worker;
      continue;
    }
    const double Score = scoreOf(Candidate, Spec, Weights);
    if (Best && Score <= BestScore)
      continue;
    Best = Candidate.Worker;
    BestScore = Score;
  }
  return Best ? Best : Avoided;
}

} // namespace valveshelf
