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

// TestMain lets the test binary also serve as the child process of a measurement, which
// starts it with ChildArgument.
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
		t.Errorf("fit of collinear points: got %+v, want y = 3 + 2x without residual", found)
	}
	bent := fit([]float64{0, 1, 2}, []float64{0, 3, 0})
	if math.Abs(bent.Residual-2) > 1e-9 || math.Abs(bent.at(10)-1) > 1e-9 {
		t.Errorf("fit of points that are not collinear: got %+v, want y = 1 with residual 2", bent)
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
			t.Errorf("verdict for %+v: got %q", c, got)
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
		t.Errorf("page after the replacement: %q, error %v", got, err)
	}
	write("a page without markers")
	if err := writeBetweenMarkers(path, "new"); err == nil {
		t.Error("writeBetweenMarkers accepted a page without markers")
	}
}

func TestConfigurationTextIsValidAndChanges(t *testing.T) {
	first, err := configurationText(1)
	if err != nil {
		t.Fatal(err)
	}
	second, err := configurationText(2)
	if err != nil || first == second {
		t.Fatalf("the document of step 2 equals that of step 1, or is not available: %v", err)
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
		t.Errorf("document has %d regions, %d zones and %d routes", len(document.Regions), zones, len(document.Routes))
	}
}

// TestAcknowledgedChangesAreActive runs the steps of a measurement with real processes.
// It checks that an acknowledged change is active at every hollow gateway, also after
// gateways were restarted and after the primary was killed.
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
	if len(result.activatedEverywhere) != changeCount || result.primaryBytesPerChange <= 0 || result.gatewayBytesPerChange <= 0 {
		t.Errorf("changes were not measured: %+v", result)
	}
	if err := m.measureRestarts(ctx, &result); err != nil {
		t.Fatal(err)
	}
	if _, err := m.activatedAt(gateways); err != nil {
		t.Errorf("after the restart of the gateways: %v", err)
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
		t.Errorf("the report has missing values or formatting errors:\n%s", text)
	}
	if single := one(3, 9).compareWithBounds(); strings.Count(single, "\n| ") < 14 || strings.Contains(single, "NaN") {
		t.Errorf("comparison of a single size has missing rows or values:\n%s", single)
	}
	for _, row := range report.targets() {
		if !strings.Contains(text, "| "+row.role+" | "+row.figure+" |") || row.mechanism == "" || row.verdict == "" {
			t.Errorf("target row %+v is missing from the report or incomplete", row)
		}
	}
}

func TestMeasurePoll(t *testing.T) {
	poll, err := measurePoll(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if poll.bytes < 300 || poll.bytes > 3000 || poll.cpu <= 0 {
		t.Errorf("implausible cost of a poll: %+v", poll)
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
			t.Errorf("Check accepted the invalid plan %+v", bad)
		}
	}
}
