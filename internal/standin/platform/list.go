package platform

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"time"
)

// pageSize is the number of entries on one page of the list.
const pageSize = 2

// States of listed replicas.
const (
	stateReady    = "ready"
	stateDraining = "draining"
)

// List is the platform's list of replicas: in pages, behind the truth by a lag,
// and with a bound on the calls a second.
type List struct {
	server *httptest.Server
	lag    time.Duration
	rate   int // calls in any one second; 0 is no bound

	mutex   sync.Mutex
	entries []*entry
	calls   []time.Time // of the last second
	refused int
}

// entry is one replica with the times at which its states become known.
type entry struct {
	replica  *Replica
	since    time.Time // listed from then on
	draining time.Time // zero for not draining
	until    time.Time // zero for not removed
}

// NewList starts a list that holds the replicas from the start.
func NewList(lag time.Duration, callsPerSecond int, replicas ...*Replica) *List {
	l := &List{lag: lag, rate: callsPerSecond}
	for _, r := range replicas {
		l.entries = append(l.entries, &entry{replica: r})
	}
	l.server = httptest.NewServer(l)
	return l
}

// Address is where the list listens.
func (l *List) Address() string { return l.server.Listener.Addr().String() }

// Close ends the list.
func (l *List) Close() { l.server.Close() }

// Refused is the number of calls beyond the bound.
func (l *List) Refused() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.refused
}

// Add lists one more replica.
func (l *List) Add(r *Replica) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.entries = append(l.entries, &entry{replica: r, since: time.Now().Add(l.lag)})
}

// Drain lists a replica as one that must get no more requests.
func (l *List) Drain(id string) {
	l.change(id, func(e *entry, known time.Time) { e.draining = known })
}

// Remove takes a replica off the list.
func (l *List) Remove(id string) {
	l.change(id, func(e *entry, known time.Time) { e.until = known })
}

func (l *List) change(id string, apply func(e *entry, known time.Time)) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, e := range l.entries {
		if e.replica.ID == id {
			apply(e, time.Now().Add(l.lag))
		}
	}
}

// document is one entry as the list gives it.
type document struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	Slots   int    `json:"slots"`
	State   string `json:"state"`
	ColdMS  int    `json:"cold_remaining_ms"`
}

// page is one page of the list.
type page struct {
	Instances []document `json:"instances"`
	Next      *string    `json:"next_page_token"`
}

// replicaSlots is what every replica announces.
const replicaSlots = 8

// ServeHTTP implements http.Handler.
func (l *List) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	now := time.Now()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.allow(now) {
		l.refused++
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	listed := l.listed(now)
	from, _ := strconv.Atoi(request.URL.Query().Get("page_token")) // 0 for the first page
	from = min(from, len(listed))
	to := min(from+pageSize, len(listed))
	answer := page{Instances: listed[from:to]}
	if to < len(listed) {
		token := strconv.Itoa(to)
		answer.Next = &token
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}

// allow counts a call against the bound.
func (l *List) allow(now time.Time) bool {
	recent := l.calls[:0]
	for _, at := range l.calls {
		if now.Sub(at) < time.Second {
			recent = append(recent, at)
		}
	}
	l.calls = recent
	if l.rate > 0 && len(l.calls) >= l.rate {
		return false
	}
	l.calls = append(l.calls, now)
	return true
}

// listed is the list as it is known at a time.
func (l *List) listed(now time.Time) []document {
	documents := []document{}
	for _, e := range l.entries {
		if now.Before(e.since) || past(e.until, now) {
			continue
		}
		state := stateReady
		if past(e.draining, now) {
			state = stateDraining
		}
		documents = append(documents, document{
			ID:      e.replica.ID,
			Service: e.replica.Service,
			Zone:    e.replica.Zone,
			Address: e.replica.Address(),
			Slots:   replicaSlots,
			State:   state,
		})
	}
	return documents
}

// past says whether a time is set and reached.
func past(at, now time.Time) bool { return !at.IsZero() && !now.Before(at) }
