package operator

import (
	"context"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/internal/checker"
	"github.com/deckpulley/deckpulley/internal/eventlog"
)

// linearizable is the query string of a linearizable read, which never returns stale state.
const linearizable = "?linearizable=true"

// zoneOpen is the event detail of a zone that is not evacuated.
const zoneOpen = "open"

// ReadConfiguration reads the configuration in force and logs it.
func (o *Operator) ReadConfiguration(ctx context.Context) (api.ConfigurationAnswer, error) {
	var answer api.ConfigurationAnswer
	address, err := o.get(ctx, api.PathConfiguration+linearizable, &answer)
	if err != nil {
		return answer, err
	}
	o.log.Write(eventlog.Event{
		Kind: eventlog.ConfigurationRead, Source: o.name, Gateway: address,
		Version: answer.Version, Serial: answer.Serial, Target: digest(answer.Document),
	})
	return answer, nil
}

// ReadZones reads the state of the zones and logs it.
func (o *Operator) ReadZones(ctx context.Context) (api.ZonesAnswer, error) {
	var answer api.ZonesAnswer
	address, err := o.get(ctx, api.PathZones+linearizable, &answer)
	if err != nil {
		return answer, err
	}
	for _, zone := range answer.Zones {
		detail := zoneOpen
		if zone.Evacuated {
			detail = checker.DetailEvacuated
		}
		o.log.Write(eventlog.Event{Kind: eventlog.ZonesRead, Source: o.name, Gateway: address, Zone: zone.Zone, Detail: detail})
	}
	return answer, nil
}

// ReadStatus reads the status of the node at address.
func (o *Operator) ReadStatus(ctx context.Context, address string) (api.StatusAnswer, error) {
	var answer api.StatusAnswer
	err := o.getFrom(ctx, address, api.PathStatus, &answer)
	return answer, err
}

// ReadMembers reads the cluster members from any control node.
func (o *Operator) ReadMembers(ctx context.Context) (api.MembersAnswer, error) {
	var answer api.MembersAnswer
	_, err := o.get(ctx, api.PathMembers, &answer)
	return answer, err
}

// ReadReplicas reads the replicas from any control node.
func (o *Operator) ReadReplicas(ctx context.Context) (api.ReplicasAnswer, error) {
	var answer api.ReplicasAnswer
	_, err := o.get(ctx, api.PathReplicas, &answer)
	return answer, err
}
