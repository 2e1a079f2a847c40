package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/registry"
	"github.com/deckpulley/deckpulley/routing"
)

// Limits for the updates of replica conditions.
const (
	// conditionUpdateInterval is the minimum time between two updates of one replica's
	// condition.
	conditionUpdateInterval = time.Second
	conditionTimeout        = 5 * time.Second
	// requestorPrefix precedes the gateway's name in the requestor of its updates.
	requestorPrefix = "gateway:"
)

// reportConditions sends changes of replica conditions to the primary, as updates with
// prerequisites. Nothing is sent without a lease. If an update is lost, the router
// returns the change again.
func (g *Gateway) reportConditions(ctx context.Context, now time.Time, updates *sync.WaitGroup) {
	if !g.agent.Valid() {
		return
	}
	for _, change := range g.router.ProposeConditions(now) {
		if !g.allowConditionUpdate(change.Replica, now) {
			continue
		}
		updates.Go(func() { g.sendCondition(ctx, change) })
	}
}

// allowConditionUpdate reports whether an update of the replica's condition may be sent
// now, and records it if so. It enforces conditionUpdateInterval.
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

// sendCondition sends the update for one change and logs the reply.
func (g *Gateway) sendCondition(ctx context.Context, change routing.ConditionChange) {
	updateContext, cancel := context.WithTimeout(ctx, conditionTimeout)
	defer cancel()
	reply, err := g.agent.Update(updateContext, g.conditionUpdate(change))
	if err != nil {
		g.metrics.updates.WithLabelValues("lost").Inc()
		g.log.Warn("no reply to replica condition update", "replica", change.Replica, "error", err)
		return
	}
	g.metrics.updates.WithLabelValues(reply.Code.String()).Inc()
	g.log.Info("replica condition update answered", "replica", change.Replica, "state", change.New.State, "code", reply.Code.String(), "serial", reply.Serial)
}

// conditionUpdate returns the update that replaces the old condition of a change by the
// new one. Its prerequisites are that the registry still has the old condition and
// still lists the replica.
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
