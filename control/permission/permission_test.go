package permission

import (
	"testing"

	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/registry"
)

func TestCheckAllowsEachRequestorItsTypes(t *testing.T) {
	changes := map[string]registry.Record{
		"SOA":                 registry.Add(registry.SOARecord(catalog.Apex, registry.SOA{Primary: "control-1"})),
		"NS":                  registry.Add(registry.NSRecord(catalog.Apex, "control-1")),
		"gateway":             registry.Add(catalog.GatewayRecord("gateway-1", catalog.Gateway{})),
		"condition":           registry.Add(catalog.ConditionRecord("replica-1", catalog.Condition{State: catalog.ConditionUp})),
		"replica":             registry.Add(catalog.ReplicaRecord("replica-1", catalog.Replica{})),
		"drain":               registry.Add(catalog.DrainRecord("replica-1", catalog.Drain{})),
		"deletion of zone":    registry.DeleteName(catalog.ZoneName("zone-1")),
		"evacuation":          registry.Add(catalog.EvacuationRecord("zone-1", catalog.Evacuation{})),
		"deletion of replica": registry.DeleteName(catalog.ReplicaName("replica-1")),
	}
	cases := []struct {
		name      string
		requestor string
		allowed   []string
	}{
		{name: "control node", requestor: Control("control-1"), allowed: []string{"SOA", "NS", "gateway"}},
		{name: "gateway", requestor: Gateway("gateway-1:1"), allowed: []string{"condition"}},
		{name: "operator", requestor: Operator("someone"), allowed: []string{"replica", "drain", "deletion of zone", "evacuation", "deletion of replica"}},
		{name: "operator without a name", requestor: Operator(""), allowed: []string{"replica", "drain", "deletion of zone", "evacuation", "deletion of replica"}},
		{name: "platform", requestor: Platform, allowed: []string{"condition", "replica", "drain", "deletion of replica"}},
		{name: "unknown requestor", requestor: "someone"},
		{name: "no requestor"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			allowed := make(map[string]bool)
			for _, name := range c.allowed {
				allowed[name] = true
			}
			for name, change := range changes {
				update := registry.NewUpdate(catalog.Apex, nil, []registry.Record{change})
				update.Requestor = c.requestor
				if err := Check(&update); (err == nil) != allowed[name] {
					t.Errorf("change of %s: error %v, want it allowed: %t", name, err, allowed[name])
				}
			}
		})
	}
}
