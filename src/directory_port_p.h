#pragma once

#include "../platform/object_directory.h"
#include "store_directory_p.h"

#include <functional>
#include <memory>
#include <utility>
#include <variant>

namespace plumsill
{
/// What the fleet keeps outside itself, wherever it is kept.
class DirectoryPort
{
    template<class Call>
    auto visit(Call call)
    {
        return std::visit([&call](auto &directory) { return call(*directory); }, m_directory);
    }

public:
    using Any = std::variant<std::unique_ptr<StoreDirectory>, std::unique_ptr<platform::ObjectDirectory>>;

    explicit DirectoryPort(Any directory)
        : m_directory(std::move(directory))
    { }

    /// The document in force; the answer proves that no later one existed when the read was sent.
    boost::asio::awaitable<DirectoryResult<DocumentRead>> document()
    {
        return visit([](auto &directory) { return directory.document(); });
    }
    boost::asio::awaitable<DirectoryResult<TargetsRead>> targets()
    {
        return visit([](auto &directory) { return directory.targets(); });
    }
    boost::asio::awaitable<DirectoryResult<std::vector<RegisteredDaemon>>> daemons()
    {
        return visit([](auto &directory) { return directory.daemons(); });
    }
    /// Registers this daemon in place of its last run. @p first: no entry of it is expected.
    boost::asio::awaitable<DirectoryResult<bool>> enroll(const RegisteredDaemon &daemon, bool first)
    {
        return visit([&](auto &directory) { return directory.enroll(daemon, first); });
    }
    boost::asio::awaitable<DirectoryResult<bool>> withdraw(const InstanceName &name)
    {
        return visit([&](auto &directory) { return directory.withdraw(name); });
    }
    /// The secret of the fleet's own messages; the first daemon proposes it.
    boost::asio::awaitable<DirectoryResult<std::string>> peerSecret(const std::string &proposal)
    {
        return visit([&](auto &directory) { return directory.peerSecret(proposal); });
    }
    /// A document in the form in which it is kept, as another daemon passed it on.
    DirectoryResult<DocumentRead> parse(std::string text) const
    {
        return std::visit([&](const auto &directory) { return directory->parse(std::move(text)); }, m_directory);
    }
    /// Later calls go to that address.
    void moveTo(const Endpoint &address)
    {
        std::visit([&](auto &directory) { directory->moveTo(address); }, m_directory);
    }
    std::uint64_t calls() const
    {
        return std::visit([](const auto &directory) { return directory->calls(); }, m_directory);
    }

private:
    Any m_directory;
};

/// Opens the directory that the settings name.
using OpenDirectory = std::function<DirectoryPort(boost::asio::io_context &context, const Settings &settings)>;
}
