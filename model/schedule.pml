/* SPDX-License-Identifier: Apache-2.0
 * One task, two gateways that may lead, two workers: leader key and conditional transactions, late
 * writes, starts without an answer, leases counted from the asking, ends acknowledged after the
 * commit, runs barred by a stop. docs/MODEL.md maps it to the code.
 *
 * Checked: the task never runs twice at once, and no run starts after an end that the worker was
 * told to forget (the end is then taken for good).
 *
 * Mutants (-D): MUTANT_NO_EPOCH, MUTANT_NO_LEASE_WAIT, MUTANT_GRANT_FROM_ARRIVAL, MUTANT_NO_BAR,
 * MUTANT_ACK_BEFORE_COMMIT, MUTANT_ORDER_BEFORE_COMMIT, MUTANT_START_WITHOUT_END,
 * MUTANT_STALE_ORDER, MUTANT_NO_GRACE_WAIT, MUTANT_STEADY_CLOCK.
 */
#ifndef MAX_LAPSES
#define MAX_LAPSES 2      /* of the leader key */
#endif
#ifndef MAX_CUTS
#define MAX_CUTS 1        /* of a worker's lease */
#endif
#ifndef MAX_RUNS
#define MAX_RUNS 3
#endif
#ifndef MAX_EPOCHS
#define MAX_EPOCHS 3
#endif

/* The worker obeys this leader, or earlier leaders have fallen silent. */
#ifdef MUTANT_NO_GRACE_WAIT
#define NOBODY_ELSE_GRANTS true
#else
#define NOBODY_ELSE_GRANTS (fence[w] == epoch || silentTo + 1 >= epoch)
#endif

/* So much time has passed that the worker's lease has lapsed, by the leader's clock. */
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
byte nextEpoch = 1;
byte rev = 0;             /* revision of the task's record */
byte recState = WAITING;
byte recRun = 0;
byte recWorker = 0;

/* The workers. */
byte runs[2];             /* run that works there; 0: none */
byte bar[2];              /* runs up to this one never start there */
byte fence[2];
byte ended[2];            /* run that ended well there and is still listed */
bool lease[2];            /* the worker may number tasks */
byte round[2];            /* counts lapses: a grant that was asked for in an earlier one is void */
byte lateRun[2];          /* a start that is carried out later; 0: none */
byte lateEpoch[2];
byte lateRound[2];        /* a start says until when it may number: it is void after that lease */
byte waitRun[2];          /* an order that its sidecar could not carry out for want of a lease */
byte waitEpoch[2];
byte grantRound[2];       /* a grant on its way, by the round of its asking */
byte grantEpoch[2];
bool grantIsOnItsWay[2];
byte silentTo = 0;        /* leaders up to this epoch have been without the store for so long that
                           * they grant nothing any more */
bool isForgotten = false; /* a worker was told to forget a good end */

byte lapses = 0;
byte cuts = 0;
#ifdef MUTANT_STEADY_CLOCK
bool isSuspended[2];      /* its sidecar's machine was suspended for longer than the lease */
#endif

/* A worker carries a start out. */
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

/* What goes wrong, and renewals. */
active proctype world() {
    do
    :: atomic { keyEpoch != 0 && lapses < MAX_LAPSES -> lapses++; keyEpoch = 0 }
    :: atomic { cuts < MAX_CUTS && lease[0] ->
        /* The lease ends: the worker kills what runs, whatever anybody thinks. */
        cuts++; lease[0] = false; runs[0] = 0; round[0]++ }
#ifdef MUTANT_STEADY_CLOCK
    :: atomic { cuts < MAX_CUTS && lease[0] ->
        /* Its clock stood still meanwhile: it goes on renewing the worker by the lease of before. With a
         * clock that counts suspensions this is the lapse above. */
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
        /* The lease was lost with the link: orders of the old link are forgotten. */
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

/* Commits a change of the record if its conditions hold; sets `isTaken`. Use it in an atomic. */
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

/* After a commit: goes on with the new state, or is no leader any more. */
inline goOn(newState) {
    if
    :: isTaken -> state = newState
    :: else -> epoch = 0; state = WAITING; number = 0; w = 0; seen = 0; isOrdered = false
    fi;
    isTaken = false
}

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
        /* The key is taken only where there is none. */
        epoch = nextEpoch; nextEpoch++; keyEpoch = epoch };
        atomic { seen = rev; state = recState; number = recRun; w = recWorker; isOrdered = false }

    :: atomic { epoch != 0 && state == WAITING && number < MAX_RUNS ->
        /* Place it: commit first... */
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
        /* ...and then order. Carried out now, or without an answer and later. */
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
        /* A good end: kept... */
        commit(DONE, number, w); goOn(DONE) };
        /* ...and only then forgotten by the worker. */
        atomic {
            if
            :: epoch != 0 -> ended[w] = 0; isForgotten = true
            :: else -> skip
            fi }
#endif

    :: atomic { epoch != 0 && state == PLACED && isOrdered && runs[w] != number &&
                ended[w] != number && lease[w] && epoch >= fence[w] ->
        /* Nothing is heard of the start: bar it... */
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
        /* ...look again, and place it anew. */
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
        /* So much time has passed that the worker's lease has surely lapsed: what ran there runs no
         * more; a start that is still on its way, and a grant that was asked for before, are void. */
        commit(WAITING, number, w); goOn(WAITING) }

    :: atomic { epoch > silentTo && !lease[0] && !grantIsOnItsWay[0] && epoch >= fence[0] ->
        /* A sidecar asks, the leader grants; the grant may be long on its way. */
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
