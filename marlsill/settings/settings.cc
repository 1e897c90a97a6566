#include "marlsill/settings/settings.h"

#include "marlsill/base/build_version.h"

#include <algorithm>
#include <arpa/inet.h>
#include <boost/program_options.hpp>
#include <cctype>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <sstream>
#include <unistd.h>

namespace marlsill {

namespace {

    namespace options = boost::program_options;

    constexpr std::string_view environmentPrefix = "MARLSILL_";

    std::string variableName(std::string_view flag)
    {
        std::string name(environmentPrefix);
        for (char character : flag) {
            name.push_back(character == '-' ? '_' : static_cast<char>(std::toupper(character)));
        }
        return name;
    }

    std::string acceptedValues(const setting_spec& spec)
    {
        switch (spec.kind) {
        case setting_kind::integer:
            return "a whole number from " + std::to_string(spec.minimum) + " to "
                + std::to_string(spec.maximum);
        case setting_kind::decimal:
            return "a number from " + std::to_string(spec.minimum) + " to " + std::to_string(spec.maximum);
        case setting_kind::address:
            return "an IP number and a port, such as 10.0.0.1:8080";
        case setting_kind::choice:
            return "one of " + std::string(spec.choices);
        case setting_kind::flag:
            return "true or false";
        case setting_kind::text:
            break;
        }
        return std::to_string(spec.minimum) + " to " + std::to_string(spec.maximum) + " characters";
    }

    std::optional<std::int64_t> parseInteger(std::string_view text)
    {
        std::int64_t value = 0;
        auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (text.empty() || error != std::errc() || end != text.data() + text.size()) {
            return std::nullopt;
        }
        return value;
    }

    std::optional<double> parseDecimal(const std::string& text)
    {
        char* end = nullptr;
        double value = std::strtod(text.c_str(), &end);
        if (text.empty() || end != text.c_str() + text.size() || !std::isfinite(value)) {
            return std::nullopt;
        }
        return value;
    }

    bool isAddress(const std::string& text)
    {
        auto colon = text.rfind(':');
        if (colon == std::string::npos) {
            return false;
        }
        in_addr parsed {};
        auto port = parseInteger(text.substr(colon + 1));
        bool isHost = ::inet_pton(AF_INET, text.substr(0, colon).c_str(), &parsed) == 1;
        return isHost && port && *port >= 0 && *port <= 65535;
    }

    bool isChoice(std::string_view value, std::string_view choices)
    {
        while (!choices.empty()) {
            auto end = std::min(choices.find('|'), choices.size());
            if (choices.substr(0, end) == value) {
                return true;
            }
            choices.remove_prefix(std::min(end + 1, choices.size()));
        }
        return false;
    }

    bool isAccepted(const setting_spec& spec, const std::string& value)
    {
        auto isInRange
            = [&](std::int64_t number) { return number >= spec.minimum && number <= spec.maximum; };
        switch (spec.kind) {
        case setting_kind::integer: {
            auto number = parseInteger(value);
            return number && isInRange(*number);
        }
        case setting_kind::decimal: {
            auto number = parseDecimal(value);
            return number && *number >= static_cast<double>(spec.minimum)
                && *number <= static_cast<double>(spec.maximum);
        }
        case setting_kind::address:
            return (spec.isOptional && value.empty()) || isAddress(value);
        case setting_kind::choice:
            return isChoice(value, spec.choices);
        case setting_kind::flag:
            return value == "true" || value == "false";
        case setting_kind::text:
            break;
        }
        return isInRange(static_cast<std::int64_t>(value.size()));
    }

    std::nullopt_t failSetting(reason& why, const setting_spec& spec, const std::string& value)
    {
        auto given = value.empty() ? std::string("is missing") : "has the value '" + value + "'";
        return fail(why, reason_code::invalid,
            "--" + std::string(spec.name) + " " + given + "; accepted: " + acceptedValues(spec));
    }

    options::options_description describe(std::span<const setting_spec> specs)
    {
        options::options_description all("Settings");
        for (const auto& spec : specs) {
            auto help
                = std::string(spec.help) + " [" + acceptedValues(spec) + "; " + variableName(spec.name) + "]";
            auto* value = options::value<std::string>();
            if (!spec.defaultValue.empty()) {
                value->default_value(std::string(spec.defaultValue));
            }
            all.add_options()(std::string(spec.name).c_str(), value, help.c_str());
        }
        all.add_options()("help", "print this help");
        all.add_options()("version", "print the version");
        all.add_options()("check-settings", "check the settings and exit");
        return all;
    }

    // Returns the words of the command line with "=true" added to on-off flags that stand alone, which would
    // otherwise take the next word as their value.
    std::vector<std::string> withFlagValues(
        std::span<const setting_spec> specs, std::span<const char* const> arguments)
    {
        std::vector<std::string> words(arguments.begin(), arguments.end());
        for (auto& word : words) {
            for (const auto& spec : specs) {
                if (spec.kind == setting_kind::flag && word == "--" + std::string(spec.name)) {
                    word += "=true";
                }
            }
        }
        return words;
    }

