// Tests of keys and accounts with whole entry daemons: what the store's configuration does, and that no key
// gets into logs, metrics or upstreams.

#include "marlsill/accounts/key_digest.h"
#include "platform/decode.h"
#include "platform/platform_fields.h"
#include "platform/testing/fake_object_store.h"
#include "platform/testing/store_objects.h"
#include "testing/raw_caller.h"
#include "testing/scripted_upstream.h"
#include "testing/soak/entry_process.h"

#include <Poco/Exception.h>
#include <cstdlib>
#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <unistd.h>

namespace marlsill::testing {

namespace {

    using nlohmann::json;
    using platform_adapter::platformFields;
    using std::chrono::milliseconds;

    constexpr int entryCount = 2;
    constexpr milliseconds startLimit { 15'000 };
    constexpr milliseconds changeLimit { 2'500 }; // Of the users, for a configuration to be in force.
    constexpr milliseconds pollInterval { 50 };
    const std::string northKey = "secret-of-north";
    const std::string southKey = "secret-of-south";
    const std::string brokenKey = "secret-of-broken";

    std::string bearer(const std::string& key) { return "Authorization: Bearer " + key + "\r\n"; }

    // Two daemons and an upstream.
    class account_fleet {
    public:
        account_fleet()
            : m_folder(std::filesystem::temp_directory_path()
                / ("marlsill-accounts-" + std::to_string(::getpid()) + "-"
                    + std::to_string(steady_clock::now().time_since_epoch().count())))
            , m_upstream("u0", platformFields())
        {
            std::filesystem::create_directories(m_folder);
            m_store.put(platform_adapter::upstreamKind, "u0",
                platform_adapter::upstreamObject("s", m_upstream.address(), "ready"));
        }

        ~account_fleet()
        {
            m_entries.clear();
            if (!std::getenv("MARLSILL_KEEP_LOGS")) {
                std::filesystem::remove_all(m_folder);
            }
        }

        // Writes a configuration with some rows of accounts, or without accounts if there are none.
        void configure(int version, const std::optional<std::vector<json>>& rows)
        {
            auto content = platform_adapter::configurationObject(
                version, "h.example", "s", { { "once", "/once/", true }, { "open", "/open/", true } });
            auto& routes = content["routes"];
            routes["columns"].push_back("public");
            for (auto& each : routes["rows"]) {
                each.push_back(each[0] == "open" ? json(true) : json());
            }
            if (rows) {
                content["tenants"] = { { "columns", { "name", "apiKeys", "priority", "ratePerS", "burst" } },
                    { "rows", *rows } };
            }
            m_store.put(platform_adapter::configurationKind, platform_adapter::configurationName, content);
        }

        void start()
        {
            m_entries = startFleet(entryCount, MARLSILL_ENTRY_PROGRAM, m_folder.string(), m_store.address());
            for (std::size_t entry = 0; entry < m_entries.size(); ++entry) {
                REQUIRE(awaitStatus(entry, "/open/ready", "", 200, startLimit));
            }
        }

        raw_answer call(
            std::size_t entry, const std::string& path, const std::string& id, const std::string& fields)
        {
            raw_caller caller(m_entries[entry]->callerAddress(), platformFields());
            caller.sendRequest("GET", path, id, 1'000, {}, fields);
            return caller.receive();
        }

        // Repeats a request until it gets a status. Returns false if it does not within `limit`.
        bool awaitStatus(std::size_t entry, const std::string& path, const std::string& fields, int status,
            milliseconds limit)
        {
            auto until = deadlineAfter(limit);
            do {
                try {
                    if (call(entry, path, "poll-" + std::to_string(m_polls++), fields).status == status) {
                        return true;
                    }
                } catch (const Poco::Exception&) { // NOLINT(bugprone-empty-catch): it does not listen yet.
                }
                std::this_thread::sleep_for(pollInterval);
            } while (!hasPassed(until, steady_clock::now()));
            reportNotServing(*m_entries[entry]);
            return false;
        }

        std::string logText(std::size_t entry) const
        {
            std::ostringstream text;
            text << std::ifstream(m_entries[entry]->logPath()).rdbuf();
            return text.str();
        }

        scripted_upstream& upstream() { return m_upstream; }

    private:
        const std::filesystem::path m_folder;
        scripted_upstream m_upstream;
        platform_adapter::fake_object_store m_store;
        std::vector<std::unique_ptr<entry_process>> m_entries;
        int m_polls = 0;
    };

    json rowOf(const std::string& name, const std::vector<json>& keys)
    {
        return json::array({ name, keys, nullptr, 0, 0 });
    }

}

TEST_CASE("Accounts come from the store's configuration, and keys stay out of logs and upstreams")
{
    // Guards against an account under another name or key than the operator's, keys that stay valid after a
    // change, and keys in lines of decisions or of configurations that are refused.
    account_fleet fleet;
    fleet.configure(1, std::vector { rowOf("north", { northKey }), rowOf("south", { southKey }) });
    fleet.start();
    struct row {
        const char* name;
        std::string path;
        std::string fields;
        int status;
        std::string account = {};
    };
    const row rows[] = {
        { "north", "/once/a", bearer(northKey) + "Tenant: south\r\n", 200, "north" },
        { "south", "/once/a", bearer(southKey), 200, "south" },
        { "unknown", "/once/a", bearer("secret-of-nobody"), 401 },
        { "missing", "/once/a", "", 401 },
        { "malformed", "/once/a", "Authorization: " + northKey + "\r\n", 401 },
        { "twice", "/once/a", bearer(northKey) + bearer(northKey), 401 },
        { "public", "/open/a", bearer(northKey) + "tenant: south\r\nX-Client-Account: south\r\n", 200 },
    };
    for (std::size_t entry = 0; entry < entryCount; ++entry) {
        for (const auto& each : rows) {
            CAPTURE(std::string(each.name));
            auto answer = fleet.call(entry, each.path, each.name, each.fields);
            CHECK(answer.status == each.status);
            if (each.status != 200) {
                continue;
            }
            auto head = fleet.upstream().lastHead();
            auto account = each.account.empty() ? "" : "\r\nTenant: " + each.account + "\r\n";
            CHECK((account.empty() || head.find(account) != std::string::npos));
            CHECK(head.find("enant: south")
                == (each.account == "south" ? head.find("enant") : std::string::npos));
            CHECK(head.find("X-Client-Account") == std::string::npos);
            CHECK(head.find("secret") == std::string::npos);
            CHECK(head.find("Authorization") == std::string::npos);
        }
    }
    // A configuration that is invalid leaves the one in force; the next one withdraws a key.
    fleet.configure(2, std::vector { rowOf("north", { northKey }), rowOf("broken", { brokenKey, 5 }) });
    std::this_thread::sleep_for(milliseconds(500));
    CHECK(fleet.call(0, "/once/a", "after-broken", bearer(southKey)).status == 200);
    fleet.configure(3, std::vector { rowOf("north", { northKey }) });
    for (std::size_t entry = 0; entry < entryCount; ++entry) {
        CAPTURE(entry);
        CHECK(fleet.awaitStatus(entry, "/once/a", bearer(southKey), 401, changeLimit));
        CHECK(fleet.call(entry, "/once/a", "stays", bearer(northKey)).status == 200);
    }
    // Without the table nobody needs a key, and what callers send is forwarded.
    fleet.configure(4, std::nullopt);
    for (std::size_t entry = 0; entry < entryCount; ++entry) {
        CAPTURE(entry);
        CHECK(fleet.awaitStatus(entry, "/once/a", "Tenant: own\r\n", 200, changeLimit));
        CHECK(fleet.upstream().lastHead().find("\r\nTenant: own\r\n") != std::string::npos);
    }
    for (std::size_t entry = 0; entry < entryCount; ++entry) {
        CAPTURE(entry);
        auto log = fleet.logText(entry);
        auto digest = accounts::toHex(accounts::digestOf(southKey));
        CHECK(log.find("secret-of") == std::string::npos);
        CHECK(log.find(digest.substr(0, 9)) == std::string::npos);
        CHECK(log.find("E2107 access_denied request=missing status=401 why=\"a key is required\"")
            != std::string::npos);
        CHECK(log.find(" digest=" + digest.substr(0, 8)) != std::string::npos);
        CHECK((entry > 0 || log.find("E3003 configuration_refused") != std::string::npos));
    }
}

}
