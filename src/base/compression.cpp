// SPDX-License-Identifier: Apache-2.0
// Compression with the deflate implementation of Boost.Beast.
#include "valveshelf/compression.h"

#include <boost/beast/zlib/deflate_stream.hpp>
#include <boost/beast/zlib/inflate_stream.hpp>

#include <algorithm>

namespace valveshelf {
namespace zlib = boost::beast::zlib;

std::string compress(std::string_view Text) {
  zlib::deflate_stream Stream;
  std::string Packed(Stream.upper_bound(Text.size()), '\0');
  zlib::z_params Step;
  Step.next_in = Text.data();
  Step.avail_in = Text.size();
  Step.next_out = Packed.data();
  Step.avail_out = Packed.size();
  boost::system::error_code Code;
  Stream.write(Step, zlib::Flush::finish, Code);
  Packed.resize(Step.total_out);
  return Packed;
}

Result<std::string> decompress(std::string_view Packed, size_t Most) {
  const Error Unreadable{ErrorKind::BadRequest, "the compressed text is invalid or truncated"};
  zlib::inflate_stream Stream;
  zlib::z_params Step;
  Step.next_in = Packed.data();
  Step.avail_in = Packed.size();
  std::string Text;
  boost::system::error_code Code;
  while (Code != zlib::error::end_of_stream) {
    if (Text.size() >= Most)
      return Error{ErrorKind::BadRequest, "the decompressed text exceeds the size limit"};
    constexpr size_t Piece = 64 * 1024;
    const size_t Before = Text.size();
    Text.resize(std::min(Before + Piece, Most));
    Step.next_out = Text.data() + Before;
    Step.avail_out = Text.size() - Before;
    Stream.write(Step, zlib::Flush::sync, Code);
    Text.resize(Text.size() - Step.avail_out);
    const bool Stuck = !Code && Step.avail_in == 0 && Text.size() == Before;
    if (Stuck || (Code && Code != zlib::error::end_of_stream))
      return Unreadable;
  }
  return Text;
}

} // namespace valveshelf
