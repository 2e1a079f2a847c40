package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// record writes what happened, with the time since the start of traffic.
type record struct {
	mutex sync.Mutex
	file  *os.File
	began time.Time
}

func (r *record) add(format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, arguments...))
}

// Times of the list and of replicas that leave.
const (
	listLag = 300 * time.Millisecond
	// lingerTime is how long a draining replica serves beyond drain_ms.
	lingerTime = 2 * time.Second
)

// Streams: events of a whole explanation and of a lookup, and the pause between two.
const (
	explainEvents = 56
	lookupEvents  = 4
	explainPause  = 250 * time.Millisecond
	lookupPause   = 20 * time.Millisecond
)

// arrival is a request that began to run at a replica.
type arrival struct {
	replica   string
	request   string
	lastEvent string
	gateway   string
	at        time.Time
}

// replica is one replica of the service. It runs only what names its id.
type replica struct {
	id     string
	zone   string
	server *httptest.Server
	site   *site

	// drainingAt is when the list shows it as draining, removedAt when the list drops it.
	drainingAt time.Time
	removedAt  time.Time
}

// site is the platform: the replicas and the list of them.
type site struct {
	record *record
	list   *httptest.Server

	mutex    sync.Mutex
	replicas []*replica
	arrivals []arrival
	// shownAt is when an answer of the list first showed a replica as draining.
	shownAt map[string]time.Time
}

func newSite(r *record) *site {
	s := &site{record: r, shownAt: make(map[string]time.Time)}
	s.list = httptest.NewServer(http.HandlerFunc(s.serveList))
	return s
}

func (s *site) addReplica(zone string) *replica {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	r := &replica{id: fmt.Sprintf("i-%08x", 0x7f3a0000+len(s.replicas)+1), zone: zone, site: s}
	r.server = httptest.NewServer(r)
	s.replicas = append(s.replicas, r)
	return r
}

// release replaces a replica: the new one starts first, the old one drains, and ends after
// drain_ms and lingerTime.
func (s *site) release(old *replica) {
	added := s.addReplica(old.zone)
	s.mutex.Lock()
	old.drainingAt = time.Now().Add(listLag)
	old.removedAt = old.drainingAt.Add(drainTime + lingerTime + listLag)
	end := time.Until(old.drainingAt.Add(drainTime + lingerTime))
	s.mutex.Unlock()
	s.record.add("replica %s starts, replica %s drains", added.id, old.id)
	time.AfterFunc(end, func() {
		s.record.add("replica %s ends", old.id)
		old.server.CloseClientConnections()
		old.server.Listener.Close()
	})
}

func (s *site) serveList(w http.ResponseWriter, _ *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := time.Now()
	instances := []map[string]any{}
	for _, r := range s.replicas {
		if !r.removedAt.IsZero() && now.After(r.removedAt) {
			continue
		}
		state := "ready"
		if !r.drainingAt.IsZero() && now.After(r.drainingAt) {
			state = "draining"
			if s.shownAt[r.id].IsZero() {
				s.shownAt[r.id] = now
				s.record.add("the list shows %s as draining", r.id)
			}
		}
		instances = append(instances, map[string]any{
			"service": "lm-pool", "address": r.server.Listener.Addr().String(), "zone": r.zone, "version": "v1", "slots": 64,
			"state": state, "cold_remaining_ms": 0, "stage": "both", "id": r.id,
		})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"instances": instances, "next_page_token": nil})
}

// ServeHTTP runs a request: it sends the events after Last-Event-Id.
func (r *replica) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("X-Deckpulley-Request-Id")
	w.Header().Set("X-Deckpulley-Request-Id", id)
	if target := request.Header.Get("X-Deckpulley-Target-Instance"); target != "" && target != r.id {
		w.Header().Set("X-Deckpulley-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.site.recordArrival(r, request)
	w.Header().Set("X-Deckpulley-Server-Signature", "by-"+r.id)
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	events, pause := explainEvents, explainPause
	if strings.HasPrefix(request.URL.Path, "/pufi791/") {
		events, pause = lookupEvents, lookupPause
	}
	for number := last + 1; number <= events; number++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", number, id); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		select {
		case <-request.Context().Done():
			return
		case <-time.After(pause):
		}
	}
}

func (s *site) recordArrival(r *replica, request *http.Request) {
	a := arrival{
		replica: r.id, request: request.Header.Get("X-Deckpulley-Request-Id"),
		lastEvent: request.Header.Get("Last-Event-Id"), gateway: request.Header.Get("X-Sent-To"), at: time.Now(),
	}
	s.mutex.Lock()
	s.arrivals = append(s.arrivals, a)
	s.mutex.Unlock()
	s.record.add("replica %s runs %s from %s, Last-Event-Id %q", a.replica, a.request, a.gateway, a.lastEvent)
}
