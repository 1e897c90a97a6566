#include "marlsill/events/events.h"

#include "marlsill/events/internal/bounded_appender.h"

#include <algorithm>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <unistd.h>

namespace marlsill {

namespace {

    constexpr event_spec catalogue[] = {
        { event::daemonStarted, severity::info, "daemon_started",
            "The daemon listens; the fields give its addresses and incarnation." },
        { event::daemonStopping, severity::info, "daemon_stopping",
            "A planned stop began; the daemon has left the directory." },
        { event::daemonStopped, severity::info, "daemon_stopped",
            "The daemon has finished every request and ends." },
        { event::settingsReloaded, severity::info, "settings_reloaded", "The settings were read again." },
        { event::settingsRefused, severity::error, "settings_refused",
            "The settings have a missing or wrong value; those in force stay, or the start ends." },
        { event::logLinesDropped, severity::warning, "log_lines_dropped",
            "Lines were left out, as their reader is slow or there were too many of a kind." },
        { event::settingUnknown, severity::warning, "setting_unknown",
            "The settings file names a setting that this build does not know; it is ignored." },
        { event::partFailed, severity::error, "part_failed",
            "A part of the daemon ended by itself; it is restarted after a pause." },
        { event::partRestarted, severity::warning, "part_restarted", "A failed part runs again." },
        { event::absenceNoticed, severity::warning, "absence_noticed",
            "The daemon did not run for a while; it was stopped or its VM was suspended." },
        { event::startWaiting, severity::warning, "start_waiting",
            "Something that the start needs is not there yet; it is tried again, `limit_ms` at the longest." },
        { event::handlerFailed, severity::error, "handler_failed",
            "An exception ended what an event loop was doing; the loop goes on." },
        { event::signalIgnored, severity::info, "signal_ignored",
            "A signal asked for something that this daemon does not do; it goes on." },
        { event::callerRequestMalformed, severity::warning, "caller_request_malformed",
            "A caller's request was refused with 400 and its connection closed." },
        { event::workerQueueFull, severity::warning, "worker_queue_full",
            "Connections wait for a traffic thread; new ones are refused." },
        { event::upstreamAnswerBroken, severity::warning, "upstream_answer_broken",
            "An upstream's answer was cut, malformed or late." },
        { event::upstreamConnectionsCondemned, severity::warning, "upstream_connections_condemned",
            "Pooled connections to an upstream were dropped because they had gone silent." },
        { event::requestQuarantined, severity::error, "request_quarantined",
            "A request under which two upstreams died is refused from now on." },
        { event::requestSuspected, severity::warning, "request_suspected",
            "An upstream died under a request; others do not run it meanwhile." },
        { event::keyLedgerFull, severity::error, "key_ledger_full",
            "The memory for idempotency keys is used up; new keyed requests are refused." },
        { event::outcomesHandedOver, severity::info, "outcomes_handed_over",
            "A stopping daemon gave the outcomes of its keys to a successor." },
        { event::attemptStarted, severity::info, "attempt_started",
            "A request was sent to an upstream; the fields give what decided the choice." },
        { event::attemptEnded, severity::info, "attempt_ended", "An attempt at an upstream ended." },
        { event::requestAnswered, severity::info, "request_answered", "A request got its final answer." },
        { event::requestCancelled, severity::info, "request_cancelled", "A caller left before its answer." },
        { event::requestNotRouted, severity::info, "request_not_routed",
            "A request was answered without a route: none fits, or no configuration is known yet." },
        { event::requestDuringStop, severity::info, "request_during_stop",
            "A request came after a planned stop began; the fields give why it was taken or refused." },
        { event::requestRelayed, severity::info, "request_relayed",
            "This VM is cut off from all upstreams and sent a request through a peer; status 0: no answer." },
        { event::accessDenied, severity::info, "access_denied",
            "A request was not sent, as it has no valid key or keys cannot be checked now; `digest` begins the key's digest." },
        { event::requestOverLimit, severity::info, "request_over_limit",
            "A request was refused with 429: its account has used up its limit. `shares` is what this VM holds of the limit, `answer_age_ms` how long ago a lender answered it." },
        { event::requestWithoutLender, severity::warning, "request_without_lender",
            "A request was refused with 503 unrun: no VM that lends for its account answered, or a planned stop began." },
        { event::configurationInForce, severity::info, "configuration_in_force",
            "A generation of the configuration was applied." },
        { event::configurationAccepted, severity::info, "configuration_accepted",
            "The platform holds a new generation that came through this daemon." },
        { event::configurationRefused, severity::warning, "configuration_refused",
            "A submitted document was refused; what is in force stays." },
        { event::configurationFetchFailed, severity::warning, "configuration_fetch_failed",
            "A newer generation could not be read whole; what is in force stays." },
        { event::configurationPartIgnored, severity::warning, "configuration_part_ignored",
            "A part of a newer configuration from a peer was of no use; the whole is requested." },
        { event::platformUnavailable, severity::warning, "platform_unavailable",
            "Calls to the platform fail; what is in force stays." },
        { event::platformAvailable, severity::info, "platform_available",
            "Calls to the platform succeed again." },
        { event::platformBudgetSpent, severity::warning, "platform_budget_spent",
            "A call to the platform was held back by this daemon's own rate limit." },
        { event::storeWatchChanged, severity::info, "store_watch_changed",
            "This VM began to watch the store by itself, or left that to others. `known_ms`: how old its "
            "knowledge of the store was then; `reader` had read the store, `source` told it." },
        { event::storeRestored, severity::warning, "store_restored",
            "The store came back from a copy; all objects of a kind are listed again." },
        { event::storeEraUnreadable, severity::warning, "store_era_unreadable",
            "A response of the store states no era that can be read; the known one stays in force." },
        { event::keysExpired, severity::warning, "keys_expired",
            "Requests with keys are refused with 503: the configuration may lack a withdrawal." },
        { event::keysValid, severity::info, "keys_valid",
            "Requests with keys are accepted again; `source` told how recent the configuration is." },
        { event::memberJoined, severity::info, "member_joined", "An entry VM was seen for the first time." },
        { event::memberLeaving, severity::info, "member_leaving", "An entry VM announced a planned stop." },
        { event::memberGone, severity::warning, "member_gone", "An entry VM is considered failed." },
        { event::memberSuspected, severity::warning, "member_suspected",
            "An entry VM did not echo heartbeats in both directions." },
        { event::memberListed, severity::info, "member_listed", "An entry VM's registration was read." },
        { event::servingSetChanged, severity::info, "serving_set_changed",
            "The VMs that the directory names for a host changed." },
        { event::fleetBuildsChanged, severity::info, "fleet_builds_changed",
            "Another set of builds runs in the fleet; `builds` counts the VMs by build." },
        { event::peerLinkUp, severity::info, "peer_link_up",
            "An authenticated link to another entry VM is open." },
        { event::peerLinkDown, severity::info, "peer_link_down",
            "A link to another entry VM was closed or replaced." },
        { event::peerMessageDropped, severity::warning, "peer_message_dropped",
            "A malformed, oversized, replayed or unauthenticated message was ignored." },
        { event::upstreamSuspected, severity::info, "upstream_suspected",
            "Evidence against an upstream lowered its share of work." },
        { event::upstreamEjected, severity::warning, "upstream_ejected",
            "An upstream gets no work until the deadline; evidence and floor are in the fields." },
        { event::upstreamReadmitted, severity::info, "upstream_readmitted",
            "An ejected upstream gets work again." },
        { event::ejectionRefusedByFloor, severity::warning, "ejection_refused_by_floor",
            "An upstream was not ejected because capacity would fall below the floor." },
        { event::ejectionNotAgreed, severity::warning, "ejection_not_agreed",
            "The platform did not record an ejection, so it was not carried out." },
        { event::upstreamLeaving, severity::info, "upstream_leaving",
            "An upstream is leaving and gets no new work." },
        { event::upstreamEvidence, severity::info, "upstream_evidence",
            "An upstream gets no requests from now on, or gets them again, by a peer's word or for stalled work." },
        { event::upstreamCrashed, severity::warning, "upstream_crashed",
            "An upstream ended under a request and cannot be reached." },
        { event::upstreamsChanged, severity::info, "upstreams_changed",
            "Registrations of upstreams changed; the fields name one and the list's version." },
        { event::upstreamEntryIgnored, severity::warning, "upstream_entry_ignored",
            "A registration cannot be read and names no upstream." },
        { event::upstreamDoubtful, severity::info, "upstream_doubtful",
            "A registration went missing in an outage; it stays in use until the outage has been over for a while." },
        { event::idleLimitLearned, severity::info, "idle_limit_learned",
            "An upstream had forgotten an idle connection; its service's connections are reused sooner only." },
        { event::crashReported, severity::info, "crash_reported",
            "A peer reported that a request has crashed upstreams; `known` is the count with it." },
        { event::crashCleared, severity::info, "crash_cleared",
            "A request suspected of crashing an upstream succeeded; the crash counts against it no longer." },
        { event::crashRecordsCurrent, severity::info, "crash_records_current",
            "This VM was away, or is new, and acts on its crash records again; `source` is who has sent all of its own." },
        { event::crashObjectIgnored, severity::warning, "crash_object_ignored",
            "An object of crash records in the store cannot be read." },
        { event::crashObjectNotWritten, severity::warning, "crash_object_not_written",
            "The crash records of a request could not be written to the store; this is repeated." },
        { event::upstreamLimitChanged, severity::info, "upstream_limit_changed",
            "A response named another limit of requests per second than the one known, or none any more." },
        { event::permitAnswered, severity::info, "permit_answered",
            "A permit to send one request to a limited upstream was granted, from `delay_ms` on, or refused." },
        { event::cutOffChanged, severity::warning, "cut_off_changed",
            "This VM cannot reach any upstream, or none of `service` if that is named, or can again; while it can reach none at all, peers serve its callers' requests." },
        { event::leavingNoticed, severity::info, "leaving_noticed",
            "An upstream says in its responses that it leaves; it gets no new requests until another process is registered under its id. `source` is who has told, `age_ms` how long ago it was said." },
        { event::leavingNoticeEnded, severity::info, "leaving_notice_ended",
            "Another process is registered under the id of an upstream that said that it leaves." },
        { event::leavingFieldMalformed, severity::warning, "leaving_field_malformed",
            "The field of a response that says whether the upstream leaves has an unknown value, which is ignored; at most one line a second." },
        { event::upstreamTurnsAway, severity::info, "upstream_turns_away",
            "An upstream turned a request away for a time; it gets nothing from this VM until `until_unix_ms`." },
        { event::retryAfterIgnored, severity::warning, "retry_after_ignored",
            "An upstream's 503 named a time that cannot be read; it holds nothing back." },
        { event::recordGap, severity::error, "record_gap",
            "Facts were dropped before they could be stored; the gap is part of the record." },
    };

