#include "marlsill/base/random.h"

#include <cstdint>
#include <cstdio>

namespace marlsill {

std::string randomId()
{
    std::random_device entropy;
    std::uint64_t value = (static_cast<std::uint64_t>(entropy()) << 32) | entropy();
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(value));
    return text;
}

std::mt19937_64& threadRandom()
{
    thread_local std::mt19937_64 generator { std::random_device {}() };
    return generator;
}

}
