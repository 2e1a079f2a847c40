package fleetstatus

import (
	"cmp"
	"slices"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/catalog"
)

// conditionUnobserved is the condition of a replica that no gateway has reported
// on yet.
const conditionUnobserved catalog.ConditionState = "unseen"

// ReplicaCounts holds the numbers of replicas of a service in a region, by the condition
// stored in the registry.
type ReplicaCounts struct {
	Region, Service string
	// Unobserved counts the replicas that no gateway has reported on yet.
	Up, Cold, Draining, Down, Unobserved int
}

// CountReplicas counts replicas by condition, ordered by region and service. A replica
// that the platform drains counts as draining, regardless of its condition.
func CountReplicas(replicas []api.ReplicaStatus) []ReplicaCounts {
	var counts []ReplicaCounts
	for _, replica := range replicas {
		index := slices.IndexFunc(counts, func(c ReplicaCounts) bool {
			return c.Region == replica.Region && c.Service == replica.Service
		})
		if index < 0 {
			index = len(counts)
			counts = append(counts, ReplicaCounts{Region: replica.Region, Service: replica.Service})
		}
		counts[index].add(conditionOf(replica))
	}
	slices.SortFunc(counts, func(a, b ReplicaCounts) int {
		return cmp.Or(cmp.Compare(a.Region, b.Region), cmp.Compare(a.Service, b.Service))
	})
	return counts
}

func conditionOf(replica api.ReplicaStatus) catalog.ConditionState {
	if replica.Draining {
		return catalog.ConditionDraining
	}
	return cmp.Or(catalog.ConditionState(replica.Condition), conditionUnobserved)
}

func (c *ReplicaCounts) add(condition catalog.ConditionState) {
	switch condition {
	case catalog.ConditionUp:
		c.Up++
	case catalog.ConditionWarmingUp:
		c.Cold++
	case catalog.ConditionDraining:
		c.Draining++
	case catalog.ConditionDown:
		c.Down++
	case conditionUnobserved:
		c.Unobserved++
	}
}
