/* The shares of an account's limit are in use at one VM at a time, whoever takes itself for the lender.
 *
 * One share, which belongs to the VM `holder`. Two VMs take themselves for the lender at any time, and ask for the
 * share again and again. Requests, answers and releases may be lost, and may arrive at any later time, more than once.
 * Each VM may pause for any time, and time goes on while messages are under way: a step of any process comes at any
 * moment. The holder may restart with nothing once. It uses the share itself when it is not leased.
 *
 * L1  A lease counts at the lender from before its request was sent.
 * L2  A lease counts at the holder from when it handled the request, and it leases to nobody else before its end.
 * L3  A holder that has restarted leases to nobody, and does not use the share, before a lease time has passed.
 * L4  A lender that gives the share back does not use it any more, and an answer to an earlier request is ignored.
 * L5  A release counts for the lease that it names only.
 * L6  A late request does not make the lease an earlier one.
 *
 * Variants that must fail: -DNO_L1 -DNO_L2 -DNO_L3 -DNO_L4 -DNO_L5 -DNO_L6
 */

#define LEASE 2
#define LAST 4
#define REQUESTS 2 /* Of each lender. */
#define NOBODY 2

byte now = 0;

/* At the holder. */
byte leasedTo = NOBODY;
byte leasedUntil = 0; /* The holder uses the share itself from then on. */
byte leaseNumber = 0;
byte holderFrom = 0; /* After a restart: it leases from then on. */
bool hasRestarted = false;

/* At the lenders. */
byte until[2]; /* When the lease ends; 0 for none. */
byte sentAt[2]; /* Of the last request. */
byte number[2]; /* Of the last request; a lender gives each number out once. */
bool isAwaited[2];

/* Messages that are under way stay so: a receiver may take one at any time, or again. */
bool isRequested[8]; /* Index: lender * 4 + number. */
bool isGranted[8];
bool isReleased[8];

#define uses(l) (until[l] > now)
#define holderUses (holderFrom <= now && (leasedTo == NOBODY || leasedUntil <= now))
#define isSafe (!(uses(0) && uses(1)) && !(holderUses && (uses(0) || uses(1))))

#ifndef NO_L2
#define mayLeaseTo(l) (leasedTo == (l) || leasedTo == NOBODY || leasedUntil <= now)
#else
#define mayLeaseTo(l) true
#endif
#ifndef NO_L4
#define isExpected(l, n) ((n) == number[l] && isAwaited[l])
#else
#define isExpected(l, n) true
#endif
#ifndef NO_L5
#define namesLease(n) ((n) >= leaseNumber)
#else
#define namesLease(n) true
#endif

proctype lender(byte self) {
    byte which;
    do
    :: atomic { now < LAST && number[self] < REQUESTS ->
            number[self]++;
            sentAt[self] = now;
            isAwaited[self] = true;
            isRequested[self * 4 + number[self]] = true
        }
    :: atomic { select (which : 1 .. REQUESTS);
            if
            :: isGranted[self * 4 + which] && isExpected(self, which) ->
                isAwaited[self] = false;
#ifndef NO_L1
                if
                :: sentAt[self] + LEASE > now -> until[self] = sentAt[self] + LEASE
                :: else
                fi
#else
                until[self] = now + LEASE
#endif
            :: else
            fi;
            which = 0
        }
    :: atomic { uses(self) -> /* Another VM should lend: the share goes back. */
            until[self] = 0;
            isAwaited[self] = false;
            isReleased[self * 4 + number[self]] = true
        }
    :: now == LAST -> break
    od
}

proctype holder() {
    byte from;
    byte which;
    do
    :: atomic { now < LAST -> select (from : 0 .. 1); select (which : 1 .. REQUESTS);
            if
            :: isRequested[from * 4 + which] && holderFrom <= now && mayLeaseTo(from) ->
                if
#ifndef NO_L6
                :: leasedTo == from && leaseNumber > which -> skip
#endif
                :: else -> leaseNumber = which
                fi;
                leasedTo = from;
                leasedUntil = now + LEASE;
                isGranted[from * 4 + which] = true
            :: else
            fi;
            from = 0; which = 0
        }
    :: atomic { now < LAST -> select (from : 0 .. 1); select (which : 1 .. REQUESTS);
            if
            :: isReleased[from * 4 + which] && leasedTo == from && leasedUntil > now && namesLease(which) ->
                leasedTo = NOBODY;
                leasedUntil = 0
            :: else
            fi;
            from = 0; which = 0
        }
    :: atomic { now < LAST && !hasRestarted ->
            hasRestarted = true;
            leasedTo = NOBODY;
            leasedUntil = 0;
            leaseNumber = 0;
#ifndef NO_L3
            holderFrom = now + LEASE
#endif
        }
    :: now == LAST -> break
    od
}

proctype time() {
    do
    :: now < LAST -> now++
    :: else -> break
    od
}

/* May look at any moment. */
active proctype monitor() {
    assert(isSafe)
}

init {
    atomic { run lender(0); run lender(1); run holder(); run time() }
}
