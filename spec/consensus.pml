/* Consensus with one membership change and one wiped replica.
 *
 * Replicas 0, 1 and 2 vote in the first membership; replica 3 is the spare. The disk of one voter may be lost at any moment; the spare is
 * added as a learner, promoted once it has caught up, and the lost member is removed. Entries carry the term of the leader that wrote them;
 * a log is an array of terms and kinds. Sending and handling a message is one step, so a message that is lost is a step that never happens;
 * a doubled or late one is a step that happens again, which the pairs of vote and append steps allow.
 *
 * Each guard has a switch that removes it:
 *   NO_ONE_VOTE      a replica may vote for two candidates in one term
 *   NO_LOG_CHECK     a vote is given to a candidate with a shorter log
 *   NO_OWN_TERM      entries of earlier terms are committed by counting alone
 *   NO_PENDING_CHECK a membership change is proposed while another one is not committed
 *   NO_OWN_ENTRY     a leader changes the membership before an entry of its own term is committed
 *   NO_SYNC          an append is acknowledged before it is synced, and a crash loses it
 *   NO_IDENTITY      a wiped replica keeps its identity and its right to vote
 *
 * Bounds: MAX_TERM terms, MAX_LOG entries in a log, one lost disk (none with KEEP_DISKS), client entries only with CLIENTS.
 */
#ifndef MAX_TERM
#define MAX_TERM 3
#endif
#ifndef MAX_LOG
#define MAX_LOG 3
#endif
/* With FOUR all replicas vote from the start and there is no spare. */
#ifdef FOUR
#define FIRST_VOTERS 15
#define isSpare(r) false
#else
#define FIRST_VOTERS 7
#define isSpare(r) (r == 3)
#endif
#define REPLICAS 4
#define NOBODY 7

/* Kinds of entries: an empty or client entry, or a membership (its bit mask of voters, always above 2). */
#define EMPTY 1
#define CLIENT 2

typedef Node {
    byte term;
    byte vote;
    bool leads;
    bool wiped;
    byte last;                  /* entries 1 to last */
    byte terms[MAX_LOG + 1];
    byte kinds[MAX_LOG + 1];
    byte synced;
    byte commit;
}

Node node[REPLICAS];
byte committedTerm[MAX_LOG + 1];
byte committedKind[MAX_LOG + 1];
byte committedCount;
bool diskLost;

#define has(mask, r) ((mask >> (r)) & 1)

byte voters[REPLICAS];          /* membership in force at each replica: the newest one in its log */
byte votersAt[REPLICAS];        /* and the index of that entry */

inline noteVoters(r) {
    voters[r] = FIRST_VOTERS;
    votersAt[r] = 0;
    noteIndex = 1;
    do
    :: noteIndex <= node[r].last ->
        if
        :: node[r].kinds[noteIndex] > CLIENT -> voters[r] = node[r].kinds[noteIndex]; votersAt[r] = noteIndex
        :: else
        fi;
        noteIndex++
    :: else -> break
    od;
    noteIndex = 0
}

#define bits(m) (((m) & 1) + (((m) >> 1) & 1) + (((m) >> 2) & 1) + (((m) >> 3) & 1))
#define isQuorum(part, whole) (2 * bits((part) & (whole)) > bits(whole))
#define lastTerm(r) node[r].terms[node[r].last]
#define upToDate(c, r) (lastTerm(c) > lastTerm(r) || (lastTerm(c) == lastTerm(r) && node[c].last >= node[r].last))
#define isAlive(r) (!node[r].wiped)

/* A wiped replica has no log and is no member: it never votes. The spare votes once the log it has received makes it a member. */
#ifdef NO_IDENTITY
#define mayVote(r) (!isSpare(r) || has(voters[r], 3))
#else
#define mayVote(r) (isAlive(r) && (!isSpare(r) || node[3].last > 0))
#endif
#ifdef NO_ONE_VOTE
#define isFree(c, r, t) (node[r].term <= t)
#else
#define isFree(c, r, t) (node[r].term < t || (node[r].term == t && (node[r].vote == NOBODY || node[r].vote == c)))
#endif
#ifdef NO_LOG_CHECK
#define logAllows(c, r) true
#else
#define logAllows(c, r) upToDate(c, r)
#endif

