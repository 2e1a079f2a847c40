package httpgateway

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/placement"
)

// Headers holds the names of the HTTP headers in which clients, gateways and replicas
// exchange properties of a request. The standard headers Last-Event-Id and Retry-After
// have fixed names and are not included.
type Headers struct {
	// RequestID identifies a request. The replica echoes it in its response.
	RequestID string
	// Deadline is how long the sender waits for the response, in milliseconds.
	Deadline string
	// Replica is the ID of the replica to which an attempt is sent. If another replica
	// has taken over its address, that one responds with 421 Misdirected Request.
	Replica string
	// Priority is the priority of a request at its replica, from 0 (most urgent) to 9.
	Priority string
	// PromptPrefix lists the parts of the prompt in order, each as "id:tokens",
	// separated by commas. If there are several, the last part is unique to the request
	// and the others form the prefix that it may share with other requests.
	PromptPrefix string
	// TokenUsage holds the numbers of tokens of the prompt and of the response,
	// separated by a comma, as in "1460,80".
	TokenUsage string
	// NotExecuted is present in the response of a replica that has not run the request.
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

// hopByHopHeaders apply to a single connection and are not forwarded. Content-Length is
// included because it is set again for each connection.
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// endToEndHeaders returns a copy of the headers without those that must not be forwarded:
// the hop-by-hop headers and those that the Connection header lists.
func endToEndHeaders(header http.Header) http.Header {
	forwarded := header.Clone()
	for _, value := range header.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			forwarded.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		forwarded.Del(name)
	}
	return forwarded
}

// clientTimeout returns how long the client waits for the response, or 0 if the deadline
// header is missing or invalid.
func (h *Headers) clientTimeout(header http.Header) time.Duration {
	milliseconds, err := strconv.ParseFloat(header.Get(h.Deadline), 64)
	if err != nil || milliseconds <= 0 {
		return 0
	}
	return time.Duration(milliseconds * float64(time.Millisecond))
}

// parsePrompt returns the chain of prefixes that the prompt may share with other requests,
// and the size of the whole prompt in tokens. The last of several parts is unique to the
// request and is not in the chain. Parts that cannot be parsed are skipped.
func (h *Headers) parsePrompt(header http.Header) (chain []placement.Link, promptTokens float64) {
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
