/* switches: LIMIT ORDER ALL REPEAT SAME CHECK EXPIRY LIVING */
/*
 * Grants of memory: a long prompt holds memory on all members or on none, and no memory is lost.
 *
 * Two planners on two hosts each reserve one unit on both members, which have one unit each, run, and release. Every
 * message may be lost, lose its answer or arrive late. A planner's host may crash at any step, a member may crash
 * once, and the time of a request, after which its expiry may pass, may be over at any moment, which covers pauses.
 *
 * LIMIT    a member reserves only memory that is free
 * ORDER    planners reserve in the same order of members
 * ALL      a planner that gives up releases all members that may hold memory for it
 * REPEAT   a release is repeated until it is confirmed
 * SAME     a member that is asked again for a reservation that it holds confirms it and holds it once
 * CHECK    a member refuses to run on a reservation that it does not hold
 * EXPIRY   a member frees a reservation after its expiry
 * LIVING   the comparison frees only what belongs to a host that is gone
 */
#define MEMBERS 2
#define NOBODY  255

mtype = { none, got, refused, unknown };

byte held[4];      /* units that member m holds for planner p, at [p * 2 + m] */
bool used[4];      /* runs on member m without a reservation */
byte flying = NOBODY; /* the reservation that may arrive late, as an index of held */
bool released[4];  /* the release was confirmed */
bool arrived[4];   /* a reservation arrived after the release was confirmed */
bool lost[4];      /* the member's crash took the memory */
bool over[2];      /* the time of the request has passed, and with it the expiry */
bool crashed;      /* a member */
bool gone[2];      /* the planner's host crashed */
byte waits[2] = NOBODY; /* member whose memory the planner waits for */

#define at(p, m)    ((p) * 2 + (m))
#define total(m)    (held[m] + held[2 + m] + used[m] + used[2 + m])

/* Whether planner p waits for memory that the other one holds. */
#define cross(p) (waits[p] != NOBODY && held[at(1 - (p), (waits[p] & 1))] > 0)

#ifdef NO_LIMIT
#define fits(m) true
#else
#define fits(m) (total(m) < 1)
#endif

#ifdef NO_SAME
#define known(p, m) false
#else
#define known(p, m) (held[at(p, m)] > 0)
#endif

/* Applies a reservation on member m. */
inline apply(p, m, answer) {
	if
	:: known(p, m) -> answer = got
	:: !known(p, m) && fits(m) ->
		held[at(p, m)]++;
		lost[at(p, m)] = false;
		arrived[at(p, m)] = arrived[at(p, m)] || released[at(p, m)];
		assert(total(m) <= 1);
		answer = got
	:: !known(p, m) && !fits(m) ->
		/* A planner that is refused for memory that it holds itself would wait for itself. */
		assert(held[at(p, m)] == 0);
		answer = refused
	fi
}

/* Asks member m for a reservation over a network that loses and delays. */
inline reserve(p, m, answer) {
	if
	:: apply(p, m, answer)
	:: apply(p, m, answer); answer = unknown
	:: answer = unknown
	:: flying == NOBODY -> flying = at(p, m); answer = unknown
	fi
}

/* Frees what member m holds for the planner, and says whether that is confirmed. */
inline release(p, m, answer) {
	if
	:: free(p, m); released[at(p, m)] = true; answer = got
	:: free(p, m); answer = unknown
	:: answer = unknown
	fi
}

inline free(p, m) {
	if
	:: held[at(p, m)] > 0 -> held[at(p, m)]--
	:: held[at(p, m)] == 0
	fi
	used[at(p, m)] = false
}

/* Starts the planner's part on member m, which may refuse it. */
inline submit(p, m, answer) {
	if
	:: held[at(p, m)] > 0 -> answer = got
	:: held[at(p, m)] == 0 ->
		/* Only time or a crash of the member may have taken the reservation away. */
		assert(over[p] || lost[at(p, m)]);
#ifdef NO_CHECK
		used[at(p, m)] = true;
		assert(total(m) <= 1);
		answer = got
#else
		answer = refused
#endif
	fi
}

