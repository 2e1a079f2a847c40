package benchmark

var gatewayMeasurements = []measurement{
	{"latency", measureLatency},
	{"capacity", measureCapacity},
}

// Gateway measures one gateway between callers and stand-in replicas. With an error
// it returns the tables that were finished.
func Gateway(o Options) ([]Table, error) { return o.measure("callers", gatewayMeasurements) }
