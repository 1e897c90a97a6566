#include "marlsill/admission/fair_queue.h"

#include <doctest/doctest.h>

namespace marlsill::admission {

TEST_CASE("an account with many items does not delay the others")
{
    fair_queue<int> queue(100);
    for (int item = 0; item < 50; ++item) {
        queue.push("busy", item);
    }
    queue.push("quiet", 1000);
    CHECK(queue.pop() == 0);
    CHECK(queue.pop() == 1000);
    CHECK(queue.pop() == 1);
}

TEST_CASE("a full queue drops the newest item of the account with the most items")
{
    fair_queue<int> queue(3);
    CHECK_FALSE(queue.push("busy", 1));
    CHECK_FALSE(queue.push("busy", 2));
    CHECK_FALSE(queue.push("busy", 3));
    CHECK(queue.push("quiet", 10) == 3);
    CHECK(queue.push("busy", 4) == 4);
    CHECK(queue.size() == 3);
}

TEST_CASE("a removed item is not served, and an account without items is not visited")
{
    fair_queue<int> queue(10);
    queue.push("a", 1);
    queue.push("b", 2);
    CHECK(queue.remove("a", 1));
    CHECK_FALSE(queue.remove("a", 1));
    CHECK_FALSE(queue.remove("c", 1));
    CHECK(queue.pop() == 2);
    CHECK_FALSE(queue.pop());
}

}
