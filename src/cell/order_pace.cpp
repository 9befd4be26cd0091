// SPDX-License-Identifier: Apache-2.0
// Doubles and halves the time that an order waits.
#include "cell/order_pace.h"

#include <algorithm>

namespace valveshelf {
namespace {
// Orders in a window: 20 ms of a busy scheduler's, some 200 ms of a small one's.
constexpr int WindowOrders = 32;
// Workers that leave orders unanswered are one in twenty on the users' worst days.
constexpr int LostPart = 8;
// Waves of orders come some 0.3 s apart; a time that falls between two of them makes the next one
// fill the link again. So many windows are 0.3 s of 1,700 orders a second.
constexpr int CalmEnough = 16;
} // namespace

void noteOrder(OrderPace &Pace, bool Answered) {
  ++Pace.Orders;
  Pace.Lost += Answered ? 0 : 1;
  if (Pace.Orders < WindowOrders)
    return;
  const bool Slow = Pace.Lost * LostPart > Pace.Orders;
  Pace.CalmWindows = Slow ? 0 : Pace.CalmWindows + 1;
  if (Slow)
    Pace.Timeout = std::min(Pace.Timeout * 2, Pace.Most);
  else if (Pace.CalmWindows % CalmEnough == 0)
    Pace.Timeout = std::max(Pace.Timeout / 2, Pace.Least);
  Pace.Orders = Pace.Lost = 0;
}

} // namespace valveshelf
