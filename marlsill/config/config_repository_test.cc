#include "marlsill/config/config_repository.h"

#include "testing/memory_store.h"

#include <doctest/doctest.h>

namespace marlsill::config {

namespace {

    using testing::memory_store;
    using testing::store_faults;

    std::string inventoryText(std::int64_t base, int slots)
    {
        return R"({"base_generation":)" + std::to_string(base)
            + R"(,"services":[{"name":"bookings","upstreams":[{"name":"b1","address":"10.0.0.1:80",)"
            + R"("failure_domain":"cardiff","slots":)" + std::to_string(slots) + "}]}]}";
    }

    submission inventory(const std::string& operation, std::int64_t base, int slots)
    {
        return { document_kind::inventory, inventoryText(base, slots), operation };
    }

}

TEST_CASE("submit() reports whether a submission is accepted, conflicting, refused or not accepted")
{
    struct row {
        submission submitted;
        store_faults faults;
        submit_status expected;
        std::string_view text;
    };
    const row rows[] = {
        { inventory("op1", 0, 3), {}, submit_status::accepted, "" },
        { inventory("op1", 0, 3), {}, submit_status::accepted, "accepted before" },
        { inventory("op2", 0, 4), {}, submit_status::conflict, "inventory/bookings" },
        { { document_kind::inventory, "{", "op3" }, {}, submit_status::refused, "valid JSON" },
        { { document_kind::rules, R"({"services":[{"name":"bookings","floor_slots":9}]})", "op4" }, {},
            submit_status::refused, "floor_slots is 9" },
        { inventory("op5", 1, 4), { .isAway = true }, submit_status::notAccepted, "away" },
        { inventory("op5", 1, 4), { .lostAnswers = 5 }, submit_status::accepted, "" },
        { inventory("op5", 1, 4), {}, submit_status::accepted, "accepted before" },
    };
    memory_store store;
    config_repository repository(store);
    for (const row& each : rows) {
        CAPTURE(each.submitted.operation);
        store.setFaults(each.faults);
        auto outcome = repository.submit({}, each.submitted, {});
        CHECK(outcome.status == each.expected);
        CHECK(outcome.text.find(each.text) != std::string::npos);
    }
    store.setFaults({});
    reason why;
    auto tree = repository.refresh({}, {}, why);
    REQUIRE(tree);
    CHECK(tree->head().generation == 2);
    auto services = inventoryOf(*tree, why);
    REQUIRE(services);
    CHECK(services->at(0).upstreams.at(0).slots == 4);
}

TEST_CASE("of two submissions based on the same generation only one is accepted")
{
    memory_store store;
    config_repository repository(store);
    REQUIRE(repository.submit({}, inventory("op0", 0, 1), {}).status == submit_status::accepted);
    int accepted = 0;
    for (const char* operation : { "op1", "op2" }) {
        auto outcome = repository.submit({}, inventory(operation, 1, operation[2]), {});
        accepted += outcome.status == submit_status::accepted ? 1 : 0;
    }
    CHECK(accepted == 1);
}

TEST_CASE("a configuration with a corrupt blob is not loaded")
{
    memory_store store;
    config_repository repository(store);
    REQUIRE(repository.submit({}, inventory("op1", 0, 3), {}).status == submit_status::accepted);
    reason why;
    auto blobs = store.list("config-blob/");
    REQUIRE(blobs.size() == 2);
    auto stored = store.read(blobs[0], {}, why);
    REQUIRE(store.write(blobs[0], stored->value + " ", stored->version, {}, why));
    CHECK_FALSE(repository.refresh({}, {}, why));
    CHECK(why.code == reason_code::invalid);
}

}
