package httpapi

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/control/apierror"
)

// millisPerSecond converts RetryAfterMS to the seconds of the Retry-After header.
const millisPerSecond = 1000

// readJSON decodes a body of at most limit bytes. It rejects unknown fields and more
// than one JSON document.
func readJSON(w http.ResponseWriter, r *http.Request, limit int64, into any) *api.Error {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, limit))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(into)
	if err == nil && !errors.Is(decoder.Decode(&struct{}{}), io.EOF) {
		err = errors.New("more than one JSON document")
	}
	var tooLarge *http.MaxBytesError
	var wrongType *json.UnmarshalTypeError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &tooLarge):
		return apierror.TooLarge("", fmt.Sprintf("body has more than %d bytes", limit))
	case errors.As(err, &wrongType):
		return apierror.Invalid(wrongType.Field, "must not be a JSON "+wrongType.Value)
	default:
		return apierror.Invalid(unknownField(err), err.Error())
	}
}

// unknownField returns the name of an unknown field, "" for another error. The decoder
// has no typed error for it, so the name is parsed from the message.
func unknownField(err error) string {
	name, found := strings.CutPrefix(err.Error(), "json: unknown field ")
	if !found {
		return ""
	}
	field, unquoteErr := strconv.Unquote(name)
	if unquoteErr != nil {
		return ""
	}
	return field
}

func writeError(w http.ResponseWriter, problem *api.Error) {
	if problem.RetryAfterMS > 0 {
		seconds := (problem.RetryAfterMS + millisPerSecond - 1) / millisPerSecond
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	writeJSON(w, problem.Status(), api.ErrorBody{Error: problem})
}

func writeJSON(w http.ResponseWriter, status int, answer any) {
	body, err := json.Marshal(answer)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(body, '\n')) // fails only if the client has disconnected
}
