package benchmark

// Gateway measures one gateway between callers and stand-in replicas. Its tables
// are those that were finished if it returns an error.
func Gateway(o Options) ([]Table, error) {
	o.withDefaults()
	stop, err := o.profile("callers")
	if err != nil {
		return nil, err
	}
	defer stop()
	tables, err := measureLatency(&o)
	if err != nil {
		return tables, err
	}
	capacity, err := measureCapacity(&o)
	return append(tables, capacity...), err
}
