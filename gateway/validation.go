package gateway

import (
	"fmt"
	"unicode/utf8"

	"github.com/deckpulley/deckpulley/api"
)

// checkName validates an id or a name in a request.
func checkName(field, value string, required bool) *api.Error {
	switch {
	case value == "" && required:
		return newInvalidError(field, "is missing")
	case len(value) > api.MaxNameBytes:
		return newInvalidError(field, "has %d bytes; at most %d are allowed", len(value), api.MaxNameBytes)
	case !utf8.ValidString(value):
		return newInvalidError(field, "is not valid UTF-8")
	}
	return nil
}

// checkWait validates how long the caller waits for the result, in milliseconds.
func checkWait(waitMS int64) *api.Error {
	if waitMS < 0 || waitMS > api.MaxWaitMS {
		return newInvalidError("wait_ms", "must be from 0 to %d", int64(api.MaxWaitMS))
	}
	return nil
}

// checkPrefixes validates the prefixes of a prompt and returns the total number of their
// tokens.
func checkPrefixes(prefixes []api.Prefix) (int, *api.Error) {
	if len(prefixes) > api.MaxPrefixes {
		return 0, newInvalidError("prefixes", "has %d entries; at most %d are allowed", len(prefixes), api.MaxPrefixes)
	}
	total := 0
	for i, prefix := range prefixes {
		if failure := checkName(fmt.Sprintf("prefixes[%d].id", i), prefix.ID, true); failure != nil {
			return 0, failure
		}
		if prefix.Tokens < 0 || prefix.Tokens > api.MaxPromptTokens {
			return 0, newInvalidError(fmt.Sprintf("prefixes[%d].tokens", i), "must be from 0 to %d", api.MaxPromptTokens)
		}
		total += prefix.Tokens
	}
	return total, nil
}

// firstFailure returns the first error that is not nil.
func firstFailure(failures ...*api.Error) *api.Error {
	for _, failure := range failures {
		if failure != nil {
			return failure
		}
	}
	return nil
}

// checkWhere validates a lookup of the gateway for a request.
func checkWhere(request *api.WhereRequest) *api.Error {
	_, prefixes := checkPrefixes(request.Prefixes)
	return firstFailure(
		checkName("request_id", request.RequestID, true),
		checkName("model", request.Model, true),
		checkName("tenant", request.Tenant, false),
		checkName("home", request.Home, false),
		checkName("client", request.Client, false),
		checkWait(request.WaitMS),
		prefixes,
	)
}

// checkGenerate validates a request for generation.
func checkGenerate(request *api.GenerateRequest) *api.Error {
	prefixTokens, prefixes := checkPrefixes(request.Prefixes)
	return firstFailure(
		checkName("request_id", request.RequestID, true),
		checkName("model", request.Model, true),
		checkName("tenant", request.Tenant, false),
		checkName("home", request.Home, false),
		checkName("client", request.Client, false),
		checkWait(request.WaitMS),
		prefixes,
		checkClass(request.Class),
		checkTokens(request, prefixTokens),
	)
}

// checkClass validates the class of a request.
func checkClass(class api.Class) *api.Error {
	switch class {
	case "", api.ClassQuick, api.ClassLong, api.ClassFetch:
		return nil
	default:
		return newInvalidError("class", "must be %q, %q or %q", api.ClassQuick, api.ClassLong, api.ClassFetch)
	}
}

// checkTokens validates the lengths of the prompt and of the output, in tokens.
func checkTokens(request *api.GenerateRequest, prefixTokens int) *api.Error {
	if request.PromptTokens < 0 || request.PromptTokens > api.MaxPromptTokens {
		return newInvalidError("prompt_tokens", "must be from 0 to %d", api.MaxPromptTokens)
	}
	if prefixTokens+request.PromptTokens > api.MaxPromptTokens {
		return newInvalidError("prompt_tokens", "the prompt has %d tokens including its prefixes; at most %d are allowed", prefixTokens+request.PromptTokens, api.MaxPromptTokens)
	}
	if request.MaxTokens < 1 || request.MaxTokens > api.MaxOutputTokens {
		return newInvalidError("max_tokens", "must be from 1 to %d", api.MaxOutputTokens)
	}
	return nil
}
