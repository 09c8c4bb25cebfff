#include <plumsill/compression.h>

#include <boost/beast/zlib/deflate_stream.hpp>
#include <boost/beast/zlib/inflate_stream.hpp>

namespace plumsill
{
namespace
{
namespace zlib = boost::beast::zlib;

constexpr int Level = 3; // documents repeat themselves closely, so a higher level costs time and saves few bytes
constexpr int WindowBits = 15;
constexpr int MemoryLevel = 8;
// DEFLATE encodes at most 258 bytes in two bits, so a larger ratio can't be genuine.
constexpr std::size_t MaxRatio = 1032;
}

std::string compress(std::string_view text)
{
    zlib::deflate_stream stream;
    stream.reset(Level, WindowBits, MemoryLevel, zlib::Strategy::normal);
    std::string packed(stream.upper_bound(text.size()), '\0');
    zlib::z_params parameters;
    parameters.next_in = text.data();
    parameters.avail_in = text.size();
    parameters.next_out = packed.data();
    parameters.avail_out = packed.size();
    boost::system::error_code end;
    stream.write(parameters, zlib::Flush::finish, end);
    packed.resize(parameters.total_out);
    return packed;
}

std::optional<std::string> decompress(std::string_view packed, std::size_t size)
{
    if (size > packed.size() * MaxRatio) {
        return std::nullopt;
    }
    zlib::inflate_stream stream;
    stream.reset(WindowBits);
    std::string text(size + 1, '\0'); // one byte more than expected, so that a longer text is noticed
    zlib::z_params parameters;
    parameters.next_in = packed.data();
    parameters.avail_in = packed.size();
    parameters.next_out = text.data();
    parameters.avail_out = text.size();
    boost::system::error_code error;
    stream.write(parameters, zlib::Flush::sync, error);
    if (error != zlib::error::end_of_stream || parameters.total_out != size) {
        return std::nullopt;
    }
    text.resize(size);
    return text;
}
}
