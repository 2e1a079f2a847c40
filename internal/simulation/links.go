package simulation

// Faults of the links between machines.

func (w *world) blockOneWay() {
	from, to := w.pickTarget(), pick(w, w.activeMachines())
	if from == to {
		return
	}
	if w.chance(0.5) {
		from, to = to, from
	}
	w.countFault(FaultBlockOneWay)
	w.network.block(from.name, to.name)
	w.schedule(w.between(minPartition, maxPartition), func() { w.network.unblock(from.name, to.name) })
}

func (w *world) isolateMachine() {
	m := w.pickTarget()
	w.countFault(FaultIsolate)
	for _, other := range w.machines {
		w.network.block(m.name, other.name)
		w.network.block(other.name, m.name)
	}
	for _, g := range w.gateways {
		if w.chance(0.5) {
			w.network.block(m.name, g.name)
			w.network.block(g.name, m.name)
		}
	}
	w.schedule(w.between(minPartition, maxPartition), func() { w.unblockAll(m.name) })
}

// splitGroup parts the machines in two, for a while.
func (w *world) splitGroup() {
	w.countFault(FaultSplit)
	var here, there []*machine
	for _, m := range w.machines {
		if w.chance(0.5) {
			here = append(here, m)
		} else {
			there = append(there, m)
		}
	}
	each := func(change func(from, to string)) {
		for _, one := range here {
			for _, other := range there {
				change(one.name, other.name)
				change(other.name, one.name)
			}
		}
	}
	each(w.network.block)
	w.schedule(w.between(minPartition, maxPartition), func() { each(w.network.unblock) })
}

// blockOutgoing cuts what a machine sends to some or all of the others.
func (w *world) blockOutgoing(m *machine) {
	share := pick(w, blockedShares)
	for _, other := range w.machines {
		if w.chance(share) {
			w.network.block(m.name, other.name)
		}
	}
	w.schedule(w.between(minPartition, maxPartition), func() { w.unblockAll(m.name) })
}

func (w *world) unblockAll(name string) {
	for pair := range w.network.blocked {
		if pair.from == name || pair.to == name {
			delete(w.network.blocked, pair)
		}
	}
}

func (w *world) lossyNetwork() {
	w.countFault(FaultLossyNetwork)
	w.network.loss = maxLoss * w.random.Float64()
	w.network.duplication = maxDuplication * w.random.Float64()
	w.network.tailDelay = w.between(baseTailDelay, maxTailDelay)
	w.schedule(w.between(minLossyPeriod, maxLossyPeriod), w.network.resetConditions)
}
