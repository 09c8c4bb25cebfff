#include "directory_p.h"

namespace plumsill
{
const char *toString(DirectoryError error)
{
    switch (error) {
    case DirectoryError::Unreachable:
        return "no answer";
    case DirectoryError::Rejected:
        return "rejected";
    case DirectoryError::Malformed:
        return "malformed answer";
    case DirectoryError::Missing:
        return "no such object";
    case DirectoryError::Conflict:
        return "conflict";
    }
    return "unknown";
}
}
