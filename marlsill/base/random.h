#pragma once

// Random identifiers and per-thread random numbers.
//
//     std::string incarnation = randomId();
//     std::size_t index = threadRandom()() % count;

#include <random>
#include <string>

namespace marlsill {

// Returns 16 lower-case hexadecimal digits drawn from the operating system's entropy.
std::string randomId();

// Returns the calling thread's generator, seeded from the operating system's entropy.
std::mt19937_64& threadRandom();

}
