/* SPDX-License-Identifier: Apache-2.0
 * Models a task that crashes every worker that starts it. Leaders are replaced, and sidecars report
 * a crash late, repeatedly or to another leader. docs/MODEL.md maps the model to the code.
 *
 * Checked: the task is started at most five times, and is given up only after it has crashed three
 * workers.
 *
 * Mutants (-D): MUTANT_COUNT_IN_MEMORY, MUTANT_FORGET_LAPSED, MUTANT_NO_WAIT, MUTANT_TOLD_TWICE,
 * MUTANT_COUNT_BEFORE_COMMIT.
 */
#define MOST 5            /* most crashes that are risked for a task */
#define LIVES 7           /* incarnations of workers; each start uses another one */
#define MAX_LEADERS 3

#define WAITING 0
#define PLACED 1
#define GIVEN_UP 2

/* State of an incarnation in the record of the task. */
#define UNKNOWN 0
#define OPEN 1            /* its lease has lapsed and no report has arrived: unresolved */
#define CRASHED 2

/* The store: the record of the task. */
byte recState = WAITING;
byte recLife = 0;         /* incarnation to which the run is committed, from 1; 0: none */
byte recLoss[LIVES + 1];  /* state of each incarnation */


/* The workers and the leadership. */
byte starts = 0;          /* number of starts of the task */
bool hasCrashed[LIVES + 1];
bool isOrdered[LIVES + 1];
byte leader = 1;          /* number of the gateway that may commit */

#ifdef MUTANT_COUNT_IN_MEMORY
#define LOSS memory
#else
#define LOSS recLoss
#endif

/* Counts the losses in the record of at least the given severity into `sum`. */
inline countLosses(least) {
    sum = 0;
    i = 1;
    do
    :: i <= LIVES ->
        if
        :: LOSS[i] >= least -> sum++
        :: else -> skip
        fi;
        i++
    :: else -> break
    od;
    i = 0
}

/* Asserts that at least three workers have actually crashed. */
inline checkGivenUp() {
    sum = 0;
    i = 1;
    do
    :: i <= LIVES -> sum = sum + hasCrashed[i]; i++
    :: else -> break
    od;
    i = 0;
    assert(sum >= 3)
}

/* The leader with this number; ends when another gateway leads. Commits are atomic with the
 * decisions here; schedule.pml models commits that fail. */
proctype gateway(byte self) {
    byte i = 0;
    byte sum = 0;
    byte life = 0;
    byte told = 0;
#ifdef MUTANT_COUNT_IN_MEMORY
    byte memory[LIVES + 1];
#endif
    do
    :: leader != self -> break

    :: atomic { leader == self && recState == WAITING ->
        countLosses(OPEN);
        if
#ifndef MUTANT_NO_WAIT
        :: sum >= MOST -> skip
#endif
        :: (
#ifdef MUTANT_NO_WAIT
           true
#else
           sum < MOST
#endif
           ) && starts < LIVES -> recLife = starts + 1; recState = PLACED
        :: starts >= LIVES -> skip
        fi;
        sum = 0 }

    :: atomic { leader == self && recState == PLACED && !isOrdered[recLife] ->
        /* The order is executed: the worker starts the task and crashes. */
        isOrdered[recLife] = true; starts++; hasCrashed[recLife] = true;
        assert(starts <= MOST) }

    :: atomic { leader == self && recState == PLACED && isOrdered[recLife] ->
        /* The lease lapses before a report arrives: the loss is unresolved. */
#ifndef MUTANT_FORGET_LAPSED
        if
        :: LOSS[recLife] == UNKNOWN -> LOSS[recLife] = OPEN
        :: else -> skip
        fi;
#endif
        recLife = 0; recState = WAITING }

    :: atomic { leader == self && recState != GIVEN_UP ->
        /* A sidecar reports a crash, possibly repeatedly. */
        if
        :: told = 1
        :: told = 2
        :: told = 3
        :: told = 4
        :: told = 5
        fi;
        if
        :: hasCrashed[told] ->
#ifdef MUTANT_TOLD_TWICE
            life = life + 1;
#endif
            LOSS[told] = CRASHED;
            if
            :: recState == PLACED && recLife == told -> recLife = 0; recState = WAITING
            :: else -> skip
            fi;
            countLosses(CRASHED);
#ifdef MUTANT_TOLD_TWICE
            sum = life;
#endif
            if
            :: sum >= 3 ->
                /* Three crashes at the start, one of them with the task as sole suspect. */
                recState = GIVEN_UP;
                checkGivenUp()
            :: else -> skip
            fi
        :: else -> skip
        fi;
        told = 0; sum = 0 }

#ifdef MUTANT_COUNT_BEFORE_COMMIT
    :: atomic { leader == self && recState == PLACED && !isOrdered[recLife] ->
        /* Counts an order that was never executed. */
        LOSS[recLife] = CRASHED; recLife = 0; recState = WAITING;
        countLosses(CRASHED);
        if
        :: sum >= 3 -> recState = GIVEN_UP; checkGivenUp()
        :: else -> skip
        fi;
        sum = 0 }
#endif
    od
}

/* Replaces the leader. */
active proctype world() {
    do
    :: atomic { leader < MAX_LEADERS -> leader++; run gateway(leader) }
    :: leader == MAX_LEADERS -> break
    od
}

init {
    run gateway(1)
}
