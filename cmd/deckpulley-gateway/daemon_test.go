package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/control"
	"github.com/deckpulley/deckpulley/httpgateway"
	"github.com/deckpulley/deckpulley/internal/daemonsignal"
	"github.com/deckpulley/deckpulley/internal/freeport"
	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/settings"
	"github.com/deckpulley/deckpulley/storage"
	"github.com/deckpulley/deckpulley/transport"
)

// testTimeout bounds each wait in these tests.
const testTimeout = 20 * time.Second

const testKey = "00112233445566778899aabbccddeeff"

// replicaRecorder is an HTTP replica that counts its requests and writes its ID into
// each response.
type replicaRecorder struct {
	id     string
	served atomic.Int64
}

func (r *replicaRecorder) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	headers := httpgateway.DefaultHeaders()
	w.Header().Set(headers.RequestID, request.Header.Get(headers.RequestID))
	if request.Header.Get(headers.Replica) != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.served.Add(1)
	fmt.Fprintf(w, "%s ran %s", r.id, request.URL.Path)
}

// httpFleet is a control node, a gateway with an HTTP address, and HTTP replicas.
type httpFleet struct {
	t        *testing.T
	control  *control.Node
	daemon   *daemon
	replicas []*replicaRecorder
}

func freeAddresses(t *testing.T, count int) []string {
	t.Helper()
	addresses, err := freeport.Addresses("127.0.0.1", count)
	if err != nil {
		t.Fatal(err)
	}
	return addresses
}

func startHTTPFleet(t *testing.T) *httpFleet {
	t.Helper()
	f := &httpFleet{t: t}
	controlAddress := freeAddresses(t, 1)[0]
	f.startControl(controlAddress)
	f.startGateway(controlAddress)
	return f
}

func (f *httpFleet) startControl(address string) {
	f.t.Helper()
	keys, err := f.settings(address).Keys()
	if err != nil {
		f.t.Fatal(err)
	}
	network, err := transport.Listen(transport.Config{Name: "control-1", Listen: address, Keys: keys}, slog.New(slog.DiscardHandler))
	if err != nil {
		f.t.Fatal(err)
	}
	store, err := storage.Open(f.t.TempDir())
	if err != nil {
		f.t.Fatal(err)
	}
	f.control, err = control.New(control.Options{
		Name: "control-1", Zone: "z1", Region: "north", PeerAddress: address,
		InitialControl: map[string]string{"control-1": address},
		Network:        network, Store: store, Logger: slog.New(slog.DiscardHandler),
	})
	if err != nil {
		f.t.Fatal(err)
	}
	if err := f.control.Start(); err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = f.control.Stop() })
}

