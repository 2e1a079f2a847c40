package httpgateway

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/placement"
)

// Headers are the names of the headers that clients, gateways and replicas exchange
// about a request. Those that HTTP defines, Last-Event-Id and Retry-After, have fixed
// names.
type Headers struct {
	// RequestID identifies a request. A replica echoes it in its response.
	RequestID string
	// Deadline is how long the sender waits for the response, in milliseconds.
	Deadline string
	// Replica identifies the replica that an attempt is for. Another one that has its
	// address responds with 421 Misdirected Request.
	Replica string
	// Priority ranks a request at its replica, from 0, the most urgent, to 9.
	Priority string
	// PromptPrefix lists the parts of the prompt in order, each as "id:tokens",
	// separated by commas. The last part belongs to this request only.
	PromptPrefix string
	// TokenUsage has the number of tokens of the prompt and of the response, as in
	// "1460,80".
	TokenUsage string
	// NotExecuted is set when a replica rejects a request that it has not run.
	NotExecuted string
}

// DefaultHeaders returns the names that deckpulley uses by default.
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
	headerLastEventID = "Last-Event-Id"
	headerRetryAfter  = "Retry-After"
	contentTypeEvents = "text/event-stream"
)

// hopByHopHeaders concern one connection only and are not forwarded. Content-Length is
// among them because it is set anew for each connection.
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// endToEndHeaders returns a copy of the headers that are forwarded: all but the
// hop-by-hop headers and those that the Connection header lists.
func endToEndHeaders(header http.Header) http.Header {
	copied := header.Clone()
	for _, value := range header.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			copied.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		copied.Del(name)
	}
	return copied
}

// timeout returns how long the client waits, 0 if it does not say.
func (h *Headers) timeout(header http.Header) time.Duration {
	milliseconds, err := strconv.ParseFloat(header.Get(h.Deadline), 64)
	if err != nil || milliseconds <= 0 {
		return 0
	}
	return time.Duration(milliseconds * float64(time.Millisecond))
}

// prompt returns the chain of shared prefixes of a prompt and the size of the whole
// prompt in tokens. The last of several parts belongs to this request only and is not
// part of the chain. Parts that cannot be parsed are skipped.
func (h *Headers) prompt(header http.Header) (chain []placement.Link, promptTokens float64) {
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
	usage, _, _ := strings.Cut(header.Get(h.TokenUsage), ",")
	if tokens, err := strconv.Atoi(strings.TrimSpace(usage)); err == nil && tokens > total {
		total = tokens
	}
	if len(parts) > 1 {
		parts = parts[:len(parts)-1]
	}
	return placement.Chain(parts), float64(total)
}
