package replica

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"
)

// reservation is memory of an engine that is set aside until it is released or its hold time ends.
type reservation struct {
	tokens    int
	expiresAt time.Time
}

// Command is a memory command that a stand-in replica has accepted.
type Command struct {
	Operation string // reserve or release
	Ticket    string
	Tokens    int
}

// memoryCommand reserves or releases memory. HoldMS is the hold time of a reservation in milliseconds.
type memoryCommand struct {
	Operation string `json:"operation"`
	ID        string `json:"id"`
	Tokens    int    `json:"tokens"`
	HoldMS    int64  `json:"holdMs"`
}

// serveMemoryCommand releases a reservation, or creates or replaces one on any other operation. It grants each
// reservation: it does not check the size of the memory. It responds with status 421 to a command that names another replica.
func (p *Replica) serveMemoryCommand(w http.ResponseWriter, r *http.Request) {
	if p.refusesMisdirected(w, r) {
		p.misdirected.Add(1)
		return
	}
	var command memoryCommand
	if err := json.NewDecoder(r.Body).Decode(&command); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.reservations == nil {
		p.reservations = make(map[string]reservation)
	}
	p.commands = append(p.commands, Command{Operation: command.Operation, Ticket: command.ID, Tokens: command.Tokens})
	if command.Operation == "release" {
		delete(p.reservations, command.ID)
	} else {
		p.reservations[command.ID] = reservation{
			tokens: command.Tokens, expiresAt: time.Now().Add(time.Duration(command.HoldMS) * time.Millisecond),
		}
	}
	w.WriteHeader(http.StatusOK)
}

// Commands returns the memory commands that the replica has accepted, in order.
func (p *Replica) Commands() []Command {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.commands)
}

// HasReserved reports whether the replica has reserved memory for the request with the given ID, with which its ticket begins.
func (p *Replica) HasReserved(id string) bool {
	return slices.ContainsFunc(p.Commands(), func(c Command) bool {
		return c.Operation == "reserve" && strings.HasPrefix(c.Ticket, id+"-")
	})
}

// MisdirectedCommands returns how many memory commands named another replica.
func (p *Replica) MisdirectedCommands() int { return int(p.misdirected.Load()) }

// holds reports whether the replica has granted the ticket of a Helpers entry; the empty one needs no grant.
func (p *Replica) holds(ticket string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	held, ok := p.reservations[ticket]
	return ticket == "" || ok && time.Now().Before(held.expiresAt)
}

// Reserved returns the sum of the reservations that have not expired, in tokens.
func (p *Replica) Reserved() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	sum := 0
	for _, held := range p.reservations {
		if time.Now().Before(held.expiresAt) {
			sum += held.tokens
		}
	}
	return sum
}
