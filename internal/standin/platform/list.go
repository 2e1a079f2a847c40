package platform

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"time"
)

// pageSize is the number of entries of a full page of the list.
const pageSize = 2

// States of replicas in the list.
const (
	stateReady    = "ready"
	stateDraining = "draining"
)

// List serves the platform's list of replicas: in pages, with changes visible only
// after a lag, and with a rate limit.
type List struct {
	server *httptest.Server
	lag    time.Duration
	rate   int // calls allowed in any one second; 0 for no limit

	mutex   sync.Mutex
	entries []*entry
	calls   []time.Time // calls allowed within the last second, oldest first
	refused int
}

// entry is one replica with the times at which its changes become visible in the list.
type entry struct {
	replica    *Replica
	listedAt   time.Time // zero if listed from the start
	drainingAt time.Time // zero if not draining
	removedAt  time.Time // zero if not removed
}

// NewList starts a list with the given replicas, whose changes become visible after lag.
// It allows callsPerSecond calls, or any number if that is 0. The caller must stop the
// list with Close.
func NewList(lag time.Duration, callsPerSecond int, replicas ...*Replica) *List {
	l := &List{lag: lag, rate: callsPerSecond}
	for _, r := range replicas {
		l.entries = append(l.entries, &entry{replica: r})
	}
	l.server = httptest.NewServer(l)
	return l
}

// Address returns the address (host:port) that the list listens at.
func (l *List) Address() string { return l.server.Listener.Addr().String() }

// Close stops the list.
func (l *List) Close() { l.server.Close() }

// Refused returns the number of calls refused because of the rate limit.
func (l *List) Refused() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.refused
}

// Add adds a replica to the list.
func (l *List) Add(r *Replica) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.entries = append(l.entries, &entry{replica: r, listedAt: time.Now().Add(l.lag)})
}

// Drain lists a replica as draining: clients must send it no more requests.
func (l *List) Drain(id string) {
	l.change(id, func(e *entry, visibleAt time.Time) { e.drainingAt = visibleAt })
}

// Remove removes a replica from the list.
func (l *List) Remove(id string) {
	l.change(id, func(e *entry, visibleAt time.Time) { e.removedAt = visibleAt })
}

// change applies a change to a replica's entry, visible after the lag.
func (l *List) change(id string, apply func(e *entry, visibleAt time.Time)) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, e := range l.entries {
		if e.replica.ID == id {
			apply(e, time.Now().Add(l.lag))
		}
	}
}

// instance is one replica as the platform lists it.
type instance struct {
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
	Instances []instance `json:"instances"`
	Next      *string    `json:"next_page_token"`
}

// replicaSlots is the number of slots that the list reports for every replica.
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

// allow counts a call against the rate limit and reports whether it is within it.
// The caller holds the mutex.
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

// listed returns the entries of the list that are visible now. The caller holds the mutex.
func (l *List) listed(now time.Time) []instance {
	instances := []instance{}
	for _, e := range l.entries {
		if now.Before(e.listedAt) || reached(e.removedAt, now) {
			continue
		}
		state := stateReady
		if reached(e.drainingAt, now) {
			state = stateDraining
		}
		instances = append(instances, instance{
			ID:      e.replica.ID,
			Service: e.replica.Service,
			Zone:    e.replica.Zone,
			Address: e.replica.Address(),
			Slots:   replicaSlots,
			State:   state,
		})
	}
	return instances
}

// reached reports whether a time is set and has been reached.
func reached(at, now time.Time) bool { return !at.IsZero() && !now.Before(at) }
