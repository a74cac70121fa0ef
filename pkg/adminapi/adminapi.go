package adminapi

import "time"

// The messages of the operators' interface.
type (
	// HostVersion is the version of the configuration that is active on a host. If the host does not respond, Error is
	// set and Revision and Digest are not.
	HostVersion struct {
		Host          string `json:"host"`
		FailureDomain string `json:"failure_domain"`
		Revision      uint64 `json:"revision"`
		Digest        string `json:"digest"`
		Error         string `json:"error,omitempty"`
	}

	// Configuration lists the sections that are active on the host that responds, without their bodies.
	Configuration struct {
		Revision uint64    `json:"revision"`
		Digest   string    `json:"digest"`
		Sections []Section `json:"sections"`
	}

	// Section is one section of the configuration. Body is its JSON; it is empty in a Configuration.
	Section struct {
		Section  string `json:"section"`
		Revision uint64 `json:"revision"`
		Digest   string `json:"digest"`
		Body     string `json:"body,omitempty"`
	}

	// Change is a new body for a section. Base is the revision of the section that the author started from; the change
	// is refused if another one has come after it.
	Change struct {
		ID           string `json:"id,omitempty"` // id of the change; repeating a change with the same id is idempotent
		BaseRevision uint64 `json:"base"`
		Reason       string `json:"reason"`
		Body         string `json:"body"` // JSON with comments
	}

	// Accepted confirms a change. Revision is the revision of the whole configuration with the change.
	Accepted struct {
		ID       string `json:"id"`
		Revision uint64 `json:"revision"`
	}

	// Record is the audit record of one accepted change. Revision is the revision of the whole configuration with the
	// change.
	Record struct {
		Revision     uint64    `json:"revision"`
		Section      string    `json:"section"`
		Author       string    `json:"author"`
		Time         time.Time `json:"time"`
		Reason       string    `json:"reason"`
		ID           string    `json:"id"`
		BeforeDigest string    `json:"before,omitempty"` // digest of the previous body; empty if the section is new
		AfterDigest  string    `json:"after"`            // digest of the new body
		Diff         string    `json:"diff,omitempty"`
	}

	// ErrorResponse is the body of an error response. Diff is set if another change of the section came first.
	ErrorResponse struct {
		Kind    string `json:"kind"`
		Message string `json:"message"`
		Diff    string `json:"diff,omitempty"`
	}

	// Status is the state of a host and its view of the other hosts and the backend servers.
	Status struct {
		Host            string          `json:"host"`
		Incarnation     uint64          `json:"incarnation"`
		FailureDomain   string          `json:"failure_domain"`
		Region          string          `json:"region"`
		Version         string          `json:"version"`
		Ready           bool            `json:"ready"`
		Stopping        bool            `json:"stopping"`
		Edge            bool            `json:"edge"` // watches the platform for its failure domain
		ActiveRequests  int64           `json:"active_requests"`
		PendingReleases int             `json:"releases_pending"` // unconfirmed releases of engine memory
		Configuration   HostVersion     `json:"configuration"`
		HostListIndex   uint64          `json:"host_list_index"` // index of the platform's host list; 0 means none
		Members         []Member        `json:"members"`
		BackendServers  []BackendServer `json:"backend_servers"`
		Grants          []Grant         `json:"grants"` // that the host holds
	}

	// Member is an entry host as the responding host sees it. State is alive, suspect, leaving or dead.
	Member struct {
		Host          string `json:"host"`
		Address       string `json:"address"`
		FailureDomain string `json:"failure_domain"`
		Incarnation   uint64 `json:"incarnation"`
		State         string `json:"state"`
	}

	// BackendServer is an engine with the latest row of its scheduler, which summarizes its load.
	BackendServer struct {
		Name           string   `json:"name"`
		Address        string   `json:"address"`
		FailureDomain  string   `json:"failure_domain"`
		Scheduler      string   `json:"scheduler"`
		Models         []string `json:"models"`
		WaitMS         int64    `json:"wait_ms"`       // predicted wait of a short interactive prompt
		FreeBytes      int64    `json:"free_bytes"`    // memory that is free
		Running        int      `json:"running"`       // number of running attempts
		QueuedTokens   int64    `json:"queued_tokens"` // prompt tokens of the requests that wait for a grant
		ForLongPrompts bool     `json:"long"`          // belongs to the servers for long prompts
		Leaving        bool     `json:"leaving"`
		Unhealthy      bool     `json:"unhealthy"`
		AgeMS          int64    `json:"age_ms"` // age of the row; -1 if there is none
	}

	// Grant is a grant that a host holds for an attempt.
	Grant struct {
		BackendServer string `json:"backend_server"`
		Request       string `json:"request"`
		Attempt       uint32 `json:"attempt"`
		Workspace     string `json:"workspace"`
		PromptTokens  int64  `json:"prompt_tokens"`
		ExpiryMS      int64  `json:"expiry_ms"`
	}
)
