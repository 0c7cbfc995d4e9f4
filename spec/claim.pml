/*
 * Claims, barriers and outcomes of one idempotency key.
 *
 * The control group is one sequence of applied commands. A command that was sent stays in
 * the network for ever and may be applied any number of times, also after its sender has
 * given up or died. A lost answer is an answer that its sender never receives.
 *
 * Bounds: ATTEMPTS attempts, each on its own instance; INDEX applied commands.
 */

#define IDLE 0
#define WAITING 1
#define CLAIMING 2
#define DISPATCHED 3
#define RELEASING 4       /* provably not run */
#define REFUSING 5
#define ENDED 6

#define NOBODY 0          /* claim statuses */
#define HELD 1
#define FINISHED 2
#define UNKNOWN 3

byte index;
byte status;
byte owner;
byte barrier;
byte finishedAt;
byte floor;

byte pc[ATTEMPTS];
byte seen[ATTEMPTS];
bool claimed[ATTEMPTS];   /* commands in the network */
bool refused[ATTEMPTS];
bool gaveUp[ATTEMPTS];
bool finished[ATTEMPTS];
bool won[ATTEMPTS];       /* answers in transit */
byte none[ATTEMPTS];      /* index of a Refuse or Release answered with no claim */
bool dead[ATTEMPTS];

/* Observers for the assertions. */
bool ran[ATTEMPTS];
byte ended[ATTEMPTS];     /* index at which the outcome was recorded */
byte notRun;              /* index of the latest not_run answer */
bool expired;

byte k;

#define ROOM (index < INDEX)

#define LOOKUP(a) :: d_step { pc[a] == IDLE && status == NOBODY -> seen[a] = index; pc[a] = WAITING }
#define CLAIM(a) :: d_step { pc[a] == WAITING -> claimed[a] = true; pc[a] = CLAIMING }
#define REFUSE(a) :: d_step { pc[a] == WAITING || pc[a] == CLAIMING -> refused[a] = true; GIVE_UP(a) }
#ifdef TOLD_WITHOUT_REFUSE
#define GIVE_UP(a) pc[a] = ENDED; notRun = index
#else
#define GIVE_UP(a) pc[a] = REFUSING
#endif

#define APPLY_CLAIM(a) :: d_step { claimed[a] && ROOM -> index++; \
	if \
	:: status == HELD && owner == a -> won[a] = true \
	:: FREE && seen[a] >= barrier && seen[a] >= floor -> status = HELD; owner = a; won[a] = true \
	:: else -> skip \
	fi }
#ifdef NOT_EXCLUSIVE
#define FREE (status != FINISHED)
#else
#define FREE (status == NOBODY)
#endif

/* The claim is won: the request is dispatched. */
#define DISPATCH(a) :: d_step { pc[a] == CLAIMING && won[a] && !dead[a] -> \
	pc[a] = DISPATCHED; \
	assert(seen[a] >= notRun);  /* not_run is final for earlier attempts */ \
	for (k : 0 .. ATTEMPTS - 1) { \
		if \
		:: k != a && ran[k] -> assert(expired && ended[k] != 0 && seen[a] >= ended[k])  /* one dispatch for each key */ \
		:: else -> skip \
		fi \
	}; \
	ran[a] = true }

#define NOT_ADMITTED(a) :: d_step { pc[a] == DISPATCHED && !dead[a] -> ran[a] = false; gaveUp[a] = true; pc[a] = RELEASING }
#define FINISH(a) :: d_step { pc[a] == DISPATCHED && !dead[a] -> finished[a] = true; pc[a] = ENDED }

#ifdef NO_BARRIER
#define SET_BARRIER skip
#else
#define SET_BARRIER barrier = index
#endif

#define APPLY_REFUSE(a) :: d_step { refused[a] && ROOM -> index++; \
	if \
	:: status == NOBODY -> SET_BARRIER; none[a] = index \
	:: else -> skip \
	fi }

#define APPLY_RELEASE(a) :: d_step { gaveUp[a] && ROOM -> index++; \
	if \
	:: (status == HELD && owner == a) || status == NOBODY -> status = NOBODY; SET_BARRIER; none[a] = index \
	:: else -> skip \
	fi }

#define TELL(a) :: d_step { (pc[a] == REFUSING || pc[a] == RELEASING) && none[a] != 0 && !dead[a] -> \
	pc[a] = ENDED; notRun = (none[a] > notRun -> none[a] : notRun) }

#define APPLY_FINISH(a) :: d_step { finished[a] && ROOM && (status == HELD || status == UNKNOWN) && owner == a -> index++; \
	status = FINISHED; finishedAt = index; ended[a] = index }

#define DIE(a) :: d_step { pc[a] > WAITING && !dead[a] -> dead[a] = true }
#ifdef DEAD_OWNER_FREES
#define ORPHAN NOBODY
#else
#define ORPHAN UNKNOWN
#endif
#define OWNER_DEAD(a) :: d_step { dead[a] && status == HELD && owner == a && ROOM -> index++; status = ORPHAN }

#ifdef NO_FLOOR
#define RAISE_FLOOR skip
#else
#define RAISE_FLOOR floor = finishedAt
#endif

#if ATTEMPTS == 2
#define EACH(S) S(0) S(1)
#else
#define EACH(S) S(0) S(1) S(2)
#endif

init {
	do
	EACH(LOOKUP)
	EACH(CLAIM)
	EACH(REFUSE)
	EACH(APPLY_CLAIM)
	EACH(DISPATCH)
	EACH(NOT_ADMITTED)
	EACH(FINISH)
	EACH(APPLY_REFUSE)
	EACH(APPLY_RELEASE)
	EACH(TELL)
	EACH(APPLY_FINISH)
	EACH(DIE)
	EACH(OWNER_DEAD)
	/* The retention of a finished claim is over. */
	:: d_step { status == FINISHED -> status = NOBODY; RAISE_FLOOR; expired = true }
	od
}
