/*
 * Election, replication, commit and voter change of the control group.
 *
 * A step is one message received and answered. Lost messages are steps that are not taken.
 * A delayed vote or append needs no step of its own: its effect on the receiver does not
 * depend on what the sender did since, and the sender acts on the answer in a later step
 * (LEAD, COMMIT), so each delayed delivery equals an earlier one.
 *
 * Bounds: N voter identities, TERMS terms, LOG entries. With CHANGE, identity 2 may lose its
 * disk once, which ends the identity. Identity 3 starts with an empty disk and is a learner
 * until it is promoted.
 */

#ifdef CHANGE
#define N 4
#else
#define N 3
#endif

#define FOLLOWER 0
#define CANDIDATE 1
#define LEADER 2
/* An entry is its term, plus CONF if it changes the voters. */
#define CONF 16
#define TERM(e) ((e) % CONF)
#define BIT(i) (1 << (i))

byte term[N];
byte voted[N];            /* 0, or the identity plus one */
byte role[N];
byte votes[N];            /* set of identities that granted a vote in this term */
byte size[N];
byte conf[N];             /* number of voter changes in the log */
byte synced[N];           /* entries that survive a crash */
bool gone[N];             /* identity without a machine */
typedef Entries { byte e[LOG] };
Entries log[N];
typedef Matches { byte n[N] };
Matches match[N];         /* for a leader: entries of each log known to equal its own */

/* Observers for the assertions. Outside of those, only SETTLED and WIPE depend on them. */
byte elected[TERMS + 1];
byte committed[LOG];
byte commits;
byte commitTerm[LOG];     /* the term of the leader that committed the entry */
bool wiped;

/* The voters after 0, 1 and 2 changes: identity 2 leaves, then identity 3 joins. */
#ifdef CHANGE
#ifdef TWO_AT_ONCE
#define VOTERS(c) ((c) == 0 -> 7 : 11)
#define CHANGES 1
#else
#define VOTERS(c) ((c) == 0 -> 7 : ((c) == 1 -> 3 : 11))
#define CHANGES 2
#endif
#else
#define VOTERS(c) 7
#endif

#define COUNT(s) (((s) & 1) + (((s) >> 1) & 1) + (((s) >> 2) & 1) + (((s) >> 3) & 1))
#define QUORUM(s, c) (2 * COUNT((s) & VOTERS(c)) > COUNT(VOTERS(c)))
#define MEMBER(i) (VOTERS(conf[i]) & BIT(i))

#define LAST(i) (size[i] == 0 -> 0 : TERM(log[i].e[size[i] - 1]))
#ifdef NO_LOG_CHECK
#define CURRENT(i, j) true
#else
#define CURRENT(i, j) (LAST(i) > LAST(j) || (LAST(i) == LAST(j) && size[i] >= size[j]))
#endif

byte k;
byte set;
bool same;

inline forget(i) {
	votes[i] = 0;
	for (k : 0 .. N - 1) { match[i].n[k] = 0 }
}

inline follow(j, t) {
	if
	:: term[j] < t -> term[j] = t; voted[j] = 0
	:: else
	fi;
	role[j] = FOLLOWER;
	forget(j)
}

#define TIMEOUT(i) :: d_step { !gone[i] && role[i] != LEADER && MEMBER(i) && term[i] < TERMS -> \
	forget(i); term[i]++; voted[i] = i + 1; votes[i] = BIT(i); role[i] = CANDIDATE }

#define VOTE(i, j) :: d_step { !gone[i] && !gone[j] && role[i] == CANDIDATE && !(votes[i] & BIT(j)) && MEMBER(j) && \
	(term[j] < term[i] || (term[j] == term[i] && (voted[j] == 0 || voted[j] == i + 1))) && CURRENT(i, j) -> \
	follow(j, term[i]); voted[j] = i + 1; votes[i] = votes[i] | BIT(j) }

/* A voter that learns of a later term but grants no vote. */
#define LEARN(i, j) :: d_step { !gone[i] && !gone[j] && term[j] < term[i] -> follow(j, term[i]); skip }

/* COMMITS_ONLY removes this check, so that a mutation reaches the one in COMMIT. */
#ifdef COMMITS_ONLY
#define COMPLETE(i, k) skip
#else
#define COMPLETE(i, k) assert(k < size[i] && log[i].e[k] == committed[k])  /* leader completeness */
#endif

#define LEAD(i) :: d_step { !gone[i] && role[i] == CANDIDATE && QUORUM(votes[i], conf[i]) -> \
	role[i] = LEADER; votes[i] = 0; \
	assert(elected[term[i]] == 0 || elected[term[i]] == i + 1);  /* election safety */ \
	elected[term[i]] = i + 1; \
	for (k : 0 .. LOG - 1) { \
		if \
		:: k < commits && commitTerm[k] < term[i] -> COMPLETE(i, k) \
		:: else \
		fi \
	}; skip }

#define PROPOSE(i) :: d_step { role[i] == LEADER && size[i] < LOG -> \
	log[i].e[size[i]] = term[i]; size[i]++; synced[i] = size[i] }

