package document

import "time"

// Names of the sections; each has its own owners.
const (
	SectionModels        Section = "models"
	SectionWorkspaces    Section = "workspaces"
	SectionNonIdempotent Section = "non_idempotent"
	SectionServices      Section = "services"
	SectionEngines       Section = "engines"
	SectionScheduling    Section = "scheduling"
)

// Weights that a deployment may choose.
const (
	WeightFirstToken    Weight = "first_token"
	WeightShortSlowdown Weight = "short_slowdown"
)

const (
	shortSlowdownLongTokens = 16_000
	firstTokenLongTokens    = 100_000
)

type (
	// Section names a part of the document.
	Section string

	// Weight names what scheduling favors.
	Weight string

	// Document is the whole configuration; an absent section holds its zero value.
	Document struct {
		Models        []Model     `json:"models"`
		Workspaces    []Workspace `json:"workspaces"`
		NonIdempotent []Rule      `json:"non_idempotent"`
		Services      []Service   `json:"services"`
		Engines       Engines     `json:"engines"`
		Scheduling    Scheduling  `json:"scheduling"`
	}

	// Model is a model that callers may name.
	Model struct {
		Name            string   `json:"name"`
		Version         string   `json:"version"`
		Adapters        []string `json:"adapters,omitempty"`
		MaxPromptTokens int64    `json:"max_prompt_tokens"`
		MaxOutputTokens int64    `json:"max_output_tokens"`
		BytesPerToken   float64  `json:"bytes_per_token"`    // of prompt text, until measured
		KVBytesPerToken int64    `json:"kv_bytes_per_token"` // of engine memory, until reported
		Replicas        int      `json:"replicas,omitempty"` // per failure domain; 0 means every engine
	}

	// Workspace is a customer's share of the system.
	Workspace struct {
		Name            string   `json:"name"`
		Share           int      `json:"share"`             // weight against other workspaces
		TokensPerMinute int64    `json:"tokens_per_minute"` // in each failure domain; 0 means no limit
		MaxInFlight     int      `json:"max_in_flight"`     // in each failure domain; 0 means no limit
		KeyDigests      []string `json:"key_digests,omitempty"`
	}

	// Rule marks calls of a plain service that must not be repeated.
	Rule struct {
		Service    string `json:"service"`
		Method     string `json:"method"`
		PathPrefix string `json:"path_prefix"`
	}

	// Service is a plain service beside the engines.
	Service struct {
		Name     string   `json:"name"`
		Deadline Duration `json:"deadline"`
	}

	// Engines says how engines are driven.
	Engines struct {
		Unfenced    []string `json:"unfenced,omitempty"`     // engines that do not check fencing numbers
		LoadsPerMin float64  `json:"loads_per_minute"`       // limit of the weight store
		LongEngines int      `json:"long_engines,omitempty"` // per failure domain and model; 0 follows demand
	}

	// Scheduling says what is favored and how long requests may take by default.
	Scheduling struct {
		Weight              Weight   `json:"weight"`
		InteractiveDeadline Duration `json:"interactive_deadline"`
		StandardDeadline    Duration `json:"standard_deadline"`
		BatchDeadline       Duration `json:"batch_deadline"`
	}

	// Duration is a time.Duration written as text such as "30s".
	Duration time.Duration
)

// LongTokens is the prompt length in tokens above which prompts are confined to the engines for long prompts.
func (w Weight) LongTokens() int64 {
	if w == WeightShortSlowdown {
		return shortSlowdownLongTokens
	}
	return firstTokenLongTokens
}

// MarshalText writes d in the form of time.Duration.String.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText reads d in the form that time.ParseDuration takes.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(v)
	return nil
}
