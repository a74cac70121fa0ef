package document

import "time"

// Names of the sections. Each section can be assigned to its own operators.
const (
	SectionModels        Section = "models"
	SectionWorkspaces    Section = "workspaces"
	SectionNonIdempotent Section = "non_idempotent"
	SectionServices      Section = "services"
	SectionEngines       Section = "engines"
	SectionScheduling    Section = "scheduling"
)

// Objectives that a deployment may choose.
const (
	ObjectiveFirstToken    Objective = "first_token"    // favors the time to the first token
	ObjectiveShortSlowdown Objective = "short_slowdown" // favors a low slowdown of short prompts
)

// Prompt lengths in tokens above which a prompt counts as long under each Objective.
const (
	shortSlowdownLongTokens = 16_000
	firstTokenLongTokens    = 100_000
)

type (
	// Section names a part of the document.
	Section string

	// Objective names the measure that scheduling favors.
	Objective string

	// Document is the complete configuration. A section that is absent has its zero value.
	Document struct {
		Models        []Model             `json:"models"`
		Workspaces    []Workspace         `json:"workspaces"`
		NonIdempotent []NonIdempotentRule `json:"non_idempotent"`
		Services      []Service           `json:"services"`
		Engines       Engines             `json:"engines"`
		Scheduling    Scheduling          `json:"scheduling"`
	}

	// Model is a model that callers may request.
	Model struct {
		Name            string   `json:"name"`
		Version         string   `json:"version"`
		Adapters        []string `json:"adapters,omitempty"`
		MaxPromptTokens int64    `json:"max_prompt_tokens"`
		MaxOutputTokens int64    `json:"max_output_tokens"`
		BytesPerToken   float64  `json:"bytes_per_token"`    // bytes of prompt text per token, used until measured
		KVBytesPerToken int64    `json:"kv_bytes_per_token"` // bytes of engine memory per token, used until reported
		Replicas        int      `json:"replicas,omitempty"` // engines per failure domain that load it; 0 means all
	}

	// Workspace is a customer of the system, with its share of the capacity, its limits and its keys.
	Workspace struct {
		Name            string `json:"name"`
		Share           int    `json:"share"`             // weight relative to other workspaces
		TokensPerMinute int64  `json:"tokens_per_minute"` // in each failure domain; 0 means no limit
		MaxInFlight     int    `json:"max_in_flight"`     // in each failure domain; 0 means no limit
		// KeyDigests are the SHA-256 of each bearer key. No key is needed if the field is missing; if it is an empty list, no
		// key is valid.
		KeyDigests []string `json:"key_digests,omitzero"`
	}

	// NonIdempotentRule marks calls of a plain service that must not be repeated, since they are not idempotent.
	NonIdempotentRule struct {
		Service    string `json:"service"`
		Method     string `json:"method"`
		PathPrefix string `json:"path_prefix"`
	}

	// Service is a plain service: one that is not an inference engine.
	Service struct {
		Name     string   `json:"name"`
		Deadline Duration `json:"deadline"`
	}

	// Engines holds the settings for controlling the engines.
	//
	// LoadsPerMinute limits the loads from the weight store; all failure domains share the limit, and 0 means the default.
	// LongPromptEngines is the number of engines for long prompts per failure domain and model; 0 means as many as the
	// demand requires.
	Engines struct {
		Unfenced          []string `json:"unfenced,omitempty"` // names of engines that do not check fencing numbers
		LoadsPerMinute    float64  `json:"loads_per_minute"`
		LongPromptEngines int      `json:"long_engines,omitempty"`
	}

	// Scheduling holds the measure that scheduling favors and the default deadline of each class.
	Scheduling struct {
		Objective           Objective `json:"weight"`
		InteractiveDeadline Duration  `json:"interactive_deadline"`
		StandardDeadline    Duration  `json:"standard_deadline"`
		BatchDeadline       Duration  `json:"batch_deadline"`
	}

	// Duration is a time.Duration that is encoded as text, such as "30s".
	Duration time.Duration
)

// LongTokens returns the prompt length in tokens above which prompts run only on the engines for long prompts.
func (o Objective) LongTokens() int64 {
	if o == ObjectiveShortSlowdown {
		return shortSlowdownLongTokens
	}
	return firstTokenLongTokens
}

// MarshalText encodes d in the format of time.Duration.String.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText decodes d from the format that time.ParseDuration accepts.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(v)
	return nil
}
