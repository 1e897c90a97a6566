#pragma once

// The reason that accompanies an empty std::optional.
//
// A function that can fail returns std::optional and takes a `reason&`, which it sets only on failure:
//
//     reason why;
//     auto document = parseInventory(text, why);
//     if (!document)
//         report(why.text);

#include <optional>
#include <string>
#include <utility>

namespace marlsill {

// Broad classes of failure, on which callers may decide.
enum class reason_code {
    none,
    invalid, // The input breaks a rule; trying again cannot help.
    notFound,
    conflict, // Somebody else's change came first.
    timeout,
    unavailable, // The other side did not take the request; nothing has changed there.
    uncertain, // The request may or may not have taken effect.
    tooLarge,
};

// Why the last operation returned no value.
struct reason {
    reason_code code = reason_code::none;
    std::string text;
};

// Sets `why` and returns std::nullopt, so that a failing function ends in one statement.
inline std::nullopt_t fail(reason& why, reason_code code, std::string text)
{
    why.code = code;
    why.text = std::move(text);
    return std::nullopt;
}

}
