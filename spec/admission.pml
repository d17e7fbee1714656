/*
 * The admission protocol: two entries serve the same request key, two endpoint processes may run it, one log decides.
 *
 * Messages are kept as sets that only grow, and are taken at any later time and any number of times, or never: this covers
 * loss, doubling, delay and reordering. A proposal is drawn when the log applies it, so it may have been under way for any time.
 * Every step is optional, so a killed entry is one that takes no further step. An endpoint process may restart with a new
 * incarnation and without its memory; a version may be withdrawn at any moment. Endpoint p serves version p.
 *
 * Each NO_... switch removes one guard, and the checker then finds a fault. REPEATABLE checks a repeatable request.
 */

#ifndef REPEATABLE
#define REPEATABLE 0
#endif

#define NONE 0
#define ADMITTED 1
#define SETTLED 2
#define ABANDONED 3

/* A target is an endpoint and its incarnation; 0 stands for none. */
#define TARGET(p, i) ((p) * 2 + (i) + 1)
#define ENDPOINT(t) (((t) - 1) / 2)
#define INCARNATION(t) (((t) - 1) % 2)
#define AT(p, a) ((p) * 2 + (a))

/* The log's state. */
byte state = NONE;
byte attempt;
/* An earlier attempt was given up without proof. */
bool mayHaveRun;
byte admittedTarget[2];
byte admittedEntry[2];
byte known[2];
bool withdrawn[2];

/* Messages, by attempt: an attempt is admitted once. A run is sent to a target by an entry. */
byte runTo[4];
bool voidSent[2];
bool proof[2];
bool abandonSent[2];
bool settleSent[2];
#ifdef NO_PROOF_INCARNATION
bool foreignProof[2];
#endif

/* Entries and endpoint processes. */
bool saidNotRun[2];
byte incarnation[2];
bool started[4];
bool tombstone[4];

/* What truly happened, for the assertions. */
byte runs;
byte bills;
bool ranFor[2];
bool ranAttempt[2];

/* ---- the log ---- */

#ifdef NO_ACTIVE_CHECK
#define VERSION_ACTIVE(p) true
#else
#define VERSION_ACTIVE(p) (!withdrawn[p])
#endif

#ifdef NO_PROOF
#define REPLACEABLE (state == ABANDONED || state == ADMITTED)
#else
#define REPLACEABLE (state == ABANDONED || (REPEATABLE && state == ADMITTED))
#endif

#define ADMISSIBLE(p, i) (VERSION_ACTIVE(p) && i >= known[p])

#define APPLY_ADMIT(e, a, p, i) \
    :: d_step { i <= incarnation[p] && ADMISSIBLE(p, i) && (state == NONE || (REPLACEABLE && a == attempt + 1)) -> \
        mayHaveRun = mayHaveRun || state == ADMITTED; \
        state = ADMITTED; \
        attempt = a; \
        admittedTarget[a] = TARGET(p, i); \
        admittedEntry[a] = e; \
        known[p] = i; \
        assert(!withdrawn[p]) }

#ifdef NO_ABANDON_STATE
#define ABANDONABLE(a) ((state == ADMITTED || state == SETTLED) && attempt == a)
#else
#ifdef NO_ABANDON_ATTEMPT
#define ABANDONABLE(a) (state == ADMITTED)
#else
#define ABANDONABLE(a) (state == ADMITTED && attempt == a)
#endif
#endif

#define APPLY_ABANDON(a) \
    :: d_step { abandonSent[a] && ABANDONABLE(a) -> \
        state = ABANDONED; \
        assert(bills == 0); \
        assert(!ranAttempt[attempt]); \
        assert(mayHaveRun || runs == 0) }

#ifdef NO_FIRST_WINS
#define SETTLEABLE(a) ((state == ADMITTED || state == SETTLED) && attempt == a && bills < 2)
#else
#ifdef NO_EARLIER_BILL
#define SETTLEABLE(a) (state == ADMITTED && attempt == a)
#else
#define SETTLEABLE(a) ((state == ADMITTED && attempt == a) || (state == ABANDONED && mayHaveRun && a <= attempt))
#endif
#endif

#define SETTLE \
    state = SETTLED; \
    bills++; \
    assert(bills <= 1)

#define APPLY_SETTLE(a) \
    :: d_step { settleSent[a] && SETTLEABLE(a) -> SETTLE }

