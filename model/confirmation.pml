/* SPDX-License-Identifier: Apache-2.0
 * Models how a following gateway determines the age of its configuration from the answers of
 * leaders. Two gateways (tellers) answer: the leader, and one that was superseded without having
 * noticed. Each of them reads the store. Reads, questions and answers may take any time (a frozen
 * process, an unresponsive link), get lost and overtake each other. Every clock counts ticks and is
 * never compared with the clock of another process. docs/MODEL.md maps the model to the code.
 *
 * Checked: if the follower's revision has been replaced, the age that the follower assumes is never
 * less than the time since the replacement. The bound on the age then ensures that revoked keys are
 * refused in time.
 *
 * Mutants (-D): MUTANT_AGE_FROM_ARRIVAL, MUTANT_NO_TOLD_AGE, MUTANT_UNASKED, MUTANT_ANY_REVISION,
 * MUTANT_OTHER_QUESTION, MUTANT_READ_FROM_ANSWER.
 */
#define NEVER 3           /* largest age; ages saturate here */
#ifndef TELLERS
#define TELLERS 2
#endif
#ifndef QUESTIONS
#define QUESTIONS 1       /* number of concurrent questions */
#endif

#define IDLE 0
#define ASKED 1
#define ANSWERED 2        /* the answer is in transit */

/* The store: its revision, 0 or 1, and the time since revision 1 replaced revision 0. */
byte revision = 0;
byte replaced = 0;

/* Revision of each teller with its age, and the pending read (age NEVER: no read is pending). */
byte tellerRevision[TELLERS];
byte tellerAge[TELLERS];
byte readRevision[TELLERS];
byte readAge[TELLERS];

/* The follower: its revision with its age, the questions that are pending, and their answers. */
byte ownRevision = 0;
byte ownAge = NEVER;
byte question[QUESTIONS];
byte questionAge[QUESTIONS];
byte toldRevision[QUESTIONS];
byte toldAge[QUESTIONS];
bool isUnasked = false;   /* an unsolicited message is in transit */
byte unaskedRevision = 0;
#ifdef MUTANT_UNASKED
byte unaskedAge = 0;
#endif

/* Increments an age up to NEVER. */
inline grow(age) {
    if
    :: age < NEVER -> age++
    :: else -> skip
    fi
}

/* The follower receives the information that a revision was confirmed `age` ticks ago. */
inline learn(told, age) {
    if
#ifdef MUTANT_ANY_REVISION
    :: age < ownAge -> ownAge = age
#else
    :: told == ownRevision && age < ownAge -> ownAge = age
#endif
    :: told > ownRevision -> ownRevision = told; ownAge = age   /* content is read later */
    :: else -> skip
    fi
}

/* Adds two ages up to NEVER. */
inline sum(out, a, b) {
    if
    :: a + b < NEVER -> out = a + b
    :: else -> out = NEVER
    fi
}

/* Passage of time, and the replacement of the configuration. */
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

/* Reads the store, answers questions and sends unsolicited messages. */
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

/* Asks questions and evaluates answers; also contains the checked property. */
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
        /* An answer arrives. */
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
        /* A question or its answer is lost, or the question times out. */
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
