#include <plumsill/document.h>

namespace plumsill
{
std::string toString(const IniProblem &problem)
{
    return problem.file + ":" + std::to_string(problem.line) + ": " + problem.field + ": " + problem.reason;
}
}
