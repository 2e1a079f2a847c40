// Package platform stands in for the platform of Kodovka Labs in tests: its
// replicas, its list of them, and its clients. It knows the platform's names as
// package platform at the root does, and shares no code with it.
package platform

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Headers of the platform.
const (
	HeaderRequestID   = "X-Deckpulley-Request-Id"
	HeaderDeadline    = "X-Deckpulley-Deadline-Ms"
	HeaderInstance    = "X-Deckpulley-Target-Instance"
	HeaderSignature   = "X-Deckpulley-Server-Signature"
	HeaderNotExecuted = "X-Deckpulley-Not-Executed"
	headerLastEvent   = "Last-Event-Id"
	typeEvents        = "text/event-stream"
)

// StreamEvents is the number of events in a stream.
const StreamEvents = 4

// streamPath begins the paths that are answered by a stream.
const streamPath = "/stream/"

// streamGap is the pause between two events.
const streamGap = 5 * time.Millisecond

// Manner is how a replica answers a request.
type Manner int

// Manners of replicas.
const (
	// Plain answers as HTTP asks.
	Plain Manner = iota
	// Late waits before the answer.
	Late
	// Early answers before it has read the request's body.
	Early
	// Unframed gives no length: the end of the connection ends the answer.
	Unframed
	// Twice sends its answer a second time on the same connection.
	Twice
	// Cut breaks the connection off within the answer.
	Cut
	// Refusing says that it has not run the request.
	Refusing
)

// lateBy is the wait of Late.
const lateBy = 150 * time.Millisecond

// Replica is one opaque replica behind a port of its own.
type Replica struct {
	ID      string
	Zone    string
	Service string

	server *httptest.Server

	mutex   sync.Mutex
	ran     map[string]int // by request id
	served  int
	manners []Manner // taken in turn
}

// NewReplica starts a replica. Its manners are taken in turn, one a request;
// none is Plain.
func NewReplica(id, zone, service string, manners ...Manner) *Replica {
	r := &Replica{ID: id, Zone: zone, Service: service, ran: make(map[string]int), manners: manners}
	r.server = httptest.NewServer(r)
	return r
}

// Address is where the replica listens.
func (r *Replica) Address() string { return r.server.Listener.Addr().String() }

// Close ends the replica.
func (r *Replica) Close() { r.server.Close() }

// Runs returns how often each request ran here, by its id.
func (r *Replica) Runs() map[string]int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	runs := make(map[string]int, len(r.ran))
	for id, count := range r.ran {
		runs[id] = count
	}
	return runs
}

// Served is the number of requests that ran here.
func (r *Replica) Served() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.served
}

// next counts a request and returns how it is answered.
func (r *Replica) next(id string) Manner {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	manner := Plain
	if len(r.manners) > 0 {
		manner = r.manners[r.served%len(r.manners)]
	}
	r.served++
	if manner != Refusing {
		r.ran[id]++
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
	if manner == Late {
		time.Sleep(lateBy)
	}
	switch {
	case manner == Refusing:
		w.Header().Set(HeaderNotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	case strings.HasPrefix(request.URL.Path, streamPath):
		stream(w, request, body, manner == Cut)
	case manner == Unframed || manner == Twice || manner == Cut:
		r.answerRaw(w, id, whole(request, body), manner)
	default:
		_, _ = io.WriteString(w, whole(request, body))
	}
}

// whole is the text of an answer that is no stream.
func whole(request *http.Request, body []byte) string {
	return fmt.Sprintf("%s %s %s", request.Method, request.RequestURI, body)
}

// stream sends the events after the last one that the client has.
func stream(w http.ResponseWriter, request *http.Request, body []byte, cut bool) {
	w.Header().Set("Content-Type", typeEvents)
	last, _ := strconv.Atoi(request.Header.Get(headerLastEvent)) // 0 for none
	for number := last + 1; number <= StreamEvents; number++ {
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", number, body)
		_ = http.NewResponseController(w).Flush()
		if cut {
			panic(http.ErrAbortHandler) // breaks the connection off
		}
		time.Sleep(streamGap)
	}
}

// answerRaw answers in ways that a server library does not.
func (r *Replica) answerRaw(w http.ResponseWriter, id, text string, manner Manner) {
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

// lingerTime bounds how long a connection with a second answer stays open.
const lingerTime = time.Second

func lingerUntilClosed(connection net.Conn) {
	_ = connection.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.Copy(io.Discard, connection)
}
