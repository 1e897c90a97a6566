// Audits the record in the platform, or exported segment files given as arguments.

#include "marlsill/http/client.h"
#include "marlsill/record/audit.h"
#include "marlsill/record/record_source.h"
#include "marlsill/settings/settings.h"

#include <cstdio>
#include <fstream>
#include <sstream>

namespace marlsill::record {

namespace {

    constexpr setting_spec specs[] = {
        addressSetting(
            "platform", "127.0.0.1:0", "address of the platform's object API, unless files are given"),
        textSetting("fleet-key", "", "secret under which the record was written", 16, 256),
    };

    constexpr int exitNotRead = 4;
    constexpr std::chrono::minutes readLimit { 10 };

    std::optional<std::vector<std::string>> readFiles(std::span<const std::string> paths, reason& why)
    {
        std::vector<std::string> texts;
        for (const auto& path : paths) {
            std::ifstream file(path, std::ios::binary);
            std::ostringstream text;
            text << file.rdbuf();
            if (!file) {
                return fail(why, reason_code::notFound, "cannot read " + path);
            }
            texts.push_back(text.str());
        }
        return texts;
    }

    int run(const settings_values& settings)
    {
        reason why;
        platform::platform_client platform({ .address = *http::parseAddress(settings.text("platform")),
            .reads = { .perSecond = 200, .burst = 2000 } });
        auto texts = settings.arguments().empty() ? readRecord(platform, deadlineAfter(readLimit), why)
                                                  : readFiles(settings.arguments(), why);
        if (!texts) {
            std::fprintf(stderr, "marlsill-audit: %s\n", why.text.c_str());
            return exitNotRead;
        }
        auto result = audit(*texts, settings.text("fleet-key"));
        constexpr const char* verdicts[] = { "kept", "BROKEN", "unknown" };
        for (const auto& promise : result.promises) {
            std::printf("%-8s %s\n", verdicts[static_cast<int>(promise.verdict)], promise.promise.c_str());
            for (const auto& finding : promise.findings) {
                std::printf("         - %s\n", finding.c_str());
            }
        }
        std::printf("%zu facts of %zu daemon incarnations\n", result.facts, result.incarnations);
        return result.exitStatus();
    }

}

}

int main(int argc, char** argv)
{
    auto start = marlsill::startProgram("marlsill-audit",
        "checks every promise again from the record (exit 0 kept, 1 broken, 3 unknown)",
        marlsill::record::specs, argc, argv);
    return start.settings ? marlsill::record::run(*start.settings) : start.exitStatus;
}
