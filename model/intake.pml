/* SPDX-License-Identifier: Apache-2.0
 * Models one job that its caller submits to two gateways, and an operator who revokes the caller's
 * key. The transaction is conditional on the revision of the configuration and on the absence of
 * the job. Answers get lost and writes are executed late. docs/MODEL.md maps the model to the code.
 *
 * Checked: if the caller received only refusals (503), the job does not exist and never will. If
 * the caller received 200, the job exists. No job is accepted after its key was revoked.
 *
 * Mutants (-D): MUTANT_NO_CONFIGURATION, MUTANT_REFUSE_UNKNOWN, MUTANT_ACCEPT_EARLY.
 */
byte configuration = 1;   /* revision; from 2 on the key is revoked */
bool isThere = false;     /* the record of the job exists */
bool isLate[2];           /* by gateway: a write that is executed later */
byte lateExpects[2];      /* revision that the late write expects */
/* Number of responses to the caller, by status. */
byte told200 = 0;
byte told503 = 0;
byte told504 = 0;
bool isOver[2];           /* by gateway: the caller has received a response */

/* The store executes a transaction if its conditions hold. */
inline carryOut(expects, isTaken) {
    if
#ifdef MUTANT_NO_CONFIGURATION
    :: !isThere ->
#else
    :: !isThere && configuration == expects ->
#endif
        assert(configuration == 1);
        isThere = true; isTaken = true
    :: else -> isTaken = false
    fi
}

/* Revokes the key. */
active proctype operator() {
    atomic { configuration = 2 }
}

/* The store executes late writes. */
active proctype lateWrites() {
    bool isTaken;
    do
    :: atomic { isLate[0] -> isLate[0] = false; carryOut(lateExpects[0], isTaken) }
    :: atomic { isLate[1] -> isLate[1] = false; carryOut(lateExpects[1], isTaken) }
    od
}

/* Handles one submission of the job, with retries. */
proctype gateway(byte me) {
    byte seen;
    bool isTaken = false;
    bool isUncertain = false;
    byte tries = 0;
again:
    atomic { seen = configuration };
    if
    :: seen != 1 ->
        /* The key is unknown: 401. The record of an earlier attempt may still exist. */
        goto over
    :: else -> skip
    fi;
    do
    :: tries < 2 ->
        tries++;
        if
        :: true -> atomic { carryOut(seen, isTaken) };
            if
            :: isTaken || isThere -> goto accepted
            :: !isTaken && !isThere && isUncertain -> goto unknown
            :: !isTaken && !isThere && !isUncertain -> goto again
            fi
        :: true -> /* executed, but the answer is lost */
            atomic { carryOut(seen, isTaken) };
            isUncertain = true
        :: atomic { !isLate[me] -> isLate[me] = true; lateExpects[me] = seen }; isUncertain = true
        :: skip -> /* refused: certainly not executed */
            if
            :: isUncertain -> skip
            :: else -> goto refused
            fi
        fi;
#ifdef MUTANT_ACCEPT_EARLY
        goto accepted
#endif
    :: else -> break
    od;
unknown:
#ifdef MUTANT_REFUSE_UNKNOWN
    goto refused;
#endif
    told504++;
    goto over;
accepted:
    atomic { assert(isThere); told200++ };
    goto over;
refused:
    told503++;
over:
    isOver[me] = true
}

init {
    atomic {
        run gateway(0);
        run gateway(1)
    };
    atomic {
        isOver[0] && isOver[1] && !isLate[0] && !isLate[1] ->
        /* After refusals only, the job does not exist and no pending write can create it. */
        assert(!(told503 == 2 && isThere))
    }
}
