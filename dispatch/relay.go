package dispatch

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/deckpulley/deckpulley/peer"
)

// wholeLimit is the largest answer in bytes that is read before any of it is
// passed on, so that one that breaks off is not begun.
const wholeLimit = 256 << 10

// relayWhole passes on an answer that is no series of events.
func (r *run) relayWhole(ctx context.Context, at *placed, answer *Response) (again bool, refusal *RequestError) {
	first, err := io.ReadAll(io.LimitReader(answer.Body, wholeLimit+1))
	if err != nil {
		return r.broken(ctx, at, err)
	}
	if len(first) <= wholeLimit {
		if r.request.Method != http.MethodHead {
			answer.Header.Set("Content-Length", strconv.Itoa(len(first)))
		}
		r.begin(answer)
		_, _ = r.client.Write(first)
		r.dispatcher.succeeded(at, answer.Status)
		return false, nil
	}
	r.begin(answer)
	if _, err := r.client.Write(first); err != nil {
		return false, &RequestError{Code: CodeClientClosed, ResponseStarted: true}
	}
	if _, err := io.Copy(r.client, answer.Body); err != nil {
		return r.broken(ctx, at, err)
	}
	r.dispatcher.succeeded(at, answer.Status)
	return false, nil
}

// begin sends the head of the first answer; a resumed one keeps it.
func (r *run) begin(answer *Response) {
	if r.begun {
		return
	}
	r.begun = true
	r.client.WriteHead(answer.Status, answer.Header)
}

// relayEvents passes events on one by one, whole events only. The head of the
// answer waits for the first event, so that an attempt which breaks off before
// it has begun nothing.
func (r *run) relayEvents(ctx context.Context, at *placed, answer *Response, watch *silenceWatch) (again bool, refusal *RequestError) {
	events := newEventReader(answer.Body)
	for {
		event, err := events.next()
		if errors.Is(err, io.EOF) {
			r.begin(answer)
			r.client.Flush()
			r.dispatcher.succeeded(at, answer.Status)
			return false, nil
		}
		if err != nil {
			watch.stop()
			return r.broken(ctx, at, err)
		}
		r.dispatcher.opened(at)
		if seen(event.id, r.after) {
			continue
		}
		r.begin(answer)
		if _, err := r.client.Write(event.text); err != nil {
			return false, &RequestError{Code: CodeClientClosed}
		}
		r.client.Flush()
		if event.id != "" {
			r.after = event.id
		}
	}
}

// seen says that the client has an event already: ids rise within a stream.
func seen(id, after string) bool {
	if id == "" || after == "" {
		return false
	}
	number, err := strconv.ParseInt(id, 10, 64)
	last, lastErr := strconv.ParseInt(after, 10, 64)
	return err == nil && lastErr == nil && number <= last
}

// broken decides what follows an answer that broke off.
func (r *run) broken(ctx context.Context, at *placed, err error) (again bool, refusal *RequestError) {
	if refusal := r.timeLeft(ctx); refusal != nil {
		return false, refusal
	}
	d := r.dispatcher
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := time.Now()
	d.counts.FailedAttempts[FailureIndeterminate]++
	d.log.Debug("answer broke off", "request", r.request.ID, "replica", at.endpoint.ID, "error", err)
	return r.afterBreak(at, now)
}

// opened notes the first event of an attempt.
func (d *Dispatcher) opened(at *placed) {
	if at.work.opened {
		return
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := time.Now()
	if took, measured := at.work.open(now); measured && at.replica.region == d.options.Region {
		d.learn(at.replica, at.work.own.work, took)
		if d.options.OnPrefill != nil {
			d.options.OnPrefill(peer.PrefillSample{Replica: at.replica.key, ReferenceUS: uint32(1e6 * at.work.own.work), MeasuredUS: uint32(1e6 * took)})
		}
	}
	at.replica.reached()
	d.zone(at.replica.zone).noteHeard()
	d.log.Debug("first event", "replica", at.endpoint.ID, "took", now.Sub(at.work.began), "expected", at.expected, "tokens", at.work.held, "reading", at.work.reading, "ahead", at.work.ahead, "running", at.replica.inFlight, "slowness", at.replica.slowness)
}

// learn takes in how long a prompt took that a replica read alone, whoever measured
// it.
func (d *Dispatcher) learn(r *replica, work, took float64) {
	known, found := d.services[r.service]
	if !found || work <= 0 {
		return
	}
	known.pace.learn(work, took)
	line := known.pace.now
	r.learn((took - line.start) / (line.factor * work))
}

// succeeded notes a whole answer.
func (d *Dispatcher) succeeded(at *placed, status int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := time.Now()
	at.replica.reached()
	d.zone(at.replica.zone).noteHeard()
	if status >= http.StatusInternalServerError {
		at.service.outliers.RecordFailure(now, at.replica.id)
		return
	}
	at.service.outliers.RecordSuccess(now, at.replica.id)
	took := now.Sub(at.work.began).Seconds()
	at.service.hold += holdSmoothing * (took - at.service.hold)
}
