#include "marlsill/record/audit.h"

#include <algorithm>
#include <map>
#include <set>

namespace marlsill::record {

namespace {

    // The chain of one incarnation, in order.
    using chain = std::vector<read_segment>;

    void breakPromise(promise_result& promise, std::string finding)
    {
        promise.verdict = promise_verdict::broken;
        promise.findings.push_back(std::move(finding));
    }

    void doubt(promise_result& promise, std::string finding)
    {
        if (promise.verdict == promise_verdict::kept) {
            promise.verdict = promise_verdict::unknown;
        }
        promise.findings.push_back(std::move(finding));
    }

    std::map<std::string, chain> readChains(
        std::span<const std::string> texts, std::string_view key, promise_result& whole, std::size_t& facts)
    {
        std::map<std::string, chain> chains;
        for (const auto& text : texts) {
            reason why;
            auto segment = parseSegment(text, key, why);
            if (!segment) {
                breakPromise(whole, why.text);
                continue;
            }
            facts += segment->facts.size();
            chains[segment->incarnation].push_back(std::move(*segment));
        }
        for (auto& [incarnation, segments] : chains) {
            std::sort(segments.begin(), segments.end(),
                [](const auto& left, const auto& right) { return left.number < right.number; });
        }
        return chains;
    }

    void checkChain(const std::string& incarnation, const chain& segments, promise_result& whole)
    {
        std::string previous;
        std::int64_t number = 0;
        bool isClosed = false;
        for (const auto& segment : segments) {
            if (segment.number != number || segment.previousTag != previous) {
                return breakPromise(whole,
                    incarnation + ": segment " + std::to_string(number)
                        + " is missing, doubled or out of place");
            }
            previous = segment.tag;
            ++number;
            for (const auto& each : segment.facts) {
                if (each.kind == fact_kind::gap) {
                    doubt(whole,
                        incarnation + ": " + std::to_string(each.count) + " facts were dropped at "
                            + std::to_string(each.at));
                }
                isClosed = isClosed || each.kind == fact_kind::closed;
            }
        }
        if (!isClosed) {
            doubt(whole, incarnation + ": has no planned end; its last seconds may be missing");
        }
    }

    template <typename Visit> void forEachFact(const std::map<std::string, chain>& chains, Visit visit)
    {
        for (const auto& [incarnation, segments] : chains) {
            for (const auto& segment : segments) {
                for (const auto& each : segment.facts) {
                    visit(incarnation, each);
                }
            }
        }
    }

    promise_result checkAtMostOnce(const std::map<std::string, chain>& chains)
    {
        promise_result promise { "a request marked as not repeatable runs at most once", {}, {} };
        std::map<std::string, int> runs;
        std::set<std::string> notRun;
        forEachFact(chains, [&](const std::string&, const fact& each) {
            if (each.kind != fact_kind::outcome || each.key.empty()) {
                return;
            }
            bool isResend = each.why == "stored-answer" || each.why == "answer-not-kept";
            runs[each.key] += each.told == "ran" && !isResend ? 1 : 0;
            if (each.told == "not-run" && each.why != "key-used-for-another-request") {
                notRun.insert(each.key);
            }
        });
        for (const auto& [key, count] : runs) {
            if (count > 1) {
                breakPromise(promise, "key " + key + " ran " + std::to_string(count) + " times");
            }
        }
        promise.promise += "; told not-run means not run";
        for (const auto& key : notRun) {
            if (runs[key] > 0) {
                breakPromise(promise, "key " + key + " was told not-run and ran");
            }
        }
        return promise;
    }