    const event_spec& specOf(event number)
    {
        auto found = std::find_if(std::begin(catalogue), std::end(catalogue),
            [number](const event_spec& spec) { return spec.number == number; });
        return *found;
    }

    void appendValue(std::string& line, std::string_view value)
    {
        bool isPlain = !value.empty() && value.find_first_of(" \"\\\t\r\n=") == std::string_view::npos;
        if (isPlain) {
            line.append(value);
            return;
        }
        line.push_back('"');
        for (char character : value) {
            if (character == '"' || character == '\\') {
                line.push_back('\\');
            }
            line.push_back(static_cast<unsigned char>(character) < 0x20 ? ' ' : character);
        }
        line.push_back('"');
    }

    log4cplus::LogLevel toLogLevel(severity level)
    {
        switch (level) {
        case severity::info:
            return log4cplus::INFO_LOG_LEVEL;
        case severity::warning:
            return log4cplus::WARN_LOG_LEVEL;
        case severity::error:
            break;
        }
        return log4cplus::ERROR_LOG_LEVEL;
    }

    log4cplus::Logger& logger()
    {
        static log4cplus::Logger instance = log4cplus::Logger::getInstance("marlsill");
        return instance;
    }

}

std::span<const event_spec> eventCatalogue() { return catalogue; }

void startLogging(severity minimum)
{
    static log4cplus::Initializer initializer;
    log4cplus::SharedAppenderPtr appender(new internal::bounded_appender(STDOUT_FILENO));
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%D{%Y-%m-%dT%H:%M:%S.%qZ} %p %m%n"));
    logger().addAppender(appender);
    logger().setLogLevel(toLogLevel(minimum));
}

void logEvent(event number, std::initializer_list<event_field> fields)
{
    const auto& spec = specOf(number);
    std::string line = "E" + std::to_string(static_cast<int>(number)) + " " + std::string(spec.name);
    for (const auto& [name, value] : fields) {
        line.push_back(' ');
        line.append(name);
        line.push_back('=');
        appendValue(line, value);
    }
    logger().log(toLogLevel(spec.level), line);
}

}
