package admission

import (
	"slices"
	"testing"
	"time"

	"github.com/deckpulley/deckpulley/api"
)

// simulatedReplica runs as many requests concurrently as it has workers. Further requests
// wait in the order of their arrival.
type simulatedReplica struct {
	workers     int
	serviceTime time.Duration
	freeAt      []time.Time // when each worker becomes free
}

// send assigns a request that arrives now to a worker, and returns when it starts and ends.
func (s *simulatedReplica) send(now time.Time) (started, ended time.Time) {
	if len(s.freeAt) != s.workers {
		s.freeAt = make([]time.Time, s.workers)
	}
	earliest := 0
	for index := range s.freeAt {
		if s.freeAt[index].Before(s.freeAt[earliest]) {
			earliest = index
		}
	}
	started = now
	if s.freeAt[earliest].After(now) {
		started = s.freeAt[earliest]
	}
	s.freeAt[earliest] = started.Add(s.serviceTime)
	return started, s.freeAt[earliest]
}

// closedLoop simulates a Limit that adapts to the delays of a replica, in steps of 10 ms.
type closedLoop struct {
	limit        *Limit
	replica      simulatedReplica
	now          time.Time
	inFlight     int
	starts, ends []simulatedRequest
}

// simulatedRequest is a request whose start or end is due at a time.
type simulatedRequest struct {
	due, sent time.Time
	inFlight  int // number of requests when it was sent, including itself
}

// run sends requests at a rate for some seconds as far as the limit allows. It returns the
// highest and the mean queueing delay, and the number of requests that started.
func (l *closedLoop) run(seconds int, perSecond float64) (highest, mean time.Duration, served int) {
	var total time.Duration
	offered := 0.0
	for range seconds * 100 {
		l.now = l.now.Add(10 * time.Millisecond)
		offered = min(offered+perSecond/100, 50)
		for _, request := range l.due(&l.starts) {
			delay := request.due.Sub(request.sent)
			l.limit.Observe(l.now, delay, request.inFlight)
			highest = max(highest, delay)
			total += delay
			served++
		}
		l.inFlight -= len(l.due(&l.ends))
		for ; offered >= 1 && l.inFlight < l.limit.Value(); offered-- {
			l.inFlight++
			started, ended := l.replica.send(l.now)
			l.starts = append(l.starts, simulatedRequest{started, l.now, l.inFlight})
			l.ends = append(l.ends, simulatedRequest{ended, l.now, l.inFlight})
		}
	}
	return highest, total / time.Duration(max(1, served)), served
}

// due removes and returns the requests that are due by now.
func (l *closedLoop) due(list *[]simulatedRequest) []simulatedRequest {
	var passed []simulatedRequest
	*list = slices.DeleteFunc(*list, func(request simulatedRequest) bool {
		if request.due.After(l.now) {
			return false
		}
		passed = append(passed, request)
		return true
	})
	return passed
}

// TestLimitStepResponse sends twice the load that a replica can serve, with a maximum far
// above the replica's number of workers. The test checks that the limit falls until the
// delay is near the set point, and that it rises when the replica becomes faster.
func TestLimitStepResponse(t *testing.T) {
	const setPoint = 920 * time.Millisecond
	l := &closedLoop{
		limit:   NewLimit(64, setPoint),
		replica: simulatedReplica{workers: 6, serviceTime: 500 * time.Millisecond},
		now:     time.Unix(0, 0),
	}
	l.run(10, 8)
	if l.limit.Value() != 64 {
		t.Fatalf("the limit fell from 64 to %d at low load", l.limit.Value())
	}
	peak, _, _ := l.run(10, 24)
	highest, mean, served := l.run(20, 24)
	t.Logf("overload: highest delay %v at first; then limit %d, mean delay %v, highest delay %v", peak, l.limit.Value(), mean, highest)
	if mean < setPoint/2 || mean > setPoint*11/10 || highest > 2*setPoint {
		t.Errorf("mean delay %v, highest delay %v; want a mean near the set point of %v and at most twice that", mean, highest, setPoint)
	}
	if served < 20*12*9/10 {
		t.Errorf("served %d requests in 20 s, want nearly the 240 possible", served)
	}
	before := l.limit.Value()
	l.replica.serviceTime = 100 * time.Millisecond
	l.run(30, 80)
	if l.limit.Value() < 2*before {
		t.Errorf("with a faster replica the limit is %d, want at least twice the %d before", l.limit.Value(), before)
	}
}

// TestClassLimit checks that long requests never get the whole limit, except for a limit
// of 1, and that quick ones do.
func TestClassLimit(t *testing.T) {
	for limit := 2; limit < 50; limit++ {
		long := ClassLimit(limit, api.ClassLong)
		if long < 1 || long >= limit || ClassLimit(limit, api.ClassQuick) != limit {
			t.Fatalf("wrong class limits for a limit of %d, of which long requests may use %d", limit, long)
		}
	}
	if ClassLimit(1, api.ClassLong) != 1 {
		t.Fatal("long requests may not use a limit of 1")
	}
}
