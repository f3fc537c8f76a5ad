/*
 * SPDX-License-Identifier: Apache-2.0
 *
 * The core protocol of pierbank: the schedule record, lost answers, leader take-over, leases, and
 * gang start and stop. Two gateways, three workers, one gang job of two members that is placed on
 * other workers in each attempt. Frames to worker 1 may be delivered twice. docs/MODEL.md maps the steps to the code.
 *
 * Time: a lease is a flag that the adversary may let lapse at any moment on the worker's side. On
 * the leader's side it counts as lapsed only after it has on the worker's: that is what counting
 * from the moment of asking gives (LeaseHolder, WorkerLeases).
 *
 * Mutants (-DMUTANT_...): each takes one mechanism away, and one of the properties then fails.
 */

#define GATEWAYS 2
#define WORKERS 3
/* The workers of an attempt. */
#define firstOf(a) ((a) % WORKERS)
#define secondOf(a) (((a) + 1) % WORKERS)
/* The worker to which frames may come twice: it has a member of the first attempt only. */
#define DOUBTFUL 1
#define MAX_EPOCH 2
#define MAX_ATTEMPT 2
/* Every worker starts with a lease; so many lapse in all, and may be granted again. */
#ifndef MAX_LAPSES
#define MAX_LAPSES 1
#endif
/* Whether frames come late and twice to one worker. */
#ifndef LATE_FRAMES
#define LATE_FRAMES 0
#endif

/* States of the job in the record. */
#define QUEUED 0
#define PREPARING 1
#define RUNNING 2
#define STOPPING 3

/* The record in the platform's service. */
byte recRevision = 0;
byte recEpoch = 0;
byte recState = QUEUED;
byte recAttempt = 0;

/* Each worker's sidecar. */
byte wEpoch[WORKERS];       /* highest epoch seen */
byte wPrepared[WORKERS];    /* attempt that is prepared; 0: none */
byte wRunning[WORKERS];     /* attempt that runs; 0: none */
byte wBuried[WORKERS];      /* highest attempt that was stopped */
byte wTold[WORKERS];        /* highest attempt whose stop was confirmed; only a mutant reads it */
byte lapses = 0;
bool wLease[WORKERS] = true; /* the lease is valid by the worker's clock */

/* Ghosts for the properties. */
byte committedRunning = 0;  /* highest attempt that the record said was running */

/* What each gateway believes. */
typedef View {
    bool leading;
    byte epoch;
    byte revision;
    byte state;
    byte attempt
};
View view[GATEWAYS];

/* A gateway that does not lead believes nothing. */
inline resign(g) {
    view[g].leading = false;
    view[g].epoch = 0;
    view[g].revision = 0;
    view[g].state = QUEUED;
    view[g].attempt = 0
}

inline pickWorker(w) {
    if
    :: w = 0
    :: w = 1
    :: w = 2
    fi
}

/* One of the attempt's own workers. */
inline pickMember(w, a) {
    if
    :: w = firstOf(a)
    :: w = secondOf(a)
    fi
}

/* No two attempts of the job run at once; no member runs that the record never committed. */
inline check() {
    assert(wRunning[0] == 0 || wRunning[1] == 0 || wRunning[0] == wRunning[1]);
    assert(wRunning[0] == 0 || wRunning[2] == 0 || wRunning[0] == wRunning[2]);
    assert(wRunning[1] == 0 || wRunning[2] == 0 || wRunning[1] == wRunning[2]);
    assert(wRunning[0] <= committedRunning && wRunning[1] <= committedRunning &&
           wRunning[2] <= committedRunning)
}

/* What a sidecar does with a frame (TaskGuard). */
inline prepare(w, e, a) {
    if
    :: e >= wEpoch[w] && wLease[w] && wBuried[w] < a && wRunning[w] == 0 ->
        wEpoch[w] = e;
        wPrepared[w] = a
    :: else
    fi
}

inline startMember(w, e, a) {
    if
#ifdef MUTANT_NO_EPOCH_FENCE
    :: wPrepared[w] == a && wLease[w] ->
#else
    :: e >= wEpoch[w] && wPrepared[w] == a && wLease[w] ->
        wEpoch[w] = e;
#endif
        wPrepared[w] = 0;
        wRunning[w] = a;
        check()
    :: else
    fi
}

inline stopMember(w, e, a) {
    if
    :: e >= wEpoch[w] ->
        wEpoch[w] = e;
        if
        :: wRunning[w] == a -> wRunning[w] = 0
        :: else
        fi;
        if
        :: wPrepared[w] == a -> wPrepared[w] = 0
        :: else
        fi;
#ifdef MUTANT_NO_TOMBSTONE
        wTold[w] = a
#else
        if
        :: wBuried[w] < a -> wBuried[w] = a
        :: else
        fi
#endif
    :: else
    fi
}

/* The last frames to the doubtful worker, which may come once more at any time. */
byte lateEpoch = 0;
byte lateAttempt = 0;
bool lateStart = false;

inline remember(w, e, a) {
    if
    :: LATE_FRAMES && w == DOUBTFUL -> lateEpoch = e; lateAttempt = a; lateStart = false
    :: else
    fi
}

inline rememberStart(w, a) {
    if
    :: w == DOUBTFUL && lateAttempt == a -> lateStart = true
    :: else
    fi
}

