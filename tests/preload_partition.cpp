// Library for a process under test (LD_PRELOAD): partitions that process alone from some addresses, as a proxy can't, since it
// accepts connections before it can refuse them. Reads the file $PARTITION_FILE: MODE PREFIX SINK, where MODE is refuse,
// hang or none, PREFIX the beginning of the addresses that are cut off, and SINK an endpoint that never answers. The mode
// refuse affects new connections, hang also those that are open: what is sent on them is lost.
#include <arpa/inet.h>
#include <dlfcn.h>
#include <netinet/in.h>
#include <sys/socket.h>

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

bool peerIsCutOff(int descriptor)
{
    sockaddr_in peer {};
    socklen_t size = sizeof peer;
    const int saved = errno;
    const bool connected = ::getpeername(descriptor, reinterpret_cast<sockaddr *>(&peer), &size) == 0;
    errno = saved;
    if (!connected) {
        return false;
    }
    const Partition partition = currentPartition();
    return partition.mode == "hang" && cutOff(partition, reinterpret_cast<const sockaddr *>(&peer));
}
}

extern "C" {
int connect(int descriptor, const sockaddr *address, socklen_t size)
{
    static const auto original = next<int (*)(int, const sockaddr *, socklen_t)>("connect");
    const Partition partition = currentPartition();
    if (!cutOff(partition, address)) {
        return original(descriptor, address, size);
    }
    if (partition.mode == "refuse") {
        errno = ECONNREFUSED;
        return -1;
    }
    sockaddr_in sink {};
    sink.sin_family = AF_INET;
    sink.sin_port = htons(static_cast<std::uint16_t>(partition.sinkPort));
    inet_pton(AF_INET, partition.sink.c_str(), &sink.sin_addr);
    return original(descriptor, reinterpret_cast<const sockaddr *>(&sink), sizeof sink);
}

ssize_t sendmsg(int descriptor, const msghdr *message, int flags)
{
    static const auto original = next<ssize_t (*)(int, const msghdr *, int)>("sendmsg");
    if (!peerIsCutOff(descriptor)) {
        return original(descriptor, message, flags);
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
    return peerIsCutOff(descriptor) ? static_cast<ssize_t>(size) : original(descriptor, bytes, size, flags);
}
}
