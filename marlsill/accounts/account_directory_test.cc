#include "marlsill/accounts/account_directory.h"

#include "marlsill/base/hash.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <map>
#include <rapidcheck.h>
#include <set>

namespace marlsill::accounts {

TEST_CASE("The digest of a key is the first half of its SHA-256")
{
    // Guards against digests that differ between builds, which would turn away each other's relayed requests.
    for (const std::string key : { "", "abc", "k-1", "\xc3\xbc",
             "a key with blanks and 64 more bytes, so that "
             "it takes more than one block of the hash" }) {
        CAPTURE(key);
        auto hex = toHex(digestOf(key));
        CHECK(hex == sha256Hex(key).substr(0, 32));
        CHECK(parseDigest(hex) == digestOf(key));
        CHECK(toShortHex(digestOf(key)) == hex.substr(0, 8));
    }
    CHECK(toHex(digestOf("abc")) == "ba7816bf8f01cfea414140de5dae2223");
}

TEST_CASE("Only 32 lower-case hexadecimal digits are a digest")
{
    const std::string valid = "ba7816bf8f01cfea414140de5dae2223";
    CHECK(parseDigest(valid));
    for (const auto& text :
        { std::string(), valid.substr(1), valid + "0", "B" + valid.substr(1), "g" + valid.substr(1),
            " " + valid.substr(1), valid.substr(1) + " ", "0x" + valid.substr(2), std::string(32, '\0') }) {
        CAPTURE(text);
        CHECK_FALSE(parseDigest(text));
    }
}

TEST_CASE("A name can be that of an account if a header field carries it unchanged")
{
    // Guards against names that end the field, or that an upstream reads as another account's.
    struct row {
        const char* text;
        std::string name;
        bool isValid;
    };
    const row rows[] = { { "plain", "north", true }, { "blank inside", "north west", true },
        { "UTF-8", "M\xc3\xbcller", true }, { "punctuation", "a/b:c,d;e=\"f\"", true },
        { "longest", std::string(256, 'n'), true }, { "empty", "", false },
        { "too long", std::string(257, 'n'), false }, { "leading blank", " north", false },
        { "trailing blank", "north ", false }, { "line feed", "a\nb", false },
        { "line break", "a\r\nX-Field: b", false }, { "tab", "a\tb", false },
        { "zero byte", std::string("a\0b", 3), false }, { "delete", "a\x7f", false } };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.text));
        CHECK(isAccountName(each.name) == each.isValid);
    }
}

TEST_CASE("A directory finds the account that holds a key")
{
    struct row {
        const char* text;
        std::vector<std::string> names;
        std::vector<std::pair<std::string, std::uint32_t>> keys; // With the index of their account.
        std::map<std::string, std::string> holders; // Of keys; empty: nobody.
        std::vector<std::string> listed;
    };
    const row rows[] = {
        { "no accounts", {}, {}, { { "k1", "" }, { "", "" } }, {} },
        { "no keys", { "a" }, {}, { { "k1", "" } }, { "a" } },
        { "two keys of one account", { "a", "b" }, { { "k1", 0 }, { "k2", 0 } },
            { { "k1", "a" }, { "k2", "a" }, { "k3", "" }, { "K1", "" }, { "k1 ", "" } }, { "a", "b" } },
        { "two accounts", { "a", "b" }, { { "k1", 0 }, { "k2", 1 } }, { { "k1", "a" }, { "k2", "b" } },
            { "a", "b" } },
        { "one key twice: the first holder counts", { "a", "b" }, { { "k1", 1 }, { "k1", 0 } },
            { { "k1", "b" } }, { "a", "b" } },
        { "one name twice: the first one holds the keys of both", { "x", "a", "a", "b" },
            { { "k1", 1 }, { "k2", 2 }, { "k3", 3 } }, { { "k1", "a" }, { "k2", "a" }, { "k3", "b" } },
            { "x", "a", "b" } },
        { "names that differ in case", { "a", "A" }, { { "k1", 0 }, { "k2", 1 } },
            { { "k1", "a" }, { "k2", "A" } }, { "a", "A" } },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.text));
        std::vector<client_account> accounts;
        for (std::size_t index = 0; index < each.names.size(); ++index) {
            accounts.push_back({ .name = each.names[index], .requestsPerSecond = double(index) });
        }
        std::vector<account_key> keys;
        for (const auto& [key, account] : each.keys) {
            keys.push_back({ digestOf(key), account });
        }
        account_directory directory(accounts, keys);
        for (const auto& [key, holder] : each.holders) {
            CAPTURE(key);
            const auto* found = directory.findByDigest(digestOf(key));
            CHECK((found ? found->name : "") == holder);
            CHECK((!found || directory.find(holder) == found));
        }
        std::vector<std::string> listed;
        for (const auto& account : directory.accounts()) {
            listed.push_back(account.name);
            auto first = std::find(each.names.begin(), each.names.end(), account.name) - each.names.begin();
            CHECK(account.requestsPerSecond == double(first));
        }
        CHECK(listed == each.listed);
        CHECK(directory.find("nobody") == nullptr);
        CHECK(directory.keyCount() == each.keys.size());
    }
    account_directory empty;
    CHECK(empty.findByDigest(digestOf("k1")) == nullptr);
    CHECK(empty.find("a") == nullptr);
}

TEST_CASE("A directory of any size finds exactly what a map finds")
{
    // Guards against elements lost between buckets, whose number depends on that of the accounts.
    rc::check([](const std::vector<std::vector<std::uint16_t>>& keysByAccount) {
        std::vector<client_account> accounts;
        std::vector<account_key> keys;
        std::map<std::uint16_t, std::size_t> holders;
        for (std::size_t account = 0; account < keysByAccount.size(); ++account) {
            accounts.push_back({ .name = "account-" + std::to_string(account) });
            for (auto key : keysByAccount[account]) {
                keys.push_back({ digestOf(std::to_string(key)), static_cast<std::uint32_t>(account) });
                holders.emplace(key, account);
            }
        }
        account_directory directory(accounts, keys);
        for (const auto& [key, account] : holders) {
            const auto* found = directory.findByDigest(digestOf(std::to_string(key)));
            RC_ASSERT(found && found->name == accounts[account].name);
        }
        for (std::size_t account = 0; account < accounts.size(); ++account) {
            RC_ASSERT(directory.find(accounts[account].name) == &directory.accounts()[account]);
        }
        for (int other = 70'000; other < 70'020; ++other) { // Above all keys.
            RC_ASSERT(!directory.findByDigest(digestOf(std::to_string(other))));
        }
    });
}

}