// settings writes a settings file for the gateway and loads it as the daemon does.
func (f *httpFleet) settings(controlAddress string) *settings.Settings {
	f.t.Helper()
	folder := f.t.TempDir()
	keyFile := filepath.Join(folder, "key")
	if err := os.WriteFile(keyFile, []byte(testKey+"\n"), 0o600); err != nil {
		f.t.Fatal(err)
	}
	own := freeAddresses(f.t, 4)
	text := fmt.Sprintf(`name: gateway-1
role: gateway
zone: z1
region: north
peer_address: %s
caller_address: %s
operator_address: %s
http_address: %s
seeds: [%s]
key_file: %s
log: {level: error}
`, own[0], own[1], own[2], own[3], controlAddress, keyFile)
	file := filepath.Join(folder, "gateway.yaml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
	loaded, err := settings.LoadFor(settings.RoleGateway, file, settings.Overrides{})
	if err != nil {
		f.t.Fatal(err)
	}
	return loaded
}

func (f *httpFleet) startGateway(controlAddress string) {
	f.t.Helper()
	loaded := f.settings(controlAddress)
	var err error
	if f.daemon, err = newDaemon(&settingsSource{}, loaded); err != nil {
		f.t.Fatal(err)
	}
	terminate := make(chan os.Signal, 1)
	ended := make(chan error, 1)
	go func() { ended <- f.daemon.run(daemonsignal.Signals{Terminate: terminate}) }()
	f.t.Cleanup(func() {
		terminate <- syscall.SIGTERM
		if err := <-ended; err != nil {
			f.t.Errorf("the gateway returned an error at shutdown: %v", err)
		}
	})
}

// submit retries an operation until the control node reports that it is in force.
func (f *httpFleet) submit(request peer.OperationRequest) {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(f.t.Context(), testTimeout)
	defer cancel()
	for ctx.Err() == nil {
		reply := f.control.Submit(ctx, request)
		if reply.Error == nil && reply.Answer.Error == nil {
			return
		}
		if reply.Answer.Error != nil {
			f.t.Fatal(reply.Answer.Error)
		}
		time.Sleep(20 * time.Millisecond)
	}
	f.t.Fatal("the operation was not in force before the timeout")
}

func (f *httpFleet) addReplicas(service string, names ...string) {
	f.t.Helper()
	list := &api.ReplicaList{}
	for _, name := range names {
		replica := &replicaRecorder{id: name}
		server := httptest.NewServer(replica)
		f.t.Cleanup(server.Close)
		f.replicas = append(f.replicas, replica)
		list.Replicas = append(list.Replicas, api.ReplicaEntry{ID: name, Service: service, Zone: "z1", Address: server.Listener.Addr().String()})
	}
	f.submit(peer.OperationRequest{Replicas: list})
}

// get sends a GET request with an ID to the gateway's HTTP address, and returns the
// status and the body of the response.
func (f *httpFleet) get(id, path string) (int, string) {
	request, err := http.NewRequestWithContext(f.t.Context(), http.MethodGet, "http://"+f.daemon.proxy.listener.Addr().String()+path, nil)
	if err != nil {
		f.t.Fatal(err)
	}
	request.Host = "llm.example"
	request.Header.Set(httpgateway.DefaultHeaders().RequestID, id)
	return f.do(request)
}

func (f *httpFleet) do(request *http.Request) (int, string) {
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(text)
}

const httpDocument = `
regions: {north: {zones: [z1], capacity: 1}}
services: {}
routes: {}
http:
  services: {pool: {}}
  routes:
    pages: {host: llm.example, path_prefix: /pages/, kind: repeatable, timeout_ms: 2000, targets: [{service: pool, weight: 1}]}
`

// TestDocumentRoutesHTTP checks that requests to the HTTP address are routed by the
// current configuration document, and that a changed document and an evacuation take
// effect.
func TestDocumentRoutesHTTP(t *testing.T) {
	f := startHTTPFleet(t)
	if status, text := f.get("early", "/pages/x"); status != http.StatusServiceUnavailable {
		t.Errorf("request before the first document: got %d %s, want 503", status, text)
	}
	f.submit(peer.OperationRequest{Configuration: &api.ConfigurationOperation{OperationID: "first", Document: httpDocument}})
	f.addReplicas("pool", "r1", "r2")
	f.waitFor(func() bool { status, _ := f.get("warm", "/pages/x"); return status == http.StatusOK })

	if status, text := f.get("one", "/pages/x"); status != http.StatusOK || !strings.HasSuffix(text, "ran /pages/x") {
		t.Errorf("request with a route: got %d %s, want 200 from a replica", status, text)
	}
	if status, _ := f.get("two", "/elsewhere/"); status != http.StatusNotFound {
		t.Errorf("request without a route: got %d, want 404", status)
	}
	moved := strings.ReplaceAll(httpDocument, "/pages/", "/moved/")
	f.submit(peer.OperationRequest{Configuration: &api.ConfigurationOperation{OperationID: "second", BaseVersion: 1, Document: moved}})
	if status, _ := f.get("three", "/pages/x"); status != http.StatusNotFound {
		t.Errorf("request to a removed route: got %d, want 404", status)
	}
	if status, text := f.get("four", "/moved/x"); status != http.StatusOK {
		t.Errorf("request to a route of the new document: got %d %s, want 200", status, text)
	}
	f.submit(peer.OperationRequest{Evacuation: &api.EvacuationOperation{OperationID: "third", Zone: "z1"}})
	if status, _ := f.get("five", "/moved/x"); status != http.StatusServiceUnavailable {
		t.Errorf("request while the only zone is evacuated: got %d, want 503", status)
	}
	f.checkOperatorsPort()
}

// checkOperatorsPort checks what the operators' port reports about the HTTP address.
func (f *httpFleet) checkOperatorsPort() {
	operators := "http://" + f.daemon.operators.listener.Addr().String()
	for path, want := range map[string]string{
		api.PathHTTPReplicas: `"state":"evacuated"`,
		api.PathMetrics:      `deckpulley_http_requests_total{code="no_route"} 2`,
	} {
		request, err := http.NewRequestWithContext(f.t.Context(), http.MethodGet, operators+path, nil)
		if err != nil {
			f.t.Fatal(err)
		}
		if status, text := f.do(request); status != http.StatusOK || !strings.Contains(text, want) {
			f.t.Errorf("GET %s: status %d, want 200 with %s in the body %s", path, status, want, text)
		}
	}
}

func (f *httpFleet) waitFor(condition func() bool) {
	f.t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return
		}
	}
	f.t.Fatal("the condition was not met before the timeout")
}
