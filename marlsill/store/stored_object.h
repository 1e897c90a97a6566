#pragma once

// Objects of a store that holds them by kind and name, versions them, and lets clients watch for changes.

#include "marlsill/placement/store_position.h"

#include <cstdint>
#include <string>
#include <vector>

namespace marlsill::store {

// One object of the store.
struct stored_object {
    std::string name;
    std::uint64_t version = 0; // Store version of its last change; increases across all objects of one era.
    // JSON text as its writer has left it, which may be malformed, large and of any shape; empty if there is
    // none. Decoders read it without building all of it.
    std::string content;
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
