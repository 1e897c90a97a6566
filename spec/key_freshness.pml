/* A withdrawn key is refused in time, on any VM, connected or not.
 *
 * The store acknowledges the withdrawal of a key, version 1 of the configuration, at any time. VM 0 reads the store;
 * VM 1 queries VM 0 and VM 2 queries VM 1. Every message, call and response takes any time, and a VM may be suspended
 * at any step: time passes between any two steps. VM 2 is restarted once, with an older configuration of a peer. A VM
 * counts the key as good while its point is younger than the bound and its configuration still holds the key.
 *
 * F1  The point of a peer's answer is the time of the query less the age, not the time of the answer less the age.
 * F2  A peer's answer counts only once the configuration in force has at least the version that it states.
 * F3  The point of a response of the store is the time before the call.
 * F4  A restarted VM has no point.
 *
 * Variants that must fail: -DNO_F1 -DNO_F2 -DNO_F3 -DNO_F4
 */

#define BOUND 2
#define START 2 /* So that no point that is still valid lies before the time 0. */
#define END 6

byte now = START;
bool isWithdrawn = false;
byte acknowledgedAt;
byte version[3];
bool hasPoint[3];
byte point[3];
byte life[3];

#define KEYS_VALID(vm) (hasPoint[vm] && now < point[vm] + BOUND)

/* Moves the point forward. */
inline advance(vm, to) {
    if
    :: !hasPoint[vm] || to > point[vm] -> point[vm] = to; hasPoint[vm] = true
    :: else -> skip
    fi
}

proctype clock() {
    do
    :: now < END -> now++
    :: else -> break
    od
}

proctype operator() {
    atomic { isWithdrawn = true; acknowledgedAt = now }
}

proctype reader() {
    byte calledAt, read, reads = 0;
    do
    :: reads < 2 ->
        reads++;
        calledAt = now;
        read = (isWithdrawn -> 1 : 0); /* The store handles the call. */
        atomic { /* Its response is applied. */
            if :: read > version[0] -> version[0] = read :: else -> skip fi;
#ifdef NO_F3
            calledAt = now;
#endif
            advance(0, calledAt);
            calledAt = 0; read = 0
        }
    :: else -> break
    od
}

/* Queries a peer and applies its answer. */
proctype asker(byte vm; byte peer; byte maxQueries) {
    byte sentAt, stated, age, queries = 0, ownLife;
    do
    :: queries < maxQueries ->
        queries++;
        atomic { sentAt = now; ownLife = life[vm] }
        if
        :: atomic { KEYS_VALID(peer) -> stated = version[peer]; age = now - point[peer] } /* The peer answers. */
            if
            :: atomic { /* The answer arrives, and the version that it states is in force. */
#ifndef NO_F2
                version[vm] >= stated ->
#endif
#ifdef NO_F1
                sentAt = now;
#endif
                if
                :: ownLife == life[vm] && sentAt >= age -> advance(vm, sentAt - age)
                :: else -> skip
                fi
               }
            :: skip /* It is lost. */
            fi
        :: skip /* The query is lost. */
        fi;
        atomic { sentAt = 0; stated = 0; age = 0; ownLife = 0 }
    :: else -> break
    od
}

/* Sends the configuration of one VM to another, late. */
proctype transfer(byte from; byte to) {
    byte sent = version[from];
    atomic {
        if :: sent > version[to] -> version[to] = sent :: else -> skip fi;
        sent = 0
    }
}

proctype restart() {
    byte copied = version[1]; /* Sent before the restart, perhaps long ago. */
    atomic {
        life[2]++;
        version[2] = copied;
#ifdef NO_F4
        point[2] = now;
        hasPoint[2] = true;
#else
        hasPoint[2] = false;
        point[2] = 0;
#endif
        copied = 0
    }
}

#define SENDS_TOO_LATE(vm) \
    (KEYS_VALID(vm) && version[vm] == 0 && isWithdrawn && now >= acknowledgedAt + BOUND)

/* May look at any moment: a VM that would send a request with the withdrawn key too late. */
active proctype monitor() {
    assert(!SENDS_TOO_LATE(0) && !SENDS_TOO_LATE(1) && !SENDS_TOO_LATE(2))
}

init {
    atomic {
        run clock(); run operator(); run reader(); run asker(1, 0, 1); run asker(2, 1, 1);
        run transfer(0, 1); run transfer(1, 2); run restart()
    }
}
