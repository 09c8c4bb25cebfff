#include "pch_p.h"

#include "frames_p.h"

#include <plumsill/config.h>

#include <array>

namespace plumsill
{
namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace
{
constexpr std::size_t LengthPrefixBytes = 4;

std::string toFrame(const std::string &message)
{
    const auto size = static_cast<std::uint32_t>(message.size());
    std::string frame;
    for (unsigned byte = 0; byte < LengthPrefixBytes; ++byte) {
        frame.push_back(static_cast<char>(size >> (8 * (LengthPrefixBytes - 1 - byte))));
    }
    return frame + message;
}

std::size_t decodeLength(const std::array<unsigned char, LengthPrefixBytes> &bytes)
{
    std::size_t length = 0;
    for (const unsigned char byte : bytes) {
        length = length << 8 | byte;
    }
    return length;
}
}

asio::awaitable<error_code> writeFrame(tcp::socket &socket, const std::string &message)
{
    const std::string frame = toFrame(message);
    error_code error;
    co_await asio::async_write(socket, asio::buffer(frame), asio::redirect_error(asio::use_awaitable, error));
    co_return error;
}

// The buffer grows with the bytes received, so a peer can't reserve memory by announcing a large message.
asio::awaitable<std::string> readFrame(tcp::socket &socket)
{
    std::array<unsigned char, LengthPrefixBytes> lengthPrefix {};
    error_code error;
    co_await asio::async_read(socket, asio::buffer(lengthPrefix), asio::redirect_error(asio::use_awaitable, error));
    const std::size_t length = decodeLength(lengthPrefix);
    if (error || length > config::MaxStreamMessageBytes) {
        co_return std::string();
    }
    std::string message;
    co_await asio::async_read(socket, asio::dynamic_buffer(message, length), asio::transfer_exactly(length), asio::redirect_error(asio::use_awaitable, error));
    co_return error ? std::string() : message;
}
}
