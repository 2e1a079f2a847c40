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

// maxBufferedBody is the size in bytes up to which a body is read whole before any of
// it is relayed, so that the request can be retried if the body is interrupted.
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
		_, _ = t.client.Write(buffered) // the replica has served the request, whoever receives the response
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

// writeHead sends the head of the first response. A resumed one continues it.
func (t *transaction) writeHead(response *Response) {
	if t.responseStarted {
		return
	}
	t.responseStarted = true
	t.client.WriteHead(response.Status, response.Header)
}

// relayEvents relays an event stream, whole events only. The head of the response waits
// for the first event, so that an attempt that is interrupted before it can be retried.
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

// isDuplicate reports whether the client already has an event. It compares ids that are
// numbers, which rise within a stream; an event with any other id is no duplicate.
func isDuplicate(id, lastEventID string) bool {
	if id == "" || lastEventID == "" {
		return false
	}
	number, err := strconv.ParseInt(id, 10, 64)
	last, lastErr := strconv.ParseInt(lastEventID, 10, 64)
	return err == nil && lastErr == nil && number <= last
}

// handleInterruption decides what follows a response that was interrupted.
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

// recordFirstEvent records the first event of an attempt. Only samples of the own
// region are learned from and announced: the network has too large a share in others.
func (d *Dispatcher) recordFirstEvent(attempt *placedAttempt) {
	if attempt.use.firstEvent {
		return
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := time.Now()
	r, use := attempt.replica, attempt.use
	if took, sampled := use.recordFirstEvent(now); sampled && r.region == d.options.Region {
		d.observePrefill(r, use.estimate.work, took)
		if d.options.OnPrefill != nil {
			d.options.OnPrefill(peer.PrefillSample{
				Replica:     r.key,
				ReferenceUS: microsecondsOf(use.estimate.work),
				MeasuredUS:  microsecondsOf(took),
			})
		}
	}
	r.recordResponse()
	d.zone(r.zone).recordResponse()
	d.log.Debug("first event received", "replica", attempt.endpoint.ID, "took", now.Sub(use.began), "expected", attempt.expected, "tokens", use.tokens, "prefill", use.prefill, "backlog", use.backlog, "in_flight", r.inFlight, "slowdown", r.slowdown)
}

// recordSuccess records a whole response. An error of the replica counts as a failure
// in outlier detection only.
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
	took := now.Sub(attempt.use.began).Seconds()
	attempt.service.serviceTime += serviceTimeWeight * (took - attempt.service.serviceTime)
}
