#pragma once

// A client account: on whose behalf a request runs, and what applies to all requests of that account.

#include <optional>
#include <string>

namespace marlsill::accounts {

struct client_account {
    std::string name; // Sent to upstreams in a header field; see isAccountName().
    std::optional<int> priority; // 0 is the highest, and what an account without one has.
    double requestsPerSecond = 0; // Over all VMs together; 0: no limit.
    double burst = 0; // Requests beyond the rate at once; has no effect without a rate.
};

}