/* Compare-and-swap; the answer may be lost after it took effect. */
inline commit(g, newState, newAttempt) {
    atomic {
#ifdef MUTANT_NO_CAS
        if
        :: true ->
#else
        if
        :: view[g].revision == recRevision ->
#endif
            /* An older leader never writes after a newer one has. */
            assert(view[g].epoch == recEpoch);
            recRevision++;
            recState = newState;
            recAttempt = newAttempt;
            if
            :: newState == RUNNING && newAttempt > committedRunning ->
                committedRunning = newAttempt
            :: else
            fi;
            view[g].revision = recRevision;
            view[g].state = newState;
            view[g].attempt = newAttempt
#ifndef MUTANT_NO_CAS
        :: else ->
            /* Superseded: another leader has written. */
            resign(g)
#endif
        fi
    }
}

/* Every member has confirmed its stop, or its worker's lease has surely lapsed. */
#ifdef MUTANT_NO_TOMBSTONE
#define stopped(w, a) (wTold[w] >= a && wRunning[w] != a)
#else
#define stopped(w, a) (wBuried[w] >= a && wRunning[w] != a)
#endif
#ifdef MUTANT_NO_LEASE_WAIT
#define surelyOver(w, a) true
#else
#define surelyOver(w, a) (stopped(w, a) || !wLease[w])
#endif

active [GATEWAYS] proctype Gateway() {
    byte g = _pid;
    byte w = 0;
    byte e = 0;
    byte a = 0;
    do
    /* Take-over: raise the epoch by one compare-and-swap on what was read. */
    :: !view[g].leading && recEpoch < MAX_EPOCH ->
        atomic {
            recEpoch++;
            recRevision++;
            view[g].leading = true;
            view[g].epoch = recEpoch;
            view[g].revision = recRevision;
            view[g].state = recState;
            view[g].attempt = recAttempt
        }
    /* Place the job. */
    :: view[g].leading && view[g].state == QUEUED && view[g].attempt < MAX_ATTEMPT ->
        commit(g, PREPARING, view[g].attempt + 1)
    /* Prepare a member. */
    :: view[g].leading && view[g].state == PREPARING ->
        atomic {
            e = view[g].epoch;
            a = view[g].attempt;
            pickMember(w, a);
            prepare(w, e, a);
            remember(w, e, a);
            w = 0;
            e = 0;
            a = 0
        }
    /* All prepared: commit, and only then start. */
    :: view[g].leading && view[g].state == PREPARING &&
       wPrepared[firstOf(view[g].attempt)] == view[g].attempt &&
       wPrepared[secondOf(view[g].attempt)] == view[g].attempt ->
        commit(g, RUNNING, view[g].attempt)
#ifdef MUTANT_START_BEFORE_COMMIT
    :: view[g].leading && (view[g].state == RUNNING || view[g].state == PREPARING) ->
#else
    :: view[g].leading && view[g].state == RUNNING ->
#endif
        atomic {
            e = view[g].epoch;
            a = view[g].attempt;
            pickMember(w, a);
            startMember(w, e, a);
            rememberStart(w, a);
            w = 0;
            e = 0;
            a = 0
        }
    /* Preempt, withdraw, or give the attempt up. */
    :: view[g].leading && (view[g].state == PREPARING || view[g].state == RUNNING) ->
        commit(g, STOPPING, view[g].attempt)
    :: view[g].leading && view[g].state == STOPPING ->
        atomic {
            e = view[g].epoch;
            a = view[g].attempt;
            pickMember(w, a);
            stopMember(w, e, a);
            w = 0;
            e = 0;
            a = 0
        }
    /* All stopped or surely lapsed: the accelerators may be given again. */
    :: view[g].leading && view[g].state == STOPPING &&
       surelyOver(firstOf(view[g].attempt), view[g].attempt) &&
       surelyOver(secondOf(view[g].attempt), view[g].attempt) ->
        commit(g, QUEUED, view[g].attempt)
    /* Grant a lease. A worker that has seen a newer epoch refuses. */
    :: view[g].leading ->
        atomic {
            e = view[g].epoch;
            pickWorker(w);
            if
            :: !wLease[w] && e >= wEpoch[w] ->
                wLease[w] = true;
                wEpoch[w] = e
            :: else
            fi;
            w = 0;
            e = 0
        }
    /* The leader lease is lost, or the gateway dies: nothing else changes. */
    :: view[g].leading -> atomic { resign(g) }
    od
}

/* The leases, and what a sidecar does by itself when its own lapses. */
active proctype Leases() {
    byte w = 0;
    do
    :: atomic {
        pickWorker(w);
        if
        /* Lapses: the sidecar stops everything of its own accord before anything else. */
        :: wLease[w] && lapses < MAX_LAPSES ->
            lapses++;
            wLease[w] = false;
#ifndef MUTANT_NO_SELF_STOP
            if
            :: wRunning[w] > wBuried[w] -> wBuried[w] = wRunning[w]
            :: else
            fi;
            if
            :: wPrepared[w] > wBuried[w] -> wBuried[w] = wPrepared[w]
            :: else
            fi;
            wRunning[w] = 0;
            wPrepared[w] = 0
#endif
        :: else
        fi;
        w = 0
       }
    od
}

#if LATE_FRAMES
/* Frames that come late and twice. */
active proctype Network() {
    do
    :: lateAttempt > 0 -> atomic { prepare(DOUBTFUL, lateEpoch, lateAttempt) }
    :: lateStart ->
        atomic { startMember(DOUBTFUL, lateEpoch, lateAttempt) }
    od
}
#endif
