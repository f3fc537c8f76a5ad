/* SPDX-License-Identifier: Apache-2.0
 * Models a worker that restarts under the same id, its sidecar (which may be restarted too), and
 * the leader's record of one task, which can run on this worker or elsewhere. Calls whose answer
 * was lost may arrive after the restart. docs/MODEL.md maps the model to the code.
 *
 * Checked: the task never has two runs at once and never starts after a successful end that the
 * worker was told to forget, and the worker forgets no end that the leader has not received.
 *
 * Assumed: the sidecar detects a restart, because a call breaks off or is refused. A worker does
 * not restart and end a task within a single call on its own machine. A start arrives once, at once
 * or late. A late start does not arrive at a process that has not been called yet, unless its run
 * is still committed to the worker. Without this last assumption (-DLATE_BEFORE_FIRST_CALL) there
 * is a counterexample: a caller of the worker has no means to fence the next process before the
 * first call to that process.
 *
 * Mutants (-D): MUTANT_ID_ALONE, MUTANT_LEDGER_BY_ID, MUTANT_NO_FENCE, MUTANT_NO_ADOPTION,
 * MUTANT_LOSE_BEFORE_REPORT, MUTANT_ACKNOWLEDGE_UNSEEN.
 */
/* The id alone identifies the process, and earlier holds continue after a restart. */
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

/* The worker. Each new process resets everything but `process`. */
byte process = 1;
byte runs = 0;             /* the run on this worker; 0: none */
byte barred = 0;           /* runs up to this number never start here */
byte fence = 0;            /* highest fence of an accepted call */
byte ends = 1;             /* number of the last end; process 1 has had one, of another task */
byte listedNumber = 0;     /* number of the end that the worker lists; 0: none */
byte listedRun = 0;

byte runsElse = 0;         /* the run on another worker; 0: none */

/* Calls that arrive late, at the process that exists by then. */
byte lateStart = 0;
byte lateStartFence = 0;
byte lateSeen = 0;
byte lateSeenFence = 0;

/* The sidecar. */
byte known = 1;            /* the process that it addresses; 0: not yet known */
byte mine = 1;             /* the fence of its calls */
byte kept = 1;             /* ends of that process up to this number are persisted */
bool mustTell = false;     /* the worker has not been told so yet */
byte sidecars = 0;
bool isBroken = false;     /* a call has failed since the last answer */

/* The leader. Its commits always succeed here; schedule.pml models commits that fail. */
byte record = WAITING;
byte recordRun = 0;
byte recordProcess = 0;    /* the process to which the run is committed */
bool isOrdered = false;    /* the start has been sent */
byte reported = 1;         /* the process of the last report */
byte ledger = 1;           /* highest end received from that process (or id, in a mutant) */

bool isCounted = false;    /* a successful end was received */
byte heardRun = 0;         /* the run whose end was received last */

#ifdef MUTANT_ID_ALONE
#define IS_OTHER false
#else
#define IS_OTHER (process != known)
#endif

/* The worker executes a start if the fence permits, the run is not barred and no run is active. */
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

/* The worker executes the acknowledgement of ends up to a number. */
inline forget(number, callFence) {
    if
    :: callFence >= fence ->
        fence = callFence;
        if
        :: listedNumber != 0 && listedNumber <= number ->
            /* Only an end that the leader has received may be forgotten. */
            assert(listedRun == heardRun);
            listedNumber = 0; listedRun = 0
        :: else -> skip
        fi
    :: else -> skip
    fi
}

/* Ends runs, restarts, and receives late calls. */
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

/* The leader handles a report of the process that the sidecar addresses. */
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
    /* A run of another process that this process does not list is lost. */
    if
    :: record == HERE && recordProcess != known -> record = WAITING
    :: else -> skip
    fi;
    /* All ends received so far are persisted. */
    if
    :: ledger > kept -> kept = ledger; mustTell = true
    :: else -> skip
    fi
}

/* Polls the worker, forwards orders and acknowledgements, and may be restarted. */
active proctype sidecar() {
    do
    :: atomic { mine < 12 ->
        /* A hold is answered. From another process, the answer only reveals the restart, and the
         * hold is repeated. */
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
    /* Earlier holds continue, whichever process answers. */
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
        /* The answer to the order was lost: the run is barred, and the worker does not list it. */
        fence = mine;
        if
        :: recordRun > barred -> barred = recordRun; record = WAITING
        :: else -> skip
        fi }
    :: atomic { sidecars < MAX_SIDECARS ->
        /* The sidecar restarts without state, and its link gets a higher fence. */
        sidecars++; known = 0; kept = 0; mustTell = false; mine = mine + 2; reported = 0 }
    od
}

/* Places the task on this worker or elsewhere. */
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
