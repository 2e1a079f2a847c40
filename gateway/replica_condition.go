package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/registry"
	"github.com/deckpulley/deckpulley/routing"
)

// Limits of the updates about conditions of replicas.
const (
	// conditionUpdateInterval is the least time between two updates about one replica.
	conditionUpdateInterval = time.Second
	conditionTimeout        = 5 * time.Second
	// requestorPrefix begins the requestor of every update of a gateway.
	requestorPrefix = "gateway:"
)

// reportConditions sends changed conditions of replicas to the primary as conditional
// updates. A change whose update is lost is observed and sent again.
func (g *Gateway) reportConditions(ctx context.Context, now time.Time, updates *sync.WaitGroup) {
	if !g.agent.Valid() {
		return
	}
	for _, change := range g.router.Conditions(now) {
		if !g.allowConditionUpdate(change.Replica, now) {
			continue
		}
		updates.Go(func() { g.sendCondition(ctx, change) })
	}
}

// allowConditionUpdate limits the rate of updates about one replica.
func (g *Gateway) allowConditionUpdate(replica string, now time.Time) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if now.Sub(g.lastReported[replica]) < conditionUpdateInterval {
		return false
	}
	for name, at := range g.lastReported {
		if now.Sub(at) >= conditionUpdateInterval {
			delete(g.lastReported, name)
		}
	}
	g.lastReported[replica] = now
	return true
}

// sendCondition sends one conditional update and logs its result.
func (g *Gateway) sendCondition(ctx context.Context, change routing.ConditionChange) {
	updateContext, cancel := context.WithTimeout(ctx, conditionTimeout)
	defer cancel()
	reply, err := g.agent.Update(updateContext, g.conditionUpdate(change))
	if err != nil {
		g.metrics.updates.WithLabelValues("lost").Inc()
		g.log.Warn("condition update failed", "replica", change.Replica, "error", err)
		return
	}
	g.metrics.updates.WithLabelValues(reply.Code.String()).Inc()
	g.log.Info("condition updated", "replica", change.Replica, "state", change.New.State, "code", reply.Code.String(), "serial", reply.Serial)
}

// conditionUpdate returns an update that replaces the condition from which the change
// was derived. Its prerequisites are that this condition still holds and that the
// replica is still listed.
func (g *Gateway) conditionUpdate(change routing.ConditionChange) registry.Update {
	name := catalog.ReplicaName(change.Replica)
	prerequisites := []registry.Record{registry.Exists(name, catalog.TypeReplica)}
	if change.Old == nil {
		prerequisites = append(prerequisites, registry.Absent(name, catalog.TypeCondition))
	} else {
		prerequisites = append(prerequisites, registry.Equals(catalog.ConditionRecord(change.Replica, *change.Old)))
	}
	changes := []registry.Record{registry.Add(catalog.ConditionRecord(change.Replica, change.New))}
	update := registry.NewUpdate(catalog.Apex, prerequisites, changes)
	update.Requestor = requestorPrefix + g.options.Info.Name
	return update
}
