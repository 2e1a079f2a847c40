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
	// mostHeaderBytes bounds the head of a request before the configuration's own
	// bound is known, and mostBodyBytes its body.
	mostHeaderBytes = 256 << 10
	mostBodyBytes   = 16 << 20
	// HeaderTimeout bounds reading the head of a request, and IdleTimeout a
	// client's connection without one.
	HeaderTimeout = 15 * time.Second
	IdleTimeout   = 2 * time.Minute
)

// Server returns a server for clients, ready to serve a listener.
func (p *Proxy) Server() *http.Server {
	return &http.Server{
		Handler:           p,
		ReadHeaderTimeout: HeaderTimeout,
		IdleTimeout:       IdleTimeout,
		MaxHeaderBytes:    mostHeaderBytes,
	}
}

// ServeHTTP carries one request.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	request, status, err := p.read(w, r, arrived)
	if err != nil {
		WriteProblem(w, status, requestProblem(err.Error()))
		return
	}
	answer := &clientAnswer{writer: w, controller: http.NewResponseController(w)}
	refusal := p.dispatcher.Serve(r.Context(), request, answer)
	if refusal != nil {
		p.refuse(w, request.ID, refusal)
	}
}

// read takes the whole request in. The status goes with an error.
func (p *Proxy) read(w http.ResponseWriter, r *http.Request, arrived time.Time) (*dispatch.Request, int, error) {
	headerBytes, bodyBytes := p.limits()
	if headerSize(r) > headerBytes {
		return nil, http.StatusRequestHeaderFieldsTooLarge, fmt.Errorf("its head has more than %d bytes", headerBytes)
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, bodyBytes))
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return nil, http.StatusRequestEntityTooLarge, err
		}
		return nil, http.StatusBadRequest, err
	}
	headers := p.options.Headers
	chain, tokens := headers.promptOf(r.Header)
	return &dispatch.Request{
		ID:            r.Header.Get(headers.RequestID),
		Method:        r.Method,
		Host:          r.Host,
		Path:          r.URL.EscapedPath(),
		Target:        r.RequestURI,
		Header:        passedOn(r.Header),
		Body:          body,
		ClientTimeout: headers.waitOf(r.Header),
		Arrived:       arrived,
		PrefixChain:   chain,
		PromptTokens:  tokens,
	}, 0, nil
}

// limits are those of the configuration, or the front's own before there is one.
func (p *Proxy) limits() (headerBytes int, bodyBytes int64) {
	headerBytes, bodyBytes = mostHeaderBytes, mostBodyBytes
	contents := p.contents.Load()
	if contents == nil {
		return headerBytes, bodyBytes
	}
	limits := contents.RequestLimits()
	if limits.MaxHeaderBytes > 0 {
		headerBytes = min(headerBytes, limits.MaxHeaderBytes)
	}
	if limits.MaxBodyBytes > 0 {
		bodyBytes = min(bodyBytes, limits.MaxBodyBytes)
	}
	return headerBytes, bodyBytes
}

// headerSize is the size of a request's head without its line ends.
func headerSize(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	return size
}
