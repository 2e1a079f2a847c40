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

// maxBufferedBody is the largest size in bytes of a body that is read completely before any
// of it is relayed, so that the request can be retried if the body is interrupted.
const maxBufferedBody = 256 << 10

// relayBody relays a response that is not an event stream.
func (t *transaction) relayBody(ctx context.Context, attempt *placedAttempt, response *Response) (retry bool, requestErr *RequestError) {
	buffered, err := io.ReadAll(io.LimitReader(response.Body, maxBufferedBody+1))
	if err != nil {
		return t.handleInterruption(ctx, attempt, err)
	}
	if len(buffered) <= maxBufferedBody {
		if t.request.Method != http.MethodHead {
			response.Header.Set("Content-Length", strconv.Itoa(len(buffered)))
		}
		t.writeHead(response)
		_, _ = t.client.Write(buffered) // the request counts as served even if the client has disconnected
		t.dispatcher.recordSuccess(attempt, response.Status)
		return false, nil
	}
	t.writeHead(response)
	if _, err := t.client.Write(buffered); err != nil {
		return false, &RequestError{Code: CodeClientClosed, ResponseStarted: true}
	}
	if _, err := io.Copy(t.client, response.Body); err != nil {
		return t.handleInterruption(ctx, attempt, err)
	}
	t.dispatcher.recordSuccess(attempt, response.Status)
	return false, nil
}

// writeHead sends the head of a response to the client, unless the response resumes an
// event stream whose head was sent already.
func (t *transaction) writeHead(response *Response) {
	if t.responseStarted {
		return
	}
	t.responseStarted = true
	t.client.WriteHead(response.Status, response.Header)
}

// relayEvents relays an event stream, in complete events only. It sends the head of the
// response together with the first event, so that an attempt that is interrupted before
// that event can be retried.
func (t *transaction) relayEvents(ctx context.Context, attempt *placedAttempt, response *Response, watchdog *idleWatchdog) (retry bool, requestErr *RequestError) {
	events := newEventReader(response.Body)
	for {
		event, err := events.next()
		if errors.Is(err, io.EOF) {
			t.writeHead(response)
			t.client.Flush()
			t.dispatcher.recordSuccess(attempt, response.Status)
			return false, nil
		}
		if err != nil {
			watchdog.stop()
			return t.handleInterruption(ctx, attempt, err)
		}
		t.dispatcher.recordFirstEvent(attempt)
		if isDuplicate(event.id, t.lastEventID) {
			continue
		}
		t.writeHead(response)
		if _, err := t.client.Write(event.text); err != nil {
			return false, &RequestError{Code: CodeClientClosed}
		}
		t.client.Flush()
		if event.id != "" {
			t.lastEventID = event.id
		}
	}
}

// isDuplicate reports whether an event was already relayed to the client. It compares
// numeric ids, which increase within a stream; an event without a numeric id is never a
// duplicate.
func isDuplicate(id, lastEventID string) bool {
	if id == "" || lastEventID == "" {
		return false
	}
	number, err := strconv.ParseInt(id, 10, 64)
	last, lastErr := strconv.ParseInt(lastEventID, 10, 64)
	return err == nil && lastErr == nil && number <= last
}

// handleInterruption handles a response that was interrupted. It reports whether to make
// another attempt.
func (t *transaction) handleInterruption(ctx context.Context, attempt *placedAttempt, err error) (retry bool, requestErr *RequestError) {
	if requestErr := t.checkDone(ctx); requestErr != nil {
		return false, requestErr
	}
	d := t.dispatcher
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := time.Now()
	d.counts.FailedAttempts[FailureIndeterminate]++
	d.log.Debug("response interrupted", "request", t.request.ID, "replica", attempt.endpoint.ID, "error", err)
	return t.afterIndeterminate(attempt, now)
}

// recordFirstEvent records the first event of an attempt. Its prefill time updates the
// prefill model and is announced to the other gateways only if the replica is in this
// gateway's region: network latency distorts the samples of other regions too much.
func (d *Dispatcher) recordFirstEvent(attempt *placedAttempt) {
	if attempt.load.firstEvent {
		return
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := time.Now()
	r, load := attempt.replica, attempt.load
	if took, sampled := load.recordFirstEvent(now); sampled && r.region == d.options.Region {
		d.observePrefill(r, load.estimate.work, took)
		if d.options.OnPrefill != nil {
			d.options.OnPrefill(peer.PrefillSample{
				Replica:     r.key,
				ReferenceUS: microsecondsOf(load.estimate.work),
				MeasuredUS:  microsecondsOf(took),
			})
		}
	}
	r.recordResponse()
	d.zone(r.zone).recordResponse()
	d.log.Debug("first event received", "replica", attempt.endpoint.ID, "took", now.Sub(load.began), "expected", attempt.expected, "tokens", load.tokens, "prefill", load.prefill, "backlog", load.backlog, "in_flight", r.inFlight, "slowdown", r.slowdown)
}

// recordSuccess records a complete response. If it is a server error of the replica, that
// counts as a failure in outlier detection, but not as a failure to reach the replica.
func (d *Dispatcher) recordSuccess(attempt *placedAttempt, status int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := time.Now()
	attempt.replica.recordResponse()
	d.zone(attempt.replica.zone).recordResponse()
	if status >= http.StatusInternalServerError {
		attempt.service.outliers.RecordFailure(now, attempt.replica.id)
		return
	}
	attempt.service.outliers.RecordSuccess(now, attempt.replica.id)
	took := now.Sub(attempt.load.began).Seconds()
	attempt.service.serviceTime += serviceTimeWeight * (took - attempt.service.serviceTime)
}