/* A voter copies the leader's whole log, or keeps its own if that begins with the leader's. */
#define APPEND(i, j) :: d_step { role[i] == LEADER && !gone[j] && size[i] > 0 && term[j] <= term[i] && match[i].n[j] < size[i] -> \
	follow(j, term[i]); \
	same = size[j] >= size[i]; \
	for (k : 0 .. LOG - 1) { \
		if \
		:: k < size[i] && log[j].e[k] != log[i].e[k] -> same = false \
		:: else \
		fi \
	}; \
	if \
	:: same \
	:: else -> \
		for (k : 0 .. LOG - 1) { log[j].e[k] = log[i].e[k] }; \
		size[j] = size[i]; conf[j] = conf[i]; STORE(j) \
	fi; \
	match[i].n[j] = size[i] }

#ifdef ACK_BEFORE_SYNC
#define STORE(j) synced[j] = (synced[j] < size[j] -> synced[j] : size[j])
#define SYNC(i) :: d_step { synced[i] < size[i] -> synced[i] = size[i] }
#else
#define STORE(j) synced[j] = size[j]
#define SYNC(i)
#endif

#ifdef COMMIT_OLD_TERM
#define OWN(i) true
#else
#define OWN(i) (TERM(log[i].e[size[i] - 1]) == term[i])
#endif

/* A leader commits its whole log once a quorum has it and the last entry is of its term. */
#define COMMIT(i) :: d_step { role[i] == LEADER && size[i] > 0 && OWN(i) -> \
	set = BIT(i); \
	for (k : 0 .. N - 1) { \
		if \
		:: match[i].n[k] == size[i] -> set = set | BIT(k) \
		:: else \
		fi \
	}; \
	if \
	:: QUORUM(set, conf[i]) -> \
		for (k : 0 .. LOG - 1) { \
			if \
			:: k < size[i] && k < commits -> assert(committed[k] == log[i].e[k])  /* commit safety */ \
			:: k < size[i] && k >= commits -> committed[k] = log[i].e[k]; commitTerm[k] = term[i]; commits = k + 1 \
			:: else \
			fi \
		} \
	:: else \
	fi; skip }

#ifdef VOTE_NOT_SYNCED
#define LOSE_VOTE(i) voted[i] = 0
#else
#define LOSE_VOTE(i) skip
#endif

#define CRASH(i) :: d_step { !gone[i] && CAN_CRASH(i) -> \
	role[i] = FOLLOWER; forget(i); LOSE_VOTE(i); \
	for (k : 0 .. LOG - 1) { \
		if \
		:: k >= synced[i] -> log[i].e[k] = 0 \
		:: else \
		fi \
	}; \
	size[i] = synced[i] }
#if defined(VOTE_NOT_SYNCED) || defined(ACK_BEFORE_SYNC)
#define CAN_CRASH(i) (role[i] != FOLLOWER || voted[i] != 0 || synced[i] < size[i])
#else
#define CAN_CRASH(i) (role[i] != FOLLOWER)
#endif

#ifdef CHANGE
/* The last entry of the leader is committed and of its own term: earlier changes are
 * committed, and no other leader can be in the middle of one. */
#define SETTLED(i) (size[i] > 0 && size[i] <= commits && log[i].e[size[i] - 1] == committed[size[i] - 1] && OWN(i))
#define RECONFIGURE(i) :: d_step { role[i] == LEADER && size[i] < LOG && conf[i] < CHANGES && SETTLED(i) -> \
	log[i].e[size[i]] = term[i] + CONF; size[i]++; conf[i]++; synced[i] = size[i] }

#ifdef WIPED_KEEPS_IDENTITY
#define END_IDENTITY skip
#else
#define END_IDENTITY gone[2] = true
#endif
#define WIPE :: d_step { !wiped -> \
	wiped = true; role[2] = FOLLOWER; forget(2); term[2] = 0; voted[2] = 0; size[2] = 0; synced[2] = 0; conf[2] = 0; \
	for (k : 0 .. LOG - 1) { log[2].e[k] = 0 }; END_IDENTITY }
#endif

#ifdef CHANGE
#define EACH(S) S(0) S(1) S(2) S(3)
#define PAIR(S) S(0, 1) S(0, 2) S(0, 3) S(1, 0) S(1, 2) S(1, 3) S(2, 0) S(2, 1) S(2, 3) S(3, 0) S(3, 1) S(3, 2)
#else
#define EACH(S) S(0) S(1) S(2)
#define PAIR(S) S(0, 1) S(0, 2) S(1, 0) S(1, 2) S(2, 0) S(2, 1)
#endif

init {
	do
	EACH(TIMEOUT)
	PAIR(VOTE)
	PAIR(LEARN)
	EACH(LEAD)
	EACH(PROPOSE)
	PAIR(APPEND)
	EACH(COMMIT)
	EACH(CRASH)
	EACH(SYNC)
#ifdef CHANGE
	EACH(RECONFIGURE)
	WIPE
#endif
	od
}
