#include <plumsill/types.h>

namespace plumsill
{
std::string toString(const Endpoint &endpoint)
{
    return endpoint.address + ":" + std::to_string(endpoint.port);
}
}
