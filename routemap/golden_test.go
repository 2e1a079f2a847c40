package routemap

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"github.com/deckpulley/deckpulley/internal/canonical"
)

// updateGolden makes the tests rewrite the files in testdata/golden. These encodings are
// stored on disks and sent between builds, so files may be added but never changed.
var updateGolden = flag.Bool("update-golden", false, "rewrite the files in testdata/golden")

// checkGolden compares an encoding with its file in testdata/golden, which an earlier build
// wrote, and returns the content of the file.
func checkGolden(t *testing.T, name string, encoded []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata", "golden", name+".cbor")
	if *updateGolden {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, encoded, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	golden, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(encoded, golden) {
		t.Errorf("%s: encoding\n%x, want\n%x", path, encoded, golden)
	}
	return golden
}

// testGolden checks that the encoding of want equals its file, and that the file decodes to
// want.
func testGolden[T any](t *testing.T, name string, want T) {
	t.Helper()
	t.Run(name, func(t *testing.T) {
		encoded, err := canonical.Encoding().Marshal(want)
		if err != nil {
			t.Fatal(err)
		}
		var got T
		if err := canonical.Decoding(canonical.Bounds{}).Unmarshal(checkGolden(t, name, encoded), &got); err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(got, want) {
			t.Errorf("decoded %+v, want %+v", got, want)
		}
	})
}

// goldenRoute returns a route with a different value in each field.
func goldenRoute() Route {
	return Route{
		Name:             "chat",
		Host:             "Example.test",
		PathPrefix:       "/chat/",
		Kind:             Stream,
		Targets:          []Target{{Service: "model", Weight: 3}, {Service: "spare", Weight: 1}},
		Timeout:          15 * time.Second,
		FirstEventTarget: 920 * time.Millisecond,
		EventGapTarget:   33 * time.Millisecond,
		MaxAttempts:      4,
		Priority:         5,
		CacheAffinity:    true,
		Resumable:        true,
		HomeRegions:      []string{"north", "south"},
	}
}

// goldenService returns a service with a different value in each field.
func goldenService() Service {
	return Service{
		Name:              "model",
		MaxConnections:    100,
		SlowStartRate:     2.5,
		SlowStartDuration: 30 * time.Second,
		Slots:             8,
		CacheTokens:       200_000,
		HealthPath:        "/health",
	}
}

// goldenMap returns a map with a route of each kind.
func goldenMap() Map {
	return Map{
		Version: 7,
		Routes: []Route{
			goldenRoute(),
			{Name: "pages", Host: "example.test", PathPrefix: "/", Kind: Idempotent, Targets: []Target{{Service: "spare", Weight: 1}}, Timeout: time.Second},
			{Name: "pay", Host: "example.test", PathPrefix: "/pay/", Kind: AtMostOnce, Targets: []Target{{Service: "spare", Weight: 1}}, Timeout: time.Second},
		},
		Services: []Service{goldenService(), {Name: "spare"}},
		Limits:   Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 1 << 33, HeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute},
	}
}

func TestGoldenRoute(t *testing.T) {
	testGolden(t, "route", goldenRoute())
	testGolden(t, "route-zero", Route{})
}

func TestGoldenService(t *testing.T) {
	testGolden(t, "service", goldenService())
	testGolden(t, "service-zero", Service{})
}

func TestGoldenLimits(t *testing.T) {
	testGolden(t, "limits", goldenMap().Limits)
	testGolden(t, "limits-zero", Limits{})
}

func TestGoldenMap(t *testing.T) {
	testGolden(t, "map", goldenMap())
	testGolden(t, "map-zero", Map{})
}

func TestGoldenChange(t *testing.T) {
	testGolden(t, "change", Change{
		Version:         8,
		Routes:          []Route{goldenRoute()},
		Services:        []Service{goldenService()},
		RemovedRoutes:   []string{"pages", "unknown"},
		RemovedServices: []string{"spare"},
	})
	testGolden(t, "change-zero", Change{})
}

// TestGoldenKinds checks the texts of the kinds, which are stored and sent.
func TestGoldenKinds(t *testing.T) {
	for got, want := range map[Kind]string{Idempotent: "repeatable", AtMostOnce: "once", Stream: "stream"} {
		if string(got) != want {
			t.Errorf("kind %q, want %q", got, want)
		}
	}
}