#define WITHDRAW(p) \
    :: d_step { !withdrawn[p] -> withdrawn[p] = true }

#define LEARN_INCARNATION(p) \
    :: d_step { known[p] < incarnation[p] -> known[p] = incarnation[p] }

/* ---- entries ---- */

#define NOW_ADMISSIBLE(t) ADMISSIBLE(ENDPOINT(t), INCARNATION(t))

#ifdef NO_REPEAT_CHECK
#define ANSWERABLE(t) true
#else
#define ANSWERABLE(t) NOW_ADMISSIBLE(t)
#endif

/* The log's answer to a proposal, which may be asked for again, lets the entry send its run. */
#define SEND_RUN(e, a) \
    :: d_step { !saidNotRun[e] && runTo[AT(e, a)] == 0 && state == ADMITTED && attempt == a && admittedEntry[a] == e && ANSWERABLE(admittedTarget[a]) -> \
        runTo[AT(e, a)] = admittedTarget[a]; \
        assert(!withdrawn[ENDPOINT(admittedTarget[a])]) }

/* Another entry that meets the record under the same key sends a run for it too: whoever comes first starts it. */
#define SEND_KNOWN(e, a) \
    :: d_step { !saidNotRun[e] && runTo[AT(e, a)] == 0 && state == ADMITTED && attempt == a && admittedEntry[a] != e -> \
        runTo[AT(e, a)] = admittedTarget[a] }

#ifdef NO_COMMIT_WAIT
#define SEND_EARLY(e, a, p) \
    :: d_step { !saidNotRun[e] && runTo[AT(e, a)] == 0 -> runTo[AT(e, a)] = TARGET(p, incarnation[p]) }
#else
#define SEND_EARLY(e, a, p)
#endif

/* Any entry that knows of the admission may ask its endpoint process to never start it. */
#define SEND_VOID(a) \
    :: d_step { state == ADMITTED && attempt == a && !voidSent[a] -> voidSent[a] = true }

#ifdef NO_PROOF_INCARNATION
#define HAS_PROOF(a) (proof[a] || foreignProof[a])
#else
#define HAS_PROOF(a) proof[a]
#endif

#define SEND_ABANDON(a) \
    :: d_step { HAS_PROOF(a) && !abandonSent[a] -> abandonSent[a] = true }

/* An entry says not-run when it sent no run, or has proof for each one it sent. It sends no run afterwards. This speaks of its own
 * call: a call with the same key at the other entry has an answer of its own. */
#ifdef NO_PROOF_FOR_NOT_RUN
#define PROVEN(e, a) true
#else
#define PROVEN(e, a) (runTo[AT(e, a)] == 0 || HAS_PROOF(a))
#endif

#define SAY_NOT_RUN(e) \
    :: d_step { !saidNotRun[e] && PROVEN(e, 0) && PROVEN(e, 1) -> \
        saidNotRun[e] = true; \
        assert(!ranFor[e]) }

/* ---- endpoint processes ---- */

#define START(e, a, p) \
    started[AT(p, a)] = true; \
    runs++; \
    ranFor[e] = true; \
    ranAttempt[a] = true; \
    assert(REPEATABLE || runs <= 1); \
    assert(!saidNotRun[e]); \
    assert(state != NONE && !(state == ABANDONED && attempt == a))

#ifdef NO_INCARNATION_AT_GATE
#define FOR_ME(p, t) (t != 0 && ENDPOINT(t) == p)
#else
#define FOR_ME(p, t) (t != 0 && ENDPOINT(t) == p && INCARNATION(t) == incarnation[p])
#endif

#ifdef NO_ONCE_AT_GATE
#define UNSEEN(p, a) (!tombstone[AT(p, a)] && runs < 3)
#else
#define UNSEEN(p, a) (!tombstone[AT(p, a)] && !started[AT(p, a)])
#endif

#define RECEIVE_RUN(e, a, p) \
    :: d_step { FOR_ME(p, runTo[AT(e, a)]) && UNSEEN(p, a) -> START(e, a, p) }

#ifdef NO_TOMBSTONE
#define REMEMBER(p, a) skip
#else
#define REMEMBER(p, a) tombstone[AT(p, a)] = true
#endif

