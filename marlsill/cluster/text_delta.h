#pragma once

// The difference between two similar texts, such as two versions of a configuration.
//
//     auto delta = makeDelta(oldText, newText);
//     reason why;
//     auto text = applyDelta(oldText, delta, 1'000'000, why); // == newText
//
// A delta copies the parts that both texts contain and holds the others. Texts are compared in pieces that
// end with a closing bracket or brace, so that a changed row of a JSON table costs that row only. The
// receiver must check that the result is the expected text, as a delta says nothing of its base.

#include "marlsill/base/reason.h"

#include <optional>
#include <string>
#include <string_view>

namespace marlsill::cluster {

// Returns the delta that leads from `base` to `target`.
std::string makeDelta(std::string_view base, std::string_view target);

// Applies a delta. Returns std::nullopt and sets `why` if it is malformed, does not fit `base`, or if the
// result would be longer than `maxBytes`.
std::optional<std::string> applyDelta(
    std::string_view base, std::string_view delta, std::size_t maxBytes, reason& why);

}
