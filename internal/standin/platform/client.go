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

// directoryTimeout bounds one query of one directory.
const directoryTimeout = time.Second

// errNoDirectory means that no directory returned an address.
var errNoDirectory = errors.New("standin: no directory returned an address")

// Client resolves a name at a directory, caches the addresses for their time to
// live, and sends its requests to them in turn. It is not safe for concurrent use.
type Client struct {
	// Directories are the addresses of directories, tried in turn.
	Directories []string
	// Name is the host to resolve.
	Name string
	// Region and Zone are where the client is.
	Region string
	Zone   string

	http      http.Client
	addresses []string
	next      int       // number of requests sent; selects the address, modulo their number
	expiry    time.Time // when addresses expire
}

// Request is one request of a client.
type Request struct {
	ID     string
	Method string
	Path   string
	Body   string
	// Wait is how long the client waits for the answer. It is sent in HeaderDeadline.
	Wait time.Duration
}

// Answer is the outcome of a request.
type Answer struct {
	// Status is 0 if there was no complete response.
	Status    int
	Body      string
	Signature string
	// RetryAfter is 0 if the response has none.
	RetryAfter time.Duration
	// Took is the time until the response was complete.
	Took time.Duration
	// Err is the error that prevented a complete response.
	Err error
}

// WrongAnswer says what is wrong with a success, "" if nothing is or the answer is none.
// Rejections and errors that a gateway reports count as correct.
func WrongAnswer(request Request, answer Answer) string {
	if answer.Status != http.StatusOK {
		return ""
	}
	if answer.Signature == "" {
		return "a success without a signature"
	}
	if want := wholeBody(request.Method, request.Path, request.Body); answer.Body != want {
		return fmt.Sprintf("got the body %.200q, want %q", answer.Body, want)
	}
	return ""
}

// Do sends a request once. It reports a failure in the Err field of the answer.
func (c *Client) Do(ctx context.Context, request Request) Answer {
	address, err := c.address(ctx)
	if err != nil {
		return Answer{Err: err}
	}
	started := time.Now()
	answer := c.send(ctx, address, request)
	answer.Took = time.Since(started)
	if answer.Status == 0 {
		c.expiry = time.Time{} // makes the next request resolve the name again
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
	seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64) // 0 without the header
	return Answer{
		Status:     response.StatusCode,
		Body:       string(text),
		Signature:  response.Header.Get(HeaderSignature),
		RetryAfter: time.Duration(seconds * float64(time.Second)),
	}
}

// address returns the next address in turn. If the addresses have expired, it resolves
// the name first.
func (c *Client) address(ctx context.Context) (string, error) {
	if time.Now().After(c.expiry) {
		if err := c.resolve(ctx); err != nil {
			return "", err
		}
	}
	c.next++
	return c.addresses[c.next%len(c.addresses)], nil
}

// resolution is the answer of a directory to a query.
type resolution struct {
	Addresses  []string `json:"addresses"`
	TTLSeconds float64  `json:"ttl_s"`
}

// resolve queries the directories in turn until one returns an address.
func (c *Client) resolve(ctx context.Context) error {
	query := url.Values{"name": {c.Name}, "region": {c.Region}, "zone": {c.Zone}}
	for _, directory := range c.Directories {
		answer, err := c.queryDirectory(ctx, "http://"+directory+"/resolve?"+query.Encode())
		if err != nil || len(answer.Addresses) == 0 {
			continue
		}
		c.addresses = answer.Addresses
		c.expiry = time.Now().Add(time.Duration(answer.TTLSeconds * float64(time.Second)))
		return nil
	}
	return errNoDirectory
}

func (c *Client) queryDirectory(ctx context.Context, target string) (*resolution, error) {
	ctx, cancel := context.WithTimeout(ctx, directoryTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("standin: directory responded with status %d", response.StatusCode)
	}
	var answer resolution
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		return nil, err
	}
	return &answer, nil
}

// Close closes the client's idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }
