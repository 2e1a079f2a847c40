package standin

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/deckpulley/deckpulley/api"
)

// decodeJSON decodes the body of a request of up to api.MaxBodyBytes. An unknown field is
// an error.
func decodeJSON(w http.ResponseWriter, r *http.Request, into any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, api.MaxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return fmt.Errorf("decoding the request body: %w", err)
	}
	return nil
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // a client detects a failed write as an incomplete body
}

func writeError(w http.ResponseWriter, failure *api.Error) {
	writeJSON(w, failure.Status(), api.ErrorBody{Error: failure})
}

// writeInvalid responds that a request is malformed.
func writeInvalid(w http.ResponseWriter, err error) {
	writeError(w, &api.Error{Code: api.CodeInvalid, Outcome: api.OutcomeRefused, Message: err.Error()})
}
