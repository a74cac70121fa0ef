/* switches: FENCING REMAINING WAIT READBACK */

/*
 * Orders of two controllers under one lease to an engine that checks fencing numbers and to one that does not. An
 * order can be under way for long, which also stands for a holder that is paused after its last check. Each holder
 * wants its own fencing number as the state of the engines. docs/design/fencing.md maps the steps to functions.
 */

#define TTL 2
#define MARGIN 1
#define WAIT_OUT (TTL + MARGIN)
#define LAST 7 /* no lease lapses or is acquired from this time on */

#define CHECKING 0 /* engine that checks fencing numbers */
#define TRUSTING 1 /* engine that does not */

byte now = 0;
byte owner = 2;       /* holder in the store; 2 for none */
byte lapse = 0;       /* when the lease lapses in the store */
byte fencing = 0;     /* of the last acquisition */
byte seen[2];         /* highest fencing number that reached each engine */
byte state[2];        /* of each engine */

typedef Order {
	bool under_way;
	bool slow;        /* may take longer than the wait of a new holder */
	byte fencing;
	byte sent;
};
Order order[4];       /* of each controller to each engine */

byte held[2];         /* fencing number of each controller; 0 for none */
byte start[2];
byte acquired[2];

#define at(c, e) order[(c) * 2 + (e)]
#define late(o) (order[o].under_way && !order[o].slow && now >= order[o].sent + WAIT_OUT)
#define waiting (owner < 2 && held[owner] > 0 && now < acquired[owner] + WAIT_OUT)

proctype Clock() {
end:
	do
	:: atomic { (now < LAST || waiting) && !late(0) && !late(1) && !late(2) && !late(3) -> now++ }
	od
}

#define lapsed (owner == 2 || (now >= lapse && now < LAST))

#ifdef NO_REMAINING
#define may_act(c) (held[c] > 0)
#else
#define may_act(c) (held[c] > 0 && (now < start[c] + TTL - MARGIN || now >= LAST && owner == c))
#endif

#ifdef NO_WAIT
#define waited(c, e) true
#else
#define waited(c, e) (e == CHECKING || now >= acquired[c] + WAIT_OUT)
#endif

#ifdef NO_READBACK
#define differs(c, e) (!sent[e])
#else
#define differs(c, e) (state[e] != held[c])
#endif

inline send(c, e) {
	at(c, e).under_way = true;
	at(c, e).fencing = held[c];
	at(c, e).sent = now;
	if
	:: at(c, e).slow = true
	:: at(c, e).slow = false
	fi;
	sent[e] = true
}

proctype Controller(byte c) {
	bool sent[2];
end:
	do
	:: atomic { lapsed && owner != c && fencing < 3 ->
		owner = c; lapse = now + TTL; fencing++;
		held[c] = fencing; start[c] = now; acquired[c] = now; sent[0] = false; sent[1] = false }
	:: atomic { owner == c && !lapsed && held[c] > 0 && start[c] < now && now < LAST -> /* renewal */
		lapse = now + TTL; start[c] = now }
	:: atomic { owner != c && held[c] > 0 -> held[c] = 0 } /* notices that the lease is lost, at any later time */
	:: atomic { may_act(c) && !at(c, CHECKING).under_way && differs(c, CHECKING) -> send(c, CHECKING) }
	:: atomic { may_act(c) && !at(c, TRUSTING).under_way && differs(c, TRUSTING) && waited(c, TRUSTING) -> send(c, TRUSTING) }
	od
}

/* Orders arrive; an engine that checks refuses those with an older number than it has seen. */
proctype Arrival(byte c; byte e) {
end:
	do
	:: atomic { at(c, e).under_way ->
		at(c, e).under_way = false;
#ifndef NO_FENCING
		if
		:: e == CHECKING && at(c, e).fencing < seen[e] -> goto end
		:: else
		fi;
#endif
		assert(e == TRUSTING || at(c, e).fencing >= seen[e]);
		/* An order that is not slow never arrives after one of a later holder. */
		assert(at(c, e).slow || at(c, e).fencing >= seen[e]);
		seen[e] = (at(c, e).fencing > seen[e] -> at(c, e).fencing : seen[e]);
		state[e] = at(c, e).fencing }
	od
}

/* In the end both engines are as the last holder wants them. */
proctype Monitor() {
end:
	atomic {
		timeout;
		assert(owner == 2 || held[owner] == 0 || state[CHECKING] == fencing && state[TRUSTING] == fencing)
	}
}

init {
	atomic {
		run Clock(); run Controller(0); run Controller(1); run Monitor();
		run Arrival(0, CHECKING); run Arrival(0, TRUSTING); run Arrival(1, CHECKING); run Arrival(1, TRUSTING)
	}
}
