// Measures a look-up of a key and the memory of an account at the sizes of a deployment and far beyond it.

#include "marlsill/accounts/account_directory.h"

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <malloc.h>
#include <random>

namespace marlsill::accounts {

namespace {

    constexpr int rounds = 7;
    constexpr int lookUps = 400'000; // In one round.
    constexpr std::uint32_t keysPerAccount = 2;

    std::size_t foundKeys = 0; // Keeps the compiler from leaving the look-ups out.

    std::string keyOf(std::uint32_t number) { return "key-" + std::to_string(number); }

    account_directory makeDirectory(std::uint32_t count)
    {
        std::vector<client_account> accounts;
        std::vector<account_key> keys;
        for (std::uint32_t index = 0; index < count; ++index) {
            accounts.push_back({ .name = "account-" + std::to_string(index),
                .priority = static_cast<int>(index % 3),
                .requestsPerSecond = 10,
                .burst = 20 });
            for (std::uint32_t key = 0; key < keysPerAccount; ++key) {
                keys.push_back({ digestOf(keyOf(keysPerAccount * index + key)), index });
            }
        }
        return { std::move(accounts), std::move(keys) };
    }

    // Returns the mean time of a look-up in nanoseconds, of the fastest of some rounds, since the machine is
    // shared. `digests` are looked up in random order.
    double nanosecondsOf(const account_directory& directory, const std::vector<key_digest>& digests)
    {
        std::minstd_rand random(1);
        auto fastest = std::chrono::steady_clock::duration::max();
        for (int round = 0; round < rounds; ++round) {
            auto start = std::chrono::steady_clock::now();
            for (int number = 0; number < lookUps; ++number) {
                foundKeys += directory.findByDigest(digests[random() % digests.size()]) ? 1 : 0;
            }
            fastest = std::min(fastest, std::chrono::steady_clock::now() - start);
        }
        return std::chrono::duration<double, std::nano>(fastest).count() / lookUps;
    }

    void measure(std::uint32_t count)
    {
        auto before = mallinfo2();
        auto start = std::chrono::steady_clock::now();
        auto directory = makeDirectory(count);
        auto buildTime = std::chrono::steady_clock::now() - start;
        auto after = mallinfo2();
        auto bytes = static_cast<double>(after.uordblks + after.hblkhd)
            - static_cast<double>(before.uordblks + before.hblkhd);
        std::vector<key_digest> known;
        std::vector<key_digest> unknown;
        for (std::uint32_t key = 0; key < keysPerAccount * count; ++key) {
            known.push_back(digestOf(keyOf(key)));
            unknown.push_back(digestOf(keyOf(key) + "x"));
        }
        std::vector<key_digest> frequent; // Of the callers of one VM.
        for (std::size_t index = 0; index < 160; ++index) {
            frequent.push_back(known[index * known.size() / 160]);
        }
        std::printf("%u accounts: %.1f bytes an account, built in %.1f ms; ns a look-up: known %.1f, "
                    "unknown %.1f, 160 of the known ones %.1f\n",
            count, bytes / count, std::chrono::duration<double, std::milli>(buildTime).count(),
            nanosecondsOf(directory, known), nanosecondsOf(directory, unknown),
            nanosecondsOf(directory, frequent));
    }

}

}

int main()
{
    using namespace marlsill::accounts;
    auto start = std::chrono::steady_clock::now();
    unsigned sum = 0;
    for (std::uint32_t number = 0; number < 200'000; ++number) {
        sum += digestOf(keyOf(number))[0];
    }
    auto elapsed = std::chrono::steady_clock::now() - start;
    std::printf("digest of a key: %.0f ns (%u)\n",
        std::chrono::duration<double, std::nano>(elapsed).count() / 200'000, sum);
    std::printf("once to warm up:\n");
    measure(80);
    std::printf("measured:\n");
    measure(80);
    measure(10'000);
    measure(330'000);
    std::printf("look-ups that found a key: %zu\n", foundKeys);
    return EXIT_SUCCESS;
}
