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
	// maxHeaderBytes and maxBodyBytes bound the head and the body of a request. The
	// configuration may set lower limits.
	maxHeaderBytes = 256 << 10
	maxBodyBytes   = 16 << 20
	// HeaderTimeout bounds reading the head of a request, and IdleTimeout the time for
	// which a client's connection may stay open without a request.
	HeaderTimeout = 15 * time.Second
	IdleTimeout   = 2 * time.Minute
)

// Server returns a server for clients, ready to serve a listener.
func (p *Proxy) Server() *http.Server {
	return &http.Server{
		Handler:           p,
		ReadHeaderTimeout: HeaderTimeout,
		IdleTimeout:       IdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// ServeHTTP implements http.Handler: it proxies one request to a replica.
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

// readError is the error of a request that could not be read.
type readError struct {
	// status is the HTTP status of the response.
	status int
	err    error
}

func (e *readError) Error() string { return e.err.Error() }

func (e *readError) Unwrap() error { return e.err }

// readRequest reads a request with its whole body.
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
	chain, tokens := headers.prompt(r.Header)
	return &dispatch.Request{
		ID:            r.Header.Get(headers.RequestID),
		Method:        r.Method,
		Host:          r.Host,
		Path:          r.URL.EscapedPath(),
		Target:        r.RequestURI,
		Header:        endToEndHeaders(r.Header),
		Body:          body,
		ClientTimeout: headers.timeout(r.Header),
		Arrived:       arrived,
		PrefixChain:   chain,
		PromptTokens:  tokens,
	}, nil
}

// readErrorStatus returns the HTTP status for an error of reading a body.
func readErrorStatus(err error) int {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return http.StatusRequestEntityTooLarge
	}
	return http.StatusBadRequest
}

// limits returns the lower of the configuration's limits and the Proxy's own, in bytes.
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

// headerSize returns the size of a request's head in bytes, without its separators.
func headerSize(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	return size
}
