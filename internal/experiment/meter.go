package experiment

import (
	"sync"
	"time"

	"github.com/deckpulley/deckpulley/api"
)

// meter counts what becomes of requests between two samples.
type meter struct {
	mutex  sync.Mutex
	window counts
	total  counts
	errors []error
}

// counts are sums over a time.
type counts struct {
	answers     int
	refusals    int
	failures    int
	spills      int
	firstTokens []time.Duration
	codes       map[api.Code]int
}

func newMeter() *meter {
	return &meter{total: counts{codes: make(map[api.Code]int)}}
}

func (m *meter) change(work func(*counts)) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	work(&m.window)
	work(&m.total)
}

func (m *meter) answered() { m.change(func(c *counts) { c.answers++ }) }
func (m *meter) failed()   { m.change(func(c *counts) { c.failures++ }) }
func (m *meter) spilled()  { m.change(func(c *counts) { c.spills++ }) }

func (m *meter) firstToken(after time.Duration) {
	m.change(func(c *counts) { c.firstTokens = append(c.firstTokens, after) })
}

func (m *meter) refused(code api.Code) {
	m.change(func(c *counts) {
		c.refusals++
		if c.codes != nil {
			c.codes[code]++
		}
	})
}

// note keeps an error that should not happen.
func (m *meter) note(err error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.errors = append(m.errors, err)
}

// take returns the counts since the last call.
func (m *meter) take() counts {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	window := m.window
	m.window = counts{}
	return window
}

// sum returns the counts since the start and the first error noted.
func (m *meter) sum() (counts, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if len(m.errors) > 0 {
		return m.total, m.errors[0]
	}
	return m.total, nil
}
