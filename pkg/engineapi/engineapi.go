package engineapi

// BlockTokens is the number of prompt tokens that each of the Blocks of a Submit covers.
const BlockTokens = 1024

// Allocation kinds.
const (
	KindSequence    = "sequence"
	KindReservation = "reservation"
	KindExport      = "export"
)

// Frame kinds, sent as the SSE event name.
const (
	FrameToken     = "token"
	FrameHeartbeat = "heartbeat"
	FrameEnd       = "end"
	FrameError     = "error"
)

// Refusal kinds.
const (
	RefusalMemory   = "out_of_memory"
	RefusalBusy     = "busy"
	RefusalLeaving  = "leaving"
	RefusalFencing  = "old_fencing_number"
	RefusalModel    = "model_not_loaded"
	RefusalNotFound = "not_found"
	RefusalInvalid  = "invalid"
)

// The messages of the engine interface. Byte counts are in bytes, durations in milliseconds, prompts in tokens.
type (
	// Owner names the attempt on whose behalf memory is held.
	Owner struct {
		Host        string `json:"host"`
		Incarnation uint64 `json:"incarnation"`
		Request     string `json:"request"`
		Attempt     uint32 `json:"attempt"`
	}

	// Submit asks an engine to run one attempt of a prompt.
	Submit struct {
		Owner
		Workspace    string   `json:"workspace"`
		Model        string   `json:"model"`
		Adapter      string   `json:"adapter,omitempty"`
		Prompt       string   `json:"prompt"`
		PromptTokens int64    `json:"prompt_tokens"`
		MaxTokens    int64    `json:"max_tokens"`
		Blocks       []uint64 `json:"blocks,omitempty"`
		Priority     int      `json:"priority"`
		ExpiryMS     int64    `json:"expiry_ms"`
		Reservation  string   `json:"reservation,omitempty"`
		Imports      []Import `json:"imports,omitempty"`
		PrefillOnly  bool     `json:"prefill_only,omitempty"`
	}

	// Import names exported KV memory on another engine that a sequence reads.
	Import struct {
		Server     string `json:"server"`
		Allocation string `json:"allocation"`
		Tokens     int64  `json:"tokens"`
	}

	// Frame is one SSE event of an answer; Offset counts output tokens before it.
	Frame struct {
		Request      string `json:"request"`
		Attempt      uint32 `json:"attempt"`
		Offset       int64  `json:"offset"`
		Text         string `json:"text,omitempty"`
		Tokens       int64  `json:"tokens,omitempty"`
		Length       int64  `json:"length,omitempty"`
		FinishReason string `json:"finish_reason,omitempty"`
		CachedTokens int64  `json:"cached_tokens,omitempty"`
		Message      string `json:"message,omitempty"`
	}

	// Status tells how far an attempt has come; State is queued, prefill, decode, done, canceled or failed.
	Status struct {
		Owner
		State  string `json:"state"`
		Offset int64  `json:"offset"`
		Length int64  `json:"length"`
	}

	// Reserve holds memory for an attempt until it is released or expires.
	Reserve struct {
		Owner
		Model    string `json:"model"`
		Bytes    int64  `json:"bytes"`
		ExpiryMS int64  `json:"expiry_ms"`
	}

	// Allocation is memory that an engine holds for an owner.
	Allocation struct {
		Owner
		ID       string `json:"id"`
		Kind     string `json:"kind"`
		Bytes    int64  `json:"bytes"`
		ExpiryMS int64  `json:"expiry_ms"`
	}

	// Allocations lists all memory held for owners.
	Allocations struct {
		Allocations []Allocation `json:"allocations"`
	}

	// Released confirms that an allocation holds no memory any more.
	Released struct {
		ID    string `json:"id"`
		Bytes int64  `json:"bytes"`
	}

	// Load is the engine's own report about itself.
	Load struct {
		Server           string   `json:"server"`
		Epoch            uint64   `json:"epoch"`
		Models           []string `json:"models"`
		Role             string   `json:"role"`
		Leaving          bool     `json:"leaving"`
		MemoryBytes      int64    `json:"memory_bytes"`
		HeldBytes        int64    `json:"held_bytes"`
		CacheBytes       int64    `json:"cache_bytes"`
		KVBytesPerToken  int64    `json:"kv_bytes_per_token"`
		Running          int      `json:"running"`
		QueuedTokens     int64    `json:"queued_tokens"`
		PrefillPerSecond float64  `json:"prefill_tokens_per_second"`
		DecodePerSecond  float64  `json:"decode_tokens_per_second"`
		AgeMS            int64    `json:"age_ms"`
	}

	// CacheEvent tells that a prefix block was stored or evicted; gaps in Sequence are lost events.
	CacheEvent struct {
		Sequence uint64 `json:"sequence"`
		Block    uint64 `json:"block"`
		Stored   bool   `json:"stored"`
	}

	// CacheEvents is a batch of cache events.
	CacheEvents struct {
		Epoch  uint64       `json:"epoch"`
		Events []CacheEvent `json:"events"`
	}

	// Order declares a wanted state of an engine; repeating an order is idempotent.
	Order struct {
		Fencing uint64 `json:"fencing"`
		Domain  string `json:"failure_domain"`
		Kind    string `json:"kind"` // load_model, unload_model, load_adapter, unload_adapter or set_role
		Model   string `json:"model,omitempty"`
		Version string `json:"version,omitempty"`
		Adapter string `json:"adapter,omitempty"`
		Role    string `json:"role,omitempty"`
	}

	// OrderResult confirms an order.
	OrderResult struct {
		Fencing uint64 `json:"fencing"`
	}

	// Loaded is a model or adapter in an engine's memory.
	Loaded struct {
		Model   string `json:"model"`
		Version string `json:"version"`
		Adapter string `json:"adapter,omitempty"`
	}

	// State is what an engine has loaded and the highest fencing number it has seen.
	State struct {
		Fencing uint64   `json:"fencing"`
		Checks  bool     `json:"checks_fencing"`
		Role    string   `json:"role"`
		Loaded  []Loaded `json:"loaded"`
	}

	// Refusal is the body of an HTTP error; nothing ran.
	Refusal struct {
		Kind    string `json:"kind"`
		Message string `json:"message"`
	}

	// Faults switches misbehavior of the stand-in on and off.
	Faults struct {
		SilentConnections bool   `json:"silent_connections"` // open connections carry nothing more; new ones work
		Frozen            bool   `json:"frozen"`             // nothing answers
		CrashOn           string `json:"crash_on"`           // exit when a prompt contains this text
		LateMS            int64  `json:"late_ms"`            // delay of each answer
		IgnoreFencing     bool   `json:"ignore_fencing"`
		DropEndMarker     bool   `json:"drop_end_marker"`
		CrossAnswers      bool   `json:"cross_answers"` // frames carry another attempt now and then
		Leaving           bool   `json:"leaving"`
		LoseReleases      int    `json:"lose_releases"` // this many releases fail before they take effect
	}
)
