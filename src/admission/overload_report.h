// SPDX-License-Identifier: Apache-2.0
// Text form of `GET /v1/overload`, for `valveshelf report overload`.
#pragma once

#include "valveshelf/errors.h"

#include <string>
#include <string_view>

namespace valveshelf {

/// Formats the answer of one process. BadRequest: \p Body is not such an answer.
Result<std::string> overloadTable(std::string_view Body);

} // namespace valveshelf
