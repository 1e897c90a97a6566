#pragma once

// Numbered log events. Every line that a daemon logs is one of these; docs/EVENTS.md is their catalogue.
//
//     logEvent(event::upstreamEjected, { { "service", "bookings" }, { "upstream", "bookings-3" } });

#include <span>
#include <string>
#include <string_view>
#include <utility>

namespace marlsill {

// Identifies one kind of log line; the values are stable and never reused.
enum class event : int {
    daemonStarted = 1001,
    daemonStopping = 1002,
    daemonStopped = 1003,
    settingsReloaded = 1004,
    settingsRefused = 1005,
    logLinesDropped = 1006,
    settingUnknown = 1007,
    partFailed = 1010,
    partRestarted = 1011,
    absenceNoticed = 1012,
    startWaiting = 1013,
    handlerFailed = 1014,
    signalIgnored = 1015,
    callerRequestMalformed = 2001,
    workerQueueFull = 2002,
    upstreamAnswerBroken = 2010,
    upstreamConnectionsCondemned = 2011,
    requestQuarantined = 2020,
    requestSuspected = 2021,
    keyLedgerFull = 2030,
    attemptStarted = 2100,
    attemptEnded = 2101,
    requestAnswered = 2102,
    requestCancelled = 2103,
    requestNotRouted = 2104,
    requestDuringStop = 2105,
    requestRelayed = 2106,
    accessDenied = 2107,
    outcomesHandedOver = 2031,
    requestOverLimit = 2110,
    requestWithoutLender = 2111,
    configurationInForce = 3001,
    configurationAccepted = 3002,
    configurationRefused = 3003,
    configurationFetchFailed = 3004,
    configurationPartIgnored = 3005,
    platformUnavailable = 3010,
    platformAvailable = 3011,
    platformBudgetSpent = 3012,
    storeWatchChanged = 3013,
    storeRestored = 3014,
    storeEraUnreadable = 3015,
    keysExpired = 3020,
    keysValid = 3021,
    memberJoined = 4001,
    memberLeaving = 4002,
    memberGone = 4003,
    memberSuspected = 4004,
    memberListed = 4005,
    servingSetChanged = 4006,
    fleetBuildsChanged = 4007,
    peerLinkUp = 4010,
    peerLinkDown = 4011,
    peerMessageDropped = 4012,
    upstreamSuspected = 5001,
    upstreamEjected = 5002,
    upstreamReadmitted = 5003,
    ejectionRefusedByFloor = 5004,
    ejectionNotAgreed = 5005,
    upstreamLeaving = 5010,
    upstreamEvidence = 5101,
    upstreamCrashed = 5102,
    upstreamsChanged = 5103,
    upstreamEntryIgnored = 5104,
    upstreamDoubtful = 5105,
    idleLimitLearned = 5106,
    crashReported = 5107,
    crashCleared = 5108,
    crashRecordsCurrent = 5109,
    crashObjectIgnored = 5110,
    crashObjectNotWritten = 5111,
    upstreamLimitChanged = 5112,
    permitAnswered = 5113,
    cutOffChanged = 5114,
    leavingNoticed = 5120,
    leavingNoticeEnded = 5121,
    leavingFieldMalformed = 5122,
    upstreamTurnsAway = 5130,
    retryAfterIgnored = 5131,
    recordGap = 6001,
};

enum class severity {
    info,
    warning,
    error,
};

// The catalogue entry of one event.
struct event_spec {
    event number;
    severity level;
    std::string_view name;
    std::string_view meaning;
};

// One named value of a log line.
using event_field = std::pair<std::string_view, std::string>;

// Returns all events, ordered by number.
std::span<const event_spec> eventCatalogue();

// Starts logging to standard output; `minimum` is the least severity that is written. Lines beyond a rate,
// and lines that the reader of a pipe does not take at once, are left out and counted by a later line. Call
// once, before any thread starts.
void startLogging(severity minimum);

// Writes one line: time, severity, number, name, and each field as name=value with quoting where needed.
// Thread safe.
void logEvent(event number, std::initializer_list<event_field> fields);

}
