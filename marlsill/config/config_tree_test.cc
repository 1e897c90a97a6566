#include "marlsill/config/config_tree.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace marlsill::config {

namespace {

    std::shared_ptr<const std::string> text(const std::string& value)
    {
        return std::make_shared<std::string>(value);
    }

    // Returns a fetch function that reads blobs from `tree`.
    auto fetchFrom(const config_tree& tree)
    {
        return [&tree](const std::vector<std::string>& hashes) {
            std::map<std::string, std::string> blobs;
            for (const auto& hash : hashes) {
                blobs[hash] = *tree.blob(hash);
            }
            return blobs;
        };
    }

    config_changes makeChanges(int count, const std::string& value)
    {
        config_changes changes;
        for (int index = 0; index < count; ++index) {
            changes["rules/" + std::to_string(index)] = text(value + std::to_string(index));
        }
        return changes;
    }

}

TEST_CASE("a tree rebuilt from its head and blobs equals the original")
{
    bool holds = rc::check([] {
        config_tree tree;
        auto rounds = *rc::gen::inRange(1, 6);
        for (int round = 0; round < rounds; ++round) {
            auto changes = makeChanges(*rc::gen::inRange(0, 20), std::to_string(round) + ":");
            if (!changes.empty()) {
                changes.begin()->second = nullptr;
            }
            tree = tree.with(changes, "op" + std::to_string(round), document_kind::rules);
        }
        reason why;
        auto head = parseHead(toText(tree.head()), why);
        RC_ASSERT(head.has_value());
        auto copy = config_tree().advancedTo(*head, fetchFrom(tree), why);
        RC_ASSERT(copy.has_value());
        RC_ASSERT(copy->keysDifferentFrom(tree).empty());
        RC_ASSERT(copy->blobsMissingFrom(tree).empty());
        RC_ASSERT(tree.blobsMissingFrom(*copy).empty());
    });
    CHECK(holds);
}

TEST_CASE("a change of one entry among thousands replaces one leaf blob and one index blob")
{
    auto tree = config_tree().with(makeChanges(6500, "x"), "op1", document_kind::rules);
    config_changes change { { "rules/17", text("y") } };
    auto next = tree.with(change, "op2", document_kind::rules);
    CHECK(next.blobsMissingFrom(tree).size() == 2);
    CHECK(next.keysDifferentFrom(tree) == std::vector<std::string> { "rules/17" });
}

TEST_CASE("a tree rejects heads that are not newer and blobs that do not match their hash")
{
    auto first = config_tree().with(makeChanges(3, "x"), "op1", document_kind::rules);
    auto second = first.with(makeChanges(3, "y"), "op2", document_kind::rules);
    reason why;
    CHECK_FALSE(second.advancedTo(first.head(), fetchFrom(first), why));
    CHECK(why.code == reason_code::conflict);
    CHECK_FALSE(second.advancedTo(second.head(), fetchFrom(second), why));
    CHECK(first.advancedTo(second.head(), fetchFrom(second), why));
    auto fetchWrong = [](const std::vector<std::string>& hashes) {
        return std::map<std::string, std::string> { { hashes.front(), "{}" } };
    };
    CHECK_FALSE(first.advancedTo(second.head(), fetchWrong, why));
    CHECK(why.code == reason_code::invalid);
}

TEST_CASE("parsing a corrupted head either succeeds or fails with a reason")
{
    auto tree = config_tree().with(makeChanges(5, "x"), "op1", document_kind::rules);
    bool holds = rc::check([&] {
        auto bytes = toText(tree.head());
        for (int edit = *rc::gen::inRange(1, 6); edit > 0; --edit) {
            bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
        }
        reason why;
        auto head = parseHead(bytes, why);
        RC_ASSERT(head.has_value() || !why.text.empty());
    });
    CHECK(holds);
}

}
