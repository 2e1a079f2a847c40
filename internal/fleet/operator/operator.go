// Package operator sends orders as a person at a terminal does: to one control
// node after the other, again with the same order id after a lost answer, and
// logs what was sent, answered and read back.
package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/internal/checker"
	"github.com/deckpulley/deckpulley/internal/eventlog"
)

// Operator is one person. It is safe for concurrent use.
type Operator struct {
	name      string
	token     string
	addresses func() []string
	log       *eventlog.Writer
	client    *http.Client
	orders    atomic.Uint64
}

const (
	// attemptTimeout bounds one send; an order waits until it is in force.
	attemptTimeout = 8 * time.Second
	// orderWait is how long a node may wait before it answers pending.
	orderWait = 6 * time.Second
	// resendPause lies between two rounds over the nodes.
	resendPause = 100 * time.Millisecond
	answerBytes = 16 << 20
)

// New returns an operator who knows the operators' addresses of control nodes.
func New(name, token string, addresses func() []string, log *eventlog.Writer) *Operator {
	return &Operator{
		name: name, token: token, addresses: addresses, log: log,
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
}

// Digest identifies a document in the log.
func Digest(document string) string {
	return strconv.FormatUint(xxhash.Sum64String(document), 16)
}

// NextOrderID names a new order.
func (o *Operator) NextOrderID() string {
	return fmt.Sprintf("%s-%d", o.name, o.orders.Add(1))
}

// Order is one order as it can be sent again.
type Order struct {
	ID     string
	method string
	path   string
	body   any
	line   eventlog.Event
}

// Configuration makes an order with a whole configuration.
func (o *Operator) Configuration(base uint64, document string) Order {
	id := o.NextOrderID()
	return Order{
		ID: id, method: http.MethodPut, path: api.PathConfiguration,
		body: api.ConfigurationOperation{OperationID: id, BaseVersion: base, Author: o.name, Document: document},
		line: eventlog.Event{Order: id, Detail: checker.DetailConfiguration, Base: base, Target: Digest(document)},
	}
}

// Evacuation makes an order that empties a zone, or withdraws that.
func (o *Operator) Evacuation(zone string, withdraw bool) Order {
	id := o.NextOrderID()
	detail := checker.DetailEvacuate
	if withdraw {
		detail = checker.DetailWithdraw
	}
	return Order{
		ID: id, method: http.MethodPost, path: api.PathEvacuations,
		body: api.EvacuationOperation{OperationID: id, Zone: zone, Withdraw: withdraw, Author: o.name},
		line: eventlog.Event{Order: id, Detail: detail, Zone: zone},
	}
}

// Answer is a definite answer to an order.
type Answer struct {
	Accepted bool
	Version  uint64
	Serial   uint32
	Code     api.Code
	Message  string
	// Took is the time from the first send to the answer.
	Took time.Duration
}

// errNoAnswer is a send whose end nobody knows.
var errNoAnswer = errors.New("no definite answer")

// Send sends the order to one node after the other until a definite answer
// comes or ctx ends.
func (o *Operator) Send(ctx context.Context, order Order) (Answer, error) {
	start := time.Now()
	var last error
	for {
		for _, address := range o.addresses() {
			answer, err := o.SendTo(ctx, address, order)
			if err == nil {
				answer.Took = time.Since(start)
				return answer, nil
			}
			last = err
			if ctx.Err() != nil {
				return Answer{}, fmt.Errorf("order %s: %w: %w", order.ID, ctx.Err(), last)
			}
		}
		if !pause(ctx, resendPause) {
			return Answer{}, fmt.Errorf("order %s: %w: %w", order.ID, ctx.Err(), last)
		}
	}
}

func pause(ctx context.Context, length time.Duration) bool {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// SendTo sends the order to one node.
func (o *Operator) SendTo(ctx context.Context, address string, order Order) (Answer, error) {
	o.noteSent(order, address)
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	status, text, err := o.do(ctx, order.method, address, waitPath(order.path), order.body)
	if err != nil {
		o.noteAnswered(order, address, checker.OrderUnknown, Answer{Message: err.Error()})
		return Answer{}, err
	}
	answer, definite := readAnswer(status, text)
	outcome := checker.OrderUnknown
	switch {
	case definite && answer.Accepted:
		outcome = checker.OrderAccepted
	case definite:
		outcome = checker.OrderRefused
	}
	o.noteAnswered(order, address, outcome, answer)
	if !definite {
		return Answer{}, fmt.Errorf("%w: status %d, %s: %s", errNoAnswer, status, answer.Code, answer.Message)
	}
	return answer, nil
}

// dropAfter is how long an operator whose answer gets lost stays on the line.
const dropAfter = 50 * time.Millisecond

// SendAndLose sends the order to one node and loses the answer.
func (o *Operator) SendAndLose(ctx context.Context, address string, order Order) {
	o.noteSent(order, address)
	ctx, cancel := context.WithTimeout(ctx, dropAfter)
	defer cancel()
	_, _, err := o.do(ctx, order.method, address, waitPath(order.path), order.body)
	message := "answer dropped"
	if err != nil {
		message = err.Error()
	}
	o.noteAnswered(order, address, checker.OrderUnknown, Answer{Message: message})
}

func waitPath(path string) string {
	return fmt.Sprintf("%s?wait_ms=%d", path, orderWait.Milliseconds())
}

func (o *Operator) noteSent(order Order, address string) {
	line := order.line
	line.Kind, line.Source, line.Gateway = eventlog.OrderSent, o.name, address
	o.log.Write(line)
}

func (o *Operator) noteAnswered(order Order, address, outcome string, answer Answer) {
	line := order.line
	line.Kind, line.Source, line.Gateway = eventlog.OrderAnswered, o.name, address
	line.Outcome, line.Version, line.Serial = outcome, answer.Version, answer.Serial
	line.Code = string(answer.Code)
	if outcome != checker.OrderAccepted {
		line.Class = answer.Message
	}
	o.log.Write(line)
}

// readAnswer tells definite answers from those after which the same order must
// be sent again.
func readAnswer(status int, text []byte) (Answer, bool) {
	var body api.OperationResult
	if json.Unmarshal(text, &body) != nil {
		return Answer{Message: "an answer that does not decode"}, false
	}
	answer := Answer{Accepted: body.Accepted, Version: body.Version, Serial: body.Serial}
	if status == http.StatusOK && body.Accepted && body.Error == nil {
		return answer, true
	}
	answer.Accepted = false
	if body.Error == nil {
		return answer, false
	}
	answer.Code, answer.Message = body.Error.Code, body.Error.Message
	return answer, body.Error.Outcome == api.OutcomeRefused && !body.Error.Retry
}

func (o *Operator) do(ctx context.Context, method, address, path string, body any) (int, []byte, error) {
	var content io.Reader
	if body != nil {
		text, err := json.Marshal(body)
		if err != nil {
			return 0, nil, fmt.Errorf("encoding: %w", err)
		}
		content = bytes.NewReader(text)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, content)
	if err != nil {
		return 0, nil, err
	}
	request.Header.Set("Authorization", "Bearer "+o.token)
	request.Header.Set("Content-Type", "application/json")
	response, err := o.client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, answerBytes))
	return response.StatusCode, text, err
}

