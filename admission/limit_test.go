package admission

import (
	"slices"
	"testing"
	"time"

	"github.com/deckpulley/deckpulley/api"
)

// simulatedReplica runs as many requests concurrently as it has workers; others
// wait in order of arrival.
type simulatedReplica struct {
	workers     int
	serviceTime time.Duration
	freeAt      []time.Time // when each worker is free
}

// send returns when a request that arrives at now starts and ends.
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

// closedLoop applies a limit to a simulated replica in steps of 10 ms.
type closedLoop struct {
	limit        *Limit
	replica      simulatedReplica
	now          time.Time
	inFlight     int
	starts, ends []simulatedRequest
}

type simulatedRequest struct {
	due, sent time.Time
	inFlight  int // when it was sent
}

// run offers requests at a rate for some seconds. It returns the highest and the
// mean delay of the first tokens, and their number.
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

// due removes and returns the requests whose time has come.
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

// TestLimitStepResponse offers a replica, whose maximum is far above its number of
// workers, twice the load that it can serve: the limit must fall until the delay is
// near the set point, and rise when the replica becomes faster.
func TestLimitStepResponse(t *testing.T) {
	const setPoint = 920 * time.Millisecond
	l := &closedLoop{
		limit:   NewLimit(64, setPoint),
		replica: simulatedReplica{workers: 6, serviceTime: 500 * time.Millisecond},
		now:     time.Unix(0, 0),
	}
	l.run(10, 8)
	if l.limit.Value() != 64 {
		t.Fatalf("limit fell to %d without load", l.limit.Value())
	}
	peak, _, _ := l.run(10, 24)
	highest, mean, served := l.run(20, 24)
	t.Logf("overload: peak %v; then limit %d, delay mean %v highest %v", peak, l.limit.Value(), mean, highest)
	if mean < setPoint/2 || mean > setPoint*11/10 || highest > 2*setPoint {
		t.Errorf("delay mean %v, highest %v; want near %v", mean, highest, setPoint)
	}
	if served < 20*12*9/10 {
		t.Errorf("served %d in 20 s of 240 possible", served)
	}
	before := l.limit.Value()
	l.replica.serviceTime = 100 * time.Millisecond
	l.run(30, 80)
	if l.limit.Value() < 2*before {
		t.Errorf("limit %d did not follow the faster replica from %d", l.limit.Value(), before)
	}
}

func TestClassLimit(t *testing.T) {
	for limit := 2; limit < 50; limit++ {
		long := ClassLimit(limit, api.ClassLong)
		if long < 1 || long >= limit || ClassLimit(limit, api.ClassQuick) != limit {
			t.Fatalf("limit %d leaves %d to long requests", limit, long)
		}
	}
	if ClassLimit(1, api.ClassLong) != 1 {
		t.Fatal("a limit of one leaves nothing to long requests")
	}
}
