package httpgateway

import (
	"context"
	"sync"
	"time"

	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/places"
)

// Reports of load. Gateways of one region share replicas and hear of each other
// often; those of other regions seldom, but of long prompts at once.
const (
	// reportInterval is the time between two reports within a region.
	reportInterval = 80 * time.Millisecond
	// farReports is the number of intervals between two reports to other regions.
	farReports = 5
	// promptReading is the time to read a prompt that is told within the region at
	// once, and longReading one that is told everywhere at once.
	promptReading = 40 * time.Millisecond
	longReading   = 200 * time.Millisecond
)

// news is what other gateways have yet to hear of.
type news struct {
	placed []peer.PlacedPrompt
	read   []peer.ReadPrompt
}

// reports collects what the other gateways have yet to be told.
type reports struct {
	mutex sync.Mutex
	// near and far are what the gateways of the own region and of the others have
	// yet to hear of.
	near, far news
	// told are the gateways whose last report was not empty.
	told map[string]bool
	// wake asks for a report within the region, wakeFar for one everywhere.
	wake    chan struct{}
	wakeFar chan struct{}
}

func newReports() reports {
	return reports{told: make(map[string]bool), wake: make(chan struct{}, 1), wakeFar: make(chan struct{}, 1)}
}

// placed notes a prompt that was given to a replica.
func (r *reports) placed(prompt peer.PlacedPrompt) {
	r.mutex.Lock()
	r.near.placed = append(r.near.placed, prompt)
	r.far.placed = append(r.far.placed, prompt)
	r.mutex.Unlock()
	reading := time.Duration(prompt.ReadingMS) * time.Millisecond
	switch {
	case reading >= longReading:
		signal(r.wakeFar)
	case reading >= promptReading:
		signal(r.wake)
	}
}

// measured notes what a prompt told of a replica's speed.
func (r *reports) measured(replica string, slowness float64) {
	read := peer.ReadPrompt{Replica: replica, Slowness: slowness}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.near.read = append(r.near.read, read)
	r.far.read = append(r.far.read, read)
}

func signal(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// take returns what has not been told yet, once.
func (r *reports) take(far bool) news {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	source := &r.near
	if far {
		source = &r.far
	}
	taken := *source
	*source = news{}
	return taken
}

func (p *Proxy) serveLoads(_ context.Context, _ string, decode func(any) error) (any, error) {
	var report peer.ReplicaLoads
	if err := decode(&report); err != nil {
		return nil, err
	}
	p.dispatcher.Observe(report)
	return nil, nil
}

// reportLoads tells the other gateways what this one has under way.
func (p *Proxy) reportLoads(ctx context.Context) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for count := 1; ; {
		far := false
		select {
		case <-ctx.Done():
			return
		case <-p.reports.wake:
		case <-p.reports.wakeFar:
			far = true
		case <-ticker.C:
			far = count%farReports == 0
			count++
		}
		p.report(false)
		if far {
			p.report(true)
		}
	}
}

// report sends to the gateways of the own region, or to all others.
func (p *Proxy) report(far bool) {
	contents := p.contents.Load()
	if contents == nil {
		return
	}
	untold := p.reports.take(far)
	own := p.options.Info
	for name, other := range contents.Gateways() {
		if name == own.Name || !other.Up || far != (other.Region != own.Region) {
			continue
		}
		p.reportTo(name, other, untold, contents)
	}
}

// reportTo sends one report, unless it and the one before it are empty.
func (p *Proxy) reportTo(name string, other places.Gateway, untold news, contents *places.Contents) {
	loads := p.dispatcher.Loads(other.Region)
	placed := p.concerning(other, untold.placed, contents)
	if len(loads)+len(placed)+len(untold.read) == 0 && !p.reports.told[name] {
		return
	}
	p.reports.told[name] = len(loads) > 0
	p.options.Network.Send(other.PeerAddress, peer.KindReplicaLoads, &peer.ReplicaLoads{
		Gateway: p.options.Info.Name,
		Loads:   loads,
		Placed:  placed,
		Read:    untold.read,
	})
}

// concerning leaves out what another region's gateway need not know: short
// prompts outside its own region.
func (p *Proxy) concerning(other places.Gateway, placed []peer.PlacedPrompt, contents *places.Contents) []peer.PlacedPrompt {
	if other.Region == p.options.Info.Region {
		return placed
	}
	var open []peer.PlacedPrompt
	for _, prompt := range placed {
		long := prompt.ReadingMS >= int(promptReading.Milliseconds())
		if long || contents.Replicas()[prompt.Replica].Region == other.Region {
			open = append(open, prompt)
		}
	}
	return open
}
