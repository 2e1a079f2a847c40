// Package platform implements test doubles for the platform of Kodovka Labs: its
// replicas, its list of replicas, and its clients. It uses the same names of headers and
// fields as package platform at the root of the module, but shares no code with it, so
// that an error in either one makes tests fail.
package platform

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"
)

// HTTP headers and content type that the platform uses.
const (
	HeaderRequestID   = "X-Deckpulley-Request-Id"
	HeaderDeadline    = "X-Deckpulley-Deadline-Ms"
	HeaderInstance    = "X-Deckpulley-Target-Instance"
	HeaderSignature   = "X-Deckpulley-Server-Signature"
	HeaderNotExecuted = "X-Deckpulley-Not-Executed"
	headerLastEvent   = "Last-Event-Id"
	typeEvents        = "text/event-stream"
)

// StreamEvents is the number of events of a complete stream.
const StreamEvents = 4

// streamPath is the prefix of the paths that are answered with a stream.
const streamPath = "/stream/"

// eventInterval is the time between two events of a stream.
const eventInterval = 5 * time.Millisecond

// Manner is the way in which a replica responds to a request.
type Manner int

// The manners of replicas.
const (
	// Plain sends a regular response.
	Plain Manner = iota
	// Late sends a regular response after lateDelay.
	Late
	// Early sends the response's headers before it has read the request's body.
	Early
	// Unframed sends no content length: the response ends when the connection is closed.
	Unframed
	// Twice sends its response a second time on the same connection.
	Twice
	// Cut closes the connection in the middle of the response.
	Cut
	// Refusing responds that the request was not executed.
	Refusing
)

// lateDelay is the delay of Late.
const lateDelay = 150 * time.Millisecond

// Replica is one replica with a port of its own. It records which requests it ran.
type Replica struct {
	ID      string
	Zone    string
	Service string

	server *httptest.Server

	mutex   sync.Mutex
	runs    map[string]int // by request id
	served  int            // number of requests, including refused ones
	manners []Manner       // used in turn, one for each request

	malformedForm  int
	malformedUntil time.Time
}

// NewReplica starts a replica. It uses the manners in turn, one for each request; without
// any, it is always Plain. The caller must stop it with Close.
func NewReplica(id, zone, service string, manners ...Manner) *Replica {
	r := &Replica{ID: id, Zone: zone, Service: service, runs: make(map[string]int), manners: manners}
	r.server = httptest.NewServer(r)
	return r
}

// Address returns the address (host:port) that the replica listens at.
func (r *Replica) Address() string { return r.server.Listener.Addr().String() }

// Close stops the replica.
func (r *Replica) Close() { r.server.Close() }

// Runs returns the number of times that this replica ran each request, by request id.
func (r *Replica) Runs() map[string]int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return maps.Clone(r.runs)
}

// Served returns the number of requests that the replica received, including refused
// ones.
func (r *Replica) Served() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.served
}

// next counts a request and returns the manner of its response.
func (r *Replica) next(id string) Manner {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	manner := Plain
	if len(r.manners) > 0 {
		manner = r.manners[r.served%len(r.manners)]
	}
	r.served++
	if manner != Refusing {
		r.runs[id]++
	}
	return manner
}

// ServeHTTP implements http.Handler.
func (r *Replica) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	id := request.Header.Get(HeaderRequestID)
	w.Header().Set(HeaderRequestID, id)
	if request.Header.Get(HeaderInstance) != r.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set(HeaderSignature, "by-"+r.ID)
	manner := r.next(id)
	if manner == Early {
		_ = http.NewResponseController(w).EnableFullDuplex()
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	if form, malformed := r.nextMalformed(); malformed {
		r.respondMalformed(w, request, body, form)
		return
	}
	if manner == Late {
		time.Sleep(lateDelay)
	}
	switch {
	case manner == Refusing:
		w.Header().Set(HeaderNotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	case strings.HasPrefix(request.URL.Path, streamPath):
		streamEvents(w, request, body, manner == Cut)
	case manner == Unframed || manner == Twice || manner == Cut:
		r.respondRaw(w, id, echo(request, body), manner)
	default:
		_, _ = io.WriteString(w, echo(request, body))
	}
}

// echo returns the body of a response that is not a stream.
func echo(request *http.Request, body []byte) string {
	return wholeBody(request.Method, request.RequestURI, string(body))
}

// wholeBody returns the whole body of the regular response to a request: all events of a
// stream, or what the request was.
func wholeBody(method, target, body string) string {
	if !strings.HasPrefix(target, streamPath) {
		return method + " " + target + " " + body
	}
	var events strings.Builder
	for number := 1; number <= StreamEvents; number++ {
		events.WriteString(eventText(number, body))
	}
	return events.String()
}

// eventText returns an event of a stream.
func eventText(number int, body string) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", number, body)
}

// streamEvents sends the events after the last one that the client has received. If
// breakOff is set, it sends only the first of them and aborts the connection.
func streamEvents(w http.ResponseWriter, request *http.Request, body []byte, breakOff bool) {
	w.Header().Set("Content-Type", typeEvents)
	last, _ := strconv.Atoi(request.Header.Get(headerLastEvent)) // 0 for none
	for number := last + 1; number <= StreamEvents; number++ {
		_, _ = io.WriteString(w, eventText(number, string(body)))
		_ = http.NewResponseController(w).Flush()
		if breakOff {
			panic(http.ErrAbortHandler) // closes the connection
		}
		time.Sleep(eventInterval)
	}
}

// respondRaw sends responses that an HTTP handler of net/http cannot send.
func (r *Replica) respondRaw(w http.ResponseWriter, id, text string, manner Manner) {
	connection, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer connection.Close()
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: by-%s\r\n", HeaderRequestID, id, HeaderSignature, r.ID)
	framed := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(text), text)
	switch manner {
	case Unframed:
		writeAll(buffered.Writer, head+"Connection: close\r\n\r\n"+text)
	case Twice:
		writeAll(buffered.Writer, framed)
		writeAll(buffered.Writer, framed)
		lingerUntilClosed(connection)
	case Cut:
		writeAll(buffered.Writer, framed[:len(framed)-len(text)/2-1])
	}
}

func writeAll(writer *bufio.Writer, text string) {
	_, _ = writer.WriteString(text)
	_ = writer.Flush()
}

// lingerTimeout is the maximum time that a connection stays open after a second response.
const lingerTimeout = time.Second

// lingerUntilClosed waits until the client closes the connection, for lingerTimeout at
// most.
func lingerUntilClosed(connection net.Conn) {
	_ = connection.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.Copy(io.Discard, connection)
}
