#pragma once

// What the project needs of the platform's object API.
//
// Code that keeps or agrees on anything is a template over this concept, so that tests can put a small fake
// in the platform's place:
//
//     template <object_store Store>
//     bool claim(Store& store, const std::string& name, deadline limit, reason& why)
//     {
//         return store.write(name, "claimed", noVersion, limit, why).has_value();
//     }

#include "marlsill/base/reason.h"
#include "marlsill/base/time.h"

#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace marlsill::platform {

// The version of an object; it grows with every write of that object.
using object_version = std::int64_t;

// The expected version of an object that must not exist yet.
constexpr object_version noVersion = 0;

// The largest value that the platform holds.
constexpr std::size_t maxObjectBytes = 1024 * 1024;

// One object's value and version.
struct stored_object {
    std::string value;
    object_version version = noVersion;
};

// One VM as the platform lists it; the list may lag.
struct vm_entry {
    std::string name;
    std::string peerAddress;
    bool isLeaving = false;
};

// Operations on objects by name. All of them may be called from any thread and return by their deadline.
//
// read: the object; `notFound` if there is none.
// write: the new version; `conflict` if the object's version is not the expected one; `unavailable` if
// nothing was written; `uncertain` if the write may have taken effect. watch: the object as soon as its
// version exceeds `after`; `timeout` if that did not happen by the deadline.
template <typename T>
concept object_store = requires(T store, const std::string& name, const std::string& value,
    object_version version, deadline limit, reason& why)
{
    {
        store.read(name, limit, why)
        } -> std::same_as<std::optional<stored_object>>;
    {
        store.write(name, value, version, limit, why)
        } -> std::same_as<std::optional<object_version>>;
    {
        store.watch(name, version, limit, why)
        } -> std::same_as<std::optional<stored_object>>;
};

}
