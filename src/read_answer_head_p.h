#pragma once

#include "answer_head_p.h"
#include "socket_p.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include <algorithm>

namespace plumsill
{
/// Reads one head of an answer as http::async_read_header() does, but fails with bad_field on a folded line. The parser takes such a line for a
/// part of the one before, so a length that it states would be ignored.
template<class Stream, class Body>
boost::asio::awaitable<boost::system::error_code> readAnswerHead(Stream &stream, boost::beast::flat_buffer &buffer,
                                                                 boost::beast::http::response_parser<Body> &parser)
{
    namespace http = boost::beast::http;
    constexpr std::size_t HeadChunkBytes = 16 * 1024;
    FoldedLineFinder folded;
    std::size_t examined = 0;
    while (true) {
        boost::system::error_code error;
        const auto bytes = buffer.cdata();
        const std::string_view unparsed(static_cast<const char *>(bytes.data()), bytes.size());
        if (folded.find(unparsed.substr(examined))) {
            co_return http::make_error_code(http::error::bad_field);
        }
        if (!unparsed.empty()) {
            const std::size_t parsed = parser.put(bytes, error);
            buffer.consume(parsed);
            examined = unparsed.size() - parsed;
            if (parser.is_header_done()) {
                co_return boost::system::error_code();
            }
            if (error && error != http::error::need_more) {
                co_return error;
            }
        }
        const std::size_t room = std::min(HeadChunkBytes, buffer.max_size() - buffer.size());
        if (room == 0) {
            co_return http::make_error_code(http::error::buffer_overflow);
        }
        error = {};
        const std::size_t count = co_await stream.async_read_some(buffer.prepare(room), errorInto(error));
        buffer.commit(count);
        if (error == boost::asio::error::eof) {
            co_return http::make_error_code(parser.got_some() ? http::error::partial_message : http::error::end_of_stream);
        }
        if (error) {
            co_return error;
        }
    }
}
}
