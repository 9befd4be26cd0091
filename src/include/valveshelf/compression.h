// SPDX-License-Identifier: Apache-2.0
// Texts that go to many processes, made smaller.
#pragma once

#include "valveshelf/errors.h"

#include <string>
#include <string_view>

namespace valveshelf {

/// Deflated; a configuration takes a tenth.
std::string compress(std::string_view Text);
/// BadRequest if \p Packed can't be read or holds more than \p Most bytes.
Result<std::string> decompress(std::string_view Packed, size_t Most);

} // namespace valveshelf
