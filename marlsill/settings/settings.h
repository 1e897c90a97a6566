#pragma once

// Settings of a program, declared once and read from flags and environment variables.
//
//     constexpr setting_spec specs[] = {
//         integerSetting("workers", "64", "traffic threads", 1, 1024),
//         addressSetting("platform", "", "address of the platform's object API"),
//     };
//     reason why;
//     auto values = readSettings(specs, argc, argv, environ, why);
//     if (!values)
//         return exitUsage(why);
//     int workers = values->integer("workers");
//
// The flag --idle-limit has the environment variable MARLSILL_IDLE_LIMIT; a flag goes before a variable.

#include "marlsill/base/reason.h"

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace marlsill {

// Exit status of a program whose settings or arguments are wrong.
constexpr int exitUsage = 2;

// The kinds of values a setting may take.
enum class setting_kind {
    text,
    integer,
    decimal, // A number with or without a fraction.
    address, // An IP number and a port, as in 10.0.0.1:8080.
    choice, // One of the words in `choices`, which are separated by '|'.
    flag, // true or false; the flag without a value means true.
};

// The declaration of one setting. An empty default makes a text or address setting required unless
// `isOptional`.
struct setting_spec {
    std::string_view name;
    setting_kind kind = setting_kind::text;
    std::string_view defaultValue;
    std::string_view help;
    std::int64_t minimum = 0;
    std::int64_t maximum = std::numeric_limits<std::int64_t>::max();
    std::string_view choices;
    bool isOptional = false;
};

// Declares an integer setting with an inclusive range.
constexpr setting_spec integerSetting(std::string_view name, std::string_view defaultValue,
    std::string_view help, std::int64_t minimum, std::int64_t maximum)
{
    return { name, setting_kind::integer, defaultValue, help, minimum, maximum, {}, false };
}

// Declares a setting that takes a number with or without a fraction, with an inclusive range.
constexpr setting_spec decimalSetting(std::string_view name, std::string_view defaultValue,
    std::string_view help, std::int64_t minimum, std::int64_t maximum)
{
    return { name, setting_kind::decimal, defaultValue, help, minimum, maximum, {}, false };
}

// Declares an address setting, which is required when it has no default.
constexpr setting_spec addressSetting(
    std::string_view name, std::string_view defaultValue, std::string_view help)
{
    return { name, setting_kind::address, defaultValue, help, 0, 0, {}, false };
}

// Declares a text setting of `minimum` to `maximum` characters.
constexpr setting_spec textSetting(std::string_view name, std::string_view defaultValue,
    std::string_view help, std::int64_t minimum = 0, std::int64_t maximum = 4096)
{
    return { name, setting_kind::text, defaultValue, help, minimum, maximum, {}, minimum == 0 };
}

// Declares a setting that takes one of several words.
constexpr setting_spec choiceSetting(
    std::string_view name, std::string_view defaultValue, std::string_view help, std::string_view choices)
{
    return { name, setting_kind::choice, defaultValue, help, 0, 0, choices, false };
}

// Declares an on-off setting that is off by default.
constexpr setting_spec flagSetting(std::string_view name, std::string_view help)
{
    return { name, setting_kind::flag, "false", help, 0, 0, {}, false };
}

// Checked values of all declared settings. Asking for a name that was not declared is a broken invariant.
class settings_values {
public:
    // Returns a value as text.
    const std::string& text(std::string_view name) const;

    // Returns an integer setting's value, which lies in its declared range.
    std::int64_t integer(std::string_view name) const;

    // Returns a decimal setting's value, which lies in its declared range.
    double decimal(std::string_view name) const;

    // Returns a flag setting's value.
    bool isSet(std::string_view name) const;

    // Returns the words of the command line that belong to no flag.
    std::span<const std::string> arguments() const { return m_arguments; }

    // Returns whether the user asked for help, for the version, or for the check alone.
    bool wantsHelp() const { return m_wantsHelp; }
    bool wantsVersion() const { return m_wantsVersion; }
    bool wantsCheck() const { return m_wantsCheck; }

private:
    friend std::optional<settings_values> readSettings(std::span<const setting_spec> specs,
        std::span<const char* const> arguments, std::span<const std::string> environment, reason& why);

    std::map<std::string, std::string, std::less<>> m_values;
    std::vector<std::string> m_arguments;
    bool m_wantsHelp = false;
    bool m_wantsVersion = false;
    bool m_wantsCheck = false;
};

// Reads and checks the settings. `arguments` excludes the program's name; `environment` holds NAME=value
// lines. On failure the reason names the flag, its value and the accepted range. Unknown flags and unknown
// variables that begin with MARLSILL_ are failures.
std::optional<settings_values> readSettings(std::span<const setting_spec> specs,
    std::span<const char* const> arguments, std::span<const std::string> environment, reason& why);

// Returns the environment of this process as NAME=value lines.
std::vector<std::string> currentEnvironment();

// Returns the help text of a program.
std::string helpText(std::string_view program, std::string_view summary, std::span<const setting_spec> specs);

// The outcome of a program's start: settings to run with, or the status to exit with.
struct program_start {
    std::optional<settings_values> settings;
    int exitStatus = 0;
};

// Reads settings for main(). Prints help, version, the result of --check-settings, or what is wrong, and then
// returns no settings but an exit status.
program_start startProgram(std::string_view program, std::string_view summary,
    std::span<const setting_spec> specs, int argc, const char* const* argv);

}