/* A refusal and the answer to a void are the same promise: never started, and never will. */
#define REFUSE(a, p) \
    :: d_step { (runTo[AT(0, a)] != 0 || runTo[AT(1, a)] != 0 || voidSent[a]) && FOR_ME(p, admittedTarget[a]) && !started[AT(p, a)] && !proof[a] -> \
        REMEMBER(p, a); \
        proof[a] = true }

#ifdef NO_PROOF_INCARNATION
/* A restarted process knows nothing of its former incarnation's runs; what it says is no proof. */
#define REFUSE_FOREIGN(a, p) \
    :: d_step { voidSent[a] && ENDPOINT(admittedTarget[a]) == p && INCARNATION(admittedTarget[a]) < incarnation[p] && !foreignProof[a] -> \
        foreignProof[a] = true }
#else
#define REFUSE_FOREIGN(a, p)
#endif

#define FINISH(a, p) \
    :: d_step { started[AT(p, a)] && !settleSent[a] && SETTLEABLE(a) -> settleSent[a] = true }

#define RESTART(p) \
    :: d_step { incarnation[p] == 0 -> \
        incarnation[p] = 1; \
        started[AT(p, 0)] = false; \
        started[AT(p, 1)] = false; \
        tombstone[AT(p, 0)] = false; \
        tombstone[AT(p, 1)] = false }

active proctype system()
{
    do
    APPLY_ADMIT(0, 0, 0, 0) APPLY_ADMIT(0, 0, 0, 1) APPLY_ADMIT(0, 0, 1, 0) APPLY_ADMIT(0, 0, 1, 1)
    APPLY_ADMIT(0, 1, 0, 0) APPLY_ADMIT(0, 1, 0, 1) APPLY_ADMIT(0, 1, 1, 0) APPLY_ADMIT(0, 1, 1, 1)
    APPLY_ADMIT(1, 0, 0, 0) APPLY_ADMIT(1, 0, 0, 1) APPLY_ADMIT(1, 0, 1, 0) APPLY_ADMIT(1, 0, 1, 1)
    APPLY_ADMIT(1, 1, 0, 0) APPLY_ADMIT(1, 1, 0, 1) APPLY_ADMIT(1, 1, 1, 0) APPLY_ADMIT(1, 1, 1, 1)
    APPLY_ABANDON(0) APPLY_ABANDON(1)
    APPLY_SETTLE(0) APPLY_SETTLE(1)
    WITHDRAW(0) WITHDRAW(1)
    LEARN_INCARNATION(0) LEARN_INCARNATION(1)
#ifndef NO_LOST_SETTLE
    /* The leader settles a record whose endpoint process is gone, or seems so: it may be wrong about that. */
    :: d_step { SETTLEABLE(attempt) -> SETTLE }
#endif
    SEND_RUN(0, 0) SEND_RUN(0, 1) SEND_RUN(1, 0) SEND_RUN(1, 1)
    SEND_KNOWN(0, 0) SEND_KNOWN(0, 1) SEND_KNOWN(1, 0) SEND_KNOWN(1, 1)
    SEND_EARLY(0, 0, 0) SEND_EARLY(0, 0, 1) SEND_EARLY(1, 0, 0) SEND_EARLY(1, 0, 1)
    SEND_VOID(0) SEND_VOID(1)
    SEND_ABANDON(0) SEND_ABANDON(1)
    SAY_NOT_RUN(0) SAY_NOT_RUN(1)
    RECEIVE_RUN(0, 0, 0) RECEIVE_RUN(0, 0, 1) RECEIVE_RUN(0, 1, 0) RECEIVE_RUN(0, 1, 1)
    RECEIVE_RUN(1, 0, 0) RECEIVE_RUN(1, 0, 1) RECEIVE_RUN(1, 1, 0) RECEIVE_RUN(1, 1, 1)
    REFUSE(0, 0) REFUSE(0, 1) REFUSE(1, 0) REFUSE(1, 1)
    REFUSE_FOREIGN(0, 0) REFUSE_FOREIGN(0, 1) REFUSE_FOREIGN(1, 0) REFUSE_FOREIGN(1, 1)
    FINISH(0, 0) FINISH(0, 1) FINISH(1, 0) FINISH(1, 1)
    RESTART(0) RESTART(1)
    /* Nothing is left to happen: what ran has been billed. */
    :: timeout -> assert(runs == 0 || bills == 1); break
    od
}
