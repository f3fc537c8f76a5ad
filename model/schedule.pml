/* SPDX-License-Identifier: Apache-2.0
 * Models one task, two gateways that may lead and two workers: the leader key and conditional
 * transactions, late writes, starts without an answer, leases that count from the request, ends
 * that are acknowledged after the commit, and runs that are barred by a stop. docs/MODEL.md maps
 * the model to the code.
 *
 * Checked: the task never has two runs at once, and no run starts after the worker was told to
 * forget an end (the end is final then).
 *
 * Mutants (-D): MUTANT_NO_EPOCH, MUTANT_NO_LEASE_WAIT, MUTANT_GRANT_FROM_ARRIVAL, MUTANT_NO_BAR,
 * MUTANT_ACK_BEFORE_COMMIT, MUTANT_ORDER_BEFORE_COMMIT, MUTANT_START_WITHOUT_END,
 * MUTANT_STALE_ORDER, MUTANT_NO_GRACE_WAIT, MUTANT_STEADY_CLOCK.
 */
#ifndef MAX_LAPSES
#define MAX_LAPSES 2      /* lapses of the leader key */
#endif
#ifndef MAX_CUTS
#define MAX_CUTS 1        /* lapses of a worker's lease */
#endif
#ifndef MAX_RUNS
#define MAX_RUNS 3
#endif
#ifndef MAX_EPOCHS
#define MAX_EPOCHS 3
#endif

/* The worker has accepted this leader, or earlier leaders grant no leases any more. */
#ifdef MUTANT_NO_GRACE_WAIT
#define NOBODY_ELSE_GRANTS true
#else
#define NOBODY_ELSE_GRANTS (fence[w] == epoch || silentTo + 1 >= epoch)
#endif

/* By the leader's clock, the worker's lease has lapsed. */
#ifdef MUTANT_STEADY_CLOCK
#define HAS_LAPSED (!lease[w] || isSuspended[w])
#else
#define HAS_LAPSED (!lease[w])
#endif

#define WAITING 0
#define PLACED 1
#define DONE 2

/* The store. */
byte keyEpoch = 0;        /* epoch of the leader key; 0: it has lapsed */
byte nextEpoch = 1;       /* epoch of the next leader */
byte rev = 0;             /* revision of the task's record */
byte recState = WAITING;
byte recRun = 0;
byte recWorker = 0;

/* The workers. */
byte runs[2];             /* run on the worker; 0: none */
byte bar[2];              /* runs up to this number never start on the worker */
byte fence[2];            /* highest epoch that the worker has accepted */
byte ended[2];            /* run that succeeded on the worker and is still listed */
bool lease[2];            /* the worker holds a lease and may run tasks */
byte round[2];            /* number of lapses; a grant requested in an earlier round is void */
byte lateRun[2];          /* a start that is executed later; 0: none */
byte lateEpoch[2];        /* epoch of the leader that sent the late start */
byte lateRound[2];        /* a start is valid only for the lease of its round */
byte waitRun[2];          /* an order that the sidecar cannot execute without a lease */
byte waitEpoch[2];
byte grantRound[2];       /* the round in which the grant in transit was requested */
byte grantEpoch[2];
bool grantIsOnItsWay[2];
byte silentTo = 0;        /* leaders up to this epoch have had no contact with the store for so
                           * long that they grant no leases any more */
bool isForgotten = false; /* a worker was told to forget a successful end */

byte lapses = 0;
byte cuts = 0;
#ifdef MUTANT_STEADY_CLOCK
bool isSuspended[2];      /* the sidecar's machine was suspended for longer than the lease */
#endif

/* A worker executes a start if epoch, bar and lease permit. */
inline begin(w, number, epoch, until) {
    if
#ifdef MUTANT_START_WITHOUT_END
    :: epoch >= fence[w] && number > bar[w] && lease[w] && runs[w] == 0 ->
#else
    :: epoch >= fence[w] && number > bar[w] && lease[w] && runs[w] == 0 && until == round[w] ->
#endif
        fence[w] = epoch;
        assert(runs[1 - w] == 0);
        assert(!isForgotten);
        runs[w] = number
    :: else -> skip
    fi
}

/* Each worker ends its run and executes late starts. */
active proctype worker0() {
    do
    :: atomic { runs[0] != 0 -> ended[0] = runs[0]; bar[0] = runs[0]; runs[0] = 0 }
    :: atomic { lateRun[0] != 0 -> begin(0, lateRun[0], lateEpoch[0], lateRound[0]); lateRun[0] = 0 }
    od
}

active proctype worker1() {
    do
    :: atomic { runs[1] != 0 -> ended[1] = runs[1]; bar[1] = runs[1]; runs[1] = 0 }
    :: atomic { lateRun[1] != 0 -> begin(1, lateRun[1], lateEpoch[1], lateRound[1]); lateRun[1] = 0 }
    od
}

/* Faults and the arrival of grants. */
active proctype world() {
    do
    :: atomic { keyEpoch != 0 && lapses < MAX_LAPSES -> lapses++; keyEpoch = 0 }
    :: atomic { cuts < MAX_CUTS && lease[0] ->
        /* The lease lapses: the worker kills its run, regardless of what other processes assume. */
        cuts++; lease[0] = false; runs[0] = 0; round[0]++ }
#ifdef MUTANT_STEADY_CLOCK
    :: atomic { cuts < MAX_CUTS && lease[0] ->
        /* The clock of the sidecar did not advance during the suspension, so the sidecar continues
         * to renew the worker under the earlier lease. With a clock that counts suspensions, the
         * lapse above occurs instead. */
        cuts++; isSuspended[0] = true }
#endif
    :: atomic { grantIsOnItsWay[0] ->
        grantIsOnItsWay[0] = false;
        if
#ifdef MUTANT_GRANT_FROM_ARRIVAL
        :: true -> lease[0] = true
#else
        :: grantRound[0] == round[0] && grantEpoch[0] >= fence[0] -> lease[0] = true
        :: else -> skip
#endif
        fi;
        /* The lease was lost together with the link: orders of the old link are dropped. */
#ifdef MUTANT_STALE_ORDER
        if
        :: waitRun[0] != 0 -> begin(0, waitRun[0], waitEpoch[0], round[0])
        :: else -> skip
        fi;
#endif
        waitRun[0] = 0 }
    :: atomic { silentTo + 1 < nextEpoch && keyEpoch != silentTo + 1 -> silentTo++ }
    od
}

