/* SPDX-License-Identifier: Apache-2.0
 * A worker that starts again under the id that it had, its sidecar (which may be restarted too), and the leader's
 * record of one task, which can run on this worker or elsewhere. Calls whose answer was lost arrive later, over the
 * restart. docs/MODEL.md maps it to the code.
 *
 * Checked: the task never runs twice at once, never begins after a good end that the worker was told to forget, and no
 * end is forgotten that the leader has not heard.
 *
 * Assumed: a restart is noticed, since a call breaks off or is refused; a worker does not restart and end a task within one call on its own machine; a start arrives once, at once or
 * late; a late one does not arrive at a process that nobody has called yet unless its run is still held there. Without the
 * last (-DLATE_BEFORE_FIRST_CALL) there is a counterexample: nothing that a caller of the worker can say reaches the next
 * process before its own first call.
 *
 * Mutants (-D): MUTANT_ID_ALONE, MUTANT_LEDGER_BY_ID, MUTANT_NO_FENCE, MUTANT_NO_ADOPTION, MUTANT_LOSE_BEFORE_REPORT,
 * MUTANT_ACKNOWLEDGE_UNSEEN.
 */
/* An id is taken for one process, and the holds of before go on. */
#ifdef MUTANT_ID_ALONE
#define MUTANT_ACKNOWLEDGE_UNSEEN
#endif

#define MAX_PROCESSES 3
#define MAX_RUNS 4
#define MAX_SIDECARS 2

#define WAITING 0
#define HERE 1
#define ELSEWHERE 2
#define DONE 3

/* The worker. All but `process` begins anew with each process. */
byte process = 1;
byte runs = 0;             /* the run that works there; 0: none */
byte barred = 0;           /* runs up to this one never begin there */
byte fence = 0;
byte ends = 1;             /* numbers ends; the first process had one of another task */
byte listedNumber = 0;     /* an end that it lists; 0: none */
byte listedRun = 0;

byte runsElse = 0;         /* the run that works on another worker */

/* Calls that arrive late, at whatever process is there then. */
byte lateStart = 0;
byte lateStartFence = 0;
byte lateSeen = 0;
byte lateSeenFence = 0;

/* The sidecar. */
byte known = 1;            /* the process that it has to do with; 0: not yet known */
byte mine = 1;             /* the fence of its calls */
byte kept = 1;             /* ends of that process that are kept */
bool mustTell = false;     /* ... and that it has not been told yet */
byte sidecars = 0;
bool isBroken = false;     /* a call has failed since the last answer */

/* The leader. What it commits is in the store: that this may fail is in schedule.pml. */
byte record = WAITING;
byte recordRun = 0;
byte recordProcess = 0;
bool isOrdered = false;
byte reported = 1;         /* the process whose report it has */
byte ledger = 1;           /* the highest end that it has seen of that process, or of the id */

bool isCounted = false;    /* a good end was heard */
byte heardRun = 0;         /* the run whose end was heard last */

#ifdef MUTANT_ID_ALONE
#define IS_OTHER false
#else
#define IS_OTHER (process != known)
#endif

inline begin(number, callFence) {
    if
    :: callFence >= fence && number > barred && runs == 0 ->
        fence = callFence;
        assert(runsElse == 0);
        assert(!isCounted);
        runs = number
    :: else -> skip
    fi
}

/* An acknowledgement of ends up to a number. */
inline forget(number, callFence) {
    if
    :: callFence >= fence ->
        fence = callFence;
        if
        :: listedNumber != 0 && listedNumber <= number ->
            /* Whoever forgets it must have been told by somebody who heard it. */
            assert(listedRun == heardRun);
            listedNumber = 0; listedRun = 0
        :: else -> skip
        fi
    :: else -> skip
    fi
}

