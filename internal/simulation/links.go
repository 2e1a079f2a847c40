package simulation

// This file contains the faults of the links between machines.

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

// splitGroup partitions the machines into two sets for some time.
func (w *world) splitGroup() {
	w.countFault(FaultSplit)
	var first, second []*machine
	for _, m := range w.machines {
		if w.chance(0.5) {
			first = append(first, m)
		} else {
			second = append(second, m)
		}
	}
	eachLink := func(change func(from, to string)) {
		for _, one := range first {
			for _, other := range second {
				change(one.name, other.name)
				change(other.name, one.name)
			}
		}
	}
	eachLink(w.network.block)
	w.schedule(w.between(minPartition, maxPartition), func() { eachLink(w.network.unblock) })
}

// blockOutgoing blocks the links from a machine to some or all of the others.
func (w *world) blockOutgoing(m *machine) {
	probability := pick(w, blockProbabilities)
	for _, other := range w.machines {
		if w.chance(probability) {
			w.network.block(m.name, other.name)
		}
	}
	w.schedule(w.between(minPartition, maxPartition), func() { w.unblockAll(m.name) })
}

// unblockAll unblocks all links from and to a name.
func (w *world) unblockAll(name string) {
	for blocked := range w.network.blocked {
		if blocked.from == name || blocked.to == name {
			delete(w.network.blocked, blocked)
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
