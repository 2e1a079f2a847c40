package caller

import (
	"math/rand/v2"

	"github.com/deckpulley/deckpulley/internal/workload"
)

// treatment determines how a caller sends its request.
type treatment struct {
	gateways  []string // in the order in which they are asked where to send the request
	duplicate bool
	resend    bool
	abandon   bool
}

// draw selects the treatment of a request at random. It is called in the order of arrival,
// so that the same seed gives the same treatments.
func (p *Pool) draw(arrival workload.Request) treatment {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	ratios := p.config.Ratios
	drawn := treatment{gateways: p.gatewaysFor(arrival.Region)}
	nonRepeatable := !arrival.Generate.Repeatable
	draw := p.random.Float64()
	switch {
	case nonRepeatable && draw < ratios.Duplicated:
		drawn.duplicate = true
	case nonRepeatable && draw < ratios.Duplicated+ratios.Resent:
		drawn.resend = true
	}
	drawn.abandon = arrival.Generate.Stream && !drawn.duplicate && p.random.Float64() < ratios.Abandoned
	return drawn
}

// gatewaysFor returns the gateways in the order in which a caller tries them: its own region
// first, a random starting point within each region, and recently failed gateways last.
func (p *Pool) gatewaysFor(region string) []string {
	list := rotated(p.config.Gateways[region], p.random)
	for _, other := range p.config.Regions {
		if other != region {
			list = append(list, rotated(p.config.Gateways[other], p.random)...)
		}
	}
	return p.suspects.moveLast(list)
}

// rotated returns a copy of the list, rotated to start at a random item.
func rotated(list []string, random *rand.Rand) []string {
	if len(list) == 0 {
		return nil
	}
	first := random.IntN(len(list))
	return append(append([]string(nil), list[first:]...), list[:first]...)
}
