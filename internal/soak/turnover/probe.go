package turnover

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	standin "github.com/deckpulley/deckpulley/internal/standin/platform"
)

const (
	// applyTime is the time from an acknowledgement until all gateways in contact must decide
	// by the new version.
	applyTime = 2500 * time.Millisecond
	// contactTime is how long a machine must have run with all its paths until the rules
	// count, and how long the control nodes must have been stable.
	contactTime = 4 * time.Second
	// firstVersion is the version with which traffic starts.
	firstVersion = 1
	// probeInterval is the time between two probes of one gateway.
	probeInterval = 100 * time.Millisecond
	// probeTimeout is how long a probe waits for an answer.
	probeTimeout = 3 * time.Second
)

// Finding is one request that was decided by an old configuration, or another broken rule.
type Finding struct {
	At      time.Duration `json:"at_ns"` // since the start of traffic
	Machine string        `json:"machine"`
	Text    string        `json:"text"`
}

// record collects what a play shows. It is safe for concurrent use.
type record struct {
	started time.Time

	mutex    sync.Mutex
	findings []Finding
	statuses map[int]int
	// unstableUntil is when the control nodes last changed.
	unstableUntil time.Time
}

func (r *record) report(machine, format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.findings = append(r.findings, Finding{At: time.Since(r.started), Machine: machine, Text: fmt.Sprintf(format, arguments...)})
}

func (r *record) count(status int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.statuses[status]++
}

// disturbCore records that the control nodes change now.
func (r *record) disturbCore() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.unstableUntil = time.Now()
}

// coreStable reports whether the control nodes have been stable for contactTime.
func (r *record) coreStable(now time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return now.Sub(r.unstableUntil) > contactTime
}

// prober sends requests on the newest acknowledged route to every gateway.
type prober struct {
	site     *site
	operator *operator
	record   *record
	http     http.Client
}

// run probes until ctx ends. Machines that start later are probed too.
func (p *prober) run(ctx context.Context) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	var probes sync.WaitGroup
	defer probes.Wait()
	for number := 0; ; number++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, m := range p.site.running() {
			id := fmt.Sprintf("probe-%s-%d", m.name, number)
			probes.Go(func() { p.probe(m, id) })
			if m.control() != nil {
				probes.Go(func() { p.read(m) })
			}
		}
	}
}

// probe sends one request to the gateway of a machine and judges the answer.
func (p *prober) probe(m *machine, id string) {
	sent := time.Now()
	version := max(p.operator.newest(sent.Add(-applyTime)), firstVersion)
	status := p.send(m, version, id)
	p.record.count(status)
	judged := m.inContact(sent) && p.record.coreStable(sent)
	if status == http.StatusNotFound && judged {
		p.record.report(m.name, "CONFIG: a request on the route of version %d was answered 404", version)
	}
}

// send sends a request on the route of a version. The status is 0 without an answer.
func (p *prober) send(m *machine, version int, id string) int {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	url := "http://" + m.gateway().settings.ListenAddrs.Front + routePath(version) + "x"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("body"))
	if err != nil {
		return 0
	}
	request.Host = routeHost
	request.Header.Set(standin.HeaderRequestID, id)
	request.Header.Set(standin.HeaderDeadline, fmt.Sprint(probeTimeout.Milliseconds()))
	response, err := p.http.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// read reads the configuration at a control node, which must not be older than what was
// acknowledged before, whether or not the node is in contact.
func (p *prober) read(m *machine) {
	sent := time.Now()
	version := p.operator.newest(sent.Add(-applyTime))
	status, text := callConfiguration(&p.http, m, http.MethodGet, "", "")
	if status != http.StatusOK {
		return
	}
	var read struct {
		Version int `json:"version"`
	}
	if err := json.Unmarshal([]byte(text), &read); err != nil || read.Version < version {
		p.record.report(m.name, "CONFIG: read version %d back, %d is acknowledged", read.Version, version)
	}
}
