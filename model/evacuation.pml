/* SPDX-License-Identifier: Apache-2.0
 * A failure domain under evacuation: leaders that come and go, readings of the request that take any
 * time or fail, commits that are answered late, orders that get lost, that a sidecar goes on trying,
 * and that are sent again. Time passes in ticks of a fifth of the users' bound. docs/MODEL.md maps it
 * to the code.
 *
 * Checked: no start in the domain once the bound has passed since the request was acknowledged, until
 * it is withdrawn.
 *
 * Mutants (-D): MUTANT_PLACE_BEFORE_READING, MUTANT_NO_AGE, MUTANT_AGE_FROM_ANSWER,
 * MUTANT_SEND_UNCHECKED, MUTANT_RESEND_UNCHECKED, MUTANT_TRY_FOR_EVER.
 */
#define BOUND 5           /* ticks */
#define CERTAIN 3         /* a reading that was sent so long ago is still placed by */
#define TRIES 1           /* so long a sidecar tries a start */
#define NEVER 7           /* ages count no further */
#define MAX_LEADERS 3
#define MAX_REQUESTS 2

#define WAITING 0
#define COMMITTING 1      /* the store has not answered yet */
#define KEPT 2            /* committed, and not sent */
#define SENT 3

/* The store: ticks since the request was acknowledged, plus one; 0: there is none. */
byte request = 0;
byte requests = 0;
byte leader = 1;          /* the gateway that may commit */
byte record = WAITING;    /* of the task; COMMITTING may be taken for either by a new leader */

/* The sidecar of a worker in the domain. */
bool hasOrder = false;
byte orderAge = 0;

/* What the leader knows. */
byte knownAge = NEVER;    /* ticks since the last reading that was answered had been sent */
bool isKnown = false;     /* that reading showed the request */
byte readAge = NEVER;     /* of the reading under way; NEVER: none is */
bool readShows = false;

#ifdef MUTANT_NO_AGE
#define IS_CERTAIN (knownAge < NEVER || knownOnce)
bool knownOnce = false;
#else
#define IS_CERTAIN (knownAge <= CERTAIN)
#endif
#ifdef MUTANT_PLACE_BEFORE_READING
#define MAY_PLACE (knownAge == NEVER || (IS_CERTAIN && !isKnown))
#else
#define MAY_PLACE (IS_CERTAIN && !isKnown)
#endif
#ifdef MUTANT_SEND_UNCHECKED
#define MAY_SEND true
#else
#define MAY_SEND MAY_PLACE
#endif
#ifdef MUTANT_RESEND_UNCHECKED
#define MAY_RESEND true
#else
#define MAY_RESEND MAY_PLACE
#endif

inline grow(age) {
    if
    :: age < NEVER -> age++
    :: else -> skip
    fi
}

/* A start that is still tried goes out, or is given up, before more time passes. */
#ifdef MUTANT_TRY_FOR_EVER
#define MAY_PASS true
#else
#define MAY_PASS (!hasOrder || orderAge < TRIES)
#endif

active proctype world() {
    do
    :: atomic { MAY_PASS ->
        if
        :: request > 0 -> grow(request)
        :: else -> skip
        fi;
        grow(knownAge);
        grow(readAge);
        if
        :: hasOrder -> grow(orderAge)
        :: else -> skip
        fi }
    :: atomic { request == 0 && requests < MAX_REQUESTS -> requests++; request = 1 }
    :: atomic { request > 0 -> request = 0 }
    :: atomic { leader < MAX_LEADERS ->
        /* Another leads: it knows nothing, and the sidecar forgets what it was ordered. */
        leader++; hasOrder = false; orderAge = 0;
        knownAge = NEVER; isKnown = false; readAge = NEVER; readShows = false;
#ifdef MUTANT_NO_AGE
        knownOnce = false;
#endif
        if
        :: record == COMMITTING -> record = WAITING
        :: record == COMMITTING || record == SENT -> record = KEPT
        :: else -> skip
        fi }
    od
}

active proctype sidecar() {
    do
    :: atomic { hasOrder ->
        /* The worker starts it; its end is kept at once. */
        assert(request <= BOUND + 1);
        hasOrder = false; orderAge = 0; record = WAITING }
    :: atomic { hasOrder ->
        /* Barred after the last try, or on the leader's word. */
        hasOrder = false; orderAge = 0; record = WAITING }
    od
}

active proctype gateway() {
    do
    :: atomic { readAge == NEVER -> readAge = 0; readShows = (request > 0) }
    :: atomic { readAge < NEVER ->
        /* Answered. */
#ifdef MUTANT_AGE_FROM_ANSWER
        knownAge = 0;
#else
        knownAge = readAge;
#endif
#ifdef MUTANT_NO_AGE
        knownOnce = true;
#endif
        isKnown = readShows; readAge = NEVER; readShows = false }
    :: atomic { readAge < NEVER -> readAge = NEVER; readShows = false }

    :: atomic { record == WAITING && MAY_PLACE -> record = COMMITTING }
    :: atomic { record == COMMITTING ->
        if
        :: MAY_SEND -> record = SENT; hasOrder = true; orderAge = 0
        :: else -> record = KEPT
        fi }
    :: atomic { record == COMMITTING && MAY_SEND -> record = SENT /* and lost on its way */ }
    :: atomic { record == SENT && !hasOrder && MAY_RESEND -> hasOrder = true; orderAge = 0 }
    :: atomic { record == KEPT && MAY_SEND -> record = SENT; hasOrder = true; orderAge = 0 }
    :: atomic { isKnown && (record == KEPT || record == SENT) ->
        /* Taken back: a stop bars it. */
        hasOrder = false; orderAge = 0; record = WAITING }
    od
}
