package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"go.yaml.in/yaml/v3"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/internal/eventlog"
)

// Paths of the platform stand-in.
const (
	PathPlatformDrain    = "/control/drain"    // POST PlatformDrainRequest; answered once a node has acknowledged the list
	PathPlatformReload   = "/control/reload"   // POST, no body; reads the file again and sends the list
	PathPlatformReplicas = "/control/replicas" // GET api.ReplicaList as last sent
)

// Timeouts and retry interval for sending the list.
const (
	platformAttemptTimeout = 3 * time.Second
	platformSendTimeout    = 30 * time.Second
	platformRetryInterval  = 200 * time.Millisecond
)

// PlatformDrainRequest is the body of POST /control/drain of the platform. It lists a
// replica as draining or as not draining.
type PlatformDrainRequest struct {
	Replica  string `json:"replica"`
	Draining bool   `json:"draining"`
}

// PlatformConfig configures the platform stand-in.
type PlatformConfig struct {
	// Control lists the operator addresses of control nodes, tried in turn.
	Control []string
	// ReplicasFile holds an api.ReplicaList as JSON or YAML.
	ReplicasFile string
	// Token authorizes the platform at the operator port; if empty, none is sent.
	Token string
	// Log receives the events; nil discards them.
	Log Logger
	// Logger receives the process's log messages.
	Logger *slog.Logger
}

// Platform sends the list of replicas to the control nodes.
type Platform struct {
	config PlatformConfig
	log    Logger
	client *http.Client
	mux    *http.ServeMux

	// sending is held while a list is sent, so that no older list is sent after a newer
	// one.
	sending sync.Mutex

	mutex  sync.Mutex
	listed []api.ReplicaEntry
	// drains holds the states set by SetDraining, by replica id. They override those of
	// the file.
	drains map[string]bool
}

// NewPlatform returns a platform stand-in. It reads and sends the list only when Reload
// is called.
func NewPlatform(config PlatformConfig) *Platform {
	p := &Platform{
		config: config,
		log:    config.Log,
		client: &http.Client{Timeout: platformAttemptTimeout},
		mux:    http.NewServeMux(),
		drains: make(map[string]bool),
	}
	if p.log == nil {
		p.log = discardLogger{}
	}
	p.mux.HandleFunc("POST "+PathPlatformDrain, p.serveDrain)
	p.mux.HandleFunc("POST "+PathPlatformReload, p.serveReload)
	p.mux.HandleFunc("GET "+PathPlatformReplicas, p.serveReplicas)
	return p
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mux.ServeHTTP(w, r)
}

// Reload reads the file and sends the list, with retries, until a node acknowledges it.
func (p *Platform) Reload(ctx context.Context) error {
	content, err := os.ReadFile(p.config.ReplicasFile)
	if err != nil {
		return fmt.Errorf("reading the replica list: %w", err)
	}
	list, err := parseReplicaList(content)
	if err != nil {
		return fmt.Errorf("parsing %s: %w", p.config.ReplicasFile, err)
	}
	p.mutex.Lock()
	p.listed = list.Replicas
	p.mutex.Unlock()
	return p.send(ctx)
}

// parseReplicaList parses YAML or JSON with the field names of package api.
func parseReplicaList(content []byte) (api.ReplicaList, error) {
	var document any
	if err := yaml.Unmarshal(content, &document); err != nil {
		return api.ReplicaList{}, err
	}
	encoded, err := json.Marshal(document)
	if err != nil {
		return api.ReplicaList{}, err
	}
	decoder := json.NewDecoder(bytes.NewReader(encoded))
	decoder.DisallowUnknownFields()
	var list api.ReplicaList
	if err := decoder.Decode(&list); err != nil {
		return api.ReplicaList{}, err
	}
	return list, nil
}

// SetDraining lists a replica as draining or as not draining, and returns once a node has
// acknowledged the list.
func (p *Platform) SetDraining(ctx context.Context, replica string, draining bool) error {
	p.mutex.Lock()
	known := slices.ContainsFunc(p.listed, func(entry api.ReplicaEntry) bool { return entry.ID == replica })
	if known {
		p.drains[replica] = draining
	}
	p.mutex.Unlock()
	if !known {
		return fmt.Errorf("replica %q is not in the replica list", replica)
	}
	if err := p.send(ctx); err != nil {
		return err
	}
	event := eventlog.Event{Kind: eventlog.PlatformDrain, Replica: replica}
	if !draining {
		event.Detail = "withdrawn"
	}
	p.log.Write(event)
	return nil
}

// list returns the list to send now.
func (p *Platform) list() api.ReplicaList {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	list := api.ReplicaList{Replicas: make([]api.ReplicaEntry, 0, len(p.listed))}
	for _, entry := range p.listed {
		if draining, overridden := p.drains[entry.ID]; overridden {
			entry.Draining = draining
		}
		list.Replicas = append(list.Replicas, entry)
	}
	return list
}

// send sends the current list to the nodes in turn until one acknowledges it or
// platformSendTimeout has passed.
func (p *Platform) send(ctx context.Context) error {
	p.sending.Lock()
	defer p.sending.Unlock()
	body, err := json.Marshal(p.list())
	if err != nil {
		return fmt.Errorf("encoding the replica list: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, platformSendTimeout)
	defer cancel()
	for {
		for _, address := range p.config.Control {
			err = p.put(ctx, address, body)
			if err == nil {
				return nil
			}
			p.config.Logger.Debug("node did not acknowledge the replica list", "node", address, "error", err)
		}
		select {
		case <-time.After(platformRetryInterval):
		case <-ctx.Done():
			return errors.Join(ctx.Err(), err)
		}
	}
}

// put sends the list to one node.
func (p *Platform) put(ctx context.Context, address string, body []byte) error {
	url := "http://" + address + api.PathReplicas
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("creating the request: %w", err)
	}
	request.Header.Set("Content-Type", "application/json")
	if p.config.Token != "" {
		request.Header.Set("Authorization", "Bearer "+p.config.Token)
	}
	response, err := p.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, api.MaxBodyBytes))
	if err != nil {
		return fmt.Errorf("reading the response: %w", err)
	}
	if response.StatusCode/100 != 2 {
		return fmt.Errorf("status %d: %s", response.StatusCode, answer)
	}
	return nil
}

func (p *Platform) serveDrain(w http.ResponseWriter, r *http.Request) {
	var request PlatformDrainRequest
	if err := decodeJSON(w, r, &request); err != nil {
		writeInvalid(w, err)
		return
	}
	p.respond(w, p.SetDraining(r.Context(), request.Replica, request.Draining))
}

func (p *Platform) serveReload(w http.ResponseWriter, r *http.Request) {
	p.respond(w, p.Reload(r.Context()))
}

// respond answers a control request after a node has acknowledged the list, or after
// sending it has failed with err.
func (p *Platform) respond(w http.ResponseWriter, err error) {
	if err != nil {
		writeError(w, &api.Error{Code: api.CodeNoPrimary, Outcome: api.OutcomeUnknown, Message: err.Error(), Retry: true})
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) serveReplicas(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, p.list())
}
