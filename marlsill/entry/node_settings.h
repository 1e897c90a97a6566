#pragma once

// Names, defaults, descriptions and ranges of the entry daemon's settings.

#include "marlsill/settings/settings.h"

namespace marlsill::entry {

inline constexpr setting_spec nodeSettings[] = {
    textSetting("name", "", "name of this VM in the platform's list", 1, 128),
    textSetting("failure-domain", "", "failure domain of this VM", 1, 128),
    textSetting(
        "region", "default", "region of this VM; a few VMs of each region watch the platform", 1, 128),
    addressSetting("caller-address", "", "address to listen on for callers"),
    addressSetting("operator-address", "", "address to listen on for operators"),
    addressSetting("peer-address", "", "address to listen on for other entry VMs"),
    textSetting("seeds", "",
        "comma-separated peer addresses of entry VMs to join through, besides the platform's list"),
    addressSetting("platform", "", "address of the platform's object API"),
    textSetting("fleet-key", "", "secret shared by all entry VMs", 16, 256),
    textSetting("operator-key", "", "secret that authenticates operators", 16, 256),
    integerSetting("workers", "64", "threads that serve callers", 1, 2048),
    integerSetting("max-connections", "20000", "largest number of open caller connections", 1, 1000000),
    integerSetting("whole-answer-bytes", "1048576",
        "upstream responses up to this size in bytes are received whole before the first byte is sent", 1024,
        67108864),
    integerSetting("request-bytes", "1048576", "largest request body in bytes", 1024, 67108864),
    integerSetting(
        "directory-ttl-ms", "5000", "how long callers may cache a directory response", 100, 600000),
    integerSetting(
        "drain-limit-ms", "30000", "how long a planned stop waits for requests in progress", 100, 3600000),
    integerSetting("max-keys", "200000", "largest number of idempotency keys held in memory", 100, 10000000),
    integerSetting("watchers", "2", "number of entry VMs per region that watch the platform", 1, 64),
    integerSetting("heartbeat-ms", "500", "interval between heartbeats to a neighbour", 50, 60000),
    integerSetting("record-ms", "10000", "interval between two segments of the audit record", 100, 600000),
    integerSetting("max-clock-skew-ms", "500", "largest difference between the clocks of two VMs", 0, 60000),
    integerSetting(
        "ejection-ms", "20000", "how long an agreed ejection lasts unless it is renewed", 1000, 3600000),
    choiceSetting("log-level", "info", "lowest severity that is logged", "info|warning|error"),
};

}
