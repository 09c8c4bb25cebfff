// Library for a process under test (LD_PRELOAD): partitions that process alone from some addresses, as a proxy can't, since it
// accepts connections before it can refuse them. Reads the file $PARTITION_FILE: MODE PREFIX SINK, where PREFIX is the
// beginning of the addresses that are cut off, and SINK an endpoint that never answers. Modes: refuse: new connections are
// refused; hang: new connections hang, and what is sent on open ones is lost; reset: new connections are refused, and open ones
// reset at their next use; silent: what is sent on connections that were open before the file changed is lost; none.
#include <arpa/inet.h>
#include <dlfcn.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <time.h>

#include <array>
#include <atomic>
#include <cerrno>
#include <cstdlib>
#include <fstream>
#include <string>

namespace
{
struct Partition {
    std::string mode;
    std::string prefix;
    std::string sink;
    int sinkPort = 0;
};

Partition currentPartition()
{
    Partition partition;
    const char *path = std::getenv("PARTITION_FILE");
    std::ifstream file(path == nullptr ? "" : path);
    file >> partition.mode >> partition.prefix >> partition.sink >> partition.sinkPort;
    return partition;
}

bool cutOff(const Partition &partition, const sockaddr *address)
{
    if (address == nullptr || address->sa_family != AF_INET || partition.prefix.empty() || partition.mode == "none") {
        return false;
    }
    char text[INET_ADDRSTRLEN] = {};
    inet_ntop(AF_INET, &reinterpret_cast<const sockaddr_in *>(address)->sin_addr, text, sizeof text);
    return std::string(text).starts_with(partition.prefix);
}

template<class Function>
Function next(const char *name)
{
    return reinterpret_cast<Function>(dlsym(RTLD_NEXT, name));
}

constexpr std::size_t MaxDescriptors = 65536;
std::array<std::atomic<std::int64_t>, MaxDescriptors> openedAt; ///< nanoseconds of Unix time, by descriptor

std::int64_t nanoseconds(const timespec &time)
{
    return time.tv_sec * 1'000'000'000 + time.tv_nsec;
}

void recordOpened(int descriptor)
{
    timespec now {};
    ::clock_gettime(CLOCK_REALTIME, &now);
    if (descriptor >= 0 && static_cast<std::size_t>(descriptor) < MaxDescriptors) {
        openedAt[static_cast<std::size_t>(descriptor)] = nanoseconds(now);
    }
}

bool openedBeforeChange(int descriptor)
{
    struct stat file {
    };
    const char *path = std::getenv("PARTITION_FILE");
    const bool known = path != nullptr && ::stat(path, &file) == 0;
    return known && openedAt[static_cast<std::size_t>(descriptor)] < nanoseconds(file.st_mtim);
}

/// What becomes of bytes that are sent on an open connection.
enum class Sending
{
    Passes,
    Lost,
    Reset,
};

Sending sending(int descriptor)
{
    sockaddr_in peer {};
    socklen_t size = sizeof peer;
    const int saved = errno;
    const bool connected = ::getpeername(descriptor, reinterpret_cast<sockaddr *>(&peer), &size) == 0;
    errno = saved;
    if (!connected) {
        return Sending::Passes;
    }
    const Partition partition = currentPartition();
    if (!cutOff(partition, reinterpret_cast<const sockaddr *>(&peer))) {
        return Sending::Passes;
    }
    if (partition.mode == "hang" || (partition.mode == "silent" && openedBeforeChange(descriptor))) {
        return Sending::Lost;
    }
    if (partition.mode == "reset" && openedBeforeChange(descriptor)) {
        ::shutdown(descriptor, SHUT_RDWR);
        errno = ECONNRESET;
        return Sending::Reset;
    }
    return Sending::Passes;
}
}

extern "C" {
int connect(int descriptor, const sockaddr *address, socklen_t size)
{
    static const auto original = next<int (*)(int, const sockaddr *, socklen_t)>("connect");
    recordOpened(descriptor);
    const Partition partition = currentPartition();
    if (partition.mode == "silent" || !cutOff(partition, address)) {
        return original(descriptor, address, size);
    }
    if (partition.mode == "refuse" || partition.mode == "reset") {
        errno = ECONNREFUSED;
        return -1;
    }
    sockaddr_in sink {};
    sink.sin_family = AF_INET;
    sink.sin_port = htons(static_cast<std::uint16_t>(partition.sinkPort));
    inet_pton(AF_INET, partition.sink.c_str(), &sink.sin_addr);
    return original(descriptor, reinterpret_cast<const sockaddr *>(&sink), sizeof sink);
}

int accept(int descriptor, sockaddr *address, socklen_t *size)
{
    static const auto original = next<int (*)(int, sockaddr *, socklen_t *)>("accept");
    const int accepted = original(descriptor, address, size);
    recordOpened(accepted);
    return accepted;
}

ssize_t sendmsg(int descriptor, const msghdr *message, int flags)
{
    static const auto original = next<ssize_t (*)(int, const msghdr *, int)>("sendmsg");
    const Sending fate = sending(descriptor);
    if (fate != Sending::Lost) {
        return fate == Sending::Reset ? -1 : original(descriptor, message, flags);
    }
    ssize_t lost = 0;
    for (std::size_t index = 0; index < message->msg_iovlen; ++index) {
        lost += static_cast<ssize_t>(message->msg_iov[index].iov_len);
    }
    return lost;
}

ssize_t send(int descriptor, const void *bytes, std::size_t size, int flags)
{
    static const auto original = next<ssize_t (*)(int, const void *, std::size_t, int)>("send");
    const Sending fate = sending(descriptor);
    return fate == Sending::Lost ? static_cast<ssize_t>(size) : fate == Sending::Reset ? -1 : original(descriptor, bytes, size, flags);
}
}
