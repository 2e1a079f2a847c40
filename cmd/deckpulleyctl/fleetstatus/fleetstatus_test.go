package fleetstatus

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/deckpulley/deckpulley/api"
)

func TestMergeCombinesLoadsOfOneRegion(t *testing.T) {
	gateways := []GatewayAnswer{
		{Address: "g1", Status: &api.StatusAnswer{Node: "g1", Degraded: []string{"no lease"}, Services: []api.ServiceLoad{
			{Service: "model", Region: "south", Replicas: 1, Usable: 1},
			{Service: "model", Region: "north", Utilization: 0.5, Spill: 0.2, Limit: 8, InFlight: 3, Queued: 1, Replicas: 3, Usable: 1, WarmingUp: 2},
		}}},
		{Address: "g2", Status: &api.StatusAnswer{Node: "g2", Services: []api.ServiceLoad{
			{Service: "model", Region: "north", Utilization: 0.7, Spill: 0.1, Limit: 6, InFlight: 4, Queued: 2, Replicas: 3, Usable: 2, WarmingUp: 1, Draining: 1, Ejected: 1},
		}}},
		{Address: "g3"},
	}
	status := Merge(controlAnswers(api.StatusAnswer{Primary: "c1", Serial: 4, InForceSerial: 4}), gateways)
	wantRegions := []api.ServiceLoad{
		{Service: "model", Region: "north", Utilization: 0.7, Spill: 0.2, Limit: 8, InFlight: 7, Queued: 3, Replicas: 3, Usable: 2, WarmingUp: 2, Draining: 1, Ejected: 1},
		{Service: "model", Region: "south", Replicas: 1, Usable: 1},
	}
	if diff := cmp.Diff(wantRegions, status.Regions); diff != "" {
		t.Errorf("regions: %s", diff)
	}
	if diff := cmp.Diff([]string{"g3"}, status.Unanswered); diff != "" {
		t.Errorf("unanswered: %s", diff)
	}
	wantDegraded := []string{
		"gateway g1: no lease",
		"gateway at g3 does not respond on its operators' port: restart the gateway or its machine",
	}
	if diff := cmp.Diff(wantDegraded, status.Degraded); diff != "" {
		t.Errorf("degraded: %s", diff)
	}
}

func TestMergeReportsSerialsNotInForce(t *testing.T) {
	cases := []struct {
		name    string
		control api.StatusAnswer
		want    []string
	}{
		{"in force everywhere", api.StatusAnswer{Primary: "c1", Serial: 4, InForceSerial: 4}, nil},
		{"no primary known", api.StatusAnswer{Serial: 4, InForceSerial: 3}, nil},
		{
			"new primary",
			api.StatusAnswer{Primary: "c1", Serial: 4},
			[]string{"the primary has not determined the serial in force yet: normal for 3 s after an election"},
		},
		{
			"gateway behind",
			api.StatusAnswer{Primary: "c1", Serial: 4, InForceSerial: 3},
			[]string{"serial 3 is in force, 4 is the newest: normal for 3 s after a change, otherwise look for a gateway that lags behind"},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if diff := cmp.Diff(c.want, Merge(controlAnswers(c.control), nil).Degraded); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestMergeDoesNotModifyAnswers(t *testing.T) {
	reasons := append(make([]string, 0, 4), "zone z is evacuated")
	answers := controlAnswers(api.StatusAnswer{Degraded: reasons})
	if status := Merge(answers, []GatewayAnswer{{Address: "g1"}}); len(status.Degraded) != 2 {
		t.Errorf("degraded: %q", status.Degraded)
	}
	if added := reasons[:2][1]; added != "" {
		t.Errorf("Merge wrote %q to the list of the control plane's answer", added)
	}
}

func TestCountReplicas(t *testing.T) {
	replica := func(region, condition string, draining bool) api.ReplicaStatus {
		return api.ReplicaStatus{ReplicaEntry: api.ReplicaEntry{Service: "model", Draining: draining}, Region: region, Condition: condition}
	}
	counts := CountReplicas([]api.ReplicaStatus{
		replica("south", "up", false),
		replica("north", "up", false),
		replica("north", "cold", false),
		replica("north", "draining", false),
		replica("north", "up", true),
		replica("north", "down", false),
		replica("north", "", false),
	})
	want := []ReplicaCounts{
		{Region: "north", Service: "model", Up: 1, Cold: 1, Draining: 2, Down: 1, Unobserved: 1},
		{Region: "south", Service: "model", Up: 1},
	}
	if diff := cmp.Diff(want, counts); diff != "" {
		t.Error(diff)
	}
}

func controlAnswers(status api.StatusAnswer) ControlAnswers {
	return ControlAnswers{Status: &status, Members: &api.MembersAnswer{}, Replicas: &api.ReplicasAnswer{}}
}
