#pragma once

// The client accounts of one configuration, and which account holds a key.
//
//     account_directory directory({ { .name = "north" } }, { { digestOf("k-1"), 0 } });
//     if (const auto* account = directory.findByDigest(digestOf(received)))
//         serveFor(account->name);
//
// Immutable, and thread safe therefore. Takes about 100 bytes for an account with two keys and a name of up
// to 15 bytes, see account_directory_benchmark.

#include "marlsill/accounts/client_account.h"
#include "marlsill/accounts/key_digest.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace marlsill::accounts {

// Which account holds a key, by the account's index in a list.
struct account_key {
    key_digest digest {};
    std::uint32_t account = 0;
};

// Returns whether a name can be that of an account: it reaches upstreams unchanged in a header field, so that
// it has no control characters, does not begin or end with a blank, and has 1 to 256 bytes.
bool isAccountName(std::string_view name);

// See the file comment.
class account_directory {
public:
    account_directory() = default;

    // Of several accounts with one name the first one counts and holds the keys of all of them; of several
    // accounts with one key the first one in `keys` holds it. An index that is not in `accounts` is an error
    // of the caller.
    account_directory(std::vector<client_account> accounts, std::vector<account_key> keys);

    // Returns the account that holds a key, or nullptr. One hash look-up, which takes as long for any number
    // of accounts.
    const client_account* findByDigest(const key_digest& digest) const;

    // Returns the account of that name, or nullptr.
    const client_account* find(std::string_view name) const;

    // Returns all accounts, in the order in which they were given. Names occur once.
    std::span<const client_account> accounts() const { return m_accounts; }

    std::size_t keyCount() const { return m_keys.size(); }

private:
    // The positions where the elements of each bucket of a list begin, and the end of the last one.
    using bucket_starts = std::vector<std::uint32_t>;

    void indexNames();
    void mergeNames(std::span<account_key> keys);
    void indexKeys(std::span<const account_key> keys);
    std::uint32_t indexOf(std::string_view name) const;

    std::vector<client_account> m_accounts;
    std::vector<std::uint32_t> m_accountsByName; // Indices, grouped by the bucket of the name.
    bucket_starts m_nameBuckets;
    std::vector<account_key> m_keys; // Grouped by the bucket of the digest.
    bucket_starts m_keyBuckets;
};

}
