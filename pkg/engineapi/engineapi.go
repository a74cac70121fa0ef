package engineapi

// BlockTokens is the number of prompt tokens in each prefix block that Submit.Blocks lists.
const BlockTokens = 1024

// Kinds of allocations, which are also the last part of their ids.
const (
	KindSequence    = "sequence"    // memory of a submitted attempt
	KindReservation = "reservation" // memory that is reserved for an attempt
	KindExport      = "export"      // KV memory of a finished prefill that other engines can import
)

// Kinds of frames, sent as the name of the SSE event.
const (
	FrameToken     = "token"     // output tokens
	FrameHeartbeat = "heartbeat" // sent at intervals, also while there is no output
	FrameEnd       = "end"       // end marker of a complete response
	FrameError     = "error"     // the attempt failed
)

// Kinds of refusals.
const (
	RefusalMemory   = "out_of_memory"      // not enough memory
	RefusalBusy     = "busy"               // the queue is full, or the prefill to export has not ended
	RefusalLeaving  = "leaving"            // the engine is leaving and accepts no new work
	RefusalFencing  = "old_fencing_number" // the engine has seen a higher fencing number
	RefusalModel    = "model_not_loaded"   // the model or adapter is not loaded
	RefusalNotFound = "not_found"          // no such sequence or allocation
	RefusalInvalid  = "invalid"            // the request is not valid, or its allocation was released before
)

