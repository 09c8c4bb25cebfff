#pragma once

#include "../src/http_client_p.h"
#include "../src/socket_p.h"
#include "platform_document.h"
#include "soak_oracle.h"

#include <plumsill/attempt.h>
#include <plumsill/dialect.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <xxhash.h>

#include <array>
#include <cstdio>
#include <random>
#include <string>
#include <vector>

/// What the soak's callers send, and the document that the fleet serves them by.
namespace plumsill::soak
{
inline constexpr const char *Services[] = {"lookup", "payments", "records"};
inline constexpr TeamQuota BlueQuota {40, 20};
inline constexpr unsigned SentDeadline = 4000; ///< milliseconds; deadline that a request carries
inline constexpr std::size_t FileBytes = 400'000; ///< size of a large answer, more than the buffers between a target and a caller hold
inline constexpr std::size_t StreamedBytes = 1'500'000; ///< size of an answer that a daemon streams

/// Entries that another writer may leave among the targets: nesting, numbers and ports out of range, half of a surrogate pair, bytes that are no UTF-8.
inline std::string oddEntries()
{
    const std::string nested = std::string(50'000, '[') + std::string(50'000, ']');
    std::string entries;
    for (const std::string &spec : {nested, std::string(R"({"slots":1e999})"), std::string(R"({"address":"127.0.0.1:99999"})"),
                                    std::string(R"({"service":"\ud800"})"), std::string("{\"service\":\"\xff\"}")}) {
        entries += (entries.empty() ? "" : ",") + (R"({"metadata":{"name":"odd"},"spec":)" + spec + "}");
    }
    return entries;
}

/// Chooses requests at random, and knows the keys and versions that are in force.
class Load
{
public:
    Load(std::uint64_t seed, Dialect dialect)
        : m_seed(seed)
        , m_dialect(std::move(dialect))
        , m_random(seed + 1)
    { }

    unsigned version() const { return m_version; }
    void nextVersion() { ++m_version; }
    std::string greenKey() const { return "green-key-" + std::to_string(m_keyNumber); }
    /// Replaces the green team's key; returns the withdrawn one.
    std::string withdrawGreenKey()
    {
        m_withdrawnKeys.push_back(greenKey());
        ++m_keyNumber;
        return m_withdrawnKeys.back();
    }

    test::PlatformDocument document() const
    {
        test::PlatformDocument document;
        document.version = m_version;
        for (const char *service : Services) {
            document.services.emplace_back(service);
        }
        document.routes = {{"read", "/read/", "lookup", true, false, 2, 3000, 1000, 1},
                           {"order", "/order/", "payments", false, false, 1, 3000, 1000},
                           {"open", "/open/", "records", true, true, 2, 3000, 1000, 2},
                           {"file", "/file/", "records", true, false, 2, 3000, 2000, 2, true}};
        const unsigned oldest = m_version >= Oracle::KeptVersions ? m_version - Oracle::KeptVersions + 1 : 1;
        for (unsigned version = oldest; version <= m_version; ++version) {
            const std::string number = std::to_string(version);
            document.routes.push_back({"version-" + number, "/v" + number + "/", "lookup", true, true, 2, 3000, 1000, 1});
        }
        document.teams = {{"red", {"red-key-0000"}, 0, 0}, {"blue", {"blue-key-0000"}, BlueQuota.rate, BlueQuota.burst}, {"green", {greenKey()}, 0, 0}};
        return document;
    }

    /// Next request of a caller. Caller 0 requests the routes of the newest two versions.
    SentRequest next(const std::string &daemon, unsigned caller)
    {
        SentRequest sentRequest = requestOf(daemon);
        if (caller == 0) {
            sentRequest.version = m_version - std::min<unsigned>(static_cast<unsigned>(m_random() % 2), m_version - 1);
            sentRequest.path = "/v" + std::to_string(sentRequest.version) + "/x";
            return sentRequest;
        }
        const auto kind = m_random() % 20;
        sentRequest.path = (kind < 8 ? "/order/" : kind < 17 ? "/read/" : kind == 17 ? "/file/" : "/open/") + sentRequest.id;
        if (kind < 8) {
            sentRequest.method = "POST";
            sentRequest.idempotent = false;
        }
        if (kind < 18) {
            chooseKey(sentRequest);
        }
        return sentRequest;
    }

    /// Next request for a large answer.
    SentRequest nextFile(const std::string &daemon)
    {
        SentRequest sentRequest = requestOf(daemon);
        sentRequest.path = "/file/" + sentRequest.id;
        sentRequest.team = "red";
        sentRequest.key = "red-key-0000";
        return sentRequest;
    }

    HttpRequest toHttp(const SentRequest &sentRequest, std::size_t fileBytes = FileBytes) const
    {
        HttpRequest request;
        request.method = sentRequest.method;
        request.target = sentRequest.path + (sentRequest.path.starts_with("/file/") ? "?bytes=" + std::to_string(fileBytes) : "");
        request.fields = {{"Host", test::FleetHost}, {m_dialect.requestId, sentRequest.id}, {m_dialect.deadline, std::to_string(SentDeadline)}};
        if (!sentRequest.key.empty()) {
            request.fields.push_back({"Authorization", "Bearer " + sentRequest.key});
        }
        request.body = sentRequest.method == "POST" ? "order " + sentRequest.id : "";
        return request;
    }

    /// Whether the signature of a target's answer is the one for this request.
    bool matches(const SentRequest &sentRequest, const HttpAnswer &answer) const
    {
        const std::string signature = fieldValue(answer.fields, m_dialect.signature);
        if (signature.empty()) {
            return answer.status < 200 || answer.status > 299;
        }
        const std::string signedText = sentRequest.id + " " + std::to_string(answer.status) + " " + answer.body;
        std::array<char, 20> expected {};
        std::snprintf(expected.data(), expected.size(), "%llx", static_cast<unsigned long long>(XXH64(signedText.data(), signedText.size(), 0)));
        return signature == expected.data();
    }

private:
    SentRequest requestOf(const std::string &daemon)
    {
        SentRequest sentRequest;
        sentRequest.id = std::to_string(m_seed) + "-" + std::to_string(++m_nextId);
        sentRequest.daemon = daemon;
        sentRequest.method = "GET";
        return sentRequest;
    }

    void chooseKey(SentRequest &sentRequest)
    {
        const auto team = m_random() % 8;
        if (team < 4) {
            sentRequest.team = "red";
            sentRequest.key = "red-key-0000";
        } else if (team < 6) {
            sentRequest.team = "blue";
            sentRequest.key = "blue-key-0000";
        } else if (team == 6 || m_withdrawnKeys.empty()) {
            sentRequest.team = "green";
            sentRequest.key = greenKey();
        } else if (m_random() % 2 == 0) {
            sentRequest.team = "green";
            sentRequest.key = m_withdrawnKeys[m_random() % m_withdrawnKeys.size()];
        } else {
            sentRequest.key = "nobodys-key-00";
            sentRequest.mayRun = false;
        }
    }

    const std::uint64_t m_seed;
    const Dialect m_dialect;
    std::mt19937_64 m_random;
    unsigned m_version = 0;
    unsigned m_keyNumber = 0;
    std::vector<std::string> m_withdrawnKeys;
    std::uint64_t m_nextId = 0;
};

inline std::string headOf(const HttpRequest &request)
{
    std::string text = request.method + " " + request.target + " HTTP/1.1\r\n";
    for (const auto &field : request.fields) {
        text += field.name + ": " + field.value + "\r\n";
    }
    return text + "\r\n";
}

/// Sends @p text and reads at about 1 kB/s until @p until, through a small window. Closes the connection then, mostly before the end of a large answer.
inline boost::asio::awaitable<void> readSlowly(boost::asio::io_context &context, Endpoint to, std::string text, TimePoint until)
{
    constexpr auto Pause = std::chrono::milliseconds(250);
    boost::asio::ip::tcp::socket socket(context);
    boost::system::error_code error;
    socket.open(boost::asio::ip::tcp::v4(), error);
    socket.set_option(boost::asio::socket_base::receive_buffer_size(4096), error);
    const boost::asio::ip::tcp::endpoint peer(boost::asio::ip::make_address(to.address), to.port);
    co_await socket.async_connect(peer, errorInto(error));
    if (!error) {
        co_await boost::asio::async_write(socket, boost::asio::buffer(text), errorInto(error));
    }
    std::array<char, 256> bytes {};
    while (!error && RuntimeClock::now() < until) {
        co_await sleepFor(Pause);
        co_await socket.async_read_some(boost::asio::buffer(bytes), errorInto(error));
    }
}
}
