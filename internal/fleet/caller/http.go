package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/deckpulley/deckpulley/api"
)

// post sends a body as JSON. The caller must close the response body.
func (s *session) post(ctx context.Context, gateway, path string, body any) (*http.Response, error) {
	text, err := json.Marshal(body)
	if err != nil {
		return nil, fmt.Errorf("encoding the request: %w", err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+gateway+path, bytes.NewReader(text))
	if err != nil {
		return nil, err
	}
	// Without GetBody, net/http never resends a request by itself.
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	return s.pool.client.Do(request)
}

func decode(body io.Reader, into any) error {
	if err := json.NewDecoder(io.LimitReader(body, api.MaxReplicaAnswer)).Decode(into); err != nil {
		return fmt.Errorf("decoding the response: %w", err)
	}
	return nil
}

// readError reads the typed error of a response. It fails if the response has none.
func readError(response *http.Response) (*api.Error, error) {
	var body api.ErrorBody
	if err := decode(response.Body, &body); err != nil {
		return nil, err
	}
	if body.Error == nil || body.Error.Code == "" || body.Error.Outcome == "" {
		return nil, fmt.Errorf("status %d without a typed error", response.StatusCode)
	}
	return body.Error, nil
}
