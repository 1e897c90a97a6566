#include "marlsill/entry/quarantine.h"

#include <doctest/doctest.h>

namespace marlsill::entry {

namespace {

    constexpr request_fingerprint fingerprint = 17;

    suspicion_notice suspicionReportedBy(const char* reporter, const char* upstream = "")
    {
        return { fingerprint, suspicion_level::suspectedRemotely, "work", reporter, upstream };
    }

}

TEST_CASE("crashes of two upstreams quarantine a request, one crash does not")
{
    struct row {
        const char* name;
        const char* secondUpstream;
        bool isProbe;
        quarantine_decision expected;
    };
    constexpr row rows[] = {
        { "a second crash on the same upstream", "u0", false, quarantine_decision::probe },
        { "a crash on another upstream", "u1", false, quarantine_decision::quarantined },
        { "a crash on the same upstream, during a probe", "u0", true, quarantine_decision::quarantined },
    };
    for (const row& each : rows) {
        CAPTURE(each.name);
        quarantine_list list;
        std::vector<suspicion_level> announced;
        list.setAnnounceFunction([&](const suspicion_notice& notice) { announced.push_back(notice.level); });
        list.reportCrash(fingerprint, "work", "u0", false);
        list.reportCrash(fingerprint, "work", each.secondUpstream, each.isProbe);
        CHECK(list.admit(fingerprint) == each.expected);
        CHECK(announced.front() == suspicion_level::suspectedLocally);
        CHECK((announced.back() == suspicion_level::quarantined)
            == (each.expected == quarantine_decision::quarantined));
    }
}

TEST_CASE("a suspected request is probed one at a time, and a response to the probe clears it")
{
    quarantine_list list;
    list.reportCrash(fingerprint, "work", "u0", false);
    CHECK(list.admit(fingerprint) == quarantine_decision::probe);
    CHECK(list.admit(fingerprint) == quarantine_decision::suspected);
    list.endProbe(fingerprint, false);
    CHECK(list.admit(fingerprint) == quarantine_decision::probe);
    list.endProbe(fingerprint, true);
    CHECK(list.admit(fingerprint) == quarantine_decision::allowed);
}

TEST_CASE("notices count by the upstream that crashed, not by the VM that reports it")
{
    // Guards against one crash that two VMs saw being taken for two.
    struct row {
        const char* name;
        suspicion_notice second;
        bool isNews;
        quarantine_decision expected;
    };
    const row rows[] = {
        { "the same VM again", suspicionReportedBy("aa", "u0"), false, quarantine_decision::suspected },
        { "another VM, the same upstream", suspicionReportedBy("bb", "u0"), false,
            quarantine_decision::suspected },
        { "another VM, another upstream", suspicionReportedBy("bb", "u1"), true,
            quarantine_decision::quarantined },
        { "the same VM, another upstream", suspicionReportedBy("aa", "u1"), true,
            quarantine_decision::quarantined },
        { "another VM of an earlier version", suspicionReportedBy("bb"), true,
            quarantine_decision::quarantined },
    };
    for (const row& each : rows) {
        CAPTURE(std::string(each.name));
        quarantine_list list;
        CHECK(list.applyNotice(suspicionReportedBy("aa", "u0")));
        CHECK(list.admit(fingerprint) == quarantine_decision::suspected);
        CHECK(list.applyNotice(each.second) == each.isNews);
        CHECK(list.admit(fingerprint) == each.expected);
        bool isQuarantined = each.expected == quarantine_decision::quarantined;
        CHECK(list.quarantined().size() == (isQuarantined ? 1 : 0));
        if (isQuarantined) {
            CHECK_FALSE(list.applyNotice({ fingerprint, suspicion_level::cleared, "work", "aa" }));
        }
    }
}

TEST_CASE("duplicate notices from one VM of an earlier version count once, those of two VMs as two crashes")
{
    quarantine_list list;
    CHECK(list.applyNotice(suspicionReportedBy("aa")));
    CHECK_FALSE(list.applyNotice(suspicionReportedBy("aa")));
    CHECK(list.admit(fingerprint) == quarantine_decision::suspected);
    CHECK(list.applyNotice(suspicionReportedBy("bb")));
    CHECK(list.admit(fingerprint) == quarantine_decision::quarantined);
    CHECK_FALSE(list.applyNotice({ fingerprint, suspicion_level::cleared, "work", "aa" }));
    CHECK(list.quarantined().size() == 1);
}

TEST_CASE("a local crash after one reported by another VM counts if it is another upstream's")
{
    struct row {
        const char* name;
        const char* reported;
        quarantine_decision expected;
    };
    constexpr row rows[] = {
        { "another upstream", "u1", quarantine_decision::quarantined },
        { "the same upstream", "u0", quarantine_decision::suspected },
        { "an earlier version names none", "", quarantine_decision::quarantined },
    };
    for (const row& each : rows) {
        CAPTURE(std::string(each.name));
        quarantine_list list;
        list.applyNotice(suspicionReportedBy("aa", each.reported));
        list.reportCrash(fingerprint, "work", "u0", false);
        CHECK(list.admit(fingerprint) == each.expected);
    }
}

TEST_CASE("of two VMs that saw the same crash, one may probe")
{
    for (const char* own : { "bb", "dd" }) {
        CAPTURE(std::string(own));
        quarantine_list list;
        list.setIncarnation(own);
        list.reportCrash(fingerprint, "work", "u0", false);
        bool mustYield = std::string(own) == "dd";
        CHECK(list.applyNotice(suspicionReportedBy("cc", "u0")) == mustYield);
        CHECK(list.admit(fingerprint)
            == (mustYield ? quarantine_decision::suspected : quarantine_decision::probe));
    }
}

TEST_CASE("the list is bounded, and quarantined requests are evicted last")
{
    quarantine_list list({ .maxEntries = 3 });
    list.applyNotice({ 1, suspicion_level::quarantined, "work", "aa" });
    for (request_fingerprint other = 2; other < 50; ++other) {
        list.applyNotice({ other, suspicion_level::suspectedRemotely, "work", "aa" });
    }
    CHECK(list.admit(1) == quarantine_decision::quarantined);
}

}
