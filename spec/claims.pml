/* switches: CAS OWNER READBACK ONCE TRUTH CLOSE DEADLINE FINAL BODY */
/*
 * Claims: a request that must not be repeated runs at most once.
 *
 * Two hosts each work on one sending of the same idempotency key. Every step may be interleaved with the other's,
 * which covers pauses; a host that crashed is one that takes no further step. The store may be down, lose the answer
 * of a write, apply a write late, and serve stale reads; the claim may expire once. What the owner of a claim says
 * when asked is left out: a sending that gives up waiting does so whether the owner is silent or not.
 *
 * CAS       the store writes only if the revision is the expected one
 * OWNER     a claim is one's own only if it names one's own attempt
 * READBACK  a write without an answer is settled before the request is dispatched
 * ONCE      a dispatch that broke is not repeated
 * TRUTH     a claim is closed as not_run only if the request was never dispatched
 * CLOSE     only its owner replaces an open claim
 * DEADLINE  nothing is dispatched after the caller's deadline, which is far within the retention
 * FINAL     nothing is dispatched after its caller was told not_run
 * BODY      the recorded answer is given only for the same body
 */
#define TRIES 2

mtype = { none, open, completed, not_run, unknown, swapped, conflict, failed, maybe };

/* The record, the version before it, and the last revision given. */
mtype state = none;
byte owner, revision, last;
mtype prev_state = none;
byte prev_owner, prev_revision;

/* Writes under way that were not answered. */
bool flying[2];
mtype flight_state[2];
byte flight_expect[2];

bool started[2], late[2], ran[2], gone[2], told_not_run[2], body[2];
bool expired;

#ifdef NO_CAS
#define matches(expect) true
#else
#define matches(expect) (expect == revision)
#endif

inline apply(i, s) {
	prev_state = state; prev_owner = owner; prev_revision = revision;
	last++;
	state = s; owner = i; revision = last
}

/* Writes s; after an answered write, expect is its revision. */
inline swap(i, s) {
	if
	:: answer = failed
	:: !flying[i] -> flying[i] = true; flight_state[i] = s; flight_expect[i] = expect; answer = maybe
	:: matches(expect) -> apply(i, s); answer = maybe
	:: matches(expect) -> apply(i, s); answer = swapped; expect = last
	:: !(matches(expect)) -> answer = conflict
	fi
}

/* Reads the record or the version before it. */
inline read_record() {
	if
	:: r_state = state; r_owner = owner; r_revision = revision
	:: r_state = prev_state; r_owner = prev_owner; r_revision = prev_revision
	fi
}

inline forget() {
	answer = 0; r_state = 0; r_owner = 0; r_revision = 0
}

inline tell_not_run(i) {
	assert(!ran[i]);
	told_not_run[i] = true
}

inline run_request(i) {
	assert(!ran[i] && !told_not_run[i]);
	assert(!ran[1 - i] || gone[1 - i]);
	ran[i] = true
}

proctype Sending(byte i) {
	byte expect, tries, r_owner, r_revision;
	mtype answer, result, r_state;
	bool asked, possible;

	atomic {
		started[i] = true;
		if :: true :: i == 1 -> body[i] = true fi
	};
claim:
	atomic {
		swap(i, open);
		if
		:: answer == swapped -> forget(); goto held
		:: answer == conflict -> forget(); goto read
		:: answer == maybe -> possible = true; forget();
#ifdef NO_READBACK
			goto held
#endif
		:: answer == failed -> forget()
		fi;
		if
		:: tries < TRIES -> tries++; goto claim
		:: tell_not_run(i); goto abandon
		fi
	};
read:
	atomic {
		if
		:: tries < TRIES -> tries++
		:: goto abandon                          /* told unknown */
		fi;
		read_record();
		if
		:: r_state == none -> expect = 0; forget(); goto claim
		:: r_state != none && r_revision <= expect -> forget(); goto read
		:: else
		fi;
		if
#ifdef NO_OWNER
		:: r_state == open -> expect = r_revision; forget(); goto held
#else
		:: r_owner == i -> expect = r_revision; forget(); goto held
#endif
		:: else
		fi;
#ifndef NO_BODY
		if
		:: body[i] != body[r_owner] -> tell_not_run(i); goto done
		:: else
		fi;
#endif
		if
		:: r_state == completed -> assert(body[i] == body[r_owner]); goto done
		:: r_state == unknown -> goto done
		:: r_state == not_run -> expect = r_revision; forget(); goto claim
		:: r_state == open && !asked -> asked = true; forget(); goto read
		:: r_state == open && asked ->
#ifdef NO_CLOSE
			expect = r_revision; forget(); goto claim
#else
			goto done                        /* told unknown */
#endif
		fi
	};

held:
	atomic {
		tries = 0;
		if
#ifdef NO_DEADLINE
		:: true
#else
		:: late[i] -> tell_not_run(i); result = not_run; goto write
		:: !late[i]
#endif
		fi;
		if
		:: run_request(i); result = completed
		:: run_request(i); result = unknown
		:: result = unknown                      /* the connection broke before the service ran it */
		:: tell_not_run(i); result = not_run     /* the service refused it before running */
		fi;
#ifdef NO_ONCE
		if :: result == unknown -> goto held :: else fi;
#endif
#ifdef NO_TRUTH
		if :: result == unknown -> result = not_run :: else fi;
#endif
	};
write:
	atomic {
		swap(i, result);
		if
		:: answer != swapped && answer != conflict && tries < TRIES -> tries++; forget(); goto write
		:: else -> goto done
		fi
	};

	/* The caller was answered; a claim that may have been created is closed. */
abandon:
	atomic {
		tries = 0;
		if :: possible :: !possible -> goto done fi
	};
close:
	atomic {
		swap(i, not_run);
		if
		:: answer == swapped ->
#ifdef NO_FINAL
			forget(); goto held
#else
			goto done
#endif
		:: answer == conflict -> forget()
		:: else -> forget(); goto next
		fi
	};
	atomic {
		read_record();
		if
		:: r_state == none -> expect = 0
		:: r_state != none && r_revision <= expect
		:: r_state == open && r_owner == i && r_revision > expect -> expect = r_revision
		:: else -> goto done
		fi;
		forget()
	};
next:
	if
	:: tries < TRIES -> tries++; goto close
	:: else
	fi;
done:
	atomic { forget(); expect = 0; tries = 0; result = 0; asked = false; possible = false }
}

/* Applies or loses the writes under way. */
proctype Network() {
	byte i;
end:
	do
	:: atomic {
		if :: flying[0] -> i = 0 :: flying[1] -> i = 1 fi;
		if :: matches(flight_expect[i]) -> apply(i, flight_state[i]) :: true fi;
		flying[i] = false; flight_state[i] = 0; flight_expect[i] = 0; i = 0
	}
	od
}

/* Lets the claim and its lease lapse once, long after the deadlines of all sendings until then. */
proctype Expiry() {
end:
	atomic {
		state != none && !expired ->
		expired = true;
		gone[owner] = true;
		state = none; owner = 0; revision = 0;
		prev_state = none; prev_owner = 0; prev_revision = 0;
		late[0] = started[0]; late[1] = started[1];
		if :: started[0] -> flying[0] = false; flight_state[0] = 0; flight_expect[0] = 0 :: else fi;
		if :: started[1] -> flying[1] = false; flight_state[1] = 0; flight_expect[1] = 0 :: else fi
	}
}

init {
	atomic { run Sending(0); run Sending(1); run Network(); run Expiry() }
}