proctype planner(byte p) {
	byte i, m;
	byte touched; /* members that may hold memory, as a set of bits */
	mtype answer = none;
	{
		do
		:: atomic { i < MEMBERS ->
#ifdef NO_ORDER
			m = (p == 0 -> i : 1 - i);
#else
			m = i;
#endif
			reserve(p, m, answer);
			if
			:: answer == got -> waits[p] = NOBODY; touched = touched | (1 << m); i++
			:: answer == unknown -> touched = touched | (1 << m)
			:: answer == refused -> waits[p] = m;
				/* Planners that each hold what the other waits for would wait until their patience ends. */
				assert(!(cross(0) && cross(1)))
			fi;
			if
			:: answer != got -> goto give_back
			:: skip
			fi }
		:: atomic { i == MEMBERS -> answer = none; break }
		od;
		atomic { submit(p, 0, answer) }
		atomic {
			if
			:: answer == got -> submit(p, 1, answer)
			:: answer != got
			fi
		}
give_back:
		atomic {
			waits[p] = NOBODY;
#ifdef NO_ALL
			touched = touched & (1 << m);
#endif
			i = 0
		}
		do
		:: atomic { i < MEMBERS && (touched & (1 << i)) ->
			release(p, i, answer);
#ifdef NO_REPEAT
			i++
#else
			if
			:: answer == got -> i++
			:: answer != got
			fi
#endif
			}
		:: atomic { i < MEMBERS && !(touched & (1 << i)) -> i++ }
		:: atomic { i == MEMBERS -> break }
		od;
		atomic {
			/* Released memory is free at once and not only after its expiry. */
			assert(held[at(p, 0)] == 0 || arrived[at(p, 0)]);
			assert(held[at(p, 1)] == 0 || arrived[at(p, 1)])
		}
	} unless {
		gone[p] -> waits[p] = NOBODY
	}
}

/* Delivers a late reservation. */
active proctype network() {
	mtype answer = none;
end:
	do
	:: atomic { flying == 0 -> flying = NOBODY; apply(0, 0, answer); answer = none }
	:: atomic { flying == 1 -> flying = NOBODY; apply(0, 1, answer); answer = none }
	:: atomic { flying == 2 -> flying = NOBODY; apply(1, 0, answer); answer = none }
	:: atomic { flying == 3 -> flying = NOBODY; apply(1, 1, answer); answer = none }
	od
}

inline expire(p, m) {
	atomic { over[p] && (held[at(p, m)] > 0 || used[at(p, m)]) -> held[at(p, m)] = 0; used[at(p, m)] = false }
}

inline compare(p, m) {
#ifdef NO_LIVING
	atomic { held[at(p, m)] > 0 -> held[at(p, m)] = 0 }
#else
	atomic { gone[p] && held[at(p, m)] > 0 -> held[at(p, m)] = 0 }
#endif
}

/* Frees memory on the members without word from a planner. */
active proctype members() {
end:
	do
	:: compare(0, 0)
	:: compare(0, 1)
	:: compare(1, 0)
	:: compare(1, 1)
#ifndef NO_EXPIRY
	:: expire(0, 0)
	:: expire(0, 1)
	:: expire(1, 0)
	:: expire(1, 1)
#endif
	od
}

inline fall(p, m) {
	lost[at(p, m)] = lost[at(p, m)] || held[at(p, m)] > 0;
	held[at(p, m)] = 0;
	used[at(p, m)] = false
}

/* Ends the time of the requests and crashes one host and one member; the planners are alike but for their order. */
active proctype faults() {
end:
	do
	:: !over[0] -> over[0] = true
	:: !gone[0] -> gone[0] = true
	:: !crashed -> atomic { crashed = true; fall(0, 0); fall(1, 0) }
	:: !crashed -> atomic { crashed = true; fall(0, 1); fall(1, 1) }
	:: break
	od;
	atomic { over[0] = true; over[1] = true }
}

/* Checks that nothing is held when all is over. */
active proctype watch() {
	timeout;
	assert(held[0] + held[1] + held[2] + held[3] == 0)
}

init {
	atomic { run planner(0); run planner(1) }
}
