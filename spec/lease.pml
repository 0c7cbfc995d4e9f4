/*
 * Dispatcher leases: heartbeats, renewals, release, and a change of leader.
 *
 * Time is real time in ticks. Clocks may be wrong by DRIFT over a lease: the holder counts
 * less than LD on its own clock, so that a slow clock ends at most LD after the send time;
 * the leader counts more than LD, so that a fast clock waits at least LD. The model takes
 * these worst cases. The table of leases is replicated; only the renewal times differ
 * between leaders.
 *
 * Bounds: 2 instances, 2 leaders, END ticks, one heartbeat in flight for each instance.
 */

#define LD 2
#define NONE 2

#ifdef NO_DRIFT
#define OWN (LD + 1)      /* a slow clock that counts a whole LD */
#else
#define OWN LD
#endif

byte now;
byte holder = 0;
byte epoch = 1;
byte start[2];            /* when a leader's term began */
byte renewed[2];          /* when a leader last answered the holder */
bool second;              /* the second leader is elected; the first one's lease has ended */

/* Heartbeats: a time is stored plus one, 0 means none. */
byte request[2];
byte answer[2];           /* send time of the answered heartbeat */
byte listed[2];           /* epoch of the lease if the answer lists it for the receiver */
bool holds[2];
byte until[2];
byte known[2];            /* highest epoch the instance has seen */
bool stopping[2];
byte released[2];         /* epoch that the instance has asked to release */

#define ACTING(i) (holds[i] && now < until[i])
#define SAFE assert(!(ACTING(0) && ACTING(1)))  /* one acting holder */

#define SEND(i) :: d_step { request[i] == 0 -> request[i] = now + 1 }
#define LOSE(i) :: d_step { request[i] != 0 || answer[i] != 0 -> request[i] = 0; answer[i] = 0; listed[i] = 0 }

#ifdef DEPOSED_ANSWERS
#define LEADS(x) (x == 0 || second)
#else
#define LEADS(x) (second == x)
#endif

#define ANSWER(i, x) :: d_step { LEADS(x) && request[i] != 0 && answer[i] == 0 -> \
	answer[i] = request[i]; \
	if \
	:: holder == i -> listed[i] = epoch; renewed[x] = now \
	:: else -> listed[i] = 0 \
	fi }

#ifdef COUNT_FROM_RECEIPT
#define FROM(i) now
#else
#define FROM(i) (answer[i] - 1)
#endif
#ifdef RELEASED_BUT_ACTING
#define MAY_ACT(i) true
#else
#define MAY_ACT(i) (!stopping[i])
#endif

#define RECEIVE(i) :: d_step { answer[i] != 0 -> \
	if \
	:: listed[i] != 0 && listed[i] >= known[i] && MAY_ACT(i) -> \
		holds[i] = true; known[i] = listed[i]; until[i] = FROM(i) + OWN \
	:: else -> skip \
	fi; \
	request[i] = 0; answer[i] = 0; listed[i] = 0; SAFE }

#define STOP(i) :: d_step { holds[i] && !stopping[i] -> stopping[i] = true; holds[i] = false; until[i] = 0; released[i] = known[i] }
#define RELEASE(i) :: d_step { released[i] != 0 -> \
	if \
	:: holder == i && epoch == released[i] -> holder = NONE \
	:: else -> skip \
	fi; \
	released[i] = 0 }

#ifdef NO_WAIT
#define WAITED(x) true
#else
#define WAITED(x) (x == 0 || now >= start[x] + LD)
#endif

#define ASSIGN(i, x) :: d_step { second == x && holder != i && !stopping[i] && WAITED(x) && epoch < 4 && \
	(holder == NONE || now >= renewed[x] + LD) -> holder = i; epoch++; renewed[x] = now }

init {
	do
	SEND(0) SEND(1)
	LOSE(0) LOSE(1)
	ANSWER(0, 0) ANSWER(1, 0) ANSWER(0, 1) ANSWER(1, 1)
	RECEIVE(0) RECEIVE(1)
	STOP(0) STOP(1)
	RELEASE(0) RELEASE(1)
	ASSIGN(0, 0) ASSIGN(1, 0) ASSIGN(0, 1) ASSIGN(1, 1)
	:: d_step { !second -> second = true; start[1] = now; renewed[1] = 0 }
	:: d_step { now < END -> now++; SAFE }
	od
}
