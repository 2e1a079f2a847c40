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
	"sync"
	"time"

	"go.yaml.in/yaml/v3"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/internal/eventlog"
)

// Paths of the platform stand-in.
const (
	PathPlatformDrain    = "/control/drain"    // POST PlatformDrainOrder; answered once acknowledged
	PathPlatformReload   = "/control/reload"   // POST, no body: reads the file again
	PathPlatformReplicas = "/control/replicas" // GET api.ReplicaList as last sent
)

// Timing of the platform's sends.
const (
	platformAttemptTimeout = 3 * time.Second
	platformSendTimeout    = 30 * time.Second
	platformRetryPause     = 200 * time.Millisecond
)

// PlatformDrainOrder tells the platform to list a replica as draining, or not.
type PlatformDrainOrder struct {
	Replica  string `json:"replica"`
	Draining bool   `json:"draining"`
}

// PlatformConfig describes the platform stand-in.
type PlatformConfig struct {
	// Control lists the operators' addresses of nodes, tried in turn.
	Control []string
	// ReplicasFile holds an api.ReplicaList as JSON or YAML.
	ReplicasFile string
	// Token authorizes the platform at the operators' port; empty sends none.
	Token string
	// Log takes the events; nil discards them.
	Log Logger
	// Logger takes the messages for people.
	Logger *slog.Logger
}

// Platform lists the replicas to the control nodes.
type Platform struct {
	config PlatformConfig
	log    Logger
	client *http.Client
	mux    *http.ServeMux

	// sending keeps the lists in order; mutex guards the fields below.
	sending sync.Mutex
	mutex   sync.Mutex
	listed  []api.ReplicaEntry
	// drains are the states told by PathPlatformDrain; they outrank the file.
	drains map[string]bool
}

// NewPlatform makes a platform stand-in; nothing is read or sent before Reload.
func NewPlatform(config PlatformConfig) *Platform {
	p := &Platform{
		config: config,
		log:    config.Log,
		client: &http.Client{Timeout: platformAttemptTimeout},
		mux:    http.NewServeMux(),
		drains: make(map[string]bool),
	}
	if p.log == nil {
		p.log = discard{}
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

// Reload reads the file and sends the list until a node has acknowledged it.
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

// parseReplicaList reads YAML or JSON with the field names of package api.
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

// SetDraining lists a replica as draining, or not, and returns once a node has
// acknowledged the list.
func (p *Platform) SetDraining(ctx context.Context, replica string, draining bool) error {
	p.mutex.Lock()
	known := false
	for _, entry := range p.listed {
		known = known || entry.ID == replica
	}
	if known {
		p.drains[replica] = draining
	}
	p.mutex.Unlock()
	if !known {
		return fmt.Errorf("replica %q is not listed", replica)
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

// list is the list to send now.
func (p *Platform) list() api.ReplicaList {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	list := api.ReplicaList{Replicas: make([]api.ReplicaEntry, 0, len(p.listed))}
	for _, entry := range p.listed {
		if draining, told := p.drains[entry.ID]; told {
			entry.Draining = draining
		}
		list.Replicas = append(list.Replicas, entry)
	}
	return list
}

// send tries the nodes in turn until one acknowledges the present list.
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
			p.config.Logger.Debug("replica list not acknowledged", "node", address, "error", err)
		}
		select {
		case <-time.After(platformRetryPause):
		case <-ctx.Done():
			return errors.Join(ctx.Err(), err)
		}
	}
}

func (p *Platform) put(ctx context.Context, address string, body []byte) error {
	url := "http://" + address + api.PathReplicas
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("making the request: %w", err)
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
		return fmt.Errorf("reading the answer: %w", err)
	}
	if response.StatusCode/100 != 2 {
		return fmt.Errorf("status %d: %s", response.StatusCode, answer)
	}
	return nil
}

func (p *Platform) serveDrain(w http.ResponseWriter, r *http.Request) {
	var order PlatformDrainOrder
	if err := decodeBody(w, r, &order); err != nil {
		writeError(w, &api.Error{Code: api.CodeInvalid, Outcome: api.OutcomeRefused, Message: err.Error()})
		return
	}
	p.acknowledge(w, p.SetDraining(r.Context(), order.Replica, order.Draining))
}

func (p *Platform) serveReload(w http.ResponseWriter, r *http.Request) {
	p.acknowledge(w, p.Reload(r.Context()))
}

func (p *Platform) acknowledge(w http.ResponseWriter, err error) {
	if err != nil {
		writeError(w, &api.Error{Code: api.CodeNoPrimary, Outcome: api.OutcomeUnknown, Message: err.Error(), Retry: true})
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) serveReplicas(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, p.list())
}
