/* switches: BASE WHOLE CAS SETTLE REPEAT HIGHER PULL PROOF ALLPEERS */

/*
 * Acceptance and spread of configuration: two teams change sections through a store whose answers can be lost or
 * late and whose reads can be stale; three hosts of a failure domain take what was accepted, one of them restarts,
 * and another one does not reach the store. NO_X removes the protection X. docs/design/configuration.md maps the
 * steps to functions.
 */

#define HOSTS 3
#define CUT_OFF 2      /* the host that does not reach the store */
#define MAX_REVISION 3

#define OPEN 0
#define ACCEPTED 1
#define REFUSED 2
#define UNKNOWN 3

typedef Manifest {
	byte value[2];     /* of each section; 0 at first */
	byte revision[2];  /* of each section */
	byte recent;       /* bit i: change of team i */
}

Manifest history[MAX_REVISION + 1];
byte current = 0;          /* revision in the store */
bool store_up = true;
byte told[2];
byte section[2];           /* that each team changes */
byte value[2];
bool late;                 /* a swap of team 0 that was sent and has not arrived */
byte late_base;
byte in_force[HOSTS];
byte highest[HOSTS];       /* that was ever in force on the host, also before a restart */
bool serving[HOSTS];
bool restarted = false;

/* Each of these wholes is invalid: the change of one team contradicts that of the other. */
#define invalid(a, b) ((a) == 1 && (b) == 1)

/* Writes the change of team t over the manifest of revision base. */
inline write(t, base) {
	history[current + 1].value[0] = history[base].value[0];
	history[current + 1].value[1] = history[base].value[1];
	history[current + 1].revision[0] = history[base].revision[0];
	history[current + 1].revision[1] = history[base].revision[1];
	history[current + 1].value[section[t]] = value[t];
	history[current + 1].revision[section[t]] = current + 1;
	history[current + 1].recent = history[base].recent | (1 << t);
	current++;
	assert(!invalid(history[current].value[0], history[current].value[1]))
}

#ifdef NO_CAS
#define swappable(base) (current < MAX_REVISION)
#else
#define swappable(base) (current == base && current < MAX_REVISION)
#endif

proctype Team(byte t) {
	byte seen;
	byte pending = 0; /* 1 + base of a swap without an answer */

read:
	atomic {
		store_up;
		if
		:: seen = current
		:: current > 0 -> seen = current - 1 /* stale read */
		fi
	}
	atomic {
		if
		:: history[seen].recent & (1 << t) -> told[t] = ACCEPTED; goto done
		:: else
		fi;
#ifdef NO_REPEAT
		if
		:: pending > 0 -> told[t] = REFUSED; goto done
		:: else
		fi;
#endif
		if
		:: pending > 0 && seen < pending - 1 -> goto read /* surely stale */
		:: pending > 0 && seen > pending - 1 -> pending = 0
		:: else
		fi;
#ifndef NO_BASE
		if
		:: history[seen].revision[section[t]] != 0 -> told[t] = REFUSED; goto done
		:: else
		fi;
#endif
#ifndef NO_WHOLE
		if
		:: section[t] == 0 && invalid(value[t], history[seen].value[1]) -> told[t] = REFUSED; goto done
		:: section[t] == 1 && invalid(history[seen].value[0], value[t]) -> told[t] = REFUSED; goto done
		:: else
		fi
#endif
	}
swap:
	atomic {
		if
		:: store_up && swappable(seen) -> write(t, seen);
			if
			:: told[t] = ACCEPTED; goto done
			:: pending = seen + 1; goto lost
			fi
		:: store_up && !swappable(seen) -> goto read /* conflict */
		:: t == 0 && !late -> late = true; late_base = seen; pending = seen + 1; goto lost
		fi
	}
lost:
	atomic {
#ifdef NO_SETTLE
		told[t] = REFUSED; goto done
#else
		if
		:: goto read
		:: told[t] = UNKNOWN; goto done /* the caller's time is over, or the host crashed */
		fi
#endif
	}
done:
	skip
}