// readTimeout bounds one reading from one node.
const readTimeout = 3 * time.Second

// get reads from the first node that answers.
func (o *Operator) get(ctx context.Context, path string, into any) (string, error) {
	var last error
	for {
		for _, address := range o.addresses() {
			if last = o.getFrom(ctx, address, path, into); last == nil {
				return address, nil
			}
		}
		if !pause(ctx, resendPause) {
			return "", fmt.Errorf("reading %s: %w: %w", path, ctx.Err(), last)
		}
	}
}

func (o *Operator) getFrom(ctx context.Context, address, path string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	status, text, err := o.do(ctx, http.MethodGet, address, path, nil)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return fmt.Errorf("%s%s: status %d: %s", address, path, status, text)
	}
	return json.Unmarshal(text, into)
}

const linearizable = "?linearizable=true"

// ReadConfiguration reads the configuration in force back and logs it.
func (o *Operator) ReadConfiguration(ctx context.Context) (api.ConfigurationAnswer, error) {
	var answer api.ConfigurationAnswer
	address, err := o.get(ctx, api.PathConfiguration+linearizable, &answer)
	if err != nil {
		return answer, err
	}
	o.log.Write(eventlog.Event{
		Kind: eventlog.ConfigurationRead, Source: o.name, Gateway: address,
		Version: answer.Version, Serial: answer.Serial, Target: Digest(answer.Document),
	})
	return answer, nil
}

// ReadZones reads the zones back and logs them.
func (o *Operator) ReadZones(ctx context.Context) (api.ZonesAnswer, error) {
	var answer api.ZonesAnswer
	address, err := o.get(ctx, api.PathZones+linearizable, &answer)
	if err != nil {
		return answer, err
	}
	for _, zone := range answer.Zones {
		detail := "open"
		if zone.Evacuated {
			detail = checker.DetailEvacuated
		}
		o.log.Write(eventlog.Event{Kind: eventlog.ZonesRead, Source: o.name, Gateway: address, Zone: zone.Zone, Detail: detail})
	}
	return answer, nil
}

// ReadStatus asks one node for its status; an empty address asks any.
func (o *Operator) ReadStatus(ctx context.Context, address string) (api.StatusAnswer, error) {
	var answer api.StatusAnswer
	if address != "" {
		return answer, o.getFrom(ctx, address, api.PathStatus, &answer)
	}
	_, err := o.get(ctx, api.PathStatus, &answer)
	return answer, err
}

// ReadMembers asks any node for the members.
func (o *Operator) ReadMembers(ctx context.Context) (api.MembersAnswer, error) {
	var answer api.MembersAnswer
	_, err := o.get(ctx, api.PathMembers, &answer)
	return answer, err
}

// ReadReplicas asks any node for the replicas.
func (o *Operator) ReadReplicas(ctx context.Context) (api.ReplicasAnswer, error) {
	var answer api.ReplicasAnswer
	_, err := o.get(ctx, api.PathReplicas, &answer)
	return answer, err
}
