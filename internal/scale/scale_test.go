package scale

import (
	"context"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/deckpulley/deckpulley/configuration"
)

// TestMain runs the test binary as a child process of a measurement, if it was started
// as one.
func TestMain(m *testing.M) {
	if len(os.Args) == 2 && os.Args[1] == ChildArgument {
		if err := ServeChild(os.Stdin, os.Stdout); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

func TestFitLine(t *testing.T) {
	found := fit([]float64{1, 2, 3, 4}, []float64{5, 7, 9, 11})
	if math.Abs(found.Slope-2) > 1e-9 || math.Abs(found.Intercept-3) > 1e-9 || found.Residual > 1e-9 || found.Highest != 4 {
		t.Errorf("an exact line: %+v", found)
	}
	bent := fit([]float64{0, 1, 2}, []float64{0, 3, 0})
	if math.Abs(bent.Residual-2) > 1e-9 || math.Abs(bent.at(10)-1) > 1e-9 {
		t.Errorf("a bent one: %+v", bent)
	}
}

func TestVerdictFor(t *testing.T) {
	for _, c := range []struct {
		value, bound, residual, size, measuredTo float64
		want                                     verdict
	}{
		{2, 1, 0, 10, 10, notMet},
		{1, 1, 0, 10, 10, metMeasured},
		{1, 1, 0, 10, 9, metExtrapolated},
		{0.8, 1, 0.3, 10, 10, undecided},
		{math.NaN(), 1, 0, 10, 10, notMet},
	} {
		if got := verdictFor(c.value, c.bound, c.residual, c.size, c.measuredTo); got != c.want {
			t.Errorf("%+v: %s", c, got)
		}
	}
}

func TestWriteBetweenMarkers(t *testing.T) {
	path := filepath.Join(t.TempDir(), "page.md")
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("a\n" + beginMarker + "\nold\n" + endMarker + "\nz\n")
	if err := writeBetweenMarkers(path, "new\n"); err != nil {
		t.Fatal(err)
	}
	got, err := os.ReadFile(path)
	if want := "a\n" + beginMarker + "\nnew\n" + endMarker + "\nz\n"; err != nil || string(got) != want {
		t.Errorf("got %q, %v", got, err)
	}
	write("a page without markers")
	if err := writeBetweenMarkers(path, "new"); err == nil {
		t.Error("a page without markers was changed")
	}
}

func TestConfigurationTextIsValidAndChanges(t *testing.T) {
	first, err := configurationText(1)
	if err != nil {
		t.Fatal(err)
	}
	second, err := configurationText(2)
	if err != nil || first == second {
		t.Fatalf("the second document equals the first, or %v", err)
	}
	document, err := configuration.Parse(second)
	if err != nil {
		t.Fatal(err)
	}
	if err := document.Validate(); err != nil {
		t.Fatal(err)
	}
	zones := 0
	for _, region := range document.Regions {
		zones += len(region.Zones)
	}
	if len(document.Regions) != regionCount || zones != zoneCount || len(document.Routes) != modelCount {
		t.Errorf("%d regions, %d zones, %d routes", len(document.Regions), zones, len(document.Routes))
	}
}

// TestAcknowledgedChangesAreActive runs the steps of a measurement with real processes:
// an acknowledged change must be active at every hollow gateway, also after restarts of
// gateways and the loss of the primary.
func TestAcknowledgedChangesAreActive(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	g, err := startGroup(ctx, replicaList(20))
	if err != nil {
		t.Fatal(err)
	}
	defer g.stop()
	const gateways = 3
	child, err := g.startHollowGateways(ctx, gateways)
	if err != nil {
		t.Fatal(err)
	}
	defer child.stop()
	primary, err := g.primary(ctx)
	if err != nil {
		t.Fatal(err)
	}
	m := &measurement{group: g, hollow: child, primary: primary, follower: (primary + 1) % controlCount}
	result := sizeReading{gateways: gateways}
	if err := m.measureChanges(ctx, &result); err != nil {
		t.Fatal(err)
	}
	if len(result.activatedEverywhere) != changes || result.perChange <= 0 || result.perGateway <= 0 {
		t.Errorf("changes left no trace: %+v", result)
	}
	if err := m.measureRestarts(ctx, &result); err != nil {
		t.Fatal(err)
	}
	if _, err := m.activatedAt(gateways); err != nil {
		t.Errorf("after the restart: %v", err)
	}
	if err := m.measurePrimaryLoss(ctx, &result); err != nil {
		t.Fatal(err)
	}
	if _, err := m.activatedAt(gateways); err != nil {
		t.Error(err)
	}
}

func TestReportHasEveryFigure(t *testing.T) {
	one := func(gateways, replicas int) sizeReading {
		return sizeReading{gateways: gateways, replicas: replicas, acknowledged: []time.Duration{1}, activatedEverywhere: []time.Duration{1}, burst: 1}
	}
	report := capacityReport{
		byGateways: []sizeReading{one(1, 9), one(2, 9), one(3, 9)},
		byReplicas: []sizeReading{one(5, 1), one(5, 2), one(5, 3)},
		relays:     []relayReading{{events: 1, cpu: 1}, {events: 2, cpu: 2}, {events: 3, cpu: 3}},
	}
	text := report.tables()
	if strings.Contains(text, "NaN") || strings.Contains(text, "%!") {
		t.Errorf("the report has holes:\n%s", text)
	}
	if single := one(3, 9).againstBounds(); strings.Count(single, "\n| ") < 14 || strings.Contains(single, "NaN") {
		t.Errorf("one size:\n%s", single)
	}
	for _, row := range report.targets() {
		if !strings.Contains(text, "| "+row.role+" | "+row.figure+" |") || row.mechanism == "" || row.verdict == "" {
			t.Errorf("row %+v is missing or incomplete", row)
		}
	}
}

func TestMeasurePoll(t *testing.T) {
	poll, err := measurePoll(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if poll.bytes < 300 || poll.bytes > 3000 || poll.cpu <= 0 {
		t.Errorf("one poll: %+v", poll)
	}
}

func TestPlanCheck(t *testing.T) {
	good := Plan{Gateways: []int{1, 2, 3}, Replicas: []int{1, 2, 3}, Streams: []int{1, 2, 3}}
	if err := good.Check(); err != nil {
		t.Error(err)
	}
	one := Plan{Nodes: 402, Replicas: []int{12000}}
	if err := one.Check(); err != nil {
		t.Error(err)
	}
	two, page := one, one
	two.Replicas, page.Page = []int{1, 2}, "page"
	short, zero := good, good
	short.Streams, zero.Gateways = []int{1, 2}, []int{0, 1, 2}
	for _, bad := range []Plan{short, zero, two, page} {
		if bad.Check() == nil {
			t.Errorf("accepted %+v", bad)
		}
	}
}
