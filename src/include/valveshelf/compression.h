// SPDX-License-Identifier: Apache-2.0
// Compression of texts that are distributed to many processes, such as configurations.
#pragma once

#include "valveshelf/errors.h"

#include <string>
#include <string_view>

namespace valveshelf {

/// Compresses \p Text with raw deflate.
std::string compress(std::string_view Text);
/// Returns BadRequest if \p Packed is invalid or truncated, or decompresses to more than \p Most
/// bytes.
Result<std::string> decompress(std::string_view Packed, size_t Most);

} // namespace valveshelf
