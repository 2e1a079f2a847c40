package emulator

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"go.yaml.in/yaml/v3"
)

// Kind is the kind of service that a replica emulates.
type Kind string

const (
	// KindModel emulates a language model that prefills prompts and decodes tokens.
	KindModel Kind = "model"
	// KindWeb emulates a small web service with short answers.
	KindWeb Kind = "web"
)

// Parameters describes one replica. It is read from a YAML or JSON file; a field that
// is absent from the file has the default value of the kind.
type Parameters struct {
	Kind Kind `yaml:"kind"`
	// Slots is the number of requests that run concurrently.
	Slots int `yaml:"slots"`
	// QueueLength bounds the requests that wait for a slot.
	QueueLength int `yaml:"queue_length"`
	// PrefillTokensPerSecond is the prefill rate of a warm replica.
	PrefillTokensPerSecond float64 `yaml:"prefill_tokens_per_second"`
	// PrefillChunkTokens is the maximum number of tokens prefilled in one step.
	PrefillChunkTokens int `yaml:"prefill_chunk_tokens"`
	// DecodeStepMS is the duration of a decode step with one sequence, in milliseconds.
	DecodeStepMS float64 `yaml:"decode_step_ms"`
	// DecodeSequenceMS is the time that each further sequence adds to a decode step, in
	// milliseconds.
	DecodeSequenceMS float64 `yaml:"decode_sequence_ms"`
	// CacheTokens is the capacity of the KV cache in tokens.
	CacheTokens int `yaml:"cache_tokens"`
	// ColdFactor multiplies every duration while the replica is cold.
	ColdFactor float64 `yaml:"cold_factor"`
	// WarmRequests is the number of answers after which a cold replica is warm.
	WarmRequests int `yaml:"warm_requests"`
	// WarmSeconds is the time in seconds after which a cold replica is warm even
	// without answers.
	WarmSeconds float64 `yaml:"warm_seconds"`
	// WeightVersion is the version of the model weights that the replica reports.
	WeightVersion string `yaml:"weight_version"`
	// Jitter is the largest relative deviation of a step's duration, in [0, 1).
	Jitter float64 `yaml:"jitter"`
	// WebMinimumMS and WebMaximumMS bound the answer time of KindWeb, in milliseconds.
	WebMinimumMS float64 `yaml:"web_minimum_ms"`
	WebMaximumMS float64 `yaml:"web_maximum_ms"`
}

// DefaultParameters returns the default parameters of a kind. docs/EMULATOR.md lists
// them.
func DefaultParameters(kind Kind) Parameters {
	parameters := Parameters{
		Kind:                   kind,
		Slots:                  16,
		QueueLength:            48,
		PrefillTokensPerSecond: 40_000,
		PrefillChunkTokens:     1024,
		DecodeStepMS:           12,
		DecodeSequenceMS:       0.5,
		CacheTokens:            100_000,
		ColdFactor:             5,
		WarmRequests:           24,
		WarmSeconds:            20,
		WeightVersion:          "weights-1",
		Jitter:                 0.1,
		WebMinimumMS:           5,
		WebMaximumMS:           15,
	}
	if kind == KindWeb {
		parameters.Slots = 32
		parameters.QueueLength = 256
		parameters.WeightVersion = ""
	}
	return parameters
}

// LoadParameters reads parameters from a file. Absent fields have the default values of
// the kind that the file names, or of the given kind if it names none. An unknown field
// or a value that Validate rejects is an error.
func LoadParameters(path string, kind Kind) (Parameters, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return Parameters{}, fmt.Errorf("reading replica parameters: %w", err)
	}
	var header struct {
		Kind Kind `yaml:"kind"`
	}
	if err := yaml.Unmarshal(content, &header); err != nil {
		return Parameters{}, fmt.Errorf("parsing %s: %w", path, err)
	}
	if header.Kind != "" {
		kind = header.Kind
	}
	parameters := DefaultParameters(kind)
	decoder := yaml.NewDecoder(bytes.NewReader(content))
	decoder.KnownFields(true)
	if err := decoder.Decode(&parameters); err != nil && !errors.Is(err, io.EOF) {
		return Parameters{}, fmt.Errorf("parsing %s: %w", path, err)
	}
	if err := parameters.Validate(); err != nil {
		return Parameters{}, fmt.Errorf("%s: %w", path, err)
	}
	return parameters, nil
}

// Validate returns an error that names the first field with an invalid value.
func (p Parameters) Validate() error {
	if p.Kind != KindModel && p.Kind != KindWeb {
		return fmt.Errorf("kind: %q is neither %q nor %q", p.Kind, KindModel, KindWeb)
	}
	positive := []struct {
		field string
		value float64
	}{
		{"slots", float64(p.Slots)},
		{"prefill_tokens_per_second", p.PrefillTokensPerSecond},
		{"prefill_chunk_tokens", float64(p.PrefillChunkTokens)},
		{"decode_step_ms", p.DecodeStepMS},
		{"cache_tokens", float64(p.CacheTokens)},
		{"web_minimum_ms", p.WebMinimumMS},
	}
	for _, check := range positive {
		if check.value <= 0 {
			return fmt.Errorf("%s: must be greater than 0", check.field)
		}
	}
	switch {
	case p.QueueLength < 0:
		return errors.New("queue_length: must not be negative")
	case p.DecodeSequenceMS < 0:
		return errors.New("decode_sequence_ms: must not be negative")
	case p.ColdFactor < 1:
		return errors.New("cold_factor: must be at least 1")
	case p.WarmRequests < 0:
		return errors.New("warm_requests: must not be negative")
	case p.WarmSeconds < 0:
		return errors.New("warm_seconds: must not be negative")
	case p.Jitter < 0 || p.Jitter >= 1:
		return errors.New("jitter: must be at least 0 and less than 1")
	case p.WebMaximumMS < p.WebMinimumMS:
		return errors.New("web_maximum_ms: must not be less than web_minimum_ms")
	}
	return nil
}

// milliseconds converts a parameter in milliseconds to a duration.
func milliseconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Millisecond))
}
