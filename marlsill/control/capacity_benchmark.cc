// Measures how memory, time and message sizes of the control state grow with the configuration and the fleet,
// in one process without a network. docs/CAPACITY.md works with the results.

#include "marlsill/base/time.h"
#include "marlsill/control/snapshot_builder.h"
#include "marlsill/membership/member_table.h"
#include "marlsill/membership/overlay.h"
#include "marlsill/peer/messages.h"

#include <cstdio>
#include <fstream>
#include <malloc.h>

namespace marlsill::control {

namespace {

    double secondsSince(steady_clock::time_point start)
    {
        return std::chrono::duration<double>(steady_clock::now() - start).count();
    }

    double heapMegabytes() { return static_cast<double>(mallinfo2().uordblks + mallinfo2().hblkhd) / 1e6; }

    config::config_changes makeServices(int firstIndex, int count, int upstreamsEach)
    {
        config::config_changes changes;
        for (int index = firstIndex; index < firstIndex + count; ++index) {
            service_inventory inventory { "service-" + std::to_string(index), {} };
            for (int upstream = 0; upstream < upstreamsEach; ++upstream) {
                inventory.upstreams.push_back({ inventory.name + "-" + std::to_string(upstream),
                    "10.1.2.3:" + std::to_string(1000 + upstream), "domain-" + std::to_string(upstream % 38),
                    6, 300 });
            }
            service_rules rules { .name = inventory.name, .floorSlots = upstreamsEach * 4 };
            for (int route = 0; route < 6; ++route) {
                rules.routes.push_back({ "host" + std::to_string(index % 500) + ".example",
                    "/" + inventory.name + "/" + std::to_string(route) });
            }
            changes[config::inventoryKey(inventory.name)] = std::make_shared<std::string>(toJson(inventory));
            changes[config::rulesKey(rules.name)] = std::make_shared<std::string>(toJson(rules));
        }
        return changes;
    }

    std::vector<routing::directory_node> makeDirectory(int nodes)
    {
        std::vector<routing::directory_node> directory;
        for (int index = 0; index < nodes; ++index) {
            directory.push_back({ std::to_string(1'000'000 + index), "domain-" + std::to_string(index % 38),
                "10.0.0.1:80", "10.0.0.1:" + std::to_string(index) });
        }
        return directory;
    }

    void measureSnapshot(int services, int upstreamsEach, int nodes)
    {
        double before = heapMegabytes();
        auto start = steady_clock::now();
        auto tree = config::config_tree().with(
            makeServices(0, services, upstreamsEach), "op1", config::document_kind::inventory);
        double treeSeconds = secondsSince(start);
        double treeMegabytes = heapMegabytes() - before;
        snapshot_builder builder("1000000");
        reason why;
        start = steady_clock::now();
        auto first = builder.build(tree, makeDirectory(nodes), why);
        double buildSeconds = secondsSince(start);
        auto changedTree
            = tree.with(makeServices(0, 1, upstreamsEach + 1), "op2", config::document_kind::inventory);
        std::size_t changedBytes = 0;
        for (const auto& hash : changedTree.blobsMissingFrom(tree)) {
            changedBytes += changedTree.blob(hash)->size();
        }
        changedBytes += toText(changedTree.head()).size();
        auto fetch = [&](const std::vector<std::string>& hashes) {
            std::map<std::string, std::string> blobs;
            for (const auto& hash : hashes) {
                blobs[hash] = *changedTree.blob(hash);
            }
            return blobs;
        };
        start = steady_clock::now();
        auto advanced = tree.advancedTo(changedTree.head(), fetch, why);
        auto second = builder.build(*advanced, makeDirectory(nodes), why);
        double changeSeconds = secondsSince(start);
        start = steady_clock::now();
        builder.build(*advanced, makeDirectory(nodes - 1), why);
        double memberSeconds = secondsSince(start);
        std::printf("upstreams %d services %d nodes %d blobs_mb %.1f tree_mb %.1f all_mb %.1f first_s %.2f "
                    "change_ms %.1f change_bytes %zu member_change_ms %.1f\n",
            services * upstreamsEach, services, nodes, static_cast<double>(tree.totalBytes()) / 1e6,
            treeMegabytes, heapMegabytes() - before, treeSeconds + buildSeconds, changeSeconds * 1e3,
            changedBytes, memberSeconds * 1e3);
    }

    membership::member_record makeRecord(int index)
    {
        return { std::to_string(1'000'000'000'000'000 + index), "vm-" + std::to_string(index),
            "domain-" + std::to_string(index % 38), "region-" + std::to_string(index % 11), "10.0.0.1:80",
            "10.0.0.1:" + std::to_string(index), 1, 1, membership::member_state::alive, {} };
    }

    void measureMembership(int nodes)
    {
        double before = heapMegabytes();
        membership::member_table table(makeRecord(0), {}, steady_clock::now());
        std::vector<membership::member_record> records;
        for (int index = 1; index < nodes; ++index) {
            records.push_back(makeRecord(index));
        }
        table.merge(records, steady_clock::now());
        double megabytes = heapMegabytes() - before;
        auto present = table.present();
        auto start = steady_clock::now();
        constexpr int rounds = 20;
        for (int round = 0; round < rounds; ++round) {
            auto record = makeRecord(1);
            record.counter = round + 2;
            table.merge({ record }, steady_clock::now());
            membership::neighboursOf(table.self(), table.present());
        }
        double changeMilliseconds = secondsSince(start) * 1e3 / rounds;
        auto digest = peer::encode({ 0, false, peer::member_digest { table.digest(), 1, true } });
        auto update = peer::encode({ 0, false, peer::member_update { { makeRecord(1) } } });
        std::printf("members %d table_mb %.2f change_ms %.2f digest_bytes %zu update_bytes %zu\n", nodes,
            megabytes, changeMilliseconds, digest.size(), update.size());
    }

}

}

int main()
{
    using namespace marlsill::control;
    measureSnapshot(2, 5, 32);
    measureSnapshot(59, 17, 32);
    measureSnapshot(650, 17, 260);
    measureSnapshot(6500, 17, 2600);
    measureMembership(32);
    measureMembership(260);
    measureMembership(2600);
    return 0;
}
