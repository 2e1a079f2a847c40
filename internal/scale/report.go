package scale

import (
	"fmt"
	"os"
	"runtime"
	"strings"
	"time"

	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/transport"
)

// Markers that enclose the generated part of the page.
const (
	beginMarker = "<!-- begin of the measured tables: written by make capacity -->"
	endMarker   = "<!-- end of the measured tables -->"
)

// capacityReport is the result of a complete measurement.
type capacityReport struct {
	started    time.Time
	elapsed    time.Duration
	byGateways []sizeReading
	byReplicas []sizeReading
	relays     []relayReading
	poll       pollReading
}

// writeBetweenMarkers replaces the text between the markers of a page.
func writeBetweenMarkers(path, text string) error {
	page, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	before, rest, begins := strings.Cut(string(page), beginMarker)
	_, after, ends := strings.Cut(rest, endMarker)
	if !begins || !ends {
		return fmt.Errorf("%s does not contain the markers %q and %q", path, beginMarker, endMarker)
	}
	return os.WriteFile(path, []byte(before+beginMarker+"\n"+text+endMarker+after), 0o644)
}

// markdown builds a Markdown text with tables.
type markdown struct{ strings.Builder }

func (m *markdown) row(cells ...string) {
	m.WriteString("| " + strings.Join(cells, " | ") + " |\n")
}

func (m *markdown) header(cells ...string) {
	m.row(cells...)
	rules := make([]string, len(cells))
	for i := range rules {
		rules[i] = "---"
	}
	m.row(rules...)
}

func (m *markdown) paragraph(format string, arguments ...any) {
	fmt.Fprintf(m, "\n"+format+"\n\n", arguments...)
}

// tables returns the generated part of the page: all figures as Markdown tables.
func (r *capacityReport) tables() string {
	m := &markdown{}
	m.paragraph("Measured on %s on a machine of %d cores shared with other work, in %.0f s, over the loopback interface. Processor time is that of the process, user and system, so that other work disturbs it little; times of day are disturbed more.",
		r.started.Format("2006-01-02"), runtime.NumCPU(), r.elapsed.Seconds())
	sizesTable(m, "### By the number of gateways", r.byGateways)
	sizesTable(m, "### By the number of listed replicas", r.byReplicas)
	r.kindTable(m)
	r.relayTable(m)
	r.slopeTable(m)
	r.targetTable(m)
	return m.String()
}

// sizesTable adds a table with one row for each measured size.
func sizesTable(m *markdown, title string, readings []sizeReading) {
	m.WriteString("\n" + title + "\n\n")
	m.header("gateways", "replicas", "primary: B/s", "frames/s", "core", "heap MiB", "resident MiB",
		"follower: core", "resident MiB", "gateway: B/s", "frames/s", "core", "heap MiB",
		"change: B at primary", "ms of its core", "B at gateway", "acknowledged, median", "longest", "active at the last gateway, longest", "50 in a row", "up to 70 lost and started: until all have leases", "until a change is in force", "loss of the primary")
	for _, one := range readings {
		m.row(
			fmt.Sprint(one.gateways), fmt.Sprint(one.replicas),
			number(one.primary.bytes), number(one.primary.messages), percent(one.primary.cpu), number(one.primary.heap/mebibyte), number(one.primary.resident/mebibyte),
			percent(one.follower.cpu), number(one.follower.resident/mebibyte),
			number(one.gateway.bytes), number(one.gateway.messages), percent(one.gateway.cpu), number(one.gateway.heap/mebibyte),
			number(one.primaryBytesPerChange), number(1000*one.primaryCPUPerChange), number(one.gatewayBytesPerChange),
			millis(median(one.acknowledged)), millis(longest(one.acknowledged)), millis(longest(one.activatedEverywhere)),
			seconds(one.burst), seconds(one.leasesAfterRestart), seconds(one.changeAfterRestart), seconds(one.failover),
		)
	}
}

// kindNames maps the kinds of frames that control nodes exchange at rest, with gateways
// and with each other, to their names in the report.
var kindNames = map[transport.Kind]string{
	0:                  "pings, handshakes",
	peer.KindConsensus: "consensus",
	peer.KindHello:     "hello",
	peer.KindBootstrap: "form",
	peer.KindJoin:      "join",
	peer.KindRenew:     "renew and grant",
	peer.KindNotify:    "notify",
	peer.KindUpdate:    "update",
	peer.KindOperation: "order",
}

// kindTable adds a table of the primary's frame rates by kind, at the largest measured
// number of gateways.
func (r *capacityReport) kindTable(m *markdown) {
	largest := r.byGateways[len(r.byGateways)-1]
	fmt.Fprintf(m, "\n### The primary's frames at rest, at %d gateways\n\n", largest.gateways)
	m.header("kind", "frames/s, both ways", "B/s, both ways")
	for _, rate := range largest.primaryFrameRates {
		name, known := kindNames[rate.kind]
		if !known {
			name = fmt.Sprintf("between control nodes (kind %d)", rate.kind)
		}
		m.row(name, number(rate.frames), number(rate.bytes))
	}
}

// relayTable adds a table of the costs of relaying streams, and the cost of a poll.
func (r *capacityReport) relayTable(m *markdown) {
	m.WriteString("\n### Streams through one real gateway\n\n")
	m.header("streams", "events/s", "core", "resident MiB", "failed")
	for _, one := range r.relays {
		m.row(fmt.Sprint(one.streams), number(one.events), percent(one.cpu), number(one.resident/mebibyte), fmt.Sprint(one.failed))
	}
	m.paragraph("One poll of a replica's report: %s bytes both ways and %.0f µs of processor time at both ends together (%d polls over one connection).",
		number(r.poll.bytes), r.poll.cpu*1e6, pollCount)
}

// slopeTable adds a table of the fitted lines.
func (r *capacityReport) slopeTable(m *markdown) {
	m.WriteString("\n### Slopes\n\n")
	m.header("figure", "unit", "intercept", "slope", "per", "largest residual", "points", "up to")
	for _, s := range r.slopes() {
		m.row(s.name, s.unit, number(s.Intercept), number(s.Slope), s.per, number(s.Residual), fmt.Sprint(s.Points), number(s.Highest))
	}
}

// targetTable adds a table of the figures at the target size, with their bounds.
func (r *capacityReport) targetTable(m *markdown) {
	m.WriteString("\n### The target size\n\n")
	m.header("role", "figure", "worked out as", "value", "bound", "verdict", "mechanism that carries it")
	for _, t := range r.targets() {
		m.row(t.role, t.figure, t.formula, t.value, t.bound, string(t.verdict), t.mechanism)
	}
}

// longest returns the longest of the durations, or 0 if there are none.
func longest(durations []time.Duration) time.Duration {
	var result time.Duration
	for _, duration := range durations {
		result = max(result, duration)
	}
	return result
}

// number formats a value with three significant digits, but with all digits of its
// integer part from 1000 on.
func number(value float64) string {
	switch size := max(value, -value); {
	case size >= 100:
		return fmt.Sprintf("%.0f", value)
	case size >= 10:
		return fmt.Sprintf("%.1f", value)
	case size >= 1:
		return fmt.Sprintf("%.2f", value)
	default:
		return fmt.Sprintf("%.3g", value)
	}
}

func percent(share float64) string { return number(100*share) + "%" }

func millis(duration time.Duration) string {
	return number(float64(duration)/float64(time.Millisecond)) + " ms"
}

func seconds(duration time.Duration) string { return number(duration.Seconds()) + " s" }
