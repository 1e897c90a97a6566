#pragma once

// Objects of a store that holds them by kind and name, versions them, and lets clients watch for changes.

#include "marlsill/placement/store_position.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace marlsill::store {

// One object of the store.
struct stored_object {
    std::string name;
    std::uint64_t version = 0; // Store version of its last change; increases across all objects of one era.
    nlohmann::json content;
    std::string unreadable {}; // Why `content` is null although there is content; empty if it could be read.
};

// One page of the list of a kind.
struct object_page {
    std::vector<stored_object> objects;
    bool hasMore = false; // The next page starts after the last name of this one.
    placement::store_position position; // Of the store when the page was read.
};

// A created, changed or deleted object.
struct object_change {
    stored_object object;
    bool isDeleted = false;
};

// The changes after the version that a watch started from.
struct change_page {
    std::vector<object_change> changes;
    placement::store_position position; // To start the next watch from.
};

}