    // Returns the flag that an environment variable sets, or an empty name if none is declared for it.
    std::string flagForVariable(std::span<const setting_spec> specs, std::string_view variable)
    {
        for (const auto& spec : specs) {
            if (variableName(spec.name) == variable) {
                return std::string(spec.name);
            }
        }
        return {};
    }

    std::optional<std::map<std::string, std::string>> readEnvironment(
        std::span<const setting_spec> specs, std::span<const std::string> environment, reason& why)
    {
        std::map<std::string, std::string> values;
        for (const auto& line : environment) {
            if (line.rfind(environmentPrefix, 0) != 0) {
                continue;
            }
            auto equals = line.find('=');
            auto flag = flagForVariable(specs, line.substr(0, equals));
            if (flag.empty()) {
                return fail(
                    why, reason_code::invalid, "unknown environment variable " + line.substr(0, equals));
            }
            values[flag] = line.substr(equals + 1);
        }
        return values;
    }

}

const std::string& settings_values::text(std::string_view name) const
{
    auto found = m_values.find(name);
    if (found == m_values.end()) {
        std::fprintf(stderr, "setting %s was not declared\n", std::string(name).c_str());
        std::abort();
    }
    return found->second;
}

std::int64_t settings_values::integer(std::string_view name) const
{
    return parseInteger(text(name)).value_or(0);
}

double settings_values::decimal(std::string_view name) const { return parseDecimal(text(name)).value_or(0); }

bool settings_values::isSet(std::string_view name) const { return text(name) == "true"; }

std::optional<settings_values> readSettings(std::span<const setting_spec> specs,
    std::span<const char* const> arguments, std::span<const std::string> environment, reason& why)
{
    auto variables = readEnvironment(specs, environment, why);
    if (!variables) {
        return std::nullopt;
    }
    settings_values result;
    options::variables_map parsed;
    try {
        auto described = describe(specs);
        options::options_description hidden;
        hidden.add_options()("argument", options::value<std::vector<std::string>>());
        options::options_description all;
        all.add(described).add(hidden);
        options::positional_options_description positions;
        positions.add("argument", -1);
        auto style = options::command_line_style::unix_style & ~options::command_line_style::allow_guessing;
        auto words = withFlagValues(specs, arguments);
        auto line = options::command_line_parser(words).options(all).positional(positions).style(style).run();
        options::store(line, parsed);
    } catch (const options::error& error) {
        return fail(why, reason_code::invalid, error.what());
    }
    result.m_wantsHelp = parsed.count("help") > 0;
    result.m_wantsVersion = parsed.count("version") > 0;
    result.m_wantsCheck = parsed.count("check-settings") > 0;
    if (parsed.count("argument")) {
        result.m_arguments = parsed["argument"].as<std::vector<std::string>>();
    }
    if (result.m_wantsHelp || result.m_wantsVersion) {
        return result;
    }
    for (const auto& spec : specs) {
        std::string name(spec.name);
        std::string value = parsed.count(name) ? parsed[name].as<std::string>() : std::string();
        bool isGivenAsFlag = parsed.count(name) && !parsed[name].defaulted();
        auto variable = variables->find(name);
        if (!isGivenAsFlag && variable != variables->end()) {
            value = variable->second;
        }
        if (!isAccepted(spec, value)) {
            return failSetting(why, spec, value);
        }
        result.m_values[name] = value;
    }
    return result;
}

std::vector<std::string> currentEnvironment()
{
    std::vector<std::string> lines;
    for (char** line = environ; *line; ++line) {
        lines.emplace_back(*line);
    }
    return lines;
}

std::string helpText(std::string_view program, std::string_view summary, std::span<const setting_spec> specs)
{
    std::ostringstream text;
    text << program << ": " << summary << "\n\n" << describe(specs);
    return text.str();
}

program_start startProgram(std::string_view program, std::string_view summary,
    std::span<const setting_spec> specs, int argc, const char* const* argv)
{
    reason why;
    auto environment = currentEnvironment();
    std::span<const char* const> arguments(argv + 1, static_cast<std::size_t>(argc - 1));
    auto values = readSettings(specs, arguments, environment, why);
    if (!values) {
        std::fprintf(stderr, "%s: %s\n", std::string(program).c_str(), why.text.c_str());
        return { std::nullopt, exitUsage };
    }
    if (values->wantsHelp()) {
        std::fputs(helpText(program, summary, specs).c_str(), stdout);
        return { std::nullopt, 0 };
    }
    if (values->wantsVersion()) {
        std::printf("%s %s\n", std::string(program).c_str(), std::string(buildVersion()).c_str());
        return { std::nullopt, 0 };
    }
    if (values->wantsCheck()) {
        std::puts("settings are valid");
        return { std::nullopt, 0 };
    }
    return { std::move(values), 0 };
}

}