active proctype worker() {
    do
    :: atomic { runs != 0 ->
        ends++; listedNumber = ends; listedRun = runs; barred = runs; runs = 0 }
    :: atomic { process < MAX_PROCESSES ->
        process++; runs = 0; barred = 0; fence = 0; ends = 0; listedNumber = 0; listedRun = 0;
        isBroken = true }
    :: atomic { lateStart != 0 ->
        if
#ifndef LATE_BEFORE_FIRST_CALL
        :: fence == 0 && !(record == HERE && recordRun == lateStart) -> skip
#endif
        :: else -> begin(lateStart, lateStartFence)
        fi;
        lateStart = 0 }
    :: atomic { lateSeen != 0 && fence != 0 -> forget(lateSeen, lateSeenFence); lateSeen = 0 }
    :: atomic { runsElse != 0 -> runsElse = 0;
        if
        :: record == ELSEWHERE -> record = DONE; isCounted = true
        :: else -> skip
        fi }
    od
}

/* What the leader makes of a report of the process that the sidecar knows. */
inline report() {
    if
    :: reported != known ->
        reported = known;
#ifndef MUTANT_LEDGER_BY_ID
        ledger = 0
#endif
    :: else -> skip
    fi;
#ifndef MUTANT_NO_ADOPTION
    if
    :: record == HERE && recordProcess != known && (runs == recordRun || listedRun == recordRun) ->
        recordProcess = known
    :: else -> skip
    fi;
#endif
    if
    :: listedNumber > ledger ->
        ledger = listedNumber; heardRun = listedRun;
        if
        :: record == HERE && recordRun == listedRun && recordProcess == known ->
            record = DONE; isCounted = true
        :: else -> skip
        fi
    :: else -> skip
    fi;
    /* What another process held, and this one does not list, is lost. */
    if
    :: record == HERE && recordProcess != known -> record = WAITING
    :: else -> skip
    fi;
    /* All that it has seen is kept. */
    if
    :: ledger > kept -> kept = ledger; mustTell = true
    :: else -> skip
    fi
}

active proctype sidecar() {
    do
    :: atomic { mine < 12 ->
        /* A hold that is answered; under another process it is only found out, and asked again. */
#ifndef MUTANT_NO_FENCE
        if
        :: isBroken -> mine++; isBroken = false
        :: else -> skip
        fi;
#endif
        if
        :: mine < fence -> skip
        :: mine >= fence && (known == 0 || IS_OTHER) ->
            fence = mine;
            known = process; kept = 0; mustTell = false;
#ifdef MUTANT_LOSE_BEFORE_REPORT
            if
            :: record == HERE && recordProcess != known -> record = WAITING
            :: else -> skip
            fi
#endif
        :: else ->
            fence = mine;
            report();
#ifndef MUTANT_ACKNOWLEDGE_UNSEEN
            if
            :: mustTell -> mustTell = false;
                if
                :: forget(kept, mine)
                :: lateSeen == 0 -> lateSeen = kept; lateSeenFence = mine
                fi
            :: else -> skip
            fi
#endif
        fi }
#ifdef MUTANT_ACKNOWLEDGE_UNSEEN
    /* The holds of before go on, whoever is there. */
    :: atomic { kept != 0 && mine >= fence -> forget(kept, mine) }
#endif
    :: atomic { record == HERE && !isOrdered && recordProcess == known && mine >= fence ->
        isOrdered = true;
        if
        :: begin(recordRun, mine)
        :: lateStart == 0 -> lateStart = recordRun; lateStartFence = mine
        fi }
    :: atomic { record == HERE && isOrdered && recordProcess == known && !IS_OTHER && mine >= fence &&
                runs != recordRun && listedRun != recordRun ->
        /* The order's answer was lost: the run is barred, and a look shows that it is not there. */
        fence = mine;
        if
        :: recordRun > barred -> barred = recordRun; record = WAITING
        :: else -> skip
        fi }
    :: atomic { sidecars < MAX_SIDECARS ->
        /* It is restarted: it knows nothing, and its link has the next number. */
        sidecars++; known = 0; kept = 0; mustTell = false; mine = mine + 2; reported = 0 }
    od
}

active proctype leader() {
    do
    :: atomic { record == WAITING && recordRun < MAX_RUNS && reported != 0 && reported == known ->
        recordRun++; isOrdered = false;
        if
        :: record = HERE; recordProcess = reported
        :: record = ELSEWHERE;
            assert(runs == 0 && !isCounted);
            runsElse = recordRun
        fi }
    od
}