    promise_result checkFloors(const std::map<std::string, chain>& chains)
    {
        promise_result promise { "ejecting upstreams never brings healthy capacity below the floor", {}, {} };
        std::vector<const fact*> ejections;
        forEachFact(chains, [&](const std::string&, const fact& each) {
            if (each.kind == fact_kind::ejected) {
                ejections.push_back(&each);
            }
        });
        for (const auto* one : ejections) {
            std::int64_t healthy = 0;
            for (const auto& upstream : one->capacity) {
                bool isEjected = std::any_of(ejections.begin(), ejections.end(), [&](const auto* other) {
                    return other->service == one->service && other->upstream == upstream.upstream
                        && other->at <= one->at && other->until > one->at;
                });
                healthy += upstream.counts && !isEjected ? upstream.slots : 0;
            }
            if (healthy < one->count) {
                breakPromise(promise,
                    one->service + "/" + one->upstream + " at " + std::to_string(one->at) + ": "
                        + std::to_string(healthy) + " healthy slots left, floor "
                        + std::to_string(one->count));
            }
        }
        return promise;
    }

    promise_result checkNeverBack(const std::map<std::string, chain>& chains)
    {
        promise_result promise { "an accepted configuration never reverts", {}, {} };
        std::map<std::string, std::int64_t> last;
        std::map<std::int64_t, std::string> operations;
        forEachFact(chains, [&](const std::string& incarnation, const fact& each) {
            if (each.kind == fact_kind::inForce) {
                auto& before = last[incarnation];
                if (each.generation <= before) {
                    breakPromise(promise,
                        incarnation + ": generation " + std::to_string(each.generation) + " after "
                            + std::to_string(before));
                }
                before = each.generation;
            }
            if (each.kind == fact_kind::accepted) {
                auto [known, isNew] = operations.emplace(each.generation, each.operation);
                if (!isNew && known->second != each.operation) {
                    breakPromise(
                        promise, "generation " + std::to_string(each.generation) + " was made twice");
                }
            }
        });
        return promise;
    }

    promise_result checkInForce(const std::map<std::string, chain>& chains)
    {
        promise_result promise { "an accepted configuration is in force everywhere within 8 s", {}, {} };
        std::map<std::int64_t, std::int64_t> acceptedAt;
        std::map<std::int64_t, std::int64_t> everywhereAt;
        forEachFact(chains, [&](const std::string&, const fact& each) {
            if (each.kind == fact_kind::accepted) {
                acceptedAt.emplace(each.generation, each.at);
            } else if (each.kind == fact_kind::inForceEverywhere) {
                auto [known, isNew] = everywhereAt.emplace(each.generation, each.at);
                known->second = std::min(known->second, each.at);
            }
        });
        for (const auto& [generation, at] : acceptedAt) {
            // A later generation in force everywhere includes this one.
            auto found = everywhereAt.lower_bound(generation);
            if (found == everywhereAt.end()) {
                doubt(promise,
                    "generation " + std::to_string(generation) + " was not reported in force everywhere");
            } else if (found->second - at > inForceMilliseconds) {
                breakPromise(promise,
                    "generation " + std::to_string(generation) + " took " + std::to_string(found->second - at)
                        + " ms");
            }
        }
        return promise;
    }

}

int audit_result::exitStatus() const
{
    auto has = [this](promise_verdict verdict) {
        return std::any_of(promises.begin(), promises.end(),
            [verdict](const auto& promise) { return promise.verdict == verdict; });
    };
    return has(promise_verdict::broken) ? 1 : has(promise_verdict::unknown) ? 3 : 0;
}

audit_result audit(std::span<const std::string> segmentTexts, std::string_view key)
{
    audit_result result;
    promise_result whole { "the record is whole and unchanged", {}, {} };
    auto chains = readChains(segmentTexts, key, whole, result.facts);
    result.incarnations = chains.size();
    for (const auto& [incarnation, segments] : chains) {
        checkChain(incarnation, segments, whole);
    }
    if (chains.empty()) {
        doubt(whole, "there is no record");
    }
    bool hasGaps = whole.verdict != promise_verdict::kept;
    result.promises.push_back(std::move(whole));
    for (auto promise :
        { checkAtMostOnce(chains), checkFloors(chains), checkNeverBack(chains), checkInForce(chains) }) {
        if (hasGaps) {
            doubt(promise, "the record is not whole");
        }
        result.promises.push_back(std::move(promise));
    }
    return result;
}

}
