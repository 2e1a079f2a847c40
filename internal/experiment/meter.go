package experiment

import (
	"sync"
	"time"

	"github.com/deckpulley/deckpulley/api"
)

// meter counts the outcomes of requests, in total and since the last sample. It is safe
// for concurrent use.
type meter struct {
	mutex  sync.Mutex
	window counts
	total  counts
	errors []error // unexpected errors
}

// counts holds the outcomes of the requests in a period of time.
type counts struct {
	answers     int
	refusals    int
	failures    int
	spills      int
	firstTokens []time.Duration
	codes       map[api.Code]int // refusals by code; nil if they are not counted by code
}

func newMeter() *meter {
	return &meter{total: counts{codes: make(map[api.Code]int)}}
}

// update applies a change to the counts of the current window and to the total.
func (m *meter) update(change func(*counts)) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	change(&m.window)
	change(&m.total)
}

func (m *meter) countAnswer()  { m.update(func(c *counts) { c.answers++ }) }
func (m *meter) countFailure() { m.update(func(c *counts) { c.failures++ }) }
func (m *meter) countSpill()   { m.update(func(c *counts) { c.spills++ }) }

func (m *meter) recordFirstToken(latency time.Duration) {
	m.update(func(c *counts) { c.firstTokens = append(c.firstTokens, latency) })
}

func (m *meter) countRefusal(code api.Code) {
	m.update(func(c *counts) {
		c.refusals++
		if c.codes != nil {
			c.codes[code]++
		}
	})
}

// recordError records an error that makes the experiment fail.
func (m *meter) recordError(err error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.errors = append(m.errors, err)
}

// takeWindow returns the counts since the previous call and resets them.
func (m *meter) takeWindow() counts {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	window := m.window
	m.window = counts{}
	return window
}

// totals returns the counts since the start, and the first recorded error.
func (m *meter) totals() (counts, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if len(m.errors) > 0 {
		return m.total, m.errors[0]
	}
	return m.total, nil
}