/* Candidate c asks everybody for a vote in a new term; any set of the answers arrives. */
inline elect(c) {
    newTerm = node[c].term + 1;
    granted = 1 << c;
    node[c].term = newTerm;
    node[c].vote = c;
    node[c].leads = false;
    other = 0;
    do
    :: other < REPLICAS ->
        if
        :: other != c && has(voters[c], other) && mayVote(other) && isFree(c, other, newTerm) && logAllows(c, other) ->
            granted = granted | (1 << other);
            if
            :: node[other].term < newTerm -> node[other].leads = false
            :: else
            fi;
            node[other].term = newTerm;
            node[other].vote = c
        :: true    /* lost, or not granted */
        fi;
        other++
    :: else -> break
    od;
    if
    :: isQuorum(granted, voters[c]) && node[c].last < MAX_LOG ->
        node[c].leads = true;
        checkElection(c);
        write(c, EMPTY)
    :: else
    fi;
    granted = 0;
    other = 0;
    newTerm = 0
}

/* Every committed entry is in the log of a leader of a later term; no two lead one term. */
inline checkElection(c) {
    d_step {
    index = 0;
    do
    :: index < REPLICAS ->
        assert(index == c || !node[index].leads || node[index].term != node[c].term);
        index++
    :: else -> break
    od;
    index = 1;
    do
    :: index <= committedCount ->
        if
        :: committedTerm[index] < node[c].term ->
            assert(node[c].last >= index && node[c].terms[index] == committedTerm[index] && node[c].kinds[index] == committedKind[index])
        :: else
        fi;
        index++
    :: else -> break
    od;
    index = 0
    }
}

inline write(r, kind) {
    d_step {
    node[r].last++;
    node[r].terms[node[r].last] = node[r].term;
    node[r].kinds[node[r].last] = kind;
    node[r].synced = node[r].last;
    noteVoters(r)
    }
}

/* The first entries of leader l's log, up to upTo, arrive at r and are synced, or (NO_SYNC) are only acknowledged. */
inline replicate(l, r, upTo) {
    d_step {
    if
    :: node[r].term < node[l].term -> node[r].vote = NOBODY; node[r].leads = false
    :: else
    fi;
    node[r].term = node[l].term;
    if
    :: node[r].last >= upTo && node[r].terms[upTo] == node[l].terms[upTo]    /* has them; what follows is kept */
    :: else ->
        index = 1;
        do
        :: index <= MAX_LOG ->
            if
            :: index <= upTo ->
                if
                :: node[r].synced >= index && (node[r].terms[index] != node[l].terms[index]) -> node[r].synced = index - 1
                :: else
                fi;
                node[r].terms[index] = node[l].terms[index];
                node[r].kinds[index] = node[l].kinds[index]
            :: else ->
                node[r].terms[index] = 0;
                node[r].kinds[index] = 0
            fi;
            index++
        :: else -> break
        od;
        index = 0;
        node[r].last = upTo;
#ifdef NO_SYNC
        if
        :: node[r].synced > node[r].last -> node[r].synced = node[r].last
        :: else
        fi;
#else
        node[r].synced = node[r].last;
#endif
    fi;
    noteVoters(r)
    }
}

#define holds(l, r, i) (isAlive(r) && node[r].term == node[l].term && node[r].last >= i && node[r].terms[i] == node[l].terms[i])
#define holders(l, i) (holds(l, 0, i) | (holds(l, 1, i) << 1) | (holds(l, 2, i) << 2) | (holds(l, 3, i) << 3))
#ifdef NO_OWN_TERM
#define countable(l, i) true
#else
#define countable(l, i) (node[l].terms[i] == node[l].term)
#endif

/* Leader l commits index i and all before it; nothing committed before may differ. */
inline commitTo(l, i) {
    d_step {
    node[l].commit = i;
    index = 1;
    do
    :: index <= i ->
        if
        :: index <= committedCount ->
            assert(committedTerm[index] == node[l].terms[index] && committedKind[index] == node[l].kinds[index])
        :: else ->
            committedTerm[index] = node[l].terms[index];
            committedKind[index] = node[l].kinds[index];
            committedCount = index
        fi;
        index++
    :: else -> break
    od;
    index = 0
    }
}

