// SPDX-License-Identifier: Apache-2.0
// Resource vectors: processors, memory and accelerators, with component-wise arithmetic.
#pragma once

#include <algorithm>
#include <cstdint>

namespace valveshelf {

/// The resources that a task needs or that a box provides.
struct Resources {
  int64_t MilliCores = 0; ///< Thousandths of a processor core.
  int64_t MemoryMb = 0;   ///< Mebibytes.
  int64_t Accelerators = 0;

  friend bool operator==(const Resources &, const Resources &) = default;

  Resources &operator+=(const Resources &Other) {
    MilliCores += Other.MilliCores;
    MemoryMb += Other.MemoryMb;
    Accelerators += Other.Accelerators;
    return *this;
  }
  Resources &operator-=(const Resources &Other) {
    MilliCores -= Other.MilliCores;
    MemoryMb -= Other.MemoryMb;
    Accelerators -= Other.Accelerators;
    return *this;
  }
  friend Resources operator*(Resources A, int64_t Times) {
    return {A.MilliCores * Times, A.MemoryMb * Times, A.Accelerators * Times};
  }
  friend Resources operator+(Resources A, const Resources &B) { return A += B; }
  friend Resources operator-(Resources A, const Resources &B) { return A -= B; }
};

/// True if \p Need is at most \p Room in every dimension.
inline bool fits(const Resources &Need, const Resources &Room) {
  return Need.MilliCores <= Room.MilliCores && Need.MemoryMb <= Room.MemoryMb &&
         Need.Accelerators <= Room.Accelerators;
}

/// The component-wise maximum.
inline Resources componentMax(const Resources &A, const Resources &B) {
  return {std::max(A.MilliCores, B.MilliCores), std::max(A.MemoryMb, B.MemoryMb),
          std::max(A.Accelerators, B.Accelerators)};
}

/// The component-wise minimum.
inline Resources componentMin(const Resources &A, const Resources &B) {
  return {std::min(A.MilliCores, B.MilliCores), std::min(A.MemoryMb, B.MemoryMb),
          std::min(A.Accelerators, B.Accelerators)};
}

/// How many times \p Need fits into \p Room, from 0 to \p Most. \p Most if \p Need is zero.
inline int64_t countFitting(const Resources &Need, const Resources &Room, int64_t Most) {
  int64_t Times = Most;
  if (Need.MilliCores > 0)
    Times = std::min(Times, Room.MilliCores / Need.MilliCores);
  if (Need.MemoryMb > 0)
    Times = std::min(Times, Room.MemoryMb / Need.MemoryMb);
  if (Need.Accelerators > 0)
    Times = std::min(Times, Room.Accelerators / Need.Accelerators);
  return std::max<int64_t>(Times, 0);
}

} // namespace valveshelf
