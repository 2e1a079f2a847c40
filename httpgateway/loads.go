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

// reports collects what the other gateways have yet to be told.
type reports struct {
	mutex sync.Mutex
	// near and far are the prompts that the gateways of the own region and of the
	// others have yet to hear of.
	near, far []peer.PlacedPrompt
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
func (r *reports) placed(replica string, reading time.Duration) {
	prompt := peer.PlacedPrompt{Replica: replica, ReadingMS: int(reading.Milliseconds())}
	r.mutex.Lock()
	r.near = append(r.near, prompt)
	r.far = append(r.far, prompt)
	r.mutex.Unlock()
	switch {
	case reading >= longReading:
		signal(r.wakeFar)
	case reading >= promptReading:
		signal(r.wake)
	}
}

func signal(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// take returns what is open for one kind of hearer, and clears it.
func (r *reports) take(far bool) []peer.PlacedPrompt {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if far {
		open := r.far
		r.far = nil
		return open
	}
	open := r.near
	r.near = nil
	return open
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
	placed := p.reports.take(far)
	own := p.options.Info
	for name, other := range contents.Gateways() {
		if name == own.Name || !other.Up || far != (other.Region != own.Region) {
			continue
		}
		p.reportTo(name, other, placed, contents)
	}
}

// reportTo sends one report, unless it and the one before it are empty.
func (p *Proxy) reportTo(name string, other places.Gateway, placed []peer.PlacedPrompt, contents *places.Contents) {
	loads := p.dispatcher.Loads(other.Region)
	open := p.concerning(other, placed, contents)
	if len(loads) == 0 && len(open) == 0 && !p.reports.told[name] {
		return
	}
	p.reports.told[name] = len(loads) > 0
	p.options.Network.Send(other.PeerAddress, peer.KindReplicaLoads, &peer.ReplicaLoads{
		Gateway: p.options.Info.Name,
		Loads:   loads,
		Placed:  open,
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
