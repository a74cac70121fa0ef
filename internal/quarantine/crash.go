package quarantine

import (
	"slices"
	"time"
)

// Crash is an attempt that broke off at a replica.
type Crash struct {
	Content Content       `cbor:"1,keyasint"`
	Replica string        `cbor:"2,keyasint"`           // names the replica's incarnation
	Age     time.Duration `cbor:"3,keyasint,omitempty"` // time since then; only in what Crashes returns
	// Early says that the replica had not written the response for long, so that the parts of the prompt may be the cause.
	Early bool `cbor:"4,keyasint,omitempty"`
	// Host is the entry host whose attempt it was.
	Host string `cbor:"5,keyasint,omitempty"`
	// PathLost says that the host couldn't connect to the replica any more, so that the path may have failed. The attempt counts
	// only if Down is called.
	PathLost bool `cbor:"6,keyasint,omitempty"`

	at         time.Time
	completed  bool      // the same request was completed later, so that it isn't the cause
	survivedAt time.Time // when the replica sent something first since, so that it didn't crash; zero if it hasn't
}

// counts reports whether the replica seems to have crashed.
func (c *Crash) counts() bool { return !c.survived() && !c.PathLost }

// survived reports whether the replica has sent something since.
func (c *Crash) survived() bool { return !c.survivedAt.IsZero() }

// silentReplica is when the first attempt at a replica broke off that has sent nothing since.
type silentReplica struct {
	replica string
	at      time.Time
}

// Crashed records an attempt that broke off, which needn't have crashed its replica. It does nothing if the attempt is
// known already.
func (t *Table) Crashed(now time.Time, c Crash) {
	t.sweep(now)
	c.at = now.Add(-c.Age)
	c.Age = 0
	known := slices.ContainsFunc(t.crashes, func(other Crash) bool {
		return other.Replica == c.Replica && other.Content.Request == c.Content.Request
	})
	if known || now.Sub(c.at) > crashRetention {
		return
	}
	if len(t.crashes) >= maxCrashes {
		t.crashes = slices.Delete(t.crashes, 0, 1)
	}
	c.PathLost = c.PathLost && !t.isDown(now, c.Replica)
	t.crashes = append(t.crashes, c)
	t.expectSign(c.Replica, c.at)
	t.renewProbed(now, &c.Content)
	t.judgeRequest(now, c.Content.Request)
	if c.Early && len(c.Content.Parts) > 0 {
		t.judgeAt(c.at.Add(decisionDelay))
	}
	t.decide(now)
}

// Alive records that a replica has sent something, so that earlier attempts that broke off there didn't crash it.
func (t *Table) Alive(now time.Time, replica string) {
	i := slices.IndexFunc(t.replicas, func(r silentReplica) bool { return r.replica == replica })
	if i < 0 || now.Sub(t.replicas[i].at) < reportDelay {
		return
	}
	t.replicas = slices.Delete(t.replicas, i, i+1)
	for j := range t.crashes {
		c := &t.crashes[j]
		if !c.survived() && c.Replica == replica && now.Sub(c.at) >= reportDelay {
			c.survivedAt = now
		}
	}
}

const (
	// The shortest time from a crash until the replica has started anew.
	leastRestart = time.Second
	// The longest time for which a replica that has started anew is known by its earlier incarnation.
	restartDelay = 2 * time.Second
)

// Restarted records that a replica has started anew, so that attempts at the earlier incarnation that broke off lately do count.
// What was seen of it just before may have been the new start, of which its entry didn't tell yet: signs of life, and attempts that
// broke off after others.
func (t *Table) Restarted(now time.Time, earlier, later string) {
	t.Down(now, earlier)
	var first time.Time // when the first attempt broke off there
	for i := range t.crashes {
		c := &t.crashes[i]
		if c.Replica != earlier {
			continue
		}
		if c.survived() && c.survivedAt.Sub(c.at) >= leastRestart && now.Sub(c.survivedAt) < restartDelay {
			c.survivedAt = time.Time{}
			t.judgeAt(now)
		}
		if first.IsZero() || c.at.Before(first) {
			first = c.at
		}
	}
	for i := range t.crashes {
		c := &t.crashes[i]
		if c.Replica != earlier || c.at.Sub(first) < leastRestart || now.Sub(c.at) >= restartDelay {
			continue
		}
		c.Replica = later
		t.expectSign(later, c.at)
		t.judgeAt(now)
	}
}

// expectSign records that an attempt has broken off at a replica, which hasn't sent anything since.
func (t *Table) expectSign(replica string, at time.Time) {
	if !slices.ContainsFunc(t.replicas, func(r silentReplica) bool { return r.replica == replica }) {
		t.replicas = append(t.replicas, silentReplica{replica: replica, at: at})
	}
}

// withdrawalTime is how long before a host was found to have lost its paths to replicas its attempts may have broken off for
// that reason.
const withdrawalTime = 2 * time.Second

// Withdraw records that a host has lost its paths to replicas, so that its attempts that broke off lately needn't have crashed
// any: they count only if Down is called.
func (t *Table) Withdraw(now time.Time, host string) {
	for i := range t.crashes {
		c := &t.crashes[i]
		c.PathLost = c.PathLost || c.Host == host && now.Sub(c.at) < withdrawalTime && !t.isDown(now, c.Replica)
	}
}

// isDown reports whether Down was called for the replica lately.
func (t *Table) isDown(now time.Time, replica string) bool {
	at, ok := t.down[replica]
	return ok && now.Sub(at) < crashRetention
}

// Down records that several hosts can't reach a replica in any way, so that attempts which broke off there lately do count.
func (t *Table) Down(now time.Time, replica string) {
	t.down[replica] = now
	for i := range t.crashes {
		c := &t.crashes[i]
		if c.Replica == replica && c.PathLost && now.Sub(c.at) < crashRetention {
			c.PathLost = false
			t.judgeAt(now)
		}
	}
}

// Crashes returns the attempts of the last minute that broke off and may have crashed their replicas, for another table.
func (t *Table) Crashes(now time.Time) []Crash {
	t.sweep(now)
	crashes := slices.DeleteFunc(slices.Clone(t.crashes), func(c Crash) bool { return c.survived() })
	for i := range crashes {
		crashes[i].Age = now.Sub(crashes[i].at)
	}
	return crashes
}
