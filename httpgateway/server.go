package httpgateway

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/deckpulley/deckpulley/dispatch"
	"github.com/deckpulley/deckpulley/internal/bytebudget"
)

const (
	// maxHeaderBytes and maxBodyBytes are the maximum sizes of the header and of the body
	// of a request. The configuration may set lower limits.
	maxHeaderBytes = 256 << 10
	maxBodyBytes   = 16 << 20
	// maxBodyBytesInFlight bounds the memory for the bodies of all requests together.
	maxBodyBytesInFlight = 64 << 20
	// bodyTimeout is the maximum time to read the body of a request. A shorter timeout of
	// the client takes its place.
	bodyTimeout = 30 * time.Second
	// bodyBudgetRetryAfter is the time after which a client may retry a request whose body
	// found no room in memory.
	bodyBudgetRetryAfter = time.Second
	// HeaderTimeout is the maximum time to read the header of a request.
	HeaderTimeout = 15 * time.Second
	// IdleTimeout is how long a client's connection may stay open between two requests.
	IdleTimeout = 2 * time.Minute
)

// Server returns an HTTP server for clients; the caller passes it a listener to serve.
func (p *Proxy) Server() *http.Server {
	return &http.Server{
		Handler:           p,
		ReadHeaderTimeout: HeaderTimeout,
		IdleTimeout:       IdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		// Otherwise net/http itself responds to "OPTIONS *", with a success of no replica.
		DisableGeneralOptionsHandler: true,
	}
}

// ServeHTTP implements http.Handler: it forwards a request to a replica and relays the
// response.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	controller := http.NewResponseController(w)
	request, release, readErr := p.readRequest(w, r, controller, arrived)
	defer release()
	if readErr != nil {
		p.writeReadError(w, readErr)
		return
	}
	response := &responseWriter{writer: w, controller: controller}
	if requestErr := p.dispatcher.Serve(r.Context(), request, response); requestErr != nil {
		p.writeError(w, request.ID, requestErr)
	}
}

// readError reports that a request could not be read. It has not run.
type readError struct {
	// status is the HTTP status to respond with.
	status int
	err    error
}

func (e *readError) Error() string { return e.err.Error() }

func (e *readError) Unwrap() error { return e.err }

// writeReadError responds to a request that could not be read, and closes the connection
// afterwards if a part of the request may still arrive on it.
func (p *Proxy) writeReadError(w http.ResponseWriter, readErr *readError) {
	reason := readErr.Error()
	switch readErr.status {
	case http.StatusServiceUnavailable:
		reason = string(dispatch.CodeOverloaded)
		setRetryAfter(w.Header(), bodyBudgetRetryAfter)
		w.Header().Set("Connection", "close")
	case http.StatusRequestTimeout:
		w.Header().Set("Connection", "close")
	}
	WriteProblem(w, readErr.status, requestProblem(reason))
}

// readRequest reads a request with its complete body, so that the body can be sent again
// in a retry. The caller must call release when it no longer needs the body.
func (p *Proxy) readRequest(w http.ResponseWriter, r *http.Request, controller *http.ResponseController, arrived time.Time) (request *dispatch.Request, release func(), readErr *readError) {
	headerLimit, bodyLimit := p.limits()
	if headerSize(r) > headerLimit {
		err := fmt.Errorf("its head has more than %d bytes", headerLimit)
		return nil, func() {}, &readError{status: http.StatusRequestHeaderFieldsTooLarge, err: err}
	}
	headers := p.options.Headers
	clientTimeout := headers.clientTimeout(r.Header)
	reader := p.bodyBudget.NewReader(http.MaxBytesReader(w, r.Body, bodyLimit))
	body, err := readBody(reader, r, controller, arrived.Add(bodyReadTimeout(clientTimeout)))
	if err != nil {
		return nil, reader.Release, &readError{status: readErrorStatus(err), err: err}
	}
	target := originForm(r)
	path, _, _ := strings.Cut(target, "?")
	chain, tokens := headers.parsePrompt(r.Header)
	request = &dispatch.Request{
		ID:            r.Header.Get(headers.RequestID),
		Method:        r.Method,
		Host:          r.Host,
		Path:          path,
		Target:        target,
		Header:        endToEndHeaders(r.Header),
		Body:          body,
		ClientTimeout: clientTimeout,
		Arrived:       arrived,
		PrefixChain:   chain,
		PromptTokens:  tokens,
	}
	return request, reader.Release, nil
}

// originForm returns the target to send to a replica. It is the target that the client
// sent, unchanged, unless that is in absolute form: a replica gets the path and the query of
// it (RFC 9112, section 3.2.1), and "*" for OPTIONS without either (section 3.2.4).
func originForm(r *http.Request) string {
	if r.URL.Scheme == "" || strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	_, authority, found := strings.Cut(r.RequestURI, "://")
	if !found {
		return r.RequestURI
	}
	start := strings.IndexAny(authority, "/?")
	switch {
	case start < 0 && r.Method == http.MethodOptions:
		return "*"
	case start < 0:
		return "/"
	case authority[start] == '?':
		return "/" + authority[start:]
	default:
		return authority[start:]
	}
}

// bodyReadTimeout returns the maximum time to read the body of a request. A body that
// arrives later than the client waits for the response is of no use.
func bodyReadTimeout(clientTimeout time.Duration) time.Duration {
	if clientTimeout > 0 {
		return min(clientTimeout, bodyTimeout)
	}
	return bodyTimeout
}

// readBody reads the body of a request until a deadline.
func readBody(reader io.Reader, r *http.Request, controller *http.ResponseController, deadline time.Time) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	if err := controller.SetReadDeadline(deadline); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return nil, err
	}
	body, err := io.ReadAll(reader)
	if err != nil {
		return nil, err
	}
	if err := controller.SetReadDeadline(time.Time{}); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return nil, err
	}
	return body, nil
}

// readErrorStatus returns the HTTP status for an error in reading the body of a request.
func readErrorStatus(err error) int {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, bytebudget.ErrExhausted):
		return http.StatusServiceUnavailable
	case errors.Is(err, os.ErrDeadlineExceeded):
		return http.StatusRequestTimeout
	default:
		return http.StatusBadRequest
	}
}

// limits returns the maximum sizes of the header and the body of a request in bytes: the
// lower of the configured limits and of maxHeaderBytes and maxBodyBytes.
func (p *Proxy) limits() (header int, body int64) {
	header, body = maxHeaderBytes, maxBodyBytes
	state := p.state.Load()
	if state == nil {
		return header, body
	}
	limits := state.RequestLimits()
	if limits.MaxHeaderBytes > 0 {
		header = min(header, limits.MaxHeaderBytes)
	}
	if limits.MaxBodyBytes > 0 {
		body = min(body, limits.MaxBodyBytes)
	}
	return header, body
}

// headerSize returns the size in bytes of a request's method, target, host and header
// fields, without separators.
func headerSize(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	return size
}
