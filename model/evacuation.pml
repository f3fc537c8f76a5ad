/* SPDX-License-Identifier: Apache-2.0
 * Models the evacuation of a failure domain. Leaders are replaced. Reads of the request take any
 * time or fail, commits are answered late, and orders get lost, are retried by the sidecar and are
 * sent again. A tick is a fifth of the bound that operators rely on. docs/MODEL.md maps the model
 * to the code.
 *
 * Checked: from the end of the bound after the request was acknowledged until the request is
 * withdrawn, no run starts in the domain.
 *
 * Mutants (-D): MUTANT_PLACE_BEFORE_READING, MUTANT_NO_AGE, MUTANT_AGE_FROM_ANSWER,
 * MUTANT_SEND_UNCHECKED, MUTANT_RESEND_UNCHECKED, MUTANT_TRY_FOR_EVER.
 */
#define BOUND 5           /* the bound, in ticks */
#define CERTAIN 3         /* largest age, in ticks, of a read that still permits placement */
#define TRIES 1           /* ticks for which a sidecar retries a start */
#define NEVER 7           /* largest age; ages saturate here */
#define MAX_LEADERS 3
#define MAX_REQUESTS 2

#define WAITING 0
#define COMMITTING 1      /* the store has not answered yet */
#define KEPT 2            /* committed, but not sent */
#define SENT 3

/* The store: ticks since the request was acknowledged, plus one; 0: there is no request. */
byte request = 0;
byte requests = 0;
byte leader = 1;          /* the gateway that may commit */
byte record = WAITING;    /* of the task; a new leader may find COMMITTING committed or not */

/* The sidecar of a worker in the domain: its order to start the task, and how long it retries. */
bool hasOrder = false;
byte orderAge = 0;

/* State of the leader. */
byte knownAge = NEVER;    /* ticks since the last answered read was sent */
bool isKnown = false;     /* that read returned the request */
byte readAge = NEVER;     /* of the pending read; NEVER: none is pending */
bool readShows = false;   /* the pending read will return the request */

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

/* Increments an age up to NEVER. */
inline grow(age) {
    if
    :: age < NEVER -> age++
    :: else -> skip
    fi
}

/* Before more time passes, a start that has reached its limit of retries is sent or given up. */
#ifdef MUTANT_TRY_FOR_EVER
#define MAY_PASS true
#else
#define MAY_PASS (!hasOrder || orderAge < TRIES)
#endif

/* Passage of time, the request and its withdrawal, and changes of the leader. */
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
        /* A new leader starts without state, and the sidecar drops its order. */
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
        /* The worker starts the task; the end is persisted at once. */
        assert(request <= BOUND + 1);
        hasOrder = false; orderAge = 0; record = WAITING }
    :: atomic { hasOrder ->
        /* The run is barred, after the last retry or on request of the leader. */
        hasOrder = false; orderAge = 0; record = WAITING }
    od
}

active proctype gateway() {
    do
    :: atomic { readAge == NEVER -> readAge = 0; readShows = (request > 0) }
    :: atomic { readAge < NEVER ->
        /* The read is answered. */
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
    :: atomic { record == COMMITTING && MAY_SEND -> record = SENT /* order lost in transit */ }
    :: atomic { record == SENT && !hasOrder && MAY_RESEND -> hasOrder = true; orderAge = 0 }
    :: atomic { record == KEPT && MAY_SEND -> record = SENT; hasOrder = true; orderAge = 0 }
    :: atomic { isKnown && (record == KEPT || record == SENT) ->
        /* The run is revoked: a stop bars it. */
        hasOrder = false; orderAge = 0; record = WAITING }
    od
}
