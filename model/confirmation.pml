/* SPDX-License-Identifier: Apache-2.0
 * How old a gateway that follows takes its configuration for, when leaders tell it. Two gateways tell:
 * the leader, and one that was replaced and does not know it. Each reads the store; readings,
 * questions and answers take any time (a frozen process, a link that stays silent), get lost, and
 * overtake each other; every clock counts ticks, and none is compared with another's. docs/MODEL.md
 * maps it to the code.
 *
 * Checked: a gateway never takes a revision that was replaced for younger than the time since then.
 * By that age keys that were taken away are refused in time.
 *
 * Mutants (-D): MUTANT_AGE_FROM_ARRIVAL, MUTANT_NO_TOLD_AGE, MUTANT_UNASKED, MUTANT_ANY_REVISION,
 * MUTANT_OTHER_QUESTION, MUTANT_READ_FROM_ANSWER.
 */
#define NEVER 3           /* ages count no further */
#ifndef TELLERS
#define TELLERS 2
#endif
#ifndef QUESTIONS
#define QUESTIONS 1       /* under way at the same time */
#endif

#define IDLE 0
#define ASKED 1
#define ANSWERED 2        /* the answer is on its way */

/* The store: its revision, 0 or 1, and how long ago 1 replaced 0. */
byte revision = 0;
byte replaced = 0;

/* What a teller has, and its reading under way (age NEVER: none is). */
byte tellerRevision[TELLERS];
byte tellerAge[TELLERS];
byte readRevision[TELLERS];
byte readAge[TELLERS];

/* The follower. */
byte ownRevision = 0;
byte ownAge = NEVER;
byte question[QUESTIONS];
byte questionAge[QUESTIONS];
byte toldRevision[QUESTIONS];
byte toldAge[QUESTIONS];
bool isUnasked = false;   /* a message that nobody asked for is on its way */
byte unaskedRevision = 0;
#ifdef MUTANT_UNASKED
byte unaskedAge = 0;
#endif

inline grow(age) {
    if
    :: age < NEVER -> age++
    :: else -> skip
    fi
}

/* A word that this revision was confirmed so long ago. */
inline learn(told, age) {
    if
#ifdef MUTANT_ANY_REVISION
    :: age < ownAge -> ownAge = age
#else
    :: told == ownRevision && age < ownAge -> ownAge = age
#endif
    :: told > ownRevision -> ownRevision = told; ownAge = age   /* read for itself, later */
    :: else -> skip
    fi
}

inline sum(out, a, b) {
    if
    :: a + b < NEVER -> out = a + b
    :: else -> out = NEVER
    fi
}

active proctype world() {
    byte i;
    do
    :: atomic {
        if
        :: revision == 1 -> grow(replaced)
        :: else -> skip
        fi;
        grow(ownAge);
        for (i : 0 .. TELLERS - 1) {
            grow(tellerAge[i]);
            if
            :: readAge[i] < NEVER - 1 -> readAge[i]++
            :: else -> readAge[i] = NEVER
            fi
        }
        for (i : 0 .. QUESTIONS - 1) {
            grow(questionAge[i])
        }
        i = 0 }
    :: atomic { revision == 0 -> revision = 1 }
    od
}

active [TELLERS] proctype teller() {
    byte me = _pid - 1;
    tellerAge[me] = NEVER;
    readAge[me] = NEVER;
    do
    :: atomic { readAge[me] == NEVER -> readAge[me] = 0; readRevision[me] = revision }
    :: atomic { readAge[me] < NEVER && readRevision[me] >= tellerRevision[me] ->
        tellerRevision[me] = readRevision[me];
#ifdef MUTANT_READ_FROM_ANSWER
        tellerAge[me] = 0;
#else
        tellerAge[me] = readAge[me];
#endif
        readAge[me] = NEVER }
    :: atomic { question[0] == ASKED ->
        question[0] = ANSWERED; toldRevision[0] = tellerRevision[me]; toldAge[0] = tellerAge[me] }
#if QUESTIONS > 1
    :: atomic { question[1] == ASKED ->
        question[1] = ANSWERED; toldRevision[1] = tellerRevision[me]; toldAge[1] = tellerAge[me] }
#endif
    :: atomic { !isUnasked ->
#ifdef MUTANT_UNASKED
        unaskedAge = tellerAge[me];
#endif
        isUnasked = true; unaskedRevision = tellerRevision[me] }
    od
}

active proctype follower() {
    byte number;
    byte age;
    byte dated;
    do
    :: atomic { number = 0;
        do
        :: number < QUESTIONS && question[number] != IDLE -> number++
        :: else -> break
        od;
        if
        :: number < QUESTIONS -> question[number] = ASKED; questionAge[number] = 0
        :: else -> number = 0
        fi }
    :: atomic {
        /* An answer comes. */
        number = 0;
        if
        :: question[0] == ANSWERED -> number = 0
#if QUESTIONS > 1
        :: question[1] == ANSWERED -> number = 1
#endif
        fi;
        dated = questionAge[number];
#ifdef MUTANT_OTHER_QUESTION
        if
        :: question[1 - number] != IDLE -> dated = questionAge[1 - number]
        :: else -> skip
        fi;
#endif
#ifdef MUTANT_AGE_FROM_ARRIVAL
        dated = 0;
#endif
#ifdef MUTANT_NO_TOLD_AGE
        age = dated;
#else
        sum(age, dated, toldAge[number]);
#endif
        learn(toldRevision[number], age);
        question[number] = IDLE; questionAge[number] = 0; toldRevision[number] = 0;
        toldAge[number] = 0; number = 0; age = 0; dated = 0 }
    :: atomic {
        /* A question or its answer is lost, or its time is over. */
        question[0] != IDLE -> question[0] = IDLE; questionAge[0] = 0; toldRevision[0] = 0;
        toldAge[0] = 0 }
#if QUESTIONS > 1
    :: atomic { question[1] != IDLE -> question[1] = IDLE; questionAge[1] = 0;
        toldRevision[1] = 0; toldAge[1] = 0 }
#endif
    :: atomic { isUnasked ->
#ifdef MUTANT_UNASKED
        learn(unaskedRevision, unaskedAge);
        unaskedAge = 0;
#else
        if
        :: unaskedRevision > ownRevision -> ownRevision = unaskedRevision; ownAge = NEVER
        :: else -> skip
        fi;
#endif
        isUnasked = false; unaskedRevision = 0 }
    :: atomic { ownRevision == 0 && replaced > 0 -> assert(ownAge >= replaced) }
    od
}