/* The swap that was under way arrives. */
proctype Network() {
end:
	do
	:: atomic { late && store_up -> late = false;
		if
		:: swappable(late_base) -> write(0, late_base)
		:: else
		fi }
	od
}

proctype Outage() {
	if
	:: store_up = false; store_up = true
	:: skip
	fi
}

#ifdef NO_HIGHER
#define newer(r, h) ((r) != in_force[h])
#else
#define newer(r, h) ((r) > in_force[h])
#endif

inline offer(h, r) {
	in_force[h] = r;
	assert(in_force[h] >= highest[h]);
	highest[h] = r
}

proctype Host(byte h) {
	byte found;
	byte peers;   /* highest revision on a peer when the host began to ask */
	bool store;
	bool answered;

serve:
	serving[h] = true;
end:
	do
	:: atomic { h != CUT_OFF && store_up && newer(current, h) -> offer(h, current) }
	:: atomic { h == 0 && store_up && current > 0 && newer(current - 1, h) -> offer(h, current - 1) } /* stale read */
#ifndef NO_PULL
	:: atomic { serving[(h + 1) % HOSTS] && newer(in_force[(h + 1) % HOSTS], h) -> offer(h, in_force[(h + 1) % HOSTS]) }
	:: atomic { serving[(h + 2) % HOSTS] && newer(in_force[(h + 2) % HOSTS], h) -> offer(h, in_force[(h + 2) % HOSTS]) }
#endif
	:: atomic { h == 0 && !restarted -> restarted = true; serving[0] = false; in_force[0] = 0; break }
	od;

start:
	atomic {
		found = 0; store = false; answered = false;
		peers = (in_force[1] > in_force[2] -> in_force[1] : in_force[2]);
		if
		:: store_up -> store = true; found = current
		:: store_up && current > 0 -> store = true; found = current - 1
		:: !store_up
		fi
	}
	atomic { /* each peer answers by itself */
		if
		:: in_force[1] > 0 -> answered = true; found = (in_force[1] > found -> in_force[1] : found)
		:: else
		fi
	}
	atomic {
		if
#ifdef NO_ALLPEERS
		:: answered
#endif
		:: in_force[2] > 0 -> answered = true; found = (in_force[2] > found -> in_force[2] : found)
		:: else
		fi
	}
	atomic {
		if
		:: store ->
#ifndef NO_PROOF
			if
			:: store_up && found == current
			:: store_up && found != current -> goto start
			:: !store_up && answered -> store = false
			:: !store_up && !answered -> goto start
			fi;
#endif
			skip
		:: !store && answered
		:: !store && !answered && store_up -> goto start
		fi;
		assert(!store || found >= highest[h]);  /* no reversion across a restart */
		assert(found >= peers);                 /* nor behind a peer that answered */
		in_force[h] = found;
		highest[h] = (found > highest[h] -> found : highest[h]);
		goto serve
	}
}

/* What was told holds for good, and what was accepted is in force on each host. */
proctype Monitor() {
	byte t, h;
end:
	atomic {
		timeout;
		for (t : 0 .. 1) {
			assert(told[t] != ACCEPTED || history[current].value[section[t]] == value[t]);
			assert(told[t] != REFUSED || !(history[current].recent & (1 << t)))
		}
		for (h : 0 .. HOSTS - 1) {
			assert(!serving[h] || in_force[h] == current)
		}
	}
}

init {
	atomic {
		section[0] = 0; value[0] = 1;
		if
		:: section[1] = 1; value[1] = 1 /* contradicts the other change */
		:: section[1] = 1; value[1] = 2 /* goes well with it */
		:: section[1] = 0; value[1] = 2 /* changes the same section */
		fi;
		run Team(0); run Team(1); run Network(); run Outage();
		run Host(0); run Host(1); run Host(2); run Monitor()
	}
}
