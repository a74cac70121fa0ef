package replica

import (
	"encoding/json"
	"net/http"
	"time"
)

// reservation is memory of an engine that is set aside until it is released or its hold time ends.
type reservation struct {
	tokens    int
	expiresAt time.Time
}

// memoryCommand reserves or releases memory. HoldMS is the hold time of a reservation in milliseconds.
type memoryCommand struct {
	Operation string `json:"operation"`
	ID        string `json:"id"`
	Tokens    int    `json:"tokens"`
	HoldMS    int64  `json:"holdMs"`
}

// serveMemoryCommand releases a reservation, or creates or replaces one on any other operation. It grants each
// reservation: it does not check the size of the memory.
func (p *Replica) serveMemoryCommand(w http.ResponseWriter, r *http.Request) {
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
	if command.Operation == "release" {
		delete(p.reservations, command.ID)
	} else {
		p.reservations[command.ID] = reservation{
			tokens: command.Tokens, expiresAt: time.Now().Add(time.Duration(command.HoldMS) * time.Millisecond),
		}
	}
	w.WriteHeader(http.StatusOK)
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