// The messages of the engine interface. Memory is in bytes, durations are in milliseconds, and prompt lengths are in
// tokens.
type (
	// Owner identifies the attempt that memory is held for, and the entry host that made it.
	Owner struct {
		Host        string `json:"host"`
		Incarnation uint64 `json:"incarnation"`
		Request     string `json:"request"`
		Attempt     uint32 `json:"attempt"`
	}

	// Submit asks an engine to run one attempt of a request.
	Submit struct {
		Owner
		Workspace    string   `json:"workspace"`
		Model        string   `json:"model"`
		Adapter      string   `json:"adapter,omitempty"`
		Prompt       string   `json:"prompt"`
		PromptTokens int64    `json:"prompt_tokens"`
		MaxTokens    int64    `json:"max_tokens"`
		Blocks       []uint64 `json:"blocks,omitempty"`       // hash of each complete prefix block of the prompt
		Priority     int      `json:"priority"`               // higher runs first
		ExpiryMS     int64    `json:"expiry_ms"`              // time until the memory expires; 0 means never
		Reservation  string   `json:"reservation,omitempty"`  // id of the reservation that the attempt uses; "" if none
		Imports      []Import `json:"imports,omitempty"`      // prefill parts that other engines have exported
		PrefillOnly  bool     `json:"prefill_only,omitempty"` // ends after the prefill, without output
	}

	// Import identifies exported KV memory on another engine that a sequence imports.
	Import struct {
		Server     string `json:"server"`     // name of the engine that holds the memory
		Allocation string `json:"allocation"` // id of the export
		Tokens     int64  `json:"tokens"`     // prompt tokens that the memory covers
	}

	// Frame is one SSE event of a response. Offset is the number of output tokens before it.
	Frame struct {
		Request      string `json:"request"`
		Attempt      uint32 `json:"attempt"`
		Offset       int64  `json:"offset"`
		Text         string `json:"text,omitempty"`
		Tokens       int64  `json:"tokens,omitempty"`        // output tokens in Text
		Length       int64  `json:"length,omitempty"`        // output tokens in total; set in the end frame
		FinishReason string `json:"finish_reason,omitempty"` // set in the end frame
		CachedTokens int64  `json:"cached_tokens,omitempty"` // prompt tokens that were found in the prefix cache
		Message      string `json:"message,omitempty"`       // cause; set in the error frame
	}

	// Status is the progress of an attempt. State is queued, prefill, decode, done, canceled or failed.
	Status struct {
		Owner
		State  string `json:"state"`
		Offset int64  `json:"offset"` // output tokens so far
		Length int64  `json:"length"` // output tokens of the complete response; 0 before it is done
	}

	// Reserve asks an engine to reserve memory for an attempt until it is released or expires.
	Reserve struct {
		Owner
		Model    string `json:"model"`
		Bytes    int64  `json:"bytes"`
		ExpiryMS int64  `json:"expiry_ms"` // time until the memory expires; 0 means never
	}

	// Allocation is memory that an engine holds for an attempt.
	Allocation struct {
		Owner
		ID       string `json:"id"`
		Kind     string `json:"kind"`
		Bytes    int64  `json:"bytes"`
		ExpiryMS int64  `json:"expiry_ms"` // time left until the memory expires; 0 means never
	}

	// Allocations lists all memory that an engine holds for attempts.
	Allocations struct {
		Allocations []Allocation `json:"allocations"`
	}

	// Released confirms that an allocation no longer holds memory. Bytes is the memory that the release freed.
	Released struct {
		ID    string `json:"id"`
		Bytes int64  `json:"bytes"`
	}

	// Load is an engine's report on its own load.
	Load struct {
		Server           string   `json:"server"`
		Epoch            uint64   `json:"epoch"` // greater after each start of the engine
		Models           []string `json:"models"`
		Role             string   `json:"role"`
		Leaving          bool     `json:"leaving"`
		MemoryBytes      int64    `json:"memory_bytes"`
		HeldBytes        int64    `json:"held_bytes"`  // held for attempts, with the cached blocks that they use
		CacheBytes       int64    `json:"cache_bytes"` // held by the other cached blocks
		KVBytesPerToken  int64    `json:"kv_bytes_per_token"`
		Running          int      `json:"running"`                   // number of running sequences
		QueuedTokens     int64    `json:"queued_tokens"`             // prompt tokens that are not prefilled yet
		PrefillPerSecond float64  `json:"prefill_tokens_per_second"` // prefill rate
		DecodePerSecond  float64  `json:"decode_tokens_per_second"`  // decode rate of one sequence, in output tokens
		AgeMS            int64    `json:"age_ms"`                    // age of the report
	}

	// CacheEvent reports that a prefix block was stored in or evicted from the prefix cache. A gap in Sequence means
	// that events were lost.
	CacheEvent struct {
		Sequence uint64 `json:"sequence"`
		Block    uint64 `json:"block"`
		Stored   bool   `json:"stored"` // false means evicted
	}

	// CacheEvents is a batch of cache events. Epoch is the same as in Load.
	CacheEvents struct {
		Epoch  uint64       `json:"epoch"`
		Events []CacheEvent `json:"events"`
	}

	// Command is a command that declares a desired state of an engine. Repeating it is idempotent. An engine that checks
	// fencing numbers refuses a command with a lower one than it has seen.
	Command struct {
		Fencing       uint64 `json:"fencing"`
		FailureDomain string `json:"failure_domain"`
		Kind          string `json:"kind"` // load_model, unload_model, load_adapter, unload_adapter or set_role
		Model         string `json:"model,omitempty"`
		Version       string `json:"version,omitempty"`
		Adapter       string `json:"adapter,omitempty"`
		Role          string `json:"role,omitempty"`
	}

	// CommandResult confirms a command. Fencing is the highest fencing number that the engine has seen.
	CommandResult struct {
		Fencing uint64 `json:"fencing"`
	}

	// Loaded is a model, or an adapter of it, that an engine has loaded.
	Loaded struct {
		Model   string `json:"model"`
		Version string `json:"version"`
		Adapter string `json:"adapter,omitempty"`
	}

	// State is the role of an engine, what it has loaded and the highest fencing number that it has seen.
	State struct {
		Fencing       uint64   `json:"fencing"`
		ChecksFencing bool     `json:"checks_fencing"` // whether the engine refuses commands with a lower fencing number
		Role          string   `json:"role"`
		Loaded        []Loaded `json:"loaded"`
	}

	// Refusal is the body of an HTTP error response. The refused request has not run.
	Refusal struct {
		Kind    string `json:"kind"`
		Message string `json:"message"`
	}

	// Faults selects the faults that the stand-in simulates. It replaces the faults that were set before.
	Faults struct {
		SilentConnections bool   `json:"silent_connections"` // open connections carry no more data; new ones work
		Frozen            bool   `json:"frozen"`             // no request gets a response
		CrashOn           string `json:"crash_on"`           // the process exits when it runs a prompt with this text
		LateMS            int64  `json:"late_ms"`            // delay of each response
		IgnoreFencing     bool   `json:"ignore_fencing"`     // commands with a lower fencing number are not refused
		DropEndMarker     bool   `json:"drop_end_marker"`    // streams end without an end or error frame
		CrossAnswers      bool   `json:"cross_answers"`      // some frames in a stream belong to another attempt
		Leaving           bool   `json:"leaving"`            // the engine reports that it is leaving and refuses work
		LoseReleases      int    `json:"lose_releases"`      // number of releases that fail before they take effect
	}
)
