package control

import (
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/configuration"
	"github.com/deckpulley/deckpulley/control/httpapi"
	"github.com/deckpulley/deckpulley/control/recovery"
	"github.com/deckpulley/deckpulley/settings"
	"github.com/deckpulley/deckpulley/storage"
)

const testToken = "a-token-of-the-tests"

// tokens returns a token source that permits testToken alone.
func tokens(t *testing.T) func() settings.Tokens {
	t.Helper()
	path := filepath.Join(t.TempDir(), "tokens")
	if err := os.WriteFile(path, []byte("ada "+testToken+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	file := settings.Settings{TokenFile: path}
	read, err := file.Tokens()
	if err != nil {
		t.Fatal(err)
	}
	return func() settings.Tokens { return read }
}

func TestOperatorsPortRejectsMalformedRequests(t *testing.T) {
	configurationOrder := func(document string) string {
		encoded, _ := json.Marshal(api.ConfigurationOperation{OperationID: "order", Document: document})
		return string(encoded)
	}
	cases := []struct {
		name, method, path, body, token string
		status                          int
		code                            api.Code
		field                           string
	}{
		{"no token", "PUT", "/v1/configuration", "{}", "", 401, api.CodeUnauthorized, ""},
		{"wrong token", "POST", "/v1/evacuations", "{}", "another-token-of-16", 401, api.CodeUnauthorized, ""},
		{"unknown path", "GET", "/v2/status", "", testToken, 404, api.CodeNotFound, ""},
		{"unknown method", "DELETE", "/v1/replicas", "", testToken, 404, api.CodeNotFound, ""},
		{"unknown field", "POST", "/v1/evacuations", `{"order_id":"a","zone":"b","when":"now"}`, testToken, 400, api.CodeInvalid, "when"},
		{"wrong type", "POST", "/v1/evacuations", `{"order_id":"a","zone":7}`, testToken, 400, api.CodeInvalid, "zone"},
		{"two JSON values", "POST", "/v1/evacuations", `{"order_id":"a","zone":"b"}{}`, testToken, 400, api.CodeInvalid, ""},
		{"body too large", "POST", "/v1/evacuations", `{"order_id":"` + strings.Repeat("a", httpapi.MaxEvacuationBody) + `"}`, testToken, 413, api.CodeTooLarge, ""},
		{"document too large", "PUT", "/v1/configuration", configurationOrder(strings.Repeat("a", configuration.MaxDocumentBytes+1)), testToken, 413, api.CodeTooLarge, "document"},
		{"missing order id", "POST", "/v1/evacuations", `{"zone":"b"}`, testToken, 400, api.CodeInvalid, "order_id"},
		{"order id too long", "POST", "/v1/evacuations", `{"order_id":"` + strings.Repeat("a", 129) + `","zone":"b"}`, testToken, 400, api.CodeInvalid, "order_id"},
		{"wait not a number", "POST", "/v1/evacuations?wait_ms=soon", `{"order_id":"a","zone":"b"}`, testToken, 400, api.CodeInvalid, "wait_ms"},
		{"wait too long", "POST", "/v1/evacuations?wait_ms=60001", `{"order_id":"a","zone":"b"}`, testToken, 400, api.CodeInvalid, "wait_ms"},
		{"document with an unknown field", "PUT", "/v1/configuration", configurationOrder("regons: {}"), testToken, 400, api.CodeInvalid, "document.regons"},
		{"duplicate replica", "PUT", "/v1/replicas", `{"replicas":[{"id":"a","service":"s","zone":"z","address":"h:1"},{"id":"a","service":"s","zone":"z","address":"h:1"}]}`, testToken, 400, api.CodeInvalid, "replicas[1].id"},
		{"replica in an unknown zone", "PUT", "/v1/replicas", `{"replicas":[{"id":"a","service":"s","zone":"z","address":"h:1"}]}`, testToken, 400, api.CodeInvalid, "replicas[0].zone"},
	}
	permitted := tokens(t)
	inFleet(t, func(f *fleet) {
		t := f.t
		for _, name := range controlNames {
			options := f.options[name]
			options.Tokens = permitted
			f.options[name] = options
		}
		f.start(controlNames...)
		handler := f.primary().Handler()
		f.await("the SOA record to name the primary", func() bool {
			primary := f.primary()
			contents := primary.engine.Observe().Catalog
			return contents != nil && contents.View().SOA().Primary == primary.options.Name
		})
		serial := f.primary().engine.Observe().Serial
		for _, c := range cases {
			request := httptest.NewRequest(c.method, c.path, strings.NewReader(c.body))
			request.Header.Set("Authorization", "Bearer "+c.token)
			recorder := httptest.NewRecorder()
			handler.ServeHTTP(recorder, request)
			var answer api.ErrorBody
			if err := json.Unmarshal(recorder.Body.Bytes(), &answer); err != nil || answer.Error == nil {
				t.Errorf("%s: status %d with body %q, want an error body", c.name, recorder.Code, recorder.Body)
				continue
			}
			got := []any{recorder.Code, answer.Error.Code, answer.Error.Field, answer.Error.Outcome}
			if difference := cmp.Diff([]any{c.status, c.code, c.field, api.OutcomeRefused}, got); difference != "" {
				t.Errorf("%s: error %q has a different status, code, field or outcome (-want +got):\n%s", c.name, answer.Error.Message, difference)
			}
		}
		if got := f.primary().engine.Observe().Serial; got != serial {
			t.Errorf("the refused requests changed the serial from %d to %d", serial, got)
		}
	})
}

// TestOperationsWithoutPrimaryAreRefused checks that a node without a majority refuses an
// operation as retryable, and that the same operation succeeds once there is a majority.
func TestOperationsWithoutPrimaryAreRefused(t *testing.T) {
	inFleet(t, func(f *fleet) {
		t := f.t
		f.start(controlNames...)
		f.mustSend(f.primary(), "order-1", 0)
		old := f.primary().options.Name
		survivor := f.follower()
		for name := range f.nodes {
			if name != survivor.options.Name {
				f.stop(name)
			}
		}
		f.await("the survivor to notice the loss of its primary", func() bool { return survivor.engine.Observe().LeaderAddress() == "" })
		var answer api.ErrorBody
		order := api.ConfigurationOperation{OperationID: "order-2", BaseVersion: 1, Document: document(t)}
		status := f.request(survivor, http.MethodPut, api.PathConfiguration+"?wait_ms=500", order, &answer)
		if status != http.StatusServiceUnavailable || answer.Error.Code != api.CodeNoPrimary || answer.Error.Outcome != api.OutcomeRefused || !answer.Error.Retry {
			t.Errorf("without a majority an operation returned status %d and %+v, want a retryable refusal because of no primary", status, answer.Error)
		}
		f.start(old)
		f.mustSend(survivor, "order-2", 1)
	})
}

// TestFailedWriteStopsTheNode checks that a failed write of the primary stops it with a
// *storage.FinalError, that a pending operation is accepted by its successor, and that
// the node catches up after a restart.
func TestFailedWriteStopsTheNode(t *testing.T) {
	inFleet(t, func(f *fleet) {
		t := f.t
		f.start(controlNames...)
		f.startGateway("gateway-1")
		f.mustSend(f.primary(), "order-1", 0)
		failing := f.primary()
		name := failing.options.Name
		f.disks[name].ScheduleCrash(storage.CrashPlan{Write: 1})
		_, answer := f.send(f.follower(), "order-2", 1, document(t))
		if !answer.Accepted {
			t.Errorf("an operation during the failed write returned %+v, want it accepted", answer)
		}
		var final *storage.FinalError
		if err := failing.Err(); !errors.As(err, &final) {
			t.Errorf("the node stopped with error %v, want a *storage.FinalError", err)
		}
		delete(f.nodes, name)
		f.disks[name].Reopen()
		f.start(name)
		f.await("the node to catch up", func() bool {
			o := f.nodes[name].engine.Observe()
			return o.Catalog != nil && o.Catalog.Version() == 2
		})
	})
}

// TestForcedRecoveryRetainsTheSurvivingDisk checks that a recovered group retains the
// answers of earlier operations, admits a new disk, and does not admit an old one.
func TestForcedRecoveryRetainsTheSurvivingDisk(t *testing.T) {
	inFleet(t, func(f *fleet) {
		t := f.t
		f.start(controlNames...)
		first := f.mustSend(f.primary(), "order-1", 0)
		f.await("a complete group", func() bool { return f.members(f.primary()).RepairDone })
		cluster := f.primary().engine.Observe().Cluster
		for _, name := range controlNames {
			f.stop(name)
		}
		survivor := f.options[controlNames[0]]
		recovered, err := recovery.Run(recovery.Options{
			Name:        survivor.Name,
			Zone:        survivor.Zone,
			PeerAddress: survivor.PeerAddress,
			Store:       f.disks[survivor.Name],
			Logger:      survivor.Logger,
		})
		if err != nil || recovered.OldCluster != cluster || recovered.Cluster == cluster {
			t.Fatalf("recovery returned %+v, %v; want a new group in place of the old one", recovered, err)
		}
		// Besides the survivor, one node returns with its old disk and one with a new disk.
		f.wipe(controlNames[1])
		f.start(controlNames...)
		f.await("the new disk to vote", func() bool {
			o := f.nodes[controlNames[1]].engine.Observe()
			return o.Cluster == recovered.Cluster && o.Voter()
		})
		if got := f.nodes[controlNames[2]].engine.Observe().Cluster; got != cluster {
			t.Errorf("the node with the old disk joined group %s, want it to stay in the old group", got)
		}
		_, again := f.send(f.primary(), "order-1", 0, document(t))
		if difference := cmp.Diff(first, again); difference != "" {
			t.Errorf("the resent operation got a different answer after the recovery (-first +again):\n%s", difference)
		}
		_, next := f.send(f.primary(), "order-2", 1+recovery.VersionStep, document(t))
		if !next.Accepted || next.Version != 2+recovery.VersionStep {
			t.Errorf("the next operation returned %+v, want it accepted with the next version after the version step", next)
		}
	})
}

func TestHistoryListsTheNewestOperations(t *testing.T) {
	inFleet(t, func(f *fleet) {
		t := f.t
		f.start(controlNames...)
		f.startGateway("gateway-1")
		f.mustSend(f.primary(), "order-1", 0)
		f.mustSend(f.primary(), "order-2", 1)
		f.send(f.primary(), "order-3", 1, document(t)) // based on an outdated version
		f.send(f.primary(), "order-2", 1, document(t)) // a resent operation
		var answer api.OperationsAnswer
		if status := f.request(f.primary(), http.MethodGet, api.PathOperations+"?limit=2", nil, &answer); status != http.StatusOK {
			t.Fatalf("listing the operations returned status %d, want 200", status)
		}
		f.checkHistory(answer.Orders, []api.OperationStatus{
			{OperationID: "order-3", Version: 2, Code: api.CodeVersionConflict},
			{OperationID: "order-2", Version: 2, Accepted: true},
		})
		var problem api.ErrorBody
		if status := f.request(f.primary(), http.MethodGet, api.PathOperations+"?limit=none", nil, &problem); status != http.StatusBadRequest || problem.Error.Field != "limit" {
			t.Errorf("a limit that is not a number returned status %d and %+v, want 400 and field limit", status, problem.Error)
		}
	})
}

// checkHistory compares a list of operations, newest first, with the wanted one, ignoring
// numbers, fields and reasons. It also checks that the numbers decrease, and that exactly
// the refused operations have a reason.
func (f *fleet) checkHistory(listed, want []api.OperationStatus) {
	f.t.Helper()
	got := slices.Clone(listed)
	for i := range got {
		if got[i].Number == 0 || i > 0 && got[i].Number >= listed[i-1].Number {
			f.t.Errorf("operation numbers do not decrease: %+v", listed)
		}
		if got[i].Accepted == (got[i].Reason != "") {
			f.t.Errorf("want a reason for refused operations only, got %+v", got[i])
		}
		got[i].Number, got[i].Reason, got[i].Field = 0, "", ""
	}
	if difference := cmp.Diff(want, got); difference != "" {
		f.t.Error(difference)
	}
}
