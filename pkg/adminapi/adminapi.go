package adminapi

import "time"

// The messages of the operators' interface.
type (
	// HostVersion is the configuration that a host has in force; Error is set when it does not answer.
	HostVersion struct {
		Host          string `json:"host"`
		FailureDomain string `json:"failure_domain"`
		Revision      uint64 `json:"revision"`
		Digest        string `json:"digest"`
		Error         string `json:"error,omitempty"`
	}

	// Configuration lists the sections in force on the host that answers.
	Configuration struct {
		Revision uint64    `json:"revision"`
		Digest   string    `json:"digest"`
		Sections []Section `json:"sections"`
	}

	// Section is one section; Body is its JSON.
	Section struct {
		Section  string `json:"section"`
		Revision uint64 `json:"revision"`
		Digest   string `json:"digest"`
		Body     string `json:"body,omitempty"`
	}

	// Change is a new body for a section; Base is the section's revision that its author started from.
	Change struct {
		ID     string `json:"id,omitempty"` // repeating a change with its id is idempotent
		Base   uint64 `json:"base"`
		Reason string `json:"reason"`
		Body   string `json:"body"` // JSON with comments
	}

	// Accepted tells that a change is accepted under a revision of the whole configuration.
	Accepted struct {
		ID       string `json:"id"`
		Revision uint64 `json:"revision"`
	}

	// Record is the audit record of one accepted change.
	Record struct {
		Revision uint64    `json:"revision"`
		Section  string    `json:"section"`
		Author   string    `json:"author"`
		Time     time.Time `json:"time"`
		Reason   string    `json:"reason"`
		ID       string    `json:"id"`
		Before   string    `json:"before,omitempty"`
		After    string    `json:"after"`
		Diff     string    `json:"diff,omitempty"`
	}

	// Failure is the body of an error; Diff is set when another change came first.
	Failure struct {
		Kind    string `json:"kind"`
		Message string `json:"message"`
		Diff    string `json:"diff,omitempty"`
	}

	// Status is what a host believes about itself and the others.
	Status struct {
		Host           string          `json:"host"`
		Incarnation    uint64          `json:"incarnation"`
		FailureDomain  string          `json:"failure_domain"`
		Region         string          `json:"region"`
		Version        string          `json:"version"`
		Ready          bool            `json:"ready"`
		Stopping       bool            `json:"stopping"`
		Edge           bool            `json:"edge"` // watches the platform for its failure domain
		ActiveRequests int64           `json:"active_requests"`
		ReleasesLeft   int             `json:"releases_pending"`
		Configuration  HostVersion     `json:"configuration"`
		HostListIndex  uint64          `json:"host_list_index"`
		Members        []Member        `json:"members"`
		BackendServers []BackendServer `json:"backend_servers"`
		Grants         []Grant         `json:"grants"` // in use by this host
	}

	// Member is an entry host; State is alive, suspect, leaving or dead.
	Member struct {
		Host          string `json:"host"`
		Address       string `json:"address"`
		FailureDomain string `json:"failure_domain"`
		Incarnation   uint64 `json:"incarnation"`
		State         string `json:"state"`
	}

	// BackendServer is an engine with the row of its scheduler.
	BackendServer struct {
		Name          string   `json:"name"`
		Address       string   `json:"address"`
		FailureDomain string   `json:"failure_domain"`
		Scheduler     string   `json:"scheduler"`
		Models        []string `json:"models"`
		WaitMS        int64    `json:"wait_ms"`
		FreeBytes     int64    `json:"free_bytes"`
		Running       int      `json:"running"`
		QueuedTokens  int64    `json:"queued_tokens"`
		Long          bool     `json:"long"`
		Leaving       bool     `json:"leaving"`
		Unhealthy     bool     `json:"unhealthy"`
		AgeMS         int64    `json:"age_ms"` // of the row; -1 when there is none
	}

	// Grant is a grant in use.
	Grant struct {
		BackendServer string `json:"backend_server"`
		Request       string `json:"request"`
		Attempt       uint32 `json:"attempt"`
		Workspace     string `json:"workspace"`
		PromptTokens  int64  `json:"prompt_tokens"`
		ExpiryMS      int64  `json:"expiry_ms"`
	}
)
