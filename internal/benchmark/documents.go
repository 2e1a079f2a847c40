package benchmark

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"time"

	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/routemap"
	"github.com/deckpulley/deckpulley/storage"
)

const (
	// grownDocumentBytes is the size of the document of the runs with many changes.
	grownDocumentBytes = 1 << 20
	// sampledChanges is the number of changes over which the octets of one are averaged.
	sampledChanges = 10
	// documentTimeout limits one change of a large document.
	documentTimeout = 30 * time.Second
	// documentService is the name of the service of all routes.
	documentService = "s"
)

// measureDocuments measures what a change of one route costs in documents of different
// sizes without line breaks, and the store of a control node after many such changes.
func measureDocuments(o *Options) ([]Table, error) {
	octets := Table{
		Title:   "Log of one change of a document",
		Note:    fmt.Sprintf("Octets of the log for a change of one route, of a document in one line; mean of %d changes at one control node.", sampledChanges),
		Columns: []string{"document KB", "routes", "octets a change"},
	}
	for _, size := range fullOrShort(o, []int{10 << 10, 100 << 10, 1 << 20, 2<<20 - 4096}, []int{10 << 10}) {
		row, err := documentOctetsRow(o, size)
		if err != nil {
			return nil, fmt.Errorf("document of %d bytes: %w", size, err)
		}
		octets.add(row...)
	}
	store := Table{
		Title:   "Store after many changes of a document",
		Note:    "One control node with the default of SnapshotBytes, a document of 1 MiB in one line, one route changed at a time. Heap is the memory in use after a garbage collection, that of this program included; restart is the time to open the store and to read it.",
		Columns: []string{"changes", "file MB", "heap MB", "restart ms"},
	}
	for _, changes := range fullOrShort(o, []int{100, 300, 1000}, []int{10}) {
		row, err := documentStoreRow(o, changes)
		if err != nil {
			return []Table{octets}, fmt.Errorf("%d changes: %w", changes, err)
		}
		store.add(row...)
	}
	return []Table{octets, store}, nil
}

func documentOctetsRow(o *Options, size int) ([]string, error) {
	g, err := newGroup(1, noSnapshots, o.Logger)
	if err != nil {
		return nil, err
	}
	defer g.close()
	document := newDocument(size)
	if err := g.submitDocument(document); err != nil {
		return nil, err
	}
	before, err := g.members[0].storedLog()
	if err != nil {
		return nil, err
	}
	for range sampledChanges {
		document.change()
		if err := g.submitDocument(document); err != nil {
			return nil, err
		}
	}
	after, err := g.members[0].storedLog()
	if err != nil {
		return nil, err
	}
	return []string{
		fmt.Sprint(len(document.text()) >> 10), fmt.Sprint(document.routes), fmt.Sprint((after - before) / sampledChanges),
	}, nil
}

func documentStoreRow(o *Options, changes int) ([]string, error) {
	g, err := newGroup(1, noSnapshots, o.Logger)
	if err != nil {
		return nil, err
	}
	defer g.close()
	document := newDocument(grownDocumentBytes)
	for range changes + 1 {
		if err := g.submitDocument(document); err != nil {
			return nil, err
		}
		document.change()
	}
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	only := g.members[0]
	if err := only.stop(); err != nil {
		return nil, err
	}
	file, err := os.Stat(filepath.Join(only.folder, "consensus.db"))
	if err != nil {
		return nil, err
	}
	if err := only.start(); err != nil {
		return nil, err
	}
	return []string{
		fmt.Sprint(changes), fmt.Sprint(file.Size() >> 20), fmt.Sprint(memory.HeapAlloc >> 20), milliseconds(only.openTime),
	}, nil
}

// storedLog returns the octets of the entries in the member's store. It restarts the
// member.
func (m *member) storedLog() (int, error) {
	if err := m.stop(); err != nil {
		return 0, err
	}
	store, err := storage.Open(m.folder)
	if err != nil {
		return 0, err
	}
	loaded, err := store.Load()
	if err != nil {
		return 0, err
	}
	if err := store.Close(); err != nil {
		return 0, err
	}
	size := 0
	for _, entry := range loaded.Entries {
		size += len(entry.Data)
	}
	if err := m.start(); err != nil {
		return 0, err
	}
	return size, await("the first update", time.Millisecond, func() bool { return m.group.probe(context.Background()) == nil })
}

// document is a configuration with many routes, in one line of JSON.
type document struct {
	version uint64
	routes  int
	changed int // route that was changed last; -1 before the first change
	// timeouts has the timeout of each route, in milliseconds.
	timeouts []int
}

// firstTimeout is the timeout of a route before its first change, in milliseconds.
const firstTimeout = 1000

// newDocument returns a document of about the given size.
func newDocument(size int) *document {
	d := &document{version: 1, changed: -1}
	length := 0
	for length < size {
		length += len(routeText(d.routes, firstTimeout))
		d.routes++
		d.timeouts = append(d.timeouts, firstTimeout)
	}
	return d
}

// change changes another route.
func (d *document) change() {
	d.version++
	d.changed = (d.changed + 997) % d.routes
	d.timeouts[d.changed]++
}

func routeText(route, timeout int) string {
	return fmt.Sprintf(`{"name":"r%d","host":"h%d.example","path_prefix":"/p%d/","timeout_ms":%d,"service":%q},`, route, route%97, route, timeout, documentService)
}

func (d *document) text() string {
	var text strings.Builder
	fmt.Fprintf(&text, `{"version":%d,"routes":[`, d.version)
	for route := range d.routes {
		text.WriteString(routeText(route, d.timeouts[route]))
	}
	text.WriteString(`]}`)
	return text.String()
}

func (d *document) routeMap() routemap.Map {
	routes := make([]routemap.Route, 0, d.routes)
	for route := range d.routes {
		routes = append(routes, routemap.Route{
			Name: fmt.Sprint("r", route), Host: fmt.Sprintf("h%d.example", route%97), PathPrefix: fmt.Sprintf("/p%d/", route),
			Kind: routemap.Idempotent, Timeout: time.Duration(d.timeouts[route]) * time.Millisecond, MaxAttempts: 1,
			Targets: []routemap.Target{{Service: documentService, Weight: 1}},
		})
	}
	return routemap.Map{Version: d.version, Routes: routes, Services: []routemap.Service{{Name: documentService}}}
}

// submitDocument makes the document the configuration.
func (g *group) submitDocument(d *document) error {
	ctx, cancel := context.WithTimeout(context.Background(), documentTimeout)
	defer cancel()
	request := peer.OperationRequest{
		WaitMS:   documentTimeout.Milliseconds(),
		RouteMap: &peer.RouteMapOperation{BaseVersion: d.version - 1, Map: d.routeMap(), Text: d.text(), Zones: map[string]string{"z": "r"}},
	}
	var reply peer.OperationReply
	if err := g.client.Call(ctx, g.members[0].address, peer.KindOperation, &request, &reply); err != nil {
		return err
	}
	if reply.Error != nil {
		return fmt.Errorf("version %d: %w", d.version, reply.Error)
	}
	return nil
}
