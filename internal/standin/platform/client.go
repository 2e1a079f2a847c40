package platform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// directoryTimeout bounds one question to one directory.
const directoryTimeout = time.Second

// errNoDirectory means that no directory gave an address.
var errNoDirectory = errors.New("standin: no directory knows an address")

// Client asks a directory where to go, keeps the answer for as long as it may,
// and sends its requests there. It is used by one goroutine.
type Client struct {
	// Directories are asked in turn until one answers.
	Directories []string
	// Name is the host that the client wants to reach.
	Name   string
	Region string
	Zone   string

	http      http.Client
	addresses []string
	next      int
	until     time.Time
}

// Request is one request of a client.
type Request struct {
	ID     string
	Method string
	Path   string
	Body   string
	Wait   time.Duration
}

// Answer is what came of a request. Status 0 is no whole answer.
type Answer struct {
	Status     int
	Body       string
	Signature  string
	RetryAfter time.Duration
	Took       time.Duration
	Err        error
}

// Do sends a request once. The error of an answer that broke off is in Err.
func (c *Client) Do(ctx context.Context, request Request) Answer {
	address, err := c.address(ctx)
	if err != nil {
		return Answer{Err: err}
	}
	started := time.Now()
	answer := c.send(ctx, address, request)
	answer.Took = time.Since(started)
	if answer.Status == 0 {
		c.until = time.Time{} // asks again where to go
	}
	return answer
}

func (c *Client) send(ctx context.Context, address string, request Request) Answer {
	ctx, cancel := context.WithTimeout(ctx, request.Wait)
	defer cancel()
	outgoing, err := http.NewRequestWithContext(ctx, request.Method, "http://"+address+request.Path, strings.NewReader(request.Body))
	if err != nil {
		return Answer{Err: err}
	}
	outgoing.Host = c.Name
	outgoing.Header.Set(HeaderRequestID, request.ID)
	outgoing.Header.Set(HeaderDeadline, strconv.FormatInt(request.Wait.Milliseconds(), 10))
	response, err := c.http.Do(outgoing)
	if err != nil {
		return Answer{Err: err}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return Answer{Err: err}
	}
	seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64) // 0 if not told
	return Answer{
		Status:     response.StatusCode,
		Body:       string(text),
		Signature:  response.Header.Get(HeaderSignature),
		RetryAfter: time.Duration(seconds * float64(time.Second)),
	}
}

// address returns the next of the addresses that the directory gave.
func (c *Client) address(ctx context.Context) (string, error) {
	if time.Now().After(c.until) {
		if err := c.ask(ctx); err != nil {
			return "", err
		}
	}
	c.next++
	return c.addresses[c.next%len(c.addresses)], nil
}

// whereDocument is an answer of the directory.
type whereDocument struct {
	Addresses []string `json:"addresses"`
	TTLS      float64  `json:"ttl_s"`
}

func (c *Client) ask(ctx context.Context) error {
	query := url.Values{"name": {c.Name}, "region": {c.Region}, "zone": {c.Zone}}
	for _, directory := range c.Directories {
		answer, err := c.askOne(ctx, "http://"+directory+"/resolve?"+query.Encode())
		if err != nil || len(answer.Addresses) == 0 {
			continue
		}
		c.addresses = answer.Addresses
		c.until = time.Now().Add(time.Duration(answer.TTLS * float64(time.Second)))
		return nil
	}
	return errNoDirectory
}

func (c *Client) askOne(ctx context.Context, question string) (*whereDocument, error) {
	ctx, cancel := context.WithTimeout(ctx, directoryTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, question, nil)
	if err != nil {
		return nil, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("standin: the directory answered %d", response.StatusCode)
	}
	var answer whereDocument
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		return nil, err
	}
	return &answer, nil
}

// Close ends the client's connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }
