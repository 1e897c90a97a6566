#pragma once

// Objects of a store that keeps them by kind and name, with versions and watches.

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace marlsill::store {

// One object as the store holds it.
struct stored_object {
    std::string name;
    std::uint64_t version = 0; // Of its last change; grows over all objects of the store.
    nlohmann::json content;
};

// A whole or partial list of a kind.
struct object_page {
    std::vector<stored_object> objects;
    bool hasMore = false; // Continue after the last name.
    std::uint64_t version = 0; // Of the store at the time of the list.
};

// One change of a kind.
struct object_change {
    stored_object object;
    bool isDeleted = false;
};

// The changes after some version.
struct change_page {
    std::vector<object_change> changes;
    std::uint64_t version = 0; // To go on from.
};

}
