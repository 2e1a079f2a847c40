package simulation

// Faults of the links between machines.

func (w *world) cutOneWay() {
	from, to := w.target(), pick(w, w.present())
	if from == to {
		return
	}
	if w.chance(0.5) {
		from, to = to, from
	}
	w.count(FaultCutOneWay)
	w.network.cut(from.name, to.name)
	w.after(w.between(cutLeast, cutMost), func() { w.network.mend(from.name, to.name) })
}

func (w *world) isolateOne() {
	m := w.target()
	w.count(FaultIsolate)
	for _, other := range w.machines {
		w.network.cut(m.name, other.name)
		w.network.cut(other.name, m.name)
	}
	for _, g := range w.gateways {
		if w.chance(0.5) {
			w.network.cut(m.name, g.name)
			w.network.cut(g.name, m.name)
		}
	}
	w.after(w.between(cutLeast, cutMost), func() { w.mendAll(m.name) })
}

// split parts the machines in two, for a while.
func (w *world) split() {
	w.count(FaultSplit)
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
	each(w.network.cut)
	w.after(w.between(cutLeast, cutMost), func() { each(w.network.mend) })
}

// silence cuts what a machine sends to some or all of the others.
func (w *world) silence(m *machine) {
	share := pick(w, cutShares)
	for _, other := range w.machines {
		if w.chance(share) {
			w.network.cut(m.name, other.name)
		}
	}
	w.after(w.between(cutLeast, cutMost), func() { w.mendAll(m.name) })
}

func (w *world) mendAll(name string) {
	for pair := range w.network.cuts {
		if pair.from == name || pair.to == name {
			delete(w.network.cuts, pair)
		}
	}
}

func (w *world) lossyNetwork() {
	w.count(FaultLossyNetwork)
	w.network.loss = worstLoss * w.random.Float64()
	w.network.doubling = worstDoubling * w.random.Float64()
	w.network.tail = w.between(usualTail, worstTail)
	w.after(w.between(lossyLeast, lossyMost), w.network.setUsual)
}