#ifdef NO_PENDING_CHECK
#define noneIsPending(l) true
#else
#define noneIsPending(l) (votersAt[l] <= node[l].commit)
#endif
#ifdef NO_OWN_ENTRY
#define hasOwnEntry(l) true
#else
#define hasOwnEntry(l) (node[l].commit > 0 && node[l].terms[node[l].commit] == node[l].term)
#endif
#define mayChange(l) (node[l].leads && node[l].last < MAX_LOG && noneIsPending(l) && hasOwnEntry(l))
/* The spare is promoted once it holds what is committed. */
#define hasCaughtUp(l) (node[l].commit > 0 && node[3].last >= node[l].commit && node[3].terms[node[l].commit] == node[l].terms[node[l].commit])

inline crash(r) {
    d_step {
    node[r].leads = false;
    /* What was not synced is gone. */
    index = node[r].synced + 1;
    do
    :: index <= MAX_LOG -> node[r].terms[index] = 0; node[r].kinds[index] = 0; index++
    :: else -> break
    od;
    index = 0;
    node[r].last = node[r].synced;
    if
    :: node[r].commit > node[r].last -> node[r].commit = node[r].last
    :: else
    fi;
    noteVoters(r)
    }
}

inline wipe(r) {
    diskLost = true;
    node[r].synced = 0;
    node[r].term = 0;
    node[r].vote = NOBODY;
    node[r].commit = 0;
    crash(r);
#ifndef NO_IDENTITY
    /* Whoever starts there next has another identity: for the group this member is gone. */
    node[r].wiped = true
#endif
}

active proctype World() {
    byte r;
    byte l;
    byte i;
    byte index;
    byte other;
    byte granted;
    byte newTerm;
    byte noteIndex;
    d_step {
        r = 0;
        do
        :: r < REPLICAS -> node[r].vote = NOBODY; voters[r] = FIRST_VOTERS; r++
        :: else -> break
        od;
        r = 0
    }
    do
    :: atomic {
        /* Any replica, pair of replicas and index. */
        select(r : 0 .. 3);
        select(l : 0 .. 3);
        if
        :: isAlive(r) && has(voters[r], r) && mayVote(r) && node[r].term < MAX_TERM && !node[r].leads -> elect(r)
#ifdef CLIENTS
        :: node[r].leads && node[r].last < MAX_LOG -> write(r, CLIENT)
#endif
        :: l != r && node[l].leads && isAlive(r) && node[r].term <= node[l].term && !node[r].leads ->
            select(i : 1 .. MAX_LOG);
            if
            :: i <= node[l].last && !(node[r].last >= i && node[r].terms[i] == node[l].terms[i] && node[r].term == node[l].term) -> replicate(l, r, i)
            :: else
            fi;
            i = 0
        :: l != r && node[l].leads && node[r].leads && node[r].term < node[l].term -> node[r].leads = false
        :: node[l].leads && node[l].commit < node[l].last ->
            select(i : 1 .. MAX_LOG);
            if
            :: i > node[l].commit && i <= node[l].last && countable(l, i) && isQuorum(holders(l, i), voters[l]) -> commitTo(l, i)
            :: else
            fi;
            i = 0
        :: isSpare(3) && mayChange(l) && !has(voters[l], 3) && hasCaughtUp(l) -> write(l, (voters[l] | 8))
        :: mayChange(l) && has(voters[l], r) && bits(voters[l]) > 2 -> write(l, (voters[l] & (15 - (1 << r))))
#ifndef KEEP_DISKS
        :: !isSpare(r) && isAlive(r) && !diskLost -> wipe(r)
#endif
#ifdef NO_SYNC
        :: node[r].last > node[r].synced -> crash(r)
        :: node[r].last > node[r].synced -> node[r].synced = node[r].last
#endif
        :: else
        fi;
        r = 0;
        l = 0
    }
    od
}
