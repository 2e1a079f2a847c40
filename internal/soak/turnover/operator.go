package turnover

import (
	"errors"
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
	// orderTimeout is how long the operator sends a configuration again.
	orderTimeout = 20 * time.Second
	orderPause   = 100 * time.Millisecond
	routeHost    = "h.test"
)

// errNotAcknowledged means that no control node acknowledged a configuration in time.
var errNotAcknowledged = errors.New("turnover: no control node acknowledged the configuration in time")

// routePath returns the path prefix of the route that a version adds.
func routePath(version int) string { return fmt.Sprintf("/version-%d/", version) }

// document returns the configuration with a version: each version adds a route.
func document(version int) string {
	var routes []string
	for number := 1; number <= version; number++ {
		routes = append(routes, fmt.Sprintf(
			`{"name":"r%d","host":%q,"path_prefix":%q,"kind":"idempotent","timeout_ms":3000,"service":%q,"max_attempts":3}`,
			number, routeHost, routePath(number), service))
	}
	return fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":%q,"max_connections":1000}]}`, version, strings.Join(routes, ","), service)
}

// operator submits configurations to any control node, and again when the answer is not
// clear. It is safe for concurrent use.
type operator struct {
	site *site
	http http.Client

	mutex sync.Mutex
	// acknowledged are the times of the acknowledgements, by version minus one.
	acknowledged []time.Time
	next         int // position of the control node to call
}

func newOperator(s *site) *operator {
	return &operator{site: s, http: http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}}
}

// newest returns the newest version that was acknowledged before a time.
func (o *operator) newest(before time.Time) int {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	version := 0
	for i, at := range o.acknowledged {
		if at.Before(before) {
			version = i + 1
		}
	}
	return version
}

// change submits the next version until it is acknowledged.
func (o *operator) change() error {
	o.mutex.Lock()
	base := len(o.acknowledged)
	o.mutex.Unlock()
	deadline := time.Now().Add(orderTimeout)
	for time.Now().Before(deadline) {
		status, _ := o.call(http.MethodPut, strconv.Itoa(base), document(base+1))
		if status == http.StatusOK {
			o.mutex.Lock()
			defer o.mutex.Unlock()
			o.acknowledged = append(o.acknowledged, time.Now())
			return nil
		}
		time.Sleep(orderPause)
	}
	return errNotAcknowledged
}

// readBack returns the configuration that a control node returns, once one does.
func (o *operator) readBack() (string, error) {
	deadline := time.Now().Add(orderTimeout)
	for time.Now().Before(deadline) {
		if status, text := o.call(http.MethodGet, "", ""); status == http.StatusOK {
			return text, nil
		}
		time.Sleep(orderPause)
	}
	return "", errNotAcknowledged
}

// call calls the next control node. The status is 0 if there is no answer.
func (o *operator) call(method, base, body string) (status int, text string) {
	controls := o.site.controls()
	o.mutex.Lock()
	o.next++
	target := controls[o.next%len(controls)]
	o.mutex.Unlock()
	return callConfiguration(&o.http, target, method, base, body)
}

// callConfiguration calls one control node's configuration interface.
func callConfiguration(client *http.Client, target *machine, method, base, body string) (status int, text string) {
	url := "http://" + target.control().settings.ListenAddrs.Control + "/config"
	return standin.CallOperator(client, method, url, base, body)
}
