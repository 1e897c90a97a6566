#include "marlsill/admission/admission_controller.h"

#include <doctest/doctest.h>
#include <thread>

namespace marlsill::admission {

namespace {

    routing::routed_service makeService(int upstreams, int slots, int ownSlots)
    {
        routing::routed_service service;
        service.name = "bookings";
        service.isMember = true;
        for (int index = 0; index < upstreams; ++index) {
            routing::routed_upstream place;
            place.spec.slots = slots;
            place.ownSlots = ownSlots;
            place.state
                = std::make_shared<routing::upstream_state>("b" + std::to_string(index), "127.0.0.1:1");
            service.upstreams.push_back(std::move(place));
        }
        return service;
    }

    deadline in(int milliseconds) { return deadlineAfter(std::chrono::milliseconds(milliseconds)); }

    using slot_share_controller = admission_controller<slot_share_choice>;

}

TEST_CASE("no load-balancing policy gives an upstream more requests than it has slots")
{
    auto service = makeService(3, 2, 1);
    auto fill = [&](auto chooser) {
        admission_controller controller(chooser);
        int granted = 0;
        while (controller.acquire(service, "a", in(0), {}).status == admission_status::granted) {
            ++granted;
        }
        for (auto& upstream : service.upstreams) {
            CHECK(upstream.state->inFlight.load() <= upstream.spec.slots);
            upstream.state->inFlight = 0;
        }
        return granted;
    };
    CHECK(fill(random_choice {}) == 6);
    CHECK(fill(two_choices {}) == 6);
    CHECK(fill(slot_share_choice {}) == 3);
    CHECK(fill(slot_share_choice { .alwaysBorrows = true }) == 6);
    service.isMember = false;
    CHECK(fill(slot_share_choice {}) == 3);
}

TEST_CASE("upstreams that are leaving, ejected or excluded get no requests")
{
    auto service = makeService(4, 3, 3);
    service.upstreams[0].state->isLeaving = true;
    service.upstreams[1].state->ejectedUntil = in(60'000).time_since_epoch().count();
    const std::size_t excluded[] = { 2 };
    slot_share_controller controller(slot_share_choice {});
    for (int request = 0; request < 3; ++request) {
        auto admitted = controller.acquire(service, "a", in(0), excluded);
        REQUIRE(admitted.status == admission_status::granted);
        CHECK(admitted.upstream == 3);
    }
    service.upstreams[3].state->isLeaving = true;
    CHECK(controller.acquire(service, "a", in(0), excluded).status == admission_status::noUpstream);
}

TEST_CASE("an ejection ends at its deadline without any message")
{
    auto service = makeService(1, 1, 1);
    service.upstreams[0].state->ejectedUntil
        = (steady_clock::now() - std::chrono::seconds(1)).time_since_epoch().count();
    slot_share_controller controller(slot_share_choice {});
    CHECK(controller.acquire(service, "a", in(0), {}).status == admission_status::granted);
}

TEST_CASE("a request that would miss its deadline is refused at once with a time to retry after")
{
    auto service = makeService(1, 1, 1);
    slot_share_controller controller(
        slot_share_choice {}, { .initialServiceTime = std::chrono::seconds(10) });
    REQUIRE(controller.acquire(service, "a", in(1000), {}).status == admission_status::granted);
    auto before = steady_clock::now();
    auto refused = controller.acquire(service, "a", in(5000), {});
    CHECK(refused.status == admission_status::wouldBeLate);
    CHECK(refused.retryAfter >= std::chrono::seconds(10));
    CHECK(steady_clock::now() - before < std::chrono::seconds(4));
}

TEST_CASE("a waiting request is admitted when a slot is released")
{
    auto service = makeService(1, 1, 1);
    slot_share_controller controller(
        slot_share_choice {}, { .initialServiceTime = std::chrono::microseconds(1) });
    REQUIRE(controller.acquire(service, "a", in(1000), {}).status == admission_status::granted);
    admission_result second;
    std::jthread caller([&] { second = controller.acquire(service, "b", in(60'000), {}); });
    while (controller.waiting() == 0) {
        std::this_thread::yield();
    }
    controller.release(*service.upstreams[0].state, std::chrono::microseconds(1));
    caller.join();
    CHECK(second.status == admission_status::granted);
    CHECK(service.upstreams[0].state->inFlight.load() == 1);
}

TEST_CASE("a suspect upstream gets few requests")
{
    auto service = makeService(2, 1000, 1000);
    service.upstreams[0].state->weight = 0.02;
    slot_share_controller controller(slot_share_choice {});
    for (int request = 0; request < 1000; ++request) {
        controller.acquire(service, "a", in(0), {});
    }
    CHECK(service.upstreams[0].state->inFlight.load() < 60);
}

}
