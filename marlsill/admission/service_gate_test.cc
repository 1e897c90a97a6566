#include "marlsill/admission/service_gate.h"

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

    using share_gate = service_gate<slot_share_choice>;

}

TEST_CASE("no chooser gives an upstream more requests than it has slots")
{
    auto service = makeService(3, 2, 1);
    auto fill = [&](auto chooser) {
        service_gate gate(chooser);
        int granted = 0;
        while (gate.acquire(service, "a", in(0), {}).status == admission_status::granted) {
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

TEST_CASE("upstreams that are leaving, ejected or excluded get no work")
{
    auto service = makeService(4, 3, 3);
    service.upstreams[0].state->isLeaving = true;
    service.upstreams[1].state->ejectedUntil = in(60'000).time_since_epoch().count();
    const std::size_t excluded[] = { 2 };
    share_gate gate(slot_share_choice {});
    for (int request = 0; request < 3; ++request) {
        auto admitted = gate.acquire(service, "a", in(0), excluded);
        REQUIRE(admitted.status == admission_status::granted);
        CHECK(admitted.upstream == 3);
    }
    service.upstreams[3].state->isLeaving = true;
    CHECK(gate.acquire(service, "a", in(0), excluded).status == admission_status::noUpstream);
}

TEST_CASE("an ejection ends by its deadline without any message")
{
    auto service = makeService(1, 1, 1);
    service.upstreams[0].state->ejectedUntil
        = (steady_clock::now() - std::chrono::seconds(1)).time_since_epoch().count();
    share_gate gate(slot_share_choice {});
    CHECK(gate.acquire(service, "a", in(0), {}).status == admission_status::granted);
}

TEST_CASE("a request that would be late is refused at once and told when to come back")
{
    auto service = makeService(1, 1, 1);
    share_gate gate(slot_share_choice {}, { .initialServiceTime = std::chrono::seconds(10) });
    REQUIRE(gate.acquire(service, "a", in(1000), {}).status == admission_status::granted);
    auto before = steady_clock::now();
    auto refused = gate.acquire(service, "a", in(5000), {});
    CHECK(refused.status == admission_status::wouldBeLate);
    CHECK(refused.retryAfter >= std::chrono::seconds(10));
    CHECK(steady_clock::now() - before < std::chrono::seconds(4));
}

TEST_CASE("a waiting request is admitted when an upstream is given back")
{
    auto service = makeService(1, 1, 1);
    share_gate gate(slot_share_choice {}, { .initialServiceTime = std::chrono::microseconds(1) });
    REQUIRE(gate.acquire(service, "a", in(1000), {}).status == admission_status::granted);
    admission second;
    std::jthread caller([&] { second = gate.acquire(service, "b", in(60'000), {}); });
    while (gate.waiting() == 0) {
        std::this_thread::yield();
    }
    gate.release(*service.upstreams[0].state, std::chrono::microseconds(1));
    caller.join();
    CHECK(second.status == admission_status::granted);
    CHECK(service.upstreams[0].state->inFlight.load() == 1);
}

TEST_CASE("a suspect gets a trickle of the work and no more")
{
    auto service = makeService(2, 1000, 1000);
    service.upstreams[0].state->weight = 0.02;
    share_gate gate(slot_share_choice {});
    for (int request = 0; request < 1000; ++request) {
        gate.acquire(service, "a", in(0), {});
    }
    CHECK(service.upstreams[0].state->inFlight.load() < 60);
}

}