/* Commits a change of the record if its conditions hold and sets `isTaken`. To be used in an
 * atomic block. */
inline commit(newState, newRun, newWorker) {
    if
#ifdef MUTANT_NO_EPOCH
    :: true ->
#else
    :: keyEpoch == epoch && rev == seen ->
#endif
        recState = newState; recRun = newRun; recWorker = newWorker;
        rev++; seen = rev; isTaken = true
#ifndef MUTANT_NO_EPOCH
    :: else -> isTaken = false
#endif
    fi
}

/* Continues with the new state after a successful commit; otherwise gives up leadership. */
inline goOn(newState) {
    if
    :: isTaken -> state = newState
    :: else -> epoch = 0; state = WAITING; number = 0; w = 0; seen = 0; isOrdered = false
    fi;
    isTaken = false
}

/* A gateway that may lead: acquires the leader key, places the task and handles its end. */
proctype gateway() {
    byte epoch = 0;
    byte seen = 0;
    byte state = WAITING;
    byte number = 0;
    byte w = 0;
    byte target = 0;
    bool isTaken = false;
    bool isOrdered = false;
    do
    :: atomic { epoch == 0 && keyEpoch == 0 && nextEpoch <= MAX_EPOCHS ->
        /* The key is acquired only if it does not exist. */
        epoch = nextEpoch; nextEpoch++; keyEpoch = epoch };
        atomic { seen = rev; state = recState; number = recRun; w = recWorker; isOrdered = false }

    :: atomic { epoch != 0 && state == WAITING && number < MAX_RUNS ->
        /* Placement: commit first... */
        if
        :: target = 0
        :: target = 1
        fi;
        number++;
#ifdef MUTANT_ORDER_BEFORE_COMMIT
        begin(target, number, epoch, round[target]);
#endif
        commit(PLACED, number, target);
        w = target; target = 0; isOrdered = false;
        goOn(PLACED) }

    :: atomic { epoch != 0 && state == PLACED && !isOrdered && ended[w] != number &&
                runs[w] != number ->
        /* ...then send the order, which is executed now, or later and without an answer. */
        isOrdered = true;
        if
        :: lease[w] -> begin(w, number, epoch, round[w])
        :: !lease[w] -> waitRun[w] = number; waitEpoch[w] = epoch
        :: lateRun[w] == 0 && lease[w] ->
            lateRun[w] = number; lateEpoch[w] = epoch; lateRound[w] = round[w]
        fi }

#ifdef MUTANT_ACK_BEFORE_COMMIT
    :: atomic { epoch != 0 && state == PLACED && ended[w] == number && number != 0 ->
        ended[w] = 0; isForgotten = true };
        atomic { commit(DONE, number, w); goOn(DONE) }
#else
    :: atomic { epoch != 0 && state == PLACED && ended[w] == number && number != 0 ->
        /* A successful end: persist it first... */
        commit(DONE, number, w); goOn(DONE) };
        /* ...then let the worker forget it. */
        atomic {
            if
            :: epoch != 0 -> ended[w] = 0; isForgotten = true
            :: else -> skip
            fi }
#endif

    :: atomic { epoch != 0 && state == PLACED && isOrdered && runs[w] != number &&
                ended[w] != number && lease[w] && epoch >= fence[w] ->
        /* The start is not confirmed: bar the run... */
#ifndef MUTANT_NO_BAR
        fence[w] = epoch;
        if
        :: bar[w] < number -> bar[w] = number
        :: else -> skip
        fi;
        if
        :: runs[w] == number -> runs[w] = 0
        :: else -> skip
        fi
#else
        skip
#endif
        };
        /* ...check the worker again, and place the task anew. */
        atomic {
            if
            :: ended[w] == number || runs[w] == number -> skip
            :: else -> commit(WAITING, number, w); goOn(WAITING)
            fi }

#ifdef MUTANT_NO_LEASE_WAIT
    :: atomic { epoch != 0 && state == PLACED && isOrdered ->
#else
    :: atomic { epoch != 0 && state == PLACED && HAS_LAPSED && NOBODY_ELSE_GRANTS ->
        round[w]++;
#endif
        /* So much time has passed that the worker's lease has certainly lapsed: its run has ended,
         * and starts in transit and grants that were requested before are void. */
        commit(WAITING, number, w); goOn(WAITING) }

    :: atomic { epoch > silentTo && !lease[0] && !grantIsOnItsWay[0] && epoch >= fence[0] ->
        /* A sidecar requests a lease and the leader grants it; the grant may arrive late. */
        fence[0] = epoch; grantEpoch[0] = epoch;
        grantRound[0] = round[0]; grantIsOnItsWay[0] = true }

    :: atomic { epoch != 0 && state == DONE -> break }
    :: atomic { epoch == 0 && nextEpoch > MAX_EPOCHS -> break }
    od
}

init {
    atomic {
        lease[0] = true;
        lease[1] = true;
        run gateway();
        run gateway()
    }
}
