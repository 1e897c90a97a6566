#include "marlsill/record/record_source.h"

#include "marlsill/record/record_file.h"

namespace marlsill::record {

std::optional<std::vector<std::string>> readRecord(
    platform::platform_client& platform, deadline limit, reason& why)
{
    auto names = platform.list(recordPrefix, limit, why);
    if (!names) {
        return std::nullopt;
    }
    std::vector<std::string> texts;
    for (const auto& name : *names) {
        auto stored = platform.read(name, limit, why);
        if (!stored) {
            return std::nullopt;
        }
        texts.push_back(std::move(stored->value));
    }
    return texts;
}

}
