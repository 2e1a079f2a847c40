package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	// maximumAnswerBytes limits the size of a response body.
	maximumAnswerBytes = 16 << 20
	// readTimeout limits one read request to one node.
	readTimeout = 3 * time.Second
)

// post sends an operation once and returns the status and the body of the response.
func (o *Operator) post(ctx context.Context, address string, operation Operation) (int, []byte, error) {
	path := fmt.Sprintf("%s?wait_ms=%d", operation.path, serverWait.Milliseconds())
	return o.do(ctx, operation.method, address, path, operation.body)
}

// do sends one request with an optional body, which is encoded as JSON.
func (o *Operator) do(ctx context.Context, method, address, path string, body any) (int, []byte, error) {
	var content io.Reader
	if body != nil {
		text, err := json.Marshal(body)
		if err != nil {
			return 0, nil, fmt.Errorf("encoding the request: %w", err)
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
	text, err := io.ReadAll(io.LimitReader(response.Body, maximumAnswerBytes))
	return response.StatusCode, text, err
}

// get reads from the first node that answers and returns the address of this node.
func (o *Operator) get(ctx context.Context, path string, into any) (string, error) {
	var from string
	err := o.tryNodes(ctx, func(address string) error {
		from = address
		return o.getFrom(ctx, address, path, into)
	})
	if err != nil {
		return "", fmt.Errorf("reading %s: %w", path, err)
	}
	return from, nil
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
