package httpgateway

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/placement"
)

// Headers are the names of the headers by which clients, gateways and replicas
// tell one another of a request. Last-Event-Id and Retry-After are always used
// as HTTP defines them.
type Headers struct {
	// RequestID names a request. A replica repeats it in its answer.
	RequestID string
	// Deadline is how long the sender waits, in milliseconds.
	Deadline string
	// Replica names the replica that an attempt is meant for. Another one that
	// has its address answers 421 Misdirected Request.
	Replica string
	// Priority ranks a request at its replica, from 0, the most urgent, to 9.
	Priority string
	// PromptPrefix lists the parts of the prompt in their order, each as
	// "id:tokens", separated by commas. The last is the request's own.
	PromptPrefix string
	// TokenUsage gives the tokens of the prompt and of the answer, "1460,80".
	TokenUsage string
	// NotExecuted is set on a replica's refusal of a request that has not run.
	NotExecuted string
}

// DefaultHeaders returns deckpulley's own names.
func DefaultHeaders() Headers {
	return Headers{
		RequestID:    "Deckpulley-Request-Id",
		Deadline:     "Deckpulley-Deadline-Ms",
		Replica:      "Deckpulley-Replica",
		Priority:     "Deckpulley-Priority",
		PromptPrefix: "Deckpulley-Prompt-Prefix",
		TokenUsage:   "Deckpulley-Token-Usage",
		NotExecuted:  "Deckpulley-Not-Executed",
	}
}

const (
	headerLastEvent   = "Last-Event-Id"
	headerRetryAfter  = "Retry-After"
	contentTypeEvents = "text/event-stream"
)

// connectionHeaders concern one connection only and are not passed on.
var connectionHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// passedOn copies the headers that concern more than one connection.
func passedOn(header http.Header) http.Header {
	copied := header.Clone()
	for _, value := range header.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			copied.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range connectionHeaders {
		copied.Del(name)
	}
	return copied
}

// waitOf is how long the client waits, 0 if it does not tell.
func (h *Headers) waitOf(header http.Header) time.Duration {
	count, err := strconv.ParseFloat(header.Get(h.Deadline), 64)
	if err != nil || count <= 0 {
		return 0
	}
	return time.Duration(count * float64(time.Millisecond))
}

// promptOf reads the shared parts of a prompt and its size. The last part
// belongs to the request itself and is not shared.
func (h *Headers) promptOf(header http.Header) ([]placement.Link, float64) {
	var parts []api.Prefix
	total := 0
	for part := range strings.SplitSeq(header.Get(h.PromptPrefix), ",") {
		id, size, found := strings.Cut(strings.TrimSpace(part), ":")
		tokens, err := strconv.Atoi(size)
		if !found || err != nil || tokens < 0 {
			continue
		}
		parts = append(parts, api.Prefix{ID: id, Tokens: tokens})
		total += tokens
	}
	prompt, _, _ := strings.Cut(header.Get(h.TokenUsage), ",")
	if tokens, err := strconv.Atoi(strings.TrimSpace(prompt)); err == nil && tokens > total {
		total = tokens
	}
	if len(parts) > 1 {
		parts = parts[:len(parts)-1]
	}
	return placement.Chain(parts), float64(total)
}
