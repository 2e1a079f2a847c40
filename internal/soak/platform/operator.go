package platform

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	standin "github.com/deckpulley/deckpulley/internal/standin/platform"
)

const (
	// callTimeout is how long the operator waits for one response.
	callTimeout = time.Second
	// orderTimeout is how long the operator sends an order again.
	orderTimeout = 30 * time.Second
	orderPause   = 100 * time.Millisecond
)

// document is a configuration. Versions differ in their number and in one route, of a path that
// no other version has.
const document = `{"version":%[1]d,"routes":[
 {"name":"version","host":"h.test","path_prefix":"/version-%[1]d/","kind":"idempotent","timeout_ms":3000,"service":"s"},
 {"name":"once","host":"h.test","path_prefix":"/once/","kind":"non_idempotent","timeout_ms":3000,"service":"s"},
 {"name":"again","host":"h.test","path_prefix":"/again/","kind":"idempotent","timeout_ms":3000,"service":"s","max_attempts":3},
 {"name":"stream","host":"h.test","path_prefix":"/stream/","kind":"streaming","timeout_ms":3000,"service":"s","max_attempts":3,"resumable":true}],
 "services":[{"name":"s","max_connections":1000}],
 "limits":{"max_header_bytes":4000,"max_body_bytes":4000}}`

// operators sends orders as the platform's operators do: to any node, and again when the
// answer is not clear.
type operators struct {
	site *site
	http http.Client

	mutex        sync.Mutex
	acknowledged int // newest acknowledged version
	sent         int // newest version that was sent
}

func newOperators(s *site) *operators {
	return &operators{site: s, http: http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}}
}

// order sends an order until it gets a clear answer, and returns its status.
func (o *operators) order(method, path, base, body string, first int) (status int, text string, err error) {
	deadline := time.Now().Add(orderTimeout)
	for attempt := first; time.Now().Before(deadline); attempt++ {
		address := o.site.controls[attempt%len(o.site.controls)].listens().control
		status, text = standin.CallOperator(&o.http, method, "http://"+address+path, base, body)
		if status > 0 && status < http.StatusInternalServerError && status != http.StatusTooManyRequests && status != http.StatusRequestTimeout {
			return status, text, nil
		}
		time.Sleep(orderPause)
	}
	return 0, "", errNotTaken
}

// configure submits the next version. Two operators that come at once build on the same
// version: one of them wins, or both are the same.
func (o *operators) configure(first int) error {
	o.mutex.Lock()
	base, next := o.acknowledged, o.acknowledged+1
	o.sent = max(o.sent, next)
	o.mutex.Unlock()
	status, _, err := o.order(http.MethodPut, "/config", strconv.Itoa(base), fmt.Sprintf(document, next), first)
	if err != nil {
		return err
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	switch status {
	case http.StatusOK:
		o.acknowledged = max(o.acknowledged, next)
	case http.StatusPreconditionFailed, http.StatusBadRequest: // another one won
	default:
		o.site.record.report(RuleConfiguration, "version %d on %d was answered %d", next, base, status)
	}
	return nil
}

// evacuate empties a zone and takes that back.
func (o *operators) evacuate(zone string, length time.Duration, first int) error {
	if _, _, err := o.order(http.MethodPost, "/evacuate/"+zone, "", "", first); err != nil {
		return err
	}
	time.Sleep(length)
	_, _, err := o.order(http.MethodDelete, "/evacuate/"+zone, "", "", first+1)
	return err
}

// checkConfiguration reads the configuration back at the end. It returns its version, 0 if it is
// none that may be in force.
func (o *operators) checkConfiguration() int {
	status, text, err := o.order(http.MethodGet, "/config", "", "", 0)
	if err != nil || status != http.StatusOK {
		o.site.record.report(RuleConfiguration, "the configuration can't be read back: status %d, %v", status, err)
		return 0
	}
	for version := o.acknowledged; version <= o.sent; version++ {
		if text == fmt.Sprintf(document, version) {
			return version
		}
	}
	o.site.record.report(RuleConfiguration, "version %d is acknowledged, read back was %.60q", o.acknowledged, text)
	return 0
}

// applyTime is how long after an acknowledgement all gateways decide by the new version.
const applyTime = 2500 * time.Millisecond

// checkInForce reports gateways that don't decide by a version, applyTime after it was read back.
func (o *operators) checkInForce(version int) {
	time.Sleep(applyTime)
	for _, gateway := range o.site.gateways {
		url := fmt.Sprintf("http://%s/version-%d/x", gateway.listens().front, version)
		if o.probe(url, gateway.name) == http.StatusNotFound {
			o.site.record.report(RuleConfiguration, "%s answers 404 on the route of version %d, %v after it was read back", gateway.name, version, applyTime)
		}
	}
}

// probe sends a request to one gateway and returns the status, 0 without an answer.
func (o *operators) probe(url, id string) int {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url, strings.NewReader("body"))
	if err != nil {
		return 0
	}
	request.Host = host
	request.Header.Set(standin.HeaderRequestID, "probe-"+id)
	response, err := o.http.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	return response.StatusCode
}
