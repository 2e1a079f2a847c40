package httpgateway

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/deckpulley/deckpulley/dispatch"
)

const (
	// maxHeaderBytes and maxBodyBytes are the maximum sizes of the header and of the body
	// of a request. The configuration may set lower limits.
	maxHeaderBytes = 256 << 10
	maxBodyBytes   = 16 << 20
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
	}
}

// ServeHTTP implements http.Handler: it forwards a request to a replica and relays the
// response.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	request, readErr := p.readRequest(w, r, arrived)
	if readErr != nil {
		WriteProblem(w, readErr.status, requestProblem(readErr.Error()))
		return
	}
	response := &responseWriter{writer: w, controller: http.NewResponseController(w)}
	if requestErr := p.dispatcher.Serve(r.Context(), request, response); requestErr != nil {
		p.writeError(w, request.ID, requestErr)
	}
}

// readError reports that a request could not be read.
type readError struct {
	// status is the HTTP status to respond with.
	status int
	err    error
}

func (e *readError) Error() string { return e.err.Error() }

func (e *readError) Unwrap() error { return e.err }

// readRequest reads a request with its complete body, so that the body can be sent again
// in a retry.
func (p *Proxy) readRequest(w http.ResponseWriter, r *http.Request, arrived time.Time) (*dispatch.Request, *readError) {
	headerLimit, bodyLimit := p.limits()
	if headerSize(r) > headerLimit {
		err := fmt.Errorf("its head has more than %d bytes", headerLimit)
		return nil, &readError{status: http.StatusRequestHeaderFieldsTooLarge, err: err}
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, bodyLimit))
	if err != nil {
		return nil, &readError{status: readErrorStatus(err), err: err}
	}
	headers := p.options.Headers
	chain, tokens := headers.parsePrompt(r.Header)
	return &dispatch.Request{
		ID:            r.Header.Get(headers.RequestID),
		Method:        r.Method,
		Host:          r.Host,
		Path:          r.URL.EscapedPath(),
		Target:        r.RequestURI,
		Header:        endToEndHeaders(r.Header),
		Body:          body,
		ClientTimeout: headers.clientTimeout(r.Header),
		Arrived:       arrived,
		PrefixChain:   chain,
		PromptTokens:  tokens,
	}, nil
}

// readErrorStatus returns the HTTP status for an error in reading the body of a request.
func readErrorStatus(err error) int {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return http.StatusRequestEntityTooLarge
	}
	return http.StatusBadRequest
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
